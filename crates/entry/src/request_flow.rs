//! Carries one request: admission, choice of an upstream, attempts and the answer.

use std::sync::Arc;

use coltsfootkeel_adapter::read_caller_head;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::UpstreamKey;
use coltsfootkeel_transport::remove_hop_headers;
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
use crate::rejection::{RejectKind, Rejection};
use crate::request_attempt::end_code;
use crate::request_context::{RequestContext, body_length};
use crate::request_record::RequestRecord;
use crate::shared_state::SharedState;
use crate::upstream_choice::{TakenPlace, is_pool_doubtful};
use crate::upstream_exchange::{ExchangeEnd, UpstreamAnswer};
use coltsfootkeel_transport::InFlightGuard;

/// Connections that may fail before a request is given up. Nothing is sent over them, so they cost no retry.
const MAX_FAILED_CONNECTS: u32 = 4;

/// Carries a caller's request and returns what the caller gets.
pub async fn carry_request(shared: &Arc<SharedState>, request: Request) -> Response {
    let counted = InFlightGuard::new(&shared.in_flight);
    let arrived = shared.clock.now();
    shared.metrics.count(CounterName::Requests);
    let (parts, body) = request.into_parts();
    let Some(head) = read_caller_head(&parts.headers) else {
        let rejection = Rejection::not_run(RejectKind::Malformed, None);
        RequestRecord::new(shared, "", arrived).rejected(&rejection);
        return rejection.to_response(None);
    };
    let attempt_id = head.attempt_id.clone();
    let mut record = RequestRecord::new(shared, &attempt_id, arrived);
    if let Some(snapshot) = shared.snapshot.load().as_ref() {
        record.plan_version = snapshot.plan.version;
    }
    let carried = match RequestContext::admit(shared, &parts, head, arrived) {
        Ok(context) => {
            record.admitted(&context);
            RequestRun::new(context, parts)
                .carry(body, &mut record, counted)
                .await
        }
        Err(rejection) => Err(rejection),
    };
    match carried {
        Ok(response) => {
            record.answered(response.status());
            response
        }
        Err(rejection) => {
            record.rejected(&rejection);
            rejection.to_response(Some(&attempt_id))
        }
    }
}

/// A request on its way through attempts.
#[derive(Debug)]
pub(crate) struct RequestRun {
    /// What its steps share.
    pub(crate) context: RequestContext,
    /// The caller's head.
    pub(crate) parts: Parts,
    /// The caller's headers without those of its connection.
    pub(crate) headers: HeaderMap,
    /// Upstreams that are not chosen again.
    pub(crate) tried: Vec<UpstreamKey>,
    /// Attempts that reached an upstream.
    pub(crate) sends: u32,
    /// The place for the next attempt, if it was taken already.
    pub(crate) next_place: Option<TakenPlace>,
    failed_connects: u32,
    may_have_run: bool,
    /// An upstream's own failure, which is delivered if no other upstream succeeds.
    failure: Option<Box<UpstreamAnswer>>,
}

/// What follows an attempt.
enum AfterAttempt {
    Deliver(Box<UpstreamAnswer>),
    TryAgain,
    GiveUp(RejectKind),
}

impl RequestRun {
    fn new(context: RequestContext, parts: Parts) -> Self {
        let mut headers = parts.headers.clone();
        remove_hop_headers(&mut headers);
        headers.remove(EXPECT);
        headers.remove(CONTENT_LENGTH);
        Self {
            context,
            parts,
            headers,
            tried: Vec::new(),
            sends: 0,
            next_place: None,
            failed_connects: 0,
            may_have_run: false,
            failure: None,
        }
    }

    async fn carry(
        mut self,
        body: Body,
        record: &mut RequestRecord,
        counted: InFlightGuard,
    ) -> Result<Response, Rejection> {
        let mut body = self.read_body(body).await?;
        let fingerprint = self.context.fingerprint(&self.parts, body.bytes());
        if self.context.shared.crashes.load().is_blocked(fingerprint) {
            return Err(Rejection::not_run(RejectKind::Crashing, None));
        }
        self.context.charge().await?;
        let retries = &self.context.listed_pool().state.retries;
        let bound = self.context.shared.retry_bound();
        retries.count_request(bound, self.context.shared.instance_count());
        loop {
            let place = match self.find_place(record).await {
                Ok(place) => place,
                Err(kind) => return self.give_up(kind, counted),
            };
            let end = self.attempt(&place, &mut body).await;
            let is_warm = place.choice.is_warm;
            record.attempted(self.upstream_id(&place), is_warm, end_code(&end));
            self.learn(&place, &end, fingerprint);
            match self.after_attempt(&place, end, &mut body) {
                AfterAttempt::Deliver(answer) => return Ok(self.deliver(*answer, place, counted)),
                AfterAttempt::TryAgain => {}
                AfterAttempt::GiveUp(kind) => return self.give_up(kind, counted),
            }
        }
    }

