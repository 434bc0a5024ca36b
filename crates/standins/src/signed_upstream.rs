//! Stand-in for an upstream of the platform. It signs its answers, rejects requests for another instance, needs less
//! time for objects that it has cached, and records the requests that it ran.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootkeel_transport::{HttpService, ListenerStop, serve};
use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::store_standin::standin_limits;

const HEALTH_PATH: &str = "/healthz";
/// Maximum number of requests in the queue for a slot.
const MAX_QUEUED_REQUESTS: usize = 27;
/// Maximum number of requests that run at the same time.
const SLOTS: usize = 9;

/// Extra work time of each request under [`UpstreamFault::Slow`].
const SLOW_EXTRA_TIME: Duration = Duration::from_secs(1);

/// Fault of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UpstreamFault {
    /// The upstream has no fault.
    #[default]
    None,
    /// The upstream rejects each request with 503 and does not run it.
    RejectAll,
    /// The upstream runs each request and closes the connection without an answer.
    CloseBeforeAnswer,
    /// The upstream runs each request and never answers.
    NeverAnswer,
    /// The upstream answers with the attempt id of another request.
    WrongAttemptId,
    /// The upstream answers without a signature.
    MissingSignature,
    /// Each request takes one second longer.
    Slow,
}

/// A request that the upstream ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRun {
    /// Attempt id of the request.
    pub attempt_id: String,
    /// Path and query.
    pub path: String,
    /// Client account in the request, `None` without the header.
    pub account: Option<String>,
    /// Whether the request had an `Authorization` header, which holds the access key.
    pub has_key: bool,
    /// Deadline of the request in milliseconds, `None` if it is absent or not a number.
    pub deadline_ms: Option<u64>,
    /// Length of the request body in bytes.
    pub body_bytes: usize,
    /// Time at which the request got its slot.
    pub started_at: Instant,
}

#[derive(Debug, Default)]
struct UpstreamData {
    runs: Vec<UpstreamRun>,
    fault: UpstreamFault,
    rate_limit: Option<f64>,
    /// The load that answers state in place of the real one.
    stated_load: Option<String>,
    /// The length to which the bodies of signed answers are padded.
    answer_bytes: usize,
    cached_objects: HashSet<String>,
}

/// A running upstream. Clones share its state.
#[derive(Debug, Clone)]
pub struct SignedUpstream {
    id: String,
    address: SocketAddr,
    data: Arc<Mutex<UpstreamData>>,
    slots: Arc<Semaphore>,
    queued: Arc<AtomicUsize>,
    work: Duration,
}

impl SignedUpstream {
    /// Starts an upstream on a free port of the loopback address. A request takes `work` if its object is cached, and
    /// three times as long otherwise.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the upstream cannot listen on any port.
    pub async fn start(id: &str, work: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let upstream = Self {
            id: id.to_string(),
            address: listener.local_addr()?,
            data: Arc::default(),
            slots: Arc::new(Semaphore::new(SLOTS)),
            queued: Arc::default(),
            work,
        };
        let service = Arc::new(upstream.clone());
        tokio::spawn(serve(
            listener,
            service,
            standin_limits,
            ListenerStop::default(),
        ));
        Ok(upstream)
    }

    /// Returns the instance id of the upstream.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address that the upstream listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that applies to requests that arrive afterwards.
    pub fn set_fault(&self, fault: UpstreamFault) {
        self.lock().fault = fault;
    }

    /// Sets the requests per second that all answers from now on state as the limit; `None` states none. The upstream
    /// still runs what it gets.
    pub fn set_rate_limit(&self, per_s: Option<f64>) {
        self.lock().rate_limit = per_s;
    }

    /// Sets the load that all answers from now on state; `None` states the real one without a cost of work.
    pub fn set_stated_load(&self, load: Option<&str>) {
        self.lock().stated_load = load.map(str::to_string);
    }

    /// Pads the bodies of signed answers to this length from now on.
    pub fn set_answer_bytes(&self, bytes: usize) {
        self.lock().answer_bytes = bytes;
    }

