//! Messages per second against the number of daemons, at decision level.

use coltsfootkeel_protocol::PeerBody;

use crate::figure_table::{FigureTable, decimal_text};
use crate::loan_exchange::{ExchangePlan, run_exchange};
use crate::message_cost::{encoded_bytes, heartbeat_of};

const INSTANCE_COUNTS: [usize; 4] = [7, 35, 100, 550];

/// Accounts of today.
const ACCOUNTS: usize = 8;

/// The rate of an account that does not grow with the fleet, in requests per second.
const FIXED_RATE: i64 = 120;

/// The rate of an account that grows with the fleet, in requests per second and instance.
const GROWING_RATE: i64 = 17;

const COUNTED_S: u64 = 5;

/// The case with an account for each instance has 302,500 limits at 550 instances, so it is counted for less time.
const COUNTED_MANY_S: u64 = 1;

/// Counts the heartbeats of a full mesh, in which each daemon sends one to each other once a second.
#[must_use]
pub fn heartbeat_table() -> FigureTable {
    let mut table = FigureTable::new(
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
        let bytes = encoded_bytes(PeerBody::Heartbeat(heartbeat_of(instances)));
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

/// Counts the messages of rate loans when four fifths of each account's requests arrive at one instance.
#[must_use]
pub fn loan_table() -> FigureTable {
    let mut table = FigureTable::new(
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
        plans.push(plan(instances, ACCOUNTS, FIXED_RATE, COUNTED_S));
        let grown = GROWING_RATE * i64::try_from(instances).unwrap_or(1);
        plans.push(plan(instances, ACCOUNTS, grown, COUNTED_S));
        plans.push(plan(instances, instances, FIXED_RATE, COUNTED_MANY_S));
    }
    for plan in plans {
        let counts = run_exchange(plan);
        let per_s = |count: u64| count as f64 / plan.counted_s as f64;
        let daemon = 2.0 * per_s(counts.messages()) / plan.instances as f64;
        let offered = (counts.admitted + counts.short).max(1);
        table.add([
            plan.instances.to_string(),
            plan.accounts.to_string(),
            plan.rate_per_s.to_string(),
            decimal_text(per_s(counts.asks), 0),
            decimal_text(per_s(counts.grants), 0),
            decimal_text(per_s(counts.returns), 0),
            decimal_text(daemon, 1),
            decimal_text(per_s(counts.busiest), 0),
            decimal_text(100.0 * counts.short as f64 / offered as f64, 2),
        ]);
    }
    table
}
