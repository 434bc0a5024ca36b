//! The best upstreams of a region for a request, by class.

use std::time::Duration;

use crate::placement::placement_decision::PlacementReason;

/// Longest queue of an upstream, as a fraction of its slots, at which it still receives requests for its warm objects.
const MAX_WARM_QUEUE_FRACTION: f64 = 0.8;
/// Longest queue of an upstream, as a fraction of its slots, at which it still receives objects that are cold there.
const MAX_COLD_QUEUE_FRACTION: f64 = 0.25;
/// Slowness above which an upstream has a lower weight. Smaller values may be random variation, which must not change
/// the preference order.
pub(crate) const SLOWNESS_THRESHOLD: f64 = 1.6;

/// Position of an upstream in the preference order of an object. Upstreams that can meet the objective with a warm
/// answer come first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) struct UpstreamRank {
    pub(crate) is_nearby: bool,
    pub(crate) score: f64,
}

/// An upstream with what its choice depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RankedCandidate<K> {
    pub(crate) key: K,
    pub(crate) rank: UpstreamRank,
    pub(crate) is_warm: bool,
    /// Expected time until the response, including the queue.
    pub(crate) expected: Duration,
    /// Expected time in the queue of the upstream.
    pub(crate) queue_delay: Duration,
    /// Expected time to a warm answer without queueing.
    pub(crate) warm_time: Duration,
    pub(crate) is_assigned_region: bool,
    /// Requests in flight per slot.
    pub(crate) load: f64,
    pub(crate) is_cache_full: bool,
    /// Factor by which responses take longer because of the stated cost of work.
    pub(crate) cost_factor: f64,
}

impl<K> RankedCandidate<K> {
    /// Returns whether work takes much longer than usual on the machine of the upstream for the moment.
    pub(crate) fn is_busy(&self) -> bool {
        self.cost_factor > SLOWNESS_THRESHOLD
    }
}

/// The best candidate of each class in the assigned region or in all others.
pub(crate) struct RegionCandidates<K> {
    /// The first in the preference order among the warm candidates that meet the objective; those that are not busy go
    /// first.
    pub(crate) warm_in_time: Option<RankedCandidate<K>>,
    /// The fastest among the warm candidates that miss the objective but have a free slot.
    pub(crate) warm_late: Option<RankedCandidate<K>>,
    /// The first in the preference order among the candidates where the object is cold. Nearby candidates with free
    /// cache space go first.
    pub(crate) cold: Option<RankedCandidate<K>>,
    /// The first in the preference order, whatever its load.
    pub(crate) preferred: Option<RankedCandidate<K>>,
    pub(crate) has_warm: bool,
    pub(crate) has_nearby_warm: bool,
    pub(crate) in_flight: u32,
    pub(crate) slots: u32,
}

impl<K> Default for RegionCandidates<K> {
    fn default() -> Self {
        Self {
            warm_in_time: None,
            warm_late: None,
            cold: None,
            preferred: None,
            has_warm: false,
            has_nearby_warm: false,
            in_flight: 0,
            slots: 0,
        }
    }
}

impl<K: Copy> RegionCandidates<K> {
    /// Counts an upstream of the region with its requests in flight.
    pub(crate) fn count(&mut self, in_flight: u32, slots: u32) {
        self.in_flight += in_flight;
        self.slots += slots;
    }

    /// Returns the number of requests in flight per slot.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    /// Keeps the candidate in each class where it is the best one.
    pub(crate) fn add(&mut self, candidate: RankedCandidate<K>, objective_left: Duration) {
        let is_preferred = |best: &Option<RankedCandidate<K>>| {
            best.as_ref().is_none_or(|best| candidate.rank > best.rank)
        };
        if is_preferred(&self.preferred) {
            self.preferred = Some(candidate);
        }
        if !candidate.is_warm {
            let order = |candidate: &RankedCandidate<K>| {
                (
                    candidate.rank.is_nearby,
                    !candidate.is_busy(),
                    !candidate.is_cache_full,
                    candidate.rank.score,
                )
            };
            let is_better = |cold: &RankedCandidate<K>| order(&candidate) > order(cold);
            if candidate.load < 1.0 + MAX_COLD_QUEUE_FRACTION
                && self.cold.as_ref().is_none_or(is_better)
            {
                self.cold = Some(candidate);
            }
            return;
        }
        self.has_warm = true;
        self.has_nearby_warm |= candidate.rank.is_nearby;
        if candidate.expected <= objective_left && candidate.load < 1.0 + MAX_WARM_QUEUE_FRACTION {
            let order = |warm: &RankedCandidate<K>| (!warm.is_busy(), warm.rank);
            let is_better = |warm: &RankedCandidate<K>| order(&candidate) > order(warm);
            if self.warm_in_time.as_ref().is_none_or(is_better) {
                self.warm_in_time = Some(candidate);
            }
        } else if candidate.load < 1.0 {
            // A late answer has little value, so it must not delay requests that can still meet their objective.
            let is_faster = |late: &RankedCandidate<K>| candidate.expected < late.expected;
            if self.warm_late.as_ref().is_none_or(is_faster) {
                self.warm_late = Some(candidate);
            }
        }
    }

    /// Returns why an object that is warm nowhere is placed at `cold`.
    pub(crate) fn new_reason(&self, cold: &RankedCandidate<K>) -> PlacementReason {
        let is_later = |preferred: RankedCandidate<K>| preferred.rank > cold.rank;
        if self.preferred.is_some_and(is_later) {
            PlacementReason::Overflow
        } else {
            PlacementReason::New
        }
    }
}
