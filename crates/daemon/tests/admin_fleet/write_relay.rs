//! Relay to the platform that drops the response to a manifest write and every later call, until it is restored.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MANIFEST_WRITE_PREFIX: &[u8] = b"PUT /v1/objects/config/manifest ";

/// A running relay. It stops with the runtime of the test.
#[derive(Debug)]
pub struct WriteRelay {
    pub address: SocketAddr,
    is_disconnected: Arc<AtomicBool>,
}

impl WriteRelay {
    /// Starts a relay that drops the response to the first manifest write.
    pub async fn start(platform: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let is_disconnected = Arc::new(AtomicBool::new(false));
        let disconnected = Arc::clone(&is_disconnected);
        tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                if !disconnected.load(Ordering::Acquire) {
                    tokio::spawn(relay(client, platform, Arc::clone(&disconnected)));
                }
            }
        });
        Self {
            address,
            is_disconnected,
        }
    }

    /// Forwards calls again.
    pub fn restore(&self) {
        self.is_disconnected.store(false, Ordering::Release);
    }
}

async fn relay(mut client: TcpStream, platform: SocketAddr, disconnected: Arc<AtomicBool>) {
    let mut server = TcpStream::connect(platform).await.unwrap();
    let mut request_buffer = vec![0; 65536];
    let mut response_buffer = vec![0; 65536];
    let mut is_response_lost = false;
    loop {
        tokio::select! {
            length = client.read(&mut request_buffer) => {
                let request = &request_buffer[..length.unwrap_or(0)];
                if request.starts_with(MANIFEST_WRITE_PREFIX) {
                    is_response_lost = true;
                    disconnected.store(true, Ordering::Release);
                }
                let is_forwarded = is_response_lost || !disconnected.load(Ordering::Acquire);
                if request.is_empty() || !is_forwarded || server.write_all(request).await.is_err() {
                    return;
                }
            }
            length = server.read(&mut response_buffer) => {
                // The platform has responded, so the write whose response is dropped has taken effect.
                let response = &response_buffer[..length.unwrap_or(0)];
                if response.is_empty() || is_response_lost || client.write_all(response).await.is_err() {
                    return;
                }
            }
        }
    }
}
