//! Decides how often an instance sends its heartbeat, and to which other instances.
//!
//! Load pattern: a fleet of a hundred instances and more. With a heartbeat from each instance to each other one, the
//! messages would fill the links between regions, or each instance would know the others only seconds late. A small fleet
//! is a full mesh. In a larger one, an instance sends to all instances of its own failure domain, and at longer intervals
//! to one instance of each other domain, which adds what it receives to its own heartbeats. The number of messages of an
//! instance grows with the size of its domain and the number of domains.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_model::DomainKey;

use crate::hashing::stable_hash;

/// Largest fleet in which each instance sends its heartbeats to all others.
const MAX_FULL_MESH: usize = 16;
/// Shortest time between two heartbeats to the same instance.
const MIN_PERIOD: Duration = Duration::from_millis(100);
/// Time for each receiver by which the period grows, so that an instance handles about a hundred heartbeats a second.
const PERIOD_PER_INSTANCE: Duration = Duration::from_millis(10);
/// Longest time between two heartbeats to another domain.
const MAX_FAR_PERIOD: Duration = Duration::from_millis(1_200);
/// Shortest time without a heartbeat after which an instance no longer counts as live.
const MIN_LIVE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of periods without a heartbeat after which an instance no longer counts as live, if that is longer. One or two
/// heartbeats may be lost.
const LIVE_TIMEOUT_PERIODS: f64 = 2.5;

/// An instance that sends or receives heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatPeer {
    /// Hash of the instance's name.
    pub hash: u64,
    /// Failure domain of the instance.
    pub domain: DomainKey,
}

/// Times between the heartbeats of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatPeriods {
    /// Whether heartbeats go to all instances, so that both periods are the same.
    pub is_full_mesh: bool,
    /// Time between two heartbeats to an instance of the same failure domain.
    pub near: Duration,
    /// Time between two heartbeats to another failure domain.
    pub far: Duration,
}

impl HeartbeatPeriods {
    /// Returns the periods in a fleet of `instances`, of which `near_instances` are in the domain of the sender.
    #[must_use]
    pub fn new(instances: usize, near_instances: usize) -> Self {
        let period = |receivers: usize| {
            let receivers = u32::try_from(receivers).unwrap_or(u32::MAX);
            MIN_PERIOD.max(PERIOD_PER_INSTANCE.saturating_mul(receivers))
        };
        let is_full_mesh = instances <= MAX_FULL_MESH;
        let far = period(instances).min(MAX_FAR_PERIOD);
        Self {
            is_full_mesh,
            near: if is_full_mesh {
                far
            } else {
                period(near_instances).min(far)
            },
            far,
        }
    }

    /// Returns the time without a heartbeat after which an instance of the same domain no longer counts as live.
    #[must_use]
    pub fn near_timeout(&self) -> Duration {
        MIN_LIVE_TIMEOUT.max(self.near.mul_f64(LIVE_TIMEOUT_PERIODS))
    }

    /// Returns the time without a heartbeat after which an instance of another domain no longer counts as live. Its
    /// heartbeat waits for the next one of the instance that passes it on.
    #[must_use]
    pub fn far_timeout(&self) -> Duration {
        MIN_LIVE_TIMEOUT.max(self.far.mul_f64(LIVE_TIMEOUT_PERIODS) + self.near)
    }
}

/// Returns the instance of each other domain that passes the heartbeat number `turn` of `own` on to its domain. The
/// instances of a domain take turns, so that a failed one delays the heartbeats by one period.
#[must_use]
pub fn select_relays(own: HeartbeatPeer, peers: &[HeartbeatPeer], turn: u64) -> Vec<u64> {
    let mut hashes_by_domain: BTreeMap<DomainKey, Vec<u64>> = BTreeMap::new();
    for peer in peers.iter().filter(|peer| peer.domain != own.domain) {
        hashes_by_domain
            .entry(peer.domain)
            .or_default()
            .push(peer.hash);
    }
    let first = stable_hash(&own.hash.to_le_bytes());
    let select = |mut hashes: Vec<u64>| {
        hashes.sort_unstable();
        hashes.dedup();
        let index = first.wrapping_add(turn) % hashes.len() as u64;
        #[expect(clippy::cast_possible_truncation)]
        hashes[index as usize]
    };
    hashes_by_domain.into_values().map(select).collect()
}
