//! HTTP service of the entry listener: look-ups, liveness, readiness, and requests that are forwarded to upstreams.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::lookup_answer::lookup_answer;
use crate::request_flow::forward_request;
use crate::shared_state::SharedState;
use coltsfootkeel_transport::HttpService;

/// The HTTP service for callers.
#[derive(Debug)]
pub struct EntryService {
    shared: Arc<SharedState>,
}

/// The body of the liveness and readiness endpoints.
#[derive(Debug, Serialize)]
struct StateAnswer {
    state: &'static str,
}

impl EntryService {
    /// Creates the service.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    fn look_up(&self, peer: SocketAddr, request: &Request) -> Response {
        let client = match client_address(request, peer) {
            Ok(client) => client,
            Err(text) => {
                return json_response(StatusCode::BAD_REQUEST, &ErrorAnswer { error: text });
            }
        };
        self.shared.metrics.count_lookup();
        match lookup_answer(&self.shared, client) {
            Some(answer) => json_response(StatusCode::OK, &answer),
            None => json_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &ErrorAnswer { error: "not_ready" },
            ),
        }
    }

    fn readiness(&self) -> Response {
        let state = if self.shared.is_leaving() {
            "leaving"
        } else if self.shared.snapshot.load().is_none() {
            "starting"
        } else {
            return json_response(StatusCode::OK, &StateAnswer { state: "ready" });
        };
        json_response(StatusCode::SERVICE_UNAVAILABLE, &StateAnswer { state })
    }
}

impl HttpService for EntryService {
    async fn call(&self, peer: SocketAddr, request: Request) -> Response {
        if request.method() == Method::GET {
            match request.uri().path() {
                "/v1/look-up" => return self.look_up(peer, &request),
                "/v1/ready" => return self.readiness(),
                "/v1/live" => return json_response(StatusCode::OK, &StateAnswer { state: "live" }),
                _ => {}
            }
        }
        forward_request(&self.shared, request).await
    }
}

/// The body of an error response to a look-up.
#[derive(Debug, Serialize)]
pub struct ErrorAnswer<'a> {
    /// The error code.
    pub error: &'a str,
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let mut response = Response::new(Body::from(serde_json::to_vec(body).unwrap_or_default()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns the address for which the entry instances are ranked: the query parameter `client`, or else the address of
/// the peer.
fn client_address(request: &Request, peer: SocketAddr) -> Result<IpAddr, &'static str> {
    let query = request.uri().query().unwrap_or_default();
    let requested = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("client="));
    match requested {
        None => Ok(peer.ip()),
        Some(text) => text
            .replace("%3A", ":")
            .parse()
            .map_err(|_| "client_is_no_ip_address"),
    }
}
