//! Divides the requests of a region's callers over the regions in which they run.
//!
//! Load pattern: all instances observe the same load and the same response times. If each request chose its region by
//! the values of the moment, a threshold that is crossed would move the requests of a whole region at once, to upstreams
//! that do not have their objects cached. The spread is therefore state with a bounded rate of change, which starts at
//! its target, and each object is assigned to a region by its hash. Only the loss of upstreams takes effect at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, RegionKey};

use crate::hashing::{combine_hashes, unit_interval};
use crate::regions::demand_division::DemandDivision;
use crate::regions::even_shares::{MAX_LOCAL_SHARE, RegionSize, even_shares};

/// Factor on the odds of the callers' region for requests with large bodies, which cost more bytes and several round
/// trips to another region.
const LARGE_BODY_ODDS_FACTOR: f64 = 5.0;
/// Factor on the weight of a region whose warm answers are too late.
const FAR_REGION_FACTOR: f64 = 0.02;
/// Fraction of the objective within which a region must be able to return a warm answer. The rest covers the round trip
/// between caller and instance, and answers that take longer than usual.
const NEARBY_OBJECTIVE_FRACTION: f64 = 0.8;
/// Largest fraction of the requests that changes the region within one second. Each moved object is loaded once more,
/// and the retry budget covers the hedged requests for about as many.
const MAX_SHARE_CHANGE_PER_S: f64 = 0.02;
/// The same for a spread that follows a division by demand. A wave of demand moves the division by up to this rate, and
/// upstreams there have to load the objects that follow.
const MAX_DIVIDED_SHARE_CHANGE_PER_S: f64 = 0.04;
/// Longest time since the last update that counts, so that a suspended process makes up for nothing.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Load of a region, in requests per slot, above which some of its requests are moved to other regions.
const RELIEF_LOAD: f64 = 0.9;
/// Load of a region, in requests per slot, below which moved requests return to it.
const RETURN_LOAD: f64 = 0.7;
/// Difference in load, in requests per slot, between a region and the least loaded one from which requests are moved.
const MIN_LOAD_DIFFERENCE: f64 = 0.2;
/// Relative change per second of the weight of a region that is overloaded, or was.
const RELIEF_RATE_PER_S: f64 = 0.3;
/// Lower bound of the relief factor.
const MIN_RELIEF_FACTOR: f64 = 0.05;
/// Share of a region that the target excludes. It orders the regions that are left when the others are lost.
const MIN_SHARE: f64 = 1e-6;

/// The upstreams of one region that can run a request, from the list and health of the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegionLoad {
    /// Requests that the upstreams run concurrently.
    pub slots: u32,
    /// Requests in flight there from all instances.
    pub in_flight: u32,
    /// Failure domains of the region, whether they have upstreams or not. The callers of a region are assumed to be as
    /// many as its failure domains; relief corrects the error where that overloads it.
    pub domains: u32,
}

impl RegionLoad {
    fn per_slot(self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }
}

/// The inputs of a spread.
#[derive(Debug)]
pub struct SpreadInput<'a> {
    /// The region of the callers.
    pub local_region: RegionKey,
    /// Whether requests of the route have large bodies.
    pub has_large_bodies: bool,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// The upstreams of the pool by region.
    pub loads: &'a Arena<RegionKey, RegionLoad>,
    /// Expected time of a warm answer by region.
    pub warm_times: &'a Arena<RegionKey, Duration>,
    /// The division of the demand for the pool; `None` if it is not divided by demand.
    pub division: Option<&'a DemandDivision>,
}

/// The state of one region in a spread.
#[derive(Debug, Clone, Copy)]
struct RegionShare {
    /// Fraction of the objects that is assigned to the region.
    share: f64,
    /// Slots at the last update.
    slots: u32,
    /// Factor on the weight of the region, less than 1 after it was overloaded.
    relief: f64,
}

#[derive(Debug, Clone)]
struct SpreadState {
    regions: Arena<RegionKey, RegionShare>,
    /// `None` before the first update.
    updated_at: Option<MonotonicTime>,
}

