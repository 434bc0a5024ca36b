//! Converts the answer of an upstream to the response for the caller.

use coltsfootkeel_transport::remove_hop_by_hop_headers;
use http::StatusCode;
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::answer_stream::AnswerStream;
use crate::slot_reservation::SlotReservation;
use crate::upstream_exchange::{AnswerContent, UpstreamAnswer};
use coltsfootkeel_transport::InFlightGuard;

/// Converts an answer to a response. A long body is streamed while it arrives, until the deadline.
pub fn deliver_answer(
    answer: UpstreamAnswer,
    deadline: Instant,
    reservation: SlotReservation,
    in_flight_guard: InFlightGuard,
) -> Response {
    let mut head = answer.head;
    prepare_head(&mut head);
    let body = match answer.content {
        AnswerContent::Buffered(bytes) => Body::from(bytes),
        AnswerContent::Streamed { start, rest } => Body::from_body(AnswerStream::new(
            start,
            rest,
            deadline,
            reservation,
            in_flight_guard,
        )),
    };
    Response::from_parts(head, body)
}

/// Converts an error answer whose connection is no longer held to a response. A body that was not read to its end is
/// left out.
pub fn deliver_failure(failure: UpstreamAnswer) -> Response {
    let mut head = failure.head;
    prepare_head(&mut head);
    match failure.content {
        AnswerContent::Buffered(bytes) => Response::from_parts(head, Body::from(bytes)),
        AnswerContent::Streamed { .. } => {
            // Without its body the response is not the upstream's answer, so it must not carry its headers.
            head.headers.clear();
            Response::from_parts(head, Body::empty())
        }
    }
}

/// Prepares an upstream's head for the caller. A status that callers read as "not run" is replaced, because the
/// upstream did not state that.
fn prepare_head(head: &mut http::response::Parts) {
    remove_hop_by_hop_headers(&mut head.headers);
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if not_run_statuses.contains(&head.status) {
        head.status = StatusCode::BAD_GATEWAY;
        head.headers.clear();
    }
}
