//! Validation of a [`RawFleet`] and its conversion into a [`FleetConfig`]. All faults are collected.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::access_table::{AccessDigest, AccessGrant, AccessTable};
use crate::arena::{Arena, ArenaKey};
use crate::block_table::{BlockTable, ClientBlock};
use crate::findings::{FindingList, Located};
use crate::fleet::{
    AccountRecord, DepartmentRecord, DomainRecord, DrainSet, FleetConfig, IsolationRule,
    LinkRecord, LinkTable, PoolRecord, RegionRecord, RouteRecord, SeatRecord, ShiftCap,
    ShiftRecord, SiteRecord, UpstreamRecord,
};
use crate::keys::{
    AccountKey, DepartmentKey, DomainKey, PoolKey, RegionKey, RouteKey, SeatKey, ShiftKey, SiteKey,
    UpstreamKey,
};
use crate::raw_fleet::{DrainKind, RawAccount, RawCap, RawFleet, RawLink, RawRoute};
use crate::route_table::RouteTable;

const MAX_NAME_BYTES: usize = 63;
const LINK_FIELD: &str = "links.between";

impl TryFrom<RawFleet> for FleetConfig {
    type Error = FindingList;

    fn try_from(raw: RawFleet) -> Result<Self, FindingList> {
        let mut check = FleetCheck::new(&raw);
        let fleet = check.run();
        if raw.findings.is_empty() {
            Ok(fleet)
        } else {
            Err(raw.findings)
        }
    }
}

/// Maps the names of one kind of record to their keys.
#[derive(Debug)]
struct NameTable<'a, K> {
    /// The kind of record with its article, for messages.
    kind: &'static str,
    /// The path of the field that defines the name.
    field: &'static str,
    findings: &'a FindingList,
    keys: HashMap<String, K>,
}

impl<'a, K: ArenaKey> NameTable<'a, K> {
    fn new(kind: &'static str, field: &'static str, findings: &'a FindingList) -> Self {
        Self {
            kind,
            field,
            findings,
            keys: HashMap::new(),
        }
    }

    fn define(&mut self, name: &Located<String>, key: K) {
        if name.value.is_empty() {
            return;
        }
        if !is_valid_name(&name.value) {
            let expected = format!(
                "expected a name of lower-case letters, digits and '-', at most {MAX_NAME_BYTES} long"
            );
            self.findings.report(name.location, self.field, expected);
        }
        if self.keys.insert(name.value.clone(), key).is_some() {
            let expected = format!(
                "expected a unique name, but '{}' is defined twice",
                name.value
            );
            self.findings.report(name.location, self.field, expected);
        }
    }

    fn resolve(&self, field: &str, name: &Located<String>) -> Option<K> {
        let key = self.keys.get(&name.value).copied();
        if key.is_none() && !name.value.is_empty() {
            let expected = format!("expected the name of {}, found '{}'", self.kind, name.value);
            self.findings.report(name.location, field, expected);
        }
        key
    }

    fn resolve_all(&self, field: &str, names: &[Located<String>]) -> Vec<K> {
        names
            .iter()
            .filter_map(|name| self.resolve(field, name))
            .collect()
    }
}

/// The validation of one document.
///
/// An invalid record still defines its name, so that references to it are not reported as dangling. The key of an
/// invalid record is also assigned to the next record of its kind, which has no effect, because an invalid
/// configuration is never returned.
#[derive(Debug)]
struct FleetCheck<'a> {
    raw: &'a RawFleet,
    region_names: NameTable<'a, RegionKey>,
    domain_names: NameTable<'a, DomainKey>,
    seat_names: NameTable<'a, SeatKey>,
    department_names: NameTable<'a, DepartmentKey>,
    account_names: NameTable<'a, AccountKey>,
    pool_names: NameTable<'a, PoolKey>,
    upstream_names: NameTable<'a, UpstreamKey>,
    route_names: NameTable<'a, RouteKey>,
    shift_names: NameTable<'a, ShiftKey>,
    site_names: NameTable<'a, SiteKey>,
}

impl<'a> FleetCheck<'a> {
    fn new(raw: &'a RawFleet) -> Self {
        let findings = &raw.findings;
        Self {
            raw,
            region_names: NameTable::new("a region", "regions.name", findings),
            domain_names: NameTable::new("a failure domain", "regions.failure_domains", findings),
            seat_names: NameTable::new("a seat", "seats.name", findings),
            department_names: NameTable::new("a department", "departments.name", findings),
            account_names: NameTable::new("a client account", "client_accounts.name", findings),
            pool_names: NameTable::new("a pool", "pools.name", findings),
            upstream_names: NameTable::new("an upstream", "pools.upstreams.name", findings),
            route_names: NameTable::new("a route", "routes.name", findings),
            shift_names: NameTable::new("a shift", "shifts.name", findings),
            site_names: NameTable::new("a site", "sites.name", findings),
        }
    }

