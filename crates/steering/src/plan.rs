//! The routing plan in force: routes, pools and client accounts, with every reference resolved.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_model::{AccountKey, Arena, PoolKey, RouteKey};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::raw_plan::{CallerLimits, RawAccount, RawPlan, RawRoute, RouteKind};
use crate::topology::{FleetTopology, RegionSet};

/// The SHA-256 digest of an access key. Keys themselves are not kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// A pool's part of a route.
#[derive(Debug, Clone, Copy)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolKey,
    /// The sum of the weights up to and with this share, of [`RoutePlan::total_weight`].
    pub cumulative_weight: f64,
}

/// A route.
#[derive(Debug)]
pub struct RoutePlan {
    /// Its name.
    pub name: String,
    /// The beginning of its paths.
    pub path_prefix: String,
    /// What its requests are like.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub objective: Duration,
    /// The rank of its requests; zero is the most urgent.
    pub priority: u32,
    /// The pools that serve it.
    pub weighted_pools: Vec<WeightedPool>,
    /// The sum of the weights.
    pub total_weight: f64,
    /// The most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no access key.
    pub is_public: bool,
    /// Whether an upstream that handled an object lately is faster with it.
    pub is_sticky: bool,
    /// The regions that may serve it.
    pub regions: RegionSet,
}

impl RoutePlan {
    /// Tells whether its requests may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent
    }

    /// Tells whether its requests have large bodies.
    #[must_use]
    pub fn has_large_bodies(&self) -> bool {
        self.kind == RouteKind::Upload
    }

    /// Returns the pool for a request, given a number that is uniform in 0 to 1.
    #[must_use]
    pub fn pool(&self, uniform: f64) -> Option<PoolKey> {
        let point = uniform * self.total_weight;
        let share = self
            .weighted_pools
            .iter()
            .find(|share| point < share.cumulative_weight);
        share.or(self.weighted_pools.last()).map(|share| share.pool)
    }
}

/// A pool of upstreams.
#[derive(Debug, PartialEq)]
pub struct PoolPlan {
    /// Its name.
    pub name: String,
    /// The path of the health check.
    pub health_path: String,
    /// How long an upstream is cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold upstream bears.
    pub cold_per_s: f64,
}

/// A client account.
#[derive(Debug)]
pub struct AccountPlan {
    /// Its name.
    pub name: String,
    /// The rank of its requests, in place of the route's.
    pub priority: Option<u32>,
    /// Requests a second over all instances; nothing for no limit.
    pub rate_per_s: Option<f64>,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
    /// The regions that may serve it.
    pub regions: RegionSet,
}

/// The plan in force.
#[derive(Debug)]
pub struct SteeringPlan {
    /// Its version. Versions only grow.
    pub version: u64,
    /// The routes.
    pub routes: Arena<RouteKey, RoutePlan>,
    /// The pools.
    pub pools: Arena<PoolKey, PoolPlan>,
    /// The client accounts.
    pub accounts: Arena<AccountKey, AccountPlan>,
    /// What callers may send.
    pub limits: CallerLimits,
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<KeyDigest, AccountKey>,
}

/// Why a plan cannot be used.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// A route names a pool that the plan does not have.
    #[error("route '{route}' names the unknown pool '{pool}'")]
    UnknownPool {
        /// The route.
        route: String,
        /// The name of the pool.
        pool: String,
    },
    /// A route has no pool with a positive weight.
    #[error("route '{0}' has no target with a positive weight")]
    NoTarget(String),
    /// Two accounts hold the same key.
    #[error("accounts '{0}' and '{1}' hold the same access key")]
    SharedKey(String, String),
}

impl SteeringPlan {
    /// Makes the plan of raw records.
    ///
    /// # Errors
    ///
    /// Returns the first record that cannot be used.
    pub fn build(raw: RawPlan, places: &FleetTopology) -> Result<Self, PlanError> {
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
            let route = build_route(raw_route, &pools, places)?;
            hosts.entry(host).or_default().push(routes.push(route));
        }
        for keys in hosts.values_mut() {
            let length = |key: &RouteKey| routes[*key].path_prefix.len();
            keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
        }
        let (accounts, keys) = build_accounts(raw.accounts, places)?;
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

    /// Returns the route with the longest prefix that begins the path.
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

    /// Returns the account that holds a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<AccountKey> {
        self.keys.get(&KeyDigest::of(key)).copied()
    }

    /// Tells whether requests need an access key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the regions in which at least one route of a host may run.
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
    places: &FleetTopology,
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
        is_sticky: raw.is_sticky,
        regions: places.region_set(&raw.regions),
    })
}

type AccountIndex = (
    Arena<AccountKey, AccountPlan>,
    HashMap<KeyDigest, AccountKey>,
);

fn build_accounts(raw: Vec<RawAccount>, places: &FleetTopology) -> Result<AccountIndex, PlanError> {
    let mut accounts: Arena<AccountKey, AccountPlan> = Arena::new();
    let mut keys = HashMap::new();
    for raw_account in raw {
        let account = accounts.push(AccountPlan {
            priority: raw_account.priority,
            rate_per_s: (raw_account.rate_per_s > 0.0).then_some(raw_account.rate_per_s),
            burst: raw_account.burst.max(0.0),
            regions: places.region_set(&raw_account.regions),
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
