//! Requests that are started before the previous one on their connection is answered.

use coltsfootkeel_steering::{
    EarlyRequest, MAX_EARLY_BYTES, MAX_EARLY_REQUESTS, PlanMatch, RoutePlan,
};
use coltsfootkeel_transport::{EarlyEvent, ReadAheadLimits};
use http::request::Parts;

use crate::entry_metrics::CounterName;
use crate::entry_snapshot::EntrySnapshot;
use crate::request_context::find_route;
use crate::shared_state::SharedState;

/// How much of a caller's connection is read while an answer is outstanding.
pub const READ_AHEAD_LIMITS: ReadAheadLimits = ReadAheadLimits {
    max_requests: MAX_EARLY_REQUESTS,
    max_bytes: MAX_EARLY_BYTES,
};

/// Returns whether the request with this head starts before its turn, behind `started` others that did so.
pub fn may_start_early(shared: &SharedState, head: &Parts, started: usize) -> bool {
    let snapshot = shared.snapshot.load();
    let Some(snapshot) = snapshot.as_ref() else {
        return false;
    };
    let PlanMatch::Found(route) = find_route(snapshot, head) else {
        return false;
    };
    let route_plan = &snapshot.plan.routes[route];
    let request = EarlyRequest {
        is_idempotent: route_plan.is_idempotent(),
        is_stopping: shared.is_stopping(),
        started,
        queued: queued_requests(snapshot, route_plan),
        kept_fraction: shared.kept_bytes.taken_fraction(),
    };
    request.may_start()
}

/// Returns the length of the longest queue among the pools of a route.
fn queued_requests(snapshot: &EntrySnapshot, route_plan: &RoutePlan) -> usize {
    let pools = route_plan.usable_pools();
    let lengths = pools.map(|pool| {
        let state = &snapshot.pools[pool].state;
        if state.is_contended() {
            state.fair_queue.len()
        } else {
            state.request_queue.count_ahead(u32::MAX)
        }
    });
    lengths.max().unwrap_or_default()
}

/// Counts what happened to requests that were started early.
pub fn count_early(shared: &SharedState, event: EarlyEvent, count: usize) {
    let counter = match event {
        EarlyEvent::Started => CounterName::EarlyStarts,
        EarlyEvent::Held => CounterName::EarlyAnswers,
        EarlyEvent::TakenBack => CounterName::EarlyTakenBack,
    };
    shared.metrics.count_many(counter, count as u64);
}
