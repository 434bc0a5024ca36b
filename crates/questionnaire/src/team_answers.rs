//! The validated questionnaire: each reference is a key, and each number is within its bounds.

use std::net::SocketAddr;

use coltsfootkeel_model::{
    AccountKey, Arena, DepartmentKey, DomainKey, PoolKey, RegionKey, RouteKey, SiteKey,
};

/// The validated answers of one team.
#[derive(Debug)]
pub struct TeamAnswers {
    /// The name of the team.
    pub team: String,
    /// All regions.
    pub regions: Arena<RegionKey, RegionAnswer>,
    /// The failure domains of all regions.
    pub domains: Arena<DomainKey, DomainAnswer>,
    /// The links between regions that differ from the default link.
    pub links: Vec<LinkAnswer>,
    /// The departments of the team.
    pub departments: Arena<DepartmentKey, DepartmentAnswer>,
    /// The callers, each of which becomes a client account.
    pub callers: Arena<AccountKey, CallerAnswer>,
    /// The sites that clients call from.
    pub sites: Arena<SiteKey, SiteAnswer>,
    /// The pools with their upstreams.
    pub pools: Arena<PoolKey, PoolAnswer>,
    /// The services, each of which becomes a route.
    pub services: Arena<RouteKey, ServiceAnswer>,
}

/// A region of the team.
#[derive(Debug)]
pub struct RegionAnswer {
    /// The region's name, unique among regions.
    pub name: String,
}

/// A failure domain of a region.
#[derive(Debug)]
pub struct DomainAnswer {
    /// The failure domain's name, unique among the failure domains of all regions.
    pub name: String,
    /// The region that the failure domain belongs to.
    pub region: RegionKey,
    /// The number of entry instances in the failure domain.
    pub entry_instances: u64,
}

/// A link between two regions.
#[derive(Debug, Clone, Copy)]
pub struct LinkAnswer {
    /// The region at one end of the link.
    pub one: RegionKey,
    /// The region at the other end of the link.
    pub other: RegionKey,
    /// The capacity in each direction, in Mbit/s.
    pub capacity_mbit_per_s: u64,
    /// The one-way latency in milliseconds.
    pub latency_ms: u64,
}

/// A department of the team.
#[derive(Debug)]
pub struct DepartmentAnswer {
    /// The department's name, unique among departments.
    pub name: String,
    /// The planned departure from a region; `None` if the department stays.
    pub departure: Option<DepartureAnswer>,
}

/// A planned departure of a department from one region to another.
#[derive(Debug)]
pub struct DepartureAnswer {
    /// The month of the departure, such as `2027-02`.
    pub month: String,
    /// The region that requests are moved from.
    pub from: RegionKey,
    /// The region that requests are moved to.
    pub to: RegionKey,
    /// The percentage of the department's requests that may be moved at once.
    pub at_once_percent: u64,
}

/// A caller, which becomes a client account.
#[derive(Debug)]
pub struct CallerAnswer {
    /// The caller's name, unique among callers.
    pub name: String,
    /// The department that the caller belongs to.
    pub department: DepartmentKey,
    /// The usual rate of the caller in requests per second.
    pub expected_per_s: u64,
    /// The peak rate of the caller in requests per second, at least the usual rate.
    pub peak_per_s: u64,
}

/// A site that clients call from.
#[derive(Debug)]
pub struct SiteAnswer {
    /// The site's name, unique among sites.
    pub name: String,
    /// The failure domains that clients at the site use, nearest first.
    pub domains: Vec<DomainKey>,
    /// The blocks of client addresses at the site, in CIDR notation.
    pub blocks: Vec<String>,
}

/// An upstream of a pool.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamAnswer {
    /// The IP address and port, which no other upstream has.
    pub address: SocketAddr,
    /// The failure domain that the upstream runs in.
    pub domain: DomainKey,
}

/// A pool of identical upstreams.
#[derive(Debug)]
pub struct PoolAnswer {
    /// The pool's name, unique among pools.
    pub name: String,
    /// The number of requests that one upstream may run at once.
    pub slots: u64,
    /// The number of connections that one upstream accepts.
    pub connections: u64,
    /// The path of the health endpoint of each upstream.
    pub health_path: String,
    /// The path of the load endpoint of each upstream.
    pub load_path: String,
    /// The upstreams of the pool, in the order of the questionnaire.
    pub upstreams: Vec<UpstreamAnswer>,
}

/// A service, which becomes a route.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// The service's name, unique among services.
    pub name: String,
    /// The department that the service belongs to.
    pub department: DepartmentKey,
    /// The path prefix of the service's requests.
    pub path: String,
    /// The pool whose upstreams run the requests.
    pub pool: PoolKey,
    /// Whether the service may be called without an access key.
    pub open_to_all: bool,
    /// The callers that may call the service; empty for all callers of the department.
    pub callers: Vec<AccountKey>,
    /// The expected requests per second of all callers in total.
    pub calls_per_s: u64,
    /// The size of a request in KiB.
    pub sends_kib: u64,
    /// The size of a response in KiB.
    pub receives_kib: u64,
    /// The usual time that a request runs, in milliseconds.
    pub usual_ms: u64,
    /// The longest time that a request runs, in milliseconds, at least the usual time.
    pub at_most_ms: u64,
    /// Whether requests may be run more than once, and whether they may be lost.
    pub delivery: DeliveryAnswer,
    /// How long requests may be delayed.
    pub delay: DelayAnswer,
}

/// Whether the requests of a service may be run more than once, and whether they may be lost.
#[derive(Debug, Clone, Copy)]
pub struct DeliveryAnswer {
    /// Whether running a request more than once does harm.
    pub must_not_run_twice: bool,
    /// Whether losing a request does harm.
    pub must_not_be_lost: bool,
}

/// How long the requests of a service may be delayed.
#[derive(Debug, Clone, Copy)]
pub struct DelayAnswer {
    /// Whether a late response does little harm.
    pub may_be_late: bool,
    /// Whether the work may be delayed for a long time as long as it completes.
    pub may_wait: bool,
}
