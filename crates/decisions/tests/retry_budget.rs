//! Tests of the retry budget and of the backoff between attempts.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{RetryBudget, RetryPolicy, RetryRefill, backoff_delay};

struct BudgetCase {
    name: &'static str,
    requests_per_s: u64,
    seconds: u64,
    /// The interval between two refills.
    tick_ms: u64,
    max_retries: u64,
    min_retries: u64,
}

/// Takes a retry for each request, as if all upstreams failed, and at the end the retries that are left. Returns how
/// many the budget granted.
fn count_retries(case: &BudgetCase, policy: RetryPolicy) -> u64 {
    let budget = RetryBudget::new(policy);
    let mut refill = RetryRefill::new(MonotonicTime::default());
    let mut retries = 0;
    let mut requests = 0;
    for tick in 1..=case.seconds * 1_000 / case.tick_ms {
        let now_ms = tick * case.tick_ms;
        let requests_due = case.requests_per_s * now_ms / 1_000;
        while requests < requests_due {
            budget.count_request();
            requests += 1;
            retries += u64::from(budget.try_take_retry());
        }
        refill.refill(MonotonicTime::from_millis(now_ms), &budget);
    }
    while policy == RetryPolicy::Limited && budget.try_take_retry() {
        retries += 1;
    }
    retries
}

/// Guards against retries that multiply the load of failing upstreams, because the budget grows faster than 10% of the
/// requests plus 3/s. Also guards against a budget so small that an instance with few requests cannot send them to
/// another upstream while one is draining.
#[test]
fn retries_stay_within_a_tenth_of_the_requests_plus_three_a_second() {
    let cases = [
        BudgetCase {
            name: "no requests for 60 s, of which 10 s count",
            requests_per_s: 0,
            seconds: 60,
            tick_ms: 10,
            max_retries: 30,
            min_retries: 30,
        },
        BudgetCase {
            name: "1,000 requests per second",
            requests_per_s: 1_000,
            seconds: 20,
            tick_ms: 10,
            max_retries: 2_060,
            min_retries: 2_050,
        },
        BudgetCase {
            name: "an interval between refills that does not divide a second",
            requests_per_s: 100,
            seconds: 21,
            tick_ms: 7,
            max_retries: 273,
            min_retries: 270,
        },
        BudgetCase {
            name: "refills 3 s apart",
            requests_per_s: 10,
            seconds: 60,
            tick_ms: 3_000,
            max_retries: 240,
            min_retries: 200,
        },
    ];
    for case in &cases {
        let retries = count_retries(case, RetryPolicy::Limited);
        assert!(retries <= case.max_retries, "{}: {retries}", case.name);
        assert!(retries >= case.min_retries, "{}: {retries}", case.name);
    }
    let unlimited = count_retries(&cases[1], RetryPolicy::Unlimited);
    assert_eq!(
        unlimited, 20_000,
        "without a limit every request is retried"
    );
}

/// Guards against a burst of retries long after the load that earned them: requests stop, the budget keeps the retries
/// of the busy time, and a later failure of upstreams finds a budget for far more retries than there are requests.
#[test]
fn unused_budget_shrinks_when_requests_stop() {
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

/// Guards against a budget that grows too slowly or too fast because refills come more often than once a millisecond
/// and the remainder of each interval is dropped or rounded up.
#[test]
fn fractions_of_a_millisecond_are_credited_once() {
    let budget = RetryBudget::new(RetryPolicy::Limited);
    let mut refill = RetryRefill::new(MonotonicTime::default());
    for tick in 1..=10_000_u64 {
        refill.refill(MonotonicTime::from_nanos(tick * 300_000), &budget);
    }
    assert_eq!(budget.available_retries(), 9, "3 s at 3/s");
}

/// Guards against an interval that underflows when the time of a refill is earlier than that of the previous one, as
/// after a late tick of another task: the budget would receive a huge credit, or the instance would panic.
#[test]
fn earlier_time_credits_nothing() {
    let budget = RetryBudget::new(RetryPolicy::Limited);
    let mut refill = RetryRefill::new(MonotonicTime::from_millis(5_000));
    refill.refill(MonotonicTime::from_millis(1_000), &budget);
    assert_eq!(budget.available_retries(), 0);
}

struct BackoffCase {
    /// The number of attempts so far.
    attempts: u32,
    /// The exclusive upper bound of the wait.
    bound: Duration,
}

/// Guards against retries that arrive at the same moment at a recovering upstream, because the wait has no jitter, and
/// against a wait beyond any deadline, because its bound doubles without a maximum or overflows.
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
