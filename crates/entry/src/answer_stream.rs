//! The body of a long answer, which is forwarded to the caller while it arrives.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use coltsfootkeel_transport::{BodyStart, UpstreamBody};
use http_body::{Body as HttpBody, Frame};
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::slot_reservation::SlotReservation;
use coltsfootkeel_transport::InFlightGuard;

/// Why a streamed answer ended early. The caller's connection is then closed without the end of the body, so that the
/// caller can detect the truncation.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The connection to the upstream failed.
    #[error("connection to the upstream failed during the answer: {0}")]
    Broken(#[from] hyper::Error),
    /// The request's deadline passed.
    #[error("deadline passed before the end of the answer")]
    Deadline,
}

/// The body of a streamed answer. It holds the slot at the upstream until the answer ends.
#[derive(Debug)]
pub struct AnswerStream {
    /// The bytes of the start that are not forwarded yet.
    start: [Bytes; 2],
    rest: UpstreamBody,
    deadline: Pin<Box<Sleep>>,
    _reservation: SlotReservation,
    _in_flight_guard: InFlightGuard,
}

impl AnswerStream {
    /// Creates a body of the bytes in `start` and the frames of `rest`, which ends with an error at the deadline.
    #[must_use]
    pub fn new(
        start: BodyStart,
        rest: UpstreamBody,
        deadline: Instant,
        reservation: SlotReservation,
        in_flight_guard: InFlightGuard,
    ) -> Self {
        Self {
            start: [start.kept, start.next],
            rest,
            deadline: Box::pin(sleep_until(deadline)),
            _reservation: reservation,
            _in_flight_guard: in_flight_guard,
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
        let piece = self.start.iter_mut().find(|piece| !piece.is_empty());
        if let Some(piece) = piece.map(std::mem::take) {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(StreamError::Deadline)));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(context);
        frame.map(|frame| frame.map(|result| result.map_err(StreamError::from)))
    }
}
