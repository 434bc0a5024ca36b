//! The demand of each region's callers, and the room of its upstreams, averaged over time.
//!
//! Load pattern: each instance sees a sixtieth of the callers and hears of the others late, at times not at all. A
//! division needs the sums of all, and the same sums at each instance.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, RegionKey};

use crate::regions::offered_work::OfferedTotal;
use crate::regions::topology::RegionSet;

/// Time over which the demand at an instance, and that of a region, are averaged.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Time over which the ratio of a region's room to its slots is averaged. A busy neighbour slows an upstream for a part
/// of it.
const ROOM_AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Time from the first reported demand until the averages tell how large it is.
const LEARNING_TIME: Duration = Duration::from_secs(4);
/// Demand in slots below which it is not reported.
const MIN_REPORTED_SLOTS: f64 = 0.001;

/// The demand of callers for the upstreams of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolDemand {
    /// Short hash of the pool's name.
    pub pool: u32,
    /// Regions in which the requests may run.
    pub regions: RegionSet,
    /// Slots that the requests would occupy if all were served.
    pub slots: f64,
}

/// The demand that one instance reports.
#[derive(Debug)]
pub struct InstanceReport {
    /// Region of the instance.
    pub region: RegionKey,
    /// Its demand for each pool.
    pub demands: Vec<PoolDemand>,
}

/// Work that was counted at this instance up to the last update.
#[derive(Debug)]
struct CountedWork {
    demand: PoolDemand,
    busy: Duration,
}

/// The room of one pool in one region, relative to its slots.
#[derive(Debug)]
struct RoomRatio {
    pool: u32,
    ratios: Arena<RegionKey, f64>,
    updated_at: MonotonicTime,
}

/// The demand of all regions for all pools, and the room of the pools.
#[derive(Debug)]
pub struct DemandTable {
    own: Vec<CountedWork>,
    regions: Arena<RegionKey, Vec<PoolDemand>>,
    rooms: Vec<RoomRatio>,
    counted_at: MonotonicTime,
    summed_at: MonotonicTime,
    /// When demand was first reported; `None` before.
    known_since: Option<MonotonicTime>,
}

impl DemandTable {
    /// Creates a table without demand for `regions` regions.
    #[must_use]
    pub fn new(regions: usize) -> Self {
        Self {
            own: Vec::new(),
            regions: (0..regions).map(|_| Vec::new()).collect(),
            rooms: Vec::new(),
            counted_at: MonotonicTime::default(),
            summed_at: MonotonicTime::default(),
            known_since: None,
        }
    }

    /// Starts an update of the demand at this instance. Returns the time since the last one.
    pub fn start_count(&mut self, now: MonotonicTime) -> Duration {
        now.since(std::mem::replace(&mut self.counted_at, now))
    }

    /// Updates the demand for a pool at this instance from the totals after `elapsed`.
    pub fn count(&mut self, pool: u32, totals: &[OfferedTotal], elapsed: Duration) {
        for total in totals {
            let is_same = |work: &CountedWork| {
                work.demand.pool == pool && work.demand.regions == total.regions
            };
            let index = self.own.iter().position(is_same).unwrap_or_else(|| {
                self.own.push(CountedWork {
                    demand: PoolDemand {
                        pool,
                        regions: total.regions,
                        slots: 0.0,
                    },
                    busy: Duration::ZERO,
                });
                self.own.len() - 1
            });
            let work = &mut self.own[index];
            // A pool that was removed and added again counts from zero.
            let added = total.busy.checked_sub(work.busy).unwrap_or(total.busy);
            work.busy = total.busy;
            if !elapsed.is_zero() {
                let slots = added.as_secs_f64() / elapsed.as_secs_f64();
                let weight = averaging_weight(elapsed, DEMAND_AVERAGING_TIME);
                work.demand.slots += (slots - work.demand.slots) * weight;
            }
        }
    }

    /// Returns the demand at this instance, which the next heartbeat reports.
    #[must_use]
    pub fn own_demands(&self) -> Vec<PoolDemand> {
        let demands = self.own.iter().map(|work| work.demand);
        demands
            .filter(|demand| demand.slots >= MIN_REPORTED_SLOTS)
            .collect()
    }

