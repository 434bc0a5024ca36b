//! Lists the upstreams that a request may go to, and takes the chosen one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::UpstreamKey;
use coltsfootkeel_steering::{
    PlaceCandidate, PlaceChoice, PlaceTask, UpstreamState, WarmPlaces, cold_interval, combine,
    short_hash,
};

use crate::entry_snapshot::{ListedUpstream, PoolState};
use crate::request_context::RequestContext;
use crate::shared_state::PlacementReport;

/// A place at an upstream. Dropped, it is free again and the next request that waits has its turn.
#[derive(Debug)]
pub struct SlotReservation {
    /// The upstream.
    pub key: UpstreamKey,
    /// Why it was chosen.
    pub choice: PlaceChoice<UpstreamKey>,
    /// How many other objects were used there since it handled this one, if it did lately.
    pub reuse_distance: Option<usize>,
    /// When it was taken.
    pub started: MonotonicTime,
    /// Whether the request is sent there twice.
    is_hedged: AtomicBool,
    state: Arc<UpstreamState>,
    pool: PoolState,
}

/// Requests that are woken when a place is free. The first may wait for an upstream that has none yet.
const WOKEN_PER_RELEASE: usize = 2;

impl SlotReservation {
    fn new(
        context: &RequestContext,
        choice: PlaceChoice<UpstreamKey>,
        reuse_distance: Option<usize>,
    ) -> Self {
        let state = Arc::clone(&context.snapshot.upstreams[choice.key].state);
        state.start();
        Self {
            key: choice.key,
            choice,
            reuse_distance,
            started: context.shared.clock.now(),
            is_hedged: AtomicBool::new(false),
            state,
            pool: context.listed_pool().state.clone(),
        }
    }
}

/// A second request in flight at the same upstream. Dropped, it counts no more.
#[derive(Debug)]
pub struct HedgeGuard {
    state: Arc<UpstreamState>,
}

impl SlotReservation {
    /// Notes whether the request is sent there twice.
    pub fn set_hedged(&self, is_hedged: bool) {
        self.is_hedged.store(is_hedged, Ordering::Relaxed);
    }

    /// Tells whether the request was sent there twice.
    #[must_use]
    pub fn is_hedged(&self) -> bool {
        self.is_hedged.load(Ordering::Relaxed)
    }

    /// Counts a second request at the upstream.
    #[must_use]
    pub fn count_hedge(&self) -> HedgeGuard {
        self.state.start();
        HedgeGuard {
            state: Arc::clone(&self.state),
        }
    }
}

impl Drop for HedgeGuard {
    fn drop(&mut self) {
        self.state.finish();
    }
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        self.state.finish();
        wake_queued(&self.pool, WOKEN_PER_RELEASE);
    }
}

/// Gives the next requests that wait their turn.
pub fn wake_queued(pool: &PoolState, count: usize) {
    for sender in pool.wait_queue.pop(count) {
        // A request that left meanwhile needs no turn.
        let _ = sender.send(());
    }
}

/// If more than one in this many upstreams of a pool is avoided, none is.
const AVOIDED_LIMIT_DIVISOR: usize = 3;

/// Which upstreams are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CandidateTier {
    /// Those that answer.
    Healthy,
    /// Also those that failed lately, because too many did.
    Reachable,
    /// All, because no other is left.
    All,
}

/// Takes a place at the best upstream that was not tried yet, if one can answer in time.
pub fn reserve_slot(context: &RequestContext, tried: &[UpstreamKey]) -> Option<SlotReservation> {
    let now = context.shared.clock.now();
    let warm = context
        .object
        .map(|object| context.shared.warm_table.places(object, now))
        .unwrap_or_default();
    let tier = candidate_tier(context, tried, now);
    let slot_time = context.listed_pool().state.slot_time.get();
    let task = PlaceTask {
        slot_time: slot_time.unwrap_or(context.home_times().cold),
        objective: context.route_plan().objective,
        objective_left: context.objective_left(),
        deadline_left: context.remaining(),
        has_large_bodies: context.route_plan().has_large_bodies(),
        may_move: may_be_hedged(context),
    };
    let salt = context.object.unwrap_or_else(|| fastrand::u64(..));
    let is_eligible = |key: &UpstreamKey| is_eligible(context, *key, tried, tier, now);
    let upstreams = context.listed_pool().upstreams.iter().copied();
    let candidates = upstreams
        .filter(is_eligible)
        .map(|key| candidate(context, key, salt, &warm, now));
    let choice = match choose_untried(context, is_eligible) {
        Some(choice) => choice,
        None => task.choose(candidates)?,
    };
    let state = &context.snapshot.upstreams[choice.key].state;
    let reuse_distance = reuse_distance(state, &warm);
    if state.is_cold(now) && !reserve_cold_interval(context, state, now) {
        return None;
    }
    if let Some(object) = context.object {
        let upstream = short_hash(state.hash);
        context.shared.warm_table.note(object, upstream, now);
        // Without room the others learn of the place later.
        let _ = context
            .shared
            .placement_reports
            .push(PlacementReport { object, upstream });
    }
    Some(SlotReservation::new(context, choice, reuse_distance))
}

