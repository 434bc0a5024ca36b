//! Selects the upstream for a request.
//!
//! Load pattern: demand exceeds the number of slots most of the time. An upstream that still has the object cached (a
//! warm upstream) needs a fraction of the time, so a short queue there is better than a free slot at another upstream.
//! Weighted rendezvous hashing gives every object a fixed preference order over the upstreams. All instances compute
//! the same order, also after a restart, so each object stays cached at as few upstreams as its load needs.

use std::time::Duration;

use crate::service_times::TimeEstimate;

/// Longest queue of an upstream, as a fraction of its slots, at which it still receives requests for its warm objects.
const MAX_WARM_QUEUE_FRACTION: f64 = 0.8;
/// Longest queue of an upstream, as a fraction of its slots, at which it still receives objects that are cold there.
const MAX_COLD_QUEUE_FRACTION: f64 = 0.25;
/// Pool and upstream load, in requests per slot, below which an object may migrate to an upstream that it prefers.
const MIGRATION_LOAD_LIMIT: f64 = 0.6;
/// Pool load, in requests per slot, below which an object whose warm upstreams are all late is placed at one more
/// upstream, and below which a new object may be placed at an upstream with a full cache.
const EXPANSION_LOAD_LIMIT: f64 = 0.75;
/// Pool load, in requests per slot, below which an object is placed at one more upstream if none of its warm upstreams
/// is close enough to meet the objective.
const NEARBY_EXPANSION_LOAD_LIMIT: f64 = 0.95;
/// Fraction of the objective within which an upstream must be able to return a warm answer to count as nearby. The rest
/// covers the round trip between caller and instance, and answers that take longer than usual.
const NEARBY_OBJECTIVE_FRACTION: f64 = 0.8;
/// Weight of upstreams in the region of this instance relative to those in other regions. It keeps most of the traffic
/// in the region and still spreads the load of a region with few upstreams over the other regions.
const LOCAL_REGION_FACTOR: f64 = 6.0;
/// Weight of upstreams in the region of this instance relative to those in other regions for requests with large
/// bodies, which cost more bytes and several round trips to another region.
const LARGE_BODY_LOCAL_REGION_FACTOR: f64 = 30.0;
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
    /// Whether the upstream is in the region of this instance.
    pub is_local_region: bool,
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
    /// Factor by which responses take longer than usual; at least 1.
    pub slowness: f64,
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
    /// Whether requests of this route have large bodies.
    pub has_large_bodies: bool,
    /// Whether the object may migrate to an upstream where it is cold. This requires that the request can be sent to a
    /// second upstream.
    pub may_migrate: bool,
}

/// Why an upstream was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementReason {
    /// It is warm and answers within the objective.
    Warm,
    /// It is warm and has a free slot, and every warm upstream misses the objective.
    Late,
    /// The object is warm nowhere, and the upstream is the first in its preference order.
    New,
    /// The object is warm nowhere, and the upstreams that it prefers are full.
    Overflow,
    /// Every warm upstream misses the objective, so the object is placed at one more.
    Expansion,
    /// The object prefers it to the upstream where it is warm.
    Migration,
    /// No instance has sent it a request yet.
    Untried,
}

impl PlacementReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Warm,
        Self::Late,
        Self::New,
        Self::Overflow,
        Self::Expansion,
        Self::Migration,
        Self::Untried,
    ];

    /// Returns the code of the reason in logs and metrics.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Late => "late",
            Self::New => "new",
            Self::Overflow => "overflow",
            Self::Expansion => "expansion",
            Self::Migration => "migration",
            Self::Untried => "untried",
        }
    }
}

/// The upstream selected for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementDecision<K> {
    /// Key of the selected upstream.
    pub key: K,
    /// Why it was selected.
    pub reason: PlacementReason,
    /// Key of the first upstream in the preference order of the object.
    pub preferred: K,
    /// Expected time until the response, including the queue.
    pub expected: Duration,
    /// Expected time in the queue of the upstream.
    pub queue_delay: Duration,
    /// Whether the upstream is expected to have the object cached.
    pub is_warm: bool,
}

/// Position of an upstream in the preference order of an object. Upstreams that can meet the objective with a warm
/// answer come first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct UpstreamRank {
    is_nearby: bool,
    score: f64,
}

#[derive(Debug, Clone, Copy)]
struct RankedCandidate<K> {
    key: K,
    rank: UpstreamRank,
    is_warm: bool,
    /// Expected time until the response, including the queue.
    expected: Duration,
    /// Expected time in the queue of the upstream.
    queue_delay: Duration,
    /// Expected time to a warm answer without queueing.
    warm_time: Duration,
    /// Requests in flight per slot.
    load: f64,
    is_cache_full: bool,
}

impl PlacementRequest {
    /// Returns the candidate's position in the preference order: weighted rendezvous hashing over slots, region and
    /// slowness.
    fn rank<K>(&self, candidate: &UpstreamCandidate<K>) -> UpstreamRank {
        let slowness = if candidate.slowness > SLOWNESS_THRESHOLD {
            candidate.slowness
        } else {
            1.0
        };
        let warm = candidate.times.warm.mul_f64(slowness);
        let factor = match (candidate.is_local_region, self.has_large_bodies) {
            (false, _) => 1.0,
            (true, false) => LOCAL_REGION_FACTOR,
            (true, true) => LARGE_BODY_LOCAL_REGION_FACTOR,
        };
        let weight = f64::from(candidate.slots) * factor / slowness;
        UpstreamRank {
            is_nearby: warm <= self.objective.mul_f64(NEARBY_OBJECTIVE_FRACTION),
            score: -weight / uniform(candidate.rendezvous_hash).ln(),
        }
    }

