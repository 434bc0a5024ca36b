//! Selects the upstream for a request and reserves a slot there.
//!
//! An upstream is warm for an object that it is expected to have cached, because it handled the object within the
//! retention time of the affinity table and few others since. It answers requests for that object in a fraction of the
//! time.

use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::UpstreamKey;
use coltsfootkeel_steering::{
    LoadView, PlacementDecision, PlacementReason, UpstreamState, cold_send_interval, short_hash,
};

use crate::limit_delays::count_limited_demand;
use crate::request_context::RequestContext;
use crate::shared_state::PlacementReport;
use crate::slot_reservation::SlotReservation;
use crate::upstream_candidates::{CandidateView, reuse_distance};

/// Reserves a slot at the best upstream that is not in `tried`. Returns `None` if the request has to wait: no candidate
/// can answer in time, or the best one is in its cold start and may not receive a request from this instance yet.
pub fn reserve_slot(context: &RequestContext, tried: &[UpstreamKey]) -> Option<SlotReservation> {
    let now = context.shared.clock.now();
    let view = CandidateView::new(context, tried, now)?;
    let spill_budget = &context.listed_pool().state.spill_budget;
    let request = view.placement_request(may_be_hedged(context));
    count_limited_demand(context, view.region);
    let choose = |load: fn(&UpstreamState, MonotonicTime) -> LoadView| {
        let candidates = view.eligible().map(|key| {
            let load = load(&context.snapshot.upstreams[key].state, now);
            view.candidate(key, load)
        });
        request.choose(candidates)
    };
    let decision = choose_untried(context, &view)
        .or_else(|| choose(UpstreamState::load))
        .or_else(|| {
            let has_room = states_cost(context) && is_half_idle(context, &view);
            has_room.then(|| choose(UpstreamState::observed_load))?
        })?;
    let state = &context.snapshot.upstreams[decision.key].state;
    let reuse_distance = reuse_distance(state, &view.recent);
    if !state.rate_limit.claim(now) {
        return None;
    }
    if state.is_in_cold_start(now) && !reserve_cold_interval(context, state, now) {
        return None;
    }
    if decision.changes_region && tried.is_empty() {
        spill_budget.charge();
    }
    if let Some(object) = context.object {
        let upstream = short_hash(state.hash);
        context.shared.affinity_table.record(object, upstream, now);
        // If the queue is full, the report is dropped; the other instances receive one with a later request for the
        // object.
        let _ = context
            .shared
            .placement_reports
            .push(PlacementReport { object, upstream });
    }
    Some(SlotReservation::new(context, decision, reuse_distance))
}

/// Returns whether the request can be hedged, so that its object may move to an upstream that is not warm.
fn may_be_hedged(context: &RequestContext) -> bool {
    context.route_plan().is_idempotent()
        && context.object.is_some()
        && has_unreserved_retry(context)
}

/// Returns whether the retry budget of the pool allows a retry without its reserve for failures.
pub fn has_unreserved_retry(context: &RequestContext) -> bool {
    let retry_budget = &context.listed_pool().state.retry_budget;
    let shared = &context.shared;
    retry_budget.has_unreserved_retry(shared.retry_limit(), shared.sharer_count())
}

/// Chooses an upstream of a region that no instance has used yet, for an idempotent request. Returns `None` if there is
/// none or if its cold answer would miss the deadline.
fn choose_untried(
    context: &RequestContext,
    view: &CandidateView,
) -> Option<PlacementDecision<UpstreamKey>> {
    if !context.route_plan().is_idempotent() {
        return None;
    }
    let state = |key: UpstreamKey| &context.snapshot.upstreams[key].state;
    // Few upstreams are untried, so the cheap check comes first.
    let is_untried = |key: &UpstreamKey| {
        let state = state(*key);
        state.is_untried() && state.info.region == view.region && state.in_flight() == 0
    };
    let mut upstreams = context.listed_pool().upstreams.iter();
    if !upstreams.any(is_untried) {
        return None;
    }
    let key = view.eligible().find(is_untried)?;
    let cold = context.time_estimate(view.region).cold;
    (cold <= context.remaining()).then_some(PlacementDecision {
        key,
        reason: PlacementReason::Untried,
        preferred: key,
        changes_region: false,
        expected: cold,
        queue_delay: Duration::ZERO,
        is_warm: false,
    })
}

/// Returns whether upstreams of the request's pool state the present cost of work.
fn states_cost(context: &RequestContext) -> bool {
    let pool = &context.listed_pool().state;
    pool.states_cost.load(Ordering::Relaxed)
}

/// Returns whether the requests that all instances have in flight leave half of the slots free, so that reports which
/// say that no upstream has room are wrong.
fn is_half_idle(context: &RequestContext, view: &CandidateView) -> bool {
    let (mut in_flight, mut slots) = (0, 0);
    for key in view.eligible() {
        let state = &context.snapshot.upstreams[key].state;
        in_flight += state.in_flight();
        slots += state.info.slots;
    }
    in_flight * 2 < slots
}

/// Starts the next interval in which this instance may send one request to a cold upstream. Returns whether the request
/// may be sent now.
fn reserve_cold_interval(
    context: &RequestContext,
    state: &UpstreamState,
    now: MonotonicTime,
) -> bool {
    let fleet = context.shared.fleet.load();
    let cold_per_s = context.snapshot.plan.pools[context.pool].cold_per_s;
    if fleet.sharing_instances.is_empty() {
        return false;
    }
    let interval = cold_send_interval(
        state.hash,
        context.shared.own_hash,
        &fleet.sharing_instances,
        &fleet.sharer_sizes,
        cold_per_s,
    );
    let Some(interval) = interval else {
        // Other instances send to this upstream while it is cold.
        state.next_cold_send.advance(state.cold_until.get());
        return false;
    };
    state.next_cold_send.claim_if_due(now, interval)
}
