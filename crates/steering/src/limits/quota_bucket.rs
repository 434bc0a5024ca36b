//! Rate limits of client accounts, shared by all instances.
//!
//! Load pattern: an account sends many times its rate, through any of the instances. Each instance reports the requests
//! that it received and admitted. Every instance maintains the same token bucket from these reports, and spends a share
//! of its tokens in proportion to the local demand.
//!
//! An instance that sends no reports may be cut off and spend the same tokens. Its part of the tokens and of the rate, by
//! the demand before the silence, is set aside. Each part of a fleet that is cut does so, and all together spend the
//! tokens once, however the demand changes after the cut.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::limits::quota_budget::{BudgetRefill, QuotaBudget};

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
/// Fraction of the permitted excess that a restart of all instances hands out.
const INITIAL_EXCESS_FRACTION: f64 = 0.25;
/// Weight of the latest period in the moving average of the demand.
const DEMAND_SMOOTHING_FACTOR: f64 = 0.25;

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
    /// were stopped, has no record of the tokens already spent, so it starts with a part of the permitted excess. All
    /// instances may restart more than once in a window, and late reports take their part of the excess too.
    #[must_use]
    pub fn initial_tokens(&self, limit: QuotaLimit) -> f64 {
        let allowed = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        (allowed * self.tolerance + self.slack) * INITIAL_EXCESS_FRACTION
    }
}

/// The part of a bucket that is set aside for an instance that sends no reports.
#[derive(Debug, Clone, Copy)]
struct ReservedShare {
    /// Fraction of the rate and of the burst.
    fraction: f64,
    tokens: f64,
}

