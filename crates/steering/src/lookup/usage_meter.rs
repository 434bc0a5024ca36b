//! What an instance uses, averaged over time.
//!
//! Load pattern: a small instance has three requests in progress on average, and none or ten at one moment. Without an
//! average, look-ups would follow the moment. Its processors are busy before its memory or its connections show it.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// Time over which the usage is averaged. Callers use an answer for longer.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// The usage of an instance at one moment.
#[derive(Debug, Clone, Copy)]
pub struct UsageReading {
    /// Time that the process has spent on a processor since its start.
    pub processor_time: Duration,
    /// Processors that the settings grant it, in fractions of a core.
    pub processors: f64,
    /// Requests of callers in progress.
    pub in_flight: u64,
}

/// Averages of the usage of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AverageUsage {
    /// Used part of the processors. It may exceed one for a short time.
    pub processor_part: f64,
    /// Requests of callers in progress.
    pub in_flight: f64,
}

/// Averages readings of the usage of this instance.
#[derive(Debug, Default)]
pub struct UsageMeter {
    processor_time: Duration,
    read_at: MonotonicTime,
    average: AverageUsage,
}

impl UsageMeter {
    /// Adds a reading, and returns the averages.
    pub fn update(&mut self, reading: UsageReading, now: MonotonicTime) -> AverageUsage {
        let elapsed = now.since(self.read_at).as_secs_f64();
        if elapsed > 0.0 && reading.processors > 0.0 {
            let used = reading.processor_time.saturating_sub(self.processor_time);
            let processor_part = used.as_secs_f64() / (elapsed * reading.processors);
            #[expect(clippy::cast_precision_loss)]
            let in_flight = reading.in_flight as f64;
            let weight = 1.0 - (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
            self.average.processor_part += (processor_part - self.average.processor_part) * weight;
            self.average.in_flight += (in_flight - self.average.in_flight) * weight;
            self.processor_time = reading.processor_time;
            self.read_at = now;
        }
        self.average
    }
}
