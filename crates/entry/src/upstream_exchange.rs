//! Sends a request to an upstream and reads the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootkeel_adapter::{
    AnswerClass, ConnectionUse, UpstreamHead, classify_answer, read_upstream_signals,
    write_upstream_head,
};
use coltsfootkeel_counters::{ByteBudget, MonotonicTime};
use coltsfootkeel_steering::{LimitStatement, UpstreamState, longest_hold};
use coltsfootkeel_transport::{
    BodyStart, ReusePolicy, SendFailure, UpstreamBody, UpstreamConnection,
};
use http::response::Parts;
use http::{HeaderMap, Uri};
use tokio::time::{Instant, timeout, timeout_at};
use volo_http::body::Body;

use crate::entry_snapshot::ListedUpstream;
use crate::load_exchange::record_load;
use crate::request_context::RequestContext;
use crate::slot_reservation::SlotReservation;

/// An answer up to this many bytes is buffered before any of it is forwarded, so that the request can still be sent
/// again if the connection breaks. It is forwarded earlier if the process keeps as many bytes as it may.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// The longest body, in bytes, that is read of an upstream's refusal.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// The longest time for reading the body of a refusal. It usually arrives with the head; the request is then sent to
/// another upstream, or rejected.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection that carried a larger request body is not reused: an upstream that answers early may still read the
/// remaining body, and would read the next request as a continuation of it.
const MAX_REUSED_BODY_BYTES: u64 = 8 * 1024;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerContent {
    /// The body was read to its end.
    Buffered(Bytes),
    /// The body was read only partially.
    Streamed {
        /// The bytes that were read.
        start: BodyStart,
        /// The remaining body with its connection.
        rest: UpstreamBody,
    },
}

/// An answer that the upstream produced for this request.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// The status and headers.
    pub head: Parts,
    /// The body, or its beginning if it is long.
    pub content: AnswerContent,
    /// Whether the status is a success.
    pub is_success: bool,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// The upstream answered the request, with a success or an error.
    Answered(Box<UpstreamAnswer>),
    /// No part of the request was sent. Holds the unused body.
    NotSent(Body),
    /// The upstream refused the request without running it.
    NotRun,
    /// Another upstream answered at the address. The request has not run.
    OtherUpstream,
    /// The answer belongs to another request or was not made by the upstream. The request may have run.
    Foreign,
    /// The connection broke. The request may have run.
    Broken,
    /// No answer arrived within a multiple of the expected time. The request may have run, and continues at another
    /// upstream with the reservation held here.
    Unresponsive(Box<SlotReservation>),
    /// No answer arrived before the deadline. The request may have run.
    TimedOut,
}

/// A request to an upstream.
#[derive(Debug)]
pub struct ExchangeRequest<'a> {
    /// The method of the caller's request.
    pub method: &'a http::Method,
    /// The path and query of the caller's request.
    pub uri: &'a Uri,
    /// The caller's headers without hop-by-hop headers, `Expect` and `Content-Length`.
    pub headers: &'a HeaderMap,
    /// The body of this attempt.
    pub body: Body,
    /// The length of the body in bytes; `None` if it is streamed.
    pub body_bytes: Option<u64>,
    /// When the attempt ends with [`ExchangeOutcome::TimedOut`].
    pub deadline: MonotonicTime,
    /// Whether an earlier attempt was sent to the same upstream. Its refusal has the same attempt id, so on a connection
    /// that carried it a repeated refusal would be taken for the answer to this attempt.
    pub is_repeated: bool,
}

/// The shortest time after which a connection to an upstream of a contended pool is given up.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns the time after which a connection to an upstream of a contended pool is given up: early enough for another
/// upstream to answer within the objective, or for a refusal before half of it. Returns `None` in other pools.
fn connect_timeout(context: &RequestContext) -> Option<Duration> {
    if !context.listed_pool().state.is_contended() {
        return None;
    }
    let objective = context.route_plan().objective;
    let held = context.shared.clock.now().since(context.arrived);
    let left = longest_hold(objective).saturating_sub(held);
    Some(left.max(MIN_CONNECT_TIMEOUT))
}

