//! The state of the other instances, as received in their heartbeats.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{DomainKey, RegionKey};
use coltsfootkeel_protocol::FleetHeartbeat;
use coltsfootkeel_steering::{
    DomainSilence, FleetTopology, HeardInstance, HeartbeatPeriods, InstanceRoom, InstanceView,
    KnownInstance, ReaderCandidate, stable_hash,
};

use crate::capacity_reports::reported_room;

/// An instance without a heartbeat for this long is removed from the table unless it is still registered in the store.
const EXPIRY_TIMEOUT: Duration = Duration::from_secs(10);

/// The state of another instance.
#[derive(Debug)]
pub struct PeerState {
    /// The address at which it receives heartbeats.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainKey,
    /// The region of its failure domain.
    pub region: RegionKey,
    /// The address at which it receives requests of callers.
    pub entry: SocketAddr,
    /// Its latest heartbeat.
    pub heartbeat: FleetHeartbeat,
    /// When the latest heartbeat was received.
    pub received_at: MonotonicTime,
    /// The earliest time at which the latest heartbeat can have been sent, on the clock that includes suspension;
    /// `None` if it echoes no heartbeat of this instance.
    pub earliest_sent_at: Option<MonotonicTime>,
}

/// The instances from which a heartbeat was received, by the hash of their names.
#[derive(Debug)]
pub struct PeerTable {
    peers: HashMap<u64, PeerState>,
    own_domain: DomainKey,
    periods: HeartbeatPeriods,
    domain_silence: DomainSilence,
}

impl PeerTable {
    /// Creates an empty table of an instance in the failure domain `own_domain`.
    #[must_use]
    pub fn new(own_domain: DomainKey) -> Self {
        Self {
            peers: HashMap::new(),
            own_domain,
            periods: HeartbeatPeriods::new(0, 0),
            domain_silence: DomainSilence::default(),
        }
    }

    /// Sets the times between heartbeats, from which follows after which time without one instances no longer count as
    /// live. They are left out of look-ups, and their requests in flight no longer count.
    pub fn set_periods(&mut self, periods: HeartbeatPeriods) {
        self.periods = periods;
    }

    /// Records a heartbeat. Returns the hash of its sender, or `None` if a newer heartbeat was received before or if
    /// its failure domain or address is invalid.
    pub fn record_heartbeat(
        &mut self,
        message: FleetHeartbeat,
        address: SocketAddr,
        earliest_sent_at: Option<MonotonicTime>,
        topology: &FleetTopology,
        now: MonotonicTime,
    ) -> Option<u64> {
        let hash = stable_hash(message.instance.as_bytes());
        let domain = topology.domain(&message.domain)?;
        let entry = message.entry_address.parse().ok()?;
        if let Some(previous) = self.peers.get(&hash)
            && previous.heartbeat.incarnation == message.incarnation
            && previous.heartbeat.number >= message.number
        {
            return None;
        }
        let peer = PeerState {
            address,
            domain,
            region: topology.domains[domain].region,
            entry,
            heartbeat: message,
            received_at: now,
            earliest_sent_at,
        };
        self.peers.insert(hash, peer);
        Some(hash)
    }

    /// Returns the instance whose name has this hash.
    #[must_use]
    pub fn get(&self, hash: u64) -> Option<&PeerState> {
        self.peers.get(&hash)
    }

    /// Removes instances without a heartbeat for [`EXPIRY_TIMEOUT`] for which `is_member` is false.
    pub fn expire(&mut self, now: MonotonicTime, is_member: impl Fn(u64) -> bool) {
        self.peers
            .retain(|hash, peer| now.since(peer.received_at) < EXPIRY_TIMEOUT || is_member(*hash));
    }

