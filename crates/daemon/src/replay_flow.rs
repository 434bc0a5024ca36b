//! Requests with an idempotency key, for which the instance that owns the key decides whether they run.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_decisions::{
    AttemptHistory, IdempotencyKey, KeyOwner, Refusal, RefusalKind, ReplayDecision, ReplayEnd,
    ReplayTicket, RequestDigest, find_key_owner,
};
use coltsfootkeel_protocol::PeerBody;
use volo_http::response::Response;

use crate::answer_relay::RelayedAnswer;
use crate::peer_handle::PeerHandle;
use crate::replay_messages;
use crate::request_context::RequestContext;
use crate::request_flow::RequestRun;
use crate::shared_state::SharedState;
use crate::stored_answer::StoredAnswer;

/// The maximum time for a call to the owner of a key: a round trip between regions and some processing.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// The replay memory that is responsible for a key.
#[derive(Debug, Clone)]
enum ReplayOwner {
    /// The replay memory of this process.
    Local,
    /// The replay memory of a peer.
    Peer(PeerHandle),
    /// The owner has changed recently or is not connected, so it is unknown whether the key was used.
    Unknown,
}

/// Calls the owner of one idempotency key, in this process or at a peer.
#[derive(Debug, Clone)]
struct ReplayClient {
    shared: Arc<SharedState>,
    owner: ReplayOwner,
    account: String,
    key: IdempotencyKey,
}

/// Runs the request at most once, however often its caller sends it.
///
/// The request runs in its own task, which continues when the caller disconnects, so that a repeat finds the answer.
///
/// # Errors
///
/// Returns the refusal if the owner of the key does not permit the request or the request fails.
pub async fn run_once(run: RequestRun) -> Result<Response, Refusal> {
    let client = ReplayClient::for_request(&run.context)?;
    let digest = RequestDigest(run.context.head.request_digest(run.body.bytes()));
    let remaining = run.context.remaining();
    let decision = client.begin(digest, remaining).await.map_err(refuse)?;
    if let Some(kind) = decision.refusal_kind() {
        return Err(refuse(kind));
    }
    match decision {
        ReplayDecision::Run(ticket) => {
            let forwarded = tokio::spawn(async move {
                let outcome = run.forward().await;
                client.finish(ticket, &outcome).await;
                outcome
            });
            match forwarded.await {
                Ok(outcome) => outcome.map(RelayedAnswer::into_response),
                Err(_) => Err(refuse(RefusalKind::OutcomeUnknown)),
            }
        }
        ReplayDecision::Answered(answer) => Ok(answer.to_response()),
        _ => Err(refuse(RefusalKind::OutcomeUnknown)),
    }
}

/// Returns the refusal for a decision of the key's owner. Its run status follows from `kind` alone.
fn refuse(kind: RefusalKind) -> Refusal {
    Refusal::new(kind, AttemptHistory::new(), true)
}

impl ReplayClient {
    fn for_request(context: &RequestContext) -> Result<Self, Refusal> {
        let text = context.head.idempotency_key.clone().unwrap_or_default();
        let malformed = |_| Refusal::before_attempt(RefusalKind::Malformed, false);
        let key = IdempotencyKey::try_from(text).map_err(malformed)?;
        let account = context.account_name().to_string();
        Ok(Self {
            owner: find_owner(context, &account, &key),
            shared: Arc::clone(&context.shared),
            account,
            key,
        })
    }

    async fn begin(
        &self,
        digest: RequestDigest,
        remaining: Duration,
    ) -> Result<ReplayDecision<StoredAnswer>, RefusalKind> {
        let peer = match &self.owner {
            ReplayOwner::Unknown => return Ok(ReplayDecision::Unknown),
            ReplayOwner::Local => {
                let now = self.shared.clock.now();
                let replays = &self.shared.replays;
                return Ok(replays.begin(now, &self.account, &self.key, digest, remaining));
            }
            ReplayOwner::Peer(peer) => peer,
        };
        let message = replay_messages::encode_begin(&self.account, &self.key, digest, remaining);
        let answer = peer
            .call(PeerBody::ReplayBegin(message), OWNER_TIMEOUT)
            .await;
        match answer {
            Ok(PeerBody::ReplayVerdict(verdict)) => Ok(replay_messages::decode_verdict(verdict)),
            // The owner may have recorded the key, now or for an earlier request.
            Ok(_) | Err(_) => Err(RefusalKind::KeyOwnerUnreachable),
        }
    }

    async fn finish(&self, ticket: ReplayTicket, outcome: &Result<RelayedAnswer, Refusal>) {
        let end = replay_end(outcome);
        match &self.owner {
            ReplayOwner::Unknown => {}
            ReplayOwner::Local => {
                let now = self.shared.clock.now();
                self.shared
                    .replays
                    .finish(now, &self.account, &self.key, ticket, end);
            }
            ReplayOwner::Peer(peer) => {
                let message =
                    replay_messages::encode_finish(&self.account, &self.key, ticket, &end);
                // If the report is lost, the key is in progress until the deadline and its outcome is unknown
                // afterwards.
                let _ = peer
                    .call(PeerBody::ReplayFinish(message), OWNER_TIMEOUT)
                    .await;
            }
        }
    }
}

fn replay_end(outcome: &Result<RelayedAnswer, Refusal>) -> ReplayEnd<StoredAnswer> {
    match outcome {
        Ok(RelayedAnswer::Buffered(answer)) if answer.is_storable() => ReplayEnd::Answered {
            bytes: answer.size(),
            answer: Arc::new(answer.clone()),
        },
        Ok(_) => ReplayEnd::AnswerNotKept,
        Err(refusal) => ReplayEnd::from_run_status(refusal.run_status()),
    }
}

fn find_owner(context: &RequestContext, account: &str, key: &IdempotencyKey) -> ReplayOwner {
    let shared = &context.shared;
    let now = context.now();
    let ownership = shared.replay_ownership.load();
    let owner = find_key_owner(now, account, key, &ownership.roster);
    if let Some(tenure) = &ownership.tenure
        && tenure.has_all_keys_of(now, &owner)
    {
        return ReplayOwner::Local;
    }
    let seat = match &owner {
        KeyOwner::Incarnation { seat, .. } | KeyOwner::Seat(seat) => seat,
        KeyOwner::Moved => return ReplayOwner::Unknown,
    };
    let peer = ownership
        .holders
        .get(seat)
        .and_then(|instance| shared.peers.find(instance));
    peer.map_or(ReplayOwner::Unknown, |peer| ReplayOwner::Peer(peer.handle))
}

/// Decides for a peer whether a request with an idempotency key may run. Returns [`ReplayDecision::Unknown`] if this
/// instance does not own the key.
#[must_use]
pub fn begin_for_peer(
    shared: &SharedState,
    account: &str,
    key: &IdempotencyKey,
    digest: RequestDigest,
    remaining: Duration,
) -> ReplayDecision<StoredAnswer> {
    let now = shared.clock.now();
    let ownership = shared.replay_ownership.load();
    let owner = find_key_owner(now, account, key, &ownership.roster);
    let is_owner = ownership
        .tenure
        .as_ref()
        .is_some_and(|tenure| tenure.has_all_keys_of(now, &owner));
    if !is_owner {
        return ReplayDecision::Unknown;
    }
    shared.replays.begin(now, account, key, digest, remaining)
}
