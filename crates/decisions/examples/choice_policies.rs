//! Compares the policies of upstream selection on a simple queueing model.
//!
//! Run with `cargo run --release -p coltsfootkeel-decisions --example choice_policies`. One entry instance sends
//! requests at a steady mean rate to one pool. The service time of an upstream is random; it is longer while the
//! upstream is slow or cold, and while it runs more requests than it has cores. A request waits up to 500 ms for a slot
//! and is shed after that. Scenarios with cold upstreams count only the requests that arrive in the first 10 s after
//! these upstreams return. The single instance receives all requests of the pool, which favours the least-loaded
//! policy: each of several instances would observe only a part of the load.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the model computes times in floating point and prints rounded figures"
)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, SlotCounter};
use coltsfootkeel_decisions::{
    ChoicePolicy, ChoiceRequest, ChoiceStart, HealthEvaluator, LinkMeter, LinkRegistry, RampPolicy,
    TierTable, UpstreamHandle,
};
use coltsfootkeel_model::{
    Arena, ArenaKey, DomainKey, FleetConfig, PoolKey, RegionKey, UpstreamKey,
};

const UPSTREAMS: usize = 20;
const SLOTS_PER_UPSTREAM: u32 = 9;
const CORES_PER_UPSTREAM: f64 = 4.0;
const MEAN_SERVICE_MS: f64 = 20.0;
const MAX_WAIT_MS: f64 = 500.0;
const DURATION_S: u64 = 60;
const SEEDS: u64 = 5;

/// The initial factor of the mean service time of a cold upstream. It falls linearly to one over the given number of
/// answers.
const COLD_FACTOR: f64 = 8.0;
const WARM_AFTER_ANSWERS: u64 = 2_000;

/// The time at which drained upstreams return, with empty caches.
const RETURN_TIME_US: u64 = 20_000_000;
/// The time after the return during which requests are counted in a scenario with cold upstreams.
const COUNTED_INTERVAL_US: u64 = 10_000_000;

struct PoolScenario {
    name: &'static str,
    /// The fraction of the pool's cores that the requests use on average if no upstream is slow or cold.
    load: f64,
    /// The number of slow upstreams and the factor of their mean service time.
    slow: (usize, f64),
    /// The number of upstreams that are drained at first and return cold.
    cold: usize,
}

const SCENARIOS: &[PoolScenario] = &[
    PoolScenario {
        name: "all equal, load 0.5",
        load: 0.5,
        slow: (0, 1.0),
        cold: 0,
    },
    PoolScenario {
        name: "all equal, load 0.9",
        load: 0.9,
        slow: (0, 1.0),
        cold: 0,
    },
    PoolScenario {
        name: "all equal, load 1.1",
        load: 1.1,
        slow: (0, 1.0),
        cold: 0,
    },
    PoolScenario {
        name: "10 of 20 ten times slower, load 0.8",
        load: 0.8,
        slow: (10, 10.0),
        cold: 0,
    },
    PoolScenario {
        name: "4 of 20 four times slower, load 0.6",
        load: 0.6,
        slow: (4, 4.0),
        cold: 0,
    },
    PoolScenario {
        name: "1 of 20 twenty times slower, load 0.6",
        load: 0.6,
        slow: (1, 20.0),
        cold: 0,
    },
    PoolScenario {
        name: "6 of 20 come back cold, load 0.6",
        load: 0.6,
        slow: (0, 1.0),
        cold: 6,
    },
    PoolScenario {
        name: "10 of 20 come back cold, load 0.45",
        load: 0.45,
        slow: (0, 1.0),
        cold: 10,
    },
];

const POLICIES: [ChoicePolicy; 3] = [
    ChoicePolicy::TWO_CHOICES,
    ChoicePolicy::ROUND_ROBIN,
    ChoicePolicy::LEAST_LOADED,
];

