//! A stand-in for an upstream of the platform: it signs its answers, runs only what is meant for it, is faster with
//! objects it knows, and records what it ran.

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
/// Requests that may wait for a slot.
const QUEUE: usize = 27;
/// Requests that run at once.
const SLOTS: usize = 9;

/// What a slow upstream takes longer.
const SLOWNESS: Duration = Duration::from_secs(1);

/// How an upstream behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum UpstreamFault {
    /// As it should.
    #[default]
    None,
    /// It refuses each request without running it.
    RejectAll,
    /// It runs each request and closes the connection without an answer.
    CloseBeforeAnswer,
    /// It runs each request and never answers.
    NeverAnswer,
    /// It answers with the id of another request.
    WrongAttemptId,
    /// It answers without a signature.
    MissingSignature,
    /// It takes a second longer for each request.
    Slow,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRun {
    /// The attempt id.
    pub attempt_id: String,
    /// The path.
    pub path: String,
    /// The client account that the request named.
    pub account: Option<String>,
    /// Whether an access key came with it.
    pub has_key: bool,
    /// The milliseconds that the request gave.
    pub deadline_ms: Option<u64>,
    /// The bytes of the body.
    pub body_bytes: usize,
    /// When it started_at.
    pub started_at: Instant,
}

#[derive(Debug, Default)]
struct UpstreamBook {
    runs: Vec<UpstreamRun>,
    fault: UpstreamFault,
    known_objects: HashSet<String>,
}

/// A running upstream.
#[derive(Debug, Clone)]
pub struct SignedUpstream {
    id: String,
    address: SocketAddr,
    book: Arc<Mutex<UpstreamBook>>,
    slots: Arc<Semaphore>,
    waiting: Arc<AtomicUsize>,
    work: Duration,
}

impl SignedUpstream {
    /// Starts an upstream on a free port of the loopback address. A request about an object it knows takes `work`, any
    /// other three times as long.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener.
    pub async fn start(id: &str, work: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let upstream = Self {
            id: id.to_string(),
            address: listener.local_addr()?,
            book: Arc::default(),
            slots: Arc::new(Semaphore::new(SLOTS)),
            waiting: Arc::default(),
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

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves.
    pub fn set_fault(&self, fault: UpstreamFault) {
        self.lock().fault = fault;
    }

    /// Returns the requests that ran.
    #[must_use]
    pub fn runs(&self) -> Vec<UpstreamRun> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let headers = &parts.headers;
        let attempt_id = text(headers, "coltsfootkeel-attempt-id").unwrap_or_default();
        let expected = text(headers, "coltsfootkeel-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return self.reply(StatusCode::MISDIRECTED_REQUEST, &attempt_id, false);
        }
        let fault = self.lock().fault;
        if fault == UpstreamFault::RejectAll || self.is_full() {
            return not_run(self.reply(StatusCode::SERVICE_UNAVAILABLE, &attempt_id, false));
        }
        let Ok(body) = body.collect().await else {
            return self.reply(StatusCode::BAD_REQUEST, &attempt_id, false);
        };
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(_slot) = slot else {
            return not_run(self.reply(StatusCode::SERVICE_UNAVAILABLE, &attempt_id, false));
        };
        let deadline_ms = text(headers, "coltsfootkeel-request-deadline");
        self.lock().runs.push(UpstreamRun {
            attempt_id: attempt_id.clone(),
            path: parts.uri.to_string(),
            account: text(headers, "coltsfootkeel-tenant"),
            has_key: headers.contains_key(http::header::AUTHORIZATION),
            deadline_ms: deadline_ms.and_then(|text| text.parse().ok()),
            body_bytes: body.to_bytes().len(),
            started_at: Instant::now(),
        });
        tokio::time::sleep(self.work_time(headers)).await;
        if fault == UpstreamFault::Slow {
            tokio::time::sleep(SLOWNESS).await;
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

    fn is_full(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) >= QUEUE
    }

    fn work_time(&self, headers: &HeaderMap) -> Duration {
        let object = text(headers, "coltsfootkeel-affinity-key").unwrap_or_default();
        if self.lock().known_objects.insert(object) {
            self.work * 3
        } else {
            self.work
        }
    }

    fn reply(&self, status: StatusCode, attempt_id: &str, is_signed: bool) -> Response {
        let mut response = Response::new(Body::from(format!("by {} for {attempt_id}", self.id)));
        *response.status_mut() = status;
        let running = SLOTS - self.slots.available_permits();
        let mut values = HashMap::from([
            ("coltsfootkeel-attempt-id", attempt_id.to_string()),
            ("coltsfootkeel-instance-id", self.id.clone()),
            ("coltsfootkeel-server-load", format!("{running},0,{SLOTS}")),
        ]);
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

/// A body that fails before its first byte, which closes the connection without an answer.
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

fn not_run(mut response: Response) -> Response {
    let value = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert("coltsfootkeel-not-executed", value);
    response
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}
