//! A TCP relay on loopback that a test can close, and whose two directions can be held or delayed independently.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

const READ_BUFFER_BYTES: usize = 64 * 1024;
const MAX_QUEUED_CHUNKS: usize = 64;
const LISTEN_BACKLOG: u32 = 1024;
const REBIND_RETRY_DELAY: Duration = Duration::from_millis(20);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handling of the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFlow {
    /// Bytes are forwarded at once.
    Pass,
    /// Bytes are forwarded after this time.
    Delay(Duration),
    /// Bytes are held until the flow changes. None are lost, as TCP retransmits after a partition.
    Hold,
}

/// State of the relay: open with a flow for each direction, or closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Connections are accepted, and each direction has its own flow.
    Open {
        /// Flow from the caller to the target.
        to_target: RelayFlow,
        /// Flow from the target to the caller.
        to_caller: RelayFlow,
    },
    /// All connections are closed and new ones are refused.
    Closed,
}

impl RelayMode {
    /// Forwards both directions at once.
    pub const PASS: Self = Self::both(RelayFlow::Pass);

    /// Accepts connections and holds both directions.
    pub const BLACKHOLE: Self = Self::both(RelayFlow::Hold);

    /// Returns the open mode with the same flow in both directions.
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

/// A relay that forwards connections to one target address. Dropping the value closes the relay.
#[derive(Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    /// The number of calls of [`silence_connections`](FaultRelay::silence_connections). A connection that was accepted
    /// at a lower number is silent.
    silences: watch::Sender<u64>,
    is_listening: watch::Receiver<bool>,
    task: JoinHandle<()>,
}

impl FaultRelay {
    /// Starts a relay on a free port of 127.0.0.1 that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the relay cannot listen on any port.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(RelayMode::PASS);
        let (silences, silence_counts) = watch::channel(0);
        let (listening, is_listening) = watch::channel(true);
        let forwarding = Forwarding {
            target,
            modes,
            silences: silence_counts,
        };
        let task = tokio::spawn(run(address, listener, forwarding, listening));
        Ok(Self {
            address,
            mode,
            silences,
            is_listening,
            task,
        })
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards no more bytes on the connections that are open now, and keeps them open. New connections work.
    pub fn silence_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Sets the mode and waits until it is applied: until the listener and all connections are closed for
    /// [`RelayMode::Closed`], or until the listener is open for [`RelayMode::Open`].
    pub async fn set(&mut self, mode: RelayMode) {
        self.mode.send_replace(mode);
        let should_listen = mode != RelayMode::Closed;
        let applied = self
            .is_listening
            .wait_for(|listening| *listening == should_listen);
        // An error means that the task of the relay has ended, which closes the relay.
        let _ = applied.await;
    }
}

impl Drop for FaultRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The target of a relay and the state that its connections follow.
#[derive(Debug, Clone)]
struct Forwarding {
    target: SocketAddr,
    modes: watch::Receiver<RelayMode>,
    silences: watch::Receiver<u64>,
}

async fn run(
    address: SocketAddr,
    first: TcpListener,
    mut forwarding: Forwarding,
    listening: watch::Sender<bool>,
) {
    let mut listener = first;
    loop {
        accept_until_closed(listener, &mut forwarding).await;
        listening.send_replace(false);
        if forwarding.modes.wait_for(is_open).await.is_err() {
            return;
        }
        listener = listen_again(address).await;
        listening.send_replace(true);
    }
}

/// Accepts and forwards connections until the mode is closed. On return, the listener and all connections are closed.
async fn accept_until_closed(listener: TcpListener, forwarding: &mut Forwarding) {
    let shared = forwarding.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = wait_until_closed(&mut forwarding.modes) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(forward_until_silent(stream, shared.clone()));
                }
                // An immediate retry would spin while the process has no free file descriptor.
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}

/// Waits until the mode is closed or the relay has been dropped.
async fn wait_until_closed(modes: &mut watch::Receiver<RelayMode>) {
    // An error means that the relay has been dropped, which ends the connections as well.
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
        tokio::time::sleep(REBIND_RETRY_DELAY).await;
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Forwards a connection. After a silence, both sockets stay open and nothing is read from them.
async fn forward_until_silent(caller: TcpStream, forwarding: Forwarding) -> io::Result<()> {
    let Forwarding {
        target,
        modes,
        mut silences,
    } = forwarding;
    let silences_before = *silences.borrow();
    let mut forwarded = std::pin::pin!(forward(caller, target, modes));
    tokio::select! {
        result = forwarded.as_mut() => return result,
        // An error means that the relay has been dropped, which ends the task of the connection.
        _ = silences.wait_for(|count| *count > silences_before) => {}
    }
    std::future::pending().await
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
    let to_target = copy(
        caller_read,
        target_write,
        modes.clone(),
        RelayMode::to_target,
    );
    let to_caller = copy(target_read, caller_write, modes, RelayMode::to_caller);
    tokio::try_join!(to_target, to_caller)?;
    Ok(())
}

/// Bytes read from one side, and the time from which they may be written to the other side.
#[derive(Debug)]
struct RelayChunk {
    write_at: Instant,
    bytes: Vec<u8>,
}

async fn copy(
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
    modes: watch::Receiver<RelayMode>,
    flow: fn(RelayMode) -> RelayFlow,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
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
        let delay = wait_until_flowing(&mut modes, flow).await?;
        let length = tokio::select! {
            biased;
            // A new mode applies only to bytes that arrive after the change.
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
            write_at: Instant::now() + delay,
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
        tokio::time::sleep_until(chunk.write_at).await;
        wait_until_flowing(&mut modes, flow).await?;
        to.write_all(&chunk.bytes).await?;
    }
    to.shutdown().await
}

/// Waits until the direction is not held, and returns the delay of bytes that arrive now.
async fn wait_until_flowing(
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
