//! The control thread: takes events in, decides what is in force, and publishes it to the request threads.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::StoreClient;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    CrashTable, InstanceView, QuotaExcess, SteeringPlan, is_store_reader, pacing_instances,
    stable_hash,
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::control_event::ControlEvent;
use crate::control_heartbeats::SentHeartbeat;
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
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
/// In a larger fleet, the time between two messages grows by this much for each instance, so that an instance handles
/// about a hundred messages a second at any size.
const HEARTBEAT_SHARE: Duration = Duration::from_millis(10);
/// An instance that has read the list of upstreams for this long reads it.
const READING: Duration = Duration::from_millis(1);
/// The least time between two health checks of one upstream.
const CHECK_PERIOD: Duration = Duration::from_millis(600);
/// A registered instance that is silent for longer is removed by another one.
const DEAD_AFTER: Duration = Duration::from_secs(15);
/// Requests that are woken on each tick: their upstreams may have room at other instances.
const WOKEN_ON_TICK: usize = 64;
/// Time between two counts of the objects that were used at each upstream.
const COUNT_PERIOD: Duration = Duration::from_millis(400);
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
    pub(crate) heartbeat_number: u64,
    pub(crate) sent_heartbeats: VecDeque<SentHeartbeat>,
    /// When the store last answered a call about the plan, suspension included.
    pub(crate) store_answered: Option<MonotonicTime>,
    pub(crate) registry: UpstreamRegistry,
    pub(crate) evacuations: HashSet<String>,
    publisher: SnapshotPublisher,
    checked_at: HashMap<String, MonotonicTime>,
    pub(crate) wanted_checks: HashSet<String>,
    counted_at: MonotonicTime,
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
            heartbeat_number: fastrand::u64(..1 << 48),
            sent_heartbeats: VecDeque::new(),
            store_answered: None,
            registry: UpstreamRegistry::default(),
            evacuations: HashSet::new(),
            publisher,
            checked_at: HashMap::new(),
            wanted_checks: HashSet::new(),
            counted_at: MonotonicTime::default(),
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
                    next_tick = tokio::time::Instant::now() + self.heartbeat_period();
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
                is_repeated,
            } => {
                if is_repeated && self.shared.duty.is_reader() {
                    self.shared.duty.raise_kind(kind, list.revision);
                }
                self.take_list(kind, list, asked_at, outage);
            }
            ControlEvent::Changed {
                kind,
                events,
                revision,
                known_to,
            } => {
                if !events.is_empty() && self.shared.duty.is_reader() {
                    self.shared.duty.raise_kind(kind, revision);
                }
                self.take_changes(kind, &events, known_to);
            }
            ControlEvent::Heartbeat { message, from } => self.hear(*message, from),
            ControlEvent::Checked { upstream, cold_for } => self.take_check(&upstream, cold_for),
            ControlEvent::Answered { fingerprint } => {
                if self.crashes.remove(fingerprint) {
                    self.publish_crashes();
                }
            }
            ControlEvent::Leave => self.leave(),
        }
    }

    pub(crate) fn publish_if(&mut self, is_changed: bool) {
        if is_changed {
            self.publish();
        }
    }

    pub(crate) fn publish(&mut self) {
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
            known.listed.state.mark_unreachable();
            return;
        };
        let cold_until = self.shared.clock.now() + cold_for;
        known.listed.state.mark_reachable(cold_until);
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        if self.peers.has_steady_reader(RETURN_PERIOD, now) {
            self.registry.end_return(now);
        }
        if !self.shared.duty.is_reader() && !self.peers.has_steady_reader(READING, now) {
            // Nobody can tell whether the store is away, and entries lapse with it.
            self.registry.start_return(now);
        }
        let is_expired = self.registry.expire(now);
        self.publish_if(is_expired);
        self.registry.set_peer_loads(&self.peers.loads(now));
        let members = &self.members;
        let registered = members.iter().count();
        self.quotas
            .tick(now, registered, |hash| members.holds(hash));
        self.shared.quota_refilled.notify_waiters();
        self.confirm_by_silence();
        let readers = self.peers.store_readers(now);
        let is_reader = is_store_reader(self.shared.own_hash, readers);
        self.shared.duty.set_reader(is_reader);
        self.publish_fleet(now);
        self.send_heartbeats();
        self.start_checks(now);
        if let Some(snapshot) = self.shared.snapshot.load().as_ref() {
            for (_, pool) in snapshot.pools.iter() {
                wake_waiting(&pool.state, WOKEN_ON_TICK);
            }
        }
        if now.since(self.counted_at) > COUNT_PERIOD {
            self.counted_at = now;
            self.count_objects(now);
        }
        if now.since(self.cleared_at) > CLEAR_PERIOD {
            self.cleared_at = now;
            self.shared.warm.expire(now);
            let members = &self.members;
            self.peers.expire(now, |hash| members.holds(hash));
            self.remove_dead_members(now);
        }
    }

    /// Counts the objects at each upstream, and decides how many an upstream remembers.
    fn count_objects(&self, now: MonotonicTime) {
        let recent = self.shared.warm.recent_objects(now);
        self.registry.set_recent_objects(recent, now);
        let snapshot = self.shared.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else {
            return;
        };
        for (key, pool) in snapshot.pools.iter() {
            let memory = &pool.state.memory;
            let before = memory.estimated_capacity();
            memory.update();
            if memory.estimated_capacity() != before {
                let pool = snapshot.plan.pools[key].name.as_str();
                log::info!(pool, objects = memory.estimated_capacity(); "upstreams: What each remembers was learned.");
            }
        }
    }

    fn heartbeat_period(&self) -> Duration {
        let instances = u32::try_from(self.shared.fleet.load().hashes.len()).unwrap_or(u32::MAX);
        HEARTBEAT_PERIOD.max(HEARTBEAT_SHARE * instances)
    }

    fn publish_fleet(&self, now: MonotonicTime) {
        let own_view = InstanceView {
            address: self.shared.settings.entry,
            region: self.shared.home.region,
            is_accepting: self.shared.is_open(),
        };
        let mut instances = self.peers.views(now);
        instances.push(own_view);
        let mut hashes: Vec<u64> = self.peers.live(now).map(|(hash, _)| hash).collect();
        hashes.push(self.shared.own_hash);
        let registered: Vec<u64> = self.members.hashes().collect();
        let pacing = pacing_instances(&hashes, &registered);
        self.shared.fleet.store(Arc::new(FleetView {
            instances,
            hashes,
            pacing,
        }));
    }

    /// Checks upstreams that were lost, and those that are asked for.
    fn start_checks(&mut self, now: MonotonicTime) {
        let mut due: Vec<(ListedUpstream, String)> = Vec::new();
        for known in self.registry.iter() {
            let id = &known.record.id;
            let is_wanted =
                known.listed.state.needs_health_check() || self.wanted_checks.contains(id);
            let last = self.checked_at.get(id);
            let is_due = last.is_none_or(|last| now.since(*last) > CHECK_PERIOD);
            if is_wanted
                && is_due
                && known.listed.state.is_usable()
                && !known.listed.state.is_address_reused()
            {
                due.push((known.listed.clone(), known.record.pool.clone()));
            }
        }
        for (listed, pool_name) in due {
            self.checked_at.insert(listed.state.info.id.clone(), now);
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
    pub(crate) fn check_registration(&mut self) {
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
        self.send_heartbeats();
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
            let hash = stable_hash(name.as_bytes());
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
