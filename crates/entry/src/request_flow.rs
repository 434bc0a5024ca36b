//! Carries one request: admission, choice of an upstream, attempts and the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use coltsfootkeel_adapter::read_caller_head;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::UpstreamKey;
use coltsfootkeel_steering::{AttemptOutcome, LinePlace, line_rank, longest_wait, short_hash};
use coltsfootkeel_transport::remove_hop_headers;
use http::header::{CONTENT_LENGTH, EXPECT};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::answer_stream::AnswerStream;
use crate::caller_body::CallerBody;
use crate::control_event::ControlEvent;
use crate::entry_metrics::CounterName;
use crate::rejection::{RejectKind, Rejection};
use crate::request_context::{RequestContext, body_length};
use crate::request_record::RequestRecord;
use crate::shared_state::{CrashNote, InFlightGuard, SharedState};
use crate::upstream_choice::{TakenPlace, is_pool_doubtful, take_place};
use crate::upstream_exchange::{
    AnswerContent, ExchangeEnd, ExchangeRequest, UpstreamAnswer, exchange,
};

/// Connections that may fail before a request is given up. Nothing is sent over them, so they cost no retry.
const MAX_FAILED_CONNECTS: u32 = 4;
/// An idempotent request goes to another upstream after this many times the expected time.
const PATIENCE_FACTOR: f64 = 3.0;
/// The least time before an idempotent request goes to another upstream.
const LEAST_PATIENCE: Duration = Duration::from_millis(700);
/// After an answer that belonged to another request, requests that must not run twice get new connections.
const DOUBT_PERIOD: Duration = Duration::from_secs(20);
/// The time after which a first send has certainly begun to run, beyond the way to the upstream.
const SECOND_SEND_DELAY: Duration = Duration::from_millis(15);
/// The time that a stopping instance keeps for the answer itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Carries a caller's request and returns what the caller gets.
pub async fn carry_request(shared: &Arc<SharedState>, request: Request) -> Response {
    let counted = InFlightGuard::new(shared);
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
struct RequestRun {
    context: RequestContext,
    parts: Parts,
    headers: HeaderMap,
    tried: Vec<UpstreamKey>,
    sends: u32,
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
        if self.context.shared.crashes.load().refuses(fingerprint) {
            return Err(Rejection::not_run(RejectKind::Crashing, None));
        }
        self.context.charge()?;
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

    /// Finds an upstream that can answer in time, and waits for one as long as the objective can still be met.
    async fn find_place(&self, record: &mut RequestRecord) -> Result<TakenPlace, RejectKind> {
        if self.context.remaining().is_zero() {
            return Err(RejectKind::TimedOut);
        }
        self.check_stop()?;
        if let Some(place) = take_place(&self.context, &self.tried) {
            return Ok(place);
        }
        let started = self.context.shared.clock.now();
        let warm = self.context.home_times().warm;
        let objective_left = self.context.objective_left();
        let longest = longest_wait(objective_left, self.context.remaining(), warm);
        let line = &self.context.listed_pool().state.line;
        let rank = line_rank(self.context.rank, objective_left, warm);
        if self.expected_wait(line.ahead_of(rank)) > longest {
            return Err(RejectKind::NoRoom);
        }
        let until = started + longest;
        self.context.shared.metrics.count(CounterName::Waits);
        let turn = line.draw_place(rank);
        let found = loop {
            if !self.wait_turn(turn, until).await {
                break take_place(&self.context, &self.tried);
            }
            if let Some(place) = take_place(&self.context, &self.tried) {
                break Some(place);
            }
        };
        let waited = self.context.shared.clock.now().since(started);
        record.waited += waited;
        self.context.shared.metrics.waits.add(waited);
        found.ok_or(RejectKind::NoRoom)
    }

    /// Returns how long the requests ahead in the line keep all slots of the pool busy.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let pool = self.context.listed_pool();
        let upstreams = pool.upstreams.iter();
        let usable = upstreams
            .map(|key| &self.context.snapshot.upstreams[*key])
            .filter(|listed| listed.is_usable);
        let slots: u32 = usable.map(|listed| listed.state.facts.slots).sum();
        let instances = self.context.shared.instance_count();
        let slot_time = pool.state.slot_time.get().unwrap_or_default();
        // The other instances have lines of about the same length.
        let turns = u32::try_from(ahead * instances).unwrap_or(u32::MAX);
        slot_time.mul_f64(f64::from(turns) / f64::from(slots.max(1)))
    }

    /// Refuses a request that a stopping process would cut.
    fn check_stop(&self) -> Result<(), RejectKind> {
        let Some(grace_left) = self.context.shared.grace_left() else {
            return Ok(());
        };
        let needed = self.context.home_times().cold + STOP_MARGIN;
        if needed > grace_left {
            return Err(RejectKind::Stopping);
        }
        Ok(())
    }

    async fn wait_turn(&self, turn: LinePlace, until: MonotonicTime) -> bool {
        let line = &self.context.listed_pool().state.line;
        let (sender, receiver) = oneshot::channel();
        line.enter(turn, sender);
        let _leave = LeaveGuard { run: self, turn };
        timeout_at(self.instant_of(until), receiver).await.is_ok()
    }

    async fn attempt(&mut self, place: &TakenPlace, body: &mut CallerBody) -> ExchangeEnd {
        let Some(sent_body) = body.take() else {
            return ExchangeEnd::Broken;
        };
        let is_replayable = body.is_replayable();
        let counter = if place.choice.is_warm {
            CounterName::WarmSends
        } else {
            CounterName::ColdSends
        };
        self.context.shared.metrics.count(counter);
        self.tried.push(place.key);
        self.sends += 1;
        let message = |body_of_send| ExchangeRequest {
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.headers,
            body: body_of_send,
            body_bytes: is_replayable.then_some(body.bytes().len() as u64),
            give_up_at: self.context.deadline,
        };
        let listed = &self.context.snapshot.upstreams[place.key];
        let first = Box::pin(exchange(&self.context, listed, message(sent_body)));
        let is_doubled = self.wants_second_send(place, body);
        let region = listed.state.facts.region;
        let delay = self.context.shared.distance(region) + SECOND_SEND_DELAY;
        let second = Box::pin(async {
            tokio::time::sleep(delay).await;
            let _counted = place.second_send();
            let body = Body::from(Bytes::copy_from_slice(body.bytes()));
            exchange(&self.context, listed, message(body)).await
        });
        let sent = async {
            if is_doubled {
                first_answer(first, second).await
            } else {
                first.await
            }
        };
        self.with_patience(place, is_replayable, sent).await
    }

    /// Decides whether a request is sent to its new place twice.
    ///
    /// Load pattern: objects that no upstream has handled lately, as after a start or a move. The first run takes several
    /// times as long as those after it, and also as those that begin while it runs. The second send is answered in the time
    /// of a warm one, and the first is cancelled, which frees its slot sooner.
    fn wants_second_send(&self, place: &TakenPlace, body: &CallerBody) -> bool {
        let route = self.context.route_plan();
        let is_first_touch = !place.choice.is_warm && self.context.object.is_some();
        is_first_touch
            && route.is_idempotent
            && body.is_replayable()
            && place.choice.queue.is_zero()
            && self.may_spare_retry()
    }

    fn may_spare_retry(&self) -> bool {
        let shared = &self.context.shared;
        let retries = &self.context.listed_pool().state.retries;
        retries.try_spare_retry(shared.retry_bound(), shared.instance_count())
    }

    /// Waits for an answer. An upstream that went silent holds a request that may be repeated only for some times the
    /// expected time, if another one may be asked instead.
    async fn with_patience(
        &self,
        place: &TakenPlace,
        is_replayable: bool,
        sent: impl Future<Output = ExchangeEnd>,
    ) -> ExchangeEnd {
        let mut sent = std::pin::pin!(sent);
        let may_repeat = self.context.route_plan().is_idempotent && is_replayable;
        let has_attempt = self.sends < self.context.route_plan().max_attempts;
        if !may_repeat || !has_attempt || self.context.shared.is_leaving() {
            return sent.await;
        }
        let patience = place.choice.expected.mul_f64(PATIENCE_FACTOR);
        let patience = patience.max(LEAST_PATIENCE);
        if let Ok(end) = tokio::time::timeout(patience, sent.as_mut()).await {
            return end;
        }
        let is_late = self.context.remaining() < self.context.home_times().warm;
        if is_late || self.context.shared.is_leaving() || !self.may_spare_retry() {
            return sent.await;
        }
        ExchangeEnd::Silent
    }

    /// Records what the attempt tells of the upstream.
    fn learn(&self, place: &TakenPlace, end: &ExchangeEnd, fingerprint: u64) {
        let shared = &self.context.shared;
        let now = shared.clock.now();
        let state = &self.context.snapshot.upstreams[place.key].state;
        let outcome = match end {
            ExchangeEnd::Answered(answer) if answer.is_success => AttemptOutcome::Answered,
            ExchangeEnd::Answered(_) | ExchangeEnd::Foreign => AttemptOutcome::Failed,
            ExchangeEnd::NotRun => AttemptOutcome::Full,
            ExchangeEnd::OtherUpstream => {
                state.set_other();
                AttemptOutcome::Lost
            }
            ExchangeEnd::Broken | ExchangeEnd::Silent | ExchangeEnd::TimedOut => {
                AttemptOutcome::Broken
            }
            ExchangeEnd::NotSent(_) => AttemptOutcome::Lost,
        };
        state.record(outcome, now);
        match end {
            ExchangeEnd::Foreign => {
                shared.metrics.count(CounterName::ForeignAnswers);
                state.doubt_connections(now + DOUBT_PERIOD);
            }
            ExchangeEnd::Broken => {
                state.doubt_connections(now + DOUBT_PERIOD);
                let upstream = short_hash(state.hash);
                // Without room the other instances learn of the next one.
                let _ = shared.crash_notes.push(CrashNote {
                    fingerprint,
                    upstream,
                });
            }
            ExchangeEnd::Answered(_) if shared.crashes.load().knows(fingerprint) => {
                shared.report(ControlEvent::Answered { fingerprint });
            }
            _ => {}
        }
    }

    fn learn_time(&self, place: &TakenPlace) {
        let now = self.context.shared.clock.now();
        let listed = &self.context.snapshot.upstreams[place.key];
        let region = listed.state.facts.region;
        let distance = self.context.shared.distance(region);
        let took = now.since(place.started);
        let slot_time = &self.context.listed_pool().state.slot_time;
        slot_time.learn(took.saturating_sub(distance));
        let times = self.context.times(region);
        let expected = if place.choice.is_warm {
            times.warm
        } else {
            times.cold
        };
        if place.choice.queue.is_zero() {
            let learned = &self.context.snapshot.times[self.context.route];
            learned.learn(region, times, place.choice.is_warm, took);
        }
        listed
            .state
            .learn_slowness(took, expected + place.choice.queue, now);
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
            ExchangeEnd::Silent => {
                // The retry was taken when the wait ended.
                self.may_have_run = true;
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
        if has_time && self.context.route_plan().is_idempotent && self.may_send_again(body) {
            self.failure = Some(answer);
            return AfterAttempt::TryAgain;
        }
        AfterAttempt::Deliver(answer)
    }

    /// Decides after an attempt that may have run.
    fn repeat_or(&self, body: &CallerBody, kind: RejectKind) -> AfterAttempt {
        let may_repeat = self.context.route_plan().is_idempotent;
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
            return Ok(failure_response(*failure));
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
        let UpstreamAnswer {
            mut head, content, ..
        } = answer;
        prepare_head(&mut head);
        let body = match content {
            AnswerContent::Whole(bytes) => Body::from(bytes),
            AnswerContent::Streamed { start, rest } => {
                let deadline = self.instant_of(self.context.deadline);
                Body::from_body(AnswerStream::new(start, rest, deadline, place, counted))
            }
        };
        Response::from_parts(head, body)
    }

    fn upstream_id(&self, place: &TakenPlace) -> &str {
        &self.context.snapshot.upstreams[place.key].state.facts.id
    }

    fn instant_of(&self, time: MonotonicTime) -> Instant {
        Instant::from_std(self.context.shared.clock.instant_of(time))
    }
}

/// Waits for the first of two sends that is answered; the other one is cancelled.
async fn first_answer(
    first: impl Future<Output = ExchangeEnd>,
    second: impl Future<Output = ExchangeEnd>,
) -> ExchangeEnd {
    let mut first = std::pin::pin!(first);
    let mut second = std::pin::pin!(second);
    tokio::select! {
        end = first.as_mut() => end,
        end = second.as_mut() => match end {
            ExchangeEnd::Answered(answer) => ExchangeEnd::Answered(answer),
            _ => first.await,
        },
    }
}

/// Leaves the line also when the caller leaves.
struct LeaveGuard<'a> {
    run: &'a RequestRun,
    turn: LinePlace,
}

