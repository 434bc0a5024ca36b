//! The state dump that `/state` serves.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, RegionKey, RouteKey};
use coltsfootkeel_steering::{RateLimit, UpstreamState};
use serde_json::{Value, json};

use crate::entry_snapshot::{EntrySnapshot, ListedUpstream};
use crate::shared_state::SharedState;

/// Returns the state of the process as JSON. Durations are in milliseconds.
#[must_use]
pub fn dump_state(shared: &Arc<SharedState>) -> Value {
    let snapshot = shared.snapshot.load();
    let plan_age = shared.freshness.age(shared.clock.now_with_suspension());
    let fleet = shared.fleet.load();
    let instances: Vec<Value> = fleet
        .instances
        .iter()
        .enumerate()
        .map(|(index, instance)| {
            let weights = fleet.weights.as_ref();
            json!({
                "address": instance.address,
                "open": instance.is_accepting,
                "in_flight": instance.room.usage.in_flight,
                "memory_used": instance.room.usage.memory_part,
                "processor_used": instance.room.usage.processor_part,
                "connections_used": instance.room.usage.connection_part,
                "size": weights.map(|weights| weights[index].size),
                "weight": weights.map(|weights| weights[index].weight),
            })
        })
        .collect();
    json!({
        "instance": shared.settings.instance,
        "incarnation": shared.incarnation,
        "leaving": shared.is_stopping(),
        "serves_keys": shared.allows_keys(),
        "store": {
            "era": shared.reader_role.era(),
            "settled": !shared.freshness.is_unsettled(),
        },
        "plan_age_ms": plan_age.as_millis(),
        "in_flight": shared.in_flight.load(Ordering::Acquire),
        "instances": instances,
        "cut_off": fleet.is_cut_off,
        "plan": snapshot.as_ref().map(|snapshot| dump_plan(shared, snapshot)),
    })
}

fn dump_plan(shared: &SharedState, snapshot: &EntrySnapshot) -> Value {
    let plan = &snapshot.plan;
    let upstreams: Vec<Value> = snapshot
        .upstreams
        .iter()
        .map(|(_, listed)| dump_upstream(shared, listed))
        .collect();
    let routes: Vec<Value> = plan
        .routes
        .iter()
        .map(|(key, route)| {
            let home = shared.home.region;
            let round_trip = shared.round_trip(home);
            let times = snapshot.service_times[key].estimate(home, round_trip, route.objective);
            json!({
                "name": route.name,
                "spreads": dump_spreads(shared, snapshot, key),
                "warm_ms": times.warm.as_millis(),
                "cold_ms": times.cold.as_millis(),
            })
        })
        .collect();
    let findings: Vec<Value> = plan
        .findings
        .iter()
        .map(|finding| json!({"place": finding.field, "fault": finding.expected}))
        .collect();
    json!({
        "version": plan.version,
        "unreadable": findings,
        "pools_stating_cost": pools_stating_cost(snapshot),
        "accounts": dump_accounts(snapshot),
        "queues": dump_queues(shared, snapshot),
        "divisions": dump_divisions(shared, snapshot),
        "routes": routes,
        "upstreams": upstreams,
    })
}

/// Returns the names of the pools whose upstreams state the present cost of work on their machines.
fn pools_stating_cost(snapshot: &EntrySnapshot) -> Vec<&str> {
    let pools = snapshot.pools.iter();
    pools
        .filter(|(_, pool)| pool.state.states_cost.load(Ordering::Relaxed))
        .map(|(key, _)| snapshot.plan.pools[key].name.as_str())
        .collect()
}

/// Returns the requests that were charged to each account with a rate limit, without those that were refunded.
fn dump_accounts(snapshot: &EntrySnapshot) -> Value {
    let accounts = snapshot.plan.accounts.iter();
    let charged = accounts.filter_map(|(key, account)| {
        let budget = snapshot.quotas[key].as_ref()?;
        let charges = budget.admitted();
        (charges > 0).then(|| (account.name.clone(), json!({"charged": charges})))
    });
    Value::Object(charged.collect())
}

