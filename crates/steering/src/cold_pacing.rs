//! Paces requests to cold upstreams.
//!
//! Load pattern: an upstream starts or returns while traffic runs, and every instance would send it the work that
//! its hash or its empty queue attracts. A cold upstream crashes at a rate far above what it bears, so the rate of all
//! instances together is bounded without a message between them.

use std::time::Duration;

use crate::hashing::combine_hashes;

/// The part of the bearable rate that is used. The rest covers instances that count their number differently.
const USED_PART: f64 = 0.8;

/// Returns the instances that share the turns at cold upstreams: those that are heard and those that are registered.
///
/// An instance that has just started hears nobody yet, while the others send on, so the registered ones count too. Before
/// they are known, nobody has a turn.
#[must_use]
pub fn pacing_instances(live: &[u64], registered: &[u64]) -> Vec<u64> {
    if registered.is_empty() {
        return Vec::new();
    }
    let mut instances = [live, registered].concat();
    instances.sort_unstable();
    instances.dedup();
    instances
}

/// Returns the least time between two requests of this instance to a cold upstream, or nothing if other instances own
/// its turns.
///
/// At most as many instances as the upstream bears requests a second take turns, chosen by rendezvous hashing, so that
/// the first requests of all of them within one second stay within the bound too.
#[must_use]
pub fn cold_interval(
    upstream: u64,
    own: u64,
    instances: &[u64],
    cold_per_s: f64,
) -> Option<Duration> {
    let rate = cold_per_s * USED_PART;
    if rate <= 0.0 || instances.is_empty() {
        return None;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let owners = (rate as usize).clamp(1, instances.len().max(1));
    let own_weight = combine_hashes(upstream, own);
    let ahead = instances
        .iter()
        .filter(|instance| **instance != own && combine_hashes(upstream, **instance) > own_weight)
        .count();
    #[expect(clippy::cast_precision_loss)]
    let interval = owners as f64 / rate;
    (ahead < owners).then(|| Duration::from_secs_f64(interval))
}
