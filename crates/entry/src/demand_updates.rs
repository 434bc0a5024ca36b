//! Exchanges the demand for pools with the other instances, and divides it over the regions.

use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, PoolKey, RegionKey};
use coltsfootkeel_protocol::{DemandReport, FleetHeartbeat};
use coltsfootkeel_steering::{
    FleetTopology, InstanceReport, PoolDemand, RegionRoom, RegionSet, RegionSize, UpstreamState,
    divide_demand, short_hash, stable_hash,
};

use crate::control_loop::ControlLoop;
use crate::entry_snapshot::{EntrySnapshot, ListedPool, PoolDivision};
use crate::shared_state::SharedState;

impl ControlLoop {
    /// Updates the demand of all regions from what was counted here and reported by the live instances, and divides it.
    pub(crate) fn update_demands(&mut self, now: MonotonicTime) {
        let Some(snapshot) = self.shared.snapshot.load_full() else {
            return;
        };
        let elapsed = self.demand_table.start_count(now);
        for (key, pool) in snapshot.pools.iter() {
            let totals = pool.state.offered_work.totals();
            let pool = pool_hash(&snapshot, key);
            self.demand_table.count(pool, &totals, elapsed);
        }
        let mut reports: Vec<InstanceReport> = self
            .peers
            .live(now)
            .map(|(_, peer)| InstanceReport {
                region: peer.region,
                demands: reported_demands(&peer.heartbeat),
            })
            .collect();
        reports.push(InstanceReport {
            region: self.shared.home.region,
            demands: self.demand_table.own_demands(),
        });
        self.demand_table.sum(&reports, now);
        for (key, pool) in snapshot.pools.iter() {
            let is_divided = pool.state.is_divided() && self.demand_table.is_settled(now);
            let division = is_divided.then(|| self.divide_pool(&snapshot, key, now));
            pool.state.division.store(division.flatten().map(Arc::new));
        }
    }

    /// Returns the demand that the next heartbeat reports.
    pub(crate) fn demand_reports(&self) -> Vec<DemandReport> {
        let encode = |demand: PoolDemand| {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let slots_milli = (demand.slots * 1_000.0) as u32;
            DemandReport {
                pool: demand.pool,
                regions: demand.regions.bits(),
                slots_milli,
            }
        };
        let demands = self.demand_table.own_demands();
        demands.into_iter().map(encode).collect()
    }

    fn divide_pool(
        &mut self,
        snapshot: &EntrySnapshot,
        key: PoolKey,
        now: MonotonicTime,
    ) -> Option<PoolDivision> {
        let hash = pool_hash(snapshot, key);
        let present = region_rooms(&self.shared, snapshot, key, now);
        let rooms = self.demand_table.average_rooms(hash, &present, now);
        let demands = self.demand_table.demands(hash);
        let sizes = region_sizes(&self.shared.topology, &rooms);
        let division = divide_demand(self.shared.home.region, &demands, &sizes)?;
        let sum = |demands: &Vec<PoolDemand>| demands.iter().map(|demand| demand.slots).sum();
        Some(PoolDivision {
            division,
            demands: demands.iter().map(|(_, demands)| sum(demands)).collect(),
            rooms,
        })
    }
}

/// Returns the rooms with the numbers of failure domains.
fn region_sizes(
    topology: &FleetTopology,
    rooms: &Arena<RegionKey, f64>,
) -> Arena<RegionKey, RegionSize> {
    let mut sizes: Arena<RegionKey, RegionSize> = rooms
        .iter()
        .map(|(_, room)| RegionSize {
            slots: *room,
            domains: 0,
        })
        .collect();
    for (_, domain) in topology.domains.iter() {
        sizes[domain.region].domains += 1;
    }
    sizes
}

fn pool_hash(snapshot: &EntrySnapshot, key: PoolKey) -> u32 {
    short_hash(stable_hash(snapshot.plan.pools[key].name.as_bytes()))
}

fn reported_demands(heartbeat: &FleetHeartbeat) -> Vec<PoolDemand> {
    let decode = |report: &DemandReport| PoolDemand {
        pool: report.pool,
        regions: RegionSet::from_bits(report.regions),
        slots: f64::from(report.slots_milli) / 1_000.0,
    };
    heartbeat.demands.iter().map(decode).collect()
}

/// Returns the room of a pool's upstreams by region.
fn region_rooms(
    shared: &SharedState,
    snapshot: &EntrySnapshot,
    key: PoolKey,
    now: MonotonicTime,
) -> Arena<RegionKey, RegionRoom> {
    let pool = &snapshot.pools[key];
    let regions = shared.topology.regions.keys();
    let mut rooms: Arena<RegionKey, RegionRoom> = regions.map(|_| RegionRoom::default()).collect();
    for upstream in &pool.upstreams {
        let state = &snapshot.upstreams[*upstream].state;
        let room = &mut rooms[state.info.region];
        if state.can_run(now) {
            room.slots += state.info.slots;
            room.present += present_room(pool, state, now);
        } else if state.is_usable() && !state.is_unreachable() && state.is_in_cold_start(now) {
            room.cold += cold_room(pool, state, snapshot.plan.pools[key].cold_per_s);
        }
    }
    rooms
}

/// Returns the slots of an upstream at its usual speed that do as much work as it does now.
fn present_room(pool: &ListedPool, state: &UpstreamState, now: MonotonicTime) -> f64 {
    let slots = match pool.state.slot_time.get() {
        Some(slot_time) => state.effective_slots(slot_time, now),
        None => f64::from(state.info.slots),
    };
    let load = state.load(now);
    slots / (load.slowness * load.cost_factor)
}

/// Returns the slots of a cold upstream that its start rate keeps busy.
fn cold_room(pool: &ListedPool, state: &UpstreamState, cold_per_s: f64) -> f64 {
    let slot_time = pool.state.slot_time.get().unwrap_or_default();
    f64::from(state.info.slots).min(cold_per_s * slot_time.as_secs_f64())
}
