//! Selection of an upstream for one request, without locks or allocations.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use coltsfootkeel_counters::SlotCounter;
use coltsfootkeel_model::{
    Arena, ArenaKey, DomainKey, FleetConfig, PoolKey, RegionKey, UpstreamKey,
};

use crate::link_meter::LinkMeter;
use crate::upstream_health::UpstreamHealth;

/// The minimum latency in the cost of an upstream, used until the pool has its first answer.
const MIN_LATENCY_NS: u64 = 100_000;

/// The number of consecutive failures beyond which further ones do not raise the cost of an upstream, because it is
/// about to be ejected.
const MAX_WEIGHTED_FAILURES: u32 = 5;

/// The slots and the health of one upstream, shared by the request threads.
#[derive(Debug, Clone)]
pub struct UpstreamHandle {
    /// The slots of the upstream that this instance holds or has borrowed.
    pub slots: Arc<SlotCounter>,
    /// The health of the upstream as measured by this instance.
    pub health: Arc<UpstreamHealth>,
}

impl UpstreamHandle {
    /// Returns the cost of one more request to the upstream, or `None` if none can be sent.
    ///
    /// The cost grows with the used fraction of the slots, the latency, recent failures and the reported load.
    #[must_use]
    pub fn cost(&self) -> Option<u64> {
        if !self.health.is_usable() {
            return None;
        }
        let allowed = self.health.allowed_slots(self.slots.capacity());
        let used = self.slots.used();
        if used >= allowed {
            return None;
        }
        let latency_ns = u64::try_from(self.health.latency().as_nanos()).unwrap_or(u64::MAX);
        let failures = self
            .health
            .consecutive_failures()
            .min(MAX_WEIGHTED_FAILURES);
        let weight = u64::from(self.health.load_cost_percent()) * u64::from(1 + failures);
        let weighted_slots = u64::from(used + 1) * weight;
        Some(weighted_slots.saturating_mul(latency_ns.max(MIN_LATENCY_NS)) / u64::from(allowed))
    }

    /// Takes a slot unless the upstream is unusable, full, or at the limit of its ramp. Returns whether it took one.
    #[must_use]
    pub fn try_take(&self) -> bool {
        if !self.health.is_usable() || !self.slots.try_acquire() {
            return false;
        }
        // The counter does not enforce the ramp, so a slot beyond its limit is put back before it is used.
        let allowed = self.health.allowed_slots(self.slots.capacity());
        if self.slots.used() > allowed {
            self.slots.release();
            return false;
        }
        true
    }
}

/// Where the search for an upstream starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceStart {
    /// The failure domain of this instance, then its region, then other regions.
    Home,
    /// One region only, the destination of a shift.
    Region(RegionKey),
}

/// Upstreams of one pool that are equally near.
#[derive(Debug, Clone)]
struct ChoiceTier {
    region: RegionKey,
    upstreams: Vec<UpstreamKey>,
}

/// The tiers of each pool in the order of their distance from the failure domain of this instance.
#[derive(Debug)]
pub struct TierTable {
    home_region: RegionKey,
    pools: Vec<PoolTiers>,
}

#[derive(Debug)]
struct PoolTiers {
    /// The tiers for [`ChoiceStart::Home`], nearest first.
    home: Vec<ChoiceTier>,
    /// One tier for each region, by the index of its key, for [`ChoiceStart::Region`].
    regions: Vec<ChoiceTier>,
    /// The next number of the sequence that request threads share.
    sequence: AtomicU64,
}

impl TierTable {
    /// Computes the tiers for an instance in the failure domain `home`.
    #[must_use]
    pub fn build(config: &FleetConfig, home: DomainKey) -> Self {
        let pools = config
            .pools
            .keys()
            .map(|pool| PoolTiers {
                home: home_tiers(config, pool, home),
                regions: region_tiers(config, pool),
                sequence: AtomicU64::new(0),
            })
            .collect();
        Self {
            home_region: config.domains[home].region,
            pools,
        }
    }

