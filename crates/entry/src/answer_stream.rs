//! A long answer that is passed on while it arrives.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use coltsfootkeel_transport::UpstreamBody;
use http_body::{Body as HttpBody, Frame};
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::upstream_choice::TakenPlace;
use coltsfootkeel_transport::InFlightGuard;

/// Why an answer ended before it was complete. The caller's connection is closed without the end of the body, so a part
/// is never taken for the whole.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The upstream's connection broke.
    #[error("upstream broke off its answer: {0}")]
    Broken(#[from] hyper::Error),
    /// The deadline passed.
    #[error("deadline passed within the answer")]
    Deadline,
}

/// The body of a long answer. It holds its place at the upstream until it ends.
#[derive(Debug)]
pub struct AnswerStream {
    start: Option<Bytes>,
    rest: UpstreamBody,
    deadline: Pin<Box<Sleep>>,
    _place: TakenPlace,
    _counted: InFlightGuard,
}

impl AnswerStream {
    /// Makes the body.
    #[must_use]
    pub fn new(
        start: Bytes,
        rest: UpstreamBody,
        deadline: Instant,
        place: TakenPlace,
        counted: InFlightGuard,
    ) -> Self {
        Self {
            start: Some(start),
            rest,
            deadline: Box::pin(sleep_until(deadline)),
            _place: place,
            _counted: counted,
        }
    }
}

impl HttpBody for AnswerStream {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(StreamError::Deadline)));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(context);
        frame.map(|frame| frame.map(|result| result.map_err(StreamError::from)))
    }
}
