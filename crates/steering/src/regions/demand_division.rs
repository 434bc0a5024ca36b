//! Divides the demand of all regions over the room of all regions.
//!
//! Load pattern: callers of several regions send in waves with other phases, and upstreams stand elsewhere than
//! callers. A region that fills up has to spill before its callers are refused, and one with few callers has to take
//! work. Objects that move to another region are loaded again there, so the division starts from the even shares, which
//! do not change with the demand, and moves only what would exceed the room of a region. It depends on the offered work
//! and not on what was sent, so its result does not change its input.

use coltsfootkeel_model::{Arena, RegionKey};

use crate::regions::demand_table::PoolDemand;
use crate::regions::even_shares::{RegionSize, even_shares};
use crate::regions::topology::RegionSet;

/// Part of a region's room that is filled before requests are moved to other regions. Above it, the wait for one of the
/// few slots of an upstream exceeds a round trip between regions.
const SPILL_LEVEL: f64 = 0.8;
/// Excess over the common level of all regions that a region keeps in overload. Without it, each small change of the
/// demand would move objects.
const LEVEL_MARGIN: f64 = 0.1;
/// Demand of all regions, in slots, below which nothing is known about it yet.
const MIN_KNOWN_DEMAND: f64 = 1.0;
/// Number of steps in which the level is found. Each halves the interval in which it lies.
const LEVEL_STEPS: u32 = 40;
/// Slots that stand for the demand of a region that no callers fill.
const MIN_FILLED: f64 = 1e-6;

/// How the requests of one region's callers are divided over the regions.
#[derive(Debug, Clone)]
pub struct DemandDivision {
    /// Fraction of the requests by region where they run; the sum is one.
    pub shares: Arena<RegionKey, f64>,
    /// Demand per room up to which the regions are filled.
    pub level: f64,
}

/// The demand of all regions for a pool, divided into what one region has to run and the rest.
#[derive(Debug)]
struct SplitDemand {
    /// Demand by the only region with room where it may run.
    bound: Arena<RegionKey, f64>,
    /// Other demand, by the region of its callers.
    free: Arena<RegionKey, f64>,
}

/// Returns the division for the callers of `local`; `regions` has the room of each region. Returns `None` if there is
/// no room or no demand is known yet.
#[must_use]
pub fn divide_demand(
    local: RegionKey,
    demands: &Arena<RegionKey, Vec<PoolDemand>>,
    regions: &Arena<RegionKey, RegionSize>,
) -> Option<DemandDivision> {
    let rooms: Arena<RegionKey, f64> = regions.iter().map(|(_, size)| size.slots).collect();
    let split = split_demands(demands, &rooms);
    let total = |values: &Arena<RegionKey, f64>| values.iter().map(|(_, value)| value).sum::<f64>();
    let free = total(&split.free);
    if total(&rooms) <= 0.0 || free + total(&split.bound) < MIN_KNOWN_DEMAND {
        return None;
    }
    let level = fill_level(&split, &rooms, free) * (1.0 + LEVEL_MARGIN);
    let even: Arena<RegionKey, Arena<RegionKey, f64>> = regions
        .keys()
        .map(|region| even_shares(region, regions))
        .collect();
    let filled = |region: RegionKey| -> f64 {
        let demands = split.free.iter();
        demands
            .map(|(callers, demand)| demand * even[callers][region])
            .sum()
    };
    let open = |region: RegionKey| open_room(&split, &rooms, region, level);
    let kept_part = |region: RegionKey| (open(region) / filled(region).max(MIN_FILLED)).min(1.0);
    let unused = |region: RegionKey| (open(region) - filled(region)).max(0.0);
    let total_unused: f64 = rooms.keys().map(unused).sum();
    let moved: f64 = rooms
        .keys()
        .map(|region| even[local][region] * (1.0 - kept_part(region)))
        .sum();
    let share = |region: RegionKey| {
        let taken = if total_unused > 0.0 {
            moved * unused(region) / total_unused
        } else {
            0.0
        };
        even[local][region] * kept_part(region) + taken
    };
    let shares: Arena<RegionKey, f64> = rooms.keys().map(share).collect();
    let sum = total(&shares);
    (sum > 0.0).then(|| DemandDivision {
        shares: shares.iter().map(|(_, share)| share / sum).collect(),
        level,
    })
}

/// Divides the demand into what only one region with room may run and the rest. Demand of a region without room is left
/// out if it may run nowhere else; the callers of such a region count where they are received.
fn split_demands(
    demands: &Arena<RegionKey, Vec<PoolDemand>>,
    rooms: &Arena<RegionKey, f64>,
) -> SplitDemand {
    let zero = || rooms.keys().map(|_| 0.0).collect();
    let mut split = SplitDemand {
        bound: zero(),
        free: zero(),
    };
    for (caller_region, classes) in demands.iter() {
        for demand in classes {
            let mut open = open_regions(demand.regions, rooms);
            match (open.next(), open.next()) {
                (None, _) => {}
                (Some(only), None) => split.bound[only] += demand.slots,
                _ if demand.regions.contains(caller_region) => {
                    split.free[caller_region] += demand.slots;
                }
                // Its callers are elsewhere, so no region is its own.
                (Some(first), Some(_)) => split.free[first] += demand.slots,
            }
        }
    }
    split
}

fn open_regions(
    regions: RegionSet,
    rooms: &Arena<RegionKey, f64>,
) -> impl Iterator<Item = RegionKey> {
    rooms
        .iter()
        .filter(move |(region, room)| **room > 0.0 && regions.contains(*region))
        .map(|(region, _)| region)
}

/// Returns the room of a region below `level` that bound demand leaves.
fn open_room(
    split: &SplitDemand,
    rooms: &Arena<RegionKey, f64>,
    region: RegionKey,
    level: f64,
) -> f64 {
    (rooms[region] * level - split.bound[region]).max(0.0)
}

/// Returns the lowest level up to which the regions have room for the free demand, but at least the one at which regions
/// are filled to [`SPILL_LEVEL`].
fn fill_level(split: &SplitDemand, rooms: &Arena<RegionKey, f64>, free: f64) -> f64 {
    let has_room = |level: f64| {
        let open = rooms
            .keys()
            .map(|region| open_room(split, rooms, region, level));
        open.sum::<f64>() >= free
    };
    let lowest = SPILL_LEVEL / (1.0 + LEVEL_MARGIN);
    if has_room(lowest) {
        return lowest;
    }
    let (mut low, mut high) = (lowest, 2.0 * lowest);
    while !has_room(high) {
        (low, high) = (high, 2.0 * high);
    }
    for _ in 0..LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        if has_room(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    high
}
