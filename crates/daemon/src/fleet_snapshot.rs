//! The configuration in force together with the counters that request threads use.

use std::sync::Arc;

use coltsfootkeel_decisions::{
    LinkMeter, RateHandle, ShiftTable, ShortageCounter, TierTable, UpstreamHandle,
};
use coltsfootkeel_model::{
    AccountKey, Arena, DomainKey, FleetConfig, PoolKey, RegionKey, UpstreamKey,
};

use crate::key_withdrawal::WithdrawalTable;
use crate::slot_wait::SlotWait;
use coltsfootkeel_transport::UpstreamClient;

/// Where this instance stands.
#[derive(Debug, Clone, Copy)]
pub struct InstanceLocation {
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its region.
    pub region: RegionKey,
}

/// What request threads use of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// The connections.
    pub client: Arc<UpstreamClient>,
    /// To be incremented by a request that found no slot.
    pub shortages: Arc<ShortageCounter>,
}

/// The configuration in force. A snapshot does not change; the control thread publishes the next one.
#[derive(Debug)]
pub struct FleetSnapshot {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// Where this instance stands.
    pub location: InstanceLocation,
    /// The rate limits of the accounts.
    pub accounts: Arena<AccountKey, RateHandle>,
    /// Slots and health of the upstreams.
    pub upstream_handles: Arena<UpstreamKey, UpstreamHandle>,
    /// Connections of the upstreams.
    pub upstream_states: Arena<UpstreamKey, UpstreamState>,
    /// Requests that wait for a slot, by pool.
    pub slot_queues: Arena<PoolKey, Arc<SlotWait>>,
    /// The order in which upstreams are considered.
    pub tiers: TierTable,
    /// Shifts.
    pub shifts: ShiftTable,
    /// Links between regions.
    pub links: LinkMeter,
    /// Access keys and whether they were withdrawn.
    pub withdrawals: WithdrawalTable,
}
