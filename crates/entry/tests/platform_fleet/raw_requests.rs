//! Requests that a test reads from a connection by itself, to answer them with bytes of its own.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads a request as [`read_head`] does. A health check is answered, and ends the connection.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let head = read_head(stream).await?;
    if !head.starts_with("GET /healthz") {
        return Some(head);
    }
    let healthy = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    // Best effort: a failed health check only delays the test.
    let _ = stream.write_all(healthy).await;
    None
}

/// Reads a request with a body of at most a few bytes, which arrive with the head. Returns `None` at the end of the
/// connection.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut bytes = [0; 4096];
        let read = stream.read(&mut bytes).await.ok();
        let count = read.filter(|count| *count > 0)?;
        head.extend_from_slice(&bytes[..count]);
    }
    String::from_utf8(head).ok()
}

/// Returns the attempt id in the head of a request; empty without one.
pub fn attempt_id(head: &str) -> &str {
    let mut values = head
        .lines()
        .filter_map(|line| line.strip_prefix("coltsfootkeel-attempt-id: "));
    values.next().unwrap_or_default()
}
