//! One HTTP/1.1 exchange over a fresh or a kept connection, with an error that tells how far it came.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Connection, SendRequest, handshake};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

const DEFAULT_LIMIT: Duration = Duration::from_secs(30);

/// A request to send.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Header names and values; `Host` is added.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Bytes,
    /// The longest time the exchange may take.
    pub timeout: Duration,
}

impl CallRequest {
    /// Makes a request without headers and body and with a timeout of 30 s.
    #[must_use]
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_LIMIT,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the longest time the exchange may take.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn encode(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, CallError> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str());
        let names_host = |(name, _): &(String, String)| name.eq_ignore_ascii_case("host");
        if !self.headers.iter().any(names_host) {
            builder = builder.header(http::header::HOST, address.to_string());
        }
        for (name, value) in &self.headers {
            builder = builder.header(name.as_str(), value.as_str());
        }
        builder
            .body(Full::new(self.body.clone()))
            .map_err(CallError::Invalid)
    }
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// The status code.
    pub status: u16,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallAnswer {
    /// Returns the value of a header that is present and readable text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The reason why an exchange gave no complete answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request has an invalid path or header and was not sent.
    #[error("invalid request: {0}")]
    Invalid(#[source] http::Error),
    /// No connection was made, so nothing was sent.
    #[error("connect failed: {0}")]
    Connect(#[source] io::Error),
    /// The connection ended before the head of an answer arrived.
    #[error("connection broken before the answer: {0}")]
    BrokenBeforeAnswer(#[source] hyper::Error),
    /// The connection ended after the head of an answer and before the end of its body.
    #[error("connection broken within the answer, after {received} bytes of its body: {source}")]
    BrokenWithinAnswer {
        /// Bytes of the body that arrived.
        received: usize,
        /// The error of the connection.
        source: hyper::Error,
    },
    /// The exchange did not end within its timeout.
    #[error("no complete answer within {} ms", .0.as_millis())]
    TimedOut(Duration),
}

/// A connection that carries one exchange at a time and is kept between them.
///
/// The exchange drives the connection in its own task, so that a call costs no hand-over between threads.
#[derive(Debug)]
pub struct PersistentConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Connection<TokioIo<TcpStream>, Full<Bytes>>>,
}

impl PersistentConnection {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] if no connection was made.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(CallError::Connect)?;
        stream.set_nodelay(true).map_err(CallError::Connect)?;
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(CallError::BrokenBeforeAnswer)?;
        Ok(Self {
            address,
            sender,
            driver: Some(driver),
        })
    }

    /// Returns the address it was opened to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether the connection can carry another exchange. It sees a close that arrived between exchanges.
    pub fn is_usable(&mut self) -> bool {
        let ended = self
            .driver
            .as_mut()
            .is_none_or(|driver| driver.now_or_never().is_some());
        if ended {
            self.driver = None;
        }
        !ended && !self.sender.is_closed()
    }

    /// Sends `request` and waits for the whole answer.
    ///
    /// After an error the connection is of no further use.
    ///
    /// # Errors
    ///
    /// Returns how far the exchange came.
    pub async fn call(&mut self, request: &CallRequest) -> Result<CallAnswer, CallError> {
        let encoded = request.encode(self.address)?;
        let timeout = request.timeout;
        match tokio::time::timeout(timeout, self.exchange(encoded)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut(timeout)),
        }
    }

    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<CallAnswer, CallError> {
        let exchange = send_and_collect(&mut self.sender, request);
        tokio::pin!(exchange);
        let Some(driver) = &mut self.driver else {
            return exchange.await;
        };
        tokio::select! {
            biased;
            result = &mut exchange => return result,
            // The outcome reaches the exchange, which reports it with the progress made.
            _ = driver => {}
        }
        self.driver = None;
        exchange.await
    }
}

/// Sends one request over a connection of its own.
///
/// # Errors
///
/// Returns how far the exchange came.
pub async fn call_once(
    address: SocketAddr,
    request: &CallRequest,
) -> Result<CallAnswer, CallError> {
    let opened = tokio::time::timeout(request.timeout, PersistentConnection::open(address));
    let mut connection = opened
        .await
        .map_err(|_| CallError::TimedOut(request.timeout))??;
    connection.call(request).await
}

async fn send_and_collect(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<CallAnswer, CallError> {
    sender
        .ready()
        .await
        .map_err(CallError::BrokenBeforeAnswer)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(CallError::BrokenBeforeAnswer)?;
    collect(response).await
}

async fn collect(response: Response<Incoming>) -> Result<CallAnswer, CallError> {
    let (head, mut incoming) = response.into_parts();
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|source| CallError::BrokenWithinAnswer {
            received: body.len(),
            source,
        })?;
        if let Ok(data) = frame.into_data() {
            body.extend_from_slice(&data);
        }
    }
    Ok(CallAnswer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: body.freeze(),
    })
}
