//! The rate limit that an upstream states in its answers.
//!
//! Load pattern: an upstream in need states how many requests per second it takes from all instances together, and keeps
//! stating it in every answer for as long as the limit holds. Instances learn of the limit and of its end from their own
//! answers and from one another.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
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

/// Interval before the control thread has divided a limit among the instances.
const UNDIVIDED: u64 = 0;
/// Interval of an instance that leaves an upstream with a limit to the others.
const NEVER: u64 = u64::MAX;

/// The newest statement about the rate limit of one upstream and this instance's part of it, shared by all threads.
#[derive(Debug, Default)]
pub struct UpstreamLimit {
    /// The limit in thousandths of a request per second; zero without a limit.
    milli: AtomicU32,
    stated_at: AtomicTime,
    /// Nanoseconds between two requests of this instance, [`UNDIVIDED`] or [`NEVER`].
    interval: AtomicU64,
    next_send: AtomicTime,
    /// Requests for which the upstream was a candidate while it had a limit.
    demand: AtomicU64,
}

impl UpstreamLimit {
    /// Records a statement, unless a newer one is known.
    pub fn record(&self, statement: LimitStatement) {
        if statement.stated_at < self.stated_at.get() {
            return;
        }
        if statement.limit.is_some() && self.limit(statement.stated_at).is_none() {
            self.interval.store(UNDIVIDED, Ordering::Relaxed);
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

    /// Returns the newest statement.
    #[must_use]
    pub fn statement(&self) -> LimitStatement {
        LimitStatement {
            limit: RateLimit::from_milli(self.milli.load(Ordering::Relaxed)),
            stated_at: self.stated_at.get(),
        }
    }

    /// Sets the time between two requests of this instance; `None` leaves the upstream to the others.
    pub fn set_interval(&self, interval: Option<Duration>, now: MonotonicTime) {
        let nanos = interval.and_then(|interval| u64::try_from(interval.as_nanos()).ok());
        self.interval
            .store(nanos.unwrap_or(NEVER), Ordering::Relaxed);
        if let Some(interval) = interval {
            self.next_send.bring_forward(now + interval);
        }
    }

    /// Returns the time until this instance may send the next request: zero without a limit, and the longest time that a
    /// limit holds without an answer if only other instances may send.
    #[must_use]
    pub fn time_until_send(&self, now: MonotonicTime) -> Duration {
        if self.limit(now).is_none() {
            return Duration::ZERO;
        }
        match self.interval.load(Ordering::Relaxed) {
            UNDIVIDED | NEVER => LIMIT_LIFETIME,
            _ => self.next_send.get().since(now),
        }
    }

    /// Returns the time after which a refused caller finds an instance that may send: as [`time_until_send`], or the time
    /// between two requests of all instances if only others may send.
    ///
    /// [`time_until_send`]: Self::time_until_send
    #[must_use]
    pub fn retry_delay(&self, now: MonotonicTime) -> Duration {
        match (self.limit(now), self.interval.load(Ordering::Relaxed)) {
            (Some(limit), UNDIVIDED | NEVER) => Duration::from_secs_f64(1.0 / limit.per_second()),
            _ => self.time_until_send(now),
        }
    }

    /// Claims the next request of this instance. Returns whether it may be sent now.
    pub fn claim(&self, now: MonotonicTime) -> bool {
        if !self.time_until_send(now).is_zero() {
            return false;
        }
        let interval = Duration::from_nanos(self.interval.load(Ordering::Relaxed));
        self.limit(now).is_none() || self.next_send.claim_if_due(now, interval)
    }

    /// Counts a request for which the upstream is a candidate.
    pub fn count_demand(&self) {
        self.demand.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of counted requests.
    #[must_use]
    pub fn demand(&self) -> u64 {
        self.demand.load(Ordering::Relaxed)
    }
}
