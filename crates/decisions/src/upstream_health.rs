//! What request threads record about an upstream and read of its judgement.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// The ramp of an upstream that may use all of its slots.
pub const FULL_RAMP_PERMILLE: u32 = 1_000;

/// One sample in eight moves the average half way within five requests and still hides one outlier.
const LATENCY_WEIGHT: u64 = 8;

/// A report may at most double the cost of an upstream, so it never outweighs results of requests.
pub(crate) const NEUTRAL_LOAD_PERCENT: u32 = 100;

/// From what an instance learned that an upstream is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainSource {
    /// A drain in the configuration.
    Configuration,
    /// The answer of the upstream's health endpoint.
    HealthAnswer,
    /// A refusal of a request.
    Refusal,
    /// A notice of another instance.
    PeerNotice,
}

impl DrainSource {
    const fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// Drains that end only after time without a contrary sign.
pub(crate) const LEARNED_DRAINS: u8 =
    DrainSource::HealthAnswer.bit() | DrainSource::Refusal.bit() | DrainSource::PeerNotice.bit();

/// What one instance knows about one upstream. Request threads write it without a lock.
///
/// Aligned to a cache line, so that requests to different upstreams do not slow each other down.
#[derive(Debug)]
#[repr(align(64))]
pub struct UpstreamHealth {
    pub(crate) consecutive_failures: AtomicU32,
    pub(crate) successes: AtomicU64,
    pub(crate) failures: AtomicU64,
    pub(crate) connect_errors: AtomicU64,
    pub(crate) refusals: AtomicU64,
    pub(crate) latency_ns: AtomicU64,
    pub(crate) drains: AtomicU8,
    pub(crate) ejected: AtomicBool,
    pub(crate) ramp_permille: AtomicU32,
    pub(crate) load_cost_percent: AtomicU32,
}

impl UpstreamHealth {
    /// Makes the record of an upstream of which nothing is known.
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
        self.average_in(latency);
    }

    /// Records an attempt that failed after the request was sent, or was answered with a server error.
    ///
    /// The latency of a failure is not averaged: an upstream that fails fast would attract requests.
    pub fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a connection that could not be made.
    pub fn record_connect_error(&self) {
        self.connect_errors.fetch_add(1, Ordering::Relaxed);
        self.record_failure();
    }

    /// Records a refusal that says the upstream is draining. Returns whether this was not yet known,
    /// in which case the peers are to be told.
    pub fn record_drain_refusal(&self) -> bool {
        self.refusals.fetch_add(1, Ordering::AcqRel);
        let before = self.set_drain(DrainSource::Refusal);
        before == 0
    }

    /// Tells whether new requests may be sent: neither draining nor ejected.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.drains.load(Ordering::Acquire) == 0 && !self.ejected.load(Ordering::Relaxed)
    }

    /// Tells whether the upstream is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drains.load(Ordering::Acquire) != 0
    }

    /// Tells whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected.load(Ordering::Relaxed)
    }

    /// Returns the moving average of the latency, or zero before the first answer.
    #[must_use]
    pub fn latency(&self) -> Duration {
        Duration::from_nanos(self.latency_ns.load(Ordering::Relaxed))
    }

    /// Returns the part of its slots that may be used, in thousandths.
    #[must_use]
    pub fn ramp_permille(&self) -> u32 {
        self.ramp_permille.load(Ordering::Relaxed)
    }

    /// Returns how many of `capacity` slots the ramp allows, at least one if there is one.
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

    /// Returns the number of connections that could not be made.
    #[must_use]
    pub fn connect_errors(&self) -> u64 {
        self.connect_errors.load(Ordering::Relaxed)
    }

    pub(crate) fn average_in(&self, latency: Duration) {
        let sample = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX).max(1);
        let average = self.latency_ns.load(Ordering::Relaxed);
        // A sample lost to a race of two threads does not matter to an average.
        self.latency_ns
            .store(moved_towards(average, sample), Ordering::Relaxed);
    }

    pub(crate) fn set_drain(&self, source: DrainSource) -> u8 {
        self.drains.fetch_or(source.bit(), Ordering::AcqRel)
    }

    pub(crate) fn clear_drains(&self, bits: u8) {
        self.drains.fetch_and(!bits, Ordering::AcqRel);
    }

    pub(crate) fn put_drain(&self, source: DrainSource, draining: bool) {
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

pub(crate) fn moved_towards(average: u64, target: u64) -> u64 {
    if average == 0 {
        return target;
    }
    (average - average / LATENCY_WEIGHT + target / LATENCY_WEIGHT).max(1)
}