fn main() {
    let config = FleetConfig::parse("example", &fleet_text()).expect("a valid configuration");
    println!(
        "{UPSTREAMS} upstreams with {SLOTS_PER_UPSTREAM} slots and {CORES_PER_UPSTREAM} cores, mean service time {MEAN_SERVICE_MS} ms, {DURATION_S} s, {SEEDS} seeds"
    );
    println!(
        "{:38} {:19} {:11} {:>7} {:>8} {:>8} {:>10} {:>7}",
        "scenario", "policy", "ramp", "p50 ms", "p99 ms", "p99.9 ms", "requests", "shed"
    );
    for scenario in SCENARIOS {
        for policy in POLICIES {
            for ramp in [RampPolicy::LINEAR, RampPolicy::NONE] {
                if scenario.cold > 0 || ramp.name == RampPolicy::LINEAR.name {
                    print_row(&config, scenario, policy, ramp);
                }
            }
        }
    }
}

fn print_row(
    config: &FleetConfig,
    scenario: &PoolScenario,
    policy: ChoicePolicy,
    ramp: RampPolicy,
) {
    let mut latencies = Vec::new();
    let mut shed = 0;
    for seed in 0..SEEDS {
        let mut model = QueueModel::new(config, scenario, policy, ramp, seed);
        model.run();
        latencies.append(&mut model.latencies);
        shed += model.shed;
    }
    latencies.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| latencies[((latencies.len() - 1) as f64 * fraction) as usize];
    println!(
        "{:38} {:19} {:11} {:7.1} {:8.1} {:8.1} {:10} {:7}",
        scenario.name,
        policy.name,
        ramp.name,
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        latencies.len() + shed,
        shed
    );
}

/// An event of the model. Events at the same time are handled in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival,
    /// The position of the upstream, and the times in microseconds at which the request arrived and was sent.
    Answer(usize, u64, u64),
    Evaluation,
    Return,
}

struct QueueModel<'a> {
    scenario: &'a PoolScenario,
    policy: ChoicePolicy,
    evaluator: HealthEvaluator,
    handles: Arena<UpstreamKey, UpstreamHandle>,
    links: LinkMeter,
    tiers: TierTable,
    events: BinaryHeap<Reverse<(u64, ModelEvent)>>,
    waiting: VecDeque<u64>,
    answers: Vec<u64>,
    random: RandomSequence,
    latencies: Vec<f64>,
    shed: usize,
}

impl<'a> QueueModel<'a> {
    fn new(
        config: &FleetConfig,
        scenario: &'a PoolScenario,
        policy: ChoicePolicy,
        ramp: RampPolicy,
        seed: u64,
    ) -> Self {
        let start = MonotonicTime::from_millis(0);
        let mut evaluator = HealthEvaluator::new(ramp);
        let records = evaluator.apply(config, start);
        let handles = records
            .iter()
            .map(|(_, health)| {
                let slots = Arc::new(SlotCounter::new());
                slots.set_capacity(SLOTS_PER_UPSTREAM);
                UpstreamHandle {
                    slots,
                    health: Arc::clone(health),
                }
            })
            .collect();
        for index in 0..scenario.cold {
            evaluator.record_peer_drain(&format!("od-{index}"), true, start);
        }
        let home = RegionKey::from_index(0);
        Self {
            scenario,
            policy,
            evaluator,
            handles,
            links: LinkRegistry::new().apply(config, home, 1, start),
            tiers: TierTable::build(config, DomainKey::from_index(0)),
            events: BinaryHeap::new(),
            waiting: VecDeque::new(),
            answers: vec![0; UPSTREAMS],
            random: RandomSequence(seed),
            latencies: Vec::new(),
            shed: 0,
        }
    }

