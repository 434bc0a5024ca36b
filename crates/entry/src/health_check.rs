//! Health checks of upstreams.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::read_health_report;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_transport::{ReusePolicy, UpstreamClient};
use http::header::HOST;
use http::{HeaderValue, StatusCode, Uri};
use volo_http::body::Body;

use crate::control_event::ControlEvent;
use crate::control_loop::ControlLoop;
use crate::entry_metrics::CounterName;
use crate::entry_snapshot::ListedUpstream;
use crate::load_exchange::record_load;
use crate::shared_state::SharedState;
use crate::upstream_exchange::record_signals;

/// The timeout of a health check. A check usually takes about 6 ms and a round trip, but it may wait for a slot.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest time between two health checks of one upstream.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(600);

impl ControlLoop {
    /// Starts health checks of upstreams that are unreachable or suspected to be, and of those in `requested_checks`.
    pub(crate) fn start_checks(&mut self, now: MonotonicTime) {
        let mut due: Vec<(ListedUpstream, String)> = Vec::new();
        for upstream in self.registry.iter() {
            let id = &upstream.record.id;
            let is_requested =
                upstream.listed.state.needs_health_check() || self.requested_checks.contains(id);
            let last = self.checked_at.get(id);
            let is_due = last.is_none_or(|last| now.since(*last) > MIN_CHECK_PERIOD);
            if is_requested
                && is_due
                && upstream.listed.state.is_usable()
                && !upstream.listed.state.is_address_reused()
            {
                due.push((upstream.listed.clone(), upstream.record.pool.clone()));
            }
        }
        for (listed, pool_name) in due {
            self.checked_at.insert(listed.state.info.id.clone(), now);
            let plan = self.plan.as_ref();
            let health_path = plan.and_then(|plan| {
                let pool = plan.pools.find(|pool| pool.name == pool_name)?;
                Some(plan.pools[pool].health_path.clone())
            });
            if let Some(health_path) = health_path {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(check_upstream(shared, listed, health_path));
            }
        }
    }
}

/// Checks the health of an upstream and reports the result to the control thread.
async fn check_upstream(shared: Arc<SharedState>, listed: ListedUpstream, health_path: String) {
    shared.metrics.count(CounterName::HealthChecks);
    let checked = tokio::time::timeout(
        CHECK_TIMEOUT,
        request_health(&shared, &listed, &health_path),
    )
    .await;
    let cold_start_remaining = checked.ok().flatten();
    log::info!(
        upstream = listed.state.info.id.as_str(),
        well = cold_start_remaining.is_some();
        "health: An upstream was checked."
    );
    shared.send_event(ControlEvent::Checked {
        upstream: listed.state.info.id.clone(),
        cold_start_remaining,
    });
}

/// Requests the health of an upstream. Returns how long it stays cold, or `None` if it does not answer, is not healthy
/// or is another upstream at the same address.
async fn request_health(
    shared: &SharedState,
    listed: &ListedUpstream,
    path: &str,
) -> Option<Duration> {
    let mut request = hyper::Request::new(Body::empty());
    *request.uri_mut() = Uri::try_from(path).ok()?;
    let host = HeaderValue::from_str(&listed.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    // The check uses a new connection, because an idle one may be dead although the upstream is reachable again.
    let client = UpstreamClient::new(listed.address, 1);
    let now = shared.clock.now();
    let sent = client.send(now, request, ReusePolicy::NEW_CONNECTION).await;
    let response = sent.ok()?;
    let report = read_health_report(response.headers());
    let is_other = report
        .upstream
        .is_some_and(|upstream| upstream != listed.state.info.id);
    if is_other {
        listed.state.mark_address_reused();
    } else {
        let now = shared.clock.now();
        record_signals(&listed.state, response.headers(), now);
        record_load(shared, &listed.state, response.headers(), 0, now);
    }
    (response.status() == StatusCode::OK && !is_other).then_some(report.cold_start_remaining)
}
