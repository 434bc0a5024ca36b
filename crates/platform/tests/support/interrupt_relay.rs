//! A TCP relay that drops one write of the manifest, or the answer to it.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::bind_loopback;

const MANIFEST_WRITE_START: &[u8] = b"PUT /v1/objects/config/manifest ";

/// Starts a relay to `platform` and returns its address.
///
/// The relay closes the connection that carries the first write of the manifest: after the platform has answered if
/// `is_forwarded` is true, or else before the write reaches the platform. The relay then awaits `interruption` before
/// it accepts the client's next connection.
pub async fn start_relay<F>(platform: SocketAddr, is_forwarded: bool, interruption: F) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = bind_loopback().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut interruption = Some(interruption);
        loop {
            let (mut client, _) = listener.accept().await.unwrap();
            let mut server = TcpStream::connect(platform).await.unwrap();
            let is_interrupted = relay_connection(
                &mut client,
                &mut server,
                interruption.is_some(),
                is_forwarded,
            );
            if is_interrupted.await {
                drop((client, server));
                if let Some(interruption) = interruption.take() {
                    interruption.await;
                }
            }
        }
    });
    address
}

/// Relays a connection until one side closes it. Returns whether it was cut at a write of the manifest, which happens
/// only with `may_interrupt`.
async fn relay_connection(
    client: &mut TcpStream,
    server: &mut TcpStream,
    may_interrupt: bool,
    is_forwarded: bool,
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
                let is_manifest_write = may_interrupt && request.starts_with(MANIFEST_WRITE_START);
                if is_manifest_write && !is_forwarded {
                    return true;
                }
                server.write_all(request).await.unwrap();
                if is_manifest_write {
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

/// Forwards the rest of a request until the platform answers, and discards the answer.
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
