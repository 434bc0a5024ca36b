//! The control thread: processes events, maintains the active plan and the list of upstreams, and publishes snapshots
//! of them to the request threads.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::StoreClient;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    CostExposure, CrashReports, CrashTable, DemandTable, EvacuationList, LimitTable,
    OutageEvidence, QuotaExcess, SteeringPlan, SuspectInquiry, reader_rank, sharing_instances,
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::account_quotas::AccountQuotas;
use crate::control_event::ControlEvent;
use crate::entry_snapshot::PoolSwitches;
use crate::fleet_view::FleetObserver;
use crate::heartbeat_sending::{PendingReports, SentHeartbeat};
use crate::limit_log::LimitLog;
use crate::member_list::MemberList;
use crate::peer_table::PeerTable;
use crate::plan_lag::PlanLag;
use crate::queue_exchange::QueueUpdates;
use crate::reader_role::ListPositions;
use crate::shared_state::SharedState;
use crate::slot_reservation::wake_queued;
use crate::snapshot_builder::SnapshotBuilder;
use crate::store_return::StoreEra;
use crate::upstream_registry::{STORE_RECOVERY_PERIOD, UpstreamRegistry};

/// An instance counts as reading the list of upstreams after reading it without a failure for this long.
const MIN_READING_TIME: Duration = Duration::from_millis(1);
/// The number of queued requests of each pool that are woken on each tick, because other instances may have released
/// slots.
const WOKEN_PER_TICK: usize = 64;
/// The time between two updates of the recently used objects of each upstream.
const RECENT_OBJECTS_UPDATE_PERIOD: Duration = Duration::from_millis(400);
/// The time between two checks of the idle connections to upstreams.
const CONNECTION_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// The time between two removals of expired entries from the tables of objects, peers and members.
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

/// The state of the control thread.
#[derive(Debug)]
pub struct ControlLoop {
    pub(crate) shared: Arc<SharedState>,
    pub(crate) client: Arc<StoreClient>,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) peers: PeerTable,
    pub(crate) members: MemberList,
    pub(crate) quotas: AccountQuotas,
    pub(crate) crash_table: CrashTable,
    pub(crate) suspect_inquiry: SuspectInquiry,
    pub(crate) crash_reports: CrashReports,
    /// The number of crashes that this instance has reported.
    pub(crate) reported_crashes: u32,
    pub(crate) plan: Option<Arc<SteeringPlan>>,
    pub(crate) heartbeat_number: u64,
    pub(crate) sent_heartbeats: VecDeque<SentHeartbeat>,
    pub(crate) pending: PendingReports,
    pub(crate) outages: OutageEvidence,
    /// Whether the last log line about an outage for all instances states its begin.
    pub(crate) is_outage_logged: bool,
    /// The positions up to which the lists of the store are applied.
    pub(crate) applied: ListPositions,
    pub(crate) store_era: StoreEra,
    /// When the changes of another instance were last applied, on the clock that includes suspension.
    pub(crate) peer_changes_applied_at: MonotonicTime,
    /// When the store last answered a call about the plan, on the clock that includes suspension.
    pub(crate) store_answered_at: Option<MonotonicTime>,
    pub(crate) registry: UpstreamRegistry,
    pub(crate) evacuations: EvacuationList,
    snapshot_builder: SnapshotBuilder,
    pub(crate) checked_at: HashMap<String, MonotonicTime>,
    pub(crate) requested_checks: HashSet<String>,
    /// The own region's share in the last log line about it, by the names of route and pool.
    pub(crate) logged_shares: HashMap<(String, String), f64>,
    recent_objects_updated_at: MonotonicTime,
    connections_checked_at: MonotonicTime,
    expired_at: MonotonicTime,
    pub(crate) plan_lag: PlanLag,
    pub(crate) limit_table: LimitTable,
    pub(crate) limit_log: LimitLog,
    /// How long raised costs of work last, by the name of the pool.
    pub(crate) cost_exposures: HashMap<String, CostExposure>,
    pub(crate) queue_updates: QueueUpdates,
    pub(crate) demand_table: DemandTable,
    pub(crate) fleet_observer: FleetObserver,
    pub(crate) is_registering: bool,
}

