//! Relay of an upstream's response to the caller.

use std::sync::Arc;

use bytes::Bytes;
use coltsfootkeel_decisions::{AttemptEnd, SuspectFingerprint};
use coltsfootkeel_model::UpstreamKey;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::answer_body::{AnswerBody, AnswerEnd};
use crate::caller_request::{CallerBody, MAX_BUFFERED_BYTES};
use crate::control_event::ControlEvent;
use crate::header_rules;
use crate::request_context::RequestContext;
use crate::slot_queue::SlotGuard;
use crate::stored_answer::StoredAnswer;
use coltsfootkeel_transport::{UpstreamBody, UpstreamConnection};

/// An upstream's answer, ready to be sent to the caller.
#[derive(Debug)]
pub enum RelayedAnswer {
    /// A small answer that has been received completely.
    Buffered(StoredAnswer),
    /// An answer that is forwarded while it arrives.
    Streamed(Response),
}

impl RelayedAnswer {
    /// Creates the response for the caller.
    #[must_use]
    pub fn into_response(self) -> Response {
        match self {
            Self::Buffered(answer) => answer.to_response(),
            Self::Streamed(response) => response,
        }
    }
}

/// Relays a response to the caller. A small response is received completely first, so that the request can still be
/// retried if the connection breaks during the response.
///
/// # Errors
///
/// Returns [`AttemptEnd::AnswerTruncated`] if a small response is incomplete; no byte of it was sent to the caller.
pub async fn relay_answer(
    context: &RequestContext,
    body: &CallerBody,
    upstream: UpstreamKey,
    slot: SlotGuard,
    response: hyper::Response<UpstreamBody>,
) -> Result<RelayedAnswer, AttemptEnd> {
    let (parts, incoming) = response.into_parts();
    let mut headers = parts.headers;
    let is_small = incoming
        .size_hint()
        .exact()
        .is_some_and(|length| length <= MAX_BUFFERED_BYTES);
    header_rules::strip_response_headers(&mut headers);
    header_rules::set_text(
        &mut headers,
        header_rules::REQUEST_ID_HEADER,
        &context.request_id,
    );
    let name = &context.snapshot.config.upstreams[upstream].name;
    header_rules::set_text(&mut headers, header_rules::UPSTREAM_HEADER, name);
    let client = Arc::clone(&context.snapshot.upstream_states[upstream].client);
    let completion = AnswerCompletion {
        success_fingerprint: success_fingerprint(context, body),
        region: context.snapshot.config.upstreams[upstream].region,
        started: context.deadline - context.route().deadline,
        snapshot: Arc::clone(&context.snapshot),
        shared: Arc::clone(&context.shared),
        sent_bytes: context.head.content_length.unwrap_or(0),
        client,
        slot,
    };
    if is_small {
        return relay_buffered(context, parts.status, headers, incoming, completion).await;
    }
    let deadline = Instant::from_std(context.shared.clock.instant_of(context.deadline));
    let on_end = Box::new(move |end: AnswerEnd| completion.complete(end));
    let body = AnswerBody::new(incoming, deadline, context.withdrawal_flag.clone(), on_end);
    let mut response = Response::new(Body::from_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    Ok(RelayedAnswer::Streamed(response))
}

async fn relay_buffered(
    context: &RequestContext,
    status: http::StatusCode,
    headers: HeaderMap,
    incoming: UpstreamBody,
    completion: AnswerCompletion,
) -> Result<RelayedAnswer, AttemptEnd> {
    let deadline = Instant::from_std(context.shared.clock.instant_of(context.deadline));
    let read = tokio::time::timeout_at(deadline, read_body(incoming)).await;
    if let Ok(Some((body, connection))) = read {
        completion.complete(AnswerEnd {
            connection: Some(connection),
            bytes: body.len() as u64,
        });
        return Ok(RelayedAnswer::Buffered(StoredAnswer {
            status,
            headers,
            body,
        }));
    }
    completion.slot.handle().health.record_failure();
    completion.complete(AnswerEnd {
        connection: None,
        bytes: 0,
    });
    log::debug!(
        "entry: The response to request {} is incomplete.",
        context.request_id
    );
    Err(AttemptEnd::AnswerTruncated)
}

/// Reads a small body. Returns `None` if it is incomplete.
async fn read_body(mut body: UpstreamBody) -> Option<(Bytes, Box<UpstreamConnection>)> {
    let mut bytes = Bytes::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        bytes = if bytes.is_empty() {
            data
        } else {
            Bytes::from([bytes, data].concat())
        };
    }
    Some((bytes, body.into_connection()))
}

/// Returns the fingerprint of the request if it is a crash suspect whose success must be reported.
fn success_fingerprint(context: &RequestContext, body: &CallerBody) -> Option<SuspectFingerprint> {
    let suspects = context.shared.suspects.load();
    if !suspects.may_refuse_head(|| context.request_head().fingerprint()) {
        return None;
    }
    let fingerprint = context.fingerprint(body.fingerprint_digest());
    suspects
        .needs_success_report(fingerprint)
        .then_some(fingerprint)
}

/// The data for the work at the end of an answer: accounting, reuse of the connection, and release of the slot.
struct AnswerCompletion {
    shared: Arc<crate::shared_state::SharedState>,
    snapshot: Arc<crate::fleet_snapshot::FleetSnapshot>,
    client: Arc<coltsfootkeel_transport::UpstreamClient>,
    slot: SlotGuard,
    region: coltsfootkeel_model::RegionKey,
    started: coltsfootkeel_counters::MonotonicTime,
    sent_bytes: u64,
    success_fingerprint: Option<SuspectFingerprint>,
}

impl AnswerCompletion {
    fn complete(self, end: AnswerEnd) {
        let now = self.shared.clock.now();
        let home_region = self.snapshot.location.region;
        let links = &self.snapshot.links;
        links.charge(home_region, self.region, self.sent_bytes);
        links.charge(self.region, home_region, end.bytes);
        let Some(connection) = end.connection else {
            return;
        };
        self.client.put_idle(now, connection);
        self.shared.metrics.count_answer(now.since(self.started));
        if let Some(fingerprint) = self.success_fingerprint {
            self.shared
                .send_event(ControlEvent::SuspectSucceeded(fingerprint));
        }
        drop(self.slot);
    }
}
