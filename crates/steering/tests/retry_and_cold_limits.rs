//! Budgets that every instance keeps alone: retries and requests to cold upstreams.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    AtomicTime, RetryBudget, RetryLimit, cold_interval, pacing_instances,
};

struct RetryCase {
    name: &'static str,
    instances: usize,
    requests: u64,
    bound: RetryLimit,
}

/// Guards against retries of all instances that together pass the users' bound, with every instance just started.
#[test]
fn retries_of_all_instances_stay_within_the_bound() {
    let bound = RetryLimit {
        ratio: 0.2,
        slack: 56.0,
    };
    let cases = [
        RetryCase {
            name: "an idle fleet",
            instances: 7,
            requests: 0,
            bound,
        },
        RetryCase {
            name: "a busy small fleet",
            instances: 7,
            requests: 3_000,
            bound,
        },
        RetryCase {
            name: "a fleet larger than the slack",
            instances: 40,
            requests: 400,
            bound,
        },
    ];
    for case in cases {
        let shares: Vec<RetryBudget> = (0..case.instances)
            .map(|_| RetryBudget::default())
            .collect();
        let mut retries = 0_u64;
        for request in 0..case.requests {
            let share = &shares[usize::try_from(request).unwrap() % case.instances];
            share.count_request(case.bound, case.instances);
            retries += u64::from(share.try_retry());
        }
        for share in &shares {
            share.count_request(case.bound, case.instances);
            while share.try_retry() {
                retries += 1;
            }
        }
        #[expect(clippy::cast_precision_loss)]
        let (retries, requests) = (retries as f64, case.requests as f64);
        let most = requests * case.bound.ratio + case.bound.slack;
        assert!(retries <= most, "{}: {retries} of {most}", case.name);
    }
}

/// Guards against second sends for speed that leave nothing for failures.
#[test]
fn spare_retries_leave_a_reserve() {
    let bound = RetryLimit {
        ratio: 0.2,
        slack: 70.0,
    };
    let share = RetryBudget::default();
    share.count_request(bound, 1);
    while share.try_unreserved_retry(bound, 1) {}
    assert!(!share.has_unreserved_retry(bound, 1));
    assert!(share.try_retry());
}

struct ColdCase {
    name: &'static str,
    instances: u64,
    cold_per_s: f64,
    /// The users' bound for one second.
    most: f64,
}

/// Guards against a cold upstream that all instances together send more than it bears, in any second and without
/// a message between them.
#[test]
fn all_instances_together_pace_a_cold_upstream() {
    let cases = [
        ColdCase {
            name: "seven instances",
            instances: 7,
            cold_per_s: 7.9,
            most: 7.9 * 1.5 + 5.0,
        },
        ColdCase {
            name: "more instances than the upstream bears requests",
            instances: 36,
            cold_per_s: 4.5,
            most: 4.5 * 1.5 + 8.0,
        },
        ColdCase {
            name: "less than one request a second",
            instances: 7,
            cold_per_s: 0.5,
            most: 0.5 * 1.5 + 5.0,
        },
    ];
    for case in cases {
        let hashes: Vec<u64> = (0..case.instances).map(|index| index * 7_919).collect();
        let turns: Vec<AtomicTime> = hashes.iter().map(|_| AtomicTime::default()).collect();
        let mut sent = Vec::new();
        for now_ms in (0..4_000).step_by(10) {
            let now = MonotonicTime::from_millis(now_ms);
            for (own, turn) in hashes.iter().zip(&turns) {
                let interval = cold_interval(77, *own, &hashes, case.cold_per_s);
                if interval.is_some_and(|interval| turn.claim_if_due(now, interval)) {
                    sent.push(now_ms);
                }
            }
        }
        assert!(!sent.is_empty(), "{}: nothing was sent", case.name);
        for first in &sent {
            let window = sent
                .iter()
                .filter(|time| (*first..first + 1_000).contains(*time));
            let count = f64::from(u32::try_from(window.count()).unwrap());
            assert!(count <= case.most, "{}: {count} within a second", case.name);
        }
    }
}

struct PacingCase {
    name: &'static str,
    live: &'static [u64],
    registered: &'static [u64],
    instances: &'static [u64],
}

/// Guards against instances that start together while an upstream is cold, hear nobody yet and each take all its turns. It
/// was found by hunts (trouble-3 on Kestrelridge, seeds 502802734558 and 667103672500).
#[test]
fn instances_that_just_started_share_cold_turns_with_the_registered_ones() {
    let cases = [
        PacingCase {
            name: "just started",
            live: &[3],
            registered: &[1, 2, 3],
            instances: &[1, 2, 3],
        },
        PacingCase {
            name: "the registered ones are not known yet",
            live: &[3],
            registered: &[],
            instances: &[],
        },
        PacingCase {
            name: "heard before it is registered",
            live: &[3, 4],
            registered: &[3],
            instances: &[3, 4],
        },
    ];
    for case in cases {
        let instances = pacing_instances(case.live, case.registered);
        assert_eq!(instances, case.instances, "{}", case.name);
    }
    assert_eq!(cold_interval(77, 3, &[], 7.9), None);
}

/// Guards against a turn that two threads take at once.
#[test]
fn a_turn_is_taken_once() {
    let turn = AtomicTime::default();
    let now = MonotonicTime::from_millis(500);
    let period = Duration::from_millis(100);
    assert!(turn.claim_if_due(now, period));
    assert!(!turn.claim_if_due(now + period / 2, period));
    assert!(turn.claim_if_due(now + period, period));
}
