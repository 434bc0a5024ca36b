//! Builds and sends the heartbeats of this instance, and applies those of the other instances.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{CrashSuspect, FleetHeartbeat, ObjectPlacement, UpstreamLoad};
use coltsfootkeel_steering::short_hash;

use crate::control_loop::ControlLoop;
use crate::heartbeat_socket::send_heartbeat;
use crate::reader_role::KindRevisions;

/// The number of sent heartbeats that are kept to measure round trips.
const MAX_TRACKED_HEARTBEATS: usize = 64;
/// The age up to which heartbeats of the other instances count as evidence that none of them reaches the store.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(500);

/// A heartbeat that was sent, kept until other instances echo its number.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentHeartbeat {
    number: u64,
    sent_at: MonotonicTime,
    sent_at_with_suspension: MonotonicTime,
}

impl ControlLoop {
    /// Applies a heartbeat of another instance.
    pub(crate) fn apply_heartbeat(&mut self, message: FleetHeartbeat, from: SocketAddr) {
        let now = self.shared.clock.now();
        if message.instance == self.shared.settings.instance {
            return;
        }
        self.shared.reader_role.advance(KindRevisions {
            upstreams: message.upstreams_revision,
            evacuations: message.evacuations_revision,
            instances: message.instances_revision,
        });
        self.record_plan_version(message.plan_version);
        self.record_placements(&message, now);
        self.record_crashes(&message, now);
        let echo_hold = Duration::from_micros(u64::from(message.echo_held_us));
        let echoed = self
            .sent_heartbeats
            .iter()
            .find(|sent| sent.number == message.echo_number)
            .copied();
        let earliest_sent_at = echoed.map(|sent| sent.sent_at_with_suspension + echo_hold);
        if let Some(earliest_sent_at) = earliest_sent_at {
            self.confirm_by_peer(&message, earliest_sent_at);
        }
        let topology = &self.shared.topology;
        let Some(hash) =
            self.peers
                .record_heartbeat(message, from, earliest_sent_at, topology, now)
        else {
            return;
        };
        let Some(peer) = self.peers.get(hash) else {
            return;
        };
        self.quotas.record_heartbeat(hash, &peer.heartbeat, now);
        if let Some(sent) = echoed {
            let round_trip = now.since(sent.sent_at).saturating_sub(echo_hold);
            self.shared.record_round_trip(peer.region, round_trip);
        }
        self.record_limits(hash, now);
    }

    fn record_placements(&self, message: &FleetHeartbeat, now: MonotonicTime) {
        for placement in &message.objects {
            self.shared
                .affinity_table
                .record(placement.object, placement.upstream, now);
        }
    }

    fn record_crashes(&mut self, message: &FleetHeartbeat, now: MonotonicTime) {
        for crash in &message.crashes {
            self.crash_table
                .record_crash(crash.fingerprint, crash.upstream, now);
        }
        if !message.crashes.is_empty() {
            self.publish_crashes();
        }
    }

    /// Confirms the plan if another instance has the same one, as of the time at which that instance sent the
    /// heartbeat. A heartbeat that stayed in the socket buffer while this process was suspended is as old as the
    /// suspension.
    fn confirm_by_peer(&self, message: &FleetHeartbeat, earliest_sent_at: MonotonicTime) {
        let own_version = self.plan.as_ref().map(|plan| plan.version);
        if let Some(age_ms) = message.plan_age_ms
            && own_version == Some(message.plan_version)
        {
            let age = Duration::from_millis(u64::from(age_ms));
            self.shared.freshness.confirm(earliest_sent_at - age);
        }
    }

    /// Confirms the plan while every registered instance sends heartbeats and none of them reaches the store: in such
    /// an outage no key can be withdrawn. A plan that was older than that of another instance before stays so.
    pub(crate) fn confirm_in_store_outage(&self) {
        let now = self.shared.clock.now_with_suspension();
        let is_initialized = self.plan.is_some() && self.members.iter().next().is_some();
        let is_outdated = self.plan_version() < self.shared.freshness.newest_version();
        if !is_initialized || is_outdated || self.reaches_store() {
            return;
        }
        let is_also_disconnected = |hash: u64| {
            hash == self.shared.own_hash
                || self.peers.get(hash).is_some_and(|peer| {
                    let is_too_old =
                        |earliest_sent_at| now.since(earliest_sent_at) >= MAX_HEARTBEAT_AGE;
                    !peer.earliest_sent_at.is_none_or(is_too_old) && !peer.heartbeat.reaches_store
                })
        };
        if self.members.hashes().all(is_also_disconnected) {
            self.shared.freshness.confirm(now - MAX_HEARTBEAT_AGE);
        }
    }

