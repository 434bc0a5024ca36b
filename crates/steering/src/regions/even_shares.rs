//! The shares of the regions if the callers of each failure domain need as many slots.
//!
//! Load pattern: regions have unequal numbers of upstreams, and their demand is not known or changes all the time. These
//! shares change only with the upstreams.

use coltsfootkeel_model::{Arena, RegionKey};

/// Largest share of the callers' region. The rest keeps the times of the other regions measured.
pub(crate) const MAX_LOCAL_SHARE: f64 = 0.95;
/// Part of a region's slots that counts as free for the callers of other regions if its own callers need all of them.
const MIN_SPARE_FRACTION: f64 = 0.1;

/// The size of one region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionSize {
    /// Requests that its upstreams run concurrently.
    pub slots: f64,
    /// Its failure domains, whether they have upstreams or not.
    pub domains: u32,
}

/// Returns the shares for the callers of `local`: their region serves what its slots allow, and the others the rest by
/// their spare slots.
pub(crate) fn even_shares(
    local: RegionKey,
    regions: &Arena<RegionKey, RegionSize>,
) -> Arena<RegionKey, f64> {
    let slots_per_domain = slots_per_domain(regions);
    let local_share = local_share(&regions[local], slots_per_domain);
    let others = regions.iter().filter(|(region, _)| *region != local);
    let total_spare: f64 = others
        .map(|(_, size)| spare_slots(size, slots_per_domain))
        .sum();
    let share = |(region, size): (RegionKey, &RegionSize)| {
        if region == local {
            local_share
        } else {
            (1.0 - local_share) * spare_slots(size, slots_per_domain) / total_spare.max(1.0)
        }
    };
    regions.iter().map(share).collect()
}

/// Returns the slots of the pool per failure domain.
fn slots_per_domain(regions: &Arena<RegionKey, RegionSize>) -> f64 {
    let slots: f64 = regions.iter().map(|(_, size)| size.slots).sum();
    let domains: u32 = regions.iter().map(|(_, size)| size.domains).sum();
    slots / f64::from(domains.max(1))
}

/// Returns the fraction of its callers' requests that a region serves itself.
fn local_share(size: &RegionSize, slots_per_domain: f64) -> f64 {
    let needed = slots_per_domain * f64::from(size.domains);
    (size.slots / needed.max(1.0)).min(MAX_LOCAL_SHARE)
}

/// Returns the slots of a region that its own callers leave to those of other regions.
fn spare_slots(size: &RegionSize, slots_per_domain: f64) -> f64 {
    let needed = slots_per_domain * f64::from(size.domains);
    (size.slots - needed).max(size.slots * MIN_SPARE_FRACTION)
}
