//! Compares the loan policies under skewed load in simulated time.
//!
//! Run with `cargo run --release --locked -p coltsfootkeel-decisions --example loan_policies`.

#[path = "../tests/fleet/mod.rs"]
#[allow(dead_code, reason = "the comparison uses a part of the fleet")]
mod fleet;

use std::time::Duration;

use coltsfootkeel_decisions::{LoanPolicy, RateAmount};
use fleet::{Fleet, FleetPlan, NO_NETWORK_FAULTS, NetworkFaults, RatePlan};

const RUN_MS: u64 = 20_000;
const STEP_MS: u64 = 10;
/// The maximum time that a request waits for a loan.
const WAIT_MS: u64 = 150;
/// The length of a measuring window. The full rate is reached at the first of five consecutive windows in which at
/// least 95% of the offered load within the rate was admitted.
const WINDOW_MS: u64 = 200;
const SEAT_DOMAINS: [usize; 7] = [0, 0, 1, 1, 2, 2, 2];

/// The load of one client account and its distribution over the instances.
struct LoadCase {
    name: &'static str,
    total: RateAmount,
    /// The offered load in percent of the account's rate.
    load_percent: u64,
    /// Returns the instance at which a request arrives, given the time in milliseconds and a random number.
    instance_at: fn(u64, u64) -> u64,
    network_faults: NetworkFaults,
    /// The number of requests that arrive at the same time.
    group: u64,
}

const LARGE_LIMIT: RateAmount = RateAmount {
    rate: 120_000,
    burst: 60_000,
};

const SMALL_LIMIT: RateAmount = RateAmount {
    rate: 20_000,
    burst: 5_000,
};

const LOSSY_NETWORK: NetworkFaults = NetworkFaults {
    loss_percent: 5,
    repeat_percent: 5,
    delay_ms: 50,
};

const LOADS: [LoadCase; 10] = [
    LoadCase {
        name: "small burst, groups of 5, one instance",
        total: SMALL_LIMIT,
        load_percent: 80,
        instance_at: |_, _| 0,
        network_faults: NO_NETWORK_FAULTS,
        group: 5,
    },
    LoadCase {
        name: "even, 60% load",
        total: LARGE_LIMIT,
        load_percent: 60,
        instance_at: |_, random| random % 7,
        network_faults: NO_NETWORK_FAULTS,
        group: 1,
    },
    LoadCase {
        name: "80% at one instance, 60% load",
        total: LARGE_LIMIT,
        load_percent: 60,
        instance_at: |_, random| {
            let is_skewed = random % 10 < 8;
            if is_skewed { 0 } else { random / 10 % 7 }
        },
        network_faults: NO_NETWORK_FAULTS,
        group: 1,
    },
    LoadCase {
        name: "even, 90% load",
        total: LARGE_LIMIT,
        load_percent: 90,
        instance_at: |_, random| random % 7,
        network_faults: NO_NETWORK_FAULTS,
        group: 1,
    },
    LoadCase {
        name: "all at one instance, 95% load",
        total: LARGE_LIMIT,
        load_percent: 95,
        instance_at: |_, _| 0,
        network_faults: NO_NETWORK_FAULTS,
        group: 1,
    },
    LoadCase {
        name: "all at one instance, 300% load",
        total: LARGE_LIMIT,
        load_percent: 300,
        instance_at: |_, _| 0,
        network_faults: NO_NETWORK_FAULTS,
        group: 1,
    },
    LoadCase {
        name: "80% at one instance, 95% load",
        total: LARGE_LIMIT,
        load_percent: 95,
        instance_at: |_, random| {
            let is_skewed = random % 10 < 8;
            if is_skewed { 0 } else { random / 10 % 7 }
        },
        network_faults: NO_NETWORK_FAULTS,
        group: 1,
    },
    LoadCase {
        name: "moves every 4 s, 90% load",
        total: LARGE_LIMIT,
        load_percent: 90,
        instance_at: |now_ms, _| now_ms / 4_000 % 7,
        network_faults: NO_NETWORK_FAULTS,
        group: 1,
    },
    LoadCase {
        name: "small burst, groups of 5, moves",
        total: SMALL_LIMIT,
        load_percent: 80,
        instance_at: |now_ms, _| now_ms / 3_000 % 7,
        network_faults: NO_NETWORK_FAULTS,
        group: 5,
    },
    LoadCase {
        name: "all at one instance, 95%, rough network",
        total: LARGE_LIMIT,
        load_percent: 95,
        instance_at: |_, _| 0,
        network_faults: LOSSY_NETWORK,
        group: 1,
    },
];

#[derive(Debug, Default)]
struct LoadOutcome {
    arrived: u64,
    admitted: u64,
    refused_within_rate: u64,
    /// The number of requests that an ideal token bucket admits on arrival.
    entitled: u64,
    full_rate_ms: Option<u64>,
    messages: u64,
}

/// A request that waits for a loan.
struct WaitingRequest {
    instance: usize,
    until_ms: u64,
    /// Whether the ideal token bucket admitted the request on arrival.
    is_entitled: bool,
}

