//! The state that request threads and the control thread share: published snapshots, atomics and queues.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use coltsfootkeel_adapter::{LocalSettings, ObjectKind, SettingsBounds};
use coltsfootkeel_counters::{ByteBudget, MonotonicTime};
use coltsfootkeel_model::{Arena, DomainKey, RegionKey};
use coltsfootkeel_steering::{
    AffinityTable, AtomicTime, CrashTable, FleetTopology, GraceTimes, InstanceRoom, InstanceUsage,
    InstanceView, InstanceWeight, PlanFreshness, RetryLimit, SharerSizes, StoreProbe, stable_hash,
};
use coltsfootkeel_transport::{ListenerStop, ProcessClock};
use crossbeam_queue::ArrayQueue;
use tokio::sync::{Notify, mpsc, watch};

use crate::control_event::ControlEvent;
use crate::entry_metrics::EntryMetrics;
use crate::entry_snapshot::EntrySnapshot;
use crate::load_exchange::ReceivedLoad;
use crate::reader_role::ReaderRole;

/// The capacity of each queue of reports for the next heartbeat. Further reports are dropped. Without a placement
/// report, other instances may send the object to an upstream that has to load it first; without a crash report, the
/// request may crash one more upstream.
const MAX_QUEUED_REPORTS: usize = 512;
/// The part of the memory limit that bytes of requests and answers may take. The rest is for connections, the tables of
/// the control thread, and memory that the allocator keeps.
const KEPT_MEMORY_DIVISOR: u64 = 4;
/// File descriptors that are reserved for files, the store, other instances and upstreams.
const RESERVED_DESCRIPTORS: usize = 1_000;
/// The lowest limit of callers' connections.
const MIN_CONNECTIONS: usize = 400;
/// The assumed round trip to another region before the first measurement.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(40);

/// The location of this instance.
#[derive(Debug, Clone, Copy)]
pub struct HomeLocation {
    /// Its failure domain.
    pub domain: DomainKey,
    /// The region of its failure domain.
    pub region: RegionKey,
}

/// A report to the other instances that a request for an object was sent to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacementReport {
    /// The hash of the object.
    pub object: u64,
    /// The short hash of the upstream.
    pub upstream: u32,
}

/// A report to the other instances that a connection broke while an upstream ran a request.
#[derive(Debug, Clone, Copy)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The short hash of the upstream.
    pub upstream: u32,
}

/// The live entry instances, as published by the control thread.
#[derive(Debug, Default)]
pub struct FleetView {
    /// The candidates for look-ups, this instance included.
    pub instances: Vec<InstanceView>,
    /// The weights of `instances` in look-ups; `None` if they are about equal.
    pub weights: Option<Vec<InstanceWeight>>,
    /// The hashes of their names, this instance's included.
    pub hashes: Vec<u64>,
    /// The hashes of the instances that share limits, the live and the registered ones; empty until the registered
    /// instances are known.
    pub sharing_instances: Vec<u64>,
    /// The sizes of `sharing_instances`.
    pub sharer_sizes: SharerSizes,
    /// Whether few other instances are heard, so that `instances` has also those heard last.
    pub is_cut_off: bool,
}