    /// Returns the requests that ran so far.
    #[must_use]
    pub fn runs(&self) -> Vec<UpstreamRun> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let headers = &parts.headers;
        let attempt_id = header_text(headers, "coltsfootkeel-attempt-id").unwrap_or_default();
        let expected = header_text(headers, "coltsfootkeel-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.reply(StatusCode::MISDIRECTED_REQUEST, &attempt_id, false);
        }
        let fault = self.lock().fault;
        if fault == UpstreamFault::RejectAll || self.is_queue_full() {
            return mark_not_executed(self.reply(
                StatusCode::SERVICE_UNAVAILABLE,
                &attempt_id,
                false,
            ));
        }
        let Ok(body) = body.collect().await else {
            return self.reply(StatusCode::BAD_REQUEST, &attempt_id, false);
        };
        self.queued.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        let Ok(_slot) = slot else {
            return mark_not_executed(self.reply(
                StatusCode::SERVICE_UNAVAILABLE,
                &attempt_id,
                false,
            ));
        };
        let deadline_ms = header_text(headers, "coltsfootkeel-request-deadline");
        self.lock().runs.push(UpstreamRun {
            attempt_id: attempt_id.clone(),
            path: parts.uri.to_string(),
            account: header_text(headers, "coltsfootkeel-tenant"),
            has_key: headers.contains_key(http::header::AUTHORIZATION),
            deadline_ms: deadline_ms.and_then(|text| text.parse().ok()),
            body_bytes: body.to_bytes().len(),
            started_at: Instant::now(),
        });
        tokio::time::sleep(self.work_time(headers)).await;
        if fault == UpstreamFault::Slow {
            tokio::time::sleep(SLOW_EXTRA_TIME).await;
        }
        match fault {
            UpstreamFault::CloseBeforeAnswer => Response::new(Body::from_body(BrokenBody)),
            UpstreamFault::NeverAnswer => std::future::pending().await,
            UpstreamFault::WrongAttemptId => self.reply(StatusCode::OK, "another-request", true),
            UpstreamFault::MissingSignature => self.reply(StatusCode::OK, &attempt_id, false),
            UpstreamFault::None | UpstreamFault::RejectAll | UpstreamFault::Slow => {
                self.reply(StatusCode::OK, &attempt_id, true)
            }
        }
    }

    fn is_queue_full(&self) -> bool {
        self.queued.load(Ordering::Relaxed) >= MAX_QUEUED_REQUESTS
    }

    fn work_time(&self, headers: &HeaderMap) -> Duration {
        let object = header_text(headers, "coltsfootkeel-affinity-key").unwrap_or_default();
        if self.lock().cached_objects.insert(object) {
            self.work * 3
        } else {
            self.work
        }
    }

    fn reply(&self, status: StatusCode, attempt_id: &str, is_signed: bool) -> Response {
        let mut text = format!("by {} for {attempt_id}", self.id);
        if is_signed {
            let padding = self.lock().answer_bytes.saturating_sub(text.len());
            text.push_str(&" ".repeat(padding));
        }
        let mut response = Response::new(Body::from(text));
        *response.status_mut() = status;
        let running = SLOTS - self.slots.available_permits();
        let mut values = HashMap::from([
            ("coltsfootkeel-attempt-id", attempt_id.to_string()),
            ("coltsfootkeel-instance-id", self.id.clone()),
        ]);
        let stated_load = self.lock().stated_load.clone();
        let load = stated_load.unwrap_or_else(|| format!("{running},0,{SLOTS}"));
        values.insert("coltsfootkeel-server-load", load);
        if let Some(per_s) = self.lock().rate_limit {
            values.insert("server-limit", per_s.to_string());
        }
        if is_signed {
            values.insert("coltsfootkeel-response-signature", "s.1".to_string());
        }
        for (name, value) in values {
            if let Ok(value) = HeaderValue::from_str(&value) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

impl HttpService for SignedUpstream {
    async fn call(&self, _peer: SocketAddr, request: Request) -> Response {
        if request.uri().path() == HEALTH_PATH {
            return self.reply(StatusCode::OK, "", false);
        }
        self.run(request).await
    }
}

/// A body that fails before its first byte, which makes the server close the connection without an answer.
struct BrokenBody;

impl http_body::Body for BrokenBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionReset.into())))
    }
}

fn mark_not_executed(mut response: Response) -> Response {
    let value = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert("coltsfootkeel-not-executed", value);
    response
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}
