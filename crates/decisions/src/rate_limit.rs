//! The share of one rate limit that an instance may use: its base share and its loans.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, RateBucket};

use crate::demand_estimate::{DemandEstimate, ShortageCounter};
use crate::lender_history::LenderHistory;
use crate::loan_policy::{DemandView, LoanPolicy, reserve};
use crate::loan_terms::{BorrowedLoan, GrantedLoan, Incarnation, RateAmount};
use crate::share_split::MILLI_PER_TOKEN;
use crate::tick_refill::TickRefill;

/// A loan is kept at least this long before it is returned early.
const MIN_BORROW_TIME: Duration = Duration::from_millis(500);

/// A missing rate below this fraction (1/16) of the target does not justify a request.
const MIN_NEED_DIVISOR: i64 = 16;

/// A bucket with fewer milli-tokens does not cover a burst of a few requests.
const LOW_LEVEL_MILLI_TOKENS: i64 = 4 * MILLI_PER_TOKEN;

/// A loan below this fraction (1/4) of what was requested does not justify its renewals.
const MIN_GRANT_DIVISOR: i64 = 4;

#[derive(Debug)]
pub(crate) struct RateLimit {
    bucket: Arc<RateBucket>,
    shortage_counter: Arc<ShortageCounter>,
    total: RateAmount,
    /// The seat's share according to the configuration.
    share: RateAmount,
    /// The share in use; zero while the seat must not be used.
    base: RateAmount,
    granted: Vec<GrantedLoan<RateAmount>>,
    borrowed: Vec<BorrowedLoan<RateAmount>>,
    refill: TickRefill,
    demand: DemandEstimate,
    /// Requests that found too few tokens since the last call of [`need`](Self::need).
    shortages: u32,
    pub(crate) lender_history: LenderHistory,
}

