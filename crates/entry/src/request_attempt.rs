//! Sends one attempt of a request to an upstream and updates the upstream's statistics with the result.

use std::time::Duration;

use bytes::Bytes;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    AttemptOutcome, LoadView, PredictedTimes, TimeEstimate, UpstreamState, short_hash,
};
use volo_http::body::Body;

use crate::caller_body::CallerBody;
use crate::control_event::ControlEvent;
use crate::entry_metrics::CounterName;
use crate::request_flow::RequestFlow;
use crate::shared_state::CrashReport;
use crate::slot_reservation::SlotReservation;
use crate::upstream_choice::{has_unreserved_retry, reserve_slot};
use crate::upstream_exchange::{ExchangeOutcome, ExchangeRequest, exchange};

/// An idempotent request is sent to another upstream after this multiple of the expected response time.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 3.0;
/// The shortest time after which an idempotent request is sent to another upstream.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long non-idempotent requests use only new connections after an answer that belonged to another request or after
/// a broken connection.
const NEW_CONNECTION_PERIOD: Duration = Duration::from_secs(20);
/// The slowness below which the response time of an upstream shows whether it had the object cached.
const MAX_USUAL_SLOWNESS: f64 = 1.6;
/// Delay, in addition to the round trip, after which the second copy of a hedged request is sent. By then the first
/// copy has certainly started to run.
const HEDGE_DELAY: Duration = Duration::from_millis(15);

impl RequestFlow {
    /// Sends the request to the upstream of the reservation, hedged if that is useful, and waits for the outcome.
    pub(crate) async fn attempt(
        &mut self,
        reservation: &SlotReservation,
        body: &mut CallerBody,
    ) -> ExchangeOutcome {
        let Some(sent_body) = body.take() else {
            return ExchangeOutcome::Broken;
        };
        let is_replayable = body.is_replayable();
        let counter = if reservation.decision.is_warm {
            CounterName::WarmSends
        } else {
            CounterName::ColdSends
        };
        let listed = &self.context.snapshot.upstreams[reservation.key];
        let region = listed.state.info.region;
        self.context.shared.metrics.count(counter);
        self.context
            .shared
            .metrics
            .count_placement(region, reservation.decision.reason);
        self.tried.push(reservation.key);
        let is_repeated = self.sent_to.contains(&reservation.key);
        self.sent_to.push(reservation.key);
        self.sent_attempts += 1;
        self.charge.is_spent = true;
        let message = |attempt_body| ExchangeRequest {
            method: &self.parts.method,
            uri: &self.parts.uri,
            headers: &self.headers,
            body: attempt_body,
            body_bytes: is_replayable.then_some(body.bytes().len() as u64),
            deadline: self.context.deadline,
            is_repeated,
        };
        let first = Box::pin(exchange(&self.context, listed, message(sent_body)));
        let is_hedged = self.try_reserve_hedge(reservation, body);
        reservation.set_hedged(is_hedged);
        let delay = self.context.shared.round_trip(region) + HEDGE_DELAY;
        let second = Box::pin(async {
            tokio::time::sleep(delay).await;
            let _hedge_guard = reservation.count_hedge();
            let body = Body::from(Bytes::copy_from_slice(body.bytes()));
            exchange(&self.context, listed, message(body)).await
        });
        let sent = async {
            if is_hedged {
                first_answered(first, second).await
            } else {
                first.await
            }
        };
        self.with_attempt_timeout(reservation, is_replayable, sent)
            .await
    }

    /// Decides whether a request is hedged, and takes the retry for it from the budget.
    ///
    /// Load pattern: objects that are cold at the selected upstream, for example after its start or because the object
    /// migrates to it. The first request for such an object takes several times as long as later requests, including
    /// those that begin while the first one runs. The second request is therefore answered as fast as a warm one; the
    /// first is then cancelled, which frees its slot sooner.
    fn try_reserve_hedge(&self, reservation: &SlotReservation, body: &CallerBody) -> bool {
        let route = self.context.route_plan();
        let is_cold_object = !reservation.decision.is_warm && self.context.object.is_some();
        is_cold_object
            && route.is_idempotent()
            && body.is_replayable()
            && reservation.decision.queue_delay.is_zero()
            && !self.is_rate_limited(reservation)
            && self.try_unreserved_retry()
    }

    /// Returns whether the upstream of a reservation has a rate limit, for which the second copy of a request counts too.
    fn is_rate_limited(&self, reservation: &SlotReservation) -> bool {
        let state = &self.context.snapshot.upstreams[reservation.key].state;
        let now = self.context.shared.clock.now();
        state.rate_limit.limit(now).is_some()
    }

