//! HTTP/1.1 client for one exchange over a new or a persistent connection, whose errors name the stage of the failure.

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

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP request with its complete body and a timeout.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Names and values of the headers. Without `Host`, the address of the connection is sent as the host.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
    /// Maximum duration of the exchange; [`call_once`] applies it to the connect as well.
    pub timeout: Duration,
}

impl CallRequest {
    /// Creates a request without headers and body and with a timeout of 30 s.
    #[must_use]
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Appends a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the request body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the maximum duration of the exchange.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn encode(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, CallError> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str());
        let is_host = |(name, _): &(String, String)| name.eq_ignore_ascii_case("host");
        if !self.headers.iter().any(is_host) {
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

/// An HTTP answer that was received completely.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl CallAnswer {
    /// Returns the value of a header, or `None` if the header is absent or its value is not visible ASCII text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reason why an exchange did not return a complete answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The request has an invalid path or header and was not sent.
    #[error("invalid request: {0}")]
    Invalid(#[source] http::Error),
    /// The connection could not be established, so nothing was sent.
    #[error("connect failed: {0}")]
    Connect(#[source] io::Error),
    /// The connection broke before the head of the answer arrived.
    #[error("connection broken before the answer: {0}")]
    BrokenBeforeAnswer(#[source] hyper::Error),
    /// The connection broke between the head of the answer and the end of its body.
    #[error("connection broken within the answer, after {received} bytes of its body: {source}")]
    BrokenWithinAnswer {
        /// Number of body bytes that arrived.
        received: usize,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The exchange did not end within its timeout.
    #[error("no complete answer within {} ms", .0.as_millis())]
    TimedOut(Duration),
}

/// A connection that carries one exchange at a time and stays open between exchanges.
///
/// The caller's task drives the connection during an exchange, so that a call needs no switch between threads.
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
    /// Returns [`CallError::Connect`] if the connection cannot be established.
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

    /// Returns the remote address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection can carry another exchange. A close that the server sent between exchanges is
    /// detected.
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

    /// Sends `request` and waits for the complete answer.
    ///
    /// The connection cannot be used again after an error.
    ///
    /// # Errors
    ///
    /// Returns the stage at which the exchange failed.
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
            // The exchange receives the error of the connection and returns it with its progress.
            _ = driver => {}
        }
        self.driver = None;
        exchange.await
    }
}

/// Sends one request over a new connection.
///
/// # Errors
///
/// Returns the stage at which the exchange failed.
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
    collect_answer(response).await
}

async fn collect_answer(response: Response<Incoming>) -> Result<CallAnswer, CallError> {
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
