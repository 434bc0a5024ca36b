//! Chooses the upstream for a request.
//!
//! Load pattern: demand beyond the slots, the usual state. Work at an upstream that handled the object lately takes
//! a fraction of the time, so a short queue there beats a free slot elsewhere. Every object has a fixed order of
//! upstreams, the same at all instances and after a restart, so that it is kept warm at as few places as its load needs.

use std::time::Duration;

use crate::service_times::TimeEstimate;

/// The queue an upstream may have, as a part of its slots, before a warm request goes elsewhere.
const QUEUE_PART: f64 = 0.8;
/// The queue an upstream may have before it gets no new objects.
const NEW_QUEUE_PART: f64 = 0.25;
/// The load of the pool below which an object moves up in its order.
const MOVE_LOAD: f64 = 0.6;
/// The load of the pool below which an object that is late at its warm places gets one more.
const OPEN_LOAD: f64 = 0.75;
/// The same where the warm places are too far to meet the objective at all.
const NEARER_LOAD: f64 = 0.95;
/// The part of the objective within which a warm answer must be expected at a new place. The rest is for the way
/// between caller and instance, and for answers that take longer than usual.
const NEAR_PART: f64 = 0.8;
/// How many times more objects an upstream in the caller's region attracts. It keeps most of the traffic in
/// the region and still spreads the load of a region with few upstreams over the others.
const HOME_FACTOR: f64 = 6.0;
/// The same for requests with large bodies, which cost more bytes and several round trips on the way to another region.
const LARGE_BODY_HOME_FACTOR: f64 = 30.0;
/// An upstream that is slower than this attracts fewer objects. Below, its slowness may be chance, and the order of
/// upstreams must not change by chance.
const SLOW: f64 = 1.6;

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate<K> {
    /// The upstream.
    pub key: K,
    /// The hash of the upstream and the object.
    pub rendezvous_hash: u64,
    /// Whether it lies in the region of this instance.
    pub is_local_region: bool,
    /// Times to an answer without a queue.
    pub times: TimeEstimate,
    /// Requests of all instances in flight.
    pub in_flight: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it handled the object lately, and remembers it.
    pub is_warm: bool,
    /// Whether it would forget an object in use for a new one.
    pub is_cache_full: bool,
    /// How many times longer than usual it takes.
    pub slowness: f64,
}

/// What the decision knows of the request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest {
    /// Time that one slot of the pool is used by a request, on average.
    pub slot_time: Duration,
    /// The whole objective.
    pub objective: Duration,
    /// What is left of the objective.
    pub objective_left: Duration,
    /// What is left of the deadline.
    pub deadline_left: Duration,
    /// Whether requests like this have large bodies.
    pub has_large_bodies: bool,
    /// Whether the object may move to a place that is not warm yet, because the request can be sent there twice.
    pub may_migrate: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementDecision<K> {
    /// The upstream.
    pub key: K,
    /// The expected time to the answer.
    pub expected: Duration,
    /// The expected time in the upstream's queue.
    pub queue_delay: Duration,
    /// Whether it handled the object lately.
    pub is_warm: bool,
}

/// The place of an upstream in an object's order: those where warm answers meet the objective come first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct PlaceRank {
    is_near: bool,
    score: f64,
}

#[derive(Debug, Clone, Copy)]
struct RankedChoice<K> {
    rank: PlaceRank,
    choice: PlacementDecision<K>,
    /// The time to a warm answer without a queue.
    warm: Duration,
    /// Requests in flight as a part of the slots.
    load: f64,
    is_crowded: bool,
}

impl PlacementRequest {
    /// Returns the expected time until a candidate's answer.
    fn choice<K: Copy>(&self, candidate: &UpstreamCandidate<K>) -> PlacementDecision<K> {
        let service = if candidate.is_warm {
            candidate.times.warm
        } else {
            candidate.times.cold
        };
        let ahead = (candidate.in_flight + 1).saturating_sub(candidate.slots);
        let turns = f64::from(ahead) / f64::from(candidate.slots.max(1));
        let queue_delay = self.slot_time.mul_f64(turns * candidate.slowness);
        PlacementDecision {
            key: candidate.key,
            expected: queue_delay + service.mul_f64(candidate.slowness),
            queue_delay,
            is_warm: candidate.is_warm,
        }
    }

    /// Returns the place in the object's order: weighted rendezvous hashing over slots, region and slowness.
    fn rank<K>(&self, candidate: &UpstreamCandidate<K>) -> PlaceRank {
        let slowness = if candidate.slowness > SLOW {
            candidate.slowness
        } else {
            1.0
        };
        let warm = candidate.times.warm.mul_f64(slowness);
        let factor = match (candidate.is_local_region, self.has_large_bodies) {
            (false, _) => 1.0,
            (true, false) => HOME_FACTOR,
            (true, true) => LARGE_BODY_HOME_FACTOR,
        };
        let weight = f64::from(candidate.slots) * factor / slowness;
        PlaceRank {
            is_near: warm <= self.objective.mul_f64(NEAR_PART),
            score: -weight / uniform(candidate.rendezvous_hash).ln(),
        }
    }

    /// Chooses among candidates, or returns nothing if the request should wait.
    pub fn choose<K: Copy>(
        &self,
        candidates: impl Iterator<Item = UpstreamCandidate<K>> + Clone,
    ) -> Option<PlacementDecision<K>> {
        let load = pool_load(candidates.clone());
        let mut best = BestPlaces::default();
        for candidate in candidates {
            best.add(self.ranked(&candidate), self.objective_left);
        }
        let chosen = match (best.in_time, best.new) {
            (Some(warm), Some(new)) if self.should_move(&warm, &new, load) => Some(new),
            (Some(warm), _) => Some(warm),
            (None, new) if !best.has_warm => new.filter(|new| Self::may_place(new, load)),
            (None, Some(new)) if self.should_open(&best, &new, load) => Some(new),
            (None, _) => best.late,
        };
        chosen
            .map(|chosen| chosen.choice)
            .filter(|choice| choice.expected <= self.deadline_left || self.is_trial(choice))
    }

