//! How long the slots of a claimed seat rest.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{LedgerSettings, LoanLedger, LoanPolicy};

const DEADLINE: Duration = Duration::from_mins(1);
const CLAIMED: MonotonicTime = MonotonicTime::from_millis(10_000);

/// How a seat came to its holder, and when its slots may be used.
struct RestCase {
    failure: &'static str,
    open: fn(&mut LoanLedger),
    pool_deadline: Option<Duration>,
    usable_after: Duration,
}

/// Guards against slots that are used while requests of a former holder may still run on them, and against slots that
/// rest longer than these can run.
#[test]
fn slots_rest_as_long_as_former_requests_may_run() {
    let cases = [
        RestCase {
            failure: "a seat that was nobody's rests",
            open: |ledger| ledger.open_new_seat(None),
            pool_deadline: None,
            usable_after: Duration::ZERO,
        },
        RestCase {
            failure: "the requests of a killed holder are not waited for",
            open: |ledger| ledger.open_new_seat(Some(CLAIMED)),
            pool_deadline: None,
            // Loan life and deadline, 10% for the drift of clocks, and 50 ms.
            usable_after: Duration::from_millis(68_250),
        },
        RestCase {
            failure: "a pool with short deadlines rests for the longest of the fleet",
            open: |ledger| ledger.open_new_seat(Some(CLAIMED)),
            pool_deadline: Some(Duration::from_secs(8)),
            usable_after: Duration::from_millis(11_050),
        },
        RestCase {
            failure: "a seat released without running requests rests",
            open: |ledger| ledger.open_settled_seat(CLAIMED),
            pool_deadline: None,
            usable_after: Duration::ZERO,
        },
    ];
    for case in cases {
        let settings = LedgerSettings {
            policy: LoanPolicy::AHEAD_OF_DEMAND,
            asks_per_s: 50,
            longest_deadline: DEADLINE,
        };
        let mut ledger = LoanLedger::new(settings, CLAIMED);
        let key = ledger.add_slot_limit(CLAIMED);
        ledger.set_slot_share(key, 9, 9);
        if let Some(deadline) = case.pool_deadline {
            ledger.set_slot_deadline(key, deadline);
        }
        (case.open)(&mut ledger);
        let counter = ledger.slot_handle(key).counter;
        if !case.usable_after.is_zero() {
            ledger.tick(CLAIMED + case.usable_after - Duration::from_millis(1));
            assert_eq!(counter.capacity(), 0, "{}", case.failure);
        }
        ledger.tick(CLAIMED + case.usable_after);
        assert_eq!(counter.capacity(), 9, "{}", case.failure);
    }
}

/// Guards against a seat that is called settled while a request runs on one of its slots.
#[test]
fn running_request_keeps_a_seat_from_being_settled() {
    let settings = LedgerSettings {
        policy: LoanPolicy::AHEAD_OF_DEMAND,
        asks_per_s: 50,
        longest_deadline: DEADLINE,
    };
    let mut ledger = LoanLedger::new(settings, CLAIMED);
    let key = ledger.add_slot_limit(CLAIMED);
    ledger.set_slot_share(key, 9, 9);
    ledger.open_new_seat(None);
    ledger.tick(CLAIMED);
    let counter = ledger.slot_handle(key).counter;
    assert!(!ledger.has_lent_slots());
    assert!(counter.try_acquire());
    assert!(ledger.has_lent_slots());
    counter.release();
    assert!(!ledger.has_lent_slots());
}
