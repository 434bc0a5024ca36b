//! The body of an upstream's response on its way to the caller.

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

/// How often a response that makes no progress checks whether its key was withdrawn.
const WATCH_PERIOD: Duration = Duration::from_secs(1);

/// Why a body ended before it was complete. The caller's connection is closed without the end of the body, so a part is
/// never taken for the whole.
#[derive(Debug, Error)]
pub enum AnswerError {
    /// The upstream's connection broke.
    #[error("upstream broke off its response: {0}")]
    Broken(#[from] hyper::Error),
    /// The request's deadline passed.
    #[error("deadline passed within the response")]
    Deadline,
    /// The access key was withdrawn.
    #[error("access key was withdrawn within the response")]
    Withdrawn,
}

/// How a body ended.
#[derive(Debug)]
pub struct AnswerEnd {
    /// The connection, if the body was complete and the connection may be used again.
    pub connection: Option<Box<UpstreamConnection>>,
    /// The bytes that passed.
    pub bytes: u64,
}

/// What happens when the body has ended.
pub type EndHook = Box<dyn FnOnce(AnswerEnd) + Send + Sync>;

/// A response body that is complete, or visibly broken.
pub struct AnswerBody {
    body: Option<UpstreamBody>,
    deadline: Instant,
    watch: Option<Arc<WithdrawalFlag>>,
    timer: Pin<Box<Sleep>>,
    bytes: u64,
    end: Option<EndHook>,
}

impl AnswerBody {
    /// Wraps a body. `end` is called once: at the end of the body, at an error, or when the caller leaves.
    #[must_use]
    pub fn new(
        body: UpstreamBody,
        deadline: Instant,
        watch: Option<Arc<WithdrawalFlag>>,
        end: EndHook,
    ) -> Self {
        let first_check = deadline.min(Instant::now() + WATCH_PERIOD);
        Self {
            body: Some(body),
            deadline,
            watch,
            timer: Box::pin(tokio::time::sleep_until(first_check)),
            bytes: 0,
            end: Some(end),
        }
    }

    /// Ends the body. The connection of one that is not complete is closed.
    fn finish(&mut self, complete: bool) {
        let body = self.body.take().filter(|_| complete);
        if let Some(end) = self.end.take() {
            end(AnswerEnd {
                connection: body.map(UpstreamBody::into_connection),
                bytes: self.bytes,
            });
        }
    }

    fn interruption(&mut self, context: &mut Context<'_>) -> Option<AnswerError> {
        if self
            .watch
            .as_ref()
            .is_some_and(|watch| watch.is_withdrawn())
        {
            return Some(AnswerError::Withdrawn);
        }
        while self.timer.as_mut().poll(context).is_ready() {
            let now = Instant::now();
            if now >= self.deadline {
                return Some(AnswerError::Deadline);
            }
            let next_check = self.deadline.min(now + WATCH_PERIOD);
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
        if let Some(error) = self.interruption(context) {
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
                // A body with a known length is not polled again after its last frame.
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
        let complete = self.is_end_stream();
        self.finish(complete);
    }
}
