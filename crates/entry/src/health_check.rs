//! Asks an upstream for its health.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::read_report;
use coltsfootkeel_transport::{ReuseRule, UpstreamLink};
use http::header::HOST;
use http::{HeaderValue, StatusCode, Uri};
use volo_http::body::Body;

use crate::control_event::ControlEvent;
use crate::entry_metrics::CounterName;
use crate::entry_snapshot::ListedUpstream;
use crate::shared_state::SharedState;

/// Time a check may take. It usually takes about 6 ms and a round trip, but it waits for a slot.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks one upstream and reports the result.
pub async fn check_upstream(shared: Arc<SharedState>, listed: ListedUpstream, health_path: String) {
    shared.metrics.count(CounterName::HealthChecks);
    let asked = tokio::time::timeout(CHECK_TIMEOUT, ask(&shared, &listed, &health_path)).await;
    let cold_for = asked.ok().flatten();
    log::info!(
        upstream = listed.state.info.id.as_str(),
        well = cold_for.is_some();
        "health: An upstream was checked."
    );
    shared.report(ControlEvent::Checked {
        upstream: listed.state.info.id.clone(),
        cold_for,
    });
}

/// Returns how long the upstream stays cold, if it is well and the one that is expected.
async fn ask(shared: &SharedState, listed: &ListedUpstream, path: &str) -> Option<Duration> {
    let mut request = hyper::Request::new(Body::empty());
    *request.uri_mut() = Uri::try_from(path).ok()?;
    let host = HeaderValue::from_str(&listed.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    // A connection of its own: one that went silent must not hide that the upstream is back.
    let link = UpstreamLink::new(listed.address, 1);
    let now = shared.clock.now();
    let sent = link.send(now, request, ReuseRule::NEW_CONNECTION).await;
    let response = sent.ok()?;
    let report = read_report(response.headers());
    let is_other = report
        .upstream
        .is_some_and(|upstream| upstream != listed.state.info.id);
    if is_other {
        listed.state.mark_address_reused();
    }
    (response.status() == StatusCode::OK && !is_other).then_some(report.cold_for)
}
