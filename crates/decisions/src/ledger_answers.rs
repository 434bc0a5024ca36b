//! How a ledger handles the messages of other instances.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::limit_keys::{LimitKey, RateLimitKey, SlotLimitKey};
use crate::loan_ledger::LoanLedger;
use crate::loan_requests::SentAsk;
use crate::loan_terms::{
    GivenLoan, Incarnation, LOAN_LIFETIME, LoanAmount, LoanGrant, LoanRequest, LoanReturn,
    RateAmount, SPEND_LEASE, TakenLoan, with_drift_margin,
};
use crate::peer_memory::LendOutcome;

/// What became of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The instance holds more than before.
    Accepted,
    /// The lender had nothing to lend.
    Empty,
    /// No ask with this number waits for an answer of this lender.
    Unsolicited,
    /// The loan would be over.
    Expired,
    /// The grant is of another kind than the ask.
    Mismatched,
}

impl LoanLedger {
    /// Answers an ask of `borrower`, or drops it if it is a repetition or malformed.
    pub fn answer_request(
        &mut self,
        borrower: Incarnation,
        ask: LoanRequest,
        now: MonotonicTime,
    ) -> Option<LoanGrant> {
        let is_valid = ask.lifetime <= LOAN_LIFETIME && ask.loan_id <= ask.request_id;
        if !is_valid || !self.seen.is_new(borrower, ask.request_id, now) {
            return None;
        }
        let (amount, tokens) = match (ask.limit, ask.amount) {
            (LimitKey::Rate(key), LoanAmount::Rate(asked)) => {
                let loan = given(borrower, ask, asked, ask.lifetime, now);
                let (amount, tokens) = self.answer_rate(key, ask, loan, now);
                (LoanAmount::Rate(amount), tokens)
            }
            (LimitKey::Slots(key), LoanAmount::Slots(asked)) => {
                // A request may start at the end of the loan and then run for the longest deadline.
                let held_for = ask.lifetime + self.slot_deadline(key);
                let loan = given(borrower, ask, asked, held_for, now);
                (LoanAmount::Slots(self.answer_slots(key, ask, loan, now)), 0)
            }
            _ => return None,
        };
        Some(LoanGrant {
            request_id: ask.request_id,
            amount,
            tokens,
        })
    }

    /// Takes the answer of `lender` to an ask of this instance.
    pub fn handle_grant(
        &mut self,
        lender: Incarnation,
        grant: LoanGrant,
        now: MonotonicTime,
    ) -> GrantOutcome {
        let Some(ask) = self.requests.answer(grant.request_id, lender) else {
            return GrantOutcome::Unsolicited;
        };
        if now + SPEND_LEASE >= ask.sent + LOAN_LIFETIME {
            return GrantOutcome::Expired;
        }
        match (ask.limit, ask.amount, grant.amount) {
            (LimitKey::Rate(key), LoanAmount::Rate(asked), LoanAmount::Rate(amount)) => {
                let amount = amount.at_most(asked);
                self.take_rate(key, ask, asked, amount, grant.tokens, now)
            }
            (LimitKey::Slots(key), LoanAmount::Slots(asked), LoanAmount::Slots(amount)) => {
                self.take_slots(key, ask, asked, amount.min(asked), now)
            }
            _ => GrantOutcome::Mismatched,
        }
    }

    /// Ends a loan that `borrower` returns.
    pub fn handle_return(&mut self, borrower: Incarnation, end: LoanReturn, now: MonotonicTime) {
        match end.limit {
            LimitKey::Rate(key) => {
                self.rates[key].take_back(borrower, end.loan_id, end.tokens, now);
            }
            LimitKey::Slots(key) => self.slots[key].take_back(borrower, end.loan_id, now),
        }
    }

    fn answer_rate(
        &mut self,
        key: RateLimitKey,
        ask: LoanRequest,
        loan: GivenLoan<RateAmount>,
        now: MonotonicTime,
    ) -> (RateAmount, i64) {
        if !self.is_ticking(now) {
            return (RateAmount::default(), 0);
        }
        let limit = &mut self.rates[key];
        if ask.loan_id < ask.request_id {
            return (limit.renew(loan, now), 0);
        }
        limit.lend(loan, now)
    }

    fn answer_slots(
        &mut self,
        key: SlotLimitKey,
        ask: LoanRequest,
        loan: GivenLoan<u32>,
        now: MonotonicTime,
    ) -> u32 {
        if !self.is_ticking(now) {
            return 0;
        }
        let limit = &mut self.slots[key];
        if ask.loan_id < ask.request_id {
            return limit.renew(loan, now);
        }
        limit.lend(loan, now)
    }

    fn take_rate(
        &mut self,
        key: RateLimitKey,
        ask: SentAsk,
        asked: RateAmount,
        amount: RateAmount,
        tokens: i64,
        now: MonotonicTime,
    ) -> GrantOutcome {
        let outcome = if amount.is_zero() {
            LendOutcome::Nothing
        } else if amount == asked {
            LendOutcome::Whole
        } else {
            LendOutcome::Part
        };
        let limit = &mut self.rates[key];
        limit.peers.answered(ask.lender, outcome, now);
        limit.accept(taken(ask, amount), tokens, now);
        grant_outcome(outcome)
    }

    fn take_slots(
        &mut self,
        key: SlotLimitKey,
        ask: SentAsk,
        asked: u32,
        amount: u32,
        now: MonotonicTime,
    ) -> GrantOutcome {
        let outcome = match amount {
            0 => LendOutcome::Nothing,
            _ if amount == asked => LendOutcome::Whole,
            _ => LendOutcome::Part,
        };
        let limit = &mut self.slots[key];
        limit.peers.answered(ask.lender, outcome, now);
        limit.accept(taken(ask, amount), now);
        grant_outcome(outcome)
    }
}

fn given<A>(
    borrower: Incarnation,
    ask: LoanRequest,
    amount: A,
    held_for: Duration,
    now: MonotonicTime,
) -> GivenLoan<A> {
    GivenLoan {
        borrower,
        loan_id: ask.loan_id,
        amount,
        until: now + with_drift_margin(held_for),
        renewable: true,
    }
}

fn taken<A>(ask: SentAsk, amount: A) -> TakenLoan<A> {
    TakenLoan {
        lender: ask.lender,
        loan_id: ask.loan_id,
        amount,
        start: ask.sent,
        end: ask.sent + LOAN_LIFETIME,
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
