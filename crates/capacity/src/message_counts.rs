//! Messages per second by the number of daemons. Only the decisions run, without a network.

use coltsfootkeel_protocol::PeerBody;

use crate::loan_exchange::{ExchangePlan, run_exchange};
use crate::message_cost::{encoded_bytes, sample_heartbeat};
use crate::text_table::{TextTable, decimal_text};

const INSTANCE_COUNTS: [usize; 4] = [7, 35, 100, 550];

/// Number of accounts in the cases in which it does not grow with the fleet.
const FIXED_ACCOUNTS: usize = 8;

/// Rate of an account that does not grow with the fleet, in requests per second.
const FIXED_RATE_PER_S: i64 = 120;

/// Rate of an account that grows with the fleet, in requests per second for each instance.
const RATE_PER_S_PER_INSTANCE: i64 = 17;

const COUNTED_TIME_S: u64 = 5;

/// Counted time of the cases with one account for each instance. It is shorter because 550 instances have 302,500
/// limits.
const SHORT_COUNTED_TIME_S: u64 = 1;

/// Calculates the heartbeats of a full mesh, in which every daemon sends one to each other daemon once per second.
#[must_use]
pub fn heartbeat_table() -> TextTable {
    let mut table = TextTable::new(
        "Heartbeats in today's full mesh, one a second to each peer",
        &[
            "instances",
            "sent/s daemon",
            "sent/s fleet",
            "bytes each",
            "sent KB/s daemon",
        ],
    );
    for instances in INSTANCE_COUNTS {
        let peers = instances - 1;
        let bytes = encoded_bytes(PeerBody::Heartbeat(sample_heartbeat(instances)));
        table.add([
            instances.to_string(),
            peers.to_string(),
            (instances * peers).to_string(),
            bytes.to_string(),
            decimal_text((bytes * peers) as f64 / 1e3, 1),
        ]);
    }
    table
}

/// Counts the messages of rate loans when 80% of the requests of each account arrive at one instance.
#[must_use]
pub fn loan_table() -> TextTable {
    let mut table = TextTable::new(
        "Rate loans: 80% of an account's requests at one instance, 60% load, policy ahead of demand",
        &[
            "instances",
            "accounts",
            "rate/s each",
            "asks/s",
            "grants/s",
            "returns/s",
            "msg/s daemon",
            "msg/s busiest",
            "short %",
        ],
    );
    let plan = |instances, accounts, rate_per_s, counted_s| ExchangePlan {
        instances,
        accounts,
        rate_per_s,
        counted_s,
    };
    let mut plans = Vec::new();
    for instances in INSTANCE_COUNTS {
        plans.push(plan(
            instances,
            FIXED_ACCOUNTS,
            FIXED_RATE_PER_S,
            COUNTED_TIME_S,
        ));
        let grown_rate_per_s = RATE_PER_S_PER_INSTANCE * i64::try_from(instances).unwrap_or(1);
        plans.push(plan(
            instances,
            FIXED_ACCOUNTS,
            grown_rate_per_s,
            COUNTED_TIME_S,
        ));
        plans.push(plan(
            instances,
            instances,
            FIXED_RATE_PER_S,
            SHORT_COUNTED_TIME_S,
        ));
    }
    for plan in plans {
        let counts = run_exchange(plan);
        let per_s = |count: u64| count as f64 / plan.counted_s as f64;
        let messages_per_daemon = 2.0 * per_s(counts.messages()) / plan.instances as f64;
        let offered = (counts.admitted + counts.without_token).max(1);
        table.add([
            plan.instances.to_string(),
            plan.accounts.to_string(),
            plan.rate_per_s.to_string(),
            decimal_text(per_s(counts.loan_requests), 0),
            decimal_text(per_s(counts.grants), 0),
            decimal_text(per_s(counts.returns), 0),
            decimal_text(messages_per_daemon, 1),
            decimal_text(per_s(counts.busiest_messages), 0),
            decimal_text(100.0 * counts.without_token as f64 / offered as f64, 2),
        ]);
    }
    table
}
