//! The parts of a caller's request that decisions need, and its body.

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

/// Bodies up to this length in bytes are read before the request is sent, so that they can be sent again.
pub const MAX_REPLAYABLE_BYTES: u64 = 64 * 1024;

/// The most bytes of a refused body that are read.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Time to read a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// The head of a caller's request.
#[derive(Debug)]
pub struct CallerHead {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The path with the query.
    pub path_and_query: String,
    /// The digest of the access key, if the request carries one.
    pub access: Option<AccessDigest>,
    /// The idempotency key, if the request carries one.
    pub idempotency_key: Option<String>,
    /// The length of the body, if the head states it.
    pub content_length: Option<u64>,
}

impl CallerHead {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
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
            access: header_rules::access_key(headers).map(AccessDigest::of_key),
            idempotency_key: idempotency_key(headers)?,
            content_length,
        })
    }

    /// Returns a digest of what makes two requests with one idempotency key the same request.
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
        first_number(&hash.finalize())
    }
}

/// A caller's body: small ones are read whole, so that they can be sent again.
#[derive(Debug)]
pub enum CallerBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that is passed on while it arrives, and the digest of its first bytes.
    Streamed {
        /// The body, until an attempt takes it.
        body: Option<Body>,
        /// The digest of its first bytes.
        start_digest: BodyDigest,
    },
}

impl CallerBody {
    /// Reads the body if it is small.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalKind::Malformed`] if the body breaks off.
    pub async fn read(
        head: &CallerHead,
        body: Body,
        max_body_bytes: u64,
    ) -> Result<Self, RefusalKind> {
        match head.content_length {
            Some(length) if length <= MAX_REPLAYABLE_BYTES => {}
            None if http_body::Body::is_end_stream(&body) => return Ok(Self::Whole(Bytes::new())),
            _ => return Self::read_start(body, max_body_bytes).await,
        }
        let collected = body.collect().await.map_err(|_| RefusalKind::Malformed)?;
        Ok(Self::Whole(collected.to_bytes()))
    }

    async fn read_start(body: Body, max_body_bytes: u64) -> Result<Self, RefusalKind> {
        let body = PrefixedBody::read_ahead(body, FINGERPRINT_BODY_BYTES)
            .await
            .map_err(|_| RefusalKind::Malformed)?;
        let start = &body.prefix()[..body.prefix().len().min(FINGERPRINT_BODY_BYTES)];
        let start_digest = BodyDigest(Sha256::digest(start).into());
        let limit = usize::try_from(max_body_bytes).unwrap_or(usize::MAX);
        Ok(Self::Streamed {
            body: Some(Body::from_body(Limited::new(body, limit))),
            start_digest,
        })
    }

    /// Returns the body for one attempt, or nothing if it was given away already.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) => Some(Body::from(bytes.clone())),
            Self::Streamed { body, .. } => body.take(),
        }
    }

    /// Takes back a body that an attempt did not use.
    pub fn put_back(&mut self, body: Body) {
        if let Self::Streamed { body: slot, .. } = self {
            *slot = Some(body);
        }
    }

    /// Tells whether the body can be sent again.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the bytes of a body that was read whole.
    #[must_use]
    pub fn bytes(&self) -> Option<&Bytes> {
        match self {
            Self::Whole(bytes) => Some(bytes),
            Self::Streamed { .. } => None,
        }
    }

    /// Returns the digest of the body's first bytes, for the fingerprint of a request.
    #[must_use]
    pub fn fingerprint_digest(&self) -> BodyDigest {
        match self {
            Self::Whole(bytes) => {
                let start = &bytes[..bytes.len().min(FINGERPRINT_BODY_BYTES)];
                BodyDigest(Sha256::digest(start).into())
            }
            Self::Streamed { start_digest, .. } => *start_digest,
        }
    }
}

/// Reads and drops the body of a refused request. A connection that is closed while its caller still sends is reset,
/// and the caller loses the refusal.
pub async fn discard_body(mut body: Body) {
    let read_all = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    };
    // A caller that sends too slowly sees its connection closed.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read_all).await;
}

fn idempotency_key(headers: &http::HeaderMap) -> Result<Option<String>, RefusalKind> {
    let Some(value) = headers.get(header_rules::IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| RefusalKind::Malformed)?;
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(RefusalKind::Malformed);
    }
    Ok(Some(text.to_string()))
}

fn first_number(digest: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(bytes)
}
