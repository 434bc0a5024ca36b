//! Incoming connections of peers: authenticates each peer, passes its messages to a handler and sends the answers.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_protocol::{FrameCodec, HelloMessage, PeerBody, PeerFrame};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::peer_client::PeerConnectionError;

/// Time that a peer has to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The peer that sent a message.
#[derive(Debug, Clone)]
pub struct PeerSender {
    /// The name of the instance.
    pub instance: String,
    /// The incarnation of the instance, which differs for each start.
    pub incarnation: u64,
    /// The name of the failure domain of the instance.
    pub failure_domain: String,
}

/// Handles the messages of peers.
pub trait PeerService: Send + Sync + 'static {
    /// Handles one message and returns its answer, or `None` if the message has none.
    fn handle(
        &self,
        sender: &PeerSender,
        body: PeerBody,
    ) -> impl Future<Output = Option<PeerBody>> + Send;
}

/// Accepts connections of peers and serves them until `stop` is cancelled.
pub async fn serve_peers<S: PeerService>(
    listener: TcpListener,
    hello: HelloMessage,
    service: Arc<S>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("peers: Accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let hello = hello.clone();
        let service = Arc::clone(&service);
        let stop = stop.clone();
        tokio::spawn(async move {
            let result = tokio::select! {
                () = stop.cancelled() => Ok(()),
                result = serve_peer(stream, hello, service) => result,
            };
            if let Err(error) = result {
                log::debug!("peers: Connection from a peer ended: {error}");
            }
        });
    }
}

async fn serve_peer<S: PeerService>(
    stream: TcpStream,
    hello: HelloMessage,
    service: Arc<S>,
) -> Result<(), PeerConnectionError> {
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, FrameCodec::new());
    let first = tokio::time::timeout(HELLO_TIMEOUT, stream.next()).await?;
    let frame = first.ok_or(PeerConnectionError::Closed)??;
    let Some(PeerBody::Hello(peer_hello)) = frame.body else {
        return Err(PeerConnectionError::InvalidHello);
    };
    if peer_hello.token_digest != hello.token_digest {
        log::warn!(
            "peers: Refused the connection of '{}': its fleet token differs from peer.token.",
            peer_hello.instance
        );
        return Err(PeerConnectionError::InvalidHello);
    }
    let sender = PeerSender {
        instance: peer_hello.instance,
        incarnation: peer_hello.incarnation,
        failure_domain: peer_hello.failure_domain,
    };
    stream
        .send(PeerFrame::new(0, PeerBody::Hello(hello)))
        .await?;
    while let Some(frame) = stream.next().await {
        let PeerFrame { request, body } = frame?;
        let Some(body) = body else { continue };
        let answer = service.handle(&sender, body).await;
        if let (Some(answer), true) = (answer, request != 0) {
            stream.send(PeerFrame::new(request, answer)).await?;
        }
    }
    Ok(())
}
