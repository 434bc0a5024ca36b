//! Builds the heartbeats of this instance and sends them to the instances that [`HeartbeatPeriods`] and
//! [`select_relays`] name.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{
    CrashSuspect, FleetHeartbeat, HeartbeatStep, KnownSuspect, ListChanges, ObjectPlacement,
    SuspectStep, UpstreamLoad,
};
use coltsfootkeel_steering::{HeartbeatPeer, HeartbeatPeriods, select_relays, short_hash};

use crate::account_quotas::{ReportScope, ReportTurn};
use crate::capacity_reports::capacity_report;
use crate::control_loop::ControlLoop;
use crate::heartbeat_socket::send_heartbeat;
use crate::load_exchange::PendingLoads;

/// The number of sent heartbeats that are kept to measure round trips.
const MAX_TRACKED_HEARTBEATS: usize = 128;
/// The largest number of placements that are kept for the next heartbeat to the other failure domains.
const MAX_FAR_PLACEMENTS: usize = 2_048;
/// An account is reported in one of this many heartbeats also without a change.
const FULL_REPORT_TURNS: u64 = 4;
/// The same for heartbeats to the own failure domain that are more frequent than those to the others.
const NEAR_FULL_REPORT_TURNS: u64 = 12;

/// A heartbeat that was sent, kept until other instances echo its number.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentHeartbeat {
    pub(crate) number: u64,
    pub(crate) sent_at: MonotonicTime,
    pub(crate) sent_at_with_suspension: MonotonicTime,
}

/// What the next heartbeats to the other failure domains and to the own one have to carry.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    far_objects: Vec<ObjectPlacement>,
    far_crashes: Vec<CrashSuspect>,
    far_sent_at: MonotonicTime,
    far_turn: u64,
    near_turn: u64,
    /// Changes of lists for the next heartbeat of each scope.
    pub(crate) near_changes: Vec<ListChanges>,
    pub(crate) far_changes: Vec<ListChanges>,
    /// Load reports for the next heartbeat of each scope.
    pub(crate) near_loads: PendingLoads,
    pub(crate) far_loads: PendingLoads,
    /// Heartbeats of other failure domains that this instance passes on to its own.
    pub(crate) relayed: Vec<FleetHeartbeat>,
}

impl PendingReports {
    /// Makes the heartbeat to the other failure domains due with the next one to the own domain.
    pub(crate) fn hurry(&mut self) {
        self.far_sent_at = MonotonicTime::default();
    }
}

/// An instance to which a heartbeat can be sent.
#[derive(Debug, Clone, Copy)]
struct Recipient {
    peer: HeartbeatPeer,
    address: SocketAddr,
    /// The number of its latest heartbeat and when it was received; `None` if it is not live.
    latest: Option<(u64, MonotonicTime)>,
}

impl ControlLoop {
    /// Returns the times between two heartbeats in the current fleet.
    pub(crate) fn heartbeat_periods(&self) -> HeartbeatPeriods {
        let now = self.shared.clock.now();
        let own_domain = self.shared.home.domain;
        let (instances, near) =
            self.peers
                .live(now)
                .fold((1, 1), |(instances, near), (_, peer)| {
                    (instances + 1, near + usize::from(peer.domain == own_domain))
                });
        HeartbeatPeriods::new(instances, near)
    }

    /// Sends a heartbeat to the instances of the own failure domain, and one to each other domain if it is due. Load
    /// pattern: see [`select_relays`].
    pub(crate) fn send_heartbeats(&mut self) {
        let now = self.shared.clock.now();
        let periods = self.heartbeat_periods();
        let recipients = self.recipients(now);
        let own_domain = self.shared.home.domain;
        let is_near =
            |recipient: &&Recipient| periods.is_full_mesh || recipient.peer.domain == own_domain;
        self.send_near(recipients.iter().filter(is_near), periods, now);
        let is_due = now.since(self.pending.far_sent_at) >= periods.far;
        if !periods.is_full_mesh && is_due {
            self.send_far(&recipients, now);
        }
    }

