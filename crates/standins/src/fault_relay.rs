//! A TCP relay on loopback that a test closes, holds or delays, each direction on its own.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

const READ_BUFFER_BYTES: usize = 64 * 1024;
const CHUNKS_IN_FLIGHT: usize = 64;
const LISTEN_BACKLOG: u32 = 1024;
const REBIND_PAUSE: Duration = Duration::from_millis(20);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFlow {
    /// They are forwarded.
    Pass,
    /// They are forwarded after this time.
    Delay(Duration),
    /// They are held back until the flow changes, as TCP does across a partition by sending again.
    Hold,
}

/// What the relay does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Connections are accepted, and each direction has its flow.
    Open {
        /// From the caller to the target.
        to_target: RelayFlow,
        /// From the target to the caller.
        to_caller: RelayFlow,
    },
    /// All connections are closed and new ones are refused.
    Closed,
}

impl RelayMode {
    /// Forwards both directions.
    pub const PASS: Self = Self::both(RelayFlow::Pass);

    /// Accepts connections and forwards nothing.
    pub const BLACKHOLE: Self = Self::both(RelayFlow::Hold);

    /// Gives both directions the same flow.
    #[must_use]
    pub const fn both(flow: RelayFlow) -> Self {
        Self::Open {
            to_target: flow,
            to_caller: flow,
        }
    }

    fn to_target(self) -> RelayFlow {
        match self {
            Self::Open { to_target, .. } => to_target,
            Self::Closed => RelayFlow::Hold,
        }
    }

    fn to_caller(self) -> RelayFlow {
        match self {
            Self::Open { to_caller, .. } => to_caller,
            Self::Closed => RelayFlow::Hold,
        }
    }
}

/// A relay that forwards connections to one address; it closes when the value is dropped.
#[derive(Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    is_listening: watch::Receiver<bool>,
    task: JoinHandle<()>,
}

impl FaultRelay {
    /// Starts a relay on a free port of 127.0.0.1 that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if no port can be listened on.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(RelayMode::PASS);
        let (listening, is_listening) = watch::channel(true);
        let task = tokio::spawn(run(address, target, listener, modes, listening));
        Ok(Self {
            address,
            mode,
            is_listening,
            task,
        })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode. Returns when the listener and the connections are closed or the listener is open again.
    pub async fn set(&mut self, mode: RelayMode) {
        self.mode.send_replace(mode);
        let wanted = mode != RelayMode::Closed;
        let applied = self.is_listening.wait_for(|listening| *listening == wanted);
        // An error means that the relay has ended, and then it is closed.
        let _ = applied.await;
    }
}

impl Drop for FaultRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    address: SocketAddr,
    target: SocketAddr,
    first: TcpListener,
    mut modes: watch::Receiver<RelayMode>,
    listening: watch::Sender<bool>,
) {
    let mut listener = first;
    loop {
        accept_until_closed(listener, target, &mut modes).await;
        listening.send_replace(false);
        if modes.wait_for(is_open).await.is_err() {
            return;
        }
        listener = listen_again(address).await;
        listening.send_replace(true);
    }
}

/// Accepts and forwards until the mode is closed; the listener and all connections are closed on return.
async fn accept_until_closed(
    listener: TcpListener,
    target: SocketAddr,
    modes: &mut watch::Receiver<RelayMode>,
) {
    let connection_modes = modes.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = closed(modes) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(forward(stream, target, connection_modes.clone()));
                }
                // A retry at once would spin while the process has no free file descriptor.
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}

/// Waits until the mode is closed or can no longer change.
async fn closed(modes: &mut watch::Receiver<RelayMode>) {
    // Both outcomes end the connections.
    let _ = modes.wait_for(|mode| !is_open(mode)).await;
}

fn is_open(mode: &RelayMode) -> bool {
    *mode != RelayMode::Closed
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = listen(address) {
            return listener;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn forward(
    caller: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<RelayMode>,
) -> io::Result<()> {
    modes
        .wait_for(|mode| mode.to_target() != RelayFlow::Hold)
        .await
        .map_err(io::Error::other)?;
    let upstream = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = upstream.into_split();
    let there = copy(
        caller_read,
        target_write,
        modes.clone(),
        RelayMode::to_target,
    );
    let back = copy(target_read, caller_write, modes, RelayMode::to_caller);
    tokio::try_join!(there, back)?;
    Ok(())
}

/// One piece of a stream and when it may be written.
#[derive(Debug)]
struct RelayChunk {
    ready: Instant,
    bytes: Vec<u8>,
}

async fn copy(
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
    modes: watch::Receiver<RelayMode>,
    flow: fn(RelayMode) -> RelayFlow,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT);
    let reader = read_chunks(from, sender, modes.clone(), flow);
    let writer = write_chunks(to, receiver, modes, flow);
    tokio::try_join!(reader, writer)?;
    Ok(())
}

async fn read_chunks(
    mut from: impl AsyncRead + Unpin,
    sender: mpsc::Sender<RelayChunk>,
    mut modes: watch::Receiver<RelayMode>,
    flow: fn(RelayMode) -> RelayFlow,
) -> io::Result<()> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let delay = flowing(&mut modes, flow).await?;
        let length = tokio::select! {
            biased;
            // The new mode applies to what arrives after the change.
            changed = modes.changed() => {
                changed.map_err(io::Error::other)?;
                continue;
            }
            length = from.read(&mut buffer) => length?,
        };
        if length == 0 {
            return Ok(());
        }
        let chunk = RelayChunk {
            ready: Instant::now() + delay,
            bytes: buffer[..length].to_vec(),
        };
        if sender.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut to: impl AsyncWrite + Unpin,
    mut receiver: mpsc::Receiver<RelayChunk>,
    mut modes: watch::Receiver<RelayMode>,
    flow: fn(RelayMode) -> RelayFlow,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        tokio::time::sleep_until(chunk.ready).await;
        flowing(&mut modes, flow).await?;
        to.write_all(&chunk.bytes).await?;
    }
    to.shutdown().await
}

/// Waits until the direction is not held and returns the delay of what arrives now.
async fn flowing(
    modes: &mut watch::Receiver<RelayMode>,
    flow: fn(RelayMode) -> RelayFlow,
) -> io::Result<Duration> {
    let mode = modes
        .wait_for(|mode| flow(*mode) != RelayFlow::Hold)
        .await
        .map_err(io::Error::other)?;
    match flow(*mode) {
        RelayFlow::Delay(delay) => Ok(delay),
        RelayFlow::Pass | RelayFlow::Hold => Ok(Duration::ZERO),
    }
}