/// The state that is shared by all threads.
#[derive(Debug)]
pub struct SharedState {
    /// The settings that were read at the start of the process.
    pub settings: LocalSettings,
    /// The bounds in the settings, which are replaced when the settings file changes.
    pub bounds: ArcSwap<SettingsBounds>,
    /// The regions and failure domains of the settings.
    pub topology: FleetTopology,
    /// The location of this instance.
    pub home: HomeLocation,
    /// The hash of this instance's name.
    pub own_hash: u64,
    /// A random nonzero number that identifies this start of the process.
    pub incarnation: u64,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The active plan with its upstreams; `None` until a plan was received.
    pub snapshot: ArcSwapOption<EntrySnapshot>,
    /// The live instances, this one included.
    pub fleet: ArcSwap<FleetView>,
    /// When the plan was last confirmed to be the newest.
    pub freshness: PlanFreshness,
    /// When this instance began to read the list of upstreams without a failure, on the clock that includes suspension.
    /// The start of the process while the list cannot be read or is read by other instances.
    pub upstreams_read_since: AtomicTime,
    /// Notifies the open watches on the store that the connection of one of them has gone silent.
    pub store_silence: Notify,
    /// The kind of objects whose task probes the store while calls to it fail.
    pub store_probe: watch::Sender<StoreProbe<ObjectKind>>,
    /// Whether this instance watches the lists of the store for the others.
    pub reader_role: ReaderRole,
    /// The upstreams that handled each object within the retention time of the table.
    pub affinity_table: AffinityTable,
    /// Requests for objects that were sent to upstreams since the last heartbeat.
    pub placement_reports: ArrayQueue<PlacementReport>,
    /// Connections that broke while a request ran since the last heartbeat.
    pub crash_reports: ArrayQueue<CrashReport>,
    /// Load reports that were received since the last heartbeat.
    pub load_reports: ArrayQueue<ReceivedLoad>,
    /// Requests that are suspected to crash upstreams.
    pub crash_table: ArcSwap<CrashTable>,
    /// Whether the requests that crash upstreams are known as well as they can be, so that requests may be sent.
    pub is_inquiry_over: AtomicBool,
    /// Notifies the requests that wait for that.
    pub inquiry_ended: Notify,
    /// Notifies requests that wait for their account's budget of each refill.
    pub quota_refilled: Notify,
    /// The bytes of requests and answers that may be kept.
    pub kept_bytes: Arc<ByteBudget>,
    /// Requests of callers in progress.
    pub in_flight: Arc<AtomicU64>,
    /// The average of the used part of the processors in thousandths.
    pub processor_milli: AtomicU32,
    /// The average of the requests in progress in thousandths.
    pub in_flight_milli: AtomicU32,
    /// The listener for callers, which counts their connections.
    pub caller_listener: ListenerStop,
    /// The counters and histograms of the process.
    pub metrics: EntryMetrics,
    /// The sender of events to the control thread.
    pub events: mpsc::UnboundedSender<ControlEvent>,
    round_trips: Arena<RegionKey, AtomicTime>,
    is_stopping: AtomicBool,
    stopping_since: AtomicTime,
}

