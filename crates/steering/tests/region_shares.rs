//! Model of a pool in two regions: how the requests of one region's callers are divided over the regions where they run.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, ArenaKey, RegionKey};
use coltsfootkeel_steering::{
    AffinityTable, PlacementRequest, RegionLoad, RegionSpread, ServiceTimes, SpillBudget,
    SpreadInput, TimeEstimate, UpstreamCandidate, combine_hashes, short_hash, stable_hash,
};

const MS: Duration = Duration::from_millis(1);
const OBJECTIVE: Duration = Duration::from_millis(500);
const WARM_TIME: Duration = Duration::from_millis(190);
const COLD_TIME: Duration = Duration::from_millis(600);
const SLOTS: u32 = 3;
/// Objects in use at a time.
const OBJECTS: u64 = 320;
/// Objects that fall out of use each second, and new ones that replace them.
const NEW_OBJECTS_PER_S: f64 = 20.0;
/// Largest fraction of the requests that may change the region from one window to the next.
const MAX_SHARE_CHANGE: f64 = 0.15;
const WINDOW: Duration = Duration::from_secs(2);
/// Time between two updates of the spread.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);
const DURATION: Duration = Duration::from_secs(14);

struct ShareCase {
    name: &'static str,
    /// Upstreams in the region of the callers and in the other region.
    upstreams: [u64; 2],
    /// Requests per second at a time.
    rate: fn(Duration) -> f64,
    /// Round trip to the other region at a time.
    round_trip: fn(Duration) -> Duration,
    /// Requests of the other region's callers in flight at each of its upstreams, at a time.
    foreign_in_flight: fn(Duration) -> u32,
    /// Smallest fraction of the requests that must be answered.
    min_answered: f64,
}

/// Guards against requests that change their region together: at a cold start, in a burst of either region, and when
/// the path to the other region becomes slower.
#[test]
fn requests_of_a_region_change_their_region_gradually() {
    let cases = [
        ShareCase {
            name: "a cold start with few upstreams in the own region",
            upstreams: [40, 340],
            rate: |_| 370.0,
            round_trip: |_| 110 * MS,
            foreign_in_flight: |_| 0,
            min_answered: 0.9,
        },
        ShareCase {
            name: "a burst",
            upstreams: [20, 60],
            rate: |time| {
                if time.as_secs() / 3 == 2 {
                    425.0
                } else {
                    250.0
                }
            },
            round_trip: |_| 110 * MS,
            foreign_in_flight: |_| 0,
            min_answered: 0.9,
        },
        ShareCase {
            name: "demand that exceeds the own region for long",
            upstreams: [10, 80],
            rate: |time| if time.as_secs() >= 6 { 600.0 } else { 120.0 },
            round_trip: |_| 110 * MS,
            foreign_in_flight: |_| 0,
            min_answered: 0.8,
        },
        ShareCase {
            name: "a slower path to the other region",
            upstreams: [30, 60],
            rate: |_| 200.0,
            round_trip: |time| {
                if time.as_secs() >= 6 {
                    260 * MS
                } else {
                    60 * MS
                }
            },
            foreign_in_flight: |_| 0,
            min_answered: 0.8,
        },
        ShareCase {
            name: "an overloaded region, and later a burst in the other one",
            upstreams: [20, 60],
            rate: |time| if time.as_secs() >= 10 { 220.0 } else { 450.0 },
            round_trip: |_| 110 * MS,
            foreign_in_flight: |time| if time.as_secs() >= 10 { 4 } else { 0 },
            min_answered: 0.9,
        },
    ];
    check_shares(&cases);
}

/// Guards against requests that change their region together when a burst exceeds several times what their region
/// serves.
#[test]
fn a_burst_that_exceeds_the_region_changes_the_region_of_few_requests() {
    check_shares(&[ShareCase {
        name: "a burst that exceeds the own region",
        upstreams: [20, 60],
        rate: |time| {
            if time.as_secs() / 3 == 2 {
                900.0
            } else {
                250.0
            }
        },
        round_trip: |_| 110 * MS,
        foreign_in_flight: |_| 0,
        min_answered: 0.8,
    }]);
}