    fn run(&mut self) -> FleetConfig {
        let (regions, mut domains) = self.regions();
        let seats = self.seats(&mut domains);
        let departments = self.departments();
        let (accounts, access) = self.accounts();
        let (pools, upstreams) = self.pools(&domains);
        let (mut routes, route_table) = self.routes(&accounts);
        let shifts = self.shifts(&mut routes);
        let sites = self.sites();
        FleetConfig {
            links: self.links(),
            drains: self.drains(),
            blocks: self.blocks(),
            regions,
            domains,
            seats,
            departments,
            accounts,
            pools,
            upstreams,
            routes,
            shifts,
            sites,
            access,
            route_table,
        }
    }

    fn regions(
        &mut self,
    ) -> (
        Arena<RegionKey, RegionRecord>,
        Arena<DomainKey, DomainRecord>,
    ) {
        let mut regions = Arena::new();
        let mut domains = Arena::new();
        for raw in &self.raw.regions {
            let region = RegionKey::from_index(regions.len());
            if raw.failure_domains.is_empty() {
                self.report(
                    &raw.name,
                    "regions.failure_domains",
                    "expected at least one failure domain",
                );
            }
            let mut members = Vec::new();
            for name in &raw.failure_domains {
                let record = DomainRecord {
                    name: name.value.clone(),
                    region,
                    seats: Vec::new(),
                };
                let domain = domains.push(record);
                self.domain_names.define(name, domain);
                members.push(domain);
            }
            self.region_names.define(&raw.name, region);
            regions.push(RegionRecord {
                name: raw.name.value.clone(),
                domains: members,
            });
        }
        (regions, domains)
    }

    fn seats(
        &mut self,
        domains: &mut Arena<DomainKey, DomainRecord>,
    ) -> Arena<SeatKey, SeatRecord> {
        if self.raw.seats.is_empty() {
            self.raw
                .findings
                .report(self.raw.seats_place, "seats", "expected at least one seat");
        }
        let mut seats = Arena::new();
        for raw in &self.raw.seats {
            self.seat_names
                .define(&raw.name, SeatKey::from_index(seats.len()));
            let Some(domain) = self
                .domain_names
                .resolve("seats.failure_domain", &raw.failure_domain)
            else {
                continue;
            };
            let seat = seats.push(SeatRecord {
                name: raw.name.value.clone(),
                domain,
            });
            domains[domain].seats.push(seat);
        }
        seats
    }

    fn departments(&mut self) -> Arena<DepartmentKey, DepartmentRecord> {
        let mut departments = Arena::new();
        for raw in &self.raw.departments {
            let department = departments.push(DepartmentRecord {
                name: raw.name.value.clone(),
            });
            self.department_names.define(&raw.name, department);
        }
        departments
    }

    fn accounts(&mut self) -> (Arena<AccountKey, AccountRecord>, AccessTable) {
        let mut accounts = Arena::new();
        let mut access = AccessTable::default();
        for raw in &self.raw.client_accounts {
            let account = AccountKey::from_index(accounts.len());
            self.account_names.define(&raw.name, account);
            self.add_access_keys(raw, AccessGrant { account }, &mut access);
            let department = self
                .department_names
                .resolve("client_accounts.department", &raw.department);
            let Some(department) = department else {
                continue;
            };
            accounts.push(AccountRecord {
                name: raw.name.value.clone(),
                department,
                rate_per_s: raw.rate_per_s.value,
                burst: raw.burst.value,
            });
        }
        (accounts, access)
    }

    fn add_access_keys(&self, raw: &RawAccount, grant: AccessGrant, access: &mut AccessTable) {
        const FIELD: &str = "client_accounts.access_keys.sha256";
        let mut labels = HashSet::new();
        for key in &raw.access_keys {
            if !labels.insert(key.label.value.as_str()) {
                let expected = "expected a label that no other key of the account has";
                self.report_non_empty(&key.label, "client_accounts.access_keys.label", expected);
            }
            let Some(digest) = AccessDigest::from_hex(&key.sha256.value) else {
                self.report_non_empty(&key.sha256, FIELD, "expected 64 hexadecimal digits");
                continue;
            };
            if !access.insert(digest, grant) {
                self.report(
                    &key.sha256,
                    FIELD,
                    "expected a digest that no other access key has",
                );
            }
        }
    }

