//! Builds the snapshots for request threads from a plan, the upstreams and state that is kept across plans.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, PoolKey, RegionKey};
use coltsfootkeel_steering::{ServiceTimes, SteeringPlan};

use crate::account_quotas::AccountQuotas;
use crate::entry_snapshot::{EntrySnapshot, ListedPool, PoolState};
use crate::upstream_registry::UpstreamRegistry;

/// The state of pools and routes that is kept from one snapshot to the next.
#[derive(Debug)]
pub struct SnapshotBuilder {
    home_region: RegionKey,
    region_count: usize,
    pools: HashMap<String, PoolState>,
    /// Response times by path prefix, which identifies a route that is renamed.
    service_times: HashMap<String, Arc<ServiceTimes>>,
}

impl SnapshotBuilder {
    /// Creates a builder without state for an instance in the region `home_region`.
    #[must_use]
    pub fn new(home_region: RegionKey, region_count: usize) -> Self {
        Self {
            home_region,
            region_count,
            pools: HashMap::new(),
            service_times: HashMap::new(),
        }
    }

    fn new_service_times(&self) -> Arc<ServiceTimes> {
        Arc::new(ServiceTimes::new(self.home_region, self.region_count))
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
            let state = self.pools.remove(&pool.name).unwrap_or_default();
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
        }
    }
}
