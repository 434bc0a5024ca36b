//! HTTP service of the upstream stand-in: requests for work, echoes, and the paths under `/standin/` that control the
//! stand-in and report its state.

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
use crate::upstream_bodies::{EchoBody, TruncatedBody};
use crate::upstream_crash::{CrashMarkScanner, CrashSwitch};
use crate::upstream_state::{Admission, RunGuard, UpstreamState};

const PRODUCT_HEADER_PREFIX: &str = "coltsfootkeel-";
const ACCOUNT_HEADER: &str = "coltsfootkeel-account";
const REQUEST_ID_HEADER: &str = "coltsfootkeel-request-id";
const DEADLINE_HEADER: &str = "coltsfootkeel-deadline-ms";
const EXPECTED_PRODUCT_HEADERS: [&str; 3] = [ACCOUNT_HEADER, REQUEST_ID_HEADER, DEADLINE_HEADER];
const RUN_HEADER: &str = "coltsfootkeel-run";
const DRAINING_HEADER: &str = "coltsfootkeel-draining";
const WORK_HEADER: &str = "x-work-ms";
const CRASH_HEADER: &str = "x-crash";
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
const MAX_CONTROL_BODY_BYTES: usize = 64 * 1024;

/// Answer to a request for work that is not an echo.
#[derive(Debug, Serialize, Deserialize)]
pub struct WorkAnswer {
    /// Name of the upstream.
    pub upstream: String,
    /// Head of the request as the upstream received it.
    #[serde(flatten)]
    pub seen: RunStart,
}

/// Answer of `GET /standin/record`.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordAnswer {
    /// Name of the upstream.
    pub upstream: String,
    /// Totals of all requests.
    pub totals: RunTotals,
    /// Requests that ran, in the order of their starts.
    pub entries: Vec<RunEntry>,
}

/// Answer of `GET /standin/load`.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadAnswer {
    /// Number of slots in use, or the number set by [`ControlChange::report_load`].
    pub slots_in_use: u32,
    /// Number of slots of the upstream.
    pub slots: u32,
}

/// Answer of `GET /standin/health`.
#[derive(Debug, Serialize, Deserialize)]
pub struct HealthAnswer {
    /// State of the upstream, `ok` or `draining`.
    pub state: String,
}

/// HTTP service of one upstream stand-in.
#[derive(Debug, Clone)]
pub struct UpstreamService {
    state: Arc<UpstreamState>,
    switch: CrashSwitch,
}

impl UpstreamService {
    /// Creates the service of an upstream.
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
        let limited = http_body_util::Limited::new(request.into_body(), MAX_CONTROL_BODY_BYTES);
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
        let start = run_start(&request);
        match self.state.admit(start.clone()) {
            Admission::Refused => {
                discard_body(request.into_body()).await;
                refusal("draining", true)
            }
            Admission::Shed => {
                discard_body(request.into_body()).await;
                refusal("no-free-slot", false)
            }
            Admission::Runs(guard, faults) => self.run(request, start, guard, faults).await,
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
        let has_crash_header =
            header_text(request.headers(), CRASH_HEADER).as_deref() == Some("yes");
        let body = request.into_body();
        if is_echo {
            self.run_echo(body, guard, times, faults, has_crash_header)
                .await
        } else {
            self.run_work(start, body, guard, times, faults, has_crash_header)
                .await
        }
    }

    async fn run_echo(
        &self,
        body: Body,
        mut guard: RunGuard,
        times: WorkTimes,
        faults: RequestFaults,
        has_crash_header: bool,
    ) -> Response {
        if !times.wait_within_deadline().await {
            return deadline_passed();
        }
        if has_crash_header {
            return self.crash(guard).await;
        }
        if faults.answer == AnswerFault::Close {
            guard.set_outcome(RunOutcome::Cut);
            return truncated_response(TruncatedBody::before_head(), 0);
        }
        let expected_bytes = body.size_hint().exact();
        if expected_bytes == Some(0) {
            guard.set_outcome(RunOutcome::Completed);
            return Response::new(Body::empty());
        }
        let truncate = faults.answer == AnswerFault::Truncate;
        let echo = EchoBody::new(body, guard, expected_bytes, truncate, self.switch.clone());
        let mut response = Response::new(Body::from_body(echo));
        if let Some(length) = expected_bytes {
            response.headers_mut().insert(CONTENT_LENGTH, length.into());
        }
        response
    }

