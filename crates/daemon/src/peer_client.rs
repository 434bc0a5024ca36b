//! The outgoing connection to one peer: sends messages and dispatches each answer to the sender of the request.

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

/// Time to establish a connection and to exchange the first messages.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between connection attempts. A partition costs at most one attempt per second, however long it lasts.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// A connection is closed if writing one frame takes longer. Heartbeats have no answer, so the loss of a peer is
/// detected by a failed write or by the peer table, not by the absence of frames.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// An event of a peer connection for the control thread.
#[derive(Debug)]
pub enum PeerEvent {
    /// A peer answered with its hello.
    Connected(ConnectedPeer),
    /// The connection ended.
    Disconnected {
        /// The name of the peer's instance.
        instance: String,
        /// The incarnation of the peer, which differs for each start.
        incarnation: u64,
    },
}

/// The reason why a connection ended.
#[derive(Debug, Error)]
pub enum PeerConnectionError {
    /// The connection could not be established in time, or a write took too long.
    #[error("timed out")]
    Timeout(#[from] tokio::time::error::Elapsed),
    /// The operating system returned an error.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A frame could not be decoded or encoded.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The peer closed the connection.
    #[error("closed by the peer")]
    Closed,
    /// The first message was not a hello, or it had a wrong token or malformed addresses.
    #[error("peer sent no valid hello")]
    InvalidHello,
}

type PeerStream = Framed<TcpStream, FrameCodec>;

/// Connects to the peer at `address`, and again after each connection that ends, until `stop` is cancelled.
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
                    // The receiver is gone if its call has timed out.
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
