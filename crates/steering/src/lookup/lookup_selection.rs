//! Selects the entry instances that a look-up returns.
//!
//! Load pattern: callers pick evenly among the named instances and keep their answers for seconds. Where instances
//! differ in size, the load of each is decided by how many answers name it.

use std::net::SocketAddr;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{DomainKey, RegionKey};

use crate::hashing::{combine_hashes, stable_hash, unit_interval};
use crate::lookup::handed_out::HandedOut;
use crate::lookup::instance_capacity::{InstanceRoom, InstanceWeight};
use crate::regions::topology::RegionSet;

/// Smallest number of instances in a weighted answer. A caller has another one if one fails.
const MIN_NAMED: usize = 2;
/// Factor on the weight of instances in the caller's failure domain while its load is at most that of the region.
const OWN_DOMAIN_FACTOR: f64 = 3.0;
/// Load per size of a failure domain, relative to its region, from which on its callers do not prefer it.
const MAX_PREFERRED_LOAD: f64 = 1.5;

/// An entry instance that a look-up may return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceView {
    /// Address on which the instance accepts requests of callers.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: DomainKey,
    /// Region of the instance.
    pub region: RegionKey,
    /// Whether the instance accepts requests: it is alive, ready and not stopping.
    pub is_accepting: bool,
    /// What it has and uses.
    pub room: InstanceRoom,
}

/// Regions that decide the result of a look-up.
#[derive(Debug, Clone, Copy)]
pub struct LookupQuery {
    /// Region of the caller, or `None` if it is unknown.
    pub region: Option<RegionKey>,
    /// Failure domain of the caller, or `None` if it is unknown.
    pub domain: Option<DomainKey>,
    /// Regions in which the requested host may be served.
    pub allowed_regions: RegionSet,
    /// Hash of the caller's address, so that a caller that asks again gets the same instances.
    pub caller: u64,
}

/// An instance that an answer may name.
#[derive(Debug, Clone, Copy)]
struct LookupCandidate {
    view: InstanceView,
    size: f64,
    weight: f64,
}

/// An instance with its place in the order of one caller.
#[derive(Debug, Clone, Copy)]
struct DrawnInstance {
    address: SocketAddr,
    /// Named if less than one.
    order: f64,
}

/// Returns up to `max_addresses` addresses: the accepting instances in the region of the caller, or else those in the
/// regions in which the host may be served, or else all accepting instances.
#[must_use]
pub fn select_instances(
    query: LookupQuery,
    instances: &[InstanceView],
    max_addresses: usize,
) -> Vec<SocketAddr> {
    let candidates = candidates(query, instances, &[]).into_iter();
    candidates
        .take(max_addresses)
        .map(|candidate| candidate.view.address)
        .collect()
}

/// Returns up to `max_addresses` addresses of the instances that [`select_instances`] chooses from, so that over many
/// answers each instance gets callers in proportion to its weight. `weights` has one entry for each instance.
pub fn select_weighted(
    query: LookupQuery,
    instances: &[InstanceView],
    weights: &[InstanceWeight],
    handed_out: &mut HandedOut,
    max_addresses: usize,
    now: MonotonicTime,
) -> Vec<SocketAddr> {
    let mut candidates = candidates(query, instances, weights);
    prefer_own_domain(query, &mut candidates);
    let chances = naming_chances(&candidates, max_addresses);
    handed_out.age(now);
    let draw = |(candidate, chance): (&LookupCandidate, &f64)| {
        let address = candidate.view.address;
        let hash = combine_hashes(query.caller, stable_hash(address.to_string().as_bytes()));
        let corrected = chance * handed_out.correction(address);
        DrawnInstance {
            address,
            order: unit_interval(hash) / corrected,
        }
    };
    let mut drawn: Vec<DrawnInstance> = candidates.iter().zip(&chances).map(draw).collect();
    drawn.sort_by(|first, second| first.order.total_cmp(&second.order));
    let named = drawn.iter().filter(|instance| instance.order < 1.0).count();
    drawn.truncate(named.max(MIN_NAMED).min(max_addresses));
    count_answer(&candidates, &chances, &drawn, handed_out);
    drawn.into_iter().map(|instance| instance.address).collect()
}

