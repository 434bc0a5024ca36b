//! Handling of loan requests, grants and returns that a ledger receives from other instances.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::lender_history::LendOutcome;
use crate::limit_keys::{LimitKey, RateLimitKey, SlotLimitKey};
use crate::loan_ledger::LoanLedger;
use crate::loan_terms::{
    BorrowedLoan, GrantedLoan, Incarnation, LOAN_LIFETIME, LoanAmount, LoanGrant, LoanRequest,
    LoanReturn, RateAmount, SPEND_LEASE, with_drift_margin,
};
use crate::pending_requests::PendingRequest;

/// Result of handling a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The loan was added, or the renewed loan was extended.
    Accepted,
    /// The lender granted nothing.
    Empty,
    /// No pending request to this lender has this number.
    Unsolicited,
    /// The loan would end within one [`SPEND_LEASE`].
    Expired,
    /// The grant is for another kind of limit than the request.
    Mismatched,
}

impl LoanLedger {
    /// Returns the grant for a request of `borrower`, or `None` if the request is a duplicate or
    /// malformed.
    pub fn answer_request(
        &mut self,
        borrower: Incarnation,
        request: LoanRequest,
        now: MonotonicTime,
    ) -> Option<LoanGrant> {
        let is_valid = request.lifetime <= LOAN_LIFETIME && request.loan_id <= request.request_id;
        if !is_valid
            || !self
                .duplicate_filter
                .record_if_new(borrower, request.request_id, now)
        {
            return None;
        }
        let (amount, tokens) = match (request.limit, request.amount) {
            (LimitKey::Rate(key), LoanAmount::Rate(requested)) => {
                let loan = granted_loan(borrower, request, requested, request.lifetime, now);
                let (amount, tokens) = self.answer_rate(key, request, loan, now);
                (LoanAmount::Rate(amount), tokens)
            }
            (LimitKey::Slots(key), LoanAmount::Slots(requested)) => {
                // A request may start at the end of the loan and then hold its slot for the longest
                // deadline.
                let held_for = request.lifetime + self.slot_deadline(key);
                let loan = granted_loan(borrower, request, requested, held_for, now);
                (
                    LoanAmount::Slots(self.answer_slots(key, request, loan, now)),
                    0,
                )
            }
            _ => return None,
        };
        Some(LoanGrant {
            request_id: request.request_id,
            amount,
            tokens,
        })
    }

    /// Handles the grant that `lender` sent for a request of this instance.
    pub fn handle_grant(
        &mut self,
        lender: Incarnation,
        grant: LoanGrant,
        now: MonotonicTime,
    ) -> GrantOutcome {
        let Some(request) = self
            .pending_requests
            .take_answered(grant.request_id, lender)
        else {
            return GrantOutcome::Unsolicited;
        };
        if now + SPEND_LEASE >= request.sent_at + LOAN_LIFETIME {
            return GrantOutcome::Expired;
        }
        match (request.limit, request.amount, grant.amount) {
            (LimitKey::Rate(key), LoanAmount::Rate(requested), LoanAmount::Rate(amount)) => {
                let amount = amount.at_most(requested);
                self.accept_rate_grant(key, request, requested, amount, grant.tokens, now)
            }
            (LimitKey::Slots(key), LoanAmount::Slots(requested), LoanAmount::Slots(amount)) => {
                self.accept_slot_grant(key, request, requested, amount.min(requested), now)
            }
            _ => GrantOutcome::Mismatched,
        }
    }

    /// Ends a loan that `borrower` has returned before its expiry.
    pub fn handle_return(
        &mut self,
        borrower: Incarnation,
        returned: LoanReturn,
        now: MonotonicTime,
    ) {
        match returned.limit {
            LimitKey::Rate(key) => {
                self.rates[key].handle_return(borrower, returned.loan_id, returned.tokens, now);
            }
            LimitKey::Slots(key) => self.slots[key].handle_return(borrower, returned.loan_id, now),
        }
    }

    fn answer_rate(
        &mut self,
        key: RateLimitKey,
        request: LoanRequest,
        loan: GrantedLoan<RateAmount>,
        now: MonotonicTime,
    ) -> (RateAmount, i64) {
        if !self.is_ticking(now) {
            return (RateAmount::default(), 0);
        }
        let limit = &mut self.rates[key];
        if request.loan_id < request.request_id {
            return (limit.renew(loan, now), 0);
        }
        limit.lend(loan, now)
    }

    fn answer_slots(
        &mut self,
        key: SlotLimitKey,
        request: LoanRequest,
        loan: GrantedLoan<u32>,
        now: MonotonicTime,
    ) -> u32 {
        if !self.is_ticking(now) {
            return 0;
        }
        let limit = &mut self.slots[key];
        if request.loan_id < request.request_id {
            return limit.renew(loan, now);
        }
        limit.lend(loan, now)
    }

    fn accept_rate_grant(
        &mut self,
        key: RateLimitKey,
        request: PendingRequest,
        requested: RateAmount,
        amount: RateAmount,
        tokens: i64,
        now: MonotonicTime,
    ) -> GrantOutcome {
        let outcome = if amount.is_zero() {
            LendOutcome::Nothing
        } else if amount == requested {
            LendOutcome::Whole
        } else {
            LendOutcome::Part
        };
        let limit = &mut self.rates[key];
        limit
            .lender_history
            .record_grant(request.lender, outcome, now);
        limit.accept(borrowed_loan(request, amount), tokens, now);
        grant_outcome(outcome)
    }

    fn accept_slot_grant(
        &mut self,
        key: SlotLimitKey,
        request: PendingRequest,
        requested: u32,
        amount: u32,
        now: MonotonicTime,
    ) -> GrantOutcome {
        let outcome = match amount {
            0 => LendOutcome::Nothing,
            _ if amount == requested => LendOutcome::Whole,
            _ => LendOutcome::Part,
        };
        let limit = &mut self.slots[key];
        limit
            .lender_history
            .record_grant(request.lender, outcome, now);
        limit.accept(borrowed_loan(request, amount), now);
        grant_outcome(outcome)
    }
}

fn granted_loan<A>(
    borrower: Incarnation,
    request: LoanRequest,
    amount: A,
    held_for: Duration,
    now: MonotonicTime,
) -> GrantedLoan<A> {
    GrantedLoan {
        borrower,
        loan_id: request.loan_id,
        amount,
        expires_at: now + with_drift_margin(held_for),
        renewable: true,
    }
}

fn borrowed_loan<A>(request: PendingRequest, amount: A) -> BorrowedLoan<A> {
    BorrowedLoan {
        lender: request.lender,
        loan_id: request.loan_id,
        amount,
        start: request.sent_at,
        end: request.sent_at + LOAN_LIFETIME,
        renewable: true,
    }
}

fn grant_outcome(outcome: LendOutcome) -> GrantOutcome {
    if outcome == LendOutcome::Nothing {
        GrantOutcome::Empty
    } else {
        GrantOutcome::Accepted
    }
}
