//! Context of an admitted request: its route, account, deadline and the snapshot that it uses.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    AdmittedRequest, BodyDigest, IsolationDecision, RefusalKind, RequestHead, SuspectFingerprint,
    admit_request,
};
use coltsfootkeel_model::{AccountKey, RouteRecord};

use crate::caller_request::CallerHead;
use crate::fleet_snapshot::FleetSnapshot;
use crate::key_withdrawal::WithdrawalFlag;
use crate::shared_state::SharedState;

/// The tokens that one request takes from the rate limit of its client account, in milli-tokens.
const REQUEST_COST_MILLI_TOKENS: i64 = 1_000;

/// Delays between attempts to take a token from an empty bucket. They add up to 150 ms, a round trip between regions,
/// in which a requested loan can arrive.
const TOKEN_RETRY_DELAYS: [Duration; 6] = [
    Duration::from_millis(5),
    Duration::from_millis(10),
    Duration::from_millis(15),
    Duration::from_millis(30),
    Duration::from_millis(40),
    Duration::from_millis(50),
];

/// The data of an admitted request that all steps of its processing use.
#[derive(Debug)]
pub struct RequestContext {
    /// The state that all threads share.
    pub shared: Arc<SharedState>,
    /// The configuration that was in force when the request arrived. The request uses it until its end.
    pub snapshot: Arc<FleetSnapshot>,
    /// The head of the request.
    pub head: CallerHead,
    /// The route and the client account of the request.
    pub admitted: AdmittedRequest,
    /// Whether the request may run twice without a second effect.
    pub idempotent: bool,
    /// The time by which the request must have ended.
    pub deadline: MonotonicTime,
    /// The withdrawal flag of the access key; `None` on a route that is open to all.
    pub withdrawal_flag: Option<Arc<WithdrawalFlag>>,
    /// The id of the request, unique in the fleet.
    pub request_id: String,
}

impl RequestContext {
    /// Checks whether a request may run, and creates its context.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal if there is no configuration, the path matches no route, the access key is not
    /// accepted, the department of the route is drained, or the configuration is too old for the route's isolation
    /// rule.
    pub fn admit(
        shared: &Arc<SharedState>,
        head: CallerHead,
        request_id: String,
    ) -> Result<Self, RefusalKind> {
        let snapshot = shared.snapshot.load_full().ok_or(RefusalKind::NotReady)?;
        let admitted = admit_request(&snapshot.config, &head.path, head.access_digest)?;
        let route = &snapshot.config.routes[admitted.route];
        if snapshot
            .config
            .drains
            .departments
            .contains(&route.department)
        {
            return Err(RefusalKind::Leaving);
        }
        let now = shared.clock.now();
        let is_keyed = admitted.account.is_some();
        if is_keyed && shared.staleness.decide(route.isolation, now) == IsolationDecision::Refuse {
            return Err(RefusalKind::Isolated);
        }
        let withdrawal_flag = match head.access_digest {
            Some(digest) if is_keyed => snapshot.withdrawals.find(digest),
            _ => None,
        };
        Ok(Self {
            idempotent: route.is_idempotent(head.method.as_str()),
            deadline: now + route.deadline,
            shared: Arc::clone(shared),
            snapshot,
            head,
            admitted,
            withdrawal_flag,
            request_id,
        })
    }

    /// Returns the route of the request.
    #[must_use]
    pub fn route(&self) -> &RouteRecord {
        &self.snapshot.config.routes[self.admitted.route]
    }

    /// Returns the name of the client account, or an empty string on a route that is open to all.
    #[must_use]
    pub fn account_name(&self) -> &str {
        match self.admitted.account {
            Some(account) => &self.snapshot.config.accounts[account].name,
            None => "",
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.shared.clock.now()
    }

    /// Returns the time until the deadline, or zero if it has passed.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.now())
    }

    /// Returns whether the access key was withdrawn since the request arrived.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawal_flag
            .as_ref()
            .is_some_and(|flag| flag.is_withdrawn())
    }

    /// Takes a token from the bucket of the client account. If the bucket is empty, it records a shortage, so that the
    /// control thread requests a loan, and tries again after each of the [`TOKEN_RETRY_DELAYS`].
    ///
    /// # Errors
    ///
    /// Returns [`RefusalKind::OverRate`] if the bucket is still empty after the last attempt.
    pub async fn take_token(&self) -> Result<(), RefusalKind> {
        let Some(account) = self.admitted.account else {
            return Ok(());
        };
        if self.try_take_token(account) {
            return Ok(());
        }
        self.snapshot.accounts[account].shortages.record();
        for delay in TOKEN_RETRY_DELAYS {
            tokio::time::sleep(delay).await;
            if self.try_take_token(account) {
                return Ok(());
            }
        }
        Err(RefusalKind::OverRate)
    }

    /// Returns the fingerprint by which the request is counted as a crash suspect.
    #[must_use]
    pub fn fingerprint(&self, body: BodyDigest) -> SuspectFingerprint {
        self.request_head().with_body(body)
    }

    /// Returns the parts of the head that the fingerprint covers.
    #[must_use]
    pub fn request_head(&self) -> RequestHead<'_> {
        RequestHead {
            account: self.account_name(),
            method: self.head.method.as_str(),
            target: &self.head.path_and_query,
            content_length: self.head.content_length,
        }
    }

    fn try_take_token(&self, account: AccountKey) -> bool {
        self.shared.spend_lease.is_valid(self.now())
            && self.snapshot.accounts[account]
                .bucket
                .try_take(REQUEST_COST_MILLI_TOKENS)
    }
}
