//! The checked configuration: every reference is a key, every number is within its bounds.

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

/// The checked configuration of one generation.
#[derive(Debug)]
pub struct FleetConfig {
    /// Regions.
    pub regions: Arena<RegionKey, RegionRecord>,
    /// Failure domains.
    pub domains: Arena<DomainKey, DomainRecord>,
    /// Seats.
    pub seats: Arena<SeatKey, SeatRecord>,
    /// Departments.
    pub departments: Arena<DepartmentKey, DepartmentRecord>,
    /// Client accounts.
    pub accounts: Arena<AccountKey, AccountRecord>,
    /// Pools.
    pub pools: Arena<PoolKey, PoolRecord>,
    /// Upstreams of all pools.
    pub upstreams: Arena<UpstreamKey, UpstreamRecord>,
    /// Routes.
    pub routes: Arena<RouteKey, RouteRecord>,
    /// Shifts.
    pub shifts: Arena<ShiftKey, ShiftRecord>,
    /// Sites of clients.
    pub sites: Arena<SiteKey, SiteRecord>,
    /// Links between regions.
    pub links: LinkTable,
    /// What is leaving.
    pub drains: DrainSet,
    /// Access keys by digest.
    pub access: AccessTable,
    /// Routes by path.
    pub route_table: RouteTable,
    /// Sites by client address.
    pub blocks: BlockTable,
}

impl FleetConfig {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document with their places.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        Self::try_from(RawFleet::read(file, text))
    }
}

/// A region.
#[derive(Debug)]
pub struct RegionRecord {
    /// The name.
    pub name: String,
    /// Its failure domains.
    pub domains: Vec<DomainKey>,
}

/// A failure domain.
#[derive(Debug)]
pub struct DomainRecord {
    /// The name.
    pub name: String,
    /// The region it belongs to.
    pub region: RegionKey,
    /// Its seats.
    pub seats: Vec<SeatKey>,
}

/// A seat.
#[derive(Debug)]
pub struct SeatRecord {
    /// The name.
    pub name: String,
    /// The failure domain it belongs to.
    pub domain: DomainKey,
}

/// A department.
#[derive(Debug)]
pub struct DepartmentRecord {
    /// The name.
    pub name: String,
}

/// A client account.
#[derive(Debug)]
pub struct AccountRecord {
    /// The name.
    pub name: String,
    /// The department it belongs to.
    pub department: DepartmentKey,
    /// The rate in requests per second.
    pub rate_per_s: u64,
    /// The burst in requests.
    pub burst: u64,
}

/// A pool of upstreams.
#[derive(Debug)]
pub struct PoolRecord {
    /// The name.
    pub name: String,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamKey>,
    /// The path of the upstreams' health endpoint.
    pub health_path: String,
    /// The path of the upstreams' load endpoint.
    pub load_path: String,
}

/// An upstream.
#[derive(Debug)]
pub struct UpstreamRecord {
    /// The name.
    pub name: String,
    /// The pool it belongs to.
    pub pool: PoolKey,
    /// The address.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub domain: DomainKey,
    /// The region it runs in.
    pub region: RegionKey,
    /// The number of requests it may run at once.
    pub slots: u32,
    /// The number of connections it accepts.
    pub connections: u32,
}

/// How urgent a request is; the least urgent is shed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Confirmations and bookings.
    Urgent,
    /// Uploads and everything without a class.
    Standard,
    /// Previews and schedule checks.
    Preview,
    /// Work that may wait but must arrive.
    Overnight,
}

/// What happens to requests with an access key in a failure domain that is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum IsolationMode {
    /// They are served for as long as the cut lasts.
    Serve,
    /// They are refused once the limit has passed.
    Refuse,
}

/// The rule for a failure domain that hears neither the platform nor another domain.
#[derive(Debug, Clone, Copy)]
pub struct IsolationRule {
    /// What happens.
    pub mode: IsolationMode,
    /// After which time.
    pub limit: Duration,
}

