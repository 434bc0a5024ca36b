//! HTTP of the upstream stand-in: turns requests into arrivals and their ends into answers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, Method, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use volo::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::fault_plan::{AnswerFault, ControlChange, RequestFaults};
use crate::run_record::{RunEntry, RunOutcome, RunStart, RunTotals};
use crate::upstream_bodies::{CutBody, EchoBody};
use crate::upstream_crash::{CrashMark, CrashSwitch};
use crate::upstream_state::{Arrival, RunGuard, UpstreamState};

const OWN_PREFIX: &str = "coltsfootkeel-";
const ACCOUNT: &str = "coltsfootkeel-account";
const REQUEST_ID: &str = "coltsfootkeel-request-id";
const DEADLINE: &str = "coltsfootkeel-deadline-ms";
const EXPECTED_OWN: [&str; 3] = [ACCOUNT, REQUEST_ID, DEADLINE];
const RUN: &str = "coltsfootkeel-run";
const DRAINING: &str = "coltsfootkeel-draining";
const WORK: &str = "x-work-ms";
const CRASH: &str = "x-crash";
const DRAIN_LIMIT_BYTES: usize = 64 * 1024 * 1024;
const CONTROL_LIMIT_BYTES: usize = 64 * 1024;

/// The answer to a request that is no echo.
#[derive(Debug, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// The name of the upstream.
    pub upstream: String,
    /// What the upstream saw of the request.
    #[serde(flatten)]
    pub seen: RunStart,
}

/// The response of `GET /standin/record`.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordAnswer {
    /// The name of the upstream.
    pub upstream: String,
    /// The totals.
    pub totals: RunTotals,
    /// The requests that ran, in the order of their starts.
    pub entries: Vec<RunEntry>,
}

/// The response of `GET /standin/load`.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Slots in use, as reported.
    pub slots_in_use: u32,
    /// All slots.
    pub slots: u32,
}

/// The response of `GET /standin/health`.
#[derive(Debug, Serialize, Deserialize)]
pub struct HealthAnswer {
    /// `ok` or `draining`.
    pub state: String,
}

/// The HTTP service of one upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamService {
    state: Arc<UpstreamState>,
    switch: CrashSwitch,
}

impl UpstreamService {
    /// Makes the service of an upstream.
    #[must_use]
    pub fn new(state: Arc<UpstreamState>, switch: CrashSwitch) -> Self {
        Self { state, switch }
    }

    async fn answer(&self, request: Request) -> Response {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/health") => json(StatusCode::OK, &self.health()),
            (&Method::GET, "/standin/load") => json(StatusCode::OK, &self.load()),
            (&Method::GET, "/standin/record") => json(StatusCode::OK, &self.record()),
            (&Method::PUT, "/standin/control") => self.control(request).await,
            (_, path) if path.starts_with("/standin/") => problem(
                StatusCode::NOT_FOUND,
                "unknown-path",
                "no such stand-in path",
            ),
            _ => self.work(request).await,
        }
    }

    fn health(&self) -> HealthAnswer {
        let state = if self.state.is_draining() {
            "draining"
        } else {
            "ok"
        };
        HealthAnswer {
            state: state.to_owned(),
        }
    }

    fn load(&self) -> LoadAnswer {
        LoadAnswer {
            slots_in_use: self.state.reported_load(),
            slots: self.state.profile().slots,
        }
    }

    fn record(&self) -> RecordAnswer {
        RecordAnswer {
            upstream: self.state.profile().name.clone(),
            totals: self.state.totals(),
            entries: self.state.entries(),
        }
    }

    async fn control(&self, request: Request) -> Response {
        let limited = http_body_util::Limited::new(request.into_body(), CONTROL_LIMIT_BYTES);
        let Ok(body) = limited.collect().await else {
            return problem(StatusCode::BAD_REQUEST, "bad-control", "unreadable body");
        };
        match serde_json::from_slice::<ControlChange>(&body.to_bytes()) {
            Ok(change) => {
                self.state.control(&change);
                json(StatusCode::OK, &change)
            }
            Err(error) => problem(StatusCode::BAD_REQUEST, "bad-control", &error.to_string()),
        }
    }

    async fn work(&self, request: Request) -> Response {
        let start = start_of(&request);
        match self.state.arrive(start.clone()) {
            Arrival::Refused => {
                drain(request.into_body()).await;
                refusal("draining", true)
            }
            Arrival::Shed => {
                drain(request.into_body()).await;
                refusal("no-free-slot", false)
            }
            Arrival::Runs(guard, faults) => self.run(request, start, guard, faults).await,
        }
    }

    async fn run(
        &self,
        request: Request,
        start: RunStart,
        guard: RunGuard,
        faults: RequestFaults,
    ) -> Response {
        let is_echo = request.method() == Method::POST && request.uri().path().starts_with("/echo");
        let times = WorkTimes::of(request.headers(), self.state.profile().work, faults);
        let crash_header = text(request.headers(), CRASH).as_deref() == Some("yes");
        let body = request.into_body();
        if is_echo {
            self.echo(body, guard, times, faults, crash_header).await
        } else {
            self.plain(start, body, guard, times, faults, crash_header)
                .await
        }
    }

    async fn echo(
        &self,
        body: Body,
        mut guard: RunGuard,
        times: WorkTimes,
        faults: RequestFaults,
        crash_header: bool,
    ) -> Response {
        if !times.pass().await {
            return deadline_passed();
        }
        if crash_header {
            return self.crash(guard).await;
        }
        if faults.answer == AnswerFault::Close {
            guard.set_outcome(RunOutcome::Cut);
            return cut_response(CutBody::at_once(), 0);
        }
        let expected = body.size_hint().exact();
        if expected == Some(0) {
            guard.set_outcome(RunOutcome::Completed);
            return Response::new(Body::empty());
        }
        let truncate = faults.answer == AnswerFault::Truncate;
        let echo = EchoBody::new(body, guard, expected, truncate, self.switch.clone());
        let mut response = Response::new(Body::from_body(echo));
        if let Some(length) = expected {
            response.headers_mut().insert(CONTENT_LENGTH, length.into());
        }
        response
    }

    async fn plain(
        &self,
        start: RunStart,
        body: Body,
        mut guard: RunGuard,
        times: WorkTimes,
        faults: RequestFaults,
        crash_header: bool,
    ) -> Response {
        let mut mark = CrashMark::default();
        let Some(crash_body) = read_body(body, &mut guard, &mut mark).await else {
            return problem(StatusCode::BAD_REQUEST, "broken-body", "request body broke");
        };
        if !times.pass().await {
            return deadline_passed();
        }
        if crash_header || crash_body {
            return self.crash(guard).await;
        }
        let answer = WorkAnswer {
            upstream: self.state.profile().name.clone(),
            seen: start,
        };
        finish(&mut guard, faults.answer, &answer)
    }

    /// Crashes the upstream and never returns, because the connection of this request ends with it.
    async fn crash(&self, mut guard: RunGuard) -> Response {
        guard.set_outcome(RunOutcome::Crashed);
        self.switch.crash();
        std::future::pending().await
    }
}

