//! Loan requests, renewals and returns that a ledger sends to other instances.

use coltsfootkeel_counters::MonotonicTime;

use crate::limit_keys::{LimitKey, RateLimitKey, SlotLimitKey};
use crate::loan_ledger::{LedgerOutput, LoanLedger, OutgoingMessage};
use crate::loan_terms::{
    Incarnation, LOAN_LIFETIME, LoanAmount, LoanRequest, LoanReturn, RateAmount,
};
use crate::pending_requests::PendingRequest;
use crate::share_split::MILLI_PER_TOKEN;

impl LoanLedger {
    pub(crate) fn return_rate(
        &mut self,
        key: RateLimitKey,
        output: &mut LedgerOutput,
        now: MonotonicTime,
    ) {
        let loan = self.rates[key].return_unneeded(&self.settings.policy, now);
        if let Some((loan, tokens)) = loan {
            let returned = LoanReturn {
                loan_id: loan.loan_id,
                limit: LimitKey::Rate(key),
                tokens,
            };
            self.send_return(loan.lender, returned, output);
        }
    }

    pub(crate) fn return_slots(
        &mut self,
        key: SlotLimitKey,
        output: &mut LedgerOutput,
        now: MonotonicTime,
    ) {
        self.slots[key].release_unneeded(&self.settings.policy, now);
        for loan in self.slots[key].take_finished() {
            let returned = LoanReturn {
                loan_id: loan.loan_id,
                limit: LimitKey::Slots(key),
                tokens: 0,
            };
            self.send_return(loan.lender, returned, output);
        }
    }

    pub(crate) fn renew_rate(
        &mut self,
        key: RateLimitKey,
        output: &mut LedgerOutput,
        now: MonotonicTime,
    ) {
        for loan in self.rates[key].renewals(&self.settings.policy, now) {
            if !self.pending_requests.is_renewing(loan.loan_id, now) {
                let amount = LoanAmount::Rate(loan.amount);
                let loan_id = Some(loan.loan_id);
                self.send_request(
                    loan.lender,
                    LimitKey::Rate(key),
                    loan_id,
                    amount,
                    output,
                    now,
                );
            }
        }
    }

    pub(crate) fn renew_slots(
        &mut self,
        key: SlotLimitKey,
        output: &mut LedgerOutput,
        now: MonotonicTime,
    ) {
        for loan in self.slots[key].renewals(&self.settings.policy, now) {
            if !self.pending_requests.is_renewing(loan.loan_id, now) {
                let amount = LoanAmount::Slots(loan.amount);
                let loan_id = Some(loan.loan_id);
                self.send_request(
                    loan.lender,
                    LimitKey::Slots(key),
                    loan_id,
                    amount,
                    output,
                    now,
                );
            }
        }
    }

    /// Requests equal parts of the missing rate from several peers.
    pub(crate) fn request_rate(
        &mut self,
        key: RateLimitKey,
        output: &mut LedgerOutput,
        now: MonotonicTime,
    ) {
        let limit = LimitKey::Rate(key);
        if self.pending_requests.is_awaiting_grant(limit, now) {
            return;
        }
        let (need, is_urgent) = self.rates[key].need(&self.settings.policy);
        if need.is_zero() {
            return;
        }
        let lenders =
            self.rates[key]
                .lender_history
                .choose_lenders(&self.rate_lenders, is_urgent, now);
        let count = i64::try_from(lenders.len()).unwrap_or(1).max(1);
        let part = RateAmount {
            rate: (need.rate + count - 1) / count,
            // Less than one token from each peer would often leave the sum short of a token.
            burst: (need.burst / count).max(need.burst.min(MILLI_PER_TOKEN)),
        };
        for lender in lenders {
            if self.send_request(lender, limit, None, LoanAmount::Rate(part), output, now) {
                self.rates[key].lender_history.record_request(lender, now);
            }
        }
    }

    /// Requests the missing slots from the peer that most recently granted some.
    pub(crate) fn request_slots(
        &mut self,
        key: SlotLimitKey,
        output: &mut LedgerOutput,
        now: MonotonicTime,
    ) {
        let limit = LimitKey::Slots(key);
        if self.pending_requests.is_awaiting_grant(limit, now) {
            return;
        }
        let slot_limit = &mut self.slots[key];
        let (need, is_urgent) = slot_limit.need(&self.settings.policy);
        if need == 0 {
            return;
        }
        let lenders = slot_limit
            .lender_history
            .choose_lenders(&slot_limit.lenders, is_urgent, now);
        if let Some(&lender) = lenders.first()
            && self.send_request(lender, limit, None, LoanAmount::Slots(need), output, now)
        {
            self.slots[key].lender_history.record_request(lender, now);
        }
    }

    /// Queues a request in `output` and returns whether the request budget allowed it.
    fn send_request(
        &mut self,
        lender: Incarnation,
        limit: LimitKey,
        loan_id: Option<u64>,
        amount: LoanAmount,
        output: &mut LedgerOutput,
        now: MonotonicTime,
    ) -> bool {
        let request = PendingRequest {
            lender,
            limit,
            loan_id: 0,
            amount,
            sent_at: now,
        };
        let Some((request_id, loan_id)) = self.pending_requests.try_add(loan_id, request) else {
            return false;
        };
        output.requests.push(OutgoingMessage {
            to: lender,
            message: LoanRequest {
                request_id,
                loan_id,
                limit,
                amount,
                lifetime: LOAN_LIFETIME,
            },
        });
        true
    }

    fn send_return(
        &mut self,
        lender: Incarnation,
        returned: LoanReturn,
        output: &mut LedgerOutput,
    ) {
        self.pending_requests.remove_renewals(returned.loan_id);
        output.returns.push(OutgoingMessage {
            to: lender,
            message: returned,
        });
    }
}
