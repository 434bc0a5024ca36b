//! The inputs of the decisions about one request, and its admission.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::CallerHead;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{AccountKey, PoolKey, RegionKey, RouteKey};
use coltsfootkeel_steering::{
    PlanMatch, QuotaBudget, RegionSet, RegionSpread, RoutePlan, TimeEstimate, combine_hashes,
    retry_after, stable_hash,
};
use http::header::{CONTENT_LENGTH, HOST};
use http::request::Parts;
use tokio::time::{Instant, timeout_at};

use crate::entry_snapshot::{EntrySnapshot, ListedPool};
use crate::rejection::{RejectKind, Rejection};
use crate::shared_state::SharedState;

/// The timeout of a request whose caller states no deadline, unless the timeout of its route is shorter.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a request of an account well within its rate waits for a refill: the time of two reports between instances
/// in a large fleet.
const MAX_QUOTA_WAIT: Duration = Duration::from_millis(750);
/// The shortest `Retry-After` of an account over its rate. After about this time its budget at this instance is
/// refilled.
const QUOTA_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An admitted request. It keeps the snapshot that was published when the request arrived.
#[derive(Debug)]
pub struct RequestContext {
    /// The state shared by all threads.
    pub shared: Arc<SharedState>,
    /// The plan and the upstreams at the arrival of the request.
    pub snapshot: Arc<EntrySnapshot>,
    /// The values of the caller's headers.
    pub head: CallerHead,
    /// The route that matches host and path.
    pub route: RouteKey,
    /// The pool whose upstreams may run the request.
    pub pool: PoolKey,
    /// The client account of the access key; `None` on public routes and in plans without accounts.
    pub account: Option<AccountKey>,
    /// The regions in which the request may run.
    pub regions: RegionSet,
    /// The priority of the request; zero is the most urgent.
    pub priority: u32,
    /// The hash of the object that the request concerns; `None` if the caller names none or the route has no affinity.
    pub object: Option<u64>,
    /// The hash that selects region and upstream: that of the object, or a random one without an object.
    pub placement_hash: u64,
    /// When the request arrived at this instance.
    pub arrived: MonotonicTime,
    /// The estimated time between the caller's first attempt and the arrival of this one.
    pub age: Duration,
    /// When the response must be complete.
    pub deadline: MonotonicTime,
}

/// The charge of a request to its client account. It is refunded when it is dropped, unless the request was sent to an
/// upstream.
#[derive(Debug, Default)]
pub struct AccountCharge {
    budget: Option<Arc<QuotaBudget>>,
    /// Whether the request, or a part of it, may have been sent.
    pub is_spent: bool,
}

impl Drop for AccountCharge {
    fn drop(&mut self) {
        if let Some(budget) = self.budget.take().filter(|_| !self.is_spent) {
            budget.refund();
        }
    }
}

