//! A routing plan before its references are resolved.

use std::time::Duration;

use coltsfootkeel_model::Finding;

/// All records of a plan that can be read, and what is known of the others.
#[derive(Debug, Clone, Default)]
pub struct RawPlan {
    /// Version of the plan, which never decreases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RawRoute>,
    /// All pools of upstreams.
    pub pools: Vec<RawPool>,
    /// All client accounts.
    pub accounts: Vec<RawAccount>,
    /// Limits for connections and requests of callers.
    pub limits: CallerLimits,
    /// The parts that cannot be read.
    pub unreadable: UnreadableParts,
}

/// What is known of the parts of a configuration that cannot be read. Their requests are refused, and the rest of the
/// plan serves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableParts {
    /// The place and the fault of each part.
    pub findings: Vec<Finding>,
    /// Host and path prefix of each route that cannot be read; `None` for what is unknown itself.
    pub routes: Vec<UnreadableRoute>,
    /// Access keys in plain text whose client account cannot be read.
    pub access_keys: Vec<String>,
    /// Whether there are access keys that cannot be read themselves.
    pub has_unknown_keys: bool,
}

/// The requests that a route selects which cannot be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableRoute {
    /// Host name that requests are addressed to; `None` if it cannot be read.
    pub host: Option<String>,
    /// Prefix that request paths must start with; `None` if it cannot be read.
    pub path_prefix: Option<String>,
}

/// Whether the requests of a route may be repeated, and whether they or their answers have large bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may be executed more than once.
    Idempotent,
    /// Requests must not be executed more than once.
    NonIdempotent,
    /// Requests must not be executed more than once and have large bodies.
    Upload,
    /// Requests may be executed more than once and have large answers.
    Download,
}

/// A route that refers to its pools and regions by name.
#[derive(Debug, Clone)]
pub struct RawRoute {
    /// Name of the route.
    pub name: String,
    /// Host name that requests are addressed to; case is ignored.
    pub host: String,
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
    /// The pools that serve the route.
    pub targets: Vec<RawTarget>,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no access key.
    pub is_public: bool,
    /// Whether an upstream answers faster for an object that it has cached.
    pub has_affinity: bool,
    /// Names of the regions that may serve the route; empty for all.
    pub regions: Vec<String>,
}

/// A pool that serves a route, with its weight.
#[derive(Debug, Clone)]
pub struct RawTarget {
    /// Name of the pool.
    pub pool: String,
    /// Weight of the pool relative to the other targets; zero or less for a pool that receives no requests.
    pub weight: f64,
}

/// Settings of a pool of upstreams.
#[derive(Debug, Clone)]
pub struct RawPool {
    /// Name of the pool.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Duration of the cold start of an upstream.
    pub cold_start: Duration,
    /// Requests per second that a cold upstream can handle.
    pub cold_per_s: f64,
}

/// A client account that refers to its regions by name.
#[derive(Debug, Clone)]
pub struct RawAccount {
    /// Name of the account.
    pub name: String,
    /// Access keys of the account in plain text.
    pub access_keys: Vec<String>,
    /// Priority of its requests; `None` for the priority of the route.
    pub priority: Option<u32>,
    /// Requests per second over all instances; zero or less for no limit.
    pub rate_per_s: f64,
    /// Requests that may arrive at once in addition to the rate.
    pub burst: f64,
    /// Names of the regions that may serve the account; empty for all.
    pub regions: Vec<String>,
}

/// Limits for connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Time within which the request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Common limits of HTTP servers, in force until a plan sets others.
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
