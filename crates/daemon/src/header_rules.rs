//! Rules for headers: which of them are forwarded between caller and upstream, and which the system adds.

use coltsfootkeel_transport::remove_hop_by_hop_headers;
use http::header::{
    AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};

/// Whether a request ran: `not-run`, `unknown` or `run`. Upstreams send it to the daemon, and the daemon to callers.
pub const RUN_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-run");
/// Sent by an upstream with the value `yes` while it is draining.
pub const DRAINING_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-draining");
/// The name of the client account, sent to upstreams.
pub const ACCOUNT_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-account");
/// The id of the request, sent to upstreams and callers.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-request-id");
/// The time until the deadline of the request in milliseconds, sent to upstreams.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-deadline-ms");
/// The name of the upstream that answered, sent to callers.
pub const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-upstream");
/// The idempotency key that a caller assigns to a request which it may send again.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

const SYSTEM_HEADER_PREFIX: &str = "coltsfootkeel-";

/// Removes the headers of a caller's request that must not reach an upstream: the access key, `Expect`, the system's
/// own headers and hop-by-hop headers.
pub fn strip_request_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(AUTHORIZATION);
    headers.remove(EXPECT);
    remove_system_headers(headers);
}

/// Removes the headers of an upstream's response that must not reach a caller: the system's own headers and hop-by-hop
/// headers.
pub fn strip_response_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    remove_system_headers(headers);
}

/// Returns the access key of a request, or `None` if it carries none.
#[must_use]
pub fn access_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the declared length of the body in bytes, or `None` if there is no valid one.
#[must_use]
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Returns whether the end of the body can be detected, because it has a declared length or a transfer coding.
#[must_use]
pub fn has_framed_body(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether a header has the given value; letters are compared without regard to case.
#[must_use]
pub fn has_value(headers: &HeaderMap, name: &HeaderName, value: &str) -> bool {
    headers
        .get(name)
        .is_some_and(|found| found.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

/// Sets a header to `text`, or leaves the headers unchanged if `text` is not a valid header value.
pub fn set_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Returns whether the host header is present, which HTTP/1.1 requires (RFC 9112, section 3.2).
#[must_use]
pub fn has_host(headers: &HeaderMap) -> bool {
    headers.contains_key(HOST)
}

fn remove_system_headers(headers: &mut HeaderMap) {
    let system_headers: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(SYSTEM_HEADER_PREFIX))
        .cloned()
        .collect();
    for name in system_headers {
        headers.remove(name);
    }
}
