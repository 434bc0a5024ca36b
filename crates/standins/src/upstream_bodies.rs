//! Response bodies of the upstream stand-in: the echo of a request body and answers that break off.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::Frame;
use volo_http::body::Body;

use crate::run_record::RunOutcome;
use crate::upstream_crash::{CrashMark, CrashSwitch};
use crate::upstream_state::RunGuard;

type BodyError = Box<dyn std::error::Error + Send + Sync>;
type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// A body that sends `part` and then breaks the connection.
///
/// Without a part, the server breaks the connection before it has sent the head of the answer.
#[derive(Debug)]
pub struct CutBody {
    part: Option<Bytes>,
    flushed: bool,
}

impl CutBody {
    /// Makes a body that breaks off after `part`.
    #[must_use]
    pub fn after(part: Bytes) -> Self {
        Self {
            part: Some(part),
            flushed: false,
        }
    }

    /// Makes a body that breaks before the head of the answer is sent.
    #[must_use]
    pub fn at_once() -> Self {
        Self {
            part: None,
            flushed: true,
        }
    }
}

impl http_body::Body for CutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> FramePoll {
        if let Some(part) = self.part.take() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        // The server flushes what it has when a body is not ready, and drops it when a body fails.
        if !self.flushed {
            self.flushed = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(io::Error::other("answer cut on order").into())))
    }
}

/// How far an echo is.
#[derive(Debug)]
enum EchoStage {
    Passing,
    Cutting(CutBody),
    /// The connection ends with the runtime; a further poll must not end the run as completed.
    Crashed,
}

/// A body that returns the request body as it arrives and ends the run with it.
#[derive(Debug)]
pub struct EchoBody {
    request: Body,
    guard: RunGuard,
    expected: Option<u64>,
    truncate: bool,
    stage: EchoStage,
    mark: CrashMark,
    switch: CrashSwitch,
}

impl EchoBody {
    /// Makes the echo of `request`, which has `expected` bytes if its length is known.
    ///
    /// With `truncate`, the answer breaks off within the first part of the body.
    #[must_use]
    pub fn new(
        request: Body,
        guard: RunGuard,
        expected: Option<u64>,
        truncate: bool,
        switch: CrashSwitch,
    ) -> Self {
        Self {
            request,
            guard,
            expected,
            truncate,
            stage: EchoStage::Passing,
            mark: CrashMark::default(),
            switch,
        }
    }

    fn pass(&mut self, frame: Frame<Bytes>) -> FramePoll {
        let Ok(part) = frame.into_data() else {
            return Poll::Ready(Some(Ok(Frame::data(Bytes::new()))));
        };
        self.guard.read(&part);
        if self.mark.is_seen_with(&part) {
            self.stage = EchoStage::Crashed;
            self.guard.set_outcome(RunOutcome::Crashed);
            self.switch.crash();
            return Poll::Pending;
        }
        if self.truncate {
            return self.start_cut(&part);
        }
        // The server does not poll for the end of a body whose length it knows.
        if self.expected == Some(self.guard.body_bytes()) {
            self.guard.set_outcome(RunOutcome::Completed);
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn start_cut(&mut self, part: &Bytes) -> FramePoll {
        self.guard.set_outcome(RunOutcome::Cut);
        let half = part.slice(..part.len() / 2);
        self.stage = EchoStage::Cutting(CutBody {
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
            EchoStage::Passing => {}
            EchoStage::Cutting(cut) => return Pin::new(cut).poll_frame(context),
            EchoStage::Crashed => return Poll::Pending,
        }
        match Pin::new(&mut self.request).poll_frame(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => self.pass(frame),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error))),
            Poll::Ready(None) => {
                self.guard.set_outcome(RunOutcome::Completed);
                Poll::Ready(None)
            }
        }
    }
}
