//! Rates of client accounts over all instances together.
//!
//! Load pattern: an account sends many times its rate, through any of the instances. Each instance reports what it
//! admitted and what it was asked for; every instance counts the same bucket from these reports and spends its part of
//! what is left, in proportion to the demand it sees. An instance that is not heard is taken to spend its last part.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// One request in the unit of the budgets.
const TOKEN: i64 = 1_000;
/// The part of the bucket's content that all instances together spend between two reports. Reports are late by one
/// period and a crossing, in which the same content is spent again.
const SPEND_PART: f64 = 0.35;
/// A debt of the bucket is paid back within this time.
const DEBT_PERIOD: Duration = Duration::from_secs(2);
/// The part of the rate that an instance counts as demand without any, so that its first requests find a share.
const IDLE_DEMAND: f64 = 0.02;
/// The part of the bucket's content that may be overdrawn, divided evenly: an instance that sees little of an account
/// must still admit its next request.
const OVERDRAFT_PART: f64 = 0.5;
/// The part of the burst from which a bucket is ample: no instance needs to pay back between two reports what the others
/// know of by then.
const AMPLE_PART: f64 = 0.5;
/// The weight of one period in the average demand.
const DEMAND_PART: f64 = 0.25;
/// An instance not heard for longer is taken to go on spending its part; what it then reports is set against that.
const SILENT_AFTER: Duration = Duration::from_millis(250);
/// The same in periods between two reports, which are longer in a large fleet.
const SILENT_PERIODS: f64 = 2.5;

/// What request threads use of an account's limit.
#[derive(Debug, Default)]
pub struct QuotaBudget {
    budget: AtomicI64,
    overdraft: AtomicI64,
    admitted: AtomicU64,
    asked: AtomicU64,
    has_headroom: AtomicBool,
}

impl QuotaBudget {
    /// Counts a request that asks for admission.
    pub fn count_demand(&self) {
        self.asked.fetch_add(1, Ordering::Relaxed);
    }

    /// Tells whether the account is well within its limit, so that a request that is not admitted may be with the next
    /// refill.
    #[must_use]
    pub fn has_headroom(&self) -> bool {
        self.has_headroom.load(Ordering::Relaxed)
    }

    /// Admits one request if the budget is not used up.
    pub fn try_admit(&self) -> bool {
        let lowest = -self.overdraft.load(Ordering::Relaxed);
        let taken = self
            .budget
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |budget| {
                // The last request may leave a debt, or a small share would never admit a whole request.
                (budget > lowest).then_some(budget - TOKEN)
            });
        let is_admitted = taken.is_ok();
        if is_admitted {
            self.admitted.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Takes back the admission of a request that was never sent to an upstream.
    pub fn refund(&self) {
        self.budget.fetch_add(TOKEN, Ordering::AcqRel);
        self.admitted.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the requests admitted since the start.
    #[must_use]
    pub fn admitted(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed)
    }
}

/// The limit of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once beyond the rate.
    pub burst: f64,
}

/// What another instance reported of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaReport {
    /// Requests it admitted since its start.
    pub admitted: u64,
    /// Requests a second it was asked for.
    pub demand: f64,
}

/// By how much an account may exceed its limit in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExcess {
    /// The window.
    pub window: Duration,
    /// The part of what the limit allows in a window.
    pub tolerance: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl QuotaExcess {
    /// Returns what the bucket holds at a start. An instance that starts while others run, or after all were stopped,
    /// knows nothing of what was spent, so it starts with half of what may be spent in excess.
    #[must_use]
    pub fn initial_tokens(&self, limit: QuotaLimit) -> f64 {
        let allowed = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        f64::midpoint(allowed * self.tolerance, self.slack)
    }
}

#[derive(Debug)]
struct PeerSpending {
    incarnation: u64,
    admitted: u64,
    demand: f64,
    heard_at: MonotonicTime,
    /// Requests that were assumed while it was silent.
    assumed: f64,
}

/// The count of one account's bucket, kept by the control thread.
#[derive(Debug)]
pub struct QuotaBucket {
    limit: QuotaLimit,
    level: f64,
    ticked_at: MonotonicTime,
    own_admitted: u64,
    own_asked: u64,
    local_demand: f64,
    own_part: f64,
    peers: HashMap<u64, PeerSpending>,
}

