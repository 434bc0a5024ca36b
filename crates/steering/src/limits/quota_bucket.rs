//! Rate limits of client accounts, shared by all instances.
//!
//! Load pattern: an account sends many times its rate, through any of the instances. Each instance reports the requests
//! that it received and admitted. Every instance maintains the same token bucket from these reports, and spends a share
//! of its tokens in proportion to the local demand. An instance that sends no reports is assumed to keep spending its
//! last share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// Balance units per request.
const UNITS_PER_REQUEST: i64 = 1_000;
/// Fraction of the tokens in the bucket that all instances together spend between two reports. Reports arrive one
/// period and one network delay late, and the same tokens are spent again in that time.
const SPEND_FRACTION: f64 = 0.35;
/// Time within which a negative token count is repaid.
const DEBT_REPAYMENT_TIME: Duration = Duration::from_secs(2);
/// Lowest demand of an instance, as a fraction of the rate, so that its first requests receive a share.
const MIN_DEMAND_FRACTION: f64 = 0.02;
/// Fraction of the tokens in the bucket that may be overdrawn, divided evenly between the instances. An instance that
/// receives few requests of an account must still be able to admit the next one.
const OVERDRAFT_FRACTION: f64 = 0.5;
/// Fraction of the burst from which the bucket has headroom: an instance need not repay its debt between two reports,
/// because the other instances receive its spending with the next report.
const HEADROOM_FRACTION: f64 = 0.5;
/// Weight of the latest period in the moving average of the demand.
const DEMAND_SMOOTHING_FACTOR: f64 = 0.25;

/// This instance's current share of an account's quota, spent by the request threads.
#[derive(Debug, Default)]
pub struct QuotaBudget {
    balance: AtomicI64,
    overdraft_limit: AtomicI64,
    admitted: AtomicU64,
    requested: AtomicU64,
    has_headroom: AtomicBool,
}

impl QuotaBudget {
    /// Counts a request that arrives, whether it is admitted or not.
    pub fn count_demand(&self) {
        self.requested.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the account is well within its limit, so that a request that is refused now may be admitted
    /// after the next refill.
    #[must_use]
    pub fn has_headroom(&self) -> bool {
        self.has_headroom.load(Ordering::Relaxed)
    }

    /// Admits one request unless the balance is used up.
    pub fn try_admit(&self) -> bool {
        let min_balance = -self.overdraft_limit.load(Ordering::Relaxed);
        let taken = self
            .balance
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |balance| {
                // The last request may leave a debt; otherwise a share below one request would never admit any.
                (balance > min_balance).then_some(balance - UNITS_PER_REQUEST)
            });
        let is_admitted = taken.is_ok();
        if is_admitted {
            self.admitted.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Reverts the admission of a request that was not sent to any upstream.
    pub fn refund(&self) {
        self.balance.fetch_add(UNITS_PER_REQUEST, Ordering::AcqRel);
        self.admitted.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of requests admitted since the process started, without refunded ones.
    #[must_use]
    pub fn admitted(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed)
    }
}

/// Rate limit of an account over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Sustained rate in requests per second.
    pub rate_per_s: f64,
    /// Capacity of the token bucket: requests that may arrive at once in addition to the rate.
    pub burst: f64,
}

/// Usage of an account as reported by another instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaReport {
    /// Requests admitted since the start of that instance.
    pub admitted: u64,
    /// Requests per second that arrive at that instance.
    pub demand: f64,
}

/// Amount by which an account may exceed its limit in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExcess {
    /// Length of the window.
    pub window: Duration,
    /// Excess as a fraction of the requests that the limit allows in a window.
    pub tolerance: f64,
    /// Requests per window allowed on top of the tolerance.
    pub slack: f64,
}

impl QuotaExcess {
    /// Returns the initial tokens of the bucket at a restart. An instance that starts while others run, or after all
    /// were stopped, has no record of the tokens already spent, so it starts with half of the permitted excess.
    #[must_use]
    pub fn initial_tokens(&self, limit: QuotaLimit) -> f64 {
        let allowed = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        f64::midpoint(allowed * self.tolerance, self.slack)
    }
}

#[derive(Debug)]
struct PeerUsage {
    incarnation: u64,
    admitted: u64,
    demand: f64,
    /// Requests charged to the bucket while the instance was silent.
    assumed_spent: f64,
}