    fn try_unreserved_retry(&self) -> bool {
        let shared = &self.context.shared;
        let retry_budget = &self.context.listed_pool().state.retry_budget;
        retry_budget.try_unreserved_retry(shared.retry_limit(), shared.sharer_count())
    }

    /// Waits for the outcome of an attempt. An idempotent request that has no answer after a multiple of the expected
    /// time continues at another upstream, if a slot and a retry are available.
    async fn with_attempt_timeout(
        &self,
        reservation: &SlotReservation,
        is_replayable: bool,
        sent: impl Future<Output = ExchangeOutcome>,
    ) -> ExchangeOutcome {
        let mut sent = std::pin::pin!(sent);
        let may_repeat = self.context.route_plan().is_idempotent() && is_replayable;
        let has_attempts_left = self.sent_attempts < self.context.route_plan().max_attempts;
        if !may_repeat || !has_attempts_left || self.context.shared.is_stopping() {
            return sent.await;
        }
        let attempt_timeout = reservation
            .decision
            .expected
            .mul_f64(ATTEMPT_TIMEOUT_FACTOR);
        let attempt_timeout = attempt_timeout.max(MIN_ATTEMPT_TIMEOUT);
        if let Ok(outcome) = tokio::time::timeout(attempt_timeout, sent.as_mut()).await {
            return outcome;
        }
        let is_late = self.context.remaining() < self.context.home_time_estimate().warm;
        if is_late || self.context.shared.is_stopping() || !has_unreserved_retry(&self.context) {
            return sent.await;
        }
        // A slow upstream still answers, so the attempt is abandoned only for another upstream.
        match reserve_slot(&self.context, &self.tried) {
            Some(other) if self.try_unreserved_retry() => {
                let listed = &self.context.snapshot.upstreams[reservation.key];
                listed.client.close_idle_since(reservation.reserved_at);
                ExchangeOutcome::Unresponsive(Box::new(other))
            }
            _ => sent.await,
        }
    }

    /// Updates the state of the upstream with the outcome of an attempt, and reports requests that may crash upstreams.
    pub(crate) fn record_outcome(
        &self,
        reservation: &SlotReservation,
        outcome: &ExchangeOutcome,
        fingerprint: u64,
    ) {
        let shared = &self.context.shared;
        let now = shared.clock.now();
        let state = &self.context.snapshot.upstreams[reservation.key].state;
        let attempt_outcome = match outcome {
            ExchangeOutcome::Answered(answer) if answer.is_success => AttemptOutcome::Answered,
            ExchangeOutcome::Answered(_) | ExchangeOutcome::Foreign => AttemptOutcome::Failed,
            ExchangeOutcome::NotRun => AttemptOutcome::Full,
            ExchangeOutcome::OtherUpstream => {
                state.mark_address_reused();
                AttemptOutcome::Unreachable
            }
            ExchangeOutcome::Broken
            | ExchangeOutcome::Unresponsive(_)
            | ExchangeOutcome::TimedOut => AttemptOutcome::Interrupted,
            ExchangeOutcome::NotSent(_) => AttemptOutcome::Unreachable,
        };
        state.record(attempt_outcome, now);
        match outcome {
            ExchangeOutcome::Foreign => {
                shared.metrics.count(CounterName::ForeignAnswers);
                state.suspect_connections(now + NEW_CONNECTION_PERIOD);
            }
            ExchangeOutcome::Broken => {
                state.suspect_connections(now + NEW_CONNECTION_PERIOD);
                let upstream = short_hash(state.hash);
                // If the queue is full, the report is dropped; another crash by the same request is reported again.
                let _ = shared.crash_reports.push(CrashReport {
                    fingerprint,
                    upstream,
                });
            }
            ExchangeOutcome::Answered(_) if shared.crash_table.load().contains(fingerprint) => {
                shared.send_event(ControlEvent::SuspectAnswered { fingerprint });
            }
            _ => {}
        }
    }

