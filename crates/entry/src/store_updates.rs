//! Applies the lists and changes of the store to the state of the control thread.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{
    CONFIG_NAME, ObjectEvent, ObjectKind, ObjectList, StoreObject, decode_plan, decode_upstream,
};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::DomainKey;
use coltsfootkeel_steering::{SteeringPlan, StorePosition};

use crate::control_loop::ControlLoop;

/// The store counts as reached for this long after an answer. A watch without changes returns sooner.
const STORE_REACHED_PERIOD: Duration = Duration::from_millis(3_200);

impl ControlLoop {
    /// Applies a complete list of a kind.
    pub(crate) fn apply_list(
        &mut self,
        kind: ObjectKind,
        list: ObjectList,
        requested_at: MonotonicTime,
        outage: Duration,
    ) {
        let now = self.shared.clock.now();
        match kind {
            ObjectKind::Config => {
                let config = list
                    .objects
                    .iter()
                    .find(|object| object.name == CONFIG_NAME);
                let is_unreadable = list.unreadable.iter().any(|name| name == CONFIG_NAME);
                let version = match config {
                    Some(object) => self.apply_config(object),
                    None => (!is_unreadable).then_some(0),
                };
                let position = config.map_or(list.position, |object| object.position);
                self.record_stored_plan(position, version, requested_at);
                if version.is_some() {
                    self.confirm_by_store(requested_at);
                }
            }
            ObjectKind::Upstreams => {
                if !outage.is_zero() || self.keeps_known() {
                    self.registry.start_recovery(now);
                }
                let names = list.objects.iter().map(|object| object.name.clone());
                let mut is_changed = self.registry.retain_listed(&names.collect(), now);
                for object in &list.objects {
                    is_changed |= self.set_upstream(object, now);
                }
                self.publish_if(is_changed);
            }
            ObjectKind::Evacuations => {
                let listed = list.objects.into_iter().map(|object| object.name);
                let keeps_known = self.keeps_known();
                self.evacuations.replace(listed.collect(), keeps_known);
                self.apply_evacuations();
            }
            ObjectKind::Instances => {
                let keeps_known = self.keeps_known();
                self.members.replace(&list.objects, keeps_known, now);
                self.check_registration();
            }
            // The affinity table is read once, by the task that also writes it.
            ObjectKind::WarmPlaces => {}
        }
    }

    /// Applies changes of a kind, as a watch returned them. An upstream whose entry has become unreadable is removed, and
    /// a configuration that is unreadable leaves the active plan unconfirmed.
    pub(crate) fn apply_changes(
        &mut self,
        kind: ObjectKind,
        events: &[ObjectEvent],
        unreadable: &[String],
        current_as_of: MonotonicTime,
    ) {
        let now = self.shared.clock.now();
        let mut is_changed = false;
        let mut is_current = !unreadable.iter().any(|name| name == CONFIG_NAME);
        if kind == ObjectKind::Config && !is_current {
            self.record_stored_plan(StorePosition::default(), None, current_as_of);
        }
        if kind == ObjectKind::Upstreams {
            for name in unreadable {
                is_changed |= self.registry.remove(name, now);
            }
        }
        for event in events {
            let object = &event.object;
            match kind {
                ObjectKind::Config if object.name == CONFIG_NAME && !event.is_removed => {
                    let version = self.apply_config(object);
                    self.record_stored_plan(object.position, version, current_as_of);
                    is_current &= version.is_some();
                }
                ObjectKind::Config | ObjectKind::WarmPlaces => {}
                ObjectKind::Upstreams if event.is_removed => {
                    log::info!(upstream = object.name.as_str(); "upstreams: An entry is gone.");
                    if let Ok(record) = decode_upstream(object) {
                        self.registry
                            .record_last_report(&record, object.position.era);
                    }
                    is_changed |= self.registry.remove(&object.name, now);
                }
                ObjectKind::Upstreams => is_changed |= self.set_upstream(object, now),
                ObjectKind::Evacuations if event.is_removed || object.is_deletion_pending => {
                    self.evacuations.change(&object.name, false);
                }
                ObjectKind::Evacuations => {
                    self.evacuations.change(&object.name, true);
                }
                ObjectKind::Instances if event.is_removed => self.members.remove(&object.name),
                ObjectKind::Instances => self.members.set(object, now),
            }
        }
        match kind {
            ObjectKind::Config if is_current => self.confirm_by_store(current_as_of),
            ObjectKind::Evacuations if !events.is_empty() => self.apply_evacuations(),
            ObjectKind::Instances if !events.is_empty() => self.check_registration(),
            _ => self.publish_if(is_changed),
        }
    }

