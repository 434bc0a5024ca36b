//! The control thread: owns all decision state, handles events and publishes snapshots.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ConfigAge, ConfigSource, DocumentOutcome, EntryBook, EntryInstance, GenerationTracker,
    LOAN_LIFE, LedgerSettings, LoanLedger, LoanPolicy, OfferVerdict, RetryRefill, SEAT_LEASE,
    SPEND_LEASE, SeatEvidence, SeatRoster, SuspectList, with_drift_margin,
};
use coltsfootkeel_model::{ConfigVersion, DomainKey, FleetConfig};
use coltsfootkeel_platform::{LoadedConfig, StoredManifest};
use coltsfootkeel_protocol::HelloMessage;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::config_pull::pull_config;
use crate::control_event::{ControlEvent, FetchedDocument};
use crate::fleet_snapshot::HomePlace;
use crate::peer_client::{PeerEvent, run_peer};
use crate::peer_table::{PeerTable, domain_named};
use crate::platform_task::{PlatformCaller, version_of};
use crate::seat_keeper::SeatKeeper;
use crate::share_book::{SeatPlace, seat_places};
use crate::shared_state::{ReplayPlace, SharedState};
use crate::snapshot_builder::SnapshotBuilder;
use crate::upstream_probe::{ProbeTarget, probe_upstream};

/// Time between two ticks, at which buckets are refilled.
const TICK: Duration = Duration::from_millis(10);

/// Ticks between two rounds of the slower work: heartbeats, health, look-up table.
const TICKS_PER_ROUND: u64 = 100;

/// A tick that comes this much late means that the process was paused.
const LONGEST_GAP: Duration = Duration::from_secs(1);

