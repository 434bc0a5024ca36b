//! A relay that loses one manifest write or its answer at a chosen point.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::bind_loopback;

const MANIFEST_WRITE: &[u8] = b"PUT /v1/objects/config/manifest ";

/// Starts a relay to `platform` and returns its address.
///
/// It closes the connection that carries the first manifest write: after the platform has
/// answered if `forward` is set, else before the platform sees the write. Then it awaits
/// `meanwhile` and only after that accepts the client's next connection.
pub async fn start_relay<F>(platform: SocketAddr, forward: bool, meanwhile: F) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = bind_loopback().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut meanwhile = Some(meanwhile);
        loop {
            let (mut client, _) = listener.accept().await.unwrap();
            let mut server = TcpStream::connect(platform).await.unwrap();
            let interrupted =
                relay_connection(&mut client, &mut server, meanwhile.is_some(), forward);
            if interrupted.await {
                drop((client, server));
                if let Some(meanwhile) = meanwhile.take() {
                    meanwhile.await;
                }
            }
        }
    });
    address
}

/// Relays until one side closes, or until the write to lose has been handled.
async fn relay_connection(
    client: &mut TcpStream,
    server: &mut TcpStream,
    armed: bool,
    forward: bool,
) -> bool {
    let mut sent = vec![0; 65536];
    let mut answered = vec![0; 65536];
    loop {
        tokio::select! {
            length = client.read(&mut sent) => {
                let request = &sent[..length.unwrap_or(0)];
                if request.is_empty() {
                    return false;
                }
                let selected = armed && request.starts_with(MANIFEST_WRITE);
                if selected && !forward {
                    return true;
                }
                server.write_all(request).await.unwrap();
                if selected {
                    finish_write(client, server).await;
                    return true;
                }
            }
            length = server.read(&mut answered) => {
                let answer = &answered[..length.unwrap_or(0)];
                if answer.is_empty() || client.write_all(answer).await.is_err() {
                    return false;
                }
            }
        }
    }
}

/// Forwards the rest of a request until the platform answers, and drops the answer.
async fn finish_write(client: &mut TcpStream, server: &mut TcpStream) {
    let mut sent = vec![0; 65536];
    let mut answered = [0; 64];
    loop {
        tokio::select! {
            length = client.read(&mut sent) => {
                server.write_all(&sent[..length.unwrap()]).await.unwrap();
            }
            length = server.read(&mut answered) => {
                assert!(length.unwrap() > 0, "the platform closed without an answer");
                return;
            }
        }
    }
}
