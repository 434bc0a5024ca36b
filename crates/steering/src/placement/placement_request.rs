//! Selects the upstream for a request.
//!
//! Load pattern: demand exceeds the number of slots most of the time. An upstream that still has the object cached (a
//! warm upstream) needs a fraction of the time, so a short queue there is better than a free slot at another upstream.
//! Weighted rendezvous hashing gives every object a fixed preference order over the upstreams of its assigned region.
//! All instances compute the same order, also after a restart, so each object stays cached at as few upstreams as its
//! load needs.

use std::time::Duration;

use crate::hashing::unit_interval;
use crate::load::load_view::LoadView;
use crate::load::service_times::TimeEstimate;
use crate::placement::placement_decision::{PlacementDecision, PlacementReason};
use crate::placement::region_candidates::RegionCandidates;

/// Longest queue of an upstream, as a fraction of its slots, at which it still receives requests for its warm objects.
pub(super) const MAX_WARM_QUEUE_FRACTION: f64 = 0.8;
/// Longest queue of an upstream, as a fraction of its slots, at which it still receives objects that are cold there.
pub(super) const MAX_COLD_QUEUE_FRACTION: f64 = 0.25;
/// Load of region and upstream, in requests per slot, below which an object may migrate to an upstream that it prefers.
const MIGRATION_LOAD_LIMIT: f64 = 0.6;
/// Load of the region, in requests per slot, below which an object whose warm upstreams are all late is placed at one
/// more upstream, and below which a new object may be placed at an upstream with a full cache.
pub(super) const EXPANSION_LOAD_LIMIT: f64 = 0.75;
/// Load of the region, in requests per slot, below which an object is placed at one more upstream if none of its warm
/// upstreams is close enough to meet the objective.
pub(super) const NEARBY_EXPANSION_LOAD_LIMIT: f64 = 0.95;
/// Fraction of the objective within which an upstream must be able to return a warm answer to count as nearby. The rest
/// covers the round trip between caller and instance, and answers that take longer than usual.
const NEARBY_OBJECTIVE_FRACTION: f64 = 0.8;
/// Slowness above which an upstream has a lower weight. Smaller values may be random variation, which must not change
/// the preference order.
const SLOWNESS_THRESHOLD: f64 = 1.6;

/// An upstream that is eligible for a request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate<K> {
    /// Key of the upstream, returned in the decision.
    pub key: K,
    /// Combined hash of the upstream and the object, the same at all instances.
    pub rendezvous_hash: u64,
    /// Whether the upstream is in the region that the spread assigns to the object, see
    /// [`RegionSpread`](crate::RegionSpread).
    pub is_assigned_region: bool,
    /// Expected response times without queueing.
    pub times: TimeEstimate,
    /// Requests in flight from all instances.
    pub in_flight: u32,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream handled the object within the retention time of the affinity table and is expected to still
    /// have it cached.
    pub is_warm: bool,
    /// Whether caching a new object would evict one that is in use.
    pub is_cache_full: bool,
    /// Factor by which responses take longer than usual, apart from the stated cost; at least 1.
    pub slowness: f64,
    /// Factor by which responses take longer because of the cost of work that the upstream states. It changes many
    /// times a second, so it does not change the preference order of objects.
    pub cost_factor: f64,
}

/// Properties of a request that affect its placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest {
    /// Average time for which a request occupies a slot in this pool.
    pub slot_time: Duration,
    /// Time within which a response has its full value, from the moment the caller first sent the request.
    pub objective: Duration,
    /// Time left until the objective; zero if it has passed.
    pub objective_left: Duration,
    /// Time until the deadline of the request.
    pub deadline_left: Duration,
    /// Whether the object may migrate to an upstream where it is cold. This requires that the request can be sent to a
    /// second upstream.
    pub may_migrate: bool,
    /// Whether the request may run in another region than the object's current one: the region where it is warm, or the
    /// assigned one if it is warm in both or nowhere.
    pub may_change_region: bool,
}

