//! Tables of faults that a loan ledger must survive without exceeding a limit, and of invalid messages to it.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod fleet;

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    GrantOutcome, Incarnation, LOAN_LIFETIME, LedgerSettings, LoanAmount, LoanGrant, LoanLedger,
    LoanPeer, LoanPolicy, LoanRequest, LoanReturn, RateAmount, RateLimitKey, SPEND_LEASE,
    split_rate, split_slots,
};
use fleet::{Fleet, FleetPlan, Message, MessageAction, NANOS_PER_MILLI, RatePlan, SlotPlan};

const TOTAL: RateAmount = RateAmount {
    rate: 300_000,
    burst: 60_000,
};

/// Returns a fleet with one rate limit, full buckets and the policy `AHEAD_OF_DEMAND`.
fn fleet(seat_domains: &[usize], total: RateAmount, clocks_permille: &[u64]) -> Fleet {
    fleet_with(
        LoanPolicy::AHEAD_OF_DEMAND,
        seat_domains,
        total,
        clocks_permille,
    )
}

fn fleet_with(
    policy: LoanPolicy,
    seat_domains: &[usize],
    total: RateAmount,
    clocks_permille: &[u64],
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
        slowest_clock_permille: 1_000,
        clocks_permille: clocks_permille.to_vec(),
        seed: 1,
    });
    fleet.run(2_000, 10, |_| {});
    fleet
}

/// Admits as many requests as possible at each of `instances` for `duration_ms` and returns their number.
fn saturate(fleet: &mut Fleet, instances: &[usize], duration_ms: u64) -> usize {
    let mut admitted = 0;
    fleet.run(duration_ms, 10, |fleet| {
        for &instance in instances {
            while fleet.try_admit(instance, 0) {
                admitted += 1;
            }
        }
    });
    admitted
}

/// Returns the capacity of the bucket of an instance in milli-tokens: its share, minus lent and plus borrowed parts.
fn bucket_capacity(fleet: &Fleet, instance: usize) -> i64 {
    fleet.instances[instance].rates[0].bucket.capacity()
}

/// A fault, the events around it, and the assertions that must hold afterwards. The fleet itself checks at each step
/// that no limit is exceeded.
struct FaultCase {
    name: &'static str,
    /// Clock speeds of the instances, in thousandths of true time; 1,000 where missing.
    clocks_permille: &'static [u64],
    /// What happens to each message.
    message_filter: fn(&Message) -> MessageAction,
    /// Runs the events and the assertions of the case.
    script: fn(&mut Fleet),
}

const ALL_INSTANCES: [usize; 3] = [0, 1, 2];

