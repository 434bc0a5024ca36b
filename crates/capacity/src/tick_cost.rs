//! Processor time of one tick of the loan ledger, and of building the lists of lenders.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{Incarnation, LoanLedger, LoanPeer, RateAmount};
use coltsfootkeel_model::{ArenaKey, DomainKey, FleetConfig};

use crate::loan_exchange::LEDGER_SETTINGS;
use crate::process_usage::nanos_per_call;
use crate::sample_fleet::{DOMAIN_COUNT, FleetSize};
use crate::text_table::{TextTable, decimal_text};

struct TickCase {
    accounts: usize,
    upstreams: usize,
}

const CASES: [TickCase; 7] = [
    TickCase {
        accounts: 8,
        upstreams: 34,
    },
    TickCase {
        accounts: 100,
        upstreams: 0,
    },
    TickCase {
        accounts: 1_000,
        upstreams: 0,
    },
    TickCase {
        accounts: 10_000,
        upstreams: 0,
    },
    TickCase {
        accounts: 0,
        upstreams: 100,
    },
    TickCase {
        accounts: 0,
        upstreams: 1_000,
    },
    TickCase {
        accounts: 0,
        upstreams: 10_000,
    },
];

/// Number of ticks that a daemon runs per second.
const TICKS_PER_S: f64 = 100.0;

/// Measures ticks without demand, and ticks with one request for each account and upstream.
#[must_use]
pub fn tick_table() -> TextTable {
    let mut table = TextTable::new(
        "Ledger: one tick, of 100 a second",
        &[
            "accounts",
            "upstreams",
            "idle tick µs",
            "idle % of a core",
            "busy tick µs",
            "busy % of a core",
        ],
    );
    for case in CASES {
        let idle = tick_ns(&case, false);
        let busy = tick_ns(&case, true);
        let core_percent = |ns: f64| decimal_text(ns * TICKS_PER_S / 1e7, 3);
        table.add([
            case.accounts.to_string(),
            case.upstreams.to_string(),
            decimal_text(idle / 1e3, 1),
            core_percent(idle),
            decimal_text(busy / 1e3, 1),
            core_percent(busy),
        ]);
    }
    table
}

struct LenderCase {
    peers: usize,
    upstreams: usize,
}

const LENDER_CASES: [LenderCase; 4] = [
    LenderCase {
        peers: 6,
        upstreams: 34,
    },
    LenderCase {
        peers: 549,
        upstreams: 34,
    },
    LenderCase {
        peers: 549,
        upstreams: 1_000,
    },
    LenderCase {
        peers: 549,
        upstreams: 2_750,
    },
];

/// Measures the time for building the lists of lenders. A daemon builds a list for each upstream from all peers once
/// per second, and finds the failure domain of each peer by its name.
#[must_use]
pub fn lender_table() -> TextTable {
    let mut table = TextTable::new(
        "Lists of lenders for the slots of each upstream, made once a second",
        &["peers", "upstreams", "ms", "% of a core"],
    );
    let config = FleetSize::SMALLEST.config();
    for case in LENDER_CASES {
        let nanos = lender_ns(&config, &case);
        table.add([
            case.peers.to_string(),
            case.upstreams.to_string(),
            decimal_text(nanos / 1e6, 3),
            decimal_text(nanos / 1e7, 3),
        ]);
    }
    table
}

fn lender_ns(config: &FleetConfig, case: &LenderCase) -> f64 {
    let now = MonotonicTime::from_millis(1_000);
    let mut ledger = LoanLedger::new(LEDGER_SETTINGS, now);
    let keys: Vec<_> = (0..case.upstreams)
        .map(|_| ledger.add_slot_limit(now))
        .collect();
    let peers: Vec<(u64, String)> = (0..case.peers)
        .map(|peer| (peer as u64, format!("d{}", peer % DOMAIN_COUNT)))
        .collect();
    nanos_per_call(|| {
        for (index, key) in keys.iter().enumerate() {
            let near = Some(DomainKey::from_index(index % DOMAIN_COUNT));
            let lender = |(incarnation, name): &(u64, String)| LoanPeer {
                incarnation: Incarnation(*incarnation),
                is_near: config.domains.find(|domain| domain.name == *name) == near,
            };
            let mut lenders: Vec<LoanPeer> = peers.iter().map(lender).collect();
            lenders.retain(|lender| lender.is_near);
            ledger.set_slot_lenders(*key, lenders);
        }
    })
}

/// Returns the processor time of one tick in nanoseconds. The shares cover the demand, so that no loan request is sent.
fn tick_ns(case: &TickCase, is_busy: bool) -> f64 {
    let mut now_ms = 1_000;
    let start = MonotonicTime::from_millis(now_ms);
    let mut ledger = LoanLedger::new(LEDGER_SETTINGS, start);
    let share = RateAmount {
        rate: 1_000_000,
        burst: 500_000,
    };
    let rates: Vec<_> = (0..case.accounts)
        .map(|_| {
            let key = ledger.add_rate_limit(start);
            ledger.set_rate_share(key, share, share);
            ledger.rate_handle(key)
        })
        .collect();
    let slots: Vec<_> = (0..case.upstreams)
        .map(|_| {
            let key = ledger.add_slot_limit(start);
            ledger.set_slot_share(key, 9, 9);
            ledger.slot_handle(key)
        })
        .collect();
    let peers = (0..549).map(|peer| LoanPeer {
        incarnation: Incarnation(peer),
        is_near: peer < 15,
    });
    ledger.set_rate_lenders(peers.collect());
    ledger.activate_claimed_seat(None);
    nanos_per_call(|| {
        now_ms += 10;
        if is_busy {
            for handle in &rates {
                handle.bucket.try_take(1_000);
            }
            for handle in &slots {
                if handle.counter.try_acquire() {
                    handle.counter.release();
                }
            }
        }
        ledger.tick(MonotonicTime::from_millis(now_ms))
    })
}
