//! Builds the snapshot of a configuration generation from the configuration and the state that is retained across
//! generations.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    HealthEvaluator, LinkRegistry, LoanLedger, OldShareUse, RampPolicy, RateHandle, ShiftRegistry,
    TierTable, UpstreamHandle,
};
use coltsfootkeel_model::{ConfigVersion, FleetConfig, PoolKey, SeatKey};
use coltsfootkeel_protocol::LimitKind;

use crate::fleet_snapshot::{FleetSnapshot, InstanceLocation, UpstreamState};
use crate::key_withdrawal::WithdrawalTable;
use crate::limit_registry::{LimitName, LimitRegistry};
use crate::share_table::{ShareChange, ShareTable, seat_locations};
use crate::slot_queue::SlotQueue;
use coltsfootkeel_transport::UpstreamClient;

/// Counters, limits and connections by name, which are retained across configuration generations. Owned by the control
/// thread.
#[derive(Debug)]
pub struct SnapshotBuilder {
    /// The limits, with the shares and loans of this instance.
    pub ledger: LoanLedger,
    /// The keys of the limits in the ledger, by name.
    pub limits: LimitRegistry,
    /// The shares of this instance's seat and their transitions.
    pub shares: ShareTable,
    /// Evaluates the health of upstreams from probes, load reports and the outcomes of requests.
    pub health_evaluator: HealthEvaluator,
    /// The counters of shifts.
    pub shifts: ShiftRegistry,
    /// The token buckets of links between regions.
    pub links: LinkRegistry,
    withdrawals: WithdrawalTable,
    upstream_clients: HashMap<SocketAddr, Arc<UpstreamClient>>,
    slot_queues: HashMap<String, Arc<SlotQueue>>,
}

impl SnapshotBuilder {
    /// Creates a builder without limits, connections or queues.
    #[must_use]
    pub fn new(ledger: LoanLedger) -> Self {
        Self {
            ledger,
            limits: LimitRegistry::default(),
            shares: ShareTable::default(),
            health_evaluator: HealthEvaluator::new(RampPolicy::LINEAR),
            shifts: ShiftRegistry::new(),
            links: LinkRegistry::new(),
            withdrawals: WithdrawalTable::default(),
            upstream_clients: HashMap::new(),
            slot_queues: HashMap::new(),
        }
    }

    /// Builds the snapshot of a generation and sets the shares of `seat` in it. Access keys of the `previous`
    /// configuration that are not in `config` are withdrawn.
    pub fn build(
        &mut self,
        config: Arc<FleetConfig>,
        version: ConfigVersion,
        location: InstanceLocation,
        seat: Option<SeatKey>,
        previous: Option<&FleetConfig>,
        now: MonotonicTime,
    ) -> FleetSnapshot {
        self.set_shares(&config, seat, share_change(previous, &config), now);
        self.withdrawals = self.withdrawals.advance(previous, &config);
        self.update_clients(&config);
        let accounts = config
            .accounts
            .iter()
            .map(|(_, account)| self.rate_handle(LimitKind::AccountRate, &account.name, now))
            .collect();
        let health = self.health_evaluator.apply(&config, now);
        let mut upstream_handles = coltsfootkeel_model::Arena::new();
        let mut upstream_states = coltsfootkeel_model::Arena::new();
        for (key, upstream) in config.upstreams.iter() {
            let name = LimitName::new(LimitKind::UpstreamSlots, &upstream.name);
            let limit = self.limits.slot_limit(name, &mut self.ledger, now);
            let handle = self.ledger.slot_handle(limit);
            upstream_handles.push(UpstreamHandle {
                slots: handle.counter,
                health: Arc::clone(&health[key]),
            });
            upstream_states.push(UpstreamState {
                client: Arc::clone(&self.upstream_clients[&upstream.address]),
                shortages: handle.shortages,
            });
        }
        let buckets: Vec<RateHandle> = config
            .shifts
            .iter()
            .map(|(_, shift)| self.rate_handle(LimitKind::ShiftRate, &shift.name, now))
            .collect();
        let bucket_of =
            |shift| Arc::clone(&buckets[coltsfootkeel_model::ArenaKey::index(shift)].bucket);
        let shifts = self.shifts.apply(&config, version.generation, bucket_of);
        let links = self
            .links
            .apply(&config, location.region, usize::from(seat.is_some()), now);
        FleetSnapshot {
            location,
            accounts,
            upstream_handles,
            upstream_states,
            slot_queues: self.pool_queues(&config),
            tiers: TierTable::build(&config, location.domain),
            shifts,
            links,
            withdrawals: self.withdrawals.clone(),
            config,
        }
    }

