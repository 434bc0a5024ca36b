//! Compares policies of upstream selection on a simple queueing model.
//!
//! Run with `cargo run --release -p coltsfootkeel-decisions --example choice_policies`. One entry
//! instance sends requests at a steady mean rate to one pool. Each upstream takes a random service time,
//! longer while it is slow or cold, and longer when more requests run than it has cores. A request waits
//! up to 500 ms for a slot and is shed after that. Scenes with cold upstreams count the requests that
//! arrive in the first 10 s after the return. The one instance sees all requests of the pool, which favours
//! the policy of the least loaded: with several instances each sees a part only.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the model draws times from real numbers and prints rounded figures"
)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, SlotCounter};
use coltsfootkeel_decisions::{
    ChoicePolicy, ChoiceRequest, ChoiceStart, HealthJudge, LinkBook, LinkMeter, RampPolicy,
    TierTable, UpstreamLane,
};
use coltsfootkeel_model::{
    Arena, ArenaKey, DomainKey, FleetConfig, PoolKey, RegionKey, UpstreamKey,
};

const UPSTREAMS: usize = 20;
const SLOTS: u32 = 9;
const CORES: f64 = 4.0;
const SERVICE_MS: f64 = 20.0;
const LONGEST_WAIT_MS: f64 = 500.0;
const LENGTH_S: u64 = 60;
const SEEDS: u64 = 5;

/// A cold upstream starts at this many times its service time and is warm after this many answers.
const COLD_FACTOR: f64 = 8.0;
const WARM_AFTER_ANSWERS: u64 = 2_000;

/// Drained upstreams come back at this time, with empty caches.
const RETURN_AT_US: u64 = 20_000_000;
const COUNTED_AFTER_RETURN_US: u64 = 10_000_000;

struct PoolScene {
    name: &'static str,
    /// The part of the pool's cores that the requests use on average when nothing is slow.
    load: f64,
    /// How many upstreams take how many times as long.
    slow: (usize, f64),
    /// How many upstreams are away at first and come back cold.
    cold: usize,
}

const SCENES: &[PoolScene] = &[
    PoolScene {
        name: "all equal, load 0.5",
        load: 0.5,
        slow: (0, 1.0),
        cold: 0,
    },
    PoolScene {
        name: "all equal, load 0.9",
        load: 0.9,
        slow: (0, 1.0),
        cold: 0,
    },
    PoolScene {
        name: "all equal, load 1.1",
        load: 1.1,
        slow: (0, 1.0),
        cold: 0,
    },
    PoolScene {
        name: "10 of 20 ten times slower, load 0.8",
        load: 0.8,
        slow: (10, 10.0),
        cold: 0,
    },
    PoolScene {
        name: "4 of 20 four times slower, load 0.6",
        load: 0.6,
        slow: (4, 4.0),
        cold: 0,
    },
    PoolScene {
        name: "1 of 20 twenty times slower, load 0.6",
        load: 0.6,
        slow: (1, 20.0),
        cold: 0,
    },
    PoolScene {
        name: "6 of 20 come back cold, load 0.6",
        load: 0.6,
        slow: (0, 1.0),
        cold: 6,
    },
    PoolScene {
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
        "{UPSTREAMS} upstreams with {SLOTS} slots and {CORES} cores, mean service time {SERVICE_MS} ms, {LENGTH_S} s, {SEEDS} seeds"
    );
    println!(
        "{:38} {:19} {:11} {:>7} {:>8} {:>8} {:>10} {:>7}",
        "scene", "policy", "ramp", "p50 ms", "p99 ms", "p99.9 ms", "requests", "shed"
    );
    for scene in SCENES {
        for policy in POLICIES {
            for ramp in [RampPolicy::LINEAR, RampPolicy::NONE] {
                if scene.cold > 0 || ramp.name == RampPolicy::LINEAR.name {
                    print_row(&config, scene, policy, ramp);
                }
            }
        }
    }
}

fn print_row(config: &FleetConfig, scene: &PoolScene, policy: ChoicePolicy, ramp: RampPolicy) {
    let mut latencies = Vec::new();
    let mut shed = 0;
    for seed in 0..SEEDS {
        let mut model = QueueModel::new(config, scene, policy, ramp, seed);
        model.run();
        latencies.append(&mut model.latencies);
        shed += model.shed;
    }
    latencies.sort_by(f64::total_cmp);
    let at = |part: f64| latencies[((latencies.len() - 1) as f64 * part) as usize];
    println!(
        "{:38} {:19} {:11} {:7.1} {:8.1} {:8.1} {:10} {:7}",
        scene.name,
        policy.name,
        ramp.name,
        at(0.5),
        at(0.99),
        at(0.999),
        latencies.len() + shed,
        shed
    );
}