    /// Chooses an upstream and takes one of its slots, which the caller must put back.
    ///
    /// Returns `None` if no slot is free in any tier that can be reached. An upstream in `tried` is not chosen again.
    #[must_use]
    pub fn choose(&self, request: ChoiceRequest<'_>) -> Option<UpstreamKey> {
        let pool = self.pools.get(request.pool.index())?;
        let tiers = match request.start {
            ChoiceStart::Home => pool.home.as_slice(),
            ChoiceStart::Region(region) => pool.regions.get(region.index()..=region.index())?,
        };
        tiers
            .iter()
            .filter(|tier| request.links.may_cross(self.home_region, tier.region))
            .find_map(|tier| request.choose_in(tier, &pool.sequence))
    }
}

/// The inputs of a choice besides the tiers.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// The pool of the route.
    pub pool: PoolKey,
    /// Where the search starts.
    pub start: ChoiceStart,
    /// The upstreams that have already been tried for this request.
    pub tried: &'a [UpstreamKey],
    /// A random number, uniform over the whole range of 64 bits.
    pub random: u64,
    /// The slots and the health of all upstreams.
    pub handles: &'a Arena<UpstreamKey, UpstreamHandle>,
    /// The links between regions, which limit the traffic that crosses them.
    pub links: &'a LinkMeter,
    /// The policy for the choice within a tier.
    pub policy: ChoicePolicy,
}

impl ChoiceRequest<'_> {
    fn choose_in(&self, tier: &ChoiceTier, sequence: &AtomicU64) -> Option<UpstreamKey> {
        let candidates = TierCandidates {
            upstreams: &tier.upstreams,
            tried: self.tried,
            handles: self.handles,
            sequence,
        };
        if let Some(position) = (self.policy.pick)(&candidates, self.random)
            && candidates.try_take(position)
        {
            return Some(tier.upstreams[position]);
        }
        candidates.take_first_free(self.random)
    }
}

/// The upstreams of one tier, among which a policy chooses.
#[derive(Debug)]
pub struct TierCandidates<'a> {
    upstreams: &'a [UpstreamKey],
    tried: &'a [UpstreamKey],
    handles: &'a Arena<UpstreamKey, UpstreamHandle>,
    sequence: &'a AtomicU64,
}

impl TierCandidates<'_> {
    /// Returns the number of upstreams in the tier.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether the tier has no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the cost of the upstream at `position`, or `None` if it cannot be chosen.
    #[must_use]
    pub fn cost(&self, position: usize) -> Option<u64> {
        let upstream = *self.upstreams.get(position)?;
        if self.tried.contains(&upstream) {
            return None;
        }
        self.handles.get(upstream)?.cost()
    }

    /// Returns the number of used slots of the upstream at `position`, or `None` if it cannot be chosen.
    #[must_use]
    pub fn used_slots(&self, position: usize) -> Option<u32> {
        self.cost(position)?;
        Some(self.handles[self.upstreams[position]].slots.used())
    }

    /// Returns the next number of the sequence that all request threads share for the pool.
    #[must_use]
    pub fn next_sequence_number(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    fn try_take(&self, position: usize) -> bool {
        self.cost(position).is_some() && self.handles[self.upstreams[position]].try_take()
    }

    /// Takes a slot of the first upstream that has a free one, from a random position on, so that a policy that
    /// compares only two upstreams refuses no request while a third one has a free slot.
    fn take_first_free(&self, random: u64) -> Option<UpstreamKey> {
        let count = self.len();
        let start = scale_to_index(random, count);
        (0..count)
            .map(|step| (start + step) % count)
            .find(|position| self.try_take(*position))
            .map(|position| self.upstreams[position])
    }
}

/// A policy for the choice among the upstreams of a tier.
#[derive(Debug, Clone, Copy)]
pub struct ChoicePolicy {
    /// The name of the policy in printed measurements.
    pub name: &'static str,
    /// Returns the position of a candidate, or `None` if it found none that can be chosen. The second argument is a
    /// random number, uniform over the whole range of 64 bits.
    pub pick: fn(&TierCandidates<'_>, u64) -> Option<usize>,
}

impl ChoicePolicy {
    /// Chooses the upstream of lower cost among two random ones.
    pub const TWO_CHOICES: Self = Self {
        name: "two random choices",
        pick: pick_two_choices,
    };

