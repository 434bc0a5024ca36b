//! Demand estimates that the control thread derives from the counters of request threads.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Counts requests that found too few tokens or no free slot.
///
/// A request increments it once, even if it retries while it waits. The control thread reads and
/// clears it on each tick.
#[derive(Debug, Default)]
pub struct ShortageCounter(AtomicU32);

impl ShortageCounter {
    /// Records one request that found too few tokens or no free slot.
    pub fn record(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count since the last call and resets it to zero.
    pub fn collect(&self) -> u32 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Time constant of the fast estimate. The estimate reaches 63% of a step in demand after this
/// time, so an account whose requests all arrive at one instance gets its full rate in less than a
/// second.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(300);

/// Time constant of the slow estimate. At a few requests per second the fast estimate follows each
/// single request, and a lender that used it would alternate between lending and borrowing.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Two exponentially decaying estimates of demand, in milli-units per second.
#[derive(Debug, Default)]
pub(crate) struct DemandEstimate {
    fast: i64,
    slow: i64,
}

impl DemandEstimate {
    /// Adds `milli_units` of demand that arrived within `elapsed`.
    pub(crate) fn observe(&mut self, milli_units: i64, elapsed: Duration) {
        self.fast = update_estimate(self.fast, FAST_TIME_CONSTANT, milli_units, elapsed);
        self.slow = update_estimate(self.slow, SLOW_TIME_CONSTANT, milli_units, elapsed);
    }

    /// Returns the expected demand: the slow estimate, or the fast one if the two differ by more
    /// than three standard deviations or demand has ended.
    pub(crate) fn per_second(&self) -> i64 {
        // For Poisson arrivals, the standard deviation of an estimate with time constant T is
        // √(rate ÷ 2T).
        let twice_fast_ms = 2 * i64::try_from(FAST_TIME_CONSTANT.as_millis()).unwrap_or(1);
        let variance = self.slow.saturating_mul(1_000_000) / twice_fast_ms;
        let deviation = variance.max(0).isqrt();
        let has_changed = (self.fast - self.slow).abs() > 3 * deviation;
        // At low rates the deviation exceeds the estimate, so the end of demand would not be detected
        // and an idle share would not be lent.
        let has_ended = self.fast < self.slow / 8;
        if has_changed || has_ended {
            self.fast
        } else {
            self.slow
        }
    }
}

fn update_estimate(
    estimate: i64,
    time_constant: Duration,
    milli_units: i64,
    elapsed: Duration,
) -> i64 {
    let weight = i128::try_from(time_constant.as_nanos()).unwrap_or(1);
    let elapsed = i128::try_from(elapsed.as_nanos()).unwrap_or(i128::from(i64::MAX));
    let second = 1_000_000_000;
    let sum = i128::from(estimate) * weight + i128::from(milli_units.max(0)) * second;
    i64::try_from(sum / (weight + elapsed)).unwrap_or(i64::MAX)
}

/// A running maximum that decays to half over each time constant in which it is not reached again.
#[derive(Debug, Default)]
pub(crate) struct DecayingPeak {
    milli: i64,
}

impl DecayingPeak {
    /// Records the current value; `elapsed` is the time since the last call.
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
