//! Selects the upstream for a request and reserves a slot there.
//!
//! An upstream is warm for an object that it is expected to have cached, because it handled the object within the
//! retention time of the affinity table and few others since. It answers requests for that object in a fraction of the
//! time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{RegionKey, UpstreamKey};
use coltsfootkeel_steering::{
    LoadView, PlacementDecision, PlacementReason, PlacementRequest, RecentUpstreams, RegionSet,
    UpstreamCandidate, UpstreamState, cold_send_interval, combine_hashes, short_hash,
};

use crate::entry_snapshot::{ListedUpstream, PoolState, QueueSignal};
use crate::limit_delays::count_limited_demand;
use crate::request_context::RequestContext;
use crate::shared_state::PlacementReport;

/// A slot at an upstream that is reserved for one request. Dropping it frees the slot and wakes queued requests of the
/// pool.
#[derive(Debug)]
pub struct SlotReservation {
    /// The key of the upstream in the snapshot of the request.
    pub key: UpstreamKey,
    /// The expected times at the upstream, and whether it is warm for the object.
    pub decision: PlacementDecision<UpstreamKey>,
    /// The number of other objects that the upstream handled after it last handled this one; `None` if it is not among
    /// the recent upstreams of the object in the affinity table.
    pub reuse_distance: Option<usize>,
    /// When the slot was reserved.
    pub reserved_at: MonotonicTime,
    /// The load that the upstream had stated when the slot was reserved; `None` without a valid report.
    pub stated_load: Option<LoadView>,
    /// The load that was observed when the slot was reserved.
    pub observed_load: LoadView,
    /// Whether the request is hedged: sent a second time to the same upstream.
    is_hedged: AtomicBool,
    state: Arc<UpstreamState>,
    pool: PoolState,
}

/// The number of queued requests that are woken when a slot is released. The first one may need another upstream that
/// has no free slot yet.
const WOKEN_PER_RELEASE: usize = 2;

impl SlotReservation {
    fn new(
        context: &RequestContext,
        decision: PlacementDecision<UpstreamKey>,
        reuse_distance: Option<usize>,
    ) -> Self {
        let state = Arc::clone(&context.snapshot.upstreams[decision.key].state);
        let now = context.shared.clock.now();
        let stated_load = state.stated_load(now);
        let observed_load = state.observed_load(now);
        state.begin_request();
        Self {
            key: decision.key,
            decision,
            reuse_distance,
            reserved_at: now,
            stated_load,
            observed_load,
            is_hedged: AtomicBool::new(false),
            state,
            pool: context.listed_pool().state.clone(),
        }
    }
}

/// Counts the second request of a hedged request as in flight at the upstream until it is dropped.
#[derive(Debug)]
pub struct HedgeGuard {
    state: Arc<UpstreamState>,
}

impl SlotReservation {
    /// Sets whether the request is hedged.
    pub fn set_hedged(&self, is_hedged: bool) {
        self.is_hedged.store(is_hedged, Ordering::Relaxed);
    }

    /// Returns whether the request is hedged.
    #[must_use]
    pub fn is_hedged(&self) -> bool {
        self.is_hedged.load(Ordering::Relaxed)
    }

    /// Counts the second request of a hedged request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn count_hedge(&self) -> HedgeGuard {
        self.state.begin_request();
        HedgeGuard {
            state: Arc::clone(&self.state),
        }
    }
}

impl Drop for HedgeGuard {
    fn drop(&mut self) {
        self.state.end_request();
    }
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        self.state.end_request();
        wake_queued(&self.pool, WOKEN_PER_RELEASE);
    }
}

/// Wakes the first `count` requests in the queue of a pool, so that they try again to reserve a slot.
pub fn wake_queued(pool: &PoolState, count: usize) {
    for sender in pool.request_queue.pop(count) {
        // Sending fails if the request has ended in the meantime and dropped the receiver.
        let _ = sender.send(());
    }
    if !pool.fair_queue.is_empty() {
        for sender in pool.fair_queue.pop(count) {
            let _ = sender.send(QueueSignal::Turn);
        }
    }
}

/// Upstreams are no longer avoided after failures when more than one in this many of the pool's upstreams is avoided.
pub const AVOIDED_LIMIT_DIVISOR: usize = 3;

/// The upstreams that are candidates for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CandidateTier {
    /// Upstreams that are neither avoided after failures nor unreachable.
    Healthy,
    /// All reachable upstreams. Used when too many of the pool are avoided after failures.
    Reachable,
    /// All upstreams. Used when no healthy one is left.
    All,
}

