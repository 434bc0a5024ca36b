//! What the other instances told of themselves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::RegionKey;
use coltsfootkeel_protocol::FleetHeartbeat;
use coltsfootkeel_steering::{FleetTopology, InstanceView, stable_hash};

/// An instance that is silent for longer is left out of look-ups, and its requests in flight count no more.
const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// An instance that is silent for longer is forgotten unless the store still lists it.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// Another instance.
#[derive(Debug)]
pub struct KnownPeer {
    /// Where it receives messages.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionKey,
    /// Its address for callers.
    pub entry: SocketAddr,
    /// Its last message.
    pub last: FleetHeartbeat,
    /// When the last message came.
    pub heard_at: MonotonicTime,
    /// The earliest time at which it can have been made, suspension included, if it answers a message of this instance.
    pub made_at: Option<MonotonicTime>,
}

/// The instances that were heard.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<u64, KnownPeer>,
}

impl PeerTable {
    /// Takes a message in. Returns the hash of its sender, or nothing if it is old or cannot be read.
    pub fn hear(
        &mut self,
        message: FleetHeartbeat,
        address: SocketAddr,
        made_at: Option<MonotonicTime>,
        places: &FleetTopology,
        now: MonotonicTime,
    ) -> Option<u64> {
        let hash = stable_hash(message.instance.as_bytes());
        let domain = places.domain(&message.domain)?;
        let entry = message.entry_address.parse().ok()?;
        if let Some(known) = self.peers.get(&hash)
            && known.last.incarnation == message.incarnation
            && known.last.number >= message.number
        {
            return None;
        }
        let peer = KnownPeer {
            address,
            region: places.domains[domain].region,
            entry,
            last: message,
            heard_at: now,
            made_at,
        };
        self.peers.insert(hash, peer);
        Some(hash)
    }

    /// Returns an instance.
    #[must_use]
    pub fn get(&self, hash: u64) -> Option<&KnownPeer> {
        self.peers.get(&hash)
    }

    /// Forgets instances that were not heard for long and that `is_member` does not hold either.
    pub fn expire(&mut self, now: MonotonicTime, is_member: impl Fn(u64) -> bool) {
        self.peers
            .retain(|hash, peer| now.since(peer.heard_at) < FORGOTTEN_AFTER || is_member(*hash));
    }

    /// Returns the instances that were heard lately.
    pub fn live(&self, now: MonotonicTime) -> impl Iterator<Item = (u64, &KnownPeer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| now.since(peer.heard_at) < SILENT_AFTER)
            .map(|(hash, peer)| (*hash, peer))
    }

    /// Returns the live instances as look-ups name them.
    #[must_use]
    pub fn views(&self, now: MonotonicTime) -> Vec<InstanceView> {
        self.live(now)
            .map(|(_, peer)| InstanceView {
                address: peer.entry,
                region: peer.region,
                is_accepting: peer.last.is_open && !peer.last.is_leaving,
            })
            .collect()
    }

    /// Returns the live instances that can watch the store for others.
    pub fn store_readers(&self, now: MonotonicTime) -> impl Iterator<Item = u64> {
        let can_read = |peer: &KnownPeer| peer.last.failing_kinds == 0 && !peer.last.is_leaving;
        self.live(now)
            .filter(move |(_, peer)| can_read(peer))
            .map(|(hash, _)| hash)
    }

    /// Tells whether a live instance has read the store without a failure for this long.
    #[must_use]
    pub fn has_steady_reader(&self, period: Duration, now: MonotonicTime) -> bool {
        let steady = |peer: &KnownPeer| Duration::from_millis(peer.last.store_steady_ms.into());
        self.live(now).any(|(_, peer)| steady(peer) >= period)
    }

    /// Returns the requests in flight of all live instances, by the short hash of the upstream.
    #[must_use]
    pub fn loads(&self, now: MonotonicTime) -> HashMap<u32, u32> {
        let mut loads = HashMap::new();
        for (_, peer) in self.live(now) {
            for load in &peer.last.loads {
                *loads.entry(load.upstream).or_default() += load.in_flight;
            }
        }
        loads
    }
}
