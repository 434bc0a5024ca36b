//! Requests with an idempotency key: the instance that owns the key decides whether they run.

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

/// Time the owner of a key has to answer: two crossings between regions and some processing.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Where the memory of a key is.
#[derive(Debug, Clone)]
enum ReplayOwner {
    /// In this process.
    Here,
    /// At a peer.
    Peer(PeerHandle),
    /// Nobody can tell whether the key was used.
    Gone,
}

/// A key with everything its owner needs to know.
#[derive(Debug, Clone)]
struct ReplayClaim {
    shared: Arc<SharedState>,
    owner: ReplayOwner,
    account: String,
    key: IdempotencyKey,
}

/// Runs the request at most once, however often its caller sends it.
///
/// The request goes on in a task of its own when its caller leaves, so that a repeat finds its answer.
///
/// # Errors
///
/// Returns why the request is refused.
pub async fn run_once(run: RequestRun) -> Result<Response, Refusal> {
    let claim = ReplayClaim::of(&run.context)?;
    let digest = RequestDigest(run.context.head.request_digest(run.body.bytes()));
    let remaining = run.context.remaining();
    let decision = claim.begin(digest, remaining).await.map_err(refuse)?;
    if let Some(kind) = decision.refusal_kind() {
        return Err(refuse(kind));
    }
    match decision {
        ReplayDecision::Run(ticket) => {
            let carried = tokio::spawn(async move {
                let outcome = run.carry().await;
                claim.finish(ticket, &outcome).await;
                outcome
            });
            match carried.await {
                Ok(outcome) => outcome.map(RelayedAnswer::into_response),
                Err(_) => Err(refuse(RefusalKind::OutcomeUnknown)),
            }
        }
        ReplayDecision::Answered(answer) => Ok(answer.to_response()),
        _ => Err(refuse(RefusalKind::OutcomeUnknown)),
    }
}

/// Refuses a request by what its key's owner said. The reason alone tells whether the request may have run.
fn refuse(kind: RefusalKind) -> Refusal {
    Refusal::new(kind, AttemptHistory::new(), true)
}

impl ReplayClaim {
    fn of(context: &RequestContext) -> Result<Self, Refusal> {
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
            ReplayOwner::Gone => return Ok(ReplayDecision::Unknown),
            ReplayOwner::Here => {
                let now = self.shared.clock.now();
                let replays = &self.shared.replays;
                return Ok(replays.begin(now, &self.account, &self.key, digest, remaining));
            }
            ReplayOwner::Peer(peer) => peer,
        };
        let message = replay_messages::begin_message(&self.account, &self.key, digest, remaining);
        let answer = peer
            .call(PeerBody::ReplayBegin(message), OWNER_TIMEOUT)
            .await;
        match answer {
            Ok(PeerBody::ReplayVerdict(verdict)) => Ok(replay_messages::read_verdict(verdict)),
            // The owner may have noted the key, or may know it from before.
            Ok(_) | Err(_) => Err(RefusalKind::KeyOwnerUnreachable),
        }
    }

    async fn finish(&self, ticket: ReplayTicket, outcome: &Result<RelayedAnswer, Refusal>) {
        let end = replay_end(outcome);
        match &self.owner {
            ReplayOwner::Gone => {}
            ReplayOwner::Here => {
                let now = self.shared.clock.now();
                self.shared
                    .replays
                    .finish(now, &self.account, &self.key, ticket, end);
            }
            ReplayOwner::Peer(peer) => {
                let message =
                    replay_messages::finish_message(&self.account, &self.key, ticket, &end);
                // A lost report leaves the key running until its deadline and unknown after it.
                let _ = peer
                    .call(PeerBody::ReplayFinish(message), OWNER_TIMEOUT)
                    .await;
            }
        }
    }
}

fn replay_end(outcome: &Result<RelayedAnswer, Refusal>) -> ReplayEnd<StoredAnswer> {
    match outcome {
        Ok(RelayedAnswer::Whole(answer)) if answer.is_storable() => ReplayEnd::Answered {
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
    let place = shared.replay_place.load();
    let owner = find_key_owner(now, account, key, &place.roster);
    if let Some(tenure) = &place.tenure
        && tenure.has_all_keys_of(now, &owner)
    {
        return ReplayOwner::Here;
    }
    let seat = match &owner {
        KeyOwner::Incarnation { seat, .. } | KeyOwner::Seat(seat) => seat,
        KeyOwner::Moved => return ReplayOwner::Gone,
    };
    let peer = place
        .holders
        .get(seat)
        .and_then(|instance| shared.peers.find(instance));
    peer.map_or(ReplayOwner::Gone, |peer| ReplayOwner::Peer(peer.handle))
}

/// Answers the question of another instance whether a request may run.
#[must_use]
pub fn begin_for_peer(
    shared: &SharedState,
    account: &str,
    key: &IdempotencyKey,
    digest: RequestDigest,
    remaining: Duration,
) -> ReplayDecision<StoredAnswer> {
    let now = shared.clock.now();
    let place = shared.replay_place.load();
    let owner = find_key_owner(now, account, key, &place.roster);
    let is_ours = place
        .tenure
        .as_ref()
        .is_some_and(|tenure| tenure.has_all_keys_of(now, &owner));
    if !is_ours {
        return ReplayDecision::Unknown;
    }
    shared.replays.begin(now, account, key, digest, remaining)
}
