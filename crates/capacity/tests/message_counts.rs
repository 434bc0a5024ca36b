//! The messages of the share ledger stay within the counts that `docs/CAPACITY.md` builds on.

use coltsfootkeel_capacity::{ExchangePlan, run_exchange};

struct CountCase {
    name: &'static str,
    plan: ExchangePlan,
    /// The most asks a second of the whole fleet: a fifth above what the page states.
    most_asks_per_s: u64,
}

const CASES: [CountCase; 3] = [
    CountCase {
        name: "today's fleet",
        plan: ExchangePlan {
            instances: 7,
            accounts: 8,
            rate_per_s: 120,
            counted_s: 5,
        },
        most_asks_per_s: 505,
    },
    CountCase {
        name: "a seat for each failure domain, same rates",
        plan: ExchangePlan {
            instances: 35,
            accounts: 8,
            rate_per_s: 120,
            counted_s: 5,
        },
        most_asks_per_s: 2_250,
    },
    CountCase {
        name: "a seat for each failure domain, rates grown with the fleet",
        plan: ExchangePlan {
            instances: 35,
            accounts: 8,
            rate_per_s: 595,
            counted_s: 5,
        },
        most_asks_per_s: 4_050,
    },
];

/// Guards against a policy that asks more often than the page states, against answers without an ask, and against a
/// run in which nothing is asked, which would hide both.
#[test]
fn loans_need_no_more_messages_than_stated() {
    for case in &CASES {
        let counts = run_exchange(case.plan);
        let most = case.most_asks_per_s * case.plan.counted_s;
        assert!(counts.asks > 0, "{}: {counts:?}", case.name);
        assert!(counts.asks <= most, "{}: {counts:?}", case.name);
        assert!(counts.grants <= counts.asks, "{}: {counts:?}", case.name);
        assert!(counts.returns <= counts.asks, "{}: {counts:?}", case.name);
    }
}
