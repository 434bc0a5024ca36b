//! Builds the snapshot of a plan and of the upstreams from state that outlives both, by name.

use std::collections::HashMap;
use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, PoolKey, RegionKey};
use coltsfootkeel_steering::{ServiceTimes, SteeringPlan};

use crate::entry_snapshot::{EntrySnapshot, ListedPool, PoolState};
use crate::quota_book::QuotaBook;
use crate::upstream_registry::UpstreamRegistry;

/// State by name.
#[derive(Debug)]
pub struct SnapshotPublisher {
    home: RegionKey,
    regions: usize,
    pools: HashMap<String, PoolState>,
    /// By path prefix, which keeps its meaning when a route is renamed.
    times: HashMap<String, Arc<ServiceTimes>>,
}

impl SnapshotPublisher {
    /// Makes a publisher without state for an instance in the region `home`.
    #[must_use]
    pub fn new(home: RegionKey, regions: usize) -> Self {
        Self {
            home,
            regions,
            pools: HashMap::new(),
            times: HashMap::new(),
        }
    }

    fn new_times(&self) -> Arc<ServiceTimes> {
        Arc::new(ServiceTimes::new(self.home, self.regions))
    }

    /// Builds a snapshot. State of pools and routes that the plan no longer names is dropped.
    pub fn build(
        &mut self,
        plan: &Arc<SteeringPlan>,
        registry: &UpstreamRegistry,
        quotas: &mut QuotaBook,
        now: MonotonicTime,
    ) -> EntrySnapshot {
        let mut upstreams = Arena::new();
        let mut members: HashMap<&str, Vec<_>> = HashMap::new();
        for known in registry.iter() {
            let key = upstreams.push(known.listed.clone());
            members.entry(&known.record.pool).or_default().push(key);
        }
        let mut pool_states = HashMap::new();
        let mut pools: Arena<PoolKey, ListedPool> = Arena::new();
        for (_, pool) in plan.pools.iter() {
            let state = self.pools.remove(&pool.name).unwrap_or_default();
            pool_states.insert(pool.name.clone(), state.clone());
            pools.push(ListedPool {
                upstreams: members.remove(pool.name.as_str()).unwrap_or_default(),
                state,
            });
        }
        self.pools = pool_states;
        let mut times_by_prefix: HashMap<String, Arc<ServiceTimes>> = HashMap::new();
        let mut times = Arena::new();
        for (_, route) in plan.routes.iter() {
            let known = self.times.get(&route.path_prefix);
            let entry = times_by_prefix
                .entry(route.path_prefix.clone())
                .or_insert_with(|| known.cloned().unwrap_or_else(|| self.new_times()));
            times.push(Arc::clone(entry));
        }
        self.times = times_by_prefix;
        let accounts = plan.accounts.iter();
        EntrySnapshot {
            quotas: accounts
                .map(|(_, account)| quotas.gate(account, now))
                .collect(),
            plan: Arc::clone(plan),
            upstreams,
            pools,
            times,
        }
    }
}
