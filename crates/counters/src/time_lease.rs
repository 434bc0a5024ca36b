//! A lease that limits how long request threads may use the tokens and slots of the instance.

use std::time::Duration;

use crate::atomics::{AtomicU64, Ordering};
use crate::monotonic_time::MonotonicTime;

/// A lease that the control thread renews on every tick and request threads check.
///
/// After a pause of the whole process that is longer than the lease, request threads use no tokens or slots until the
/// control thread has checked which loans and seats are still valid.
#[derive(Debug)]
pub struct TimeLease {
    expiry_ns: AtomicU64,
}

impl TimeLease {
    /// Creates an expired lease.
    #[must_use]
    pub fn new() -> Self {
        Self {
            expiry_ns: AtomicU64::new(0),
        }
    }

    /// Renews the lease, which then expires `duration` after `now`.
    pub fn renew(&self, now: MonotonicTime, duration: Duration) {
        self.expiry_ns
            .store((now + duration).as_nanos(), Ordering::Release);
    }

    /// Expires the lease immediately.
    pub fn revoke(&self) {
        self.expiry_ns.store(0, Ordering::Release);
    }

    /// Returns whether the lease is valid at `now`.
    #[must_use]
    pub fn is_valid(&self, now: MonotonicTime) -> bool {
        now.as_nanos() < self.expiry_ns.load(Ordering::Acquire)
    }
}

impl Default for TimeLease {
    fn default() -> Self {
        Self::new()
    }
}