fn main() {
    println!(
        "{:<40} {:<18} {:>8} {:>9} {:>10} {:>9} {:>9} {:>7}",
        "load", "policy", "arrived", "admitted", "adm/ent", "ref/arr", "full ms", "msg/s"
    );
    for load in &LOADS {
        for policy in [
            LoanPolicy::FIXED,
            LoanPolicy::ON_DEMAND,
            LoanPolicy::AHEAD_OF_DEMAND,
            LoanPolicy::CLOSE_TO_DEMAND,
        ] {
            let outcome = measure(load, policy);
            let full_rate = outcome
                .full_rate_ms
                .map_or_else(|| "-".to_string(), |time| time.to_string());
            println!(
                "{:<40} {:<18} {:>8} {:>9} {:>10.3} {:>8.2}% {:>9} {:>7}",
                load.name,
                policy.name,
                outcome.arrived,
                outcome.admitted,
                ratio(outcome.admitted, outcome.entitled),
                100.0 * ratio(outcome.refused_within_rate, outcome.arrived),
                full_rate,
                outcome.messages * 1_000 / RUN_MS
            );
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a short run are exact in a float"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// An ideal token bucket for the whole account, whose level is in units of 10⁻⁶ tokens.
struct IdealBucket {
    level: u64,
    total: RateAmount,
}

impl IdealBucket {
    fn refill(&mut self, elapsed_ms: u64) {
        let burst = self.total.burst.unsigned_abs() * 1_000;
        let earned = self.total.rate.unsigned_abs() * elapsed_ms;
        self.level = (self.level + earned).min(burst);
    }

    fn try_take(&mut self) -> bool {
        let is_admitted = self.level >= 1_000_000;
        if is_admitted {
            self.level -= 1_000_000;
        }
        is_admitted
    }
}

fn measure(load: &LoadCase, policy: LoanPolicy) -> LoadOutcome {
    let mut fleet = Fleet::new(FleetPlan {
        seat_domains: SEAT_DOMAINS.to_vec(),
        rates: vec![RatePlan {
            name: "account",
            total: load.total,
        }],
        slots: Vec::new(),
        policy,
        requests_per_s: 50,
        longest_deadline: Duration::from_secs(1),
        slowest_clock_permille: 1_000,
        clocks_permille: Vec::new(),
        seed: 7,
    });
    fleet.network_faults = load.network_faults;
    fleet.run(2_000, STEP_MS, |_| {});
    let messages_before = fleet.messages;
    let mut ideal = IdealBucket {
        level: load.total.burst.unsigned_abs() * 1_000,
        total: load.total,
    };
    let mut outcome = LoadOutcome::default();
    let mut waiting: Vec<WaitingRequest> = Vec::new();
    // Requests that are due to arrive, in thousandths.
    let mut due = 0;
    let mut admitted_in_window = 0;
    let mut windows = Vec::new();
    for step in 0..RUN_MS / STEP_MS {
        let now_ms = step * STEP_MS;
        ideal.refill(STEP_MS);
        due += load.total.rate.unsigned_abs() * load.load_percent * STEP_MS / 100_000;
        while due >= load.group * 1_000 {
            due -= load.group * 1_000;
            let random = fleet.random(1 << 32);
            let index = (load.instance_at)(now_ms, random);
            let instance =
                usize::try_from(index).expect("the index of an instance fits in a usize");
            for _ in 0..load.group {
                outcome.arrived += 1;
                let is_entitled = ideal.try_take();
                outcome.entitled += u64::from(is_entitled);
                if fleet.try_admit(instance, 0) {
                    outcome.admitted += 1;
                    admitted_in_window += 1;
                } else {
                    let until_ms = now_ms + WAIT_MS;
                    waiting.push(WaitingRequest {
                        instance,
                        until_ms,
                        is_entitled,
                    });
                }
            }
        }
        fleet.run(STEP_MS, STEP_MS, |_| {});
        waiting.retain(|request| {
            if fleet.try_admit_waiting(request.instance, 0) {
                outcome.admitted += 1;
                admitted_in_window += 1;
                return false;
            }
            let has_expired = now_ms >= request.until_ms;
            if has_expired && request.is_entitled {
                outcome.refused_within_rate += 1;
            }
            !has_expired
        });
        if (step + 1) % (WINDOW_MS / STEP_MS) == 0 {
            let offered = load.total.rate.unsigned_abs() * load.load_percent.min(100) / 100;
            windows.push(admitted_in_window * 1_000_000 * 100 >= offered * 95 * WINDOW_MS);
            admitted_in_window = 0;
        }
    }
    let is_full_second = |windows: &[bool]| windows.iter().all(|&is_full| is_full);
    outcome.full_rate_ms = windows
        .windows(5)
        .position(is_full_second)
        .map(|index| index as u64 * WINDOW_MS);
    outcome.messages = fleet.messages - messages_before;
    outcome
}
