//! Named faults of the share ledger, one case each.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod fleet;

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    GrantOutcome, Incarnation, LOAN_LIFETIME, LedgerSettings, LoanAmount, LoanGrant, LoanLedger,
    LoanPeer, LoanPolicy, LoanRequest, LoanReturn, RateAmount, RateLimitKey, SPEND_LEASE,
    split_rate, split_slots,
};
use fleet::{Fleet, FleetPlan, MILLISECOND, Message, RatePlan, SlotPlan, Tap};

const TOTAL: RateAmount = RateAmount {
    rate: 300_000,
    burst: 60_000,
};

fn fleet(seat_domains: &[usize], total: RateAmount, clocks: &[u64]) -> Fleet {
    fleet_with(LoanPolicy::AHEAD_OF_DEMAND, seat_domains, total, clocks)
}

fn fleet_with(
    policy: LoanPolicy,
    seat_domains: &[usize],
    total: RateAmount,
    clocks: &[u64],
) -> Fleet {
    let mut fleet = Fleet::new(FleetPlan {
        seat_domains: seat_domains.to_vec(),
        rates: vec![RatePlan {
            name: "account",
            total,
        }],
        slots: Vec::new(),
        policy,
        requests_per_s: 50,
        longest_deadline: Duration::from_secs(1),
        slowest_clock: 1_000,
        clocks: clocks.to_vec(),
        seed: 1,
    });
    fleet.run(2_000, 10, |_| {});
    fleet
}

/// The chosen instances take every token they can get and count them.
fn greedy(fleet: &mut Fleet, instances: &[usize], duration_ms: u64) -> usize {
    let mut taken = 0;
    fleet.run(duration_ms, 10, |fleet| {
        for &instance in instances {
            while fleet.take(instance, 0) {
                taken += 1;
            }
        }
    });
    taken
}

fn capacity(fleet: &Fleet, instance: usize) -> i64 {
    fleet.instances[instance].rates[0].bucket.capacity()
}

/// A fault, what happens around it, and what must hold afterwards. That no limit is exceeded is
/// checked at every moment of every case.
struct FaultCase {
    name: &'static str,
    clocks: &'static [u64],
    tap: fn(&Message) -> Tap,
    script: fn(&mut Fleet),
}

const ALL: [usize; 3] = [0, 1, 2];

