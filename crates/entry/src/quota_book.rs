//! The limits of all client accounts by name, so that they outlive a plan.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{AccountUsage, FleetHeartbeat};
use coltsfootkeel_steering::{
    AccountPlan, QuotaBucket, QuotaBudget, QuotaExcess, QuotaLimit, QuotaReport, stable_hash,
};

/// The instances that a restarted one takes to be registered until it has read their list.
const ASSUMED_INSTANCES: usize = 16;

/// A change is reported in this many messages, so that one may be lost.
const REPORTS_OF_CHANGE: u64 = 2;
/// Every account is reported in one of this many messages, for instances that heard none of its changes.
const REPORT_ROUND: u64 = 4;
/// A demand that differs by a smaller part from the one reported is not reported.
const DEMAND_STEP: f64 = 0.25;

#[derive(Debug)]
struct BookEntry {
    gate: Arc<QuotaBudget>,
    account: QuotaBucket,
    reported: AccountUsage,
    /// The number of the message that reported a change first.
    changed_in: u64,
}

impl BookEntry {
    /// Returns what message `number` reports of the account, if anything.
    fn report(&mut self, hash: u64, number: u64) -> Option<AccountUsage> {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let demand_milli = (self.account.local_demand() * 1_000.0) as u32;
        let admitted = self.gate.admitted();
        let known = f64::from(self.reported.demand_milli);
        let is_new_demand = (f64::from(demand_milli) - known).abs() > known * DEMAND_STEP;
        if admitted != self.reported.admitted || is_new_demand {
            self.changed_in = number;
        }
        let is_change = number - self.changed_in < REPORTS_OF_CHANGE;
        let is_due = hash.wrapping_add(number).is_multiple_of(REPORT_ROUND);
        (is_change || is_due).then(|| {
            self.reported = AccountUsage {
                account: hash,
                admitted,
                demand_milli,
            };
            self.reported
        })
    }
}

/// The limits by the hash of the account's name.
#[derive(Debug)]
pub struct QuotaBook {
    entries: HashMap<u64, BookEntry>,
    is_first_start: bool,
    excess: QuotaExcess,
    /// Instances that may spend.
    registered: usize,
}

impl QuotaBook {
    /// Makes an empty book. At the first start of the whole fleet nothing was spent.
    #[must_use]
    pub fn new(is_first_start: bool, excess: QuotaExcess) -> Self {
        Self {
            entries: HashMap::new(),
            is_first_start,
            excess,
            registered: if is_first_start { 1 } else { ASSUMED_INSTANCES },
        }
    }

    /// Returns the gate of an account with the limit of a plan; nothing for an account without a limit.
    pub fn gate(&mut self, plan: &AccountPlan, now: MonotonicTime) -> Option<Arc<QuotaBudget>> {
        let hash = stable_hash(plan.name.as_bytes());
        let Some(rate_per_s) = plan.rate_per_s else {
            self.entries.remove(&hash);
            return None;
        };
        let limit = QuotaLimit {
            rate_per_s,
            burst: plan.burst,
        };
        let content = if self.is_first_start {
            limit.burst
        } else {
            self.excess.initial_tokens(limit)
        };
        let registered = self.registered;
        let entry = self.entries.entry(hash).or_insert_with(|| {
            let gate = Arc::default();
            let mut account = QuotaBucket::new(limit, content, now);
            // Requests may come before the first tick of the control thread.
            account.refill(&gate, registered, now);
            BookEntry {
                gate,
                account,
                reported: AccountUsage::default(),
                changed_in: 0,
            }
        });
        entry.account.set_limit(limit);
        Some(Arc::clone(&entry.gate))
    }

    /// Takes in what another instance reported. Of accounts that are not named nothing has changed.
    pub fn hear(&mut self, peer: u64, message: &FleetHeartbeat, now: MonotonicTime) {
        for entry in self.entries.values_mut() {
            entry.account.record_contact(peer, message.incarnation, now);
        }
        for heartbeat in &message.accounts {
            if let Some(entry) = self.entries.get_mut(&heartbeat.account) {
                let report = QuotaReport {
                    admitted: heartbeat.admitted,
                    demand: f64::from(heartbeat.demand_milli) / 1_000.0,
                };
                entry
                    .account
                    .apply_report(peer, message.incarnation, report, now);
            }
        }
    }

    /// Refills all gates. `registered` is the number of registered instances, zero while they are unknown.
    pub fn tick(&mut self, now: MonotonicTime, registered: usize, is_member: impl Fn(u64) -> bool) {
        if registered > 0 {
            self.registered = registered;
        }
        for entry in self.entries.values_mut() {
            entry.account.retain_peers(&is_member);
            entry.account.refill(&entry.gate, self.registered, now);
        }
    }

    /// Returns what this instance reports in message `number`.
    pub fn usages(&mut self, number: u64) -> Vec<AccountUsage> {
        let entries = self.entries.iter_mut();
        entries
            .filter_map(|(hash, entry)| entry.report(*hash, number))
            .collect()
    }
}
