//! How much longer the responses of an upstream take than usual.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::atomic_time::AtomicTime;

/// Slowness, in percent, of an upstream that answers within the expected time.
const NORMAL_SLOWNESS_PERCENT: u32 = 100;
/// Upper bound of the slowness, in percent.
const MAX_SLOWNESS_PERCENT: u32 = 2_000;
/// Time within which the slowness returns to normal if no answers arrive, so that the upstream receives requests again.
const SLOWNESS_DECAY_TIME: Duration = Duration::from_secs(4);

/// Moving average of the ratio of measured to expected response times.
#[derive(Debug)]
pub(crate) struct SlownessMeter {
    percent: AtomicU32,
    updated_at: AtomicTime,
}

impl Default for SlownessMeter {
    fn default() -> Self {
        Self {
            percent: AtomicU32::new(NORMAL_SLOWNESS_PERCENT),
            updated_at: AtomicTime::default(),
        }
    }
}

impl SlownessMeter {
    /// Updates the average with the ratio of the measured to the expected response time.
    pub(crate) fn record(&self, elapsed: Duration, expected: Duration, now: MonotonicTime) {
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64().max(0.001);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let measured = ((ratio * f64::from(NORMAL_SLOWNESS_PERCENT)) as u32)
            .clamp(NORMAL_SLOWNESS_PERCENT / 2, MAX_SLOWNESS_PERCENT);
        let previous = self.percent.load(Ordering::Relaxed);
        self.percent
            .store((previous * 3 + measured) / 4, Ordering::Relaxed);
        self.updated_at.set(now);
    }

    /// Returns the factor by which responses take longer than usual; at least 1.
    pub(crate) fn factor(&self, now: MonotonicTime) -> f64 {
        let percent = self.percent.load(Ordering::Relaxed);
        let excess = percent.saturating_sub(NORMAL_SLOWNESS_PERCENT);
        let age = now.since(self.updated_at.get()).as_secs_f64();
        let remaining = (1.0 - age / SLOWNESS_DECAY_TIME.as_secs_f64()).max(0.0);
        1.0 + f64::from(excess) / f64::from(NORMAL_SLOWNESS_PERCENT) * remaining
    }
}
