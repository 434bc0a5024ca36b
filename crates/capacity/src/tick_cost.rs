//! Processor time of one tick of the ledger.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{Incarnation, LoanLedger, LoanPeer, RateAmount};
use coltsfootkeel_model::{ArenaKey, DomainKey, FleetConfig};

use crate::figure_table::{FigureTable, decimal_text};
use crate::loan_exchange::SETTINGS;
use crate::process_figures::nanos_per_call;
use crate::sample_fleet::{DOMAINS, FleetSize};

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

/// Daemons make a hundred ticks a second.
const TICKS_PER_S: f64 = 100.0;

/// Measures ticks without demand and with demand of one request a tick for each account.
#[must_use]
pub fn tick_table() -> FigureTable {
    let mut table = FigureTable::new(
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
        let core = |ns: f64| decimal_text(ns * TICKS_PER_S / 1e7, 3);
        table.add([
            case.accounts.to_string(),
            case.upstreams.to_string(),
            decimal_text(idle / 1e3, 1),
            core(idle),
            decimal_text(busy / 1e3, 1),
            core(busy),
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

/// Measures the lists of lenders, which the daemon makes once a second for each upstream from all peers, with the same
/// search for the failure domain by name.
#[must_use]
pub fn lender_table() -> FigureTable {
    let mut table = FigureTable::new(
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
    let mut ledger = LoanLedger::new(SETTINGS, now);
    let keys: Vec<_> = (0..case.upstreams)
        .map(|_| ledger.add_slot_limit(now))
        .collect();
    let peers: Vec<(u64, String)> = (0..case.peers)
        .map(|peer| (peer as u64, format!("d{}", peer % DOMAINS)))
        .collect();
    nanos_per_call(|| {
        for (index, key) in keys.iter().enumerate() {
            let near = Some(DomainKey::from_index(index % DOMAINS));
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

/// The shares suffice for the demand, so that no ask is sent.
fn tick_ns(case: &TickCase, is_busy: bool) -> f64 {
    let mut now_ms = 1_000;
    let start = MonotonicTime::from_millis(now_ms);
    let mut ledger = LoanLedger::new(SETTINGS, start);
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
