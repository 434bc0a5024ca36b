//! Tables of bandwidth limits of the links between regions: charges, elapsed times and whether requests may cross.

mod steering_fleet;

use coltsfootkeel_decisions::{LinkMeter, LinkRegistry};
use coltsfootkeel_model::FleetConfig;
use steering_fleet::{FleetText, at_ms, region};

/// The share of one seat in each direction of the link between penang and johor: 4,000 Mbit/s (500,000,000 bytes/s)
/// divided among four seats, which is 125,000,000 bytes/s for each.
const SHARE_BYTES_PER_S: u64 = 125_000_000;

fn fleet() -> FleetConfig {
    FleetText::new(&[("od-0", "penang-a")]).parse()
}

/// A charge to a link, and whether a request from penang to johor may cross afterwards.
struct CrossingCase {
    name: &'static str,
    /// The number of seats that the instance holds.
    seats: usize,
    /// The bytes that are charged at the start.
    charged_bytes: u64,
    /// The region from which the charged bytes were sent.
    from: &'static str,
    /// The region to which the charged bytes were sent.
    to: &'static str,
    /// The time between the charge and the decision.
    after_ms: u64,
    may_cross: bool,
}

const CROSSING_CASES: &[CrossingCase] = &[
    CrossingCase {
        name: "without a charge",
        seats: 1,
        charged_bytes: 0,
        from: "penang",
        to: "johor",
        after_ms: 0,
        may_cross: true,
    },
    CrossingCase {
        name: "debt in the direction of the request",
        seats: 1,
        charged_bytes: 1,
        from: "penang",
        to: "johor",
        after_ms: 0,
        may_cross: false,
    },
    CrossingCase {
        name: "debt in the direction of the response",
        seats: 1,
        charged_bytes: 1,
        from: "johor",
        to: "penang",
        after_ms: 0,
        may_cross: false,
    },
    CrossingCase {
        name: "debt of another link",
        seats: 1,
        charged_bytes: 1,
        from: "penang",
        to: "kuching",
        after_ms: 0,
        may_cross: true,
    },
    CrossingCase {
        name: "just before the debt is refilled",
        seats: 1,
        charged_bytes: SHARE_BYTES_PER_S,
        from: "penang",
        to: "johor",
        after_ms: 990,
        may_cross: false,
    },
    CrossingCase {
        name: "when the debt is refilled",
        seats: 1,
        charged_bytes: SHARE_BYTES_PER_S,
        from: "penang",
        to: "johor",
        after_ms: 1_010,
        may_cross: true,
    },
    CrossingCase {
        name: "two seats refill the debt twice as fast",
        seats: 2,
        charged_bytes: SHARE_BYTES_PER_S,
        from: "penang",
        to: "johor",
        after_ms: 510,
        may_cross: true,
    },
    CrossingCase {
        name: "no seat, no share of the link",
        seats: 0,
        charged_bytes: 0,
        from: "penang",
        to: "johor",
        after_ms: 5_000,
        may_cross: false,
    },
];

fn refill_until(registry: &mut LinkRegistry, until_ms: u64) {
    for now in (0..=until_ms).step_by(10) {
        registry.refill(at_ms(now));
    }
}

/// Guards against requests that cross a link while earlier transfers exceed this instance's share of it, and against a
/// link that stays closed after the debt was refilled.
#[test]
fn requests_cross_only_without_debt() {
    for case in CROSSING_CASES {
        let config = fleet();
        let penang = region(&config, "penang");
        let mut registry = LinkRegistry::new();
        let meter = registry.apply(&config, penang, case.seats, at_ms(0));
        meter.charge(
            region(&config, case.from),
            region(&config, case.to),
            case.charged_bytes,
        );
        refill_until(&mut registry, case.after_ms);
        let may_cross = meter.may_cross(penang, region(&config, "johor"));
        assert_eq!(may_cross, case.may_cross, "{}", case.name);
        assert!(meter.may_cross(penang, penang), "{}", case.name);
    }
}

