//! A relay to the platform that loses the answer to a manifest write and every call after it, until it is restored.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MANIFEST_WRITE: &[u8] = b"PUT /v1/objects/config/manifest ";

/// A running relay. It ends with the runtime of the test.
#[derive(Debug)]
pub struct WriteRelay {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl WriteRelay {
    /// Starts a relay that loses the answer to the first manifest write.
    pub async fn start(platform: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                if !cut.load(Ordering::Acquire) {
                    tokio::spawn(relay(client, platform, Arc::clone(&cut)));
                }
            }
        });
        Self { address, is_cut }
    }

    /// Lets calls pass again.
    pub fn restore(&self) {
        self.is_cut.store(false, Ordering::Release);
    }
}

async fn relay(mut client: TcpStream, platform: SocketAddr, cut: Arc<AtomicBool>) {
    let mut server = TcpStream::connect(platform).await.unwrap();
    let mut sent = vec![0; 65536];
    let mut answered = vec![0; 65536];
    let mut is_lost = false;
    loop {
        tokio::select! {
            length = client.read(&mut sent) => {
                let request = &sent[..length.unwrap_or(0)];
                if request.starts_with(MANIFEST_WRITE) {
                    is_lost = true;
                    cut.store(true, Ordering::Release);
                }
                let is_passed = is_lost || !cut.load(Ordering::Acquire);
                if request.is_empty() || !is_passed || server.write_all(request).await.is_err() {
                    return;
                }
            }
            length = server.read(&mut answered) => {
                // The platform has answered, so the write that is lost has taken effect.
                let answer = &answered[..length.unwrap_or(0)];
                if answer.is_empty() || is_lost || client.write_all(answer).await.is_err() {
                    return;
                }
            }
        }
    }
}
