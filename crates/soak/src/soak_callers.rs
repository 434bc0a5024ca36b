//! Callers that send requests all the while, over kept connections and new ones.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use coltsfootkeel_standins::{PersistentConnection, SHOP_KEY, call_once, shop_request};
use fastrand::Rng;
use http::Method;

use crate::soak_fleet::CHANGING_KEY;

/// The pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;
/// One request in this many uses a kept connection that the caller opened before.
const NEW_CONNECTION_EACH: u32 = 4;

/// What a caller saw of a request.
#[derive(Debug, Clone)]
pub struct CallOutcome {
    /// The attempt id.
    pub attempt_id: String,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether it carried the changing key.
    pub has_changing_key: bool,
    /// The instance it was sent to.
    pub entry: SocketAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// The status; nothing if no whole answer came.
    pub status: Option<u16>,
    /// The body.
    pub body: String,
}

impl CallOutcome {
    /// Tells whether the request was served.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.status == Some(200)
    }
}

/// What all callers saw.
#[derive(Debug, Clone, Default)]
pub struct OutcomeBook {
    outcomes: Arc<Mutex<Vec<CallOutcome>>>,
}

impl OutcomeBook {
    /// Adds an outcome.
    pub fn add(&self, outcome: CallOutcome) {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.push(outcome);
    }

    /// Returns all outcomes so far.
    #[must_use]
    pub fn all(&self) -> Vec<CallOutcome> {
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.clone()
    }
}

/// Sends requests until `stop` is set.
pub async fn call_on(
    entries: Vec<SocketAddr>,
    seed: u64,
    book: OutcomeBook,
    stop: Arc<AtomicBool>,
) {
    let mut draw = Rng::with_seed(seed);
    let mut kept: Option<PersistentConnection> = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let attempt_id = format!("{seed:x}-{number}");
        let is_idempotent = draw.bool();
        let has_changing_key = draw.bool();
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
        let path = format!("{path}{}", draw.u8(..20));
        let request = shop_request(method, &path, &attempt_id, key);
        let sent_at = Instant::now();
        if draw.u32(..NEW_CONNECTION_EACH) == 0 {
            kept = None;
        }
        if kept.is_none() && draw.bool() {
            let entry = entries[draw.usize(..entries.len())];
            let opened =
                tokio::time::timeout(Duration::from_secs(1), PersistentConnection::open(entry));
            kept = opened.await.ok().and_then(Result::ok);
        }
        let entry = match &kept {
            Some(connection) => connection.address(),
            None => entries[draw.usize(..entries.len())],
        };
        let answer = match &mut kept {
            Some(connection) => connection.call(&request).await,
            None => call_once(entry, &request).await,
        };
        if answer.is_err() {
            kept = None;
        }
        let answer = answer.ok();
        let body = answer.as_ref().map(|answer| answer.body.to_vec());
        book.add(CallOutcome {
            attempt_id,
            is_idempotent,
            has_changing_key,
            entry,
            sent_at,
            status: answer.map(|answer| answer.status),
            body: String::from_utf8_lossy(&body.unwrap_or_default()).into_owned(),
        });
        tokio::time::sleep(Duration::from_millis(draw.u64(PAUSE_MS))).await;
    }
}
