//! Messages and records of loans. A loan is a time-limited transfer of quota (a fraction of a rate
//! limit, or slots) from the instance that owns it to one that needs it; it expires by itself on both
//! sides.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::limit_keys::LimitKey;

/// Lifetime of a loan. The borrower counts it from when it sent the request, so that the loan ends
/// there before it ends at the lender.
pub const LOAN_LIFETIME: Duration = Duration::from_secs(2);

/// The longest time for which request threads use tokens and slots without a tick of the control
/// thread. The daemon renews its `TimeLease` by this duration after each tick.
pub const SPEND_LEASE: Duration = Duration::from_millis(250);

/// A lender waits longer than the borrower by this fraction (1/10), because their clocks drift.
const DRIFT_DIVISOR: u32 = 10;

/// Constant part of the lender's additional wait, for clocks of coarse resolution.
const DRIFT_OFFSET: Duration = Duration::from_millis(50);

/// Returns how long a lender must wait by its own clock until `length` has certainly passed by a
/// borrower's clock.
#[must_use]
pub fn with_drift_margin(length: Duration) -> Duration {
    length + length / DRIFT_DIVISOR + DRIFT_OFFSET
}

/// Identifies one run of a process. A restarted process has a new number, and numbers are never
/// reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// The rate and burst of a token bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RateAmount {
    /// Milli-tokens per second.
    pub rate: i64,
    /// Capacity of the bucket in milli-tokens.
    pub burst: i64,
}

impl RateAmount {
    /// Applies `operation` to the rates and to the bursts.
    #[must_use]
    pub fn combine(self, other: Self, operation: fn(i64, i64) -> i64) -> Self {
        Self {
            rate: operation(self.rate, other.rate),
            burst: operation(self.burst, other.burst),
        }
    }

    /// Returns the sum of the rates and the sum of the bursts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, i64::saturating_add)
    }

    /// Returns the difference of the rates and of the bursts, each at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.combine(other, |left, right| left.saturating_sub(right).max(0))
    }

    /// Returns the smaller rate and the smaller burst, each at least zero.
    #[must_use]
    pub fn at_most(self, other: Self) -> Self {
        self.combine(other, |left, right| left.min(right).max(0))
    }

    /// Returns whether rate and burst are zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self.rate == 0 && self.burst == 0
    }
}

/// The quota that a loan transfers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanAmount {
    /// Part of a rate limit.
    Rate(RateAmount),
    /// Slots of an upstream.
    Slots(u32),
}

/// A request for a new loan or for the renewal of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRequest {
    /// Number of this request. It grows with each request of the borrower's process; the wire
    /// message calls it `loan`.
    pub request_id: u64,
    /// Number of the request that began the loan: equal to `request_id` for a new loan and smaller
    /// for a renewal. The wire message calls it `line`.
    pub loan_id: u64,
    /// The limit, as a key of the receiving instance.
    pub limit: LimitKey,
    /// The requested quota.
    pub amount: LoanAmount,
    /// Lifetime of the loan from when the request was sent.
    pub lifetime: Duration,
}

/// The answer to a loan request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanGrant {
    /// Number of the request that is answered; the wire message calls it `loan`.
    pub request_id: u64,
    /// The granted quota, possibly zero.
    pub amount: LoanAmount,
    /// Milli-tokens that the lender transfers from its bucket with the grant.
    pub tokens: i64,
}

/// The return of a loan before its expiry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanReturn {
    /// Number of the request that began the loan; the wire message calls it `line`.
    pub loan_id: u64,
    /// The limit, as a key of the receiving instance.
    pub limit: LimitKey,
    /// Milli-tokens that go back to the lender with a loan of a rate.
    pub tokens: i64,
}

/// The lender's record of a loan.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GrantedLoan<A> {
    pub(crate) borrower: Incarnation,
    pub(crate) loan_id: u64,
    pub(crate) amount: A,
    pub(crate) expires_at: MonotonicTime,
    /// False for the amount of a renewed loan that the renewal no longer covers.
    pub(crate) renewable: bool,
}

impl<A> GrantedLoan<A> {
    /// Returns whether both records belong to the same loan, possibly with different terms.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.borrower == other.borrower && self.loan_id == other.loan_id
    }
}

/// The borrower's record of a loan.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BorrowedLoan<A> {
    pub(crate) lender: Incarnation,
    pub(crate) loan_id: u64,
    pub(crate) amount: A,
    /// When the request that began the loan was sent.
    pub(crate) start: MonotonicTime,
    /// When the loan expires unless it is renewed.
    pub(crate) end: MonotonicTime,
    /// False once the lender has refused a renewal.
    pub(crate) renewable: bool,
}

impl<A> BorrowedLoan<A> {
    /// Returns whether the loan must be dropped now, because a lease of [`SPEND_LEASE`] from `now`
    /// would outlast it.
    pub(crate) fn ends_within_lease(&self, now: MonotonicTime) -> bool {
        now + SPEND_LEASE >= self.end
    }

    /// Returns whether the loan should be renewed now. Renewal begins at half the lifetime, so that
    /// lost messages can be repeated.
    pub(crate) fn is_renewal_due(&self, now: MonotonicTime) -> bool {
        self.renewable && now + LOAN_LIFETIME / 2 >= self.end
    }
}
