//! Heartbeats in fleets of several sizes: how often, to whom, and how long until everyone has them.

use std::collections::HashSet;
use std::time::Duration;

use coltsfootkeel_model::{ArenaKey, DomainKey};
use coltsfootkeel_steering::{HeartbeatPeer, HeartbeatPeriods, select_relays, stable_hash};

struct FleetCase {
    instances: usize,
    domains: usize,
    is_full_mesh: bool,
    /// Most datagrams that an instance sends in a second.
    max_sent_per_s: f64,
    /// Longest time until an instance that stops without notice is no longer live anywhere.
    max_detection: Duration,
}

const CASES: [FleetCase; 4] = [
    FleetCase {
        instances: 7,
        domains: 6,
        is_full_mesh: true,
        max_sent_per_s: 100.0,
        max_detection: Duration::from_millis(1_200),
    },
    FleetCase {
        instances: 36,
        domains: 9,
        is_full_mesh: false,
        max_sent_per_s: 100.0,
        max_detection: Duration::from_millis(1_500),
    },
    FleetCase {
        instances: 118,
        domains: 9,
        is_full_mesh: false,
        max_sent_per_s: 110.0,
        max_detection: Duration::from_millis(3_500),
    },
    FleetCase {
        instances: 547,
        domains: 35,
        is_full_mesh: false,
        max_sent_per_s: 140.0,
        max_detection: Duration::from_millis(3_500),
    },
];

fn fleet(case: &FleetCase) -> Vec<HeartbeatPeer> {
    (0..case.instances)
        .map(|index| HeartbeatPeer {
            hash: stable_hash(&index.to_le_bytes()),
            domain: DomainKey::from_index(index % case.domains),
        })
        .collect()
}

/// Guards against messages that grow with the square of the fleet, and against instances that are known so late that
/// callers are still sent to one that has stopped.
#[test]
fn messages_of_an_instance_grow_with_its_domain_and_the_domains() {
    for case in &CASES {
        let near_instances = case.instances.div_ceil(case.domains);
        let periods = HeartbeatPeriods::new(case.instances, near_instances);
        assert_eq!(
            periods.is_full_mesh, case.is_full_mesh,
            "{}",
            case.instances
        );
        let per_s = |receivers: usize, period: Duration| {
            #[expect(clippy::cast_precision_loss)]
            let receivers = receivers as f64;
            receivers / period.as_secs_f64()
        };
        let sent_per_s = if case.is_full_mesh {
            per_s(case.instances - 1, periods.near)
        } else {
            per_s(near_instances - 1, periods.near) + per_s(case.domains - 1, periods.far)
        };
        assert!(
            sent_per_s <= case.max_sent_per_s,
            "{}: {sent_per_s}",
            case.instances
        );
        let detection = periods.near_timeout().max(periods.far_timeout());
        assert!(
            detection <= case.max_detection,
            "{}: {detection:?}",
            case.instances
        );
        // One heartbeat may be lost.
        assert!(
            periods.near_timeout() > periods.near * 2,
            "{}",
            case.instances
        );
        assert!(
            periods.far_timeout() > periods.far * 2,
            "{}",
            case.instances
        );
    }
}

/// Guards against a domain that nobody sends to, a relay in the own domain, and one relay that passes the heartbeats of all
/// instances on.
#[test]
fn each_other_domain_has_one_relay_and_its_instances_take_turns() {
    for case in CASES.iter().filter(|case| !case.is_full_mesh) {
        let fleet = fleet(case);
        let own = fleet[0];
        let mut used = HashSet::new();
        let turns = case.instances.div_ceil(case.domains) as u64;
        for turn in 0..turns {
            let relays = select_relays(own, &fleet, turn);
            let domains: HashSet<DomainKey> = fleet
                .iter()
                .filter(|peer| relays.contains(&peer.hash))
                .map(|peer| peer.domain)
                .collect();
            assert_eq!(relays.len(), case.domains - 1, "{}", case.instances);
            assert_eq!(domains.len(), relays.len(), "{}", case.instances);
            assert!(!domains.contains(&own.domain), "{}", case.instances);
            used.extend(relays);
        }
        let others = fleet.iter().filter(|peer| peer.domain != own.domain);
        assert_eq!(used.len(), others.count(), "{}", case.instances);
        // The heartbeats that arrive at one instance in one turn.
        let received = |receiver: &HeartbeatPeer| {
            let senders = fleet
                .iter()
                .filter(|sender| sender.domain != receiver.domain);
            senders
                .filter(|sender| select_relays(**sender, &fleet, 5).contains(&receiver.hash))
                .count()
        };
        let most = fleet.iter().take(case.domains).map(received).max();
        let mean = case.instances / (case.instances / case.domains);
        assert!(
            most.unwrap_or_default() <= 4 * mean,
            "{}: {most:?}",
            case.instances
        );
    }
}
