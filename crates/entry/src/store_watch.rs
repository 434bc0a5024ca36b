//! Keeps one kind of store objects up to date: lists it, then watches it, and lists it again when the history has
//! expired or a call has failed.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{ObjectKind, StoreClient, WatchAnswer};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{PositionRange, ProbeTurn, StorePosition, StoreProbe, spread_wait};
use coltsfootkeel_transport::{AnswerFailure, CallError};

use crate::control_event::ControlEvent;
use crate::entry_metrics::CounterName;
use crate::reader_role::ReadCause;
use crate::shared_state::SharedState;

/// The pause after the first failed call; it doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause after a failed call. An entry that is missing for two seconds after the store's recovery is
/// removed, so the recovery must be detected well within that time.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// The longest pause after a failed call while another instance reads the store. What this instance misses then is only
/// its own way to the store.
const MAX_LONE_BACKOFF: Duration = Duration::from_secs(2);

/// The longest pause of an instance that lacks a change which another one has received. A change of the upstreams must
/// be in force soon after its way to the store is back.
const MAX_BEHIND_BACKOFF: Duration = Duration::from_millis(700);

/// The pause between the first list and the first watch. Instances that start together learn of each other in this time,
/// and only a few of them watch. Their own list is watched at once.
const FIRST_WATCH_DELAY: Duration = Duration::from_millis(500);

/// The longest wait of the first watch of a new reader, and of a watch after one that returned changes. Such an answer
/// confirms only the state at the start of the watch, so a short next watch keeps the age of the confirmed state from
/// adding up over two waits.
const WAIT_AFTER_CHANGE: Duration = Duration::from_millis(400);

/// The longest delay between the report of a change by another instance and reading it.
const MAX_PEER_REPORT_DELAY: Duration = Duration::from_millis(300);

/// The same for the list of instances, which changes with each of their starts. Instances also learn of each other by
/// heartbeats.
const MAX_INSTANCES_DELAY: Duration = Duration::from_secs(2);

/// The average time between the lists of two instances in a new era of the store. Each instance lists three kinds, and
/// the store takes about two thousand reads per second of all instances together.
const NEW_ERA_LIST_SPACING: Duration = Duration::from_millis(3);

/// How long a watch may miss a change that another instance has received, before it counts as dead. A live watch
/// returns a change about as soon as that of another instance.
const MAX_WATCH_LAG: Duration = Duration::from_millis(300);

/// Why an open watch is renewed on a new connection.
#[derive(Debug, Clone, Copy)]
enum RenewalReason {
    /// Another instance has received a change that this watch has not.
    MissedChange,
    /// A watch on another kind got no answer in time.
    SilentConnection,
}

/// How a kind of objects is watched.
#[derive(Debug, Clone, Copy)]
pub struct WatchConfig {
    /// The kind of objects.
    pub kind: ObjectKind,
    /// How long the store holds a watch without changes open.
    pub wait: Duration,
    /// The pause after a change, so that the next watch returns several changes together.
    pub batch_delay: Duration,
    /// Whether the readers end their watches one after the other, see [`spread_wait`].
    pub is_spread: bool,
}

/// Lists and watches a kind until the process ends.
pub async fn watch_kind(shared: Arc<SharedState>, client: Arc<StoreClient>, config: WatchConfig) {
    let mut watcher = KindWatcher {
        shared,
        client,
        config,
        backoff: INITIAL_BACKOFF,
        failing_since: None,
        has_listed: false,
    };
    let mut position = watcher.list().await;
    if config.kind != ObjectKind::Instances {
        tokio::time::sleep(FIRST_WATCH_DELAY).await;
    }
    loop {
        watcher.watch(position).await;
        position = watcher.list().await;
    }
}

struct KindWatcher {
    shared: Arc<SharedState>,
    client: Arc<StoreClient>,
    config: WatchConfig,
    backoff: Duration,
    failing_since: Option<MonotonicTime>,
    has_listed: bool,
}

