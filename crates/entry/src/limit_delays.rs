//! What the rate limits of upstreams mean for one request: its demand, and how long it or its caller has to wait.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::RegionKey;
use coltsfootkeel_steering::UpstreamLimit;

use crate::request_context::RequestContext;
use crate::upstream_candidates::is_allowed;

/// Counts the request as demand for the upstreams with a rate limit in its region, by which the instances divide the
/// limits.
pub fn count_limited_demand(context: &RequestContext, region: RegionKey) {
    let now = context.shared.clock.now();
    for key in &context.listed_pool().upstreams {
        let listed = &context.snapshot.upstreams[*key];
        let is_limited = listed.state.rate_limit.limit(now).is_some();
        if is_limited && listed.state.info.region == region && is_allowed(context, listed) {
            listed.state.rate_limit.count_demand();
        }
    }
}

/// Returns the time until the rate limits of the upstreams that may run the request let this instance send one; zero if
/// one of them has none.
pub fn time_until_send(context: &RequestContext) -> Duration {
    shortest_delay(context, UpstreamLimit::time_until_send)
}

/// Returns the time after which a caller that is refused because of rate limits may be served by any instance.
pub fn retry_delay(context: &RequestContext) -> Duration {
    shortest_delay(context, UpstreamLimit::retry_delay)
}

fn shortest_delay(
    context: &RequestContext,
    delay: impl Fn(&UpstreamLimit, MonotonicTime) -> Duration,
) -> Duration {
    let now = context.shared.clock.now();
    let upstreams = context.listed_pool().upstreams.iter();
    let allowed = upstreams
        .map(|key| &context.snapshot.upstreams[*key])
        .filter(|listed| is_allowed(context, listed));
    let delays = allowed.map(|listed| delay(&listed.state.rate_limit, now));
    delays.min().unwrap_or_default()
}
