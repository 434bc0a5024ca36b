//! The part of an account's rate limit that an instance spends.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};

/// Balance units per request.
pub(super) const UNITS_PER_REQUEST: i64 = 1_000;

/// This instance's current share of an account's quota, spent by the request threads.
#[derive(Debug, Default)]
pub struct QuotaBudget {
    pub(super) balance: AtomicI64,
    pub(super) overdraft_limit: AtomicI64,
    admitted: AtomicU64,
    pub(super) requested: AtomicU64,
    pub(super) has_headroom: AtomicBool,
    /// The bits of an `f64`.
    demand_fraction: AtomicU64,
}

impl QuotaBudget {
    /// Counts a request that arrives, whether it is admitted or not.
    pub fn count_demand(&self) {
        self.requested.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the account is well within its limit, so that a request that is refused now may be admitted
    /// after the next refill.
    #[must_use]
    pub fn has_headroom(&self) -> bool {
        self.has_headroom.load(Ordering::Relaxed)
    }

    /// Admits one request unless the balance is used up.
    pub fn try_admit(&self) -> bool {
        let min_balance = -self.overdraft_limit.load(Ordering::Relaxed);
        let taken = self
            .balance
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |balance| {
                // The last request may leave a debt; otherwise a share below one request would never admit any.
                (balance > min_balance).then_some(balance - UNITS_PER_REQUEST)
            });
        let is_admitted = taken.is_ok();
        if is_admitted {
            self.admitted.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Reverts the admission of a request that was not sent to any upstream.
    pub fn refund(&self) {
        self.balance.fetch_add(UNITS_PER_REQUEST, Ordering::AcqRel);
        self.admitted.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of requests admitted since the process started, without refunded ones.
    #[must_use]
    pub fn admitted(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed)
    }

    /// Returns the part of the account's demand that arrives at this instance, which is also its part of the account's
    /// weight where callers compete. Of an instance that others no longer hear, the part before counts; the parts of all
    /// are one in sum. Returns 1 before the first refill.
    #[must_use]
    pub fn demand_fraction(&self) -> f64 {
        let fraction = f64::from_bits(self.demand_fraction.load(Ordering::Relaxed));
        if fraction > 0.0 { fraction } else { 1.0 }
    }

    pub(super) fn set_demand_fraction(&self, fraction: f64) {
        self.demand_fraction
            .store(fraction.to_bits(), Ordering::Relaxed);
    }
}
