//! Slots at upstreams that are reserved for requests, and the requests that wait for one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::UpstreamKey;
use coltsfootkeel_steering::{LoadView, PlacementDecision, UpstreamState, short_hash};

use crate::entry_snapshot::{PoolState, QueueSignal};
use crate::request_context::RequestContext;

/// A slot at an upstream that is reserved for one request. Dropping it frees the slot and wakes queued requests of the
/// pool.
#[derive(Debug)]
pub struct SlotReservation {
    /// The key of the upstream in the snapshot of the request.
    pub key: UpstreamKey,
    /// The expected times at the upstream, and whether it is warm for the object.
    pub decision: PlacementDecision<UpstreamKey>,
    /// The number of other objects that the upstream handled after it last handled this one; `None` if it is not among
    /// the recent upstreams of the object in the affinity table.
    pub reuse_distance: Option<usize>,
    /// When the slot was reserved.
    pub reserved_at: MonotonicTime,
    /// The load that the upstream had stated when the slot was reserved; `None` without a valid report.
    pub stated_load: Option<LoadView>,
    /// The load that was observed when the slot was reserved.
    pub observed_load: LoadView,
    /// Whether the request is hedged: sent a second time to the same upstream.
    is_hedged: AtomicBool,
    state: Arc<UpstreamState>,
    pool: PoolState,
}

/// The number of queued requests that are woken when a slot is released. The first one may need another upstream that
/// has no free slot yet.
const WOKEN_PER_RELEASE: usize = 2;

impl SlotReservation {
    pub(crate) fn new(
        context: &RequestContext,
        decision: PlacementDecision<UpstreamKey>,
        reuse_distance: Option<usize>,
    ) -> Self {
        let state = Arc::clone(&context.snapshot.upstreams[decision.key].state);
        let now = context.shared.clock.now();
        let stated_load = state.stated_load(now);
        let observed_load = state.observed_load(now);
        state.begin_request();
        Self {
            key: decision.key,
            decision,
            reuse_distance,
            reserved_at: now,
            stated_load,
            observed_load,
            is_hedged: AtomicBool::new(false),
            state,
            pool: context.listed_pool().state.clone(),
        }
    }
}

/// Counts the second request of a hedged request as in flight at the upstream until it is dropped.
#[derive(Debug)]
pub struct HedgeGuard {
    state: Arc<UpstreamState>,
}

impl SlotReservation {
    /// Sets whether the request is hedged.
    pub fn set_hedged(&self, is_hedged: bool) {
        self.is_hedged.store(is_hedged, Ordering::Relaxed);
    }

    /// Returns whether the request is hedged.
    #[must_use]
    pub fn is_hedged(&self) -> bool {
        self.is_hedged.load(Ordering::Relaxed)
    }

    /// Counts the second request of a hedged request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn count_hedge(&self) -> HedgeGuard {
        self.state.begin_request();
        HedgeGuard {
            state: Arc::clone(&self.state),
        }
    }
}

impl Drop for HedgeGuard {
    fn drop(&mut self) {
        self.state.end_request();
    }
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        self.state.end_request();
        wake_for_upstream(&self.pool, &self.state);
    }
}

/// Wakes the first requests in the queue of a pool that may use a slot which an upstream has released.
fn wake_for_upstream(pool: &PoolState, state: &UpstreamState) {
    if pool.fair_queue.is_empty() {
        wake_queued(pool, WOKEN_PER_RELEASE);
        return;
    }
    let upstream = short_hash(state.hash);
    for sender in pool.fair_queue.pop_suited(upstream, WOKEN_PER_RELEASE) {
        // Sending fails if the request has ended in the meantime and dropped the receiver.
        let _ = sender.send(QueueSignal::Turn);
    }
}

/// Wakes the first `count` requests in the queue of a pool, so that they try again to reserve a slot.
pub fn wake_queued(pool: &PoolState, count: usize) {
    for sender in pool.request_queue.pop(count) {
        // Sending fails if the request has ended in the meantime and dropped the receiver.
        let _ = sender.send(());
    }
    if !pool.fair_queue.is_empty() {
        for sender in pool.fair_queue.pop(count) {
            let _ = sender.send(QueueSignal::Turn);
        }
    }
}
