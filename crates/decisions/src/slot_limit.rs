//! The slots of one upstream that an instance may use: its base share and its loans.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, SlotCounter};

use crate::demand_estimate::{DecayingPeak, ShortageCounter};
use crate::lender_history::{LenderHistory, LoanPeer};
use crate::loan_policy::{LoanPolicy, SlotDemandView};
use crate::loan_terms::{BorrowedLoan, GrantedLoan, Incarnation};

/// A loan is kept at least this long before it is returned early.
const MIN_BORROW_TIME: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(crate) struct SlotLimit {
    /// The longest deadline of a request on the upstream; `None` until it is set.
    pub(crate) deadline: Option<Duration>,
    counter: Arc<SlotCounter>,
    shortage_counter: Arc<ShortageCounter>,
    total: u32,
    /// The seat's share according to the configuration.
    share: u32,
    /// The share in use; zero while the seat must not be used.
    base: u32,
    granted: Vec<GrantedLoan<u32>>,
    borrowed: Vec<BorrowedLoan<u32>>,
    /// Borrowed loans on which no request may start, but on which earlier requests may still run.
    ending: Vec<BorrowedLoan<u32>>,
    advanced_at: MonotonicTime,
    peak: DecayingPeak,
    /// Requests that found no free slot since the last call of [`need`](Self::need).
    shortages: u32,
    pub(crate) lenders: Vec<LoanPeer>,
    pub(crate) lender_history: LenderHistory,
}

