//! Processes one request from admission to the response: upstream selection, attempts and retries.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::read_caller_head;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::UpstreamKey;
use coltsfootkeel_transport::remove_hop_by_hop_headers;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, EXPECT};
use http::request::Parts;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::answer_delivery::{deliver_answer, deliver_failure};
use crate::caller_body::CallerBody;
use crate::entry_metrics::CounterName;
use crate::fair_wait::return_delay;
use crate::limit_delays::retry_delay;
use crate::rejection::{RejectKind, Rejection};
use crate::request_attempt::outcome_code;
use crate::request_context::{AccountCharge, RequestContext, body_length};
use crate::request_log::RequestLog;
use crate::shared_state::SharedState;
use crate::slot_reservation::SlotReservation;
use crate::upstream_candidates::is_avoidance_suspended;
use crate::upstream_exchange::{ExchangeOutcome, UpstreamAnswer};
use coltsfootkeel_transport::InFlightGuard;

/// Failed connections after which a request is rejected. Nothing is sent over a failed connection, so it costs no
/// retry.
const MAX_FAILED_CONNECTS: u32 = 4;

/// The `Retry-After` of an instance that stops. Another instance can take the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Processes a caller's request and returns the response for the caller.
pub async fn handle_request(shared: &Arc<SharedState>, request: Request) -> Response {
    let in_flight_guard = InFlightGuard::new(&shared.in_flight);
    let arrived = shared.clock.now();
    shared.metrics.count(CounterName::Requests);
    let (parts, body) = request.into_parts();
    let Some(head) = read_caller_head(&parts.headers) else {
        let rejection = Rejection::not_run(RejectKind::Malformed, None);
        RequestLog::new(shared, "", arrived).finish_rejected(&rejection);
        return rejection.to_response(None);
    };
    let attempt_id = head.attempt_id.clone();
    let mut request_log = RequestLog::new(shared, &attempt_id, arrived);
    if let Some(snapshot) = shared.snapshot.load().as_ref() {
        request_log.plan_version = snapshot.plan.version;
    }
    let result = match RequestContext::admit(shared, &parts, head, arrived) {
        Ok(context) => {
            request_log.record_admission(&context);
            RequestFlow::new(context, parts)
                .run(body, &mut request_log, in_flight_guard)
                .await
        }
        Err(rejection) => Err(rejection),
    };
    match result {
        Ok(response) => {
            request_log.finish_answered(response.status());
            response
        }
        Err(rejection) => {
            request_log.finish_rejected(&rejection);
            rejection.to_response(Some(&attempt_id))
        }
    }
}

/// The state of a request between its attempts.
#[derive(Debug)]
pub(crate) struct RequestFlow {
    /// The inputs of all decisions about the request.
    pub(crate) context: RequestContext,
    /// The head of the caller's request.
    pub(crate) parts: Parts,
    /// The caller's headers without hop-by-hop headers, `Expect` and `Content-Length`.
    pub(crate) headers: HeaderMap,
    /// Upstreams that are not selected again.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Upstreams to which an attempt was sent, also those that may be selected again.
    pub(crate) sent_to: Vec<UpstreamKey>,
    /// The number of attempts in which at least a part of the request may have been sent.
    pub(crate) sent_attempts: u32,
    /// The slot for the next attempt, if it was reserved before the previous attempt ended.
    pub(crate) next_reservation: Option<SlotReservation>,
    /// The charge to the client account.
    pub(crate) charge: AccountCharge,
    failed_connects: u32,
    may_have_run: bool,
    /// An upstream's error response, which is delivered if no other attempt succeeds.
    failure: Option<Box<UpstreamAnswer>>,
}

/// The step after an attempt.
enum NextStep {
    Deliver(Box<UpstreamAnswer>),
    Retry,
    GiveUp(RejectKind),
}

impl RequestFlow {
    fn new(context: RequestContext, parts: Parts) -> Self {
        let mut headers = parts.headers.clone();
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(EXPECT);
        headers.remove(CONTENT_LENGTH);
        Self {
            context,
            parts,
            headers,
            tried: Vec::new(),
            sent_to: Vec::new(),
            sent_attempts: 0,
            next_reservation: None,
            charge: AccountCharge::default(),
            failed_connects: 0,
            may_have_run: false,
            failure: None,
        }
    }