    /// Returns the live and the registered instances.
    fn recipients(&self, now: MonotonicTime) -> Vec<Recipient> {
        let live = self.peers.live(now).map(|(hash, peer)| Recipient {
            peer: HeartbeatPeer {
                hash,
                domain: peer.domain,
            },
            address: peer.address,
            latest: Some((peer.heartbeat.number, peer.received_at)),
        });
        let mut by_address: HashMap<SocketAddr, Recipient> = live
            .map(|recipient| (recipient.address, recipient))
            .collect();
        for (_, member) in self.members.iter() {
            let address = member.record.peer;
            if let Some(domain) = self.shared.topology.domain(&member.record.domain) {
                by_address.entry(address).or_insert(Recipient {
                    peer: HeartbeatPeer {
                        hash: member.hash,
                        domain,
                    },
                    address,
                    latest: None,
                });
            }
        }
        by_address.remove(&self.shared.settings.peer);
        by_address.into_values().collect()
    }

    fn send_near<'a>(
        &mut self,
        recipients: impl Iterator<Item = &'a Recipient>,
        periods: HeartbeatPeriods,
        now: MonotonicTime,
    ) {
        self.pending.near_turn += 1;
        let full_report_turns = if periods.is_full_mesh {
            FULL_REPORT_TURNS
        } else {
            NEAR_FULL_REPORT_TURNS
        };
        let turn = ReportTurn {
            scope: ReportScope::Near,
            number: self.pending.near_turn,
            full_report_turns,
        };
        let mut message = self.heartbeat(turn, now);
        message.objects = self.drain_placements();
        message.crashes = self.drain_crashes(now);
        message.reported_crashes = self.reported_crashes;
        if periods.is_full_mesh {
            self.pending.far_changes.clear();
        } else {
            let free = MAX_FAR_PLACEMENTS.saturating_sub(self.pending.far_objects.len());
            let kept = message.objects.iter().take(free);
            self.pending.far_objects.extend(kept.cloned());
            self.pending
                .far_crashes
                .extend(message.crashes.iter().cloned());
        }
        message.changes = std::mem::take(&mut self.pending.near_changes);
        message.relayed = std::mem::take(&mut self.pending.relayed);
        self.collect_loads(periods.is_full_mesh);
        message.load_reports = self.pending.near_loads.take(now);
        for recipient in recipients {
            (message.echo_number, message.echo_held_us) =
                recipient.latest.map_or((0, 0), |(number, received_at)| {
                    (number, held_us(received_at, now))
                });
            send_heartbeat(&self.socket, &message, recipient.address);
        }
    }

    fn send_far(&mut self, recipients: &[Recipient], now: MonotonicTime) {
        self.pending.far_sent_at = now;
        self.pending.far_turn += 1;
        let turn = ReportTurn {
            scope: ReportScope::Far,
            number: self.pending.far_turn,
            full_report_turns: FULL_REPORT_TURNS,
        };
        let mut message = self.heartbeat(turn, now);
        message.objects = std::mem::take(&mut self.pending.far_objects);
        message.crashes = std::mem::take(&mut self.pending.far_crashes);
        message.changes = std::mem::take(&mut self.pending.far_changes);
        message.load_reports = self.pending.far_loads.take(now);
        message.step = HeartbeatStep::Relay.into();
        let own = HeartbeatPeer {
            hash: self.shared.own_hash,
            domain: self.shared.home.domain,
        };
        let live: Vec<HeartbeatPeer> = recipients
            .iter()
            .filter(|recipient| recipient.latest.is_some())
            .map(|recipient| recipient.peer)
            .collect();
        // Registered instances that are not live pass heartbeats on only where no live one is known, as after a start.
        let is_candidate = |recipient: &&Recipient| {
            let domain = recipient.peer.domain;
            recipient.latest.is_some() || !live.iter().any(|peer| peer.domain == domain)
        };
        let candidates: Vec<HeartbeatPeer> = recipients
            .iter()
            .filter(is_candidate)
            .map(|recipient| recipient.peer)
            .collect();
        let relays = select_relays(own, &candidates, turn.number);
        for recipient in recipients {
            if relays.contains(&recipient.peer.hash) {
                send_heartbeat(&self.socket, &message, recipient.address);
            }
        }
    }

    /// Sends the next step of an exchange with an instance of another failure domain. The message echoes its heartbeat or
    /// reply `echo_number`, and has the fields that confirm plans and outages.
    pub(crate) fn send_step(&mut self, step: HeartbeatStep, echo_number: u64, to: SocketAddr) {
        let now = self.shared.clock.now();
        let mut message = self.exchange_fields(now);
        message.step = step.into();
        message.echo_number = echo_number;
        send_heartbeat(&self.socket, &message, to);
    }

    /// Sends a question for the requests that crash upstreams, or the answer to one.
    pub(crate) fn send_suspect_step(
        &mut self,
        suspects: Vec<KnownSuspect>,
        step: SuspectStep,
        to: SocketAddr,
    ) {
        let mut message = self.exchange_fields(self.shared.clock.now());
        message.step = HeartbeatStep::Acknowledgement.into();
        message.suspects = suspects;
        message.suspect_step = step.into();
        send_heartbeat(&self.socket, &message, to);
    }

    /// Returns a message with a new number and the fields that are part of every message.
    fn exchange_fields(&mut self, now: MonotonicTime) -> FleetHeartbeat {
        self.heartbeat_number += 1;
        if self.sent_heartbeats.len() >= MAX_TRACKED_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back(SentHeartbeat {
            number: self.heartbeat_number,
            sent_at: now,
            sent_at_with_suspension: self.shared.clock.now_with_suspension(),
        });
        let shared = &self.shared;
        let plan_age = shared.freshness.age(shared.clock.now_with_suspension());
        let plan_version = self.plan.as_ref().map(|plan| plan.version);
        let age_ms = u32::try_from(plan_age.as_millis()).unwrap_or(u32::MAX);
        FleetHeartbeat {
            instance: shared.settings.instance.clone(),
            incarnation: shared.incarnation,
            number: self.heartbeat_number,
            domain: shared.settings.domain.clone(),
            plan_version: plan_version.unwrap_or_default(),
            plan_age_ms: plan_version.map(|_| age_ms),
            reaches_store: self.may_reach_store(),
            outages: self.recent_outages(),
            reported_crashes: self.reported_crashes,
            ..FleetHeartbeat::default()
        }
    }

    fn heartbeat(&mut self, turn: ReportTurn, now: MonotonicTime) -> FleetHeartbeat {
        let accounts = self.quotas.usages(turn);
        let fields = self.exchange_fields(now);
        let shared = &self.shared;
        let newest = shared.reader_role.newest();
        let era_age_ms = self.store_era.age_ms(shared.clock.now_with_suspension());
        let steady_ms = self.store_reading_time().as_millis();
        FleetHeartbeat {
            entry_address: shared.settings.entry.to_string(),
            is_open: shared.is_accepting(),
            is_leaving: shared.is_stopping(),
            suspect_step: self.suspect_question().into(),
            store_steady_ms: u32::try_from(steady_ms).unwrap_or(u32::MAX),
            store_era: shared.reader_role.era(),
            store_era_age_ms: era_age_ms,
            upstreams_revision: newest.upstreams.revision,
            evacuations_revision: newest.evacuations.revision,
            instances_revision: newest.instances.revision,
            failing_kinds: shared.reader_role.failing_kinds(),
            loads: self.upstream_loads(),
            limits: self.stated_limits(now),
            queues: self.pool_queues(now),
            demands: self.demand_reports(),
            capacity: capacity_report(&shared.own_room()),
            accounts,
            ..fields
        }
    }

    fn drain_placements(&self) -> Vec<ObjectPlacement> {
        let reports = std::iter::from_fn(|| self.shared.placement_reports.pop());
        reports
            .map(|report| ObjectPlacement {
                object: report.object,
                upstream: report.upstream,
            })
            .collect()
    }

    fn drain_crashes(&mut self, now: MonotonicTime) -> Vec<CrashSuspect> {
        let reports = std::iter::from_fn(|| self.shared.crash_reports.pop());
        let crashes: Vec<CrashSuspect> = reports
            .map(|report| CrashSuspect {
                fingerprint: report.fingerprint,
                upstream: report.upstream,
            })
            .collect();
        for crash in &crashes {
            self.crash_table
                .record_crash(crash.fingerprint, crash.upstream, now);
        }
        if !crashes.is_empty() {
            self.publish_crashes();
        }
        let count = u32::try_from(crashes.len()).unwrap_or(u32::MAX);
        self.reported_crashes = self.reported_crashes.saturating_add(count);
        crashes
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

/// Returns the microseconds since a heartbeat was received.
fn held_us(received_at: MonotonicTime, now: MonotonicTime) -> u32 {
    let held: Duration = now.since(received_at);
    u32::try_from(held.as_micros()).unwrap_or(u32::MAX)
}
