//! Which upstreams suit a request that none of them can take now, and when each is expected to have room for it.
//!
//! Load pattern: an object is warm at a few upstreams whose queues are full, while others of the pool have room. The
//! pool completes many requests per second, but the request gets a slot only at those few, or at a cold upstream once
//! enough of the region is idle. The rules are those of [`PlacementRequest::choose`].

use std::time::Duration;

use crate::placement::placement_request::{
    EXPANSION_LOAD_LIMIT, MAX_COLD_QUEUE_FRACTION, MAX_WARM_QUEUE_FRACTION,
    NEARBY_EXPANSION_LOAD_LIMIT, PlacementRequest, RankedCandidate, UpstreamCandidate,
};
use crate::placement::region_candidates::RegionCandidates;

/// Completions in place of one by which the requests in flight in a region decrease by one: new requests take most of
/// the slots.
const COMPLETIONS_PER_IDLE_SLOT: u32 = 4;
/// Multiple of the possible wait up to which an expected turn may still come in time: runs that begin together end
/// together, and the cost of work changes many times a second.
const TURN_TOLERANCE: u32 = 2;
/// Number of times that the interval of possible turns is halved.
const TURN_SEARCH_STEPS: usize = 12;

/// An upstream that may run a request.
#[derive(Debug, Clone, Copy)]
pub struct ForecastCandidate<K> {
    /// The upstream and its load.
    pub candidate: UpstreamCandidate<K>,
    /// Time for which it receives no request whatever its load.
    pub closed_for: Duration,
}

/// When an upstream that suits a request has room for it.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRoom<K> {
    /// Key of the upstream.
    pub key: K,
    /// Whether the object is warm there.
    pub is_warm: bool,
    /// Requests of this kind that it can take now; negative if some must be completed first.
    pub free: f64,
    /// Time between two requests that it completes.
    pub turn_time: Duration,
    /// Time for which it receives no request whatever its load.
    pub closed_for: Duration,
}

/// Requests per slot up to which an upstream takes a request.
#[derive(Debug, Clone, Copy)]
struct RoomLimit {
    upstream_load: f64,
    /// The same for its region, where the request needs idle slots.
    region_load: Option<f64>,
}

impl PlacementRequest {
    /// Returns the upstreams that suit the request with their room. Without any, no upstream is expected to answer in
    /// time.
    pub fn forecast_room<K: Copy>(
        &self,
        candidates: impl Iterator<Item = ForecastCandidate<K>>,
    ) -> Vec<UpstreamRoom<K>> {
        let mut assigned = RegionCandidates::default();
        let mut others = RegionCandidates::default();
        let mut ranked = Vec::new();
        for entry in candidates {
            let candidate = self.rank_candidate(&entry.candidate);
            let region = if candidate.is_assigned_region {
                &mut assigned
            } else {
                &mut others
            };
            region.count(&entry.candidate);
            region.add(candidate, self.objective_left);
            ranked.push((entry, candidate));
        }
        let is_placed_elsewhere = others.has_warm && !assigned.has_warm;
        let rooms = ranked.iter().filter_map(|(entry, candidate)| {
            let may_run_there = candidate.is_assigned_region
                || self.may_change_region
                || (is_placed_elsewhere && candidate.is_warm);
            let region = if candidate.is_assigned_region {
                &assigned
            } else {
                &others
            };
            may_run_there.then(|| self.upstream_room(entry, candidate, region))?
        });
        rooms.collect()
    }

    fn upstream_room<K: Copy>(
        &self,
        entry: &ForecastCandidate<K>,
        candidate: &RankedCandidate<K>,
        region: &RegionCandidates<K>,
    ) -> Option<UpstreamRoom<K>> {
        if candidate.expected > self.deadline_left && !self.is_probe(candidate) {
            return None;
        }
        let limit = self.room_limit(candidate, region)?;
        let slots = f64::from(entry.candidate.slots.max(1));
        // Little's law: the requests in flight divided by the time for which each is in flight are completed per second.
        let completed_per_slot = region.load().max(1.0);
        let factor = entry.candidate.slowness * entry.candidate.cost_factor;
        let turn_time = self
            .slot_time
            .mul_f64(factor / (slots * completed_per_slot));
        let free = (slots * limit.upstream_load).ceil() - f64::from(entry.candidate.in_flight);
        let room = UpstreamRoom {
            key: candidate.key,
            is_warm: candidate.is_warm,
            free,
            turn_time,
            closed_for: entry.closed_for,
        };
        Some(match limit.region_load {
            None => room,
            Some(region_load) => UpstreamRoom {
                free: free.min((region_load - region.load()) * slots),
                turn_time: turn_time * COMPLETIONS_PER_IDLE_SLOT,
                ..room
            },
        })
    }

    /// Returns the loads up to which an upstream takes the request; `None` if it does not at any load.
    fn room_limit<K: Copy>(
        &self,
        candidate: &RankedCandidate<K>,
        region: &RegionCandidates<K>,
    ) -> Option<RoomLimit> {
        let limit = |upstream_load, region_load| {
            Some(RoomLimit {
                upstream_load,
                region_load,
            })
        };
        if candidate.is_warm {
            // The work may cost as usual again when the request has its turn.
            let usual = candidate.expected.div_f64(candidate.cost_factor.max(1.0));
            let is_in_time = usual <= self.objective_left;
            let queue = if is_in_time {
                MAX_WARM_QUEUE_FRACTION
            } else {
                0.0
            };
            return limit(1.0 + queue, None);
        }
        if !region.has_warm {
            let region_load = candidate.is_cache_full.then_some(EXPANSION_LOAD_LIMIT);
            return limit(1.0 + MAX_COLD_QUEUE_FRACTION, region_load);
        }
        if candidate.is_cache_full || candidate.warm_time > self.objective_left {
            return None;
        }
        let adds_nearby = candidate.rank.is_nearby && !region.has_nearby_warm;
        let region_load = if adds_nearby {
            NEARBY_EXPANSION_LOAD_LIMIT
        } else {
            EXPANSION_LOAD_LIMIT
        };
        limit(1.0, Some(region_load))
    }
}

/// Returns whether a request may have its turn within `longest`, see [`expected_turn`].
#[must_use]
pub fn may_have_turn<K>(rooms: &[UpstreamRoom<K>], ahead: f64, longest: Duration) -> bool {
    expected_turn(rooms, ahead, longest * TURN_TOLERANCE).is_some()
}

/// Returns the time until a request has its turn at one of the upstreams that suit it, if `ahead` requests that compete
/// for them have theirs before. Returns `None` if that takes longer than `longest`.
#[must_use]
pub fn expected_turn<K>(
    rooms: &[UpstreamRoom<K>],
    ahead: f64,
    longest: Duration,
) -> Option<Duration> {
    let has_turn = |after: Duration| {
        let turns = rooms.iter().filter(|room| room.closed_for <= after);
        let turns = turns.map(|room| {
            let completed = after.as_secs_f64() / room.turn_time.as_secs_f64().max(f64::EPSILON);
            (room.free + completed).max(0.0)
        });
        turns.sum::<f64>() >= ahead + 1.0
    };
    if has_turn(Duration::ZERO) {
        return Some(Duration::ZERO);
    }
    if !has_turn(longest) {
        return None;
    }
    let (mut earliest, mut latest) = (Duration::ZERO, longest);
    for _ in 0..TURN_SEARCH_STEPS {
        let middle = (earliest + latest) / 2;
        if has_turn(middle) {
            latest = middle;
        } else {
            earliest = middle;
        }
    }
    Some(latest)
}
