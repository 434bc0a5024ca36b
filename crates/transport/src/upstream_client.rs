//! HTTP client of one upstream. A connection carries one exchange at a time and is reused only after a complete
//! exchange.
//!
//! The task of a request performs the I/O of its connection itself. A task for each connection would cost two
//! hand-overs between threads for each request.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use coltsfootkeel_counters::MonotonicTime;
use crossbeam_queue::ArrayQueue;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use volo_http::body::Body;

use crate::frame_joining::{FrameJoiner, lengthened};
use crate::head_limit::{LimitedStream, MAX_HEAD_BYTES, ReadAllowance};

/// The longest time for setting up a connection. It normally takes about 1 ms and a round trip; the timeout covers lost
/// packets and upstreams that do not respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The longest idle time of a connection that is still reused. The upstream may be about to close one that has been idle
/// for longer.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// The most idle connections that are kept for one upstream. Room for them is allocated when the upstream is listed,
/// and its entry may state any number of slots.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// The size to which the buffer of a connection may grow. It holds a head of the longest length.
const MAX_BUFFER_BYTES: usize = MAX_HEAD_BYTES + 8 * 1024;

/// Which connections a request may use, by the time for which they have been idle, and how long a new one may take.
#[derive(Debug, Clone, Copy)]
pub struct ReusePolicy {
    /// The longest idle time of a reused connection; `None` always opens a new connection.
    pub max_idle: Option<Duration>,
    /// The time after which a new connection is given up.
    pub connect_timeout: Duration,
}

impl ReusePolicy {
    /// For requests that may be retried.
    pub const RETRYABLE: Self = Self {
        max_idle: Some(MAX_IDLE),
        connect_timeout: CONNECT_TIMEOUT,
    };
    /// For requests that must not be retried. The idle time is short, because a connection that breaks during the
    /// exchange leaves the request's outcome unknown.
    pub const NON_RETRYABLE: Self = Self {
        max_idle: Some(Duration::from_secs(3)),
        connect_timeout: CONNECT_TIMEOUT,
    };
    /// For upstreams whose idle connections are suspected to be broken.
    pub const NEW_CONNECTION: Self = Self {
        max_idle: None,
        connect_timeout: CONNECT_TIMEOUT,
    };

    /// Returns the policy with a new connection given up after `timeout`, if that is earlier.
    #[must_use]
    pub fn connecting_within(self, timeout: Duration) -> Self {
        Self {
            connect_timeout: self.connect_timeout.min(timeout),
            ..self
        }
    }
}

/// Why no response head was received for a request.
#[derive(Debug)]
pub enum SendFailure {
    /// No connection could be set up. Holds the request, which was not sent.
    ConnectFailed(Box<hyper::Request<Body>>),
    /// The connection was closed before any byte of the request was written. Holds the request.
    NotSent(Box<hyper::Request<Body>>),
    /// The connection broke after the request may have been sent.
    Broken(hyper::Error),
    /// The upstream sent more bytes than a response head has, and no head. The request may have run.
    HeadTooLong,
}

/// Sends requests to one upstream and keeps idle connections for reuse.
#[derive(Debug)]
pub struct UpstreamClient {
    address: SocketAddr,
    idle: ArrayQueue<Box<UpstreamConnection>>,
}

/// A connection to an upstream. Dropping it closes the connection, also during an exchange.
#[derive(Debug)]
pub struct UpstreamConnection {
    sender: SendRequest<Body>,
    driver: Connection<TokioIo<LimitedStream<TcpStream>>, Body>,
    read_allowance: ReadAllowance,
    is_closed: bool,
    /// Whether the connection carried an exchange before the current one.
    is_reused: bool,
    idle_since: MonotonicTime,
}

impl UpstreamConnection {
    /// Reads and writes as much as is possible without waiting.
    fn drive(&mut self, context: &mut Context<'_>) {
        // The exchange on the connection returns the error to its caller.
        if !self.is_closed && Pin::new(&mut self.driver).poll(context).is_ready() {
            self.is_closed = true;
        }
    }

    /// Returns whether the connection is open and its last exchange is complete. Also detects that the upstream has
    /// closed the connection while it was idle.
    fn is_idle(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        self.drive(&mut context);
        !self.is_closed && self.sender.poll_ready(&mut context).is_ready() && self.sender.is_ready()
    }

    async fn exchange(
        &mut self,
        request: hyper::Request<Body>,
    ) -> Result<hyper::Response<Incoming>, SendFailure> {
        let mut response = std::pin::pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let is_closed = &mut self.is_closed;
        let read_allowance = &self.read_allowance;
        read_allowance.limit_to_head();
        let outcome = poll_fn(|context| {
            if !*is_closed && Pin::new(&mut *driver).poll(context).is_ready() {
                *is_closed = true;
            }
            match response.as_mut().poll(context) {
                Poll::Ready(response) => Poll::Ready(Some(response)),
                Poll::Pending if read_allowance.is_used_up() => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            }
        });
        let outcome = outcome.await.ok_or(SendFailure::HeadTooLong)?;
        read_allowance.lift();
        outcome.map_err(|mut error| match error.take_message() {
            Some(request) => SendFailure::NotSent(Box::new(request)),
            None => SendFailure::Broken(error.into_error()),
        })
    }
}

