//! The time until which request threads may spend what the instance holds.

use std::time::Duration;

use crate::atomics::{AtomicU64, Ordering};
use crate::monotonic_time::MonotonicTime;

/// A lease that the control thread renews on each tick.
///
/// After a pause of the whole process the lease has run out, so request threads spend nothing until
/// the control thread has checked which loans and seats still hold.
#[derive(Debug)]
pub struct TimeLease {
    expiry_ns: AtomicU64,
}

impl TimeLease {
    /// Makes a lease that has already run out.
    #[must_use]
    pub fn new() -> Self {
        Self {
            expiry_ns: AtomicU64::new(0),
        }
    }

    /// Extends the lease to `length` after `now`.
    pub fn renew(&self, now: MonotonicTime, length: Duration) {
        self.expiry_ns
            .store((now + length).as_nanos(), Ordering::Release);
    }

    /// Ends the lease at once.
    pub fn revoke(&self) {
        self.expiry_ns.store(0, Ordering::Release);
    }

    /// Tells whether the lease is valid at `now`.
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
