//! Message counts of the loan ledger against those in `docs/CAPACITY.md`.

use coltsfootkeel_capacity::{ExchangePlan, run_exchange};

struct CountCase {
    name: &'static str,
    plan: ExchangePlan,
    /// Most loan requests per second of the whole fleet: 20% more than `docs/CAPACITY.md` states.
    max_loan_requests_per_s: u64,
}

const CASES: [CountCase; 3] = [
    CountCase {
        name: "7 instances, 8 accounts",
        plan: ExchangePlan {
            instances: 7,
            accounts: 8,
            rate_per_s: 120,
            counted_s: 5,
        },
        max_loan_requests_per_s: 505,
    },
    CountCase {
        name: "a seat for each failure domain, same rates",
        plan: ExchangePlan {
            instances: 35,
            accounts: 8,
            rate_per_s: 120,
            counted_s: 5,
        },
        max_loan_requests_per_s: 2_250,
    },
    CountCase {
        name: "a seat for each failure domain, rates grown with the fleet",
        plan: ExchangePlan {
            instances: 35,
            accounts: 8,
            rate_per_s: 595,
            counted_s: 5,
        },
        max_loan_requests_per_s: 4_050,
    },
];

/// Guards against a loan policy that sends more requests than `docs/CAPACITY.md` states, against grants or returns
/// without a loan request, and against a run without loan requests, which would hide both.
#[test]
fn loan_messages_stay_within_the_documented_counts() {
    for case in &CASES {
        let counts = run_exchange(case.plan);
        let max_loan_requests = case.max_loan_requests_per_s * case.plan.counted_s;
        assert!(counts.loan_requests > 0, "{}: {counts:?}", case.name);
        assert!(
            counts.loan_requests <= max_loan_requests,
            "{}: {counts:?}",
            case.name
        );
        assert!(
            counts.grants <= counts.loan_requests,
            "{}: {counts:?}",
            case.name
        );
        assert!(
            counts.returns <= counts.loan_requests,
            "{}: {counts:?}",
            case.name
        );
    }
}
