//! The health of an upstream: results that request threads record, and their evaluation by the control thread.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// The ramp value, in thousandths, at which all slots of an upstream may be used.
pub const FULL_RAMP_PERMILLE: u32 = 1_000;

/// The divisor of a sample in the moving average of the latency. With one eighth, the average moves half way to a new
/// latency within five requests, and a single outlier has little effect.
const LATENCY_SAMPLE_DIVISOR: u64 = 8;

/// The cost factor without a load report. A report at most doubles the cost of an upstream, so that it never outweighs
/// the results of requests.
pub(crate) const NEUTRAL_LOAD_PERCENT: u32 = 100;

/// The source of the information that an upstream is draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainSource {
    /// A drain in the configuration.
    Configuration,
    /// The answer of the upstream's health endpoint.
    HealthAnswer,
    /// The refusal of a request by the upstream.
    Refusal,
    /// A notice from another instance.
    PeerNotice,
}

impl DrainSource {
    const fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// The bits of the drains that are not configured. They end after health answers have reported "not draining" for some
/// time, or after a timeout; a drain from a peer's notice also ends with a later notice.
pub(crate) const OBSERVED_DRAINS: u8 =
    DrainSource::HealthAnswer.bit() | DrainSource::Refusal.bit() | DrainSource::PeerNotice.bit();

/// The health of one upstream as measured by one instance. Request threads update it without a lock.
///
/// It is aligned to a cache line, so that requests to different upstreams do not slow each other down.
#[derive(Debug)]
#[repr(align(64))]
pub struct UpstreamHealth {
    pub(crate) consecutive_failures: AtomicU32,
    pub(crate) successes: AtomicU64,
    pub(crate) failures: AtomicU64,
    pub(crate) connect_errors: AtomicU64,
    pub(crate) refusals: AtomicU64,
    pub(crate) latency_ns: AtomicU64,
    /// The bits of the sources that report a drain.
    pub(crate) drains: AtomicU8,
    pub(crate) ejected: AtomicBool,
    pub(crate) ramp_permille: AtomicU32,
    pub(crate) load_cost_percent: AtomicU32,
}

impl UpstreamHealth {
    /// Creates the health of an upstream without results, drains or a ramp.
    #[must_use]
    pub fn new() -> Self {
        Self {
            consecutive_failures: AtomicU32::new(0),
            successes: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            connect_errors: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            latency_ns: AtomicU64::new(0),
            drains: AtomicU8::new(0),
            ejected: AtomicBool::new(false),
            ramp_permille: AtomicU32::new(FULL_RAMP_PERMILLE),
            load_cost_percent: AtomicU32::new(NEUTRAL_LOAD_PERCENT),
        }
    }

    /// Records an attempt that was answered after `latency`.
    pub fn record_success(&self, latency: Duration) {
        self.successes.fetch_add(1, Ordering::Relaxed);
        if self.consecutive_failures.load(Ordering::Relaxed) != 0 {
            self.consecutive_failures.store(0, Ordering::Relaxed);
        }
        self.add_latency_sample(latency);
    }

    /// Records an attempt that failed after the request was sent, or was answered with a server error.
    ///
    /// The latency of a failure is not averaged, because an upstream that fails fast would attract requests.
    pub fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a connection that could not be opened.
    pub fn record_connect_error(&self) {
        self.connect_errors.fetch_add(1, Ordering::Relaxed);
        self.record_failure();
    }

    /// Records a refusal by an upstream that is draining. Returns whether no drain was recorded before, in which case
    /// the peers must be notified.
    pub fn record_drain_refusal(&self) -> bool {
        self.refusals.fetch_add(1, Ordering::AcqRel);
        let previous = self.set_drain(DrainSource::Refusal);
        previous == 0
    }

    /// Returns whether new requests may be sent, that is, the upstream is neither draining nor ejected.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.drains.load(Ordering::Acquire) == 0 && !self.ejected.load(Ordering::Relaxed)
    }

    /// Returns whether the upstream is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drains.load(Ordering::Acquire) != 0
    }

    /// Returns whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected.load(Ordering::Relaxed)
    }

    /// Returns the moving average of the latency, or zero before the first answer.
    #[must_use]
    pub fn latency(&self) -> Duration {
        Duration::from_nanos(self.latency_ns.load(Ordering::Relaxed))
    }

    /// Returns the fraction of the slots that may be used, in thousandths.
    #[must_use]
    pub fn ramp_permille(&self) -> u32 {
        self.ramp_permille.load(Ordering::Relaxed)
    }

    /// Returns how many of `capacity` slots the ramp allows: at least one unless `capacity` is zero.
    #[must_use]
    pub fn allowed_slots(&self, capacity: u32) -> u32 {
        let ramp = self.ramp_permille();
        if ramp >= FULL_RAMP_PERMILLE || capacity == 0 {
            return capacity;
        }
        let allowed = u64::from(capacity) * u64::from(ramp) / u64::from(FULL_RAMP_PERMILLE);
        u32::try_from(allowed).unwrap_or(capacity).max(1)
    }

    /// Returns the cost factor from load reports in percent: 100 without a report, at most 200.
    #[must_use]
    pub fn load_cost_percent(&self) -> u32 {
        self.load_cost_percent.load(Ordering::Relaxed)
    }

    /// Returns the number of failures since the last success.
    #[must_use]
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.load(Ordering::Relaxed)
    }

    /// Returns the number of answered attempts.
    #[must_use]
    pub fn successes(&self) -> u64 {
        self.successes.load(Ordering::Relaxed)
    }

    /// Returns the number of failed attempts, including connect errors.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that could not be opened.
    #[must_use]
    pub fn connect_errors(&self) -> u64 {
        self.connect_errors.load(Ordering::Relaxed)
    }

    pub(crate) fn add_latency_sample(&self, latency: Duration) {
        let sample = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX).max(1);
        let average = self.latency_ns.load(Ordering::Relaxed);
        // A sample that is lost in a race of two threads does not matter for an average.
        self.latency_ns
            .store(moving_average(average, sample), Ordering::Relaxed);
    }

    /// Sets the drain bit of `source` and returns the bits that were set before.
    pub(crate) fn set_drain(&self, source: DrainSource) -> u8 {
        self.drains.fetch_or(source.bit(), Ordering::AcqRel)
    }

    pub(crate) fn clear_drains(&self, bits: u8) {
        self.drains.fetch_and(!bits, Ordering::AcqRel);
    }

    pub(crate) fn update_drain(&self, source: DrainSource, draining: bool) {
        if draining {
            self.set_drain(source);
        } else {
            self.clear_drains(source.bit());
        }
    }
}

impl Default for UpstreamHealth {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the average after it moves by one sample towards `target`; an average of zero has no samples yet.
pub(crate) fn moving_average(average: u64, target: u64) -> u64 {
    if average == 0 {
        return target;
    }
    (average - average / LATENCY_SAMPLE_DIVISOR + target / LATENCY_SAMPLE_DIVISOR).max(1)
}