    /// Selects one of the candidates, or returns `None` if the request should be queued.
    pub fn choose<K: Copy>(
        &self,
        candidates: impl Iterator<Item = UpstreamCandidate<K>> + Clone,
    ) -> Option<PlacementDecision<K>> {
        let load = pool_load(candidates.clone());
        let mut best = BestCandidates::default();
        for candidate in candidates {
            best.add(self.rank_candidate(&candidate), self.objective_left);
        }
        let (chosen, reason) = match (best.warm_in_time, best.cold) {
            (Some(warm), Some(cold)) if self.should_migrate(&warm, &cold, load) => {
                (cold, PlacementReason::Migration)
            }
            (Some(warm), _) => (warm, PlacementReason::Warm),
            (None, Some(cold)) if !best.has_warm && Self::may_place_new(&cold, load) => {
                (cold, best.new_reason(&cold))
            }
            (None, Some(cold)) if best.has_warm && self.should_expand(&best, &cold, load) => {
                (cold, PlacementReason::Expansion)
            }
            (None, _) => (best.warm_late?, PlacementReason::Late),
        };
        let is_in_time = chosen.expected <= self.deadline_left || self.is_probe(&chosen);
        is_in_time.then_some(PlacementDecision {
            key: chosen.key,
            reason,
            preferred: best.preferred.map_or(chosen.key, |preferred| preferred.key),
            expected: chosen.expected,
            queue_delay: chosen.queue_delay,
            is_warm: chosen.is_warm,
        })
    }

    /// Returns whether a request is sent to a free slot although its answer is expected after its deadline.
    ///
    /// Load pattern: upstreams were slow and are idle now. The estimates recover only if requests are sent, so a
    /// request serves as a probe if at least half of its objective is left and its deadline is at least two objectives
    /// away.
    fn is_probe<K>(&self, candidate: &RankedCandidate<K>) -> bool {
        let has_time = self.deadline_left >= self.objective * 2;
        candidate.queue_delay.is_zero() && has_time && self.objective_left * 2 >= self.objective
    }

    /// Returns the candidate with its rank, its estimated queue delay and response time.
    fn rank_candidate<K: Copy>(&self, candidate: &UpstreamCandidate<K>) -> RankedCandidate<K> {
        let service_time = if candidate.is_warm {
            candidate.times.warm
        } else {
            candidate.times.cold
        };
        let excess = (candidate.in_flight + 1).saturating_sub(candidate.slots);
        let rounds = f64::from(excess) / f64::from(candidate.slots.max(1));
        let queue_delay = self.slot_time.mul_f64(rounds * candidate.slowness);
        RankedCandidate {
            key: candidate.key,
            rank: self.rank(candidate),
            is_warm: candidate.is_warm,
            expected: queue_delay + service_time.mul_f64(candidate.slowness),
            queue_delay,
            warm_time: candidate.times.warm.mul_f64(candidate.slowness),
            load: f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1)),
            is_cache_full: candidate.is_cache_full,
        }
    }

    /// Returns whether the object migrates from a warm upstream to one that comes earlier in its preference order.
    fn should_migrate<K>(
        &self,
        warm: &RankedCandidate<K>,
        cold: &RankedCandidate<K>,
        load: f64,
    ) -> bool {
        let is_preferred = cold.rank > warm.rank && !cold.is_cache_full;
        self.may_migrate
            && is_preferred
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
        best: &BestCandidates<K>,
        cold: &RankedCandidate<K>,
        load: f64,
    ) -> bool {
        let adds_nearby = cold.rank.is_nearby && !best.has_nearby_warm;
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

/// The best candidate of each class.
struct BestCandidates<K> {
    /// The first in the preference order among the warm candidates that meet the objective.
    warm_in_time: Option<RankedCandidate<K>>,
    /// The fastest among the warm candidates that miss the objective but have a free slot.
    warm_late: Option<RankedCandidate<K>>,
    /// The first in the preference order among the candidates where the object is cold. Nearby candidates with free
    /// cache space go first.
    cold: Option<RankedCandidate<K>>,
    /// The first in the preference order, whatever its load.
    preferred: Option<RankedCandidate<K>>,
    has_warm: bool,
    has_nearby_warm: bool,
}

impl<K> Default for BestCandidates<K> {
    fn default() -> Self {
        Self {
            warm_in_time: None,
            warm_late: None,
            cold: None,
            preferred: None,
            has_warm: false,
            has_nearby_warm: false,
        }
    }
}

impl<K: Copy> BestCandidates<K> {
    fn add(&mut self, candidate: RankedCandidate<K>, objective_left: Duration) {
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
            if is_preferred(&self.warm_in_time) {
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
    fn new_reason(&self, cold: &RankedCandidate<K>) -> PlacementReason {
        let is_later = |preferred: RankedCandidate<K>| preferred.rank > cold.rank;
        if self.preferred.is_some_and(is_later) {
            PlacementReason::Overflow
        } else {
            PlacementReason::New
        }
    }
}

/// Returns the number of requests in flight per slot over all candidates.
fn pool_load<K>(candidates: impl Iterator<Item = UpstreamCandidate<K>>) -> f64 {
    let (mut in_flight, mut slots) = (0, 0);
    for candidate in candidates {
        in_flight += candidate.in_flight;
        slots += candidate.slots;
    }
    f64::from(in_flight) / f64::from(slots.max(1))
}

/// Maps a hash to a number in the open interval from 0 to 1.
fn uniform(hash: u64) -> f64 {
    /// Number of hash bits that an `f64` represents exactly.
    const MANTISSA_BITS: u32 = 52;
    #[expect(clippy::cast_precision_loss)]
    let numerator = (hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5;
    numerator / 2f64.powi(MANTISSA_BITS.cast_signed())
}
