//! One rate limit as its instance holds it.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, RateBucket};

use crate::demand_estimate::{DemandEstimate, ShortCounter};
use crate::loan_policy::{DemandView, LoanPolicy, reserve};
use crate::loan_terms::{GivenLoan, Incarnation, RateAmount, TakenLoan};
use crate::peer_memory::PeerMemory;
use crate::refill_account::RefillAccount;
use crate::share_split::MILLI_PER_TOKEN;

/// A loan is kept at least this long before it is returned early.
const KEEP_TIME: Duration = Duration::from_millis(500);

/// A need below one part in this many of the target is not worth a message.
const SMALL_PART: i64 = 16;

/// With fewer milli-tokens a bucket does not cover a small group of requests.
const FEW_TOKENS: i64 = 4 * MILLI_PER_TOKEN;

/// A loan below one part in this many of what was asked is not worth its renewals.
const SLIVER_PART: i64 = 4;

#[derive(Debug)]
pub(crate) struct RateLimit {
    bucket: Arc<RateBucket>,
    short: Arc<ShortCounter>,
    total: RateAmount,
    /// The seat's share by the configuration.
    share: RateAmount,
    /// The share in use: nothing while the seat must not be used.
    base: RateAmount,
    given: Vec<GivenLoan<RateAmount>>,
    taken: Vec<TakenLoan<RateAmount>>,
    refill: RefillAccount,
    demand: DemandEstimate,
    shorts: u32,
    pub(crate) peers: PeerMemory,
}

