//! Validation of [`RawAnswers`] and their conversion into [`TeamAnswers`]. All faults are collected.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use coltsfootkeel_model::{
    AccountKey, Arena, ArenaKey, ClientBlock, DepartmentKey, DomainKey, FindingList, Located,
    PoolKey, RegionKey, RouteKey, SiteKey,
};

use crate::raw_answers::{RawAnswers, RawCaller, RawDeparture, RawLink, RawPool, RawService};
use crate::team_answers::{
    CallerAnswer, DelayAnswer, DeliveryAnswer, DepartmentAnswer, DepartureAnswer, DomainAnswer,
    LinkAnswer, PoolAnswer, RegionAnswer, ServiceAnswer, SiteAnswer, TeamAnswers, UpstreamAnswer,
};

/// The longest name in a questionnaire. The limit is below the 63 bytes that the configuration allows, because the
/// generated names of upstreams, seats and shifts append a number or a month.
const MAX_NAME_BYTES: usize = 48;

impl TryFrom<RawAnswers> for TeamAnswers {
    type Error = FindingList;

    fn try_from(raw: RawAnswers) -> Result<Self, FindingList> {
        let answers = AnswerCheck::new(&raw).run();
        match answers {
            Some(answers) if raw.findings.is_empty() => Ok(answers),
            _ => Err(raw.findings),
        }
    }
}

/// Maps the names of one kind of record to their keys.
#[derive(Debug)]
struct NameTable<'a, K> {
    kind: &'static str,
    findings: &'a FindingList,
    keys: HashMap<&'a str, K>,
}

impl<'a, K: ArenaKey> NameTable<'a, K> {
    /// Assigns keys to names in their order. Invalid records are included, so that references to them are not reported
    /// as dangling.
    fn new(
        kind: &'static str,
        field: &str,
        names: impl Iterator<Item = &'a Located<String>>,
        findings: &'a FindingList,
    ) -> Self {
        let mut keys = HashMap::new();
        for (index, name) in names.enumerate() {
            if name.value.is_empty() {
                continue;
            }
            if !is_valid_name(&name.value) {
                let expected = format!(
                    "expected a name of lower-case letters, digits and '-', at most {MAX_NAME_BYTES} long"
                );
                findings.report(name.location, field, expected);
            }
            if keys
                .insert(name.value.as_str(), K::from_index(index))
                .is_some()
            {
                let expected = format!(
                    "expected a unique name, but '{}' is defined twice",
                    name.value
                );
                findings.report(name.location, field, expected);
            }
        }
        Self {
            kind,
            findings,
            keys,
        }
    }

