//! Tests of the ranking of entry instances for the answer to a look-up.

mod steering_fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use coltsfootkeel_decisions::{EntryInstance, EntryTable, EntryTableBuilder, MAX_RANKED_ENTRIES};
use coltsfootkeel_model::FleetConfig;
use steering_fleet::{FleetText, RandomSequence, domain};

const HIGH_HEADROOM_PERCENT: u32 = 60;
const LOW_HEADROOM_PERCENT: u32 = 5;

/// The name of an instance, its failure domain, its headroom in percent, and whether it is leaving.
type EntryRow = (&'static str, &'static str, u32, bool);

fn fleet_config() -> FleetConfig {
    fleet_with_drains(&[])
}

fn fleet_with_drains(drains: &[&str]) -> FleetConfig {
    let mut text = FleetText::new(&[("od-0", "penang-a")]);
    text.sites = vec![
        "{name: georgetown, failure_domains: [penang-a, penang-b]}".into(),
        "{name: muar, failure_domains: [johor-b, johor-a, penang-b]}".into(),
    ];
    text.blocks = vec![
        "{block: 10.1.0.0/16, site: georgetown}".into(),
        "{block: 10.2.0.0/16, site: muar}".into(),
        "{block: 2001:db8::/32, site: georgetown}".into(),
    ];
    text.drains = drains.iter().map(ToString::to_string).collect();
    text.parse()
}

fn instances(config: &FleetConfig, rows: &[EntryRow]) -> Vec<EntryInstance> {
    rows.iter()
        .map(
            |(name, domain_name, headroom_percent, leaving)| EntryInstance {
                name: name.to_string(),
                domain: domain(config, domain_name),
                address: "127.0.0.1:8080".parse().expect("a valid address"),
                leaving: *leaving,
                headroom_percent: *headroom_percent,
            },
        )
        .collect()
}

fn ranked(config: &FleetConfig, table: &EntryTable, client: &str) -> Vec<String> {
    let client: IpAddr = client.parse().expect("a valid address");
    table
        .rank(config, client)
        .as_slice()
        .iter()
        .map(|key| {
            table
                .entry(*key)
                .expect("an instance of the table")
                .name
                .clone()
        })
        .collect()
}

struct RankCase {
    name: &'static str,
    entries: &'static [EntryRow],
    /// The drains of the configuration.
    drains: &'static [&'static str],
    client: &'static str,
    /// The expected answer, best instance first.
    ranked: &'static [&'static str],
}

