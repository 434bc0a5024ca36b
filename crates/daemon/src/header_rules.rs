//! Which headers pass between caller and upstream, and the headers the system adds.

use coltsfootkeel_transport::remove_hop_by_hop_headers;
use http::header::{
    AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};

/// Tells whether a request ran: `not-run`, `unknown` or `run`. Sent by upstreams and to callers.
pub const RUN_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-run");
/// Tells that an upstream is leaving.
pub const DRAINING_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-draining");
/// The name of the client account, for upstreams.
pub const ACCOUNT_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-account");
/// The id of the request, for upstreams and callers.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-request-id");
/// The time left for the request in milliseconds, for upstreams.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-deadline-ms");
/// The upstream that answered, for callers.
pub const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("coltsfootkeel-upstream");
/// The caller's name for a request that it may send again.
pub const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

const OWN_PREFIX: &str = "coltsfootkeel-";
/// Removes from a caller's request what no upstream may see: the access key, the system's own headers,
/// and headers of the hop.
pub fn clean_request(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(AUTHORIZATION);
    headers.remove(EXPECT);
    remove_own_headers(headers);
}

/// Removes from an upstream's response what no caller may see: the system's own headers and headers of the hop.
pub fn clean_response(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    remove_own_headers(headers);
}

/// Returns the access key of a request, if it carries one.
#[must_use]
pub fn access_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the length of the body if the head states it.
#[must_use]
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Tells whether the body's end can be seen: it has a length or is sent in chunks.
#[must_use]
pub fn has_framed_body(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Tells whether a header has the given value, without regard to case.
#[must_use]
pub fn has_value(headers: &HeaderMap, name: &HeaderName, value: &str) -> bool {
    headers
        .get(name)
        .is_some_and(|found| found.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

/// Sets a header to a text the system made.
pub fn set_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Tells whether the host header is present; HTTP/1.1 requires it (RFC 9112, section 3.2).
#[must_use]
pub fn has_host(headers: &HeaderMap) -> bool {
    headers.contains_key(HOST)
}

fn remove_own_headers(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