    /// Chooses the upstreams in round-robin order; a baseline for comparisons.
    pub const ROUND_ROBIN: Self = Self {
        name: "round robin",
        pick: pick_round_robin,
    };

    /// Chooses the upstream with the fewest used slots; kept for comparison.
    pub const LEAST_LOADED: Self = Self {
        name: "least loaded",
        pick: pick_least_loaded,
    };
}

fn pick_two_choices(candidates: &TierCandidates<'_>, random: u64) -> Option<usize> {
    let count = candidates.len();
    if count < 2 {
        return (count == 1).then_some(0);
    }
    let first = scale_to_index(random, count);
    let offset = 1 + scale_to_index(random << 32, count - 1);
    let second = (first + offset) % count;
    match (candidates.cost(first), candidates.cost(second)) {
        (Some(one), Some(other)) if other < one => Some(second),
        (Some(_), _) => Some(first),
        (None, Some(_)) => Some(second),
        (None, None) => None,
    }
}

fn pick_round_robin(candidates: &TierCandidates<'_>, _random: u64) -> Option<usize> {
    let count = candidates.len();
    (0..count)
        .map(|_| candidates.next_sequence_number())
        .filter_map(|number| usize::try_from(number % count as u64).ok())
        .find(|position| candidates.cost(*position).is_some())
}

/// Starts at a random position, so that upstreams with equally many used slots share the load.
fn pick_least_loaded(candidates: &TierCandidates<'_>, random: u64) -> Option<usize> {
    let count = candidates.len();
    let start = scale_to_index(random, count);
    (0..count)
        .map(|step| (start + step) % count)
        .filter_map(|position| Some((position, candidates.used_slots(position)?)))
        .min_by_key(|(_, used)| *used)
        .map(|(position, _)| position)
}

/// Scales the upper half of `random` to a position below `count`, without a division.
fn scale_to_index(random: u64, count: usize) -> usize {
    let scaled = ((random >> 32) * count as u64) >> 32;
    usize::try_from(scaled).unwrap_or(0)
}

fn home_tiers(config: &FleetConfig, pool: PoolKey, home: DomainKey) -> Vec<ChoiceTier> {
    let home_region = config.domains[home].region;
    let in_pool = &config.pools[pool].upstreams;
    let select = |test: &dyn Fn(UpstreamKey) -> bool| -> Vec<UpstreamKey> {
        in_pool.iter().copied().filter(|key| test(*key)).collect()
    };
    let domain_of = |key: UpstreamKey| config.upstreams[key].domain;
    let region_of = |key: UpstreamKey| config.upstreams[key].region;
    let mut tiers = vec![
        ChoiceTier {
            region: home_region,
            upstreams: select(&|key| domain_of(key) == home),
        },
        ChoiceTier {
            region: home_region,
            upstreams: select(&|key| region_of(key) == home_region && domain_of(key) != home),
        },
    ];
    let mut others: Vec<RegionKey> = config.regions.keys().collect();
    others.retain(|region| *region != home_region);
    others.sort_by_key(|region| config.links.between(home_region, *region).latency);
    for region in others {
        let upstreams = select(&|key| region_of(key) == region);
        tiers.push(ChoiceTier { region, upstreams });
    }
    tiers.retain(|tier| !tier.upstreams.is_empty());
    tiers
}

fn region_tiers(config: &FleetConfig, pool: PoolKey) -> Vec<ChoiceTier> {
    let in_region = |region: RegionKey| {
        config.pools[pool]
            .upstreams
            .iter()
            .copied()
            .filter(|key| config.upstreams[*key].region == region)
            .collect()
    };
    config
        .regions
        .keys()
        .map(|region| ChoiceTier {
            region,
            upstreams: in_region(region),
        })
        .collect()
}
