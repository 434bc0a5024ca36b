//! Incoming connections of peers: checks who they are, hands each message on and sends the answers.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_protocol::{FrameCodec, HelloMessage, PeerBody, PeerFrame};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::peer_client::PeerConnectionError;

/// Time a peer has to say hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two attempts to accept after a failure.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// Who sent a message.
#[derive(Debug, Clone)]
pub struct PeerSender {
    /// The name of the instance.
    pub instance: String,
    /// The number of its start.
    pub incarnation: u64,
    /// The name of its failure domain.
    pub failure_domain: String,
}

/// Handles the messages of peers.
pub trait PeerService: Send + Sync + 'static {
    /// Handles one message and returns its answer, if it has one.
    fn handle(
        &self,
        sender: &PeerSender,
        body: PeerBody,
    ) -> impl Future<Output = Option<PeerBody>> + Send;
}

/// Accepts peers until `stop` is cancelled.
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
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let hello = hello.clone();
        let service = Arc::clone(&service);
        let stop = stop.clone();
        tokio::spawn(async move {
            let ended = tokio::select! {
                () = stop.cancelled() => Ok(()),
                ended = serve_peer(stream, hello, service) => ended,
            };
            if let Err(error) = ended {
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
    let Some(PeerBody::Hello(theirs)) = frame.body else {
        return Err(PeerConnectionError::BadHello);
    };
    if theirs.token_digest != hello.token_digest {
        log::warn!(
            "peers: Refused '{}': its fleet token differs.",
            theirs.instance
        );
        return Err(PeerConnectionError::BadHello);
    }
    let sender = PeerSender {
        instance: theirs.instance,
        incarnation: theirs.incarnation,
        failure_domain: theirs.failure_domain,
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