    /// Returns the live instances: those whose latest heartbeat is recent enough.
    pub fn live(&self, now: MonotonicTime) -> impl Iterator<Item = (u64, &PeerState)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| now.since(peer.received_at) < self.timeout(peer))
            .map(|(hash, peer)| (*hash, peer))
    }

    fn timeout(&self, peer: &PeerState) -> Duration {
        if peer.domain == self.own_domain {
            self.periods.near_timeout()
        } else {
            self.periods.far_timeout()
        }
    }

    /// Returns the live instances as candidates for look-ups.
    #[must_use]
    pub fn views(&self, now: MonotonicTime) -> Vec<InstanceView> {
        self.live(now).map(|(_, peer)| view(peer)).collect()
    }

    /// Returns what the instances in the table have and use, by the hashes of their names.
    pub fn rooms(&self) -> impl Iterator<Item = (u64, InstanceRoom)> {
        let peers = self.peers.iter();
        peers.map(|(hash, peer)| (*hash, reported_room(&peer.heartbeat)))
    }

    /// Returns all instances in the table as candidates for look-ups, and observes which failure domains fall silent.
    pub fn observe_instances(&mut self, now: MonotonicTime) -> Vec<KnownInstance> {
        let peers = self.peers.values();
        let mut known: Vec<KnownInstance> = peers
            .map(|peer| KnownInstance {
                view: view(peer),
                silence: now.since(peer.received_at),
                timeout: self.timeout(peer),
                is_lost: false,
            })
            .collect();
        // Instances that fell silent long before do not belong to the same loss.
        let is_observed = |known: &&mut KnownInstance| {
            known.view.is_accepting && known.silence < known.timeout * 2
        };
        let mut observed: Vec<&mut KnownInstance> = known.iter_mut().filter(is_observed).collect();
        let heard: Vec<HeardInstance> = observed
            .iter()
            .map(|known| HeardInstance {
                domain: known.view.domain,
                heard_at: now - known.silence,
                period: self.longest_period(known.view.domain),
            })
            .collect();
        let is_lost = self.domain_silence.observe(&heard, self.own_domain, now);
        for (known, is_lost) in observed.iter_mut().zip(is_lost) {
            known.is_lost = is_lost;
        }
        known
    }

    /// Returns the longest time between two heartbeats of an instance of `domain`. Those of other domains wait for the
    /// next heartbeat of the instance that passes them on.
    fn longest_period(&self, domain: DomainKey) -> Duration {
        if domain == self.own_domain || self.periods.is_full_mesh {
            self.periods.near
        } else {
            self.periods.far + self.periods.near
        }
    }

    /// Returns the live instances that can watch the store for the others.
    pub fn reader_candidates(&self, now: MonotonicTime) -> impl Iterator<Item = ReaderCandidate> {
        let can_read =
            |peer: &PeerState| peer.heartbeat.failing_kinds == 0 && !peer.heartbeat.is_leaving;
        self.live(now)
            .filter(move |(_, peer)| can_read(peer))
            .map(|(hash, peer)| ReaderCandidate {
                instance: hash,
                is_reading: peer.heartbeat.store_steady_ms > 0,
            })
    }

    /// Returns the number of live instances whose last call to the store failed.
    #[must_use]
    pub fn failing_readers(&self, now: MonotonicTime) -> usize {
        self.live(now)
            .filter(|(_, peer)| peer.heartbeat.failing_kinds > 0)
            .count()
    }

    /// Returns whether a live instance has read the list of upstreams without a failure for at least `period`, in the era
    /// `era` of the store or a later one.
    #[must_use]
    pub fn has_steady_reader(&self, period: Duration, era: u64, now: MonotonicTime) -> bool {
        let steady =
            |peer: &PeerState| Duration::from_millis(peer.heartbeat.store_steady_ms.into());
        self.live(now)
            .any(|(_, peer)| peer.heartbeat.store_era >= era && steady(peer) >= period)
    }

    /// Returns the requests that all live instances together have in flight, by the short hash of the upstream.
    #[must_use]
    pub fn loads(&self, now: MonotonicTime) -> HashMap<u32, u32> {
        let mut loads = HashMap::new();
        for (_, peer) in self.live(now) {
            for load in &peer.heartbeat.loads {
                *loads.entry(load.upstream).or_default() += load.in_flight;
            }
        }
        loads
    }
}

fn view(peer: &PeerState) -> InstanceView {
    InstanceView {
        address: peer.entry,
        domain: peer.domain,
        region: peer.region,
        room: reported_room(&peer.heartbeat),
        is_accepting: peer.heartbeat.is_open && !peer.heartbeat.is_leaving,
    }
}
