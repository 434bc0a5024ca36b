//! What request threads and the control thread share: published snapshots, atomics and queues.

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
pub const LOOKUP_LIFE: Duration = Duration::from_secs(5);

/// Bounds of the replay memory: 64 MiB of answers leave half of a daemon's 128 MiB for everything else.
const REPLAY_LIMITS: ReplayLimits = ReplayLimits {
    entries: 100_000,
    account_entries: 50_000,
    answer_bytes: 64 * 1024 * 1024,
    account_answer_bytes: 32 * 1024 * 1024,
};

/// Who owns idempotency keys, as far as this instance knows.
#[derive(Debug)]
pub struct ReplayPlace {
    /// The seats in force and those in force lately.
    pub roster: SeatRoster,
    /// Since when this instance holds its seat, if it holds one.
    pub tenure: Option<SeatTenure>,
    /// The instance that holds each seat, by the last heartbeats.
    pub holders: HashMap<String, String>,
}

/// The state that all threads share.
#[derive(Debug)]
pub struct SharedState {
    /// The settings.
    pub settings: DaemonSettings,
    /// The number of this start of the process.
    pub incarnation: u64,
    /// The clock.
    pub clock: ProcessClock,
    /// The configuration in force with its counters.
    pub snapshot: ArcSwapOption<FleetSnapshot>,
    /// The live entry instances.
    pub entries: ArcSwapOption<EntryTable>,
    /// Requests that may have crashed upstreams.
    pub suspects: ArcSwap<SuspectTable>,
    /// Who owns idempotency keys.
    pub replay_place: ArcSwap<ReplayPlace>,
    /// The idempotency keys that this instance owns.
    pub replays: ReplayMemory<StoredAnswer>,
    /// The time until which request threads may spend.
    pub lease: TimeLease,
    /// For how long a withdrawal of a key may have been missed.
    pub doubt: StalenessGauge,
    /// The retries that are left.
    pub retries: RetryBudget,
    /// The connected peers.
    pub peers: PeerDirectory,
    /// Requests being carried.
    pub in_flight: Arc<AtomicU64>,
    /// Whether this instance is leaving.
    pub leaving: AtomicBool,
    /// Metrics.
    pub metrics: DaemonMetrics,
    /// Events for the control thread.
    pub events: mpsc::UnboundedSender<ControlEvent>,
    next_request: AtomicU64,
}

impl SharedState {
    /// Makes the state of a process that has no configuration yet.
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
            replay_place: ArcSwap::from_pointee(ReplayPlace {
                roster: SeatRoster::new(Vec::new()),
                tenure: None,
                holders: HashMap::new(),
            }),
            replays: ReplayMemory::new(incarnation, REPLAY_LIMITS),
            lease: TimeLease::new(),
            doubt: StalenessGauge::new(),
            retries: RetryBudget::new(RetryPolicy::Limited),
            peers: PeerDirectory::default(),
            in_flight: Arc::default(),
            leaving: AtomicBool::new(false),
            metrics,
            events,
            next_request: AtomicU64::new(0),
        }
    }

    /// Makes the id of a new request: unique in the fleet for as long as incarnations are.
    #[must_use]
    pub fn next_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number:x}", self.incarnation)
    }

    /// Tells whether this instance is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Reports to the control thread. It is gone only when the process ends.
    pub fn report(&self, event: ControlEvent) {
        let _ = self.events.send(event);
    }
}
