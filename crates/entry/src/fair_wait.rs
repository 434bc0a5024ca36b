//! Reserves an upstream's slot for a request of a contended pool: its room changes many times a second, or the settings
//! state that callers compete for it. While no slot is available, the request waits in the fair queue of the pool, unless
//! its turn at the upstreams that suit it is not expected in time.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{AccountKey, UpstreamKey};
use coltsfootkeel_steering::{
    FairQueue, ForecastCandidate, QueueLoad, QueueTicket, QueuedRequest, RequestClass,
    UpstreamRoom, UpstreamSet, ahead_of_all, max_queue_wait, may_have_turn, short_hash,
    stable_hash, turn_time, wait_until,
};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::entry_metrics::CounterName;
use crate::entry_snapshot::{ListedUpstream, PoolState, QueueSignal, SignalSender};
use crate::limit_delays::time_until_send;
use crate::rejection::RejectKind;
use crate::request_context::RequestContext;
use crate::request_flow::RequestFlow;
use crate::request_log::RequestLog;
use crate::slot_reservation::SlotReservation;
use crate::upstream_candidates::{CandidateView, is_allowed};
use crate::upstream_choice::reserve_slot;

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
        let mut request = queued_request(&self.context);
        if !self.tried.is_empty() {
            // An attempt has taken the time for a prompt refusal, so a late answer is worth more to the caller.
            request.until = request.since + late_wait(&self.context);
        }
        if self.tried.is_empty() {
            pool.fair_queue.shares.count_arrival(request.class.rank);
        }
        let mut rooms = None;
        if !pool.fair_queue.is_next(&request) {
            // It may still be next among the requests that compete for the same upstreams.
            rooms = Some(self.set_suitable(&mut request));
        }
        if pool.fair_queue.is_next(&request)
            && let Some(reservation) = reserve_slot(&self.context, &self.tried)
        {
            pool.fair_queue.count_served(&request);
            return Ok(reservation);
        }
        let rooms = rooms.unwrap_or_else(|| self.set_suitable(&mut request));
        let metrics = &self.context.shared.metrics;
        if !self.has_turn_in_time(&request, &rooms) {
            metrics.count(CounterName::RefusedAtOnce);
            return Err(RejectKind::NoCapacity);
        }
        metrics.count(CounterName::Waits);
        let found = self.wait_for_turn(&pool, request).await;
        let waited = self.context.shared.clock.now().since(request.since);
        request_log.waited += waited;
        metrics.waits.add(waited);
        if let Ok(Some(_)) = found {
            pool.fair_queue.count_served(&request);
        } else {
            metrics.count(CounterName::RefusedAfterWait);
        }
        found?.ok_or(RejectKind::NoCapacity)
    }

    /// Finds the upstreams that suit a request, and returns the room that they have for it.
    fn set_suitable(&self, request: &mut QueuedRequest) -> Vec<UpstreamRoom<UpstreamKey>> {
        let rooms = suitable_rooms(&self.context, &self.tried);
        request.suitable = upstream_set(&self.context, &rooms);
        rooms
    }

    /// Returns whether a request has its turn at one of the upstreams that suit it before it stops to wait, if it
    /// begins to wait now.
    fn has_turn_in_time(
        &self,
        request: &QueuedRequest,
        rooms: &[UpstreamRoom<UpstreamKey>],
    ) -> bool {
        let pool = self.context.listed_pool();
        let upstreams = pool_size(&self.context);
        let own = pool.state.fair_queue.competing(&request.suitable);
        let others = pool.state.competing_elsewhere.load();
        let others = others.count(&request.suitable, upstreams);
        let ahead = pool.state.fair_queue.count_ahead(request);
        let ahead = ahead_of_all(ahead, own, others);
        let longest = request.until.since(request.since);
        time_until_send(&self.context) <= longest && may_have_turn(rooms, ahead, longest)
    }

    /// Returns whether a request that could not use its turn is still expected to get a slot before it stops to wait.
    fn may_get_slot(&self, request: &QueuedRequest) -> bool {
        let rooms = suitable_rooms(&self.context, &self.tried);
        let longest = request.until.since(self.context.shared.clock.now());
        may_have_turn(&rooms, 0.0, longest)
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
            if !self.may_get_slot(&request) {
                return Ok(None);
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
    QueuedRequest {
        class: RequestClass {
            is_late: context.objective_left() < context.home_time_estimate().warm,
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
            max_wait(context),
            now,
        ),
        suitable: UpstreamSet::all(pool_size(context)),
    }
}

fn pool_size(context: &RequestContext) -> u32 {
    u32::try_from(context.listed_pool().upstreams.len()).unwrap_or(u32::MAX)
}

/// Returns the upstreams that suit the request and are not in `tried`, with the room that they have for it.
fn suitable_rooms(
    context: &RequestContext,
    tried: &[UpstreamKey],
) -> Vec<UpstreamRoom<UpstreamKey>> {
    let now = context.shared.clock.now();
    let Some(view) = CandidateView::new(context, tried, now) else {
        return Vec::new();
    };
    let candidates = view.suitable().map(|key| ForecastCandidate {
        candidate: view.candidate(key, context.snapshot.upstreams[key].state.load(now)),
        closed_for: view.closed_for(key),
    });
    view.placement_request(false).forecast_room(candidates)
}

/// Returns the set of these upstreams: all of the pool if the object may be placed at a new one.
fn upstream_set(context: &RequestContext, rooms: &[UpstreamRoom<UpstreamKey>]) -> UpstreamSet {
    if rooms.iter().any(|room| !room.is_warm) {
        return UpstreamSet::all(pool_size(context));
    }
    let hashes = rooms.iter().map(|room| {
        let state = &context.snapshot.upstreams[room.key].state;
        short_hash(state.hash)
    });
    UpstreamSet::listed(hashes)
}

/// Returns how long a request may wait if a warm answer may come as late as its deadline.
fn late_wait(context: &RequestContext) -> Duration {
    let warm = context.home_time_estimate().warm;
    context.remaining().saturating_sub(warm)
}

/// Returns how long a request may wait for its answer to be of use.
fn max_wait(context: &RequestContext) -> Duration {
    let warm = context.home_time_estimate().warm;
    max_queue_wait(context.objective_left(), context.remaining(), warm)
}

/// Returns the part of the account's agreed rate that falls to this instance by the demand at all instances, so that an
/// account gets one share however many instances it sends through; the mean of all accounts where no rate is agreed.
fn account_weight(context: &RequestContext) -> f64 {
    let snapshot = &context.snapshot;
    let weight = |key: AccountKey| {
        let rate_per_s = snapshot.plan.accounts[key].rate_per_s?;
        let fraction = snapshot.quotas[key].as_ref()?.demand_fraction();
        Some(rate_per_s * fraction)
    };
    context.account.and_then(weight).unwrap_or_else(|| {
        let weights = snapshot.plan.accounts.iter();
        let weights = weights.filter_map(|(key, _)| weight(key));
        let (count, sum) = weights.fold((0.0, 0.0), |(count, sum), weight| {
            (count + 1.0, sum + weight)
        });
        if count > 0.0 { sum / count } else { 1.0 }
    })
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
    let capacity_per_s = capacity_per_s(allowed, slot_time, now);
    turn_time(
        own_demand(pool, now),
        *pool.others.load().as_ref(),
        capacity_per_s,
    )
}

/// Returns the requests per second that the slots of upstreams allow if each request occupies one for `slot_time`.
pub(crate) fn capacity_per_s<'a>(
    upstreams: impl Iterator<Item = &'a ListedUpstream>,
    slot_time: Duration,
    now: MonotonicTime,
) -> f64 {
    /// Shortest time of a run that is assumed, in seconds.
    const MIN_SLOT_TIME_S: f64 = 0.001;
    let slots = upstreams.map(|listed| {
        let cost_factor = listed.state.load(now).cost_factor;
        listed.state.effective_slots(slot_time, now) / cost_factor
    });
    slots.sum::<f64>() / slot_time.as_secs_f64().max(MIN_SLOT_TIME_S)
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
    // Within the time of a run, each slot that suits the request becomes free once.
    let slot_time = pool.slot_time.get().unwrap_or_default();
    let queue_wait = turn_time.saturating_mul(waiting) + slot_time;
    pool.returns
        .delay(queue_wait, turn_time, context.caller_time_left(), now)
}
