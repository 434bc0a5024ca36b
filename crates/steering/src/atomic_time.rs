//! A point in time that several threads read and write.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// An atomic point in time, initially the start of the process.
#[derive(Debug, Default)]
pub struct AtomicTime(AtomicU64);

impl AtomicTime {
    /// Returns the current value.
    #[must_use]
    pub fn get(&self) -> MonotonicTime {
        MonotonicTime::from_nanos(self.0.load(Ordering::Relaxed))
    }

    /// Replaces the value.
    pub fn set(&self, time: MonotonicTime) {
        self.0.store(time.as_nanos(), Ordering::Relaxed);
    }

    /// Replaces the value by a later time; an earlier time has no effect.
    pub fn advance(&self, time: MonotonicTime) {
        self.0.fetch_max(time.as_nanos(), Ordering::Relaxed);
    }

    /// Replaces the value by an earlier time; a later time has no effect.
    pub fn bring_forward(&self, time: MonotonicTime) {
        self.0.fetch_min(time.as_nanos(), Ordering::Relaxed);
    }

    /// Claims a periodic action that is due from the stored time on, and schedules the next one after `interval`.
    /// Returns whether the action was due; of several concurrent callers only one receives `true`.
    pub fn claim_if_due(&self, now: MonotonicTime, interval: Duration) -> bool {
        let next = (now + interval).as_nanos();
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |due| {
                (due <= now.as_nanos()).then_some(next)
            });
        taken.is_ok()
    }
}
