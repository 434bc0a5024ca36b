//! Connections to one upstream: one exchange at a time on each, reused only after a complete exchange.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use crossbeam_queue::ArrayQueue;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use volo_http::body::Body;

/// Time to set up a connection. A new connection takes about 1 ms, so this bound is for lost packets.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that was idle for longer may just be closed by the upstream, so it is not used again.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// The same bound for requests that must not be repeated: a connection that breaks while it is used leaves their
/// outcome unknown.
const MAX_IDLE_ONCE_ONLY: Duration = Duration::from_millis(500);

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
pub struct UpstreamLink {
    address: SocketAddr,
    idle: ArrayQueue<LinkConnection>,
}

/// A connection and the task that drives it.
#[derive(Debug)]
pub struct LinkConnection {
    sender: SendRequest<Body>,
    driver: AbortHandle,
    idle_since: MonotonicTime,
}

impl LinkConnection {
    /// Closes the connection at once, also in the middle of an exchange.
    pub fn close(self) {
        self.driver.abort();
    }
}

/// A response head and the connection its body arrives on.
#[derive(Debug)]
pub struct LinkExchange {
    /// The response with a body that is still arriving.
    pub response: hyper::Response<Incoming>,
    /// The connection.
    pub connection: LinkConnection,
}

impl UpstreamLink {
    /// Makes a link that keeps at most `max_idle` idle connections.
    #[must_use]
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self {
            address,
            idle: ArrayQueue::new(max_idle.max(1)),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the request where it is certain that no byte of it was written.
    pub async fn send(
        &self,
        now: MonotonicTime,
        request: hyper::Request<Body>,
        once_only: bool,
    ) -> Result<LinkExchange, SendFailure> {
        let max_idle = if once_only {
            MAX_IDLE_ONCE_ONLY
        } else {
            MAX_IDLE
        };
        let mut connection = match self.reuse(now, max_idle).await {
            Some(connection) => connection,
            None => match self.connect().await {
                Ok(connection) => connection,
                Err(error) => {
                    log::debug!("entry: Connecting to {} failed: {error}", self.address);
                    return Err(SendFailure::ConnectFailed(Box::new(request)));
                }
            },
        };
        // Dropped before the response head arrives (timeout, caller gone), the guard closes the connection.
        let guard = DriverGuard(Some(connection.driver.clone()));
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                guard.keep();
                Ok(LinkExchange {
                    response,
                    connection,
                })
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendFailure::NotSent(Box::new(request)),
                None => SendFailure::Broken(error.into_error()),
            }),
        }
    }

    /// Keeps a connection after a complete exchange.
    pub fn put_back(&self, now: MonotonicTime, mut connection: LinkConnection) {
        connection.idle_since = now;
        if let Err(surplus) = self.idle.push(connection) {
            surplus.close();
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        while let Some(connection) = self.idle.pop() {
            connection.close();
        }
    }

    async fn reuse(&self, now: MonotonicTime, max_idle: Duration) -> Option<LinkConnection> {
        while let Some(mut connection) = self.idle.pop() {
            let too_old = now.since(connection.idle_since) > max_idle;
            if !too_old && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    async fn connect(&self) -> Result<LinkConnection, ConnectError> {
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // The exchange on the connection reports the error.
            let _ = connection.await;
        });
        Ok(LinkConnection {
            sender,
            driver: driver.abort_handle(),
            idle_since: MonotonicTime::default(),
        })
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

struct DriverGuard(Option<AbortHandle>);

impl DriverGuard {
    fn keep(mut self) {
        self.0 = None;
    }
}

impl Drop for DriverGuard {
    fn drop(&mut self) {
        if let Some(driver) = self.0.take() {
            driver.abort();
        }
    }
}
