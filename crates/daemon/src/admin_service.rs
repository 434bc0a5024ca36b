//! The listener for operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use tokio::sync::oneshot;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::control_event::ControlEvent;
use crate::entry_service::{ErrorAnswer, json_response};
use crate::http_listener::HttpService;
use crate::shared_state::SharedState;

/// Time the control thread has to answer.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves operators.
#[derive(Debug)]
pub struct AdminService {
    shared: Arc<SharedState>,
}

impl AdminService {
    /// Makes the service.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    async fn dump(&self) -> Response {
        let (reply, answer) = oneshot::channel();
        self.shared.report(ControlEvent::Dump(reply));
        match tokio::time::timeout(DUMP_TIMEOUT, answer).await {
            Ok(Ok(dump)) => json_response(StatusCode::OK, &dump),
            _ => json_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &ErrorAnswer { error: "no_answer" },
            ),
        }
    }
}

impl HttpService for AdminService {
    async fn call(&self, _peer: SocketAddr, request: Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/dump") => self.dump().await,
            _ => json_response(StatusCode::NOT_FOUND, &ErrorAnswer { error: "not_found" }),
        }
    }
}