const FAULTS: [FaultCase; 12] = [
    FaultCase {
        name: "lost grant",
        clocks: &[],
        tap: drop_grants,
        script: |fleet| {
            greedy(fleet, &[0], 1_000);
            assert_eq!(capacity(fleet, 0), 20_000);
            fleet.tap = None;
            greedy(fleet, &[0], 3_500);
            let taken = greedy(fleet, &[0], 1_000);
            assert!(taken >= 285, "the lent rate is back, got {taken}");
        },
    },
    FaultCase {
        name: "late grant",
        clocks: &[],
        tap: delay_grants,
        script: |fleet| {
            for _ in 0..600 {
                greedy(fleet, &[0], 10);
                assert_eq!(capacity(fleet, 0), 20_000);
            }
        },
    },
    FaultCase {
        name: "late grant at a stalled borrower",
        clocks: &[],
        tap: delay_grants,
        script: |fleet| {
            greedy(fleet, &[0], 100);
            fleet.stall(0, 2_500);
            greedy(fleet, &ALL, 3_000);
        },
    },
    FaultCase {
        name: "repeated grant",
        clocks: &[],
        tap: repeat_grants,
        script: |fleet| {
            greedy(fleet, &[0], 4_000);
            greedy(fleet, &ALL, 4_000);
        },
    },
    FaultCase {
        name: "repeated ask",
        clocks: &[],
        tap: repeat_asks,
        script: |fleet| {
            greedy(fleet, &[0], 700);
            let held: i64 = ALL.iter().map(|&index| capacity(fleet, index)).sum();
            assert_eq!(held, 60_000, "a repetition lends nothing");
        },
    },
    FaultCase {
        name: "crossed asks",
        clocks: &[],
        tap: |_| Tap::Pass,
        script: |fleet| {
            greedy(fleet, &[0, 1], 3_000);
            greedy(fleet, &[2], 3_000);
            greedy(fleet, &ALL, 3_000);
        },
    },
    FaultCase {
        name: "paused holder that wakes",
        clocks: &[],
        tap: |_| Tap::Pass,
        script: |fleet| {
            greedy(fleet, &[0], 1_000);
            fleet.pause(0, 5_000);
            greedy(fleet, &ALL, 5_400);
            assert_eq!(capacity(fleet, 0), 0, "nothing before the confirmation");
            greedy(fleet, &ALL, 2_000);
            assert!(capacity(fleet, 0) > 0, "the seat is confirmed");
        },
    },
    FaultCase {
        name: "paused holder that wakes after it was replaced",
        clocks: &[],
        tap: |_| Tap::Pass,
        script: |fleet| {
            greedy(fleet, &[0], 1_000);
            fleet.pause(0, 8_000);
            greedy(fleet, &ALL, 6_500);
            assert!(fleet.replace(0));
            greedy(fleet, &[0, 1, 2, 3], 6_000);
        },
    },
    FaultCase {
        name: "killed and replaced",
        clocks: &[],
        tap: |_| Tap::Pass,
        script: |fleet| {
            greedy(fleet, &[0], 1_000);
            fleet.kill(1);
            greedy(fleet, &[0], 6_100);
            assert!(fleet.replace(1));
            greedy(fleet, &[0, 2, 3], 3_000);
        },
    },
    FaultCase {
        name: "released while its loans are in use",
        clocks: &[],
        tap: |_| Tap::Pass,
        script: |fleet| {
            greedy(fleet, &[0], 1_000);
            fleet.release(1);
            greedy(fleet, &[0, 1, 2, 3], 5_000);
        },
    },
    FaultCase {
        name: "cut",
        clocks: &[],
        tap: |_| Tap::Pass,
        script: |fleet| {
            greedy(fleet, &[0], 1_000);
            fleet.cut(1, 4_000);
            greedy(fleet, &ALL, 3_500);
            assert_eq!(capacity(fleet, 2), 20_000, "the base share is back");
            greedy(fleet, &ALL, 3_000);
        },
    },
    FaultCase {
        name: "drift",
        clocks: &[950, 1_000, 1_000],
        tap: |_| Tap::Pass,
        script: |fleet| {
            greedy(fleet, &[0], 5_000);
            greedy(fleet, &ALL, 5_000);
        },
    },
];

/// Guards against a fault that lets the fleet admit more than the limit, or that costs capacity for
/// longer than a loan.
#[test]
fn named_faults_exceed_no_limit() {
    for case in FAULTS {
        println!("case: {}", case.name);
        let mut fleet = fleet(&[0, 0, 1], TOTAL, case.clocks);
        fleet.tap = Some(case.tap);
        (case.script)(&mut fleet);
    }
}

/// After short requests it asks for everything and keeps it without demand, so that the buckets
/// are full when a loan ends and every excess shows.
const HOARD: LoanPolicy = LoanPolicy {
    name: "hoard",
    rate_target: |view| {
        let is_borrower = view.shortages > 0 || view.held.burst > TOTAL.burst / 2;
        if is_borrower { view.total } else { view.held }
    },
    slot_target: |view| view.held,
};

/// Guards against a borrower with a slow clock whose control thread stalls while a loan ends: its
/// request threads must stop before the lender resumes.
#[test]
fn stall_at_the_end_of_a_loan_exceeds_no_limit() {
    for clocks in [
        [1_000, 1_000, 1_000],
        [950, 1_000, 1_000],
        [1_000, 950, 950],
    ] {
        for stall_ms in (1_500..2_400).step_by(10) {
            let mut fleet = fleet_with(HOARD, &[0, 0, 1], TOTAL, &clocks);
            fleet.tap = Some(drop_renewals);
            fleet.run(200, 10, |fleet| {
                fleet.instances[0].rates[0].shortages.record();
            });
            fleet.run(stall_ms - 200, 10, |_| {});
            assert!(stall_ms > 1_700 || capacity(&fleet, 0) > 50_000);
            fleet.stall(0, 600);
            fleet.run(1_000, 10, |_| {});
        }
    }
}

/// Guards against a new holder that uses a released share while a loan of the former one is in use.
#[test]
fn released_share_rests_until_its_loans_are_over() {
    let mut fleet = fleet_with(HOARD, &[0, 0, 1], TOTAL, &[]);
    fleet.tap = Some(drop_renewals);
    fleet.run(200, 10, |fleet| {
        fleet.instances[0].rates[0].shortages.record();
    });
    fleet.run(300, 10, |_| {});
    assert!(capacity(&fleet, 0) > 50_000);
    fleet.release(1);
    fleet.run(4_000, 10, |_| {});
    assert_eq!(capacity(&fleet, 3), 20_000);
}