    /// Sums the demand of all live instances, this one included. A region without a live instance keeps its last demand:
    /// it may be cut off, and its callers still use its upstreams.
    pub fn sum(&mut self, reports: &[InstanceReport], now: MonotonicTime) {
        if self.known_since.is_none() && reports.iter().any(|report| !report.demands.is_empty()) {
            self.known_since = Some(now);
        }
        let elapsed = now.since(std::mem::replace(&mut self.summed_at, now));
        let weight = averaging_weight(elapsed, DEMAND_AVERAGING_TIME);
        let keys: Vec<RegionKey> = self.regions.keys().collect();
        for region in keys {
            let mut reported = reports
                .iter()
                .filter(|report| report.region == region)
                .peekable();
            if reported.peek().is_none() {
                continue;
            }
            let sums = sum_demands(reported);
            let averages = &mut self.regions[region];
            if averages.is_empty() {
                *averages = sums;
                continue;
            }
            for average in averages.iter_mut() {
                let sum = sums.iter().find(|sum| is_same_class(sum, average));
                let slots = sum.map_or(0.0, |sum| sum.slots);
                average.slots += (slots - average.slots) * weight;
            }
            for sum in sums {
                if !averages.iter().any(|average| is_same_class(average, &sum)) {
                    averages.push(PoolDemand {
                        slots: sum.slots * weight,
                        ..sum
                    });
                }
            }
            averages.retain(|average| average.slots >= MIN_REPORTED_SLOTS);
        }
    }

    /// Returns whether the averages tell how large the demand is. After a start of all instances they are too low.
    #[must_use]
    pub fn is_settled(&self, now: MonotonicTime) -> bool {
        self.known_since
            .is_some_and(|since| now.since(since) >= LEARNING_TIME)
    }

    /// Returns the demand of each region's callers for a pool.
    #[must_use]
    pub fn demands(&self, pool: u32) -> Arena<RegionKey, Vec<PoolDemand>> {
        let of_pool = |demands: &Vec<PoolDemand>| -> Vec<PoolDemand> {
            let demands = demands.iter().copied();
            demands.filter(|demand| demand.pool == pool).collect()
        };
        self.regions
            .iter()
            .map(|(_, demands)| of_pool(demands))
            .collect()
    }

    /// Averages the ratio of room to slots of a pool's regions, and returns the room that the averages give for the
    /// present slots. Lost slots therefore count at once.
    pub fn average_rooms(
        &mut self,
        pool: u32,
        loads: &Arena<RegionKey, RegionRoom>,
        now: MonotonicTime,
    ) -> Arena<RegionKey, f64> {
        let ratio = |room: &RegionRoom| room.present / f64::from(room.slots.max(1));
        let found = self.rooms.iter_mut().find(|known| known.pool == pool);
        let Some(known) = found else {
            self.rooms.push(RoomRatio {
                pool,
                ratios: loads.iter().map(|(_, room)| ratio(room)).collect(),
                updated_at: now,
            });
            return loads
                .iter()
                .map(|(_, room)| room.present + room.cold)
                .collect();
        };
        let elapsed = now.since(std::mem::replace(&mut known.updated_at, now));
        let weight = averaging_weight(elapsed, ROOM_AVERAGING_TIME);
        let mut rooms = Arena::new();
        for (region, room) in loads.iter() {
            if room.slots > 0 {
                known.ratios[region] += (ratio(room) - known.ratios[region]) * weight;
            }
            rooms.push(f64::from(room.slots) * known.ratios[region] + room.cold);
        }
        rooms
    }
}

/// The room of a pool in one region at this moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionRoom {
    /// Slots of the upstreams that can run a request.
    pub slots: u32,
    /// Slots of these upstreams at their usual speed that do as much work.
    pub present: f64,
    /// Slots that the start rate of cold upstreams keeps busy.
    pub cold: f64,
}

fn is_same_class(first: &PoolDemand, second: &PoolDemand) -> bool {
    first.pool == second.pool && first.regions == second.regions
}

fn sum_demands<'a>(reports: impl Iterator<Item = &'a InstanceReport>) -> Vec<PoolDemand> {
    let mut sums: Vec<PoolDemand> = Vec::new();
    for demand in reports.flat_map(|report| &report.demands) {
        match sums.iter_mut().find(|sum| is_same_class(sum, demand)) {
            Some(sum) => sum.slots += demand.slots,
            None => sums.push(*demand),
        }
    }
    sums
}

/// Returns the weight of a new value in an average over `time` if the last one is `elapsed` old.
fn averaging_weight(elapsed: Duration, time: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp()
}
