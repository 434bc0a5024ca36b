//! HTTP server of the platform stand-in: objects, watches, instances, faults and call counts.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use volo_http::body::{Body, BodyConversion};
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::extract::Query;
use volo_http::server::route::Router;
use volo_http::server::{IntoResponse, Server};

use crate::backoff_incoming::BackoffIncoming;
use crate::instance_list::{InstanceDetails, InstanceList};
use crate::object_store::{ObjectChange, ObjectStore, StoreCondition, StoreRefusal};
use crate::platform_faults::{CallCounts, CallKind, DownMode, PlatformFaults};

const OBJECT_PATH: &str = "/v1/objects/";
const INSTANCE_PATH: &str = "/v1/instances/";

/// Settings of the platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time after which a change appears in the list of instances, in milliseconds.
    pub instance_lag_ms: u64,
}

/// Reason why the platform stand-in failed.
#[derive(Debug, Error)]
pub enum PlatformStandinError {
    /// The listener could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The HTTP server failed.
    #[error("the server of the platform stand-in failed: {0}")]
    Serve(Box<dyn std::error::Error + Send + Sync>),
}

/// Runs the platform stand-in until the process receives SIGINT, SIGHUP or SIGTERM.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on or the server fails.
pub async fn run_platform(options: PlatformOptions) -> Result<(), PlatformStandinError> {
    let address = options.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| PlatformStandinError::Listen { address, source })?;
    serve_platform(listener, options.instance_lag_ms).await
}

/// Runs the platform stand-in on a listener that is already bound.
///
/// # Errors
///
/// Returns an error if the server fails.
pub async fn serve_platform(
    listener: TcpListener,
    instance_lag_ms: u64,
) -> Result<(), PlatformStandinError> {
    let state = Arc::new(PlatformState::new(instance_lag_ms));
    Server::new(build_router(&state))
        .run(BackoffIncoming::new(listener))
        .await
        .map_err(PlatformStandinError::Serve)
}

#[derive(Debug)]
struct PlatformContent {
    store: ObjectStore,
    instances: InstanceList,
    faults: PlatformFaults,
    counts: CallCounts,
}

#[derive(Debug)]
struct PlatformState {
    content: Mutex<PlatformContent>,
    /// Wakes pending watches after a change of the store or of the faults.
    changes: watch::Sender<()>,
    started: Instant,
}

impl PlatformState {
    fn new(instance_lag_ms: u64) -> Self {
        let content = PlatformContent {
            store: ObjectStore::default(),
            instances: InstanceList::new(instance_lag_ms),
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
        };
        Self {
            content: Mutex::new(content),
            changes: watch::Sender::new(()),
            started: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformContent> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Counts a call, applies the configured delay, and returns an error answer if the platform is set to be down.
    async fn begin_call(&self, kind: CallKind) -> Option<Response> {
        let slow_ms = {
            let mut content = self.lock();
            content.counts.add(kind);
            content.faults.slow_ms
        };
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        self.outage_answer()
    }

    fn outage_answer(&self) -> Option<Response> {
        match self.lock().faults.down {
            DownMode::Up => None,
            DownMode::Unavailable => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            DownMode::Closed => Some(connection_closing_answer()),
        }
    }
}

fn build_router(state: &Arc<PlatformState>) -> Router {
    let state = Arc::clone(state);
    let handler = move |query: Query<CallQuery>, request: Request| {
        let state = Arc::clone(&state);
        async move { answer_call(&state, query.0, request).await }
    };
    Router::new().fallback(handler)
}

/// Query parameters of all calls. Each call uses only its own parameters.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CallQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn answer_call(state: &PlatformState, query: CallQuery, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.into_bytes().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/v1/objects") => list_objects(state, &query).await,
        (&Method::GET, "/v1/watch") => watch_objects(state, &query).await,
        (&Method::GET, "/v1/instances") => list_instances(state).await,
        (&Method::GET, "/v1/standin/counts") => json_answer(&state.lock().counts),
        (&Method::GET, "/v1/standin/faults") => json_answer(&state.lock().faults),
        (&Method::PUT, "/v1/standin/faults") => set_faults(state, &body),
        (&Method::PUT, "/v1/standin/save") => save_store(state),
        (method, path) => {
            if let Some(name) = decode_name(path, OBJECT_PATH) {
                answer_object(state, method, &name, &parts.headers, body).await
            } else if let Some(name) = decode_name(path, INSTANCE_PATH) {
                change_instance(state, method, &name, &body).await
            } else {
                StatusCode::NOT_FOUND.into_response()
            }
        }
    }
}

