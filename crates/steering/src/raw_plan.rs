//! A routing plan before its references are checked.

use std::time::Duration;

/// The whole plan.
#[derive(Debug, Clone, Default)]
pub struct RawPlan {
    /// Its version. Versions only grow.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RawRoute>,
    /// The pools of upstreams.
    pub pools: Vec<RawPool>,
    /// The client accounts.
    pub accounts: Vec<RawAccount>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// What the requests of a route are like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Idempotent,
    /// They must not run more than once.
    NonIdempotent,
    /// They must not run more than once, and have large bodies.
    Upload,
}

/// A route.
#[derive(Debug, Clone)]
pub struct RawRoute {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The beginning of the paths.
    pub path_prefix: String,
    /// What its requests are like.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub objective: Duration,
    /// The rank of its requests; zero is the most urgent.
    pub priority: u32,
    /// The pools that serve it, with their weights.
    pub targets: Vec<RawTarget>,
    /// The most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no access key.
    pub is_public: bool,
    /// Whether an upstream that handled an object lately is faster with it.
    pub is_sticky: bool,
    /// The regions that may serve it; all if empty.
    pub regions: Vec<String>,
}

/// A pool that serves a route.
#[derive(Debug, Clone)]
pub struct RawTarget {
    /// The name of the pool.
    pub pool: String,
    /// Its share of the requests, relative to the other targets.
    pub weight: f64,
}

/// A pool of upstreams.
#[derive(Debug, Clone)]
pub struct RawPool {
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
#[derive(Debug, Clone)]
pub struct RawAccount {
    /// Its name.
    pub name: String,
    /// Its access keys.
    pub access_keys: Vec<String>,
    /// The rank of its requests, in place of the route's.
    pub priority: Option<u32>,
    /// Requests a second over all instances; zero for no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
    /// The regions that may serve it; all if empty.
    pub regions: Vec<String>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time to send the head.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// Until a plan says otherwise: the usual bounds of HTTP servers.
impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
