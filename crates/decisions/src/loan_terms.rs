//! What a loan consists of and how long each side counts it.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::limit_keys::LimitKey;

/// Life of a loan, counted by the borrower from when it sent the ask.
pub const LOAN_LIFETIME: Duration = Duration::from_secs(2);

/// The longest time request threads spend without a tick. The daemon renews its `TimeLease` by this
/// after each tick.
pub const SPEND_LEASE: Duration = Duration::from_millis(250);

/// A lender waits one part in this many longer than the borrower, because their clocks drift.
const DRIFT_DIVISOR: u32 = 10;

/// A fixed addition to the wait of a lender, for clocks of coarse resolution.
const DRIFT_OFFSET: Duration = Duration::from_millis(50);

/// Returns how long a lender waits, by its own clock, for something that takes a borrower `length`.
#[must_use]
pub fn with_drift_margin(length: Duration) -> Duration {
    length + length / DRIFT_DIVISOR + DRIFT_OFFSET
}

/// The number of one start of a process. It is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// A rate and a burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RateAmount {
    /// Milli-tokens per second.
    pub rate: i64,
    /// Milli-tokens a bucket may hold.
    pub burst: i64,
}

impl RateAmount {
    /// Applies `operation` to both parts.
    #[must_use]
    pub fn combine(self, other: Self, operation: fn(i64, i64) -> i64) -> Self {
        Self {
            rate: operation(self.rate, other.rate),
            burst: operation(self.burst, other.burst),
        }
    }

    /// Adds both parts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, i64::saturating_add)
    }

    /// Subtracts both parts; neither becomes negative.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.combine(other, |left, right| left.saturating_sub(right).max(0))
    }

    /// Returns the smaller of both parts, and nothing below zero.
    #[must_use]
    pub fn at_most(self, other: Self) -> Self {
        self.combine(other, |left, right| left.min(right).max(0))
    }

    /// Tells whether both parts are zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self.rate == 0 && self.burst == 0
    }
}

/// How much a loan is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanAmount {
    /// Part of a rate limit.
    Rate(RateAmount),
    /// Slots of an upstream.
    Slots(u32),
}

/// An ask for a loan, or for more time for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanRequest {
    /// Number of the ask, which grows with each ask of a borrower's incarnation.
    pub request_id: u64,
    /// Number of the ask that started the loan: equal to `loan` in a first ask, smaller in a renewal.
    pub loan_id: u64,
    /// The limit, in the keys of the instance that handles the ask.
    pub limit: LimitKey,
    /// What is wanted.
    pub amount: LoanAmount,
    /// The life of the loan from when the ask was sent.
    pub lifetime: Duration,
}

/// The answer to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanGrant {
    /// Number of the ask.
    pub request_id: u64,
    /// What is granted, possibly nothing.
    pub amount: LoanAmount,
    /// The milli-tokens handed over at once.
    pub tokens: i64,
}

/// The early end of a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanReturn {
    /// Number of the ask that started the loan.
    pub loan_id: u64,
    /// The limit, in the keys of the instance that handles the return.
    pub limit: LimitKey,
    /// The milli-tokens that go back with a rate loan.
    pub tokens: i64,
}

/// A loan as its lender records it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GrantedLoan<A> {
    pub(crate) borrower: Incarnation,
    pub(crate) loan_id: u64,
    pub(crate) amount: A,
    pub(crate) expires_at: MonotonicTime,
    /// False for the part of a renewed loan that the renewal no longer covers.
    pub(crate) renewable: bool,
}

impl<A> GrantedLoan<A> {
    /// Tells whether both are the same loan, perhaps with different terms.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.borrower == other.borrower && self.loan_id == other.loan_id
    }
}

/// A loan as its borrower records it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BorrowedLoan<A> {
    pub(crate) lender: Incarnation,
    pub(crate) loan_id: u64,
    pub(crate) amount: A,
    pub(crate) start: MonotonicTime,
    pub(crate) end: MonotonicTime,
    /// False once the lender has refused a renewal.
    pub(crate) renewable: bool,
}

impl<A> BorrowedLoan<A> {
    /// Tells whether the loan must be dropped now: the spend lease renewed at `now` would outlast it.
    pub(crate) fn is_over(&self, now: MonotonicTime) -> bool {
        now + SPEND_LEASE >= self.end
    }

    /// Tells whether it is time to ask for a renewal. Half the life leaves room for lost messages.
    pub(crate) fn is_renewal_due(&self, now: MonotonicTime) -> bool {
        self.renewable && now + LOAN_LIFETIME / 2 >= self.end
    }
}