/// Reserves a slot at the best upstream that is not in `tried`. Returns `None` if the request has to wait: no candidate
/// can answer in time, or the best one is in its cold start and may not receive a request from this instance yet.
pub fn reserve_slot(context: &RequestContext, tried: &[UpstreamKey]) -> Option<SlotReservation> {
    let now = context.shared.clock.now();
    let recent = context
        .object
        .map(|object| context.shared.affinity_table.upstreams(object, now))
        .unwrap_or_default();
    let tier = candidate_tier(context, tried, now);
    let region = assigned_region(context, tier, now)?;
    let spill_budget = &context.listed_pool().state.spill_budget;
    let slot_time = context.listed_pool().state.slot_time.get();
    let request = PlacementRequest {
        slot_time: slot_time.unwrap_or(context.home_time_estimate().cold),
        objective: context.route_plan().objective,
        objective_left: context.objective_left(),
        deadline_left: context.remaining(),
        may_migrate: may_be_hedged(context),
        // The retry budget bounds how many requests try another upstream.
        may_change_region: !tried.is_empty() || spill_budget.has_spill(),
    };
    let is_eligible = |key: &UpstreamKey| is_eligible(context, *key, tried, tier, now);
    count_limited_demand(context, region);
    let choose = |load: fn(&UpstreamState, MonotonicTime) -> LoadView| {
        let upstreams = context.listed_pool().upstreams.iter().copied();
        let candidates = upstreams.filter(is_eligible).map(|key| {
            let load = load(&context.snapshot.upstreams[key].state, now);
            candidate(context, key, region, &recent, load)
        });
        request.choose(candidates)
    };
    let decision = choose_untried(context, region, is_eligible)
        .or_else(|| choose(UpstreamState::load))
        .or_else(|| {
            let has_room = states_cost(context) && is_half_idle(context, is_eligible);
            has_room.then(|| choose(UpstreamState::observed_load))?
        })?;
    let state = &context.snapshot.upstreams[decision.key].state;
    let reuse_distance = reuse_distance(state, &recent);
    if !state.rate_limit.claim(now) {
        return None;
    }
    if state.is_in_cold_start(now) && !reserve_cold_interval(context, state, now) {
        return None;
    }
    if decision.changes_region && tried.is_empty() {
        spill_budget.charge();
    }
    if let Some(object) = context.object {
        let upstream = short_hash(state.hash);
        context.shared.affinity_table.record(object, upstream, now);
        // If the queue is full, the report is dropped; the other instances receive one with a later request for the
        // object.
        let _ = context
            .shared
            .placement_reports
            .push(PlacementReport { object, upstream });
    }
    Some(SlotReservation::new(context, decision, reuse_distance))
}

/// Returns whether the request can be hedged, so that its object may move to an upstream that is not warm.
fn may_be_hedged(context: &RequestContext) -> bool {
    context.route_plan().is_idempotent()
        && context.object.is_some()
        && has_unreserved_retry(context)
}

/// Returns whether the retry budget of the pool allows a retry without its reserve for failures.
pub fn has_unreserved_retry(context: &RequestContext) -> bool {
    let retry_budget = &context.listed_pool().state.retry_budget;
    let shared = &context.shared;
    retry_budget.has_unreserved_retry(shared.retry_limit(), shared.sharer_count())
}

/// Chooses an upstream of a region that no instance has used yet, for an idempotent request. Returns `None` if there is
/// none or if its cold answer would miss the deadline.
fn choose_untried(
    context: &RequestContext,
    region: RegionKey,
    is_eligible: impl Fn(&UpstreamKey) -> bool,
) -> Option<PlacementDecision<UpstreamKey>> {
    if !context.route_plan().is_idempotent() {
        return None;
    }
    let state = |key: UpstreamKey| &context.snapshot.upstreams[key].state;
    // Few upstreams are untried, so the cheap check comes first.
    let is_untried = |key: &UpstreamKey| {
        let state = state(*key);
        state.is_untried() && state.info.region == region && state.in_flight() == 0
    };
    let mut upstreams = context.listed_pool().upstreams.iter().copied();
    let key = upstreams.find(|key| is_untried(key) && is_eligible(key))?;
    let cold = context.time_estimate(region).cold;
    (cold <= context.remaining()).then_some(PlacementDecision {
        key,
        reason: PlacementReason::Untried,
        preferred: key,
        changes_region: false,
        expected: cold,
        queue_delay: Duration::ZERO,
        is_warm: false,
    })
}

/// Returns the region that the spread of the route assigns to the object. Returns `None` if no upstream may run the
/// request.
fn assigned_region(
    context: &RequestContext,
    tier: CandidateTier,
    now: MonotonicTime,
) -> Option<RegionKey> {
    let mut open = RegionSet::NONE;
    for key in &context.listed_pool().upstreams {
        let listed = &context.snapshot.upstreams[*key];
        let region = listed.state.info.region;
        if !open.contains(region)
            && is_allowed(context, listed)
            && is_in_tier(&listed.state, tier, now)
        {
            open = open.with(region);
        }
    }
    context
        .spread()?
        .region(context.placement_hash, |region| open.contains(region))
}

/// Returns whether upstreams of the request's pool state the present cost of work.
fn states_cost(context: &RequestContext) -> bool {
    let pool = &context.listed_pool().state;
    pool.states_cost.load(Ordering::Relaxed)
}

