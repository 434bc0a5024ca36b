//! The upstreams in the store's list, and the state that this instance keeps for each.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::StoreObject;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::DomainKey;
use coltsfootkeel_steering::{
    FleetTopology, PlacedReport, RecentObjects, StorePosition, UpstreamInfo, UpstreamPhase,
    UpstreamRecord, UpstreamState, short_hash,
};
use coltsfootkeel_transport::UpstreamClient;

use crate::entry_snapshot::ListedUpstream;

/// How long upstreams whose entries expired in an outage of the store are kept after its end. A live upstream registers
/// again within two seconds.
pub const STORE_RECOVERY_PERIOD: Duration = Duration::from_millis(2_200);
/// How long removed upstreams are remembered. A store that returns from a copy is some seconds old.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);
/// When the evacuation of a failure domain ends, its upstreams are assumed to be cold for this long, or until a health
/// check or a changed entry reports their state.
const ASSUMED_COLD_PERIOD: Duration = Duration::from_millis(2_500);

/// An upstream and its entry in the store.
#[derive(Debug)]
pub struct RegisteredUpstream {
    /// The decoded entry of the store.
    pub record: UpstreamRecord,
    /// The state and the connections that are shared with request threads.
    pub listed: ListedUpstream,
    /// The place of its latest report.
    report: PlacedReport,
    /// When the upstream is removed unless its entry returns; `None` while the entry exists.
    remove_at: Option<MonotonicTime>,
}

/// An upstream that was removed.
#[derive(Debug)]
struct RemovedUpstream {
    report: PlacedReport,
    removed_at: MonotonicTime,
}

/// The upstreams of all pools, by id.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: HashMap<String, RegisteredUpstream>,
    evacuated: HashSet<DomainKey>,
    /// Until when entries that expired in an outage of the store may still return.
    recovery_until: MonotonicTime,
    /// The revisions at which entries could not be decoded, by name, so that each is logged once.
    unreadable: HashMap<String, StorePosition>,
    /// The upstreams that were removed, by id, so that an older copy of the store does not bring them back.
    removed: HashMap<String, RemovedUpstream>,
    /// Whether this instance has received requests, so that a new upstream joins a pool in use.
    pub is_serving: bool,
}

impl UpstreamRegistry {
    /// Adds or updates an upstream, as read in an era of the store. A report from an older copy changes nothing. Returns
    /// whether a new snapshot must be published.
    pub fn set(
        &mut self,
        record: UpstreamRecord,
        era: u64,
        topology: &FleetTopology,
        now: MonotonicTime,
    ) -> bool {
        let Some(domain) = topology.domain(&record.domain) else {
            log::warn!(
                "upstreams: {} has the unknown failure domain {:?}.",
                record.id,
                record.domain
            );
            return self.drop_upstream(&record.id);
        };
        let report = PlacedReport {
            era,
            order: record.report_order(),
        };
        let removed = self.removed.get(&record.id);
        if removed.is_some_and(|removed| report.is_outdated_by(removed.report)) {
            return false;
        }
        self.removed.remove(&record.id);
        let cold_until = now + record.cold_start_remaining;
        if let Some(upstream) = self.upstreams.get_mut(&record.id) {
            upstream.remove_at = None;
            if report.is_outdated_by(upstream.report) {
                return false;
            }
            upstream.report = report;
            if is_same_incarnation(&upstream.record, &record) {
                upstream.listed.state.cold_until.set(cold_until);
                let is_changed = upstream.record.phase != record.phase;
                upstream.record = record;
                let is_usable = is_usable(&upstream.record, domain, &self.evacuated);
                upstream.listed.state.set_usable(is_usable);
                return is_changed;
            }
        }
        let info = UpstreamInfo {
            id: record.id.clone(),
            domain,
            region: topology.domains[domain].region,
            slots: record.slots.max(1),
        };
        // Requests in flight may still hold the state of the upstream's previous start, which is marked as unusable.
        self.drop_upstream(&record.id);
        let is_usable = is_usable(&record, domain, &self.evacuated);
        let listed = ListedUpstream {
            client: Arc::new(UpstreamClient::new(
                record.address,
                record.slots.max(1) as usize,
            )),
            address: record.address,
            state: Arc::new(UpstreamState::new(info, cold_until, self.is_serving)),
        };
        listed.state.set_usable(is_usable);
        self.upstreams.insert(
            record.id.clone(),
            RegisteredUpstream {
                record,
                listed,
                report,
                remove_at: None,
            },
        );
        true
    }

    /// Removes an upstream whose entry cannot be decoded. Returns whether a new snapshot must be published.
    pub fn remove_unreadable(
        &mut self,
        object: &StoreObject,
        error: &serde_json::Error,
        now: MonotonicTime,
    ) -> bool {
        let previous = self.unreadable.insert(object.name.clone(), object.position);
        if previous != Some(object.position) {
            log::warn!(
                "upstreams: The entry {} cannot be read: {error}.",
                object.name
            );
        }
        self.remove(&object.name, now)
    }

    /// Closes the idle connections that no request can use, for example because the upstream sends bytes on them without
    /// end.
    pub fn close_unusable_connections(&self, now: MonotonicTime) {
        for upstream in self.upstreams.values() {
            upstream.listed.client.close_unusable(now);
        }
    }