    /// Changes the shares after a seat was claimed or lost. `seat` is the seat that is held now, if any.
    pub fn apply_seat(
        &mut self,
        config: &FleetConfig,
        location: InstanceLocation,
        seat: Option<SeatKey>,
        now: MonotonicTime,
    ) {
        self.set_shares(config, seat, ShareChange::Immediate, now);
        // The published snapshot shares the buckets of the links, so the returned meter is not needed.
        let _ = self
            .links
            .apply(config, location.region, usize::from(seat.is_some()), now);
    }

    fn set_shares(
        &mut self,
        config: &FleetConfig,
        seat: Option<SeatKey>,
        change: ShareChange,
        now: MonotonicTime,
    ) {
        let shares = self.limits.seat_shares(config, seat, &mut self.ledger, now);
        for (_, upstream) in config.upstreams.iter() {
            let name = LimitName::new(LimitKind::UpstreamSlots, &upstream.name);
            let key = self.limits.slot_limit(name, &mut self.ledger, now);
            self.ledger
                .set_slot_deadline(key, pool_deadline(config, upstream.pool));
        }
        self.shares
            .set(shares, change, longest_deadline(config), &mut self.ledger);
    }

    /// Advances the transitions of shares by the use of old shares at the other seats.
    pub fn advance_shares(&mut self, share_use: OldShareUse, now: MonotonicTime) {
        self.shares.advance(share_use, &mut self.ledger, now);
    }

    fn rate_handle(&mut self, kind: LimitKind, name: &str, now: MonotonicTime) -> RateHandle {
        let key = self
            .limits
            .rate_limit(LimitName::new(kind, name), &mut self.ledger, now);
        self.ledger.rate_handle(key)
    }

    fn pool_queues(
        &mut self,
        config: &FleetConfig,
    ) -> coltsfootkeel_model::Arena<PoolKey, Arc<SlotQueue>> {
        let mut slot_queues = HashMap::new();
        let mut arena = coltsfootkeel_model::Arena::new();
        for (_, pool) in config.pools.iter() {
            let queue = self.slot_queues.remove(&pool.name).unwrap_or_default();
            arena.push(Arc::clone(&queue));
            slot_queues.insert(pool.name.clone(), queue);
        }
        self.slot_queues = slot_queues;
        arena
    }

    /// Adds clients for new upstream addresses, and closes the idle connections of those that are no longer configured.
    fn update_clients(&mut self, config: &FleetConfig) {
        let mut previous = std::mem::take(&mut self.upstream_clients);
        for (_, upstream) in config.upstreams.iter() {
            let client = previous.remove(&upstream.address).unwrap_or_else(|| {
                Arc::new(UpstreamClient::new(
                    upstream.address,
                    upstream.slots as usize,
                ))
            });
            self.upstream_clients.insert(upstream.address, client);
        }
        for client in previous.values() {
            client.close_idle();
        }
    }
}

/// Returns how shares change from `previous` to `config`. Without a previous configuration this instance has just
/// started, and its shares apply immediately: the seat had no holder, or it stays unused for the grace period after the
/// claim.
fn share_change(previous: Option<&FleetConfig>, config: &FleetConfig) -> ShareChange {
    match previous {
        Some(previous) if seat_locations(previous) != seat_locations(config) => {
            ShareChange::SeatListChanged
        }
        _ => ShareChange::Immediate,
    }
}

/// Returns the longest deadline of all routes; zero without routes.
pub fn longest_deadline(config: &FleetConfig) -> Duration {
    let pools = config.pools.keys();
    pools
        .map(|pool| pool_deadline(config, pool))
        .max()
        .unwrap_or_default()
}

/// Returns the longest deadline of the routes that use a pool; zero if none does.
fn pool_deadline(config: &FleetConfig, pool: PoolKey) -> Duration {
    let routes = config.routes.iter().filter(|(_, route)| route.pool == pool);
    routes
        .map(|(_, route)| route.deadline)
        .max()
        .unwrap_or_default()
}
