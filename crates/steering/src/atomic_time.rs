//! A point in time that several threads read and move.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// A point in time; the start of the process until it is set.
#[derive(Debug, Default)]
pub struct AtomicTime(AtomicU64);

impl AtomicTime {
    /// Returns the time.
    #[must_use]
    pub fn get(&self) -> MonotonicTime {
        MonotonicTime::from_nanos(self.0.load(Ordering::Relaxed))
    }

    /// Sets the time.
    pub fn set(&self, time: MonotonicTime) {
        self.0.store(time.as_nanos(), Ordering::Relaxed);
    }

    /// Moves the time forward; an earlier time is ignored.
    pub fn advance(&self, time: MonotonicTime) {
        self.0.fetch_max(time.as_nanos(), Ordering::Relaxed);
    }

    /// Takes the next turn of a series with at least `interval` between two turns. Returns whether it was due.
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
