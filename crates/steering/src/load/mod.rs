//! What is known of each upstream: requests in flight, slowness, response times and cold starts.

pub(crate) mod cold_pacing;
pub(crate) mod service_times;
pub(crate) mod upstream_state;
