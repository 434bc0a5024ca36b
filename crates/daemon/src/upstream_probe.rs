//! Probes of the health and load endpoints of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use coltsfootkeel_decisions::{LoadReport, ProbeResult};
use http::{HeaderValue, Uri, header::HOST};
use http_body_util::BodyExt;
use serde::Deserialize;
use volo_http::body::Body;

use crate::control_event::ControlEvent;
use crate::shared_state::SharedState;
use coltsfootkeel_transport::{ReusePolicy, UpstreamClient};

/// Time limit for one request of a probe. A probe usually takes about 6 ms.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of a response body in bytes; a longer one counts as a failure.
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// An upstream to probe.
#[derive(Debug, Clone)]
pub struct ProbeTarget {
    /// The name of the upstream.
    pub upstream: String,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The path of the health endpoint.
    pub health_path: String,
    /// The path of the load endpoint.
    pub load_path: String,
    /// The number of slots of the upstream, from which the load in percent is computed.
    pub slots: u32,
}

#[derive(Debug, Deserialize)]
struct HealthResponse {
    state: String,
}

#[derive(Debug, Deserialize)]
struct LoadResponse {
    slots_in_use: u32,
}

/// Probes one upstream and reports the result to the control thread. The load is requested only if the health endpoint
/// responds.
pub async fn probe_upstream(shared: Arc<SharedState>, target: ProbeTarget) {
    let client = UpstreamClient::new(target.address, 1);
    let health: Option<HealthResponse> =
        fetch_json(&shared, &client, &target, &target.health_path).await;
    let load: Option<LoadResponse> = match health {
        Some(_) => fetch_json(&shared, &client, &target, &target.load_path).await,
        None => None,
    };
    client.close_idle();
    let result = match health {
        Some(health) => ProbeResult::Answered {
            draining: health.state == "draining",
        },
        None => ProbeResult::Failed,
    };
    shared.send_event(ControlEvent::Probe {
        load: load.map(|load| LoadReport {
            busy_percent: load.slots_in_use.saturating_mul(100) / target.slots.max(1),
        }),
        upstream: target.upstream,
        result,
    });
}

/// Returns the JSON response of `path`, or `None` if it does not arrive in time, is malformed or has no success status.
async fn fetch_json<T: for<'de> Deserialize<'de>>(
    shared: &SharedState,
    client: &UpstreamClient,
    target: &ProbeTarget,
    path: &str,
) -> Option<T> {
    let mut request = hyper::Request::new(Body::empty());
    *request.uri_mut() = Uri::try_from(path).ok()?;
    let host = HeaderValue::from_str(&target.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let exchange = async {
        let response = client
            .send(shared.clock.now(), request, ReusePolicy::RETRYABLE)
            .await
            .ok()?;
        if !response.status().is_success() {
            return None;
        }
        let mut body = response.into_body();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.ok()?.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > MAX_RESPONSE_BYTES {
                return None;
            }
        }
        client.put_idle(shared.clock.now(), body.into_connection());
        serde_json::from_slice(&bytes).ok()
    };
    tokio::time::timeout(PROBE_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}
