//! Callers that send requests throughout a run, over both keep-alive and new connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfootkeel_standins::{PersistentConnection, SHOP_KEY, call_once, shop_request};
use fastrand::Rng;
use http::Method;

use crate::soak_fleet::CHANGING_KEY;

/// Range of the pause between two requests of a caller, in milliseconds.
const CALL_PAUSE_MS: std::ops::Range<u64> = 5..40;
/// A caller closes its keep-alive connection before one request in this many, on average.
const CLOSE_CONNECTION_ONE_IN: u32 = 4;

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
    /// Time at which the request was sent.
    pub sent_at: Instant,
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

/// Sends random requests to `entries`, one at a time, until `stop` is set.
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
        let is_idempotent = rng.bool();
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
        let request = shop_request(method, &path, &attempt_id, key);
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
            Some(connection) => connection.call(&request).await,
            None => call_once(entry, &request).await,
        };
        if answer.is_err() {
            keep_alive = None;
        }
        let answer = answer.ok();
        let body = answer.as_ref().map(|answer| answer.body.to_vec());
        outcome_log.add(CallOutcome {
            attempt_id,
            is_idempotent,
            has_changing_key,
            entry,
            sent_at,
            status: answer.map(|answer| answer.status),
            body: String::from_utf8_lossy(&body.unwrap_or_default()).into_owned(),
        });
        tokio::time::sleep(Duration::from_millis(rng.u64(CALL_PAUSE_MS))).await;
    }
}
