//! Relay in front of a peer listener that can isolate one failure domain from the others.
//!
//! The first message on a connection is the hello of the daemon that opened it. A daemon whose hello contains the name
//! of the failure domain is inside the domain. If exactly one of this daemon and the target is inside, the connection
//! crosses the boundary of the domain. Only these connections pass through the relay that a partition blocks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::fault_relay::{FaultRelay, RelayMode};

/// Most bytes of the first read, which has to contain the whole hello.
const MAX_HELLO_BYTES: usize = 4096;

/// Relay in front of the peer listener of one daemon. It closes when the value is dropped.
#[derive(Debug)]
pub struct PartitionRelay {
    address: SocketAddr,
    crossing_relay: FaultRelay,
    _tasks: JoinSet<()>,
}

/// Decides which connections cross the boundary of the failure domain, and where each is forwarded.
#[derive(Debug)]
struct PartitionRule {
    target: SocketAddr,
    crossing_relay: SocketAddr,
    domain: String,
    is_target_inside: bool,
}

impl PartitionRelay {
    /// Starts a relay in front of `target`. `is_target_inside` states whether the target is in the failure domain.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the relay cannot listen on a loopback port.
    pub async fn start(
        target: SocketAddr,
        domain: &str,
        is_target_inside: bool,
    ) -> io::Result<Self> {
        let crossing_relay = FaultRelay::start(target).await?;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let partition_rule = PartitionRule {
            target,
            crossing_relay: crossing_relay.address(),
            domain: domain.to_owned(),
            is_target_inside,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::new(partition_rule)));
        Ok(Self {
            address,
            crossing_relay,
            _tasks: tasks,
        })
    }

    /// Returns the address on which the relay listens, which the daemon advertises to its peers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding on all connections that cross the boundary of the failure domain.
    pub async fn start_partition(&mut self) {
        self.crossing_relay.set(RelayMode::BLACKHOLE).await;
    }
}

async fn accept(listener: TcpListener, partition_rule: Arc<PartitionRule>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(forward(stream, partition_rule.clone()));
                }
                Err(_) => return,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(mut caller: TcpStream, partition_rule: Arc<PartitionRule>) -> io::Result<()> {
    let mut hello = vec![0; MAX_HELLO_BYTES];
    let length = caller.read(&mut hello).await?;
    let hello = &hello[..length];
    let is_caller_inside = contains(hello, partition_rule.domain.as_bytes());
    let address = if is_caller_inside == partition_rule.is_target_inside {
        partition_rule.target
    } else {
        partition_rule.crossing_relay
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