/// A route.
#[derive(Debug)]
pub struct RouteRecord {
    /// The name.
    pub name: String,
    /// The department it belongs to.
    pub department: DepartmentKey,
    /// The path prefix it serves.
    pub path_prefix: String,
    /// The pool it uses.
    pub pool: PoolKey,
    /// How urgent its requests are.
    pub class: PriorityClass,
    /// Whether it is open to callers without an access key.
    pub open: bool,
    /// The accounts that may use it, in order of their keys.
    pub accounts: Vec<AccountKey>,
    /// The time a request may take.
    pub deadline: Duration,
    /// Methods that are idempotent here besides those that HTTP defines so.
    pub idempotent_methods: Vec<String>,
    /// The rule for a failure domain that is cut off.
    pub isolation: IsolationRule,
    /// The shifts of this route.
    pub shifts: Vec<ShiftKey>,
}

impl RouteRecord {
    /// Tells whether `account` may use the route.
    #[must_use]
    pub fn allows(&self, account: AccountKey) -> bool {
        self.accounts.binary_search(&account).is_ok()
    }

    /// Tells whether a request with `method` may be run twice without harm.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        let by_definition = matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        );
        by_definition || self.idempotent_methods.iter().any(|known| known == method)
    }
}

/// The most that a shift may move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftCap {
    /// A share of the route's requests, in percent.
    Share(u32),
    /// A number of requests per second.
    Rate(u64),
}

/// Whether a shift is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ShiftState {
    /// It has not begun.
    Planned,
    /// It moves requests.
    Active,
    /// It has begun and moves nothing for now.
    Paused,
}

/// A shift.
#[derive(Debug)]
pub struct ShiftRecord {
    /// The name.
    pub name: String,
    /// The route whose requests move.
    pub route: RouteKey,
    /// The region they leave.
    pub from: RegionKey,
    /// The region they go to.
    pub to: RegionKey,
    /// The most that may move.
    pub cap: ShiftCap,
    /// Whether it is in force.
    pub state: ShiftState,
}

/// A site of clients.
#[derive(Debug)]
pub struct SiteRecord {
    /// The name.
    pub name: String,
    /// The failure domains to use, nearest first.
    pub domains: Vec<DomainKey>,
}

/// A link between two regions.
#[derive(Debug, Clone, Copy)]
pub struct LinkRecord {
    /// The capacity in Mbit/s, each way.
    pub capacity_mbit_per_s: u64,
    /// The one-way latency.
    pub latency: Duration,
}

/// The links between all pairs of regions.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: HashMap<(RegionKey, RegionKey), LinkRecord>,
}

impl LinkTable {
    const DEFAULT_LINK: LinkRecord = LinkRecord {
        capacity_mbit_per_s: 4_000,
        latency: Duration::from_millis(50),
    };

    /// Sets the link between two regions, in both directions.
    pub fn insert(&mut self, one: RegionKey, other: RegionKey, link: LinkRecord) {
        self.links.insert((one, other), link);
        self.links.insert((other, one), link);
    }

    /// Returns the link between two regions.
    #[must_use]
    pub fn between(&self, one: RegionKey, other: RegionKey) -> LinkRecord {
        self.links
            .get(&(one, other))
            .copied()
            .unwrap_or(Self::DEFAULT_LINK)
    }
}

/// What is leaving.
#[derive(Debug, Default)]
pub struct DrainSet {
    /// Upstreams.
    pub upstreams: Vec<UpstreamKey>,
    /// Instances by name. Instances are not part of the configuration, so they have no key.
    pub instances: Vec<String>,
    /// Regions.
    pub regions: Vec<RegionKey>,
    /// Departments.
    pub departments: Vec<DepartmentKey>,
}

impl DrainSet {
    /// Tells whether an upstream leaves, by itself or with its region.
    #[must_use]
    pub fn is_upstream_draining(&self, upstream: UpstreamKey, region: RegionKey) -> bool {
        self.upstreams.contains(&upstream) || self.regions.contains(&region)
    }
}