    /// Sends a heartbeat to every live peer and every registered instance.
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.shared.clock.now();
        self.heartbeat_number += 1;
        if self.sent_heartbeats.len() >= MAX_TRACKED_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back(SentHeartbeat {
            number: self.heartbeat_number,
            sent_at: now,
            sent_at_with_suspension: self.shared.clock.now_with_suspension(),
        });
        let mut message = self.heartbeat(now);
        let own = self.shared.settings.peer;
        let recipients: Vec<(SocketAddr, u64, MonotonicTime)> = self
            .peers
            .live(now)
            .map(|(_, peer)| (peer.address, peer.heartbeat.number, peer.received_at))
            .collect();
        let mut sent_to: HashSet<SocketAddr> = HashSet::from([own]);
        for (address, number, received_at) in recipients {
            message.echo_number = number;
            let held_us = now.since(received_at).as_micros();
            message.echo_held_us = u32::try_from(held_us).unwrap_or(u32::MAX);
            if sent_to.insert(address) {
                send_heartbeat(&self.socket, &message, address);
            }
        }
        message.echo_number = 0;
        for address in self.members.peer_addresses() {
            if sent_to.insert(address) {
                send_heartbeat(&self.socket, &message, address);
            }
        }
    }

    fn heartbeat(&mut self, now: MonotonicTime) -> FleetHeartbeat {
        let accounts = self.quotas.usages(self.heartbeat_number);
        let shared = &self.shared;
        let plan_age = shared.freshness.age(shared.clock.now_with_suspension());
        let plan_version = self.plan.as_ref().map(|plan| plan.version);
        let age_ms = u32::try_from(plan_age.as_millis()).unwrap_or(u32::MAX);
        let objects = std::iter::from_fn(|| shared.placement_reports.pop());
        let crashes: Vec<_> = std::iter::from_fn(|| shared.crash_reports.pop()).collect();
        let revisions = shared.reader_role.revisions();
        let message = FleetHeartbeat {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            number: self.heartbeat_number,
            entry_address: shared.settings.entry.to_string(),
            domain: shared.settings.domain.clone(),
            is_open: shared.is_accepting(),
            is_leaving: shared.is_stopping(),
            plan_version: plan_version.unwrap_or_default(),
            plan_age_ms: plan_version.map(|_| age_ms),
            reaches_store: self.reaches_store(),
            store_steady_ms: u32::try_from(self.store_reading_time().as_millis())
                .unwrap_or(u32::MAX),
            upstreams_revision: revisions.upstreams,
            evacuations_revision: revisions.evacuations,
            instances_revision: revisions.instances,
            failing_kinds: shared.reader_role.failing_kinds(),
            loads: self.upstream_loads(),
            limits: self.stated_limits(now),
            accounts,
            objects: objects
                .map(|report| ObjectPlacement {
                    object: report.object,
                    upstream: report.upstream,
                })
                .collect(),
            crashes: crashes
                .iter()
                .map(|report| CrashSuspect {
                    fingerprint: report.fingerprint,
                    upstream: report.upstream,
                })
                .collect(),
            ..FleetHeartbeat::default()
        };
        for report in &crashes {
            self.crash_table
                .record_crash(report.fingerprint, report.upstream, now);
        }
        if !crashes.is_empty() {
            self.publish_crashes();
        }
        message
    }

    fn upstream_loads(&self) -> Vec<UpstreamLoad> {
        let snapshot = self.shared.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else {
            return Vec::new();
        };
        snapshot
            .upstreams
            .iter()
            .map(|(_, listed)| UpstreamLoad {
                upstream: short_hash(listed.state.hash),
                in_flight: listed.state.own_in_flight(),
            })
            .filter(|load| load.in_flight > 0)
            .collect()
    }
}