const FAULTS: [FaultCase; 12] = [
    FaultCase {
        name: "lost grant",
        clocks_permille: &[],
        message_filter: drop_grants,
        script: |fleet| {
            saturate(fleet, &[0], 1_000);
            assert_eq!(bucket_capacity(fleet, 0), 20_000);
            fleet.message_filter = None;
            saturate(fleet, &[0], 3_500);
            let admitted = saturate(fleet, &[0], 1_000);
            assert!(
                admitted >= 285,
                "the rate of the lost grant is not usable again, admitted {admitted}"
            );
        },
    },
    FaultCase {
        name: "late grant",
        clocks_permille: &[],
        message_filter: delay_grants,
        script: |fleet| {
            for _ in 0..600 {
                saturate(fleet, &[0], 10);
                assert_eq!(bucket_capacity(fleet, 0), 20_000);
            }
        },
    },
    FaultCase {
        name: "late grant at a stalled borrower",
        clocks_permille: &[],
        message_filter: delay_grants,
        script: |fleet| {
            saturate(fleet, &[0], 100);
            fleet.stall_control_thread(0, 2_500);
            saturate(fleet, &ALL_INSTANCES, 3_000);
        },
    },
    FaultCase {
        name: "repeated grant",
        clocks_permille: &[],
        message_filter: repeat_grants,
        script: |fleet| {
            saturate(fleet, &[0], 4_000);
            saturate(fleet, &ALL_INSTANCES, 4_000);
        },
    },
    FaultCase {
        name: "repeated loan request",
        clocks_permille: &[],
        message_filter: repeat_requests,
        script: |fleet| {
            saturate(fleet, &[0], 700);
            let total_capacity: i64 = ALL_INSTANCES
                .iter()
                .map(|&index| bucket_capacity(fleet, index))
                .sum();
            assert_eq!(
                total_capacity, 60_000,
                "a repeated loan request lends nothing"
            );
        },
    },
    FaultCase {
        name: "two instances request loans from each other",
        clocks_permille: &[],
        message_filter: |_| MessageAction::Deliver,
        script: |fleet| {
            saturate(fleet, &[0, 1], 3_000);
            saturate(fleet, &[2], 3_000);
            saturate(fleet, &ALL_INSTANCES, 3_000);
        },
    },
    FaultCase {
        name: "paused holder that resumes",
        clocks_permille: &[],
        message_filter: |_| MessageAction::Deliver,
        script: |fleet| {
            saturate(fleet, &[0], 1_000);
            fleet.pause(0, 5_000);
            saturate(fleet, &ALL_INSTANCES, 5_400);
            assert_eq!(
                bucket_capacity(fleet, 0),
                0,
                "no capacity before the seat is confirmed"
            );
            saturate(fleet, &ALL_INSTANCES, 2_000);
            assert!(bucket_capacity(fleet, 0) > 0, "the seat is confirmed");
        },
    },
    FaultCase {
        name: "paused holder that resumes after it was replaced",
        clocks_permille: &[],
        message_filter: |_| MessageAction::Deliver,
        script: |fleet| {
            saturate(fleet, &[0], 1_000);
            fleet.pause(0, 8_000);
            saturate(fleet, &ALL_INSTANCES, 6_500);
            assert!(fleet.replace_silent_holder(0));
            saturate(fleet, &[0, 1, 2, 3], 6_000);
        },
    },
    FaultCase {
        name: "killed and replaced holder",
        clocks_permille: &[],
        message_filter: |_| MessageAction::Deliver,
        script: |fleet| {
            saturate(fleet, &[0], 1_000);
            fleet.kill(1);
            saturate(fleet, &[0], 6_100);
            assert!(fleet.replace_silent_holder(1));
            saturate(fleet, &[0, 2, 3], 3_000);
        },
    },
    FaultCase {
        name: "seat released while loans of it are in use",
        clocks_permille: &[],
        message_filter: |_| MessageAction::Deliver,
        script: |fleet| {
            saturate(fleet, &[0], 1_000);
            fleet.release_seat(1);
            saturate(fleet, &[0, 1, 2, 3], 5_000);
        },
    },
    FaultCase {
        name: "failure domain cut off",
        clocks_permille: &[],
        message_filter: |_| MessageAction::Deliver,
        script: |fleet| {
            saturate(fleet, &[0], 1_000);
            fleet.isolate_domain(1, 4_000);
            saturate(fleet, &ALL_INSTANCES, 3_500);
            assert_eq!(
                bucket_capacity(fleet, 2),
                20_000,
                "the lender uses its base share again"
            );
            saturate(fleet, &ALL_INSTANCES, 3_000);
        },
    },
    FaultCase {
        name: "borrower with a slow clock",
        clocks_permille: &[950, 1_000, 1_000],
        message_filter: |_| MessageAction::Deliver,
        script: |fleet| {
            saturate(fleet, &[0], 5_000);
            saturate(fleet, &ALL_INSTANCES, 5_000);
        },
    },
];

/// Guards against a fault of the network, a process or a clock after which borrower and lender use the same share, so
/// that the fleet admits more than the limit, and against one that makes a share unusable for longer than a loan.
#[test]
fn faults_do_not_exceed_the_limit() {
    for case in FAULTS {
        println!("case: {}", case.name);
        let mut fleet = fleet(&[0, 0, 1], TOTAL, case.clocks_permille);
        fleet.message_filter = Some(case.message_filter);
        (case.script)(&mut fleet);
    }
}

/// Requests the complete limit after a shortage and keeps it without demand, so that the buckets are full when a loan
/// ends and any excess shows.
const RETAIN_LOANS: LoanPolicy = LoanPolicy {
    name: "retain-loans",
    rate_target: |view| {
        let is_borrower = view.shortages > 0 || view.held.burst > TOTAL.burst / 2;
        if is_borrower { view.total } else { view.held }
    },
    slot_target: |view| view.held,
};

