//! The control thread: takes events in, decides what is in force, and publishes it to the request threads.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{
    CONFIG_NAME, ObjectEvent, ObjectKind, ObjectList, StoreClient, StoreObject, decode_plan,
    decode_upstream,
};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::DomainKey;
use coltsfootkeel_steering::{CrashTable, InstanceView, QuotaExcess, SteeringPlan};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::control_event::ControlEvent;
use crate::entry_snapshot::ListedUpstream;
use crate::health_check::check_upstream;
use crate::member_list::{MemberList, register, unregister};
use crate::peer_table::PeerTable;
use crate::quota_book::QuotaBook;
use crate::shared_state::{FleetView, SharedState};
use crate::snapshot_publisher::SnapshotPublisher;
use crate::upstream_choice::wake_waiting;
use crate::upstream_registry::{RETURN_PERIOD, UpstreamRegistry};

/// The time between two messages to each other instance in a small fleet.
const BEAT_PERIOD: Duration = Duration::from_millis(100);
/// In a larger fleet, the time between two messages grows by this much for each instance, so that an instance handles
/// about a hundred messages a second at any size.
const BEAT_SHARE: Duration = Duration::from_millis(10);
/// The least time between two health checks of one upstream.
const CHECK_PERIOD: Duration = Duration::from_millis(600);
/// A registered instance that is silent for longer is removed by another one.
const DEAD_AFTER: Duration = Duration::from_secs(15);
/// The store counts as reached for this long after it answered; a watch that nothing ends returns sooner.
const REACHED_FOR: Duration = Duration::from_millis(3_200);
/// Requests that are woken on each tick: their upstreams may have room at other instances.
const WOKEN_ON_TICK: usize = 64;
/// Time between two rounds of clearing what was not used for long.
const CLEAR_PERIOD: Duration = Duration::from_secs(5);

/// The state of the control thread.
#[derive(Debug)]
pub struct ControlLoop {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) client: Arc<StoreClient>,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) peers: PeerTable,
    pub(crate) members: MemberList,
    pub(crate) quotas: QuotaBook,
    pub(crate) crashes: CrashTable,
    pub(crate) plan: Option<Arc<SteeringPlan>>,
    pub(crate) beat_number: u64,
    pub(crate) sent_beats: VecDeque<(u64, MonotonicTime)>,
    /// When the store last answered a call about the plan, suspension included.
    pub(crate) store_answered: Option<MonotonicTime>,
    registry: UpstreamRegistry,
    evacuations: HashSet<String>,
    publisher: SnapshotPublisher,
    checked_at: HashMap<String, MonotonicTime>,
    wanted_checks: HashSet<String>,
    cleared_at: MonotonicTime,
    is_registering: bool,
}

