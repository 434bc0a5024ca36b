//! The plan in force together with the upstreams and the counters that request threads use.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootkeel_model::{AccountKey, Arena, PoolKey, RouteKey, UpstreamKey};
use coltsfootkeel_steering::{
    AverageTime, CacheEstimator, QuotaBudget, RequestQueue, RetryBudget, ServiceTimes,
    SteeringPlan, UpstreamState,
};
use coltsfootkeel_transport::UpstreamLink;
use tokio::sync::oneshot;

/// Wakes a request that waits for an upstream.
pub type TurnSender = oneshot::Sender<()>;

/// An upstream of the list.
#[derive(Debug, Clone)]
pub struct ListedUpstream {
    /// What is known of it.
    pub state: Arc<UpstreamState>,
    /// The connections to it.
    pub link: Arc<UpstreamLink>,
    /// Its address.
    pub address: SocketAddr,
}

/// State of a pool that outlives a plan.
#[derive(Debug, Clone, Default)]
pub struct PoolState {
    /// Requests that wait.
    pub line: Arc<RequestQueue<TurnSender>>,
    /// Retries that are left.
    pub retries: Arc<RetryBudget>,
    /// How many objects its upstreams remember.
    pub memory: Arc<CacheEstimator>,
    /// How long a request uses a slot, on average.
    pub slot_time: Arc<AverageTime>,
}

/// A pool of the plan with its upstreams.
#[derive(Debug)]
pub struct ListedPool {
    /// Its upstreams.
    pub upstreams: Vec<UpstreamKey>,
    /// Its state.
    pub state: PoolState,
}

/// What request threads use. A snapshot does not change; the control thread publishes the next one.
#[derive(Debug)]
pub struct EntrySnapshot {
    /// The plan.
    pub plan: Arc<SteeringPlan>,
    /// The upstreams.
    pub upstreams: Arena<UpstreamKey, ListedUpstream>,
    /// The pools.
    pub pools: Arena<PoolKey, ListedPool>,
    /// Service times of the routes.
    pub times: Arena<RouteKey, Arc<ServiceTimes>>,
    /// Limits of the client accounts; nothing for no limit.
    pub quotas: Arena<AccountKey, Option<Arc<QuotaBudget>>>,
}
