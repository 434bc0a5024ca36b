//! Random histories of a fleet's loan ledgers, checked against reference models of the limits.
//!
//! CI runs 256 histories from a fixed seed. A longer run:
//! `LEDGER_HISTORIES=10000 cargo test --release --locked -p coltsfootkeel-decisions --test share_ledger_fuzz`.
//! `LEDGER_SEED=<number>` sets another seed.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod fleet;

use std::time::Duration;

use coltsfootkeel_decisions::{LoanPolicy, RateAmount};
use fleet::{Fleet, FleetPlan, NetworkFaults, RatePlan, SlotPlan};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SEATS: usize = 5;
const DEADLINE_MS: u64 = 1_000;

/// The random parameters of a fleet that stay the same during a history.
#[derive(Debug, Clone)]
struct FleetSetup {
    seed: u64,
    /// Index of the loan policy.
    policy: usize,
    slowest_clock_permille: u64,
}

/// A step of a history. Indices of instances are taken modulo the number of instances.
#[derive(Debug, Clone)]
enum Event {
    /// Time passes while the selected instances use all tokens and slots that they can get.
    RunSaturated {
        duration_ms: u64,
        /// Bit mask of the selected instances, whose indices are taken modulo 32.
        instances: u32,
        /// Bit mask of the selected limits: bits 0 to 2 select the rate limits, bits 8 and 9 the upstreams.
        limits: u32,
    },
    /// Time passes without requests, and with a tick only every 50 ms.
    RunWithFewTicks {
        duration_ms: u64,
    },
    /// `count` requests arrive at an instance at the same time.
    AdmitRequests {
        instance: usize,
        limit: usize,
        count: u32,
    },
    /// A request that runs for `duration_ms` on an upstream.
    StartRequest {
        instance: usize,
        upstream: usize,
        duration_ms: u64,
    },
    SetNetworkFaults(NetworkFaults),
    PauseInstance {
        instance: usize,
        duration_ms: u64,
    },
    StallControlThread {
        instance: usize,
        duration_ms: u64,
    },
    KillInstance {
        instance: usize,
    },
    ReplaceSilentHolder {
        seat: usize,
    },
    ReleaseSeat {
        seat: usize,
    },
    IsolateDomain {
        domain: usize,
        duration_ms: u64,
    },
}

struct LedgerHistory;

impl ReferenceStateMachine for LedgerHistory {
    type State = FleetSetup;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<FleetSetup> {
        (
            any::<u64>(),
            0..4_usize,
            prop_oneof![Just(1_000_u64), Just(950)],
        )
            .prop_map(|(seed, policy, slowest_clock_permille)| FleetSetup {
                seed,
                policy,
                slowest_clock_permille,
            })
            .boxed()
    }

    fn transitions(_: &FleetSetup) -> BoxedStrategy<Event> {
        let instance = 0..SEATS + 3;
        let faults = (
            0..40_u64,
            0..40_u64,
            prop_oneof![Just(0_u64), 1..100_u64, 100..4_000_u64],
        );
        prop_oneof![
            8 => (10..600_u64, any::<u32>(), any::<u32>())
                .prop_map(|(duration_ms, instances, limits)| Event::RunSaturated { duration_ms, instances, limits }),
            2 => (500..7_000_u64).prop_map(|duration_ms| Event::RunWithFewTicks { duration_ms }),
            3 => (instance.clone(), 0..3_usize, 1..80_u32)
                .prop_map(|(instance, limit, count)| Event::AdmitRequests { instance, limit, count }),
            2 => (instance.clone(), 0..2_usize, 1..=DEADLINE_MS)
                .prop_map(|(instance, upstream, duration_ms)| Event::StartRequest { instance, upstream, duration_ms }),
            1 => faults.prop_map(|(loss_percent, repeat_percent, delay_ms)| {
                Event::SetNetworkFaults(NetworkFaults { loss_percent, repeat_percent, delay_ms })
            }),
            1 => (instance.clone(), 100..9_000_u64)
                .prop_map(|(instance, duration_ms)| Event::PauseInstance { instance, duration_ms }),
            1 => (instance.clone(), 10..4_000_u64)
                .prop_map(|(instance, duration_ms)| Event::StallControlThread { instance, duration_ms }),
            1 => instance.prop_map(|instance| Event::KillInstance { instance }),
            2 => (0..SEATS).prop_map(|seat| Event::ReplaceSilentHolder { seat }),
            1 => (0..SEATS).prop_map(|seat| Event::ReleaseSeat { seat }),
            1 => (0..3_usize, 100..6_000_u64)
                .prop_map(|(domain, duration_ms)| Event::IsolateDomain { domain, duration_ms }),
        ]
        .boxed()
    }

