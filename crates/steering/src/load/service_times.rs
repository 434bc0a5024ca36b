//! Estimates how long requests of a route take in each region, separately for warm and cold upstreams. An upstream is
//! warm for a request if it is expected to have the object of the request cached, and cold for it otherwise, also after
//! its cold start.
//!
//! The cost of the network path differs by route: a large body takes several round trips, and a request that must not
//! be repeated often needs a new connection. The total time is therefore measured per region instead of adding one
//! round trip.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_model::{Arena, RegionKey};

/// Fraction of the objective that a warm request is assumed to take before the first measurement.
const DEFAULT_WARM_FRACTION: f64 = 0.4;
/// Fraction of the objective that a cold request is assumed to take in addition to a warm one before the first
/// measurement.
const DEFAULT_COLD_EXTRA_FRACTION: f64 = 0.5;
/// Round trips that a request to another region is assumed to take before the first measurement there.
const DEFAULT_REMOTE_ROUND_TRIPS: u32 = 1;
/// Weight of a new value in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Largest ratio of a warm response time to the expected cold one. If a request takes longer, the upstream no longer
/// had the object cached, so the time is no sample of a warm request.
const MAX_WARM_TO_COLD_RATIO: f64 = 0.7;

/// Exponential moving average of durations, updated by several threads.
#[derive(Debug, Default)]
pub struct AverageTime {
    /// Seconds as the bits of an `f64`; zero before the first value.
    seconds: AtomicU64,
}

impl AverageTime {
    /// Adds a value to the average.
    pub fn record(&self, value: Duration) {
        let value_s = value.as_secs_f64();
        let next = self.get().map_or(value_s, |average| {
            average.as_secs_f64() * (1.0 - SMOOTHING_FACTOR) + value_s * SMOOTHING_FACTOR
        });
        self.seconds.store(next.to_bits(), Ordering::Relaxed);
    }

    /// Returns the average, or `None` before the first value.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        let seconds = f64::from_bits(self.seconds.load(Ordering::Relaxed));
        (seconds > 0.0).then(|| Duration::from_secs_f64(seconds))
    }
}

/// The timeout that callers of a route state with the first attempt of a request: the majority of all stated timeouts.
/// After a refusal, callers state the remaining time, which differs each time.
#[derive(Debug, Default)]
struct TypicalTimeout {
    candidate_ms: AtomicU64,
    votes: AtomicU64,
}

impl TypicalTimeout {
    /// Adds a timeout and returns the majority so far (Boyer-Moore majority vote). Concurrent updates may lose a vote,
    /// which does not change the result while one timeout is far more frequent than the others.
    fn vote(&self, timeout: Duration) -> Duration {
        /// Upper bound of the vote count. It limits for how many requests a former typical timeout stays in use.
        const MAX_VOTES: u64 = 50;
        let stated_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let typical_ms = self.candidate_ms.load(Ordering::Relaxed);
        let votes = self.votes.load(Ordering::Relaxed);
        if votes == 0 {
            self.candidate_ms.store(stated_ms, Ordering::Relaxed);
            self.votes.store(1, Ordering::Relaxed);
            return timeout;
        }
        let next = if stated_ms == typical_ms {
            (votes + 1).min(MAX_VOTES)
        } else {
            votes - 1
        };
        self.votes.store(next, Ordering::Relaxed);
        Duration::from_millis(typical_ms)
    }
}

/// Average response times of the requests of one route.
#[derive(Debug)]
pub struct ServiceTimes {
    local_region: RegionKey,
    warm: Arena<RegionKey, AverageTime>,
    /// Additional time of a cold request compared to a warm one.
    cold_extra: AverageTime,
    typical_timeout: TypicalTimeout,
}

/// Expected times from sending a request to its answer, without queueing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeEstimate {
    /// Time at an upstream that is expected to have the object cached.
    pub warm: Duration,
    /// Time at any other upstream.
    pub cold: Duration,
}

impl ServiceTimes {
    /// Creates the times of a route without measurements, for an instance in the region `local_region` of `regions`
    /// regions.
    #[must_use]
    pub fn new(local_region: RegionKey, regions: usize) -> Self {
        Self {
            local_region,
            warm: (0..regions).map(|_| AverageTime::default()).collect(),
            cold_extra: AverageTime::default(),
            typical_timeout: TypicalTimeout::default(),
        }
    }

    /// Returns the estimate for a region. `round_trip`, the round-trip time to the region, and `objective`, the
    /// objective of the route, are used where no measurement exists.
    #[must_use]
    pub fn estimate(
        &self,
        region: RegionKey,
        round_trip: Duration,
        objective: Duration,
    ) -> TimeEstimate {
        let warm = self.warm[region].get().unwrap_or_else(|| {
            let local_time = self.warm[self.local_region].get();
            local_time.unwrap_or(objective.mul_f64(DEFAULT_WARM_FRACTION))
                + round_trip * DEFAULT_REMOTE_ROUND_TRIPS
        });
        let cold_extra = self.cold_extra.get();
        TimeEstimate {
            warm,
            cold: warm + cold_extra.unwrap_or(objective.mul_f64(DEFAULT_COLD_EXTRA_FRACTION)),
        }
    }

    /// Returns the time since the caller first sent the request. After a refusal, a caller states the remainder of
    /// its timeout, so the difference to the typical timeout is the time that has passed.
    pub fn request_age(&self, timeout: Duration) -> Duration {
        self.typical_timeout.vote(timeout).saturating_sub(timeout)
    }

    /// Adds the response time of a request that was not queued.
    pub fn record(
        &self,
        region: RegionKey,
        expected: TimeEstimate,
        is_warm: bool,
        elapsed: Duration,
    ) {
        if !is_warm {
            self.cold_extra
                .record(elapsed.saturating_sub(expected.warm));
        } else if elapsed < expected.cold.mul_f64(MAX_WARM_TO_COLD_RATIO)
            || self.warm[region].get().is_none()
        {
            self.warm[region].record(elapsed);
        }
    }
}
