//! Heads of requests that are parsed before the HTTP library reads them.
//!
//! The library stays the judge of every request. A head is recognized here only if nothing in it changes where the next
//! request begins or whether the connection stays open, and everything else is left to the library.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version};
use httparse::{EMPTY_HEADER, Status};

/// The largest number of headers that the HTTP library accepts in a head.
const MAX_HEADERS: usize = 100;
/// The minor version of HTTP/1.1, in which connections stay open by default.
const PERSISTENT_MINOR_VERSION: u8 = 1;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A complete head of a request without a body, after which the connection stays open.
#[derive(Debug)]
pub(crate) struct ParsedHead {
    /// The length of the head in bytes, with the empty line.
    pub(crate) length: usize,
    pub(crate) parts: Parts,
}

/// Parses the head at the start of `bytes`. Returns `None` if it is incomplete, malformed, followed by a body, or ends
/// the connection.
pub(crate) fn parse_head(bytes: &[u8]) -> Option<ParsedHead> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(Status::Complete(length)) = request.parse(bytes) else {
        return None;
    };
    if request.version != Some(PERSISTENT_MINOR_VERSION) {
        return None;
    }
    let mut parts = Request::new(()).into_parts().0;
    parts.version = Version::HTTP_11;
    parts.method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    parts.uri = Uri::try_from(request.path?).ok()?;
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        parts.headers.append(name, value);
    }
    let is_plain = parts.method != Method::CONNECT && is_plain(&parts.headers);
    is_plain.then_some(ParsedHead { length, parts })
}

/// Returns whether a request with these headers has no body and leaves the connection open.
fn is_plain(headers: &HeaderMap) -> bool {
    let framing = [CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE, EXPECT];
    !framing.iter().any(|name| headers.contains_key(name)) && keeps_connection(headers)
}

/// Returns whether the headers do not name any option of the connection but `keep-alive`.
pub(crate) fn keeps_connection(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    values.all(|value| value.as_bytes().eq_ignore_ascii_case(b"keep-alive"))
}

/// Returns the length of the head at the start of `bytes` if further bytes follow it and belong to another request.
pub(crate) fn length_before_next(bytes: &[u8]) -> Option<usize> {
    let end = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?;
    // Most reads contain a single head, which needs no parsing.
    if end + HEAD_END.len() == bytes.len() {
        return None;
    }
    let length = parse_head(bytes)?.length;
    (length < bytes.len()).then_some(length)
}
