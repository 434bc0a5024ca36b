//! Estimates what share of a service's requests may move to another region.
//!
//! The questionnaire does not ask where calls enter, so the estimate spreads the calls of a pool over
//! the regions as the pool's slots are spread. All planned departures to a region are counted
//! together, because departures of earlier months stay in force.

use coltsfootkeel_model::{DomainKey, PoolKey, RegionKey, RouteKey};

use crate::team_answers::{DepartureAnswer, PoolAnswer, ServiceAnswer, TeamAnswers};

/// The capacity of a link that the questionnaire does not list, in Mbit/s. The configuration has the
/// same default.
const DEFAULT_LINK_MBIT_PER_S: u128 = 4_000;
/// The share of a link that moved requests may use, in percent. The rest is for other traffic.
const LINK_SHARE_PERCENT: u128 = 50;
const BITS_PER_KIB: u128 = 8 * 1024;

/// The cap of a shift.
#[derive(Debug)]
pub struct CapEstimate {
    /// The share of the requests in percent.
    pub percent: u64,
    /// What limits it.
    pub reason: String,
}

/// Estimates the cap of the shift that moves `service` in a departure of its department.
pub fn shift_cap(
    answers: &TeamAnswers,
    service: RouteKey,
    departure: &DepartureAnswer,
) -> CapEstimate {
    let pool = answers.services[service].pool;
    let slots = slot_room(answers, pool, departure.to);
    let link = link_room(answers, departure);
    let percent = departure
        .at_once_percent
        .min(slots.percent)
        .min(link.percent);
    let reason = format!(
        "the smallest of: {}% that the department may move at once; {}; {}",
        departure.at_once_percent, slots.reason, link.reason
    );
    CapEstimate { percent, reason }
}

/// Returns the share of all requests planned to move to `region` that the pool's slots there can run.
fn slot_room(answers: &TeamAnswers, pool: PoolKey, region: RegionKey) -> CapEstimate {
    let record = &answers.pools[pool];
    let slots = region_slots(answers, record, region);
    let reserve = largest_domain(answers, record, region);
    let own_ms = region_part(answers, pool, region, pool_demand(answers, pool));
    let room_ms = (u128::from(slots - reserve) * 1_000).saturating_sub(own_ms);
    let moved_ms: u128 = departing(answers)
        .filter(|(service, departure)| service.pool == pool && departure.to == region)
        .map(|(service, departure)| {
            region_part(answers, pool, departure.from, service_demand(service))
        })
        .sum();
    let percent = share_percent(room_ms, moved_ms);
    let reason = format!(
        "{percent}% that the slots of pool {} in region {} can run ({slots} slots, of which {reserve} are \
         reserved for the loss of a failure domain and {} are in use by calls of that region; all planned \
         departures to it need {})",
        record.name,
        answers.regions[region].name,
        own_ms.div_ceil(1_000),
        moved_ms.div_ceil(1_000),
    );
    CapEstimate { percent, reason }
}

/// Returns the share of all requests planned to cross a link that half of the link can carry.
fn link_room(answers: &TeamAnswers, departure: &DepartureAnswer) -> CapEstimate {
    let pair = (departure.from, departure.to);
    let joins = |one, other| (one, other) == pair || (other, one) == pair;
    let capacity = answers
        .links
        .iter()
        .find(|link| joins(link.one, link.other))
        .map_or(DEFAULT_LINK_MBIT_PER_S, |link| {
            u128::from(link.capacity_mbit_per_s)
        });
    let room_bits = capacity * 1_000_000 * LINK_SHARE_PERCENT / 100;
    let moved_bits: u128 = departing(answers)
        .filter(|(_, departure)| joins(departure.from, departure.to))
        .map(|(service, departure)| {
            region_part(
                answers,
                service.pool,
                departure.from,
                service_traffic(service),
            )
        })
        .sum();
    let percent = share_percent(room_bits, moved_bits);
    let reason = format!(
        "{percent}% that {LINK_SHARE_PERCENT}% of the link of {capacity} Mbit/s between {} and {} can carry",
        answers.regions[departure.from].name, answers.regions[departure.to].name,
    );
    CapEstimate { percent, reason }
}

/// Returns each service that departs, with the departure of its department.
fn departing(answers: &TeamAnswers) -> impl Iterator<Item = (&ServiceAnswer, &DepartureAnswer)> {
    answers.services.iter().filter_map(|(_, service)| {
        let departure = answers.departments[service.department].departure.as_ref()?;
        Some((service, departure))
    })
}

/// Returns the demand of a service in slots × 1,000.
fn service_demand(service: &ServiceAnswer) -> u128 {
    u128::from(service.calls_per_s) * u128::from(service.usual_ms)
}

/// Returns the bits per second of a service in the direction that carries more.
fn service_traffic(service: &ServiceAnswer) -> u128 {
    let size = service.sends_kib.max(service.receives_kib);
    u128::from(service.calls_per_s) * u128::from(size) * BITS_PER_KIB
}

/// Returns the demand of all services of a pool in slots × 1,000.
fn pool_demand(answers: &TeamAnswers, pool: PoolKey) -> u128 {
    let services = answers.services.iter().map(|(_, service)| service);
    services
        .filter(|service| service.pool == pool)
        .map(service_demand)
        .sum()
}

/// Returns the part of `demand` that falls to a region, rounded up.
fn region_part(answers: &TeamAnswers, pool: PoolKey, region: RegionKey, demand: u128) -> u128 {
    let record = &answers.pools[pool];
    let total = record.slots * record.upstreams.len() as u64;
    let part = region_slots(answers, record, region);
    (demand * u128::from(part)).div_ceil(u128::from(total.max(1)))
}

fn region_slots(answers: &TeamAnswers, pool: &PoolAnswer, region: RegionKey) -> u64 {
    let domains = answers.domains.iter();
    domains
        .filter(|(_, domain)| domain.region == region)
        .map(|(domain, _)| domain_slots(pool, domain))
        .sum()
}

/// Returns the slots of the failure domain whose loss costs the region most, or zero if the region
/// has the pool in one failure domain only.
fn largest_domain(answers: &TeamAnswers, pool: &PoolAnswer, region: RegionKey) -> u64 {
    let domains = answers.domains.iter();
    let slots: Vec<u64> = domains
        .filter(|(_, domain)| domain.region == region)
        .map(|(domain, _)| domain_slots(pool, domain))
        .filter(|slots| *slots > 0)
        .collect();
    if slots.len() < 2 {
        return 0;
    }
    slots.into_iter().max().unwrap_or(0)
}

fn domain_slots(pool: &PoolAnswer, domain: DomainKey) -> u64 {
    let upstreams = pool.upstreams.iter();
    let count = upstreams
        .filter(|upstream| upstream.domain == domain)
        .count();
    pool.slots * count as u64
}

/// Returns `room` in percent of `need`, at most 100.
fn share_percent(room: u128, need: u128) -> u64 {
    if need <= room {
        return 100;
    }
    u64::try_from(room * 100 / need).unwrap_or(100)
}