/// A fetch that has not ended after this time is started again.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The most asks for loans a second.
const ASKS_PER_S: u32 = 200;

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
    former_seats: Vec<SeatPlace>,
    entry_book: EntryBook,
    retry_refill: RetryRefill,
    fetching: Option<(ConfigVersion, MonotonicTime)>,
    platform_version: Option<(ConfigVersion, MonotonicTime)>,
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
            asks_per_s: ASKS_PER_S,
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
            entry_book: EntryBook::new(),
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
        self.builder.wake_waiters(now);
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
                    .is_some_and(|(fetching, _)| fetching == version)
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
                self.builder.judge.note_probe(&upstream, result, now);
                if let Some(load) = load {
                    self.builder.judge.note_report(&upstream, load, now);
                }
            }
            ControlEvent::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            ControlEvent::Admin(question) => self.answer_admin(question, now),
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

    fn handle_manifest(
        &mut self,
        asked: MonotonicTime,
        stored: Option<StoredManifest>,
        now: MonotonicTime,
    ) {
        if let Some(age) = &mut self.age {
            age.note_reached(true);
        }
        let Some(stored) = stored else {
            if let (Some(_), Some(loaded)) = (self.tracker.offer_empty_platform(), &self.loaded) {
                tokio::spawn(self.platform.clone().restore(Arc::clone(loaded), None));
            }
            return;
        };
        let version = version_of(&stored.manifest);
        self.platform_version = Some((version, asked));
        let verdict = self.tracker.offer(ConfigSource::Platform, version, now);
        if let Some(age) = &mut self.age
            && verdict.confirms_ours()
        {
            age.note_confirmed(asked);
        }
        match verdict {
            OfferVerdict::Fetch if self.start_fetch(version, now) => {
                tokio::spawn(self.platform.clone().fetch_document(stored.manifest));
            }
            OfferVerdict::OverwriteStale => {
                if let Some(loaded) = &self.loaded {
                    tokio::spawn(
                        self.platform
                            .clone()
                            .restore(Arc::clone(loaded), Some(stored)),
                    );
                }
            }
            _ => {}
        }
    }

    /// Considers a version that a peer runs.
    pub(crate) fn consider_peer_version(
        &mut self,
        instance: &str,
        version: ConfigVersion,
        now: MonotonicTime,
    ) {
        let verdict = self.tracker.offer(ConfigSource::Peer, version, now);
        let Some(record) = self.peers.find(instance) else {
            return;
        };
        let handle = record.peer.handle.clone();
        if verdict == OfferVerdict::Fetch && self.start_fetch(version, now) {
            tokio::spawn(pull_config(Arc::clone(&self.shared), handle, version));
        }
    }

    /// Tells whether a fetch of `version` is to start: one at a time, and again if it takes too long.
    fn start_fetch(&mut self, version: ConfigVersion, now: MonotonicTime) -> bool {
        let is_busy = self.fetching.is_some_and(|(fetching, since)| {
            fetching == version && now.since(since) < FETCH_TIMEOUT
        });
        if !is_busy {
            self.fetching = Some((version, now));
        }
        !is_busy
    }

    fn handle_document(&mut self, document: FetchedDocument, now: MonotonicTime) {
        self.fetching = None;
        let FetchedDocument {
            source,
            version,
            loaded,
            checked,
        } = document;
        let findings = checked.as_ref().err().map(ToString::to_string);
        let text = &loaded.document;
        let outcome = self
            .tracker
            .take_document(source, version, text, findings, now);
        match (outcome, checked) {
            (DocumentOutcome::InForce, Ok(config)) => {
                self.put_in_force(Arc::new(config), loaded, version, now);
                self.confirm_age(version, now);
            }
            (DocumentOutcome::Bad, Err(findings)) => {
                log::error!(
                    "config: Generation {} failed its checks: {findings}",
                    version.generation
                );
            }
            (outcome, _) => log::debug!(
                "config: Generation {} was not taken: {outcome:?}",
                version.generation
            ),
        }
    }

    /// A version that the platform named while its document was fetched counts as confirmed since then.
    fn confirm_age(&mut self, version: ConfigVersion, now: MonotonicTime) {
        if let (Some(age), Some((seen, asked))) = (&mut self.age, self.platform_version)
            && seen == version
        {
            age.note_confirmed(asked);
        }
        self.publish_age(now);
    }

    fn put_in_force(
        &mut self,
        config: Arc<FleetConfig>,
        loaded: Arc<LoadedConfig>,
        version: ConfigVersion,
        now: MonotonicTime,
    ) {
        let Some(domain) = domain_named(&config, &self.shared.settings.failure_domain) else {
            let name = &self.shared.settings.failure_domain;
            log::error!(
                "config: Generation {} has no failure domain '{name}' of this instance.",
                version.generation
            );
            return;
        };
        let region = config.domains[domain].region;
        let home = HomePlace { domain, region };
        let seat = self.seat_key(&config);
        let before = self.config.take();
        if let Some(before) = &before {
            self.former_seats = seat_places(before);
        }
        let snapshot = self.builder.build(
            Arc::clone(&config),
            version,
            home,
            seat,
            before.as_deref(),
            now,
        );
        self.shared.snapshot.store(Some(Arc::new(snapshot)));
        match &mut self.age {
            Some(age) => age.apply(domain),
            None => self.age = Some(ConfigAge::new(domain)),
        }
        self.config = Some(config);
        self.loaded = Some(loaded);
        self.home = Some(home);
        log::info!("config: Generation {} is in force.", version.generation);
        self.publish_replay_place(now);
        self.set_lenders(now);
        self.publish_entries(now);
        self.send_heartbeats(now);
        self.seek_seat();
    }

    /// Publishes who owns idempotency keys, from the seats of the configuration and the last heartbeats.
    pub(crate) fn publish_replay_place(&mut self, now: MonotonicTime) {
        let Some(config) = &self.config else { return };
        let names: Vec<String> = config
            .seats
            .iter()
            .map(|(_, seat)| seat.name.clone())
            .collect();
        let mut holders = HashMap::new();
        for record in self.peers.heard(now) {
            for seat in &record.seats {
                holders.insert(seat.clone(), record.peer.instance.clone());
            }
        }
        let place = self.shared.replay_place.load();
        self.shared.replay_place.store(Arc::new(ReplayPlace {
            roster: next_roster(&place.roster, now, names),
            tenure: place.tenure.clone(),
            holders,
        }));
    }

    fn publish_age(&mut self, now: MonotonicTime) {
        let (Some(config), Some(age), Some(version)) =
            (&self.config, &mut self.age, self.tracker.in_force())
        else {
            return;
        };
        let region_name = &self.shared.settings.platform.region;
        let region = config.regions.find(|region| region.name == *region_name);
        if let Some(region) = region {
            age.publish(&self.shared.doubt, config, region, version, now);
        }
    }

    /// Publishes the live entry instances for look-ups.
    pub(crate) fn publish_entries(&mut self, now: MonotonicTime) {
        let (Some(config), Some(home)) = (&self.config, self.home) else {
            return;
        };
        let mut live = self.peers.entries(config, now);
        live.push(EntryInstance {
            name: self.shared.settings.instance.clone(),
            domain: home.domain,
            address: self.shared.settings.entry.advertise,
            leaving: self.shared.is_leaving(),
            headroom_percent: self.headroom_percent(),
        });
        let table = self.entry_book.build(config, &live);
        self.shared.entries.store(Some(Arc::new(table)));
    }

    /// Returns the part of the slots held by this instance that is free, in percent.
    pub(crate) fn headroom_percent(&self) -> u32 {
        let snapshot = self.shared.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else {
            return 0;
        };
        let lanes = || snapshot.lanes.iter().map(|(_, lane)| &lane.slots);
        let capacity: u64 = lanes().map(|slots| u64::from(slots.capacity())).sum();
        let used: u64 = lanes()
            .map(|slots| u64::from(slots.used().min(slots.capacity())))
            .sum();
        match (100 * (capacity - used)).checked_div(capacity) {
            Some(percent) => u32::try_from(percent).unwrap_or(100),
            // Without slots of its own the instance borrows, so nothing is known of its headroom.
            None => 100,
        }
    }

    pub(crate) fn publish_suspects(&self) {
        self.shared.suspects.store(Arc::new(self.suspects.table()));
    }

    fn set_lenders(&mut self, now: MonotonicTime) {
        let (Some(config), Some(home)) = (&self.config, self.home) else {
            return;
        };
        let lenders = self.peers.lenders(config, home.domain, now);
        self.builder.ledger.set_rate_lenders(lenders);
        let peers = &self.peers;
        let in_domain = |domain| {
            let mut lenders = peers.lenders(config, domain, now);
            lenders.retain(|lender| lender.is_near);
            lenders
        };
        self.builder
            .limits
            .set_slot_lenders(config, &mut self.builder.ledger, in_domain);
    }

    /// Moves shares on that wait until every seat runs the configuration in force.
    fn advance_shares(&mut self, now: MonotonicTime) {
        if !self.builder.shares.is_moving() {
            return;
        }
        let evidence = self.seat_evidence(now);
        self.builder.advance_shares(evidence, now);
    }

    /// Tells whether every seat, also one that the configuration no longer names, is known to run it. A seat that is
    /// silent counts only if its failure domain is heard: a holder that is cut off keeps using its old share.
    fn seat_evidence(&self, now: MonotonicTime) -> SeatEvidence {
        let (Some(config), Some(version)) = (&self.config, self.tracker.in_force()) else {
            return SeatEvidence::Open;
        };
        let own: Vec<String> = self
            .seat
            .held()
            .map(|held| held.name.clone())
            .into_iter()
            .collect();
        let silence = with_drift_margin(LOAN_LIFE + SEAT_LEASE);
        let has_reached = |seat: &str, silence: Duration| {
            let seats = std::iter::once(seat);
            self.tracker
                .seats_have_reached(seats, &own, version.generation, silence, now)
        };
        let is_heard = |domain: &str| {
            domain == self.shared.settings.failure_domain
                || self
                    .peers
                    .heard(now)
                    .any(|record| record.peer.failure_domain == domain)
        };
        let is_settled = |place: &SeatPlace| {
            has_reached(&place.seat, Duration::MAX)
                || (is_heard(&place.failure_domain) && has_reached(&place.seat, silence))
        };
        let current = seat_places(config);
        if current.iter().chain(&self.former_seats).all(is_settled) {
            SeatEvidence::Settled
        } else {
            SeatEvidence::Open
        }
    }

    fn judge_upstreams(&mut self, now: MonotonicTime) {
        use coltsfootkeel_decisions::HealthChangeKind;
        for change in self.builder.judge.judge(now) {
            log::info!("health: Upstream {}: {:?}.", change.upstream, change.kind);
            match change.kind {
                HealthChangeKind::DrainStarted => self.tell_draining(&change.upstream, true),
                HealthChangeKind::DrainEnded => self.tell_draining(&change.upstream, false),
                _ => {}
            }
        }
    }

    /// Probes the upstreams of the own failure domain; drains seen there are told to the peers.
    fn probe_upstreams(&self) {
        let Some(home) = self.home else { return };
        for target in self.probe_targets(|domain| domain == home.domain) {
            self.spawn_probe(target);
        }
    }

    /// Returns the upstreams of the failure domains for which `is_wanted` holds.
    pub(crate) fn probe_targets(&self, is_wanted: impl Fn(DomainKey) -> bool) -> Vec<ProbeTarget> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let upstreams = config
            .upstreams
            .iter()
            .filter(|(_, upstream)| is_wanted(upstream.domain));
        upstreams
            .map(|(_, upstream)| {
                let pool = &config.pools[upstream.pool];
                ProbeTarget {
                    upstream: upstream.name.clone(),
                    address: upstream.address,
                    health_path: pool.health_path.clone(),
                    load_path: pool.load_path.clone(),
                    slots: upstream.slots,
                }
            })
            .collect()
    }

    /// Probes an upstream; the result comes as an event.
    pub(crate) fn spawn_probe(&self, target: ProbeTarget) {
        tokio::spawn(probe_upstream(Arc::clone(&self.shared), target));
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

/// The first list is no change: nothing is known of earlier ones.
fn next_roster(roster: &SeatRoster, now: MonotonicTime, names: Vec<String>) -> SeatRoster {
    if roster.is_empty() {
        SeatRoster::new(names)
    } else {
        roster.updated(now, names)
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