/// Guards against a borrowed share that is still used when the lender uses it again: the borrower's clock is slow and
/// its control thread stalls while the loan expires, so its request threads must stop by themselves.
#[test]
fn stall_at_the_expiry_of_a_loan_does_not_exceed_the_limit() {
    for clocks_permille in [
        [1_000, 1_000, 1_000],
        [950, 1_000, 1_000],
        [1_000, 950, 950],
    ] {
        for stall_ms in (1_500..2_400).step_by(10) {
            let mut fleet = fleet_with(RETAIN_LOANS, &[0, 0, 1], TOTAL, &clocks_permille);
            fleet.message_filter = Some(drop_renewals);
            fleet.run(200, 10, |fleet| {
                fleet.instances[0].rates[0].shortages.record();
            });
            fleet.run(stall_ms - 200, 10, |_| {});
            assert!(stall_ms > 1_700 || bucket_capacity(&fleet, 0) > 50_000);
            fleet.stall_control_thread(0, 600);
            fleet.run(1_000, 10, |_| {});
        }
    }
}

/// Guards against a seat whose holder releases it while a part of its share is lent: the new holder must not use the
/// share before that loan has expired.
#[test]
fn released_share_stays_unused_until_its_loans_expire() {
    let mut fleet = fleet_with(RETAIN_LOANS, &[0, 0, 1], TOTAL, &[]);
    fleet.message_filter = Some(drop_renewals);
    fleet.run(200, 10, |fleet| {
        fleet.instances[0].rates[0].shortages.record();
    });
    fleet.run(300, 10, |_| {});
    assert!(bucket_capacity(&fleet, 0) > 50_000);
    fleet.release_seat(1);
    fleet.run(4_000, 10, |_| {});
    assert_eq!(bucket_capacity(&fleet, 3), 20_000);
}

/// Guards against a borrower that lends a borrowed share to a third instance, where it would be used after the first
/// loan has expired.
#[test]
fn borrowed_share_is_not_lent_again() {
    let mut fleet = fleet_with(RETAIN_LOANS, &[0, 0, 1], TOTAL, &[]);
    fleet.message_filter = Some(drop_renewals);
    fleet.run(200, 10, |fleet| {
        fleet.instances[0].rates[0].shortages.record();
    });
    fleet.run(1_000, 10, |_| {});
    assert!(bucket_capacity(&fleet, 0) > 50_000);
    fleet.run(200, 10, |fleet| {
        fleet.instances[2].rates[0].shortages.record();
    });
    fleet.run(4_000, 10, |_| {});
}

/// Guards against tokens that are credited twice because the network delivers a return twice.
#[test]
fn repeated_return_credits_tokens_once() {
    let (mut ledger, key, request, sent_at) = borrower_with_pending_request();
    ledger.set_rate_share(key, TOTAL, TOTAL);
    let filled_at = sent_at + Duration::from_millis(10);
    ledger.tick(filled_at);
    let Some(grant) = ledger.answer_request(BORROWER, request, filled_at) else {
        panic!("expected a grant");
    };
    let LoanAmount::Rate(amount) = grant.amount else {
        panic!("expected a grant of a rate");
    };
    assert!(amount.burst > 0);
    let bucket = ledger.rate_handle(key).bucket;
    let level_before = bucket.level();
    let returned = LoanReturn {
        loan_id: request.loan_id,
        limit: request.limit,
        tokens: 500,
    };
    ledger.handle_return(BORROWER, returned, filled_at);
    assert_eq!(bucket.level(), level_before + 500);
    ledger.handle_return(BORROWER, returned, filled_at);
    assert_eq!(bucket.level(), level_before + 500);
}

fn drop_grants(message: &Message) -> MessageAction {
    match message {
        Message::Grant(_) => MessageAction::Drop,
        _ => MessageAction::Deliver,
    }
}

fn delay_grants(message: &Message) -> MessageAction {
    match message {
        Message::Grant(_) => MessageAction::Delay(2_300),
        _ => MessageAction::Deliver,
    }
}

fn repeat_grants(message: &Message) -> MessageAction {
    match message {
        Message::Grant(_) => MessageAction::Repeat(300),
        _ => MessageAction::Deliver,
    }
}

fn repeat_requests(message: &Message) -> MessageAction {
    match message {
        Message::Request(_) => MessageAction::Repeat(5),
        _ => MessageAction::Deliver,
    }
}

fn drop_renewals(message: &Message) -> MessageAction {
    match message {
        Message::Request(request) if request.loan_id < request.request_id => MessageAction::Drop,
        Message::Return(_) => MessageAction::Drop,
        _ => MessageAction::Deliver,
    }
}

const BORROWER: Incarnation = Incarnation(1);
const LENDER: Incarnation = Incarnation(2);
const UNRELATED: Incarnation = Incarnation(3);