/// A response body with the connection on which it arrives.
#[derive(Debug)]
pub struct UpstreamBody {
    body: Incoming,
    connection: Box<UpstreamConnection>,
    joiner: FrameJoiner<hyper::Error>,
}

impl UpstreamBody {
    /// Returns whether the connection carried an exchange before the one that this body belongs to.
    #[must_use]
    pub fn is_on_reused_connection(&self) -> bool {
        self.connection.is_reused
    }

    /// Returns the connection, which can carry the next exchange if this one is complete.
    #[must_use]
    pub fn into_connection(self) -> Box<UpstreamConnection> {
        self.connection
    }
}

impl HttpBody for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = &mut *self;
        this.joiner.poll(context, |context| {
            this.connection.drive(context);
            Pin::new(&mut this.body).poll_frame(context)
        })
    }

    fn is_end_stream(&self) -> bool {
        !self.joiner.holds_frame() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        lengthened(self.body.size_hint(), self.joiner.held_length())
    }
}

impl UpstreamClient {
    /// Creates a client that keeps at most `max_idle` idle connections, but at least one and no more than
    /// [`MAX_IDLE_CONNECTIONS`].
    #[must_use]
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self {
            address,
            idle: ArrayQueue::new(max_idle.clamp(1, MAX_IDLE_CONNECTIONS)),
        }
    }

    /// Sends a request and waits for the head of the response. Dropping the future before that closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head was received. The error holds the request if certainly no byte of it was
    /// written.
    pub async fn send(
        &self,
        now: MonotonicTime,
        request: hyper::Request<Body>,
        policy: ReusePolicy,
    ) -> Result<hyper::Response<UpstreamBody>, SendFailure> {
        let idle = policy
            .max_idle
            .and_then(|max_idle| self.take_idle(now, max_idle));
        let mut connection = match idle {
            Some(connection) => connection,
            None => match self.connect(policy.connect_timeout).await {
                Ok(connection) => connection,
                Err(error) => {
                    log::debug!("entry: Connecting to {} failed: {error}", self.address);
                    return Err(SendFailure::ConnectFailed(Box::new(request)));
                }
            },
        };
        let response = connection.exchange(request).await?;
        Ok(response.map(|body| UpstreamBody {
            body,
            connection,
            joiner: FrameJoiner::default(),
        }))
    }

    /// Keeps a connection for reuse after a complete exchange; it is idle since `now`.
    pub fn put_idle(&self, now: MonotonicTime, mut connection: Box<UpstreamConnection>) {
        connection.idle_since = now;
        connection.is_reused = true;
        // If the queue is full, the connection is dropped and thereby closed.
        let _ = self.idle.push(connection);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        while self.idle.pop().is_some() {}
    }

    /// Closes the connections that have been idle since before `time`. After a request that was sent then and has no
    /// answer, they are as likely to be dead as its connection.
    pub fn close_idle_since(&self, time: MonotonicTime) {
        // Requests may take and return connections at the same time.
        for _ in 0..self.idle.len() {
            match self.idle.pop() {
                Some(connection) if connection.idle_since >= time => {
                    // If the queue is full, the connection is dropped and thereby closed.
                    let _ = self.idle.push(connection);
                }
                Some(_) => {}
                None => return,
            }
        }
    }

    /// Closes the idle connections that no request can use: those that the upstream has closed or on which it sent bytes
    /// that belong to no request, and those that were idle for longer than any policy allows.
    pub fn close_unusable(&self, now: MonotonicTime) {
        // Requests may take and return connections at the same time.
        for _ in 0..self.idle.len() {
            let Some(connection) = self.take_idle(now, MAX_IDLE) else {
                return;
            };
            // If the queue is full, the connection is dropped and thereby closed.
            let _ = self.idle.push(connection);
        }
    }

    /// Takes an idle connection that is still open, and drops those found before it that are closed or were idle for
    /// longer than `max_idle`.
    fn take_idle(&self, now: MonotonicTime, max_idle: Duration) -> Option<Box<UpstreamConnection>> {
        while let Some(mut connection) = self.idle.pop() {
            if now.since(connection.idle_since) <= max_idle && connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, timeout: Duration) -> Result<Box<UpstreamConnection>, ConnectError> {
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(timeout, connecting).await??;
        stream.set_nodelay(true)?;
        let read_allowance = ReadAllowance::default();
        let limited = LimitedStream::new(stream, read_allowance.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(limited))
            .await?;
        Ok(Box::new(UpstreamConnection {
            sender,
            driver,
            read_allowance,
            is_closed: false,
            is_reused: false,
            idle_since: MonotonicTime::default(),
        }))
    }
}

#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error("no answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Handshake(#[from] hyper::Error),
}
