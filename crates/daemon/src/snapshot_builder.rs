//! Builds the snapshot of a generation from the configuration and the books that outlive generations.

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

use crate::access_watch::WatchTable;
use crate::fleet_snapshot::{FleetSnapshot, HomePlace, UpstreamState};
use crate::limit_book::{LimitBook, LimitName};
use crate::share_book::{ShareBook, ShareChange, seat_places};
use crate::slot_queue::SlotQueue;
use coltsfootkeel_transport::UpstreamClient;

/// State of request threads that must survive a change of the configuration, by name.
#[derive(Debug)]
pub struct SnapshotBuilder {
    /// The limits.
    pub ledger: LoanLedger,
    /// Their names.
    pub limits: LimitBook,
    /// The shares of this instance's seat.
    pub shares: ShareBook,
    /// The health of upstreams.
    pub judge: HealthEvaluator,
    /// The counts of shifts.
    pub shifts: ShiftRegistry,
    /// The links between regions.
    pub links: LinkRegistry,
    watches: WatchTable,
    upstream_links: HashMap<SocketAddr, Arc<UpstreamClient>>,
    waits: HashMap<String, Arc<SlotQueue>>,
}

impl SnapshotBuilder {
    /// Makes a builder without state.
    #[must_use]
    pub fn new(ledger: LoanLedger) -> Self {
        Self {
            ledger,
            limits: LimitBook::default(),
            shares: ShareBook::default(),
            judge: HealthEvaluator::new(RampPolicy::LINEAR),
            shifts: ShiftRegistry::new(),
            links: LinkRegistry::new(),
            watches: WatchTable::default(),
            upstream_links: HashMap::new(),
            waits: HashMap::new(),
        }
    }

    /// Builds the snapshot of a generation. Access keys that are gone are withdrawn.
    pub fn build(
        &mut self,
        config: Arc<FleetConfig>,
        version: ConfigVersion,
        home: HomePlace,
        seat: Option<SeatKey>,
        before: Option<&FleetConfig>,
        now: MonotonicTime,
    ) -> FleetSnapshot {
        self.set_shares(&config, seat, share_change(before, &config), now);
        self.watches = self.watches.advance(before, &config);
        self.keep_links(&config);
        let accounts = config
            .accounts
            .iter()
            .map(|(_, account)| self.rate_handle(LimitKind::AccountRate, &account.name, now))
            .collect();
        let health = self.judge.apply(&config, now);
        let mut lanes = coltsfootkeel_model::Arena::new();
        let mut upstreams = coltsfootkeel_model::Arena::new();
        for (key, upstream) in config.upstreams.iter() {
            let name = LimitName::new(LimitKind::UpstreamSlots, &upstream.name);
            let limit = self.limits.slots(name, &mut self.ledger, now);
            let handle = self.ledger.slot_handle(limit);
            lanes.push(UpstreamHandle {
                slots: handle.counter,
                health: Arc::clone(&health[key]),
            });
            upstreams.push(UpstreamState {
                link: Arc::clone(&self.upstream_links[&upstream.address]),
                short: handle.shortages,
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
            .apply(&config, home.region, usize::from(seat.is_some()), now);
        FleetSnapshot {
            home,
            accounts,
            lanes,
            upstreams,
            waits: self.pool_waits(&config),
            tiers: TierTable::build(&config, home.domain),
            shifts,
            links,
            watches: self.watches.clone(),
            config,
        }
    }

    /// Changes the shares after a seat was claimed or lost.
    pub fn use_seat(
        &mut self,
        config: &FleetConfig,
        home: HomePlace,
        seat: Option<SeatKey>,
        now: MonotonicTime,
    ) {
        self.set_shares(config, seat, ShareChange::AtOnce, now);
        // The buckets of the links are shared with the published snapshot, so the meter made here is not needed.
        let _ = self
            .links
            .apply(config, home.region, usize::from(seat.is_some()), now);
    }

    fn set_shares(
        &mut self,
        config: &FleetConfig,
        seat: Option<SeatKey>,
        change: ShareChange,
        now: MonotonicTime,
    ) {
        let shares = self.limits.shares(config, seat, &mut self.ledger, now);
        for (_, upstream) in config.upstreams.iter() {
            let name = LimitName::new(LimitKind::UpstreamSlots, &upstream.name);
            let key = self.limits.slots(name, &mut self.ledger, now);
            self.ledger
                .set_slot_deadline(key, pool_deadline(config, upstream.pool));
        }
        self.shares
            .set(shares, change, longest_deadline(config), &mut self.ledger);
    }

    /// Moves shares on that wait for the other seats.
    pub fn advance_shares(&mut self, evidence: OldShareUse, now: MonotonicTime) {
        self.shares.advance(evidence, &mut self.ledger, now);
    }

    fn rate_handle(&mut self, kind: LimitKind, name: &str, now: MonotonicTime) -> RateHandle {
        let key = self
            .limits
            .rate(LimitName::new(kind, name), &mut self.ledger, now);
        self.ledger.rate_handle(key)
    }

    fn pool_waits(
        &mut self,
        config: &FleetConfig,
    ) -> coltsfootkeel_model::Arena<PoolKey, Arc<SlotQueue>> {
        let mut waits = HashMap::new();
        let mut arena = coltsfootkeel_model::Arena::new();
        for (_, pool) in config.pools.iter() {
            let wait = self.waits.remove(&pool.name).unwrap_or_default();
            arena.push(Arc::clone(&wait));
            waits.insert(pool.name.clone(), wait);
        }
        self.waits = waits;
        arena
    }

    fn keep_links(&mut self, config: &FleetConfig) {
        let mut before = std::mem::take(&mut self.upstream_links);
        for (_, upstream) in config.upstreams.iter() {
            let link = before.remove(&upstream.address).unwrap_or_else(|| {
                Arc::new(UpstreamClient::new(
                    upstream.address,
                    upstream.slots as usize,
                ))
            });
            self.upstream_links.insert(upstream.address, link);
        }
        for link in before.values() {
            link.close_idle();
        }
    }
}

/// Tells whether the list of seats changed. Without a configuration before, this instance has just started: its seat was
/// nobody's, or rests by itself after the claim.
fn share_change(before: Option<&FleetConfig>, config: &FleetConfig) -> ShareChange {
    match before {
        Some(before) if seat_places(before) != seat_places(config) => ShareChange::SeatsMoved,
        _ => ShareChange::AtOnce,
    }
}

/// Returns the longest deadline of all routes.
pub fn longest_deadline(config: &FleetConfig) -> Duration {
    let pools = config.pools.keys();
    pools
        .map(|pool| pool_deadline(config, pool))
        .max()
        .unwrap_or_default()
}

/// Returns the longest deadline of the routes that use a pool.
fn pool_deadline(config: &FleetConfig, pool: PoolKey) -> Duration {
    let routes = config.routes.iter().filter(|(_, route)| route.pool == pool);
    routes
        .map(|(_, route)| route.deadline)
        .max()
        .unwrap_or_default()
}
