//! The best candidates of a region for one request.

use std::time::Duration;

use crate::placement::placement_decision::PlacementReason;
use crate::placement::placement_request::{
    MAX_COLD_QUEUE_FRACTION, MAX_WARM_QUEUE_FRACTION, RankedCandidate, UpstreamCandidate,
};

/// The best candidate of each class in the assigned region or in all others.
pub(super) struct RegionCandidates<K> {
    /// The first in the preference order among the warm candidates that meet the objective; those that are not busy go
    /// first.
    pub(super) warm_in_time: Option<RankedCandidate<K>>,
    /// The fastest among the warm candidates that miss the objective but have a free slot.
    pub(super) warm_late: Option<RankedCandidate<K>>,
    /// The first in the preference order among the candidates where the object is cold. Nearby candidates with free
    /// cache space go first.
    pub(super) cold: Option<RankedCandidate<K>>,
    /// The first in the preference order, whatever its load.
    pub(super) preferred: Option<RankedCandidate<K>>,
    pub(super) has_warm: bool,
    pub(super) has_nearby_warm: bool,
    in_flight: u32,
    slots: u32,
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
    pub(super) fn count(&mut self, candidate: &UpstreamCandidate<K>) {
        self.in_flight += candidate.in_flight;
        self.slots += candidate.slots;
    }

    /// Returns the number of requests in flight per slot.
    pub(super) fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    pub(super) fn add(&mut self, candidate: RankedCandidate<K>, objective_left: Duration) {
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
    pub(super) fn new_reason(&self, cold: &RankedCandidate<K>) -> PlacementReason {
        let is_later = |preferred: RankedCandidate<K>| preferred.rank > cold.rank;
        if self.preferred.is_some_and(is_later) {
            PlacementReason::Overflow
        } else {
            PlacementReason::New
        }
    }
}
