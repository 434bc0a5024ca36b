//! Tables of the share that a seat uses while instances run different configuration generations.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    LOAN_LIFETIME, OldShareUse, RateAmount, ShareTransition, with_drift_margin,
};

/// The state of a transition when its share is read.
struct TransitionCase {
    name: &'static str,
    /// When all other seats are known to have stopped using their old shares; `None` while that is unknown.
    ended_ms: Option<u64>,
    /// When the share is read.
    read_ms: u64,
    /// Whether the complete new share applies; otherwise the smaller of both does.
    applies_new: bool,
}

/// Guards against shares whose sum exceeds the limit during a change of the configuration: one seat raises its share
/// while another still uses its larger old share, or a loan of it has not expired.
#[test]
fn larger_rate_share_applies_after_all_old_shares_ended() {
    let expiry_time_ms = 2_250;
    let cases = [
        TransitionCase {
            name: "old shares may still be in use",
            ended_ms: None,
            read_ms: 1_000_000,
            applies_new: false,
        },
        TransitionCase {
            name: "old shares ended, loans of them have not expired",
            ended_ms: Some(1_000),
            read_ms: 1_000 + expiry_time_ms - 1,
            applies_new: false,
        },
        TransitionCase {
            name: "old shares ended, loans of them have expired",
            ended_ms: Some(1_000),
            read_ms: 1_000 + expiry_time_ms,
            applies_new: true,
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
        if let Some(ended_ms) = case.ended_ms {
            let ended_at = MonotonicTime::from_millis(ended_ms);
            transition.observe(OldShareUse::Ended, ended_at);
        }
        let share = transition.share(MonotonicTime::from_millis(case.read_ms));
        let smaller = RateAmount {
            rate: 10_000,
            burst: 3_000,
        };
        let expected = if case.applies_new { new } else { smaller };
        assert_eq!(share, expected, "{}", case.name);
    }
}

/// Guards against slots that two seats use concurrently during a change of the configuration: requests that started
/// under an old share run on after the loan has expired, for up to the longest deadline.
#[test]
fn larger_slot_share_applies_after_running_requests_ended() {
    let deadline = Duration::from_secs(10);
    let mut transition = ShareTransition::of_slots(2, 5, deadline);
    let ended_at = MonotonicTime::from_millis(500);
    transition.observe(OldShareUse::Ended, ended_at);
    let expires_at = ended_at + with_drift_margin(LOAN_LIFETIME + deadline);
    assert_eq!(transition.share(expires_at - Duration::from_millis(1)), 2);
    assert_eq!(transition.share(expires_at), 5);
}
