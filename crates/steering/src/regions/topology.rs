//! Regions and failure domains of the fleet.

use std::collections::BTreeMap;

use coltsfootkeel_model::{Arena, ArenaKey, DomainKey, RegionKey};
use thiserror::Error;

/// Maximum number of regions in a [`RegionSet`].
pub const MAX_REGIONS: usize = 64;

/// A set of regions, stored as a bit mask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// The set of all regions.
    pub const ANY: Self = Self(u64::MAX);
    /// The empty set.
    pub const NONE: Self = Self(0);

    /// Returns the set with this bit mask, in which each region has the bit of its key.
    #[must_use]
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the bit mask of the set.
    #[must_use]
    pub fn bits(self) -> u64 {
        self.0
    }

    /// Returns the set with the region added.
    #[must_use]
    pub fn with(self, region: RegionKey) -> Self {
        Self(self.0 | 1 << region.index())
    }

    /// Returns whether the set contains the region.
    #[must_use]
    pub fn contains(self, region: RegionKey) -> bool {
        self.0 >> region.index() & 1 == 1
    }

    /// Returns the regions that are in both sets.
    #[must_use]
    pub fn intersect(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns the regions that are in at least one of the sets.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }
}

/// A failure domain and its region.
#[derive(Debug)]
pub struct FailureDomain {
    /// Name of the failure domain in the settings.
    pub name: String,
    /// Region that the failure domain belongs to.
    pub region: RegionKey,
}

/// All regions and failure domains from the settings.
#[derive(Debug, Default)]
pub struct FleetTopology {
    /// All failure domains.
    pub domains: Arena<DomainKey, FailureDomain>,
    /// Names of all regions.
    pub regions: Arena<RegionKey, String>,
}

/// Reason why the regions in the settings are invalid.
#[derive(Debug, Error)]
pub enum TopologyError {
    /// The settings name more regions than a [`RegionSet`] can hold.
    #[error("the settings name {0} regions; at most {MAX_REGIONS} are supported")]
    TooManyRegions(usize),
}

impl FleetTopology {
    /// Returns the failure domain with this name.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<DomainKey> {
        self.domains.find(|domain| domain.name == name)
    }

    /// Returns the region with this name.
    #[must_use]
    pub fn region(&self, name: &str) -> Option<RegionKey> {
        self.regions.find(|region| region == name)
    }

    /// Returns the set of the named regions. An empty list allows every region; an unknown name adds none.
    #[must_use]
    pub fn region_set(&self, names: &[String]) -> RegionSet {
        if names.is_empty() {
            return RegionSet::ANY;
        }
        names
            .iter()
            .filter_map(|name| self.region(name))
            .fold(RegionSet::NONE, RegionSet::with)
    }
}

/// Builds the topology from a map of failure domain names to region names.
impl TryFrom<&BTreeMap<String, String>> for FleetTopology {
    type Error = TopologyError;

    fn try_from(region_by_domain: &BTreeMap<String, String>) -> Result<Self, TopologyError> {
        let mut topology = Self::default();
        for (domain, region_name) in region_by_domain {
            let existing = topology.region(region_name);
            let region = existing.unwrap_or_else(|| topology.regions.push(region_name.clone()));
            topology.domains.push(FailureDomain {
                name: domain.clone(),
                region,
            });
        }
        if topology.regions.len() > MAX_REGIONS {
            return Err(TopologyError::TooManyRegions(topology.regions.len()));
        }
        Ok(topology)
    }
}
