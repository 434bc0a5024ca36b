//! Regions and failure domains of the fleet.

use std::collections::BTreeMap;

use coltsfootkeel_model::{Arena, ArenaKey, DomainKey, RegionKey};
use thiserror::Error;

/// Regions that one [`RegionSet`] can hold.
pub const MAX_REGIONS: usize = 64;

/// A set of regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// All regions.
    pub const ANY: Self = Self(u64::MAX);
    /// No region.
    pub const NONE: Self = Self(0);

    /// Returns the set with one more region.
    #[must_use]
    pub fn with(self, region: RegionKey) -> Self {
        Self(self.0 | 1 << region.index())
    }

    /// Tells whether a region is in the set.
    #[must_use]
    pub fn contains(self, region: RegionKey) -> bool {
        self.0 >> region.index() & 1 == 1
    }

    /// Returns the regions that are in both sets.
    #[must_use]
    pub fn intersect(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns the regions that are in one of the sets.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }
}

/// A failure domain.
#[derive(Debug)]
pub struct FailureDomain {
    /// Its name.
    pub name: String,
    /// The region it lies in.
    pub region: RegionKey,
}

/// The regions and failure domains that the settings name.
#[derive(Debug, Default)]
pub struct FleetTopology {
    /// The failure domains.
    pub domains: Arena<DomainKey, FailureDomain>,
    /// The names of the regions.
    pub regions: Arena<RegionKey, String>,
}

/// Why the places of the settings cannot be used.
#[derive(Debug, Error)]
pub enum TopologyError {
    /// There are more regions than a set can hold.
    #[error("{0} regions are named, at most {MAX_REGIONS} are supported")]
    TooManyRegions(usize),
}

impl FleetTopology {
    /// Finds a failure domain by name.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<DomainKey> {
        self.domains.find(|domain| domain.name == name)
    }

    /// Finds a region by name.
    #[must_use]
    pub fn region(&self, name: &str) -> Option<RegionKey> {
        self.regions.find(|region| region == name)
    }

    /// Returns the named regions as a set. No name at all allows every region; a name that is unknown allows none.
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

/// Makes the table from the region of each failure domain, by name.
impl TryFrom<&BTreeMap<String, String>> for FleetTopology {
    type Error = TopologyError;

    fn try_from(region_of: &BTreeMap<String, String>) -> Result<Self, TopologyError> {
        let mut table = Self::default();
        for (domain, region_name) in region_of {
            let known = table.region(region_name);
            let region = known.unwrap_or_else(|| table.regions.push(region_name.clone()));
            table.domains.push(FailureDomain {
                name: domain.clone(),
                region,
            });
        }
        if table.regions.len() > MAX_REGIONS {
            return Err(TopologyError::TooManyRegions(table.regions.len()));
        }
        Ok(table)
    }
}