    fn apply(state: FleetSetup, _: &Event) -> FleetSetup {
        state
    }
}

impl StateMachineTest for LedgerHistory {
    type SystemUnderTest = Fleet;
    type Reference = Self;

    fn init_test(setup: &FleetSetup) -> Fleet {
        let mut fleet = Fleet::new(plan(setup));
        // Fills the buckets first, so that any excess over the bound is detected immediately.
        fleet.run(2_000, 50, |_| {});
        fleet
    }

    fn apply(mut fleet: Fleet, _: &FleetSetup, event: Event) -> Fleet {
        let count = fleet.instances.len();
        match event {
            Event::RunSaturated {
                duration_ms,
                instances,
                limits,
            } => fleet.run(duration_ms, 10, |fleet| saturate(fleet, instances, limits)),
            Event::RunWithFewTicks { duration_ms } => fleet.run(duration_ms, 50, |_| {}),
            Event::AdmitRequests {
                instance,
                limit,
                count: requests,
            } => {
                for _ in 0..requests {
                    fleet.try_admit(instance % count, limit);
                }
            }
            Event::StartRequest {
                instance,
                upstream,
                duration_ms,
            } => {
                fleet.start_request(instance % count, upstream, duration_ms);
            }
            Event::SetNetworkFaults(faults) => fleet.network_faults = faults,
            Event::PauseInstance {
                instance,
                duration_ms,
            } => fleet.pause(instance % count, duration_ms),
            Event::StallControlThread {
                instance,
                duration_ms,
            } => fleet.stall_control_thread(instance % count, duration_ms),
            Event::KillInstance { instance } => fleet.kill(instance % count),
            Event::ReplaceSilentHolder { seat } => {
                fleet.replace_silent_holder(seat);
            }
            Event::ReleaseSeat { seat } => fleet.release_seat(seat),
            Event::IsolateDomain {
                domain,
                duration_ms,
            } => fleet.isolate_domain(domain, duration_ms),
        }
        fleet
    }
}

/// Makes the selected instances use all tokens and slots that they can get of the selected limits. Both are bit masks,
/// as in [`Event::RunSaturated`].
fn saturate(fleet: &mut Fleet, instances: u32, limits: u32) {
    for instance in 0..fleet.instances.len() {
        if instances >> (instance % 32) & 1 == 0 {
            continue;
        }
        for limit in (0..3).filter(|limit| limits >> limit & 1 == 1) {
            while fleet.try_admit(instance, limit) {}
        }
        for upstream in (0..2).filter(|upstream| limits >> (8 + upstream) & 1 == 1) {
            let duration_ms = 1 + fleet.random(DEADLINE_MS);
            fleet.start_request(instance, upstream, duration_ms);
        }
    }
}

fn plan(setup: &FleetSetup) -> FleetPlan {
    let policies = [
        LoanPolicy::AHEAD_OF_DEMAND,
        LoanPolicy::CLOSE_TO_DEMAND,
        LoanPolicy::ON_DEMAND,
        LoanPolicy::FIXED,
    ];
    let rate = |name, rate, burst| RatePlan {
        name,
        total: RateAmount { rate, burst },
    };
    let slot = |name, slots, domain| SlotPlan {
        name,
        slots,
        domain,
    };
    FleetPlan {
        seat_domains: vec![0, 0, 1, 1, 2],
        rates: vec![
            rate("large", 120_000, 60_000),
            rate("small-burst", 20_000, 5_000),
            rate("fast", 1_000_001, 3_001),
        ],
        slots: vec![slot("nine", 9, 0), slot("three", 3, 1)],
        policy: policies[setup.policy],
        requests_per_s: 50,
        longest_deadline: Duration::from_millis(DEADLINE_MS),
        slowest_clock_permille: setup.slowest_clock_permille,
        clocks_permille: Vec::new(),
        seed: setup.seed,
    }
}

/// Returns the number in an environment variable, or `default` if it is not set.
fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{variable} must be a number, got {text:?}"))
    })
}

fn config() -> Config {
    Config {
        cases: u32::try_from(number_from("LEDGER_HISTORIES", 256)).expect("at most 2^32 histories"),
        rng_seed: RngSeed::Fixed(number_from("LEDGER_SEED", 20_261_204)),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against a history in which the fleet admits more for an account than its rate and burst, or runs more
    /// requests on an upstream than it has slots. Loans that overlap at borrower and lender lead to both: after lost,
    /// late or repeated messages, pauses, clock drift, partitions, and changes of a seat's holder.
    #[test]
    fn no_history_exceeds_a_limit(sequential 20..80 => LedgerHistory);
}
