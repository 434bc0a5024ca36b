//! Counts operations in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts one operation in a shared counter until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<AtomicU64>,
}

impl InFlightGuard {
    /// Adds one to `count`. Dropping the guard subtracts it again.
    #[must_use]
    pub fn new(count: &Arc<AtomicU64>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self {
            count: Arc::clone(count),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
