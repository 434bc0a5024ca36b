//! A request body whose first bytes have been read ahead.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use volo_http::body::Body;

type BodyError = <Body as HttpBody>::Error;

/// A body that yields the bytes that were read ahead, then the remaining ones.
#[derive(Debug)]
pub struct PrefixedBody {
    prefix: Option<Bytes>,
    rest: Body,
    is_read_to_end: bool,
}

impl PrefixedBody {
    /// Reads ahead until `length` bytes or the end of the body have arrived.
    ///
    /// # Errors
    ///
    /// Returns the error of the body if it cannot be read.
    pub async fn read_ahead(mut body: Body, length: usize) -> Result<Self, BodyError> {
        let mut prefix = BytesMut::new();
        let mut is_read_to_end = false;
        while prefix.len() < length {
            let Some(frame) = body.frame().await else {
                is_read_to_end = true;
                break;
            };
            // Trailers are dropped: they may not be forwarded unless both sides have agreed on them.
            if let Ok(data) = frame?.into_data() {
                prefix.extend_from_slice(&data);
            }
        }
        Ok(Self {
            prefix: Some(prefix.freeze()),
            is_read_to_end: is_read_to_end || body.is_end_stream(),
            rest: body,
        })
    }

    /// Returns the complete body if it was read to its end.
    ///
    /// # Errors
    ///
    /// Returns the body itself if more data may follow.
    pub fn try_into_bytes(mut self) -> Result<Bytes, Self> {
        if self.is_read_to_end {
            Ok(self.prefix.take().unwrap_or_default())
        } else {
            Err(self)
        }
    }

    /// Returns the bytes that were read ahead and have not been yielded yet.
    #[must_use]
    pub fn prefix(&self) -> &[u8] {
        self.prefix.as_deref().unwrap_or_default()
    }
}

impl HttpBody for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.prefix.take() {
            Some(prefix) if !prefix.is_empty() => Poll::Ready(Some(Ok(Frame::data(prefix)))),
            _ => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.prefix().is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_length = self.prefix().len() as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + prefix_length);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix_length);
        }
        hint
    }
}
