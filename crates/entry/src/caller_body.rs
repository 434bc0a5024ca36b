//! The body of a caller's request.

use bytes::Bytes;
use coltsfootkeel_transport::PrefixedBody;
use http_body_util::Limited;
use volo_http::body::Body;

use crate::rejection::RejectKind;

/// A body up to this many bytes is read whole, so that the request can be sent again.
const MAX_WHOLE_BYTES: usize = 1024 * 1024;

/// A body on its way to an upstream.
#[derive(Debug)]
pub enum CallerBody {
    /// It was read whole.
    Whole(Bytes),
    /// It is passed on while it arrives; nothing once it was given away.
    Streamed(Option<Body>),
}

impl CallerBody {
    /// Reads a body, or its beginning if it is long.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot be served.
    pub async fn read(body: Body, length: Option<u64>, max_bytes: u64) -> Result<Self, RejectKind> {
        if length.is_some_and(|length| length > max_bytes) {
            return Err(RejectKind::TooLarge);
        }
        if length == Some(0) || http_body::Body::is_end_stream(&body) {
            return Ok(Self::Whole(Bytes::new()));
        }
        let read = PrefixedBody::read_ahead(body, MAX_WHOLE_BYTES).await;
        match read.map_err(|_| RejectKind::Malformed)?.try_into_bytes() {
            Ok(bytes) if bytes.len() as u64 > max_bytes => Err(RejectKind::TooLarge),
            Ok(bytes) => Ok(Self::Whole(bytes)),
            Err(body) => {
                let limit = usize::try_from(max_bytes).unwrap_or(usize::MAX);
                let limited = Limited::new(body, limit);
                Ok(Self::Streamed(Some(Body::from_body(limited))))
            }
        }
    }

    /// Returns the body for one attempt, or nothing if it was given away already.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) if bytes.is_empty() => Some(Body::empty()),
            Self::Whole(bytes) => Some(Body::from(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Takes back a body that an attempt did not use.
    pub fn put_back(&mut self, unused: Body) {
        if let Self::Streamed(body) = self {
            *body = Some(unused);
        }
    }

    /// Tells whether the body can be sent again.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the bytes that were read whole.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) => bytes,
            Self::Streamed(_) => &[],
        }
    }
}
