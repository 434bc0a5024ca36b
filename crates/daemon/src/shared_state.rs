//! State shared by the request threads and the control thread: published snapshots, atomics and queues.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use coltsfootkeel_counters::TimeLease;
use coltsfootkeel_decisions::{
    EntryTable, ReplayLimits, ReplayMemory, RetryBudget, RetryPolicy, SeatRoster, SeatTenure,
    StalenessGauge, SuspectTable,
};
use coltsfootkeel_settings::DaemonSettings;
use tokio::sync::mpsc;

use crate::control_event::ControlEvent;
use crate::daemon_metrics::DaemonMetrics;
use crate::fleet_snapshot::FleetSnapshot;
use crate::peer_handle::PeerDirectory;
use crate::stored_answer::StoredAnswer;
use coltsfootkeel_transport::ProcessClock;

/// How long a caller may cache the answer of a look-up.
pub const LOOKUP_TTL: Duration = Duration::from_secs(5);

/// Bounds of the replay memory: 64 MiB of answers leave half of the daemon's 128 MiB for all other data.
const REPLAY_LIMITS: ReplayLimits = ReplayLimits {
    entries: 100_000,
    account_entries: 50_000,
    answer_bytes: 64 * 1024 * 1024,
    account_answer_bytes: 32 * 1024 * 1024,
};

/// The owners of idempotency keys according to the last heartbeats and the configuration.
#[derive(Debug)]
pub struct ReplayOwnership {
    /// The seats of the configuration in force, and earlier lists of seats whose holders may still own keys.
    pub roster: SeatRoster,
    /// This instance's tenure of its seat, which determines the keys that it owns; `None` without a seat.
    pub tenure: Option<SeatTenure>,
    /// The names of the peers that hold seats, by the name of the seat.
    pub holders: HashMap<String, String>,
}

/// The state that all threads share. The control thread writes the published tables.
#[derive(Debug)]
pub struct SharedState {
    /// The settings that the process was started with.
    pub settings: DaemonSettings,
    /// A random nonzero number that differs for each start of the process.
    pub incarnation: u64,
    /// The monotonic clock that all times of the process are read from.
    pub clock: ProcessClock,
    /// The configuration in force with its counters; `None` before the first one.
    pub snapshot: ArcSwapOption<FleetSnapshot>,
    /// The live entry instances, for look-ups; `None` before the first configuration.
    pub entries: ArcSwapOption<EntryTable>,
    /// The fingerprints of requests that may have crashed upstreams.
    pub suspects: ArcSwap<SuspectTable>,
    /// The owners of idempotency keys.
    pub replay_ownership: ArcSwap<ReplayOwnership>,
    /// The idempotency keys that this instance owns, with the state or the answer of their requests.
    pub replays: ReplayMemory<StoredAnswer>,
    /// The time until which request threads may spend tokens and slots. The control thread extends it on each tick.
    pub spend_lease: TimeLease,
    /// The time for which a withdrawal of an access key may have been missed.
    pub staleness: StalenessGauge,
    /// The retries that request threads may still send.
    pub retry_budget: RetryBudget,
    /// The connected peers.
    pub peers: PeerDirectory,
    /// The number of requests in progress.
    pub in_flight: Arc<AtomicU64>,
    /// Whether this instance is about to stop.
    pub leaving: AtomicBool,
    /// The metrics of the process.
    pub metrics: DaemonMetrics,
    /// The queue of events for the control thread.
    pub events: mpsc::UnboundedSender<ControlEvent>,
    next_request: AtomicU64,
}

impl SharedState {
    /// Creates the state of a process that has no configuration yet.
    #[must_use]
    pub fn new(
        settings: DaemonSettings,
        incarnation: u64,
        metrics: DaemonMetrics,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            clock: ProcessClock::start(),
            snapshot: ArcSwapOption::empty(),
            entries: ArcSwapOption::empty(),
            suspects: ArcSwap::default(),
            replay_ownership: ArcSwap::from_pointee(ReplayOwnership {
                roster: SeatRoster::new(Vec::new()),
                tenure: None,
                holders: HashMap::new(),
            }),
            replays: ReplayMemory::new(incarnation, REPLAY_LIMITS),
            spend_lease: TimeLease::new(),
            staleness: StalenessGauge::new(),
            retry_budget: RetryBudget::new(RetryPolicy::Limited),
            peers: PeerDirectory::default(),
            in_flight: Arc::default(),
            leaving: AtomicBool::new(false),
            metrics,
            events,
            next_request: AtomicU64::new(0),
        }
    }

    /// Returns the id of a new request. It consists of the incarnation and a sequence number, so it is unique in the
    /// fleet if incarnations are.
    #[must_use]
    pub fn next_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number:x}", self.incarnation)
    }

    /// Returns whether this instance is about to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Sends an event to the control thread. The event is dropped if the thread has stopped, which it does only when
    /// the process ends.
    pub fn send_event(&self, event: ControlEvent) {
        let _ = self.events.send(event);
    }
}