const RANK_CASES: &[RankCase] = &[
    RankCase {
        name: "the nearest failure domain comes first",
        entries: &[
            ("e1", "johor-a", HIGH_HEADROOM_PERCENT, false),
            ("e2", "penang-b", HIGH_HEADROOM_PERCENT, false),
            ("e3", "penang-a", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e3", "e2", "e1"],
    },
    RankCase {
        name: "an IPv6 client",
        entries: &[
            ("e1", "penang-b", HIGH_HEADROOM_PERCENT, false),
            ("e2", "penang-a", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &[],
        client: "2001:db8::1",
        ranked: &["e2", "e1"],
    },
    RankCase {
        name: "a failure domain of the site without a live instance is skipped",
        entries: &[
            ("e1", "johor-a", HIGH_HEADROOM_PERCENT, false),
            ("e2", "penang-b", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &[],
        client: "10.2.0.1",
        ranked: &["e1", "e2"],
    },
    RankCase {
        name: "failure domains that the site does not list follow by latency",
        entries: &[
            ("e1", "kuching-a", HIGH_HEADROOM_PERCENT, false),
            ("e2", "johor-b", HIGH_HEADROOM_PERCENT, false),
            ("e3", "penang-a", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e3", "e2", "e1"],
    },
    RankCase {
        name: "a leaving instance is left out",
        entries: &[
            ("e1", "penang-a", HIGH_HEADROOM_PERCENT, true),
            ("e2", "penang-b", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e2"],
    },
    RankCase {
        name: "a drained instance is left out",
        entries: &[
            ("e1", "penang-a", HIGH_HEADROOM_PERCENT, false),
            ("e2", "penang-b", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &["{kind: instance, name: e1}"],
        client: "10.1.2.3",
        ranked: &["e2"],
    },
    RankCase {
        name: "the instances of a drained region are left out",
        entries: &[
            ("e1", "penang-a", HIGH_HEADROOM_PERCENT, false),
            ("e2", "johor-b", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &["{kind: region, name: penang}"],
        client: "10.1.2.3",
        ranked: &["e2"],
    },
    RankCase {
        name: "low headroom ranks after the region's other failure domain and before another region",
        entries: &[
            ("e1", "penang-a", LOW_HEADROOM_PERCENT, false),
            ("e2", "penang-b", HIGH_HEADROOM_PERCENT, false),
            ("e3", "johor-a", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e2", "e1", "e3"],
    },
    RankCase {
        name: "the nearest comes first if no instance has headroom",
        entries: &[("e1", "penang-a", 0, false), ("e2", "penang-b", 0, false)],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e1", "e2"],
    },
    RankCase {
        name: "a fleet without instances",
        entries: &[],
        drains: &[],
        client: "10.1.2.3",
        ranked: &[],
    },
    RankCase {
        name: "a fleet without instances and a client in no block",
        entries: &[],
        drains: &[],
        client: "192.0.2.1",
        ranked: &[],
    },
    RankCase {
        name: "a client in no block receives instances with headroom first",
        entries: &[
            ("e1", "penang-a", LOW_HEADROOM_PERCENT, false),
            ("e2", "kuching-a", HIGH_HEADROOM_PERCENT, false),
        ],
        drains: &[],
        client: "192.0.2.1",
        ranked: &["e2", "e1"],
    },
];

/// Guards against a look-up whose answer sends a client to a distant, leaving or full instance although a better one is
/// live, or is empty although an instance is live. The table covers each criterion of the ranking and their order.
#[test]
fn ranks_by_distance_and_headroom() {
    for case in RANK_CASES {
        let config = fleet_with_drains(case.drains);
        let table = EntryTableBuilder::new().build(&config, &instances(&config, case.entries));
        assert_eq!(
            ranked(&config, &table, case.client),
            case.ranked,
            "{}",
            case.name
        );
    }
}

struct HeadroomStep {
    headroom_percent: u32,
    /// The expected first instance of the answer.
    first: &'static str,
}

const HEADROOM_STEPS: &[HeadroomStep] = &[
    HeadroomStep {
        headroom_percent: 60,
        first: "e1",
    },
    HeadroomStep {
        headroom_percent: 12,
        first: "e1",
    },
    HeadroomStep {
        headroom_percent: 9,
        first: "e2",
    },
    HeadroomStep {
        headroom_percent: 12,
        first: "e2",
    },
    HeadroomStep {
        headroom_percent: 24,
        first: "e2",
    },
    HeadroomStep {
        headroom_percent: 25,
        first: "e1",
    },
    HeadroomStep {
        headroom_percent: 12,
        first: "e1",
    },
];

/// Guards against callers that move back and forth between two instances: those that leave an instance raise its
/// headroom, and with a single limit the next answers would send all of them back.
#[test]
fn headroom_has_hysteresis() {
    let config = fleet_config();
    let mut builder = EntryTableBuilder::new();
    for (number, step) in HEADROOM_STEPS.iter().enumerate() {
        let rows = [
            ("e1", "penang-a", step.headroom_percent, false),
            ("e2", "penang-b", HIGH_HEADROOM_PERCENT, false),
        ];
        let table = builder.build(&config, &instances(&config, &rows));
        assert_eq!(
            ranked(&config, &table, "10.1.2.3")[0],
            step.first,
            "step {number}"
        );
    }
}

/// Instances in four failure domains; penang-a is the nearest one to clients in 10.1.0.0/16, penang-b the second.
const SPREAD_ENTRIES: [EntryRow; 8] = [
    ("e0", "penang-a", HIGH_HEADROOM_PERCENT, false),
    ("e1", "penang-a", HIGH_HEADROOM_PERCENT, false),
    ("e2", "penang-a", HIGH_HEADROOM_PERCENT, false),
    ("e3", "penang-a", HIGH_HEADROOM_PERCENT, false),
    ("e4", "penang-b", HIGH_HEADROOM_PERCENT, false),
    ("e5", "penang-b", HIGH_HEADROOM_PERCENT, false),
    ("e6", "johor-a", HIGH_HEADROOM_PERCENT, false),
    ("e7", "kuching-a", HIGH_HEADROOM_PERCENT, false),
];

/// Counts how often each instance comes first for clients in 250 address blocks of a network.
fn count_first_entries(
    config: &FleetConfig,
    table: &EntryTable,
    network: &str,
) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for block in 0..250 {
        let client = format!("{network}.{block}.9");
        *counts
            .entry(ranked(config, table, &client)[0].clone())
            .or_default() += 1;
    }
    counts
}

/// Guards against an instance that is overloaded beside idle ones, because equally near instances are ranked in the
/// same order for all clients of a site, or for all clients in no block.
#[test]
fn clients_are_spread_over_equally_near_instances() {
    let config = fleet_config();
    let table = EntryTableBuilder::new().build(&config, &instances(&config, &SPREAD_ENTRIES));
    let in_block = count_first_entries(&config, &table, "10.1");
    assert_eq!(in_block.len(), 4);
    assert!(
        in_block.values().all(|count| (35..=95).contains(count)),
        "{in_block:?}"
    );
    let in_no_block = count_first_entries(&config, &table, "192.0");
    assert_eq!(in_no_block.len(), 8);
    assert!(
        in_no_block.values().all(|count| (12..=60).contains(count)),
        "{in_no_block:?}"
    );
}

/// Guards against a caller that is left without a live instance when one failure domain fails, because all instances of
/// its answer are in that domain.
#[test]
fn answer_covers_two_failure_domains() {
    let config = fleet_config();
    let table = EntryTableBuilder::new().build(&config, &instances(&config, &SPREAD_ENTRIES));
    for block in 0..250 {
        let names = ranked(&config, &table, &format!("10.1.{block}.9"));
        let in_nearest_domain = names
            .iter()
            .filter(|name| ["e0", "e1", "e2", "e3"].contains(&name.as_str()));
        assert_eq!(
            (names.len(), in_nearest_domain.count()),
            (4, 2),
            "{names:?}"
        );
    }
}

/// Guards against a failed instance after which clients of other instances change theirs as well, as happens if
/// the hash of a client is taken modulo the number of instances.
#[test]
fn only_clients_of_a_failed_instance_move() {
    let config = fleet_config();
    let rows: Vec<EntryRow> = SPREAD_ENTRIES
        .into_iter()
        .filter(|row| row.0 != "e2")
        .collect();
    let before = EntryTableBuilder::new().build(&config, &instances(&config, &SPREAD_ENTRIES));
    let after = EntryTableBuilder::new().build(&config, &instances(&config, &rows));
    for block in 0..250 {
        let client = format!("10.1.{block}.9");
        let first = &ranked(&config, &before, &client)[0];
        if first != "e2" {
            assert_eq!(&ranked(&config, &after, &client)[0], first);
        }
    }
}

/// Guards against two instances that give a client different answers, because they received the live instances in a
/// different order.
#[test]
fn ranking_does_not_depend_on_the_order() {
    let config = fleet_config();
    let mut rows = SPREAD_ENTRIES;
    let table = EntryTableBuilder::new().build(&config, &instances(&config, &rows));
    rows.reverse();
    let reversed_table = EntryTableBuilder::new().build(&config, &instances(&config, &rows));
    for client in [
        "10.1.7.1",
        "10.2.7.1",
        "192.0.2.1",
        "2001:db8::1",
        "2001:db9::1",
    ] {
        assert_eq!(
            ranked(&config, &table, client),
            ranked(&config, &reversed_table, client)
        );
    }
}

/// Guards against an answer that names fewer instances than it could, or names one twice, in combinations of failure
/// domains, headroom and leaving instances that the table of cases leaves out. 400 fleets are drawn with a fixed seed.
#[test]
fn random_fleets_get_full_answers() {
    let config = fleet_config();
    let mut random = RandomSequence(11);
    for round in 0..400 {
        let mut rows = Vec::new();
        for row in SPREAD_ENTRIES {
            let headroom = if random.next().is_multiple_of(2) {
                HIGH_HEADROOM_PERCENT
            } else {
                LOW_HEADROOM_PERCENT
            };
            let leaving = random.next().is_multiple_of(4);
            if !random.next().is_multiple_of(3) {
                rows.push((row.0, row.1, headroom, leaving));
            }
        }
        let eligible = rows.iter().filter(|row| !row.3).count();
        let table = EntryTableBuilder::new().build(&config, &instances(&config, &rows));
        for client in ["10.1.7.1", "10.2.7.1", "192.0.2.1"] {
            let names = ranked(&config, &table, client);
            let unique: BTreeSet<&String> = names.iter().collect();
            assert_eq!(
                names.len(),
                eligible.min(MAX_RANKED_ENTRIES),
                "round {round}: {rows:?}"
            );
            assert_eq!(unique.len(), names.len(), "round {round}: {names:?}");
        }
    }
}
