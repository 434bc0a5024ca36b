//! Encoding of refusals as HTTP responses.

use std::time::Duration;

use coltsfootkeel_decisions::{Refusal, RefusalKind};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::header_rules;

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
    run: &'a str,
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

/// Returns the HTTP status of a refusal.
#[must_use]
pub const fn status_code(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::MissingKey | RefusalKind::UnknownKey | RefusalKind::KeyWithdrawn => {
            StatusCode::UNAUTHORIZED
        }
        RefusalKind::AccountNotAllowed => StatusCode::FORBIDDEN,
        RefusalKind::OverRate => StatusCode::TOO_MANY_REQUESTS,
        RefusalKind::NoRoute => StatusCode::NOT_FOUND,
        RefusalKind::CrashSuspect | RefusalKind::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalKind::OutcomeUnknown | RefusalKind::KeyInProgress | RefusalKind::AnswerNotKept => {
            StatusCode::CONFLICT
        }
        RefusalKind::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalKind::Malformed | RefusalKind::CallerGone => StatusCode::BAD_REQUEST,
        RefusalKind::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalKind::UpstreamFailed => StatusCode::BAD_GATEWAY,
        RefusalKind::NoFreeSlot
        | RefusalKind::QueueShed
        | RefusalKind::Isolated
        | RefusalKind::Leaving
        | RefusalKind::NotReady
        | RefusalKind::KeyOwnerUnreachable
        | RefusalKind::ReplayMemoryFull => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the time after which the caller should send the request again.
const fn retry_delay(kind: RefusalKind) -> Duration {
    match kind {
        RefusalKind::OverRate => Duration::from_millis(200),
        RefusalKind::KeyInProgress => Duration::from_millis(500),
        RefusalKind::Isolated | RefusalKind::Leaving => Duration::from_secs(5),
        _ => Duration::from_secs(1),
    }
}

/// Creates the response for a refusal.
#[must_use]
pub fn refusal_response(refusal: Refusal, request_id: &str) -> Response {
    let kind = refusal.kind();
    let delay = refusal.is_retryable().then(|| retry_delay(kind));
    let body = RefusalBody {
        error: kind.code(),
        run: refusal.run_status().code(),
        retry_after_ms: delay.map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)),
        request_id,
    };
    let mut response = Response::new(Body::from(serde_json::to_vec(&body).unwrap_or_default()));
    *response.status_mut() = status_code(kind);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    header_rules::set_text(
        headers,
        header_rules::RUN_HEADER,
        refusal.run_status().code(),
    );
    header_rules::set_text(headers, header_rules::REQUEST_ID_HEADER, request_id);
    if let Some(delay) = delay {
        // The header is in whole seconds and is rounded up; the body holds the milliseconds.
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
    }
    if closes_connection(kind) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}

/// Returns whether the connection is closed after a refusal of this kind. If the body was not read, the connection
/// cannot be used for another request.
const fn closes_connection(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::BodyTooLarge | RefusalKind::Malformed | RefusalKind::Leaving
    )
}
