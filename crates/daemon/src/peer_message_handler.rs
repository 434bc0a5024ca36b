//! Handling of messages from peers: those about idempotency keys directly, all others on the control thread.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_decisions::{IdempotencyKey, ReplayDecision, RequestDigest};
use coltsfootkeel_protocol::{PeerBody, ReplayBegin, ReplayFinish, ReplayVerdict};
use tokio::sync::oneshot;

use crate::control_event::ControlEvent;
use crate::peer_server::{PeerSender, PeerService};
use crate::replay_flow::begin_for_peer;
use crate::replay_messages;
use crate::shared_state::SharedState;

/// The daemon's [`PeerService`].
#[derive(Debug)]
pub struct PeerMessageHandler {
    shared: Arc<SharedState>,
}

impl PeerMessageHandler {
    /// Creates the handler.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn begin(&self, message: ReplayBegin) -> ReplayVerdict {
        let decision = match IdempotencyKey::try_from(message.key) {
            Ok(key) => begin_for_peer(
                &self.shared,
                &message.account,
                &key,
                RequestDigest(message.request_digest),
                Duration::from_millis(message.remaining_ms),
            ),
            Err(_) => ReplayDecision::Unknown,
        };
        replay_messages::encode_verdict(&decision)
    }

    fn finish(&self, mut message: ReplayFinish) {
        let account = std::mem::take(&mut message.account);
        let key = IdempotencyKey::try_from(std::mem::take(&mut message.key));
        let Ok(key) = key else { return };
        let (ticket, end) = replay_messages::decode_finish(message);
        let now = self.shared.clock.now();
        self.shared.replays.finish(now, &account, &key, ticket, end);
    }
}

impl PeerService for PeerMessageHandler {
    async fn handle(&self, sender: &PeerSender, body: PeerBody) -> Option<PeerBody> {
        match body {
            PeerBody::ReplayBegin(message) => Some(PeerBody::ReplayVerdict(self.begin(message))),
            PeerBody::ReplayFinish(message) => {
                self.finish(message.clone());
                // The answer confirms to the sender that the report was received.
                Some(PeerBody::ReplayFinish(ReplayFinish::default()))
            }
            body => {
                let (reply, answer) = oneshot::channel();
                self.shared.send_event(ControlEvent::Message {
                    sender: sender.clone(),
                    body,
                    reply,
                });
                answer.await.ok().flatten()
            }
        }
    }
}