/// Guards against requests that change their region together when the other region fills up within a moment and refuses
/// a large part of them.
#[test]
fn a_region_that_fills_up_at_once_changes_the_region_of_few_requests() {
    check_shares(&[ShareCase {
        name: "the other region fills up at once",
        upstreams: [20, 60],
        rate: |_| 220.0,
        round_trip: |_| 110 * MS,
        foreign_in_flight: |time| if time.as_secs() >= 8 { 5 } else { 0 },
        min_answered: 0.8,
    }]);
}

/// Checks the shares of all windows, and that enough requests are answered.
fn check_shares(cases: &[ShareCase]) {
    let mut failures = Vec::new();
    for case in cases {
        let result = PoolModel::new(case).run(case);
        let shares = result.local_shares.windows(2);
        let largest = shares
            .map(|pair| (pair[1] - pair[0]).abs())
            .fold(0.0, f64::max);
        if largest > MAX_SHARE_CHANGE || result.answered < case.min_answered {
            failures.push(format!(
                "{}: changed by {largest:.2}, {:.2} answered, local shares {:.2?}",
                case.name, result.answered, result.local_shares
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

struct ModelResult {
    /// Fraction of the requests of each window that ran in the callers' region.
    local_shares: Vec<f64>,
    /// Fraction of all requests that ran.
    answered: f64,
}

/// A request that runs at an upstream.
struct ModelRun {
    upstream: usize,
    sent_at: Duration,
    is_warm: bool,
    has_queued: bool,
    answer_time: Duration,
}

struct ModelUpstream {
    hash: u64,
    region: RegionKey,
    in_flight: u32,
}

/// One instance in the callers' region and the upstreams of a pool.
struct PoolModel {
    upstreams: Vec<ModelUpstream>,
    times: ServiceTimes,
    spread: RegionSpread,
    spill_budget: SpillBudget,
    updated_at: Option<Duration>,
    affinity_table: AffinityTable,
    /// Running requests by the time of their answer and a sequence number.
    runs: BTreeMap<(Duration, u64), ModelRun>,
    random: fastrand::Rng,
}

impl PoolModel {
    fn new(case: &ShareCase) -> Self {
        let mut upstreams = Vec::new();
        for (region, count) in case.upstreams.into_iter().enumerate() {
            upstreams.extend((0..count).map(|index| ModelUpstream {
                hash: combine_hashes(stable_hash(&[u8::try_from(region).unwrap()]), index),
                region: RegionKey::from_index(region),
                in_flight: 0,
            }));
        }
        Self {
            upstreams,
            times: ServiceTimes::new(RegionKey::from_index(0), 2),
            spread: RegionSpread::new(
                [1, 2]
                    .map(|name| stable_hash(&[name]))
                    .into_iter()
                    .collect(),
            ),
            spill_budget: SpillBudget::default(),
            updated_at: None,
            affinity_table: AffinityTable::default(),
            runs: BTreeMap::new(),
            random: fastrand::Rng::with_seed(1),
        }
    }

    fn run(mut self, case: &ShareCase) -> ModelResult {
        let mut now = Duration::ZERO;
        let mut counts: HashMap<(u128, usize), f64> = HashMap::new();
        let (mut sent, mut answered) = (0.0, 0.0);
        while now < DURATION {
            now += Duration::from_secs_f64(1.0 / (case.rate)(now));
            self.end_runs(now, (case.round_trip)(now));
            if self
                .updated_at
                .is_none_or(|updated_at| now >= updated_at + UPDATE_PERIOD)
            {
                self.updated_at = Some(now);
                self.update_spread(now, case);
            }
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let oldest = (now.as_secs_f64() * NEW_OBJECTS_PER_S) as u64;
            let object = stable_hash(&(oldest + self.random.u64(..OBJECTS)).to_le_bytes());
            sent += 1.0;
            if let Some(region) = self.send(object, now, case) {
                answered += 1.0;
                let window = now.as_millis() / WINDOW.as_millis();
                *counts.entry((window, region.index())).or_default() += 1.0;
            }
        }
        let windows = DURATION.as_millis() / WINDOW.as_millis();
        let count = |window, region| counts.get(&(window, region)).copied().unwrap_or_default();
        ModelResult {
            local_shares: (0..windows)
                .map(|window| count(window, 0) / (count(window, 0) + count(window, 1)))
                .collect(),
            answered: answered / sent,
        }
    }

    fn update_spread(&self, now: Duration, case: &ShareCase) {
        let round_trip = (case.round_trip)(now);
        let regions = [0, 1].map(RegionKey::from_index);
        let load = |region: RegionKey| {
            let mut load = RegionLoad {
                domains: 1,
                ..RegionLoad::default()
            };
            for upstream in &self.upstreams {
                if upstream.region == region {
                    load.slots += SLOTS;
                    load.in_flight += upstream.in_flight + foreign_in_flight(region, now, case);
                }
            }
            load
        };
        let warm_time = |region: RegionKey| self.estimate(region, round_trip).warm;
        let input = SpreadInput {
            local_region: regions[0],
            has_large_bodies: false,
            objective: OBJECTIVE,
            loads: &Arena::from_iter(regions.map(load)),
            warm_times: &Arena::from_iter(regions.map(warm_time)),
            division: None,
        };
        self.spread.update(&input, MonotonicTime::default() + now);
    }

    fn estimate(&self, region: RegionKey, round_trip: Duration) -> TimeEstimate {
        let distance = path_time(region, round_trip);
        self.times.estimate(region, distance, OBJECTIVE)
    }

    /// Sends a request to the selected upstream and returns its region, or `None` if none is selected.
    fn send(&mut self, object: u64, now: Duration, case: &ShareCase) -> Option<RegionKey> {
        let round_trip = (case.round_trip)(now);
        let time = MonotonicTime::default() + now;
        let recent = self.affinity_table.upstreams(object, time);
        self.spill_budget.count_request();
        let assigned = self.spread.region(object, |_| true)?;
        let request = PlacementRequest {
            slot_time: WARM_TIME,
            objective: OBJECTIVE,
            objective_left: OBJECTIVE,
            deadline_left: 3_000 * MS,
            may_migrate: false,
            may_change_region: self.spill_budget.has_spill(),
        };
        let candidates = self.upstreams.iter().enumerate();
        let candidates = candidates.map(|(key, upstream)| UpstreamCandidate {
            key,
            rendezvous_hash: combine_hashes(object, upstream.hash),
            is_assigned_region: upstream.region == assigned,
            times: self.estimate(upstream.region, round_trip),
            in_flight: upstream.in_flight + foreign_in_flight(upstream.region, now, case),
            slots: SLOTS,
            is_warm: recent.last_used_ms(upstream.hash).is_some(),
            is_cache_full: false,
            slowness: 1.0,
            cost_factor: 1.0,
        });
        let decision = request.choose(candidates)?;
        if decision.changes_region {
            self.spill_budget.charge();
        }
        let upstream = &mut self.upstreams[decision.key];
        let work = if decision.is_warm {
            WARM_TIME
        } else {
            COLD_TIME
        };
        let answer_time = decision.queue_delay + work + path_time(upstream.region, round_trip);
        upstream.in_flight += 1;
        self.affinity_table
            .record(object, short_hash(upstream.hash), time);
        let region = upstream.region;
        let sequence = self.random.u64(..);
        self.runs.insert(
            (now + answer_time, sequence),
            ModelRun {
                upstream: decision.key,
                sent_at: now,
                is_warm: decision.is_warm,
                has_queued: !decision.queue_delay.is_zero(),
                answer_time,
            },
        );
        Some(region)
    }

    /// Ends the requests that are answered by `now`, and records their response times.
    fn end_runs(&mut self, now: Duration, round_trip: Duration) {
        while let Some(entry) = self.runs.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let run = entry.remove();
            let upstream = &mut self.upstreams[run.upstream];
            upstream.in_flight -= 1;
            let region = upstream.region;
            let expected = self.estimate(region, round_trip);
            if !run.has_queued && now >= run.sent_at {
                self.times
                    .record(region, expected, run.is_warm, run.answer_time);
            }
        }
    }
}

/// Returns the round trip between the callers' region and `region`.
fn path_time(region: RegionKey, round_trip: Duration) -> Duration {
    if region.index() == 0 {
        Duration::ZERO
    } else {
        round_trip
    }
}

/// Returns the requests of other callers in flight at an upstream of `region`.
fn foreign_in_flight(region: RegionKey, now: Duration, case: &ShareCase) -> u32 {
    if region.index() == 0 {
        0
    } else {
        (case.foreign_in_flight)(now)
    }
}
