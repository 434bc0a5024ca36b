//! Tables of the caps of shifts: how many requests move, with concurrent threads and across configuration generations.

mod steering_fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use coltsfootkeel_counters::{RateBucket, TimeLease};
use coltsfootkeel_decisions::{ShiftMeter, ShiftRegistry, ShiftTable};
use coltsfootkeel_model::{FleetConfig, GenerationNumber};
use steering_fleet::{FleetText, ROUTE, at_ms, long_lease, region, shift};

const SHARE_SHIFT: &str = "{name: out, route: confirmations, from: penang, to: johor, cap: {share_percent: 10}, state: active}";

fn fleet(shifts: &[&str]) -> FleetConfig {
    let mut text = FleetText::new(&[("od-0", "penang-a"), ("od-1", "johor-a")]);
    text.shifts = shifts.iter().map(ToString::to_string).collect();
    text.parse()
}

fn empty_bucket() -> Arc<RateBucket> {
    Arc::new(RateBucket::new())
}

fn filled_bucket(requests: i64) -> Arc<RateBucket> {
    let bucket = empty_bucket();
    bucket.set_capacity(requests * 1_000);
    bucket.refill(requests * 1_000);
    bucket
}

/// The number of requests that a share cap moves.
struct ShareCapCase {
    percent: u32,
    requests: u64,
    moved: u64,
}

const SHARE_CAP_CASES: &[ShareCapCase] = &[
    ShareCapCase {
        percent: 0,
        requests: 1_000,
        moved: 0,
    },
    ShareCapCase {
        percent: 1,
        requests: 99,
        moved: 0,
    },
    ShareCapCase {
        percent: 1,
        requests: 100,
        moved: 1,
    },
    ShareCapCase {
        percent: 10,
        requests: 9,
        moved: 0,
    },
    ShareCapCase {
        percent: 10,
        requests: 10,
        moved: 1,
    },
    ShareCapCase {
        percent: 10,
        requests: 1_005,
        moved: 100,
    },
    ShareCapCase {
        percent: 33,
        requests: 100,
        moved: 33,
    },
    ShareCapCase {
        percent: 100,
        requests: 100,
        moved: 100,
    },
];

/// Guards against a rounding error that moves more requests than the cap allows, or fewer.
#[test]
fn share_cap_is_met_exactly() {
    let lease = long_lease();
    for case in SHARE_CAP_CASES {
        let meter = ShiftMeter::with_share(case.percent);
        let moved = (0..case.requests)
            .filter(|_| meter.try_move(&lease, at_ms(1)))
            .count();
        assert_eq!(
            moved as u64, case.moved,
            "{}% of {}",
            case.percent, case.requests
        );
        assert_eq!((meter.seen(), meter.moved()), (case.requests, case.moved));
    }
}

/// Guards against a race in which two threads both move the last request that the cap allows. The bound must hold at
/// all times, and the complete share must be usable in the end.
#[test]
fn share_cap_holds_with_concurrent_requests() {
    let lease = long_lease();
    for percent in [1, 10, 50, 99] {
        let meter = ShiftMeter::with_share(percent);
        let completed_moves = AtomicU64::new(0);
        thread::scope(|scope| {
            for thread_number in 0..4 {
                let (meter, lease, completed_moves) = (&meter, &lease, &completed_moves);
                scope.spawn(move || {
                    for request in 0..5_000 {
                        let is_moved = meter.try_move(lease, at_ms(1));
                        if is_moved && request % 7 == thread_number {
                            meter.cancel_move();
                        } else if is_moved {
                            completed_moves.fetch_add(1, Ordering::SeqCst);
                        }
                        // `seen` only grows, so reading it after `moved` reports no false violation.
                        let moved = meter.moved();
                        let seen = meter.seen();
                        assert!(moved * 100 <= seen * u64::from(percent));
                    }
                });
            }
        });
        assert_eq!(meter.seen(), 20_000);
        assert_eq!(meter.moved(), completed_moves.load(Ordering::SeqCst));
        while meter.try_move(&lease, at_ms(1)) {}
        let allowed = meter.seen() * u64::from(percent) / 100;
        assert_eq!(meter.moved(), allowed);
    }
}

