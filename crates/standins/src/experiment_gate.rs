//! A relay in front of a peer listener that can cut off one failure domain.
//!
//! A connection starts with the hello of the daemon that opened it. Its text tells whether the connection crosses the
//! border of the domain; only such connections pass the relay that is cut.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::fault_relay::{FaultRelay, RelayMode};

const HELLO_BYTES: usize = 4096;

/// A gate in front of one daemon's peer listener; it closes when the value is dropped.
#[derive(Debug)]
pub struct PeerGate {
    address: SocketAddr,
    border: FaultRelay,
    _tasks: JoinSet<()>,
}

/// How a gate finds the connections that cross the border.
#[derive(Debug)]
struct GateRule {
    target: SocketAddr,
    border: SocketAddr,
    domain: String,
    target_inside: bool,
}

impl PeerGate {
    /// Starts a gate in front of `target`, which is inside or outside of the failure domain.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if no port can be listened on.
    pub async fn start(target: SocketAddr, domain: &str, target_inside: bool) -> io::Result<Self> {
        let border = FaultRelay::start(target).await?;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let rule = GateRule {
            target,
            border: border.address(),
            domain: domain.to_owned(),
            target_inside,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::new(rule)));
        Ok(Self {
            address,
            border,
            _tasks: tasks,
        })
    }

    /// Returns the address to advertise.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds back everything that crosses the border.
    pub async fn cut(&mut self) {
        self.border.set(RelayMode::BLACKHOLE).await;
    }
}

async fn accept(listener: TcpListener, rule: Arc<GateRule>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(forward(stream, rule.clone()));
                }
                Err(_) => return,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(mut caller: TcpStream, rule: Arc<GateRule>) -> io::Result<()> {
    let mut hello = vec![0; HELLO_BYTES];
    let length = caller.read(&mut hello).await?;
    let hello = &hello[..length];
    let caller_inside = contains(hello, rule.domain.as_bytes());
    let address = if caller_inside == rule.target_inside {
        rule.target
    } else {
        rule.border
    };
    let mut target = TcpStream::connect(address).await?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    target.write_all(hello).await?;
    copy_bidirectional(&mut caller, &mut target).await?;
    Ok(())
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
