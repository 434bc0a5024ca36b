//! A peer as the rest of the daemon sees it: a way to send it messages and to ask it questions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use coltsfootkeel_protocol::PeerBody;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

/// Messages that wait for a slow peer. More are dropped: every message may be lost anyway.
const OUTBOUND_QUEUE_LENGTH: usize = 1_024;

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// The message was not sent.
    #[error("peer is not connected")]
    NotSent,
    /// The message may have been received, but no answer came in time.
    #[error("peer gave no answer")]
    NoAnswer,
}

/// A message for a peer and where its answer goes.
#[derive(Debug)]
pub struct OutboundMessage {
    /// The message.
    pub body: PeerBody,
    /// Where the answer goes, if one is wanted.
    pub reply: Option<oneshot::Sender<PeerBody>>,
}

/// Sends messages to one peer.
#[derive(Debug, Clone)]
pub struct PeerHandle {
    outbound: mpsc::Sender<OutboundMessage>,
}

impl PeerHandle {
    /// Makes a handle and the queue that the connection task empties.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<OutboundMessage>) {
        let (outbound, queue) = mpsc::channel(OUTBOUND_QUEUE_LENGTH);
        (Self { outbound }, queue)
    }

    /// Sends a message without waiting for an answer. Returns whether it was queued.
    #[must_use]
    pub fn notify(&self, body: PeerBody) -> bool {
        let message = OutboundMessage { body, reply: None };
        self.outbound.try_send(message).is_ok()
    }

    /// Sends a message and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns whether the message may have reached the peer.
    pub async fn call(&self, body: PeerBody, timeout: Duration) -> Result<PeerBody, CallError> {
        let (reply, answer) = oneshot::channel();
        let message = OutboundMessage {
            body,
            reply: Some(reply),
        };
        self.outbound
            .try_send(message)
            .map_err(|_| CallError::NotSent)?;
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) | Err(_) => Err(CallError::NoAnswer),
        }
    }
}

/// A peer that has said hello.
#[derive(Debug, Clone)]
pub struct ConnectedPeer {
    /// The name of the instance.
    pub instance: String,
    /// The number of its start.
    pub incarnation: u64,
    /// The name of its failure domain.
    pub failure_domain: String,
    /// The address callers use.
    pub entry_address: SocketAddr,
    /// The address peers use.
    pub peer_address: SocketAddr,
    /// Sends messages to it.
    pub handle: PeerHandle,
}

/// The connected peers. The control thread replaces the whole table; request threads read it.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    peers: ArcSwap<HashMap<String, ConnectedPeer>>,
}

impl PeerDirectory {
    /// Finds a peer by the name of its instance.
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

    /// Removes a peer if it is still the same incarnation.
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
