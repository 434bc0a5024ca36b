//! The limits of all client accounts by name, so that they outlive a plan.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{AccountUsage, FleetHeartbeat};
use coltsfootkeel_steering::{
    AccountPlan, QuotaAccount, QuotaExcess, QuotaGate, QuotaLimit, QuotaReport, stable_hash,
};

/// The instances that a restarted one takes to be registered until it has read their list.
const ASSUMED_INSTANCES: usize = 16;

#[derive(Debug)]
struct BookEntry {
    gate: Arc<QuotaGate>,
    account: QuotaAccount,
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
    pub fn gate(&mut self, plan: &AccountPlan, now: MonotonicTime) -> Option<Arc<QuotaGate>> {
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
            self.excess.start_content(limit)
        };
        let registered = self.registered;
        let entry = self.entries.entry(hash).or_insert_with(|| {
            let gate = Arc::default();
            let mut account = QuotaAccount::new(limit, content, now);
            // Requests may come before the first tick of the control thread.
            account.tick(&gate, registered, now);
            BookEntry { gate, account }
        });
        entry.account.set_limit(limit);
        Some(Arc::clone(&entry.gate))
    }

    /// Takes in what another instance reported.
    pub fn hear(&mut self, peer: u64, message: &FleetHeartbeat, now: MonotonicTime) {
        for heartbeat in &message.accounts {
            if let Some(entry) = self.entries.get_mut(&heartbeat.account) {
                let report = QuotaReport {
                    admitted: heartbeat.admitted,
                    demand: f64::from(heartbeat.demand_milli) / 1_000.0,
                };
                entry.account.hear(peer, message.incarnation, report, now);
            }
        }
    }

    /// Refills all gates. `registered` is the number of registered instances, zero while they are unknown.
    pub fn tick(&mut self, now: MonotonicTime, registered: usize, is_member: impl Fn(u64) -> bool) {
        if registered > 0 {
            self.registered = registered;
        }
        for entry in self.entries.values_mut() {
            entry.account.forget(&is_member);
            entry.account.tick(&entry.gate, self.registered, now);
        }
    }

    /// Returns what this instance reports.
    #[must_use]
    pub fn usages(&self) -> Vec<AccountUsage> {
        let usage = |(hash, entry): (&u64, &BookEntry)| {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let demand_milli = (entry.account.own_demand() * 1_000.0) as u32;
            AccountUsage {
                account: *hash,
                admitted: entry.gate.admitted(),
                demand_milli,
            }
        };
        self.entries.iter().map(usage).collect()
    }
}
