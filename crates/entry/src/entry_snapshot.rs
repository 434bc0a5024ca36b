//! The snapshot that request threads use: the active plan, its upstreams and their counters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use coltsfootkeel_model::{AccountKey, Arena, PoolKey, RegionKey, RouteKey, UpstreamKey};
use coltsfootkeel_steering::{
    AverageTime, CacheEstimator, CompetingRequests, CompletionRate, DemandDivision, FairQueue,
    OfferedWork, QueueLoad, QuotaBudget, RegionSpread, RequestQueue, RetryBudget, ReturnSchedule,
    ServiceTimes, SpillBudget, SteeringPlan, UpstreamState,
};
use coltsfootkeel_transport::UpstreamClient;
use tokio::sync::oneshot;

/// Wakes a request that waits in the queue of a pool.
pub type WakeSender = oneshot::Sender<()>;

/// What a request in the fair queue of a pool is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueSignal {
    /// It may look for a slot.
    Turn,
    /// Its turn is no longer expected in time.
    GiveUp,
}

/// Signals a request that waits in the fair queue of a pool.
pub type SignalSender = oneshot::Sender<QueueSignal>;

/// An upstream in the store's list, with the state and connections that request threads share.
#[derive(Debug, Clone)]
pub struct ListedUpstream {
    /// Its requests in flight, failures, slowness and flags.
    pub state: Arc<UpstreamState>,
    /// The idle connections to it.
    pub client: Arc<UpstreamClient>,
    /// The address at which it receives requests.
    pub address: SocketAddr,
}

/// What the settings of the instance ask for in all pools.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolSwitches {
    /// Callers compete for the room of the upstreams.
    pub is_contended: bool,
    /// The work of contended pools is divided over the regions by demand.
    pub is_divided: bool,
}

/// The state of a pool that is kept across plans.
#[derive(Debug, Clone, Default)]
pub struct PoolState {
    /// The requests that wait for a free slot in any region.
    pub request_queue: Arc<RequestQueue<WakeSender>>,
    /// The budget of retries and hedged requests.
    pub retry_budget: Arc<RetryBudget>,
    /// The estimate of how many objects each upstream caches.
    pub cache_estimator: Arc<CacheEstimator>,
    /// The average time for which a request occupies a slot.
    pub slot_time: Arc<AverageTime>,
    /// The requests that may change the region of their object.
    pub spill_budget: Arc<SpillBudget>,
    /// Whether an upstream of the pool has stated the present cost of work on its machine, so that the room of the pool
    /// changes many times a second.
    pub states_cost: Arc<AtomicBool>,
    /// What the settings ask for.
    pub switches: PoolSwitches,
    /// The requests that wait for a free slot while the pool is contended.
    pub fair_queue: Arc<FairQueue<SignalSender>>,
    /// The rate at which this instance completes requests.
    pub completions: Arc<CompletionRate>,
    /// What waits at the other instances.
    pub others: Arc<ArcSwap<QueueLoad>>,
    /// The upstreams for which it waits.
    pub competing_elsewhere: Arc<ArcSwap<CompetingRequests>>,
    /// When refused callers return.
    pub returns: Arc<ReturnSchedule>,
    /// The work that callers offer, counted if the pool is divided by demand.
    pub offered_work: Arc<OfferedWork>,
    /// The latest division of the demand; `None` if the pool is not divided by demand.
    pub division: Arc<ArcSwapOption<PoolDivision>>,
}

impl PoolState {
    /// Returns whether the requests of the pool are divided over the regions by demand.
    #[must_use]
    pub fn is_divided(&self) -> bool {
        self.switches.is_divided && self.is_contended()
    }

    /// Returns whether callers compete for the room of the pool, so that its requests wait in the fair queue.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.switches.is_contended || self.states_cost.load(Ordering::Relaxed)
    }
}

/// The division of the demand for a pool with its inputs.
#[derive(Debug)]
pub struct PoolDivision {
    /// The division for the callers of this instance's region.
    pub division: DemandDivision,
    /// The demand of each region's callers in slots.
    pub demands: Arena<RegionKey, f64>,
    /// The room of each region in slots.
    pub rooms: Arena<RegionKey, f64>,
}

/// A pool of the plan with its upstreams and its state.
#[derive(Debug)]
pub struct ListedPool {
    /// The keys of its upstreams in the snapshot.
    pub upstreams: Vec<UpstreamKey>,
    /// The state that is kept across plans.
    pub state: PoolState,
}

/// How a route's requests are divided over the regions of one of its pools.
#[derive(Debug, Clone)]
pub struct PoolSpread {
    /// The key of the pool.
    pub pool: PoolKey,
    /// The fractions of the requests by region.
    pub spread: Arc<RegionSpread>,
}

/// An immutable snapshot for request threads. The control thread publishes a new one on each change.
#[derive(Debug)]
pub struct EntrySnapshot {
    /// The active plan.
    pub plan: Arc<SteeringPlan>,
    /// The upstreams of all pools.
    pub upstreams: Arena<UpstreamKey, ListedUpstream>,
    /// The pools of the plan, under the same keys.
    pub pools: Arena<PoolKey, ListedPool>,
    /// The measured response times of the plan's routes, under the same keys.
    pub service_times: Arena<RouteKey, Arc<ServiceTimes>>,
    /// The spreads of the plan's routes, under the same keys: one for each pool of the route.
    pub spreads: Arena<RouteKey, Vec<PoolSpread>>,
    /// The quota budgets of the plan's client accounts, under the same keys; `None` for an account without a limit.
    pub quotas: Arena<AccountKey, Option<Arc<QuotaBudget>>>,
}
