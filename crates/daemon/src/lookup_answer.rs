//! Answer to a look-up: the entry instances in the order in which a client should use them.

use std::net::{IpAddr, SocketAddr};

use coltsfootkeel_decisions::KeyOwner;
use serde::Serialize;

use crate::shared_state::{LOOKUP_TTL, SharedState};

/// The body of the response to a look-up.
#[derive(Debug, Serialize)]
pub struct LookupAnswer {
    /// The instances, best first.
    pub entries: Vec<RankedEntry>,
    /// The time for which the answer may be cached, in milliseconds.
    pub life_ms: u64,
    /// The prefix of idempotency keys that the first instance owns; `None` if that instance holds no seat.
    pub idempotency_prefix: Option<String>,
}

/// One entry instance of a look-up's answer.
#[derive(Debug, Serialize)]
pub struct RankedEntry {
    /// The name of the instance.
    pub instance: String,
    /// The address of the entry listener.
    pub address: SocketAddr,
    /// The name of the instance's region.
    pub region: String,
    /// The name of the instance's failure domain.
    pub failure_domain: String,
}

/// Ranks the entry instances for a client. Returns `None` while there is no configuration.
#[must_use]
pub fn lookup_answer(shared: &SharedState, client: IpAddr) -> Option<LookupAnswer> {
    let snapshot = shared.snapshot.load();
    let snapshot = snapshot.as_ref()?;
    let table = shared.entries.load();
    let table = table.as_ref()?;
    let ranked = table.rank(&snapshot.config, client);
    let entries = ranked.as_slice().iter().filter_map(|key| {
        let entry = table.entry(*key)?;
        let domain = &snapshot.config.domains[entry.domain];
        Some(RankedEntry {
            instance: entry.name.clone(),
            address: entry.address,
            region: snapshot.config.regions[domain.region].name.clone(),
            failure_domain: domain.name.clone(),
        })
    });
    let entries: Vec<RankedEntry> = entries.collect();
    let owner = entries.first().map(|entry| entry.instance.as_str());
    Some(LookupAnswer {
        life_ms: u64::try_from(LOOKUP_TTL.as_millis()).unwrap_or(u64::MAX),
        idempotency_prefix: owner.and_then(|instance| key_prefix(shared, instance)),
        entries,
    })
}

/// Returns the prefix of idempotency keys that `instance` owns, or `None` if it holds no seat. A key with the prefix of
/// the instance that the caller uses first needs no round trip to another owner.
fn key_prefix(shared: &SharedState, instance: &str) -> Option<String> {
    let ownership = shared.replay_ownership.load();
    if instance == shared.settings.instance {
        let tenure = ownership.tenure.as_ref()?;
        return Some(KeyOwner::prefix(tenure.seat(), shared.incarnation));
    }
    let (seat, _) = ownership
        .holders
        .iter()
        .find(|(_, holder)| *holder == instance)?;
    let peer = shared.peers.find(instance)?;
    Some(KeyOwner::prefix(seat, peer.incarnation))
}