    fn pools(
        &mut self,
        domains: &Arena<DomainKey, DomainRecord>,
    ) -> (
        Arena<PoolKey, PoolRecord>,
        Arena<UpstreamKey, UpstreamRecord>,
    ) {
        let mut pools = Arena::new();
        let mut upstreams = Arena::new();
        let mut addresses = HashSet::new();
        for raw in &self.raw.pools {
            let pool = PoolKey::from_index(pools.len());
            let mut members = Vec::new();
            if raw.upstreams.is_empty() {
                self.report(
                    &raw.name,
                    "pools.upstreams",
                    "expected at least one upstream",
                );
            }
            for raw_upstream in &raw.upstreams {
                let upstream = UpstreamKey::from_index(upstreams.len());
                self.upstream_names.define(&raw_upstream.name, upstream);
                let address = self.checked_address(&raw_upstream.address, &mut addresses);
                let domain = self.domain_names.resolve(
                    "pools.upstreams.failure_domain",
                    &raw_upstream.failure_domain,
                );
                let (Some(address), Some(domain)) = (address, domain) else {
                    continue;
                };
                upstreams.push(UpstreamRecord {
                    name: raw_upstream.name.value.clone(),
                    pool,
                    address,
                    domain,
                    region: domains[domain].region,
                    slots: saturating_u32(raw_upstream.slots.value),
                    connections: saturating_u32(raw_upstream.connections.value),
                });
                members.push(upstream);
            }
            self.pool_names.define(&raw.name, pool);
            pools.push(PoolRecord {
                name: raw.name.value.clone(),
                upstreams: members,
                health_path: self.checked_path("pools.health_path", &raw.health_path),
                load_path: self.checked_path("pools.load_path", &raw.load_path),
            });
        }
        (pools, upstreams)
    }

    fn checked_path(&self, field: &str, path: &Located<String>) -> String {
        if !path.value.starts_with('/') {
            self.report_non_empty(path, field, "expected a path that starts with '/'");
        }
        path.value.clone()
    }

    fn checked_address(
        &self,
        text: &Located<String>,
        addresses: &mut HashSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        const FIELD: &str = "pools.upstreams.address";
        let Ok(address) = text.value.parse() else {
            let expected = "expected an IP address and port such as 10.0.0.7:8080";
            self.report_non_empty(text, FIELD, expected);
            return None;
        };
        if !addresses.insert(address) {
            let expected = "expected an address that no other upstream has";
            self.report(text, FIELD, expected);
        }
        Some(address)
    }

    fn routes(
        &mut self,
        accounts: &Arena<AccountKey, AccountRecord>,
    ) -> (Arena<RouteKey, RouteRecord>, RouteTable) {
        let mut routes = Arena::new();
        let mut table = RouteTable::default();
        let mut prefixes = HashSet::new();
        for raw in &self.raw.routes {
            let route = RouteKey::from_index(routes.len());
            self.route_names.define(&raw.name, route);
            let prefix = &raw.path_prefix;
            if !prefixes.insert(prefix.value.as_str()) {
                let expected = "expected a prefix that no other route has";
                self.report_non_empty(prefix, "routes.path_prefix", expected);
            }
            let Some(record) = self.checked_route(raw, accounts) else {
                continue;
            };
            table.insert(&prefix.value, route);
            routes.push(record);
        }
        (routes, table)
    }

    fn checked_route(
        &self,
        raw: &RawRoute,
        accounts: &Arena<AccountKey, AccountRecord>,
    ) -> Option<RouteRecord> {
        let prefix = &raw.path_prefix;
        let is_reserved = prefix.value == "/v1" || prefix.value.starts_with("/v1/");
        if !prefix.value.starts_with('/') || is_reserved {
            let expected =
                "expected a path that starts with '/' and is outside '/v1', which is reserved";
            self.report_non_empty(prefix, "routes.path_prefix", expected);
        }
        let department = self
            .department_names
            .resolve("routes.department", &raw.department);
        let pool = self.pool_names.resolve("routes.pool", &raw.pool);
        let mut allowed = self
            .account_names
            .resolve_all("routes.accounts", &raw.accounts);
        let department = department?;
        if raw.accounts.is_empty() {
            let members = accounts
                .iter()
                .filter(|(_, account)| account.department == department);
            allowed = members.map(|(key, _)| key).collect();
        }
        allowed.sort_unstable();
        allowed.dedup();
        Some(RouteRecord {
            name: raw.name.value.clone(),
            department,
            path_prefix: prefix.value.clone(),
            pool: pool?,
            class: raw.class.value,
            open: raw.open.value,
            accounts: allowed,
            deadline: Duration::from_millis(raw.deadline_ms.value),
            idempotent_methods: raw
                .idempotent_methods
                .iter()
                .map(|name| name.value.clone())
                .collect(),
            isolation: IsolationRule {
                mode: raw.isolation.mode.value,
                limit: Duration::from_secs(raw.isolation.limit_s.value),
            },
            shifts: Vec::new(),
        })
    }

