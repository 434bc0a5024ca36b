//! Hands an upstream's answer to the caller.

use coltsfootkeel_transport::remove_hop_by_hop_headers;
use http::StatusCode;
use tokio::time::Instant;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::answer_stream::AnswerStream;
use crate::upstream_choice::TakenPlace;
use crate::upstream_exchange::{AnswerContent, UpstreamAnswer};
use coltsfootkeel_transport::InFlightGuard;

/// Makes the response of an answer. A long one is passed on while it arrives, until the deadline.
pub fn deliver_answer(
    answer: UpstreamAnswer,
    deadline: Instant,
    place: TakenPlace,
    counted: InFlightGuard,
) -> Response {
    let mut head = answer.head;
    prepare_head(&mut head);
    let body = match answer.content {
        AnswerContent::Whole(bytes) => Body::from(bytes),
        AnswerContent::Streamed { start, rest } => {
            Body::from_body(AnswerStream::new(start, rest, deadline, place, counted))
        }
    };
    Response::from_parts(head, body)
}

/// Makes the response of a failure whose connection is not held any more. A long body is left out.
pub fn deliver_failure(failure: UpstreamAnswer) -> Response {
    let mut head = failure.head;
    prepare_head(&mut head);
    match failure.content {
        AnswerContent::Whole(bytes) => Response::from_parts(head, Body::from(bytes)),
        AnswerContent::Streamed { .. } => {
            // Without its body the answer is no longer the upstream's.
            head.headers.clear();
            Response::from_parts(head, Body::empty())
        }
    }
}

/// Prepares an upstream's head for the caller. A status that would promise "not run" is replaced: the upstream did not
/// say so.
fn prepare_head(head: &mut http::response::Parts) {
    remove_hop_by_hop_headers(&mut head.headers);
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
