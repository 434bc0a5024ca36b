//! The loop of the control thread, which owns all decision state, handles events and publishes snapshots.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ConfigAge, EntryTableBuilder, GenerationTracker, LedgerSettings, LoanLedger, LoanPolicy,
    RetryRefill, SPEND_LEASE, SuspectList,
};
use coltsfootkeel_model::{ConfigVersion, FleetConfig};
use coltsfootkeel_platform::LoadedConfig;
use coltsfootkeel_protocol::HelloMessage;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::control_event::ControlEvent;
use crate::fleet_snapshot::InstanceLocation;
use crate::peer_client::{PeerEvent, maintain_connection};
use crate::peer_table::PeerTable;
use crate::platform_task::PlatformCaller;
use crate::seat_lifecycle::SeatLifecycle;
use crate::share_table::SeatLocation;
use crate::shared_state::SharedState;
use crate::snapshot_builder::SnapshotBuilder;

/// Interval between ticks, each of which refills the token buckets.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Ticks per period of the slower work, such as heartbeats, health evaluation and the look-up table.
const TICKS_PER_PERIOD: u64 = 100;

/// A gap between ticks of at least this length means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The maximum number of loan requests per second, renewals included.
const MAX_LOAN_REQUESTS_PER_S: u32 = 200;

/// A configuration version and the time of an event that concerns it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimedVersion {
    pub(crate) version: ConfigVersion,
    pub(crate) at: MonotonicTime,
}

/// The state of the control thread.
#[derive(Debug)]
pub struct ControlLoop {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) platform: PlatformCaller,
    pub(crate) builder: SnapshotBuilder,
    pub(crate) tracker: GenerationTracker,
    pub(crate) config_age: Option<ConfigAge>,
    pub(crate) peers: PeerTable,
    pub(crate) suspects: SuspectList,
    pub(crate) seat: SeatLifecycle,
    pub(crate) config: Option<Arc<FleetConfig>>,
    pub(crate) loaded_config: Option<Arc<LoadedConfig>>,
    pub(crate) location: Option<InstanceLocation>,
    pub(crate) listed_instances: Vec<String>,
    /// The seats of the configuration that was in force before the current one.
    pub(crate) previous_seats: Vec<SeatLocation>,
    pub(crate) entry_table_builder: EntryTableBuilder,
    retry_refill: RetryRefill,
    /// The version being fetched and the start of the fetch.
    pub(crate) pending_fetch: Option<TimedVersion>,
    /// The version in the last manifest of the platform and the time of the request for that manifest.
    pub(crate) platform_version: Option<TimedVersion>,
    last_tick: MonotonicTime,
    ticks: u64,
    dialed: HashMap<SocketAddr, CancellationToken>,
    peer_addresses: HashSet<SocketAddr>,
    hello: HelloMessage,
    peer_events: mpsc::UnboundedSender<PeerEvent>,
    stop: CancellationToken,
}