impl ControlLoop {
    /// Creates the state of a process that has received no plan, upstreams or heartbeats yet.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, client: Arc<StoreClient>, socket: Arc<UdpSocket>) -> Self {
        let bounds = shared.settings.bounds;
        let excess = QuotaExcess {
            window: bounds.quota_window,
            tolerance: bounds.quota_tolerance,
            slack: bounds.quota_slack,
        };
        let home = shared.home;
        let is_first_start = shared.settings.is_first_start;
        let suspect_inquiry = SuspectInquiry::new(is_first_start, shared.clock.now());
        let crash_reports = CrashReports::new(is_first_start, shared.clock.now());
        let retries_full_from = if is_first_start {
            MonotonicTime::default()
        } else {
            shared.clock.now() + bounds.retry_window
        };
        let snapshot_builder = SnapshotBuilder::new(
            home.region,
            &shared.topology.regions,
            retries_full_from,
            PoolSwitches {
                is_contended: shared.settings.is_contended,
                is_divided: shared.settings.is_divided_by_demand,
            },
        );
        let demand_table = DemandTable::new(shared.topology.regions.len());
        Self {
            quotas: AccountQuotas::new(is_first_start, excess),
            shared,
            client,
            socket,
            peers: PeerTable::new(home.domain),
            members: MemberList::default(),
            crash_table: CrashTable::default(),
            suspect_inquiry,
            crash_reports,
            reported_crashes: 0,
            plan: None,
            // A random start, so that the numbers of an earlier process are not mistaken for those of this one.
            heartbeat_number: fastrand::u64(..1 << 48),
            sent_heartbeats: VecDeque::new(),
            pending: PendingReports::default(),
            outages: OutageEvidence::default(),
            is_outage_logged: false,
            applied: ListPositions::default(),
            store_era: StoreEra::default(),
            peer_changes_applied_at: MonotonicTime::default(),
            store_answered_at: None,
            registry: UpstreamRegistry::default(),
            evacuations: EvacuationList::default(),
            snapshot_builder,
            checked_at: HashMap::new(),
            requested_checks: HashSet::new(),
            logged_shares: HashMap::new(),
            recent_objects_updated_at: MonotonicTime::default(),
            connections_checked_at: MonotonicTime::default(),
            expired_at: MonotonicTime::default(),
            plan_lag: PlanLag::default(),
            limit_table: LimitTable::default(),
            limit_log: LimitLog::default(),
            cost_exposures: HashMap::new(),
            queue_updates: QueueUpdates::default(),
            demand_table,
            fleet_observer: FleetObserver::default(),
            is_registering: false,
        }
    }

    /// Processes events and sends heartbeats until the event channel is closed.
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
                    next_tick = tokio::time::Instant::now() + self.heartbeat_periods().near;
                }
            }
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Listed {
                kind,
                list,
                requested_at,
                outage,
                is_repeated,
            } => {
                self.observe_answer(list.position);
                if is_repeated && self.shared.reader_role.is_reader() {
                    self.shared.reader_role.advance_kind(kind, list.position);
                }
                if self.reset_applied(kind, list.position, requested_at) {
                    self.apply_list(kind, list, requested_at, outage);
                }
            }
            ControlEvent::Changed {
                kind,
                events,
                unreadable,
                range,
                current_as_of,
            } => {
                self.observe_answer(range.until);
                let is_changed = !events.is_empty() || !unreadable.is_empty();
                if is_changed && self.shared.reader_role.is_reader() {
                    self.shared.reader_role.advance_kind(kind, range.until);
                    self.report_changes(kind, &events, &unreadable, range);
                }
                if self.advance_applied(kind, range.until) {
                    self.apply_changes(kind, &events, &unreadable, current_as_of);
                }
            }
            ControlEvent::Heartbeat { message, from } => self.apply_heartbeat(*message, from),
            ControlEvent::Checked {
                upstream,
                cold_start_remaining,
            } => self.apply_check(&upstream, cold_start_remaining),
            ControlEvent::SuspectAnswered { fingerprint } => {
                if self.crash_table.remove(fingerprint) {
                    self.publish_crashes();
                }
            }
            ControlEvent::EraSettled { era } => self.prove_settled_era(era),
            ControlEvent::RefusedRead { requests } => self.apply_refused(&requests),
            ControlEvent::Shutdown => self.leave_fleet(),
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
            .snapshot_builder
            .build(plan, &self.registry, &mut self.quotas, now);
        self.shared.snapshot.store(Some(Arc::new(snapshot)));
        // The spread of a new route must exist before its first request.
        self.update_spreads(now);
    }

    pub(crate) fn publish_crashes(&self) {
        self.shared
            .crash_table
            .store(Arc::new(self.crash_table.clone()));
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        let periods = self.heartbeat_periods();
        self.peers.set_periods(periods);
        let era = self.shared.reader_role.era();
        if self
            .peers
            .has_steady_reader(STORE_RECOVERY_PERIOD, era, now)
        {
            self.registry.end_recovery(now);
        }
        let reader_role = &self.shared.reader_role;
        let has_other_reader = self.peers.has_steady_reader(MIN_READING_TIME, era, now);
        reader_role.set_rank(self.reader_rank(now));
        reader_role.set_other_reader(has_other_reader);
        if !reader_role.is_reader() && !has_other_reader {
            // No live instance reads the list of upstreams, so an outage of the store in which entries expire would not
            // be detected.
            self.registry.start_recovery(now);
        }
        self.settle_era(now);
        let is_expired = self.registry.expire(now);
        self.publish_if(is_expired);
        self.registry.set_peer_loads(&self.peers.loads(now));
        self.divide_limits(now);
        self.update_load_reports();
        self.update_queues(now);
        self.update_demands(now);
        self.update_spreads(now);
        let registered: Vec<u64> = self.members.hashes().collect();
        let sharers = sharing_instances(&self.live_hashes(now), &registered);
        self.quotas.tick(now, periods.far, &sharers);
        self.shared.quota_refilled.notify_waiters();
        self.observe_store_outage();
        self.observe_plan_lag(now);
        self.update_inquiry(now);
        self.ask_for_missed_crashes();
        self.measure_usage(now);
        self.publish_fleet(now);
        self.send_heartbeats();
        self.start_checks(now);
        if let Some(snapshot) = self.shared.snapshot.load().as_ref() {
            for (_, pool) in snapshot.pools.iter() {
                wake_queued(&pool.state, WOKEN_PER_TICK);
            }
        }
        if now.since(self.recent_objects_updated_at) > RECENT_OBJECTS_UPDATE_PERIOD {
            self.recent_objects_updated_at = now;
            self.update_recent_objects(now);
        }
        if now.since(self.connections_checked_at) > CONNECTION_CHECK_PERIOD {
            self.connections_checked_at = now;
            self.registry.close_unusable_connections(now);
        }
        if now.since(self.expired_at) > EXPIRY_PERIOD {
            self.expired_at = now;
            self.shared.affinity_table.expire(now);
            let members = &self.members;
            self.peers.expire(now, |hash| members.contains_hash(hash));
            let peers = &self.peers;
            self.crash_reports
                .retain(|hash| peers.get(hash).is_some() || members.contains_hash(hash));
            self.remove_silent_members(now);
        }
    }

    fn reader_rank(&self, now: MonotonicTime) -> Option<usize> {
        let readers = self.peers.reader_candidates(now);
        let failing = self.peers.failing_readers(now);
        reader_rank(self.shared.own_hash, readers, failing)
    }

    /// Updates the recently used objects of each upstream, and the estimate of how many an upstream caches.
    fn update_recent_objects(&self, now: MonotonicTime) {
        let recent = self.shared.affinity_table.recent_objects(now);
        self.registry.set_recent_objects(recent, now);
        let snapshot = self.shared.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else {
            return;
        };
        for (key, pool) in snapshot.pools.iter() {
            let estimator = &pool.state.cache_estimator;
            let previous_capacity = estimator.estimated_capacity();
            estimator.update();
            if estimator.estimated_capacity() != previous_capacity {
                let pool = snapshot.plan.pools[key].name.as_str();
                log::info!(pool, objects = estimator.estimated_capacity(); "upstreams: The estimated number of cached objects changed.");
            }
        }
    }
}
