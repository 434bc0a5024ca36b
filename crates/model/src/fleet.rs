//! The validated configuration: each reference is a key, and each number is within its bounds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::access_table::AccessTable;
use crate::arena::Arena;
use crate::block_table::BlockTable;
use crate::findings::FindingList;
use crate::keys::{
    AccountKey, DepartmentKey, DomainKey, PoolKey, RegionKey, RouteKey, SeatKey, ShiftKey, SiteKey,
    UpstreamKey,
};
use crate::raw_fleet::RawFleet;
use crate::route_table::RouteTable;

/// The validated configuration of one generation.
#[derive(Debug)]
pub struct FleetConfig {
    /// All regions.
    pub regions: Arena<RegionKey, RegionRecord>,
    /// The failure domains of all regions.
    pub domains: Arena<DomainKey, DomainRecord>,
    /// All seats, each of which holds a base share of the limits.
    pub seats: Arena<SeatKey, SeatRecord>,
    /// All departments.
    pub departments: Arena<DepartmentKey, DepartmentRecord>,
    /// All client accounts.
    pub accounts: Arena<AccountKey, AccountRecord>,
    /// All pools of upstreams.
    pub pools: Arena<PoolKey, PoolRecord>,
    /// The upstreams of all pools.
    pub upstreams: Arena<UpstreamKey, UpstreamRecord>,
    /// All routes.
    pub routes: Arena<RouteKey, RouteRecord>,
    /// All shifts, in force or not.
    pub shifts: Arena<ShiftKey, ShiftRecord>,
    /// All client sites.
    pub sites: Arena<SiteKey, SiteRecord>,
    /// The network links between regions.
    pub links: LinkTable,
    /// The objects that are being drained.
    pub drains: DrainSet,
    /// Look-up of client accounts by access key digest.
    pub access: AccessTable,
    /// Look-up of routes by path.
    pub route_table: RouteTable,
    /// Look-up of sites by client address.
    pub blocks: BlockTable,
}

impl FleetConfig {
    /// Parses and validates a YAML or JSON document. `file` is the name of the document in findings.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document with their source locations.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        Self::try_from(RawFleet::read(file, text))
    }
}

/// A region, which has one or more failure domains.
#[derive(Debug)]
pub struct RegionRecord {
    /// The region's name, unique among regions.
    pub name: String,
    /// The region's failure domains, at least one.
    pub domains: Vec<DomainKey>,
}

/// A failure domain of a region.
#[derive(Debug)]
pub struct DomainRecord {
    /// The failure domain's name, unique among the failure domains of all regions.
    pub name: String,
    /// The region that the failure domain belongs to.
    pub region: RegionKey,
    /// The seats in the failure domain.
    pub seats: Vec<SeatKey>,
}

/// A seat: an instance that holds it has a base share of the limits.
#[derive(Debug)]
pub struct SeatRecord {
    /// The seat's name, unique among seats.
    pub name: String,
    /// The failure domain that the seat belongs to.
    pub domain: DomainKey,
}

/// A department, which owns client accounts and routes.
#[derive(Debug)]
pub struct DepartmentRecord {
    /// The department's name, unique among departments.
    pub name: String,
}

/// A client account with its rate limit.
#[derive(Debug)]
pub struct AccountRecord {
    /// The client account's name, unique among client accounts.
    pub name: String,
    /// The department that the client account belongs to.
    pub department: DepartmentKey,
    /// The rate limit in requests per second.
    pub rate_per_s: u64,
    /// The burst: the capacity of the token bucket of the rate limit, in requests.
    pub burst: u64,
}

/// A pool of interchangeable upstreams.
#[derive(Debug)]
pub struct PoolRecord {
    /// The pool's name, unique among pools.
    pub name: String,
    /// The pool's upstreams, at least one.
    pub upstreams: Vec<UpstreamKey>,
    /// The path of the health endpoint of each upstream.
    pub health_path: String,
    /// The path of the load endpoint of each upstream.
    pub load_path: String,
}

/// An upstream of a pool.
#[derive(Debug)]
pub struct UpstreamRecord {
    /// The upstream's name, unique among the upstreams of all pools.
    pub name: String,
    /// The pool that the upstream belongs to.
    pub pool: PoolKey,
    /// The IP address and port, which no other upstream has.
    pub address: SocketAddr,
    /// The failure domain that the upstream runs in.
    pub domain: DomainKey,
    /// The region of that failure domain.
    pub region: RegionKey,
    /// The number of requests that the upstream may run at once.
    pub slots: u32,
    /// The number of connections that the upstream accepts.
    pub connections: u32,
}

/// The priority class of a request. Under overload, the least urgent class is shed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Requests such as confirmations and bookings.
    Urgent,
    /// Requests such as uploads, and those of routes without a configured class.
    Standard,
    /// Requests such as previews and schedule checks.
    Preview,
    /// Requests that may be delayed but must complete.
    Overnight,
}

