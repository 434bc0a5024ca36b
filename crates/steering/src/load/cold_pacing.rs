//! Limits the rate of requests to cold upstreams, which are in their cold start.
//!
//! Load pattern: an upstream starts or returns while traffic runs, and every instance would send it the requests that
//! its hash or its empty queue attracts. A cold upstream crashes at a rate far above what it can handle, so the total
//! rate of all instances is bounded without any messages between them.

use std::time::Duration;

use crate::hashing::combine_hashes;

/// Fraction of the allowed rate that is used. The rest covers the time in which instances have received different lists
/// of instances.
const USED_RATE_FRACTION: f64 = 0.8;

/// Returns the minimum time between two requests of this instance to a cold upstream, or `None` if only other instances
/// may send.
///
/// Rendezvous hashing selects at most as many instances as the number of requests per second that the upstream can
/// handle, so the first requests of all of them within one second also stay within the limit.
#[must_use]
pub fn cold_send_interval(
    upstream: u64,
    own: u64,
    instances: &[u64],
    cold_per_s: f64,
) -> Option<Duration> {
    let rate = cold_per_s * USED_RATE_FRACTION;
    if rate <= 0.0 || instances.is_empty() {
        return None;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let owners = (rate as usize).clamp(1, instances.len().max(1));
    let own_weight = combine_hashes(upstream, own);
    let preferred = instances
        .iter()
        .filter(|instance| **instance != own && combine_hashes(upstream, **instance) > own_weight)
        .count();
    #[expect(clippy::cast_precision_loss)]
    let interval = owners as f64 / rate;
    (preferred < owners).then(|| Duration::from_secs_f64(interval))
}