/// The largest number of upstreams by which the dump lists waiting requests.
const LISTED_UPSTREAMS: usize = 16;

/// Returns what waits in the fair queue of each pool, here and at the other instances.
fn dump_queues(shared: &SharedState, snapshot: &EntrySnapshot) -> Value {
    let now = shared.clock.now();
    let pools = snapshot.pools.iter().map(|(key, pool)| {
        let summary = pool.state.fair_queue.summary(now);
        let others = pool.state.others.load();
        let queue = json!({
            "waiting_by_rank": summary.waiting,
            "waiting_by_upstream": summary.competing.heaviest(LISTED_UPSTREAMS),
            "oldest_wait_ms": summary.oldest_wait.as_millis(),
            "completed_per_s": pool.state.completions.per_s(),
            "waiting_elsewhere": others.waiting,
            "completed_elsewhere_per_s": others.completed_per_s,
        });
        (snapshot.plan.pools[key].name.clone(), queue)
    });
    Value::Object(pools.collect())
}

/// Returns the demand and room in slots by region of the pools that are divided by demand.
fn dump_divisions(shared: &SharedState, snapshot: &EntrySnapshot) -> Value {
    let mut dump = serde_json::Map::new();
    for (key, pool) in snapshot.pools.iter() {
        let Some(latest) = pool.state.division.load_full() else {
            continue;
        };
        let by_region = |values: &Arena<RegionKey, f64>| {
            let regions = shared.topology.regions.iter();
            let values = regions.map(|(region, name)| (name.clone(), json!(values[region])));
            Value::Object(values.collect())
        };
        let division = json!({
            "level": latest.division.level,
            "target": by_region(&latest.division.shares),
            "demand_slots": by_region(&latest.demands),
            "room_slots": by_region(&latest.rooms),
        });
        dump.insert(snapshot.plan.pools[key].name.clone(), division);
    }
    Value::Object(dump)
}

/// Returns the shares of a route's requests by pool and region.
fn dump_spreads(shared: &SharedState, snapshot: &EntrySnapshot, route: RouteKey) -> Value {
    let pool_spreads = snapshot.spreads[route].iter();
    let pools = pool_spreads.map(|pool_spread| {
        let fractions = pool_spread.spread.shares();
        let regions = shared.topology.regions.iter();
        let regions = regions.map(|(region, name)| (name.clone(), json!(fractions[region])));
        let pool = &snapshot.plan.pools[pool_spread.pool].name;
        (pool.clone(), Value::Object(regions.collect()))
    });
    Value::Object(pools.collect())
}

/// Returns the newest load report of an upstream, and what it counts for.
fn dump_stated_load(state: &UpstreamState, now: MonotonicTime) -> Value {
    let Some(timed) = state.reported_load.newest() else {
        return Value::Null;
    };
    let stated = state.stated_load(now);
    json!({
        "running": timed.report.running,
        "waiting": timed.report.waiting,
        "cost_percent": timed.report.cost_percent,
        "age_ms": now.since(timed.stated_at).as_millis(),
        "distrusted": state.reported_load.is_distrusted(),
        "in_flight": stated.map(|load| load.in_flight),
        "cost_factor": stated.map(|load| load.cost_factor),
    })
}

/// Returns the state of an upstream, which shows why it is used or avoided.
fn dump_upstream(shared: &SharedState, listed: &ListedUpstream) -> Value {
    let now = shared.clock.now();
    let state = &listed.state;
    json!({
        "id": state.info.id,
        "address": listed.address,
        "domain": shared.topology.domains[state.info.domain].name,
        "slots": state.info.slots,
        "in_flight": state.in_flight(),
        "usable": listed.state.is_usable(),
        "avoided": state.is_avoided(now),
        "lost": state.is_unreachable(),
        "other_upstream": state.is_address_reused(),
        "cold": state.is_in_cold_start(now),
        "limit_per_s": state.rate_limit.limit(now).map(RateLimit::per_second),
        "slowness": state.slowness(now),
        "stated_load": dump_stated_load(state, now),
    })
}
