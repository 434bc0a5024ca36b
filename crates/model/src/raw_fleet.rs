//! The configuration document as written: every field present, nothing resolved.

use serde::Serialize;

use crate::findings::{FindingList, Located, SourceLocation};
use crate::fleet::{IsolationMode, PriorityClass, ShiftState};

/// A whole document. Serialized, it is the canonical form that the platform stores.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RawFleet {
    /// Regions with their failure domains.
    pub regions: Vec<RawRegion>,
    /// Links between regions that differ from the default.
    pub links: Vec<RawLink>,
    /// Holders of base shares.
    pub seats: Vec<RawSeat>,
    /// Departments.
    pub departments: Vec<RawDepartment>,
    /// Client accounts.
    pub client_accounts: Vec<RawAccount>,
    /// Pools of upstreams.
    pub pools: Vec<RawPool>,
    /// Routes.
    pub routes: Vec<RawRoute>,
    /// Shifts.
    pub shifts: Vec<RawShift>,
    /// What is leaving.
    pub drains: Vec<RawDrain>,
    /// Sites of clients.
    pub sites: Vec<RawSite>,
    /// Blocks of client addresses.
    pub blocks: Vec<RawBlock>,
    /// Where the list of seats stands.
    #[serde(skip)]
    pub seats_location: SourceLocation,
    /// The faults found while the document was read.
    #[serde(skip)]
    pub findings: FindingList,
}

/// A region.
#[derive(Debug, Clone, Serialize)]
pub struct RawRegion {
    /// The name, unique among regions.
    pub name: Located<String>,
    /// The names of its failure domains.
    pub failure_domains: Vec<Located<String>>,
}

/// A link between two regions.
#[derive(Debug, Clone, Serialize)]
pub struct RawLink {
    /// The names of the two regions.
    pub between: Vec<Located<String>>,
    /// The capacity in Mbit/s, each way.
    pub capacity_mbit_per_s: Located<u64>,
    /// The one-way latency in milliseconds.
    pub latency_ms: Located<u64>,
    /// Where the link stands.
    #[serde(skip)]
    pub location: SourceLocation,
}

/// A seat.
#[derive(Debug, Clone, Serialize)]
pub struct RawSeat {
    /// The name, unique among seats.
    pub name: Located<String>,
    /// The failure domain of the seat.
    pub failure_domain: Located<String>,
}

/// A department.
#[derive(Debug, Clone, Serialize)]
pub struct RawDepartment {
    /// The name, unique among departments.
    pub name: Located<String>,
}

/// An access key of a client account, known by its digest only.
#[derive(Debug, Clone, Serialize)]
pub struct RawAccess {
    /// A label for operators, unique within the account.
    pub label: Located<String>,
    /// The SHA-256 digest of the key in hexadecimal.
    pub sha256: Located<String>,
}

/// A client account.
#[derive(Debug, Clone, Serialize)]
pub struct RawAccount {
    /// The name, unique among client accounts.
    pub name: Located<String>,
    /// The department it belongs to.
    pub department: Located<String>,
    /// The rate in requests per second.
    pub rate_per_s: Located<u64>,
    /// The burst in requests.
    pub burst: Located<u64>,
    /// The access keys that are granted.
    pub access_keys: Vec<RawAccess>,
}

/// An upstream.
#[derive(Debug, Clone, Serialize)]
pub struct RawUpstream {
    /// The name, unique among upstreams.
    pub name: Located<String>,
    /// The IP address and port.
    pub address: Located<String>,
    /// The failure domain it runs in.
    pub failure_domain: Located<String>,
    /// The number of requests it may run at once.
    pub slots: Located<u64>,
    /// The number of connections it accepts.
    pub connections: Located<u64>,
}

/// A pool of upstreams that can stand in for each other.
#[derive(Debug, Clone, Serialize)]
pub struct RawPool {
    /// The name, unique among pools.
    pub name: Located<String>,
    /// The path of the upstreams' health endpoint.
    pub health_path: Located<String>,
    /// The path of the upstreams' load endpoint.
    pub load_path: Located<String>,
    /// The upstreams.
    pub upstreams: Vec<RawUpstream>,
}

/// What a route does in a failure domain that hears neither the platform nor another domain.
#[derive(Debug, Clone, Serialize)]
pub struct RawIsolation {
    /// Whether requests with an access key are served.
    pub mode: Located<IsolationMode>,
    /// The seconds after which [`IsolationMode::Refuse`] takes effect.
    pub limit_s: Located<u64>,
}

/// A route.
#[derive(Debug, Clone, Serialize)]
pub struct RawRoute {
    /// The name, unique among routes.
    pub name: Located<String>,
    /// The department it belongs to.
    pub department: Located<String>,
    /// The path prefix it serves.
    pub path_prefix: Located<String>,
    /// The pool it uses.
    pub pool: Located<String>,
    /// How urgent its requests are.
    pub class: Located<PriorityClass>,
    /// Whether it is open to callers without an access key.
    pub open: Located<bool>,
    /// The client accounts that may use it; empty for all of the department.
    pub accounts: Vec<Located<String>>,
    /// The time a request may take, in milliseconds.
    pub deadline_ms: Located<u64>,
    /// The methods that are idempotent on this route besides those that HTTP defines so.
    pub idempotent_methods: Vec<Located<String>>,
    /// What it does in a failure domain that is cut off.
    pub isolation: RawIsolation,
}

/// The cap of a shift: exactly one of the two fields is present.
#[derive(Debug, Clone, Serialize)]
pub struct RawCap {
    /// The share of the requests in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share_percent: Option<Located<u64>>,
    /// The number of requests per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<Located<u64>>,
    /// Where the cap stands.
    #[serde(skip)]
    pub location: SourceLocation,
}

/// A shift of a route's requests from one region to another.
#[derive(Debug, Clone, Serialize)]
pub struct RawShift {
    /// The name, unique among shifts.
    pub name: Located<String>,
    /// The route whose requests move.
    pub route: Located<String>,
    /// The region they leave.
    pub from: Located<String>,
    /// The region they go to.
    pub to: Located<String>,
    /// The most that may move.
    pub cap: RawCap,
    /// Whether it is in force.
    pub state: Located<ShiftState>,
}

/// What kind of object a drain names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainKind {
    /// An upstream.
    Upstream,
    /// An instance, named by its instance name.
    Instance,
    /// A region.
    Region,
    /// A department.
    Department,
}

impl DrainKind {
    /// Returns the text that stands for the kind in a document.
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

/// A drain.
#[derive(Debug, Clone, Serialize)]
pub struct RawDrain {
    /// The kind of object.
    pub kind: Located<DrainKind>,
    /// The name of the object.
    pub name: Located<String>,
}

/// A site of clients.
#[derive(Debug, Clone, Serialize)]
pub struct RawSite {
    /// The name, unique among sites.
    pub name: Located<String>,
    /// The failure domains to use, nearest first.
    pub failure_domains: Vec<Located<String>>,
}

/// A block of client addresses.
#[derive(Debug, Clone, Serialize)]
pub struct RawBlock {
    /// The block in CIDR notation.
    pub block: Located<String>,
    /// The site its clients are at.
    pub site: Located<String>,
}