/// Guards against a borrowed share that is lent on and outlives the loan it comes from.
#[test]
fn borrowed_share_is_not_lent_on() {
    let mut fleet = fleet_with(HOARD, &[0, 0, 1], TOTAL, &[]);
    fleet.tap = Some(drop_renewals);
    fleet.run(200, 10, |fleet| {
        fleet.instances[0].rates[0].shortages.record();
    });
    fleet.run(1_000, 10, |_| {});
    assert!(capacity(&fleet, 0) > 50_000);
    fleet.run(200, 10, |fleet| {
        fleet.instances[2].rates[0].shortages.record();
    });
    fleet.run(4_000, 10, |_| {});
}

/// Guards against tokens that are credited twice because a return is repeated.
#[test]
fn repeated_return_brings_tokens_once() {
    let (mut ledger, key, ask, sent) = borrower_with_ask();
    ledger.set_rate_share(key, TOTAL, TOTAL);
    let full = sent + Duration::from_millis(10);
    ledger.tick(full);
    let Some(grant) = ledger.answer_request(BORROWER, ask, full) else {
        panic!("expected a grant");
    };
    let LoanAmount::Rate(amount) = grant.amount else {
        panic!("expected a grant of a rate");
    };
    assert!(amount.burst > 0);
    let bucket = ledger.rate_handle(key).bucket;
    let before = bucket.level();
    let end = LoanReturn {
        loan_id: ask.loan_id,
        limit: ask.limit,
        tokens: 500,
    };
    ledger.handle_return(BORROWER, end, full);
    assert_eq!(bucket.level(), before + 500);
    ledger.handle_return(BORROWER, end, full);
    assert_eq!(bucket.level(), before + 500);
}

fn drop_grants(message: &Message) -> Tap {
    match message {
        Message::Grant(_) => Tap::Drop,
        _ => Tap::Pass,
    }
}

fn delay_grants(message: &Message) -> Tap {
    match message {
        Message::Grant(_) => Tap::Delay(2_300),
        _ => Tap::Pass,
    }
}

fn repeat_grants(message: &Message) -> Tap {
    match message {
        Message::Grant(_) => Tap::Repeat(300),
        _ => Tap::Pass,
    }
}

fn repeat_asks(message: &Message) -> Tap {
    match message {
        Message::Ask(_) => Tap::Repeat(5),
        _ => Tap::Pass,
    }
}

fn drop_renewals(message: &Message) -> Tap {
    match message {
        Message::Ask(ask) if ask.loan_id < ask.request_id => Tap::Drop,
        Message::Return(_) => Tap::Drop,
        _ => Tap::Pass,
    }
}

const BORROWER: Incarnation = Incarnation(1);
const LENDER: Incarnation = Incarnation(2);
const STRANGER: Incarnation = Incarnation(3);

/// A borrower that has sent one ask.
fn borrower_with_ask() -> (LoanLedger, RateLimitKey, LoanRequest, MonotonicTime) {
    let settings = LedgerSettings {
        policy: LoanPolicy::AHEAD_OF_DEMAND,
        requests_per_s: 50,
        longest_deadline: Duration::from_secs(1),
    };
    let start = MonotonicTime::from_millis(1_000);
    let mut ledger = LoanLedger::new(settings, start);
    let key = ledger.add_rate_limit(start);
    ledger.set_rate_share(key, TOTAL, RateAmount::default());
    ledger.set_rate_lenders(vec![LoanPeer {
        incarnation: LENDER,
        is_near: true,
    }]);
    ledger.activate_claimed_seat(None);
    for _ in 0..5 {
        ledger.rate_handle(key).shortages.record();
    }
    let sent = start + Duration::from_millis(100);
    let output = ledger.tick(sent);
    assert_eq!(output.requests.len(), 1);
    (ledger, key, output.requests[0].message, sent)
}

/// A grant that a faulty or confused lender sends.
struct GrantCase {
    name: &'static str,
    lender: Incarnation,
    change: fn(&mut LoanGrant),
    delay: Duration,
    outcome: GrantOutcome,
    /// Whether the borrower ends up with exactly what it asked for, or with nothing.
    holds_asked: bool,
}

