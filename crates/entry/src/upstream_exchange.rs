//! One attempt: sends a request to an upstream and reads the answer.

use bytes::{Bytes, BytesMut};
use coltsfootkeel_adapter::{AnswerMeaning, UpstreamHead, read_answer, write_upstream_head};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_transport::{LinkBody, LinkConnection, ReuseRule, SendFailure};
use http::response::Parts;
use http::{HeaderMap, Uri};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};
use volo_http::body::Body;

use crate::entry_snapshot::ListedUpstream;
use crate::request_context::RequestContext;
use crate::upstream_choice::TakenPlace;

/// An answer up to this many bytes is read whole before any of it is passed on, so that the request can still be sent
/// again if it breaks off.
const MAX_WHOLE_BYTES: usize = 4 * 1024 * 1024;

/// A connection that carried a larger body is not used again: an upstream that answers early may still read the rest
/// of it, and would take the next request for that.
const MAX_REUSED_BODY_BYTES: u64 = 8 * 1024;

/// The content of an answer.
#[derive(Debug)]
pub enum AnswerContent {
    /// It was read whole.
    Whole(Bytes),
    /// It goes on after what was read.
    Streamed {
        /// What was read.
        start: Bytes,
        /// The rest, with its connection.
        rest: LinkBody,
    },
}

/// An upstream's own answer.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Status and headers.
    pub head: Parts,
    /// The content.
    pub content: AnswerContent,
    /// Whether it tells a success.
    pub is_success: bool,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum ExchangeEnd {
    /// The upstream answered.
    Answered(Box<UpstreamAnswer>),
    /// Nothing was sent. The body was not used.
    NotSent(Body),
    /// The upstream refused the request without running it.
    NotRun,
    /// Another upstream has the address. The request has not run.
    OtherUpstream,
    /// An answer came that belongs to another request, or that no upstream made. The request may have run.
    Foreign,
    /// The connection broke. The request may have run.
    Broken,
    /// No answer came in several times the expected time. The request may have run, and goes to this place at another
    /// upstream.
    Silent(Box<TakenPlace>),
    /// No answer came before the deadline. The request may have run.
    TimedOut,
}

/// What is sent.
#[derive(Debug)]
pub struct ExchangeRequest<'a> {
    /// The method.
    pub method: &'a http::Method,
    /// The path and the query.
    pub uri: &'a Uri,
    /// The caller's headers without those of its connection.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: Body,
    /// The length of the body if it was read whole.
    pub body_bytes: Option<u64>,
    /// When the attempt is given up.
    pub give_up_at: MonotonicTime,
}

/// Sends a request to one upstream.
pub async fn exchange(
    context: &RequestContext,
    listed: &ListedUpstream,
    request: ExchangeRequest<'_>,
) -> ExchangeEnd {
    let now = context.shared.clock.now();
    let rule = reuse_rule(context, listed, now);
    let give_up_at = Instant::from_std(context.shared.clock.instant_of(request.give_up_at));
    let may_reuse = request
        .body_bytes
        .is_some_and(|bytes| bytes <= MAX_REUSED_BODY_BYTES);
    let message = upstream_request(context, listed, request);
    let sent = timeout_at(give_up_at, listed.link.send(now, message, rule)).await;
    let response = match sent {
        Err(_) => return ExchangeEnd::TimedOut,
        Ok(Ok(response)) => response,
        Ok(Err(SendFailure::ConnectFailed(unsent) | SendFailure::NotSent(unsent))) => {
            return ExchangeEnd::NotSent(unsent.into_body());
        }
        Ok(Err(SendFailure::Broken(error))) => {
            log::debug!(
                "exchange: Upstream {} broke a connection: {error}.",
                listed.state.info.id
            );
            return ExchangeEnd::Broken;
        }
    };
    let (head, body) = response.into_parts();
    let meaning = read_answer(head.status, &head.headers, &context.head.attempt_id);
    let read = match timeout_at(give_up_at, read_content(body)).await {
        Err(_) => return ExchangeEnd::TimedOut,
        Ok(None) => return ExchangeEnd::Broken,
        Ok(Some(read)) => read,
    };
    let is_foreign = meaning == AnswerMeaning::Foreign;
    if let Some(connection) = read.connection
        && may_reuse
        && !is_foreign
    {
        listed.link.put_back(context.shared.clock.now(), connection);
    }
    match meaning {
        AnswerMeaning::Own { is_success } => ExchangeEnd::Answered(Box::new(UpstreamAnswer {
            head,
            content: read.content,
            is_success,
        })),
        AnswerMeaning::NotRun => ExchangeEnd::NotRun,
        AnswerMeaning::OtherUpstream => ExchangeEnd::OtherUpstream,
        AnswerMeaning::Foreign => ExchangeEnd::Foreign,
    }
}

fn reuse_rule(context: &RequestContext, listed: &ListedUpstream, now: MonotonicTime) -> ReuseRule {
    let is_idempotent = context.route_plan().is_idempotent();
    match (is_idempotent, listed.state.has_suspect_connections(now)) {
        (true, _) => ReuseRule::REPEATABLE,
        (false, false) => ReuseRule::ONCE_ONLY,
        (false, true) => ReuseRule::NEW_CONNECTION,
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
    /// The connection, if the content was read to its end.
    connection: Option<Box<LinkConnection>>,
}

/// Reads a body, or its beginning if it is long. Returns nothing if it breaks off.
async fn read_content(mut body: LinkBody) -> Option<ReadContent> {
    let mut bytes = BytesMut::new();
    while bytes.len() <= MAX_WHOLE_BYTES {
        let Some(frame) = body.frame().await else {
            return Some(ReadContent {
                content: AnswerContent::Whole(bytes.freeze()),
                connection: Some(body.into_connection()),
            });
        };
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Some(ReadContent {
        content: AnswerContent::Streamed {
            start: bytes.freeze(),
            rest: body,
        },
        connection: None,
    })
}