/// Tells whether the request can be sent twice to a place that is not warm.
fn may_be_hedged(context: &RequestContext) -> bool {
    context.route_plan().is_idempotent() && context.object.is_some() && has_spare_retry(context)
}

/// Tells whether a retry is left beyond those that are kept for failures.
pub fn has_spare_retry(context: &RequestContext) -> bool {
    let retry_budget = &context.listed_pool().state.retry_budget;
    let shared = &context.shared;
    retry_budget.has_spare_retry(shared.retry_bound(), shared.instance_count())
}

/// Chooses an upstream that no instance has used, for a request that may be repeated.
fn choose_untried(
    context: &RequestContext,
    is_eligible: impl Fn(&UpstreamKey) -> bool,
) -> Option<PlaceChoice<UpstreamKey>> {
    if !context.route_plan().is_idempotent() {
        return None;
    }
    let state = |key: UpstreamKey| &context.snapshot.upstreams[key].state;
    // Few upstreams are untried, so that is asked first.
    let is_untried = |key: &UpstreamKey| state(*key).is_untried() && state(*key).in_flight() == 0;
    let mut upstreams = context.listed_pool().upstreams.iter().copied();
    let key = upstreams.find(|key| is_untried(key) && is_eligible(key))?;
    let cold = context.times(state(key).facts.region).cold;
    (cold <= context.remaining()).then_some(PlaceChoice {
        key,
        expected: cold,
        queue: Duration::ZERO,
        is_warm: false,
    })
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

/// Tells whether so many upstreams fail that leaving them out helps no more: the others would be overloaded, and requests
/// would lose their warm places.
pub fn is_avoidance_suspended(context: &RequestContext, now: MonotonicTime) -> bool {
    let upstreams = context.listed_pool().upstreams.iter();
    let allowed = upstreams
        .map(|key| &context.snapshot.upstreams[*key])
        .filter(|listed| is_allowed(context, listed));
    let (mut all, mut avoided) = (0, 0);
    for listed in allowed {
        all += 1;
        avoided += usize::from(listed.state.is_avoided(now) && !listed.state.is_lost());
    }
    avoided * AVOIDED_LIMIT_DIVISOR > all
}

fn is_healthy(state: &UpstreamState, now: MonotonicTime) -> bool {
    !state.is_avoided(now) && !state.is_lost()
}

fn is_in_tier(state: &UpstreamState, tier: CandidateTier, now: MonotonicTime) -> bool {
    match tier {
        CandidateTier::Healthy => is_healthy(state, now),
        CandidateTier::Reachable => !state.is_lost(),
        CandidateTier::All => true,
    }
}

/// Tells whether a request may run at an upstream that takes new work.
pub fn is_allowed(context: &RequestContext, listed: &ListedUpstream) -> bool {
    listed.state.is_usable()
        && !listed.state.is_other()
        && context.regions.contains(listed.state.facts.region)
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
        && (!state.is_cold(now) || state.cold_turn.get() <= now)
}

fn candidate(
    context: &RequestContext,
    key: UpstreamKey,
    salt: u64,
    warm: &WarmPlaces,
    now: MonotonicTime,
) -> PlaceCandidate<UpstreamKey> {
    let state = &context.snapshot.upstreams[key].state;
    let capacity = context.listed_pool().state.memory.kept();
    PlaceCandidate {
        key,
        weight: combine(salt, state.hash),
        is_home: state.facts.region == context.shared.home.region,
        times: context.times(state.facts.region),
        in_flight: state.in_flight(),
        slots: state.facts.slots,
        is_warm: reuse_distance(state, warm).is_some_and(|others| others < capacity),
        is_crowded: state.objects_in_use() >= capacity,
        slowness: state.slowness(now),
    }
}

/// Returns how many other objects were used at an upstream since it handled this one, if it did lately.
fn reuse_distance(state: &UpstreamState, warm: &WarmPlaces) -> Option<usize> {
    let used_at = warm.used_at(state.hash)?;
    Some(state.used_since(used_at))
}

/// Takes this instance's next turn at a cold upstream.
fn reserve_cold_interval(
    context: &RequestContext,
    state: &UpstreamState,
    now: MonotonicTime,
) -> bool {
    let fleet = context.shared.fleet.load();
    let cold_per_s = context.snapshot.plan.pools[context.pool].cold_per_s;
    if fleet.pacing.is_empty() {
        return false;
    }
    let interval = cold_interval(
        state.hash,
        context.shared.own_hash,
        &fleet.pacing,
        cold_per_s,
    );
    let Some(interval) = interval else {
        // Other instances own its turns while it is cold.
        state.cold_turn.advance(state.cold_until.get());
        return false;
    };
    state.cold_turn.take_turn(now, interval)
}
