//! The platform stand-in's list of instances, which lags.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What an instance registers about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDetails {
    /// The address of the instance's peer listener.
    pub address: String,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// Whether the instance is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// An instance as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InstanceListing {
    /// The name of the instance.
    pub name: String,
    /// What the instance registered.
    #[serde(flatten)]
    pub details: InstanceDetails,
}

#[derive(Debug)]
struct PendingChange {
    visible_at_ms: u64,
    name: String,
    details: Option<InstanceDetails>,
}

/// A list of instances that shows each change after a fixed lag.
#[derive(Debug)]
pub struct InstanceList {
    lag_ms: u64,
    visible: BTreeMap<String, InstanceDetails>,
    pending: Vec<PendingChange>,
}

impl InstanceList {
    /// Makes an empty list that shows changes `lag_ms` milliseconds late.
    #[must_use]
    pub fn new(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            visible: BTreeMap::new(),
            pending: Vec::new(),
        }
    }

    /// Adds an instance, replaces it, or removes it when `details` is `None`.
    pub fn change(&mut self, now_ms: u64, name: &str, details: Option<InstanceDetails>) {
        self.pending.push(PendingChange {
            visible_at_ms: now_ms + self.lag_ms,
            name: name.to_string(),
            details,
        });
    }

    /// Returns the instances that the list shows at `now_ms`, ordered by name.
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
