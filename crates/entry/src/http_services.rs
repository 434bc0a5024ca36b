//! The listeners: requests of callers, calls that the instance answers itself, and insight.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_adapter::{LookupCall, MAX_ADDRESSES, OwnCall, lookup_body, read_own_call};
use coltsfootkeel_steering::{LookupQuery, RegionSet, select_instances};
use coltsfootkeel_transport::HttpService;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Method, StatusCode};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::entry_metrics::{CounterName, GaugeValues};
use crate::request_flow::carry_request;
use crate::shared_state::SharedState;
use crate::state_dump::dump_state;

/// How long a look-up's answer may be kept, unless the users' bound is shorter. Some callers keep it three times as
/// long, which is still within the grace of a planned stop.
const LOOKUP_LIFE: Duration = Duration::from_millis(1_500);
const METRICS_PATH: &str = "/metrics";
const STATE_PATH: &str = "/state";

/// Carries requests of callers.
#[derive(Debug)]
pub struct CallerService {
    shared: Arc<SharedState>,
}

impl CallerService {
    /// Makes the service.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

impl HttpService for CallerService {
    async fn call(&self, _peer: SocketAddr, request: Request) -> Response {
        let mut response = carry_request(&self.shared, request).await;
        if self.shared.is_leaving() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

/// Answers readiness checks and look-ups.
#[derive(Debug)]
pub struct OwnService {
    shared: Arc<SharedState>,
}

impl OwnService {
    /// Makes the service.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn look_up(&self, call: &LookupCall) -> Response {
        self.shared.metrics.count(CounterName::LookUps);
        let snapshot = self.shared.snapshot.load();
        let allowed_regions = snapshot.as_ref().map_or(RegionSet::ANY, |snapshot| {
            snapshot.plan.host_regions(&call.host)
        });
        let ask = LookupQuery {
            region: self.shared.places.region(&call.region),
            allowed_regions,
        };
        let fleet = self.shared.fleet.load();
        let addresses = select_instances(ask, &fleet.instances, MAX_ADDRESSES);
        if addresses.is_empty() {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let life = LOOKUP_LIFE.min(self.shared.bounds.load().lookup_life);
        match lookup_body(&addresses, life) {
            Ok(body) => json_response(body),
            Err(error) => {
                log::error!("look-up: The answer cannot be encoded: {error}.");
                status_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

impl HttpService for OwnService {
    async fn call(&self, _peer: SocketAddr, request: Request) -> Response {
        if request.method() != Method::GET {
            return status_response(StatusCode::METHOD_NOT_ALLOWED);
        }
        match read_own_call(request.uri()) {
            Some(OwnCall::Ready) if self.shared.is_open() => status_response(StatusCode::OK),
            Some(OwnCall::Ready) => status_response(StatusCode::SERVICE_UNAVAILABLE),
            Some(OwnCall::LookUp(call)) => self.look_up(&call),
            None => status_response(StatusCode::NOT_FOUND),
        }
    }
}

/// Serves metrics and the state dump.
#[derive(Debug)]
pub struct InsightService {
    shared: Arc<SharedState>,
}

impl InsightService {
    /// Makes the service.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn metrics(&self) -> Response {
        let snapshot = self.shared.snapshot.load();
        let usable = snapshot.as_ref().map_or(0, |snapshot| {
            let upstreams = snapshot.upstreams.iter();
            upstreams
                .filter(|(_, listed)| listed.state.is_usable())
                .count()
        });
        let now = self.shared.clock.now_with_suspension();
        let text = self.shared.metrics.render(GaugeValues {
            plan_version: snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.plan.version),
            plan_age: self.shared.freshness.age(now),
            in_flight: self.shared.in_flight.load(Ordering::Acquire),
            usable_upstreams: usable,
            instances: self.shared.fleet.load().hashes.len(),
        });
        let mut response = Response::new(Body::from(text));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}

impl HttpService for InsightService {
    async fn call(&self, _peer: SocketAddr, request: Request) -> Response {
        match request.uri().path() {
            METRICS_PATH => self.metrics(),
            STATE_PATH => json_response(dump_state(&self.shared).to_string()),
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }
}

fn status_response(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn json_response(body: String) -> Response {
    let mut response = Response::new(Body::from(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
