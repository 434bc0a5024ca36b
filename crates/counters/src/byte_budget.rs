//! A lock-free budget of bytes that a process may keep.

use crate::atomics::{AtomicU64, Ordering};

/// The bytes that are still free of a total. What is taken is given back when it is no longer kept.
#[derive(Debug)]
pub struct ByteBudget {
    total: u64,
    free: AtomicU64,
}

impl ByteBudget {
    /// Creates a budget of `total` bytes, all of them free.
    #[must_use]
    pub fn new(total: u64) -> Self {
        Self {
            total,
            free: AtomicU64::new(total),
        }
    }

    /// Takes `bytes` if as many are free. Returns whether they were taken.
    pub fn try_take(&self, bytes: u64) -> bool {
        self.free
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
                free.checked_sub(bytes)
            })
            .is_ok()
    }

    /// Gives back bytes that were taken.
    pub fn give_back(&self, bytes: u64) {
        self.free.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Returns the fraction of the total that is taken.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "a fraction needs no exact bytes"
    )]
    pub fn taken_fraction(&self) -> f64 {
        self.taken() as f64 / self.total.max(1) as f64
    }

    /// Returns the number of bytes that are taken.
    #[must_use]
    pub fn taken(&self) -> u64 {
        self.total.saturating_sub(self.free.load(Ordering::Acquire))
    }
}