/// Returns a borrower that has sent one loan request, the key of its rate limit, the request and when it was sent.
fn borrower_with_pending_request() -> (LoanLedger, RateLimitKey, LoanRequest, MonotonicTime) {
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
    let sent_at = start + Duration::from_millis(100);
    let output = ledger.tick(sent_at);
    assert_eq!(output.requests.len(), 1);
    (ledger, key, output.requests[0].message, sent_at)
}

/// A grant that differs from the request, or arrives from the wrong instance or too late.
struct GrantCase {
    name: &'static str,
    lender: Incarnation,
    /// Changes a grant of exactly what was requested.
    change: fn(&mut LoanGrant),
    /// The time between the request and the arrival of the grant.
    delay: Duration,
    outcome: GrantOutcome,
    /// Whether the borrower holds exactly what it requested afterwards; otherwise it holds nothing.
    holds_requested: bool,
}

/// Guards against a borrower that takes a share which nobody lends: from a grant that exceeds the request, was not
/// requested, is for another kind of limit, or arrives after the loan has expired.
#[test]
fn invalid_grants_are_dropped_or_clamped() {
    let short_delay = Duration::from_millis(5);
    let cases = [
        GrantCase {
            name: "as requested",
            lender: LENDER,
            change: |_| {},
            delay: short_delay,
            outcome: GrantOutcome::Accepted,
            holds_requested: true,
        },
        GrantCase {
            name: "more than requested",
            lender: LENDER,
            change: |grant| {
                grant.tokens = i64::MAX;
                grant.amount = LoanAmount::Rate(RateAmount {
                    rate: i64::MAX,
                    burst: i64::MAX,
                });
            },
            delay: short_delay,
            outcome: GrantOutcome::Accepted,
            holds_requested: true,
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
            delay: short_delay,
            outcome: GrantOutcome::Empty,
            holds_requested: false,
        },
        GrantCase {
            name: "for another kind of limit",
            lender: LENDER,
            change: |grant| grant.amount = LoanAmount::Slots(3),
            delay: short_delay,
            outcome: GrantOutcome::Mismatched,
            holds_requested: false,
        },
        GrantCase {
            name: "without a request",
            lender: LENDER,
            change: |grant| grant.request_id += 1,
            delay: short_delay,
            outcome: GrantOutcome::Unsolicited,
            holds_requested: false,
        },
        GrantCase {
            name: "from an instance that received no request",
            lender: UNRELATED,
            change: |_| {},
            delay: short_delay,
            outcome: GrantOutcome::Unsolicited,
            holds_requested: false,
        },
        GrantCase {
            name: "after the lifetime of the loan",
            lender: LENDER,
            change: |_| {},
            delay: LOAN_LIFETIME,
            outcome: GrantOutcome::Expired,
            holds_requested: false,
        },
    ];
    for case in cases {
        let (mut ledger, key, request, sent_at) = borrower_with_pending_request();
        let LoanAmount::Rate(requested) = request.amount else {
            panic!("{}: expected a request for a rate", case.name);
        };
        let mut grant = LoanGrant {
            request_id: request.request_id,
            amount: request.amount,
            tokens: requested.burst,
        };
        (case.change)(&mut grant);
        let outcome = ledger.handle_grant(case.lender, grant, sent_at + case.delay);
        assert_eq!(outcome, case.outcome, "{}", case.name);
        let expected = if case.holds_requested {
            requested.burst
        } else {
            0
        };
        let bucket = ledger.rate_handle(key).bucket;
        assert_eq!(bucket.capacity(), expected, "{}", case.name);
        assert_eq!(bucket.level(), expected, "{}", case.name);
    }
}

/// Guards against a share that is lent twice because the network delivers a request twice, and against a loan that a
/// malformed request makes longer than the lifetime of loans.
#[test]
fn repeated_or_malformed_request_gets_no_grant() {
    let (mut ledger, _, request, sent_at) = borrower_with_pending_request();
    assert!(ledger.answer_request(BORROWER, request, sent_at).is_some());
    assert!(ledger.answer_request(BORROWER, request, sent_at).is_none());
    let too_long = LoanRequest {
        request_id: request.request_id + 1,
        lifetime: LOAN_LIFETIME + Duration::from_millis(1),
        ..request
    };
    assert!(ledger.answer_request(BORROWER, too_long, sent_at).is_none());
}

