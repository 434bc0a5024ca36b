//! Links between regions: tables of charges and times.

mod steering_fleet;

use coltsfootkeel_decisions::{LinkMeter, LinkRegistry};
use coltsfootkeel_model::FleetConfig;
use steering_fleet::{FleetText, at_ms, region};

/// 4,000 Mbit/s over the four seats of penang and johor: 125,000,000 bytes/s a seat and direction.
const BYTES_PER_S: u64 = 125_000_000;

fn fleet() -> FleetConfig {
    FleetText::new(&[("od-0", "penang-a")]).check()
}

struct CrossCase {
    name: &'static str,
    seats: usize,
    /// Bytes charged at the start.
    charged: u64,
    /// The direction that is charged.
    from: &'static str,
    to: &'static str,
    after_ms: u64,
    crosses: bool,
}

const CROSS_CASES: &[CrossCase] = &[
    CrossCase {
        name: "without a charge",
        seats: 1,
        charged: 0,
        from: "penang",
        to: "johor",
        after_ms: 0,
        crosses: true,
    },
    CrossCase {
        name: "in debt",
        seats: 1,
        charged: 1,
        from: "penang",
        to: "johor",
        after_ms: 0,
        crosses: false,
    },
    CrossCase {
        name: "in debt on the way back",
        seats: 1,
        charged: 1,
        from: "johor",
        to: "penang",
        after_ms: 0,
        crosses: false,
    },
    CrossCase {
        name: "another link is in debt",
        seats: 1,
        charged: 1,
        from: "penang",
        to: "kuching",
        after_ms: 0,
        crosses: true,
    },
    CrossCase {
        name: "just before the debt is paid",
        seats: 1,
        charged: BYTES_PER_S,
        from: "penang",
        to: "johor",
        after_ms: 990,
        crosses: false,
    },
    CrossCase {
        name: "when the debt is paid",
        seats: 1,
        charged: BYTES_PER_S,
        from: "penang",
        to: "johor",
        after_ms: 1_010,
        crosses: true,
    },
    CrossCase {
        name: "two seats pay twice as fast",
        seats: 2,
        charged: BYTES_PER_S,
        from: "penang",
        to: "johor",
        after_ms: 510,
        crosses: true,
    },
    CrossCase {
        name: "without a seat nothing crosses",
        seats: 0,
        charged: 0,
        from: "penang",
        to: "johor",
        after_ms: 5_000,
        crosses: false,
    },
];

fn tick(book: &mut LinkRegistry, until_ms: u64) {
    for now in (0..=until_ms).step_by(10) {
        book.refill(at_ms(now));
    }
}

/// Guards against a link that is used beyond this instance's share, or never used again.
#[test]
fn requests_cross_without_debt() {
    for case in CROSS_CASES {
        let config = fleet();
        let penang = region(&config, "penang");
        let mut book = LinkRegistry::new();
        let meter = book.apply(&config, penang, case.seats, at_ms(0));
        meter.charge(
            region(&config, case.from),
            region(&config, case.to),
            case.charged,
        );
        tick(&mut book, case.after_ms);
        let crosses = meter.may_cross(penang, region(&config, "johor"));
        assert_eq!(crosses, case.crosses, "{}", case.name);
        assert!(meter.may_cross(penang, penang), "{}", case.name);
    }
}

/// Guards against saved-up capacity that is sent as one burst after a quiet time or a pause.
#[test]
fn saved_capacity_is_bounded() {
    for step_ms in [10, 60_000] {
        let config = fleet();
        let (penang, johor) = (region(&config, "penang"), region(&config, "johor"));
        let mut book = LinkRegistry::new();
        let meter = book.apply(&config, penang, 1, at_ms(0));
        for now in (0..=60_000).step_by(step_ms) {
            book.refill(at_ms(now));
        }
        meter.charge(penang, johor, BYTES_PER_S / 10 + 10_000);
        assert!(!meter.may_cross(penang, johor), "steps of {step_ms} ms");
    }
}

/// Guards against a debt that a new generation forgives, and against a changed capacity that is ignored.
#[test]
fn debt_outlives_a_generation() {
    let config = fleet();
    let (penang, johor) = (region(&config, "penang"), region(&config, "johor"));
    let mut book = LinkRegistry::new();
    let meter: LinkMeter = book.apply(&config, penang, 1, at_ms(0));
    meter.charge(penang, johor, BYTES_PER_S);
    let mut text = FleetText::new(&[("od-0", "penang-a")]);
    text.links = vec!["{between: [penang, johor], capacity_mbit_per_s: 40, latency_ms: 35}".into()];
    let config = text.check();
    let meter = book.apply(&config, penang, 1, at_ms(0));
    assert!(!meter.may_cross(penang, johor));
    tick(&mut book, 50_000);
    assert!(
        !meter.may_cross(penang, johor),
        "a hundredth of the capacity pays a hundred times slower"
    );
    tick_from(&mut book, 50_000, 102_000);
    assert!(meter.may_cross(penang, johor));
}

fn tick_from(book: &mut LinkRegistry, from_ms: u64, until_ms: u64) {
    for now in (from_ms..=until_ms).step_by(10) {
        book.refill(at_ms(now));
    }
}

struct TotalCase {
    home: &'static str,
    seats: usize,
}

/// Guards against shares whose sum exceeds the link: all instances together send no more than its
/// capacity in each direction, plus their bursts and the one response that each may have in flight.
#[test]
fn shares_of_all_seats_fit_the_link() {
    const HOMES: [TotalCase; 4] = [
        TotalCase {
            home: "penang",
            seats: 1,
        },
        TotalCase {
            home: "penang",
            seats: 1,
        },
        TotalCase {
            home: "johor",
            seats: 1,
        },
        TotalCase {
            home: "johor",
            seats: 1,
        },
    ];
    const RESPONSE: u64 = 1_000_000;
    const SECONDS: u64 = 4;
    let config = fleet();
    let (penang, johor) = (region(&config, "penang"), region(&config, "johor"));
    let mut sent = 0;
    for instance in HOMES {
        let mut book = LinkRegistry::new();
        let home = region(&config, instance.home);
        let other = if home == penang { johor } else { penang };
        let meter = book.apply(&config, home, instance.seats, at_ms(0));
        for now in (0..SECONDS * 1_000).step_by(10) {
            book.refill(at_ms(now));
            while meter.may_cross(home, other) {
                // Both a request body to johor and a response from there use this direction.
                meter.charge(penang, johor, RESPONSE);
                sent += RESPONSE;
            }
        }
    }
    let capacity = 500_000_000;
    let burst = capacity / 10;
    assert!(sent <= capacity * SECONDS + burst + 4 * RESPONSE, "{sent}");
    assert!(sent >= capacity * (SECONDS - 1), "{sent}");
}