impl KindWatcher {
    /// Lists the kind until it succeeds, and returns the position of the list.
    async fn list(&mut self) -> StorePosition {
        loop {
            let requested_at = self.shared.clock.now_with_suspension();
            self.shared.metrics.count(CounterName::StoreCalls);
            match self.client.list(self.config.kind).await {
                Ok(list) if list.position.era < self.shared.reader_role.era() => {
                    self.back_off(&"the answer is from an earlier era of the store")
                        .await;
                }
                Ok(list) => {
                    self.record_reading(requested_at);
                    let outage = self.end_outage();
                    let position = list.position;
                    self.shared.send_event(ControlEvent::Listed {
                        kind: self.config.kind,
                        list,
                        requested_at,
                        outage,
                        is_repeated: self.has_listed,
                    });
                    self.has_listed = true;
                    return position;
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Watches the kind from a position until it has to be listed again.
    async fn watch(&mut self, mut position: StorePosition) {
        let mut is_after_change = false;
        let mut is_abandoned = false;
        let mut was_reader = false;
        // The rank for which the end of this watch is already apart from those of the other readers.
        let mut spread_rank = None;
        loop {
            let due = self.wait_until_due(position).await;
            // Other instances may have sent the changes up to a later position.
            position = position.max(self.shared.reader_role.applied(self.config.kind));
            if position.era < self.shared.reader_role.era() {
                // The store has returned from an older copy: no watch continues what was read before.
                return;
            }
            let cause = match due {
                ReadCause::OwnWatch if is_abandoned => ReadCause::PeerReport,
                cause => cause,
            };
            is_abandoned = false;
            if cause == ReadCause::Outage {
                // Entries may have expired. Only a list after an outage, as after a failed call, shows which are
                // missing.
                let now = self.shared.clock.now_with_suspension();
                self.failing_since.get_or_insert(now);
                return;
            }
            let requested_at = self.shared.clock.now_with_suspension();
            self.shared.metrics.count(CounterName::StoreCalls);
            // A new reader does not know yet whether it reaches the store.
            let is_first_watch = !was_reader;
            was_reader = cause == ReadCause::OwnWatch;
            // What is written again after a return of the store is complete only some time later.
            let is_settled = !self.shared.freshness.is_unsettled();
            let rank = Some(self.shared.reader_role.rank());
            let wait = if is_after_change || is_first_watch || !is_settled {
                spread_rank = None;
                WAIT_AFTER_CHANGE.min(self.config.wait)
            } else if self.config.is_spread && spread_rank != rank {
                spread_rank = rank;
                spread_wait(self.shared.reader_role.rank(), self.config.wait)
            } else {
                self.config.wait
            };
            let mut reason = None;
            let renewal = async { reason = Some(self.wait_for_renewal(cause, position).await) };
            let watching = self.client.watch(self.config.kind, position, wait, renewal);
            match watching.await {
                Ok(WatchAnswer::Changes {
                    events,
                    unreadable,
                    position: next,
                }) => {
                    self.backoff = INITIAL_BACKOFF;
                    self.record_reading(requested_at);
                    let since = position;
                    position = next;
                    // A watch without changes confirms the state up to the end of its wait.
                    let is_unchanged = events.is_empty() && unreadable.is_empty();
                    is_after_change = self.config.batch_delay.is_zero() && !is_unchanged;
                    let (current_as_of, batch_delay) = if is_unchanged {
                        (requested_at + wait, Duration::ZERO)
                    } else {
                        (requested_at, self.config.batch_delay)
                    };
                    self.shared.send_event(ControlEvent::Changed {
                        kind: self.config.kind,
                        events,
                        unreadable,
                        range: PositionRange {
                            since,
                            until: position,
                        },
                        current_as_of: current_as_of.min(self.shared.clock.now_with_suspension()),
                    });
                    if !batch_delay.is_zero() {
                        tokio::time::sleep(batch_delay).await;
                    }
                }
                Ok(WatchAnswer::HistoryGone) => {
                    log::info!(
                        "store: The watch history of {:?} is gone, listing again.",
                        self.config.kind
                    );
                    return;
                }
                Err(CallError::Unknown(AnswerFailure::Abandoned)) => {
                    log::warn!(
                        reason:?;
                        "store: The watch on {:?} may be dead, reading again.",
                        self.config.kind
                    );
                    is_abandoned = true;
                }
                Err(error) => {
                    if matches!(error, CallError::Unknown(AnswerFailure::Timeout)) {
                        // Connections to the store often go silent together.
                        self.shared.store_silence.notify_waiters();
                    }
                    self.back_off(&error).await;
                    // Entries may have expired in the outage, and a list shows which are missing. It also succeeds
                    // sooner after the recovery than a watch, which may wait for a change.
                    return;
                }
            }
        }
    }

    /// Returns immediately if this instance watches the kind itself; otherwise waits until there is a reason to read
    /// it.
    async fn wait_until_due(&self, position: StorePosition) -> ReadCause {
        let reader_role = &self.shared.reader_role;
        if reader_role.is_reader() {
            return ReadCause::OwnWatch;
        }
        if self.config.kind == ObjectKind::Upstreams {
            self.shared
                .upstreams_read_since
                .set(MonotonicTime::default());
        }
        loop {
            let cause = reader_role.wait_until_due(self.config.kind, position).await;
            if cause != ReadCause::PeerReport {
                return cause;
            }
            // The random delay spreads the calls of instances that received the report together, and batches several
            // changes. In the meantime another instance may send the changes themselves.
            let delay = if position.era < reader_role.era() {
                // In a new era, all instances list at the same time.
                let instances = u32::try_from(self.shared.instance_count()).unwrap_or(u32::MAX);
                MAX_PEER_REPORT_DELAY.max(NEW_ERA_LIST_SPACING.saturating_mul(instances))
            } else if self.config.kind == ObjectKind::Instances {
                MAX_INSTANCES_DELAY
            } else {
                MAX_PEER_REPORT_DELAY
            };
            tokio::time::sleep(delay.mul_f64(fastrand::f64())).await;
            if reader_role.is_behind(self.config.kind, position) {
                return cause;
            }
        }
    }

    /// Waits until an open watch has to be renewed, and returns the reason.
    async fn wait_for_renewal(&self, cause: ReadCause, position: StorePosition) -> RenewalReason {
        tokio::select! {
            () = self.wait_until_lagging(cause, position) => RenewalReason::MissedChange,
            () = self.shared.store_silence.notified() => RenewalReason::SilentConnection,
        }
    }

    /// Waits until a watch misses a change that another instance has received. Never completes for a call that is made
    /// because of such a report: a store that answers slowly would otherwise never complete a call.
    async fn wait_until_lagging(&self, cause: ReadCause, position: StorePosition) {
        if cause == ReadCause::PeerReport {
            return std::future::pending().await;
        }
        let kind = self.config.kind;
        let reader_role = &self.shared.reader_role;
        loop {
            reader_role.wait_until_watch_behind(kind, position).await;
            // The random part spreads the calls of instances whose connections went silent at the same time. A change
            // that the previous watch has returned may not be applied yet.
            tokio::time::sleep(MAX_WATCH_LAG.mul_f64(1.0 + fastrand::f64())).await;
            if reader_role.is_watch_behind(kind, position) {
                return;
            }
        }
    }

    fn end_outage(&mut self) -> Duration {
        self.backoff = INITIAL_BACKOFF;
        self.shared.reader_role.set_failing(self.config.kind, false);
        let Some(since) = self.failing_since.take() else {
            return Duration::ZERO;
        };
        let outage = self.shared.clock.now_with_suspension().since(since);
        log::info!(outage_ms:% = outage.as_millis(); "store: {:?} can be read again.", self.config.kind);
        outage
    }

    /// Records that the store answers, and the start of the period in which the list of upstreams is read without a
    /// failure.
    fn record_reading(&self, requested_at: MonotonicTime) {
        let probe = &self.shared.store_probe;
        probe.send_if_modified(StoreProbe::record_answer);
        let since = &self.shared.upstreams_read_since;
        if self.config.kind == ObjectKind::Upstreams && since.get() == MonotonicTime::default() {
            since.set(requested_at);
        }
    }

    async fn back_off(&mut self, error: &(dyn Display + Sync)) {
        if self.config.kind == ObjectKind::Upstreams {
            self.shared
                .upstreams_read_since
                .set(MonotonicTime::default());
        }
        self.shared.reader_role.set_failing(self.config.kind, true);
        self.shared.metrics.count(CounterName::StoreFailures);
        if self.failing_since.is_none() {
            self.failing_since = Some(self.shared.clock.now_with_suspension());
            log::warn!("store: {:?} cannot be read: {error}.", self.config.kind);
        }
        let mut turn = ProbeTurn::Probes;
        let probe = &self.shared.store_probe;
        probe.send_if_modified(|probe| {
            turn = probe.record_failure(self.config.kind);
            false
        });
        if let ProbeTurn::Waits { answers } = turn {
            // The wait cannot fail, because the sender lives as long as `self.shared`.
            let _ = probe
                .subscribe()
                .wait_for(|probe| probe.answers() != answers)
                .await;
            self.backoff = INITIAL_BACKOFF;
            return;
        }
        // The random pause spreads the calls of instances that lost the store at the same time.
        let pause = self.backoff.mul_f64(0.5 + fastrand::f64());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.pause_while_behind() => {}
        }
        let max_backoff = if self.shared.reader_role.has_other_reader() {
            MAX_LONE_BACKOFF
        } else {
            MAX_BACKOFF
        };
        self.backoff = (self.backoff * 2).min(max_backoff);
    }

    /// Waits until another instance has received a change that this one lacks, then for the longest pause of an instance
    /// that is behind. The change may be of any kind: the tasks of the others wait for this one.
    async fn pause_while_behind(&self) {
        self.shared.reader_role.wait_until_any_behind().await;
        tokio::time::sleep(MAX_BEHIND_BACKOFF.mul_f64(0.5 + fastrand::f64())).await;
    }
}
