//! Head and body of a caller's request, as far as admission, routing and retries use them.

use std::time::Duration;

use bytes::Bytes;
use coltsfootkeel_model::AccessDigest;
use http::Method;
use http::request::Parts;
use http_body_util::{BodyExt, Limited};
use sha2::{Digest, Sha256};
use volo_http::body::Body;

use coltsfootkeel_decisions::{BodyDigest, FINGERPRINT_BODY_BYTES, RefusalKind};

use crate::header_rules;
use coltsfootkeel_transport::PrefixedBody;

/// The maximum length in bytes of a body that is buffered: of a request, so that it can be sent again, and of a
/// response, so that the request can be retried if the response is incomplete.
pub const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// The maximum number of bytes of a refused request's body that are read before the connection is closed.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// The maximum time to read the body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// The parts of the request head that admission, routing and retries use.
#[derive(Debug)]
pub struct CallerHead {
    /// The HTTP method.
    pub method: Method,
    /// The path without the query, which selects the route.
    pub path: String,
    /// The path with the query, which is sent to the upstream.
    pub path_and_query: String,
    /// The digest of the access key; `None` if the request carries none.
    pub access_digest: Option<AccessDigest>,
    /// The idempotency key; `None` if the request carries none.
    pub idempotency_key: Option<String>,
    /// The declared length of the body in bytes; `None` if the request declares none.
    pub content_length: Option<u64>,
}

impl CallerHead {
    /// Reads and checks the head of a request.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalKind::Malformed`] if the method, the target, the host header or the idempotency key is not
    /// valid, and [`RefusalKind::BodyTooLarge`] if the declared length exceeds `max_body_bytes`.
    pub fn read(parts: &Parts, max_body_bytes: u64) -> Result<Self, RefusalKind> {
        let headers = &parts.headers;
        let path_and_query = parts.uri.path_and_query().ok_or(RefusalKind::Malformed)?;
        if parts.method == Method::CONNECT || !path_and_query.path().starts_with('/') {
            return Err(RefusalKind::Malformed);
        }
        if parts.version == http::Version::HTTP_11 && !header_rules::has_host(headers) {
            return Err(RefusalKind::Malformed);
        }
        let content_length = header_rules::content_length(headers);
        if content_length.is_some_and(|length| length > max_body_bytes) {
            return Err(RefusalKind::BodyTooLarge);
        }
        Ok(Self {
            method: parts.method.clone(),
            path: path_and_query.path().to_string(),
            path_and_query: path_and_query.as_str().to_string(),
            access_digest: header_rules::access_key(headers).map(AccessDigest::of_key),
            idempotency_key: idempotency_key(headers)?,
            content_length,
        })
    }

    /// Returns a digest of the method, the target and the body. Requests with one idempotency key and different digests
    /// are different requests. `None` means a streamed body, which the digest does not cover.
    #[must_use]
    pub fn request_digest(&self, body: Option<&Bytes>) -> u64 {
        let mut hash = Sha256::new();
        hash.update(self.method.as_str());
        hash.update([0]);
        hash.update(&self.path_and_query);
        hash.update([0]);
        if let Some(body) = body {
            hash.update(body);
        }
        leading_u64(&hash.finalize())
    }
}

/// The body of a caller's request. A small body is buffered, so that it can be sent again.
#[derive(Debug)]
pub enum CallerBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is forwarded while it arrives.
    Streamed {
        /// The body; `None` after an attempt has taken it.
        body: Option<Body>,
        /// The digest of the first [`FINGERPRINT_BODY_BYTES`] of the body.
        prefix_digest: BodyDigest,
    },
}

impl CallerBody {
    /// Buffers a body of at most [`MAX_BUFFERED_BYTES`]. Of a longer body, or one without a declared length, only the
    /// part that the fingerprint covers is read.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalKind::Malformed`] if the body ends early.
    pub async fn read(
        head: &CallerHead,
        body: Body,
        max_body_bytes: u64,
    ) -> Result<Self, RefusalKind> {
        match head.content_length {
            Some(length) if length <= MAX_BUFFERED_BYTES => {}
            None if http_body::Body::is_end_stream(&body) => {
                return Ok(Self::Buffered(Bytes::new()));
            }
            _ => return Self::read_prefix(body, max_body_bytes).await,
        }
        let collected = body.collect().await.map_err(|_| RefusalKind::Malformed)?;
        Ok(Self::Buffered(collected.to_bytes()))
    }

    async fn read_prefix(body: Body, max_body_bytes: u64) -> Result<Self, RefusalKind> {
        let body = PrefixedBody::read_ahead(body, FINGERPRINT_BODY_BYTES)
            .await
            .map_err(|_| RefusalKind::Malformed)?;
        let prefix = &body.prefix()[..body.prefix().len().min(FINGERPRINT_BODY_BYTES)];
        let prefix_digest = BodyDigest(Sha256::digest(prefix).into());
        let limit = usize::try_from(max_body_bytes).unwrap_or(usize::MAX);
        Ok(Self::Streamed {
            body: Some(Body::from_body(Limited::new(body, limit))),
            prefix_digest,
        })
    }

    /// Returns the body for one attempt, or `None` if it was streamed to an earlier attempt.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(Body::from(bytes.clone())),
            Self::Streamed { body, .. } => body.take(),
        }
    }

    /// Restores a streamed body of which an attempt sent no byte.
    pub fn put_back(&mut self, body: Body) {
        if let Self::Streamed { body: slot, .. } = self {
            *slot = Some(body);
        }
    }

    /// Returns whether the body can be sent again.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the bytes of a buffered body, or `None` if the body is streamed.
    #[must_use]
    pub fn bytes(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed { .. } => None,
        }
    }

    /// Returns the digest of the first [`FINGERPRINT_BODY_BYTES`] of the body, for the fingerprint of the request.
    #[must_use]
    pub fn fingerprint_digest(&self) -> BodyDigest {
        match self {
            Self::Buffered(bytes) => {
                let prefix = &bytes[..bytes.len().min(FINGERPRINT_BODY_BYTES)];
                BodyDigest(Sha256::digest(prefix).into())
            }
            Self::Streamed { prefix_digest, .. } => *prefix_digest,
        }
    }
}

/// Reads and drops the body of a refused request. Closing the connection while the caller is still sending would reset
/// the connection, and the caller would not receive the refusal.
pub async fn discard_body(mut body: Body) {
    let read_body = async {
        let mut remaining_bytes = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            remaining_bytes =
                remaining_bytes.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if remaining_bytes == 0 {
                return;
            }
        }
    };
    // After the timeout, the connection of a caller that sends too slowly is closed.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read_body).await;
}

fn idempotency_key(headers: &http::HeaderMap) -> Result<Option<String>, RefusalKind> {
    let Some(value) = headers.get(header_rules::IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| RefusalKind::Malformed)?;
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(RefusalKind::Malformed);
    }
    Ok(Some(key.to_string()))
}

fn leading_u64(digest: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(bytes)
}