#[derive(Debug)]
struct PeerUsage {
    incarnation: u64,
    admitted: u64,
    demand: f64,
    reserved: Option<ReservedShare>,
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
    /// Sum of the demands of the instances without a reserved share, each at least the lowest demand.
    remote_demand: f64,
    /// Instances with a reserved share.
    reserved_peers: Vec<u64>,
    /// Sum of the fractions of the reserved shares.
    reserved_fraction: f64,
    /// Number of instances at the latest refill, including this one.
    instances: usize,
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
            remote_demand: 0.0,
            reserved_peers: Vec::new(),
            reserved_fraction: 0.0,
            instances: 1,
            report_period: Duration::ZERO,
        }
    }

    /// Replaces the limit and discards tokens above the new burst.
    pub fn set_limit(&mut self, limit: QuotaLimit) {
        let is_changed = limit != self.limit;
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
        if is_changed {
            self.update_remote_demand();
        }
    }

    /// Sets the time between two reports of another instance, if the budget is refilled more often than that.
    pub fn set_report_period(&mut self, report_period: Duration) {
        self.report_period = report_period;
    }

    fn min_demand(&self) -> f64 {
        self.limit.rate_per_s * MIN_DEMAND_FRACTION + f64::MIN_POSITIVE
    }

    /// Calculates the sum anew, for a changed limit or a removed instance.
    fn update_remote_demand(&mut self) {
        let min_demand = self.min_demand();
        let peers = self.peers.values();
        self.remote_demand = peers
            .filter(|peer| peer.reserved.is_none())
            .map(|peer| peer.demand.max(min_demand))
            .sum();
    }

    /// Returns the average demand at this instance in requests per second.
    #[must_use]
    pub fn local_demand(&self) -> f64 {
        self.local_demand
    }

    /// Charges the bucket for the requests that another instance admitted since its previous report, and returns what was
    /// set aside for it.
    pub fn apply_report(&mut self, peer: u64, incarnation: u64, report: QuotaReport) {
        let min_demand = self.min_demand();
        let reserved = self.release(peer);
        let is_new = !self.peers.contains_key(&peer);
        let usage = self.peers.entry(peer).or_insert(PeerUsage {
            incarnation,
            admitted: report.admitted,
            demand: 0.0,
            reserved: None,
        });
        let is_restarted = usage.incarnation != incarnation;
        if is_restarted {
            usage.incarnation = incarnation;
            usage.admitted = 0;
        }
        #[expect(clippy::cast_precision_loss)]
        let spent = report.admitted.saturating_sub(usage.admitted) as f64;
        let reserved = reserved.map_or(0.0, |share| share.tokens);
        // The last requests of a process that has ended may not have been reported.
        self.tokens += if is_restarted {
            (reserved - spent).min(0.0)
        } else {
            reserved - spent
        };
        usage.admitted = usage.admitted.max(report.admitted);
        let previous_demand = if is_new {
            0.0
        } else {
            usage.demand.max(min_demand)
        };
        self.remote_demand += report.demand.max(min_demand) - previous_demand;
        usage.demand = report.demand;
    }

    /// Records that another instance has restarted. Until it reports the account again, its part is set aside.
    pub fn mark_restarted(&mut self, peer: u64, incarnation: u64) {
        let usage = self.peers.get(&peer);
        if usage.is_some_and(|usage| usage.incarnation != incarnation) {
            self.reserve(&[peer]);
        }
    }

    /// Removes instances that are no longer members. What is set aside for them is not returned.
    pub fn remove_peers(&mut self, peers: &[u64]) {
        let previous_count = self.peers.len();
        for peer in peers {
            self.release(*peer);
            self.peers.remove(peer);
        }
        if self.peers.len() < previous_count {
            self.update_remote_demand();
        }
    }

    /// Sets aside the parts of instances that send no reports, unless that was done before.
    ///
    /// A part is the average of the instance's part of the demand and of an equal one: the callers of an instance that
    /// has ended send their requests to others. All parts of a cut fleet know nearly the same demands and calculate the
    /// same fractions.
    fn reserve(&mut self, peers: &[u64]) {
        let min_demand = self.min_demand();
        let own_demand = self.local_demand.max(min_demand);
        let heard_instances = (self.instances - self.reserved_peers.len()).max(1);
        let unreported = self.instances.saturating_sub(1 + self.peers.len());
        #[expect(clippy::cast_precision_loss)]
        let (heard_instances, unreported) = (heard_instances as f64, unreported as f64);
        let total_demand = own_demand * (1.0 + unreported) + self.remote_demand;
        let heard_fraction = 1.0 - self.reserved_fraction;
        let heard_tokens = self.tokens;
        for peer in peers {
            let Some(usage) = self.peers.get_mut(peer) else {
                continue;
            };
            if usage.reserved.is_some() {
                continue;
            }
            let demand = usage.demand.max(min_demand);
            let part = f64::midpoint(demand / total_demand, 1.0 / heard_instances);
            let share = ReservedShare {
                fraction: heard_fraction * part,
                tokens: heard_tokens * part,
            };
            usage.reserved = Some(share);
            self.reserved_peers.push(*peer);
            self.reserved_fraction += share.fraction;
            self.tokens -= share.tokens;
            self.remote_demand -= demand;
        }
    }

    /// Ends the reservation for an instance, and returns what was set aside for it.
    fn release(&mut self, peer: u64) -> Option<ReservedShare> {
        let min_demand = self.min_demand();
        let usage = self.peers.get_mut(&peer)?;
        let share = usage.reserved.take()?;
        self.remote_demand += usage.demand.max(min_demand);
        self.reserved_peers.retain(|reserved| *reserved != peer);
        self.reserved_fraction = if self.reserved_peers.is_empty() {
            0.0
        } else {
            self.reserved_fraction - share.fraction
        };
        Some(share)
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
        self.instances = registered_instances.max(self.peers.len() + 1);
        self.reserve(silent_peers);
        self.refill_reserved(period);
        let heard_fraction = 1.0 - self.reserved_fraction;
        let refill = self.limit.rate_per_s * heard_fraction * period;
        let burst = self.limit.burst * heard_fraction;
        self.tokens = (self.tokens + refill).min(burst);
        let demand = self.local_demand.max(self.min_demand());
        let unreported = self.instances - 1 - self.peers.len();
        let heard_instances = self.instances - self.reserved_peers.len();
        #[expect(clippy::cast_precision_loss)]
        let (heard_instances, unreported) = (heard_instances as f64, unreported as f64);
        let remote_demand = self.remote_demand + unreported * demand;
        self.local_fraction = demand / (demand + remote_demand);
        budget.set_demand_fraction(self.local_fraction * heard_fraction);
        let debt_fraction = self.tokens.min(0.0)
            / (self.limit.rate_per_s * heard_fraction * DEBT_REPAYMENT_TIME.as_secs_f64());
        let steady_spend = refill * (1.0 + debt_fraction).max(0.0);
        // The reserve is spent between two reports, and each refill gives its part of it.
        let report_period = self.report_period.as_secs_f64().max(period);
        let reserve_fraction = SPEND_FRACTION * (period / report_period.max(f64::MIN_POSITIVE));
        let reserve_spend = self.tokens.max(0.0) * reserve_fraction;
        let spend = (steady_spend + reserve_spend) * self.local_fraction;
        let overdraft = self.tokens.max(0.0) * OVERDRAFT_FRACTION / heard_instances;
        budget.refill(BudgetRefill {
            allowance: spend,
            overdraft,
            has_headroom: unreported <= 0.0 && self.tokens >= burst * HEADROOM_FRACTION,
        });
    }

    fn charge_local(&mut self, budget: &QuotaBudget, period: f64) {
        let admitted = budget.admitted();
        let requested = budget.requested();
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

    /// Refills the shares that are set aside.
    fn refill_reserved(&mut self, period: f64) {
        for peer in &self.reserved_peers {
            let usage = self.peers.get_mut(peer);
            if let Some(share) = usage.and_then(|usage| usage.reserved.as_mut()) {
                let refill = self.limit.rate_per_s * share.fraction * period;
                let burst = self.limit.burst * share.fraction;
                share.tokens = (share.tokens + refill).min(burst);
            }
        }
    }
}
