//! The body of a caller's request.

use std::sync::Arc;

use bytes::Bytes;
use coltsfootkeel_counters::ByteBudget;
use coltsfootkeel_transport::{BodyStart, PrefixedBody};
use http_body_util::Limited;
use volo_http::body::Body;

use crate::rejection::RejectKind;

/// A body up to this many bytes is buffered, so that the request can be sent again.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// The body of a caller's request, for sending to an upstream.
#[derive(Debug)]
pub enum CallerBody {
    /// The body was read to its end.
    Buffered(Bytes),
    /// The body is forwarded while it arrives; `None` once an attempt has taken it.
    Streamed(Option<Body>),
}

impl CallerBody {
    /// Reads a body of up to [`MAX_BUFFERED_BYTES`] to its end. A longer one, or one that does not fit `budget`, is
    /// streamed after its beginning.
    ///
    /// # Errors
    ///
    /// Returns [`RejectKind::TooLarge`] if the body exceeds `max_bytes`, and [`RejectKind::Malformed`] if it cannot be
    /// read.
    pub async fn read(
        mut body: Body,
        length: Option<u64>,
        max_bytes: u64,
        budget: &Arc<ByteBudget>,
    ) -> Result<Self, RejectKind> {
        if length.is_some_and(|length| length > max_bytes) {
            return Err(RejectKind::TooLarge);
        }
        if length == Some(0) || http_body::Body::is_end_stream(&body) {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let start = BodyStart::read(&mut body, MAX_BUFFERED_BYTES, budget).await;
        let start = start.map_err(|_| RejectKind::Malformed)?;
        if start.kept.len() as u64 > max_bytes {
            return Err(RejectKind::TooLarge);
        }
        if start.is_complete {
            return Ok(Self::Buffered(start.kept));
        }
        let limit = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let limited = Limited::new(PrefixedBody::new(start, body), limit);
        Ok(Self::Streamed(Some(Body::from_body(limited))))
    }

    /// Returns the body for one attempt, or `None` if a streamed body was taken before.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Some(Body::empty()),
            Self::Buffered(bytes) => Some(Body::from(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Restores a streamed body that an attempt did not use.
    pub fn put_back(&mut self, unused: Body) {
        if let Self::Streamed(body) = self {
            *body = Some(unused);
        }
    }

    /// Returns whether the body can be sent more than once.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the bytes of a buffered body; empty for a streamed one.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed(_) => &[],
        }
    }
}