/// Guards against a request that uses up the cap although it stayed in its home region, because its destination had no
/// free slot.
#[test]
fn cancelled_moves_do_not_count() {
    let config = fleet(&[SHARE_SHIFT]);
    let table = ShiftRegistry::new().apply(&config, GenerationNumber(1), |_| empty_bucket());
    let lease = long_lease();
    let home = region(&config, "penang");
    let mut shift_moves = Vec::new();
    for _ in 0..20 {
        shift_moves.extend(table.decide(ROUTE(), home, &lease, at_ms(1)));
    }
    assert_eq!(shift_moves.len(), 2);
    assert_eq!(shift_moves[0].to, region(&config, "johor"));
    table.cancel_move(shift_moves[0]);
    let meter = table.meter(shift(&config, "out")).unwrap();
    assert_eq!((meter.seen(), meter.moved()), (20, 1));
    assert!(table.decide(ROUTE(), home, &lease, at_ms(1)).is_some());
}

/// The number of requests that a rate cap moves.
struct RateCapCase {
    name: &'static str,
    tokens: i64,
    /// Whether the control thread has ticked recently, so that the tokens may be used.
    is_lease_valid: bool,
    moved: usize,
}

const RATE_CAP_CASES: &[RateCapCase] = &[
    RateCapCase {
        name: "as many as tokens",
        tokens: 3,
        is_lease_valid: true,
        moved: 3,
    },
    RateCapCase {
        name: "no token",
        tokens: 0,
        is_lease_valid: true,
        moved: 0,
    },
    RateCapCase {
        name: "expired lease after a pause",
        tokens: 3,
        is_lease_valid: false,
        moved: 0,
    },
];

/// Guards against moves beyond the rate: without a token, or with tokens of a seat that another instance may have
/// claimed during a pause.
#[test]
fn rate_cap_takes_tokens() {
    for case in RATE_CAP_CASES {
        let bucket = empty_bucket();
        let meter = ShiftMeter::with_rate(Arc::clone(&bucket));
        bucket.set_capacity(10_000);
        bucket.refill(case.tokens * 1_000);
        let lease = if case.is_lease_valid {
            long_lease()
        } else {
            TimeLease::new()
        };
        let moved = (0..10).filter(|_| meter.try_move(&lease, at_ms(1))).count();
        assert_eq!(moved, case.moved, "{}", case.name);
    }
}

/// Guards against more moves than the burst allows, because a cancelled move returns its token to a bucket that was
/// refilled after the move.
#[test]
fn cancelled_move_returns_no_token() {
    let bucket = empty_bucket();
    let meter = ShiftMeter::with_rate(Arc::clone(&bucket));
    bucket.set_capacity(2_000);
    bucket.refill(2_000);
    assert!(meter.try_move(&long_lease(), at_ms(1)));
    bucket.refill(2_000);
    meter.cancel_move();
    assert_eq!((bucket.level(), meter.moved()), (2_000, 0));
}

/// The configuration of a shift with a share cap that follows [`SHARE_SHIFT`].
struct ShareChangeCase {
    name: &'static str,
    /// The shift in the next configuration.
    next: &'static str,
    /// The generation of the next configuration; the first has generation 1.
    generation: u64,
    /// Whether the meter keeps its counts.
    keeps_counts: bool,
}

const SHARE_CHANGE_CASES: &[ShareChangeCase] = &[
    ShareChangeCase {
        name: "unchanged",
        next: SHARE_SHIFT,
        generation: 2,
        keeps_counts: true,
    },
    ShareChangeCase {
        name: "same generation applied again",
        next: SHARE_SHIFT,
        generation: 1,
        keeps_counts: true,
    },
    ShareChangeCase {
        name: "another cap",
        next: "{name: out, route: confirmations, from: penang, to: johor, cap: {share_percent: 20}, state: active}",
        generation: 2,
        keeps_counts: false,
    },
    ShareChangeCase {
        name: "another destination",
        next: "{name: out, route: confirmations, from: penang, to: kuching, cap: {share_percent: 10}, state: active}",
        generation: 2,
        keeps_counts: false,
    },
    ShareChangeCase {
        name: "another state",
        next: "{name: out, route: confirmations, from: penang, to: johor, cap: {share_percent: 10}, state: paused}",
        generation: 2,
        keeps_counts: false,
    },
    ShareChangeCase {
        name: "skipped generation, which may have paused the shift",
        next: SHARE_SHIFT,
        generation: 3,
        keeps_counts: false,
    },
];

/// Guards against a burst of moves after a change: requests that were seen under the former cap or state must not
/// allow moves under the new one.
#[test]
fn changed_share_caps_start_from_zero() {
    let lease = long_lease();
    for case in SHARE_CHANGE_CASES {
        let mut registry = ShiftRegistry::new();
        let config = fleet(&[SHARE_SHIFT]);
        let table = registry.apply(&config, GenerationNumber(1), |_| empty_bucket());
        for _ in 0..100 {
            if let Some(shift_move) =
                table.decide(ROUTE(), region(&config, "penang"), &lease, at_ms(1))
            {
                table.cancel_move(shift_move);
            }
        }
        let config = fleet(&[case.next]);
        let table = registry.apply(&config, GenerationNumber(case.generation), |_| {
            empty_bucket()
        });
        let seen = table.meter(shift(&config, "out")).unwrap().seen();
        assert_eq!(seen == 100, case.keeps_counts, "{}", case.name);
        assert_eq!(seen == 0, !case.keeps_counts, "{}", case.name);
    }
}