/// Returns the instances that an answer may name. Instances without an entry in `weights` weigh the same.
fn candidates(
    query: LookupQuery,
    instances: &[InstanceView],
    weights: &[InstanceWeight],
) -> Vec<LookupCandidate> {
    let matching = |is_match: &dyn Fn(&InstanceView) -> bool| -> Vec<LookupCandidate> {
        let accepting = instances.iter().enumerate();
        accepting
            .filter(|(_, view)| view.is_accepting && is_match(view))
            .map(|(index, view)| LookupCandidate {
                view: *view,
                size: weights.get(index).map_or(1.0, |weight| weight.size),
                weight: weights.get(index).map_or(1.0, |weight| weight.weight),
            })
            .collect()
    };
    let local = matching(&|view| Some(view.region) == query.region);
    if !local.is_empty() {
        return local;
    }
    let allowed = matching(&|view| query.allowed_regions.contains(view.region));
    if !allowed.is_empty() {
        return allowed;
    }
    matching(&|_| true)
}

/// Raises the weight of the instances in the caller's failure domain as far as it has room compared with the others.
fn prefer_own_domain(query: LookupQuery, candidates: &mut [LookupCandidate]) {
    let is_own = |candidate: &LookupCandidate| Some(candidate.view.domain) == query.domain;
    let own: Vec<LookupCandidate> = candidates.iter().copied().filter(is_own).collect();
    let relative_load = load_per_size(&own) / load_per_size(candidates);
    let room = (MAX_PREFERRED_LOAD - relative_load) / (MAX_PREFERRED_LOAD - 1.0);
    let factor = 1.0 + (OWN_DOMAIN_FACTOR - 1.0) * room.clamp(0.0, 1.0);
    for candidate in candidates.iter_mut().filter(|candidate| is_own(candidate)) {
        candidate.weight *= factor;
    }
}

/// Returns the average requests in progress per size; with one more request, so that idle domains can be compared.
fn load_per_size(candidates: &[LookupCandidate]) -> f64 {
    let in_flight = candidates
        .iter()
        .map(|candidate| candidate.view.room.usage.average_in_flight);
    let size: f64 = candidates.iter().map(|candidate| candidate.size).sum();
    (1.0 + in_flight.sum::<f64>()) / size.max(f64::MIN_POSITIVE)
}

/// Returns the chance of each candidate to be named. The heaviest one is always named, so that chances are in
/// proportion to the weights.
fn naming_chances(candidates: &[LookupCandidate], max_addresses: usize) -> Vec<f64> {
    let weights = || candidates.iter().map(|candidate| candidate.weight);
    let total: f64 = weights().sum();
    let heaviest = weights().fold(f64::MIN_POSITIVE, f64::max);
    #[expect(clippy::cast_precision_loss)]
    let named = (total / heaviest).clamp(MIN_NAMED as f64, max_addresses.max(MIN_NAMED) as f64);
    weights()
        .map(|weight| (named * weight / total).min(1.0))
        .collect()
}

/// Counts an answer: each named instance gets an equal part of the caller.
fn count_answer(
    candidates: &[LookupCandidate],
    chances: &[f64],
    named: &[DrawnInstance],
    handed_out: &mut HandedOut,
) {
    let total: f64 = chances.iter().sum();
    for (candidate, chance) in candidates.iter().zip(chances) {
        handed_out.count_expected(candidate.view.address, chance / total);
    }
    #[expect(clippy::cast_precision_loss)]
    let part = 1.0 / named.len().max(1) as f64;
    for instance in named {
        handed_out.count_named(instance.address, part);
    }
}
