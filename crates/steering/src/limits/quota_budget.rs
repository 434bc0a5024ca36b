//! The requests of an account that this instance may admit until its next refill.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};

/// Balance units per request.
const UNITS_PER_REQUEST: i64 = 1_000;

/// What the bucket of an account gives this instance for one period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BudgetRefill {
    /// Requests that may be admitted.
    pub(crate) allowance: f64,
    /// Requests that may be admitted beyond that, to be repaid.
    pub(crate) overdraft: f64,
    /// Whether the account is well within its limit.
    pub(crate) has_headroom: bool,
}

/// This instance's current share of an account's quota, spent by the request threads.
#[derive(Debug, Default)]
pub struct QuotaBudget {
    balance: AtomicI64,
    overdraft_limit: AtomicI64,
    admitted: AtomicU64,
    requested: AtomicU64,
    has_headroom: AtomicBool,
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

    /// Returns the number of requests that have arrived since the process started.
    pub(crate) fn requested(&self) -> u64 {
        self.requested.load(Ordering::Relaxed)
    }

    /// Returns the part of the account's demand that arrives at this instance, which is also its part of the account's
    /// weight where callers compete. Of an instance that others no longer hear, the part before counts; the parts of all
    /// are one in sum. Returns 1 before the first refill.
    #[must_use]
    pub fn demand_fraction(&self) -> f64 {
        let fraction = f64::from_bits(self.demand_fraction.load(Ordering::Relaxed));
        if fraction > 0.0 { fraction } else { 1.0 }
    }

    pub(crate) fn set_demand_fraction(&self, fraction: f64) {
        self.demand_fraction
            .store(fraction.to_bits(), Ordering::Relaxed);
    }

    /// Replaces the share of the last period by that of the next one.
    pub(crate) fn refill(&self, refill: BudgetRefill) {
        self.overdraft_limit
            .store(to_units(refill.overdraft), Ordering::Relaxed);
        self.has_headroom
            .store(refill.has_headroom, Ordering::Relaxed);
        let allowance = to_units(refill.allowance);
        // Only a debt is carried over, because unspent tokens are still in the bucket. With headroom the debt is
        // dropped as well: it comes from a single request, which the bucket has already paid for.
        let _ = self
            .balance
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |balance| {
                let carried_over = if refill.has_headroom {
                    0
                } else {
                    balance.min(0)
                };
                Some(carried_over + allowance)
            });
    }
}

fn to_units(requests: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    let units = (requests * UNITS_PER_REQUEST as f64) as i64;
    units
}