/// Guards against a grant that gives more than was asked, was not asked for, or comes too late.
#[test]
fn faulty_grants_are_dropped_or_clamped() {
    let soon = Duration::from_millis(5);
    let cases = [
        GrantCase {
            name: "as asked",
            lender: LENDER,
            change: |_| {},
            delay: soon,
            outcome: GrantOutcome::Accepted,
            holds_asked: true,
        },
        GrantCase {
            name: "more than asked",
            lender: LENDER,
            change: |grant| {
                grant.tokens = i64::MAX;
                grant.amount = LoanAmount::Rate(RateAmount {
                    rate: i64::MAX,
                    burst: i64::MAX,
                });
            },
            delay: soon,
            outcome: GrantOutcome::Accepted,
            holds_asked: true,
        },
        GrantCase {
            name: "negative",
            lender: LENDER,
            change: |grant| {
                grant.tokens = -1_000;
                grant.amount = LoanAmount::Rate(RateAmount {
                    rate: -1,
                    burst: -1,
                });
            },
            delay: soon,
            outcome: GrantOutcome::Empty,
            holds_asked: false,
        },
        GrantCase {
            name: "of another kind",
            lender: LENDER,
            change: |grant| grant.amount = LoanAmount::Slots(3),
            delay: soon,
            outcome: GrantOutcome::Mismatched,
            holds_asked: false,
        },
        GrantCase {
            name: "nobody asked",
            lender: LENDER,
            change: |grant| grant.request_id += 1,
            delay: soon,
            outcome: GrantOutcome::Unsolicited,
            holds_asked: false,
        },
        GrantCase {
            name: "from an instance that was not asked",
            lender: STRANGER,
            change: |_| {},
            delay: soon,
            outcome: GrantOutcome::Unsolicited,
            holds_asked: false,
        },
        GrantCase {
            name: "after the loan's life",
            lender: LENDER,
            change: |_| {},
            delay: LOAN_LIFETIME,
            outcome: GrantOutcome::Expired,
            holds_asked: false,
        },
    ];
    for case in cases {
        let (mut ledger, key, ask, sent) = borrower_with_ask();
        let LoanAmount::Rate(asked) = ask.amount else {
            panic!("{}: expected an ask for a rate", case.name);
        };
        let mut grant = LoanGrant {
            request_id: ask.request_id,
            amount: ask.amount,
            tokens: asked.burst,
        };
        (case.change)(&mut grant);
        let outcome = ledger.handle_grant(case.lender, grant, sent + case.delay);
        assert_eq!(outcome, case.outcome, "{}", case.name);
        let expected = if case.holds_asked { asked.burst } else { 0 };
        let bucket = ledger.rate_handle(key).bucket;
        assert_eq!(bucket.capacity(), expected, "{}", case.name);
        assert_eq!(bucket.level(), expected, "{}", case.name);
    }
}

/// Guards against a lender that answers a repeated or malformed ask.
#[test]
fn repeated_ask_has_no_answer() {
    let (mut ledger, _, ask, sent) = borrower_with_ask();
    assert!(ledger.answer_request(BORROWER, ask, sent).is_some());
    assert!(ledger.answer_request(BORROWER, ask, sent).is_none());
    let long = LoanRequest {
        request_id: ask.request_id + 1,
        lifetime: LOAN_LIFETIME + Duration::from_millis(1),
        ..ask
    };
    assert!(ledger.answer_request(BORROWER, long, sent).is_none());
}

/// Guards against a lender that was paused, lost its seat and lends from it before it has checked.
#[test]
fn lender_that_missed_ticks_lends_nothing() {
    let (mut ledger, key, ask, sent) = borrower_with_ask();
    ledger.set_rate_share(key, TOTAL, TOTAL);
    ledger.tick(sent);
    let wake = sent + SPEND_LEASE;
    let grant = ledger.answer_request(BORROWER, ask, wake);
    let nothing = LoanAmount::Rate(RateAmount::default());
    assert_eq!(grant.map(|grant| grant.amount), Some(nothing));
    ledger.tick(wake);
    let next = LoanRequest {
        request_id: ask.request_id + 1,
        loan_id: ask.request_id + 1,
        ..ask
    };
    let grant = ledger.answer_request(BORROWER, next, wake);
    assert_ne!(grant.map(|grant| grant.amount), Some(nothing));
}

