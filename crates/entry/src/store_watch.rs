//! Follows one kind of objects in the store: lists it, then watches it, and lists it again when the history is gone or a
//! call has failed.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{ObjectKind, StoreClient, WatchAnswer};
use coltsfootkeel_counters::MonotonicTime;

use crate::control_event::ControlEvent;
use crate::entry_metrics::CounterName;
use crate::shared_state::SharedState;
use crate::store_duty::ReadCause;

/// The first pause after a failed call; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after a failed call. An entry that is missing for two seconds after the store's return is gone, so
/// the return must be noticed well within that.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// An answer with changes tells only what was so when the watch began. The next watch is short, so that the age of what is
/// known does not add up over two waits.
const WAIT_AFTER_CHANGE: Duration = Duration::from_millis(400);

/// The longest pause between being told of a change and reading it.
const TOLD_PAUSE: Duration = Duration::from_millis(300);

/// How a kind is followed.
#[derive(Debug, Clone, Copy)]
pub struct FollowPlan {
    /// The kind.
    pub kind: ObjectKind,
    /// How long each watch waits.
    pub wait: Duration,
    /// The pause after a change.
    pub settle: Duration,
    /// Whether a few instances watch the kind for the others. The configuration is watched by each, because the watch
    /// confirms that no key was withdrawn.
    pub is_shared: bool,
}

/// Follows a kind for as long as the process runs.
pub async fn follow_kind(shared: Arc<SharedState>, client: Arc<StoreClient>, plan: FollowPlan) {
    let mut follow = KindFollow {
        shared,
        client,
        plan,
        pause: FIRST_PAUSE,
        failing_since: None,
        has_listed: false,
    };
    loop {
        let revision = follow.list().await;
        follow.watch(revision).await;
    }
}

struct KindFollow {
    shared: Arc<SharedState>,
    client: Arc<StoreClient>,
    plan: FollowPlan,
    pause: Duration,
    failing_since: Option<MonotonicTime>,
    has_listed: bool,
}

impl KindFollow {
    /// Lists the kind until it succeeds, and returns the revision of the list.
    async fn list(&mut self) -> u64 {
        loop {
            let asked_at = self.shared.clock.now_with_suspension();
            self.shared.metrics.count(CounterName::StoreCalls);
            match self.client.list(self.plan.kind).await {
                Ok(list) => {
                    self.note_reading(asked_at);
                    let outage = self.succeed();
                    let revision = list.revision;
                    self.shared.report(ControlEvent::Listed {
                        kind: self.plan.kind,
                        list,
                        asked_at,
                        outage,
                        is_repeated: self.has_listed,
                    });
                    self.has_listed = true;
                    return revision;
                }
                Err(error) => self.fail(&error).await,
            }
        }
    }

    /// Watches the kind from a revision until the history is gone.
    async fn watch(&mut self, mut revision: u64) {
        let mut is_after_change = false;
        loop {
            let cause = self.wait_for_cause(revision).await;
            if cause == ReadCause::Outage {
                // Entries may have lapsed, so their absence is judged by a list as after a failure of its own.
                let now = self.shared.clock.now_with_suspension();
                self.failing_since.get_or_insert(now);
                return;
            }
            let asked_at = self.shared.clock.now_with_suspension();
            self.shared.metrics.count(CounterName::StoreCalls);
            let wait = if is_after_change || cause == ReadCause::Told {
                WAIT_AFTER_CHANGE.min(self.plan.wait)
            } else {
                self.plan.wait
            };
            match self.client.watch(self.plan.kind, revision, wait).await {
                Ok(WatchAnswer::Changes {
                    events,
                    revision: next,
                }) => {
                    self.pause = FIRST_PAUSE;
                    self.note_reading(asked_at);
                    revision = next;
                    // A watch without changes was answered when its wait was over.
                    is_after_change = self.plan.settle.is_zero() && !events.is_empty();
                    let (known_to, settle) = if events.is_empty() {
                        (asked_at + wait, Duration::ZERO)
                    } else {
                        (asked_at, self.plan.settle)
                    };
                    self.shared.report(ControlEvent::Changed {
                        kind: self.plan.kind,
                        events,
                        revision,
                        known_to: known_to.min(self.shared.clock.now_with_suspension()),
                    });
                    if !settle.is_zero() {
                        tokio::time::sleep(settle).await;
                    }
                }
                Ok(WatchAnswer::HistoryGone) => {
                    log::info!(
                        "store: The history of {:?} is gone, listing again.",
                        self.plan.kind
                    );
                    return;
                }
                Err(error) => {
                    self.fail(&error).await;
                    // Entries may have lapsed while the store was away, so their absence is judged by a list. A list also
                    // tells of the store's return sooner than a watch that waits.
                    return;
                }
            }
        }
    }

    /// Waits, while other instances watch the kind, until there is something to read.
    async fn wait_for_cause(&self, revision: u64) -> ReadCause {
        let duty = &self.shared.duty;
        if !self.plan.is_shared || duty.is_reader() {
            return ReadCause::Duty;
        }
        if self.plan.kind == ObjectKind::Upstreams {
            self.shared.upstreams_read.set(MonotonicTime::default());
        }
        let cause = duty.wait_for_cause(self.plan.kind, revision).await;
        if cause == ReadCause::Told {
            // Instances that were told together come one after the other, and take several changes together.
            tokio::time::sleep(TOLD_PAUSE.mul_f64(fastrand::f64())).await;
        }
        cause
    }

    fn succeed(&mut self) -> Duration {
        self.pause = FIRST_PAUSE;
        self.shared.duty.set_failing(self.plan.kind, false);
        let Some(since) = self.failing_since.take() else {
            return Duration::ZERO;
        };
        let outage = self.shared.clock.now_with_suspension().since(since);
        log::info!(outage_ms:% = outage.as_millis(); "store: {:?} can be read again.", self.plan.kind);
        outage
    }

    /// Notes since when the list of upstreams is read without a failure.
    fn note_reading(&self, asked_at: MonotonicTime) {
        let since = &self.shared.upstreams_read;
        if self.plan.kind == ObjectKind::Upstreams && since.get() == MonotonicTime::default() {
            since.set(asked_at);
        }
    }

    async fn fail(&mut self, error: &coltsfootkeel_transport::CallError) {
        if self.plan.kind == ObjectKind::Upstreams {
            self.shared.upstreams_read.set(MonotonicTime::default());
        }
        self.shared.duty.set_failing(self.plan.kind, true);
        self.shared.metrics.count(CounterName::StoreFailures);
        if self.failing_since.is_none() {
            self.failing_since = Some(self.shared.clock.now_with_suspension());
            log::warn!("store: {:?} cannot be read: {error}.", self.plan.kind);
        }
        // Instances that lost the store together come back spread out.
        tokio::time::sleep(self.pause.mul_f64(0.5 + fastrand::f64())).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
