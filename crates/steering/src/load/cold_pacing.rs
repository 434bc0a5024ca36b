//! Limits the rate of requests to cold upstreams, which are in their cold start.
//!
//! Load pattern: an upstream starts or returns while traffic runs, and every instance would send it the requests that
//! its hash or its empty queue attracts. A cold upstream crashes at a rate far above what it can handle, so the total
//! rate of all instances is bounded without any messages between them.

use std::time::Duration;

use crate::hashing::{combine_hashes, weighted_rank};
use crate::limits::sharer_sizes::SharerSizes;

/// Fraction of the allowed rate that is used. The rest covers the time in which instances have received different lists
/// of instances.
const USED_RATE_FRACTION: f64 = 0.8;

/// Returns the minimum time between two requests of this instance to a cold upstream, or `None` if only other instances
/// may send.
///
/// Rendezvous hashing, weighted by size, selects at most as many instances as the number of requests per second that the
/// upstream can handle, so the first requests of all of them within one second also stay within the limit. The rate is
/// split among them by size.
#[must_use]
pub fn cold_send_interval(
    upstream: u64,
    own: u64,
    instances: &[u64],
    sizes: &SharerSizes,
    cold_per_s: f64,
) -> Option<Duration> {
    let rate = cold_per_s * USED_RATE_FRACTION;
    if rate <= 0.0 || instances.is_empty() {
        return None;
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let owners = (rate as usize).clamp(1, instances.len());
    let rank = |instance: u64| {
        let hash = combine_hashes(upstream, instance);
        weighted_rank(hash, sizes.relative_size(instance))
    };
    let own_rank = rank(own);
    let mut others: Vec<(f64, u64)> = instances
        .iter()
        .filter(|instance| **instance != own)
        .map(|instance| (rank(*instance), *instance))
        .collect();
    others.sort_unstable_by(|first, second| first.0.total_cmp(&second.0));
    let preceding = others.partition_point(|(rank, _)| *rank < own_rank);
    let others = others.iter().take(owners - 1);
    let other_size: f64 = others.map(|(_, hash)| sizes.relative_size(*hash)).sum();
    let own_size = sizes.relative_size(own);
    let own_rate = rate * own_size / (own_size + other_size);
    (preceding < owners).then(|| Duration::from_secs_f64(1.0 / own_rate))
}