    /// Activates a configuration if it is newer than the active plan. Returns its version; `None` if it cannot be read.
    fn apply_config(&mut self, object: &StoreObject) -> Option<u64> {
        let raw = match decode_plan(&object.spec) {
            Ok(raw) => raw,
            Err(error) => {
                log::error!(
                    "plan: The configuration cannot be read: {error}; the previous one stays in force."
                );
                return None;
            }
        };
        let version = raw.version;
        let active_version = self.plan.as_ref().map(|plan| plan.version);
        if active_version.is_some_and(|active| active >= version) {
            return Some(version);
        }
        let plan = SteeringPlan::build(raw, &self.shared.topology);
        log::info!(version, revision = object.position.revision; "plan: In force.");
        for finding in &plan.findings {
            log::error!(
                place = finding.field.as_str(), fault = finding.expected.as_str();
                "plan: A part cannot be used, its requests are refused."
            );
        }
        for (_, account) in plan.accounts.iter() {
            log::info!(
                account = account.name.as_str(),
                rate_per_s:? = account.rate_per_s,
                burst = account.burst;
                "plan: The limit of an account."
            );
        }
        self.plan = Some(Arc::new(plan));
        self.record_plan_version(version);
        self.publish();
        if self.shared.reader_role.is_reader() {
            // The other instances learn of the version without the delay of a heartbeat period.
            self.pending.hurry();
            self.send_heartbeats();
        }
        Some(version)
    }

    fn set_upstream(&mut self, object: &StoreObject, now: MonotonicTime) -> bool {
        match decode_upstream(object) {
            Ok(record) => {
                log::info!(
                    upstream = record.id.as_str(),
                    phase:? = record.phase,
                    cold_ms:% = record.cold_start_remaining.as_millis();
                    "upstreams: An entry changed."
                );
                self.registry.is_serving = self.shared.metrics.has_requests();
                self.registry
                    .set(record, object.position.era, &self.shared.topology, now)
            }
            Err(error) => self.registry.remove_unreadable(object, &error, now),
        }
    }

    pub(crate) fn apply_evacuations(&mut self) {
        let domain = |name: &String| self.shared.topology.domain(name);
        let evacuated: HashSet<DomainKey> = self
            .evacuations
            .in_force()
            .iter()
            .filter_map(domain)
            .collect();
        let now = self.shared.clock.now();
        if self.registry.set_evacuated(evacuated, now) {
            log::info!(domains:? = self.evacuations.in_force(); "upstreams: The evacuated failure domains changed.");
            // A health check reports immediately whether an upstream of a domain that is no longer evacuated is cold.
            for upstream in self.registry.iter() {
                if upstream.listed.state.is_usable() && upstream.listed.state.is_in_cold_start(now)
                {
                    self.requested_checks.insert(upstream.record.id.clone());
                }
            }
            self.publish();
        }
    }

    /// Returns how long the list of upstreams has been read without a failure; zero while this instance does not read
    /// it.
    pub(crate) fn store_reading_time(&self) -> Duration {
        let now = self.shared.clock.now_with_suspension();
        let since = self.shared.upstreams_read_since.get();
        if since == MonotonicTime::default() {
            Duration::ZERO
        } else {
            now.since(since)
        }
    }

    /// Returns whether this instance itself reached the store within [`STORE_REACHED_PERIOD`].
    pub(crate) fn reaches_store(&self) -> bool {
        let now = self.shared.clock.now_with_suspension();
        self.store_answered_at
            .is_some_and(|answered| now.since(answered) < STORE_REACHED_PERIOD)
    }
}
