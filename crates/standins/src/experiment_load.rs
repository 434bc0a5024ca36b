//! Open-loop load of the experiment, with a record of each request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootkeel_model::AccountKey;
use fastrand::Rng;
use http::Method;
use serde::Deserialize;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::experiment_plan::{PlannedCall, PlannedCaller};
use crate::http_call::{CallAnswer, CallError, CallRequest, PersistentConnection, call_once};

/// Most concurrent requests of one caller. Further requests queue, and their latency is measured from the time at which
/// they were due.
const MAX_IN_FLIGHT: usize = 256;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(1);
const BODY_BYTES: usize = 64;
/// Largest delay after the due time that is attributed to the timer: `tokio` timers fire up to 1 ms late. The latency
/// of a request that starts within this time is measured from its start, and of a later one from its due time.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(3);

/// Outcome of a request, as observed by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer has a 2xx status.
    Answered,
    /// The answer has another status.
    Refused {
        /// Error code in the body, or the status if there is none.
        code: String,
        /// Whether the answer states that the request did not run.
        not_run: bool,
    },
    /// There is no complete answer, for the given reason.
    Broken(&'static str),
}

/// Record of one request. Times are measured from the start of the load.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Number of the request, unique within the run; the query of its path contains it.
    pub number: u64,
    /// Client account that sent the request.
    pub account: AccountKey,
    /// Name of the route.
    pub route: String,
    /// Name of the last entry instance that was tried; empty without a look-up.
    pub entry: String,
    /// Time from which the latency is measured: the start of the request, or its due time if it started late.
    pub sent: Duration,
    /// Time from `sent` to the complete answer or the failure.
    pub latency: Duration,
    /// Number of entry instances that could not be connected to.
    pub failovers: u32,
    /// Outcome of the request.
    pub outcome: CallOutcome,
}

#[derive(Debug, Clone, Deserialize)]
struct RankedEntry {
    instance: String,
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct LookUp {
    entries: Vec<RankedEntry>,
    life_ms: u64,
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    error: String,
}

/// Result of a look-up, with the time at which it expires.
#[derive(Debug, Clone)]
struct CachedEntries {
    entries: Arc<Vec<RankedEntry>>,
    expires_at: Instant,
}

/// State that the callers of one account at one site share.
#[derive(Debug)]
struct Caller {
    plan: PlannedCaller,
    entry_addresses: Vec<SocketAddr>,
    start: Instant,
    next_number: Arc<AtomicU64>,
    cache: tokio::sync::Mutex<Option<CachedEntries>>,
    connections: Mutex<HashMap<SocketAddr, Vec<PersistentConnection>>>,
}

/// Sends the load of all callers for `time` and returns the records, sorted by their `sent` time.
///
/// `entry_addresses` are the entry instances that answer look-ups before a caller has a result.
///
/// # Panics
///
/// Panics if the task of a caller panicked.
pub async fn send_load(
    plans: Vec<PlannedCaller>,
    entry_addresses: Vec<SocketAddr>,
    start: Instant,
    time: Duration,
    seed: u64,
) -> Vec<CallRecord> {
    let next_number = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for (index, plan) in plans.into_iter().enumerate() {
        let caller = Arc::new(Caller {
            plan,
            entry_addresses: entry_addresses.clone(),
            start,
            next_number: next_number.clone(),
            cache: tokio::sync::Mutex::default(),
            connections: Mutex::default(),
        });
        let caller_seed = seed.wrapping_mul(1_000).wrapping_add(index as u64);
        tasks.spawn(run_caller(caller, time, Rng::with_seed(caller_seed)));
    }
    let mut records = Vec::new();
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended.expect("a caller does not panic"));
    }
    records.sort_by_key(|record| record.sent);
    records
}

/// Starts requests with exponentially distributed pauses between them, and returns their records.
async fn run_caller(caller: Arc<Caller>, time: Duration, mut rng: Rng) -> Vec<CallRecord> {
    let permits = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut calls = JoinSet::new();
    let mut records = Vec::new();
    let mut due = Duration::ZERO;
    loop {
        let pause = -(1.0 - rng.f64()).ln() / caller.plan.rate_per_s;
        due += Duration::from_secs_f64(pause);
        if due >= time {
            break;
        }
        tokio::time::sleep_until((caller.start + due).into()).await;
        let Ok(permit) = permits.clone().acquire_owned().await else {
            break;
        };
        let call = choose_call(&caller.plan.calls, &mut rng).clone();
        let caller = caller.clone();
        calls.spawn(async move {
            let record = caller.send(&call, due).await;
            drop(permit);
            record
        });
        while let Some(ended) = calls.try_join_next() {
            records.push(ended.expect("a request's task does not panic"));
        }
    }
    while let Some(ended) = calls.join_next().await {
        records.push(ended.expect("a request's task does not panic"));
    }
    records
}

