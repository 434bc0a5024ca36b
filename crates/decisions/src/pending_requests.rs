//! Loan requests that an instance has sent and whose grants it may still receive.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::limit_keys::LimitKey;
use crate::loan_terms::{Incarnation, LOAN_LIFETIME, LoanAmount, SPEND_LEASE};

/// While a request is younger than this and unanswered, no other request for the same limit is
/// sent. The time covers one round trip between regions.
const GRANT_TIMEOUT: Duration = Duration::from_millis(150);

/// A loan request that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRequest {
    pub(crate) lender: Incarnation,
    pub(crate) limit: LimitKey,
    pub(crate) loan_id: u64,
    pub(crate) amount: LoanAmount,
    pub(crate) sent_at: MonotonicTime,
}

/// The unanswered requests and the budget for further ones.
#[derive(Debug)]
pub(crate) struct PendingRequests {
    next_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
    requests_per_s: u32,
    /// Unused budget, in thousandths of a request.
    budget: u64,
    budget_updated_at: MonotonicTime,
}

impl PendingRequests {
    pub(crate) fn new(requests_per_s: u32, now: MonotonicTime) -> Self {
        Self {
            next_id: 1,
            pending: BTreeMap::new(),
            requests_per_s,
            budget: 0,
            budget_updated_at: now,
        }
    }

    /// Removes requests whose loan would have expired, and adds the budget for the time since the
    /// last call.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        self.pending
            .retain(|_, request| now + SPEND_LEASE < request.sent_at + LOAN_LIFETIME);
        let elapsed_ms = now.since(self.budget_updated_at).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        let max_budget = u64::from(self.requests_per_s) * 1_000;
        let earned = elapsed_ms.saturating_mul(u64::from(self.requests_per_s));
        self.budget = self.budget.saturating_add(earned).min(max_budget);
        self.budget_updated_at = self.budget_updated_at + Duration::from_millis(elapsed_ms);
    }

    /// Records a request and returns its number and that of its loan, or `None` if the budget is
    /// used up.
    pub(crate) fn try_add(
        &mut self,
        loan_id: Option<u64>,
        request: PendingRequest,
    ) -> Option<(u64, u64)> {
        self.budget = self.budget.checked_sub(1_000)?;
        let request_id = self.next_id;
        self.next_id += 1;
        let loan_id = loan_id.unwrap_or(request_id);
        self.pending
            .insert(request_id, PendingRequest { loan_id, ..request });
        Some((request_id, loan_id))
    }

    /// Removes and returns the request that a grant from `lender` answers.
    pub(crate) fn take_answered(
        &mut self,
        request_id: u64,
        lender: Incarnation,
    ) -> Option<PendingRequest> {
        let request = self.pending.get(&request_id)?;
        if request.lender != lender {
            return None;
        }
        self.pending.remove(&request_id)
    }

    /// Removes the pending renewals of a loan that is returned, so that a late grant does not
    /// restore the loan.
    pub(crate) fn remove_renewals(&mut self, loan_id: u64) {
        self.pending.retain(|_, request| request.loan_id != loan_id);
    }

    /// Returns whether the grant of a new loan of `limit` may still arrive.
    pub(crate) fn is_awaiting_grant(&self, limit: LimitKey, now: MonotonicTime) -> bool {
        self.pending.iter().any(|(request_id, request)| {
            request.limit == limit
                && request.loan_id == *request_id
                && now.since(request.sent_at) < GRANT_TIMEOUT
        })
    }

    /// Returns whether the grant of a renewal of the loan may still arrive.
    pub(crate) fn is_renewing(&self, loan_id: u64, now: MonotonicTime) -> bool {
        self.pending.iter().any(|(request_id, request)| {
            request.loan_id == loan_id
                && *request_id != loan_id
                && now.since(request.sent_at) < GRANT_TIMEOUT
        })
    }
}
