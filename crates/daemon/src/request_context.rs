//! What the steps of one request share.

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

/// The cost of one request in milli-tokens.
const REQUEST_COST: i64 = 1_000;

/// Waits between two looks at a bucket that was empty, 150 ms together: two crossings between regions, in which a loan
/// arrives.
const TOKEN_WAITS: [Duration; 6] = [
    Duration::from_millis(5),
    Duration::from_millis(10),
    Duration::from_millis(15),
    Duration::from_millis(30),
    Duration::from_millis(40),
    Duration::from_millis(50),
];

/// One admitted request.
#[derive(Debug)]
pub struct RequestContext {
    /// The shared state.
    pub shared: Arc<SharedState>,
    /// The configuration in force when the request arrived.
    pub snapshot: Arc<FleetSnapshot>,
    /// The head of the request.
    pub head: CallerHead,
    /// Its route and account.
    pub admitted: AdmittedRequest,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// When it must have ended.
    pub deadline: MonotonicTime,
    /// Tells when its access key is withdrawn.
    pub watch: Option<Arc<WithdrawalFlag>>,
    /// Its id.
    pub request_id: String,
}

impl RequestContext {
    /// Checks whether a request may run.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn admit(
        shared: &Arc<SharedState>,
        head: CallerHead,
        request_id: String,
    ) -> Result<Self, RefusalKind> {
        let snapshot = shared.snapshot.load_full().ok_or(RefusalKind::NotReady)?;
        let admitted = admit_request(&snapshot.config, &head.path, head.access)?;
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
        let watch = match head.access {
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
            watch,
            request_id,
        })
    }

    /// Returns the route.
    #[must_use]
    pub fn route(&self) -> &RouteRecord {
        &self.snapshot.config.routes[self.admitted.route]
    }

    /// Returns the name of the account, or nothing on a route that is open to all.
    #[must_use]
    pub fn account_name(&self) -> &str {
        match self.admitted.account {
            Some(account) => &self.snapshot.config.accounts[account].name,
            None => "",
        }
    }

    /// Returns the time now.
    #[must_use]
    pub fn now(&self) -> MonotonicTime {
        self.shared.clock.now()
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.now())
    }

    /// Tells whether the access key was withdrawn since the request arrived.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.watch
            .as_ref()
            .is_some_and(|watch| watch.is_withdrawn())
    }

    /// Takes a token of the account's rate, and waits a moment for a loan if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalKind::OverRate`] if no token came.
    pub async fn take_token(&self) -> Result<(), RefusalKind> {
        let Some(account) = self.admitted.account else {
            return Ok(());
        };
        if self.try_take_token(account) {
            return Ok(());
        }
        self.snapshot.accounts[account].shortages.record();
        for wait in TOKEN_WAITS {
            tokio::time::sleep(wait).await;
            if self.try_take_token(account) {
                return Ok(());
            }
        }
        Err(RefusalKind::OverRate)
    }

    /// Returns the fingerprint that tells this request from others.
    #[must_use]
    pub fn fingerprint(&self, body: BodyDigest) -> SuspectFingerprint {
        self.suspect_head().with_body(body)
    }

    /// Returns the parts of the head that take part in the fingerprint.
    #[must_use]
    pub fn suspect_head(&self) -> RequestHead<'_> {
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
                .try_take(REQUEST_COST)
    }
}
