//! Which entry instances a look-up names.

use std::net::SocketAddr;

use coltsfootkeel_model::RegionKey;

use crate::topology::RegionSet;

/// An instance that may be named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceView {
    /// Its address for callers.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionKey,
    /// Whether it takes requests: alive, ready and not leaving.
    pub is_accepting: bool,
}

/// Who asks, and where the host's routes may be served.
#[derive(Debug, Clone, Copy)]
pub struct LookupQuery {
    /// The caller's region, if it is known.
    pub region: Option<RegionKey>,
    /// The regions of the host's routes.
    pub allowed_regions: RegionSet,
}

/// Returns the addresses for a look-up: the instances of the caller's region, or, if none of them takes requests, those
/// of the regions in which the host may be served.
#[must_use]
pub fn select_instances(
    ask: LookupQuery,
    instances: &[InstanceView],
    most: usize,
) -> Vec<SocketAddr> {
    let open = || instances.iter().filter(|instance| instance.is_accepting);
    let addresses = |accepts: &dyn Fn(&InstanceView) -> bool| -> Vec<SocketAddr> {
        let accepted = open().filter(|instance| accepts(instance));
        accepted
            .take(most)
            .map(|instance| instance.address)
            .collect()
    };
    let near = addresses(&|instance| Some(instance.region) == ask.region);
    if !near.is_empty() {
        return near;
    }
    let at_home = addresses(&|instance| ask.allowed_regions.contains(instance.region));
    if !at_home.is_empty() {
        return at_home;
    }
    addresses(&|_| true)
}
