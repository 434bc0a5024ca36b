//! What the control thread learns about demand from request threads.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Counts requests that found nothing to take.
///
/// A request increments it once, also if it tries again while it waits; the control thread reads and
/// clears it on each tick.
#[derive(Debug, Default)]
pub struct ShortCounter(AtomicU32);

impl ShortCounter {
    /// Records one request that found nothing.
    pub fn record(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count and clears it.
    pub fn collect(&self) -> u32 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Time constant of the estimate. A jump of demand is seen to 63% after this time, which keeps the
/// time to the whole rate of a skewed account below a second.
const TIME_CONSTANT: Duration = Duration::from_millis(300);

/// An exponentially decaying estimate of demand, in milli-units per second.
#[derive(Debug, Default)]
pub(crate) struct DemandEstimate {
    per_second: i64,
}

impl DemandEstimate {
    /// Records `milli_units` that were asked for within `elapsed`.
    pub(crate) fn observe(&mut self, milli_units: i64, elapsed: Duration) {
        let weight = i128::try_from(TIME_CONSTANT.as_nanos()).unwrap_or(1);
        let elapsed = i128::try_from(elapsed.as_nanos()).unwrap_or(i128::from(i64::MAX));
        let second = 1_000_000_000;
        let sum = i128::from(self.per_second) * weight + i128::from(milli_units.max(0)) * second;
        self.per_second = i64::try_from(sum / (weight + elapsed)).unwrap_or(i64::MAX);
    }

    /// Returns the estimate in milli-units per second.
    pub(crate) fn per_second(&self) -> i64 {
        self.per_second
    }
}

/// A maximum that halves over each time constant in which it is not reached again.
#[derive(Debug, Default)]
pub(crate) struct DecayingPeak {
    milli: i64,
}

impl DecayingPeak {
    /// Records the present value.
    pub(crate) fn observe(&mut self, value: u32, elapsed: Duration) {
        let constant = i128::try_from(TIME_CONSTANT.as_nanos()).unwrap_or(1);
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