/// Guards against capacity that accumulates while a link is idle or the process is paused, and is then sent as one
/// burst.
#[test]
fn unused_capacity_is_bounded() {
    for step_ms in [10, 60_000] {
        let config = fleet();
        let (penang, johor) = (region(&config, "penang"), region(&config, "johor"));
        let mut registry = LinkRegistry::new();
        let meter = registry.apply(&config, penang, 1, at_ms(0));
        for now in (0..=60_000).step_by(step_ms) {
            registry.refill(at_ms(now));
        }
        meter.charge(penang, johor, SHARE_BYTES_PER_S / 10 + 10_000);
        assert!(!meter.may_cross(penang, johor), "steps of {step_ms} ms");
    }
}

/// Guards against a debt that is lost when a new configuration generation is applied, and against a changed capacity
/// that has no effect on the refill.
#[test]
fn debt_is_kept_across_generations() {
    let config = fleet();
    let (penang, johor) = (region(&config, "penang"), region(&config, "johor"));
    let mut registry = LinkRegistry::new();
    let meter: LinkMeter = registry.apply(&config, penang, 1, at_ms(0));
    meter.charge(penang, johor, SHARE_BYTES_PER_S);
    let mut text = FleetText::new(&[("od-0", "penang-a")]);
    text.links = vec!["{between: [penang, johor], capacity_mbit_per_s: 40, latency_ms: 35}".into()];
    let config = text.parse();
    let meter = registry.apply(&config, penang, 1, at_ms(0));
    assert!(!meter.may_cross(penang, johor));
    refill_until(&mut registry, 50_000);
    assert!(
        !meter.may_cross(penang, johor),
        "a hundredth of the capacity refills a hundred times slower"
    );
    refill_between(&mut registry, 50_000, 102_000);
    assert!(meter.may_cross(penang, johor));
}

fn refill_between(registry: &mut LinkRegistry, from_ms: u64, until_ms: u64) {
    for now in (from_ms..=until_ms).step_by(10) {
        registry.refill(at_ms(now));
    }
}

/// An instance that sends over the link.
struct SenderCase {
    home: &'static str,
    seats: usize,
}

/// Guards against an overloaded link because the shares of all instances add up to more than its capacity. In each
/// direction, all instances together may send the capacity, their bursts, and one response each in flight.
#[test]
fn shares_of_all_seats_stay_within_the_capacity() {
    const SENDERS: [SenderCase; 4] = [
        SenderCase {
            home: "penang",
            seats: 1,
        },
        SenderCase {
            home: "penang",
            seats: 1,
        },
        SenderCase {
            home: "johor",
            seats: 1,
        },
        SenderCase {
            home: "johor",
            seats: 1,
        },
    ];
    const RESPONSE_BYTES: u64 = 1_000_000;
    const DURATION_S: u64 = 4;
    let config = fleet();
    let (penang, johor) = (region(&config, "penang"), region(&config, "johor"));
    let mut sent_bytes = 0;
    for instance in SENDERS {
        let mut registry = LinkRegistry::new();
        let home = region(&config, instance.home);
        let other = if home == penang { johor } else { penang };
        let meter = registry.apply(&config, home, instance.seats, at_ms(0));
        for now in (0..DURATION_S * 1_000).step_by(10) {
            registry.refill(at_ms(now));
            while meter.may_cross(home, other) {
                // Instances in penang send request bodies in this direction, instances in johor send responses.
                meter.charge(penang, johor, RESPONSE_BYTES);
                sent_bytes += RESPONSE_BYTES;
            }
        }
    }
    let capacity = 500_000_000;
    let burst = capacity / 10;
    assert!(
        sent_bytes <= capacity * DURATION_S + burst + 4 * RESPONSE_BYTES,
        "{sent_bytes}"
    );
    assert!(sent_bytes >= capacity * (DURATION_S - 1), "{sent_bytes}");
}
