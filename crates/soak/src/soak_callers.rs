//! Callers that send requests throughout a run, over both keep-alive and new connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    CallAnswer, CallRequest, PersistentConnection, PipelinedConnection, SHOP_KEY, call_once,
    encode_request, shop_request,
};
use fastrand::Rng;
use http::Method;

use crate::soak_fleet::CHANGING_KEY;

/// Range of the pause between two requests of a caller, in milliseconds.
const CALL_PAUSE_MS: std::ops::Range<u64> = 5..40;
/// A caller closes its keep-alive connection before one request in this many, on average.
const CLOSE_CONNECTION_ONE_IN: u32 = 4;
/// A caller sends several requests before the first one is answered instead of one in this many times, on average.
const PIPELINE_ONE_IN: u32 = 8;
/// Range of the number of requests that are sent at once.
const PIPELINED_REQUESTS: std::ops::Range<usize> = 2..6;
/// Time after which a caller gives up requests that it sent at once.
const PIPELINE_TIMEOUT: Duration = Duration::from_secs(8);

/// Range of the pause between the two parts of a request, in milliseconds.
const PART_PAUSE_MS: std::ops::Range<u64> = 1..900;

/// Outcome of one request, as observed by its caller.
#[derive(Debug, Clone)]
pub struct CallOutcome {
    /// Attempt id that the request carried, unique within the run.
    pub attempt_id: String,
    /// Whether the request is idempotent and so may run more than once.
    pub is_idempotent: bool,
    /// Whether the request carried [`CHANGING_KEY`].
    pub has_changing_key: bool,
    /// Address of the entry instance that the request was sent to.
    pub entry: SocketAddr,
    /// Time at which the request was sent. One that was sent behind others counts as sent when the answer before its own
    /// arrived: the instance reads it only then, and decides by what holds at that time.
    pub sent_at: Instant,
    /// Whether the connection was closed by an answer to an earlier request, so that this one must not run.
    pub is_behind_close: bool,
    /// HTTP status, or `None` without a complete answer.
    pub status: Option<u16>,
    /// Body of the answer; empty without a complete answer.
    pub body: String,
}

impl CallOutcome {
    /// Returns whether the request was answered with status 200.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.status == Some(200)
    }
}

/// Outcomes of all callers. Clones share one list.
#[derive(Debug, Clone, Default)]
pub struct OutcomeLog {
    outcomes: Arc<Mutex<Vec<CallOutcome>>>,
}

impl OutcomeLog {
    /// Appends an outcome.
    pub fn add(&self, outcome: CallOutcome) {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.push(outcome);
    }

    /// Returns a copy of all outcomes so far.
    #[must_use]
    pub fn all(&self) -> Vec<CallOutcome> {
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.clone()
    }
}

/// A random request and what its outcome records of it.
struct SoakCall {
    request: CallRequest,
    attempt_id: String,
    is_idempotent: bool,
    has_changing_key: bool,
}

impl SoakCall {
    fn draw(rng: &mut Rng, attempt_id: String, is_idempotent: bool) -> Self {
        let has_changing_key = rng.bool();
        let (method, path) = if is_idempotent {
            (Method::GET, "/previews/")
        } else {
            (Method::POST, "/orders/")
        };
        let key = if has_changing_key {
            CHANGING_KEY
        } else {
            SHOP_KEY
        };
        let path = format!("{path}{}", rng.u8(..20));
        Self {
            request: shop_request(method, &path, &attempt_id, key),
            attempt_id,
            is_idempotent,
            has_changing_key,
        }
    }

    fn outcome(
        self,
        entry: SocketAddr,
        sent_at: Instant,
        answer: Option<&CallAnswer>,
    ) -> CallOutcome {
        let body = answer.map(|answer| answer.body.to_vec());
        CallOutcome {
            attempt_id: self.attempt_id,
            is_idempotent: self.is_idempotent,
            has_changing_key: self.has_changing_key,
            entry,
            sent_at,
            is_behind_close: false,
            status: answer.map(|answer| answer.status),
            body: String::from_utf8_lossy(&body.unwrap_or_default()).into_owned(),
        }
    }
}

