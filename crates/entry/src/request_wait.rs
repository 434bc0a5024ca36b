//! Reserves an upstream's slot for a request, which waits in the queue of the pool while none is available.

use std::time::Duration;

use coltsfootkeel_steering::{
    QueuePosition, RequestQueue, StoppingRequest, max_queue_wait, queue_priority,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::entry_metrics::CounterName;
use crate::entry_snapshot::WakeSender;
use crate::limit_delays::time_until_send;
use crate::rejection::RejectKind;
use crate::request_flow::RequestFlow;
use crate::request_log::RequestLog;
use crate::slot_reservation::SlotReservation;
use crate::upstream_candidates::is_allowed;
use crate::upstream_choice::reserve_slot;

/// The lowest number of slots for which a wait is estimated.
const MIN_EFFECTIVE_SLOTS: f64 = 0.1;

impl RequestFlow {
    /// Reserves a slot at an upstream that can answer in time. Waits for one for up to [`max_queue_wait`].
    ///
    /// # Errors
    ///
    /// Returns the reason to reject the request if no slot can be reserved.
    pub(crate) async fn acquire_slot(
        &mut self,
        request_log: &mut RequestLog,
    ) -> Result<SlotReservation, RejectKind> {
        if self.context.remaining().is_zero() {
            return Err(RejectKind::TimedOut);
        }
        if let Some(reservation) = self.next_reservation.take() {
            return Ok(reservation);
        }
        self.check_grace_left()?;
        if self.context.listed_pool().state.is_contended() {
            return self.acquire_fairly(request_log).await;
        }
        if let Some(reservation) = reserve_slot(&self.context, &self.tried) {
            return Ok(reservation);
        }
        let started = self.context.shared.clock.now();
        let warm = self.context.home_time_estimate().warm;
        let objective_left = self.context.objective_left();
        let max_wait = max_queue_wait(objective_left, self.context.remaining(), warm);
        let request_queue = &self.context.listed_pool().state.request_queue;
        let priority = queue_priority(self.context.priority, objective_left, warm);
        let expected_wait = self.expected_wait(request_queue.count_ahead(priority));
        if expected_wait.max(time_until_send(&self.context)) > max_wait {
            return Err(RejectKind::NoCapacity);
        }
        let until = started + max_wait;
        self.context.shared.metrics.count(CounterName::Waits);
        let position = request_queue.assign_position(priority);
        let found = loop {
            if !wait_in_queue(request_queue, position, self.instant_of(until)).await {
                break reserve_slot(&self.context, &self.tried);
            }
            // The signal to stop may have come during the wait. Another instance can take the request.
            self.check_grace_left()?;
            if let Some(reservation) = reserve_slot(&self.context, &self.tried) {
                break Some(reservation);
            }
        };
        let waited = self.context.shared.clock.now().since(started);
        request_log.waited += waited;
        self.context.shared.metrics.waits.add(waited);
        self.check_grace_left()?;
        found.ok_or(RejectKind::NoCapacity)
    }

    /// Returns the expected time until the requests ahead in the queue have left the slots that this request may use.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let pool = self.context.listed_pool();
        let upstreams = pool.upstreams.iter();
        let allowed = upstreams
            .map(|key| &self.context.snapshot.upstreams[*key])
            .filter(|listed| is_allowed(&self.context, listed));
        let now = self.context.shared.clock.now();
        let slot_time = pool.state.slot_time.get().unwrap_or_default();
        let slots: f64 = allowed
            .map(|listed| listed.state.effective_slots(slot_time, now))
            .sum();
        let instances = self.context.shared.instance_count();
        // The queues of the other instances are assumed to be of the same length.
        let queued_requests = u32::try_from(ahead * instances).unwrap_or(u32::MAX);
        slot_time.mul_f64(f64::from(queued_requests) / slots.max(MIN_EFFECTIVE_SLOTS))
    }

    /// Rejects a request that may not complete before a stopping process is killed.
    pub(crate) fn check_grace_left(&self) -> Result<(), RejectKind> {
        let Some(grace_left) = self.context.shared.grace_left() else {
            return Ok(());
        };
        let request = StoppingRequest {
            is_idempotent: self.context.route_plan().is_idempotent(),
            expected_time: self.context.home_time_estimate().cold,
            deadline_left: self.context.remaining(),
        };
        if request.fits(grace_left) {
            Ok(())
        } else {
            Err(RejectKind::Stopping)
        }
    }
}

/// Waits until the request is woken. Returns `false` if that does not happen before `until`.
async fn wait_in_queue(
    request_queue: &RequestQueue<WakeSender>,
    position: QueuePosition,
    until: Instant,
) -> bool {
    let (sender, receiver) = oneshot::channel();
    request_queue.insert(position, sender);
    let _guard = QueueGuard {
        request_queue,
        position,
    };
    timeout_at(until, receiver).await.is_ok()
}

/// Removes the request from the queue, also when the caller closes its connection.
struct QueueGuard<'a> {
    request_queue: &'a RequestQueue<WakeSender>,
    position: QueuePosition,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.request_queue.remove(self.position);
    }
}