    /// Removes an upstream whose entry was removed. After an outage of the store, it is kept until the recovery period
    /// ends. Returns whether a new snapshot must be published.
    pub fn remove(&mut self, id: &str, now: MonotonicTime) -> bool {
        if now < self.recovery_until {
            let until = self.recovery_until;
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.remove_at.get_or_insert(until);
            }
            return false;
        }
        self.remove_now(id, now)
    }

    /// Records the last report of an upstream whose entry is about to be removed.
    pub fn record_last_report(&mut self, record: &UpstreamRecord, era: u64) {
        if let Some(upstream) = self.upstreams.get_mut(&record.id) {
            let order = record.report_order();
            upstream.report = PlacedReport { era, order };
        }
    }

    fn remove_now(&mut self, id: &str, now: MonotonicTime) -> bool {
        if let Some(upstream) = self.upstreams.get(id) {
            let removed = RemovedUpstream {
                report: upstream.report,
                removed_at: now,
            };
            self.removed.insert(id.to_string(), removed);
        }
        self.drop_upstream(id)
    }

    fn drop_upstream(&mut self, id: &str) -> bool {
        let dropped = self.upstreams.remove(id);
        if let Some(upstream) = &dropped {
            upstream.listed.state.set_usable(false);
        }
        dropped.is_some()
    }

    /// Starts the recovery period: the store was unavailable until now.
    pub fn start_recovery(&mut self, now: MonotonicTime) {
        self.recovery_until = now + STORE_RECOVERY_PERIOD;
    }

    /// Starts the recovery period again, also for the upstreams that are missing from an earlier one: the store has
    /// returned from an older copy.
    pub fn restart_recovery(&mut self, now: MonotonicTime) {
        self.start_recovery(now);
        for upstream in self.upstreams.values_mut() {
            upstream.remove_at = upstream.remove_at.map(|_| self.recovery_until);
        }
    }

    /// Ends the recovery period: the store was available, and only this instance could not reach it.
    pub fn end_recovery(&mut self, now: MonotonicTime) {
        self.recovery_until = now;
        for upstream in self.upstreams.values_mut() {
            upstream.remove_at = upstream.remove_at.map(|until| until.min(now));
        }
    }

    /// Removes the upstreams that are missing from a complete list. Returns whether a new snapshot must be published.
    pub fn retain_listed(&mut self, ids: &HashSet<String>, now: MonotonicTime) -> bool {
        self.unreadable.retain(|name, _| ids.contains(name));
        let is_missing = |id: &&String| !ids.contains(*id);
        let missing: Vec<String> = self.upstreams.keys().filter(is_missing).cloned().collect();
        let mut is_changed = false;
        for id in missing {
            is_changed |= self.remove(&id, now);
        }
        is_changed
    }

    /// Removes upstreams whose entries have not returned by the end of the recovery period. Returns whether any was
    /// removed.
    pub fn expire(&mut self, now: MonotonicTime) -> bool {
        let is_expired =
            |upstream: &RegisteredUpstream| upstream.remove_at.is_some_and(|until| until <= now);
        let expired = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| is_expired(upstream));
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove_now(id, now);
        }
        self.removed
            .retain(|_, removed| now.since(removed.removed_at) < REMOVED_RETENTION);
        !expired.is_empty()
    }

    /// Sets the evacuated failure domains. Upstreams of a domain that is no longer evacuated are assumed to be cold.
    /// Returns whether the set has changed.
    pub fn set_evacuated(&mut self, evacuated: HashSet<DomainKey>, now: MonotonicTime) -> bool {
        if evacuated == self.evacuated {
            return false;
        }
        for upstream in self.upstreams.values_mut() {
            let domain = upstream.listed.state.info.domain;
            if self.evacuated.contains(&domain) && !evacuated.contains(&domain) {
                upstream
                    .listed
                    .state
                    .cold_until
                    .advance(now + ASSUMED_COLD_PERIOD);
            }
            let is_usable = is_usable(&upstream.record, domain, &evacuated);
            upstream.listed.state.set_usable(is_usable);
        }
        self.evacuated = evacuated;
        true
    }

    /// Returns the upstreams of all pools, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &RegisteredUpstream> {
        self.upstreams.values()
    }

    /// Returns the states of the upstreams of all pools, in no particular order.
    pub fn states(&self) -> impl Iterator<Item = &UpstreamState> {
        self.iter().map(|upstream| &*upstream.listed.state)
    }

    /// Returns the upstream with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&RegisteredUpstream> {
        self.upstreams.get(id)
    }

    /// Sets the recently used objects of each upstream, by its short hash. An upstream that is missing from `recent`
    /// has none.
    pub fn set_recent_objects(&self, mut recent: HashMap<u32, RecentObjects>, now: MonotonicTime) {
        for upstream in self.upstreams.values() {
            let state = &upstream.listed.state;
            let objects = recent.remove(&short_hash(state.hash));
            state.set_recent_objects(objects.unwrap_or_default(), now);
        }
    }

    /// Sets the requests that the other instances have in flight at each upstream, by its short hash.
    pub fn set_peer_loads(&self, loads: &HashMap<u32, u32>) {
        for upstream in self.upstreams.values() {
            let state = &upstream.listed.state;
            let load = loads.get(&short_hash(state.hash));
            state.set_peer_in_flight(load.copied().unwrap_or_default());
        }
    }
}

/// Returns whether two entries describe the same process of an upstream with the same address, pool, domain and slots.
fn is_same_incarnation(previous: &UpstreamRecord, record: &UpstreamRecord) -> bool {
    previous.started_ms == record.started_ms
        && previous.address == record.address
        && previous.pool == record.pool
        && previous.domain == record.domain
        && previous.slots == record.slots
}

fn is_usable(record: &UpstreamRecord, domain: DomainKey, evacuated: &HashSet<DomainKey>) -> bool {
    record.phase == UpstreamPhase::Ready && !evacuated.contains(&domain)
}