impl Drop for LeaveGuard<'_> {
    fn drop(&mut self) {
        self.run.context.listed_pool().state.line.leave(self.turn);
    }
}

fn failure_response(failure: UpstreamAnswer) -> Response {
    let mut head = failure.head;
    prepare_head(&mut head);
    let body = match failure.content {
        AnswerContent::Whole(bytes) => Body::from(bytes),
        AnswerContent::Streamed { .. } => Body::empty(),
    };
    Response::from_parts(head, body)
}

/// Prepares an upstream's head for the caller. A status that would promise "not run" is replaced: the upstream did not
/// say so.
fn prepare_head(head: &mut http::response::Parts) {
    remove_hop_headers(&mut head.headers);
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if promises.contains(&head.status) {
        head.status = StatusCode::BAD_GATEWAY;
        head.headers.clear();
    }
}

fn end_code(end: &ExchangeEnd) -> &'static str {
    match end {
        ExchangeEnd::Answered(answer) if answer.is_success => "ok",
        ExchangeEnd::Answered(_) => "failed",
        ExchangeEnd::NotSent(_) => "no_connection",
        ExchangeEnd::NotRun => "refused",
        ExchangeEnd::OtherUpstream => "other_upstream",
        ExchangeEnd::Foreign => "foreign_answer",
        ExchangeEnd::Broken => "broken",
        ExchangeEnd::Silent => "silent",
        ExchangeEnd::TimedOut => "timed_out",
    }
}