/// Sums over the demands that the other instances reported, kept up to date with each report.
#[derive(Debug, Default)]
struct DemandTotals {
    /// Sum of the reported demands in requests per second.
    reported: f64,
    /// The same sum, in which each instance counts with at least the lowest demand.
    floored: f64,
}

/// Token bucket of one account, maintained by the control thread.
#[derive(Debug)]
pub struct QuotaBucket {
    limit: QuotaLimit,
    tokens: f64,
    refilled_at: MonotonicTime,
    charged_admitted: u64,
    counted_requested: u64,
    local_demand: f64,
    local_fraction: f64,
    peers: HashMap<u64, PeerUsage>,
    /// Instances that have restarted and have not reported the account since.
    restarted_peers: Vec<u64>,
    totals: DemandTotals,
    report_period: Duration,
}

impl QuotaBucket {
    /// Creates a bucket that holds `initial_tokens` requests, capped at the burst.
    #[must_use]
    pub fn new(limit: QuotaLimit, initial_tokens: f64, now: MonotonicTime) -> Self {
        Self {
            tokens: initial_tokens.min(limit.burst),
            limit,
            refilled_at: now,
            charged_admitted: 0,
            counted_requested: 0,
            local_demand: 0.0,
            local_fraction: 0.0,
            peers: HashMap::new(),
            restarted_peers: Vec::new(),
            totals: DemandTotals::default(),
            report_period: Duration::ZERO,
        }
    }

    /// Replaces the limit and discards tokens above the new burst.
    pub fn set_limit(&mut self, limit: QuotaLimit) {
        let is_changed = limit != self.limit;
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
        if is_changed {
            self.update_totals();
        }
    }

    /// Sets the time between two reports of another instance, if the budget is refilled more often than that.
    pub fn set_report_period(&mut self, report_period: Duration) {
        self.report_period = report_period;
    }

    fn min_demand(&self) -> f64 {
        self.limit.rate_per_s * MIN_DEMAND_FRACTION + f64::MIN_POSITIVE
    }

    /// Calculates the totals anew, for a changed limit or a removed instance.
    fn update_totals(&mut self) {
        let min_demand = self.min_demand();
        let demands = || self.peers.values().map(|peer| peer.demand);
        self.totals = DemandTotals {
            reported: demands().sum(),
            floored: demands().map(|demand| demand.max(min_demand)).sum(),
        };
    }

    /// Returns the average demand at this instance in requests per second.
    #[must_use]
    pub fn local_demand(&self) -> f64 {
        self.local_demand
    }

    /// Charges the bucket for the requests that another instance admitted since its previous report.
    pub fn apply_report(&mut self, peer: u64, incarnation: u64, report: QuotaReport) {
        let min_demand = self.min_demand();
        let is_new = !self.peers.contains_key(&peer);
        let usage = self.peers.entry(peer).or_insert(PeerUsage {
            incarnation,
            admitted: report.admitted,
            demand: 0.0,
            assumed_spent: 0.0,
        });
        if usage.incarnation != incarnation {
            usage.incarnation = incarnation;
            usage.admitted = 0;
            self.restarted_peers.retain(|restarted| *restarted != peer);
        }
        #[expect(clippy::cast_precision_loss)]
        let spent = report.admitted.saturating_sub(usage.admitted) as f64;
        self.tokens -= (spent - usage.assumed_spent).max(0.0);
        usage.admitted = usage.admitted.max(report.admitted);
        usage.assumed_spent = 0.0;
        let previous_floored = if is_new {
            0.0
        } else {
            usage.demand.max(min_demand)
        };
        self.totals.reported += report.demand - usage.demand;
        self.totals.floored += report.demand.max(min_demand) - previous_floored;
        usage.demand = report.demand;
    }

    /// Records that another instance has restarted. Until it reports the account again, it counts as silent.
    pub fn mark_restarted(&mut self, peer: u64, incarnation: u64) {
        let is_reported = self
            .peers
            .get(&peer)
            .is_none_or(|usage| usage.incarnation == incarnation);
        if !is_reported && !self.restarted_peers.contains(&peer) {
            self.restarted_peers.push(peer);
        }
    }

    /// Removes instances that are no longer members.
    pub fn remove_peers(&mut self, peers: &[u64]) {
        let previous_count = self.peers.len();
        for peer in peers {
            self.peers.remove(peer);
        }
        if self.peers.len() < previous_count {
            self.restarted_peers.retain(|peer| !peers.contains(peer));
            self.update_totals();
        }
    }

