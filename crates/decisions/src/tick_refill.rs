//! Exact refill of a bucket on ticks.

use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, RateBucket};

const NANOS_PER_SECOND: i128 = 1_000_000_000;

/// Credits a bucket with what a continuously filled one would have received.
///
/// The time of a take between two ticks is unknown. A refill that is limited by the level it finds
/// would credit time in which the bucket was full, if the take came late; so it is limited by the
/// level after the refill before. Over any window, the takes then never exceed the capacity plus rate × window.
#[derive(Debug, Default)]
pub(crate) struct TickRefill {
    refilled_at: MonotonicTime,
    level: i64,
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

    /// Returns what was taken since the last refill.
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
        // A full bucket earns nothing, so it carries no fraction either.
        self.carry = if whole < room {
            earned % NANOS_PER_SECOND
        } else {
            0
        };
        self.refilled_at = self.refilled_at.max(now);
        bucket.refill(i64::try_from(credit).unwrap_or(0));
        self.level = bucket.level();
    }

    /// Records a level and a capacity that were changed right after a refill.
    pub(crate) fn reset(&mut self, bucket: &RateBucket, capacity: i64) {
        bucket.set_capacity(capacity);
        self.level = bucket.level();
    }

    /// Adds tokens that came with a loan right after a refill.
    pub(crate) fn add(&mut self, bucket: &RateBucket, tokens: i64) {
        bucket.refill(tokens);
        self.level = bucket.level();
    }
}
