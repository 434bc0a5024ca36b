//! The active routing plan: routes, pools and client accounts with resolved references.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_model::{AccountKey, Arena, Finding, PoolKey, RouteKey, SourceLocation};
use sha2::{Digest, Sha256};

use crate::raw_plan::{
    CallerLimits, RawAccount, RawPlan, RawRoute, RouteKind, UnreadableParts, UnreadableRoute,
};
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
    /// Key of the pool in [`SteeringPlan::pools`]; `None` if the plan does not contain the pool or cannot read it.
    pub pool: Option<PoolKey>,
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

    /// Returns the pool for a request, where `uniform` is a random number from 0 to 1; `None` if the route has no pool,
    /// or the one that its weights select cannot be used.
    #[must_use]
    pub fn pool(&self, uniform: f64) -> Option<PoolKey> {
        let point = uniform * self.total_weight;
        let weighted_pool = self
            .weighted_pools
            .iter()
            .find(|weighted_pool| point < weighted_pool.cumulative_weight);
        weighted_pool
            .or(self.weighted_pools.last())
            .and_then(|weighted_pool| weighted_pool.pool)
    }

    /// Returns the pools that can be used, in the order of the plan.
    pub fn usable_pools(&self) -> impl Iterator<Item = PoolKey> {
        self.weighted_pools
            .iter()
            .filter_map(|weighted_pool| weighted_pool.pool)
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
    /// The place and the fault of each part that cannot be used.
    pub findings: Vec<Finding>,
    hosts: HashMap<String, Vec<HostRoute>>,
    /// Whether there is a route that may belong to any host.
    has_unknown_hosts: bool,
    /// The accounts by access key; `None` for a key whose account cannot be used.
    keys: HashMap<KeyDigest, Option<AccountKey>>,
    has_unknown_keys: bool,
}

/// What a plan tells of a request's host and path, or of its access key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanMatch<K> {
    /// The plan contains it.
    Found(K),
    /// It belongs, or may belong, to a part of the plan that cannot be used.
    Unreadable,
    /// The plan does not contain it.
    Unknown,
}

/// A route of one host.
#[derive(Debug)]
struct HostRoute {
    /// Prefix that request paths must start with; empty if it is unknown, so that it comes after all others.
    path_prefix: String,
    /// The route; `None` if it cannot be read.
    route: Option<RouteKey>,
}

impl SteeringPlan {
    /// Builds a plan from raw records and resolves their references. A record that cannot be used is reported in
    /// [`findings`](Self::findings) and costs no other one.
    #[must_use]
    pub fn build(raw: RawPlan, topology: &FleetTopology) -> Self {
        let mut findings = raw.unreadable.findings.clone();
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
        let mut hosts: HashMap<String, Vec<HostRoute>> = HashMap::new();
        for raw_route in raw.routes {
            let host = raw_route.host.to_ascii_lowercase();
            let path_prefix = raw_route.path_prefix.clone();
            let route = routes.push(build_route(raw_route, &pools, topology, &mut findings));
            hosts.entry(host).or_default().push(HostRoute {
                path_prefix,
                route: Some(route),
            });
        }
        let has_unknown_hosts = add_unreadable_routes(&mut hosts, &raw.unreadable.routes);
        for host_routes in hosts.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let (accounts, keys) =
            build_accounts(raw.accounts, &raw.unreadable, topology, &mut findings);
        Self {
            version: raw.version,
            routes,
            pools,
            accounts,
            limits: raw.limits,
            findings,
            hosts,
            has_unknown_hosts,
            keys,
            has_unknown_keys: raw.unreadable.has_unknown_keys,
        }
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> PlanMatch<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host_routes = match self.hosts.get(name) {
            Some(host_routes) => Some(host_routes),
            None => self.hosts.get(&name.to_ascii_lowercase()),
        };
        let mut host_routes = host_routes.into_iter().flatten();
        let found = host_routes.find(|host_route| path.starts_with(&host_route.path_prefix));
        match found.map(|host_route| host_route.route) {
            Some(Some(route)) => PlanMatch::Found(route),
            Some(None) => PlanMatch::Unreadable,
            None if self.has_unknown_hosts => PlanMatch::Unreadable,
            None => PlanMatch::Unknown,
        }
    }

