//! What the steps of one request share.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::CallerHead;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{AccountKey, PoolKey, RegionKey, RouteKey};
use coltsfootkeel_steering::{
    QuotaBudget, RegionSet, RoutePlan, TimeEstimate, combine_hashes, retry_after, stable_hash,
};
use http::header::{CONTENT_LENGTH, HOST};
use http::request::Parts;
use tokio::time::{Instant, timeout_at};

use crate::entry_snapshot::{EntrySnapshot, ListedPool};
use crate::rejection::{RejectKind, Rejection};
use crate::shared_state::SharedState;

/// How long a caller without a deadline is kept waiting at most, if its route allows it.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// How long a request of an account well within its rate waits for a refill: as long as two reports in a large fleet.
const QUOTA_WAIT: Duration = Duration::from_millis(750);
/// An account over its rate has a share again after about this time.
const QUOTA_RETRY: Duration = Duration::from_millis(500);

/// One admitted request.
#[derive(Debug)]
pub struct RequestContext {
    /// The shared state.
    pub shared: Arc<SharedState>,
    /// The plan in force when the request arrived.
    pub snapshot: Arc<EntrySnapshot>,
    /// What the caller said.
    pub head: CallerHead,
    /// Its route.
    pub route: RouteKey,
    /// Its pool.
    pub pool: PoolKey,
    /// Its account.
    pub account: Option<AccountKey>,
    /// The regions in which it may run.
    pub regions: RegionSet,
    /// Its rank; zero is the most urgent.
    pub rank: u32,
    /// The hash of the object that it concerns, if upstreams are faster with objects they know.
    pub object: Option<u64>,
    /// When it arrived.
    pub arrived: MonotonicTime,
    /// How long before that its caller sent it first.
    pub age: Duration,
    /// When it must have its final answer.
    pub deadline: MonotonicTime,
}

impl RequestContext {
    /// Checks whether a request may run.
    ///
    /// # Errors
    ///
    /// Returns why it may not. It has not run then.
    pub fn admit(
        shared: &Arc<SharedState>,
        parts: &Parts,
        head: CallerHead,
        arrived: MonotonicTime,
    ) -> Result<Self, Rejection> {
        let reject = |kind| Rejection::not_run(kind, None);
        let snapshot = shared.snapshot.load_full();
        let snapshot = snapshot.ok_or_else(|| reject(RejectKind::NotReady))?;
        let plan = Arc::clone(&snapshot.plan);
        let route = find_route(&snapshot, parts).ok_or_else(|| reject(RejectKind::NoRoute))?;
        let route_plan = &plan.routes[route];
        let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
        let patience = patience.min(route_plan.timeout);
        let mut account = None;
        if plan.has_accounts() && !route_plan.is_public {
            if !shared.allows_keys() {
                let after = retry_after(patience, fastrand::f64());
                return Err(Rejection::not_run(RejectKind::StalePlan, Some(after)));
            }
            let key = head.access_key.as_deref();
            account = key.and_then(|key| plan.account(key));
            if account.is_none() {
                return Err(reject(RejectKind::UnknownKey));
            }
        }
        let pool = route_plan.pool(fastrand::f64());
        let pool = pool.ok_or_else(|| reject(RejectKind::NoRoute))?;
        let account_plan = account.map(|account| &plan.accounts[account]);
        let object = head.object.as_deref().filter(|_| route_plan.is_sticky);
        let route_hash = || stable_hash(route_plan.path_prefix.as_bytes());
        Ok(Self {
            shared: Arc::clone(shared),
            rank: account_plan
                .and_then(|plan| plan.priority)
                .unwrap_or(route_plan.priority),
            regions: account_plan.map_or(route_plan.regions, |plan| {
                plan.regions.intersect(route_plan.regions)
            }),
            object: object
                .map(|object| combine_hashes(route_hash(), stable_hash(object.as_bytes()))),
            age: head.patience.map_or(Duration::ZERO, |patience| {
                snapshot.times[route].request_age(patience)
            }),
            snapshot,
            head,
            route,
            pool,
            account,
            arrived,
            deadline: arrived + patience,
        })
    }