impl ControlLoop {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, hello: HelloMessage, stop: CancellationToken) -> Self {
        let now = shared.clock.now();
        let settings = LedgerSettings {
            policy: LoanPolicy::AHEAD_OF_DEMAND,
            requests_per_s: MAX_LOAN_REQUESTS_PER_S,
            longest_deadline: Duration::ZERO,
        };
        let (peer_events, events) = mpsc::unbounded_channel();
        tokio::spawn(forward_peer_events(Arc::clone(&shared), events));
        let neighbours = shared.settings.peer.neighbours.iter().copied();
        Self {
            platform: PlatformCaller::new(Arc::clone(&shared)),
            builder: SnapshotBuilder::new(LoanLedger::new(settings, now)),
            tracker: GenerationTracker::new(now),
            config_age: None,
            peers: PeerTable::default(),
            suspects: SuspectList::new(),
            seat: SeatLifecycle::new(),
            config: None,
            loaded_config: None,
            location: None,
            listed_instances: Vec::new(),
            previous_seats: Vec::new(),
            entry_table_builder: EntryTableBuilder::new(),
            retry_refill: RetryRefill::new(now),
            pending_fetch: None,
            platform_version: None,
            last_tick: now,
            ticks: 0,
            dialed: HashMap::new(),
            peer_addresses: neighbours.collect(),
            hello,
            peer_events,
            stop,
            shared,
        }
    }

    /// Handles events and ticks until `stop` is cancelled.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<ControlEvent>) {
        tokio::spawn(self.platform.clone().watch_manifest(self.stop.clone()));
        tokio::spawn(self.platform.clone().poll_instances(self.stop.clone()));
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                _ = ticks.tick() => self.tick(),
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.detect_pause(now);
        self.last_tick = now;
        self.tick_seat(now);
        let output = self.builder.ledger.tick(now);
        self.shared.spend_lease.renew(now, SPEND_LEASE);
        self.send_loans(output);
        self.builder.links.refill(now);
        self.retry_refill.refill(now, &self.shared.retry_budget);
        self.wake_waiters(now);
        if self.ticks.is_multiple_of(TICKS_PER_PERIOD) {
            self.run_periodic_work(now);
        }
        self.ticks += 1;
    }

    /// Detects a pause of the process. Heartbeats received before a pause are no evidence of the present state of the
    /// peers, so [`ConfigAge`] discards them.
    fn detect_pause(&mut self, now: MonotonicTime) {
        let gap = now.since(self.last_tick);
        if gap < PAUSE_THRESHOLD {
            return;
        }
        log::warn!("seat: The process was paused for {} ms.", gap.as_millis());
        if let Some(age) = &mut self.config_age {
            age.note_pause(now);
        }
    }

    fn run_periodic_work(&mut self, now: MonotonicTime) {
        self.dial_peers();
        self.evaluate_upstreams(now);
        self.probe_upstreams();
        self.publish_staleness(now);
        self.send_heartbeats(now);
        self.start_seat_search();
        self.update_lenders(now);
        self.advance_shares(now);
        self.publish_entries(now);
        self.publish_replay_ownership(now);
        if self.suspects.expire(now) {
            self.publish_suspects();
        }
        self.shared.replays.sweep(now);
        let generation = self
            .tracker
            .in_force()
            .map_or(0, |version| version.generation.0);
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        self.shared.metrics.send(generation, in_flight);
    }

    /// Returns the number of periods since the process started.
    pub(crate) fn elapsed_periods(&self) -> u64 {
        self.ticks / TICKS_PER_PERIOD
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = self.shared.clock.now();
        match event {
            ControlEvent::Peer(event) => self.handle_peer_event(event, now),
            ControlEvent::Message {
                sender,
                body,
                reply,
            } => {
                // The connection of the peer may have ended in the meantime.
                let _ = reply.send(self.handle_message(&sender, body, now));
            }
            ControlEvent::LoanGranted { lender, grant } => self.handle_grant(lender, &grant, now),
            ControlEvent::Manifest {
                requested_at,
                stored,
            } => {
                self.handle_manifest(requested_at, stored.map(|stored| *stored), now);
            }
            ControlEvent::PlatformFailed => {
                if let Some(age) = &mut self.config_age {
                    age.note_reached(false);
                }
            }
            ControlEvent::Document(document) => self.handle_document(*document, now),
            ControlEvent::FetchFailed(version) => {
                if self
                    .pending_fetch
                    .is_some_and(|pending_fetch| pending_fetch.version == version)
                {
                    self.pending_fetch = None;
                }
            }
            ControlEvent::Instances(instances) => {
                self.peer_addresses
                    .extend(crate::platform_task::listed_addresses(&instances));
                self.listed_instances = instances
                    .into_iter()
                    .map(|instance| instance.name)
                    .collect();
            }
            ControlEvent::Seat(event) => self.handle_seat_event(event, now),
            ControlEvent::Crash { report, published } => {
                self.handle_crash(&report, now);
                let _ = published.send(());
            }
            ControlEvent::SuspectSucceeded(fingerprint) => self.handle_suspect_success(fingerprint),
            ControlEvent::UpstreamDraining(upstream) => self.broadcast_drain(&upstream, true),
            ControlEvent::Probe {
                upstream,
                result,
                load,
            } => {
                self.record_domain_probe(&upstream, result, now);
                self.builder
                    .health_evaluator
                    .record_probe(&upstream, result, now);
                if let Some(load) = load {
                    self.builder
                        .health_evaluator
                        .record_load_report(&upstream, load, now);
                }
            }
            ControlEvent::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            ControlEvent::Admin(query) => self.answer_admin_query(query, now),
            ControlEvent::Leave => {
                self.send_heartbeats(now);
                self.publish_entries(now);
            }
            ControlEvent::Release(done) => self.release_seat(done, now),
        }
    }

    fn handle_peer_event(&mut self, event: PeerEvent, now: MonotonicTime) {
        match event {
            PeerEvent::Connected(peer) => {
                log::info!(
                    "peers: Connected to {} in {}.",
                    peer.instance,
                    peer.failure_domain
                );
                self.shared.peers.insert(&peer);
                self.peers.connect(peer);
                self.send_heartbeats(now);
            }
            PeerEvent::Disconnected {
                instance,
                incarnation,
            } => {
                log::info!("peers: Lost the connection to {instance}.");
                self.shared.peers.remove(&instance, incarnation);
                self.peers.disconnect(&instance, incarnation);
            }
        }
    }

    fn dial_peers(&mut self) {
        let own = self.shared.settings.peer.advertise;
        for address in &self.peer_addresses {
            if *address == own || self.dialed.contains_key(address) {
                continue;
            }
            let stop = self.stop.child_token();
            self.dialed.insert(*address, stop.clone());
            let hello = self.hello.clone();
            tokio::spawn(maintain_connection(
                *address,
                hello,
                self.peer_events.clone(),
                stop,
            ));
        }
    }

    /// Adds addresses of peers from the heartbeat of another instance. Malformed addresses are skipped.
    pub(crate) fn add_peer_addresses(&mut self, addresses: &[String]) {
        let parsed = addresses
            .iter()
            .filter_map(|address| address.parse::<SocketAddr>().ok());
        self.peer_addresses.extend(parsed);
    }
}

async fn forward_peer_events(
    shared: Arc<SharedState>,
    mut events: mpsc::UnboundedReceiver<PeerEvent>,
) {
    while let Some(event) = events.recv().await {
        shared.send_event(ControlEvent::Peer(event));
    }
}
