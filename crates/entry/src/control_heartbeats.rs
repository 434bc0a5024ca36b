//! What the control thread tells the other instances, and what it learns from them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{CrashSighting, FleetHeartbeat, ObjectPlacement, UpstreamLoad};
use coltsfootkeel_steering::{short_hash, stable_hash};

use crate::control_loop::ControlLoop;
use crate::heartbeat_socket::send_heartbeat;
use crate::store_duty::KindRevisions;

/// Messages whose round trip can still be measured.
const MEASURED_HEARTBEATS: usize = 64;
/// All instances must have been heard within this time to conclude that none of them reaches the store.
const HEARD_LATELY: Duration = Duration::from_millis(500);

/// A message that was sent, for the answers to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentHeartbeat {
    number: u64,
    sent_at: MonotonicTime,
    sent_with_suspension: MonotonicTime,
}

impl ControlLoop {
    /// Takes in a message of another instance.
    pub(crate) fn hear(&mut self, message: FleetHeartbeat, from: SocketAddr) {
        let now = self.shared.clock.now();
        if message.instance == self.shared.settings.instance {
            return;
        }
        self.shared.duty.raise(KindRevisions {
            upstreams: message.upstreams_revision,
            evacuations: message.evacuations_revision,
            instances: message.instances_revision,
        });
        self.learn_objects(&message, now);
        self.learn_crashes(&message, now);
        let held = Duration::from_micros(u64::from(message.echo_held_us));
        let echoed = self
            .sent_heartbeats
            .iter()
            .find(|sent| sent.number == message.echo_number)
            .copied();
        let made_at = echoed.map(|sent| sent.sent_with_suspension + held);
        if let Some(made_at) = made_at {
            self.confirm_by_peer(&message, made_at);
        }
        let places = &self.shared.places;
        let Some(hash) = self.peers.hear(message, from, made_at, places, now) else {
            return;
        };
        let Some(peer) = self.peers.get(hash) else {
            return;
        };
        self.quotas.hear(hash, &peer.last, now);
        if let Some(sent) = echoed {
            let round_trip = now.since(sent.sent_at).saturating_sub(held);
            self.shared.learn_distance(peer.region, round_trip);
        }
    }

    fn learn_objects(&self, message: &FleetHeartbeat, now: MonotonicTime) {
        for heartbeat in &message.objects {
            self.shared
                .warm
                .record(heartbeat.object, heartbeat.upstream, now);
        }
    }

    fn learn_crashes(&mut self, message: &FleetHeartbeat, now: MonotonicTime) {
        for crash in &message.crashes {
            self.crashes
                .record_crash(crash.fingerprint, crash.upstream, now);
        }
        if !message.crashes.is_empty() {
            self.publish_crashes();
        }
    }

    /// Another instance with the same plan confirms it, as of the time at which it made the message. A message that waited
    /// in the socket while this process stood still is as old as that.
    fn confirm_by_peer(&self, message: &FleetHeartbeat, made_at: MonotonicTime) {
        let own_version = self.plan.as_ref().map(|plan| plan.version);
        if let Some(age_ms) = message.plan_age_ms
            && own_version == Some(message.plan_version)
        {
            let age = Duration::from_millis(u64::from(age_ms));
            self.shared.freshness.confirm(made_at - age);
        }
    }

    /// While every registered instance is heard and none of them reaches the store, it takes no withdrawal from anyone.
    pub(crate) fn confirm_by_silence(&self) {
        let now = self.shared.clock.now_with_suspension();
        let is_known = self.plan.is_some() && self.members.iter().next().is_some();
        if !is_known || self.reaches_store() {
            return;
        }
        let is_cut_off_too = |name: &str| {
            let hash = stable_hash(name.as_bytes());
            hash == self.shared.own_hash
                || self.peers.get(hash).is_some_and(|peer| {
                    let is_late = |made_at| now.since(made_at) >= HEARD_LATELY;
                    !peer.made_at.is_none_or(is_late) && !peer.last.reaches_store
                })
        };
        if self.members.iter().all(|(name, _)| is_cut_off_too(name)) {
            self.shared.freshness.confirm(now - HEARD_LATELY);
        }
    }

    /// Sends a message to every known instance.
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.shared.clock.now();
        self.heartbeat_number += 1;
        if self.sent_heartbeats.len() >= MEASURED_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back(SentHeartbeat {
            number: self.heartbeat_number,
            sent_at: now,
            sent_with_suspension: self.shared.clock.now_with_suspension(),
        });
        let mut message = self.heartbeat(now);
        let own = self.shared.settings.peer;
        let heard: Vec<(SocketAddr, u64, MonotonicTime)> = self
            .peers
            .live(now)
            .map(|(_, peer)| (peer.address, peer.last.number, peer.heard_at))
            .collect();
        let mut told: HashSet<SocketAddr> = HashSet::from([own]);
        for (address, number, heard_at) in heard {
            message.echo_number = number;
            let held_us = now.since(heard_at).as_micros();
            message.echo_held_us = u32::try_from(held_us).unwrap_or(u32::MAX);
            if told.insert(address) {
                send_heartbeat(&self.socket, &message, address);
            }
        }
        message.echo_number = 0;
        for address in self.members.addresses() {
            if told.insert(address) {
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
        let objects = std::iter::from_fn(|| shared.object_notes.pop());
        let crashes: Vec<_> = std::iter::from_fn(|| shared.crash_notes.pop()).collect();
        let revisions = shared.duty.revisions();
        let message = FleetHeartbeat {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            number: self.heartbeat_number,
            entry_address: shared.settings.entry.to_string(),
            domain: shared.settings.domain.clone(),
            is_open: shared.is_open(),
            is_leaving: shared.is_leaving(),
            plan_version: plan_version.unwrap_or_default(),
            plan_age_ms: plan_version.map(|_| age_ms),
            reaches_store: self.reaches_store(),
            store_steady_ms: u32::try_from(self.store_steady().as_millis()).unwrap_or(u32::MAX),
            upstreams_revision: revisions.upstreams,
            evacuations_revision: revisions.evacuations,
            instances_revision: revisions.instances,
            failing_kinds: shared.duty.failing_kinds(),
            loads: self.upstream_loads(),
            accounts,
            objects: objects
                .map(|note| ObjectPlacement {
                    object: note.object,
                    upstream: note.upstream,
                })
                .collect(),
            crashes: crashes
                .iter()
                .map(|note| CrashSighting {
                    fingerprint: note.fingerprint,
                    upstream: note.upstream,
                })
                .collect(),
            ..FleetHeartbeat::default()
        };
        for note in &crashes {
            self.crashes
                .record_crash(note.fingerprint, note.upstream, now);
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
            .filter(|heartbeat| heartbeat.in_flight > 0)
            .collect()
    }
}
