//! Chooses the upstream for a request.
//!
//! Load pattern: demand beyond the slots, the usual state. Work at an upstream that handled the object lately takes
//! a fraction of the time, so a short queue there beats a free slot elsewhere. A new place is opened only where no
//! warm one answers within the objective, and all instances open the same one.

use std::time::Duration;

use crate::service_times::TimeEstimate;

/// The queue an upstream may have, as a part of its slots, before a warm request goes elsewhere.
const QUEUE_PART: f64 = 1.5;
/// The part of the objective within which a warm answer must be expected at a new place. The rest is for the way
/// between caller and instance, and for answers that take longer than usual.
const NEAR_PART: f64 = 0.8;

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct PlaceCandidate<K> {
    /// The upstream.
    pub key: K,
    /// The rendezvous weight of the upstream for the object.
    pub weight: u64,
    /// Times to an answer without a queue.
    pub times: TimeEstimate,
    /// Requests of all instances in flight.
    pub in_flight: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it handled the object lately.
    pub is_warm: bool,
    /// How many times longer than usual it takes.
    pub slowness: f64,
}

/// What the decision knows of the request.
#[derive(Debug, Clone, Copy)]
pub struct PlaceTask {
    /// Time that one slot of the pool is used by a request, on average.
    pub slot_time: Duration,
    /// The whole objective.
    pub objective: Duration,
    /// What is left of the objective.
    pub objective_left: Duration,
    /// What is left of the deadline.
    pub deadline_left: Duration,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlaceChoice<K> {
    /// The upstream.
    pub key: K,
    /// The expected time to the answer.
    pub expected: Duration,
    /// The expected time in the upstream's queue.
    pub queue: Duration,
    /// Whether it handled the object lately.
    pub is_warm: bool,
}

/// How good a new place is: whether warm answers will meet the objective there, then the weight.
type NewPlaceRank = (bool, u64);

impl PlaceTask {
    /// Returns the expected time until a candidate's answer.
    fn choice<K: Copy>(&self, candidate: &PlaceCandidate<K>) -> PlaceChoice<K> {
        let service = if candidate.is_warm {
            candidate.times.warm
        } else {
            candidate.times.cold
        };
        let ahead = (candidate.in_flight + 1).saturating_sub(candidate.slots);
        let turns = f64::from(ahead) / f64::from(candidate.slots.max(1));
        let queue = self.slot_time.mul_f64(turns * candidate.slowness);
        PlaceChoice {
            key: candidate.key,
            expected: queue + service.mul_f64(candidate.slowness),
            queue,
            is_warm: candidate.is_warm,
        }
    }

    fn new_place_rank<K>(&self, candidate: &PlaceCandidate<K>) -> NewPlaceRank {
        let warm = candidate.times.warm.mul_f64(candidate.slowness);
        let is_near = warm <= self.objective.mul_f64(NEAR_PART);
        // A slow upstream attracts fewer objects, alike at all instances.
        (is_near, scaled_weight(candidate.weight, candidate.slowness))
    }

    /// Chooses among candidates, or returns nothing if all are busy or too late.
    pub fn choose<K: Copy>(
        &self,
        candidates: impl Iterator<Item = PlaceCandidate<K>>,
    ) -> Option<PlaceChoice<K>> {
        let mut best_warm: Option<PlaceChoice<K>> = None;
        let mut best_new: Option<(NewPlaceRank, PlaceChoice<K>)> = None;
        for candidate in candidates {
            let choice = self.choice(&candidate);
            if candidate.is_warm && has_queue_room(&candidate) {
                if best_warm.is_none_or(|best| choice.expected < best.expected) {
                    best_warm = Some(choice);
                }
            } else if candidate.in_flight < candidate.slots {
                let rank = self.new_place_rank(&candidate);
                if best_new.is_none_or(|(best, _)| rank > best) {
                    best_new = Some((rank, choice));
                }
            }
        }
        let in_time = |choice: &PlaceChoice<K>| choice.expected <= self.objective_left;
        let late_or_new = || match (best_warm, best_new) {
            // The request is late either way; a new place that is near serves the next ones in time.
            (Some(warm), Some(((false, _), new))) if warm.expected <= new.expected => Some(warm),
            (_, Some((_, new))) => Some(new),
            (warm, None) => warm,
        };
        best_warm
            .filter(in_time)
            .or_else(late_or_new)
            .filter(|choice| choice.expected <= self.deadline_left)
    }
}

fn has_queue_room<K>(candidate: &PlaceCandidate<K>) -> bool {
    f64::from(candidate.in_flight) < f64::from(candidate.slots) * (1.0 + QUEUE_PART)
}

/// Divides a weight by the slowness. Weights are uniform, so the highest one is as likely to fall as the quotient says.
fn scaled_weight(weight: u64, slowness: f64) -> u64 {
    if slowness <= 1.0 {
        return weight;
    }
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let scaled = (weight as f64 / slowness) as u64;
    scaled
}
