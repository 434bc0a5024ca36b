//! Table of the slots that a lender keeps for requests in its own failure domain.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    Incarnation, LOAN_LIFETIME, LedgerSettings, LimitKey, LoanAmount, LoanLedger, LoanPolicy,
    LoanRequest,
};

const START: MonotonicTime = MonotonicTime::from_millis(1_000);
const BORROWER: Incarnation = Incarnation(7);

/// The slots of a lender, a request for a loan of slots, and the loan that it grants.
struct SlotLoanCase {
    /// The failure that the case guards against.
    failure: &'static str,
    share: u32,
    in_use: u32,
    requested: u32,
    lent: u32,
}

/// Guards against an instance that can use none of its upstreams during a partition, because it lent all of their slots
/// to other failure domains before.
#[test]
fn lender_keeps_one_of_several_slots() {
    let cases = [
        SlotLoanCase {
            failure: "all slots of an idle upstream are lent",
            share: 3,
            in_use: 0,
            requested: 3,
            lent: 2,
        },
        SlotLoanCase {
            failure: "slots in use are lent",
            share: 3,
            in_use: 2,
            requested: 3,
            lent: 1,
        },
        SlotLoanCase {
            failure: "a single slot cannot be lent at all",
            share: 1,
            in_use: 0,
            requested: 1,
            lent: 1,
        },
        SlotLoanCase {
            failure: "more is lent than was requested",
            share: 9,
            in_use: 0,
            requested: 2,
            lent: 2,
        },
    ];
    for case in cases {
        let settings = LedgerSettings {
            policy: LoanPolicy::AHEAD_OF_DEMAND,
            requests_per_s: 50,
            longest_deadline: Duration::from_secs(1),
        };
        let mut ledger = LoanLedger::new(settings, START);
        let key = ledger.add_slot_limit(START);
        ledger.set_slot_share(key, case.share, case.share);
        ledger.activate_claimed_seat(None);
        ledger.tick(START);
        let counter = ledger.slot_handle(key).counter;
        for _ in 0..case.in_use {
            assert!(counter.try_acquire(), "{}", case.failure);
        }
        let request = LoanRequest {
            request_id: 1,
            loan_id: 1,
            limit: LimitKey::Slots(key),
            amount: LoanAmount::Slots(case.requested),
            lifetime: LOAN_LIFETIME,
        };
        let grant = ledger.answer_request(BORROWER, request, START);
        let amount = grant.map(|grant| grant.amount);
        assert_eq!(
            amount,
            Some(LoanAmount::Slots(case.lent)),
            "{}",
            case.failure
        );
    }
}
