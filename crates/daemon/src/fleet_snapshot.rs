//! The configuration in force and the counters that belong to it, as published to request threads.

use std::sync::Arc;

use coltsfootkeel_decisions::{
    LinkMeter, RateHandle, ShiftTable, ShortageCounter, TierTable, UpstreamHandle,
};
use coltsfootkeel_model::{
    AccountKey, Arena, DomainKey, FleetConfig, PoolKey, RegionKey, UpstreamKey,
};

use crate::key_withdrawal::WithdrawalTable;
use crate::slot_queue::SlotQueue;
use coltsfootkeel_transport::UpstreamClient;

/// The failure domain and the region of this instance, as keys of one configuration generation.
#[derive(Debug, Clone, Copy)]
pub struct InstanceLocation {
    /// The failure domain that the settings name.
    pub domain: DomainKey,
    /// The region of that failure domain.
    pub region: RegionKey,
}

/// State of one upstream that requests use in addition to its [`UpstreamHandle`].
#[derive(Debug)]
pub struct UpstreamState {
    /// The client with the pooled connections.
    pub client: Arc<UpstreamClient>,
    /// Counts requests that found no free slot.
    pub shortages: Arc<ShortageCounter>,
}

/// The configuration in force with its counters. The structure is immutable: the control thread publishes a new
/// snapshot for each generation.
#[derive(Debug)]
pub struct FleetSnapshot {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// The failure domain and the region of this instance.
    pub location: InstanceLocation,
    /// The rate limits of the client accounts.
    pub accounts: Arena<AccountKey, RateHandle>,
    /// Slots and health of the upstreams.
    pub upstream_handles: Arena<UpstreamKey, UpstreamHandle>,
    /// Connections and shortage counters of the upstreams.
    pub upstream_states: Arena<UpstreamKey, UpstreamState>,
    /// The queues of requests that wait for a slot, by pool.
    pub slot_queues: Arena<PoolKey, Arc<SlotQueue>>,
    /// The tiers of each pool, in the order in which upstreams are considered.
    pub tiers: TierTable,
    /// The shifts and their counters.
    pub shifts: ShiftTable,
    /// The token buckets of the links between regions.
    pub links: LinkMeter,
    /// The withdrawal flags of the access keys.
    pub withdrawals: WithdrawalTable,
}
