//! Response bodies of the upstream stand-in: the echo of a request body, and truncated answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Frame;
use volo_http::body::Body;

use crate::run_record::RunOutcome;
use crate::upstream_crash::{CrashMarkScanner, CrashSwitch};
use crate::upstream_state::RunGuard;

type BodyError = Box<dyn std::error::Error + Send + Sync>;
type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// A body that sends `part` and then fails, which makes the server close the connection.
///
/// Without a part, the server closes the connection before it has sent the head of the answer.
#[derive(Debug)]
pub struct TruncatedBody {
    part: Option<Bytes>,
    flushed: bool,
}

impl TruncatedBody {
    /// Creates a body that fails after `part`.
    #[must_use]
    pub fn after(part: Bytes) -> Self {
        Self {
            part: Some(part),
            flushed: false,
        }
    }

    /// Creates a body that fails before the head of the answer is sent.
    #[must_use]
    pub fn before_head() -> Self {
        Self {
            part: None,
            flushed: true,
        }
    }
}

impl http_body::Body for TruncatedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> FramePoll {
        if let Some(part) = self.part.take() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        // The server flushes its write buffer when a body is pending, and discards the buffer when a body fails.
        if !self.flushed {
            self.flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(io::Error::other(
            "answer truncated by a configured fault",
        )
        .into())))
    }
}

/// Stage of an echo.
#[derive(Debug)]
enum EchoStage {
    Forwarding,
    Truncating(TruncatedBody),
    /// The crash closes the connection. Until then, another poll must not complete the run.
    Crashed,
}

/// A body that returns the request body as it arrives, and that ends the run when it is dropped.
#[derive(Debug)]
pub struct EchoBody {
    request: Body,
    guard: RunGuard,
    expected_bytes: Option<u64>,
    truncate: bool,
    stage: EchoStage,
    scanner: CrashMarkScanner,
    switch: CrashSwitch,
}

impl EchoBody {
    /// Creates the echo of `request`, whose length is `expected_bytes`, or `None` if the length is unknown.
    ///
    /// With `truncate`, the echo fails in the middle of the first part of the body.
    #[must_use]
    pub fn new(
        request: Body,
        guard: RunGuard,
        expected_bytes: Option<u64>,
        truncate: bool,
        switch: CrashSwitch,
    ) -> Self {
        Self {
            request,
            guard,
            expected_bytes,
            truncate,
            stage: EchoStage::Forwarding,
            scanner: CrashMarkScanner::default(),
            switch,
        }
    }

    fn forward(&mut self, frame: Frame<Bytes>) -> FramePoll {
        let Ok(part) = frame.into_data() else {
            return Poll::Ready(Some(Ok(Frame::data(Bytes::new()))));
        };
        self.guard.add_body_part(&part);
        if self.scanner.has_mark_after(&part) {
            self.stage = EchoStage::Crashed;
            self.guard.set_outcome(RunOutcome::Crashed);
            self.switch.crash();
            return Poll::Pending;
        }
        if self.truncate {
            return self.start_truncation(&part);
        }
        // The server does not poll a body of known length again after its last byte.
        if self.expected_bytes == Some(self.guard.body_bytes()) {
            self.guard.set_outcome(RunOutcome::Completed);
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn start_truncation(&mut self, part: &Bytes) -> FramePoll {
        self.guard.set_outcome(RunOutcome::Cut);
        let half = part.slice(..part.len() / 2);
        self.stage = EchoStage::Truncating(TruncatedBody {
            part: None,
            flushed: false,
        });
        Poll::Ready(Some(Ok(Frame::data(half))))
    }
}

impl http_body::Body for EchoBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> FramePoll {
        match &mut self.stage {
            EchoStage::Forwarding => {}
            EchoStage::Truncating(body) => return Pin::new(body).poll_frame(context),
            EchoStage::Crashed => return Poll::Pending,
        }
        match Pin::new(&mut self.request).poll_frame(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => self.forward(frame),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error))),
            Poll::Ready(None) => {
                self.guard.set_outcome(RunOutcome::Completed);
                Poll::Ready(None)
            }
        }
    }
}