    async fn run_work(
        &self,
        start: RunStart,
        body: Body,
        mut guard: RunGuard,
        times: WorkTimes,
        faults: RequestFaults,
        has_crash_header: bool,
    ) -> Response {
        let mut scanner = CrashMarkScanner::default();
        let Some(has_crash_mark) = read_body(body, &mut guard, &mut scanner).await else {
            return problem(StatusCode::BAD_REQUEST, "broken-body", "request body broke");
        };
        if !times.wait_within_deadline().await {
            return deadline_passed();
        }
        if has_crash_header || has_crash_mark {
            return self.crash(guard).await;
        }
        let answer = WorkAnswer {
            upstream: self.state.profile().name.clone(),
            seen: start,
        };
        work_response(&mut guard, faults.answer, &answer)
    }

    /// Crashes the upstream. The call does not return, because the crash closes the connection of this request.
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

/// Processing time of a request, and its deadline if it has one.
#[derive(Debug, Clone, Copy)]
struct WorkTimes {
    total: Duration,
    deadline: Option<Duration>,
}

impl WorkTimes {
    fn of(headers: &HeaderMap, default: Duration, faults: RequestFaults) -> Self {
        let work = header_millis(headers, WORK_HEADER).unwrap_or(default);
        Self {
            total: work + faults.extra_work + faults.delay,
            deadline: header_millis(headers, DEADLINE_HEADER),
        }
    }

    /// Waits for the processing time or the deadline, and returns false if the deadline passes first.
    async fn wait_within_deadline(self) -> bool {
        let missed_deadline = self.deadline.filter(|deadline| *deadline < self.total);
        let wait = missed_deadline.unwrap_or(self.total);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        missed_deadline.is_none()
    }
}

/// Reads and discards a request body before a refusal.
///
/// The server closes a connection with an unread request body. A caller that is still sending would receive a TCP reset
/// instead of the refusal.
async fn discard_body(mut body: Body) {
    let mut remaining_bytes = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        remaining_bytes = remaining_bytes.saturating_sub(length);
        if remaining_bytes == 0 {
            return;
        }
    }
}

/// Reads the whole body and returns whether it contains the crash mark, or `None` if the body is incomplete.
async fn read_body(
    mut body: Body,
    guard: &mut RunGuard,
    scanner: &mut CrashMarkScanner,
) -> Option<bool> {
    let mut has_mark = false;
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame.ok()?.into_data() {
            guard.add_body_part(&part);
            has_mark |= scanner.has_mark_after(&part);
        }
    }
    Some(has_mark)
}

fn run_start(request: &Request) -> RunStart {
    let headers = request.headers();
    let path = request.uri().path_and_query();
    RunStart {
        request_id: header_text(headers, REQUEST_ID_HEADER),
        account: header_text(headers, ACCOUNT_HEADER),
        idempotency_key: header_text(headers, "idempotency-key"),
        method: request.method().to_string(),
        path: path.map_or_else(String::new, ToString::to_string),
        authorization: headers.contains_key(AUTHORIZATION),
        unexpected_headers: unexpected_headers(headers),
    }
}

fn unexpected_headers(headers: &HeaderMap) -> Vec<String> {
    headers
        .keys()
        .map(http::HeaderName::as_str)
        .filter(|name| {
            name.starts_with(PRODUCT_HEADER_PREFIX) && !EXPECTED_PRODUCT_HEADERS.contains(name)
        })
        .map(ToOwned::to_owned)
        .collect()
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

fn header_millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let number = header_text(headers, name)?.parse().ok()?;
    Some(Duration::from_millis(number))
}

fn work_response(guard: &mut RunGuard, fault: AnswerFault, answer: &WorkAnswer) -> Response {
    if fault == AnswerFault::None {
        guard.set_outcome(RunOutcome::Completed);
        return json(StatusCode::OK, answer);
    }
    guard.set_outcome(RunOutcome::Cut);
    if fault == AnswerFault::Close {
        return truncated_response(TruncatedBody::before_head(), 0);
    }
    let encoded = encode(answer);
    let half = encoded.slice(..encoded.len() / 2);
    truncated_response(TruncatedBody::after(half), encoded.len())
}

fn truncated_response(body: TruncatedBody, announced_bytes: usize) -> Response {
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
    headers.insert(RUN_HEADER, http::HeaderValue::from_static("not-run"));
    if draining {
        headers.insert(DRAINING_HEADER, http::HeaderValue::from_static("yes"));
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
    response.headers_mut().insert(RUN_HEADER, run);
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
