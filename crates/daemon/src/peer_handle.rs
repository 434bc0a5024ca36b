//! Handles of connected peers, with which other modules of the daemon send messages and requests to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use coltsfootkeel_protocol::PeerBody;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// The maximum number of messages queued for a slow peer. Further ones are dropped; the protocol tolerates the loss of
/// any message.
const OUTBOUND_QUEUE_LENGTH: usize = 1_024;

/// The reason why a call to a peer has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PeerCallError {
    /// The message was not sent, because the connection has ended or its queue is full.
    #[error("peer is not connected or its queue is full")]
    NotSent,
    /// The peer may have received the message, but no answer arrived in time.
    #[error("no answer from the peer")]
    NoAnswer,
}

/// A message queued for a peer.
#[derive(Debug)]
pub struct OutboundMessage {
    /// The message.
    pub body: PeerBody,
    /// Receives the answer; `None` if the message has none.
    pub reply: Option<oneshot::Sender<PeerBody>>,
}

/// Sends messages to one peer.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    outbound: mpsc::Sender<OutboundMessage>,
}

impl PeerHandle {
    /// Creates a handle and the queue from which the connection task takes its messages.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<OutboundMessage>) {
        let (outbound, queue) = mpsc::channel(OUTBOUND_QUEUE_LENGTH);
        (Self { outbound }, queue)
    }

    /// Queues a message without waiting for an answer, and returns whether it was queued: `false` if the queue is full
    /// or the connection is closed.
    #[must_use]
    pub fn notify(&self, body: PeerBody) -> bool {
        let message = OutboundMessage { body, reply: None };
        self.outbound.try_send(message).is_ok()
    }

    /// Sends a message and waits up to `timeout` for the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer. The error indicates whether the peer may have received the message.
    pub async fn call(&self, body: PeerBody, timeout: Duration) -> Result<PeerBody, PeerCallError> {
        let (reply, answer) = oneshot::channel();
        let message = OutboundMessage {
            body,
            reply: Some(reply),
        };
        self.outbound
            .try_send(message)
            .map_err(|_| PeerCallError::NotSent)?;
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) | Err(_) => Err(PeerCallError::NoAnswer),
        }
    }
}

/// A peer whose hello was received.
#[derive(Debug, Clone)]
pub struct ConnectedPeer {
    /// The name of the instance.
    pub instance: String,
    /// The incarnation of the instance, which differs for each start.
    pub incarnation: u64,
    /// The name of the failure domain of the instance.
    pub failure_domain: String,
    /// The address on which the instance accepts callers.
    pub entry_address: SocketAddr,
    /// The address on which the instance accepts peers.
    pub peer_address: SocketAddr,
    /// The handle of the connection to the instance.
    pub handle: PeerHandle,
}

/// The connected peers by the name of their instance. The control thread replaces the complete table; request threads
/// read it.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    peers: ArcSwap<HashMap<String, ConnectedPeer>>,
}

impl PeerDirectory {
    /// Returns the peer with this instance name, or `None` if it is not connected.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<ConnectedPeer> {
        self.peers.load().get(instance).cloned()
    }

    /// Adds or replaces a peer.
    pub fn insert(&self, peer: &ConnectedPeer) {
        self.peers.rcu(|peers| {
            let mut peers = HashMap::clone(peers);
            peers.insert(peer.instance.clone(), peer.clone());
            Arc::new(peers)
        });
    }

    /// Removes a peer if `incarnation` is that of the peer in the table.
    pub fn remove(&self, instance: &str, incarnation: u64) {
        self.peers.rcu(|peers| {
            let mut peers = HashMap::clone(peers);
            if peers
                .get(instance)
                .is_some_and(|peer| peer.incarnation == incarnation)
            {
                peers.remove(instance);
            }
            Arc::new(peers)
        });
    }
}
