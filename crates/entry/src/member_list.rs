//! The entry instances as registered in the store.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{InstanceRecord, ObjectKind, StoreClient, StoreObject};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{StorePosition, stable_hash};

use crate::entry_metrics::CounterName;
use crate::shared_state::SharedState;

/// The average pause between two attempts to register.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// An instance that is registered in the store.
#[derive(Debug)]
pub struct RegisteredInstance {
    /// The hash of the instance's name.
    pub hash: u64,
    /// The decoded record of the registration.
    pub record: InstanceRecord,
    /// The store's position of the registration, whose revision a removal must match.
    pub position: StorePosition,
    /// When this instance received the registration.
    pub updated_at: MonotonicTime,
    /// Whether the registration is kept although the list of a store that has returned from an older copy lacks it.
    pub is_kept: bool,
}

/// The registered instances, by name.
#[derive(Debug, Default)]
pub struct MemberList {
    members: HashMap<String, RegisteredInstance>,
    hashes: HashSet<u64>,
}

impl MemberList {
    /// Adds or updates a registration. One that cannot be decoded is logged and leaves the list unchanged.
    pub fn set(&mut self, object: &StoreObject, now: MonotonicTime) {
        match InstanceRecord::from_spec(&object.spec) {
            Ok(record) => {
                let hash = stable_hash(object.name.as_bytes());
                self.hashes.insert(hash);
                let member = RegisteredInstance {
                    hash,
                    record,
                    position: object.position,
                    updated_at: now,
                    is_kept: false,
                };
                self.members.insert(object.name.clone(), member);
            }
            Err(error) => log::warn!("members: {} cannot be read: {error}.", object.name),
        }
    }

    /// Removes the registration with this name, if there is one.
    pub fn remove(&mut self, name: &str) {
        if let Some(member) = self.members.remove(name) {
            self.hashes.remove(&member.hash);
        }
    }

    /// Replaces the registrations by those of a complete list. `keeps_missing` states that the list may be from an older
    /// copy of the store, so that those that it lacks are kept for now.
    pub fn replace(&mut self, objects: &[StoreObject], keeps_missing: bool, now: MonotonicTime) {
        for member in self.members.values_mut() {
            member.is_kept = true;
        }
        for object in objects {
            self.set(object, now);
        }
        if !keeps_missing {
            self.drop_kept(|_| false);
        }
    }

    /// Removes the kept registrations of instances for which `is_live` is false.
    pub fn drop_kept(&mut self, is_live: impl Fn(u64) -> bool) {
        if !self.members.values().any(|member| member.is_kept) {
            return;
        }
        self.members
            .retain(|_, member| !member.is_kept || is_live(member.hash));
        self.hashes = self.members.values().map(|member| member.hash).collect();
    }

    /// Returns the registration with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&RegisteredInstance> {
        self.members.get(name)
    }

    /// Returns all registrations with their names, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &RegisteredInstance)> {
        self.members.iter()
    }

    /// Returns the hashes of the names of all registered instances.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.hashes.iter().copied()
    }

    /// Returns whether an instance whose name has this hash is registered.
    #[must_use]
    pub fn contains_hash(&self, hash: u64) -> bool {
        self.hashes.contains(&hash)
    }
}

/// Registers this instance, and repeats failed attempts until one succeeds or the process stops.
pub async fn register(shared: Arc<SharedState>, client: Arc<StoreClient>) {
    let record = InstanceRecord {
        peer: shared.settings.peer,
        entry: shared.settings.entry,
        domain: shared.settings.domain.clone(),
        incarnation: shared.incarnation,
    };
    let spec = match record.to_spec() {
        Ok(spec) => spec,
        Err(error) => {
            log::error!("members: The record of this instance cannot be encoded: {error}.");
            return;
        }
    };
    let name = shared.settings.instance.as_str();
    while !shared.is_stopping() {
        shared.metrics.count(CounterName::StoreCalls);
        match client.put(ObjectKind::Instances, name, &spec).await {
            Ok(()) => return,
            Err(error) => log::warn!("members: Registration failed: {error}."),
        }
        tokio::time::sleep(REGISTER_RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Removes the registration of an instance if it still has the given revision.
pub async fn unregister(
    shared: Arc<SharedState>,
    client: Arc<StoreClient>,
    name: String,
    revision: u64,
) {
    shared.metrics.count(CounterName::StoreCalls);
    let removed = client.remove(ObjectKind::Instances, &name, revision).await;
    if let Err(error) = removed {
        // The instance stays registered. The others leave it out of look-ups because it sends no heartbeats.
        log::warn!("members: Removal of {name} failed: {error}.");
    }
}