    /// Updates the time estimates with the response time of an answer.
    pub(crate) fn record_response_time(&self, reservation: &SlotReservation) {
        let now = self.context.shared.clock.now();
        let listed = &self.context.snapshot.upstreams[reservation.key];
        let region = listed.state.info.region;
        let round_trip = self.context.shared.round_trip(region);
        let response_time = now.since(reservation.reserved_at);
        if response_time > self.context.deadline.since(self.context.arrived) {
            // The process was suspended, so the measured time does not describe the upstream.
            return;
        }
        let slot_time = &self.context.listed_pool().state.slot_time;
        slot_time.record(response_time.saturating_sub(round_trip));
        self.context.listed_pool().state.completions.count();
        let times = self.context.time_estimate(region);
        let cost_factor = cost_factor(reservation, &listed.state, now);
        let usual_time = response_time.div_f64(cost_factor);
        // A hedged request is answered in the time of a warm one, so its time is no sample of a cold request.
        let expected = if reservation.decision.is_warm || reservation.is_hedged() {
            times.warm
        } else {
            times.cold
        };
        if reservation.decision.queue_delay.is_zero() && !reservation.is_hedged() {
            self.record_cache_result(reservation, usual_time, times);
            let service_times = &self.context.snapshot.service_times[self.context.route];
            service_times.record(region, times, reservation.decision.is_warm, usual_time);
        }
        listed.state.record_latency(
            response_time,
            expected.mul_f64(cost_factor) + reservation.decision.queue_delay,
            now,
        );
        if let Some(stated) = reservation.stated_load {
            let slots = listed.state.info.slots;
            let slot_time = slot_time.get().unwrap_or(expected);
            let predict =
                |load: LoadView| load.queue_delay(slots, slot_time) + load.run_time(expected);
            listed
                .state
                .reported_load
                .record_prediction(PredictedTimes {
                    measured: response_time,
                    reported: predict(stated),
                    observed: predict(reservation.observed_load),
                });
        }
    }

    /// Records whether the upstream still had the object cached, as derived from the response time.
    fn record_cache_result(
        &self,
        reservation: &SlotReservation,
        response_time: Duration,
        times: TimeEstimate,
    ) {
        let Some(reuse_distance) = reservation.reuse_distance else {
            return;
        };
        let now = self.context.shared.clock.now();
        let state = &self.context.snapshot.upstreams[reservation.key].state;
        if state.slowness(now) < MAX_USUAL_SLOWNESS {
            let is_hit = response_time < (times.warm + times.cold) / 2;
            let estimator = &self.context.listed_pool().state.cache_estimator;
            estimator.record(reuse_distance, is_hit);
        }
    }
}

/// Returns the factor by which the stated cost has lengthened a run: the mean of its begin and its end.
fn cost_factor(reservation: &SlotReservation, state: &UpstreamState, now: MonotonicTime) -> f64 {
    if state.reported_load.is_distrusted() {
        return 1.0;
    }
    let at_begin = reservation.stated_load.map(|load| load.cost_factor);
    let at_end = state.reported_load.cost_factor(now);
    f64::midpoint(at_begin.unwrap_or(at_end), at_end)
}

/// Waits for the first of two requests that is answered and cancels the other. If neither is answered, returns the
/// outcome in which the request may have run.
async fn first_answered(
    first: impl Future<Output = ExchangeOutcome>,
    second: impl Future<Output = ExchangeOutcome>,
) -> ExchangeOutcome {
    let mut first = std::pin::pin!(first);
    let mut second = std::pin::pin!(second);
    let (outcome, other) = tokio::select! {
        outcome = first.as_mut() => match outcome {
            ExchangeOutcome::Answered(_) => return outcome,
            _ => (outcome, second.await),
        },
        outcome = second.as_mut() => match outcome {
            ExchangeOutcome::Answered(_) => return outcome,
            _ => (outcome, first.await),
        },
    };
    if matches!(other, ExchangeOutcome::Answered(_)) || may_have_run(&other) {
        other
    } else {
        outcome
    }
}

/// Returns whether a request without an answer may have run.
fn may_have_run(outcome: &ExchangeOutcome) -> bool {
    matches!(
        outcome,
        ExchangeOutcome::Foreign
            | ExchangeOutcome::Broken
            | ExchangeOutcome::Unresponsive(_)
            | ExchangeOutcome::TimedOut
    )
}

/// Returns the code of an outcome in the request log.
pub(crate) fn outcome_code(outcome: &ExchangeOutcome) -> &'static str {
    match outcome {
        ExchangeOutcome::Answered(answer) if answer.is_success => "ok",
        ExchangeOutcome::Answered(_) => "failed",
        ExchangeOutcome::NotSent(_) => "no_connection",
        ExchangeOutcome::NotRun => "refused",
        ExchangeOutcome::OtherUpstream => "other_upstream",
        ExchangeOutcome::Foreign => "foreign_answer",
        ExchangeOutcome::Broken => "broken",
        ExchangeOutcome::Unresponsive(_) => "silent",
        ExchangeOutcome::TimedOut => "timed_out",
    }
}
