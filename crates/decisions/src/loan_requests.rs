//! The asks an instance has sent and may still get answers to.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::limit_keys::LimitKey;
use crate::loan_terms::{Incarnation, LOAN_LIFETIME, LoanAmount, SPEND_LEASE};

/// An ask without an answer no longer holds back the next ask for the same limit after this time:
/// two crossings between regions.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// One ask that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentAsk {
    pub(crate) lender: Incarnation,
    pub(crate) limit: LimitKey,
    pub(crate) loan_id: u64,
    pub(crate) amount: LoanAmount,
    pub(crate) sent: MonotonicTime,
}

/// The asks that were sent, and how many more may be sent.
#[derive(Debug)]
pub(crate) struct LoanRequests {
    next: u64,
    sent: BTreeMap<u64, SentAsk>,
    requests_per_s: u32,
    /// Unused asks, in thousandths.
    budget: u64,
    budget_time: MonotonicTime,
}

impl LoanRequests {
    pub(crate) fn new(requests_per_s: u32, now: MonotonicTime) -> Self {
        Self {
            next: 1,
            sent: BTreeMap::new(),
            requests_per_s,
            budget: 0,
            budget_time: now,
        }
    }

    /// Forgets asks whose loan would be over, and earns the budget of the time that has passed.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        self.sent
            .retain(|_, ask| now + SPEND_LEASE < ask.sent + LOAN_LIFETIME);
        let elapsed_ms = now.since(self.budget_time).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        let most = u64::from(self.requests_per_s) * 1_000;
        let earned = elapsed_ms.saturating_mul(u64::from(self.requests_per_s));
        self.budget = self.budget.saturating_add(earned).min(most);
        self.budget_time = self.budget_time + Duration::from_millis(elapsed_ms);
    }

    /// Records an ask and returns its number, or nothing if the budget is spent.
    pub(crate) fn send(&mut self, loan_id: Option<u64>, ask: SentAsk) -> Option<(u64, u64)> {
        self.budget = self.budget.checked_sub(1_000)?;
        let request_id = self.next;
        self.next += 1;
        let loan_id = loan_id.unwrap_or(request_id);
        self.sent.insert(request_id, SentAsk { loan_id, ..ask });
        Some((request_id, loan_id))
    }

    /// Returns and forgets the ask that a grant of `lender` answers.
    pub(crate) fn answer(&mut self, request_id: u64, lender: Incarnation) -> Option<SentAsk> {
        let ask = self.sent.get(&request_id)?;
        if ask.lender != lender {
            return None;
        }
        self.sent.remove(&request_id)
    }

    /// Forgets the renewals of a loan that is returned, so that a late grant does not revive it.
    pub(crate) fn forget_line(&mut self, loan_id: u64) {
        self.sent.retain(|_, ask| ask.loan_id != loan_id);
    }

    /// Tells whether an answer to a first ask for `limit` may still be on its way.
    pub(crate) fn is_waiting(&self, limit: LimitKey, now: MonotonicTime) -> bool {
        self.sent.iter().any(|(request_id, ask)| {
            ask.limit == limit && ask.loan_id == *request_id && now.since(ask.sent) < ANSWER_TIME
        })
    }

    /// Tells whether an answer to a renewal of `line` may still be on its way.
    pub(crate) fn is_renewing(&self, loan_id: u64, now: MonotonicTime) -> bool {
        self.sent.iter().any(|(request_id, ask)| {
            ask.loan_id == loan_id && *request_id != loan_id && now.since(ask.sent) < ANSWER_TIME
        })
    }
}