/// Returns whether the requests that all instances have in flight leave half of the slots free, so that reports which
/// say that no upstream has room are wrong.
fn is_half_idle(context: &RequestContext, is_eligible: impl Fn(&UpstreamKey) -> bool) -> bool {
    let upstreams = context.listed_pool().upstreams.iter();
    let (mut in_flight, mut slots) = (0, 0);
    for key in upstreams.filter(|key| is_eligible(key)) {
        let state = &context.snapshot.upstreams[*key].state;
        in_flight += state.in_flight();
        slots += state.info.slots;
    }
    in_flight * 2 < slots
}

fn candidate_tier(
    context: &RequestContext,
    tried: &[UpstreamKey],
    now: MonotonicTime,
) -> CandidateTier {
    let mut upstreams = context.listed_pool().upstreams.iter();
    let is_healthy = |key: &UpstreamKey| {
        let listed = &context.snapshot.upstreams[*key];
        is_allowed(context, listed) && !tried.contains(key) && is_healthy(&listed.state, now)
    };
    if !upstreams.any(is_healthy) {
        CandidateTier::All
    } else if is_avoidance_suspended(context, now) {
        CandidateTier::Reachable
    } else {
        CandidateTier::Healthy
    }
}

/// Returns whether so many upstreams of the pool are avoided that requests must use them: the remaining ones would be
/// overloaded, and requests would lose their warm upstreams.
pub fn is_avoidance_suspended(context: &RequestContext, now: MonotonicTime) -> bool {
    let upstreams = context.listed_pool().upstreams.iter();
    let allowed = upstreams
        .map(|key| &context.snapshot.upstreams[*key])
        .filter(|listed| is_allowed(context, listed));
    let (mut all, mut avoided) = (0, 0);
    for listed in allowed {
        all += 1;
        avoided += usize::from(listed.state.is_avoided(now) && !listed.state.is_unreachable());
    }
    avoided * AVOIDED_LIMIT_DIVISOR > all
}

fn is_healthy(state: &UpstreamState, now: MonotonicTime) -> bool {
    !state.is_avoided(now) && !state.is_unreachable()
}

fn is_in_tier(state: &UpstreamState, tier: CandidateTier, now: MonotonicTime) -> bool {
    match tier {
        CandidateTier::Healthy => is_healthy(state, now),
        CandidateTier::Reachable => !state.is_unreachable(),
        CandidateTier::All => true,
    }
}

/// Returns whether the upstream accepts new requests and is in a region where this request may run.
pub fn is_allowed(context: &RequestContext, listed: &ListedUpstream) -> bool {
    listed.state.is_usable()
        && !listed.state.is_address_reused()
        && context.regions.contains(listed.state.info.region)
}

fn is_eligible(
    context: &RequestContext,
    key: UpstreamKey,
    tried: &[UpstreamKey],
    tier: CandidateTier,
    now: MonotonicTime,
) -> bool {
    let listed = &context.snapshot.upstreams[key];
    let state = &listed.state;
    is_allowed(context, listed)
        && !tried.contains(&key)
        && !state.is_full(now)
        && is_in_tier(state, tier, now)
        && (!state.is_in_cold_start(now) || state.next_cold_send.get() <= now)
        && state.rate_limit.time_until_send(now).is_zero()
}

fn candidate(
    context: &RequestContext,
    key: UpstreamKey,
    assigned_region: RegionKey,
    recent: &RecentUpstreams,
    load: LoadView,
) -> UpstreamCandidate<UpstreamKey> {
    let state = &context.snapshot.upstreams[key].state;
    let capacity = context
        .listed_pool()
        .state
        .cache_estimator
        .estimated_capacity();
    UpstreamCandidate {
        key,
        rendezvous_hash: combine_hashes(context.placement_hash, state.hash),
        is_assigned_region: state.info.region == assigned_region,
        times: context.time_estimate(state.info.region),
        in_flight: load.in_flight,
        slots: state.info.slots,
        is_warm: reuse_distance(state, recent).is_some_and(|others| others < capacity),
        is_cache_full: state.objects_in_use() >= capacity,
        slowness: load.slowness,
        cost_factor: load.cost_factor,
    }
}

/// Returns the number of other objects that an upstream handled after it last handled the object of `recent`; `None` if
/// `recent` does not contain the upstream.
fn reuse_distance(state: &UpstreamState, recent: &RecentUpstreams) -> Option<usize> {
    let used_at = recent.last_used_ms(state.hash)?;
    Some(state.count_used_since(used_at))
}

/// Starts the next interval in which this instance may send one request to a cold upstream. Returns whether the request
/// may be sent now.
fn reserve_cold_interval(
    context: &RequestContext,
    state: &UpstreamState,
    now: MonotonicTime,
) -> bool {
    let fleet = context.shared.fleet.load();
    let cold_per_s = context.snapshot.plan.pools[context.pool].cold_per_s;
    if fleet.sharing_instances.is_empty() {
        return false;
    }
    let interval = cold_send_interval(
        state.hash,
        context.shared.own_hash,
        &fleet.sharing_instances,
        &fleet.sharer_sizes,
        cold_per_s,
    );
    let Some(interval) = interval else {
        // Other instances send to this upstream while it is cold.
        state.next_cold_send.advance(state.cold_until.get());
        return false;
    };
    state.next_cold_send.claim_if_due(now, interval)
}
