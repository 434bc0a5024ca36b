//! Processor time for the rates of client accounts in the entry daemon: one refill of all of them, and one received
//! heartbeat.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{AccountUsage, FleetHeartbeat, UpstreamLoad};
use coltsfootkeel_steering::{
    HeartbeatPeriods, PeerContacts, QuotaBucket, QuotaBudget, QuotaLimit, QuotaReport,
};
use prost::Message;

use crate::process_usage::nanos_per_call;
use crate::text_table::{TextTable, decimal_text};

struct FleetCase {
    instances: u64,
    domains: u64,
}

const CASES: [FleetCase; 4] = [
    FleetCase {
        instances: 7,
        domains: 6,
    },
    FleetCase {
        instances: 30,
        domains: 6,
    },
    FleetCase {
        instances: 118,
        domains: 9,
    },
    FleetCase {
        instances: 547,
        domains: 35,
    },
];

const ACCOUNTS: u64 = 190;
/// Accounts and upstreams in one heartbeat.
const REPORTED_ACCOUNTS: u64 = 60;
const REPORTED_UPSTREAMS: u32 = 25;

/// The rates of all accounts at one instance, after each other instance has reported each account.
struct AccountFleet {
    accounts: Vec<(QuotaBudget, QuotaBucket)>,
    contacts: PeerContacts,
    instances: u64,
}

impl AccountFleet {
    fn new(instances: u64) -> Self {
        let limit = QuotaLimit {
            rate_per_s: 100.0,
            burst: 100.0,
        };
        let now = MonotonicTime::default();
        let new_account = |_| {
            let bucket = QuotaBucket::new(limit, limit.burst, now);
            (QuotaBudget::default(), bucket)
        };
        let mut fleet = Self {
            accounts: (0..ACCOUNTS).map(new_account).collect(),
            contacts: PeerContacts::default(),
            instances,
        };
        for peer in 1..instances {
            fleet.receive(peer, ACCOUNTS, 1, now);
        }
        fleet
    }

    fn receive(&mut self, peer: u64, reported: u64, admitted: u64, now: MonotonicTime) {
        self.contacts.record(peer, 1, now);
        let report = QuotaReport {
            admitted,
            demand: 1.0,
        };
        let reported = usize::try_from(reported).unwrap_or(usize::MAX);
        for (_, bucket) in self.accounts.iter_mut().take(reported) {
            bucket.apply_report(peer, 1, report);
        }
    }

    fn refill(&mut self, now: MonotonicTime) {
        let silent = self.contacts.silent(Duration::MAX, now);
        let instances = usize::try_from(self.instances).unwrap_or(usize::MAX);
        for (budget, bucket) in &mut self.accounts {
            bucket.refill(budget, instances, &silent, now);
        }
    }
}

fn sample_heartbeat() -> Vec<u8> {
    let message = FleetHeartbeat {
        instance: "edge-penang-bayan-1".to_string(),
        entry_address: "10.1.0.37:8388".to_string(),
        domain: "penang-bayan".to_string(),
        accounts: (0..REPORTED_ACCOUNTS)
            .map(|account| AccountUsage {
                account,
                admitted: 5_000,
                demand_milli: 1_500,
            })
            .collect(),
        loads: (0..REPORTED_UPSTREAMS)
            .map(|upstream| UpstreamLoad {
                upstream,
                in_flight: 2,
            })
            .collect(),
        ..FleetHeartbeat::default()
    };
    message.encode_to_vec()
}

/// Measures refills and received heartbeats for fleets of several sizes.
#[must_use]
pub fn account_table() -> TextTable {
    let title = format!("Entry daemon: rates of {ACCOUNTS} accounts");
    let mut table = TextTable::new(
        &title,
        &[
            "instances",
            "refill µs",
            "refills/s",
            "heartbeat µs",
            "heartbeats/s",
            "% of a core",
        ],
    );
    let heartbeat = sample_heartbeat();
    for case in CASES {
        let mut fleet = AccountFleet::new(case.instances);
        let mut now_ms = 0;
        let refill_ns = nanos_per_call(|| {
            now_ms += 1;
            fleet.refill(MonotonicTime::from_millis(now_ms));
        });
        let mut admitted = 1;
        let heartbeat_ns = nanos_per_call(|| {
            admitted += 1;
            let decoded = FleetHeartbeat::decode(heartbeat.as_slice());
            std::hint::black_box(decoded.ok());
            fleet.receive(1, REPORTED_ACCOUNTS, admitted, MonotonicTime::default());
        });
        let near = case.instances.div_ceil(case.domains);
        let count = |instances: u64| usize::try_from(instances).unwrap_or(usize::MAX);
        let periods = HeartbeatPeriods::new(count(case.instances), count(near));
        // Each instance is received once in a period, directly or passed on by another one.
        let (near, far) = if periods.is_full_mesh {
            (case.instances - 1, 0)
        } else {
            (near - 1, case.instances - near)
        };
        let refills_per_s = 1.0 / periods.near.as_secs_f64();
        let heartbeats_per_s = near as f64 * refills_per_s + far as f64 / periods.far.as_secs_f64();
        let busy_ns = refill_ns * refills_per_s + heartbeat_ns * heartbeats_per_s;
        table.add([
            case.instances.to_string(),
            decimal_text(refill_ns / 1e3, 1),
            decimal_text(refills_per_s, 1),
            decimal_text(heartbeat_ns / 1e3, 1),
            decimal_text(heartbeats_per_s, 0),
            decimal_text(busy_ns / 1e7, 2),
        ]);
    }
    table
}
