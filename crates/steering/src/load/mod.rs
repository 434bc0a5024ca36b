//! What is known of each upstream: requests in flight, load reports, slowness, response times and cold starts.

pub(crate) mod cold_pacing;
pub(crate) mod load_report;
pub(crate) mod load_view;
pub(crate) mod reported_load;
pub(crate) mod service_times;
pub(crate) mod slowness_meter;
pub(crate) mod upstream_state;