/// How an isolated failure domain handles requests with an access key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum IsolationMode {
    /// Requests are served for as long as the isolation lasts.
    Serve,
    /// Requests are refused once the failure domain has been isolated for [`IsolationRule::limit`].
    Refuse,
}

/// The rule for an isolated failure domain, which can reach neither the platform nor another failure domain.
#[derive(Debug, Clone, Copy)]
pub struct IsolationRule {
    /// How requests with an access key are handled.
    pub mode: IsolationMode,
    /// How long requests are still served in [`IsolationMode::Refuse`].
    pub limit: Duration,
}

/// A route from a path prefix to a pool.
#[derive(Debug)]
pub struct RouteRecord {
    /// The route's name, unique among routes.
    pub name: String,
    /// The department that the route belongs to.
    pub department: DepartmentKey,
    /// The path prefix of the requests that the route serves.
    pub path_prefix: String,
    /// The pool whose upstreams run the requests.
    pub pool: PoolKey,
    /// The priority class of the requests.
    pub class: PriorityClass,
    /// Whether callers may use the route without an access key.
    pub open: bool,
    /// The client accounts that may use the route, sorted by key.
    pub accounts: Vec<AccountKey>,
    /// The longest time that a request may take, queueing included.
    pub deadline: Duration,
    /// Methods that are idempotent on this route, in addition to those that HTTP defines as idempotent.
    pub idempotent_methods: Vec<String>,
    /// How an isolated failure domain handles requests of this route.
    pub isolation: IsolationRule,
    /// The shifts of this route, in force or not.
    pub shifts: Vec<ShiftKey>,
}

impl RouteRecord {
    /// Returns whether `account` may use the route.
    #[must_use]
    pub fn allows(&self, account: AccountKey) -> bool {
        self.accounts.binary_search(&account).is_ok()
    }

    /// Returns whether a request with `method` may be run more than once without harm.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        let by_definition = matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        );
        by_definition
            || self
                .idempotent_methods
                .iter()
                .any(|listed| listed == method)
    }
}

/// The upper limit of what a shift moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftCap {
    /// A percentage of the route's requests, from 0 to 100.
    Share(u32),
    /// A number of requests per second.
    Rate(u64),
}

/// Whether a shift is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ShiftState {
    /// The shift has not started.
    Planned,
    /// The shift moves requests.
    Active,
    /// The shift has started but moves no requests at present.
    Paused,
}

/// A shift of a route's requests from one region to another.
#[derive(Debug)]
pub struct ShiftRecord {
    /// The shift's name, unique among shifts.
    pub name: String,
    /// The route whose requests are moved.
    pub route: RouteKey,
    /// The region that requests are moved from.
    pub from: RegionKey,
    /// The region that requests are moved to.
    pub to: RegionKey,
    /// The upper limit of what the shift moves.
    pub cap: ShiftCap,
    /// Whether the shift is in force.
    pub state: ShiftState,
}

/// A site that clients call from.
#[derive(Debug)]
pub struct SiteRecord {
    /// The site's name, unique among sites.
    pub name: String,
    /// The failure domains that clients at the site use, nearest first.
    pub domains: Vec<DomainKey>,
}

/// The properties of the network link between two regions.
#[derive(Debug, Clone, Copy)]
pub struct LinkRecord {
    /// The capacity in each direction, in Mbit/s.
    pub capacity_mbit_per_s: u64,
    /// The one-way latency.
    pub latency: Duration,
}

/// The links between all pairs of regions. A pair without a configured link has the default link.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: HashMap<(RegionKey, RegionKey), LinkRecord>,
}

impl LinkTable {
    const DEFAULT_LINK: LinkRecord = LinkRecord {
        capacity_mbit_per_s: 4_000,
        latency: Duration::from_millis(50),
    };

    /// Sets the link between two regions for both directions.
    pub fn insert(&mut self, one: RegionKey, other: RegionKey, link: LinkRecord) {
        self.links.insert((one, other), link);
        self.links.insert((other, one), link);
    }

    /// Returns the link between two regions, or the default link if none is configured.
    #[must_use]
    pub fn between(&self, one: RegionKey, other: RegionKey) -> LinkRecord {
        self.links
            .get(&(one, other))
            .copied()
            .unwrap_or(Self::DEFAULT_LINK)
    }
}

/// The objects that are being drained: they finish their running requests and receive no new ones.
#[derive(Debug, Default)]
pub struct DrainSet {
    /// The upstreams that are drained one by one.
    pub upstreams: Vec<UpstreamKey>,
    /// The names of the drained instances. Instances are not part of the configuration, so they have no key.
    pub instances: Vec<String>,
    /// The regions that are drained as a whole.
    pub regions: Vec<RegionKey>,
    /// The departments that are drained as a whole.
    pub departments: Vec<DepartmentKey>,
}

impl DrainSet {
    /// Returns whether `upstream` is being drained, by itself or with its region.
    #[must_use]
    pub fn is_upstream_draining(&self, upstream: UpstreamKey, region: RegionKey) -> bool {
        self.upstreams.contains(&upstream) || self.regions.contains(&region)
    }
}