/// Sends random requests to `entries` until `stop` is set, mostly one at a time.
pub async fn run_caller(
    entries: Vec<SocketAddr>,
    seed: u64,
    outcome_log: OutcomeLog,
    stop: Arc<AtomicBool>,
) {
    let mut rng = Rng::with_seed(seed);
    let mut keep_alive: Option<PersistentConnection> = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let attempt_id = format!("{seed:x}-{number}");
        if rng.u32(..PIPELINE_ONE_IN) == 0 {
            let entry = entries[rng.usize(..entries.len())];
            let calls = (0..rng.usize(PIPELINED_REQUESTS))
                .map(|place| SoakCall::draw(&mut rng, format!("{attempt_id}-{place}"), true))
                .collect();
            send_pipelined(entry, calls, &outcome_log).await;
            continue;
        }
        let is_idempotent = rng.bool();
        let call = SoakCall::draw(&mut rng, attempt_id, is_idempotent);
        let sent_at = Instant::now();
        if rng.u32(..CLOSE_CONNECTION_ONE_IN) == 0 {
            keep_alive = None;
        }
        if keep_alive.is_none() && rng.bool() {
            let entry = entries[rng.usize(..entries.len())];
            let opened =
                tokio::time::timeout(Duration::from_secs(1), PersistentConnection::open(entry));
            keep_alive = opened.await.ok().and_then(Result::ok);
        }
        let entry = match &keep_alive {
            Some(connection) => connection.address(),
            None => entries[rng.usize(..entries.len())],
        };
        let answer = match &mut keep_alive {
            Some(connection) => connection.call(&call.request).await,
            None => call_once(entry, &call.request).await,
        };
        if answer.is_err() {
            keep_alive = None;
        }
        outcome_log.add(call.outcome(entry, sent_at, answer.ok().as_ref()));
        tokio::time::sleep(Duration::from_millis(rng.u64(CALL_PAUSE_MS))).await;
    }
}

/// Sends all requests at once over a new connection, and records the answers in the order in which they arrive.
async fn send_pipelined(entry: SocketAddr, calls: Vec<SoakCall>, outcome_log: &OutcomeLog) {
    let mut sent_at = Instant::now();
    let deadline = tokio::time::Instant::now() + PIPELINE_TIMEOUT;
    let bytes: Vec<u8> = calls
        .iter()
        .flat_map(|call| encode_request(&call.request))
        .collect();
    let open_and_send = async {
        let mut connection = PipelinedConnection::open(entry).await?;
        connection.send(&bytes).await?;
        std::io::Result::Ok(connection)
    };
    let mut connection = match tokio::time::timeout_at(deadline, open_and_send).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(_)) | Err(_) => None,
    };
    let mut is_behind_close = false;
    for call in calls {
        let mut answer = None;
        if let Some(open) = &mut connection {
            let read = tokio::time::timeout_at(deadline, open.read_answer()).await;
            answer = read.ok().and_then(Result::ok).flatten();
        }
        let mut outcome = call.outcome(entry, sent_at, answer.as_ref());
        outcome.is_behind_close = is_behind_close;
        outcome_log.add(outcome);
        let Some(answer) = answer else {
            connection = None;
            continue;
        };
        is_behind_close |= answer.header("connection") == Some("close");
        sent_at = Instant::now();
    }
}

/// Sends random requests to `entries` until `stop` is set, each in two parts with a pause between them.
pub async fn run_slow_sender(
    entries: Vec<SocketAddr>,
    seed: u64,
    outcome_log: OutcomeLog,
    stop: Arc<AtomicBool>,
) {
    let mut rng = Rng::with_seed(seed);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let entry = entries[rng.usize(..entries.len())];
        let is_idempotent = rng.bool();
        let call = SoakCall::draw(&mut rng, format!("{seed:x}-{number}"), is_idempotent);
        let bytes = encode_request(&call.request);
        let (first, rest) = bytes.split_at(rng.usize(1..bytes.len()));
        let pause = Duration::from_millis(rng.u64(PART_PAUSE_MS));
        let mut sent_at = Instant::now();
        let exchange = async {
            let mut connection = PipelinedConnection::open(entry).await?;
            connection.send(first).await?;
            tokio::time::sleep(pause).await;
            sent_at = Instant::now();
            connection.send(rest).await?;
            connection.read_answer().await
        };
        let exchange = tokio::time::timeout(PIPELINE_TIMEOUT, exchange).await;
        let answer = exchange.ok().and_then(Result::ok).flatten();
        outcome_log.add(call.outcome(entry, sent_at, answer.as_ref()));
    }
}
