//! One HTTP exchange over a fresh connection.
//!
//! The client of `volo-http` is not used: it sends every request through its layer for name resolution and load
//! balancing, and does not tell a request that was never sent from one whose answer was lost.

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

/// The time a connect may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(3);

/// The time an exchange may take. The daemon waits for several calls to the platform, each with retries.
const ANSWER_LIMIT: Duration = Duration::from_mins(1);

/// A request to a daemon.
#[derive(Debug, Clone)]
pub struct ClientCall {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
    /// The idempotency key of a change.
    pub write_id: Option<String>,
}

/// The answer of a daemon.
#[derive(Debug)]
pub struct ClientAnswer {
    /// The status.
    pub status: StatusCode,
    /// The body as text.
    pub text: String,
}

impl ClientAnswer {
    /// Returns the body as JSON, or null if it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

impl ClientCall {
    /// Makes a call that reads.
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
    /// Returns whether the call may have taken effect.
    pub async fn send(
        &self,
        address: SocketAddr,
        token: Option<&str>,
    ) -> Result<ClientAnswer, CallError> {
        let refused = |cause: String| CallError::Connect { address, cause };
        let request = self
            .encode(address, token)
            .map_err(|error| refused(error.to_string()))?;
        let sender = match tokio::time::timeout(CONNECT_LIMIT, open(address)).await {
            Ok(opened) => opened.map_err(refused)?,
            Err(_) => {
                return Err(refused(format!(
                    "none within {} s",
                    CONNECT_LIMIT.as_secs()
                )));
            }
        };
        match tokio::time::timeout(ANSWER_LIMIT, exchange(sender, request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(CallError::NoAnswer {
                address,
                cause: error.to_string(),
                write_id: self.write_id.clone(),
            }),
            Err(_) => Err(CallError::timeout(
                address,
                ANSWER_LIMIT,
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

async fn open(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // An error of the connection reaches the exchange.
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
