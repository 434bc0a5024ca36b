//! When each other instance last sent a message, kept once for all client accounts.
//!
//! Load pattern: a large fleet with many accounts. A message that concerns a few accounts must not cost a step for each
//! account, and a refill of an account must not cost a step for each instance.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

#[derive(Debug)]
struct PeerContact {
    incarnation: u64,
    received_at: MonotonicTime,
}

/// Latest messages of the other instances, by the hash of their names.
#[derive(Debug, Default)]
pub struct PeerContacts {
    contacts: HashMap<u64, PeerContact>,
}

impl PeerContacts {
    /// Records a message. Returns whether the instance has restarted since its previous one.
    pub fn record(&mut self, peer: u64, incarnation: u64, now: MonotonicTime) -> bool {
        let contact = PeerContact {
            incarnation,
            received_at: now,
        };
        let previous = self.contacts.insert(peer, contact);
        previous.is_some_and(|previous| previous.incarnation != incarnation)
    }

    /// Returns the instances without a message for longer than `timeout`.
    #[must_use]
    pub fn silent(&self, timeout: Duration, now: MonotonicTime) -> Vec<u64> {
        let contacts = self.contacts.iter();
        contacts
            .filter(|(_, contact)| now.since(contact.received_at) > timeout)
            .map(|(peer, _)| *peer)
            .collect()
    }

    /// Removes the instances that are no longer members, and returns them.
    pub fn remove_others(&mut self, is_member: impl Fn(u64) -> bool) -> Vec<u64> {
        let peers = self.contacts.keys().copied();
        let removed: Vec<u64> = peers.filter(|peer| !is_member(*peer)).collect();
        for peer in &removed {
            self.contacts.remove(peer);
        }
        removed
    }
}