    /// Decides whether a request goes to a free slot although its answer is expected after its deadline.
    ///
    /// Load pattern: upstreams were slow for a while, and now are idle. Without a request nobody would learn that, so one that
    /// has most of its objective and a multiple of it until its deadline is sent.
    fn is_trial<K>(&self, choice: &PlacementDecision<K>) -> bool {
        let has_time = self.deadline_left >= self.objective * 2;
        choice.queue_delay.is_zero() && has_time && self.objective_left * 2 >= self.objective
    }

    fn ranked<K: Copy>(&self, candidate: &UpstreamCandidate<K>) -> RankedChoice<K> {
        RankedChoice {
            rank: self.rank(candidate),
            choice: self.choice(candidate),
            warm: candidate.times.warm.mul_f64(candidate.slowness),
            load: f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1)),
            is_crowded: candidate.is_cache_full,
        }
    }

    /// Decides whether the object moves from a warm place to one that comes earlier in its order.
    fn should_move<K>(&self, warm: &RankedChoice<K>, new: &RankedChoice<K>, load: f64) -> bool {
        let is_earlier = new.rank > warm.rank && !new.is_crowded;
        self.may_migrate && is_earlier && load < MOVE_LOAD && new.load < MOVE_LOAD
    }

    /// Decides whether a request that is late at every warm place opens a new one.
    ///
    /// A first run costs several times the work, so in a loaded pool new places would take the capacity that the warm
    /// ones need, and their number would push other objects out. The pool would not recover from that by itself.
    fn should_open<K>(&self, best: &BestPlaces<K>, new: &RankedChoice<K>, load: f64) -> bool {
        let is_nearer = new.rank.is_near && !best.has_near_warm;
        let most = if is_nearer { NEARER_LOAD } else { OPEN_LOAD };
        // One that came back too late to be in time anywhere tells nothing about the places.
        let could_be_in_time = new.warm <= self.objective_left;
        could_be_in_time && load < most && new.load < 1.0 && !new.is_crowded
    }

    /// Decides whether an object that is warm nowhere gets a place.
    ///
    /// Where all upstreams are crowded and loaded, each new object pushes out another one that is then new in turn, and a
    /// pool serves a fraction of what it could. Those that are warm are served first.
    fn may_place<K>(new: &RankedChoice<K>, load: f64) -> bool {
        !new.is_crowded || load < OPEN_LOAD
    }
}

/// The best places of each sort.
struct BestPlaces<K> {
    /// Warm, and within the objective: the first in the object's order.
    in_time: Option<RankedChoice<K>>,
    /// Warm, late, and with a free slot: the soonest.
    late: Option<RankedChoice<K>>,
    /// Not warm: the first in the object's order.
    new: Option<RankedChoice<K>>,
    has_warm: bool,
    has_near_warm: bool,
}

impl<K> Default for BestPlaces<K> {
    fn default() -> Self {
        Self {
            in_time: None,
            late: None,
            new: None,
            has_warm: false,
            has_near_warm: false,
        }
    }
}

impl<K: Copy> BestPlaces<K> {
    fn add(&mut self, ranked: RankedChoice<K>, objective_left: Duration) {
        let is_earlier = |best: &Option<RankedChoice<K>>| {
            best.as_ref().is_none_or(|best| ranked.rank > best.rank)
        };
        if !ranked.choice.is_warm {
            let order = |ranked: &RankedChoice<K>| {
                (ranked.rank.is_near, !ranked.is_crowded, ranked.rank.score)
            };
            let is_better = |new: &RankedChoice<K>| order(&ranked) > order(new);
            if ranked.load < 1.0 + NEW_QUEUE_PART && self.new.as_ref().is_none_or(is_better) {
                self.new = Some(ranked);
            }
            return;
        }
        self.has_warm = true;
        self.has_near_warm |= ranked.rank.is_near;
        if ranked.choice.expected <= objective_left && ranked.load < 1.0 + QUEUE_PART {
            if is_earlier(&self.in_time) {
                self.in_time = Some(ranked);
            }
        } else if ranked.load < 1.0 {
            // A late answer is worth little: it must not delay those that can be in time.
            let is_sooner = |late: &RankedChoice<K>| ranked.choice.expected < late.choice.expected;
            if self.late.as_ref().is_none_or(is_sooner) {
                self.late = Some(ranked);
            }
        }
    }
}

/// Returns the requests in flight at all candidates as a part of their slots.
fn pool_load<K>(candidates: impl Iterator<Item = UpstreamCandidate<K>>) -> f64 {
    let (mut in_flight, mut slots) = (0, 0);
    for candidate in candidates {
        in_flight += candidate.in_flight;
        slots += candidate.slots;
    }
    f64::from(in_flight) / f64::from(slots.max(1))
}

/// Returns a hash as a number above 0 and below 1.
fn uniform(hash: u64) -> f64 {
    /// Bits of a hash that an `f64` holds exactly.
    const BITS: u32 = 52;
    #[expect(clippy::cast_precision_loss)]
    let numerator = (hash >> (u64::BITS - BITS)) as f64 + 0.5;
    numerator / 2f64.powi(BITS.cast_signed())
}
