//! The clock of the process. Functions that make decisions do not read it, but receive the time as an argument.

use std::time::{Duration, Instant};

use coltsfootkeel_counters::MonotonicTime;
use nix::time::{ClockId, clock_gettime};

/// Measures the time since the process started by the operating system's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
    /// The reading of the boot-time clock at the start; `None` if the system has none.
    boot_start: Option<Duration>,
}

impl ProcessClock {
    /// Starts the clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            boot_start: boot_time(),
        }
    }

    /// Returns the time since the start, without the time for which the machine was suspended.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        let nanoseconds = self.start.elapsed().as_nanos();
        MonotonicTime::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }

    /// Returns the time since the start, including the time for which the machine was suspended. The age of state that
    /// other machines may change is measured by this time. Returns the same as [`now`](Self::now) if the system has no
    /// boot-time clock.
    #[must_use]
    pub fn now_with_suspension(&self) -> MonotonicTime {
        match (self.boot_start, boot_time()) {
            (Some(start), Some(now)) => MonotonicTime::default() + now.saturating_sub(start),
            _ => self.now(),
        }
    }

    /// Converts `time` to an instant of the standard library.
    #[must_use]
    pub fn instant_of(&self, time: MonotonicTime) -> Instant {
        self.start + time.since(MonotonicTime::default())
    }
}

/// Reads the clock that advances while the machine is suspended. Returns `None` if the system has none.
fn boot_time() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}
