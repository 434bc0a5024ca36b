//! How a request finds its upstream: warm places, cache sizes and the choice itself.

pub(crate) mod affinity_table;
pub(crate) mod cache_estimator;
pub(crate) mod placement_decision;
pub(crate) mod placement_request;
pub(crate) mod region_candidates;
pub(crate) mod room_forecast;
pub(crate) mod spill_budget;
