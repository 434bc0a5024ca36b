//! Forwarding of one request: admission, rate limit, choice of an upstream with a free slot, attempts and the answer.

use std::sync::Arc;

use coltsfootkeel_decisions::{
    AttemptEnd, AttemptHistory, ChoicePolicy, ChoiceRequest, ChoiceStart, NextStep, OpenAttempt,
    Refusal, RefusalKind, RetryConditions, ShiftMove, decide_next_step, max_queue_wait,
};
use coltsfootkeel_model::{RegionKey, UpstreamKey};
use http::HeaderMap;
use http::request::Parts;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::answer_relay::{RelayedAnswer, relay_answer};
use crate::caller_request::{CallerBody, CallerHead, discard_body};
use crate::crash_check::report_crash;
use crate::header_rules;
use crate::refusal_answer::refusal_response;
use crate::replay_flow;
use crate::request_context::RequestContext;
use crate::shared_state::SharedState;
use crate::slot_queue::{SlotGuard, WaitFailure};
use crate::upstream_attempt::{AttemptResult, run_attempt};
use coltsfootkeel_transport::InFlightGuard;

/// Forwards a caller's request to an upstream and returns the response for the caller: an upstream's answer or a
/// refusal.
pub async fn forward_request(shared: &Arc<SharedState>, request: Request) -> Response {
    let _in_flight_guard = InFlightGuard::new(&shared.in_flight);
    let request_id = shared.next_request_id();
    shared.retry_budget.count_request();
    let mut response = match try_forward(shared, request, request_id.clone()).await {
        Ok(response) => response,
        Err(refusal) => {
            shared.metrics.count_refusal(refusal.kind());
            log::debug!(request_id = request_id.as_str(), run = refusal.run_status().code(); "entry: Refused a request: {}.", refusal.kind().code());
            refusal_response(refusal, &request_id)
        }
    };
    if shared.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

async fn try_forward(
    shared: &Arc<SharedState>,
    request: Request,
    request_id: String,
) -> Result<Response, Refusal> {
    let max_body_bytes = shared.settings.entry.max_body_bytes;
    let (parts, body) = request.into_parts();
    let is_possible_repeat = is_possible_repeat(&parts);
    let refuse = |kind| refuse_unattempted(kind, is_possible_repeat);
    let context = match admit(shared, &parts, request_id).await {
        Ok(context) => context,
        Err(kind) => {
            discard_body(body).await;
            return Err(refuse(kind));
        }
    };
    let mut headers = parts.headers;
    header_rules::strip_request_headers(&mut headers);
    let body = CallerBody::read(&context.head, body, max_body_bytes)
        .await
        .map_err(refuse)?;
    if is_suspect(&context, &body) {
        return Err(refuse(RefusalKind::CrashSuspect));
    }
    let run = RequestRun {
        context,
        headers,
        body,
    };
    if run.context.head.idempotency_key.is_some() && !run.context.idempotent {
        return replay_flow::run_once(run).await;
    }
    run.forward().await.map(RelayedAnswer::into_response)
}

/// Returns whether the caller may have sent the request before. In that case a refusal must not report "not run",
/// because an earlier send may have run.
fn is_possible_repeat(parts: &Parts) -> bool {
    let idempotency_key = parts.headers.get(header_rules::IDEMPOTENCY_KEY_HEADER);
    idempotency_key.is_some_and(|key| !key.is_empty()) && !parts.method.is_idempotent()
}

async fn admit(
    shared: &Arc<SharedState>,
    parts: &Parts,
    request_id: String,
) -> Result<RequestContext, RefusalKind> {
    let head = CallerHead::read(parts, shared.settings.entry.max_body_bytes)?;
    let context = RequestContext::admit(shared, head, request_id)?;
    context.take_token().await?;
    Ok(context)
}

/// Returns the refusal of a request that was sent to no upstream.
fn refuse_unattempted(kind: RefusalKind, is_possible_repeat: bool) -> Refusal {
    let history = if is_possible_repeat {
        AttemptHistory::for_possible_repeat()
    } else {
        AttemptHistory::new()
    };
    Refusal::new(kind, history, true)
}

/// Returns whether requests with the same fingerprint have crashed upstreams so often that the request is refused.
fn is_suspect(context: &RequestContext, body: &CallerBody) -> bool {
    let suspects = context.shared.suspects.load();
    suspects.may_refuse_head(|| context.request_head().fingerprint())
        && suspects.is_refused(context.fingerprint(body.fingerprint_digest()))
}

/// An admitted request that is ready to be sent to an upstream.
#[derive(Debug)]
pub struct RequestRun {
    /// The context that all steps share.
    pub context: RequestContext,
    /// The headers for the upstream, without those that [`header_rules::strip_request_headers`] removes.
    pub headers: HeaderMap,
    /// The body, which can be sent more than once if it is small.
    pub body: CallerBody,
}

/// An upstream and the slot of it that the request holds.
#[derive(Debug)]
struct ChosenUpstream {
    key: UpstreamKey,
    slot: SlotGuard,
}

impl RequestRun {
    /// Sends the request to upstreams until one answers or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns a refusal, whose run status covers all attempts.
    pub async fn forward(mut self) -> Result<RelayedAnswer, Refusal> {
        let mut history = AttemptHistory::new();
        let mut tried = Vec::new();
        let mut shift = self.decide_shift();
        loop {
            if self.context.remaining().is_zero() {
                return Err(self.refuse(RefusalKind::DeadlinePassed, history));
            }
            let chosen = match self.acquire_upstream(&tried, &mut shift).await {
                Ok(chosen) => chosen,
                Err(kind) => return Err(self.refuse(kind, history)),
            };
            let Some(body) = self.body.take() else {
                return Err(self.refuse(RefusalKind::UpstreamFailed, history));
            };
            let upstream = chosen.key;
            tried.push(upstream);
            let attempt = history.start_attempt();
            match self.send_to(chosen, body).await {
                Ok(answer) => {
                    let _ = attempt.finish(AttemptEnd::Answered);
                    return Ok(answer);
                }
                Err(end) => history = self.handle_failed_attempt(attempt, upstream, end).await?,
            }
        }
    }

    /// Sends the request to one upstream. A body of which no byte was sent is restored for the next attempt.
    async fn send_to(
        &mut self,
        chosen: ChosenUpstream,
        body: Body,
    ) -> Result<RelayedAnswer, AttemptEnd> {
        let ChosenUpstream { key, slot } = chosen;
        match run_attempt(&self.context, &self.headers, key, &slot, body).await {
            AttemptResult::Answered(response) => {
                relay_answer(&self.context, &self.body, key, slot, response).await
            }
            AttemptResult::Failed { end, body } => {
                if let Some(body) = body {
                    self.body.put_back(body);
                }
                Err(end)
            }
        }
    }

    /// Decides whether the request is sent again after a failed attempt, and waits for the backoff delay.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there is no further attempt.
    async fn handle_failed_attempt(
        &self,
        attempt: OpenAttempt,
        upstream: UpstreamKey,
        end: AttemptEnd,
    ) -> Result<AttemptHistory, Refusal> {
        if matches!(
            end,
            AttemptEnd::ConnectionBroken | AttemptEnd::AnswerTruncated
        ) {
            report_crash(&self.context, &self.body, upstream).await;
        }
        if is_suspect(&self.context, &self.body) {
            return Err(Refusal::new(
                RefusalKind::CrashSuspect,
                attempt.finish(end),
                false,
            ));
        }
        if self.context.is_withdrawn() {
            return Err(Refusal::new(
                RefusalKind::KeyWithdrawn,
                attempt.finish(end),
                false,
            ));
        }
        let conditions = self.retry_conditions();
        let retries = &self.context.shared.retry_budget;
        match decide_next_step(attempt, end, &conditions, || retries.try_take_retry()) {
            NextStep::Retry { history, wait } => {
                self.context.shared.metrics.count_retry();
                tokio::time::sleep(wait).await;
                Ok(history)
            }
            NextStep::Refuse(refusal) => Err(refusal),
            NextStep::Deliver(history) => Err(self.refuse(RefusalKind::UpstreamFailed, history)),
        }
    }

    fn refuse(&self, kind: RefusalKind, history: AttemptHistory) -> Refusal {
        Refusal::new(kind, history, self.is_repeat_safe())
    }

    fn is_repeat_safe(&self) -> bool {
        self.context.idempotent || self.context.head.idempotency_key.is_some()
    }

    fn retry_conditions(&self) -> RetryConditions {
        RetryConditions {
            idempotent: self.context.idempotent,
            keyed: self.context.head.idempotency_key.is_some(),
            body_replayable: self.body.is_replayable(),
            remaining: self.context.remaining(),
            random: fastrand::u64(..),
        }
    }

    fn decide_shift(&self) -> Option<ShiftMove> {
        let snapshot = &self.context.snapshot;
        let route = self.context.admitted.route;
        let now = self.context.now();
        snapshot.shifts.decide(
            route,
            snapshot.location.region,
            &self.context.shared.spend_lease,
            now,
        )
    }

    async fn acquire_upstream(
        &self,
        tried: &[UpstreamKey],
        shift: &mut Option<ShiftMove>,
    ) -> Result<ChosenUpstream, RefusalKind> {
        let route = self.context.route();
        let queue = &self.context.snapshot.slot_queues[route.pool];
        if !queue.has_waiters()
            && let Some(chosen) = self.choose_upstream(tried, shift)
        {
            return Ok(chosen);
        }
        let home_region = self.context.snapshot.location.region;
        let mut shortage_region = Some(home_region);
        // The maximum queue wait of the class applies to the total of all waits of the request.
        let queue_deadline = self
            .context
            .deadline
            .min(self.context.now() + max_queue_wait(route.class));
        loop {
            self.record_shortage(shortage_region);
            // If the request waits again, the home region had no slot, so a slot in any region is requested.
            shortage_region = None;
            let account = self.context.admitted.account;
            let now = self.context.now();
            let wait_result = queue.wait(now, route.class, account, queue_deadline).await;
            if let Some(chosen) = self.choose_upstream(tried, shift) {
                return Ok(chosen);
            }
            match wait_result {
                Ok(()) => {}
                Err(WaitFailure::Expired) => return Err(RefusalKind::NoFreeSlot),
                Err(WaitFailure::Shed) => return Err(RefusalKind::QueueShed),
            }
        }
    }

    fn choose_upstream(
        &self,
        tried: &[UpstreamKey],
        shift: &mut Option<ShiftMove>,
    ) -> Option<ChosenUpstream> {
        if !self.context.shared.spend_lease.is_valid(self.context.now()) {
            return None;
        }
        if let Some(shift_move) = *shift {
            let chosen = self.choose_from(tried, ChoiceStart::Region(shift_move.to));
            if chosen.is_some() {
                return chosen;
            }
            // The destination of the shift has no free slot: the choice starts in the failure domain of this
            // instance instead, and the request is not counted as moved. The recorded shortage causes a loan, with
            // which a later request can be moved.
            self.record_shortage(Some(shift_move.to));
            self.context.snapshot.shifts.cancel_move(shift_move);
            *shift = None;
        }
        self.choose_from(tried, ChoiceStart::Home)
    }

    fn choose_from(&self, tried: &[UpstreamKey], start: ChoiceStart) -> Option<ChosenUpstream> {
        let snapshot = &self.context.snapshot;
        let pool = self.context.route().pool;
        let key = snapshot.tiers.choose(ChoiceRequest {
            pool,
            start,
            tried,
            random: fastrand::u64(..),
            handles: &snapshot.upstream_handles,
            links: &snapshot.links,
            policy: ChoicePolicy::TWO_CHOICES,
        })?;
        let handle = snapshot.upstream_handles[key].clone();
        let queue = Arc::clone(&snapshot.slot_queues[pool]);
        let slot = SlotGuard::new(handle, queue, self.context.shared.clock);
        Some(ChosenUpstream { key, slot })
    }

    /// Records a shortage of slots in a region, or in any region if `region` is `None`, so that the control thread
    /// borrows a slot. The shortage is recorded for one upstream chosen at random: recording it for all would borrow a
    /// slot of each of them for one request.
    fn record_shortage(&self, region: Option<RegionKey>) {
        let snapshot = &self.context.snapshot;
        let config = &snapshot.config;
        let pool = &config.pools[self.context.route().pool].upstreams;
        let wanted: Vec<UpstreamKey> = pool
            .iter()
            .copied()
            .filter(|key| region.is_none_or(|region| config.upstreams[*key].region == region))
            .filter(|key| snapshot.upstream_handles[*key].health.is_usable())
            .collect();
        if !wanted.is_empty() {
            snapshot.upstream_states[wanted[fastrand::usize(..wanted.len())]]
                .shortages
                .record();
        }
    }
}