    async fn run(
        mut self,
        body: Body,
        request_log: &mut RequestLog,
        in_flight_guard: InFlightGuard,
    ) -> Result<Response, Rejection> {
        let mut body = self.read_body(body).await?;
        let fingerprint = self.context.fingerprint(&self.parts, body.bytes());
        self.check_crashes(fingerprint).await?;
        self.charge = self.context.charge().await?;
        self.context.count_offered();
        let retry_budget = &self.context.listed_pool().state.retry_budget;
        let limit = self.context.shared.retry_limit();
        let sharers = self.context.shared.sharer_count();
        retry_budget.count_request(limit, sharers, self.context.shared.clock.now());
        self.context
            .listed_pool()
            .state
            .spill_budget
            .count_request();
        loop {
            let reservation = match self.acquire_slot(request_log).await {
                Ok(reservation) => reservation,
                Err(kind) => return self.give_up(kind, in_flight_guard),
            };
            let outcome = self.attempt(&reservation, &mut body).await;
            request_log.record_attempt(&self.context, &reservation, outcome_code(&outcome));
            self.record_outcome(&reservation, &outcome, fingerprint);
            match self.next_step(&reservation, outcome, &mut body) {
                NextStep::Deliver(answer) => {
                    return Ok(self.deliver(*answer, reservation, in_flight_guard));
                }
                NextStep::Retry => {}
                NextStep::GiveUp(kind) => return self.give_up(kind, in_flight_guard),
            }
        }
    }

    /// Rejects a request that has crashed several upstreams, once it is known which requests have done so.
    async fn check_crashes(&self, fingerprint: u64) -> Result<(), Rejection> {
        let shared = &self.context.shared;
        let deadline = self.instant_of(self.context.deadline);
        if timeout_at(deadline, shared.wait_for_suspects())
            .await
            .is_err()
        {
            return Err(Rejection::not_run(RejectKind::TimedOut, None));
        }
        if shared.crash_table.load().is_blocked(fingerprint) {
            shared.metrics.count(CounterName::CrashRefusals);
            return Err(Rejection::not_run(RejectKind::Crashing, None));
        }
        Ok(())
    }

    async fn read_body(&self, body: Body) -> Result<CallerBody, Rejection> {
        let length = body_length(&self.parts);
        let max_bytes = self.context.snapshot.plan.limits.max_body_bytes;
        let deadline = self.instant_of(self.context.deadline);
        let budget = &self.context.shared.kept_bytes;
        let reading = CallerBody::read(body, length, max_bytes, budget);
        match timeout_at(deadline, reading).await {
            Ok(read) => read.map_err(|kind| Rejection::not_run(kind, None)),
            Err(_) => Err(Rejection::not_run(RejectKind::TimedOut, None)),
        }
    }

    fn next_step(
        &mut self,
        reservation: &SlotReservation,
        outcome: ExchangeOutcome,
        body: &mut CallerBody,
    ) -> NextStep {
        match outcome {
            ExchangeOutcome::Answered(answer) => {
                self.record_response_time(reservation);
                self.step_after_answer(answer, body)
            }
            ExchangeOutcome::NotSent(unsent) => {
                body.put_back(unsent);
                self.sent_attempts -= 1;
                self.charge.is_spent = self.sent_attempts > 0;
                self.failed_connects += 1;
                if self.failed_connects < MAX_FAILED_CONNECTS {
                    NextStep::Retry
                } else {
                    NextStep::GiveUp(RejectKind::NoCapacity)
                }
            }
            ExchangeOutcome::NotRun => {
                let now = self.context.shared.clock.now();
                if is_avoidance_suspended(&self.context, now) {
                    // Other upstreams are as likely to refuse the request, and this one has handled the object.
                    self.tried.retain(|key| *key != reservation.key);
                }
                self.retry_or_give_up(body, RejectKind::NoCapacity)
            }
            ExchangeOutcome::OtherUpstream => self.retry_or_give_up(body, RejectKind::NoCapacity),
            ExchangeOutcome::Foreign | ExchangeOutcome::Broken => {
                if !self.may_have_run {
                    // Possibly only the response was lost. If the upstream has stopped, the next connection to it is
                    // refused, which takes little time.
                    self.tried.retain(|key| *key != reservation.key);
                }
                self.may_have_run = true;
                self.retry_if_idempotent(body, RejectKind::UpstreamFailed)
            }
            ExchangeOutcome::Unresponsive(other) => {
                // The retry was taken from the budget when the attempt timed out.
                self.may_have_run = true;
                self.next_reservation = Some(*other);
                NextStep::Retry
            }
            ExchangeOutcome::TimedOut => {
                self.may_have_run = true;
                NextStep::GiveUp(RejectKind::TimedOut)
            }
        }
    }

