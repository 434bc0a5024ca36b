//! Learns how long requests of a route take at an upstream that has handled their object lately, and at one that has
//! not.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The part of the objective that a warm request is expected to take before one was seen.
const FIRST_WARM_PART: f64 = 0.4;
/// The part of the objective that a request at a new place is expected to take before one was seen.
const FIRST_COLD_PART: f64 = 1.3;
/// The weight of a new answer in the average.
const LEARN_PART: f64 = 0.1;
/// A warm request that took a larger part of the time of a cold one was not warm.
const WARM_LIMIT: f64 = 0.7;

/// A moving average of durations.
#[derive(Debug, Default)]
pub struct AverageTime {
    /// Seconds as the bits of an `f64`; zero before the first value.
    seconds: AtomicU64,
}

impl AverageTime {
    /// Adds a value.
    pub fn learn(&self, value: Duration) {
        let seen = value.as_secs_f64();
        let next = self.get().map_or(seen, |known| {
            known.as_secs_f64() * (1.0 - LEARN_PART) + seen * LEARN_PART
        });
        self.seconds.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Returns the average, if there is a value.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        let seconds = f64::from_bits(self.seconds.load(Ordering::Relaxed));
        (seconds > 0.0).then(|| Duration::from_secs_f64(seconds))
    }
}

/// The average service times of a route.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    warm: AverageTime,
    cold: AverageTime,
}

/// The service times that a decision uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeEstimate {
    /// Where the object was handled lately.
    pub warm: Duration,
    /// Anywhere else.
    pub cold: Duration,
}

impl ServiceTimes {
    /// Returns the estimate for a route with this objective.
    #[must_use]
    pub fn estimate(&self, objective: Duration) -> TimeEstimate {
        let warm = self.warm.get();
        let cold = self.cold.get();
        TimeEstimate {
            warm: warm.unwrap_or(objective.mul_f64(FIRST_WARM_PART)),
            cold: cold.unwrap_or(objective.mul_f64(FIRST_COLD_PART)),
        }
    }

    /// Learns from an answer that did not wait in a queue.
    pub fn learn(&self, is_warm: bool, took: Duration) {
        if !is_warm {
            self.cold.learn(took);
        } else if self
            .cold
            .get()
            .is_none_or(|cold| took < cold.mul_f64(WARM_LIMIT))
        {
            self.warm.learn(took);
        }
    }
}
