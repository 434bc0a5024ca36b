//! Lists the upstreams that a request may go to, and takes the chosen one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::UpstreamKey;
use coltsfootkeel_steering::{
    PlacementDecision, PlacementRequest, RecentUpstreams, UpstreamCandidate, UpstreamState,
    cold_send_interval, combine_hashes, short_hash,
};

use crate::entry_snapshot::{ListedUpstream, PoolState};
use crate::request_context::RequestContext;
use crate::shared_state::ObjectNote;

/// A place at an upstream. Dropped, it is free again and the next request that waits has its turn.
#[derive(Debug)]
pub struct TakenPlace {
    /// The upstream.
    pub key: UpstreamKey,
    /// Why it was chosen.
    pub choice: PlacementDecision<UpstreamKey>,
    /// How many other objects were used there since it handled this one, if it did lately.
    pub used_since: Option<usize>,
    /// When it was taken.
    pub started: MonotonicTime,
    /// Whether the request is sent there twice.
    is_doubled: AtomicBool,
    state: Arc<UpstreamState>,
    pool: PoolState,
}

/// Requests that are woken when a place is free. The first may wait for an upstream that has none yet.
const WOKEN: usize = 2;

impl TakenPlace {
    fn new(
        context: &RequestContext,
        choice: PlacementDecision<UpstreamKey>,
        used_since: Option<usize>,
    ) -> Self {
        let state = Arc::clone(&context.snapshot.upstreams[choice.key].state);
        state.begin_request();
        Self {
            key: choice.key,
            choice,
            used_since,
            started: context.shared.clock.now(),
            is_doubled: AtomicBool::new(false),
            state,
            pool: context.listed_pool().state.clone(),
        }
    }
}

/// A second request in flight at the same upstream. Dropped, it counts no more.
#[derive(Debug)]
pub struct SecondSend {
    state: Arc<UpstreamState>,
}

impl TakenPlace {
    /// Notes whether the request is sent there twice.
    pub fn set_doubled(&self, is_doubled: bool) {
        self.is_doubled.store(is_doubled, Ordering::Relaxed);
    }

    /// Tells whether the request was sent there twice.
    #[must_use]
    pub fn is_doubled(&self) -> bool {
        self.is_doubled.load(Ordering::Relaxed)
    }

    /// Counts a second request at the upstream.
    #[must_use]
    pub fn second_send(&self) -> SecondSend {
        self.state.begin_request();
        SecondSend {
            state: Arc::clone(&self.state),
        }
    }
}

impl Drop for SecondSend {
    fn drop(&mut self) {
        self.state.end_request();
    }
}

impl Drop for TakenPlace {
    fn drop(&mut self) {
        self.state.end_request();
        wake_waiting(&self.pool, WOKEN);
    }
}

/// Gives the next requests that wait their turn.
pub fn wake_waiting(pool: &PoolState, count: usize) {
    for turn in pool.line.pop(count) {
        // A request that left meanwhile needs no turn.
        let _ = turn.send(());
    }
}

/// If more than one in this many upstreams of a pool is avoided, none is.
const DOUBTFUL_DIVISOR: usize = 3;

/// Which upstreams are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChoiceTier {
    /// Those that answer.
    Sound,
    /// Also those that failed lately, because too many did.
    Doubtful,
    /// All, because no other is left.
    All,
}

/// Takes a place at the best upstream that was not tried yet, if one can answer in time.
pub fn take_place(context: &RequestContext, tried: &[UpstreamKey]) -> Option<TakenPlace> {
    let now = context.shared.clock.now();
    let warm = context
        .object
        .map(|object| context.shared.warm.upstreams(object, now))
        .unwrap_or_default();
    let tier = choice_tier(context, tried, now);
    let slot_time = context.listed_pool().state.slot_time.get();
    let task = PlacementRequest {
        slot_time: slot_time.unwrap_or(context.home_times().cold),
        objective: context.route_plan().objective,
        objective_left: context.objective_left(),
        deadline_left: context.remaining(),
        has_large_bodies: context.route_plan().has_large_bodies(),
        may_migrate: may_move(context),
    };
    let salt = context.object.unwrap_or_else(|| fastrand::u64(..));
    let is_eligible = |key: &UpstreamKey| is_eligible(context, *key, tried, tier, now);
    let upstreams = context.listed_pool().upstreams.iter().copied();
    let candidates = upstreams
        .filter(is_eligible)
        .map(|key| candidate(context, key, salt, &warm, now));
    let choice = match untried_choice(context, is_eligible) {
        Some(choice) => choice,
        None => task.choose(candidates)?,
    };
    let state = &context.snapshot.upstreams[choice.key].state;
    let used_since = used_since(state, &warm);
    if state.is_cold(now) && !take_cold_turn(context, state, now) {
        return None;
    }
    if let Some(object) = context.object {
        let upstream = short_hash(state.hash);
        context.shared.warm.record(object, upstream, now);
        // Without room the others learn of the place later.
        let _ = context
            .shared
            .object_notes
            .push(ObjectNote { object, upstream });
    }
    Some(TakenPlace::new(context, choice, used_since))
}

/// Tells whether the request can be sent twice to a place that is not warm.
fn may_move(context: &RequestContext) -> bool {
    context.route_plan().is_idempotent() && context.object.is_some() && has_spare_retry(context)
}