/// Guards against a lender that lost its seat during a pause and then answers a waiting request before its first
/// tick has checked the seat.
#[test]
fn lender_that_missed_ticks_grants_nothing() {
    let (mut ledger, key, request, sent_at) = borrower_with_pending_request();
    ledger.set_rate_share(key, TOTAL, TOTAL);
    ledger.tick(sent_at);
    let resumed_at = sent_at + SPEND_LEASE;
    let grant = ledger.answer_request(BORROWER, request, resumed_at);
    let empty = LoanAmount::Rate(RateAmount::default());
    assert_eq!(grant.map(|grant| grant.amount), Some(empty));
    ledger.tick(resumed_at);
    let next = LoanRequest {
        request_id: request.request_id + 1,
        loan_id: request.request_id + 1,
        ..request
    };
    let grant = ledger.answer_request(BORROWER, next, resumed_at);
    assert_ne!(grant.map(|grant| grant.amount), Some(empty));
}

/// Guards against more requests than slots after a holder was killed: its requests still run at the upstream when the
/// new holder takes over the seat.
#[test]
fn slots_of_a_killed_holder_stay_unused_until_its_requests_end() {
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
        slowest_clock_permille: 950,
        clocks_permille: Vec::new(),
        seed: 1,
    });
    fleet.run(1_000, 10, |_| {});
    assert!(fleet.start_request(0, 0, 10_000));
    fleet.kill(0);
    fleet.run(6_500, 10, |_| {});
    assert!(fleet.replace_silent_holder(0));
    fleet.run(1_000, 10, |_| {});
    let counter = fleet.instances[2].slots[0].counter.clone();
    assert_eq!(counter.capacity(), 0);
    fleet.run(10_000, 10, |_| {});
    assert_eq!(counter.capacity(), 2);
}

/// Guards against an account whose requests all arrive at one instance and that stays at the base share of one seat
/// there.
#[test]
fn account_with_skewed_load_reaches_its_full_rate() {
    let mut fleet = fleet(&[0, 0, 1, 1, 2, 2, 2], TOTAL, &[]);
    saturate(&mut fleet, &[0], 1_000);
    let admitted = saturate(&mut fleet, &[0], 1_000);
    assert!(
        admitted >= 285,
        "admitted {admitted} of 300 requests in the second second"
    );
}

/// Guards against a burst that is smaller than one token for each seat and cannot be used at one instance: the loans
/// for it must arrive within the 150 ms that a request waits.
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
            if fleet.try_admit(instance, 0) {
                waiting -= 1;
            }
        }
        let start_ns = fleet.now_ns;
        fleet.run(150, 10, |fleet| {
            while waiting > 0 && fleet.try_admit_waiting(instance, 0) {
                waiting -= 1;
            }
        });
        let elapsed_ms = (fleet.now_ns - start_ns) / NANOS_PER_MILLI;
        assert_eq!(waiting, 0, "instance {instance} after {elapsed_ms} ms");
    }
}

/// A total that is split among seats.
struct SplitCase {
    total: RateAmount,
    seats: usize,
    /// Whether each seat must get a whole number of tokens as its burst.
    is_split_in_whole_tokens: bool,
}

/// Guards against shares whose sum differs from the total because of rounding, and against fractions of a token, with
/// which no seat can admit a request.
#[test]
fn shares_add_up_to_the_total() {
    let case = |rate, burst, seats, is_split_in_whole_tokens| SplitCase {
        total: RateAmount { rate, burst },
        seats,
        is_split_in_whole_tokens,
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
        is_split_in_whole_tokens,
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
            if is_split_in_whole_tokens {
                assert!(shares.iter().all(|share| share.burst % 1_000 == 0));
            }
        }
    }
    assert_eq!(split_slots(9, 2, "od-1").iter().sum::<u32>(), 9);
    assert!(split_slots(9, 0, "od-1").is_empty());
}

/// Guards against a split that gives the remainder of each limit to the same seat, which then gets more of the load
/// than the others.
#[test]
fn remainders_are_spread_over_the_seats() {
    let mut units_of_seat = [0; 7];
    for limit in 0..700 {
        let shares = split_slots(1, 7, &format!("upstream-{limit}"));
        for (seat, share) in shares.iter().enumerate() {
            units_of_seat[seat] += share;
        }
    }
    assert!(
        units_of_seat
            .iter()
            .all(|&units| (50..=150).contains(&units)),
        "{units_of_seat:?}"
    );
}
