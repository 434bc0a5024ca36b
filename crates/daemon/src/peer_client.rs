//! The outgoing connection to one peer: sends messages, and hands each answer to whoever asked.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_protocol::{FrameCodec, FrameError, HelloMessage, PeerBody, PeerFrame};
use futures_util::{SinkExt, StreamExt};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::peer_handle::{ConnectedPeer, OutboundMessage, PeerHandle};

/// Time to set up a connection and to exchange the first messages.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two attempts. A cut of an hour then costs one attempt a second.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// A connection without any frame for this time is given up. Peers answer each heartbeat's connection at the transport
/// level only, so silence is noticed by the failing write or by the peer table.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a peer connection reports to the control thread.
#[derive(Debug)]
pub enum PeerEvent {
    /// A peer said hello.
    Connected(ConnectedPeer),
    /// The connection result.
    Disconnected {
        /// The name of the instance.
        instance: String,
        /// The number of its start.
        incarnation: u64,
    },
}

/// Why a connection result.
#[derive(Debug, Error)]
pub enum PeerConnectionError {
    /// The connection could not be set up in time, or a write took too long.
    #[error("timed out")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The operating system reported an error.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A frame could not be read or written.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The peer closed the connection.
    #[error("closed by the peer")]
    Closed,
    /// The first message was no hello, or one with unusable addresses.
    #[error("peer sent no valid hello")]
    InvalidHello,
}

type PeerStream = Framed<TcpStream, FrameCodec>;

/// Keeps a connection to the peer at `address` until `stop` is cancelled.
pub async fn maintain_connection(
    address: SocketAddr,
    hello: HelloMessage,
    events: mpsc::UnboundedSender<PeerEvent>,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => return,
            result = run_connection(address, &hello, &events) => {
                if let Err(error) = result {
                    log::debug!("peers: Connection to {address} ended: {error}");
                }
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run_connection(
    address: SocketAddr,
    hello: &HelloMessage,
    events: &mpsc::UnboundedSender<PeerEvent>,
) -> Result<(), PeerConnectionError> {
    let (mut stream, answer) =
        tokio::time::timeout(CONNECT_TIMEOUT, open_connection(address, hello)).await??;
    let (handle, mut queue) = PeerHandle::new();
    let peer = peer_from_hello(answer, handle).ok_or(PeerConnectionError::InvalidHello)?;
    let instance = peer.instance.clone();
    let incarnation = peer.incarnation;
    let _ = events.send(PeerEvent::Connected(peer));
    let result = exchange_frames(&mut stream, &mut queue).await;
    let _ = events.send(PeerEvent::Disconnected {
        instance,
        incarnation,
    });
    result
}

async fn open_connection(
    address: SocketAddr,
    hello: &HelloMessage,
) -> Result<(PeerStream, HelloMessage), PeerConnectionError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, FrameCodec::new());
    let frame = PeerFrame::new(0, PeerBody::Hello(hello.clone()));
    stream.send(frame).await?;
    let frame = stream.next().await.ok_or(PeerConnectionError::Closed)??;
    match frame.body {
        Some(PeerBody::Hello(answer)) if answer.token_digest == hello.token_digest => {
            Ok((stream, answer))
        }
        _ => Err(PeerConnectionError::InvalidHello),
    }
}

async fn exchange_frames(
    stream: &mut PeerStream,
    queue: &mut mpsc::Receiver<OutboundMessage>,
) -> Result<(), PeerConnectionError> {
    let mut pending_replies: HashMap<u64, oneshot::Sender<PeerBody>> = HashMap::new();
    let mut last_request_id = 0;
    loop {
        tokio::select! {
            message = queue.recv() => {
                let Some(message) = message else { return Ok(()) };
                last_request_id += 1;
                let request_id = if message.reply.is_some() { last_request_id } else { 0 };
                if let Some(reply) = message.reply {
                    pending_replies.retain(|_, reply| !reply.is_closed());
                    pending_replies.insert(request_id, reply);
                }
                let frame = PeerFrame::new(request_id, message.body);
                tokio::time::timeout(WRITE_TIMEOUT, stream.send(frame)).await??;
            }
            frame = stream.next() => {
                let frame = frame.ok_or(PeerConnectionError::Closed)??;
                if let (Some(reply), Some(body)) = (pending_replies.remove(&frame.request), frame.body) {
                    // The one who asked may have given up.
                    let _ = reply.send(body);
                }
            }
        }
    }
}

fn peer_from_hello(hello: HelloMessage, handle: PeerHandle) -> Option<ConnectedPeer> {
    Some(ConnectedPeer {
        entry_address: hello.entry_address.parse().ok()?,
        peer_address: hello.peer_address.parse().ok()?,
        instance: hello.instance,
        incarnation: hello.incarnation,
        failure_domain: hello.failure_domain,
        handle,
    })
}