    /// Charges the account. A request that finds this instance's part used up waits for the next refill if the account is
    /// well within its limit: its requests are few, and two of them came to the same instance.
    ///
    /// # Errors
    ///
    /// Returns the refusal of an account over its rate.
    pub async fn charge(&self) -> Result<(), Rejection> {
        let Some(gate) = self.quota() else {
            return Ok(());
        };
        gate.count_demand();
        let until = Instant::now() + QUOTA_WAIT;
        loop {
            let refilled = self.shared.quota_refilled.notified();
            if gate.try_admit() {
                return Ok(());
            }
            if !gate.has_headroom() || timeout_at(until, refilled).await.is_err() {
                let after = QUOTA_RETRY.mul_f64(1.0 + fastrand::f64());
                return Err(Rejection::not_run(RejectKind::OverQuota, Some(after)));
            }
        }
    }

    /// Gives back the charge of a request that no upstream was sent.
    pub fn refund(&self) {
        if let Some(gate) = self.quota() {
            gate.refund();
        }
    }

    fn quota(&self) -> Option<&QuotaBudget> {
        self.snapshot.quotas[self.account?].as_deref()
    }

    /// Returns the route.
    #[must_use]
    pub fn route_plan(&self) -> &RoutePlan {
        &self.snapshot.plan.routes[self.route]
    }

    /// Returns the pool with its upstreams.
    #[must_use]
    pub fn listed_pool(&self) -> &ListedPool {
        &self.snapshot.pools[self.pool]
    }

    /// Returns the name of the account.
    #[must_use]
    pub fn account_name(&self) -> Option<&str> {
        let account = self.account?;
        Some(&self.snapshot.plan.accounts[account].name)
    }

    /// Returns the expected times in a region.
    #[must_use]
    pub fn times(&self, region: RegionKey) -> TimeEstimate {
        let distance = self.shared.distance(region);
        // Until times are learned, a route whose timeout is short is taken to have short requests.
        let objective = self.route_plan().objective;
        let first_guess = objective.min(self.deadline.since(self.arrived) / 2);
        self.snapshot.times[self.route].estimate(region, distance, first_guess)
    }

    /// Returns the expected times in the instance's own region.
    #[must_use]
    pub fn home_times(&self) -> TimeEstimate {
        self.times(self.shared.home.region)
    }

    /// Returns what is left of the deadline.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.shared.clock.now())
    }

    /// Returns what is left of the objective.
    #[must_use]
    pub fn objective_left(&self) -> Duration {
        let objective = self.route_plan().objective.saturating_sub(self.age);
        (self.arrived + objective).since(self.shared.clock.now())
    }

    /// Returns when a caller that is refused now should come back.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let waited = self.shared.clock.now().since(self.arrived);
        let patience = self.head.patience.unwrap_or(DEFAULT_PATIENCE);
        retry_after(patience.saturating_sub(waited), fastrand::f64())
    }

    /// Returns the fingerprint of the request: a caller that sends it again sends the same.
    #[must_use]
    pub fn fingerprint(&self, parts: &Parts, body: &[u8]) -> u64 {
        let path = stable_hash(parts.uri.path().as_bytes());
        let query = stable_hash(parts.uri.query().unwrap_or_default().as_bytes());
        let account = stable_hash(self.account_name().unwrap_or_default().as_bytes());
        let target = combine_hashes(combine_hashes(path, query), account);
        combine_hashes(
            target,
            combine_hashes(
                stable_hash(parts.method.as_str().as_bytes()),
                stable_hash(body),
            ),
        )
    }
}

fn find_route(snapshot: &EntrySnapshot, parts: &Parts) -> Option<RouteKey> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or(parts.uri.host())?;
    snapshot.plan.route(host, parts.uri.path())
}

/// Returns the length of the body if the head states it.
#[must_use]
pub fn body_length(parts: &Parts) -> Option<u64> {
    let length = parts.headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
