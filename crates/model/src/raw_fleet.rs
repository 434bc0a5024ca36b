//! The configuration document before validation: defaults are filled in, references are still names.

use serde::Serialize;

use crate::findings::{FindingList, Located, SourceLocation};
use crate::fleet::{IsolationMode, PriorityClass, ShiftState};

/// A whole configuration document. Its serialized form is the canonical form that the platform stores.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RawFleet {
    /// The regions with their failure domains.
    pub regions: Vec<RawRegion>,
    /// The links between regions that differ from the default link.
    pub links: Vec<RawLink>,
    /// The seats, each of which holds a base share of the limits.
    pub seats: Vec<RawSeat>,
    /// The departments.
    pub departments: Vec<RawDepartment>,
    /// The client accounts.
    pub client_accounts: Vec<RawAccount>,
    /// The pools with their upstreams.
    pub pools: Vec<RawPool>,
    /// The routes.
    pub routes: Vec<RawRoute>,
    /// The shifts, in force or not.
    pub shifts: Vec<RawShift>,
    /// The objects that are being drained.
    pub drains: Vec<RawDrain>,
    /// The client sites.
    pub sites: Vec<RawSite>,
    /// The blocks of client addresses with their sites.
    pub blocks: Vec<RawBlock>,
    /// The location of the list of seats.
    #[serde(skip)]
    pub seats_place: SourceLocation,
    /// The faults found while the document was read; validation adds its own.
    #[serde(skip)]
    pub findings: FindingList,
}

/// A region as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawRegion {
    /// The region's name, unique among regions.
    pub name: Located<String>,
    /// The names of the region's failure domains, unique among those of all regions.
    pub failure_domains: Vec<Located<String>>,
}

/// A link between two regions as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawLink {
    /// The names of the two regions.
    pub between: Vec<Located<String>>,
    /// The capacity in each direction, in Mbit/s.
    pub capacity_mbit_per_s: Located<u64>,
    /// The one-way latency in milliseconds.
    pub latency_ms: Located<u64>,
    /// The location of the link.
    #[serde(skip)]
    pub place: SourceLocation,
}

/// A seat as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawSeat {
    /// The seat's name, unique among seats.
    pub name: Located<String>,
    /// The name of the failure domain that the seat belongs to.
    pub failure_domain: Located<String>,
}

/// A department as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawDepartment {
    /// The department's name, unique among departments.
    pub name: Located<String>,
}

/// An access key of a client account. The document holds its digest only.
#[derive(Debug, Clone, Serialize)]
pub struct RawAccess {
    /// A label for operators, unique within the account.
    pub label: Located<String>,
    /// The SHA-256 digest of the key in hexadecimal.
    pub sha256: Located<String>,
}

/// A client account as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawAccount {
    /// The client account's name, unique among client accounts.
    pub name: Located<String>,
    /// The name of the department that the client account belongs to.
    pub department: Located<String>,
    /// The rate limit in requests per second.
    pub rate_per_s: Located<u64>,
    /// The burst: the capacity of the token bucket of the rate limit, in requests.
    pub burst: Located<u64>,
    /// The access keys of the client account.
    pub access_keys: Vec<RawAccess>,
}

/// An upstream as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawUpstream {
    /// The upstream's name, unique among the upstreams of all pools.
    pub name: Located<String>,
    /// The IP address and port, which no other upstream has.
    pub address: Located<String>,
    /// The name of the failure domain that the upstream runs in.
    pub failure_domain: Located<String>,
    /// The number of requests that the upstream may run at once.
    pub slots: Located<u64>,
    /// The number of connections that the upstream accepts.
    pub connections: Located<u64>,
}

/// A pool of interchangeable upstreams as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawPool {
    /// The pool's name, unique among pools.
    pub name: Located<String>,
    /// The path of the health endpoint of each upstream.
    pub health_path: Located<String>,
    /// The path of the load endpoint of each upstream.
    pub load_path: Located<String>,
    /// The pool's upstreams.
    pub upstreams: Vec<RawUpstream>,
}

/// How an isolated failure domain handles requests of a route. A failure domain is isolated if it can reach neither the
/// platform nor another failure domain.
#[derive(Debug, Clone, Serialize)]
pub struct RawIsolation {
    /// How requests with an access key are handled.
    pub mode: Located<IsolationMode>,
    /// The duration of the isolation after which requests are refused in [`IsolationMode::Refuse`], in seconds.
    pub limit_s: Located<u64>,
}

/// A route as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawRoute {
    /// The route's name, unique among routes.
    pub name: Located<String>,
    /// The name of the department that the route belongs to.
    pub department: Located<String>,
    /// The path prefix of the requests that the route serves.
    pub path_prefix: Located<String>,
    /// The name of the pool whose upstreams run the requests.
    pub pool: Located<String>,
    /// The priority class of the requests.
    pub class: Located<PriorityClass>,
    /// Whether callers may use the route without an access key.
    pub open: Located<bool>,
    /// The names of the client accounts that may use the route; empty for all accounts of the department.
    pub accounts: Vec<Located<String>>,
    /// The longest time that a request may take, in milliseconds.
    pub deadline_ms: Located<u64>,
    /// Methods that are idempotent on this route, in addition to those that HTTP defines as idempotent.
    pub idempotent_methods: Vec<Located<String>>,
    /// How an isolated failure domain handles requests of this route.
    pub isolation: RawIsolation,
}

/// The cap of a shift as written. A valid cap has exactly one of the two limits.
#[derive(Debug, Clone, Serialize)]
pub struct RawCap {
    /// The percentage of the route's requests that may be moved.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share_percent: Option<Located<u64>>,
    /// The requests per second that may be moved.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<Located<u64>>,
    /// The location of the cap, or of the shift if it has no cap.
    #[serde(skip)]
    pub place: SourceLocation,
}

/// A shift of a route's requests from one region to another, as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawShift {
    /// The shift's name, unique among shifts.
    pub name: Located<String>,
    /// The name of the route whose requests are moved.
    pub route: Located<String>,
    /// The name of the region that requests are moved from.
    pub from: Located<String>,
    /// The name of the region that requests are moved to.
    pub to: Located<String>,
    /// The upper limit of what the shift moves.
    pub cap: RawCap,
    /// Whether the shift is in force.
    pub state: Located<ShiftState>,
}

/// The kind of object that a drain names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainKind {
    /// An upstream, named as in its pool.
    Upstream,
    /// An instance, named as in its settings.
    Instance,
    /// A region with all its upstreams and entry instances.
    Region,
    /// A department with all its routes.
    Department,
}

impl DrainKind {
    /// Returns the value of the field `kind` in a document.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Upstream => "upstream",
            Self::Instance => "instance",
            Self::Region => "region",
            Self::Department => "department",
        }
    }
}

/// A drain as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawDrain {
    /// The kind of the drained object.
    pub kind: Located<DrainKind>,
    /// The name of the drained object.
    pub name: Located<String>,
}

/// A client site as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawSite {
    /// The site's name, unique among sites.
    pub name: Located<String>,
    /// The names of the failure domains that clients at the site use, nearest first.
    pub failure_domains: Vec<Located<String>>,
}

/// A block of client addresses as written.
#[derive(Debug, Clone, Serialize)]
pub struct RawBlock {
    /// The block in CIDR notation.
    pub block: Located<String>,
    /// The name of the site that the addresses belong to.
    pub site: Located<String>,
}
