//! List of instances of the platform stand-in, which shows each change after a lag.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Registration of an instance, as the instance itself sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDetails {
    /// Address of the instance's peer listener.
    pub address: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Whether the instance is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

/// Entry of the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InstanceListing {
    /// Name of the instance.
    pub name: String,
    /// Registration of the instance.
    #[serde(flatten)]
    pub details: InstanceDetails,
}

#[derive(Debug)]
struct PendingChange {
    visible_at_ms: u64,
    name: String,
    details: Option<InstanceDetails>,
}

/// A list of instances in which each change becomes visible after a fixed lag.
#[derive(Debug)]
pub struct InstanceList {
    lag_ms: u64,
    visible: BTreeMap<String, InstanceDetails>,
    pending: Vec<PendingChange>,
}

impl InstanceList {
    /// Creates an empty list that shows each change `lag_ms` milliseconds after it was made.
    #[must_use]
    pub fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            visible: BTreeMap::new(),
            pending: Vec::new(),
        }
    }

    /// Adds or replaces the registration of an instance, or removes it if `details` is `None`.
    pub fn change(&mut self, now_ms: u64, name: &str, details: Option<InstanceDetails>) {
        self.pending.push(PendingChange {
            visible_at_ms: now_ms + self.lag_ms,
            name: name.to_string(),
            details,
        });
    }

    /// Returns the instances that are visible at `now_ms`, ordered by name.
    pub fn read(&mut self, now_ms: u64) -> Vec<InstanceListing> {
        let due = self
            .pending
            .iter()
            .take_while(|change| change.visible_at_ms <= now_ms)
            .count();
        for change in self.pending.drain(..due) {
            match change.details {
                Some(details) => self.visible.insert(change.name, details),
                None => self.visible.remove(&change.name),
            };
        }
        self.visible
            .iter()
            .map(|(name, details)| InstanceListing {
                name: name.clone(),
                details: details.clone(),
            })
            .collect()
    }
}
