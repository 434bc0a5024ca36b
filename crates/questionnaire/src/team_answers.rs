//! The checked questionnaire: every reference is a key, every number is within its bounds.

use std::net::SocketAddr;

use coltsfootkeel_model::{
    AccountKey, Arena, DepartmentKey, DomainKey, PoolKey, RegionKey, RouteKey, SiteKey,
};

/// The checked answers of one team.
#[derive(Debug)]
pub struct TeamAnswers {
    /// The name of the team.
    pub team: String,
    /// Regions.
    pub regions: Arena<RegionKey, RegionAnswer>,
    /// Failure domains.
    pub domains: Arena<DomainKey, DomainAnswer>,
    /// Links between regions.
    pub links: Vec<LinkAnswer>,
    /// Departments.
    pub departments: Arena<DepartmentKey, DepartmentAnswer>,
    /// Callers.
    pub callers: Arena<AccountKey, CallerAnswer>,
    /// Sites of clients.
    pub sites: Arena<SiteKey, SiteAnswer>,
    /// Pools.
    pub pools: Arena<PoolKey, PoolAnswer>,
    /// Services.
    pub services: Arena<RouteKey, ServiceAnswer>,
}

/// A region.
#[derive(Debug)]
pub struct RegionAnswer {
    /// The name.
    pub name: String,
}

/// A failure domain.
#[derive(Debug)]
pub struct DomainAnswer {
    /// The name.
    pub name: String,
    /// The region it belongs to.
    pub region: RegionKey,
    /// The number of entry instances in it.
    pub entry_instances: u64,
}

/// A link between two regions.
#[derive(Debug, Clone, Copy)]
pub struct LinkAnswer {
    /// One region.
    pub one: RegionKey,
    /// The other region.
    pub other: RegionKey,
    /// The capacity in Mbit/s, each way.
    pub capacity_mbit_per_s: u64,
    /// The one-way latency in milliseconds.
    pub latency_ms: u64,
}

/// A department.
#[derive(Debug)]
pub struct DepartmentAnswer {
    /// The name.
    pub name: String,
    /// The planned departure, if there is one.
    pub departure: Option<DepartureAnswer>,
}

/// A planned departure of a department.
#[derive(Debug)]
pub struct DepartureAnswer {
    /// The month, such as `2027-02`.
    pub month: String,
    /// The region its requests leave.
    pub from: RegionKey,
    /// The region its requests go to.
    pub to: RegionKey,
    /// The most that may move at once, in percent of the requests.
    pub at_once_percent: u64,
}

/// A client account.
#[derive(Debug)]
pub struct CallerAnswer {
    /// The name.
    pub name: String,
    /// The department it belongs to.
    pub department: DepartmentKey,
    /// The expected requests per second.
    pub expected_per_s: u64,
    /// The highest requests per second.
    pub peak_per_s: u64,
}

/// A site of clients.
#[derive(Debug)]
pub struct SiteAnswer {
    /// The name.
    pub name: String,
    /// The failure domains to use, nearest first.
    pub domains: Vec<DomainKey>,
    /// The blocks of client addresses in CIDR notation.
    pub blocks: Vec<String>,
}

/// An upstream of a pool.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamAnswer {
    /// The address.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub domain: DomainKey,
}

/// A pool of equal upstreams.
#[derive(Debug)]
pub struct PoolAnswer {
    /// The name.
    pub name: String,
    /// The number of requests one upstream may run at once.
    pub slots: u64,
    /// The number of connections one upstream accepts.
    pub connections: u64,
    /// The path of the upstreams' health endpoint.
    pub health_path: String,
    /// The path of the upstreams' load endpoint.
    pub load_path: String,
    /// The upstreams.
    pub upstreams: Vec<UpstreamAnswer>,
}

/// A service.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// The name.
    pub name: String,
    /// The department it belongs to.
    pub department: DepartmentKey,
    /// The path prefix of its requests.
    pub path: String,
    /// The pool that runs it.
    pub pool: PoolKey,
    /// Whether it may be called without an access key.
    pub open_to_all: bool,
    /// The callers that may call it; empty for all of the department.
    pub callers: Vec<AccountKey>,
    /// The expected requests per second of all callers together.
    pub calls_per_s: u64,
    /// The size of a request in KiB.
    pub sends_kib: u64,
    /// The size of a response in KiB.
    pub receives_kib: u64,
    /// The usual duration of a request in milliseconds.
    pub usual_ms: u64,
    /// The longest duration of a request in milliseconds.
    pub at_most_ms: u64,
    /// What must not happen to its requests.
    pub delivery: DeliveryAnswer,
    /// How late its requests may be.
    pub delay: DelayAnswer,
}

/// What must not happen to the requests of a service.
#[derive(Debug, Clone, Copy)]
pub struct DeliveryAnswer {
    /// Whether running a request twice does harm.
    pub must_not_run_twice: bool,
    /// Whether losing a request does harm.
    pub must_not_be_lost: bool,
}

/// How late the requests of a service may be.
#[derive(Debug, Clone, Copy)]
pub struct DelayAnswer {
    /// Whether a late response is of little harm.
    pub may_be_late: bool,
    /// Whether the work may be delayed as long as it arrives.
    pub may_wait: bool,
}
