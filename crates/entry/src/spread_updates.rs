//! Updates the spreads of all routes over the regions.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, PoolKey, RegionKey, RouteKey};
use coltsfootkeel_steering::{RegionLoad, SpreadInput, UpstreamState};

use crate::control_loop::ControlLoop;
use crate::entry_snapshot::{EntrySnapshot, ListedPool, PoolSpread};
use crate::shared_state::SharedState;
use crate::upstream_candidates::AVOIDED_LIMIT_DIVISOR;

/// Change of the own region's share since the last log line about it, above which another one is written. It bounds the
/// lines while a share moves.
const LOGGED_SHARE_CHANGE: f64 = 0.1;

impl ControlLoop {
    /// Moves the spread of each route and pool towards its target.
    pub(crate) fn update_spreads(&mut self, now: MonotonicTime) {
        let snapshot = self.shared.snapshot.load_full();
        let Some(snapshot) = snapshot else {
            return;
        };
        let pools = snapshot.pools.iter();
        let loads: Arena<PoolKey, _> = pools
            .map(|(_, pool)| region_loads(&self.shared, &snapshot, pool, now))
            .collect();
        for (route, pool_spreads) in snapshot.spreads.iter() {
            let warm_times = warm_times(&self.shared, &snapshot, route);
            let route_plan = &snapshot.plan.routes[route];
            for pool_spread in pool_spreads {
                let division = snapshot.pools[pool_spread.pool].state.division.load_full();
                let input = SpreadInput {
                    local_region: self.shared.home.region,
                    has_large_bodies: route_plan.has_large_bodies(),
                    objective: route_plan.objective,
                    loads: &loads[pool_spread.pool],
                    warm_times: &warm_times,
                    division: division.as_ref().map(|latest| &latest.division),
                };
                pool_spread.spread.update(&input, now);
                self.log_share(&snapshot, route, pool_spread, &input);
            }
        }
    }

    /// Writes a log line with the inputs of a spread if the own region's share has changed.
    fn log_share(
        &mut self,
        snapshot: &EntrySnapshot,
        route: RouteKey,
        pool_spread: &PoolSpread,
        input: &SpreadInput,
    ) {
        let share = pool_spread.spread.shares()[input.local_region];
        let route = snapshot.plan.routes[route].name.as_str();
        let pool = snapshot.plan.pools[pool_spread.pool].name.as_str();
        let logged = self
            .logged_shares
            .entry((route.to_string(), pool.to_string()))
            .or_insert(share);
        if (share - *logged).abs() < LOGGED_SHARE_CHANGE {
            return;
        }
        let previous = std::mem::replace(logged, share);
        let load = input.loads[input.local_region];
        log::info!(
            route, pool, share, previous,
            in_flight = load.in_flight,
            slots = load.slots,
            level = input.division.map_or(0.0, |division| division.level),
            warm_ms:? = input.warm_times.iter().map(|(_, time)| time.as_millis()).collect::<Vec<_>>();
            "spread: The own region's share of a route changed."
        );
    }
}

/// Returns the slots and requests in flight of a pool's upstreams that can run requests, by region.
fn region_loads(
    shared: &SharedState,
    snapshot: &EntrySnapshot,
    pool: &ListedPool,
    now: MonotonicTime,
) -> Arena<RegionKey, RegionLoad> {
    let listed = pool
        .upstreams
        .iter()
        .map(|key| &snapshot.upstreams[*key].state);
    let reachable: Vec<&UpstreamState> = listed
        .map(AsRef::as_ref)
        .filter(|state| state.can_run(now))
        .collect();
    let is_avoided = |state: &&&UpstreamState| state.is_avoided(now);
    let avoided = reachable.iter().filter(is_avoided).count();
    let is_avoidance_suspended = avoided * AVOIDED_LIMIT_DIVISOR > reachable.len();
    let mut loads: Arena<RegionKey, RegionLoad> = shared
        .topology
        .regions
        .keys()
        .map(|_| RegionLoad::default())
        .collect();
    for (_, domain) in shared.topology.domains.iter() {
        loads[domain.region].domains += 1;
    }
    for state in reachable {
        if is_avoidance_suspended || !state.is_avoided(now) {
            let load = &mut loads[state.info.region];
            load.slots += effective_slots(pool, state, now);
            load.in_flight += state.in_flight();
        }
    }
    loads
}

/// Returns the slots of an upstream, or those that its rate limit keeps busy.
fn effective_slots(pool: &ListedPool, state: &UpstreamState, now: MonotonicTime) -> u32 {
    let Some(slot_time) = pool.state.slot_time.get() else {
        return state.info.slots;
    };
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let slots = state.effective_slots(slot_time, now).round() as u32;
    slots.max(1)
}

/// Returns the expected time of a warm answer for a route in each region.
fn warm_times(
    shared: &SharedState,
    snapshot: &EntrySnapshot,
    route: RouteKey,
) -> Arena<RegionKey, std::time::Duration> {
    let route_plan = &snapshot.plan.routes[route];
    let initial_estimate = route_plan.objective.min(route_plan.timeout / 2);
    let warm_time = |region: RegionKey| {
        let round_trip = shared.round_trip(region);
        let times = snapshot.service_times[route].estimate(region, round_trip, initial_estimate);
        times.warm
    };
    shared.topology.regions.keys().map(warm_time).collect()
}