    fn run(&mut self) {
        self.schedule(0, ModelEvent::Arrival);
        self.schedule(0, ModelEvent::Evaluation);
        self.schedule(RETURN_TIME_US, ModelEvent::Return);
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                ModelEvent::Arrival => self.add_request(now),
                ModelEvent::Answer(upstream, arrived, sent) => {
                    self.record_answer(now, upstream, arrived, sent);
                }
                ModelEvent::Evaluation => self.evaluate_upstreams(now),
                ModelEvent::Return => self.return_upstreams(now),
            }
        }
    }

    fn schedule(&mut self, time: u64, event: ModelEvent) {
        self.events.push(Reverse((time, event)));
    }

    fn add_request(&mut self, now: u64) {
        self.waiting.push_back(now);
        self.send_waiting(now);
        let mean_gap_us =
            MEAN_SERVICE_MS * 1e3 / (UPSTREAMS as f64 * CORES_PER_UPSTREAM * self.scenario.load);
        let next = now + (self.random.exponential() * mean_gap_us) as u64;
        if next < DURATION_S * 1_000_000 {
            self.schedule(next, ModelEvent::Arrival);
        }
    }

    fn record_answer(&mut self, now: u64, upstream: usize, arrived: u64, sent: u64) {
        self.answers[upstream] += 1;
        if self.is_counted(arrived) {
            self.latencies.push((now - arrived) as f64 / 1e3);
        }
        let handle = &self.handles[UpstreamKey::from_index(upstream)];
        handle
            .health
            .record_success(Duration::from_micros(now - sent));
        handle.slots.release();
        self.send_waiting(now);
    }

    fn send_waiting(&mut self, now: u64) {
        while let Some(arrived) = self.waiting.front().copied() {
            if (now - arrived) as f64 / 1e3 > MAX_WAIT_MS {
                self.shed += usize::from(self.is_counted(arrived));
                self.waiting.pop_front();
                continue;
            }
            let random = self.random.next();
            let chosen = self.tiers.choose(ChoiceRequest {
                pool: PoolKey::from_index(0),
                start: ChoiceStart::Home,
                tried: &[],
                random,
                handles: &self.handles,
                links: &self.links,
                policy: self.policy,
            });
            let Some(chosen) = chosen else {
                return;
            };
            self.waiting.pop_front();
            let upstream = chosen.index();
            let service_us = self.random.exponential() * self.mean_service_ms(upstream) * 1e3;
            let answer = ModelEvent::Answer(upstream, arrived, now);
            self.schedule(now + service_us as u64 + 1, answer);
        }
    }

    fn is_counted(&self, arrived: u64) -> bool {
        let counted = RETURN_TIME_US..RETURN_TIME_US + COUNTED_INTERVAL_US;
        self.scenario.cold == 0 || counted.contains(&arrived)
    }

    fn mean_service_ms(&self, upstream: usize) -> f64 {
        let (slow_count, slow_factor) = self.scenario.slow;
        let slow = if upstream < slow_count {
            slow_factor
        } else {
            1.0
        };
        let is_cold = upstream < self.scenario.cold;
        let missing = WARM_AFTER_ANSWERS.saturating_sub(self.answers[upstream]);
        let cold_fraction = missing as f64 / WARM_AFTER_ANSWERS as f64;
        let cold = if is_cold {
            (COLD_FACTOR - 1.0) * cold_fraction
        } else {
            0.0
        };
        let running = f64::from(self.handles[UpstreamKey::from_index(upstream)].slots.used());
        MEAN_SERVICE_MS * (slow + cold) * (running / CORES_PER_UPSTREAM).max(1.0)
    }

    fn evaluate_upstreams(&mut self, now: u64) {
        self.evaluator.evaluate(model_time(now));
        self.send_waiting(now);
        if now < DURATION_S * 1_000_000 {
            self.schedule(now + 1_000_000, ModelEvent::Evaluation);
        }
    }

    fn return_upstreams(&mut self, now: u64) {
        for index in 0..self.scenario.cold {
            let name = format!("od-{index}");
            self.evaluator
                .record_peer_drain(&name, false, model_time(now));
        }
        self.evaluator.evaluate(model_time(now));
        self.send_waiting(now);
    }
}

fn model_time(microseconds: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(microseconds * 1_000)
}

fn fleet_text() -> String {
    let mut text = String::from(
        "regions: [{name: penang, failure_domains: [penang-a]}]\n\
         seats: [{name: seat-1, failure_domain: penang-a}]\n\
         pools:\n  - name: order-desk\n    upstreams:\n",
    );
    for index in 0..UPSTREAMS {
        let port = 9_000 + index;
        writeln!(
            text,
            "      - {{name: od-{index}, address: \"127.0.0.1:{port}\", \
             failure_domain: penang-a, slots: {SLOTS_PER_UPSTREAM}, connections: 400}}"
        )
        .unwrap();
    }
    text
}

/// The `SplitMix64` generator with a fixed seed, so that each run prints the same figures.
struct RandomSequence(u64);

impl RandomSequence {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let number = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        number ^ (number >> 31)
    }

    /// Returns a sample of the exponential distribution with mean one.
    fn exponential(&mut self) -> f64 {
        let uniform = ((self.next() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -uniform.ln()
    }
}
