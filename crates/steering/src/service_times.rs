//! Learns how long requests of a route take in each region: at an upstream that has handled their object lately, and at
//! one that has not.
//!
//! What a route's requests pay for the way differs: a large body takes several round trips, and one that must not run
//! twice often needs a new connection. So the whole time is learned for each region instead of adding a round trip.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_model::{Arena, RegionKey};

/// The part of the objective that a warm request is expected to take before one was seen.
const FIRST_WARM_PART: f64 = 0.4;
/// The part of the objective that a request at a new place is expected to take beyond that before one was seen.
const FIRST_EXTRA_PART: f64 = 0.5;
/// The round trips to another region that a request is expected to take before one was seen there.
const FIRST_ROUND_TRIPS: u32 = 2;
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
    pub fn record(&self, value: Duration) {
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

/// The time that callers of a route state at first: the majority of the times stated, while what callers state after
/// a refusal differs each time.
#[derive(Debug, Default)]
struct UsualPatience {
    milliseconds: AtomicU64,
    votes: AtomicU64,
}

impl UsualPatience {
    /// Adds a time and returns the majority (the vote of Boyer and Moore). Two threads that vote at once may lose
    /// a vote, which changes nothing while one time is far more frequent.
    fn vote(&self, patience: Duration) -> Duration {
        /// Votes beyond this are not counted, so that a change of the usual time is noticed.
        const MOST_VOTES: u64 = 50;
        let stated = u64::try_from(patience.as_millis()).unwrap_or(u64::MAX);
        let usual = self.milliseconds.load(Ordering::Relaxed);
        let votes = self.votes.load(Ordering::Relaxed);
        if votes == 0 {
            self.milliseconds.store(stated, Ordering::Relaxed);
            self.votes.store(1, Ordering::Relaxed);
            return patience;
        }
        let next = if stated == usual {
            (votes + 1).min(MOST_VOTES)
        } else {
            votes - 1
        };
        self.votes.store(next, Ordering::Relaxed);
        Duration::from_millis(usual)
    }
}

/// The average times of a route.
#[derive(Debug)]
pub struct ServiceTimes {
    home: RegionKey,
    warm: Arena<RegionKey, AverageTime>,
    /// What a request at a new place takes longer.
    extra: AverageTime,
    usual_patience: UsualPatience,
}

/// The times that a decision uses, from sending a request to its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeEstimate {
    /// Where the object was handled lately.
    pub warm: Duration,
    /// Anywhere else.
    pub cold: Duration,
}

impl ServiceTimes {
    /// Makes the times of a route as seen from an instance in the region `home`.
    #[must_use]
    pub fn new(home: RegionKey, regions: usize) -> Self {
        Self {
            home,
            warm: (0..regions).map(|_| AverageTime::default()).collect(),
            extra: AverageTime::default(),
            usual_patience: UsualPatience::default(),
        }
    }

    /// Returns the estimate for a region at this distance, for a route with this objective.
    #[must_use]
    pub fn estimate(
        &self,
        region: RegionKey,
        distance: Duration,
        objective: Duration,
    ) -> TimeEstimate {
        let warm = self.warm[region].get().unwrap_or_else(|| {
            let at_home = self.warm[self.home].get();
            at_home.unwrap_or(objective.mul_f64(FIRST_WARM_PART)) + distance * FIRST_ROUND_TRIPS
        });
        let extra = self.extra.get();
        TimeEstimate {
            warm,
            cold: warm + extra.unwrap_or(objective.mul_f64(FIRST_EXTRA_PART)),
        }
    }

    /// Returns how long ago the caller sent its request first. A caller that comes back after a refusal states what is
    /// left of its time, so the difference to the time that callers usually state has passed.
    pub fn request_age(&self, patience: Duration) -> Duration {
        self.usual_patience.vote(patience).saturating_sub(patience)
    }

    /// Learns from an answer that did not wait in a queue.
    pub fn record(&self, region: RegionKey, expected: TimeEstimate, is_warm: bool, took: Duration) {
        if !is_warm {
            self.extra.record(took.saturating_sub(expected.warm));
        } else if took < expected.cold.mul_f64(WARM_LIMIT) || self.warm[region].get().is_none() {
            self.warm[region].record(took);
        }
    }
}
