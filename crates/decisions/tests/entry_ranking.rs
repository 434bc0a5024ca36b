//! Ranking of entry instances: tables of fleets and clients.

mod steering_fleet;

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use coltsfootkeel_decisions::{EntryInstance, EntryTable, EntryTableBuilder, MAX_RANKED_ENTRIES};
use coltsfootkeel_model::FleetConfig;
use steering_fleet::{FleetText, RandomSequence, domain};

const ROOMY: u32 = 60;
const TIGHT: u32 = 5;

/// Name, failure domain, headroom in percent, and whether it is leaving.
type EntryRow = (&'static str, &'static str, u32, bool);

fn fleet() -> FleetConfig {
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
    text.check()
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
    drains: &'static [&'static str],
    client: &'static str,
    ranked: &'static [&'static str],
}

const RANK_CASES: &[RankCase] = &[
    RankCase {
        name: "nearest failure domain first",
        entries: &[
            ("e1", "johor-a", ROOMY, false),
            ("e2", "penang-b", ROOMY, false),
            ("e3", "penang-a", ROOMY, false),
        ],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e3", "e2", "e1"],
    },
    RankCase {
        name: "an IPv6 client",
        entries: &[
            ("e1", "penang-b", ROOMY, false),
            ("e2", "penang-a", ROOMY, false),
        ],
        drains: &[],
        client: "2001:db8::1",
        ranked: &["e2", "e1"],
    },
    RankCase {
        name: "a domain without a live instance falls through",
        entries: &[
            ("e1", "johor-a", ROOMY, false),
            ("e2", "penang-b", ROOMY, false),
        ],
        drains: &[],
        client: "10.2.0.1",
        ranked: &["e1", "e2"],
    },
    RankCase {
        name: "domains that are not listed follow by latency, so that two are ranked",
        entries: &[
            ("e1", "kuching-a", ROOMY, false),
            ("e2", "johor-b", ROOMY, false),
            ("e3", "penang-a", ROOMY, false),
        ],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e3", "e2", "e1"],
    },
    RankCase {
        name: "a leaving instance is left out",
        entries: &[
            ("e1", "penang-a", ROOMY, true),
            ("e2", "penang-b", ROOMY, false),
        ],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e2"],
    },
    RankCase {
        name: "a drained instance is left out",
        entries: &[
            ("e1", "penang-a", ROOMY, false),
            ("e2", "penang-b", ROOMY, false),
        ],
        drains: &["{kind: instance, name: e1}"],
        client: "10.1.2.3",
        ranked: &["e2"],
    },
    RankCase {
        name: "the instances of a drained region are left out",
        entries: &[
            ("e1", "penang-a", ROOMY, false),
            ("e2", "johor-b", ROOMY, false),
        ],
        drains: &["{kind: region, name: penang}"],
        client: "10.1.2.3",
        ranked: &["e2"],
    },
    RankCase {
        name: "little headroom comes after the region's other domain, before another region",
        entries: &[
            ("e1", "penang-a", TIGHT, false),
            ("e2", "penang-b", ROOMY, false),
            ("e3", "johor-a", ROOMY, false),
        ],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e2", "e1", "e3"],
    },
    RankCase {
        name: "without headroom anywhere the nearest comes first",
        entries: &[("e1", "penang-a", 0, false), ("e2", "penang-b", 0, false)],
        drains: &[],
        client: "10.1.2.3",
        ranked: &["e1", "e2"],
    },
    RankCase {
        name: "no instance",
        entries: &[],
        drains: &[],
        client: "10.1.2.3",
        ranked: &[],
    },
    RankCase {
        name: "no instance for an unknown client",
        entries: &[],
        drains: &[],
        client: "192.0.2.1",
        ranked: &[],
    },
    RankCase {
        name: "an unknown client gets those with headroom first",
        entries: &[
            ("e1", "penang-a", TIGHT, false),
            ("e2", "kuching-a", ROOMY, false),
        ],
        drains: &[],
        client: "192.0.2.1",
        ranked: &["e2", "e1"],
    },
];

/// Guards against answers that send clients far away, to leaving or full instances, or nowhere.
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

/// Guards against callers that change between two instances with each answer.
#[test]
fn headroom_has_hysteresis() {
    let config = fleet();
    let mut book = EntryTableBuilder::new();
    for (number, step) in HEADROOM_STEPS.iter().enumerate() {
        let rows = [
            ("e1", "penang-a", step.headroom_percent, false),
            ("e2", "penang-b", ROOMY, false),
        ];
        let table = book.build(&config, &instances(&config, &rows));
        assert_eq!(
            ranked(&config, &table, "10.1.2.3")[0],
            step.first,
            "step {number}"
        );
    }
}

