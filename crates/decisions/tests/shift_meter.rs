//! Caps of shifts: tables of caps and requests, and threads that share one meter.

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
    text.check()
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

struct ShareCase {
    percent: u32,
    requests: u64,
    moved: u64,
}

const SHARE_CASES: &[ShareCase] = &[
    ShareCase {
        percent: 0,
        requests: 1_000,
        moved: 0,
    },
    ShareCase {
        percent: 1,
        requests: 99,
        moved: 0,
    },
    ShareCase {
        percent: 1,
        requests: 100,
        moved: 1,
    },
    ShareCase {
        percent: 10,
        requests: 9,
        moved: 0,
    },
    ShareCase {
        percent: 10,
        requests: 10,
        moved: 1,
    },
    ShareCase {
        percent: 10,
        requests: 1_005,
        moved: 100,
    },
    ShareCase {
        percent: 33,
        requests: 100,
        moved: 33,
    },
    ShareCase {
        percent: 100,
        requests: 100,
        moved: 100,
    },
];

/// Guards against rounding that moves more than the share, or less than it allows.
#[test]
fn share_is_met_exactly() {
    let lease = long_lease();
    for case in SHARE_CASES {
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

/// Guards against threads that both move the last request the share allows: the bound must hold at
/// every moment, and the whole share be used in the end.
#[test]
fn share_holds_under_concurrency() {
    let lease = long_lease();
    for percent in [1, 10, 50, 99] {
        let meter = ShiftMeter::with_share(percent);
        let arrived = AtomicU64::new(0);
        thread::scope(|scope| {
            for thread_number in 0..4 {
                let (meter, lease, arrived) = (&meter, &lease, &arrived);
                scope.spawn(move || {
                    for request in 0..5_000 {
                        let taken = meter.try_move(lease, at_ms(1));
                        if taken && request % 7 == thread_number {
                            meter.cancel_move();
                        } else if taken {
                            arrived.fetch_add(1, Ordering::SeqCst);
                        }
                        // `seen` only grows, so reading it second never shows a violation that was none.
                        let moved = meter.moved();
                        let seen = meter.seen();
                        assert!(moved * 100 <= seen * u64::from(percent));
                    }
                });
            }
        });
        assert_eq!(meter.seen(), 20_000);
        assert_eq!(meter.moved(), arrived.load(Ordering::SeqCst));
        while meter.try_move(&lease, at_ms(1)) {}
        let allowed = meter.seen() * u64::from(percent) / 100;
        assert_eq!(meter.moved(), allowed);
    }
}

/// Guards against a request that is counted as moved although it went back.
#[test]
fn requests_that_go_back_do_not_count() {
    let config = fleet(&[SHARE_SHIFT]);
    let table = ShiftRegistry::new().apply(&config, GenerationNumber(1), |_| empty_bucket());
    let lease = long_lease();
    let home = region(&config, "penang");
    let mut moves = Vec::new();
    for _ in 0..20 {
        moves.extend(table.decide(ROUTE(), home, &lease, at_ms(1)));
    }
    assert_eq!(moves.len(), 2);
    assert_eq!(moves[0].to, region(&config, "johor"));
    table.cancel_move(moves[0]);
    let meter = table.meter(shift(&config, "out")).unwrap();
    assert_eq!((meter.seen(), meter.moved()), (20, 1));
    assert!(table.decide(ROUTE(), home, &lease, at_ms(1)).is_some());
}

struct RateCase {
    name: &'static str,
    tokens: i64,
    lease_valid: bool,
    moved: usize,
}

const RATE_CASES: &[RateCase] = &[
    RateCase {
        name: "as many as tokens",
        tokens: 3,
        lease_valid: true,
        moved: 3,
    },
    RateCase {
        name: "no token",
        tokens: 0,
        lease_valid: true,
        moved: 0,
    },
    RateCase {
        name: "an instance that was paused",
        tokens: 3,
        lease_valid: false,
        moved: 0,
    },
];

/// Guards against moves without a token, or after a pause in which the seat may have been claimed.
#[test]
fn rate_takes_tokens() {
    for case in RATE_CASES {
        let bucket = empty_bucket();
        let meter = ShiftMeter::with_rate(Arc::clone(&bucket));
        bucket.set_capacity(10_000);
        bucket.refill(case.tokens * 1_000);
        let lease = if case.lease_valid {
            long_lease()
        } else {
            TimeLease::new()
        };
        let moved = (0..10).filter(|_| meter.try_move(&lease, at_ms(1))).count();
        assert_eq!(moved, case.moved, "{}", case.name);
    }
}

/// Guards against a token that is returned to a full bucket, which would exceed the burst.
#[test]
fn tokens_of_a_rate_cap_are_not_returned() {
    let bucket = empty_bucket();
    let meter = ShiftMeter::with_rate(Arc::clone(&bucket));
    bucket.set_capacity(2_000);
    bucket.refill(2_000);
    assert!(meter.try_move(&long_lease(), at_ms(1)));
    bucket.refill(2_000);
    meter.cancel_move();
    assert_eq!((bucket.level(), meter.moved()), (2_000, 0));
}

struct RestartCase {
    name: &'static str,
    next: &'static str,
    generation: u64,
    /// Whether the counts go on.
    kept: bool,
}

const RESTART_CASES: &[RestartCase] = &[
    RestartCase {
        name: "unchanged",
        next: SHARE_SHIFT,
        generation: 2,
        kept: true,
    },
    RestartCase {
        name: "the same generation once more",
        next: SHARE_SHIFT,
        generation: 1,
        kept: true,
    },
    RestartCase {
        name: "another cap",
        next: "{name: out, route: confirmations, from: penang, to: johor, cap: {share_percent: 20}, state: active}",
        generation: 2,
        kept: false,
    },
    RestartCase {
        name: "another destination",
        next: "{name: out, route: confirmations, from: penang, to: kuching, cap: {share_percent: 10}, state: active}",
        generation: 2,
        kept: false,
    },
    RestartCase {
        name: "another state",
        next: "{name: out, route: confirmations, from: penang, to: johor, cap: {share_percent: 10}, state: paused}",
        generation: 2,
        kept: false,
    },
    RestartCase {
        name: "a skipped generation may have paused it in between",
        next: SHARE_SHIFT,
        generation: 3,
        kept: false,
    },
];

/// Guards against credit that was gathered under one cap and spent under another.
#[test]
fn changed_shifts_restart_without_credit() {
    let lease = long_lease();
    for case in RESTART_CASES {
        let mut book = ShiftRegistry::new();
        let config = fleet(&[SHARE_SHIFT]);
        let table = book.apply(&config, GenerationNumber(1), |_| empty_bucket());
        for _ in 0..100 {
            if let Some(shift_move) =
                table.decide(ROUTE(), region(&config, "penang"), &lease, at_ms(1))
            {
                table.cancel_move(shift_move);
            }
        }
        let config = fleet(&[case.next]);
        let table = book.apply(&config, GenerationNumber(case.generation), |_| {
            empty_bucket()
        });
        let seen = table.meter(shift(&config, "out")).unwrap().seen();
        assert_eq!(seen == 100, case.kept, "{}", case.name);
        assert_eq!(seen == 0, !case.kept, "{}", case.name);
    }
}

struct RateRestartCase {
    name: &'static str,
    next_rate: u64,
    same_bucket: bool,
    moves: bool,
}

const RATE_RESTART_CASES: &[RateRestartCase] = &[
    RateRestartCase {
        name: "unchanged",
        next_rate: 20,
        same_bucket: true,
        moves: true,
    },
    RateRestartCase {
        name: "another rate",
        next_rate: 30,
        same_bucket: true,
        moves: false,
    },
    RateRestartCase {
        name: "another bucket",
        next_rate: 20,
        same_bucket: false,
        moves: false,
    },
];

/// Guards against tokens of an earlier rate, and against a meter that goes on with a bucket that the
/// ledger no longer fills.
#[test]
fn changed_rates_restart_without_tokens() {
    let shift_text = |rate| {
        format!(
            "{{name: out, route: confirmations, from: penang, to: johor, cap: {{rate_per_s: {rate}}}, state: active}}"
        )
    };
    let lease = long_lease();
    for case in RATE_RESTART_CASES {
        let mut book = ShiftRegistry::new();
        let bucket = filled_bucket(5);
        let config = fleet(&[&shift_text(20)]);
        book.apply(&config, GenerationNumber(1), |_| Arc::clone(&bucket));
        assert_eq!(bucket.level(), 0, "a new shift starts without tokens");
        bucket.refill(5_000);
        let next_bucket = if case.same_bucket {
            bucket
        } else {
            filled_bucket(5)
        };
        let config = fleet(&[&shift_text(case.next_rate)]);
        let table = book.apply(&config, GenerationNumber(2), |_| Arc::clone(&next_bucket));
        let shift_move = table.decide(ROUTE(), region(&config, "penang"), &lease, at_ms(1));
        assert_eq!(shift_move.is_some(), case.moves, "{}", case.name);
    }
}

struct OrderCase {
    name: &'static str,
    home: &'static str,
    moves_to: Option<&'static str>,
}

const ORDER_CASES: &[OrderCase] = &[
    OrderCase {
        name: "planned and paused shifts move nothing",
        home: "penang",
        moves_to: Some("johor"),
    },
    OrderCase {
        name: "the first that leaves the home region decides",
        home: "johor",
        moves_to: Some("kuching"),
    },
    OrderCase {
        name: "no shift leaves the home region",
        home: "kuching",
        moves_to: None,
    },
];

/// Guards against a shift that moves requests of another region, or before it is active, and against
/// two shifts that both count one request.
#[test]
fn the_first_fitting_shift_decides() {
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
    for case in ORDER_CASES {
        let shift_move = table.decide(ROUTE(), region(&config, case.home), &lease, at_ms(1));
        let to = shift_move.map(|shift_move| config.regions[shift_move.to].name.as_str());
        assert_eq!(to, case.moves_to, "{}", case.name);
    }
    let seen = |name| table.meter(shift(&config, name)).unwrap().seen();
    let counts = ["one", "two", "three", "four", "five", "six"].map(seen);
    assert_eq!(counts, [0, 0, 1, 1, 0, 0]);
}
