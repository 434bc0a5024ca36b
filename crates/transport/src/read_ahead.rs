//! Requests that a caller sends before the previous one on its connection is answered.
//!
//! The HTTP library reads one request of a connection at a time. While it waits for an answer, what the caller sends is
//! kept here, and complete heads are parsed so that their requests can start before their turn. The library later reads
//! the same bytes, one head at a time, and takes the answer that was started for it. It keeps the order of the answers,
//! their framing and the end of the connection. A connection without such requests is read by the library directly.

use std::collections::VecDeque;
use std::task::Waker;

use bytes::{Buf, BytesMut};
use http::Request;
use http::request::Parts;
use tokio::io::ReadBuf;
use tokio_util::task::AbortOnDropHandle;
use volo_http::response::Response;

use crate::request_head::{ParsedHead, length_before_next, parse_head};

/// How much of a connection is read before its turn.
#[derive(Debug, Clone, Copy)]
pub struct ReadAheadLimits {
    /// The most requests behind the running one whose heads are parsed.
    pub max_requests: usize,
    /// The most bytes that are kept for the library.
    pub max_bytes: usize,
}

/// The answer of a request that was started before its turn. Dropping it ends the request.
pub(crate) type EarlyAnswer = AbortOnDropHandle<Response>;

/// How the next read of the library is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadStep {
    /// Kept bytes were copied.
    Delivered,
    /// The library reads the socket.
    Direct,
    /// Up to this many bytes of the socket are kept. The library waits.
    KeepUpTo(usize),
}

/// Where the library stands in the requests of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadPhase {
    /// It has read all that it got, and waits for the head of a request.
    AwaitingHead,
    /// It may read this many bytes, which end the head of a request.
    HeadGranted(usize),
    /// It reads the socket, and may have received more than one request.
    Direct,
    /// It waits for the answer to a request without a body.
    Answering,
}

/// A request whose head is complete and that the library has not read.
#[derive(Debug)]
struct QueuedRequest {
    head: ParsedHead,
    answer: Option<EarlyAnswer>,
}

impl QueuedRequest {
    /// Returns the answer if it was started for `request`.
    fn answer_to<B>(self, request: &Request<B>) -> Option<EarlyAnswer> {
        let own = &self.head.parts;
        let is_same = own.method == *request.method()
            && own.uri == *request.uri()
            && own.headers == *request.headers();
        self.answer.filter(|_| is_same)
    }
}

/// The requests of a connection that were received before their turn.
#[derive(Debug)]
pub(crate) struct ReadAhead {
    limits: ReadAheadLimits,
    phase: ReadPhase,
    /// The bytes that the library has not read.
    kept: BytesMut,
    /// The requests at the start of `kept`, in their order.
    queued: VecDeque<QueuedRequest>,
    /// The length of the requests in `queued`.
    queued_bytes: usize,
    /// The request whose head is granted to the library.
    granted: Option<QueuedRequest>,
    /// Wakes the library, which is not told of kept bytes by the socket.
    reader: Option<Waker>,
}

impl ReadAhead {
    pub(crate) fn new(limits: ReadAheadLimits) -> Self {
        Self {
            limits,
            phase: ReadPhase::AwaitingHead,
            kept: BytesMut::new(),
            queued: VecDeque::new(),
            queued_bytes: 0,
            granted: None,
            reader: None,
        }
    }

    /// Copies kept bytes to `buffer` if the library may read them, and decides how it reads on otherwise.
    pub(crate) fn deliver(&mut self, buffer: &mut ReadBuf<'_>) -> ReadStep {
        match self.phase {
            ReadPhase::Answering => {
                self.parse_kept();
                let room = self.limits.max_bytes.saturating_sub(self.kept.len());
                return ReadStep::KeepUpTo(room);
            }
            ReadPhase::AwaitingHead => self.grant_head(),
            // The library takes the bytes for less than a head, or for the body of the request before.
            ReadPhase::HeadGranted(0) => self.read_directly(),
            ReadPhase::HeadGranted(_) | ReadPhase::Direct => {}
        }
        let granted = match self.phase {
            ReadPhase::HeadGranted(length) => length,
            _ => self.kept.len(),
        };
        let length = granted.min(buffer.remaining());
        if length == 0 {
            return ReadStep::Direct;
        }
        buffer.put_slice(&self.kept[..length]);
        self.kept.advance(length);
        if self.kept.is_empty() {
            self.kept = BytesMut::new();
        }
        if let ReadPhase::HeadGranted(left) = &mut self.phase {
            *left -= length;
        }
        ReadStep::Delivered
    }

