//! The rate limits of all client accounts, kept across plan versions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{AccountUsage, FleetHeartbeat};
use coltsfootkeel_steering::{
    AccountPlan, PeerContacts, QuotaBucket, QuotaBudget, QuotaExcess, QuotaLimit, QuotaReport,
    stable_hash,
};

/// The number of instances among which the rates are divided after a restart, until the list of instances is read.
const ASSUMED_INSTANCES: usize = 16;

/// A change is reported in this many heartbeats, so that one may be lost.
const REPORTS_PER_CHANGE: u64 = 2;
/// The change of an account's demand, as a fraction of the reported one, from which it is reported again.
const MIN_DEMAND_CHANGE_FRACTION: f64 = 0.25;

/// Time without messages after which an instance is assumed to keep spending its share.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of report periods without messages after which an instance counts as silent, if that is longer than
/// [`MIN_SILENCE_TIMEOUT`], as in a large fleet.
const SILENCE_TIMEOUT_PERIODS: f64 = 2.5;

/// The receivers of a heartbeat. Each scope has reports of its own, because the heartbeats of one are more frequent than
/// those of the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportScope {
    /// The instances of the own failure domain; all instances in a full mesh.
    Near,
    /// The other failure domains.
    Far,
}

/// The place of a heartbeat among those of its scope.
#[derive(Debug, Clone, Copy)]
pub struct ReportTurn {
    /// The receivers of the heartbeat.
    pub scope: ReportScope,
    /// The number of the heartbeat among those of the scope.
    pub number: u64,
    /// Every account is reported in one of this many heartbeats, for instances that missed the reports of its changes.
    pub full_report_turns: u64,
}

/// What one scope was told of an account.
#[derive(Debug, Default)]
struct AccountReport {
    reported: AccountUsage,
    /// The turn that first reported the latest change.
    change_reported_in: u64,
}

impl AccountReport {
    /// Returns the usage to report in this turn; `None` if the heartbeat leaves the account out.
    fn next(&mut self, usage: AccountUsage, turn: ReportTurn) -> Option<AccountUsage> {
        let reported_demand = f64::from(self.reported.demand_milli);
        let is_new_demand = (f64::from(usage.demand_milli) - reported_demand).abs()
            > reported_demand * MIN_DEMAND_CHANGE_FRACTION;
        if usage.admitted != self.reported.admitted || is_new_demand {
            self.change_reported_in = turn.number;
        }
        let is_change = turn.number - self.change_reported_in < REPORTS_PER_CHANGE;
        let is_due = usage
            .account
            .wrapping_add(turn.number)
            .is_multiple_of(turn.full_report_turns);
        (is_change || is_due).then(|| {
            self.reported = usage;
            usage
        })
    }
}

#[derive(Debug)]
struct QuotaEntry {
    budget: Arc<QuotaBudget>,
    bucket: QuotaBucket,
    near_report: AccountReport,
    far_report: AccountReport,
}

impl QuotaEntry {
    fn report(&mut self, hash: u64, turn: ReportTurn) -> Option<AccountUsage> {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let demand_milli = (self.bucket.local_demand() * 1_000.0) as u32;
        let usage = AccountUsage {
            account: hash,
            admitted: self.budget.admitted(),
            demand_milli,
        };
        match turn.scope {
            ReportScope::Near => self.near_report.next(usage, turn),
            ReportScope::Far => self.far_report.next(usage, turn),
        }
    }
}

/// The rate limits of all client accounts, by the hash of the account's name.
#[derive(Debug)]
pub struct AccountQuotas {
    entries: HashMap<u64, QuotaEntry>,
    is_first_start: bool,
    excess: QuotaExcess,
    /// The number of instances among which the rates are divided; assumed until their list is read.
    sharing_instances: usize,
    contacts: PeerContacts,
    refilled_at: MonotonicTime,
}

