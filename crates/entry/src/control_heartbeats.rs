//! Applies the heartbeats of the other instances.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{FleetHeartbeat, HeartbeatStep};
use coltsfootkeel_steering::{ReportCount, stable_hash};
use prost::Message;

use crate::control_loop::ControlLoop;

/// The most bytes of heartbeats that wait to be passed on. With the state of this instance and the changes that it has
/// watched, they still fit a datagram. What is dropped comes again with the next heartbeat of its sender.
const MAX_RELAYED_BYTES: usize = 24 * 1024;

impl ControlLoop {
    /// Applies a message of another instance.
    pub(crate) fn apply_heartbeat(&mut self, mut message: FleetHeartbeat, from: SocketAddr) {
        if message.instance == self.shared.settings.instance {
            return;
        }
        let step = message.step();
        let relayed = std::mem::take(&mut message.relayed);
        let earliest_sent_at = self.apply_echo(&message);
        self.exchange_suspects(&message, from);
        match step {
            HeartbeatStep::Reply => {
                self.send_step(HeartbeatStep::Acknowledgement, message.number, from);
            }
            HeartbeatStep::Acknowledgement => {}
            HeartbeatStep::Relay => {
                self.send_step(HeartbeatStep::Reply, message.number, from);
                self.keep_to_relay(&message);
                self.apply_state(message, from, earliest_sent_at);
            }
            HeartbeatStep::Regular => self.apply_state(message, from, earliest_sent_at),
        }
        for message in relayed {
            self.apply_relayed(message);
        }
    }

    /// Measures the round trip of the heartbeat that the message echoes, and applies what the message confirms. Returns
    /// the earliest time at which the message can have been sent, on the clock that includes suspension: a message that
    /// stayed in the socket buffer while this process was suspended is as old as the suspension.
    fn apply_echo(&mut self, message: &FleetHeartbeat) -> Option<MonotonicTime> {
        let now = self.shared.clock.now();
        let echo_hold = Duration::from_micros(u64::from(message.echo_held_us));
        let mut sent = self.sent_heartbeats.iter();
        let echoed = *sent.find(|sent| sent.number == message.echo_number)?;
        let earliest_sent_at = echoed.sent_at_with_suspension + echo_hold;
        self.confirm_by_peer(message, earliest_sent_at);
        self.record_outages(message, earliest_sent_at);
        let topology = &self.shared.topology;
        if let Some(domain) = topology.domain(&message.domain) {
            let round_trip = now.since(echoed.sent_at).saturating_sub(echo_hold);
            let region = topology.domains[domain].region;
            self.shared.record_round_trip(region, round_trip);
        }
        Some(earliest_sent_at)
    }

    fn keep_to_relay(&mut self, message: &FleetHeartbeat) {
        let waiting_bytes: usize = self.pending.relayed.iter().map(Message::encoded_len).sum();
        if waiting_bytes + message.encoded_len() <= MAX_RELAYED_BYTES {
            let relayed = FleetHeartbeat {
                step: HeartbeatStep::Regular.into(),
                ..message.clone()
            };
            self.pending.relayed.push(relayed);
        }
    }

    /// Applies a heartbeat that an instance of the own failure domain has passed on.
    fn apply_relayed(&mut self, message: FleetHeartbeat) {
        let hash = stable_hash(message.instance.as_bytes());
        let known = self.peers.get(hash).map(|peer| peer.address);
        let registered = self.members.get(&message.instance);
        let address = registered.map(|member| member.record.peer).or(known);
        if let Some(address) = address
            && message.instance != self.shared.settings.instance
        {
            self.apply_state(message, address, None);
        }
    }

    /// Applies the state in a regular heartbeat.
    fn apply_state(
        &mut self,
        mut message: FleetHeartbeat,
        address: SocketAddr,
        earliest_sent_at: Option<MonotonicTime>,
    ) {
        let now = self.shared.clock.now();
        self.observe_peer_era(&message);
        for changes in std::mem::take(&mut message.changes) {
            self.apply_peer_changes(changes);
        }
        self.record_plan_version(message.plan_version);
        self.record_placements(&message, now);
        self.record_peer_loads(&message, now);
        self.record_crashes(&message, now);
        let topology = &self.shared.topology;
        let recorded =
            self.peers
                .record_heartbeat(message, address, earliest_sent_at, topology, now);
        if let Some(hash) = recorded
            && let Some(peer) = self.peers.get(hash)
        {
            self.quotas.record_heartbeat(hash, &peer.heartbeat, now);
            self.record_limits(hash, now);
        }
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
        let reports = ReportCount {
            incarnation: message.incarnation,
            stated: message.reported_crashes,
            carried: u32::try_from(message.crashes.len()).unwrap_or(u32::MAX),
        };
        let peer = stable_hash(message.instance.as_bytes());
        self.crash_reports.record(peer, reports, now);
    }

    /// Confirms the plan if another instance has the same one, as of the time at which that instance sent the message.
    fn confirm_by_peer(&self, message: &FleetHeartbeat, earliest_sent_at: MonotonicTime) {
        let own_version = self.plan.as_ref().map(|plan| plan.version);
        if let Some(age_ms) = message.plan_age_ms
            && own_version == Some(message.plan_version)
        {
            let age = Duration::from_millis(u64::from(age_ms));
            self.shared.freshness.confirm(earliest_sent_at - age);
        }
    }
}
