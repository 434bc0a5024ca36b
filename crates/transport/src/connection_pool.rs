//! A bounded pool of HTTP connections to one address.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::call_error::{AnswerFailure, CallError, UnsentReason};

/// The longest body of an answer. A value of the platform has up to 1 MB, but a list of names can be longer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The longest time for opening a connection. A packet that is lost in a network partition is retransmitted only
/// seconds later, while a new connection succeeds as soon as the partition ends.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest idle time of a connection that is still reused. A connection may go silent while it is idle, which costs
/// the next call its whole time limit; a new connection costs a round trip.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// An answer whose body has been read completely.
#[derive(Debug)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers of the answer.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A connection and the task that performs its I/O.
#[derive(Debug)]
struct CallConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// The end of the last exchange; `None` before the first one.
    idle_since: Option<Instant>,
}

impl Drop for CallConnection {
    fn drop(&mut self) {
        // Closes the socket, also during an exchange.
        self.driver.abort();
    }
}

/// A pool of connections to one address with a fixed maximum number of connections.
///
/// It uses the connection API of `hyper`, the library under `volo-http`, because the pool of
/// `volo-http`'s client limits only idle connections, continues to connect after a call has ended,
/// and does not distinguish a request that was never sent from one whose outcome is unknown.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    permits: Semaphore,
    idle: Mutex<Vec<CallConnection>>,
}

impl ConnectionPool {
    /// Creates a pool that opens at most `limit` connections. It opens none before the first request.
    #[must_use]
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self {
            address,
            permits: Semaphore::new(limit),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request and reads the complete answer.
    ///
    /// A connection is used again only after a complete exchange.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the request was certainly not sent, otherwise [`CallError::Unknown`].
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<CallAnswer, CallError> {
        self.exchange_unless(request, deadline, std::future::pending())
            .await
    }

    /// Does the same as [`exchange`](Self::exchange), but gives the call up if `abandoned` completes before an answer
    /// begins. The connections of the pool then count as suspect, as after a call without an answer.
    ///
    /// # Errors
    ///
    /// Returns [`AnswerFailure::Abandoned`] if the call was given up, otherwise the same errors as
    /// [`exchange`](Self::exchange).
    pub async fn exchange_unless(
        &self,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
        abandoned: impl Future<Output = ()>,
    ) -> Result<CallAnswer, CallError> {
        let mut abandoned = std::pin::pin!(abandoned);
        let _permit = self.acquire_permit(deadline).await?;
        loop {
            let idle = self.take_idle(deadline).await;
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect(deadline).await?,
            };
            let started = Instant::now();
            let response = connection.sender.try_send_request(request);
            let sent = tokio::select! {
                sent = timeout_at(deadline, response) => sent.map_err(|_| AnswerFailure::Timeout),
                () = abandoned.as_mut() => Err(AnswerFailure::Abandoned),
            };
            let mut error = match sent {
                Err(failure) => {
                    self.log_unanswered(&connection, started);
                    self.close_idle();
                    return Err(CallError::Unknown(failure));
                }
                Ok(Ok(response)) => {
                    let (parts, body) = response.into_parts();
                    let body = read_body(body, deadline).await;
                    let body = body.inspect_err(|_| self.close_idle())?;
                    self.put_idle(connection);
                    return Ok(CallAnswer {
                        status: parts.status,
                        headers: parts.headers,
                        body,
                    });
                }
                Ok(Err(error)) => error,
            };
            match error.take_message() {
                // Each iteration consumes an idle connection, so the loop ends.
                Some(unsent) if is_reused => request = unsent,
                Some(_) => {
                    let failure = UnsentReason::Closed(error.into_error());
                    return Err(CallError::NotSent(failure));
                }
                None => {
                    let failure = AnswerFailure::Connection(error.into_error().into());
                    return Err(CallError::Unknown(failure));
                }
            }
        }
    }

    async fn acquire_permit(&self, deadline: Instant) -> Result<SemaphorePermit<'_>, CallError> {
        match timeout_at(deadline, self.permits.acquire()).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(CallError::NotSent(UnsentReason::NoConnection)),
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<CallConnection, CallError> {
        let connecting = async {
            let stream = TcpStream::connect(self.address)
                .await
                .map_err(UnsentReason::Connect)?;
            // Disables Nagle's algorithm, which holds a small request back until earlier data is acknowledged.
            stream.set_nodelay(true).map_err(UnsentReason::Connect)?;
            handshake(TokioIo::new(stream))
                .await
                .map_err(UnsentReason::Closed)
        };
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let (sender, connection) = timeout_at(deadline, connecting)
            .await
            .unwrap_or(Err(UnsentReason::ConnectTimeout))
            .map_err(CallError::NotSent)?;
        let driver = tokio::spawn(async move {
            // The exchange on the connection returns the error to its caller.
            let _ = connection.await;
        });
        Ok(CallConnection {
            sender,
            driver,
            idle_since: None,
        })
    }

    /// Takes an idle connection that is still open, and drops those found before it that are closed or were idle for
    /// longer than [`MAX_IDLE`].
    async fn take_idle(&self, deadline: Instant) -> Option<CallConnection> {
        loop {
            let mut connection = self.lock_idle().pop()?;
            if connection
                .idle_since
                .is_none_or(|since| since.elapsed() > MAX_IDLE)
            {
                continue;
            }
            let ready = timeout_at(deadline, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Closes all idle connections. After a call without an answer they are as likely to be dead as its connection, and
    /// each dead one would cost the next call its whole time limit.
    fn close_idle(&self) {
        self.lock_idle().clear();
    }

    fn put_idle(&self, mut connection: CallConnection) {
        if !connection.sender.is_closed() {
            connection.idle_since = Some(Instant::now());
            self.lock_idle().push(connection);
        }
    }

    /// Logs a call without an answer, with the age of its connection: a connection that went silent while it was idle is
    /// otherwise indistinguishable from a platform that does not answer.
    fn log_unanswered(&self, connection: &CallConnection, started: Instant) {
        let idle = connection.idle_since.map(|since| started - since);
        log::warn!(
            address:% = self.address,
            waited_ms:% = started.elapsed().as_millis(),
            is_reused = idle.is_some(),
            idle_ms:% = idle.unwrap_or_default().as_millis();
            "calls: A call has no answer."
        );
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<CallConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read_body(body: Incoming, deadline: Instant) -> Result<Bytes, CallError> {
    let collecting = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let failure = match timeout_at(deadline, collecting).await {
        Err(_) => AnswerFailure::Timeout,
        Ok(Ok(collected)) => return Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => AnswerFailure::TooLong {
            limit_bytes: MAX_ANSWER_BYTES,
        },
        Ok(Err(error)) => AnswerFailure::Connection(error),
    };
    Err(CallError::Unknown(failure))
}