    /// Refills the budget for the next period. `registered_instances` is the number of instances that may admit
    /// requests, including this one, and `silent_peers` those of them that have sent no message for some periods.
    ///
    /// Load pattern: all instances restart at once while an account exceeds its rate. Until their first reports arrive,
    /// each instance assumes that every other one has the same demand as itself; otherwise all of them together would
    /// spend the rate several times.
    pub fn refill(
        &mut self,
        budget: &QuotaBudget,
        registered_instances: usize,
        silent_peers: &[u64],
        now: MonotonicTime,
    ) {
        let period = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.charge_local(budget, period);
        self.charge_silent_peers(period, silent_peers);
        let refill = self.limit.rate_per_s * period;
        self.tokens = (self.tokens + refill).min(self.limit.burst);
        let demand = self.local_demand.max(self.min_demand());
        let instances = registered_instances.max(self.peers.len() + 1);
        #[expect(clippy::cast_precision_loss)]
        let (instances, unreported) = (instances as f64, (instances - 1 - self.peers.len()) as f64);
        let remote_demand = self.totals.floored + unreported * demand;
        self.local_fraction = demand / (demand + remote_demand);
        let debt_fraction =
            self.tokens.min(0.0) / (self.limit.rate_per_s * DEBT_REPAYMENT_TIME.as_secs_f64());
        let steady_spend = refill * (1.0 + debt_fraction).max(0.0);
        // The reserve is spent between two reports, and each refill gives its part of it.
        let report_period = self.report_period.as_secs_f64().max(period);
        let reserve_fraction = SPEND_FRACTION * (period / report_period.max(f64::MIN_POSITIVE));
        let reserve_spend = self.tokens.max(0.0) * reserve_fraction;
        let spend = (steady_spend + reserve_spend) * self.local_fraction;
        let allowance = to_units(spend);
        let overdraft_limit = self.tokens.max(0.0) * OVERDRAFT_FRACTION / instances;
        budget
            .overdraft_limit
            .store(to_units(overdraft_limit), Ordering::Relaxed);
        let has_headroom = unreported <= 0.0 && self.tokens >= self.limit.burst * HEADROOM_FRACTION;
        budget.has_headroom.store(has_headroom, Ordering::Relaxed);
        // Only a debt is carried over, because unspent tokens are still in the bucket. With headroom the debt is
        // dropped as well: it comes from a single request, which the bucket has already paid for.
        let _ = budget
            .balance
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, |balance| {
                let carried_over = if has_headroom { 0 } else { balance.min(0) };
                Some(carried_over + allowance)
            });
    }

    fn charge_local(&mut self, budget: &QuotaBudget, period: f64) {
        let admitted = budget.admitted();
        let requested = budget.requested.load(Ordering::Relaxed);
        #[expect(clippy::cast_precision_loss)]
        let spent = admitted as f64 - self.charged_admitted as f64;
        self.tokens -= spent;
        self.charged_admitted = admitted;
        if period > 0.0 {
            #[expect(clippy::cast_precision_loss)]
            let demand = requested.saturating_sub(self.counted_requested) as f64 / period;
            self.local_demand += (demand - self.local_demand) * DEMAND_SMOOTHING_FACTOR;
        }
        self.counted_requested = requested;
    }

    /// Charges the bucket for instances that send no messages. They may be partitioned from this one and still spend
    /// their share. What was assumed is subtracted from their next report.
    fn charge_silent_peers(&mut self, period: f64, silent_peers: &[u64]) {
        let total = self.local_demand + self.totals.reported;
        if total <= 0.0 {
            return;
        }
        let restarted = self.restarted_peers.iter();
        let restarted = restarted.filter(|peer| !silent_peers.contains(peer));
        for peer in silent_peers.iter().chain(restarted) {
            if let Some(usage) = self.peers.get_mut(peer) {
                let fraction = (usage.demand / total).min(1.0);
                let assumed_spent = self.limit.rate_per_s * period * fraction;
                usage.assumed_spent += assumed_spent;
                self.tokens -= assumed_spent;
            }
        }
    }
}

fn to_units(requests: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    let units = (requests * UNITS_PER_REQUEST as f64) as i64;
    units
}
