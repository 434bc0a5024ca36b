//! Fuzzed histories of a fleet's share ledgers against the users' sentences.
//!
//! CI runs 256 histories from a fixed seed. A longer run:
//! `LEDGER_HISTORIES=10000 cargo test --release --locked -p coltsfootkeel-decisions --test share_ledger_fuzz`.
//! `LEDGER_SEED=<number>` chooses another seed.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod fleet;

use std::time::Duration;

use coltsfootkeel_decisions::{LoanPolicy, RateAmount};
use fleet::{Fleet, FleetPlan, RatePlan, SlotPlan, Weather};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SEATS: usize = 5;
const DEADLINE_MS: u64 = 1_000;

/// The parts of a history that are chosen before it starts.
#[derive(Debug, Clone)]
struct Setup {
    seed: u64,
    policy: usize,
    slowest_clock: u64,
}

#[derive(Debug, Clone)]
enum Event {
    /// Time passes while the chosen instances take whatever they can get.
    Run {
        duration_ms: u64,
        greedy: u32,
        limits: u32,
    },
    /// Time passes with few ticks.
    Rest {
        duration_ms: u64,
    },
    Take {
        instance: usize,
        limit: usize,
        count: u32,
    },
    Start {
        instance: usize,
        upstream: usize,
        duration_ms: u64,
    },
    Network(Weather),
    Pause {
        instance: usize,
        duration_ms: u64,
    },
    Stall {
        instance: usize,
        duration_ms: u64,
    },
    Kill {
        instance: usize,
    },
    Replace {
        seat: usize,
    },
    Release {
        seat: usize,
    },
    Cut {
        domain: usize,
        duration_ms: u64,
    },
}

struct LedgerHistory;

impl ReferenceStateMachine for LedgerHistory {
    type State = Setup;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Setup> {
        (
            any::<u64>(),
            0..4_usize,
            prop_oneof![Just(1_000_u64), Just(950)],
        )
            .prop_map(|(seed, policy, slowest_clock)| Setup {
                seed,
                policy,
                slowest_clock,
            })
            .boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Event> {
        let instance = 0..SEATS + 3;
        let weather = (
            0..40_u64,
            0..40_u64,
            prop_oneof![Just(0_u64), 1..100_u64, 100..4_000_u64],
        );
        prop_oneof![
            8 => (10..600_u64, any::<u32>(), any::<u32>())
                .prop_map(|(duration_ms, greedy, limits)| Event::Run { duration_ms, greedy, limits }),
            2 => (500..7_000_u64).prop_map(|duration_ms| Event::Rest { duration_ms }),
            3 => (instance.clone(), 0..3_usize, 1..80_u32)
                .prop_map(|(instance, limit, count)| Event::Take { instance, limit, count }),
            2 => (instance.clone(), 0..2_usize, 1..=DEADLINE_MS)
                .prop_map(|(instance, upstream, duration_ms)| Event::Start { instance, upstream, duration_ms }),
            1 => weather.prop_map(|(loss_percent, repeat_percent, delay_ms)| {
                Event::Network(Weather { loss_percent, repeat_percent, delay_ms })
            }),
            1 => (instance.clone(), 100..9_000_u64)
                .prop_map(|(instance, duration_ms)| Event::Pause { instance, duration_ms }),
            1 => (instance.clone(), 10..4_000_u64)
                .prop_map(|(instance, duration_ms)| Event::Stall { instance, duration_ms }),
            1 => instance.prop_map(|instance| Event::Kill { instance }),
            2 => (0..SEATS).prop_map(|seat| Event::Replace { seat }),
            1 => (0..SEATS).prop_map(|seat| Event::Release { seat }),
            1 => (0..3_usize, 100..6_000_u64)
                .prop_map(|(domain, duration_ms)| Event::Cut { domain, duration_ms }),
        ]
        .boxed()
    }

    fn apply(state: Setup, _: &Event) -> Setup {
        state
    }
}

impl StateMachineTest for LedgerHistory {
    type SystemUnderTest = Fleet;
    type Reference = Self;

    fn init_test(setup: &Setup) -> Fleet {
        let mut fleet = Fleet::new(plan(setup));
        // With full buckets at the start there is no slack between the fleet and the bound.
        fleet.run(2_000, 50, |_| {});
        fleet
    }

    fn apply(mut fleet: Fleet, _: &Setup, event: Event) -> Fleet {
        let count = fleet.instances.len();
        match event {
            Event::Run {
                duration_ms,
                greedy,
                limits,
            } => fleet.run(duration_ms, 10, |fleet| take_all(fleet, greedy, limits)),
            Event::Rest { duration_ms } => fleet.run(duration_ms, 50, |_| {}),
            Event::Take {
                instance,
                limit,
                count: tokens,
            } => {
                for _ in 0..tokens {
                    fleet.take(instance % count, limit);
                }
            }
            Event::Start {
                instance,
                upstream,
                duration_ms,
            } => {
                fleet.start_request(instance % count, upstream, duration_ms);
            }
            Event::Network(weather) => fleet.weather = weather,
            Event::Pause {
                instance,
                duration_ms,
            } => fleet.pause(instance % count, duration_ms),
            Event::Stall {
                instance,
                duration_ms,
            } => fleet.stall(instance % count, duration_ms),
            Event::Kill { instance } => fleet.kill(instance % count),
            Event::Replace { seat } => {
                fleet.replace(seat);
            }
            Event::Release { seat } => fleet.release(seat),
            Event::Cut {
                domain,
                duration_ms,
            } => fleet.cut(domain, duration_ms),
        }
        fleet
    }
}

/// Each chosen instance takes every token and slot it can get.
fn take_all(fleet: &mut Fleet, greedy: u32, limits: u32) {
    for instance in 0..fleet.instances.len() {
        if greedy >> (instance % 32) & 1 == 0 {
            continue;
        }
        for limit in (0..3).filter(|limit| limits >> limit & 1 == 1) {
            while fleet.take(instance, limit) {}
        }
        for upstream in (0..2).filter(|upstream| limits >> (8 + upstream) & 1 == 1) {
            let duration_ms = 1 + fleet.random(DEADLINE_MS);
            fleet.start_request(instance, upstream, duration_ms);
        }
    }
}

fn plan(setup: &Setup) -> FleetPlan {
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
        slowest_clock: setup.slowest_clock,
        clocks: Vec::new(),
        seed: setup.seed,
    }
}

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

    /// Guards against any history in which an account gets more than its rate and burst or an
    /// upstream more requests than slots.
    #[test]
    fn no_history_exceeds_a_limit(sequential 20..80 => LedgerHistory);
}
