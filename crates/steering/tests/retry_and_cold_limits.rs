//! Limits that every instance enforces without messages: retries and requests to cold upstreams.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    AtomicTime, RetryBudget, RetryLimit, SharerSizes, cold_send_interval, sharing_instances,
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
            budget.count_request(case.limit, case.instances, MonotonicTime::default());
            retries += u64::from(budget.try_retry());
        }
        for budget in &budgets {
            budget.count_request(case.limit, case.instances, MonotonicTime::default());
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
    budget.count_request(limit, 1, MonotonicTime::default());
    while budget.try_unreserved_retry(limit, 1) {}
    assert!(!budget.has_unreserved_retry(limit, 1));
    assert!(budget.try_retry());
}

struct RestartCase {
    name: &'static str,
    /// Times at which all instances restart, in milliseconds.
    restarts_ms: &'static [u64],
    /// Requests per second at each instance, each of which asks for a retry.
    requests_per_s: u64,
    /// Smallest number of retries over the whole run.
    min_retries: u64,
}

/// Guards against restarts that give each instance its share of the fixed number of retries again within a window, and
/// against a restarted instance that never gets it back.
#[test]
fn restarts_do_not_refill_the_retry_budget() {
    const INSTANCES: usize = 7;
    const WINDOW_MS: u64 = 10_000;
    const STEP_MS: u64 = 100;
    const WINDOW_STEPS: usize = 100;
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 62.0,
    };
    let cases = [
        RestartCase {
            name: "five restarts within a window",
            restarts_ms: &[1_000, 3_500, 6_000, 8_500, 11_000],
            requests_per_s: 10,
            min_retries: 350,
        },
        RestartCase {
            name: "one restart of an almost idle fleet",
            restarts_ms: &[15_000],
            requests_per_s: 1,
            min_retries: 110,
        },
    ];
    for case in cases {
        let start = |full_from| -> Vec<RetryBudget> {
            (0..INSTANCES)
                .map(|_| RetryBudget::new(full_from))
                .collect()
        };
        let mut budgets = start(MonotonicTime::default());
        let mut retries_by_step = Vec::new();
        for now_ms in (0..40_000).step_by(100) {
            let now = MonotonicTime::from_millis(now_ms);
            if case.restarts_ms.contains(&now_ms) {
                budgets = start(now + Duration::from_millis(WINDOW_MS));
            }
            let count_by = |ms: u64| case.requests_per_s * ms / 1_000;
            let mut retries = 0_u64;
            for budget in &budgets {
                for _ in count_by(now_ms)..count_by(now_ms + STEP_MS) {
                    budget.count_request(limit, INSTANCES, now);
                    while budget.try_retry() {
                        retries += 1;
                    }
                }
            }
            retries_by_step.push(retries);
        }
        let requests = case.requests_per_s * INSTANCES as u64 * WINDOW_MS / 1_000;
        #[expect(clippy::cast_precision_loss)]
        let max_retries = requests as f64 * limit.ratio + limit.slack;
        for window in retries_by_step.windows(WINDOW_STEPS) {
            let sum: u64 = window.iter().sum();
            #[expect(clippy::cast_precision_loss)]
            let sum = sum as f64;
            assert!(sum <= max_retries, "{}: {sum} of {max_retries}", case.name);
        }
        let total: u64 = retries_by_step.iter().sum();
        assert!(total >= case.min_retries, "{}: {total}", case.name);
    }
}

struct ColdCase {
    name: &'static str,
    instances: u64,
    cold_per_s: f64,
    /// Size of every fifth instance relative to the others.
    large: f64,
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
            large: 1.0,
            max_requests: 7.9 * 1.5 + 5.0,
        },
        ColdCase {
            name: "more instances than requests per second",
            instances: 36,
            cold_per_s: 4.5,
            large: 1.0,
            max_requests: 4.5 * 1.5 + 8.0,
        },
        ColdCase {
            name: "less than one request a second",
            instances: 7,
            cold_per_s: 0.5,
            large: 1.0,
            max_requests: 0.5 * 1.5 + 5.0,
        },
        ColdCase {
            name: "a fifth of the instances eight times as large",
            instances: 60,
            cold_per_s: 10.0,
            large: 8.0,
            max_requests: 10.0 * 1.5 + 8.0,
        },
    ];
    for case in cases {
        let hashes: Vec<u64> = (0..case.instances).map(|index| index * 7_919).collect();
        let next_sends: Vec<AtomicTime> = hashes.iter().map(|_| AtomicTime::default()).collect();
        let sizes = every_fifth_large(&hashes, case.large);
        let mut sent = Vec::new();
        for now_ms in (0..4_000).step_by(10) {
            let now = MonotonicTime::from_millis(now_ms);
            for (own, next_send) in hashes.iter().zip(&next_sends) {
                let interval = cold_send_interval(77, *own, &hashes, &sizes, case.cold_per_s);
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

/// Returns sizes of which every fifth is `large` times the others.
fn every_fifth_large(hashes: &[u64], large: f64) -> SharerSizes {
    let size = |(index, hash): (usize, &u64)| {
        let size = if index % 5 == 0 { large } else { 1.0 };
        (*hash, size)
    };
    let known: HashMap<u64, f64> = hashes.iter().enumerate().map(size).collect();
    SharerSizes::new(hashes, &known)
}

/// Guards against large instances that run out of retries while those of the small ones are unused, and against parts
/// that add up to more than the limit.
#[test]
fn parts_of_limits_follow_the_sizes() {
    let hashes: Vec<u64> = (0..10).collect();
    for large in [1.0, 8.0] {
        let sizes = every_fifth_large(&hashes, large);
        let sum: f64 = hashes.iter().map(|hash| sizes.relative_size(*hash)).sum();
        assert!((sum - 10.0).abs() < 0.01, "{large}: {sum}");
        let ratio = sizes.relative_size(0) / sizes.relative_size(1);
        assert!((ratio - large).abs() < 0.01, "{large}: {ratio}");
    }
    assert!((SharerSizes::default().relative_size(0) - 1.0).abs() < 0.01);
}

struct SharersCase {
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
        SharersCase {
            name: "no heartbeat received yet",
            live: &[3],
            registered: &[1, 2, 3],
            instances: &[1, 2, 3],
        },
        SharersCase {
            name: "registered instances are not known yet",
            live: &[3],
            registered: &[],
            instances: &[],
        },
        SharersCase {
            name: "a stopping instance that still sends heartbeats",
            live: &[1, 3],
            registered: &[3],
            instances: &[1, 3],
        },
        SharersCase {
            name: "a heartbeat before the registration",
            live: &[3, 4],
            registered: &[3],
            instances: &[3, 4],
        },
    ];
    for case in cases {
        let instances = sharing_instances(case.live, case.registered);
        assert_eq!(instances, case.instances, "{}", case.name);
    }
    let sizes = SharerSizes::default();
    assert_eq!(cold_send_interval(77, 3, &[], &sizes, 7.9), None);
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
