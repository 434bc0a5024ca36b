//! The active routing plan: routes, pools and client accounts with resolved references.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_model::{AccountKey, Arena, PoolKey, RouteKey};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::raw_plan::{CallerLimits, RawAccount, RawPlan, RawRoute, RouteKind};
use crate::regions::topology::{FleetTopology, RegionSet};

/// SHA-256 digest of an access key. The plan does not retain the keys themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of an access key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// A pool that serves a route, with its cumulative weight.
#[derive(Debug, Clone, Copy)]
pub struct WeightedPool {
    /// Key of the pool in [`SteeringPlan::pools`].
    pub pool: PoolKey,
    /// Sum of the weights of this pool and all pools before it, at most [`RoutePlan::total_weight`].
    pub cumulative_weight: f64,
}

/// A route with resolved pools and regions.
#[derive(Debug)]
pub struct RoutePlan {
    /// Name of the route.
    pub name: String,
    /// Prefix that request paths must start with.
    pub path_prefix: String,
    /// Whether requests may be repeated, and whether they have large bodies.
    pub kind: RouteKind,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Priority of its requests in the queue; zero is the most urgent.
    pub priority: u32,
    /// The pools that serve the route, all with a positive weight.
    pub weighted_pools: Vec<WeightedPool>,
    /// Sum of the weights of all pools.
    pub total_weight: f64,
    /// Maximum number of upstreams that one request is sent to; at least one.
    pub max_attempts: u32,
    /// Whether requests need no access key.
    pub is_public: bool,
    /// Whether an upstream answers faster for an object that it has cached.
    pub has_affinity: bool,
    /// The regions that may serve the route.
    pub regions: RegionSet,
}

impl RoutePlan {
    /// Returns whether its requests may be executed more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Download)
    }

    /// Returns whether its requests have large bodies.
    #[must_use]
    pub fn has_large_bodies(&self) -> bool {
        self.kind == RouteKind::Upload
    }

    /// Returns whether the answers to its requests are large.
    #[must_use]
    pub fn has_large_answers(&self) -> bool {
        self.kind == RouteKind::Download
    }

    /// Returns the pool for a request, where `uniform` is a random number from 0 to 1; `None` if the route has no pool.
    #[must_use]
    pub fn pool(&self, uniform: f64) -> Option<PoolKey> {
        let point = uniform * self.total_weight;
        let weighted_pool = self
            .weighted_pools
            .iter()
            .find(|weighted_pool| point < weighted_pool.cumulative_weight);
        weighted_pool
            .or(self.weighted_pools.last())
            .map(|weighted_pool| weighted_pool.pool)
    }
}

/// Settings of a pool of upstreams.
#[derive(Debug, PartialEq)]
pub struct PoolPlan {
    /// Name of the pool.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Duration of the cold start of an upstream.
    pub cold_start: Duration,
    /// Requests per second that a cold upstream can handle.
    pub cold_per_s: f64,
}

/// A client account.
#[derive(Debug)]
pub struct AccountPlan {
    /// Name of the account.
    pub name: String,
    /// Priority of its requests; `None` for the priority of the route.
    pub priority: Option<u32>,
    /// Requests per second over all instances; `None` for no limit.
    pub rate_per_s: Option<f64>,
    /// Requests that may arrive at once in addition to the rate.
    pub burst: f64,
    /// The regions that may serve the account.
    pub regions: RegionSet,
}

/// The active plan with lookup tables for hosts and access keys.
#[derive(Debug)]
pub struct SteeringPlan {
    /// Version of the plan, which never decreases.
    pub version: u64,
    /// All routes.
    pub routes: Arena<RouteKey, RoutePlan>,
    /// All pools.
    pub pools: Arena<PoolKey, PoolPlan>,
    /// All client accounts.
    pub accounts: Arena<AccountKey, AccountPlan>,
    /// Limits for connections and requests of callers.
    pub limits: CallerLimits,
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<KeyDigest, AccountKey>,
}

/// Reason why a plan is invalid.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// A route refers to a pool that the plan does not contain.
    #[error("route '{route}' names the unknown pool '{pool}'")]
    UnknownPool {
        /// Name of the route.
        route: String,
        /// Name of the missing pool.
        pool: String,
    },
    /// No target of the named route has a positive weight.
    #[error("route '{0}' has no target with a positive weight")]
    NoTarget(String),
    /// The two named accounts have the same access key.
    #[error("accounts '{0}' and '{1}' hold the same access key")]
    SharedKey(String, String),
}