const SPREAD: [EntryRow; 8] = [
    ("e0", "penang-a", ROOMY, false),
    ("e1", "penang-a", ROOMY, false),
    ("e2", "penang-a", ROOMY, false),
    ("e3", "penang-a", ROOMY, false),
    ("e4", "penang-b", ROOMY, false),
    ("e5", "penang-b", ROOMY, false),
    ("e6", "johor-a", ROOMY, false),
    ("e7", "kuching-a", ROOMY, false),
];

fn firsts(config: &FleetConfig, table: &EntryTable, network: &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for block in 0..250 {
        let client = format!("{network}.{block}.9");
        *counts
            .entry(ranked(config, table, &client)[0].clone())
            .or_default() += 1;
    }
    counts
}

/// Guards against one instance that receives all clients of a site, or of no site.
#[test]
fn ties_are_spread() {
    let config = fleet();
    let table = EntryTableBuilder::new().build(&config, &instances(&config, &SPREAD));
    let known = firsts(&config, &table, "10.1");
    assert_eq!(known.len(), 4);
    assert!(
        known.values().all(|count| (35..=95).contains(count)),
        "{known:?}"
    );
    let unknown = firsts(&config, &table, "192.0");
    assert_eq!(unknown.len(), 8);
    assert!(
        unknown.values().all(|count| (12..=60).contains(count)),
        "{unknown:?}"
    );
}

/// Guards against an answer that leaves a caller without an instance when one failure domain fails.
#[test]
fn answer_covers_two_failure_domains() {
    let config = fleet();
    let table = EntryTableBuilder::new().build(&config, &instances(&config, &SPREAD));
    for block in 0..250 {
        let names = ranked(&config, &table, &format!("10.1.{block}.9"));
        let near = names
            .iter()
            .filter(|name| ["e0", "e1", "e2", "e3"].contains(&name.as_str()));
        assert_eq!((names.len(), near.count()), (4, 2), "{names:?}");
    }
}

/// Guards against a dead instance that makes the clients of all others change theirs.
#[test]
fn only_clients_of_a_dead_instance_move() {
    let config = fleet();
    let rows: Vec<EntryRow> = SPREAD.into_iter().filter(|row| row.0 != "e2").collect();
    let before = EntryTableBuilder::new().build(&config, &instances(&config, &SPREAD));
    let after = EntryTableBuilder::new().build(&config, &instances(&config, &rows));
    for block in 0..250 {
        let client = format!("10.1.{block}.9");
        let first = &ranked(&config, &before, &client)[0];
        if first != "e2" {
            assert_eq!(&ranked(&config, &after, &client)[0], first);
        }
    }
}

/// Guards against answers that differ between instances which hear of the others in another order.
#[test]
fn ranking_does_not_depend_on_the_order() {
    let config = fleet();
    let mut rows = SPREAD;
    let one = EntryTableBuilder::new().build(&config, &instances(&config, &rows));
    rows.reverse();
    let other = EntryTableBuilder::new().build(&config, &instances(&config, &rows));
    for client in [
        "10.1.7.1",
        "10.2.7.1",
        "192.0.2.1",
        "2001:db8::1",
        "2001:db9::1",
    ] {
        assert_eq!(
            ranked(&config, &one, client),
            ranked(&config, &other, client)
        );
    }
}

/// Guards against short answers, repeated instances and leaving instances in any fleet.
#[test]
fn random_fleets_get_full_answers() {
    let config = fleet();
    let mut random = RandomSequence(11);
    for round in 0..400 {
        let mut rows = Vec::new();
        for row in SPREAD {
            let headroom = if random.next().is_multiple_of(2) {
                ROOMY
            } else {
                TIGHT
            };
            let leaving = random.next().is_multiple_of(4);
            if !random.next().is_multiple_of(3) {
                rows.push((row.0, row.1, headroom, leaving));
            }
        }
        let staying = rows.iter().filter(|row| !row.3).count();
        let table = EntryTableBuilder::new().build(&config, &instances(&config, &rows));
        for client in ["10.1.7.1", "10.2.7.1", "192.0.2.1"] {
            let names = ranked(&config, &table, client);
            let unique: BTreeSet<&String> = names.iter().collect();
            assert_eq!(
                names.len(),
                staying.min(MAX_RANKED_ENTRIES),
                "round {round}: {rows:?}"
            );
            assert_eq!(unique.len(), names.len(), "round {round}: {names:?}");
        }
    }
}
