//! Reserves an upstream's slot for a request of a pool whose room changes many times a second. While none is available,
//! the request waits in the fair queue of the pool, unless its turn is not expected in time.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    FairQueue, QueueLoad, QueueTicket, QueuedRequest, RequestClass, max_queue_wait, stable_hash,
    turn_time, wait_until,
};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::entry_metrics::CounterName;
use crate::entry_snapshot::{PoolState, QueueSignal, SignalSender};
use crate::limit_delays::time_until_send;
use crate::rejection::RejectKind;
use crate::request_context::RequestContext;
use crate::request_flow::RequestFlow;
use crate::request_log::RequestLog;
use crate::upstream_choice::{SlotReservation, is_allowed, reserve_slot};

impl RequestFlow {
    /// Reserves a slot at an upstream that can answer in time. Waits for one while the turn of the request is expected
    /// in time.
    ///
    /// # Errors
    ///
    /// Returns the reason to reject the request if no slot can be reserved.
    pub(crate) async fn acquire_fairly(
        &mut self,
        request_log: &mut RequestLog,
    ) -> Result<SlotReservation, RejectKind> {
        let pool = self.context.listed_pool().state.clone();
        let request = queued_request(&self.context);
        if self.tried.is_empty() {
            pool.fair_queue.shares.count_arrival(request.class.rank);
        }
        if pool.fair_queue.is_next(&request)
            && let Some(reservation) = reserve_slot(&self.context, &self.tried)
        {
            pool.fair_queue.count_served(&request);
            return Ok(reservation);
        }
        let expected_wait = expected_wait(&self.context, &request);
        let allowed_wait = request.until.since(request.since);
        if expected_wait.max(time_until_send(&self.context)) > allowed_wait {
            self.context
                .shared
                .metrics
                .count(CounterName::RefusedAtOnce);
            return Err(RejectKind::NoCapacity);
        }
        self.context.shared.metrics.count(CounterName::Waits);
        let found = self.wait_for_turn(&pool, request).await;
        let waited = self.context.shared.clock.now().since(request.since);
        request_log.waited += waited;
        self.context.shared.metrics.waits.add(waited);
        if let Ok(Some(_)) = found {
            pool.fair_queue.count_served(&request);
        } else {
            self.context
                .shared
                .metrics
                .count(CounterName::RefusedAfterWait);
        }
        found?.ok_or(RejectKind::NoCapacity)
    }

    async fn wait_for_turn(
        &self,
        pool: &PoolState,
        request: QueuedRequest,
    ) -> Result<Option<SlotReservation>, RejectKind> {
        let guard = WaitGuard {
            queue: &pool.fair_queue,
            ticket: pool.fair_queue.begin_wait(request),
        };
        let until = self.instant_of(request.until);
        loop {
            let (sender, receiver) = oneshot::channel();
            pool.fair_queue.insert(&guard.ticket, sender);
            let signal = timeout_at(until, receiver).await;
            // The signal to stop may have come during the wait. Another instance can take the request.
            self.check_grace_left()?;
            match signal {
                Ok(Ok(QueueSignal::Turn)) => {}
                Ok(Ok(QueueSignal::GiveUp)) => return Ok(None),
                Ok(Err(_)) | Err(_) => return Ok(reserve_slot(&self.context, &self.tried)),
            }
            if let Some(reservation) = reserve_slot(&self.context, &self.tried) {
                return Ok(Some(reservation));
            }
        }
    }
}

/// Ends the wait of a request, also when the caller closes its connection.
struct WaitGuard<'a> {
    queue: &'a FairQueue<SignalSender>,
    ticket: QueueTicket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.end_wait(&self.ticket);
    }
}

/// Returns the request as the queue sees it, if it begins to wait now.
fn queued_request(context: &RequestContext) -> QueuedRequest {
    let now = context.shared.clock.now();
    let warm = context.home_time_estimate().warm;
    let objective_left = context.objective_left();
    let max_wait = max_queue_wait(objective_left, context.remaining(), warm);
    QueuedRequest {
        class: RequestClass {
            is_late: objective_left < warm,
            rank: context.priority,
        },
        account: context
            .account_name()
            .map_or(0, |name| stable_hash(name.as_bytes())),
        weight: account_weight(context),
        is_returned: !context.age.is_zero(),
        since: now,
        until: wait_until(
            context.arrived,
            context.route_plan().objective,
            max_wait,
            now,
        ),
    }
}

/// Returns the rate that is agreed with the account; the mean of all accounts where none is agreed.
fn account_weight(context: &RequestContext) -> f64 {
    let plan = &context.snapshot.plan;
    let own = context
        .account
        .and_then(|key| plan.accounts[key].rate_per_s);
    own.unwrap_or_else(|| {
        let rates = plan
            .accounts
            .iter()
            .filter_map(|(_, account)| account.rate_per_s);
        let (count, sum) = rates.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
        if count > 0.0 { sum / count } else { 1.0 }
    })
}

/// Returns the expected time until a request has its turn.
fn expected_wait(context: &RequestContext, request: &QueuedRequest) -> Duration {
    let ahead = context.listed_pool().state.fair_queue.count_ahead(request);
    pool_turn_time(context, request.since).mul_f64(ahead + 1.0)
}

/// Returns the time between two turns in the queue of this instance.
pub(crate) fn pool_turn_time(context: &RequestContext, now: MonotonicTime) -> Duration {
    let pool = &context.listed_pool().state;
    let upstreams = context.listed_pool().upstreams.iter();
    let allowed = upstreams
        .map(|key| &context.snapshot.upstreams[*key])
        .filter(|listed| is_allowed(context, listed));
    let slot_time = pool.slot_time.get();
    let slot_time = slot_time.unwrap_or_else(|| context.home_time_estimate().cold);
    let slots = allowed.map(|listed| {
        let cost_factor = listed.state.load(now).cost_factor;
        listed.state.effective_slots(slot_time, now) / cost_factor
    });
    let capacity_per_s = slots.sum::<f64>() / slot_time.as_secs_f64().max(0.001);
    turn_time(
        own_demand(pool, now),
        *pool.others.load().as_ref(),
        capacity_per_s,
    )
}

/// Returns what waits at this instance.
pub(crate) fn own_demand(pool: &PoolState, now: MonotonicTime) -> QueueLoad {
    QueueLoad {
        waiting: u32::try_from(pool.fair_queue.len()).unwrap_or(u32::MAX),
        oldest_wait: pool.fair_queue.summary(now).oldest_wait,
        completed_per_s: pool.completions.per_s(),
    }
}

/// Returns the `Retry-After` of a request that is refused now: when room for its caller is expected.
pub(crate) fn return_delay(context: &RequestContext) -> Duration {
    let now = context.shared.clock.now();
    let pool = &context.listed_pool().state;
    let turn_time = pool_turn_time(context, now);
    let waiting = u32::try_from(pool.fair_queue.len()).unwrap_or(u32::MAX);
    let queue_wait = turn_time.saturating_mul(waiting);
    pool.returns
        .delay(queue_wait, turn_time, context.caller_time_left(), now)
}