/// Position of an upstream in the preference order of an object. Upstreams that can meet the objective with a warm
/// answer come first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct UpstreamRank {
    pub(super) is_nearby: bool,
    pub(super) score: f64,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct RankedCandidate<K> {
    pub(super) key: K,
    pub(super) rank: UpstreamRank,
    pub(super) is_warm: bool,
    /// Expected time until the response, including the queue.
    pub(super) expected: Duration,
    /// Expected time in the queue of the upstream.
    queue_delay: Duration,
    /// Expected time to a warm answer without queueing.
    pub(super) warm_time: Duration,
    pub(super) is_assigned_region: bool,
    /// Requests in flight per slot.
    pub(super) load: f64,
    pub(super) is_cache_full: bool,
    /// Factor by which responses take longer because of the stated cost of work.
    pub(super) cost_factor: f64,
}

impl PlacementRequest {
    /// Returns the candidate's position in the preference order within its region: weighted rendezvous hashing over
    /// slots and slowness.
    fn rank<K>(&self, candidate: &UpstreamCandidate<K>) -> UpstreamRank {
        let slowness = if candidate.slowness > SLOWNESS_THRESHOLD {
            candidate.slowness
        } else {
            1.0
        };
        let warm = candidate.times.warm.mul_f64(slowness);
        let weight = f64::from(candidate.slots) / slowness;
        UpstreamRank {
            is_nearby: warm <= self.objective.mul_f64(NEARBY_OBJECTIVE_FRACTION),
            score: -weight / unit_interval(candidate.rendezvous_hash).ln(),
        }
    }

    /// Selects one of the candidates, or returns `None` if the request should be queued.
    ///
    /// A request runs in the current region of its object: the assigned one, or another one if the object is warm only
    /// there, because it was placed there when the assigned region was full. It runs elsewhere, if it may, for a warm
    /// upstream that answers in time or when no upstream of the region can take it. An object may always return to its
    /// assigned region when it is late in the other one.
    pub fn choose<K: Copy>(
        &self,
        candidates: impl Iterator<Item = UpstreamCandidate<K>>,
    ) -> Option<PlacementDecision<K>> {
        let mut assigned = RegionCandidates::default();
        let mut others = RegionCandidates::default();
        for candidate in candidates {
            let region = if candidate.is_assigned_region {
                &mut assigned
            } else {
                &mut others
            };
            region.count(&candidate);
            region.add(self.rank_candidate(&candidate), self.objective_left);
        }
        let preferred = assigned.preferred.or(others.preferred)?.key;
        let is_placed_elsewhere = others.has_warm && !assigned.has_warm;
        if !self.may_change_region && is_placed_elsewhere {
            others.cold = None;
        } else if !self.may_change_region {
            others = RegionCandidates::default();
        }
        let in_region = match (assigned.warm_in_time, others.warm_in_time) {
            (None, Some(warm)) => Some(self.return_or_stay(&assigned, warm)),
            _ => self.choose_in_region(&assigned),
        };
        let (chosen, reason) = in_region
            .or_else(|| self.choose_in_region(&others))
            .or_else(|| late(assigned.warm_late))
            .or_else(|| late(others.warm_late))?;
        let is_in_time = chosen.expected <= self.deadline_left || self.is_probe(&chosen);
        is_in_time.then_some(PlacementDecision {
            key: chosen.key,
            reason,
            preferred,
            changes_region: chosen.is_assigned_region == is_placed_elsewhere,
            expected: chosen.expected,
            queue_delay: chosen.queue_delay,
            is_warm: chosen.is_warm,
        })
    }

    /// Selects a candidate of one region that is expected to answer within the objective, or at which the object may be
    /// placed.
    fn choose_in_region<K: Copy>(
        &self,
        region: &RegionCandidates<K>,
    ) -> Option<(RankedCandidate<K>, PlacementReason)> {
        let load = region.load();
        match (region.warm_in_time, region.cold) {
            (Some(warm), Some(cold)) if self.should_migrate(&warm, &cold, load) => {
                Some((cold, PlacementReason::Migration))
            }
            (Some(warm), _) => Some((warm, PlacementReason::Warm)),
            (None, Some(cold)) if !region.has_warm && Self::may_place_new(&cold, load) => {
                Some((cold, region.new_reason(&cold)))
            }
            (None, Some(cold)) if region.has_warm && self.should_expand(region, &cold, load) => {
                Some((cold, PlacementReason::Expansion))
            }
            _ => None,
        }
    }

    /// Selects between a warm candidate in another region and the return of the object to its assigned region.
    fn return_or_stay<K: Copy>(
        &self,
        assigned: &RegionCandidates<K>,
        warm: RankedCandidate<K>,
    ) -> (RankedCandidate<K>, PlacementReason) {
        match assigned.cold {
            Some(cold) if self.may_change_region && self.may_migrate_to(&cold, assigned.load()) => {
                (cold, PlacementReason::Migration)
            }
            _ => (warm, PlacementReason::Warm),
        }
    }

