//! The clock of the process. Decisions never read it; they receive the time.

use std::time::Instant;

use coltsfootkeel_counters::MonotonicTime;

/// Turns the operating system's monotonic clock into times since the process started.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        let nanoseconds = self.start.elapsed().as_nanos();
        MonotonicTime::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }

    /// Returns the instant of the operating system that `time` stands for.
    #[must_use]
    pub fn instant_of(&self, time: MonotonicTime) -> Instant {
        self.start + time.since(MonotonicTime::default())
    }
}