    fn step_after_answer(&mut self, answer: Box<UpstreamAnswer>, body: &CallerBody) -> NextStep {
        if answer.is_success || !answer.head.status.is_server_error() {
            return NextStep::Deliver(answer);
        }
        self.may_have_run = true;
        let has_time = self.context.remaining() > self.context.home_time_estimate().warm;
        if has_time && self.context.route_plan().is_idempotent() && self.try_take_retry(body) {
            self.failure = Some(answer);
            return NextStep::Retry;
        }
        NextStep::Deliver(answer)
    }

    /// Returns the step after an attempt in which the request may have run: a retry only for idempotent requests.
    fn retry_if_idempotent(&self, body: &CallerBody, kind: RejectKind) -> NextStep {
        let may_repeat = self.context.route_plan().is_idempotent();
        if may_repeat && !self.context.remaining().is_zero() && self.try_take_retry(body) {
            NextStep::Retry
        } else {
            NextStep::GiveUp(kind)
        }
    }

    /// Returns the step after an attempt in which the request certainly has not run.
    fn retry_or_give_up(&self, body: &CallerBody, kind: RejectKind) -> NextStep {
        if self.try_take_retry(body) {
            NextStep::Retry
        } else {
            NextStep::GiveUp(kind)
        }
    }

    fn try_take_retry(&self, body: &CallerBody) -> bool {
        if self.sent_attempts >= self.context.route_plan().max_attempts || !body.is_replayable() {
            return false;
        }
        let is_allowed = self.context.listed_pool().state.retry_budget.try_retry();
        let counter = if is_allowed {
            CounterName::Retries
        } else {
            CounterName::RetriesDenied
        };
        self.context.shared.metrics.count(counter);
        is_allowed
    }

    fn give_up(
        self,
        kind: RejectKind,
        in_flight_guard: InFlightGuard,
    ) -> Result<Response, Rejection> {
        if let Some(failure) = self.failure {
            drop(in_flight_guard);
            return Ok(deliver_failure(*failure));
        }
        if kind == RejectKind::NoCapacity && self.context.listed_pool().state.is_contended() {
            self.count_refusal();
        }
        let retry_after = if kind == RejectKind::Stopping {
            STOPPING_RETRY_AFTER
        } else {
            let after = if self.context.listed_pool().state.is_contended() {
                return_delay(&self.context)
            } else {
                self.context.retry_after()
            };
            after.max(retry_delay(&self.context))
        };
        Err(Rejection {
            kind,
            may_have_run: self.may_have_run,
            retry_after: Some(retry_after),
        })
    }

    /// Counts how long the request was held before it is refused for lack of room.
    fn count_refusal(&self) {
        let shared = &self.context.shared;
        let held = shared.clock.now().since(self.context.arrived);
        shared.metrics.refusals.add(held);
        if held * 2 > self.context.route_plan().objective {
            shared.metrics.count(CounterName::RefusedLate);
        }
    }

    fn deliver(
        &self,
        answer: UpstreamAnswer,
        reservation: SlotReservation,
        in_flight_guard: InFlightGuard,
    ) -> Response {
        let deadline = self.instant_of(self.context.deadline);
        deliver_answer(answer, deadline, reservation, in_flight_guard)
    }

    pub(crate) fn instant_of(&self, time: MonotonicTime) -> Instant {
        Instant::from_std(self.context.shared.clock.instant_of(time))
    }
}
