//! What request threads and the control thread share: published snapshots, atomics and queues.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use coltsfootkeel_adapter::{LocalSettings, UserBounds};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, RegionKey};
use coltsfootkeel_steering::{
    AffinityTable, AtomicTime, CrashTable, FleetTopology, InstanceView, PlanFreshness, RetryLimit,
    stable_hash,
};
use coltsfootkeel_transport::ProcessClock;
use crossbeam_queue::ArrayQueue;
use tokio::sync::{Notify, mpsc};

use crate::control_event::ControlEvent;
use crate::entry_metrics::EntryMetrics;
use crate::entry_snapshot::EntrySnapshot;
use crate::store_duty::StoreDuty;

/// Notes that wait for the next message to the other instances. Further ones are dropped: they only make upstreams
/// slower.
const MAX_NOTES: usize = 512;

/// The round trip to a region before one was measured.
const UNKNOWN_DISTANCE: Duration = Duration::from_millis(40);

/// Where this instance stands.
#[derive(Debug, Clone, Copy)]
pub struct HomePlace {
    /// Its region.
    pub region: RegionKey,
}

/// An object that was sent to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct ObjectNote {
    /// The hash of the object.
    pub object: u64,
    /// The short hash of the upstream.
    pub upstream: u32,
}

/// A request whose run broke on an upstream.
#[derive(Debug, Clone, Copy)]
pub struct CrashNote {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The short hash of the upstream.
    pub upstream: u32,
}

/// The live entry instances.
#[derive(Debug, Default)]
pub struct FleetView {
    /// As look-ups name them.
    pub instances: Vec<InstanceView>,
    /// The hashes of their names, this instance's included.
    pub hashes: Vec<u64>,
    /// The hashes of the instances that share the turns at cold upstreams.
    pub pacing: Vec<u64>,
}

/// The state that all threads share.
#[derive(Debug)]
pub struct SharedState {
    /// The settings at the start.
    pub settings: LocalSettings,
    /// The users' bounds, which may change while the process runs.
    pub bounds: ArcSwap<UserBounds>,
    /// The regions and failure domains.
    pub places: FleetTopology,
    /// Where this instance stands.
    pub home: HomePlace,
    /// The hash of its name.
    pub own_hash: u64,
    /// The number of this start of the process.
    pub incarnation: u64,
    /// The clock.
    pub clock: ProcessClock,
    /// The plan in force with its upstreams.
    pub snapshot: ArcSwapOption<EntrySnapshot>,
    /// The live instances.
    pub fleet: ArcSwap<FleetView>,
    /// When the plan was last known to be the newest.
    pub freshness: PlanFreshness,
    /// Since when the list of upstreams is read without a failure, suspension included; the start of the process while
    /// it cannot be read, or is read by other instances.
    pub upstreams_read: AtomicTime,
    /// What this instance reads from the store.
    pub duty: StoreDuty,
    /// Where objects were handled.
    pub warm: AffinityTable,
    /// Objects sent since the last message to the other instances.
    pub object_notes: ArrayQueue<ObjectNote>,
    /// Broken runs since the last message.
    pub crash_notes: ArrayQueue<CrashNote>,
    /// Requests that crash upstreams.
    pub crashes: ArcSwap<CrashTable>,
    /// Tells requests that wait for a share of their account's rate of the next one.
    pub quota_refilled: Notify,
    /// Requests being carried.
    pub in_flight: Arc<AtomicU64>,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Events for the control thread.
    pub events: mpsc::UnboundedSender<ControlEvent>,
    distances: Arena<RegionKey, AtomicTime>,
    is_leaving: AtomicBool,
    leaving_since: AtomicTime,
}

impl SharedState {
    /// Makes the state of a process that has no plan yet. Returns nothing if the settings do not name its failure
    /// domain.
    #[must_use]
    pub fn new(
        settings: LocalSettings,
        places: FleetTopology,
        incarnation: u64,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Option<Self> {
        let domain = places.domain(&settings.domain)?;
        let home = HomePlace {
            region: places.domains[domain].region,
        };
        Some(Self {
            own_hash: stable_hash(settings.instance.as_bytes()),
            distances: places
                .regions
                .keys()
                .map(|_| AtomicTime::default())
                .collect(),
            bounds: ArcSwap::from_pointee(settings.bounds),
            settings,
            places,
            home,
            incarnation,
            clock: ProcessClock::start(),
            snapshot: ArcSwapOption::empty(),
            fleet: ArcSwap::default(),
            freshness: PlanFreshness::default(),
            upstreams_read: AtomicTime::default(),
            duty: StoreDuty::default(),
            warm: AffinityTable::default(),
            object_notes: ArrayQueue::new(MAX_NOTES),
            crash_notes: ArrayQueue::new(MAX_NOTES),
            crashes: ArcSwap::default(),
            quota_refilled: Notify::new(),
            in_flight: Arc::default(),
            metrics: EntryMetrics::default(),
            events,
            is_leaving: AtomicBool::new(false),
            leaving_since: AtomicTime::default(),
        })
    }

    /// Returns the round trip to a region.
    #[must_use]
    pub fn distance(&self, region: RegionKey) -> Duration {
        let known = self.distances[region].get().since(MonotonicTime::default());
        if known.is_zero() && region != self.home.region {
            UNKNOWN_DISTANCE
        } else {
            known
        }
    }

    /// Notes a round trip to a region. The shortest one counts, but an old one fades.
    pub fn learn_distance(&self, region: RegionKey, round_trip: Duration) {
        let known = self.distance(region);
        let next = round_trip.min(known + round_trip / 16);
        self.distances[region].set(MonotonicTime::default() + next);
    }

    /// Notes that the process was told to stop.
    pub fn leave(&self) {
        self.leaving_since.set(self.clock.now());
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Tells whether the process was told to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Returns the time that is left until the process is killed, if it was told to stop.
    #[must_use]
    pub fn grace_left(&self) -> Option<Duration> {
        let passed = self.clock.now().since(self.leaving_since.get());
        self.is_leaving()
            .then(|| self.bounds.load().grace.saturating_sub(passed))
    }

    /// Tells whether requests with an access key may be served now.
    #[must_use]
    pub fn allows_keys(&self) -> bool {
        let now = self.clock.now_with_suspension();
        self.freshness
            .allows_keys(now, self.bounds.load().withdrawal)
    }

    /// Tells whether callers may send requests here.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let snapshot = self.snapshot.load();
        let is_equipped = snapshot
            .as_ref()
            .is_some_and(|snapshot| !snapshot.upstreams.is_empty());
        is_equipped && !self.is_leaving() && self.allows_keys()
    }

    /// Returns the bound of retries over all instances.
    #[must_use]
    pub fn retry_bound(&self) -> RetryLimit {
        let bounds = self.bounds.load();
        RetryLimit {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
        }
    }

    /// Returns the number of live instances.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.fleet.load().hashes.len()
    }

    /// Reports to the control thread.
    pub fn report(&self, event: ControlEvent) {
        // The control thread is gone only when the process ends.
        let _ = self.events.send(event);
    }
}
