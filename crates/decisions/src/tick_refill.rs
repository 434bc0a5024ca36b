//! Refill of a token bucket at discrete ticks.

use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, RateBucket};

const NANOS_PER_SECOND: i128 = 1_000_000_000;

/// Credits a bucket on ticks without ever exceeding a continuously filled bucket.
///
/// The time at which tokens were taken between two ticks is unknown. If the refill were limited by
/// the level it finds, tokens taken late in the interval would earn credit for time in which the
/// bucket was full. The refill is therefore limited by the level after the previous refill. Over
/// any window, the tokens taken never exceed the capacity plus rate × window.
#[derive(Debug, Default)]
pub(crate) struct TickRefill {
    refilled_at: MonotonicTime,
    /// The level of the bucket after the last refill or change of its capacity.
    level: i64,
    /// The earned fraction of a milli-token that is not credited yet, in billionths.
    carry: i128,
}

impl TickRefill {
    /// Starts at `now` with an empty bucket.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            refilled_at: now,
            level: 0,
            carry: 0,
        }
    }

    /// Returns the time since the last refill.
    pub(crate) fn elapsed(&self, now: MonotonicTime) -> Duration {
        now.since(self.refilled_at)
    }

    /// Returns the milli-tokens that were taken since the last refill.
    pub(crate) fn consumed(&self, bucket: &RateBucket) -> i64 {
        self.level - bucket.level()
    }

    /// Refills `bucket` for the time until `now` at `rate` milli-tokens per second.
    pub(crate) fn refill(&mut self, bucket: &RateBucket, rate: i64, now: MonotonicTime) {
        let elapsed = i128::try_from(self.elapsed(now).as_nanos()).unwrap_or(i128::MAX);
        let earned = i128::from(rate).saturating_mul(elapsed) + self.carry;
        let room = i128::from((bucket.capacity() - self.level).max(0));
        let whole = earned / NANOS_PER_SECOND;
        let credit = whole.min(room);
        // A full bucket earns nothing, so no fraction is carried over either.
        self.carry = if whole < room {
            earned % NANOS_PER_SECOND
        } else {
            0
        };
        self.refilled_at = self.refilled_at.max(now);
        bucket.refill(i64::try_from(credit).unwrap_or(0));
        self.level = bucket.level();
    }

    /// Sets the capacity of `bucket` and records its level. Must follow a refill directly.
    pub(crate) fn set_capacity(&mut self, bucket: &RateBucket, capacity: i64) {
        bucket.set_capacity(capacity);
        self.level = bucket.level();
    }

    /// Adds tokens that were transferred with a loan. Must follow a refill directly.
    pub(crate) fn add(&mut self, bucket: &RateBucket, tokens: i64) {
        bucket.refill(tokens);
        self.level = bucket.level();
    }
}