impl RequestContext {
    /// Admits a request: finds its route and pool and checks its access key.
    ///
    /// # Errors
    ///
    /// Returns a rejection if no plan or route exists, the access key is missing or unknown, or the plan may be
    /// outdated.
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
        let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
        // A caller does not retry after 401 or 404, so they are reserved for what the newest plan lacks.
        let reject_unknown = |kind| {
            if shared.may_be_outdated(plan.version) {
                let after = retry_after(timeout, fastrand::f64());
                Rejection::not_run(RejectKind::StalePlan, Some(after))
            } else {
                reject(kind)
            }
        };
        let reject_unreadable = || {
            let after = retry_after(timeout, fastrand::f64());
            Rejection::not_run(RejectKind::UnreadablePart, Some(after))
        };
        let route = match find_route(&snapshot, parts) {
            PlanMatch::Found(route) => route,
            PlanMatch::Unreadable => return Err(reject_unreadable()),
            PlanMatch::Unknown => return Err(reject_unknown(RejectKind::NoRoute)),
        };
        let route_plan = &plan.routes[route];
        let timeout = timeout.min(route_plan.timeout);
        let mut account = None;
        if plan.has_accounts() && !route_plan.is_public {
            if !shared.allows_keys() {
                let after = retry_after(timeout, fastrand::f64());
                return Err(Rejection::not_run(RejectKind::StalePlan, Some(after)));
            }
            let key = head.access_key.as_deref();
            match key.map_or(PlanMatch::Unknown, |key| plan.account(key)) {
                PlanMatch::Found(found) => account = Some(found),
                PlanMatch::Unreadable => return Err(reject_unreadable()),
                PlanMatch::Unknown => return Err(reject_unknown(RejectKind::UnknownKey)),
            }
        }
        let pool = route_plan.pool(fastrand::f64());
        let pool = pool.ok_or_else(reject_unreadable)?;
        let account_plan = account.map(|account| &plan.accounts[account]);
        let object = head.object.as_deref().filter(|_| route_plan.has_affinity);
        let route_hash = || stable_hash(route_plan.path_prefix.as_bytes());
        let object =
            object.map(|object| combine_hashes(route_hash(), stable_hash(object.as_bytes())));
        Ok(Self {
            shared: Arc::clone(shared),
            priority: account_plan
                .and_then(|plan| plan.priority)
                .unwrap_or(route_plan.priority),
            regions: account_plan.map_or(route_plan.regions, |plan| {
                plan.regions.intersect(route_plan.regions)
            }),
            object,
            placement_hash: object.unwrap_or_else(|| fastrand::u64(..)),
            age: head.timeout.map_or(Duration::ZERO, |timeout| {
                snapshot.service_times[route].request_age(timeout)
            }),
            snapshot,
            head,
            route,
            pool,
            account,
            arrived,
            deadline: arrived + timeout,
        })
    }

    /// Charges the request to its client account, until the charge is dropped without being spent. If this instance's share of the rate is used up but the account is
    /// well within its limit, the request waits for the next refill: such an account sends few requests, and two of
    /// them may have arrived at the same instance.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the account is over its rate.
    pub async fn charge(&self) -> Result<AccountCharge, Rejection> {
        let Some(budget) = self.quota_budget() else {
            return Ok(AccountCharge::default());
        };
        budget.count_demand();
        let until = Instant::now() + MAX_QUOTA_WAIT;
        loop {
            let refilled = self.shared.quota_refilled.notified();
            if budget.try_admit() {
                return Ok(AccountCharge {
                    budget: Some(Arc::clone(budget)),
                    is_spent: false,
                });
            }
            if !budget.has_headroom() || timeout_at(until, refilled).await.is_err() {
                let after = QUOTA_RETRY_AFTER.mul_f64(1.0 + fastrand::f64());
                return Err(Rejection::not_run(RejectKind::OverQuota, Some(after)));
            }
        }
    }

    fn quota_budget(&self) -> Option<&Arc<QuotaBudget>> {
        self.snapshot.quotas[self.account?].as_ref()
    }

    /// Counts the work that the request offers to its pool, whether it will be served or not.
    pub fn count_offered(&self) {
        let state = &self.listed_pool().state;
        if state.is_divided() {
            let slot_time = state.slot_time.get();
            let slot_time = slot_time.unwrap_or(self.route_plan().objective);
            state.offered_work.count(self.regions, slot_time);
        }
    }

    /// Returns the plan of the request's route.
    #[must_use]
    pub fn route_plan(&self) -> &RoutePlan {
        &self.snapshot.plan.routes[self.route]
    }

    /// Returns the pool of the request with its upstreams.
    #[must_use]
    pub fn listed_pool(&self) -> &ListedPool {
        &self.snapshot.pools[self.pool]
    }

    /// Returns how the requests of the route are divided over the regions of the pool.
    #[must_use]
    pub fn spread(&self) -> Option<&RegionSpread> {
        let mut spreads = self.snapshot.spreads[self.route].iter();
        let found = spreads.find(|pool_spread| pool_spread.pool == self.pool)?;
        Some(&found.spread)
    }

    /// Returns the name of the client account; `None` on public routes and in plans without accounts.
    #[must_use]
    pub fn account_name(&self) -> Option<&str> {
        let account = self.account?;
        Some(&self.snapshot.plan.accounts[account].name)
    }

    /// Returns the expected response times, warm and cold, of upstreams in a region.
    #[must_use]
    pub fn time_estimate(&self, region: RegionKey) -> TimeEstimate {
        let round_trip = self.shared.round_trip(region);
        // Without measurements, the times are estimated as fractions of the objective, or of half the request's timeout
        // if that is shorter.
        let objective = self.route_plan().objective;
        let initial_estimate = objective.min(self.deadline.since(self.arrived) / 2);
        self.snapshot.service_times[self.route].estimate(region, round_trip, initial_estimate)
    }

    /// Returns the expected response times of upstreams in this instance's region.
    #[must_use]
    pub fn home_time_estimate(&self) -> TimeEstimate {
        self.time_estimate(self.shared.home.region)
    }

    /// Returns the time until the deadline; zero after it.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.deadline.since(self.shared.clock.now())
    }

    /// Returns the time within which the latency objective can still be met, counted from the caller's first attempt.
    #[must_use]
    pub fn objective_left(&self) -> Duration {
        let objective = self.route_plan().objective.saturating_sub(self.age);
        (self.arrived + objective).since(self.shared.clock.now())
    }

    /// Returns the `Retry-After` for a request that is rejected now.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        retry_after(self.caller_time_left(), fastrand::f64())
    }

    /// Returns the time for which the caller still waits for this or another attempt.
    #[must_use]
    pub fn caller_time_left(&self) -> Duration {
        let waited = self.shared.clock.now().since(self.arrived);
        let timeout = self.head.timeout.unwrap_or(DEFAULT_TIMEOUT);
        timeout.saturating_sub(waited)
    }

    /// Returns a hash of method, target, account and body, which is equal for every attempt of the same request.
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

/// Returns the route that the host and path of a request select.
pub(crate) fn find_route(snapshot: &EntrySnapshot, parts: &Parts) -> PlanMatch<RouteKey> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    match named.or(parts.uri.host()) {
        Some(host) => snapshot.plan.route(host, parts.uri.path()),
        None => PlanMatch::Unknown,
    }
}

/// Returns the value of `Content-Length`; `None` if the header is missing or invalid.
#[must_use]
pub fn body_length(parts: &Parts) -> Option<u64> {
    let length = parts.headers.get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
