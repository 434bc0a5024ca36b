//! Shares while instances run different generations.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    LOAN_LIFETIME, OldShareUse, RateAmount, ShareTransition, with_drift_margin,
};

struct TransitionCase {
    name: &'static str,
    /// When every seat is known to be settled, in milliseconds after the start.
    settled_ms: Option<u64>,
    /// When the share is asked for.
    asked_ms: u64,
    uses_new: bool,
}

/// Guards against a seat that raises its share while another may still use or lend its larger old one.
#[test]
fn larger_share_waits_for_all_seats() {
    let rate_wait_ms = 2_250;
    let cases = [
        TransitionCase {
            name: "nothing known",
            settled_ms: None,
            asked_ms: 1_000_000,
            uses_new: false,
        },
        TransitionCase {
            name: "settled, loans still out",
            settled_ms: Some(1_000),
            asked_ms: 1_000 + rate_wait_ms - 1,
            uses_new: false,
        },
        TransitionCase {
            name: "settled, loans over",
            settled_ms: Some(1_000),
            asked_ms: 1_000 + rate_wait_ms,
            uses_new: true,
        },
    ];
    let old = RateAmount {
        rate: 10_000,
        burst: 9_000,
    };
    let new = RateAmount {
        rate: 20_000,
        burst: 3_000,
    };
    for case in cases {
        let mut transition = ShareTransition::of_rate(old, new);
        transition.observe(OldShareUse::Possible, MonotonicTime::from_millis(0));
        if let Some(settled_ms) = case.settled_ms {
            let settled = MonotonicTime::from_millis(settled_ms);
            transition.observe(OldShareUse::Ended, settled);
        }
        let share = transition.share(MonotonicTime::from_millis(case.asked_ms));
        let smaller = RateAmount {
            rate: 10_000,
            burst: 3_000,
        };
        let expected = if case.uses_new { new } else { smaller };
        assert_eq!(share, expected, "{}", case.name);
    }
}

/// Guards against slots that are used while requests of the old share still run on them.
#[test]
fn larger_slot_share_waits_for_running_requests() {
    let deadline = Duration::from_secs(10);
    let mut transition = ShareTransition::of_slots(2, 5, deadline);
    let settled = MonotonicTime::from_millis(500);
    transition.observe(OldShareUse::Ended, settled);
    let end = settled + with_drift_margin(LOAN_LIFETIME + deadline);
    assert_eq!(transition.share(end - Duration::from_millis(1)), 2);
    assert_eq!(transition.share(end), 5);
}
