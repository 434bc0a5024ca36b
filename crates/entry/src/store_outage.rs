//! Gathers and exchanges the evidence that the store is down for all instances.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::DomainKey;
use coltsfootkeel_protocol::{DomainOutage, FleetHeartbeat};
use coltsfootkeel_steering::stable_hash;

use crate::control_loop::ControlLoop;

impl ControlLoop {
    /// Returns whether this instance reaches the store, or is a reader whose calls have not failed yet.
    pub(crate) fn may_reach_store(&self) -> bool {
        let reader_role = &self.shared.reader_role;
        let is_working_reader = reader_role.is_reader() && reader_role.failing_kinds() == 0;
        is_working_reader || self.reaches_store()
    }

    /// Records which failure domains have no instance that reaches the store, as heartbeats that came directly from their
    /// instances show.
    fn update_outages(&mut self, now: MonotonicTime) {
        if self.may_reach_store() {
            return;
        }
        for domain in self.shared.topology.domains.keys() {
            if let Some(time) = self.disconnection_time(domain, now) {
                self.outages.record(domain, time);
            }
        }
    }

    /// Returns a time at which no registered instance of the domain reached the store; `None` if that is not known.
    fn disconnection_time(&self, domain: DomainKey, now: MonotonicTime) -> Option<MonotonicTime> {
        let name = &self.shared.topology.domains[domain].name;
        let members = self.members.iter();
        let mut members = members
            .filter(|(_, member)| member.record.domain == *name)
            .peekable();
        members.peek()?;
        let mut earliest = now;
        for (_, member) in members {
            if member.hash != self.shared.own_hash {
                let peer = self.peers.get(member.hash)?;
                let is_disconnected = !peer.heartbeat.reaches_store;
                earliest = earliest.min(peer.earliest_sent_at.filter(|_| is_disconnected)?);
            }
        }
        Some(earliest)
    }

    /// Records the evidence of another instance in a message that was sent no earlier than `earliest_sent_at`.
    pub(crate) fn record_outages(
        &mut self,
        message: &FleetHeartbeat,
        earliest_sent_at: MonotonicTime,
    ) {
        let domains = &self.shared.topology.domains;
        for outage in &message.outages {
            let domain =
                domains.find(|domain| stable_hash(domain.name.as_bytes()) == outage.domain);
            if let Some(domain) = domain {
                let age = Duration::from_millis(outage.age_ms.into());
                self.outages.record(domain, earliest_sent_at - age);
            }
        }
    }

    /// Returns the evidence that the next message carries.
    pub(crate) fn recent_outages(&self) -> Vec<DomainOutage> {
        let now = self.shared.clock.now_with_suspension();
        let domains = &self.shared.topology.domains;
        let encode = |(domain, time): (DomainKey, MonotonicTime)| DomainOutage {
            domain: stable_hash(domains[domain].name.as_bytes()),
            age_ms: u32::try_from(now.since(time).as_millis()).unwrap_or(u32::MAX),
        };
        self.outages.recent(now).map(encode).collect()
    }

    /// Records an outage in which no registered instance reaches the store. No key can be withdrawn in it, so it
    /// confirms the plan, unless the bound on withdrawals is strict: a key may have been withdrawn between the last
    /// confirmation and the outage. A plan that was older than that of another instance before stays so.
    pub(crate) fn observe_store_outage(&mut self) {
        let now = self.shared.clock.now_with_suspension();
        self.update_outages(now);
        let is_outdated = self.plan_version() < self.shared.freshness.newest_version();
        if self.plan.is_none() || is_outdated || self.may_reach_store() {
            self.log_outage(false);
            return;
        }
        let topology = &self.shared.topology;
        let members = self.members.iter();
        let domains = members.filter_map(|(_, member)| topology.domain(&member.record.domain));
        let outage_time = self.outages.outage_time(domains, now);
        if let Some(time) = outage_time {
            self.shared.freshness.record_outage(time);
            if !self.shared.bounds.load().is_revocation_strict {
                self.shared.freshness.confirm(time);
            }
        }
        self.log_outage(outage_time.is_some());
    }

    /// Logs the begin and the end of an outage for all instances.
    fn log_outage(&mut self, is_outage: bool) {
        if self.is_outage_logged == is_outage {
            return;
        }
        self.is_outage_logged = is_outage;
        if is_outage {
            let now = self.shared.clock.now_with_suspension();
            let keys_stay_accepted = !self.shared.bounds.load().is_revocation_strict;
            log::warn!(
                keys_stay_accepted,
                plan_version = self.plan_version(),
                plan_age_ms:% = self.shared.freshness.age(now).as_millis();
                "store: No instance reaches it."
            );
        } else {
            log::info!("store: The outage for all instances is over, or no longer proven.");
        }
    }
}
