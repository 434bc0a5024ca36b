//! The HTTP services of the listeners: requests of callers, readiness and look-ups, and diagnostics.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use coltsfootkeel_adapter::{
    LocalCall, LookupCall, MAX_LOOKUP_ADDRESSES, encode_lookup_reply, parse_local_call,
};
use coltsfootkeel_steering::{
    HandedOut, LookupQuery, RegionSet, UpstreamState, select_instances, select_weighted,
    stable_hash,
};
use coltsfootkeel_transport::{EarlyEvent, HttpService, ReadAheadLimits};
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderValue, Method, StatusCode};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::early_requests::{READ_AHEAD_LIMITS, count_early, may_start_early};
use crate::entry_metrics::{CounterName, GaugeValues};
use crate::request_flow::handle_request;
use crate::shared_state::SharedState;
use crate::state_dump::dump_state;

/// The longest time for which the answer to a look-up may be cached; the bound in the settings may be shorter. Some
/// callers cache it three times as long, which is still within the grace period of a planned stop.
const MAX_LOOKUP_TTL: Duration = Duration::from_millis(1_500);
const METRICS_PATH: &str = "/metrics";
const STATE_PATH: &str = "/state";

/// Processes requests of callers.
#[derive(Debug)]
pub struct CallerService {
    shared: Arc<SharedState>,
}

impl CallerService {
    /// Creates the service.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }
}

impl HttpService for CallerService {
    async fn call(&self, _peer: SocketAddr, request: Request) -> Response {
        handle_request(&self.shared, request).await
    }

    fn read_ahead_limits(&self) -> Option<ReadAheadLimits> {
        Some(READ_AHEAD_LIMITS)
    }

    fn may_start_early(&self, head: &Parts, started: usize) -> bool {
        may_start_early(&self.shared, head, started)
    }

    fn closes_connections(&self) -> bool {
        self.shared.is_stopping()
    }

    fn record_early(&self, event: EarlyEvent, count: usize) {
        count_early(&self.shared, event, count);
    }
}

/// Answers readiness checks and look-ups of entry instances.
#[derive(Debug)]
pub struct LookupService {
    shared: Arc<SharedState>,
    handed_out: Mutex<HandedOut>,
}

impl LookupService {
    /// Creates the service.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            handed_out: Mutex::default(),
        }
    }

    fn select_addresses(&self, query: LookupQuery) -> Vec<SocketAddr> {
        let fleet = self.shared.fleet.load();
        let Some(weights) = &fleet.weights else {
            return select_instances(query, &fleet.instances, MAX_LOOKUP_ADDRESSES);
        };
        self.shared.metrics.count(CounterName::WeightedLookUps);
        if fleet.is_cut_off {
            self.shared.metrics.count(CounterName::CutOffLookUps);
        }
        // A panic elsewhere leaves counts that are at most off by one answer.
        let mut handed_out = self
            .handed_out
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        select_weighted(
            query,
            &fleet.instances,
            weights,
            &mut handed_out,
            MAX_LOOKUP_ADDRESSES,
            self.shared.clock.now(),
        )
    }

    fn look_up(&self, call: &LookupCall, caller: IpAddr) -> Response {
        self.shared.metrics.count(CounterName::LookUps);
        let snapshot = self.shared.snapshot.load();
        let allowed_regions = snapshot.as_ref().map_or(RegionSet::ANY, |snapshot| {
            snapshot.plan.host_regions(&call.host)
        });
        let query = LookupQuery {
            region: self.shared.topology.region(&call.region),
            domain: self.shared.topology.domain(&call.domain),
            allowed_regions,
            caller: stable_hash(caller.to_string().as_bytes()),
        };
        let addresses = self.select_addresses(query);
        if addresses.is_empty() {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let ttl = MAX_LOOKUP_TTL.min(self.shared.bounds.load().max_lookup_ttl);
        match encode_lookup_reply(&addresses, ttl) {
            Ok(body) => json_response(body),
            Err(error) => {
                log::error!("look-up: The answer cannot be encoded: {error}.");
                status_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

impl HttpService for LookupService {
    async fn call(&self, peer: SocketAddr, request: Request) -> Response {
        if request.method() != Method::GET {
            return status_response(StatusCode::METHOD_NOT_ALLOWED);
        }
        match parse_local_call(request.uri()) {
            Some(LocalCall::Ready) if self.shared.is_accepting() => status_response(StatusCode::OK),
            Some(LocalCall::Ready) => status_response(StatusCode::SERVICE_UNAVAILABLE),
            Some(LocalCall::LookUp(call)) => self.look_up(&call, peer.ip()),
            None => status_response(StatusCode::NOT_FOUND),
        }
    }
}

/// Serves the metrics and the state dump.
#[derive(Debug)]
pub struct DiagnosticsService {
    shared: Arc<SharedState>,
}

impl DiagnosticsService {
    /// Creates the service.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn metrics(&self) -> Response {
        let snapshot = self.shared.snapshot.load();
        let count_upstreams = |is_counted: &dyn Fn(&UpstreamState) -> bool| {
            snapshot.as_ref().map_or(0, |snapshot| {
                let upstreams = snapshot.upstreams.iter();
                upstreams
                    .filter(|(_, listed)| is_counted(&listed.state))
                    .count()
            })
        };
        let steady_now = self.shared.clock.now();
        let now = self.shared.clock.now_with_suspension();
        let gauges = GaugeValues {
            plan_version: snapshot
                .as_ref()
                .map_or(0, |snapshot| snapshot.plan.version),
            newest_plan_version: self.shared.freshness.newest_version(),
            plan_age: self.shared.freshness.age(now),
            in_flight: self.shared.in_flight.load(Ordering::Acquire),
            kept_bytes: self.shared.kept_bytes.taken(),
            usable_upstreams: count_upstreams(&UpstreamState::is_usable),
            limited_upstreams: count_upstreams(&|state| {
                state.rate_limit.limit(steady_now).is_some()
            }),
            instances: self.shared.instance_count(),
            room: self.shared.own_room(),
        };
        let regions = &self.shared.topology.regions;
        let text = self.shared.metrics.render(gauges, regions);
        let mut response = Response::new(Body::from(text));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}

impl HttpService for DiagnosticsService {
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
