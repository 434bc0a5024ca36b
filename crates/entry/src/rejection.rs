//! Responses of the entry instance to requests that it does not serve.

use std::time::Duration;

use coltsfootkeel_adapter::{attempt_id_header, retry_after_header};
use http::StatusCode;
use volo_http::body::Body;
use volo_http::response::Response;

/// The reason why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectKind {
    /// No plan has been received yet.
    NotReady,
    /// No route matches the host and path.
    NoRoute,
    /// The access key is missing or belongs to no client account.
    UnknownKey,
    /// The plan is too old to exclude that the access key was withdrawn, or that the unknown route or key was added.
    StalePlan,
    /// The part of the plan that decides about the request cannot be read.
    UnreadablePart,
    /// The client account is over its rate.
    OverQuota,
    /// The body exceeds the plan's limit.
    TooLarge,
    /// The headers or the body of the request cannot be read.
    Malformed,
    /// No upstream can answer in time.
    NoCapacity,
    /// The process stops before the request could be answered.
    Stopping,
    /// Earlier attempts of the request broke the connections of several upstreams.
    Crashing,
    /// The deadline or the route's timeout has passed.
    TimedOut,
    /// The attempts failed, and no retry is possible.
    UpstreamFailed,
}

impl RejectKind {
    /// Returns the code in the request log.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::StalePlan => "stale_plan",
            Self::UnreadablePart => "unreadable_part",
            Self::OverQuota => "over_quota",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
            Self::NoCapacity => "no_room",
            Self::Stopping => "stopping",
            Self::Crashing => "crashing",
            Self::TimedOut => "timed_out",
            Self::UpstreamFailed => "upstream_failed",
        }
    }
}

/// Why a request is not served, and what the response states about it.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// The reason why the request is not served.
    pub kind: RejectKind,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// The value of `Retry-After`; `None` if a retry is of no use.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates the rejection of a request that has not run and will not run.
    #[must_use]
    pub fn not_run(kind: RejectKind, retry_after: Option<Duration>) -> Self {
        Self {
            kind,
            may_have_run: false,
            retry_after,
        }
    }

    /// Returns the status. 429 and 503 state that the request has not run; 502 and 504 state that it may have run.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.kind {
            RejectKind::NoRoute => StatusCode::NOT_FOUND,
            RejectKind::UnknownKey => StatusCode::UNAUTHORIZED,
            RejectKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RejectKind::Malformed => StatusCode::BAD_REQUEST,
            RejectKind::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            RejectKind::TimedOut if self.may_have_run => StatusCode::GATEWAY_TIMEOUT,
            _ if self.may_have_run => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Converts the rejection to a response, with the attempt id if it is known.
    #[must_use]
    pub fn to_response(self, attempt_id: Option<&str>) -> Response {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = self.status();
        let after = self.retry_after.filter(|_| !self.may_have_run);
        let headers = [
            after.and_then(retry_after_header),
            attempt_id.and_then(attempt_id_header),
        ];
        response.headers_mut().extend(headers.into_iter().flatten());
        response
    }
}
