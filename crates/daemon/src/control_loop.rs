//! The control thread: owns all decision state, handles events and publishes snapshots.

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
use crate::fleet_snapshot::HomePlace;
use crate::peer_client::{PeerEvent, run_peer};
use crate::peer_table::PeerTable;
use crate::platform_task::PlatformCaller;
use crate::seat_keeper::SeatKeeper;
use crate::share_book::SeatPlace;
use crate::shared_state::SharedState;
use crate::snapshot_builder::SnapshotBuilder;

/// Time between two ticks, at which buckets are refilled.
const TICK: Duration = Duration::from_millis(10);

/// Ticks between two rounds of the slower work: heartbeats, health, look-up table.
const TICKS_PER_ROUND: u64 = 100;

/// A tick that comes this much late means that the process was paused.
const LONGEST_GAP: Duration = Duration::from_secs(1);

/// The most asks for loans a second.
const ASKS_PER_S: u32 = 200;

/// A version of the configuration and a time that belongs to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VersionSighting {
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
    pub(crate) age: Option<ConfigAge>,
    pub(crate) peers: PeerTable,
    pub(crate) suspects: SuspectList,
    pub(crate) seat: SeatKeeper,
    pub(crate) config: Option<Arc<FleetConfig>>,
    pub(crate) loaded: Option<Arc<LoadedConfig>>,
    pub(crate) home: Option<HomePlace>,
    pub(crate) listed: Vec<String>,
    /// The seats of the configuration before.
    pub(crate) former_seats: Vec<SeatPlace>,
    pub(crate) entry_book: EntryTableBuilder,
    retry_refill: RetryRefill,
    /// The version being fetched, and since when.
    pub(crate) fetching: Option<VersionSighting>,
    /// The version that the platform last named, and when it was asked.
    pub(crate) platform_version: Option<VersionSighting>,
    last_tick: MonotonicTime,
    ticks: u64,
    dialed: HashMap<SocketAddr, CancellationToken>,
    addresses: HashSet<SocketAddr>,
    hello: HelloMessage,
    peer_events: mpsc::UnboundedSender<PeerEvent>,
    stop: CancellationToken,
}