impl RateLimit {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            bucket: Arc::default(),
            shortage_counter: Arc::default(),
            total: RateAmount::default(),
            share: RateAmount::default(),
            base: RateAmount::default(),
            granted: Vec::new(),
            borrowed: Vec::new(),
            refill: TickRefill::new(now),
            demand: DemandEstimate::default(),
            shortages: 0,
            lender_history: LenderHistory::default(),
        }
    }

    pub(crate) fn bucket(&self) -> Arc<RateBucket> {
        Arc::clone(&self.bucket)
    }

    pub(crate) fn shortage_counter(&self) -> Arc<ShortageCounter> {
        Arc::clone(&self.shortage_counter)
    }

    /// Returns what the instance may use: base share + borrowed loans − granted loans.
    pub(crate) fn held(&self) -> RateAmount {
        let granted = sum(self.granted.iter().map(|loan| loan.amount));
        let borrowed = sum(self.borrowed.iter().map(|loan| loan.amount));
        self.base.plus(borrowed).minus(granted)
    }

    /// Advances the limit to `now`.
    ///
    /// Borrowed loans end before the refill and granted loans end after it, so the time since the
    /// last call, however long, is credited at the lowest rate that was held in it.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        self.observe_demand(now);
        self.borrowed.retain(|loan| !loan.ends_within_lease(now));
        let rate = self.held().rate;
        self.refill.refill(&self.bucket, rate, now);
        self.granted.retain(|loan| now < loan.expires_at);
        self.update_capacity();
    }

    pub(crate) fn set_share(&mut self, total: RateAmount, share: RateAmount) {
        self.total = total;
        self.share = share;
    }

    /// Advances the limit to `now` and then applies its share, or none if the seat must not be
    /// used.
    pub(crate) fn use_share(&mut self, is_open: bool, now: MonotonicTime) {
        self.advance(now);
        self.base = if is_open {
            self.share
        } else {
            RateAmount::default()
        };
        self.update_capacity();
    }

    /// Grants up to the amount of `loan` and returns what was granted and the tokens that go with
    /// it.
    pub(crate) fn lend(
        &mut self,
        loan: GrantedLoan<RateAmount>,
        now: MonotonicTime,
    ) -> (RateAmount, i64) {
        self.advance(now);
        let held = self.held();
        let amount = loan.amount.at_most(self.spare());
        let is_too_small = amount.rate < loan.amount.rate / MIN_GRANT_DIVISOR
            && amount.burst < loan.amount.burst.min(MILLI_PER_TOKEN);
        if amount.is_zero() || is_too_small {
            return (RateAmount::default(), 0);
        }
        let level = self.bucket.level().max(0);
        // A fraction of a token would not admit the request that the loan is for.
        let min_tokens = amount.burst.min(MILLI_PER_TOKEN);
        let tokens = proportion(level, amount.burst, held.burst).max(min_tokens);
        let tokens = self.bucket.take_up_to(tokens);
        self.granted.push(GrantedLoan { amount, ..loan });
        self.update_capacity();
        (amount, tokens)
    }

    /// Extends a loan to the expiry of `wanted` and returns the amount that is extended. The
    /// remaining amount stays lent until its old expiry, because the borrower may never receive the
    /// answer.
    pub(crate) fn renew(
        &mut self,
        wanted: GrantedLoan<RateAmount>,
        now: MonotonicTime,
    ) -> RateAmount {
        self.advance(now);
        // If the share was lowered or the seat was suspended, loans in excess of the base share
        // must not be extended.
        let granted = sum(self.granted.iter().map(|loan| loan.amount));
        let withheld = self.deficit().plus(granted.minus(self.base));
        let mut loans = self.granted.iter_mut();
        let Some(loan) = loans.find(|loan| loan.renewable && loan.is_same(&wanted)) else {
            return RateAmount::default();
        };
        let old = *loan;
        let amount = wanted.amount.at_most(old.amount.minus(withheld));
        if amount.is_zero() {
            loan.renewable = false;
            return amount;
        }
        loan.amount = amount;
        loan.expires_at = old.expires_at.max(wanted.expires_at);
        let rest = old.amount.minus(amount);
        if !rest.is_zero() {
            self.granted.push(GrantedLoan {
                amount: rest,
                renewable: false,
                ..old
            });
        }
        amount
    }

    /// Ends a loan that its borrower has returned, and adds the tokens that came with it. A return
    /// without a recorded loan, because the loan has expired or was already returned, adds no
    /// tokens.
    pub(crate) fn handle_return(
        &mut self,
        borrower: Incarnation,
        loan_id: u64,
        tokens: i64,
        now: MonotonicTime,
    ) {
        self.advance(now);
        let is_same = |loan: &mut GrantedLoan<RateAmount>| {
            loan.borrower == borrower && loan.loan_id == loan_id
        };
        let returned = sum(self.granted.extract_if(.., is_same).map(|loan| loan.amount));
        self.update_capacity();
        let tokens = tokens.clamp(0, returned.burst);
        self.refill.add(&self.bucket, tokens);
    }

    /// Adds a borrowed loan or replaces the loan that it renews. A refused renewal leaves the loan
    /// until its expiry.
    pub(crate) fn accept(
        &mut self,
        loan: BorrowedLoan<RateAmount>,
        tokens: i64,
        now: MonotonicTime,
    ) {
        self.advance(now);
        if loan.amount.is_zero() {
            self.mark_not_renewable(loan.loan_id);
            return;
        }
        let start = self.remove_borrowed(loan.loan_id).unwrap_or(loan.start);
        self.borrowed.push(BorrowedLoan { start, ..loan });
        self.update_capacity();
        self.refill
            .add(&self.bucket, tokens.clamp(0, loan.amount.burst));
    }

    /// Removes a loan that is no longer needed and returns it with its share of the tokens, for its
    /// lender.
    pub(crate) fn return_unneeded(
        &mut self,
        policy: &LoanPolicy,
        now: MonotonicTime,
    ) -> Option<(BorrowedLoan<RateAmount>, i64)> {
        let target = (policy.rate_target)(&self.view());
        let needed = target.plus(target.combine(target, |part, _| part / 4));
        let held = self.held();
        let position = self.borrowed.iter().position(|loan| {
            let rest = held.minus(loan.amount);
            let is_enough = rest.rate >= needed.rate && rest.burst >= needed.burst;
            is_enough && now.since(loan.start) >= MIN_BORROW_TIME
        })?;
        let loan = self.borrowed.remove(position);
        let level = self.bucket.level().max(0);
        let tokens = self
            .bucket
            .take_up_to(proportion(level, loan.amount.burst, held.burst));
        self.update_capacity();
        Some((loan, tokens))
    }

    /// Returns the loans that must be renewed now.
    pub(crate) fn renewals(
        &self,
        policy: &LoanPolicy,
        now: MonotonicTime,
    ) -> Vec<BorrowedLoan<RateAmount>> {
        let target = (policy.rate_target)(&self.view());
        let held = self.held();
        self.borrowed
            .iter()
            .filter(|loan| loan.is_renewal_due(now))
            .filter(|loan| {
                let rest = held.minus(loan.amount);
                rest.rate < target.rate || rest.burst < target.burst
            })
            .copied()
            .collect()
    }

    /// Returns what is missing and whether requests found too few tokens, and resets the count of
    /// those requests.
    ///
    /// While the bucket is more than half full, its tokens cover the peaks, and a loan would take
    /// quota that other instances need for theirs.
    pub(crate) fn need(&mut self, policy: &LoanPolicy) -> (RateAmount, bool) {
        let view = self.view();
        let is_urgent = view.shortages > 0;
        self.shortages = 0;
        let target = (policy.rate_target)(&view);
        let need = target.minus(view.held);
        let is_small = need.rate * MIN_NEED_DIVISOR < target.rate && need.burst < MILLI_PER_TOKEN;
        let level = self.bucket.level();
        let has_tokens = level * 2 > view.held.burst && level >= LOW_LEVEL_MILLI_TOKENS;
        if !is_urgent && (is_small || has_tokens) {
            return (RateAmount::default(), false);
        }
        (need, is_urgent)
    }

    fn view(&self) -> DemandView {
        DemandView {
            demand: self.demand.per_second(),
            shortages: self.shortages,
            held: self.held(),
            total: self.total,
        }
    }

    /// Returns what may be lent: the amount of the base share that the instance does not need.
    fn spare(&self) -> RateAmount {
        let granted = sum(self.granted.iter().map(|loan| loan.amount));
        let free = self.base.minus(granted);
        let reserve = reserve(self.base, self.demand.per_second());
        free.at_most(self.held().minus(reserve))
    }

    /// Returns how much of its base share the instance needs, does not have, and is not about to
    /// get back from expiring loans.
    fn deficit(&self) -> RateAmount {
        let ending = self.granted.iter().filter(|loan| !loan.renewable);
        let ending = sum(ending.map(|loan| loan.amount));
        let reserve = reserve(self.base, self.demand.per_second()).at_most(self.base);
        reserve.minus(self.held()).minus(ending)
    }

    fn observe_demand(&mut self, now: MonotonicTime) {
        let shortages = self.shortage_counter.collect();
        self.shortages = self.shortages.saturating_add(shortages);
        let demanded = self.refill.consumed(&self.bucket) + i64::from(shortages) * MILLI_PER_TOKEN;
        self.demand.observe(demanded, self.refill.elapsed(now));
    }

    fn remove_borrowed(&mut self, loan_id: u64) -> Option<MonotonicTime> {
        let position = self
            .borrowed
            .iter()
            .position(|loan| loan.loan_id == loan_id)?;
        Some(self.borrowed.remove(position).start)
    }

    fn mark_not_renewable(&mut self, loan_id: u64) {
        let loans = self.borrowed.iter_mut();
        for loan in loans.filter(|loan| loan.loan_id == loan_id) {
            loan.renewable = false;
        }
    }

    fn update_capacity(&mut self) {
        let capacity = self.held().burst;
        self.refill.set_capacity(&self.bucket, capacity);
    }
}

fn sum(amounts: impl Iterator<Item = RateAmount>) -> RateAmount {
    amounts.fold(RateAmount::default(), RateAmount::plus)
}

/// Returns `amount` × `numerator` ÷ `denominator`, rounded down.
fn proportion(amount: i64, numerator: i64, denominator: i64) -> i64 {
    let product = i128::from(amount) * i128::from(numerator);
    i64::try_from(product / i128::from(denominator.max(1))).unwrap_or(0)
}