impl SteeringPlan {
    /// Builds a plan from raw records and resolves their references.
    ///
    /// # Errors
    ///
    /// Returns an error for the first record that is invalid.
    pub fn build(raw: RawPlan, topology: &FleetTopology) -> Result<Self, PlanError> {
        let pools: Arena<PoolKey, PoolPlan> = raw
            .pools
            .into_iter()
            .map(|pool| PoolPlan {
                name: pool.name,
                health_path: pool.health_path,
                cold_start: pool.cold_start,
                cold_per_s: pool.cold_per_s,
            })
            .collect();
        let mut routes = Arena::new();
        let mut hosts: HashMap<String, Vec<RouteKey>> = HashMap::new();
        for raw_route in raw.routes {
            let host = raw_route.host.to_ascii_lowercase();
            let route = build_route(raw_route, &pools, topology)?;
            hosts.entry(host).or_default().push(routes.push(route));
        }
        for keys in hosts.values_mut() {
            let length = |key: &RouteKey| routes[*key].path_prefix.len();
            keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
        }
        let (accounts, keys) = build_accounts(raw.accounts, topology)?;
        Ok(Self {
            version: raw.version,
            routes,
            pools,
            accounts,
            limits: raw.limits,
            hosts,
            keys,
        })
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let keys = match self.hosts.get(name) {
            Some(keys) => keys,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut keys = keys.iter().copied();
        keys.find(|key| path.starts_with(&self.routes[*key].path_prefix))
    }

    /// Returns the account that the access key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<AccountKey> {
        self.keys.get(&KeyDigest::of(key)).copied()
    }

    /// Returns whether the plan has accounts, in which case requests need an access key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the regions in which at least one route of the host may be served; all regions for an unknown host.
    #[must_use]
    pub fn host_regions(&self, host: &str) -> RegionSet {
        let keys = self.hosts.get(&host.to_ascii_lowercase());
        let regions = keys
            .into_iter()
            .flatten()
            .map(|key| self.routes[*key].regions);
        regions.reduce(RegionSet::union).unwrap_or(RegionSet::ANY)
    }
}

fn build_route(
    raw: RawRoute,
    pools: &Arena<PoolKey, PoolPlan>,
    topology: &FleetTopology,
) -> Result<RoutePlan, PlanError> {
    let mut total_weight = 0.0;
    let mut weighted_pools = Vec::new();
    for target in raw.targets {
        let pool = pools.find(|pool| pool.name == target.pool);
        let pool = pool.ok_or_else(|| PlanError::UnknownPool {
            route: raw.name.clone(),
            pool: target.pool.clone(),
        })?;
        if target.weight > 0.0 {
            total_weight += target.weight;
            weighted_pools.push(WeightedPool {
                pool,
                cumulative_weight: total_weight,
            });
        }
    }
    if weighted_pools.is_empty() {
        return Err(PlanError::NoTarget(raw.name));
    }
    Ok(RoutePlan {
        name: raw.name,
        path_prefix: raw.path_prefix,
        kind: raw.kind,
        timeout: raw.timeout,
        objective: raw.objective,
        priority: raw.priority,
        weighted_pools,
        total_weight,
        max_attempts: raw.max_attempts.max(1),
        is_public: raw.is_public,
        has_affinity: raw.has_affinity,
        regions: topology.region_set(&raw.regions),
    })
}

type AccountIndex = (
    Arena<AccountKey, AccountPlan>,
    HashMap<KeyDigest, AccountKey>,
);

fn build_accounts(
    raw: Vec<RawAccount>,
    topology: &FleetTopology,
) -> Result<AccountIndex, PlanError> {
    let mut accounts: Arena<AccountKey, AccountPlan> = Arena::new();
    let mut keys = HashMap::new();
    for raw_account in raw {
        let account = accounts.push(AccountPlan {
            priority: raw_account.priority,
            rate_per_s: (raw_account.rate_per_s > 0.0).then_some(raw_account.rate_per_s),
            burst: raw_account.burst.max(0.0),
            regions: topology.region_set(&raw_account.regions),
            name: raw_account.name,
        });
        for access_key in raw_account.access_keys {
            if let Some(holder) = keys.insert(KeyDigest::of(&access_key), account)
                && holder != account
            {
                let names = [holder, account].map(|key| accounts[key].name.clone());
                let [first, second] = names;
                return Err(PlanError::SharedKey(first, second));
            }
        }
    }
    Ok((accounts, keys))
}
