//! How the requests of a region are divided over the regions.

pub(crate) mod region_spread;
pub(crate) mod topology;