/// The fractions of a route's requests that run in each region, for the callers of one region and the upstreams of one
/// pool.
#[derive(Debug)]
pub struct RegionSpread {
    /// Hashes of the names of the regions, the same at all instances.
    region_hashes: Arena<RegionKey, u64>,
    state: ArcSwap<SpreadState>,
    /// Whether a request has used the spread, so that further changes move objects.
    is_used: AtomicBool,
}

impl RegionSpread {
    /// Creates a spread that takes its target at each update until a request uses it.
    #[must_use]
    pub fn new(region_hashes: Arena<RegionKey, u64>) -> Self {
        let initial = |_| RegionShare {
            share: 0.0,
            slots: 0,
            relief: 1.0,
        };
        Self {
            state: ArcSwap::from_pointee(SpreadState {
                regions: region_hashes.keys().map(initial).collect(),
                updated_at: None,
            }),
            region_hashes,
            is_used: AtomicBool::new(false),
        }
    }

    /// Moves the spread towards its target. Called periodically by a single thread.
    pub fn update(&self, input: &SpreadInput, now: MonotonicTime) {
        let state = self.state.load();
        let is_used = self.is_used.load(Ordering::Relaxed);
        if let Some(next) = state.next(input, is_used, now) {
            self.state.store(Arc::new(next));
        }
    }

    /// Returns the region of an object among those for which `is_open` holds, or `None` if there is none.
    ///
    /// Weighted rendezvous hashing: a change of the shares moves as few objects as possible.
    pub fn region(&self, object: u64, is_open: impl Fn(RegionKey) -> bool) -> Option<RegionKey> {
        if !self.is_used.load(Ordering::Relaxed) {
            self.is_used.store(true, Ordering::Relaxed);
        }
        let state = self.state.load();
        let score = |region: RegionKey| {
            let hash = combine_hashes(object, self.region_hashes[region]);
            -state.regions[region].share.max(MIN_SHARE) / unit_interval(hash).ln()
        };
        let open = self.region_hashes.keys().filter(|region| is_open(*region));
        open.max_by(|first, second| score(*first).total_cmp(&score(*second)))
    }

    /// Returns the fraction of the objects that is assigned to each region; zero before the first update.
    #[must_use]
    pub fn shares(&self) -> Arena<RegionKey, f64> {
        let state = self.state.load();
        state.regions.iter().map(|(_, state)| state.share).collect()
    }
}

impl SpreadState {
    /// Returns the state after an update; `None` while no region has slots.
    fn next(&self, input: &SpreadInput, is_used: bool, now: MonotonicTime) -> Option<Self> {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |updated_at| {
            now.since(updated_at).min(MAX_UPDATE_INTERVAL)
        });
        let relief: Arena<RegionKey, f64> = self
            .regions
            .iter()
            .map(|(region, state)| match input.division {
                Some(_) => 1.0,
                None => next_relief(state.relief, region, input.loads, elapsed),
            })
            .collect();
        let weights = match input.division {
            Some(division) => divided_weights(input, division),
            None => weights(input, &relief),
        };
        let target = normalized(&weights)?;
        let max_change_per_s = if input.division.is_some() {
            MAX_DIVIDED_SHARE_CHANGE_PER_S
        } else {
            MAX_SHARE_CHANGE_PER_S
        };
        let limit = max_change_per_s * elapsed.as_secs_f64();
        let shares = if is_used {
            let current = self.regions.iter().map(|(_, state)| state.share).collect();
            approach(&current, &target, limit + self.lost_share(input.loads))
        } else {
            target
        };
        let regions = shares.iter().map(|(region, share)| RegionShare {
            share: *share,
            slots: input.loads[region].slots,
            relief: relief[region],
        });
        Some(Self {
            regions: regions.collect(),
            updated_at: Some(now),
        })
    }

    /// Returns the fraction of the requests whose upstreams were lost since the last update.
    fn lost_share(&self, loads: &Arena<RegionKey, RegionLoad>) -> f64 {
        let lost = |region: RegionKey, state: &RegionShare| {
            let slots = state.slots.saturating_sub(loads[region].slots);
            state.share * f64::from(slots) / f64::from(state.slots.max(1))
        };
        let regions = self.regions.iter();
        regions.map(|(region, state)| lost(region, state)).sum()
    }
}

