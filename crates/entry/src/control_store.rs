//! What the control thread takes in from the store.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{
    CONFIG_NAME, ObjectEvent, ObjectKind, ObjectList, StoreObject, decode_plan, decode_upstream,
};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::DomainKey;
use coltsfootkeel_steering::SteeringPlan;

use crate::control_loop::ControlLoop;

/// The store counts as reached for this long after it answered; a watch that nothing ends returns sooner.
const REACHED_FOR: Duration = Duration::from_millis(3_200);

impl ControlLoop {
    /// Takes in all objects of a kind.
    pub(crate) fn take_list(
        &mut self,
        kind: ObjectKind,
        list: ObjectList,
        asked_at: MonotonicTime,
        outage: Duration,
    ) {
        let now = self.shared.clock.now();
        match kind {
            ObjectKind::Config => {
                let main = list
                    .objects
                    .iter()
                    .find(|object| object.name == CONFIG_NAME);
                if main.is_none_or(|object| self.use_config(object)) {
                    self.confirm_by_store(asked_at);
                }
            }
            ObjectKind::Upstreams => {
                if !outage.is_zero() {
                    self.registry.start_return(now);
                }
                let names = list.objects.iter().map(|object| object.name.clone());
                let mut is_changed = self.registry.keep_only(&names.collect(), now);
                for object in &list.objects {
                    is_changed |= self.set_upstream(object, now);
                }
                self.publish_if(is_changed);
            }
            ObjectKind::Evacuations => {
                self.evacuations = list.objects.into_iter().map(|object| object.name).collect();
                self.apply_evacuations();
            }
            ObjectKind::Instances => {
                self.members.clear();
                for object in &list.objects {
                    self.members.set(object, now);
                }
                self.check_registration();
            }
            // Read once, by the task that keeps them.
            ObjectKind::WarmPlaces => {}
        }
    }

    /// Takes in changes of a kind.
    pub(crate) fn take_changes(
        &mut self,
        kind: ObjectKind,
        events: &[ObjectEvent],
        known_to: MonotonicTime,
    ) {
        let now = self.shared.clock.now();
        let mut is_changed = false;
        let mut is_usable = true;
        for event in events {
            let object = &event.object;
            match kind {
                ObjectKind::Config if object.name == CONFIG_NAME && !event.is_removed => {
                    is_usable &= self.use_config(object);
                }
                ObjectKind::Config | ObjectKind::WarmPlaces => {}
                ObjectKind::Upstreams if event.is_removed => {
                    log::info!(upstream = object.name.as_str(); "upstreams: An entry is gone.");
                    is_changed |= self.registry.remove(&object.name, now);
                }
                ObjectKind::Upstreams => is_changed |= self.set_upstream(object, now),
                ObjectKind::Evacuations if event.is_removed || object.is_leaving => {
                    self.evacuations.remove(&object.name);
                }
                ObjectKind::Evacuations => {
                    self.evacuations.insert(object.name.clone());
                }
                ObjectKind::Instances if event.is_removed => self.members.remove(&object.name),
                ObjectKind::Instances => self.members.set(object, now),
            }
        }
        match kind {
            ObjectKind::Config if is_usable => self.confirm_by_store(known_to),
            ObjectKind::Evacuations if !events.is_empty() => self.apply_evacuations(),
            ObjectKind::Instances if !events.is_empty() => self.check_registration(),
            _ => self.publish_if(is_changed),
        }
    }

    /// Takes a configuration into force if it is newer. Returns whether the newest one is in force.
    fn use_config(&mut self, object: &StoreObject) -> bool {
        let raw = match decode_plan(&object.spec) {
            Ok(raw) => raw,
            Err(error) => {
                log::error!("plan: The configuration cannot be read: {error}; the old one stays.");
                return false;
            }
        };
        let in_force = self.plan.as_ref().map(|plan| plan.version);
        if in_force.is_some_and(|version| version >= raw.version) {
            return true;
        }
        match SteeringPlan::build(raw, &self.shared.places) {
            Ok(plan) => {
                log::info!(version = plan.version, revision = object.revision; "plan: In force.");
                for (_, account) in plan.accounts.iter() {
                    log::info!(
                        account = account.name.as_str(),
                        rate_per_s:? = account.rate_per_s,
                        burst = account.burst;
                        "plan: The limit of an account."
                    );
                }
                self.plan = Some(Arc::new(plan));
                self.publish();
                true
            }
            Err(error) => {
                log::error!("plan: The configuration is refused: {error}; the old one stays.");
                false
            }
        }
    }

    fn set_upstream(&mut self, object: &StoreObject, now: MonotonicTime) -> bool {
        match decode_upstream(object) {
            Ok(record) => {
                log::info!(
                    upstream = record.id.as_str(),
                    phase:? = record.phase,
                    cold_ms:% = record.cold_remaining.as_millis();
                    "upstreams: An entry changed."
                );
                self.registry.is_at_work = self.shared.metrics.has_requests();
                self.registry.set(record, &self.shared.places, now)
            }
            Err(error) => {
                log::warn!(
                    "upstreams: The entry {} cannot be read: {error}.",
                    object.name
                );
                self.registry.remove(&object.name, now)
            }
        }
    }

    fn apply_evacuations(&mut self) {
        let domain = |name: &String| self.shared.places.domain(name);
        let evacuated: HashSet<DomainKey> = self.evacuations.iter().filter_map(domain).collect();
        let now = self.shared.clock.now();
        if self.registry.set_evacuated(evacuated, now) {
            log::info!(domains:? = self.evacuations; "upstreams: The emptied failure domains changed.");
            // Whether upstreams that are taken back are cold is known at once by a health check.
            for known in self.registry.iter() {
                if known.listed.state.is_usable() && known.listed.state.is_cold(now) {
                    self.wanted_checks.insert(known.record.id.clone());
                }
            }
            self.publish();
        }
    }

    fn confirm_by_store(&mut self, time: MonotonicTime) {
        self.store_answered = Some(self.shared.clock.now_with_suspension());
        self.shared.freshness.confirm(time);
    }

    /// Returns for how long the list of upstreams was read without a failure.
    pub(crate) fn store_steady(&self) -> Duration {
        let now = self.shared.clock.now_with_suspension();
        let upstreams = self.shared.upstreams_read.get();
        if upstreams == MonotonicTime::default() {
            Duration::ZERO
        } else {
            now.since(upstreams)
        }
    }

    /// Tells whether this instance itself reaches the store.
    pub(crate) fn reaches_store(&self) -> bool {
        let now = self.shared.clock.now_with_suspension();
        self.store_answered
            .is_some_and(|answered| now.since(answered) < REACHED_FOR)
    }
}