/// Guards against a new holder that uses slots on which requests of the killed one still run.
#[test]
fn slots_of_a_killed_holder_rest_until_its_requests_are_over() {
    let mut fleet = Fleet::new(FleetPlan {
        seat_domains: vec![0, 0],
        rates: Vec::new(),
        slots: vec![SlotPlan {
            name: "upstream",
            slots: 4,
            domain: 0,
        }],
        policy: LoanPolicy::FIXED,
        requests_per_s: 50,
        longest_deadline: Duration::from_secs(10),
        slowest_clock: 950,
        clocks: Vec::new(),
        seed: 1,
    });
    fleet.run(1_000, 10, |_| {});
    assert!(fleet.start_request(0, 0, 10_000));
    fleet.kill(0);
    fleet.run(6_500, 10, |_| {});
    assert!(fleet.replace(0));
    fleet.run(1_000, 10, |_| {});
    let counter = fleet.instances[2].slots[0].counter.clone();
    assert_eq!(counter.capacity(), 0);
    fleet.run(10_000, 10, |_| {});
    assert_eq!(counter.capacity(), 2);
}

/// Guards against a skewed account that stays at its base share.
#[test]
fn skewed_account_reaches_its_whole_rate() {
    let mut fleet = fleet(&[0, 0, 1, 1, 2, 2, 2], TOTAL, &[]);
    greedy(&mut fleet, &[0], 1_000);
    let taken = greedy(&mut fleet, &[0], 1_000);
    assert!(
        taken >= 285,
        "got {taken} of 300 requests in the second second"
    );
}

/// Guards against a small burst that cannot be used because no seat holds a whole part of it.
#[test]
fn small_burst_is_usable_at_one_instance() {
    let total = RateAmount {
        rate: 20_000,
        burst: 5_000,
    };
    for instance in 0..7 {
        let mut fleet = fleet(&[0, 0, 1, 1, 2, 2, 2], total, &[]);
        let mut waiting = 5;
        for _ in 0..5 {
            if fleet.take(instance, 0) {
                waiting -= 1;
            }
        }
        let start_ns = fleet.now_ns;
        fleet.run(150, 10, |fleet| {
            while waiting > 0 && fleet.try_take(instance, 0) {
                waiting -= 1;
            }
        });
        let waited_ms = (fleet.now_ns - start_ns) / MILLISECOND;
        assert_eq!(waiting, 0, "instance {instance} after {waited_ms} ms");
    }
}

struct SplitCase {
    total: RateAmount,
    seats: usize,
    whole_tokens: bool,
}

/// Guards against shares that exceed the total, and against fractions of a token that no seat can use.
#[test]
fn shares_add_up_to_the_total() {
    let case = |rate, burst, seats, whole_tokens| SplitCase {
        total: RateAmount { rate, burst },
        seats,
        whole_tokens,
    };
    let cases = [
        case(120_000, 60_000, 7, false),
        case(20_000, 5_000, 7, true),
        case(1, 1_000, 7, true),
        case(1_000_001, 7_003, 7, false),
        case(50_000, 0, 3, true),
    ];
    for SplitCase {
        total,
        seats,
        whole_tokens,
    } in cases
    {
        for name in ["hotel-group", "bakery", "florist"] {
            let shares = split_rate(total, seats, name);
            let sum = shares
                .iter()
                .fold(RateAmount::default(), |sum, share| sum.plus(*share));
            let is_spendable = total.burst > 0;
            let expected = if is_spendable {
                total
            } else {
                RateAmount::default()
            };
            assert_eq!(sum, expected, "{total:?} {name}");
            if whole_tokens {
                assert!(shares.iter().all(|share| share.burst % 1_000 == 0));
            }
        }
    }
    assert_eq!(split_slots(9, 2, "od-1").iter().sum::<u32>(), 9);
    assert!(split_slots(9, 0, "od-1").is_empty());
}

/// Guards against a split that gives every odd unit to the same seat.
#[test]
fn odd_units_rotate_between_seats() {
    let mut extra = [0; 7];
    for limit in 0..700 {
        let shares = split_slots(1, 7, &format!("upstream-{limit}"));
        for (seat, share) in shares.iter().enumerate() {
            extra[seat] += share;
        }
    }
    assert!(
        extra.iter().all(|&units| (50..=150).contains(&units)),
        "{extra:?}"
    );
}
