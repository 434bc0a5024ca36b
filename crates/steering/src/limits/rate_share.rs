//! Divides the rate limit of an upstream among the instances.
//!
//! Load pattern: an upstream takes few requests per second, fewer than there are instances, and most of the requests
//! for it arrive at some of the instances. Each instance sends at intervals that follow from its part of the demand, so
//! the sum of all rates is the limit. An instance that others no longer hear keeps its part: the others still count the
//! demand that it reported last.

use std::time::Duration;

use crate::hashing::{combine_hashes, weighted_rank};
use crate::limits::rate_limit::RateLimit;

/// Fraction of a limit that is the least demand of an instance, so that the first requests of one with little demand
/// receive a share.
const MIN_DEMAND_FRACTION: f64 = 0.02;
/// Number of seconds of the limit, and of requests on top of it, that instances may send at once after a pause: half of
/// the excess that an upstream tolerates in four seconds.
const BURST_PERIOD_S: f64 = 1.0;
const BURST_REQUESTS: f64 = 2.5;

/// Requests for one upstream that arrive at an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceDemand {
    /// Hash of the instance's name.
    pub instance: u64,
    /// Whether the instance is in the region of the upstream, where most requests for it arrive.
    pub is_near: bool,
    /// Size of the instance relative to the mean; one if instances are about equal.
    pub size: f64,
    /// Requests per second for which the upstream was a candidate; `None` if the instance has not reported any.
    pub per_s: Option<f64>,
}

/// Returns the time between two requests of the instance `own` to an upstream with a rate limit, or `None` if only other
/// instances may send. `others` are all other instances that may send requests; one without a report is assumed to have
/// the same demand as this one.
///
/// Each sending instance may send one request at once after a pause, so their number is limited. They are selected by
/// region and rendezvous hash, weighted by size, and not by demand: whenever the selection changed, further instances
/// would send their first request at once.
#[must_use]
pub fn limited_send_interval(
    limit: RateLimit,
    upstream: u64,
    own: InstanceDemand,
    others: &[InstanceDemand],
) -> Option<Duration> {
    let per_s = limit.per_second();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let senders = (per_s * BURST_PERIOD_S + BURST_REQUESTS) as usize;
    let rank = |sender: &InstanceDemand| {
        let hash = combine_hashes(upstream, sender.instance);
        (!sender.is_near, weighted_rank(hash, sender.size))
    };
    let compare = |first: &InstanceDemand, second: &InstanceDemand| {
        let (first, second) = (rank(first), rank(second));
        first.0.cmp(&second.0).then(first.1.total_cmp(&second.1))
    };
    let mut ranked: Vec<&InstanceDemand> = others.iter().collect();
    ranked.sort_unstable_by(|first, second| compare(first, second));
    let preceding = ranked.partition_point(|other| compare(other, &own).is_lt());
    if preceding >= senders {
        return None;
    }
    let min_demand = per_s * MIN_DEMAND_FRACTION;
    let own_demand = own.per_s.unwrap_or_default().max(min_demand);
    let other_demand: f64 = ranked
        .iter()
        .take(senders.saturating_sub(1))
        .map(|other| other.per_s.unwrap_or(own_demand).max(min_demand))
        .sum();
    let share = own_demand / (own_demand + other_demand);
    Some(Duration::from_secs_f64(1.0 / (per_s * share)))
}
