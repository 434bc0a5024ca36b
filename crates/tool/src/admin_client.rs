//! HTTP client that opens a new connection for each call.
//!
//! The client of `volo-http` is not used, because it sends every request through its layer for name resolution and load
//! balancing, and does not distinguish a request that was never sent from one whose answer was lost.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::call_error::CallError;

/// The longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest time from sending a request to the end of its answer. To handle a request, the daemon may make several
/// calls to the platform, each with retries.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// A call of a daemon's administration or entry listener.
#[derive(Debug, Clone)]
pub struct ClientCall {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The names and values of further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body, or an empty text if the call has none.
    pub body: String,
    /// The idempotency key of a change, or `None` for a call that only reads.
    pub write_id: Option<String>,
}

/// The answer of a daemon.
#[derive(Debug)]
pub struct ClientAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body as text, with invalid UTF-8 replaced.
    pub text: String,
}

impl ClientAnswer {
    /// Returns the body as JSON, or null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

impl ClientCall {
    /// Creates a call that reads `path`.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_string(),
            headers: Vec::new(),
            body: String::new(),
            write_id: None,
        }
    }

    /// Sends the call and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] if nothing was sent, and [`CallError::NoAnswer`] if the call may have taken
    /// effect.
    pub async fn send(
        &self,
        address: SocketAddr,
        token: Option<&str>,
    ) -> Result<ClientAnswer, CallError> {
        let connect_error = |cause: String| CallError::Connect { address, cause };
        let request = self
            .encode(address, token)
            .map_err(|error| connect_error(error.to_string()))?;
        let sender = match tokio::time::timeout(CONNECT_TIMEOUT, open_connection(address)).await {
            Ok(opened) => opened.map_err(connect_error)?,
            Err(_) => {
                return Err(connect_error(format!(
                    "timed out after {} s",
                    CONNECT_TIMEOUT.as_secs()
                )));
            }
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, exchange(sender, request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(CallError::NoAnswer {
                address,
                cause: error.to_string(),
                write_id: self.write_id.clone(),
            }),
            Err(_) => Err(CallError::timeout(
                address,
                ANSWER_TIMEOUT,
                self.write_id.clone(),
            )),
        }
    }

    fn encode(
        &self,
        address: SocketAddr,
        token: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .header(HOST, address.to_string());
        if let Some(token) = token {
            builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(id) = &self.write_id {
            builder = builder.header("Idempotency-Key", id.as_str());
        }
        for (name, value) in &self.headers {
            builder = builder.header(*name, value.as_str());
        }
        builder.body(Full::new(Bytes::from(self.body.clone())))
    }
}

async fn open_connection(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // If the connection fails, `exchange` returns the error.
    tokio::spawn(connection);
    Ok(sender)
}

async fn exchange(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<ClientAnswer, hyper::Error> {
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(ClientAnswer {
        status,
        text: String::from_utf8_lossy(&body).into_owned(),
    })
}
