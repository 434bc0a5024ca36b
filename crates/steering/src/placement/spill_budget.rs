//! Bounds how many objects change their region at once.
//!
//! Load pattern: the upstreams of a region are full, so its requests would leave together for another region, where their
//! objects are not cached.

use std::sync::atomic::{AtomicI64, Ordering};

/// Units of the balance per request that changes the region.
const UNITS_PER_SPILL: i64 = 1_000;
/// Units that each request adds: one request in 33 may run outside the current region of its object.
const UNITS_PER_REQUEST: i64 = UNITS_PER_SPILL / 33;
/// Largest balance. Each instance keeps its own, so a larger one would let many requests leave at once.
const MAX_SPILL_BALANCE: i64 = UNITS_PER_SPILL;

/// Requests of one pool that this instance may still send to another region than the current one of their object, for
/// example because the upstreams there are full. It bounds how many objects change their region at once; requests for an
/// object that stays where it was placed are not charged.
#[derive(Debug, Default)]
pub struct SpillBudget {
    balance: AtomicI64,
}

impl SpillBudget {
    /// Counts a request of the pool, which adds a fraction of a spill.
    pub fn count_request(&self) {
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + UNITS_PER_REQUEST).min(MAX_SPILL_BALANCE))
            });
    }

    /// Returns whether a request may change the region of its object.
    pub fn has_spill(&self) -> bool {
        self.balance.load(Ordering::Relaxed) >= UNITS_PER_SPILL
    }

    /// Charges a request that changes the region of its object. Concurrent requests may overdraw the balance by one each.
    pub fn charge(&self) {
        self.balance.fetch_sub(UNITS_PER_SPILL, Ordering::Relaxed);
    }
}
