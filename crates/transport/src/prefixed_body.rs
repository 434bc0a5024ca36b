//! A request body whose first bytes have been read ahead.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use volo_http::body::Body;

use crate::frame_joining::{FrameJoiner, lengthened};
use crate::kept_bytes::BodyStart;

type BodyError = <Body as HttpBody>::Error;

/// A body that yields the bytes that were read ahead, then the remaining ones.
#[derive(Debug)]
pub struct PrefixedBody {
    prefix: Option<Bytes>,
    /// The bytes between the prefix and the rest.
    next: Option<Bytes>,
    rest: Body,
    joiner: FrameJoiner<BodyError>,
}

impl PrefixedBody {
    /// Reads ahead until `length` bytes or the end of the body have arrived.
    ///
    /// # Errors
    ///
    /// Returns the error of the body if it cannot be read.
    pub async fn read_ahead(mut body: Body, length: usize) -> Result<Self, BodyError> {
        let mut prefix = BytesMut::new();
        while prefix.len() < length {
            let Some(frame) = body.frame().await else {
                break;
            };
            // Trailers are dropped: they may not be forwarded unless both sides have agreed on them.
            if let Ok(data) = frame?.into_data() {
                prefix.extend_from_slice(&data);
            }
        }
        Ok(Self {
            prefix: Some(prefix.freeze()),
            next: None,
            rest: body,
            joiner: FrameJoiner::default(),
        })
    }

    /// Creates a body of the bytes in `start` and the remaining ones.
    #[must_use]
    pub fn new(start: BodyStart, rest: Body) -> Self {
        Self {
            prefix: Some(start.kept),
            next: Some(start.next),
            rest,
            joiner: FrameJoiner::default(),
        }
    }

    /// Returns the bytes that were read ahead and have not been yielded yet.
    #[must_use]
    pub fn prefix(&self) -> &[u8] {
        self.prefix.as_deref().unwrap_or_default()
    }

    fn next_length(&self) -> usize {
        self.next.as_ref().map_or(0, Bytes::len)
    }
}

impl HttpBody for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let start = [self.prefix.take(), self.next.take()];
        let mut pieces = start
            .into_iter()
            .flatten()
            .filter(|piece| !piece.is_empty());
        let Some(piece) = pieces.next() else {
            let this = &mut *self;
            return this.joiner.poll(context, |context| {
                Pin::new(&mut this.rest).poll_frame(context)
            });
        };
        self.next = pieces.next();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        let is_start_taken = self.prefix().is_empty() && self.next_length() == 0;
        is_start_taken && !self.joiner.holds_frame() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let start_length = self.prefix().len() + self.next_length();
        let length = start_length + self.joiner.held_length();
        lengthened(self.rest.size_hint(), length)
    }
}
