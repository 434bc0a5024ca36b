//! Connections to one upstream: one exchange at a time on each, reused only after a complete exchange.
//!
//! The task of a request drives its connection itself. A task for each connection would cost two
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

/// Time to set up a connection. It takes about 1 ms and a round trip, so this bound is for lost packets and for
/// upstreams that do not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a connection may have been idle for a request to use it.
#[derive(Debug, Clone, Copy)]
pub struct ReusePolicy {
    /// The longest idle time; nothing for a new connection.
    pub max_idle: Option<Duration>,
}

impl ReusePolicy {
    /// For requests that may be repeated: a connection idle for longer may just be closed by the upstream.
    pub const RETRYABLE: Self = Self {
        max_idle: Some(Duration::from_secs(8)),
    };
    /// For requests that must not be repeated: a connection that breaks while it is used leaves their outcome
    /// unknown.
    pub const NON_RETRYABLE: Self = Self {
        max_idle: Some(Duration::from_secs(3)),
    };
    /// For upstreams whose kept connections are in doubt.
    pub const NEW_CONNECTION: Self = Self { max_idle: None };
}

/// Why a request got no response head.
#[derive(Debug)]
pub enum SendFailure {
    /// No connection could be set up. The request was not sent.
    ConnectFailed(Box<hyper::Request<Body>>),
    /// The connection was closed before any byte of the request was written.
    NotSent(Box<hyper::Request<Body>>),
    /// The connection broke after the request may have been sent.
    Broken(hyper::Error),
}

/// The connections of this instance to one upstream.
#[derive(Debug)]
pub struct UpstreamClient {
    address: SocketAddr,
    idle: ArrayQueue<Box<UpstreamConnection>>,
}

/// A connection. Dropped, it is closed, also in the middle of an exchange.
#[derive(Debug)]
pub struct UpstreamConnection {
    sender: SendRequest<Body>,
    driver: Connection<TokioIo<TcpStream>, Body>,
    is_over: bool,
    idle_since: MonotonicTime,
}

impl UpstreamConnection {
    /// Reads and writes what is possible now.
    fn drive(&mut self, context: &mut Context<'_>) {
        // The exchange on the connection reports the error.
        if !self.is_over && Pin::new(&mut self.driver).poll(context).is_ready() {
            self.is_over = true;
        }
    }

    /// Tells whether the connection is open and carries nothing. One that the upstream has closed meanwhile, or
    /// whose last exchange is not complete, is not.
    fn is_idle(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        self.drive(&mut context);
        !self.is_over && self.sender.poll_ready(&mut context).is_ready() && self.sender.is_ready()
    }

    async fn exchange(
        &mut self,
        request: hyper::Request<Body>,
    ) -> Result<hyper::Response<Incoming>, SendFailure> {
        let mut reply = std::pin::pin!(self.sender.try_send_request(request));
        let driver = &mut self.driver;
        let is_over = &mut self.is_over;
        let outcome = poll_fn(|context| {
            if !*is_over && Pin::new(&mut *driver).poll(context).is_ready() {
                *is_over = true;
            }
            reply.as_mut().poll(context)
        });
        outcome
            .await
            .map_err(|mut error| match error.take_message() {
                Some(request) => SendFailure::NotSent(Box::new(request)),
                None => SendFailure::Broken(error.into_error()),
            })
    }
}

/// A response body together with the connection it arrives on.
#[derive(Debug)]
pub struct UpstreamBody {
    body: Incoming,
    connection: Box<UpstreamConnection>,
}

impl UpstreamBody {
    /// Returns the connection, for the next exchange if this one is complete.
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
        self.connection.drive(context);
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl UpstreamClient {
    /// Makes a link that keeps at most `max_idle` idle connections.
    #[must_use]
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self {
            address,
            idle: ArrayQueue::new(max_idle.max(1)),
        }
    }

    /// Sends a request and waits for the head of the response. Dropped before that, it closes the connection.
    ///
    /// # Errors
    ///
    /// Returns the request where it is certain that no byte of it was written.
    pub async fn send(
        &self,
        now: MonotonicTime,
        request: hyper::Request<Body>,
        rule: ReusePolicy,
    ) -> Result<hyper::Response<UpstreamBody>, SendFailure> {
        let idle = rule.max_idle.and_then(|max_idle| self.reuse(now, max_idle));
        let mut connection = match idle {
            Some(connection) => connection,
            None => match self.connect().await {
                Ok(connection) => connection,
                Err(error) => {
                    log::debug!("entry: Connecting to {} failed: {error}", self.address);
                    return Err(SendFailure::ConnectFailed(Box::new(request)));
                }
            },
        };
        let response = connection.exchange(request).await?;
        Ok(response.map(|body| UpstreamBody { body, connection }))
    }

    /// Keeps a connection after a complete exchange.
    pub fn put_back(&self, now: MonotonicTime, mut connection: Box<UpstreamConnection>) {
        connection.idle_since = now;
        // A connection beyond the bound is closed.
        let _ = self.idle.push(connection);
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        while self.idle.pop().is_some() {}
    }

    fn reuse(&self, now: MonotonicTime, max_idle: Duration) -> Option<Box<UpstreamConnection>> {
        while let Some(mut connection) = self.idle.pop() {
            if now.since(connection.idle_since) <= max_idle && connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Box<UpstreamConnection>, ConnectError> {
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        Ok(Box::new(UpstreamConnection {
            sender,
            driver,
            is_over: false,
            idle_since: MonotonicTime::default(),
        }))
    }
}

#[derive(Debug, thiserror::Error)]
enum ConnectError {
    #[error("no answer within {} ms", CONNECT_TIMEOUT.as_millis())]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Handshake(#[from] hyper::Error),
}
