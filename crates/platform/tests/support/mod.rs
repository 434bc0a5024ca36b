//! A platform stand-in in the test process, with helpers that call it.
#![allow(dead_code, reason = "each test program uses only some of the helpers")]

pub mod interrupt_relay;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_platform::{CommitRequest, ConfigStore, ObjectClient, SeatStore};
use coltsfootkeel_standins::{CallCounts, serve_platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A call timeout that expires while [`SLOW_FAULT`] delays the answer.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// A call timeout that no call reaches, even on a busy machine.
pub const LONG_TIMEOUT: Duration = Duration::from_mins(1);

/// Delays each answer by 10 min, which is longer than any call timeout.
pub const SLOW_FAULT: &str = r#"{"slow_ms": 600000}"#;

/// Ends all faults.
pub const NO_FAULT: &str = "{}";

/// A platform stand-in on a free loopback port.
#[derive(Debug)]
pub struct TestPlatform {
    pub address: SocketAddr,
}

impl TestPlatform {
    /// Starts a stand-in, which stops with the test's runtime.
    pub async fn start() -> Self {
        let listener = bind_loopback().await;
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve_platform(listener, 0));
        Self { address }
    }

    pub fn client(&self, timeout: Duration) -> Arc<ObjectClient> {
        Arc::new(ObjectClient::new(self.address, timeout))
    }

    pub fn config(&self) -> ConfigStore {
        ConfigStore::new(self.client(LONG_TIMEOUT))
    }

    pub fn seats(&self) -> SeatStore {
        SeatStore::new(self.client(LONG_TIMEOUT))
    }

    pub async fn set_faults(&self, faults: &str) {
        self.call("PUT", "/v1/standin/faults", faults).await;
    }

    pub async fn save(&self) {
        self.call("PUT", "/v1/standin/save", "").await;
    }

    pub async fn revert(&self) {
        self.set_faults(r#"{"revert": true}"#).await;
    }

    pub async fn counts(&self) -> CallCounts {
        let answer = self.call("GET", "/v1/standin/counts", "").await;
        serde_json::from_str(&answer).unwrap()
    }

    /// Calls the stand-in and returns the body of its answer.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> String {
        let answer = exchange_raw(self.address, method, path, body).await;
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{method} {path}: {head}");
        body.to_string()
    }
}

pub async fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Sends a request on a new connection and returns the whole response as text.
pub async fn exchange_raw(address: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nIf-None-Match: *\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Returns a commit request whose write id, operator and document depend only on the arguments.
pub fn commit_request(expected_generation: u64, writer: &str) -> CommitRequest {
    CommitRequest {
        expected_generation,
        write_id: format!("{writer}-{expected_generation}"),
        operator: writer.to_string(),
        summary: format!("change after generation {expected_generation}"),
        time_unix_ms: 1_700_000_000_000,
        document: format!("regions: []  # {writer} after {expected_generation}\n"),
    }
}
