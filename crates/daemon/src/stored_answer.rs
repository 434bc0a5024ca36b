//! Buffered answer that can be stored under an idempotency key and returned when the request is repeated.

use bytes::Bytes;
use coltsfootkeel_decisions::MAX_ANSWER_BYTES;
use coltsfootkeel_protocol::AnswerHeader;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

/// A complete answer of an upstream.
#[derive(Debug, Clone)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers for the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Returns the size of the headers and the body in bytes, which counts towards the limits of the replay memory.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let header_bytes: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        header_bytes + self.body.len()
    }

    /// Returns whether the answer is small enough to be stored.
    #[must_use]
    pub fn is_storable(&self) -> bool {
        self.size() <= MAX_ANSWER_BYTES
    }

    /// Creates the response for a caller.
    #[must_use]
    pub fn to_response(&self) -> Response {
        let mut response = Response::new(Body::from(self.body.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        response
    }

    /// Returns the headers in the encoding of messages between peers.
    #[must_use]
    pub fn message_headers(&self) -> Vec<AnswerHeader> {
        let headers = self.headers.iter();
        headers
            .map(|(name, value)| AnswerHeader {
                name: name.as_str().to_string(),
                value: value.as_bytes().to_vec(),
            })
            .collect()
    }

    /// Creates an answer from the parts of a message. Returns `None` if a part is not valid in HTTP.
    #[must_use]
    pub fn from_message(status: u32, headers: &[AnswerHeader], body: Vec<u8>) -> Option<Self> {
        let status = StatusCode::from_u16(u16::try_from(status).ok()?).ok()?;
        let mut map = HeaderMap::new();
        for header in headers {
            let name: HeaderName = header.name.parse().ok()?;
            map.append(name, HeaderValue::from_bytes(&header.value).ok()?);
        }
        Some(Self {
            status,
            headers: map,
            body: Bytes::from(body),
        })
    }
}