/// Sends a request to one upstream and reads the answer, or its beginning if it is long.
pub async fn exchange(
    context: &RequestContext,
    listed: &ListedUpstream,
    request: ExchangeRequest<'_>,
) -> ExchangeOutcome {
    let now = context.shared.clock.now();
    let policy = if request.is_repeated {
        ReusePolicy::NEW_CONNECTION
    } else {
        reuse_policy(context, listed, now)
    };
    let policy = match connect_timeout(context) {
        Some(timeout) => policy.connecting_within(timeout),
        None => policy,
    };
    let deadline = Instant::from_std(context.shared.clock.instant_of(request.deadline));
    let may_reuse = request
        .body_bytes
        .is_some_and(|bytes| bytes <= MAX_REUSED_BODY_BYTES);
    let message = upstream_request(context, listed, request);
    let sent = timeout_at(deadline, listed.client.send(now, message, policy)).await;
    let response = match sent {
        Err(_) => {
            listed.client.close_idle_since(now);
            return ExchangeOutcome::TimedOut;
        }
        Ok(Ok(response)) => response,
        Ok(Err(SendFailure::ConnectFailed(unsent) | SendFailure::NotSent(unsent))) => {
            return ExchangeOutcome::NotSent(unsent.into_body());
        }
        Ok(Err(SendFailure::Broken(error))) => {
            log::debug!(
                "exchange: Connection to upstream {} broke: {error}.",
                listed.state.info.id
            );
            return ExchangeOutcome::Broken;
        }
        Ok(Err(SendFailure::HeadTooLong)) => {
            log::debug!(
                "exchange: Upstream {} sent no head within the longest length.",
                listed.state.info.id
            );
            return ExchangeOutcome::Foreign;
        }
    };
    let (head, body) = response.into_parts();
    let keep_connection = |connection: Box<UpstreamConnection>| {
        if may_reuse {
            let now = context.shared.clock.now();
            listed.client.put_idle(now, connection);
        }
    };
    let connection_use = if body.is_on_reused_connection() {
        ConnectionUse::Repeated
    } else {
        ConnectionUse::First
    };
    let attempt_id = &context.head.attempt_id;
    let class = classify_answer(head.status, &head.headers, attempt_id, connection_use);
    if matches!(class, AnswerClass::Valid { .. } | AnswerClass::NotRun) {
        let now = context.shared.clock.now();
        record_signals(&listed.state, &head.headers, now);
        record_load(&context.shared, &listed.state, &head.headers, 1, now);
    }
    let kept_bytes = &context.shared.kept_bytes;
    match class {
        AnswerClass::Valid { is_success } => {
            let reading = read_content(body, MAX_BUFFERED_BYTES, kept_bytes);
            let read = match timeout_at(deadline, reading).await {
                Err(_) => return ExchangeOutcome::TimedOut,
                Ok(None) => return ExchangeOutcome::Broken,
                Ok(Some(read)) => read,
            };
            read.connection.map(keep_connection);
            ExchangeOutcome::Answered(Box::new(UpstreamAnswer {
                head,
                content: read.content,
                is_success,
            }))
        }
        AnswerClass::NotRun => {
            // The body tells nothing, and may have no end. It is read so that the connection can be reused.
            let reading = read_content(body, MAX_REFUSAL_BYTES, kept_bytes);
            let read = timeout(REFUSAL_TIMEOUT, reading).await.ok().flatten();
            read.and_then(|read| read.connection).map(keep_connection);
            ExchangeOutcome::NotRun
        }
        AnswerClass::OtherUpstream => ExchangeOutcome::OtherUpstream,
        AnswerClass::Foreign => ExchangeOutcome::Foreign,
    }
}

/// Records what an upstream states about itself in an answer that was received at `now`.
pub(crate) fn record_signals(state: &UpstreamState, headers: &HeaderMap, now: MonotonicTime) {
    state.rate_limit.record(LimitStatement {
        limit: read_upstream_signals(headers).rate_limit,
        stated_at: now,
    });
}

fn reuse_policy(
    context: &RequestContext,
    listed: &ListedUpstream,
    now: MonotonicTime,
) -> ReusePolicy {
    let is_idempotent = context.route_plan().is_idempotent();
    match (is_idempotent, listed.state.has_suspect_connections(now)) {
        (true, _) => ReusePolicy::RETRYABLE,
        (false, false) => ReusePolicy::NON_RETRYABLE,
        (false, true) => ReusePolicy::NEW_CONNECTION,
    }
}

fn upstream_request(
    context: &RequestContext,
    listed: &ListedUpstream,
    request: ExchangeRequest<'_>,
) -> hyper::Request<Body> {
    let mut message = hyper::Request::new(request.body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    *message.headers_mut() = request.headers.clone();
    let head = UpstreamHead {
        remaining: context.remaining(),
        upstream: &listed.state.info.id,
        account: context.account_name(),
    };
    write_upstream_head(message.headers_mut(), head);
    message
}

struct ReadContent {
    content: AnswerContent,
    /// The connection, if the body was read to its end.
    connection: Option<Box<UpstreamConnection>>,
}

/// Reads a body of up to `max_bytes` to its end, or the beginning of a longer one or of one that does not fit the
/// budget. Returns `None` if the connection breaks.
async fn read_content(
    mut body: UpstreamBody,
    max_bytes: usize,
    budget: &Arc<ByteBudget>,
) -> Option<ReadContent> {
    let start = BodyStart::read(&mut body, max_bytes, budget).await.ok()?;
    Some(if start.is_complete {
        ReadContent {
            content: AnswerContent::Buffered(start.kept),
            connection: Some(body.into_connection()),
        }
    } else {
        ReadContent {
            content: AnswerContent::Streamed { start, rest: body },
            connection: None,
        }
    })
}
