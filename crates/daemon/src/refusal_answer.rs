//! Refusals as HTTP responses.

use std::time::Duration;

use coltsfootkeel_decisions::{Refusal, RefusalKind};
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::header_rules;

/// The body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
    run: &'a str,
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

/// Returns the status of a refusal.
#[must_use]
pub const fn status_of(kind: RefusalKind) -> StatusCode {
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

/// Returns after which time a repeat makes sense.
const fn retry_time(kind: RefusalKind) -> Duration {
    match kind {
        RefusalKind::OverRate => Duration::from_millis(200),
        RefusalKind::KeyInProgress => Duration::from_millis(500),
        RefusalKind::Isolated | RefusalKind::Leaving => Duration::from_secs(5),
        _ => Duration::from_secs(1),
    }
}

/// Makes the response for a refusal.
#[must_use]
pub fn refusal_response(refusal: Refusal, request_id: &str) -> Response {
    let kind = refusal.kind();
    let retry = refusal.is_retryable().then(|| retry_time(kind));
    let body = RefusalBody {
        error: kind.code(),
        run: refusal.run_status().code(),
        retry_after_ms: retry.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
        request_id,
    };
    let mut response = Response::new(Body::from(serde_json::to_vec(&body).unwrap_or_default()));
    *response.status_mut() = status_of(kind);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    header_rules::set_text(
        headers,
        header_rules::RUN_HEADER,
        refusal.run_status().code(),
    );
    header_rules::set_text(headers, header_rules::REQUEST_ID_HEADER, request_id);
    if let Some(time) = retry {
        // The header counts in whole seconds; the body gives the milliseconds.
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(time)));
    }
    if closes_connection(kind) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn whole_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}

/// A request whose body was not read leaves its connection unusable.
const fn closes_connection(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::BodyTooLarge | RefusalKind::Malformed | RefusalKind::Leaving
    )
}