    fn grant_head(&mut self) {
        if self.kept.is_empty() {
            return;
        }
        self.parse_kept();
        if let Some(request) = self.queued.pop_front() {
            self.queued_bytes -= request.head.length;
            self.phase = ReadPhase::HeadGranted(request.head.length);
            self.granted = Some(request);
        } else {
            self.read_directly();
        }
    }

    fn read_directly(&mut self) {
        self.phase = ReadPhase::Direct;
        self.end_all();
    }

    /// Returns the number of requests that were started and whose turn has not come.
    pub(crate) fn started(&self) -> usize {
        let requests = self.queued.iter().chain(&self.granted);
        requests.filter(|request| request.answer.is_some()).count()
    }

    /// Starts requests behind the running one, in their order, as long as `may_start` allows it for a request and the
    /// number of those that are started. Returns how many were started.
    pub(crate) fn start_due(
        &mut self,
        may_start: impl Fn(&Parts, usize) -> bool,
        start: impl Fn(Parts) -> EarlyAnswer,
    ) -> usize {
        if self.phase != ReadPhase::Answering {
            return 0;
        }
        let previous = self.started();
        let mut started = previous;
        for request in self.queued.iter_mut().skip(previous) {
            if !may_start(&request.head.parts, started) {
                break;
            }
            request.answer = Some(start(request.head.parts.clone()));
            started += 1;
        }
        started - previous
    }

    /// Ends all requests that were started before their turn, and returns their number.
    pub(crate) fn end_all(&mut self) -> usize {
        let count = self.started();
        self.queued.clear();
        self.queued_bytes = 0;
        self.granted = None;
        count
    }

    /// Records bytes that the library has read from the socket. Those behind the first head are removed from `buffer` and
    /// kept.
    pub(crate) fn record_direct_read(&mut self, buffer: &mut ReadBuf<'_>, previous_length: usize) {
        if self.phase != ReadPhase::AwaitingHead || buffer.filled().len() == previous_length {
            return;
        }
        self.phase = ReadPhase::Direct;
        let received = &buffer.filled()[previous_length..];
        if let Some(length) = length_before_next(received) {
            self.kept.extend_from_slice(&received[length..]);
            buffer.set_filled(previous_length + length);
            self.phase = ReadPhase::HeadGranted(0);
        }
    }

    /// Keeps bytes that were received while the library waits.
    pub(crate) fn keep(&mut self, received: &[u8]) {
        self.kept.extend_from_slice(received);
        self.parse_kept();
    }

    fn parse_kept(&mut self) {
        // The first read of a connection may have kept more than the limit.
        let end = self.kept.len().min(self.limits.max_bytes);
        while self.queued_bytes < end && self.queued.len() < self.limits.max_requests {
            let Some(head) = parse_head(&self.kept[self.queued_bytes..end]) else {
                return;
            };
            self.queued_bytes += head.length;
            self.queued.push_back(QueuedRequest { head, answer: None });
        }
    }

    /// Remembers the task of the library, which is woken after the answer.
    pub(crate) fn set_reader(&mut self, reader: &Waker) {
        self.reader = (!self.kept.is_empty()).then(|| reader.clone());
    }

    /// Records that the library has read the head of a request. Returns the answer that was started for it.
    /// `is_plain` tells whether it has no body and leaves the connection open.
    pub(crate) fn begin_request<B>(
        &mut self,
        request: &Request<B>,
        is_plain: bool,
    ) -> Option<EarlyAnswer> {
        let granted = self.granted.take();
        // A head that ends before the granted one is not the one that was parsed here.
        let is_aligned = !matches!(self.phase, ReadPhase::HeadGranted(1..));
        // Without a body the library reads nothing until it has used all bytes that it got, so that what it reads while
        // it waits for the answer begins with the head of the next request.
        if is_plain && is_aligned {
            self.phase = ReadPhase::Answering;
        } else {
            self.read_directly();
        }
        granted.and_then(|queued| queued.answer_to(request))
    }

    /// Records that the answer to the last request is known, so that the library may read the next head.
    pub(crate) fn end_request(&mut self) {
        self.phase = ReadPhase::AwaitingHead;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}
