//! Slots that a lender keeps for its own failure domain.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    Incarnation, LOAN_LIFE, LedgerSettings, LimitKey, LoanAmount, LoanAsk, LoanLedger, LoanPolicy,
};

const START: MonotonicTime = MonotonicTime::from_millis(1_000);
const BORROWER: Incarnation = Incarnation(7);

/// A lender's slots, what is asked of it, and what it lends.
struct ReserveCase {
    failure: &'static str,
    share: u32,
    in_use: u32,
    asked: u32,
    lent: u32,
}

/// Guards against a failure domain that has lent all slots of its own upstreams when it is cut off.
#[test]
fn lender_keeps_a_slot_of_each_upstream() {
    let cases = [
        ReserveCase {
            failure: "all slots of an idle upstream are lent",
            share: 3,
            in_use: 0,
            asked: 3,
            lent: 2,
        },
        ReserveCase {
            failure: "slots in use are lent",
            share: 3,
            in_use: 2,
            asked: 3,
            lent: 1,
        },
        ReserveCase {
            failure: "a single slot cannot be lent at all",
            share: 1,
            in_use: 0,
            asked: 1,
            lent: 1,
        },
        ReserveCase {
            failure: "more is lent than was asked for",
            share: 9,
            in_use: 0,
            asked: 2,
            lent: 2,
        },
    ];
    for case in cases {
        let settings = LedgerSettings {
            policy: LoanPolicy::AHEAD_OF_DEMAND,
            asks_per_s: 50,
            longest_deadline: Duration::from_secs(1),
        };
        let mut ledger = LoanLedger::new(settings, START);
        let key = ledger.add_slot_limit(START);
        ledger.set_slot_share(key, case.share, case.share);
        ledger.open_new_seat(None);
        ledger.tick(START);
        let counter = ledger.slot_handle(key).counter;
        for _ in 0..case.in_use {
            assert!(counter.try_acquire(), "{}", case.failure);
        }
        let ask = LoanAsk {
            loan: 1,
            line: 1,
            limit: LimitKey::Slots(key),
            amount: LoanAmount::Slots(case.asked),
            life: LOAN_LIFE,
        };
        let grant = ledger.answer_ask(BORROWER, ask, START);
        let amount = grant.map(|grant| grant.amount);
        assert_eq!(
            amount,
            Some(LoanAmount::Slots(case.lent)),
            "{}",
            case.failure
        );
    }
}
