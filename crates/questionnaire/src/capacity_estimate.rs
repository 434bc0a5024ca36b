//! Estimation of the percentage of a service's requests that may be moved to another region.
//!
//! The questionnaire does not contain the regions that calls come from, so the estimate distributes
//! the calls of a pool over the regions in proportion to the pool's slots in each region. All planned
//! departures to a region are added up, because departures of earlier months stay in force.
//!
//! Demand is measured in slot-milliseconds per second: calls per second times the milliseconds of a
//! call. One slot serves 1,000 of them.

use coltsfootkeel_model::{DomainKey, PoolKey, RegionKey, RouteKey};

use crate::team_answers::{DepartureAnswer, PoolAnswer, ServiceAnswer, TeamAnswers};

/// The capacity of a link that the questionnaire does not list, in Mbit/s. It equals the default of the configuration.
const DEFAULT_LINK_MBIT_PER_S: u128 = 4_000;
/// The percentage of a link's capacity that moved requests may use. The rest is reserved for other traffic.
const USABLE_LINK_PERCENT: u128 = 50;
const BITS_PER_KIB: u128 = 8 * 1024;

/// The estimated cap of a shift.
#[derive(Debug)]
pub struct CapEstimate {
    /// The percentage of the requests that may be moved, from 0 to 100.
    pub percent: u64,
    /// How the percentage was derived, as an explanation for the team.
    pub reason: String,
}

/// Estimates the cap of the shift that moves `service` when its department departs: the smallest of the percentages
/// that the department allows, that the pool's slots can run, and that the link can carry.
pub fn shift_cap(
    answers: &TeamAnswers,
    service: RouteKey,
    departure: &DepartureAnswer,
) -> CapEstimate {
    let pool = answers.services[service].pool;
    let slots = slot_cap(answers, pool, departure.to);
    let link = link_cap(answers, departure);
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

/// Returns the percentage of all requests planned to move to `region` that the pool's slots there can run.
fn slot_cap(answers: &TeamAnswers, pool: PoolKey, region: RegionKey) -> CapEstimate {
    let record = &answers.pools[pool];
    let slots = region_slots(answers, record, region);
    let reserved = reserved_slots(answers, record, region);
    let local_slot_ms = demand_in_region(answers, pool, region, pool_demand(answers, pool));
    let free_slot_ms = (u128::from(slots - reserved) * 1_000).saturating_sub(local_slot_ms);
    let moved_slot_ms: u128 = departing_services(answers)
        .filter(|(service, departure)| service.pool == pool && departure.to == region)
        .map(|(service, departure)| {
            demand_in_region(answers, pool, departure.from, service_demand(service))
        })
        .sum();
    let percent = capped_percent(free_slot_ms, moved_slot_ms);
    let reason = format!(
        "{percent}% that the slots of pool {} in region {} can run ({slots} slots, of which {reserved} are \
         reserved for the loss of a failure domain and {} are in use by calls of that region; all planned \
         departures to it need {})",
        record.name,
        answers.regions[region].name,
        local_slot_ms.div_ceil(1_000),
        moved_slot_ms.div_ceil(1_000),
    );
    CapEstimate { percent, reason }
}

/// Returns the percentage of all requests planned to cross the link of a departure that the usable part of the link can
/// carry.
fn link_cap(answers: &TeamAnswers, departure: &DepartureAnswer) -> CapEstimate {
    let pair = (departure.from, departure.to);
    let joins_pair = |one, other| (one, other) == pair || (other, one) == pair;
    let capacity = answers
        .links
        .iter()
        .find(|link| joins_pair(link.one, link.other))
        .map_or(DEFAULT_LINK_MBIT_PER_S, |link| {
            u128::from(link.capacity_mbit_per_s)
        });
    let usable_bits = capacity * 1_000_000 * USABLE_LINK_PERCENT / 100;
    let moved_bits: u128 = departing_services(answers)
        .filter(|(_, departure)| joins_pair(departure.from, departure.to))
        .map(|(service, departure)| {
            demand_in_region(
                answers,
                service.pool,
                departure.from,
                service_traffic(service),
            )
        })
        .sum();
    let percent = capped_percent(usable_bits, moved_bits);
    let reason = format!(
        "{percent}% that {USABLE_LINK_PERCENT}% of the link of {capacity} Mbit/s between {} and {} can carry",
        answers.regions[departure.from].name, answers.regions[departure.to].name,
    );
    CapEstimate { percent, reason }
}

/// Returns the services whose department has a planned departure, with that departure.
fn departing_services(
    answers: &TeamAnswers,
) -> impl Iterator<Item = (&ServiceAnswer, &DepartureAnswer)> {
    answers.services.iter().filter_map(|(_, service)| {
        let departure = answers.departments[service.department].departure.as_ref()?;
        Some((service, departure))
    })
}

/// Returns the demand of a service in slot-milliseconds per second.
fn service_demand(service: &ServiceAnswer) -> u128 {
    u128::from(service.calls_per_s) * u128::from(service.usual_ms)
}

/// Returns the traffic of a service in bits per second, in the direction that carries more.
fn service_traffic(service: &ServiceAnswer) -> u128 {
    let size = service.sends_kib.max(service.receives_kib);
    u128::from(service.calls_per_s) * u128::from(size) * BITS_PER_KIB
}

/// Returns the demand of all services of a pool in slot-milliseconds per second.
fn pool_demand(answers: &TeamAnswers, pool: PoolKey) -> u128 {
    let services = answers.services.iter().map(|(_, service)| service);
    services
        .filter(|service| service.pool == pool)
        .map(service_demand)
        .sum()
}

/// Returns the part of `demand`, in slot time or traffic, that comes from a region, rounded up. The part is
/// proportional to the pool's slots in the region.
fn demand_in_region(answers: &TeamAnswers, pool: PoolKey, region: RegionKey, demand: u128) -> u128 {
    let record = &answers.pools[pool];
    let total = record.slots * record.upstreams.len() as u64;
    let regional = region_slots(answers, record, region);
    (demand * u128::from(regional)).div_ceil(u128::from(total.max(1)))
}

fn region_slots(answers: &TeamAnswers, pool: &PoolAnswer, region: RegionKey) -> u64 {
    let domains = answers.domains.iter();
    domains
        .filter(|(_, domain)| domain.region == region)
        .map(|(domain, _)| domain_slots(pool, domain))
        .sum()
}

/// Returns the slots reserved for the loss of a failure domain: the largest number of the pool's slots in one failure
/// domain of the region, or zero if fewer than two failure domains of the region have slots of the pool.
fn reserved_slots(answers: &TeamAnswers, pool: &PoolAnswer, region: RegionKey) -> u64 {
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

/// Returns `available` in percent of `demand`, at most 100.
fn capped_percent(available: u128, demand: u128) -> u64 {
    if demand <= available {
        return 100;
    }
    u64::try_from(available * 100 / demand).unwrap_or(100)
}