impl RateLimit {
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            bucket: Arc::default(),
            short: Arc::default(),
            total: RateAmount::default(),
            share: RateAmount::default(),
            base: RateAmount::default(),
            given: Vec::new(),
            taken: Vec::new(),
            refill: RefillAccount::new(now),
            demand: DemandEstimate::default(),
            shorts: 0,
            peers: PeerMemory::default(),
        }
    }

    pub(crate) fn bucket(&self) -> Arc<RateBucket> {
        Arc::clone(&self.bucket)
    }

    pub(crate) fn short(&self) -> Arc<ShortCounter> {
        Arc::clone(&self.short)
    }

    /// Returns what the instance holds: base − given + taken.
    pub(crate) fn held(&self) -> RateAmount {
        let given = sum(self.given.iter().map(|loan| loan.amount));
        let taken = sum(self.taken.iter().map(|loan| loan.amount));
        self.base.plus(taken).minus(given)
    }

    /// Brings the limit to `now`.
    ///
    /// Loans taken end before the refill and loans given end after it, so the time since the last
    /// call, however long, is credited at the lowest rate that was held in it.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        self.observe_demand(now);
        self.taken.retain(|loan| !loan.is_over(now));
        let rate = self.held().rate;
        self.refill.refill(&self.bucket, rate, now);
        self.given.retain(|loan| now < loan.until);
        self.apply();
    }

    pub(crate) fn set_share(&mut self, total: RateAmount, share: RateAmount) {
        self.total = total;
        self.share = share;
    }

    /// Brings the limit to `now` and uses its share from then on, or nothing if the seat is closed.
    pub(crate) fn use_share(&mut self, is_open: bool, now: MonotonicTime) {
        self.advance(now);
        self.base = if is_open {
            self.share
        } else {
            RateAmount::default()
        };
        self.apply();
    }

    /// Lends up to the amount of `loan` and returns what was lent and the tokens that go with it.
    pub(crate) fn lend(
        &mut self,
        loan: GivenLoan<RateAmount>,
        now: MonotonicTime,
    ) -> (RateAmount, i64) {
        self.advance(now);
        let held = self.held();
        let amount = loan.amount.at_most(self.spare());
        let is_sliver = amount.rate < loan.amount.rate / SLIVER_PART
            && amount.burst < loan.amount.burst.min(MILLI_PER_TOKEN);
        if amount.is_zero() || is_sliver {
            return (RateAmount::default(), 0);
        }
        let level = self.bucket.level().max(0);
        // A fraction of a token would not serve the request that the loan is for.
        let least = amount.burst.min(MILLI_PER_TOKEN);
        let tokens = proportion(level, amount.burst, held.burst).max(least);
        let tokens = self.bucket.take_up_to(tokens);
        self.given.push(GivenLoan { amount, ..loan });
        self.apply();
        (amount, tokens)
    }

    /// Extends a loan to the end of `wanted` and returns the part that is extended. The rest stays
    /// lent until its old end, because the borrower may never learn of the change.
    pub(crate) fn renew(
        &mut self,
        wanted: GivenLoan<RateAmount>,
        now: MonotonicTime,
    ) -> RateAmount {
        self.advance(now);
        // After the seat was closed or its share lowered, nothing beyond the base may be lent longer.
        let given = sum(self.given.iter().map(|loan| loan.amount));
        let withheld = self.shortage().plus(given.minus(self.base));
        let mut loans = self.given.iter_mut();
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
        loan.until = old.until.max(wanted.until);
        let rest = old.amount.minus(amount);
        if !rest.is_zero() {
            self.given.push(GivenLoan {
                amount: rest,
                renewable: false,
                ..old
            });
        }
        amount
    }

    /// Ends a loan that its borrower has returned, and takes the tokens that came with it. A return
    /// of a loan that is not on record, because it is over or was returned before, brings none.
    pub(crate) fn take_back(
        &mut self,
        borrower: Incarnation,
        line: u64,
        tokens: i64,
        now: MonotonicTime,
    ) {
        self.advance(now);
        let is_same =
            |loan: &mut GivenLoan<RateAmount>| loan.borrower == borrower && loan.line == line;
        let returned = sum(self.given.extract_if(.., is_same).map(|loan| loan.amount));
        self.apply();
        let tokens = tokens.clamp(0, returned.burst);
        self.refill.add(&self.bucket, tokens);
    }

    /// Adds a loan or replaces the loan it renews.
    pub(crate) fn accept(&mut self, loan: TakenLoan<RateAmount>, tokens: i64, now: MonotonicTime) {
        self.advance(now);
        if loan.amount.is_zero() {
            self.refuse_renewal(loan.line);
            return;
        }
        let start = self.remove_taken(loan.line).unwrap_or(loan.start);
        self.taken.push(TakenLoan { start, ..loan });
        self.apply();
        self.refill
            .add(&self.bucket, tokens.clamp(0, loan.amount.burst));
    }

    /// Drops a loan that is no longer needed and returns it with its part of the tokens, for its
    /// lender.
    pub(crate) fn give_back(
        &mut self,
        policy: &LoanPolicy,
        now: MonotonicTime,
    ) -> Option<(TakenLoan<RateAmount>, i64)> {
        let target = (policy.rate_target)(&self.view());
        let needed = target.plus(target.combine(target, |part, _| part / 4));
        let held = self.held();
        let position = self.taken.iter().position(|loan| {
            let rest = held.minus(loan.amount);
            let is_enough = rest.rate >= needed.rate && rest.burst >= needed.burst;
            is_enough && now.since(loan.start) >= KEEP_TIME
        })?;
        let loan = self.taken.remove(position);
        let level = self.bucket.level().max(0);
        let tokens = self
            .bucket
            .take_up_to(proportion(level, loan.amount.burst, held.burst));
        self.apply();
        Some((loan, tokens))
    }

    /// Returns the loans to renew now.
    pub(crate) fn renewals(
        &self,
        policy: &LoanPolicy,
        now: MonotonicTime,
    ) -> Vec<TakenLoan<RateAmount>> {
        let target = (policy.rate_target)(&self.view());
        let held = self.held();
        self.taken
            .iter()
            .filter(|loan| loan.is_renewal_due(now))
            .filter(|loan| {
                let rest = held.minus(loan.amount);
                rest.rate < target.rate || rest.burst < target.burst
            })
            .copied()
            .collect()
    }

    /// Returns what is missing and whether requests found nothing, and forgets these.
    ///
    /// While the bucket is more than half full its tokens cover the peaks, and a loan would only take
    /// from others what they need for theirs.
    pub(crate) fn need(&mut self, policy: &LoanPolicy) -> (RateAmount, bool) {
        let view = self.view();
        let is_urgent = view.shorts > 0;
        self.shorts = 0;
        let target = (policy.rate_target)(&view);
        let need = target.minus(view.held);
        let is_small = need.rate * SMALL_PART < target.rate && need.burst < MILLI_PER_TOKEN;
        let level = self.bucket.level();
        let has_tokens = level * 2 > view.held.burst && level >= FEW_TOKENS;
        if !is_urgent && (is_small || has_tokens) {
            return (RateAmount::default(), false);
        }
        (need, is_urgent)
    }

    fn view(&self) -> DemandView {
        DemandView {
            demand: self.demand.per_second(),
            shorts: self.shorts,
            held: self.held(),
            total: self.total,
        }
    }

    /// Returns what may be lent: a part of the base share that the instance does not need.
    fn spare(&self) -> RateAmount {
        let given = sum(self.given.iter().map(|loan| loan.amount));
        let free = self.base.minus(given);
        let reserve = reserve(self.base, self.demand.per_second());
        free.at_most(self.held().minus(reserve))
    }

    /// Returns what the instance lacks of its base share and is not yet getting back.
    fn shortage(&self) -> RateAmount {
        let ending = self.given.iter().filter(|loan| !loan.renewable);
        let ending = sum(ending.map(|loan| loan.amount));
        let reserve = reserve(self.base, self.demand.per_second()).at_most(self.base);
        reserve.minus(self.held()).minus(ending)
    }

    fn observe_demand(&mut self, now: MonotonicTime) {
        let shorts = self.short.collect();
        self.shorts = self.shorts.saturating_add(shorts);
        let asked = self.refill.taken(&self.bucket) + i64::from(shorts) * MILLI_PER_TOKEN;
        self.demand.observe(asked, self.refill.elapsed(now));
    }

    fn remove_taken(&mut self, line: u64) -> Option<MonotonicTime> {
        let position = self.taken.iter().position(|loan| loan.line == line)?;
        Some(self.taken.remove(position).start)
    }

    fn refuse_renewal(&mut self, line: u64) {
        let loans = self.taken.iter_mut();
        for loan in loans.filter(|loan| loan.line == line) {
            loan.renewable = false;
        }
    }

    fn apply(&mut self) {
        let capacity = self.held().burst;
        self.refill.reset(&self.bucket, capacity);
    }
}

fn sum(amounts: impl Iterator<Item = RateAmount>) -> RateAmount {
    amounts.fold(RateAmount::default(), RateAmount::plus)
}

/// Returns `whole` × `part` ÷ `of`, rounded down.
fn proportion(whole: i64, part: i64, of: i64) -> i64 {
    let product = i128::from(whole) * i128::from(part);
    i64::try_from(product / i128::from(of.max(1))).unwrap_or(0)
}
