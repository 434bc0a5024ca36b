//! One attempt of a request at an upstream, and what it tells of the upstream.

use std::time::Duration;

use bytes::Bytes;
use coltsfootkeel_steering::{AttemptOutcome, TimeEstimate, short_hash};
use volo_http::body::Body;

use crate::caller_body::CallerBody;
use crate::control_event::ControlEvent;
use crate::entry_metrics::CounterName;
use crate::request_flow::RequestRun;
use crate::shared_state::CrashNote;
use crate::upstream_choice::{TakenPlace, has_spare_retry, take_place};
use crate::upstream_exchange::{ExchangeEnd, ExchangeRequest, exchange};

/// An idempotent request goes to another upstream after this many times the expected time.
const PATIENCE_FACTOR: f64 = 3.0;
/// The least time before an idempotent request goes to another upstream.
const LEAST_PATIENCE: Duration = Duration::from_millis(700);
/// After an answer that belonged to another request, requests that must not run twice get new connections.
const DOUBT_PERIOD: Duration = Duration::from_secs(20);
/// The answers of an upstream that takes more times longer than usual do not tell what it remembers.
const USUAL_SLOWNESS: f64 = 1.6;
/// The time after which a first send has certainly begun to run, beyond the way to the upstream.
const SECOND_SEND_DELAY: Duration = Duration::from_millis(15);

impl RequestRun {
    /// Sends the request to one upstream.
    pub(crate) async fn attempt(
        &mut self,
        place: &TakenPlace,
        body: &mut CallerBody,
    ) -> ExchangeEnd {
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
        place.set_doubled(is_doubled);
        let region = listed.state.info.region;
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
            && route.is_idempotent()
            && body.is_replayable()
            && place.choice.queue_delay.is_zero()
            && self.may_spare_retry()
    }

    fn may_spare_retry(&self) -> bool {
        let shared = &self.context.shared;
        let retries = &self.context.listed_pool().state.retries;
        retries.try_unreserved_retry(shared.retry_bound(), shared.instance_count())
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
        let may_repeat = self.context.route_plan().is_idempotent() && is_replayable;
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
        if is_late || self.context.shared.is_leaving() || !has_spare_retry(&self.context) {
            return sent.await;
        }
        // An upstream that is only slow still answers, so it is not given up for nothing.
        match take_place(&self.context, &self.tried) {
            Some(other) if self.may_spare_retry() => ExchangeEnd::Silent(Box::new(other)),
            _ => sent.await,
        }
    }

    /// Records what the attempt tells of the upstream.
    pub(crate) fn learn(&self, place: &TakenPlace, end: &ExchangeEnd, fingerprint: u64) {
        let shared = &self.context.shared;
        let now = shared.clock.now();
        let state = &self.context.snapshot.upstreams[place.key].state;
        let outcome = match end {
            ExchangeEnd::Answered(answer) if answer.is_success => AttemptOutcome::Answered,
            ExchangeEnd::Answered(_) | ExchangeEnd::Foreign => AttemptOutcome::Failed,
            ExchangeEnd::NotRun => AttemptOutcome::Full,
            ExchangeEnd::OtherUpstream => {
                state.mark_address_reused();
                AttemptOutcome::Unreachable
            }
            ExchangeEnd::Broken | ExchangeEnd::Silent(_) | ExchangeEnd::TimedOut => {
                AttemptOutcome::Interrupted
            }
            ExchangeEnd::NotSent(_) => AttemptOutcome::Unreachable,
        };
        state.record(outcome, now);
        match end {
            ExchangeEnd::Foreign => {
                shared.metrics.count(CounterName::ForeignAnswers);
                state.suspect_connections(now + DOUBT_PERIOD);
            }
            ExchangeEnd::Broken => {
                state.suspect_connections(now + DOUBT_PERIOD);
                let upstream = short_hash(state.hash);
                // Without room the other instances learn of the next one.
                let _ = shared.crash_notes.push(CrashNote {
                    fingerprint,
                    upstream,
                });
            }
            ExchangeEnd::Answered(_) if shared.crashes.load().contains(fingerprint) => {
                shared.report(ControlEvent::Answered { fingerprint });
            }
            _ => {}
        }
    }

    /// Learns from the time that an answer took.
    pub(crate) fn learn_time(&self, place: &TakenPlace) {
        let now = self.context.shared.clock.now();
        let listed = &self.context.snapshot.upstreams[place.key];
        let region = listed.state.info.region;
        let distance = self.context.shared.distance(region);
        let took = now.since(place.started);
        if took > self.context.deadline.since(self.context.arrived) {
            // The process stood still: the time tells nothing of the upstream.
            return;
        }
        let slot_time = &self.context.listed_pool().state.slot_time;
        slot_time.record(took.saturating_sub(distance));
        let times = self.context.times(region);
        // A request that is sent twice is answered in the time of a warm one, and tells nothing of the time of a new one.
        let expected = if place.choice.is_warm || place.is_doubled() {
            times.warm
        } else {
            times.cold
        };
        if place.choice.queue_delay.is_zero() && !place.is_doubled() {
            self.learn_memory(place, took, times);
            let learned = &self.context.snapshot.times[self.context.route];
            learned.record(region, times, place.choice.is_warm, took);
        }
        listed
            .state
            .record_latency(took, expected + place.choice.queue_delay, now);
    }

    /// Learns from the time of an answer whether the upstream remembered the object.
    fn learn_memory(&self, place: &TakenPlace, took: Duration, times: TimeEstimate) {
        let Some(used_since) = place.used_since else {
            return;
        };
        let now = self.context.shared.clock.now();
        let state = &self.context.snapshot.upstreams[place.key].state;
        if state.slowness(now) < USUAL_SLOWNESS {
            let is_hit = took < (times.warm + times.cold) / 2;
            let memory = &self.context.listed_pool().state.memory;
            memory.record(used_since, is_hit);
        }
    }
}

/// Waits for the first of two sends that is answered; the other one is cancelled. Without an answer, the end of the one that
/// may have run counts.
async fn first_answer(
    first: impl Future<Output = ExchangeEnd>,
    second: impl Future<Output = ExchangeEnd>,
) -> ExchangeEnd {
    let mut first = std::pin::pin!(first);
    let mut second = std::pin::pin!(second);
    let (end, other) = tokio::select! {
        end = first.as_mut() => match end {
            ExchangeEnd::Answered(_) => return end,
            _ => (end, second.await),
        },
        end = second.as_mut() => match end {
            ExchangeEnd::Answered(_) => return end,
            _ => (end, first.await),
        },
    };
    if matches!(other, ExchangeEnd::Answered(_)) || may_have_run(&other) {
        other
    } else {
        end
    }
}

/// Tells whether a request may have run although it was not answered.
fn may_have_run(end: &ExchangeEnd) -> bool {
    matches!(
        end,
        ExchangeEnd::Foreign | ExchangeEnd::Broken | ExchangeEnd::Silent(_) | ExchangeEnd::TimedOut
    )
}

/// Returns the name of an end in logs.
pub(crate) fn end_code(end: &ExchangeEnd) -> &'static str {
    match end {
        ExchangeEnd::Answered(answer) if answer.is_success => "ok",
        ExchangeEnd::Answered(_) => "failed",
        ExchangeEnd::NotSent(_) => "no_connection",
        ExchangeEnd::NotRun => "refused",
        ExchangeEnd::OtherUpstream => "other_upstream",
        ExchangeEnd::Foreign => "foreign_answer",
        ExchangeEnd::Broken => "broken",
        ExchangeEnd::Silent(_) => "silent",
        ExchangeEnd::TimedOut => "timed_out",
    }
}