    /// Returns the account that the access key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> PlanMatch<AccountKey> {
        match self.keys.get(&KeyDigest::of(key)) {
            Some(Some(account)) => PlanMatch::Found(*account),
            Some(None) => PlanMatch::Unreadable,
            None if self.has_unknown_keys => PlanMatch::Unreadable,
            None => PlanMatch::Unknown,
        }
    }

    /// Returns whether the plan has accounts, also ones that cannot be used, in which case requests need an access key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty() || !self.keys.is_empty() || self.has_unknown_keys
    }

    /// Returns the regions in which at least one route of the host may be served; all regions for an unknown host.
    #[must_use]
    pub fn host_regions(&self, host: &str) -> RegionSet {
        let host_routes = self.hosts.get(&host.to_ascii_lowercase());
        let keys = host_routes.into_iter().flatten();
        let regions = keys
            .filter_map(|host_route| host_route.route)
            .map(|key| self.routes[key].regions);
        regions.reduce(RegionSet::union).unwrap_or(RegionSet::ANY)
    }
}

/// Adds routes that cannot be read. Returns whether one of them may belong to any host.
fn add_unreadable_routes(
    hosts: &mut HashMap<String, Vec<HostRoute>>,
    unreadable: &[UnreadableRoute],
) -> bool {
    for unreadable_route in unreadable {
        if let Some(host) = &unreadable_route.host {
            let host_routes = hosts.entry(host.to_ascii_lowercase()).or_default();
            host_routes.push(HostRoute {
                path_prefix: unreadable_route.path_prefix.clone().unwrap_or_default(),
                route: None,
            });
        }
    }
    unreadable.iter().any(|route| route.host.is_none())
}

fn build_route(
    raw: RawRoute,
    pools: &Arena<PoolKey, PoolPlan>,
    topology: &FleetTopology,
    findings: &mut Vec<Finding>,
) -> RoutePlan {
    let mut total_weight = 0.0;
    let mut weighted_pools = Vec::new();
    for target in raw.targets {
        if target.weight <= 0.0 {
            continue;
        }
        let pool = pools.find(|pool| pool.name == target.pool);
        if pool.is_none() {
            let expected = format!("expected a readable service, not '{}'", target.pool);
            findings.push(finding(&raw.name, expected));
        }
        total_weight += target.weight;
        weighted_pools.push(WeightedPool {
            pool,
            cumulative_weight: total_weight,
        });
    }
    if weighted_pools.is_empty() {
        let expected = "expected a target with a positive weight".to_string();
        findings.push(finding(&raw.name, expected));
    }
    RoutePlan {
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
    }
}

/// Returns a finding about the record with this name.
fn finding(name: &str, expected: String) -> Finding {
    Finding {
        location: SourceLocation::default(),
        field: name.to_string(),
        expected,
    }
}

type AccountIndex = (
    Arena<AccountKey, AccountPlan>,
    HashMap<KeyDigest, Option<AccountKey>>,
);

fn build_accounts(
    raw: Vec<RawAccount>,
    unreadable: &UnreadableParts,
    topology: &FleetTopology,
    findings: &mut Vec<Finding>,
) -> AccountIndex {
    let mut accounts: Arena<AccountKey, AccountPlan> = Arena::new();
    let mut keys: HashMap<KeyDigest, Option<AccountKey>> = HashMap::new();
    for raw_account in raw {
        let account = accounts.push(AccountPlan {
            priority: raw_account.priority,
            rate_per_s: (raw_account.rate_per_s > 0.0).then_some(raw_account.rate_per_s),
            burst: raw_account.burst.max(0.0),
            regions: topology.region_set(&raw_account.regions),
            name: raw_account.name,
        });
        for access_key in raw_account.access_keys {
            let digest = KeyDigest::of(&access_key);
            let holder = keys.insert(digest, Some(account)).flatten();
            if let Some(holder) = holder.filter(|holder| *holder != account) {
                // Nothing tells to which account the caller belongs.
                keys.insert(digest, None);
                let names = [holder, account].map(|key| accounts[key].name.as_str());
                let expected = format!("expected a key of its own, not one of '{}'", names[0]);
                findings.push(finding(names[1], expected));
            }
        }
    }
    for access_key in &unreadable.access_keys {
        keys.insert(KeyDigest::of(access_key), None);
    }
    (accounts, keys)
}
