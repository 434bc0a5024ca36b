//! When a pool is expected to have room, for admission to the queue and for the return of refused callers.
//!
//! Load pattern: a burst in which all instances have queues. A queue that counts only its own requests would let them
//! wait for slots that the queues of the other instances take, and refuse them after their objective.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::atomic_time::AtomicTime;

/// Age of the oldest waiting request from which the measured rate of completions is the rate at which slots become free.
/// Before that, slots may have been idle.
const STANDING_WAIT: Duration = Duration::from_millis(200);
/// Fraction of the objective after which a request that has no slot is refused. The rest of its half covers the way
/// between caller and instance.
const HELD_FRACTION: f64 = 0.45;
/// Fraction of the remaining time up to which callers follow a delay.
const FOLLOWED_FRACTION: f64 = 1.0 / 3.0;
/// Shortest delay, which separates callers that return from those that repeat at once.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(20);
/// Lowest rate, in turns per second, for which a wait is estimated.
const MIN_TURNS_PER_S: f64 = 0.1;

/// What waits for a pool and how fast it completes requests, at this instance or at all others together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueLoad {
    /// Requests that wait.
    pub waiting: u32,
    /// The longest time for which one of them has waited.
    pub oldest_wait: Duration,
    /// Requests that are completed per second.
    pub completed_per_s: f64,
}

/// Time between two turns in the queue of this instance. Slots become free at the rate of completions of all instances,
/// or at the rate that the slots allow while no queue stands; each instance gets its part of the waiting requests.
///
/// `capacity_per_s` is the rate that the slots allow.
#[must_use]
pub fn turn_time(own: QueueLoad, others: QueueLoad, capacity_per_s: f64) -> Duration {
    let completed_per_s = own.completed_per_s + others.completed_per_s;
    let is_standing = own.oldest_wait.max(others.oldest_wait) >= STANDING_WAIT;
    let per_s = if is_standing && completed_per_s > 0.0 {
        completed_per_s
    } else {
        completed_per_s.max(capacity_per_s)
    };
    let own_part = f64::from(own.waiting + 1) / f64::from(own.waiting + others.waiting + 1);
    Duration::from_secs_f64(1.0 / (per_s * own_part).max(MIN_TURNS_PER_S))
}

/// Returns until when a request may wait that arrived at `arrived`: as long as `max_wait` from `now` on, but no longer
/// than half of its objective in all, less the way to the caller, so that a caller that cannot be served learns it in
/// time.
#[must_use]
pub fn wait_until(
    arrived: MonotonicTime,
    objective: Duration,
    max_wait: Duration,
    now: MonotonicTime,
) -> MonotonicTime {
    (now + max_wait).min(arrived + longest_hold(objective))
}

/// Returns how long a request may be held before it is refused.
#[must_use]
pub fn longest_hold(objective: Duration) -> Duration {
    objective.mul_f64(HELD_FRACTION)
}

/// Completions of one pool at this instance, counted by request threads and averaged by the control thread.
#[derive(Debug, Default)]
pub struct CompletionRate {
    completed: AtomicU64,
    per_s: AtomicU64,
}

impl CompletionRate {
    /// Counts a request that has left its slot.
    pub fn count(&self) {
        self.completed.fetch_add(1, Ordering::Relaxed);
    }

    /// Updates the average after `period`.
    pub fn update(&self, period: Duration) {
        /// Time over which completions are averaged.
        const AVERAGING_TIME: Duration = Duration::from_millis(500);
        if period.is_zero() {
            return;
        }
        #[expect(clippy::cast_precision_loss)]
        let completed = self.completed.swap(0, Ordering::Relaxed) as f64;
        let weight = (period.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).min(1.0);
        let average = self.per_s();
        let next = average + (completed / period.as_secs_f64() - average) * weight;
        self.per_s.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Returns the average in completions per second.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        f64::from_bits(self.per_s.load(Ordering::Relaxed))
    }
}

/// Hands out the times at which refused callers return to one pool: one behind the other, each when room for it is
/// expected.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    next: AtomicTime,
}

impl ReturnSchedule {
    /// Returns the delay of the next refused caller, who follows delays of up to a third of `deadline_left`. `queue_wait`
    /// is the time until the waiting requests have had their turns, and `turn_time` the time between two turns.
    pub fn delay(
        &self,
        queue_wait: Duration,
        turn_time: Duration,
        deadline_left: Duration,
        now: MonotonicTime,
    ) -> Duration {
        let longest = deadline_left.mul_f64(FOLLOWED_FRACTION);
        let earliest = now + queue_wait.clamp(MIN_RETURN_DELAY, longest.max(MIN_RETURN_DELAY));
        let at = self
            .next
            .get()
            .max(earliest)
            .min(now + longest.max(MIN_RETURN_DELAY));
        self.next.advance(at + turn_time);
        if self.next.get() > now + longest {
            // Callers return within the longest delay, so what lies behind it begins anew at the end of the queue.
            self.next.set(earliest);
        }
        at.since(now)
    }
}