/// The configuration of a shift with a rate cap that follows one of 20 requests per second.
struct RateChangeCase {
    name: &'static str,
    next_rate: u64,
    is_same_bucket: bool,
    /// Whether a request moves with the tokens that were in the bucket before the change.
    may_move: bool,
}

const RATE_CHANGE_CASES: &[RateChangeCase] = &[
    RateChangeCase {
        name: "unchanged",
        next_rate: 20,
        is_same_bucket: true,
        may_move: true,
    },
    RateChangeCase {
        name: "another rate",
        next_rate: 30,
        is_same_bucket: true,
        may_move: false,
    },
    RateChangeCase {
        name: "another bucket",
        next_rate: 20,
        is_same_bucket: false,
        may_move: false,
    },
];

/// Guards against moves with tokens that accumulated under an earlier rate, and against a meter that keeps using a
/// bucket which the ledger no longer refills.
#[test]
fn changed_rate_caps_start_without_tokens() {
    let shift_text = |rate| {
        format!(
            "{{name: out, route: confirmations, from: penang, to: johor, cap: {{rate_per_s: {rate}}}, state: active}}"
        )
    };
    let lease = long_lease();
    for case in RATE_CHANGE_CASES {
        let mut registry = ShiftRegistry::new();
        let bucket = filled_bucket(5);
        let config = fleet(&[&shift_text(20)]);
        registry.apply(&config, GenerationNumber(1), |_| Arc::clone(&bucket));
        assert_eq!(bucket.level(), 0, "a new shift starts without tokens");
        bucket.refill(5_000);
        let next_bucket = if case.is_same_bucket {
            bucket
        } else {
            filled_bucket(5)
        };
        let config = fleet(&[&shift_text(case.next_rate)]);
        let table = registry.apply(&config, GenerationNumber(2), |_| Arc::clone(&next_bucket));
        let shift_move = table.decide(ROUTE(), region(&config, "penang"), &lease, at_ms(1));
        assert_eq!(shift_move.is_some(), case.may_move, "{}", case.name);
    }
}

/// The region to which requests of a home region move.
struct ShiftOrderCase {
    name: &'static str,
    home: &'static str,
    moves_to: Option<&'static str>,
}

const SHIFT_ORDER_CASES: &[ShiftOrderCase] = &[
    ShiftOrderCase {
        name: "planned and paused shifts move nothing",
        home: "penang",
        moves_to: Some("johor"),
    },
    ShiftOrderCase {
        name: "the first active shift out of the home region decides",
        home: "johor",
        moves_to: Some("kuching"),
    },
    ShiftOrderCase {
        name: "no shift out of the home region",
        home: "kuching",
        moves_to: None,
    },
];

/// Guards against a shift that moves requests of another region or while it is not active, and against a request that
/// two shifts count.
#[test]
fn first_active_shift_out_of_the_home_region_decides() {
    let shift_text = |name, from, to, state| {
        format!(
            "{{name: {name}, route: confirmations, from: {from}, to: {to}, cap: {{share_percent: 100}}, state: {state}}}"
        )
    };
    let config = fleet(&[
        &shift_text("one", "penang", "kuching", "planned"),
        &shift_text("two", "penang", "kuching", "paused"),
        &shift_text("three", "johor", "kuching", "active"),
        &shift_text("four", "penang", "johor", "active"),
        &shift_text("five", "johor", "penang", "active"),
        &shift_text("six", "penang", "kuching", "active"),
    ]);
    let lease = long_lease();
    let table: ShiftTable =
        ShiftRegistry::new().apply(&config, GenerationNumber(1), |_| empty_bucket());
    for case in SHIFT_ORDER_CASES {
        let shift_move = table.decide(ROUTE(), region(&config, case.home), &lease, at_ms(1));
        let to = shift_move.map(|shift_move| config.regions[shift_move.to].name.as_str());
        assert_eq!(to, case.moves_to, "{}", case.name);
    }
    let seen = |name| table.meter(shift(&config, name)).unwrap().seen();
    let counts = ["one", "two", "three", "four", "five", "six"].map(seen);
    assert_eq!(counts, [0, 0, 1, 1, 0, 0]);
}
