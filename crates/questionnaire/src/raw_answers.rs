//! The questionnaire as written: every answer present, nothing resolved.

use coltsfootkeel_model::{FindingList, Located, SourceLocation};

/// A whole questionnaire.
#[derive(Debug)]
pub struct RawAnswers {
    /// The name of the team.
    pub team: Located<String>,
    /// Regions with their failure domains.
    pub regions: Vec<RawRegion>,
    /// Links between regions.
    pub links: Vec<RawLink>,
    /// Departments of the team.
    pub departments: Vec<RawDepartment>,
    /// Who calls.
    pub callers: Vec<RawCaller>,
    /// Where callers call from.
    pub sites: Vec<RawSite>,
    /// Where the upstreams are.
    pub pools: Vec<RawPool>,
    /// What is called.
    pub services: Vec<RawService>,
    /// Where the list of regions stands.
    pub regions_location: SourceLocation,
    /// The faults found while the questionnaire was read.
    pub findings: FindingList,
}

/// A region.
#[derive(Debug)]
pub struct RawRegion {
    /// The name, unique among regions.
    pub name: Located<String>,
    /// Its failure domains.
    pub failure_domains: Vec<RawDomain>,
}

/// A failure domain.
#[derive(Debug)]
pub struct RawDomain {
    /// The name, unique among failure domains.
    pub name: Located<String>,
    /// The number of entry instances in it.
    pub entry_instances: Located<u64>,
}

/// A link between two regions.
#[derive(Debug)]
pub struct RawLink {
    /// The names of the two regions.
    pub between: Vec<Located<String>>,
    /// The capacity in Mbit/s, each way.
    pub capacity_mbit_per_s: Located<u64>,
    /// The one-way latency in milliseconds.
    pub latency_ms: Located<u64>,
    /// Where the link stands.
    pub location: SourceLocation,
}

/// A department.
#[derive(Debug)]
pub struct RawDepartment {
    /// The name, unique among departments.
    pub name: Located<String>,
    /// The planned departure, if there is one.
    pub departure: Option<RawDeparture>,
}

/// A planned departure of a department.
#[derive(Debug)]
pub struct RawDeparture {
    /// The month, such as `2027-02`.
    pub month: Located<String>,
    /// The region its requests leave.
    pub from: Located<String>,
    /// The region its requests go to.
    pub to: Located<String>,
    /// The most that may move at once, in percent of the requests.
    pub at_once_percent: Located<u64>,
}

/// A client account.
#[derive(Debug)]
pub struct RawCaller {
    /// The name, unique among callers.
    pub name: Located<String>,
    /// The department it belongs to.
    pub department: Located<String>,
    /// The expected requests per second.
    pub expected_per_s: Located<u64>,
    /// The highest requests per second.
    pub peak_per_s: Located<u64>,
}

/// A site of clients.
#[derive(Debug)]
pub struct RawSite {
    /// The name, unique among sites.
    pub name: Located<String>,
    /// The failure domains to use, nearest first.
    pub failure_domains: Vec<Located<String>>,
    /// The blocks of client addresses in CIDR notation.
    pub blocks: Vec<Located<String>>,
}

/// The upstreams of a pool in one failure domain.
#[derive(Debug)]
pub struct RawUpstreams {
    /// The failure domain.
    pub failure_domain: Located<String>,
    /// The IP addresses with ports.
    pub addresses: Vec<Located<String>>,
}

/// A pool of equal upstreams.
#[derive(Debug)]
pub struct RawPool {
    /// The name, unique among pools.
    pub name: Located<String>,
    /// The number of requests one upstream may run at once.
    pub slots: Located<u64>,
    /// The number of connections one upstream accepts.
    pub connections: Located<u64>,
    /// The path of the upstreams' health endpoint.
    pub health_path: Located<String>,
    /// The path of the upstreams' load endpoint.
    pub load_path: Located<String>,
    /// The upstreams by failure domain.
    pub upstreams: Vec<RawUpstreams>,
}

/// A service.
#[derive(Debug)]
pub struct RawService {
    /// The name, unique among services.
    pub name: Located<String>,
    /// The department it belongs to.
    pub department: Located<String>,
    /// The path prefix of its requests.
    pub path: Located<String>,
    /// The pool that runs it.
    pub pool: Located<String>,
    /// Whether it may be called without an access key.
    pub open_to_all: Located<bool>,
    /// The callers that may call it; empty for all of the department.
    pub callers: Vec<Located<String>>,
    /// The expected requests per second of all callers together.
    pub calls_per_s: Located<u64>,
    /// The size of a request in KiB.
    pub sends_kib: Located<u64>,
    /// The size of a response in KiB.
    pub receives_kib: Located<u64>,
    /// The usual duration of a request in milliseconds.
    pub usual_ms: Located<u64>,
    /// The longest duration of a request in milliseconds.
    pub at_most_ms: Located<u64>,
    /// Whether running a request twice does harm.
    pub must_not_run_twice: Located<bool>,
    /// Whether losing a request does harm.
    pub must_not_be_lost: Located<bool>,
    /// Whether a late response is of little harm.
    pub may_be_late: Located<bool>,
    /// Whether the work may be delayed as long as it arrives.
    pub may_wait: Located<bool>,
}