/// Tells whether a retry is left beyond those that are kept for failures.
pub fn has_spare_retry(context: &RequestContext) -> bool {
    let retries = &context.listed_pool().state.retries;
    let shared = &context.shared;
    retries.has_unreserved_retry(shared.retry_bound(), shared.instance_count())
}

/// Chooses an upstream that no instance has used, for a request that may be repeated.
fn untried_choice(
    context: &RequestContext,
    is_eligible: impl Fn(&UpstreamKey) -> bool,
) -> Option<PlacementDecision<UpstreamKey>> {
    if !context.route_plan().is_idempotent() {
        return None;
    }
    let state = |key: UpstreamKey| &context.snapshot.upstreams[key].state;
    // Few upstreams are untried, so that is asked first.
    let is_untried = |key: &UpstreamKey| state(*key).is_untried() && state(*key).in_flight() == 0;
    let mut upstreams = context.listed_pool().upstreams.iter().copied();
    let key = upstreams.find(|key| is_untried(key) && is_eligible(key))?;
    let cold = context.times(state(key).info.region).cold;
    (cold <= context.remaining()).then_some(PlacementDecision {
        key,
        expected: cold,
        queue_delay: Duration::ZERO,
        is_warm: false,
    })
}

fn choice_tier(context: &RequestContext, tried: &[UpstreamKey], now: MonotonicTime) -> ChoiceTier {
    let mut upstreams = context.listed_pool().upstreams.iter();
    let is_sound = |key: &UpstreamKey| {
        let listed = &context.snapshot.upstreams[*key];
        is_allowed(context, listed) && !tried.contains(key) && is_sound(&listed.state, now)
    };
    if !upstreams.any(is_sound) {
        ChoiceTier::All
    } else if is_pool_doubtful(context, now) {
        ChoiceTier::Doubtful
    } else {
        ChoiceTier::Sound
    }
}

/// Tells whether so many upstreams fail that leaving them out helps no more: the others would be overloaded, and requests
/// would lose their warm places.
pub fn is_pool_doubtful(context: &RequestContext, now: MonotonicTime) -> bool {
    let upstreams = context.listed_pool().upstreams.iter();
    let allowed = upstreams
        .map(|key| &context.snapshot.upstreams[*key])
        .filter(|listed| is_allowed(context, listed));
    let (mut all, mut avoided) = (0, 0);
    for listed in allowed {
        all += 1;
        avoided += usize::from(listed.state.is_avoided(now) && !listed.state.is_unreachable());
    }
    avoided * DOUBTFUL_DIVISOR > all
}

fn is_sound(state: &UpstreamState, now: MonotonicTime) -> bool {
    !state.is_avoided(now) && !state.is_unreachable()
}

fn is_in_tier(state: &UpstreamState, tier: ChoiceTier, now: MonotonicTime) -> bool {
    match tier {
        ChoiceTier::Sound => is_sound(state, now),
        ChoiceTier::Doubtful => !state.is_unreachable(),
        ChoiceTier::All => true,
    }
}

/// Tells whether a request may run at an upstream that takes new work.
pub fn is_allowed(context: &RequestContext, listed: &ListedUpstream) -> bool {
    listed.state.is_usable()
        && !listed.state.is_address_reused()
        && context.regions.contains(listed.state.info.region)
}

fn is_eligible(
    context: &RequestContext,
    key: UpstreamKey,
    tried: &[UpstreamKey],
    tier: ChoiceTier,
    now: MonotonicTime,
) -> bool {
    let listed = &context.snapshot.upstreams[key];
    let state = &listed.state;
    is_allowed(context, listed)
        && !tried.contains(&key)
        && !state.is_full(now)
        && is_in_tier(state, tier, now)
        && (!state.is_cold(now) || state.next_cold_send.get() <= now)
}

fn candidate(
    context: &RequestContext,
    key: UpstreamKey,
    salt: u64,
    warm: &RecentUpstreams,
    now: MonotonicTime,
) -> UpstreamCandidate<UpstreamKey> {
    let state = &context.snapshot.upstreams[key].state;
    let kept = context.listed_pool().state.memory.estimated_capacity();
    UpstreamCandidate {
        key,
        rendezvous_hash: combine_hashes(salt, state.hash),
        is_local_region: state.info.region == context.shared.home.region,
        times: context.times(state.info.region),
        in_flight: state.in_flight(),
        slots: state.info.slots,
        is_warm: used_since(state, warm).is_some_and(|others| others < kept),
        is_cache_full: state.objects_in_use() >= kept,
        slowness: state.slowness(now),
    }
}

/// Returns how many other objects were used at an upstream since it handled this one, if it did lately.
fn used_since(state: &UpstreamState, warm: &RecentUpstreams) -> Option<usize> {
    let used_at = warm.last_used_ms(state.hash)?;
    Some(state.count_used_since(used_at))
}

/// Takes this instance's next turn at a cold upstream.
fn take_cold_turn(context: &RequestContext, state: &UpstreamState, now: MonotonicTime) -> bool {
    let fleet = context.shared.fleet.load();
    let cold_per_s = context.snapshot.plan.pools[context.pool].cold_per_s;
    if fleet.pacing.is_empty() {
        return false;
    }
    let interval = cold_send_interval(
        state.hash,
        context.shared.own_hash,
        &fleet.pacing,
        cold_per_s,
    );
    let Some(interval) = interval else {
        // Other instances own its turns while it is cold.
        state.next_cold_send.advance(state.cold_until.get());
        return false;
    };
    state.next_cold_send.claim_if_due(now, interval)
}