impl SharedState {
    /// Creates the state of a process that has no plan yet. Returns `None` if the settings do not contain the failure
    /// domain of this instance.
    #[must_use]
    pub fn new(
        settings: LocalSettings,
        topology: FleetTopology,
        incarnation: u64,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Option<Self> {
        let domain = topology.domain(&settings.domain)?;
        let home = HomeLocation {
            domain,
            region: topology.domains[domain].region,
        };
        let metrics = EntryMetrics::new(topology.regions.len());
        let kept_bytes = settings.memory_bytes / KEPT_MEMORY_DIVISOR;
        Some(Self {
            own_hash: stable_hash(settings.instance.as_bytes()),
            round_trips: topology
                .regions
                .keys()
                .map(|_| AtomicTime::default())
                .collect(),
            bounds: ArcSwap::from_pointee(settings.bounds),
            settings,
            topology,
            home,
            incarnation,
            clock: ProcessClock::start(),
            snapshot: ArcSwapOption::empty(),
            fleet: ArcSwap::default(),
            freshness: PlanFreshness::default(),
            upstreams_read_since: AtomicTime::default(),
            store_silence: Notify::new(),
            store_probe: watch::Sender::default(),
            reader_role: ReaderRole::default(),
            affinity_table: AffinityTable::default(),
            placement_reports: ArrayQueue::new(MAX_QUEUED_REPORTS),
            crash_reports: ArrayQueue::new(MAX_QUEUED_REPORTS),
            load_reports: ArrayQueue::new(MAX_QUEUED_REPORTS),
            crash_table: ArcSwap::default(),
            is_inquiry_over: AtomicBool::new(false),
            inquiry_ended: Notify::new(),
            quota_refilled: Notify::new(),
            kept_bytes: Arc::new(ByteBudget::new(kept_bytes)),
            in_flight: Arc::default(),
            processor_milli: AtomicU32::new(0),
            in_flight_milli: AtomicU32::new(0),
            caller_listener: ListenerStop::default(),
            metrics,
            events,
            is_stopping: AtomicBool::new(false),
            stopping_since: AtomicTime::default(),
        })
    }

    /// Returns the estimated round trip to a region; zero for this instance's region until one is measured.
    #[must_use]
    pub fn round_trip(&self, region: RegionKey) -> Duration {
        let estimate = self.round_trips[region]
            .get()
            .since(MonotonicTime::default());
        if estimate.is_zero() && region != self.home.region {
            DEFAULT_ROUND_TRIP
        } else {
            estimate
        }
    }

    /// Updates the estimate with a measured round trip to a region. A shorter one replaces the estimate; a longer one
    /// raises it slowly.
    pub fn record_round_trip(&self, region: RegionKey, round_trip: Duration) {
        let estimate = self.round_trip(region);
        let next = round_trip.min(estimate + round_trip / 16);
        self.round_trips[region].set(MonotonicTime::default() + next);
    }

    /// Starts the shutdown: records that the process received a stop signal.
    pub fn begin_shutdown(&self) {
        self.stopping_since.set(self.clock.now());
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Returns whether the process received a stop signal.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Returns the times since the stop signal and until the process is killed; `None` before the stop signal.
    #[must_use]
    pub fn grace_left(&self) -> Option<GraceTimes> {
        let passed = self.clock.now().since(self.stopping_since.get());
        let left = self.bounds.load().grace_period.saturating_sub(passed);
        self.is_stopping().then_some(GraceTimes { passed, left })
    }

    /// Returns whether the plan is recent enough to serve requests with an access key.
    #[must_use]
    pub fn allows_keys(&self) -> bool {
        let now = self.clock.now_with_suspension();
        self.freshness
            .allows_keys(now, self.bounds.load().max_revocation_delay)
    }

    /// Returns whether the store may hold a newer plan than the version `active`.
    #[must_use]
    pub fn may_be_outdated(&self, active: u64) -> bool {
        let now = self.clock.now_with_suspension();
        let change_bound = self.bounds.load().max_change_delay;
        self.freshness.may_be_outdated(active, now, change_bound)
    }

    /// Returns whether the requests that crash upstreams are known as well as they can be.
    #[must_use]
    pub fn knows_suspects(&self) -> bool {
        self.is_inquiry_over.load(Ordering::Acquire)
    }

    /// Waits until [`Self::knows_suspects`] is true.
    pub async fn wait_for_suspects(&self) {
        loop {
            // Created before the check, so that it receives a notification after it.
            let ended = self.inquiry_ended.notified();
            if self.knows_suspects() {
                return;
            }
            ended.await;
        }
    }

    /// Returns whether this instance accepts requests of callers: it has upstreams and a recent plan, knows which
    /// requests crash upstreams and is not stopping. While the store is down for all, or has returned from an older
    /// copy, no other instance has a more recent plan, and routes without keys are served.
    #[must_use]
    pub fn is_accepting(&self) -> bool {
        let snapshot = self.snapshot.load();
        let has_upstreams = snapshot
            .as_ref()
            .is_some_and(|snapshot| !snapshot.upstreams.is_empty());
        let now = self.clock.now_with_suspension();
        let is_best_plan =
            self.allows_keys() || self.freshness.is_outage(now) || self.freshness.is_unsettled();
        has_upstreams && self.knows_suspects() && !self.is_stopping() && is_best_plan
    }

    /// Returns what this instance has and uses.
    #[must_use]
    pub fn own_room(&self) -> InstanceRoom {
        let in_flight = self.in_flight.load(Ordering::Acquire);
        let max_kept = self.settings.memory_bytes / KEPT_MEMORY_DIVISOR;
        let connections = self.caller_listener.open_connections();
        #[expect(clippy::cast_precision_loss)]
        let part = |used: u64, bound: u64| used as f64 / bound.max(1) as f64;
        let milli = |value: &AtomicU32| f64::from(value.load(Ordering::Relaxed)) / 1_000.0;
        InstanceRoom {
            capacity: self.settings.capacity,
            usage: InstanceUsage {
                in_flight: u32::try_from(in_flight).unwrap_or(u32::MAX),
                memory_part: part(self.kept_bytes.taken(), max_kept),
                average_in_flight: milli(&self.in_flight_milli),
                processor_part: milli(&self.processor_milli),
                connection_part: part(connections as u64, self.max_connections() as u64),
            },
        }
    }

    /// Returns the largest number of open connections of callers.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        let descriptors = self.settings.max_descriptors;
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        connections.max(MIN_CONNECTIONS)
    }

    /// Returns the retry limit of all instances together, with the slack that it would have if all were of this
    /// instance's size.
    #[must_use]
    pub fn retry_limit(&self) -> RetryLimit {
        let bounds = self.bounds.load();
        let size = self.fleet.load().sharer_sizes.relative_size(self.own_hash);
        RetryLimit {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack * size,
        }
    }

    /// Returns the number of live instances; zero until the control thread publishes them.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.fleet.load().hashes.len()
    }

    /// Returns the number of instances that share limits: the live and the registered ones. Zero until the control thread
    /// publishes them.
    #[must_use]
    pub fn sharer_count(&self) -> usize {
        let fleet = self.fleet.load();
        fleet.sharing_instances.len().max(fleet.hashes.len())
    }

    /// Sends an event to the control thread.
    pub fn send_event(&self, event: ControlEvent) {
        // The receiver is dropped only when the process ends.
        let _ = self.events.send(event);
    }
}