/// Returns the weight of each region in the target: the callers' region serves what its slots allow, and the others the
/// rest by their spare slots.
fn weights(input: &SpreadInput, relief: &Arena<RegionKey, f64>) -> Arena<RegionKey, f64> {
    let sizes = input.loads.iter().map(|(_, load)| RegionSize {
        slots: load.slots.into(),
        domains: load.domains,
    });
    let even = even_shares(input.local_region, &sizes.collect());
    let weight = |region: RegionKey| {
        let share = if region == input.local_region && input.has_large_bodies {
            even[region] * LARGE_BODY_ODDS_FACTOR
        } else {
            even[region]
        };
        share * reach_factor(input, region) * relief[region]
    };
    input.loads.keys().map(weight).collect()
}

/// Returns the weight of each region in a target that follows a division by demand. The time of warm answers decides only
/// among the other regions: the own one has no room for what the division sends to them.
fn divided_weights(input: &SpreadInput, division: &DemandDivision) -> Arena<RegionKey, f64> {
    let divided_share = division.shares[input.local_region];
    let kept_share = divided_share.min(MAX_LOCAL_SHARE);
    let others = || {
        let regions = input.loads.keys();
        regions.filter(|region| *region != input.local_region)
    };
    let other_slots: u32 = others().map(|region| input.loads[region].slots).sum();
    let other_weight = |region: RegionKey| {
        let slots_part = f64::from(input.loads[region].slots) / f64::from(other_slots.max(1));
        let share = division.shares[region] + (divided_share - kept_share) * slots_part;
        share * reach_factor(input, region)
    };
    let other_weights: f64 = others().map(other_weight).sum();
    let weight = |region: RegionKey| {
        if region == input.local_region {
            kept_share
        } else if other_weights > 0.0 {
            (1.0 - kept_share) * other_weight(region) / other_weights
        } else {
            0.0
        }
    };
    input.loads.keys().map(weight).collect()
}

/// Returns the factor on the weight of a region by the time of its warm answers.
fn reach_factor(input: &SpreadInput, region: RegionKey) -> f64 {
    let max_warm_time = input.objective.mul_f64(NEARBY_OBJECTIVE_FRACTION);
    if input.warm_times[region] <= max_warm_time {
        1.0
    } else {
        FAR_REGION_FACTOR
    }
}

/// Returns the relief factor of a region after `elapsed`: it falls while the region is overloaded and another one has
/// free slots, and returns to 1 when the load has fallen.
fn next_relief(
    relief: f64,
    region: RegionKey,
    loads: &Arena<RegionKey, RegionLoad>,
    elapsed: Duration,
) -> f64 {
    let load = loads[region].per_slot();
    let others = loads
        .iter()
        .filter(|(other, state)| *other != region && state.slots > 0);
    let least = others
        .map(|(_, state)| state.per_slot())
        .fold(f64::INFINITY, f64::min);
    let change = RELIEF_RATE_PER_S * elapsed.as_secs_f64();
    if load > RELIEF_LOAD && least < load - MIN_LOAD_DIFFERENCE {
        (relief * (1.0 - change)).max(MIN_RELIEF_FACTOR)
    } else if load < RETURN_LOAD {
        (relief * (1.0 + change)).min(1.0)
    } else {
        relief
    }
}

/// Returns the values divided by their sum; `None` if it is zero.
fn normalized(values: &Arena<RegionKey, f64>) -> Option<Arena<RegionKey, f64>> {
    let sum: f64 = values.iter().map(|(_, value)| value).sum();
    (sum > 0.0).then(|| values.iter().map(|(_, value)| value / sum).collect())
}

/// Returns the shares on the way from `from` to `to`, with at most `limit` of the requests moved.
fn approach(
    from: &Arena<RegionKey, f64>,
    to: &Arena<RegionKey, f64>,
    limit: f64,
) -> Arena<RegionKey, f64> {
    let differences = from.iter().map(|(region, share)| to[region] - share);
    let moved: f64 = differences.map(f64::abs).sum::<f64>() / 2.0;
    let fraction = if moved > limit { limit / moved } else { 1.0 };
    from.iter()
        .map(|(region, share)| share + (to[region] - share) * fraction)
        .collect()
}
