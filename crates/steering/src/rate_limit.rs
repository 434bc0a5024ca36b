//! The rate limit that an upstream states in its answers.
//!
//! Load pattern: an upstream in need states how many requests per second it takes from all instances together, and keeps
//! stating it in every answer for as long as the limit holds. Instances learn of the limit and of its end from their own
//! answers and from one another.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use thiserror::Error;

use crate::atomic_time::AtomicTime;

/// Lowest limit that is applied, in requests per second. The end of a limit is learned from answers, so some requests
/// must be sent to an upstream that takes almost none.
const MIN_RATE_PER_S: f64 = 0.25;
/// Highest limit that is applied, in requests per second. No upstream answers that many.
const MAX_RATE_PER_S: f64 = 1_000_000.0;
/// Time after which a limit that no answer has stated again no longer holds. All instances together send an upstream
/// with the lowest limit a request every four seconds.
const LIMIT_LIFETIME: Duration = Duration::from_secs(10);

/// Requests per second that an upstream takes from all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    per_s: f64,
}

/// Why a number is no rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("{0} is not a number of requests per second")]
pub struct InvalidRate(f64);

impl TryFrom<f64> for RateLimit {
    type Error = InvalidRate;

    /// Converts a number of requests per second, bounded to the rates that can be applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is negative or not finite.
    fn try_from(per_s: f64) -> Result<Self, InvalidRate> {
        if !per_s.is_finite() || per_s < 0.0 {
            return Err(InvalidRate(per_s));
        }
        Ok(Self {
            per_s: per_s.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S),
        })
    }
}

impl RateLimit {
    /// Returns the limit in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.per_s
    }

    /// Returns the limit in thousandths of a request per second.
    #[must_use]
    pub fn to_milli(self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let milli = (self.per_s * 1_000.0) as u32;
        milli
    }

    /// Returns the limit of `milli` thousandths of a request per second; `None` for zero.
    #[must_use]
    pub fn from_milli(milli: u32) -> Option<Self> {
        (milli > 0).then(|| Self {
            per_s: f64::from(milli) / 1_000.0,
        })
    }
}

/// What an upstream states about itself in the headers of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamSignals {
    /// Its rate limit; `None` if it states none.
    pub rate_limit: Option<RateLimit>,
}

/// What an answer stated about the rate limit of its upstream, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitStatement {
    /// The limit; `None` if the answer stated none.
    pub limit: Option<RateLimit>,
    /// When the answer was received, by this or another instance.
    pub stated_at: MonotonicTime,
}

/// The newest statement about the rate limit of one upstream, shared by all threads.
#[derive(Debug, Default)]
pub struct StatedLimit {
    /// The limit in thousandths of a request per second; zero without a limit.
    milli: AtomicU32,
    stated_at: AtomicTime,
}

impl StatedLimit {
    /// Records a statement, unless a newer one is known.
    pub fn record(&self, statement: LimitStatement) {
        if statement.stated_at < self.stated_at.get() {
            return;
        }
        self.stated_at.advance(statement.stated_at);
        let milli = statement.limit.map_or(0, RateLimit::to_milli);
        self.milli.store(milli, Ordering::Relaxed);
    }

    /// Returns the limit that holds at `now`; `None` if there is none or it was not stated for [`LIMIT_LIFETIME`].
    #[must_use]
    pub fn limit(&self, now: MonotonicTime) -> Option<RateLimit> {
        let limit = RateLimit::from_milli(self.milli.load(Ordering::Relaxed))?;
        (now.since(self.stated_at.get()) < LIMIT_LIFETIME).then_some(limit)
    }

    /// Returns when the newest statement was made.
    #[must_use]
    pub fn stated_at(&self) -> MonotonicTime {
        self.stated_at.get()
    }
}
