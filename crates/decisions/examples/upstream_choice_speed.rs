//! Measures the selection of an upstream, including taking and returning its slot, on one and four threads.
//!
//! Run with `cargo run --release -p coltsfootkeel-decisions --example upstream_choice_speed`.

#![expect(
    clippy::cast_precision_loss,
    reason = "the figures are printed with few digits"
)]

use std::fmt::Write;
use std::hint::black_box;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

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
const CHOICES_PER_THREAD: u64 = 1_000_000;
const RUNS: usize = 7;

fn main() {
    let config = FleetConfig::parse("example", &fleet_text()).expect("a valid configuration");
    let fleet = ChoiceFleet::new(&config);
    println!(
        "{UPSTREAMS} upstreams in one failure domain, median of {RUNS} runs of {CHOICES_PER_THREAD} choices a thread"
    );
    println!("{:>20}  1 thread ns  4 threads ns", "policy");
    for policy in [
        ChoicePolicy::TWO_CHOICES,
        ChoicePolicy::ROUND_ROBIN,
        ChoicePolicy::LEAST_LOADED,
    ] {
        let single = fleet.measure(policy, 1);
        let parallel = fleet.measure(policy, 4);
        println!("{:>20} {single:12.0} {parallel:13.0}", policy.name);
    }
}

struct ChoiceFleet {
    tiers: TierTable,
    handles: Arena<UpstreamKey, UpstreamHandle>,
    links: LinkMeter,
}

impl ChoiceFleet {
    fn new(config: &FleetConfig) -> Self {
        let now = MonotonicTime::from_millis(0);
        let records = HealthEvaluator::new(RampPolicy::LINEAR).apply(config, now);
        let handles = records
            .iter()
            .map(|(_, health)| {
                let slots = Arc::new(SlotCounter::new());
                slots.set_capacity(SLOTS_PER_UPSTREAM);
                health.record_success(Duration::from_millis(20));
                UpstreamHandle {
                    slots,
                    health: Arc::clone(health),
                }
            })
            .collect();
        Self {
            tiers: TierTable::build(config, DomainKey::from_index(0)),
            handles,
            links: LinkRegistry::new().apply(config, RegionKey::from_index(0), 1, now),
        }
    }

    /// Returns the median time of one choice in nanoseconds.
    fn measure(&self, policy: ChoicePolicy, threads: u64) -> f64 {
        let mut times: Vec<f64> = (0..RUNS).map(|_| self.run(policy, threads)).collect();
        times.sort_by(f64::total_cmp);
        times[RUNS / 2]
    }

    fn run(&self, policy: ChoicePolicy, threads: u64) -> f64 {
        thread::scope(|scope| {
            let started: Vec<_> = (0..threads)
                .map(|seed| scope.spawn(move || self.choose_many(policy, seed)))
                .collect();
            let times = started.into_iter().map(|thread| thread.join().unwrap());
            times.sum::<f64>() / threads as f64
        })
    }

    fn choose_many(&self, policy: ChoicePolicy, seed: u64) -> f64 {
        let start = Instant::now();
        let mut random = seed;
        for _ in 0..CHOICES_PER_THREAD {
            random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
            let request = ChoiceRequest {
                pool: PoolKey::from_index(0),
                start: ChoiceStart::Home,
                tried: &[],
                random: random ^ (random >> 33),
                handles: &self.handles,
                links: &self.links,
                policy,
            };
            let chosen = black_box(self.tiers.choose(request));
            if let Some(upstream) = chosen {
                self.handles[upstream].slots.release();
            }
        }
        start.elapsed().as_secs_f64() * 1e9 / CHOICES_PER_THREAD as f64
    }
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
