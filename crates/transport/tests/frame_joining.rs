//! Bodies whose frames are small and arrive together.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use coltsfootkeel_transport::{BodyStart, PrefixedBody};
use http::HeaderMap;
use http_body::{Body as HttpBody, Frame};
use volo_http::body::Body;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Data of this length.
    Data(usize),
    /// No frame is ready.
    Wait,
    Trailers,
    Failure,
}

use Step::{Data, Failure, Trailers, Wait};

/// A body that yields these steps and then ends.
struct ScriptedBody(VecDeque<Step>);

impl HttpBody for ScriptedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let Some(step) = self.0.pop_front() else {
            return Poll::Ready(None);
        };
        Poll::Ready(Some(match step {
            Data(length) => Ok(Frame::data(vec![b'a'; length].into())),
            Trailers => Ok(Frame::trailers(HeaderMap::new())),
            Failure => Err(io::Error::other("reset")),
            Wait => {
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }
}

/// Polls a body to its end or failure, and returns what the polls yielded.
fn forward(steps: &[Step]) -> Vec<Step> {
    let script = ScriptedBody(steps.iter().copied().collect());
    let start = BodyStart {
        kept: Bytes::new(),
        next: Bytes::new(),
        is_complete: false,
    };
    let mut body = PrefixedBody::new(start, Body::from_body(script));
    let mut context = Context::from_waker(Waker::noop());
    let mut yielded = Vec::new();
    let mut was_ended = false;
    loop {
        let step = match Pin::new(&mut body).poll_frame(&mut context) {
            Poll::Pending => Wait,
            Poll::Ready(None) => return yielded,
            Poll::Ready(Some(Ok(frame))) => {
                let data = frame.data_ref();
                data.map_or(Trailers, |data| Data(data.len()))
            }
            Poll::Ready(Some(Err(_))) => Failure,
        };
        // A body that ended too early would lose what follows.
        assert!(!was_ended, "{step:?}");
        was_ended = body.is_end_stream();
        yielded.push(step);
    }
}

struct JoinCase {
    name: &'static str,
    steps: Vec<Step>,
    expected: Vec<Step>,
}

/// Guards against a write for each small frame, against bytes that wait for more, and against bytes, trailers and errors
/// that are lost or change their order.
#[test]
fn small_frames_that_are_ready_together_are_joined() {
    let cases = [
        JoinCase {
            name: "chunks of one byte, in turns of 64 frames",
            steps: vec![Data(1); 160],
            expected: vec![Data(64), Wait, Data(64), Wait, Data(32)],
        },
        JoinCase {
            name: "a byte that nothing follows is not delayed",
            steps: vec![Data(1), Wait, Data(1), Data(1), Wait, Wait, Data(1)],
            expected: vec![Data(1), Data(2), Wait, Data(1)],
        },
        JoinCase {
            name: "long frames are forwarded as they are",
            steps: vec![Data(5_000), Data(1), Data(1), Data(5_000), Data(1)],
            expected: vec![Data(5_000), Data(2), Data(5_000), Data(1)],
        },
        JoinCase {
            name: "joined frames are bounded",
            steps: vec![Data(4_000); 5],
            expected: vec![Data(16_000), Data(4_000)],
        },
        JoinCase {
            name: "trailers follow the bytes",
            steps: vec![Data(1), Data(1), Trailers],
            expected: vec![Data(2), Trailers],
        },
        JoinCase {
            name: "bytes before a failure are forwarded",
            steps: vec![Data(1), Data(1), Failure],
            expected: vec![Data(2), Failure],
        },
    ];
    for case in cases {
        assert_eq!(forward(&case.steps), case.expected, "{}", case.name);
    }
}