impl Service<ServerContext, Request> for UpstreamService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        Ok(self.answer(request).await)
    }
}

/// The times a request takes, within the deadline it carries.
#[derive(Debug, Clone, Copy)]
struct WorkTimes {
    total: Duration,
    deadline: Option<Duration>,
}

impl WorkTimes {
    fn of(headers: &HeaderMap, default: Duration, faults: RequestFaults) -> Self {
        let work = millis(headers, WORK).unwrap_or(default);
        Self {
            total: work + faults.extra_work + faults.delay,
            deadline: millis(headers, DEADLINE),
        }
    }

    /// Waits for the work and returns false if the deadline passed first.
    async fn pass(self) -> bool {
        let late = self.deadline.filter(|deadline| *deadline < self.total);
        let wait = late.unwrap_or(self.total);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        late.is_none()
    }
}

/// Reads and discards a body before a refusal.
///
/// The server closes a connection whose request body it has not read, and a caller that still sends it loses the
/// refusal to the reset.
async fn drain(mut body: Body) {
    let mut left = DRAIN_LIMIT_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        left = left.saturating_sub(length);
        if left == 0 {
            return;
        }
    }
}

/// Reads the whole body and returns whether it has the crash mark, or nothing if it broke.
async fn read_body(mut body: Body, guard: &mut RunGuard, mark: &mut CrashMark) -> Option<bool> {
    let mut is_marked = false;
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame.ok()?.into_data() {
            guard.read(&part);
            is_marked |= mark.is_seen_with(&part);
        }
    }
    Some(is_marked)
}

fn start_of(request: &Request) -> RunStart {
    let headers = request.headers();
    let path = request.uri().path_and_query();
    RunStart {
        request_id: text(headers, REQUEST_ID),
        account: text(headers, ACCOUNT),
        idempotency_key: text(headers, "idempotency-key"),
        method: request.method().to_string(),
        path: path.map_or_else(String::new, ToString::to_string),
        authorization: headers.contains_key(AUTHORIZATION),
        unexpected_headers: unexpected(headers),
    }
}

fn unexpected(headers: &HeaderMap) -> Vec<String> {
    headers
        .keys()
        .map(http::HeaderName::as_str)
        .filter(|name| name.starts_with(OWN_PREFIX) && !EXPECTED_OWN.contains(name))
        .map(ToOwned::to_owned)
        .collect()
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let number = text(headers, name)?.parse().ok()?;
    Some(Duration::from_millis(number))
}

fn finish(guard: &mut RunGuard, fault: AnswerFault, answer: &WorkAnswer) -> Response {
    if fault == AnswerFault::None {
        guard.set_outcome(RunOutcome::Completed);
        return json(StatusCode::OK, answer);
    }
    guard.set_outcome(RunOutcome::Cut);
    if fault == AnswerFault::Close {
        return cut_response(CutBody::at_once(), 0);
    }
    let whole = encode(answer);
    let half = whole.slice(..whole.len() / 2);
    cut_response(CutBody::after(half), whole.len())
}

fn cut_response(body: CutBody, announced_bytes: usize) -> Response {
    let mut response = Response::new(Body::from_body(body));
    if announced_bytes > 0 {
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, (announced_bytes as u64).into());
    }
    response
}

fn refusal(error: &str, draining: bool) -> Response {
    let body = serde_json::json!({"error": error, "run": "not-run"});
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &body);
    let headers = response.headers_mut();
    headers.insert(RUN, http::HeaderValue::from_static("not-run"));
    if draining {
        headers.insert(DRAINING, http::HeaderValue::from_static("yes"));
    }
    response
}

fn deadline_passed() -> Response {
    let mut response = problem(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline",
        "the deadline of the request passed during its work",
    );
    let run = http::HeaderValue::from_static("run");
    response.headers_mut().insert(RUN, run);
    response
}

fn problem(status: StatusCode, error: &str, detail: &str) -> Response {
    json(
        status,
        &serde_json::json!({"error": error, "detail": detail}),
    )
}

fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let mut response = Response::new(Body::from(encode(value)));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn encode(value: &impl Serialize) -> Bytes {
    let encoded = serde_json::to_vec(value).expect("answers of the stand-in have text keys");
    Bytes::from(encoded)
}
