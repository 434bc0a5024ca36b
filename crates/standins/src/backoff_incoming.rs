//! A source of connections for `volo-http` servers that waits after a failed accept.

use std::io;
use std::time::Duration;

use tokio::net::TcpListener;
use volo::net::conn::Conn;
use volo::net::incoming::{Incoming, MakeIncoming};

/// How long no connection is accepted after a failure.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections from a listener bound by the caller.
///
/// The accept loop of `volo-http` repeats a failed accept at once, which keeps a core busy while
/// file descriptors are used up. A listener that `volo` makes from an address sets `SO_REUSEPORT`,
/// so that a second process could take over part of the connections unnoticed.
#[derive(Debug)]
pub struct BackoffIncoming {
    listener: TcpListener,
}

impl BackoffIncoming {
    /// Makes a source from a bound listener.
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
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

impl MakeIncoming for BackoffIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}
