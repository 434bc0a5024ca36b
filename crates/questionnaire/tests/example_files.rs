//! Tests of the files under `examples/`. Guards against an example that is no longer valid, and against a committed
//! configuration that differs from the one that is generated from its questionnaire.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

use coltsfootkeel_model::FleetConfig;
use coltsfootkeel_questionnaire::{generate, parse};
use coltsfootkeel_settings::DaemonSettings;

fn read_example(team: &str, file: &str) -> (PathBuf, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let path = root.join(team).join(file);
    let text =
        fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    (path, text)
}

fn example_fleet(team: &str) -> FleetConfig {
    let (path, text) = read_example(team, "fleet.yaml");
    match FleetConfig::parse(&path.to_string_lossy(), &text) {
        Ok(fleet) => fleet,
        Err(findings) => panic!("{findings}"),
    }
}

/// The sizes of an example fleet, which the design page lists.
struct TeamSize {
    team: &'static str,
    pools: [(&'static str, usize); 2],
    slots: u32,
    connections: u32,
    latency_ms: u128,
}

const TEAMS: [TeamSize; 2] = [
    TeamSize {
        team: "sulam-bersama",
        pools: [("order-desk", 20), ("artwork-vault", 14)],
        slots: 9,
        connections: 400,
        latency_ms: 35,
    },
    TeamSize {
        team: "kestrelridge",
        pools: [("jobdesk", 14), ("surveyvault", 12)],
        slots: 3,
        connections: 330,
        latency_ms: 55,
    },
];

#[test]
fn committed_configurations_match_their_questionnaires() {
    for TeamSize { team, .. } in TEAMS {
        let (path, text) = read_example(team, "questionnaire.yaml");
        let answers = match parse(&path.to_string_lossy(), &text) {
            Ok(answers) => answers,
            Err(findings) => panic!("{findings}"),
        };
        let (_, committed) = read_example(team, "fleet.yaml");
        let hint = "write it with: cargo run --example generate_config QUESTIONNAIRE > fleet.yaml";
        assert_eq!(generate(&answers).document, committed, "{team}: {hint}");
    }
}

#[test]
fn example_sizes_match_the_design_page() {
    for size in TEAMS {
        let fleet = example_fleet(size.team);
        assert_eq!(fleet.regions.len(), 3);
        assert_eq!(fleet.domains.len(), 6);
        assert_eq!(fleet.seats.len(), 7);
        assert_eq!(fleet.accounts.len(), 8);
        let pools = fleet.pools.iter();
        let pools: Vec<_> = pools
            .map(|(_, pool)| (pool.name.as_str(), pool.upstreams.len()))
            .collect();
        assert_eq!(pools, size.pools);
        for (_, upstream) in fleet.upstreams.iter() {
            assert_eq!(
                (upstream.slots, upstream.connections),
                (size.slots, size.connections)
            );
        }
        for one in fleet.regions.keys() {
            for other in fleet.regions.keys().filter(|other| *other != one) {
                let link = fleet.links.between(one, other);
                assert_eq!(link.latency.as_millis(), size.latency_ms);
                assert_eq!(link.capacity_mbit_per_s, 4_000);
            }
        }
    }
}

/// Guards against example settings that name an unknown seat, region or peer, or use an address twice.
#[test]
fn daemon_settings_match_the_configuration() {
    for team in ["first-run", "sulam-bersama", "kestrelridge"] {
        let fleet = example_fleet(team);
        let upstreams = fleet.upstreams.iter();
        let mut addresses: HashSet<_> = upstreams.map(|(_, upstream)| upstream.address).collect();
        let upstream_count = addresses.len();
        let mut daemons = Vec::new();
        for number in 1..=7 {
            let (path, text) = read_example(team, &format!("daemon-{number}.yaml"));
            match DaemonSettings::parse(&path.to_string_lossy(), &text) {
                Ok(settings) => daemons.push(settings),
                Err(findings) => panic!("{findings}"),
            }
        }
        let peers: Vec<_> = daemons.iter().map(|daemon| daemon.peer.listen).collect();
        for daemon in &daemons {
            let seat = fleet
                .seats
                .iter()
                .find(|(_, seat)| seat.name == daemon.instance);
            let (_, seat) = seat.expect("each example instance is named after a seat");
            assert_eq!(fleet.domains[seat.domain].name, daemon.failure_domain);
            let region = fleet
                .regions
                .iter()
                .find(|(_, region)| region.name == daemon.platform.region);
            assert!(
                region.is_some(),
                "{team}: the region of the platform is not in the configuration"
            );
            for neighbour in &daemon.peer.neighbours {
                assert!(peers.contains(neighbour) && *neighbour != daemon.peer.listen);
            }
            addresses.extend([daemon.entry.listen, daemon.peer.listen, daemon.admin.listen]);
        }
        addresses.insert(daemons[0].platform.address);
        assert_eq!(
            addresses.len(),
            upstream_count + 7 * 3 + 1,
            "{team}: an address is used twice"
        );
    }
}
