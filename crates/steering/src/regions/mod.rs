//! How the requests of a region are divided over the regions.

pub(crate) mod demand_division;
pub(crate) mod demand_table;
pub(crate) mod even_shares;
pub(crate) mod offered_work;
pub(crate) mod region_spread;
pub(crate) mod topology;
