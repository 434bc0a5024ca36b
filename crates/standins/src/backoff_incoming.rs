//! A source of connections for `volo-http` servers with a delay after a failed accept.

use std::io;
use std::time::Duration;

use tokio::net::TcpListener;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};

/// Time between a failed accept and the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from a listener bound by the caller.
///
/// The accept loop of `volo-http` repeats a failed accept at once, which keeps a core busy while no file descriptor is
/// free. A listener that `volo` creates from an address sets `SO_REUSEPORT`, with which a second process on the same
/// port would silently receive part of the connections.
#[derive(Debug)]
pub struct BackoffIncoming {
    listener: TcpListener,
}

impl BackoffIncoming {
    /// Creates a source of connections from a bound listener.
    #[must_use]
    pub fn new(listener: TcpListener) -> Self {
        Self { listener }
    }
}

impl Incoming for BackoffIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            if let Ok((stream, _)) = self.listener.accept().await {
                return Ok(Some(Conn::from(stream)));
            }
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

impl MakeIncoming for BackoffIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}
