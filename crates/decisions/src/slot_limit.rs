//! The slots of one upstream as their instance holds them.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, SlotCounter};

use crate::demand_estimate::{DecayingPeak, ShortCounter};
use crate::loan_policy::{LoanPolicy, SlotDemandView};
use crate::loan_terms::{GivenLoan, Incarnation, TakenLoan};
use crate::peer_memory::{LoanPeer, PeerMemory};

/// A loan is kept at least this long before it is returned early.
const KEEP_TIME: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(crate) struct SlotLimit {
    /// The longest deadline of a request on the upstream, if it is known.
    pub(crate) deadline: Option<Duration>,
    counter: Arc<SlotCounter>,
    short: Arc<ShortCounter>,
    total: u32,
    /// The seat's share by the configuration.
    share: u32,
    /// The share in use: nothing while the seat must not be used.
    base: u32,
    given: Vec<GivenLoan<u32>>,
    taken: Vec<TakenLoan<u32>>,
    /// Loans taken on which no request may start any more, but on which some may still run.
    ending: Vec<TakenLoan<u32>>,
    advanced: MonotonicTime,
    peak: DecayingPeak,
    shorts: u32,
    pub(crate) lenders: Vec<LoanPeer>,
    pub(crate) peers: PeerMemory,
}

impl SlotLimit {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            deadline: None,
            counter: Arc::default(),
            short: Arc::default(),
            total: 0,
            share: 0,
            base: 0,
            given: Vec::new(),
            taken: Vec::new(),
            ending: Vec::new(),
            advanced: now,
            peak: DecayingPeak::default(),
            shorts: 0,
            lenders: Vec::new(),
            peers: PeerMemory::default(),
        }
    }

    pub(crate) fn counter(&self) -> Arc<SlotCounter> {
        Arc::clone(&self.counter)
    }

    pub(crate) fn short(&self) -> Arc<ShortCounter> {
        Arc::clone(&self.short)
    }

    /// Returns the slots on which a request may start: base − given + taken.
    pub(crate) fn held(&self) -> u32 {
        let given: u32 = self.given.iter().map(|loan| loan.amount).sum();
        let taken: u32 = self.taken.iter().map(|loan| loan.amount).sum();
        (self.base + taken).saturating_sub(given)
    }

    /// Brings the limit to `now`: ends loans taken and loans given.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        let shorts = self.short.collect();
        self.shorts = self.shorts.saturating_add(shorts);
        let wanted = self.counter.used().saturating_add(shorts);
        self.peak.observe(wanted, now.since(self.advanced));
        self.advanced = self.advanced.max(now);
        self.ending
            .extend(self.taken.extract_if(.., |loan| loan.is_over(now)));
        self.given.retain(|loan| now < loan.until);
        self.apply();
    }

    pub(crate) fn set_share(&mut self, total: u32, share: u32) {
        self.total = total;
        self.share = share;
    }

    /// Brings the limit to `now` and uses its share from then on, or nothing if the seat is closed.
    pub(crate) fn use_share(&mut self, is_open: bool, now: MonotonicTime) {
        self.advance(now);
        self.base = if is_open { self.share } else { 0 };
        self.apply();
    }

    /// Lends up to the amount of `loan`, only slots that are free, and returns how many.
    pub(crate) fn lend(&mut self, loan: GivenLoan<u32>, now: MonotonicTime) -> u32 {
        self.advance(now);
        let given: u32 = self.given.iter().map(|loan| loan.amount).sum();
        let free = self.base.saturating_sub(given);
        let kept = self.peak.value().max(self.reserve());
        let spare = self.held().saturating_sub(kept).min(free);
        let amount = self.counter.reduce_capacity(loan.amount.min(spare));
        if amount > 0 {
            self.given.push(GivenLoan { amount, ..loan });
        }
        amount
    }

    /// Tells whether slots are lent or in use.
    pub(crate) fn is_lent(&self) -> bool {
        !self.given.is_empty() || self.counter.used() > 0
    }

    /// Returns the slots that are not lent even if they were never used: if the borrowers are cut off, the upstream
    /// would otherwise be without work until the longest deadline has passed.
    fn reserve(&self) -> u32 {
        u32::from(self.base > 1)
    }

    /// Extends a loan as a whole unless the lender is short, and returns its slots or zero.
    pub(crate) fn renew(&mut self, wanted: GivenLoan<u32>, now: MonotonicTime) -> u32 {
        self.advance(now);
        let given: u32 = self.given.iter().map(|loan| loan.amount).sum();
        let is_short = self.held() < self.base && self.peak.value() > self.held();
        // After the seat was closed or its share lowered, nothing beyond the base may be lent longer.
        let is_withheld = is_short || given > self.base;
        let mut loans = self.given.iter_mut();
        match loans.find(|loan| loan.is_same(&wanted)) {
            Some(loan) if !is_withheld => {
                loan.until = loan.until.max(wanted.until);
                loan.amount
            }
            _ => 0,
        }
    }

    /// Ends a loan that its borrower has returned.
    pub(crate) fn take_back(&mut self, borrower: Incarnation, line: u64, now: MonotonicTime) {
        self.given
            .retain(|loan| loan.borrower != borrower || loan.line != line);
        self.advance(now);
    }

    /// Adds a loan or replaces the loan it renews.
    pub(crate) fn accept(&mut self, loan: TakenLoan<u32>, now: MonotonicTime) {
        self.advance(now);
        if loan.amount == 0 {
            self.refuse_renewal(loan.line);
            return;
        }
        let same_line = |other: &mut TakenLoan<u32>| other.line == loan.line;
        let start = self.taken.extract_if(.., same_line).map(|old| old.start);
        let start = start.min().unwrap_or(loan.start);
        self.ending.retain(|other| other.line != loan.line);
        self.taken.push(TakenLoan { start, ..loan });
        self.apply();
    }

    /// Stops using a loan that is no longer needed.
    pub(crate) fn release_unneeded(&mut self, policy: &LoanPolicy, now: MonotonicTime) {
        let target = (policy.slot_target)(&self.view());
        let held = self.held();
        let position = self.taken.iter().position(|loan| {
            let is_enough = held.saturating_sub(loan.amount) >= target;
            is_enough && now.since(loan.start) >= KEEP_TIME
        });
        if let Some(position) = position {
            let loan = self.taken.remove(position);
            self.ending.push(loan);
            self.apply();
        }
    }

    /// Returns the ended loans on which nothing runs any more, and forgets them.
    pub(crate) fn finished(&mut self) -> Vec<TakenLoan<u32>> {
        let mut ending: u32 = self.ending.iter().map(|loan| loan.amount).sum();
        // The capacity is lowered before this reads what is in use, so no request starts in between
        // on a slot that is returned.
        let over = self.counter.used().saturating_sub(self.counter.capacity());
        let is_finished = |loan: &mut TakenLoan<u32>| {
            let rest = ending - loan.amount;
            let finished = over <= rest;
            if finished {
                ending = rest;
            }
            finished
        };
        self.ending.extract_if(.., is_finished).collect()
    }

    /// Returns the loans to renew now.
    pub(crate) fn renewals(&self, policy: &LoanPolicy, now: MonotonicTime) -> Vec<TakenLoan<u32>> {
        let target = (policy.slot_target)(&self.view());
        let held = self.held();
        self.taken
            .iter()
            .filter(|loan| loan.is_renewal_due(now))
            .filter(|loan| held.saturating_sub(loan.amount) < target)
            .copied()
            .collect()
    }

    /// Returns how many slots are missing and whether requests found nothing, and forgets these.
    pub(crate) fn need(&mut self, policy: &LoanPolicy) -> (u32, bool) {
        let view = self.view();
        self.shorts = 0;
        let need = (policy.slot_target)(&view).saturating_sub(view.held);
        (need, view.shorts > 0)
    }

    fn view(&self) -> SlotDemandView {
        SlotDemandView {
            peak: self.peak.value(),
            shorts: self.shorts,
            held: self.held(),
            total: self.total,
        }
    }

    fn refuse_renewal(&mut self, line: u64) {
        let loans = self.taken.iter_mut();
        for loan in loans.filter(|loan| loan.line == line) {
            loan.renewable = false;
        }
    }

    fn apply(&self) {
        self.counter.set_capacity(self.held());
    }
}
