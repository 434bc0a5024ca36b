//! State of each peer according to its heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{EntryInstance, Incarnation, LoanPeer};
use coltsfootkeel_model::{DomainKey, FleetConfig};

use crate::peer_handle::{ConnectedPeer, PeerHandle};

/// Time since the last heartbeat after which a peer no longer counts as live, and look-ups omit it. Heartbeats are sent
/// once a second, so the timeout corresponds to three missed heartbeats.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// A connected peer and its last heartbeat.
#[derive(Debug, Clone)]
pub struct PeerRecord {
    /// The identity of the peer, its addresses and the handle of the connection.
    pub peer: ConnectedPeer,
    /// When the last heartbeat of the peer was received; `None` before the first one.
    pub last_heartbeat: Option<MonotonicTime>,
    /// The names of the seats that the peer holds.
    pub seats: Vec<String>,
    /// Whether the peer is about to stop.
    pub leaving: bool,
    /// The fraction of the peer's slots that is free, in percent.
    pub headroom_percent: u32,
}

/// The connected peers with their last heartbeats, by the name of their instance. Owned by the control thread.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, PeerRecord>,
}

/// The fields of a heartbeat that the table retains.
#[derive(Debug)]
pub struct HeartbeatStatus {
    /// The incarnation of the peer.
    pub incarnation: u64,
    /// The names of the seats that the peer holds.
    pub seats: Vec<String>,
    /// Whether the peer is about to stop.
    pub leaving: bool,
    /// The fraction of the peer's slots that is free, in percent.
    pub headroom_percent: u32,
}

impl PeerTable {
    /// Adds or replaces a peer after its hello. The peer does not count as live before its first heartbeat.
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

    /// Removes a peer if `incarnation` is that of the peer in the table.
    pub fn disconnect(&mut self, instance: &str, incarnation: u64) {
        if self
            .peers
            .get(instance)
            .is_some_and(|record| record.peer.incarnation == incarnation)
        {
            self.peers.remove(instance);
        }
    }

    /// Records a heartbeat. One from another incarnation than the connected one is ignored.
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

    /// Returns the peer with this instance name, or `None` if it is not connected.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<&PeerRecord> {
        self.peers.get(instance)
    }

    /// Returns the handle of the peer with this incarnation, or `None` if it is not connected.
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

    /// Iterates over the live peers, whose last heartbeat is at most [`LIVENESS_TIMEOUT`] old.
    pub fn live(&self, now: MonotonicTime) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values().filter(move |record| {
            record
                .last_heartbeat
                .is_some_and(|received_at| now.since(received_at) <= LIVENESS_TIMEOUT)
        })
    }

    /// Returns the live peers as entry instances for look-ups. Peers whose failure domain is not in `config` are
    /// omitted.
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

    /// Returns the live peers that hold a seat and may lend. Those in `near_domain` are marked as near, so that loans
    /// are requested from them first.
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

    /// Returns the peer addresses of all connected peers.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.peers
            .values()
            .map(|record| record.peer.peer_address)
            .collect()
    }
}

/// Returns the key of the failure domain with this name, or `None` if the configuration has none.
#[must_use]
pub fn find_domain(config: &FleetConfig, name: &str) -> Option<DomainKey> {
    config.domains.find(|domain| domain.name == name)
}
