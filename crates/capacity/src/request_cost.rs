//! Time for the admission of a request and for the selection of its upstream.

use std::hint::black_box;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use coltsfootkeel_counters::{MonotonicTime, RateBucket, SlotCounter, TimeLease};
use coltsfootkeel_decisions::{
    ChoicePolicy, ChoiceRequest, ChoiceStart, HealthEvaluator, LinkMeter, LinkRegistry, RampPolicy,
    TierTable, UpstreamHandle, admit_request,
};
use coltsfootkeel_model::{
    AccessDigest, Arena, ArenaKey, DomainKey, FleetConfig, RegionKey, UpstreamKey,
};

use crate::sample_fleet::FleetSize;
use crate::text_table::{TextTable, decimal_text};

/// Size of the measured fleet. The largest pool in operation has 20 upstreams.
const FLEET_SIZE: FleetSize = FleetSize {
    seats: 7,
    accounts: 8,
    upstreams: 20,
    routes: 8,
    blocks: 0,
};

const REQUESTS_PER_THREAD: u64 = 500_000;
const TIMED_RUNS: usize = 7;
const THREAD_COUNTS: [u64; 2] = [1, 4];

/// Measures admission and selection, separately and together, in wall-clock time per request.
#[must_use]
pub fn request_table() -> TextTable {
    let mut table = TextTable::new(
        "Request: admission (route, key, lease, token) and selection (two choices, slot) in wall-clock time",
        &["threads", "admission ns", "selection ns", "together ns"],
    );
    let path = RequestPath::new(FLEET_SIZE.config());
    for threads in THREAD_COUNTS {
        let admission = path.median_ns(threads, RequestPath::admit);
        let selection = path.median_ns(threads, RequestPath::select);
        let together = path.median_ns(threads, |path, random| {
            path.admit(random);
            path.select(random);
        });
        table.add([
            threads.to_string(),
            decimal_text(admission, 0),
            decimal_text(selection, 0),
            decimal_text(together, 0),
        ]);
    }
    table
}

struct RequestPath {
    config: FleetConfig,
    paths: Vec<String>,
    digests: Vec<AccessDigest>,
    buckets: Vec<RateBucket>,
    lease: TimeLease,
    tiers: TierTable,
    handles: Arena<UpstreamKey, UpstreamHandle>,
    links: LinkMeter,
}

impl RequestPath {
    fn new(config: FleetConfig) -> Self {
        let now = MonotonicTime::from_millis(0);
        let health_records = HealthEvaluator::new(RampPolicy::LINEAR).apply(&config, now);
        let handles = health_records
            .iter()
            .map(|(_, health)| {
                let slots = Arc::new(SlotCounter::new());
                slots.set_capacity(9);
                health.record_success(Duration::from_millis(20));
                UpstreamHandle {
                    slots,
                    health: Arc::clone(health),
                }
            })
            .collect();
        let lease = TimeLease::new();
        lease.renew(now, Duration::from_hours(1));
        let buckets = (0..FLEET_SIZE.accounts).map(|_| full_bucket()).collect();
        let digests = config.access.iter().map(|(digest, _)| digest).collect();
        Self {
            paths: (0..FLEET_SIZE.routes)
                .map(|route| format!("/path-{route}/orders/17"))
                .collect(),
            digests,
            buckets,
            lease,
            tiers: TierTable::build(&config, DomainKey::from_index(0)),
            handles,
            links: LinkRegistry::new().apply(&config, RegionKey::from_index(0), 1, now),
            config,
        }
    }

    fn admit(&self, random: u64) {
        let path = &self.paths[random_index(random, self.paths.len())];
        let digest = self.digests[random_index(random, self.digests.len())];
        let admitted = admit_request(&self.config, path, Some(digest));
        let account = admitted.ok().and_then(|admitted| admitted.account);
        if let Some(account) = account
            && self.lease.is_valid(MonotonicTime::from_millis(1))
        {
            black_box(self.buckets[account.index()].try_take(1_000));
        }
    }

    fn select(&self, random: u64) {
        let chosen = self.tiers.choose(ChoiceRequest {
            pool: ArenaKey::from_index(0),
            start: ChoiceStart::Home,
            tried: &[],
            random,
            handles: &self.handles,
            links: &self.links,
            policy: ChoicePolicy::TWO_CHOICES,
        });
        if let Some(upstream) = black_box(chosen) {
            self.handles[upstream].slots.release();
        }
    }

    fn median_ns(&self, threads: u64, step: fn(&Self, u64)) -> f64 {
        let mut times: Vec<f64> = (0..TIMED_RUNS)
            .map(|_| self.mean_ns(threads, step))
            .collect();
        times.sort_by(f64::total_cmp);
        times[TIMED_RUNS / 2]
    }

    fn mean_ns(&self, threads: u64, step: fn(&Self, u64)) -> f64 {
        thread::scope(|scope| {
            let started: Vec<_> = (0..threads)
                .map(|seed| scope.spawn(move || self.run_thread_ns(seed, step)))
                .collect();
            let times = started
                .into_iter()
                .map(|thread| thread.join().unwrap_or(f64::NAN));
            times.sum::<f64>() / threads as f64
        })
    }

    fn run_thread_ns(&self, seed: u64, step: fn(&Self, u64)) -> f64 {
        let start = Instant::now();
        let mut random = seed;
        for _ in 0..REQUESTS_PER_THREAD {
            random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
            step(self, random ^ (random >> 33));
        }
        start.elapsed().as_secs_f64() * 1e9 / REQUESTS_PER_THREAD as f64
    }
}

/// Returns a bucket with enough tokens for all runs, because taking a token from an empty bucket is cheaper.
fn full_bucket() -> RateBucket {
    let bucket = RateBucket::new();
    bucket.set_capacity(i64::MAX / 4);
    bucket.refill(i64::MAX / 4);
    bucket
}

fn random_index(random: u64, count: usize) -> usize {
    usize::try_from((random >> 40) % count as u64).unwrap_or(0)
}