    fn resolve(&self, field: &str, name: &Located<String>) -> Option<K> {
        let key = self.keys.get(name.value.as_str()).copied();
        if key.is_none() && !name.value.is_empty() {
            let expected = format!(
                "expected the name of a {}, found '{}'",
                self.kind, name.value
            );
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

#[derive(Debug)]
struct AnswerCheck<'a> {
    raw: &'a RawAnswers,
    regions: NameTable<'a, RegionKey>,
    domains: NameTable<'a, DomainKey>,
    departments: NameTable<'a, DepartmentKey>,
    callers: NameTable<'a, AccountKey>,
    pools: NameTable<'a, PoolKey>,
}

impl<'a> AnswerCheck<'a> {
    fn new(raw: &'a RawAnswers) -> Self {
        let findings = &raw.findings;
        let domains = raw
            .regions
            .iter()
            .flat_map(|region| &region.failure_domains);
        NameTable::<SiteKey>::new(
            "site",
            "sites.name",
            raw.sites.iter().map(|site| &site.name),
            findings,
        );
        NameTable::<RouteKey>::new(
            "service",
            "services.name",
            raw.services.iter().map(|service| &service.name),
            findings,
        );
        Self {
            raw,
            regions: NameTable::new(
                "region",
                "regions.name",
                raw.regions.iter().map(|region| &region.name),
                findings,
            ),
            domains: NameTable::new(
                "failure domain",
                "regions.failure_domains.name",
                domains.map(|domain| &domain.name),
                findings,
            ),
            departments: NameTable::new(
                "department",
                "departments.name",
                raw.departments.iter().map(|department| &department.name),
                findings,
            ),
            callers: NameTable::new(
                "caller",
                "callers.name",
                raw.callers.iter().map(|caller| &caller.name),
                findings,
            ),
            pools: NameTable::new(
                "pool",
                "pools.name",
                raw.pools.iter().map(|pool| &pool.name),
                findings,
            ),
        }
    }

    /// Validates the answers. Every part is checked before the first `?`, so that all faults are reported together.
    fn run(&self) -> Option<TeamAnswers> {
        if !is_valid_name(&self.raw.team.value) {
            let expected = "expected a name of lower-case letters, digits and '-'";
            self.report_non_empty(&self.raw.team, "team", expected);
        }
        let (regions, domains) = self.regions();
        let links = self.links();
        let departments = self.departments();
        let callers = self.callers();
        let sites = self.sites();
        let pools = self.pools();
        let services = self.services();
        Some(TeamAnswers {
            team: self.raw.team.value.clone(),
            regions,
            domains,
            links,
            departments,
            callers: callers?,
            sites,
            pools,
            services: services?,
        })
    }

    fn regions(
        &self,
    ) -> (
        Arena<RegionKey, RegionAnswer>,
        Arena<DomainKey, DomainAnswer>,
    ) {
        if self.raw.regions.is_empty() {
            let location = self.raw.regions_location;
            let expected = "expected at least one region";
            self.raw.findings.report(location, "regions", expected);
        }
        let mut regions = Arena::new();
        let mut domains = Arena::new();
        for raw in &self.raw.regions {
            if raw.failure_domains.is_empty() {
                let expected = "expected at least one failure domain";
                self.report(&raw.name, "regions.failure_domains", expected);
            }
            let name = raw.name.value.clone();
            let region = regions.push(RegionAnswer { name });
            for raw in &raw.failure_domains {
                domains.push(DomainAnswer {
                    name: raw.name.value.clone(),
                    region,
                    entry_instances: raw.entry_instances.value,
                });
            }
        }
        (regions, domains)
    }

    fn links(&self) -> Vec<LinkAnswer> {
        let mut pairs = HashSet::new();
        let mut links = Vec::new();
        for raw in &self.raw.links {
            let Some(link) = self.link(raw) else {
                continue;
            };
            let pair = (link.one.min(link.other), link.one.max(link.other));
            if !pairs.insert(pair) {
                let expected = "expected a pair of regions that no other link has";
                self.raw
                    .findings
                    .report(raw.location, "links.between", expected);
            }
            links.push(link);
        }
        links
    }

    fn link(&self, raw: &RawLink) -> Option<LinkAnswer> {
        const FIELD: &str = "links.between";
        let regions = self.regions.resolve_all(FIELD, &raw.between);
        if regions.len() < raw.between.len() {
            return None;
        }
        match regions[..] {
            [one, other] if one != other => Some(LinkAnswer {
                one,
                other,
                capacity_mbit_per_s: raw.capacity_mbit_per_s.value,
                latency_ms: raw.latency_ms.value,
            }),
            _ => {
                let expected = "expected two different regions";
                self.raw.findings.report(raw.location, FIELD, expected);
                None
            }
        }
    }

    fn departments(&self) -> Arena<DepartmentKey, DepartmentAnswer> {
        self.raw
            .departments
            .iter()
            .map(|raw| DepartmentAnswer {
                name: raw.name.value.clone(),
                departure: raw.departure.as_ref().and_then(|raw| self.departure(raw)),
            })
            .collect()
    }

    fn departure(&self, raw: &RawDeparture) -> Option<DepartureAnswer> {
        if !is_valid_month(&raw.month.value) {
            let expected = "expected a month such as 2027-02";
            self.report_non_empty(&raw.month, "departments.departure.month", expected);
        }
        let from = self
            .regions
            .resolve("departments.departure.from", &raw.from);
        let to = self.regions.resolve("departments.departure.to", &raw.to);
        if from.is_some() && from == to {
            let expected = "expected a region other than 'from'";
            self.report(&raw.to, "departments.departure.to", expected);
        }
        Some(DepartureAnswer {
            month: raw.month.value.clone(),
            from: from?,
            to: to?,
            at_once_percent: raw.at_once_percent.value,
        })
    }

    fn callers(&self) -> Option<Arena<AccountKey, CallerAnswer>> {
        let answers: Vec<_> = self
            .raw
            .callers
            .iter()
            .map(|raw| self.caller(raw))
            .collect();
        answers.into_iter().collect()
    }

    fn caller(&self, raw: &RawCaller) -> Option<CallerAnswer> {
        if raw.peak_per_s.value < raw.expected_per_s.value {
            let expected = "expected at least 'expected_per_s'";
            let location = raw.peak_per_s.location;
            self.raw
                .findings
                .report(location, "callers.peak_per_s", expected);
        }
        let department = self
            .departments
            .resolve("callers.department", &raw.department);
        Some(CallerAnswer {
            name: raw.name.value.clone(),
            department: department?,
            expected_per_s: raw.expected_per_s.value,
            peak_per_s: raw.peak_per_s.value,
        })
    }

    fn sites(&self) -> Arena<SiteKey, SiteAnswer> {
        let mut listed_blocks = HashSet::new();
        let mut sites = Arena::new();
        for raw in &self.raw.sites {
            let domains = self
                .domains
                .resolve_all("sites.failure_domains", &raw.failure_domains);
            if raw.failure_domains.is_empty() {
                let expected = "expected at least one failure domain";
                self.report(&raw.name, "sites.failure_domains", expected);
            }
            for block in &raw.blocks {
                if let Err(error) = ClientBlock::try_from(block.value.as_str()) {
                    self.report(block, "sites.blocks", &error.to_string());
                } else if !listed_blocks.insert(block.value.as_str()) {
                    let expected = "expected a block that is listed once";
                    self.report(block, "sites.blocks", expected);
                }
            }
            sites.push(SiteAnswer {
                name: raw.name.value.clone(),
                domains,
                blocks: raw.blocks.iter().map(|block| block.value.clone()).collect(),
            });
        }
        sites
    }

    fn pools(&self) -> Arena<PoolKey, PoolAnswer> {
        let mut addresses = HashSet::new();
        self.raw
            .pools
            .iter()
            .map(|raw| self.pool(raw, &mut addresses))
            .collect()
    }

    fn pool(&self, raw: &RawPool, addresses: &mut HashSet<SocketAddr>) -> PoolAnswer {
        let mut upstreams = Vec::new();
        for group in &raw.upstreams {
            let domain = self
                .domains
                .resolve("pools.upstreams.failure_domain", &group.failure_domain);
            for text in &group.addresses {
                let address = self.checked_address(text, addresses);
                if let (Some(address), Some(domain)) = (address, domain) {
                    upstreams.push(UpstreamAnswer { address, domain });
                }
            }
        }
        if raw.upstreams.iter().all(|group| group.addresses.is_empty()) {
            let expected = "expected at least one upstream";
            self.report(&raw.name, "pools.upstreams", expected);
        }
        self.check_path("pools.health_path", &raw.health_path);
        self.check_path("pools.load_path", &raw.load_path);
        PoolAnswer {
            name: raw.name.value.clone(),
            slots: raw.slots.value,
            connections: raw.connections.value,
            health_path: raw.health_path.value.clone(),
            load_path: raw.load_path.value.clone(),
            upstreams,
        }
    }

    fn checked_address(
        &self,
        text: &Located<String>,
        addresses: &mut HashSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        const FIELD: &str = "pools.upstreams.addresses";
        let Ok(address) = text.value.parse() else {
            let expected = "expected an IP address and port such as 10.0.0.7:8080";
            self.report(text, FIELD, expected);
            return None;
        };
        if !addresses.insert(address) {
            let expected = "expected an address that no other upstream has";
            self.report(text, FIELD, expected);
        }
        Some(address)
    }

    fn services(&self) -> Option<Arena<RouteKey, ServiceAnswer>> {
        let mut paths = HashSet::new();
        let mut answers = Vec::new();
        for raw in &self.raw.services {
            self.check_path("services.path", &raw.path);
            self.check_unreserved_path(&raw.path);
            if !paths.insert(raw.path.value.as_str()) && !raw.path.value.is_empty() {
                let expected = "expected a path that no other service has";
                self.report(&raw.path, "services.path", expected);
            }
            if raw.at_most_ms.value < raw.usual_ms.value {
                let location = raw.at_most_ms.location;
                let expected = "expected at least 'usual_ms'";
                self.raw
                    .findings
                    .report(location, "services.at_most_ms", expected);
            }
            answers.push(self.service(raw));
        }
        answers.into_iter().collect()
    }

    fn service(&self, raw: &RawService) -> Option<ServiceAnswer> {
        let department = self
            .departments
            .resolve("services.department", &raw.department);
        let pool = self.pools.resolve("services.pool", &raw.pool);
        let callers = self.callers.resolve_all("services.callers", &raw.callers);
        self.check_call_rate(raw);
        Some(ServiceAnswer {
            name: raw.name.value.clone(),
            department: department?,
            path: raw.path.value.clone(),
            pool: pool?,
            open_to_all: raw.open_to_all.value,
            callers,
            calls_per_s: raw.calls_per_s.value,
            sends_kib: raw.sends_kib.value,
            receives_kib: raw.receives_kib.value,
            usual_ms: raw.usual_ms.value,
            at_most_ms: raw.at_most_ms.value,
            delivery: DeliveryAnswer {
                must_not_run_twice: raw.must_not_run_twice.value,
                must_not_be_lost: raw.must_not_be_lost.value,
            },
            delay: DelayAnswer {
                may_be_late: raw.may_be_late.value,
                may_wait: raw.may_wait.value,
            },
        })
    }

    /// Reports a service whose expected calls exceed the sum of its callers' peak rates.
    fn check_call_rate(&self, raw: &RawService) {
        if raw.open_to_all.value {
            return;
        }
        let may_call = |caller: &&RawCaller| {
            if raw.callers.is_empty() {
                return caller.department.value == raw.department.value;
            }
            raw.callers
                .iter()
                .any(|name| name.value == caller.name.value)
        };
        let callers = self.raw.callers.iter().filter(may_call);
        let peak: u64 = callers.map(|caller| caller.peak_per_s.value).sum();
        if raw.calls_per_s.value > peak {
            let expected =
                format!("expected at most {peak}, the sum of 'peak_per_s' of its callers");
            let location = raw.calls_per_s.location;
            self.raw
                .findings
                .report(location, "services.calls_per_s", expected);
        }
    }

    fn check_path(&self, field: &str, path: &Located<String>) {
        if !path.value.starts_with('/') {
            self.report_non_empty(path, field, "expected a path that starts with '/'");
        }
    }

    fn check_unreserved_path(&self, path: &Located<String>) {
        if path.value == "/v1" || path.value.starts_with("/v1/") {
            let expected = "expected a path outside '/v1', which is reserved";
            self.report(path, "services.path", expected);
        }
    }

    /// Reports a fault of a string. An empty string was already reported by the reader and is skipped.
    fn report_non_empty(&self, text: &Located<String>, field: &str, expected: &str) {
        if !text.value.is_empty() {
            self.report(text, field, expected);
        }
    }

    fn report(&self, text: &Located<String>, field: &str, expected: &str) {
        self.raw.findings.report(text.location, field, expected);
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn is_valid_month(text: &str) -> bool {
    let Some((year, month)) = text.split_once('-') else {
        return false;
    };
    let is_numeric = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    let month_number = month.parse::<u8>().unwrap_or(0);
    year.len() == 4 && month.len() == 2 && is_numeric(year) && (1..=12).contains(&month_number)
}