impl ControlLoop {
    /// Makes the state of a process that knows nothing yet.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, client: Arc<StoreClient>, socket: Arc<UdpSocket>) -> Self {
        let bounds = shared.settings.bounds;
        let excess = QuotaExcess {
            window: bounds.quota_window,
            tolerance: bounds.quota_tolerance,
            slack: bounds.quota_slack,
        };
        let regions = shared.places.regions.len();
        let publisher = SnapshotPublisher::new(shared.home.region, regions);
        Self {
            quotas: QuotaBook::new(shared.settings.is_first_start, excess),
            shared,
            client,
            socket,
            peers: PeerTable::default(),
            members: MemberList::default(),
            crashes: CrashTable::default(),
            plan: None,
            // Numbers of an earlier start must not be taken for those of this one.
            beat_number: fastrand::u64(..1 << 48),
            sent_beats: VecDeque::new(),
            store_answered: None,
            registry: UpstreamRegistry::default(),
            evacuations: HashSet::new(),
            publisher,
            checked_at: HashMap::new(),
            wanted_checks: HashSet::new(),
            cleared_at: MonotonicTime::default(),
            is_registering: false,
        }
    }

    /// Handles events until the process ends.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<ControlEvent>) {
        self.start_registration();
        let mut next_tick = tokio::time::Instant::now();
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = tokio::time::sleep_until(next_tick) => {
                    self.tick();
                    next_tick = tokio::time::Instant::now() + self.beat_period();
                }
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Listed {
                kind,
                list,
                asked_at,
                outage,
            } => self.take_list(kind, list, asked_at, outage),
            ControlEvent::Changed {
                kind,
                events,
                known_to,
            } => self.take_changes(kind, &events, known_to),
            ControlEvent::Beat { message, from } => self.hear(*message, from),
            ControlEvent::Checked { upstream, cold_for } => self.take_check(&upstream, cold_for),
            ControlEvent::Answered { fingerprint } => {
                if self.crashes.clear(fingerprint) {
                    self.publish_crashes();
                }
            }
            ControlEvent::Leave => self.leave(),
        }
    }

    fn take_list(
        &mut self,
        kind: ObjectKind,
        list: ObjectList,
        asked_at: MonotonicTime,
        outage: Duration,
    ) {
        let now = self.shared.clock.now();
        match kind {
            ObjectKind::Config => {
                let main = list
                    .objects
                    .iter()
                    .find(|object| object.name == CONFIG_NAME);
                if main.is_none_or(|object| self.use_config(object)) {
                    self.confirm_by_store(asked_at);
                }
            }
            ObjectKind::Upstreams => {
                if !outage.is_zero() {
                    self.registry.start_return(now);
                }
                let names = list.objects.iter().map(|object| object.name.clone());
                let mut is_changed = self.registry.keep_only(&names.collect(), now);
                for object in &list.objects {
                    is_changed |= self.set_upstream(object, now);
                }
                self.publish_if(is_changed);
            }
            ObjectKind::Evacuations => {
                self.evacuations = list.objects.into_iter().map(|object| object.name).collect();
                self.apply_evacuations();
            }
            ObjectKind::Instances => {
                self.members.clear();
                for object in &list.objects {
                    self.members.set(object, now);
                }
                self.check_registration();
            }
        }
    }

    fn take_changes(&mut self, kind: ObjectKind, events: &[ObjectEvent], known_to: MonotonicTime) {
        let now = self.shared.clock.now();
        let mut is_changed = false;
        let mut is_usable = true;
        for event in events {
            let object = &event.object;
            match kind {
                ObjectKind::Config if object.name == CONFIG_NAME && !event.is_removed => {
                    is_usable &= self.use_config(object);
                }
                ObjectKind::Config => {}
                ObjectKind::Upstreams if event.is_removed => {
                    log::info!(upstream = object.name.as_str(); "upstreams: An entry is gone.");
                    is_changed |= self.registry.remove(&object.name, now);
                }
                ObjectKind::Upstreams => is_changed |= self.set_upstream(object, now),
                ObjectKind::Evacuations if event.is_removed || object.is_leaving => {
                    self.evacuations.remove(&object.name);
                }
                ObjectKind::Evacuations => {
                    self.evacuations.insert(object.name.clone());
                }
                ObjectKind::Instances if event.is_removed => self.members.remove(&object.name),
                ObjectKind::Instances => self.members.set(object, now),
            }
        }
        match kind {
            ObjectKind::Config if is_usable => self.confirm_by_store(known_to),
            ObjectKind::Evacuations if !events.is_empty() => self.apply_evacuations(),
            ObjectKind::Instances if !events.is_empty() => self.check_registration(),
            _ => self.publish_if(is_changed),
        }
    }

    /// Takes a configuration into force if it is newer. Returns whether the newest one is in force.
    fn use_config(&mut self, object: &StoreObject) -> bool {
        let raw = match decode_plan(&object.spec) {
            Ok(raw) => raw,
            Err(error) => {
                log::error!("plan: The configuration cannot be read: {error}; the old one stays.");
                return false;
            }
        };
        let in_force = self.plan.as_ref().map(|plan| plan.version);
        if in_force.is_some_and(|version| version >= raw.version) {
            return true;
        }
        match SteeringPlan::build(raw, &self.shared.places) {
            Ok(plan) => {
                log::info!(version = plan.version, revision = object.revision; "plan: In force.");
                for (_, account) in plan.accounts.iter() {
                    log::info!(
                        account = account.name.as_str(),
                        rate_per_s:? = account.rate_per_s,
                        burst = account.burst;
                        "plan: The limit of an account."
                    );
                }
                self.plan = Some(Arc::new(plan));
                self.publish();
                true
            }
            Err(error) => {
                log::error!("plan: The configuration is refused: {error}; the old one stays.");
                false
            }
        }
    }

    fn set_upstream(&mut self, object: &StoreObject, now: MonotonicTime) -> bool {
        match decode_upstream(object) {
            Ok(record) => {
                log::info!(
                    upstream = record.id.as_str(),
                    phase:? = record.phase,
                    cold_ms:% = record.cold_for.as_millis();
                    "upstreams: An entry changed."
                );
                self.registry.is_at_work = self.shared.metrics.has_requests();
                self.registry.set(record, &self.shared.places, now)
            }
            Err(error) => {
                log::warn!(
                    "upstreams: The entry {} cannot be read: {error}.",
                    object.name
                );
                self.registry.remove(&object.name, now)
            }
        }
    }

    fn apply_evacuations(&mut self) {
        let domain = |name: &String| self.shared.places.domain(name);
        let evacuated: HashSet<DomainKey> = self.evacuations.iter().filter_map(domain).collect();
        let now = self.shared.clock.now();
        if self.registry.set_evacuated(evacuated, now) {
            log::info!(domains:? = self.evacuations; "upstreams: The emptied failure domains changed.");
            // Whether upstreams that are taken back are cold is known at once by a health check.
            for known in self.registry.iter() {
                if known.listed.is_usable && known.listed.state.is_cold(now) {
                    self.wanted_checks.insert(known.record.id.clone());
                }
            }
            self.publish();
        }
    }

    fn confirm_by_store(&mut self, time: MonotonicTime) {
        self.store_answered = Some(self.shared.clock.now_with_suspension());
        self.shared.freshness.confirm(time);
    }

    /// Returns for how long the list of upstreams was read without a failure.
    pub(crate) fn store_steady(&self) -> Duration {
        let now = self.shared.clock.now_with_suspension();
        let upstreams = self.shared.upstreams_read.get();
        if upstreams == MonotonicTime::default() {
            Duration::ZERO
        } else {
            now.since(upstreams)
        }
    }

    /// Tells whether this instance itself reaches the store.
    pub(crate) fn reaches_store(&self) -> bool {
        let now = self.shared.clock.now_with_suspension();
        self.store_answered
            .is_some_and(|answered| now.since(answered) < REACHED_FOR)
    }

    fn publish_if(&mut self, is_changed: bool) {
        if is_changed {
            self.publish();
        }
    }

    fn publish(&mut self) {
        let Some(plan) = &self.plan else {
            return;
        };
        let now = self.shared.clock.now();
        let snapshot = self
            .publisher
            .build(plan, &self.registry, &mut self.quotas, now);
        self.shared.snapshot.store(Some(Arc::new(snapshot)));
    }

    pub(crate) fn publish_crashes(&self) {
        self.shared.crashes.store(Arc::new(self.crashes.clone()));
    }

    fn take_check(&mut self, upstream: &str, cold_for: Option<Duration>) {
        self.wanted_checks.remove(upstream);
        let Some(known) = self.registry.get(upstream) else {
            return;
        };
        let Some(cold_for) = cold_for else {
            known.listed.state.set_lost();
            return;
        };
        let cold_until = self.shared.clock.now() + cold_for;
        known.listed.state.set_found(cold_until);
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        if self.peers.has_steady_reader(RETURN_PERIOD, now) {
            self.registry.end_return(now);
        }
        let is_expired = self.registry.expire(now);
        self.publish_if(is_expired);
        self.registry.set_peer_loads(&self.peers.loads(now));
        let members = &self.members;
        self.quotas.tick(now, |hash| members.holds(hash));
        self.confirm_by_silence(now);
        self.publish_fleet(now);
        self.send_beats();
        self.start_checks(now);
        if let Some(snapshot) = self.shared.snapshot.load().as_ref() {
            for (_, pool) in snapshot.pools.iter() {
                wake_waiting(&pool.state, WOKEN_ON_TICK);
            }
        }
        if now.since(self.cleared_at) > CLEAR_PERIOD {
            self.cleared_at = now;
            self.shared.warm.expire(now);
            let members = &self.members;
            self.peers.expire(now, |hash| members.holds(hash));
            self.remove_dead_members(now);
        }
    }

    fn beat_period(&self) -> Duration {
        let instances = u32::try_from(self.shared.fleet.load().hashes.len()).unwrap_or(u32::MAX);
        BEAT_PERIOD.max(BEAT_SHARE * instances)
    }

    fn publish_fleet(&self, now: MonotonicTime) {
        let own_view = InstanceView {
            address: self.shared.settings.entry,
            region: self.shared.home.region,
            is_open: self.shared.is_open(),
        };
        let mut instances = self.peers.views(now);
        instances.push(own_view);
        let mut hashes: Vec<u64> = self.peers.live(now).map(|(hash, _)| hash).collect();
        hashes.push(self.shared.own_hash);
        self.shared
            .fleet
            .store(Arc::new(FleetView { instances, hashes }));
    }

    /// Checks upstreams that were lost, and those that are asked for.
    fn start_checks(&mut self, now: MonotonicTime) {
        let mut due: Vec<(ListedUpstream, String)> = Vec::new();
        for known in self.registry.iter() {
            let id = &known.record.id;
            let is_wanted = known.listed.state.wants_check() || self.wanted_checks.contains(id);
            let last = self.checked_at.get(id);
            let is_due = last.is_none_or(|last| now.since(*last) > CHECK_PERIOD);
            if is_wanted && is_due && known.listed.is_usable && !known.listed.state.is_other() {
                due.push((known.listed.clone(), known.record.pool.clone()));
            }
        }
        for (listed, pool_name) in due {
            self.checked_at.insert(listed.state.facts.id.clone(), now);
            let plan = self.plan.as_ref();
            let health_path = plan.and_then(|plan| {
                let pool = plan.pools.find(|pool| pool.name == pool_name)?;
                Some(plan.pools[pool].health_path.clone())
            });
            if let Some(health_path) = health_path {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(check_upstream(shared, listed, health_path));
            }
        }
    }

    fn start_registration(&mut self) {
        self.is_registering = true;
        let shared = Arc::clone(&self.shared);
        tokio::spawn(register(shared, Arc::clone(&self.client)));
    }

    /// Registers again if the registration was lost, or was replaced by that of an earlier start.
    fn check_registration(&mut self) {
        let own = self.members.get(&self.shared.settings.instance);
        let is_registered =
            own.is_some_and(|own| own.record.incarnation == self.shared.incarnation);
        if is_registered {
            self.is_registering = false;
        } else if !self.is_registering && !self.shared.is_leaving() {
            self.start_registration();
        }
    }

    fn leave(&mut self) {
        self.publish_fleet(self.shared.clock.now());
        self.send_beats();
        if let Some(own) = self.members.get(&self.shared.settings.instance) {
            let name = self.shared.settings.instance.clone();
            self.start_removal(name, own.revision);
        }
    }

    /// Removes instances that nobody hears. The live instance with the lowest hash does it for all.
    fn remove_dead_members(&self, now: MonotonicTime) {
        let own_hash = self.shared.own_hash;
        let mut live = self.peers.live(now).peekable();
        let is_alone = live.peek().is_none();
        if is_alone || live.any(|(hash, _)| hash < own_hash) {
            return;
        }
        for (name, member) in self.members.iter() {
            let hash = coltsfootkeel_steering::stable_hash(name.as_bytes());
            let heard = self.peers.get(hash).map(|peer| peer.heard_at);
            let last_sign = heard.map_or(member.learned_at, |heard| heard.max(member.learned_at));
            if hash != own_hash && now.since(last_sign) > DEAD_AFTER {
                log::info!(instance = name.as_str(); "members: Removing a silent instance.");
                self.start_removal(name.clone(), member.revision);
            }
        }
    }

    fn start_removal(&self, name: String, revision: u64) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(unregister(shared, Arc::clone(&self.client), name, revision));
    }
}