    /// Returns whether a request is sent to a free slot although its answer is expected after its deadline.
    ///
    /// Load pattern: upstreams were slow and are idle now. The estimates recover only if requests are sent, so a
    /// request serves as a probe if at least half of its objective is left and its deadline is at least two objectives
    /// away.
    pub(super) fn is_probe<K>(&self, candidate: &RankedCandidate<K>) -> bool {
        let has_time = self.deadline_left >= self.objective * 2;
        candidate.queue_delay.is_zero() && has_time && self.objective_left * 2 >= self.objective
    }

    /// Returns the candidate with its rank, its estimated queue delay and response time.
    pub(super) fn rank_candidate<K: Copy>(
        &self,
        candidate: &UpstreamCandidate<K>,
    ) -> RankedCandidate<K> {
        let service_time = if candidate.is_warm {
            candidate.times.warm
        } else {
            candidate.times.cold
        };
        let load = LoadView {
            in_flight: candidate.in_flight,
            slowness: candidate.slowness,
            cost_factor: candidate.cost_factor,
        };
        let queue_delay = load.queue_delay(candidate.slots, self.slot_time);
        RankedCandidate {
            key: candidate.key,
            rank: self.rank(candidate),
            is_warm: candidate.is_warm,
            expected: queue_delay + load.run_time(service_time),
            queue_delay,
            warm_time: load.run_time(candidate.times.warm),
            is_assigned_region: candidate.is_assigned_region,
            load: f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1)),
            is_cache_full: candidate.is_cache_full,
            cost_factor: candidate.cost_factor,
        }
    }

    /// Returns whether the object migrates from a warm upstream to one that comes earlier in its preference order.
    fn should_migrate<K>(
        &self,
        warm: &RankedCandidate<K>,
        cold: &RankedCandidate<K>,
        load: f64,
    ) -> bool {
        cold.rank > warm.rank && self.may_migrate_to(cold, load)
    }

    fn may_migrate_to<K>(&self, cold: &RankedCandidate<K>, load: f64) -> bool {
        self.may_migrate
            && !cold.is_cache_full
            && load < MIGRATION_LOAD_LIMIT
            && cold.load < MIGRATION_LOAD_LIMIT
    }

    /// Returns whether a request that is late at every warm upstream is sent to an additional, cold one.
    ///
    /// The first run of an object at an upstream costs several times the work. In a loaded pool, additional upstreams
    /// would take the capacity that the warm ones need, and the extra cache entries would evict other objects. The pool
    /// would not recover from that by itself.
    fn should_expand<K>(
        &self,
        region: &RegionCandidates<K>,
        cold: &RankedCandidate<K>,
        load: f64,
    ) -> bool {
        let adds_nearby = cold.rank.is_nearby && !region.has_nearby_warm;
        let load_limit = if adds_nearby {
            NEARBY_EXPANSION_LOAD_LIMIT
        } else {
            EXPANSION_LOAD_LIMIT
        };
        // A request that is too late to meet its objective at any upstream is no evidence that more upstreams are
        // needed.
        let can_meet_objective = cold.warm_time <= self.objective_left;
        can_meet_objective && load < load_limit && cold.load < 1.0 && !cold.is_cache_full
    }

    /// Returns whether an object that is warm at no upstream may be placed.
    ///
    /// If all upstreams are loaded and their caches are full, each new object evicts another one, whose next request is
    /// cold again, and the throughput of the pool falls to a fraction. Requests for warm objects are served first.
    fn may_place_new<K>(cold: &RankedCandidate<K>, load: f64) -> bool {
        !cold.is_cache_full || load < EXPANSION_LOAD_LIMIT
    }
}

impl<K> RankedCandidate<K> {
    /// Returns whether work takes much longer than usual on the machine of the upstream for the moment.
    pub(super) fn is_busy(&self) -> bool {
        self.cost_factor > SLOWNESS_THRESHOLD
    }
}

/// Returns a late candidate with its reason.
fn late<K>(candidate: Option<RankedCandidate<K>>) -> Option<(RankedCandidate<K>, PlacementReason)> {
    candidate.map(|late| (late, PlacementReason::Late))
}
