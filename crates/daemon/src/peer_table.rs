//! What heartbeats say about each peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{EntryInstance, Incarnation, LoanPeer};
use coltsfootkeel_model::{DomainKey, FleetConfig};

use crate::peer_handle::{ConnectedPeer, PeerHandle};

/// Heartbeats come once a second; an instance that missed three leaves the look-up.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// One peer.
#[derive(Debug, Clone)]
pub struct PeerRecord {
    /// Who it is and how to reach it.
    pub peer: ConnectedPeer,
    /// When its last heartbeat came, if one came.
    pub last_heartbeat: Option<MonotonicTime>,
    /// The seats it holds.
    pub seats: Vec<String>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The part of its capacity that is free, in percent.
    pub headroom_percent: u32,
}

/// All peers by the name of their instance.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, PeerRecord>,
}

/// What a heartbeat changes in the table.
#[derive(Debug)]
pub struct HeartbeatStatus {
    /// The number of the sender's start.
    pub incarnation: u64,
    /// The seats it holds.
    pub seats: Vec<String>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The part of its capacity that is free, in percent.
    pub headroom_percent: u32,
}

impl PeerTable {
    /// Adds a peer that said hello.
    pub fn connect(&mut self, peer: ConnectedPeer) {
        let record = PeerRecord {
            last_heartbeat: None,
            seats: Vec::new(),
            leaving: false,
            headroom_percent: 100,
            peer,
        };
        self.peers.insert(record.peer.instance.clone(), record);
    }

    /// Removes a peer if it is still the same incarnation.
    pub fn disconnect(&mut self, instance: &str, incarnation: u64) {
        if self
            .peers
            .get(instance)
            .is_some_and(|record| record.peer.incarnation == incarnation)
        {
            self.peers.remove(instance);
        }
    }

    /// Takes in a heartbeat. A heartbeat of another incarnation than the connected one is ignored.
    pub fn record_heartbeat(
        &mut self,
        instance: &str,
        status: HeartbeatStatus,
        now: MonotonicTime,
    ) {
        let Some(record) = self.peers.get_mut(instance) else {
            return;
        };
        if record.peer.incarnation != status.incarnation {
            return;
        }
        record.last_heartbeat = Some(now);
        record.seats = status.seats;
        record.leaving = status.leaving;
        record.headroom_percent = status.headroom_percent;
    }

    /// Returns a peer.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<&PeerRecord> {
        self.peers.get(instance)
    }

    /// Returns the handle of the peer with an incarnation.
    #[must_use]
    pub fn find_handle(&self, incarnation: Incarnation) -> Option<&PeerHandle> {
        let mut records = self.peers.values();
        records
            .find(|record| record.peer.incarnation == incarnation.0)
            .map(|record| &record.peer.handle)
    }

    /// Iterates over all connected peers.
    pub fn iter(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// Iterates over the peers that were heard lately.
    pub fn live(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().filter(move |record| {
            record
                .last_heartbeat
                .is_some_and(|heard| now.since(heard) <= LIVENESS_TIMEOUT)
        })
    }

    /// Returns the entry instances among the peers that were heard lately.
    #[must_use]
    pub fn entry_instances(&self, config: &FleetConfig, now: MonotonicTime) -> Vec<EntryInstance> {
        let entry = |record: &PeerRecord| {
            Some(EntryInstance {
                name: record.peer.instance.clone(),
                domain: find_domain(config, &record.peer.failure_domain)?,
                address: record.peer.entry_address,
                leaving: record.leaving,
                headroom_percent: record.headroom_percent,
            })
        };
        self.live(now).filter_map(entry).collect()
    }

    /// Returns the peers that may lend, those of `near_domain` first to be asked.
    #[must_use]
    pub fn lenders(
        &self,
        config: &FleetConfig,
        near_domain: DomainKey,
        now: MonotonicTime,
    ) -> Vec<LoanPeer> {
        let lender = |record: &PeerRecord| LoanPeer {
            incarnation: Incarnation(record.peer.incarnation),
            is_near: find_domain(config, &record.peer.failure_domain) == Some(near_domain),
        };
        let holders = self.live(now).filter(|record| !record.seats.is_empty());
        holders.map(lender).collect()
    }

    /// Returns the addresses of all connected peers.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.peers
            .values()
            .map(|record| record.peer.peer_address)
            .collect()
    }
}

/// Finds a failure domain by name.
#[must_use]
pub fn find_domain(config: &FleetConfig, name: &str) -> Option<DomainKey> {
    config.domains.find(|domain| domain.name == name)
}
