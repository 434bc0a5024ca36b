//! The configuration of a small fleet and helpers for the tests of the steering decisions.

#![allow(dead_code, reason = "each test file uses only a part of the module")]

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, SlotCounter, TimeLease};
use coltsfootkeel_decisions::{HealthEvaluator, RampPolicy, UpstreamHandle, UpstreamHealth};
use coltsfootkeel_model::{
    Arena, ArenaKey, DomainKey, FleetConfig, PoolKey, RegionKey, RouteKey, ShiftKey, UpstreamKey,
};

/// The failure domains of the fleet, each with its region.
pub const DOMAINS: [(&str, &str); 5] = [
    ("penang-a", "penang"),
    ("penang-b", "penang"),
    ("johor-a", "johor"),
    ("johor-b", "johor"),
    ("kuching-a", "kuching"),
];

/// The parts of a configuration that tests vary. Each text is one YAML item of the list named by its field.
#[derive(Debug, Clone, Default)]
pub struct FleetText {
    /// The name and the failure domain of each upstream of the only pool.
    pub upstreams: Vec<(String, &'static str)>,
    pub shifts: Vec<String>,
    pub drains: Vec<String>,
    pub sites: Vec<String>,
    pub blocks: Vec<String>,
    pub links: Vec<String>,
}

impl FleetText {
    /// Creates a fleet with the given upstreams, each with its failure domain, and links from penang to the other
    /// regions.
    pub fn new(upstreams: &[(&str, &'static str)]) -> Self {
        Self {
            upstreams: upstreams
                .iter()
                .map(|(name, domain)| (name.to_string(), *domain))
                .collect(),
            links: vec![
                "{between: [penang, johor], capacity_mbit_per_s: 4000, latency_ms: 35}".into(),
                "{between: [penang, kuching], capacity_mbit_per_s: 4000, latency_ms: 40}".into(),
            ],
            ..Self::default()
        }
    }

    /// Creates a fleet with `count` upstreams in penang-a, named od-0, od-1 and so on.
    pub fn in_one_domain(count: usize) -> Self {
        let mut text = Self::new(&[]);
        text.upstreams = (0..count)
            .map(|index| (format!("od-{index}"), "penang-a"))
            .collect();
        text
    }

    pub fn with_shift(mut self, shift: &str) -> Self {
        self.shifts.push(shift.to_string());
        self
    }

    pub fn with_drain(mut self, drain: &str) -> Self {
        self.drains.push(drain.to_string());
        self
    }

    /// Parses and checks the configuration.
    ///
    /// # Panics
    ///
    /// Panics with the findings if the configuration is invalid.
    pub fn parse(&self) -> FleetConfig {
        let text = self.render();
        FleetConfig::parse("test", &text).unwrap_or_else(|findings| panic!("{findings}\n{text}"))
    }

    /// Returns the text of the configuration.
    pub fn render(&self) -> String {
        let mut text = String::from(
            "regions:\n\
             \x20 - {name: penang, failure_domains: [penang-a, penang-b]}\n\
             \x20 - {name: johor, failure_domains: [johor-a, johor-b]}\n\
             \x20 - {name: kuching, failure_domains: [kuching-a]}\n\
             departments: [{name: weddings}]\n\
             client_accounts: [{name: hotel-group, department: weddings, rate_per_s: 100, burst: 50}]\n\
             routes:\n\
             \x20 - {name: confirmations, department: weddings, path_prefix: /confirmations, pool: order-desk}\n\
             seats:\n",
        );
        for (domain, _) in DOMAINS {
            writeln!(text, "  - {{name: {domain}-1, failure_domain: {domain}}}").unwrap();
        }
        text.push_str("pools:\n  - name: order-desk\n    upstreams:\n");
        for (index, (name, domain)) in self.upstreams.iter().enumerate() {
            let port = 9_000 + index;
            writeln!(
                text,
                "      - {{name: {name}, address: \"127.0.0.1:{port}\", failure_domain: {domain}, \
                 slots: 9, connections: 400}}"
            )
            .unwrap();
        }
        for (field, items) in [
            ("links", &self.links),
            ("shifts", &self.shifts),
            ("drains", &self.drains),
            ("sites", &self.sites),
            ("blocks", &self.blocks),
        ] {
            writeln!(text, "{field}: [{}]", items.join(", ")).unwrap();
        }
        text
    }
}

/// Returns the key of the only pool.
pub const POOL: fn() -> PoolKey = || PoolKey::from_index(0);
/// Returns the key of the only route.
pub const ROUTE: fn() -> RouteKey = || RouteKey::from_index(0);

pub fn domain(config: &FleetConfig, name: &str) -> DomainKey {
    let key = config.domains.find(|domain| domain.name == name);
    key.unwrap_or_else(|| panic!("no failure domain {name}"))
}

pub fn region(config: &FleetConfig, name: &str) -> RegionKey {
    let key = config.regions.find(|region| region.name == name);
    key.unwrap_or_else(|| panic!("no region {name}"))
}

pub fn upstream(config: &FleetConfig, name: &str) -> UpstreamKey {
    let key = config.upstreams.find(|upstream| upstream.name == name);
    key.unwrap_or_else(|| panic!("no upstream {name}"))
}

pub fn shift(config: &FleetConfig, name: &str) -> ShiftKey {
    let key = config.shifts.find(|shift| shift.name == name);
    key.unwrap_or_else(|| panic!("no shift {name}"))
}

pub fn at_ms(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

pub fn at_s(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

/// A lease that is valid for the whole test.
pub fn long_lease() -> TimeLease {
    let lease = TimeLease::new();
    lease.renew(at_ms(0), Duration::from_hours(24));
    lease
}

/// Creates the handles of all upstreams, with `slots` slots each.
pub fn upstream_handles(
    records: &Arena<UpstreamKey, Arc<UpstreamHealth>>,
    slots: u32,
) -> Arena<UpstreamKey, UpstreamHandle> {
    records
        .iter()
        .map(|(_, health)| {
            let counter = Arc::new(SlotCounter::new());
            counter.set_capacity(slots);
            UpstreamHandle {
                slots: counter,
                health: Arc::clone(health),
            }
        })
        .collect()
}

/// Creates an evaluator with the upstreams of `config` and returns it with their health records.
pub fn new_evaluator(
    config: &FleetConfig,
    ramp: RampPolicy,
) -> (HealthEvaluator, Arena<UpstreamKey, Arc<UpstreamHealth>>) {
    let mut evaluator = HealthEvaluator::new(ramp);
    let records = evaluator.apply(config, at_ms(0));
    (evaluator, records)
}

/// A pseudo-random sequence of the `SplitMix64` generator. The field holds its state, at first the seed.
#[derive(Debug, Clone)]
pub struct RandomSequence(pub u64);

impl RandomSequence {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let number = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        number ^ (number >> 31)
    }
}
