//! Builds the snapshots for request threads from a plan, the upstreams and state that is kept across plans.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, PoolKey, RegionKey, RouteKey};
use coltsfootkeel_steering::{RegionSpread, RetryBudget, ServiceTimes, SteeringPlan, stable_hash};

use crate::account_quotas::AccountQuotas;
use crate::entry_snapshot::{EntrySnapshot, ListedPool, PoolSpread, PoolState, PoolSwitches};
use crate::upstream_registry::UpstreamRegistry;

/// The state of pools and routes that is kept from one snapshot to the next.
#[derive(Debug)]
pub struct SnapshotBuilder {
    home_region: RegionKey,
    switches: PoolSwitches,
    /// When the retry budgets of this process receive their shares of the slack.
    retries_full_from: MonotonicTime,
    /// Hashes of the names of the regions, the same at all instances.
    region_hashes: Arena<RegionKey, u64>,
    pools: HashMap<String, PoolState>,
    /// Response times by path prefix, which identifies a route that is renamed.
    service_times: HashMap<String, Arc<ServiceTimes>>,
    /// Spreads by path prefix and name of the pool.
    spreads: HashMap<(String, String), Arc<RegionSpread>>,
}

impl SnapshotBuilder {
    /// Creates a builder without state for an instance in the region `home_region`; `region_names` holds the names of all
    /// regions. Retry budgets receive their shares of the slack at `retries_full_from`, and `switches` are what
    /// the settings ask for in all pools.
    #[must_use]
    pub fn new(
        home_region: RegionKey,
        region_names: &Arena<RegionKey, String>,
        retries_full_from: MonotonicTime,
        switches: PoolSwitches,
    ) -> Self {
        Self {
            home_region,
            switches,
            retries_full_from,
            region_hashes: region_names
                .iter()
                .map(|(_, name)| stable_hash(name.as_bytes()))
                .collect(),
            pools: HashMap::new(),
            service_times: HashMap::new(),
            spreads: HashMap::new(),
        }
    }

    fn new_service_times(&self) -> Arc<ServiceTimes> {
        Arc::new(ServiceTimes::new(
            self.home_region,
            self.region_hashes.len(),
        ))
    }

    /// Builds a snapshot. The state of pools and routes that the plan no longer contains is dropped.
    pub fn build(
        &mut self,
        plan: &Arc<SteeringPlan>,
        registry: &UpstreamRegistry,
        quotas: &mut AccountQuotas,
        now: MonotonicTime,
    ) -> EntrySnapshot {
        let mut upstreams = Arena::new();
        let mut upstreams_by_pool: HashMap<&str, Vec<_>> = HashMap::new();
        for upstream in registry.iter() {
            let key = upstreams.push(upstream.listed.clone());
            upstreams_by_pool
                .entry(&upstream.record.pool)
                .or_default()
                .push(key);
        }
        let mut pool_states = HashMap::new();
        let mut pools: Arena<PoolKey, ListedPool> = Arena::new();
        for (_, pool) in plan.pools.iter() {
            let existing = self.pools.remove(&pool.name);
            let state = existing.unwrap_or_else(|| PoolState {
                retry_budget: Arc::new(RetryBudget::new(self.retries_full_from)),
                switches: self.switches,
                ..PoolState::default()
            });
            pool_states.insert(pool.name.clone(), state.clone());
            pools.push(ListedPool {
                upstreams: upstreams_by_pool
                    .remove(pool.name.as_str())
                    .unwrap_or_default(),
                state,
            });
        }
        self.pools = pool_states;
        let mut times_by_prefix: HashMap<String, Arc<ServiceTimes>> = HashMap::new();
        let mut service_times = Arena::new();
        for (_, route) in plan.routes.iter() {
            let existing = self.service_times.get(&route.path_prefix);
            let entry = times_by_prefix
                .entry(route.path_prefix.clone())
                .or_insert_with(|| {
                    existing
                        .cloned()
                        .unwrap_or_else(|| self.new_service_times())
                });
            service_times.push(Arc::clone(entry));
        }
        self.service_times = times_by_prefix;
        let accounts = plan.accounts.iter();
        EntrySnapshot {
            quotas: accounts
                .map(|(_, account)| quotas.budget(account, now))
                .collect(),
            plan: Arc::clone(plan),
            upstreams,
            pools,
            service_times,
            spreads: self.build_spreads(plan),
        }
    }

    /// Returns the spreads of the plan's routes. The state of those that the plan no longer contains is dropped.
    fn build_spreads(&mut self, plan: &SteeringPlan) -> Arena<RouteKey, Vec<PoolSpread>> {
        let mut spreads = HashMap::new();
        let mut spreads_by_route = Arena::new();
        for (_, route) in plan.routes.iter() {
            let pool_spreads = route.usable_pools().map(|pool| {
                let key = (route.path_prefix.clone(), plan.pools[pool].name.clone());
                let existing = self.spreads.get(&key);
                let new_spread = || Arc::new(RegionSpread::new(self.region_hashes.clone()));
                let spread = spreads
                    .entry(key)
                    .or_insert_with(|| existing.cloned().unwrap_or_else(new_spread));
                PoolSpread {
                    pool,
                    spread: Arc::clone(spread),
                }
            });
            spreads_by_route.push(pool_spreads.collect());
        }
        self.spreads = spreads;
        spreads_by_route
    }
}
