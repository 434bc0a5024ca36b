//! The clock of the process. Decisions never read it; they receive the time.

use std::time::{Duration, Instant};

use coltsfootkeel_counters::MonotonicTime;
use nix::time::{ClockId, clock_gettime};

/// Turns the operating system's monotonic clock into times since the process started.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
    boot_start: Option<Duration>,
}

impl ProcessClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            boot_start: boot_time(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        let nanoseconds = self.start.elapsed().as_nanos();
        MonotonicTime::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }

    /// Returns the time since the start with the time for which the whole machine was suspended, which [`now`](Self::now)
    /// does not count. What others may have changed meanwhile is judged by this time.
    #[must_use]
    pub fn now_with_suspension(&self) -> MonotonicTime {
        match (self.boot_start, boot_time()) {
            (Some(start), Some(now)) => MonotonicTime::default() + now.saturating_sub(start),
            _ => self.now(),
        }
    }

    /// Returns the instant of the operating system that `time` stands for.
    #[must_use]
    pub fn instant_of(&self, time: MonotonicTime) -> Instant {
        self.start + time.since(MonotonicTime::default())
    }
}

/// Reads the clock that goes on while the machine is suspended; nothing where the system has none.
fn boot_time() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}
