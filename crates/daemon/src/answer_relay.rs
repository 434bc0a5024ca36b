//! Passes an upstream's response on to the caller.

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
use crate::caller_request::{CallerBody, MAX_REPLAYABLE_BYTES};
use crate::control_event::ControlEvent;
use crate::header_rules;
use crate::request_context::RequestContext;
use crate::slot_queue::SlotGuard;
use crate::stored_answer::StoredAnswer;
use coltsfootkeel_transport::{UpstreamBody, UpstreamConnection};

/// An answer on its way to the caller.
#[derive(Debug)]
pub enum RelayedAnswer {
    /// A small answer that has arrived whole.
    Whole(StoredAnswer),
    /// An answer that is passed on while it arrives.
    Streamed(Response),
}

impl RelayedAnswer {
    /// Makes the response for the caller.
    #[must_use]
    pub fn into_response(self) -> Response {
        match self {
            Self::Whole(answer) => answer.to_response(),
            Self::Streamed(response) => response,
        }
    }
}

/// Passes a response on. Small ones are read whole first, so that a request can still be retried if one breaks off.
///
/// # Errors
///
/// Returns how the attempt ended if the answer broke off before the caller got any of it.
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
        .is_some_and(|length| length <= MAX_REPLAYABLE_BYTES);
    header_rules::clean_response(&mut headers);
    header_rules::set_text(
        &mut headers,
        header_rules::REQUEST_ID_HEADER,
        &context.request_id,
    );
    let name = &context.snapshot.config.upstreams[upstream].name;
    header_rules::set_text(&mut headers, header_rules::UPSTREAM_HEADER, name);
    let link = Arc::clone(&context.snapshot.upstreams[upstream].link);
    let finish = AnswerFinish {
        success: suspect_success(context, body),
        region: context.snapshot.config.upstreams[upstream].region,
        started: context.deadline - context.route().deadline,
        context_snapshot: Arc::clone(&context.snapshot),
        shared: Arc::clone(&context.shared),
        sent_bytes: context.head.content_length.unwrap_or(0),
        link,
        slot,
    };
    if is_small {
        return relay_whole(context, parts.status, headers, incoming, finish).await;
    }
    let deadline = Instant::from_std(context.shared.clock.instant_of(context.deadline));
    let hook = Box::new(move |end: AnswerEnd| finish.run(end));
    let body = AnswerBody::new(incoming, deadline, context.watch.clone(), hook);
    let mut response = Response::new(Body::from_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    Ok(RelayedAnswer::Streamed(response))
}

async fn relay_whole(
    context: &RequestContext,
    status: http::StatusCode,
    headers: HeaderMap,
    incoming: UpstreamBody,
    finish: AnswerFinish,
) -> Result<RelayedAnswer, AttemptEnd> {
    let deadline = Instant::from_std(context.shared.clock.instant_of(context.deadline));
    let read = tokio::time::timeout_at(deadline, read_whole(incoming)).await;
    if let Ok(Some((body, connection))) = read {
        finish.run(AnswerEnd {
            connection: Some(connection),
            bytes: body.len() as u64,
        });
        return Ok(RelayedAnswer::Whole(StoredAnswer {
            status,
            headers,
            body,
        }));
    }
    finish.slot.lane().health.record_failure();
    finish.run(AnswerEnd {
        connection: None,
        bytes: 0,
    });
    log::debug!(
        "entry: Response to request {} broke off.",
        context.request_id
    );
    Err(AttemptEnd::AnswerTruncated)
}

/// Reads a small body. Returns nothing if it breaks off.
async fn read_whole(mut body: UpstreamBody) -> Option<(Bytes, Box<UpstreamConnection>)> {
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

fn suspect_success(context: &RequestContext, body: &CallerBody) -> Option<SuspectFingerprint> {
    let suspects = context.shared.suspects.load();
    if !suspects.may_refuse_head(|| context.suspect_head().fingerprint()) {
        return None;
    }
    let fingerprint = context.fingerprint(body.fingerprint_digest());
    suspects
        .needs_success_report(fingerprint)
        .then_some(fingerprint)
}

/// What happens when an answer has ended.
struct AnswerFinish {
    shared: Arc<crate::shared_state::SharedState>,
    context_snapshot: Arc<crate::fleet_snapshot::FleetSnapshot>,
    link: Arc<coltsfootkeel_transport::UpstreamClient>,
    slot: SlotGuard,
    region: coltsfootkeel_model::RegionKey,
    started: coltsfootkeel_counters::MonotonicTime,
    sent_bytes: u64,
    success: Option<SuspectFingerprint>,
}

impl AnswerFinish {
    fn run(self, end: AnswerEnd) {
        let now = self.shared.clock.now();
        let home = self.context_snapshot.home.region;
        let links = &self.context_snapshot.links;
        links.charge(home, self.region, self.sent_bytes);
        links.charge(self.region, home, end.bytes);
        let Some(connection) = end.connection else {
            return;
        };
        self.link.put_back(now, connection);
        self.shared.metrics.count_answer(now.since(self.started));
        if let Some(fingerprint) = self.success {
            self.shared.report(ControlEvent::Success(fingerprint));
        }
        drop(self.slot);
    }
}
