//! Which upstreams of its pool are candidates for a request, and how they rank.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{RegionKey, UpstreamKey};
use coltsfootkeel_steering::{
    LoadView, PlacementRequest, RecentUpstreams, RegionSet, UpstreamCandidate, UpstreamState,
    combine_hashes,
};

use crate::entry_snapshot::ListedUpstream;
use crate::request_context::RequestContext;

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

/// The upstreams of a pool as one request sees them.
#[derive(Debug)]
pub struct CandidateView<'a> {
    context: &'a RequestContext,
    /// Upstreams that are not selected again.
    tried: &'a [UpstreamKey],
    /// The time for which the view holds.
    pub now: MonotonicTime,
    /// The upstreams that handled the object of the request recently.
    pub recent: RecentUpstreams,
    /// The region that the spread of the route assigns to the object.
    pub region: RegionKey,
    tier: CandidateTier,
}

impl<'a> CandidateView<'a> {
    /// Creates the view of a request that is not sent to the upstreams in `tried` again. Returns `None` if no upstream
    /// may run the request.
    #[must_use]
    pub fn new(
        context: &'a RequestContext,
        tried: &'a [UpstreamKey],
        now: MonotonicTime,
    ) -> Option<Self> {
        let tier = candidate_tier(context, tried, now);
        let recent = context
            .object
            .map(|object| context.shared.affinity_table.upstreams(object, now));
        Some(Self {
            context,
            tried,
            now,
            recent: recent.unwrap_or_default(),
            region: assigned_region(context, tier, now)?,
            tier,
        })
    }

    /// Returns what affects the placement of the request.
    #[must_use]
    pub fn placement_request(&self, may_migrate: bool) -> PlacementRequest {
        let context = self.context;
        let pool = &context.listed_pool().state;
        let slot_time = pool.slot_time.get();
        PlacementRequest {
            slot_time: slot_time.unwrap_or(context.home_time_estimate().cold),
            objective: context.route_plan().objective,
            objective_left: context.objective_left(),
            deadline_left: context.remaining(),
            may_migrate,
            // The retry budget bounds how many requests try another upstream.
            may_change_region: !self.tried.is_empty() || pool.spill_budget.has_spill(),
        }
    }

    /// Returns the upstreams that may receive the request now, apart from their load.
    pub fn eligible(&self) -> impl Iterator<Item = UpstreamKey> {
        let suitable = self.suitable();
        suitable.filter(|key| self.closed_for(*key).is_zero())
    }

    /// Returns the upstreams that may run the request, also those that do not receive it now.
    pub fn suitable(&self) -> impl Iterator<Item = UpstreamKey> {
        let upstreams = self.context.listed_pool().upstreams.iter().copied();
        upstreams.filter(|key| {
            let listed = &self.context.snapshot.upstreams[*key];
            is_allowed(self.context, listed)
                && !self.tried.contains(key)
                && is_in_tier(&listed.state, self.tier, self.now)
        })
    }

    /// Returns the time for which an upstream receives no request from this instance whatever its load: it has refused
    /// one because it was full, is in its cold start, or states a rate limit.
    #[must_use]
    pub fn closed_for(&self, key: UpstreamKey) -> Duration {
        let state = &self.context.snapshot.upstreams[key].state;
        let cold = if state.is_in_cold_start(self.now) {
            state.next_cold_send.get().since(self.now)
        } else {
            Duration::ZERO
        };
        let limited = state.rate_limit.time_until_send(self.now);
        state.full_for(self.now).max(cold).max(limited)
    }

    /// Returns an upstream with what decides whether the request is placed there.
    #[must_use]
    pub fn candidate(&self, key: UpstreamKey, load: LoadView) -> UpstreamCandidate<UpstreamKey> {
        let context = self.context;
        let state = &context.snapshot.upstreams[key].state;
        let cache_estimator = &context.listed_pool().state.cache_estimator;
        let capacity = cache_estimator.estimated_capacity();
        let reuse_distance = reuse_distance(state, &self.recent);
        UpstreamCandidate {
            key,
            rendezvous_hash: combine_hashes(context.placement_hash, state.hash),
            is_assigned_region: state.info.region == self.region,
            times: context.time_estimate(state.info.region),
            in_flight: load.in_flight,
            slots: state.info.slots,
            is_warm: reuse_distance.is_some_and(|others| others < capacity),
            is_cache_full: state.objects_in_use() >= capacity,
            slowness: load.slowness,
            cost_factor: load.cost_factor,
        }
    }
}

/// Returns the number of other objects that an upstream handled after it last handled the object of `recent`; `None` if
/// `recent` does not contain the upstream.
pub fn reuse_distance(state: &UpstreamState, recent: &RecentUpstreams) -> Option<usize> {
    let used_at = recent.last_used_ms(state.hash)?;
    Some(state.count_used_since(used_at))
}
