//! Connections for a `volo-http` server from a listener that was bound by its owner.

use std::io;
use std::time::Duration;

use tokio::net::TcpListener;
use volo::net::MakeIncoming;
use volo::net::conn::Conn;
use volo::net::incoming::Incoming;

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections and waits after a failed accept.
///
/// The accept loop of `volo-http` retries at once. Without the pause it spins while the process has no free file
/// descriptor.
#[derive(Debug)]
pub struct PacedIncoming {
    listener: TcpListener,
}

impl PacedIncoming {
    /// Accepts from `listener`.
    #[must_use]
    pub fn new(listener: TcpListener) -> Self {
        Self { listener }
    }
}

impl Incoming for PacedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            if let Ok((stream, _)) = self.listener.accept().await {
                return Ok(Some(Conn::from(stream)));
            }
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

impl MakeIncoming for PacedIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}