fn choose_call<'a>(calls: &'a [PlannedCall], rng: &mut Rng) -> &'a PlannedCall {
    let total: u32 = calls.iter().map(|call| call.weight).sum();
    let mut remaining = rng.u32(..total);
    for call in calls {
        if remaining < call.weight {
            return call;
        }
        remaining -= call.weight;
    }
    &calls[0]
}

impl Caller {
    async fn send(&self, call: &PlannedCall, due: Duration) -> CallRecord {
        let now = self.start.elapsed();
        let sent = if now > due + MAX_TIMER_DELAY {
            due
        } else {
            now
        };
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mut record = CallRecord {
            number,
            account: self.plan.account,
            route: call.route.clone(),
            entry: String::new(),
            sent,
            latency: Duration::ZERO,
            failovers: 0,
            outcome: CallOutcome::Broken("no look-up"),
        };
        let request = self.request(call, number);
        for entry in self.entries().await.iter() {
            record.entry.clone_from(&entry.instance);
            let result = self.call(entry.address, &request).await;
            if matches!(result, Err(CallError::Connect(_))) {
                record.failovers += 1;
                record.outcome = CallOutcome::Broken("no entry instance reached");
                continue;
            }
            record.outcome = call_outcome(&result);
            break;
        }
        record.latency = self.start.elapsed().saturating_sub(sent);
        record
    }

    fn request(&self, call: &PlannedCall, number: u64) -> CallRequest {
        let path = format!("{}?number={number}", call.path);
        let request = CallRequest::new(call.method.clone(), &path)
            .header("Authorization", &format!("Bearer {}", self.plan.key))
            .timeout(CALL_TIMEOUT);
        if call.method == Method::POST {
            request.body(Bytes::from_static(&[b'x'; BODY_BYTES]))
        } else {
            request
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: &CallRequest,
    ) -> Result<CallAnswer, CallError> {
        let mut connection = match self.take_connection(address) {
            Some(connection) => connection,
            None => PersistentConnection::open(address).await?,
        };
        let answer = connection.call(request).await?;
        if answer.header("connection") != Some("close") {
            let mut idle_connections = self
                .connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            idle_connections
                .entry(address)
                .or_default()
                .push(connection);
        }
        Ok(answer)
    }

    /// Returns an idle keep-alive connection that is still open, if there is one.
    fn take_connection(&self, address: SocketAddr) -> Option<PersistentConnection> {
        let mut idle_connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connections = idle_connections.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns the ranked entry instances of the cached look-up. When it has expired, one request renews it while the
    /// others wait.
    async fn entries(&self) -> Arc<Vec<RankedEntry>> {
        let mut cache = self.cache.lock().await;
        if let Some(cached) = cache
            .as_ref()
            .filter(|cached| Instant::now() < cached.expires_at)
        {
            return cached.entries.clone();
        }
        let fresh = self.look_up(cache.as_ref()).await;
        if let Some(fresh) = fresh {
            *cache = Some(fresh);
        }
        // An expired look-up is used if it cannot be renewed.
        cache
            .as_ref()
            .map(|cached| cached.entries.clone())
            .unwrap_or_default()
    }

    async fn look_up(&self, cached: Option<&CachedEntries>) -> Option<CachedEntries> {
        let ranked = cached.into_iter().flat_map(|cached| cached.entries.iter());
        let addresses: Vec<SocketAddr> = ranked
            .map(|entry| entry.address)
            .chain(self.entry_addresses.iter().copied())
            .collect();
        let path = format!("/v1/look-up?client={}", self.plan.client);
        let request = CallRequest::new(Method::GET, &path).timeout(LOOK_UP_TIMEOUT);
        for address in addresses {
            let Ok(answer) = call_once(address, &request).await else {
                continue;
            };
            let Ok(look_up) = serde_json::from_slice::<LookUp>(&answer.body) else {
                continue;
            };
            if answer.status == 200 && !look_up.entries.is_empty() {
                return Some(CachedEntries {
                    entries: Arc::new(look_up.entries),
                    expires_at: Instant::now() + Duration::from_millis(look_up.life_ms),
                });
            }
        }
        None
    }
}

fn call_outcome(result: &Result<CallAnswer, CallError>) -> CallOutcome {
    match result {
        Ok(answer) if (200..300).contains(&answer.status) => CallOutcome::Answered,
        Ok(answer) => {
            let body = serde_json::from_slice::<RefusalBody>(&answer.body);
            CallOutcome::Refused {
                code: body.map_or_else(|_| answer.status.to_string(), |body| body.error),
                not_run: answer.header("coltsfootkeel-run") == Some("not-run"),
            }
        }
        Err(CallError::BrokenBeforeAnswer(_)) => CallOutcome::Broken("broken before the answer"),
        Err(CallError::BrokenWithinAnswer { .. }) => {
            CallOutcome::Broken("broken within the answer")
        }
        Err(CallError::TimedOut(_)) => CallOutcome::Broken("timed out"),
        Err(CallError::Connect(_)) => CallOutcome::Broken("no entry instance reached"),
        Err(CallError::Invalid(_)) => CallOutcome::Broken("invalid request"),
    }
}
