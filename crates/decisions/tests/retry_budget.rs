//! The bound on retries and the waits between them.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{RetryBudget, RetryPolicy, RetryRefill, backoff_delay};

struct BudgetCase {
    name: &'static str,
    requests_per_s: u64,
    seconds: u64,
    tick_ms: u64,
    most_retries: u64,
    least_retries: u64,
}

/// Takes all retries it can get while requests arrive, and returns how many that were.
fn retries_of(case: &BudgetCase, policy: RetryPolicy) -> u64 {
    let budget = RetryBudget::new(policy);
    let mut refill = RetryRefill::new(MonotonicTime::default());
    let mut retries = 0;
    let mut sent = 0;
    for tick in 1..=case.seconds * 1_000 / case.tick_ms {
        let now_ms = tick * case.tick_ms;
        let due = case.requests_per_s * now_ms / 1_000;
        while sent < due {
            budget.count_request();
            sent += 1;
            retries += u64::from(budget.try_take_retry());
        }
        refill.refill(MonotonicTime::from_millis(now_ms), &budget);
    }
    while policy == RetryPolicy::Limited && budget.try_take_retry() {
        retries += 1;
    }
    retries
}

/// Guards against retries that multiply the load of failing upstreams, and against a floor so low that
/// a quiet instance cannot move its requests off a draining upstream.
#[test]
fn retries_stay_within_a_tenth_of_the_requests_plus_three_a_second() {
    let cases = [
        BudgetCase {
            name: "no requests, saved up for ten seconds",
            requests_per_s: 0,
            seconds: 60,
            tick_ms: 10,
            most_retries: 30,
            least_retries: 30,
        },
        BudgetCase {
            name: "a busy instance",
            requests_per_s: 1_000,
            seconds: 20,
            tick_ms: 10,
            most_retries: 2_060,
            least_retries: 2_050,
        },
        BudgetCase {
            name: "ticks that do not divide a second",
            requests_per_s: 100,
            seconds: 21,
            tick_ms: 7,
            most_retries: 273,
            least_retries: 270,
        },
        BudgetCase {
            name: "rare ticks",
            requests_per_s: 10,
            seconds: 60,
            tick_ms: 3_000,
            most_retries: 240,
            least_retries: 200,
        },
    ];
    for case in &cases {
        let retries = retries_of(case, RetryPolicy::Limited);
        assert!(retries <= case.most_retries, "{}: {retries}", case.name);
        assert!(retries >= case.least_retries, "{}: {retries}", case.name);
    }
    let unlimited = retries_of(&cases[1], RetryPolicy::Unlimited);
    assert_eq!(unlimited, 20_000, "every request is retried");
}

/// Guards against a budget that is still as large as in a busy time after the requests have stopped.
#[test]
fn saved_budget_shrinks_when_requests_stop() {
    let budget = RetryBudget::new(RetryPolicy::Limited);
    let mut refill = RetryRefill::new(MonotonicTime::default());
    for _ in 0..10_000 {
        budget.count_request();
    }
    refill.refill(MonotonicTime::from_millis(1_000), &budget);
    assert_eq!(budget.available_retries(), 1_003);
    refill.refill(MonotonicTime::from_millis(30_000), &budget);
    assert_eq!(budget.available_retries(), 30);
}

/// Guards against milliseconds that are lost or credited twice when ticks fall between them.
#[test]
fn fractions_of_a_millisecond_are_credited_once() {
    let budget = RetryBudget::new(RetryPolicy::Limited);
    let mut refill = RetryRefill::new(MonotonicTime::default());
    for tick in 1..=10_000_u64 {
        refill.refill(MonotonicTime::from_nanos(tick * 300_000), &budget);
    }
    assert_eq!(budget.available_retries(), 9, "3 s at 3/s");
}

/// Guards against a clock reading that goes back, as after a late tick of another task.
#[test]
fn earlier_time_credits_nothing() {
    let budget = RetryBudget::new(RetryPolicy::Limited);
    let mut refill = RetryRefill::new(MonotonicTime::from_millis(5_000));
    refill.refill(MonotonicTime::from_millis(1_000), &budget);
    assert_eq!(budget.available_retries(), 0);
}

struct BackoffCase {
    attempts: u32,
    bound: Duration,
}

/// Guards against retries that come back together, or later than any deadline.
#[test]
fn backoff_is_spread_from_zero_to_its_bound() {
    let cases = [
        BackoffCase {
            attempts: 1,
            bound: Duration::from_millis(20),
        },
        BackoffCase {
            attempts: 2,
            bound: Duration::from_millis(40),
        },
        BackoffCase {
            attempts: 3,
            bound: Duration::from_millis(80),
        },
        BackoffCase {
            attempts: u32::MAX,
            bound: Duration::from_millis(500),
        },
    ];
    for case in &cases {
        assert_eq!(backoff_delay(case.attempts, 0), Duration::ZERO);
        assert_eq!(backoff_delay(case.attempts, 1 << 63), case.bound / 2);
        let longest = backoff_delay(case.attempts, u64::MAX);
        assert!(longest < case.bound && longest > case.bound * 9 / 10);
    }
}
