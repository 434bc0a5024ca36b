//! Requests that arrive after the signal to stop.

use std::time::Duration;

use coltsfootkeel_steering::{GraceTimes, StoppingRequest};

struct StopCase {
    name: &'static str,
    grace_ms: u64,
    passed_ms: u64,
    is_idempotent: bool,
    expected_ms: u64,
    deadline_ms: u64,
    is_taken: bool,
}

/// Guards against requests that are still running when the process is killed, and against refusals of requests that would
/// end in time.
#[test]
fn what_may_outlast_the_grace_period_is_not_taken() {
    let cases = [
        StopCase {
            name: "an order with a short deadline, at once",
            grace_ms: 6_000,
            passed_ms: 100,
            is_idempotent: false,
            expected_ms: 800,
            deadline_ms: 4_000,
            is_taken: true,
        },
        StopCase {
            name: "an order that is expected to end in time and may not",
            grace_ms: 6_000,
            passed_ms: 2_000,
            is_idempotent: false,
            expected_ms: 800,
            deadline_ms: 4_000,
            is_taken: false,
        },
        StopCase {
            name: "an order whose deadline is longer than the grace period",
            grace_ms: 10_000,
            passed_ms: 0,
            is_idempotent: false,
            expected_ms: 2_400,
            deadline_ms: 12_000,
            is_taken: false,
        },
        StopCase {
            name: "an early look at a page that is expected to end in time",
            grace_ms: 10_000,
            passed_ms: 2_000,
            is_idempotent: true,
            expected_ms: 7_200,
            deadline_ms: 40_000,
            is_taken: true,
        },
        StopCase {
            name: "the same, late",
            grace_ms: 10_000,
            passed_ms: 2_700,
            is_idempotent: true,
            expected_ms: 500,
            deadline_ms: 40_000,
            is_taken: false,
        },
        StopCase {
            name: "a late one whose deadline comes before the end",
            grace_ms: 6_000,
            passed_ms: 3_000,
            is_idempotent: true,
            expected_ms: 500,
            deadline_ms: 2_000,
            is_taken: true,
        },
        StopCase {
            name: "an early one that would take too long",
            grace_ms: 6_000,
            passed_ms: 1_000,
            is_idempotent: true,
            expected_ms: 4_800,
            deadline_ms: 12_000,
            is_taken: false,
        },
    ];
    for case in cases {
        let passed = Duration::from_millis(case.passed_ms);
        let grace = GraceTimes {
            passed,
            left: Duration::from_millis(case.grace_ms).saturating_sub(passed),
        };
        let request = StoppingRequest {
            is_idempotent: case.is_idempotent,
            expected_time: Duration::from_millis(case.expected_ms),
            deadline_left: Duration::from_millis(case.deadline_ms),
        };
        assert_eq!(request.fits(grace), case.is_taken, "{}", case.name);
    }
}
