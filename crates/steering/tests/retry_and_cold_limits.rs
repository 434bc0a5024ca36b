//! Limits that every instance enforces without messages: retries and requests to cold upstreams.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    AtomicTime, RetryBudget, RetryLimit, cold_send_interval, pacing_instances,
};

struct RetryCase {
    name: &'static str,
    instances: usize,
    requests: u64,
    limit: RetryLimit,
}

/// Guards against retries of all instances that together exceed the required limit when every instance has just
/// started.
#[test]
fn retries_of_all_instances_stay_within_the_limit() {
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 56.0,
    };
    let cases = [
        RetryCase {
            name: "an idle fleet",
            instances: 7,
            requests: 0,
            limit,
        },
        RetryCase {
            name: "a busy small fleet",
            instances: 7,
            requests: 3_000,
            limit,
        },
        RetryCase {
            name: "a fleet larger than the slack",
            instances: 40,
            requests: 400,
            limit,
        },
    ];
    for case in cases {
        let budgets: Vec<RetryBudget> = (0..case.instances)
            .map(|_| RetryBudget::default())
            .collect();
        let mut retries = 0_u64;
        for request in 0..case.requests {
            let budget = &budgets[usize::try_from(request).unwrap() % case.instances];
            budget.count_request(case.limit, case.instances);
            retries += u64::from(budget.try_retry());
        }
        for budget in &budgets {
            budget.count_request(case.limit, case.instances);
            while budget.try_retry() {
                retries += 1;
            }
        }
        #[expect(clippy::cast_precision_loss)]
        let (retries, requests) = (retries as f64, case.requests as f64);
        let max_retries = requests * case.limit.ratio + case.limit.slack;
        assert!(
            retries <= max_retries,
            "{}: {retries} of {max_retries}",
            case.name
        );
    }
}

/// Guards against retries for latency that leave none for failures.
#[test]
fn unreserved_retries_leave_a_reserve() {
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 70.0,
    };
    let budget = RetryBudget::default();
    budget.count_request(limit, 1);
    while budget.try_unreserved_retry(limit, 1) {}
    assert!(!budget.has_unreserved_retry(limit, 1));
    assert!(budget.try_retry());
}

struct ColdCase {
    name: &'static str,
    instances: u64,
    cold_per_s: f64,
    /// Maximum number of requests in any second according to the requirements.
    max_requests: f64,
}

/// Guards against a cold upstream that receives more requests from all instances together than it can handle within a
/// second, with no messages between the instances.
#[test]
fn all_instances_together_limit_requests_to_a_cold_upstream() {
    let cases = [
        ColdCase {
            name: "seven instances",
            instances: 7,
            cold_per_s: 7.9,
            max_requests: 7.9 * 1.5 + 5.0,
        },
        ColdCase {
            name: "more instances than requests per second",
            instances: 36,
            cold_per_s: 4.5,
            max_requests: 4.5 * 1.5 + 8.0,
        },
        ColdCase {
            name: "less than one request a second",
            instances: 7,
            cold_per_s: 0.5,
            max_requests: 0.5 * 1.5 + 5.0,
        },
    ];
    for case in cases {
        let hashes: Vec<u64> = (0..case.instances).map(|index| index * 7_919).collect();
        let next_sends: Vec<AtomicTime> = hashes.iter().map(|_| AtomicTime::default()).collect();
        let mut sent = Vec::new();
        for now_ms in (0..4_000).step_by(10) {
            let now = MonotonicTime::from_millis(now_ms);
            for (own, next_send) in hashes.iter().zip(&next_sends) {
                let interval = cold_send_interval(77, *own, &hashes, case.cold_per_s);
                if interval.is_some_and(|interval| next_send.claim_if_due(now, interval)) {
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
            assert!(
                count <= case.max_requests,
                "{}: {count} within a second",
                case.name
            );
        }
    }
}

struct PacingCase {
    name: &'static str,
    live: &'static [u64],
    registered: &'static [u64],
    instances: &'static [u64],
}

/// Guards against instances that start together while an upstream is cold, have received no heartbeats yet and each
/// send at the full rate. Found by randomized runs (trouble-3 on Kestrelridge, seeds 502802734558 and 667103672500).
#[test]
fn restarted_instances_share_cold_sends_with_registered_ones() {
    let cases = [
        PacingCase {
            name: "no heartbeat received yet",
            live: &[3],
            registered: &[1, 2, 3],
            instances: &[1, 2, 3],
        },
        PacingCase {
            name: "registered instances are not known yet",
            live: &[3],
            registered: &[],
            instances: &[],
        },
        PacingCase {
            name: "a heartbeat before the registration",
            live: &[3, 4],
            registered: &[3],
            instances: &[3, 4],
        },
    ];
    for case in cases {
        let instances = pacing_instances(case.live, case.registered);
        assert_eq!(instances, case.instances, "{}", case.name);
    }
    assert_eq!(cold_send_interval(77, 3, &[], 7.9), None);
}

/// Guards against two threads that both claim the same due action.
#[test]
fn a_due_action_is_claimed_once() {
    let next_send = AtomicTime::default();
    let now = MonotonicTime::from_millis(500);
    let period = Duration::from_millis(100);
    assert!(next_send.claim_if_due(now, period));
    assert!(!next_send.claim_if_due(now + period / 2, period));
    assert!(next_send.claim_if_due(now + period, period));
}
