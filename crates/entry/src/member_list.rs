//! The entry instances as registered in the store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{InstanceRecord, ObjectKind, StoreClient, StoreObject};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::stable_hash;

use crate::entry_metrics::CounterName;
use crate::shared_state::SharedState;

/// The pause between two attempts to register.
const REGISTER_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A registered instance.
#[derive(Debug)]
pub struct RegisteredInstance {
    /// Its record.
    pub record: InstanceRecord,
    /// The revision of its object.
    pub revision: u64,
    /// When this instance learned of it.
    pub updated_at: MonotonicTime,
}

/// All registered instances by name.
#[derive(Debug, Default)]
pub struct MemberList {
    members: HashMap<String, RegisteredInstance>,
}

impl MemberList {
    /// Adds or changes an instance.
    pub fn set(&mut self, object: &StoreObject, now: MonotonicTime) {
        match InstanceRecord::from_spec(&object.spec) {
            Ok(record) => {
                let member = RegisteredInstance {
                    record,
                    revision: object.revision,
                    updated_at: now,
                };
                self.members.insert(object.name.clone(), member);
            }
            Err(error) => log::warn!("members: {} cannot be read: {error}.", object.name),
        }
    }

    /// Removes an instance.
    pub fn remove(&mut self, name: &str) {
        self.members.remove(name);
    }

    /// Removes all instances.
    pub fn clear(&mut self) {
        self.members.clear();
    }

    /// Returns an instance.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&RegisteredInstance> {
        self.members.get(name)
    }

    /// Returns the instances.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &RegisteredInstance)> {
        self.members.iter()
    }

    /// Returns the hashes of their names.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        let names = self.members.keys();
        names.map(|name| stable_hash(name.as_bytes()))
    }

    /// Tells whether an instance with this hash is registered.
    #[must_use]
    pub fn contains_hash(&self, hash: u64) -> bool {
        self.hashes().any(|known| known == hash)
    }

    /// Returns where the instances receive messages.
    pub fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.values().map(|member| member.record.peer)
    }
}

/// Registers this instance, and tries again until the store has taken it.
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
            log::error!("members: The own record cannot be encoded: {error}.");
            return;
        }
    };
    let name = shared.settings.instance.as_str();
    while !shared.is_leaving() {
        shared.metrics.count(CounterName::StoreCalls);
        match client.put(ObjectKind::Instances, name, &spec).await {
            Ok(()) => return,
            Err(error) => log::warn!("members: Registering failed: {error}."),
        }
        tokio::time::sleep(REGISTER_RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Removes an instance if its registration has not changed meanwhile.
pub async fn unregister(
    shared: Arc<SharedState>,
    client: Arc<StoreClient>,
    name: String,
    revision: u64,
) {
    shared.metrics.count(CounterName::StoreCalls);
    let removed = client.remove(ObjectKind::Instances, &name, revision).await;
    if let Err(error) = removed {
        // It stays listed; other instances do not hear it and leave it out.
        log::warn!("members: Removing {name} failed: {error}.");
    }
}