impl SlotLimit {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            deadline: None,
            counter: Arc::default(),
            shortage_counter: Arc::default(),
            total: 0,
            share: 0,
            base: 0,
            granted: Vec::new(),
            borrowed: Vec::new(),
            ending: Vec::new(),
            advanced_at: now,
            peak: DecayingPeak::default(),
            shortages: 0,
            lenders: Vec::new(),
            lender_history: LenderHistory::default(),
        }
    }

    pub(crate) fn counter(&self) -> Arc<SlotCounter> {
        Arc::clone(&self.counter)
    }

    pub(crate) fn shortage_counter(&self) -> Arc<ShortageCounter> {
        Arc::clone(&self.shortage_counter)
    }

    /// Returns the number of slots on which a request may start: base share + borrowed loans −
    /// granted loans.
    pub(crate) fn held(&self) -> u32 {
        let granted: u32 = self.granted.iter().map(|loan| loan.amount).sum();
        let borrowed: u32 = self.borrowed.iter().map(|loan| loan.amount).sum();
        (self.base + borrowed).saturating_sub(granted)
    }

    /// Advances the limit to `now`: updates the demand and ends loans that have expired.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        let shortages = self.shortage_counter.collect();
        self.shortages = self.shortages.saturating_add(shortages);
        let wanted = self.counter.used().saturating_add(shortages);
        self.peak.observe(wanted, now.since(self.advanced_at));
        self.advanced_at = self.advanced_at.max(now);
        self.ending.extend(
            self.borrowed
                .extract_if(.., |loan| loan.ends_within_lease(now)),
        );
        self.granted.retain(|loan| now < loan.expires_at);
        self.update_capacity();
    }

    pub(crate) fn set_share(&mut self, total: u32, share: u32) {
        self.total = total;
        self.share = share;
    }

    /// Advances the limit to `now` and then applies its share, or none if the seat must not be
    /// used.
    pub(crate) fn use_share(&mut self, is_open: bool, now: MonotonicTime) {
        self.advance(now);
        self.base = if is_open { self.share } else { 0 };
        self.update_capacity();
    }

    /// Grants up to the amount of `loan`, using only free slots, and returns the number of slots
    /// granted.
    pub(crate) fn lend(&mut self, loan: GrantedLoan<u32>, now: MonotonicTime) -> u32 {
        self.advance(now);
        let granted: u32 = self.granted.iter().map(|loan| loan.amount).sum();
        let free = self.base.saturating_sub(granted);
        let kept = self.peak.value().max(self.reserve());
        let spare = self.held().saturating_sub(kept).min(free);
        let amount = self.counter.reduce_capacity(loan.amount.min(spare));
        if amount > 0 {
            self.granted.push(GrantedLoan { amount, ..loan });
        }
        amount
    }

    /// Returns whether slots are lent or in use.
    pub(crate) fn is_lent(&self) -> bool {
        !self.granted.is_empty() || self.counter.used() > 0
    }

    /// Returns the number of slots that are never lent, even if they are unused: if the borrowers
    /// are cut off, the upstream would otherwise receive no requests until the longest deadline has
    /// passed.
    fn reserve(&self) -> u32 {
        u32::from(self.base > 1)
    }

    /// Extends all of a loan unless the lender lacks slots itself, and returns its number of
    /// slots, or zero.
    pub(crate) fn renew(&mut self, wanted: GrantedLoan<u32>, now: MonotonicTime) -> u32 {
        self.advance(now);
        let granted: u32 = self.granted.iter().map(|loan| loan.amount).sum();
        let is_short = self.held() < self.base && self.peak.value() > self.held();
        // If the share was lowered or the seat was suspended, loans in excess of the base share
        // must not be extended.
        let is_withheld = is_short || granted > self.base;
        let mut loans = self.granted.iter_mut();
        match loans.find(|loan| loan.is_same(&wanted)) {
            Some(loan) if !is_withheld => {
                loan.expires_at = loan.expires_at.max(wanted.expires_at);
                loan.amount
            }
            _ => 0,
        }
    }

    /// Ends a loan that its borrower has returned.
    pub(crate) fn handle_return(
        &mut self,
        borrower: Incarnation,
        loan_id: u64,
        now: MonotonicTime,
    ) {
        self.granted
            .retain(|loan| loan.borrower != borrower || loan.loan_id != loan_id);
        self.advance(now);
    }

    /// Adds a borrowed loan or replaces the loan that it renews. A refused renewal leaves the loan
    /// until its expiry.
    pub(crate) fn accept(&mut self, loan: BorrowedLoan<u32>, now: MonotonicTime) {
        self.advance(now);
        if loan.amount == 0 {
            self.mark_not_renewable(loan.loan_id);
            return;
        }
        let is_same_loan = |other: &mut BorrowedLoan<u32>| other.loan_id == loan.loan_id;
        let start = self
            .borrowed
            .extract_if(.., is_same_loan)
            .map(|old| old.start);
        let start = start.min().unwrap_or(loan.start);
        self.ending.retain(|other| other.loan_id != loan.loan_id);
        self.borrowed.push(BorrowedLoan { start, ..loan });
        self.update_capacity();
    }

    /// Stops using a loan that is no longer needed. It is returned once its requests have ended.
    pub(crate) fn release_unneeded(&mut self, policy: &LoanPolicy, now: MonotonicTime) {
        let target = (policy.slot_target)(&self.view());
        let held = self.held();
        let position = self.borrowed.iter().position(|loan| {
            let is_enough = held.saturating_sub(loan.amount) >= target;
            is_enough && now.since(loan.start) >= MIN_BORROW_TIME
        });
        if let Some(position) = position {
            let loan = self.borrowed.remove(position);
            self.ending.push(loan);
            self.update_capacity();
        }
    }

    /// Removes and returns the ended loans on which no request runs any more.
    pub(crate) fn take_finished(&mut self) -> Vec<BorrowedLoan<u32>> {
        let mut ending: u32 = self.ending.iter().map(|loan| loan.amount).sum();
        // The capacity is lowered before the used slots are read, so no request starts in between
        // on a slot that is returned.
        let excess = self.counter.used().saturating_sub(self.counter.capacity());
        let is_finished = |loan: &mut BorrowedLoan<u32>| {
            let remaining = ending - loan.amount;
            let finished = excess <= remaining;
            if finished {
                ending = remaining;
            }
            finished
        };
        self.ending.extract_if(.., is_finished).collect()
    }

    /// Returns the loans that must be renewed now.
    pub(crate) fn renewals(
        &self,
        policy: &LoanPolicy,
        now: MonotonicTime,
    ) -> Vec<BorrowedLoan<u32>> {
        let target = (policy.slot_target)(&self.view());
        let held = self.held();
        self.borrowed
            .iter()
            .filter(|loan| loan.is_renewal_due(now))
            .filter(|loan| held.saturating_sub(loan.amount) < target)
            .copied()
            .collect()
    }

    /// Returns how many slots are missing and whether requests found none, and resets the count of
    /// those requests.
    pub(crate) fn need(&mut self, policy: &LoanPolicy) -> (u32, bool) {
        let view = self.view();
        self.shortages = 0;
        let need = (policy.slot_target)(&view).saturating_sub(view.held);
        (need, view.shortages > 0)
    }

    fn view(&self) -> SlotDemandView {
        SlotDemandView {
            peak: self.peak.value(),
            shortages: self.shortages,
            held: self.held(),
            total: self.total,
        }
    }

    fn mark_not_renewable(&mut self, loan_id: u64) {
        let loans = self.borrowed.iter_mut();
        for loan in loans.filter(|loan| loan.loan_id == loan_id) {
            loan.renewable = false;
        }
    }

    fn update_capacity(&self) {
        self.counter.set_capacity(self.held());
    }
}
