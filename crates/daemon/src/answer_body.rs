//! Body of an upstream's response that is forwarded to the caller while it arrives.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use thiserror::Error;
use tokio::time::{Instant, Sleep};

use crate::key_withdrawal::WithdrawalFlag;
use coltsfootkeel_transport::{UpstreamBody, UpstreamConnection};

/// The interval at which a response without new data checks whether the access key was withdrawn.
const WITHDRAWAL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The reason why a body ended before it was complete. The caller's connection is then closed without the end of the
/// body, so that the caller does not take a truncated body for a complete one.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The connection to the upstream broke.
    #[error("upstream connection broke during the response: {0}")]
    Broken(#[from] hyper::Error),
    /// The deadline of the request passed.
    #[error("deadline of the request passed during the response")]
    Deadline,
    /// The access key of the request was withdrawn.
    #[error("access key was withdrawn during the response")]
    Withdrawn,
}

/// The end of a body, complete or not.
#[derive(Debug)]
pub struct AnswerEnd {
    /// The connection to the upstream, for reuse; `None` if the body is incomplete.
    pub connection: Option<Box<UpstreamConnection>>,
    /// The number of bytes of the body that were forwarded.
    pub bytes: u64,
}

/// Called once when a body has ended.
pub type EndCallback = Box<dyn FnOnce(AnswerEnd) + Send + Sync>;

/// A response body that ends with an error if it is incomplete.
pub struct AnswerBody {
    body: Option<UpstreamBody>,
    deadline: Instant,
    withdrawal_flag: Option<Arc<WithdrawalFlag>>,
    timer: Pin<Box<Sleep>>,
    bytes: u64,
    on_end: Option<EndCallback>,
}

impl AnswerBody {
    /// Wraps the body of an upstream's response. `on_end` is called once: at the end of the body, after an error, or
    /// when the body is dropped because the caller has disconnected.
    #[must_use]
    pub fn new(
        body: UpstreamBody,
        deadline: Instant,
        withdrawal_flag: Option<Arc<WithdrawalFlag>>,
        on_end: EndCallback,
    ) -> Self {
        let first_check = deadline.min(Instant::now() + WITHDRAWAL_CHECK_INTERVAL);
        Self {
            body: Some(body),
            deadline,
            withdrawal_flag,
            timer: Box::pin(tokio::time::sleep_until(first_check)),
            bytes: 0,
            on_end: Some(on_end),
        }
    }

    /// Ends the body and calls `on_end`. The upstream connection of an incomplete body is closed.
    fn finish(&mut self, is_complete: bool) {
        let body = self.body.take().filter(|_| is_complete);
        if let Some(on_end) = self.on_end.take() {
            on_end(AnswerEnd {
                connection: body.map(UpstreamBody::into_connection),
                bytes: self.bytes,
            });
        }
    }

    /// Returns an error if the deadline has passed or the access key was withdrawn. Otherwise the task is woken for the
    /// next check.
    fn poll_interruption(&mut self, context: &mut Context<'_>) -> Option<AnswerError> {
        if self
            .withdrawal_flag
            .as_ref()
            .is_some_and(|flag| flag.is_withdrawn())
        {
            return Some(AnswerError::Withdrawn);
        }
        while self.timer.as_mut().poll(context).is_ready() {
            let now = Instant::now();
            if now >= self.deadline {
                return Some(AnswerError::Deadline);
            }
            let next_check = self.deadline.min(now + WITHDRAWAL_CHECK_INTERVAL);
            self.timer.as_mut().reset(next_check);
        }
        None
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if let Some(error) = self.poll_interruption(context) {
            self.finish(false);
            return Poll::Ready(Some(Err(error)));
        }
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = match Pin::new(&mut *body).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(frame) => frame,
        };
        let is_end = body.is_end_stream();
        match frame {
            Some(Ok(frame)) => {
                self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                // The consumer of a body with a known length does not poll again after the last frame.
                if is_end {
                    self.finish(true);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.finish(false);
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                self.finish(true);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(UpstreamBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(SizeHint::new, UpstreamBody::size_hint)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let is_complete = self.is_end_stream();
        self.finish(is_complete);
    }
}
