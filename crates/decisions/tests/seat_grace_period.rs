//! Tables of the grace period for which the slots of a claimed seat stay unused.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{LedgerSettings, LoanLedger, LoanPolicy};

/// The longest request deadline of the fleet.
const LONGEST_DEADLINE: Duration = Duration::from_mins(1);
const CLAIMED_AT: MonotonicTime = MonotonicTime::from_millis(10_000);

/// How an instance came to hold a seat, and the grace period after which its slots are usable.
struct GraceCase {
    /// The failure that the case guards against.
    failure: &'static str,
    activate: fn(&mut LoanLedger),
    /// The longest deadline of requests on the upstream; `None` if it has none of its own.
    upstream_deadline: Option<Duration>,
    usable_after: Duration,
}

/// Guards against more requests than slots, if a new holder uses slots on which requests of the former holder may still
/// run, and against slots that stay unused for longer than these requests can run.
#[test]
fn slots_stay_unused_while_former_requests_may_run() {
    let cases = [
        GraceCase {
            failure: "a seat without a former holder has a grace period",
            activate: |ledger| ledger.activate_claimed_seat(None),
            upstream_deadline: None,
            usable_after: Duration::ZERO,
        },
        GraceCase {
            failure: "slots are usable while requests of a killed holder run",
            activate: |ledger| ledger.activate_claimed_seat(Some(CLAIMED_AT)),
            upstream_deadline: None,
            // Loan lifetime and deadline, 10% for clock drift, and 50 ms for coarse clocks.
            usable_after: Duration::from_millis(68_250),
        },
        GraceCase {
            failure: "an upstream with short deadlines has the grace period of the fleet's longest deadline",
            activate: |ledger| ledger.activate_claimed_seat(Some(CLAIMED_AT)),
            upstream_deadline: Some(Duration::from_secs(8)),
            usable_after: Duration::from_millis(11_050),
        },
        GraceCase {
            failure: "a seat that was released without running requests has a grace period for slots",
            activate: |ledger| ledger.activate_settled_seat(CLAIMED_AT),
            upstream_deadline: None,
            usable_after: Duration::ZERO,
        },
    ];
    for case in cases {
        let settings = LedgerSettings {
            policy: LoanPolicy::AHEAD_OF_DEMAND,
            requests_per_s: 50,
            longest_deadline: LONGEST_DEADLINE,
        };
        let mut ledger = LoanLedger::new(settings, CLAIMED_AT);
        let key = ledger.add_slot_limit(CLAIMED_AT);
        ledger.set_slot_share(key, 9, 9);
        if let Some(deadline) = case.upstream_deadline {
            ledger.set_slot_deadline(key, deadline);
        }
        (case.activate)(&mut ledger);
        let counter = ledger.slot_handle(key).counter;
        if !case.usable_after.is_zero() {
            ledger.tick(CLAIMED_AT + case.usable_after - Duration::from_millis(1));
            assert_eq!(counter.capacity(), 0, "{}", case.failure);
        }
        ledger.tick(CLAIMED_AT + case.usable_after);
        assert_eq!(counter.capacity(), 9, "{}", case.failure);
    }
}

/// Guards against a seat that is released as settled, without a grace period for its slots, while a request runs on one
/// of them.
#[test]
fn running_request_counts_as_lent_slot() {
    let settings = LedgerSettings {
        policy: LoanPolicy::AHEAD_OF_DEMAND,
        requests_per_s: 50,
        longest_deadline: LONGEST_DEADLINE,
    };
    let mut ledger = LoanLedger::new(settings, CLAIMED_AT);
    let key = ledger.add_slot_limit(CLAIMED_AT);
    ledger.set_slot_share(key, 9, 9);
    ledger.activate_claimed_seat(None);
    ledger.tick(CLAIMED_AT);
    let counter = ledger.slot_handle(key).counter;
    assert!(!ledger.has_lent_or_used_slots());
    assert!(counter.try_acquire());
    assert!(ledger.has_lent_or_used_slots());
    counter.release();
    assert!(!ledger.has_lent_or_used_slots());
}
