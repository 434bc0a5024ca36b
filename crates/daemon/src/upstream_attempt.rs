//! One attempt to run a request on an upstream, up to the head of the response.

use std::time::Duration;

use coltsfootkeel_decisions::AttemptEnd;
use coltsfootkeel_model::UpstreamKey;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use tokio::time::Instant;
use volo_http::body::Body;

use crate::control_event::ControlEvent;
use crate::header_rules;
use crate::request_context::RequestContext;
use crate::slot_queue::SlotGuard;
use coltsfootkeel_transport::{ReusePolicy, SendFailure, UpstreamBody};

/// The interval at which a request that waits for its upstream checks whether its access key was withdrawn.
const WITHDRAWAL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The upstream sent the head of an answer, which is forwarded to the caller.
    Answered(hyper::Response<UpstreamBody>),
    /// There is no answer for the caller.
    Failed {
        /// The reason why the attempt failed.
        end: AttemptEnd,
        /// The body of the request if no byte of it was sent; otherwise `None`.
        body: Option<Body>,
    },
}

impl AttemptResult {
    fn failed(end: AttemptEnd) -> Self {
        Self::Failed { end, body: None }
    }
}

/// Sends the request to the upstream of `slot` and waits for the head of the response. The outcome is recorded in the
/// health of the upstream.
pub async fn run_attempt(
    context: &RequestContext,
    headers: &HeaderMap,
    upstream: UpstreamKey,
    slot: &SlotGuard,
    body: Body,
) -> AttemptResult {
    let started = context.now();
    let request = upstream_request(context, headers, body);
    let client = &context.snapshot.upstream_states[upstream].client;
    let policy = if context.idempotent {
        ReusePolicy::RETRYABLE
    } else {
        ReusePolicy::NON_RETRYABLE
    };
    let send = client.send(started, request, policy);
    let outcome = match run_until_deadline(context, send).await {
        Ok(outcome) => outcome,
        Err(end) => {
            slot.handle().health.record_failure();
            return AttemptResult::failed(end);
        }
    };
    match outcome {
        Ok(response) => evaluate_response(
            context,
            upstream,
            slot,
            response,
            context.now().since(started),
        ),
        Err(SendFailure::ConnectFailed(request)) => {
            slot.handle().health.record_connect_error();
            AttemptResult::Failed {
                end: AttemptEnd::ConnectFailed,
                body: Some(request.into_body()),
            }
        }
        Err(SendFailure::NotSent(request)) => AttemptResult::Failed {
            end: AttemptEnd::NeverSent,
            body: Some(request.into_body()),
        },
        Err(SendFailure::Broken(error)) => {
            log::debug!(
                "entry: The upstream's connection broke during request {}: {error}",
                context.request_id
            );
            slot.handle().health.record_failure();
            AttemptResult::failed(AttemptEnd::ConnectionBroken)
        }
        Err(SendFailure::HeadTooLong) => {
            log::debug!(
                "entry: The upstream sent no head within the longest length during request {}.",
                context.request_id
            );
            slot.handle().health.record_failure();
            AttemptResult::failed(AttemptEnd::ConnectionBroken)
        }
    }
}

/// Decides whether a response is forwarded. It counts as a failed attempt if the upstream refused the request or if the
/// end of the body cannot be detected.
fn evaluate_response(
    context: &RequestContext,
    upstream: UpstreamKey,
    slot: &SlotGuard,
    response: hyper::Response<UpstreamBody>,
    latency: Duration,
) -> AttemptResult {
    let status = response.status();
    let headers = response.headers();
    if header_rules::has_value(headers, &header_rules::RUN_HEADER, "not-run") {
        let is_draining = header_rules::has_value(headers, &header_rules::DRAINING_HEADER, "yes");
        if !is_draining {
            return AttemptResult::failed(AttemptEnd::Shed);
        }
        if slot.handle().health.record_drain_refusal() {
            let name = context.snapshot.config.upstreams[upstream].name.clone();
            context
                .shared
                .send_event(ControlEvent::UpstreamDraining(name));
        }
        return AttemptResult::failed(AttemptEnd::Draining);
    }
    let is_framed = header_rules::has_framed_body(headers)
        || context.head.method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !is_framed {
        // Without a declared length or a transfer coding, a truncated body cannot be distinguished from a complete one.
        slot.handle().health.record_failure();
        return AttemptResult::failed(AttemptEnd::AnswerTruncated);
    }
    if status.is_server_error() {
        slot.handle().health.record_failure();
    } else {
        slot.handle().health.record_success(latency);
    }
    AttemptResult::Answered(response)
}

fn upstream_request(
    context: &RequestContext,
    headers: &HeaderMap,
    body: Body,
) -> hyper::Request<Body> {
    let mut request = hyper::Request::new(body);
    *request.method_mut() = context.head.method.clone();
    // The path was taken from a parsed URI, so parsing it cannot fail.
    *request.uri_mut() = Uri::try_from(&context.head.path_and_query).unwrap_or_default();
    *request.headers_mut() = headers.clone();
    let headers = request.headers_mut();
    header_rules::set_text(
        headers,
        header_rules::REQUEST_ID_HEADER,
        &context.request_id,
    );
    if context.admitted.account.is_some() {
        header_rules::set_text(
            headers,
            header_rules::ACCOUNT_HEADER,
            context.account_name(),
        );
    }
    let remaining_ms = u64::try_from(context.remaining().as_millis()).unwrap_or(u64::MAX);
    headers.insert(
        header_rules::DEADLINE_HEADER,
        HeaderValue::from(remaining_ms),
    );
    request
}

/// Runs `work` until the deadline of the request or the withdrawal of its access key, which is checked every
/// [`WITHDRAWAL_CHECK_INTERVAL`].
async fn run_until_deadline<T>(
    context: &RequestContext,
    work: impl Future<Output = T>,
) -> Result<T, AttemptEnd> {
    let mut work = std::pin::pin!(work);
    let deadline = Instant::from_std(context.shared.clock.instant_of(context.deadline));
    loop {
        let next_check = deadline.min(Instant::now() + WITHDRAWAL_CHECK_INTERVAL);
        if let Ok(done) = tokio::time::timeout_at(next_check, work.as_mut()).await {
            return Ok(done);
        }
        if context.is_withdrawn() {
            return Err(AttemptEnd::Cancelled);
        }
        if Instant::now() >= deadline {
            return Err(AttemptEnd::TimedOut);
        }
    }
}