    fn shifts(
        &mut self,
        routes: &mut Arena<RouteKey, RouteRecord>,
    ) -> Arena<ShiftKey, ShiftRecord> {
        let mut shifts = Arena::new();
        for raw in &self.raw.shifts {
            let key = ShiftKey::from_index(shifts.len());
            self.shift_names.define(&raw.name, key);
            let cap = self.checked_cap(&raw.cap);
            let from = self.region_names.resolve("shifts.from", &raw.from);
            let to = self.region_names.resolve("shifts.to", &raw.to);
            let route = self.route_names.resolve("shifts.route", &raw.route);
            if from.is_some() && from == to {
                self.report(&raw.to, "shifts.to", "expected a region other than 'from'");
            }
            let (Some(route), Some(from), Some(to), Some(cap)) = (route, from, to, cap) else {
                continue;
            };
            if routes.get(route).is_none() {
                continue;
            }
            shifts.push(ShiftRecord {
                name: raw.name.value.clone(),
                route,
                from,
                to,
                cap,
                state: raw.state.value,
            });
            routes[route].shifts.push(key);
        }
        shifts
    }

    fn checked_cap(&self, raw: &RawCap) -> Option<ShiftCap> {
        match (&raw.share_percent, &raw.rate_per_s) {
            (Some(share), None) => Some(ShiftCap::Share(saturating_u32(share.value))),
            (None, Some(rate)) => Some(ShiftCap::Rate(rate.value)),
            _ => {
                let expected = "expected exactly one of: share_percent, rate_per_s";
                self.raw.findings.report(raw.place, "shifts.cap", expected);
                None
            }
        }
    }

    fn sites(&mut self) -> Arena<SiteKey, SiteRecord> {
        let mut sites = Arena::new();
        for raw in &self.raw.sites {
            let domains = self
                .domain_names
                .resolve_all("sites.failure_domains", &raw.failure_domains);
            let site = sites.push(SiteRecord {
                name: raw.name.value.clone(),
                domains,
            });
            self.site_names.define(&raw.name, site);
        }
        sites
    }

    fn links(&self) -> LinkTable {
        let mut links = LinkTable::default();
        let mut pairs = HashSet::new();
        for raw in &self.raw.links {
            let Some((one, other)) = self.link_ends(raw) else {
                continue;
            };
            if !pairs.insert((one.min(other), one.max(other))) {
                let expected = "expected a pair of regions that no other link has";
                self.raw.findings.report(raw.place, LINK_FIELD, expected);
            }
            let link = LinkRecord {
                capacity_mbit_per_s: raw.capacity_mbit_per_s.value,
                latency: Duration::from_millis(raw.latency_ms.value),
            };
            links.insert(one, other, link);
        }
        links
    }

    fn link_ends(&self, raw: &RawLink) -> Option<(RegionKey, RegionKey)> {
        let regions = self.region_names.resolve_all(LINK_FIELD, &raw.between);
        if regions.len() < raw.between.len() {
            return None;
        }
        match regions[..] {
            [one, other] if one != other => Some((one, other)),
            _ => {
                let expected = "expected two different regions";
                self.raw.findings.report(raw.place, LINK_FIELD, expected);
                None
            }
        }
    }

    fn drains(&self) -> DrainSet {
        let mut drains = DrainSet::default();
        for raw in &self.raw.drains {
            const FIELD: &str = "drains.name";
            match raw.kind.value {
                DrainKind::Upstream => drains
                    .upstreams
                    .extend(self.upstream_names.resolve(FIELD, &raw.name)),
                DrainKind::Instance => drains.instances.push(raw.name.value.clone()),
                DrainKind::Region => drains
                    .regions
                    .extend(self.region_names.resolve(FIELD, &raw.name)),
                DrainKind::Department => {
                    drains
                        .departments
                        .extend(self.department_names.resolve(FIELD, &raw.name));
                }
            }
        }
        drains
    }

    fn blocks(&self) -> BlockTable {
        let mut blocks = Vec::new();
        for raw in &self.raw.blocks {
            let block = ClientBlock::try_from(raw.block.value.as_str());
            if let Err(error) = &block {
                self.report_non_empty(&raw.block, "blocks.block", &error.to_string());
            }
            let site = self.site_names.resolve("blocks.site", &raw.site);
            if let (Ok(block), Some(site)) = (block, site) {
                blocks.push((block, site));
            }
        }
        BlockTable::build(&blocks)
    }

    /// Reports a fault of a string. An empty string was already reported by the reader and is skipped.
    fn report_non_empty(&self, text: &Located<String>, field: &str, expected: &str) {
        if !text.value.is_empty() {
            self.report(text, field, expected);
        }
    }

    fn report(&self, value: &Located<String>, field: &str, expected: &str) {
        self.raw.findings.report(value.location, field, expected);
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Converts a number that is within 32 bits, as the reader has checked.
fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
