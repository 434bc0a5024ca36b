//! The configuration in force together with the counters that request threads use.

use std::sync::Arc;

use coltsfootkeel_decisions::{
    LinkMeter, RateHandle, ShiftTable, ShortageCounter, TierTable, UpstreamHandle,
};
use coltsfootkeel_model::{
    AccountKey, Arena, DomainKey, FleetConfig, PoolKey, RegionKey, UpstreamKey,
};

use crate::access_watch::WatchTable;
use crate::slot_queue::SlotQueue;
use coltsfootkeel_transport::UpstreamClient;

/// Where this instance stands.
#[derive(Debug, Clone, Copy)]
pub struct HomePlace {
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its region.
    pub region: RegionKey,
}

/// What request threads use of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// The connections.
    pub link: Arc<UpstreamClient>,
    /// To be incremented by a request that found no slot.
    pub short: Arc<ShortageCounter>,
}

/// The configuration in force. A snapshot does not change; the control thread publishes the next one.
#[derive(Debug)]
pub struct FleetSnapshot {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// Where this instance stands.
    pub home: HomePlace,
    /// The rate limits of the accounts.
    pub accounts: Arena<AccountKey, RateHandle>,
    /// Slots and health of the upstreams.
    pub lanes: Arena<UpstreamKey, UpstreamHandle>,
    /// Connections of the upstreams.
    pub upstreams: Arena<UpstreamKey, UpstreamState>,
    /// Requests that wait for a slot, by pool.
    pub waits: Arena<PoolKey, Arc<SlotQueue>>,
    /// The order in which upstreams are considered.
    pub tiers: TierTable,
    /// Shifts.
    pub shifts: ShiftTable,
    /// Links between regions.
    pub links: LinkMeter,
    /// Access keys and whether they were withdrawn.
    pub watches: WatchTable,
}