    async fn read_body(&self, body: Body) -> Result<CallerBody, Rejection> {
        let length = body_length(&self.parts);
        let max_bytes = self.context.snapshot.plan.limits.max_body_bytes;
        let deadline = self.instant_of(self.context.deadline);
        match timeout_at(deadline, CallerBody::read(body, length, max_bytes)).await {
            Ok(read) => read.map_err(|kind| Rejection::not_run(kind, None)),
            Err(_) => Err(Rejection::not_run(RejectKind::TimedOut, None)),
        }
    }

    fn after_attempt(
        &mut self,
        place: &TakenPlace,
        end: ExchangeEnd,
        body: &mut CallerBody,
    ) -> AfterAttempt {
        match end {
            ExchangeEnd::Answered(answer) => {
                self.learn_time(place);
                self.after_answer(answer, body)
            }
            ExchangeEnd::NotSent(unsent) => {
                body.put_back(unsent);
                self.sends -= 1;
                self.failed_connects += 1;
                if self.failed_connects < MAX_FAILED_CONNECTS {
                    AfterAttempt::TryAgain
                } else {
                    AfterAttempt::GiveUp(RejectKind::NoRoom)
                }
            }
            ExchangeEnd::NotRun => {
                let now = self.context.shared.clock.now();
                if is_pool_doubtful(&self.context, now) {
                    // Another upstream refuses as likely, and has not handled the object.
                    self.tried.retain(|key| *key != place.key);
                }
                self.retry_or(body, RejectKind::NoRoom)
            }
            ExchangeEnd::OtherUpstream => self.retry_or(body, RejectKind::NoRoom),
            ExchangeEnd::Foreign | ExchangeEnd::Broken => {
                if !self.may_have_run {
                    // The answer may be all that was lost. One that is gone refuses the connection, which costs little.
                    self.tried.retain(|key| *key != place.key);
                }
                self.may_have_run = true;
                self.repeat_or(body, RejectKind::UpstreamFailed)
            }
            ExchangeEnd::Silent(other) => {
                // The retry was taken when the wait ended.
                self.may_have_run = true;
                self.next_place = Some(*other);
                AfterAttempt::TryAgain
            }
            ExchangeEnd::TimedOut => {
                self.may_have_run = true;
                AfterAttempt::GiveUp(RejectKind::TimedOut)
            }
        }
    }

    fn after_answer(&mut self, answer: Box<UpstreamAnswer>, body: &CallerBody) -> AfterAttempt {
        if answer.is_success || !answer.head.status.is_server_error() {
            return AfterAttempt::Deliver(answer);
        }
        self.may_have_run = true;
        let has_time = self.context.remaining() > self.context.home_times().warm;
        if has_time && self.context.route_plan().is_idempotent() && self.may_send_again(body) {
            self.failure = Some(answer);
            return AfterAttempt::TryAgain;
        }
        AfterAttempt::Deliver(answer)
    }

    /// Decides after an attempt that may have run.
    fn repeat_or(&self, body: &CallerBody, kind: RejectKind) -> AfterAttempt {
        let may_repeat = self.context.route_plan().is_idempotent();
        if may_repeat && !self.context.remaining().is_zero() && self.may_send_again(body) {
            AfterAttempt::TryAgain
        } else {
            AfterAttempt::GiveUp(kind)
        }
    }

    /// Decides after an attempt that certainly has not run.
    fn retry_or(&self, body: &CallerBody, kind: RejectKind) -> AfterAttempt {
        if self.may_send_again(body) {
            AfterAttempt::TryAgain
        } else {
            AfterAttempt::GiveUp(kind)
        }
    }

    fn may_send_again(&self, body: &CallerBody) -> bool {
        if self.sends >= self.context.route_plan().max_attempts || !body.is_replayable() {
            return false;
        }
        let is_allowed = self.context.listed_pool().state.retries.try_retry();
        let counter = if is_allowed {
            CounterName::Retries
        } else {
            CounterName::RetriesDenied
        };
        self.context.shared.metrics.count(counter);
        is_allowed
    }

    fn give_up(self, kind: RejectKind, counted: InFlightGuard) -> Result<Response, Rejection> {
        if let Some(failure) = self.failure {
            drop(counted);
            return Ok(deliver_failure(*failure));
        }
        if self.sends == 0 {
            self.context.refund();
        }
        Err(Rejection {
            kind,
            may_have_run: self.may_have_run,
            retry_after: Some(self.context.retry_after()),
        })
    }

    fn deliver(
        &self,
        answer: UpstreamAnswer,
        place: TakenPlace,
        counted: InFlightGuard,
    ) -> Response {
        let deadline = self.instant_of(self.context.deadline);
        deliver_answer(answer, deadline, place, counted)
    }

    fn upstream_id(&self, place: &TakenPlace) -> &str {
        &self.context.snapshot.upstreams[place.key].state.info.id
    }

    pub(crate) fn instant_of(&self, time: MonotonicTime) -> Instant {
        Instant::from_std(self.context.shared.clock.instant_of(time))
    }
}