/// An event of the model, ordered by its time in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival,
    /// The upstream's position, when the request arrived and when it was sent, in microseconds.
    Answer(usize, u64, u64),
    Judgement,
    Return,
}

struct QueueModel<'a> {
    scene: &'a PoolScene,
    policy: ChoicePolicy,
    judge: HealthJudge,
    lanes: Arena<UpstreamKey, UpstreamLane>,
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
        scene: &'a PoolScene,
        policy: ChoicePolicy,
        ramp: RampPolicy,
        seed: u64,
    ) -> Self {
        let start = MonotonicTime::from_millis(0);
        let mut judge = HealthJudge::new(ramp);
        let records = judge.apply(config, start);
        let lanes = records
            .iter()
            .map(|(_, health)| {
                let slots = Arc::new(SlotCounter::new());
                slots.set_capacity(SLOTS);
                UpstreamLane {
                    slots,
                    health: Arc::clone(health),
                }
            })
            .collect();
        for index in 0..scene.cold {
            judge.note_peer_drain(&format!("od-{index}"), true, start);
        }
        let home = RegionKey::from_index(0);
        Self {
            scene,
            policy,
            judge,
            lanes,
            links: LinkBook::new().apply(config, home, 1, start),
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
        self.schedule(0, ModelEvent::Judgement);
        self.schedule(RETURN_AT_US, ModelEvent::Return);
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                ModelEvent::Arrival => self.arrive(now),
                ModelEvent::Answer(upstream, arrived, sent) => {
                    self.answer(now, upstream, arrived, sent);
                }
                ModelEvent::Judgement => self.judge_upstreams(now),
                ModelEvent::Return => self.bring_back(now),
            }
        }
    }

    fn schedule(&mut self, time: u64, event: ModelEvent) {
        self.events.push(Reverse((time, event)));
    }

    fn arrive(&mut self, now: u64) {
        self.waiting.push_back(now);
        self.serve_waiting(now);
        let mean_gap_us = SERVICE_MS * 1e3 / (UPSTREAMS as f64 * CORES * self.scene.load);
        let next = now + (self.random.exponential() * mean_gap_us) as u64;
        if next < LENGTH_S * 1_000_000 {
            self.schedule(next, ModelEvent::Arrival);
        }
    }

    fn answer(&mut self, now: u64, upstream: usize, arrived: u64, sent: u64) {
        self.answers[upstream] += 1;
        if self.is_counted(arrived) {
            self.latencies.push((now - arrived) as f64 / 1e3);
        }
        let lane = &self.lanes[UpstreamKey::from_index(upstream)];
        lane.health
            .record_success(Duration::from_micros(now - sent));
        lane.slots.release();
        self.serve_waiting(now);
    }

    fn serve_waiting(&mut self, now: u64) {
        while let Some(arrived) = self.waiting.front().copied() {
            if (now - arrived) as f64 / 1e3 > LONGEST_WAIT_MS {
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
                lanes: &self.lanes,
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
        let counted = RETURN_AT_US..RETURN_AT_US + COUNTED_AFTER_RETURN_US;
        self.scene.cold == 0 || counted.contains(&arrived)
    }

    fn mean_service_ms(&self, upstream: usize) -> f64 {
        let (slow_count, slow_factor) = self.scene.slow;
        let slow = if upstream < slow_count {
            slow_factor
        } else {
            1.0
        };
        let is_cold = upstream < self.scene.cold;
        let missing = WARM_AFTER_ANSWERS.saturating_sub(self.answers[upstream]);
        let cold_part = missing as f64 / WARM_AFTER_ANSWERS as f64;
        let cold = if is_cold {
            (COLD_FACTOR - 1.0) * cold_part
        } else {
            0.0
        };
        let running = f64::from(self.lanes[UpstreamKey::from_index(upstream)].slots.used());
        SERVICE_MS * (slow + cold) * (running / CORES).max(1.0)
    }

    fn judge_upstreams(&mut self, now: u64) {
        self.judge.judge(model_time(now));
        self.serve_waiting(now);
        if now < LENGTH_S * 1_000_000 {
            self.schedule(now + 1_000_000, ModelEvent::Judgement);
        }
    }

    fn bring_back(&mut self, now: u64) {
        for index in 0..self.scene.cold {
            let name = format!("od-{index}");
            self.judge.note_peer_drain(&name, false, model_time(now));
        }
        self.judge.judge(model_time(now));
        self.serve_waiting(now);
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
             failure_domain: penang-a, slots: {SLOTS}, connections: 400}}"
        )
        .unwrap();
    }
    text
}

/// The sequence of `SplitMix64`, so that each run prints the same figures.
struct RandomSequence(u64);

impl RandomSequence {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let number = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        number ^ (number >> 31)
    }

    /// Draws from the exponential distribution with mean one.
    fn exponential(&mut self) -> f64 {
        let uniform = ((self.next() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -uniform.ln()
    }
}