impl AccountQuotas {
    /// Creates an empty table. `is_first_start` states that all instances start for the first time, so that no
    /// account has used any of its burst.
    #[must_use]
    pub fn new(is_first_start: bool, excess: QuotaExcess) -> Self {
        Self {
            entries: HashMap::new(),
            is_first_start,
            excess,
            sharing_instances: if is_first_start { 1 } else { ASSUMED_INSTANCES },
            contacts: PeerContacts::default(),
            refilled_at: MonotonicTime::default(),
        }
    }

    /// Returns the budget of an account and applies its limit in `plan`; `None` for an account without a limit.
    pub fn budget(&mut self, plan: &AccountPlan, now: MonotonicTime) -> Option<Arc<QuotaBudget>> {
        let hash = stable_hash(plan.name.as_bytes());
        let Some(rate_per_s) = plan.rate_per_s else {
            self.entries.remove(&hash);
            return None;
        };
        let limit = QuotaLimit {
            rate_per_s,
            burst: plan.burst,
        };
        let initial_tokens = if self.is_first_start {
            limit.burst
        } else {
            self.excess.initial_tokens(limit)
        };
        let sharing_instances = self.sharing_instances;
        let entry = self.entries.entry(hash).or_insert_with(|| {
            let budget = Arc::default();
            let mut bucket = QuotaBucket::new(limit, initial_tokens, now);
            // Requests may arrive before the first tick of the control thread.
            bucket.refill(&budget, sharing_instances, &[], now);
            QuotaEntry {
                budget,
                bucket,
                near_report: AccountReport::default(),
                far_report: AccountReport::default(),
            }
        });
        entry.bucket.set_limit(limit);
        Some(Arc::clone(&entry.budget))
    }

    /// Records the usage that another instance reported. An account that the heartbeat leaves out is unchanged.
    pub fn record_heartbeat(&mut self, peer: u64, message: &FleetHeartbeat, now: MonotonicTime) {
        if self.contacts.record(peer, message.incarnation, now) {
            for entry in self.entries.values_mut() {
                entry.bucket.mark_restarted(peer, message.incarnation);
            }
        }
        for usage in &message.accounts {
            if let Some(entry) = self.entries.get_mut(&usage.account) {
                let report = QuotaReport {
                    admitted: usage.admitted,
                    demand: f64::from(usage.demand_milli) / 1_000.0,
                };
                entry.bucket.apply_report(peer, message.incarnation, report);
            }
        }
    }

    /// Refills all budgets. `sharers` are the hashes of the instances that share the rates in ascending order, empty while
    /// they are unknown, and `report_period` is the time between two reports of an instance in another failure domain.
    pub fn tick(&mut self, now: MonotonicTime, report_period: Duration, sharers: &[u64]) {
        if !sharers.is_empty() {
            self.sharing_instances = sharers.len();
        }
        let period = now.since(self.refilled_at);
        self.refilled_at = now;
        let is_sharer = |hash: u64| sharers.is_empty() || sharers.binary_search(&hash).is_ok();
        let removed = self.contacts.remove_others(is_sharer);
        let period = period.max(report_period);
        let silence_timeout = MIN_SILENCE_TIMEOUT.max(period.mul_f64(SILENCE_TIMEOUT_PERIODS));
        let silent = self.contacts.silent(silence_timeout, now);
        for entry in self.entries.values_mut() {
            if !removed.is_empty() {
                entry.bucket.remove_peers(&removed);
            }
            entry.bucket.set_report_period(report_period);
            entry
                .bucket
                .refill(&entry.budget, self.sharing_instances, &silent, now);
        }
    }

    /// Returns the usages that this instance reports in a heartbeat.
    pub fn usages(&mut self, turn: ReportTurn) -> Vec<AccountUsage> {
        let entries = self.entries.iter_mut();
        entries
            .filter_map(|(hash, entry)| entry.report(*hash, turn))
            .collect()
    }
}
