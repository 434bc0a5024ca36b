//! What the control thread learns about demand from request threads.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Counts requests that found nothing to take.
///
/// A request increments it once, also if it tries again while it waits; the control thread reads and
/// clears it on each tick.
#[derive(Debug, Default)]
pub struct ShortageCounter(AtomicU32);

impl ShortageCounter {
    /// Records one request that found nothing.
    pub fn record(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count and clears it.
    pub fn collect(&self) -> u32 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Time constant of the fast estimate. A jump of demand is seen to 63% after this time, which keeps the
/// time to the whole rate of a skewed account below a second.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(300);

/// Time constant of the slow estimate. At a few requests per second the fast one follows every single
/// request, and a lender that did so would lend and borrow back all the time.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Exponentially decaying estimates of demand, in milli-units per second.
#[derive(Debug, Default)]
pub(crate) struct DemandEstimate {
    fast: i64,
    slow: i64,
}

impl DemandEstimate {
    /// Records `milli_units` that were asked for within `elapsed`.
    pub(crate) fn observe(&mut self, milli_units: i64, elapsed: Duration) {
        self.fast = blend(self.fast, FAST_TIME_CONSTANT, milli_units, elapsed);
        self.slow = blend(self.slow, SLOW_TIME_CONSTANT, milli_units, elapsed);
    }

    /// Returns the demand to provide for: the slow estimate, unless the fast one differs from it by
    /// more than chance explains.
    pub(crate) fn per_second(&self) -> i64 {
        // Requests that arrive at random make an estimate of time constant T deviate by √(rate ÷ 2T).
        let twice_fast_ms = 2 * i64::try_from(FAST_TIME_CONSTANT.as_millis()).unwrap_or(1);
        let variance = self.slow.saturating_mul(1_000_000) / twice_fast_ms;
        let deviation = variance.max(0).isqrt();
        let has_changed = (self.fast - self.slow).abs() > 3 * deviation;
        // At low rates the deviation hides the end of demand, and an idle share would not be lent.
        let has_ended = self.fast < self.slow / 8;
        if has_changed || has_ended {
            self.fast
        } else {
            self.slow
        }
    }
}

fn blend(estimate: i64, constant: Duration, milli_units: i64, elapsed: Duration) -> i64 {
    let weight = i128::try_from(constant.as_nanos()).unwrap_or(1);
    let elapsed = i128::try_from(elapsed.as_nanos()).unwrap_or(i128::from(i64::MAX));
    let second = 1_000_000_000;
    let sum = i128::from(estimate) * weight + i128::from(milli_units.max(0)) * second;
    i64::try_from(sum / (weight + elapsed)).unwrap_or(i64::MAX)
}

/// A maximum that halves over each time constant in which it is not reached again.
#[derive(Debug, Default)]
pub(crate) struct DecayingPeak {
    milli: i64,
}

impl DecayingPeak {
    /// Records the present value.
    pub(crate) fn observe(&mut self, value: u32, elapsed: Duration) {
        let constant = i128::try_from(FAST_TIME_CONSTANT.as_nanos()).unwrap_or(1);
        let elapsed = i128::try_from(elapsed.as_nanos()).unwrap_or(i128::from(i64::MAX));
        let decayed = i128::from(self.milli) * constant / (constant + elapsed);
        self.milli = i64::try_from(decayed)
            .unwrap_or(0)
            .max(i64::from(value) * 1_000);
    }

    /// Returns the peak in whole units, rounded up.
    pub(crate) fn value(&self) -> u32 {
        u32::try_from((self.milli + 999) / 1_000).unwrap_or(u32::MAX)
    }
}
