//! The questionnaire before validation: missing answers have default values, references are still names.

use coltsfootkeel_model::{FindingList, Located, SourceLocation};

/// A whole questionnaire.
#[derive(Debug)]
pub struct RawAnswers {
    /// The name of the team.
    pub team: Located<String>,
    /// The regions with their failure domains.
    pub regions: Vec<RawRegion>,
    /// The links between regions that differ from the default link.
    pub links: Vec<RawLink>,
    /// The departments of the team.
    pub departments: Vec<RawDepartment>,
    /// The callers, each of which becomes a client account.
    pub callers: Vec<RawCaller>,
    /// The sites that clients call from.
    pub sites: Vec<RawSite>,
    /// The pools with the addresses of their upstreams.
    pub pools: Vec<RawPool>,
    /// The services, each of which becomes a route.
    pub services: Vec<RawService>,
    /// The location of the list of regions.
    pub regions_location: SourceLocation,
    /// The faults found while the questionnaire was read; validation adds its own.
    pub findings: FindingList,
}

/// A region as written.
#[derive(Debug)]
pub struct RawRegion {
    /// The region's name, unique among regions.
    pub name: Located<String>,
    /// The region's failure domains.
    pub failure_domains: Vec<RawDomain>,
}

/// A failure domain as written.
#[derive(Debug)]
pub struct RawDomain {
    /// The failure domain's name, unique among the failure domains of all regions.
    pub name: Located<String>,
    /// The number of entry instances in the failure domain.
    pub entry_instances: Located<u64>,
}

/// A link between two regions as written.
#[derive(Debug)]
pub struct RawLink {
    /// The names of the two regions.
    pub between: Vec<Located<String>>,
    /// The capacity in each direction, in Mbit/s.
    pub capacity_mbit_per_s: Located<u64>,
    /// The one-way latency in milliseconds.
    pub latency_ms: Located<u64>,
    /// The location of the link.
    pub location: SourceLocation,
}

/// A department as written.
#[derive(Debug)]
pub struct RawDepartment {
    /// The department's name, unique among departments.
    pub name: Located<String>,
    /// The planned departure from a region; `None` if the department stays.
    pub departure: Option<RawDeparture>,
}

/// A planned departure of a department from one region to another, as written.
#[derive(Debug)]
pub struct RawDeparture {
    /// The month of the departure, such as `2027-02`.
    pub month: Located<String>,
    /// The name of the region that requests are moved from.
    pub from: Located<String>,
    /// The name of the region that requests are moved to.
    pub to: Located<String>,
    /// The percentage of the department's requests that may be moved at once.
    pub at_once_percent: Located<u64>,
}

/// A caller as written. It becomes a client account.
#[derive(Debug)]
pub struct RawCaller {
    /// The caller's name, unique among callers.
    pub name: Located<String>,
    /// The name of the department that the caller belongs to.
    pub department: Located<String>,
    /// The usual rate of the caller in requests per second.
    pub expected_per_s: Located<u64>,
    /// The peak rate of the caller in requests per second, at least the usual rate.
    pub peak_per_s: Located<u64>,
}

/// A client site as written.
#[derive(Debug)]
pub struct RawSite {
    /// The site's name, unique among sites.
    pub name: Located<String>,
    /// The names of the failure domains that clients at the site use, nearest first.
    pub failure_domains: Vec<Located<String>>,
    /// The blocks of client addresses at the site, in CIDR notation.
    pub blocks: Vec<Located<String>>,
}

/// The upstreams of a pool in one failure domain, as written.
#[derive(Debug)]
pub struct RawUpstreams {
    /// The name of the failure domain.
    pub failure_domain: Located<String>,
    /// The IP address and port of each upstream.
    pub addresses: Vec<Located<String>>,
}

/// A pool of identical upstreams as written.
#[derive(Debug)]
pub struct RawPool {
    /// The pool's name, unique among pools.
    pub name: Located<String>,
    /// The number of requests that one upstream may run at once.
    pub slots: Located<u64>,
    /// The number of connections that one upstream accepts.
    pub connections: Located<u64>,
    /// The path of the health endpoint of each upstream.
    pub health_path: Located<String>,
    /// The path of the load endpoint of each upstream.
    pub load_path: Located<String>,
    /// The upstreams, grouped by failure domain.
    pub upstreams: Vec<RawUpstreams>,
}

/// A service as written. It becomes a route.
#[derive(Debug)]
pub struct RawService {
    /// The service's name, unique among services.
    pub name: Located<String>,
    /// The name of the department that the service belongs to.
    pub department: Located<String>,
    /// The path prefix of the service's requests.
    pub path: Located<String>,
    /// The name of the pool whose upstreams run the requests.
    pub pool: Located<String>,
    /// Whether the service may be called without an access key.
    pub open_to_all: Located<bool>,
    /// The names of the callers that may call the service; empty for all callers of the department.
    pub callers: Vec<Located<String>>,
    /// The expected requests per second of all callers in total.
    pub calls_per_s: Located<u64>,
    /// The size of a request in KiB.
    pub sends_kib: Located<u64>,
    /// The size of a response in KiB.
    pub receives_kib: Located<u64>,
    /// The usual time that a request runs, in milliseconds.
    pub usual_ms: Located<u64>,
    /// The longest time that a request runs, in milliseconds.
    pub at_most_ms: Located<u64>,
    /// Whether running a request more than once does harm.
    pub must_not_run_twice: Located<bool>,
    /// Whether losing a request does harm.
    pub must_not_be_lost: Located<bool>,
    /// Whether a late response does little harm.
    pub may_be_late: Located<bool>,
    /// Whether the work may be delayed for a long time as long as it completes.
    pub may_wait: Located<bool>,
}