impl QuotaBucket {
    /// Starts the count with `content` requests in the bucket.
    #[must_use]
    pub fn new(limit: QuotaLimit, content: f64, now: MonotonicTime) -> Self {
        Self {
            level: content.min(limit.burst),
            limit,
            ticked_at: now,
            own_admitted: 0,
            own_asked: 0,
            local_demand: 0.0,
            own_part: 0.0,
            peers: HashMap::new(),
        }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: QuotaLimit) {
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Returns the demand at this instance in requests a second.
    #[must_use]
    pub fn local_demand(&self) -> f64 {
        self.local_demand
    }

    /// Counts what another instance reported.
    pub fn apply_report(
        &mut self,
        peer: u64,
        incarnation: u64,
        report: QuotaReport,
        now: MonotonicTime,
    ) {
        let spending = self.peers.entry(peer).or_insert(PeerSpending {
            incarnation,
            admitted: report.admitted,
            demand: report.demand,
            heard_at: now,
            assumed: 0.0,
        });
        if spending.incarnation != incarnation {
            spending.incarnation = incarnation;
            spending.admitted = 0;
        }
        #[expect(clippy::cast_precision_loss)]
        let spent = report.admitted.saturating_sub(spending.admitted) as f64;
        self.level -= (spent - spending.assumed).max(0.0);
        spending.admitted = spending.admitted.max(report.admitted);
        spending.assumed = 0.0;
        spending.demand = report.demand;
        spending.heard_at = now;
    }

    /// Notes a message of another instance that reports nothing new of this account.
    pub fn record_contact(&mut self, peer: u64, incarnation: u64, now: MonotonicTime) {
        if let Some(spending) = self.peers.get_mut(&peer)
            && spending.incarnation == incarnation
        {
            // What was assumed is set against its next report.
            spending.heard_at = now;
        }
    }

    /// Forgets an instance that is no longer a member.
    pub fn retain_peers(&mut self, is_member: impl Fn(u64) -> bool) {
        self.peers.retain(|peer, _| is_member(*peer));
    }

    /// Refills the gate for the next period. `registered` is the number of instances that may spend, this one included.
    ///
    /// Load pattern: all instances restart at once under a hot account. Until they hear one another, each takes the others to
    /// see the demand that it sees itself, or all of them together would spend the rate several times.
    pub fn refill(&mut self, gate: &QuotaBudget, registered: usize, now: MonotonicTime) {
        let period = now.since(self.ticked_at).as_secs_f64();
        self.ticked_at = now;
        self.count_own(gate, period);
        self.count_silent(period, now);
        let refill = self.limit.rate_per_s * period;
        self.level = (self.level + refill).min(self.limit.burst);
        let floor = self.limit.rate_per_s * IDLE_DEMAND + f64::MIN_POSITIVE;
        let demand = self.local_demand.max(floor);
        let heard: f64 = self.peers.values().map(|peer| peer.demand.max(floor)).sum();
        let instances = registered.max(self.peers.len() + 1);
        #[expect(clippy::cast_precision_loss)]
        let (instances, unheard) = (instances as f64, (instances - 1 - self.peers.len()) as f64);
        let others = heard + unheard * demand;
        self.own_part = demand / (demand + others);
        let debt_part = self.level.min(0.0) / (self.limit.rate_per_s * DEBT_PERIOD.as_secs_f64());
        let steady = refill * (1.0 + debt_part).max(0.0);
        let spend = (steady + self.level.max(0.0) * SPEND_PART) * self.own_part;
        let allowance = to_units(spend);
        let overdraft = self.level.max(0.0) * OVERDRAFT_PART / instances;
        gate.overdraft.store(to_units(overdraft), Ordering::Relaxed);
        let has_headroom = unheard <= 0.0 && self.level >= self.limit.burst * AMPLE_PART;
        gate.has_headroom.store(has_headroom, Ordering::Relaxed);
        // Only a debt is carried over: what was not spent is still in the bucket. While the bucket is ample, a debt is not
        // carried over either: it was one request among few, and the bucket has paid for it.
        let _ = gate
            .budget
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |budget| {
                let kept = if has_headroom { 0 } else { budget.min(0) };
                Some(kept + allowance)
            });
    }

    fn count_own(&mut self, gate: &QuotaBudget, period: f64) {
        let admitted = gate.admitted();
        let asked = gate.asked.load(Ordering::Relaxed);
        #[expect(clippy::cast_precision_loss)]
        let spent = admitted as f64 - self.own_admitted as f64;
        self.level -= spent;
        self.own_admitted = admitted;
        if period > 0.0 {
            #[expect(clippy::cast_precision_loss)]
            let demand = asked.saturating_sub(self.own_asked) as f64 / period;
            self.local_demand += (demand - self.local_demand) * DEMAND_PART;
        }
        self.own_asked = asked;
    }

    /// Charges the bucket for instances that are not heard: they may be cut off and go on with their part.
    fn count_silent(&mut self, period: f64, now: MonotonicTime) {
        let silent_after = SILENT_AFTER.max(Duration::from_secs_f64(period * SILENT_PERIODS));
        let total: f64 =
            self.local_demand + self.peers.values().map(|peer| peer.demand).sum::<f64>();
        for peer in self.peers.values_mut() {
            if now.since(peer.heard_at) > silent_after && total > 0.0 {
                let assumed = self.limit.rate_per_s * period * (peer.demand / total).min(1.0);
                peer.assumed += assumed;
                self.level -= assumed;
            }
        }
    }
}

fn to_units(requests: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    let units = (requests * TOKEN as f64) as i64;
    units
}