impl ControlLoop {
    /// Makes the state of a process that has just started.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, hello: HelloMessage, stop: CancellationToken) -> Self {
        let now = shared.clock.now();
        let settings = LedgerSettings {
            policy: LoanPolicy::AHEAD_OF_DEMAND,
            requests_per_s: ASKS_PER_S,
            longest_deadline: Duration::ZERO,
        };
        let (peer_events, events) = mpsc::unbounded_channel();
        tokio::spawn(forward_peer_events(Arc::clone(&shared), events));
        let neighbours = shared.settings.peer.neighbours.iter().copied();
        Self {
            platform: PlatformCaller::new(Arc::clone(&shared)),
            builder: SnapshotBuilder::new(LoanLedger::new(settings, now)),
            tracker: GenerationTracker::new(now),
            age: None,
            peers: PeerTable::default(),
            suspects: SuspectList::new(),
            seat: SeatKeeper::new(),
            config: None,
            loaded: None,
            home: None,
            listed: Vec::new(),
            former_seats: Vec::new(),
            entry_book: EntryTableBuilder::new(),
            retry_refill: RetryRefill::new(now),
            fetching: None,
            platform_version: None,
            last_tick: now,
            ticks: 0,
            dialed: HashMap::new(),
            addresses: neighbours.collect(),
            hello,
            peer_events,
            stop,
            shared,
        }
    }

    /// Handles events and ticks until the process stops.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<ControlEvent>) {
        tokio::spawn(self.platform.clone().watch_manifest(self.stop.clone()));
        tokio::spawn(self.platform.clone().watch_instances(self.stop.clone()));
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                _ = ticks.tick() => self.tick(),
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.check_gap(now);
        self.last_tick = now;
        self.tick_seat(now);
        let output = self.builder.ledger.tick(now);
        self.shared.lease.renew(now, SPEND_LEASE);
        self.send_loans(output);
        self.builder.links.refill(now);
        self.retry_refill.refill(now, &self.shared.retries);
        self.wake_waiters(now);
        if self.ticks.is_multiple_of(TICKS_PER_ROUND) {
            self.round(now);
        }
        self.ticks += 1;
    }

    /// Heartbeats from before a pause of the process tell nothing about the present.
    fn check_gap(&mut self, now: MonotonicTime) {
        let gap = now.since(self.last_tick);
        if gap < LONGEST_GAP {
            return;
        }
        log::warn!("seat: The process was paused for {} ms.", gap.as_millis());
        if let Some(age) = &mut self.age {
            age.note_pause(now);
        }
    }

    fn round(&mut self, now: MonotonicTime) {
        self.dial_peers();
        self.judge_upstreams(now);
        self.probe_upstreams();
        self.publish_age(now);
        self.send_heartbeats(now);
        self.seek_seat();
        self.set_lenders(now);
        self.advance_shares(now);
        self.publish_entries(now);
        self.publish_replay_place(now);
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

    /// Returns the number of rounds since the process started.
    pub(crate) fn rounds(&self) -> u64 {
        self.ticks / TICKS_PER_ROUND
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.shared.clock.now();
        match event {
            ControlEvent::Peer(event) => self.handle_peer(event, now),
            ControlEvent::Message {
                sender,
                body,
                reply,
            } => {
                // The peer may have gone meanwhile.
                let _ = reply.send(self.handle_message(&sender, body, now));
            }
            ControlEvent::Granted { lender, grant } => self.handle_grant(lender, &grant, now),
            ControlEvent::Manifest { asked, stored } => {
                self.handle_manifest(asked, stored.map(|stored| *stored), now);
            }
            ControlEvent::PlatformFailed => {
                if let Some(age) = &mut self.age {
                    age.note_reached(false);
                }
            }
            ControlEvent::Document(document) => self.handle_document(*document, now),
            ControlEvent::FetchFailed(version) => {
                if self
                    .fetching
                    .is_some_and(|fetching| fetching.version == version)
                {
                    self.fetching = None;
                }
            }
            ControlEvent::Instances(instances) => {
                self.addresses
                    .extend(crate::platform_task::listed_addresses(&instances));
                self.listed = instances
                    .into_iter()
                    .map(|instance| instance.name)
                    .collect();
            }
            ControlEvent::Seat(news) => self.handle_seat(news, now),
            ControlEvent::Crash { report, published } => {
                self.handle_crash(&report, now);
                let _ = published.send(());
            }
            ControlEvent::Success(fingerprint) => self.handle_success(fingerprint),
            ControlEvent::UpstreamDraining(upstream) => self.tell_draining(&upstream, true),
            ControlEvent::Probe {
                upstream,
                result,
                load,
            } => {
                self.note_domain_probe(&upstream, result, now);
                self.builder.judge.record_probe(&upstream, result, now);
                if let Some(load) = load {
                    self.builder.judge.record_load_report(&upstream, load, now);
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

    fn handle_peer(&mut self, event: PeerEvent, now: MonotonicTime) {
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
        for address in &self.addresses {
            if *address == own || self.dialed.contains_key(address) {
                continue;
            }
            let stop = self.stop.child_token();
            self.dialed.insert(*address, stop.clone());
            let hello = self.hello.clone();
            tokio::spawn(run_peer(*address, hello, self.peer_events.clone(), stop));
        }
    }

    /// Adds addresses of peers that another daemon knows.
    pub(crate) fn learn_addresses(&mut self, texts: &[String]) {
        let parsed = texts
            .iter()
            .filter_map(|text| text.parse::<SocketAddr>().ok());
        self.addresses.extend(parsed);
    }
}

async fn forward_peer_events(
    shared: Arc<SharedState>,
    mut events: mpsc::UnboundedReceiver<PeerEvent>,
) {
    while let Some(event) = events.recv().await {
        shared.report(ControlEvent::Peer(event));
    }
}