async fn answer_object(
    state: &PlatformState,
    method: &Method,
    name: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Response {
    match *method {
        Method::GET => read_object(state, name).await,
        Method::PUT => write_object(state, name, read_condition(headers), body).await,
        Method::DELETE => delete_object(state, name, read_condition(headers)).await,
        _ => StatusCode::METHOD_NOT_ALLOWED.into_response(),
    }
}

async fn read_object(state: &PlatformState, name: &str) -> Response {
    if let Some(answer) = state.begin_call(CallKind::Read).await {
        return answer;
    }
    match state.lock().store.get(name) {
        Some(value) => {
            let tag = quote_version(value.version);
            ((ETAG, tag), value.body.clone()).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    state: &PlatformState,
    name: &str,
    condition: Option<StoreCondition>,
    body: Bytes,
) -> Response {
    if let Some(answer) = state.begin_call(CallKind::Write).await {
        return answer;
    }
    let Some(condition) = condition else {
        return StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let result = state.lock().store.put(name, body, condition);
    finish_change(state, name, result)
}

async fn delete_object(
    state: &PlatformState,
    name: &str,
    condition: Option<StoreCondition>,
) -> Response {
    if let Some(answer) = state.begin_call(CallKind::Delete).await {
        return answer;
    }
    let Some(StoreCondition::Version(version)) = condition else {
        return StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let result = state.lock().store.delete(name, version);
    finish_change(state, name, result)
}

fn finish_change(state: &PlatformState, name: &str, result: Result<u64, StoreRefusal>) -> Response {
    let version = match result {
        Ok(version) => version,
        Err(StoreRefusal::Conflict) => return StatusCode::PRECONDITION_FAILED.into_response(),
        Err(StoreRefusal::TooLarge) => return StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    };
    state.changes.send_replace(());
    if state.lock().faults.take_lost_answer(name) {
        return connection_closing_answer();
    }
    ((ETAG, quote_version(version)), StatusCode::OK).into_response()
}

async fn list_objects(state: &PlatformState, query: &CallQuery) -> Response {
    if let Some(answer) = state.begin_call(CallKind::List).await {
        return answer;
    }
    let listings = state.lock().store.list(&query.prefix);
    json_answer(&listings)
}

#[derive(Debug, Serialize)]
struct WatchReport {
    revision: u64,
    changed: Vec<ObjectChange>,
}

async fn watch_objects(state: &PlatformState, query: &CallQuery) -> Response {
    if let Some(answer) = state.begin_call(CallKind::Watch).await {
        return answer;
    }
    let mut changes = state.changes.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    let mut has_timed_out = false;
    loop {
        if let Some(answer) = state.outage_answer() {
            return answer;
        }
        if let Some(report) = read_changes(state, query, has_timed_out) {
            return json_answer(&report);
        }
        if has_timed_out {
            // Watches are stalled: the answer has to wait for a change of the faults or of the store.
            let _ = changes.changed().await;
            continue;
        }
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep_until(deadline) => has_timed_out = true,
        }
    }
}

/// Returns the report of a watch, or `None` while there is nothing to report. `has_timed_out` is set once the wait time
/// of the watch has passed.
fn read_changes(
    state: &PlatformState,
    query: &CallQuery,
    has_timed_out: bool,
) -> Option<WatchReport> {
    let content = state.lock();
    if content.faults.stall_watches {
        return None;
    }
    let revision = content.store.revision();
    let changed = match query.after {
        0 => Vec::new(),
        after => content.store.changes_after(&query.prefix, after),
    };
    let is_report_due = query.after == 0 || revision < query.after || !changed.is_empty();
    (is_report_due || has_timed_out).then_some(WatchReport { revision, changed })
}

async fn list_instances(state: &PlatformState) -> Response {
    if let Some(answer) = state.begin_call(CallKind::Instances).await {
        return answer;
    }
    let now_ms = state.now_ms();
    let listings = state.lock().instances.read(now_ms);
    json_answer(&listings)
}

async fn change_instance(
    state: &PlatformState,
    method: &Method,
    name: &str,
    body: &[u8],
) -> Response {
    if let Some(answer) = state.begin_call(CallKind::Registration).await {
        return answer;
    }
    let details = match *method {
        Method::PUT => match serde_json::from_slice::<InstanceDetails>(body) {
            Ok(details) => Some(details),
            Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
        },
        Method::DELETE => None,
        _ => return StatusCode::METHOD_NOT_ALLOWED.into_response(),
    };
    let now_ms = state.now_ms();
    state.lock().instances.change(now_ms, name, details);
    StatusCode::OK.into_response()
}

fn set_faults(state: &PlatformState, body: &[u8]) -> Response {
    let mut faults: PlatformFaults = match serde_json::from_slice(body) {
        Ok(faults) => faults,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    let mut content = state.lock();
    if std::mem::take(&mut faults.revert) {
        content.store.revert();
    }
    content.faults = faults;
    drop(content);
    state.changes.send_replace(());
    StatusCode::OK.into_response()
}

fn save_store(state: &PlatformState) -> Response {
    state.lock().store.save();
    StatusCode::OK.into_response()
}

fn json_answer(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => ((CONTENT_TYPE, "application/json"), body).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

/// Returns an answer whose body fails before the first byte is written, which makes the server close the connection.
fn connection_closing_answer() -> Response {
    let error = std::io::Error::other("connection closed by the fault settings");
    let frames = futures_util::stream::iter([Err(error.into())]);
    Response::new(Body::from_stream(frames))
}

fn quote_version(version: u64) -> String {
    format!("\"{version}\"")
}

fn read_condition(headers: &HeaderMap) -> Option<StoreCondition> {
    if let Some(value) = headers.get(IF_NONE_MATCH) {
        return (value == "*").then_some(StoreCondition::Absent);
    }
    let text = headers.get(IF_MATCH)?.to_str().ok()?;
    let version = text.strip_prefix('"')?.strip_suffix('"')?.parse().ok()?;
    Some(StoreCondition::Version(version))
}

/// Decodes the percent-encoded name after `prefix` in a path. Returns `None` if the prefix or the name is missing or
/// the encoding is invalid.
fn decode_name(path: &str, prefix: &str) -> Option<String> {
    let mut bytes = path.strip_prefix(prefix)?.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next()?, bytes.next()?];
            let digits = std::str::from_utf8(&digits).ok()?;
            decoded.push(u8::from_str_radix(digits, 16).ok()?);
        } else {
            decoded.push(byte);
        }
    }
    let name = String::from_utf8(decoded).ok()?;
    (!name.is_empty()).then_some(name)
}
