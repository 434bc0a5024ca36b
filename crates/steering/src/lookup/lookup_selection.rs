//! Selects the entry instances that a look-up returns.

use std::net::SocketAddr;

use coltsfootkeel_model::RegionKey;

use crate::regions::topology::RegionSet;

/// An entry instance that a look-up may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceView {
    /// Address on which the instance accepts requests of callers.
    pub address: SocketAddr,
    /// Region of the instance.
    pub region: RegionKey,
    /// Whether the instance accepts requests: it is alive, ready and not stopping.
    pub is_accepting: bool,
}

/// Regions that decide the result of a look-up.
#[derive(Debug, Clone, Copy)]
pub struct LookupQuery {
    /// Region of the caller, or `None` if it is unknown.
    pub region: Option<RegionKey>,
    /// Regions in which the requested host may be served.
    pub allowed_regions: RegionSet,
}

/// Returns up to `max_addresses` addresses: the accepting instances in the region of the caller, or else those in the
/// regions in which the host may be served, or else all accepting instances.
#[must_use]
pub fn select_instances(
    query: LookupQuery,
    instances: &[InstanceView],
    max_addresses: usize,
) -> Vec<SocketAddr> {
    let accepting = || instances.iter().filter(|instance| instance.is_accepting);
    let addresses = |is_match: &dyn Fn(&InstanceView) -> bool| -> Vec<SocketAddr> {
        let matching = accepting().filter(|instance| is_match(instance));
        matching
            .take(max_addresses)
            .map(|instance| instance.address)
            .collect()
    };
    let local = addresses(&|instance| Some(instance.region) == query.region);
    if !local.is_empty() {
        return local;
    }
    let allowed = addresses(&|instance| query.allowed_regions.contains(instance.region));
    if !allowed.is_empty() {
        return allowed;
    }
    addresses(&|_| true)
}
