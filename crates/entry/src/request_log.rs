//! The log line of one request: the inputs of its decisions, its attempts and its outcome.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::UpstreamKey;
use http::StatusCode;

use crate::entry_metrics::CounterName;
use crate::rejection::{RejectKind, Rejection};
use crate::request_context::RequestContext;
use crate::shared_state::SharedState;
use crate::slot_reservation::SlotReservation;

/// Collects the values of a request's log line, which is written when the request ends. A log that is dropped before
/// that records that the caller closed its connection.
#[derive(Debug)]
pub struct RequestLog {
    shared: Arc<SharedState>,
    /// The attempt id in the caller's headers.
    pub attempt_id: String,
    /// The name of the route; empty before admission.
    pub route: String,
    /// The name of the client account; empty without one.
    pub account: String,
    /// The version of the plan that applied to the request.
    pub plan_version: u64,
    /// The hash of the object; zero without one.
    pub object: u64,
    /// The attempts, separated by spaces: id of the upstream, its region, the code of the reason for selecting it, and
    /// outcome code.
    pub attempts: String,
    /// The region of the first upstream in the object's preference order, as of the first attempt; empty before it.
    pub preferred_region: String,
    /// The time that the request spent in the queue of its pool.
    pub waited: Duration,
    arrived: MonotonicTime,
    is_finished: bool,
}

impl RequestLog {
    /// Creates the log of a request that arrived at `arrived`.
    #[must_use]
    pub fn new(shared: &Arc<SharedState>, attempt_id: &str, arrived: MonotonicTime) -> Self {
        Self {
            shared: Arc::clone(shared),
            attempt_id: attempt_id.to_string(),
            route: String::new(),
            account: String::new(),
            plan_version: 0,
            object: 0,
            attempts: String::new(),
            preferred_region: String::new(),
            waited: Duration::ZERO,
            arrived,
            is_finished: false,
        }
    }

    /// Adds the route, account, object and plan version of an admitted request.
    pub fn record_admission(&mut self, context: &RequestContext) {
        self.route.clone_from(&context.route_plan().name);
        self.account = context.account_name().unwrap_or_default().to_string();
        self.object = context.object.unwrap_or_default();
        self.plan_version = context.snapshot.plan.version;
    }

    /// Adds an attempt with its outcome code.
    pub fn record_attempt(
        &mut self,
        context: &RequestContext,
        reservation: &SlotReservation,
        outcome: &str,
    ) {
        let info = |key: UpstreamKey| &context.snapshot.upstreams[key].state.info;
        let region_name = |key: UpstreamKey| &self.shared.topology.regions[info(key).region];
        let decision = &reservation.decision;
        if self.attempts.is_empty() {
            self.preferred_region
                .clone_from(region_name(decision.preferred));
        } else {
            self.attempts.push(' ');
        }
        let upstream = &info(decision.key).id;
        let region = region_name(decision.key);
        let reason = decision.reason.code();
        // Writing to a string cannot fail.
        let _ = write!(self.attempts, "{upstream}:{region}:{reason}:{outcome}");
    }

    /// Writes the line of a request that was answered by an upstream.
    pub fn finish_answered(mut self, status: StatusCode) {
        self.shared.metrics.count(CounterName::Answers);
        self.write("answered", status.as_u16());
    }

    /// Writes the line of a request that was not served.
    pub fn finish_rejected(mut self, rejection: &Rejection) {
        let counter = match rejection.kind {
            RejectKind::OverQuota => CounterName::OverQuota,
            _ if rejection.may_have_run => CounterName::Failures,
            _ => CounterName::Refusals,
        };
        self.shared.metrics.count(counter);
        if rejection.kind == RejectKind::NoCapacity {
            self.shared.metrics.count(CounterName::RefusalsWithinRate);
        }
        self.write(rejection.kind.code(), rejection.status().as_u16());
    }

    fn write(&mut self, outcome: &str, status: u16) {
        self.is_finished = true;
        let now = self.shared.clock.now();
        let duration = now.since(self.arrived);
        self.shared.metrics.latency.add(duration);
        let plan_age = self
            .shared
            .freshness
            .age(self.shared.clock.now_with_suspension());
        log::info!(
            target: "request",
            id = self.attempt_id.as_str(),
            route = self.route.as_str(),
            account = self.account.as_str(),
            status = status,
            object:% = format_args!("{:016x}", self.object),
            preferred = self.preferred_region.as_str(),
            attempts = self.attempts.as_str(),
            waited_ms = milliseconds(self.waited),
            took_ms = milliseconds(duration),
            plan = self.plan_version,
            plan_age_ms = milliseconds(plan_age);
            "request: {outcome}"
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.is_finished {
            self.shared.metrics.count(CounterName::CallersGone);
            self.write("caller_left", 0);
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
