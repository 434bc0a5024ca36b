//! The open-loop load of the experiment and its record of each request.

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

/// The most requests of one caller that run at once. Further ones wait, and their latency counts from when they were
/// due.
const MAX_IN_FLIGHT: usize = 256;
const CALL_LIMIT: Duration = Duration::from_secs(10);
const LOOK_UP_LIMIT: Duration = Duration::from_secs(1);
const BODY_BYTES: usize = 64;
/// The timers of `tokio` are late by up to 1 ms, so a request that starts within this time counts from its sending.
const TIMER_SLACK: Duration = Duration::from_millis(3);

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// With a 2xx answer.
    Answered,
    /// With a refusal or another status.
    Refused {
        /// The code of the refusal, or the status.
        code: String,
        /// Whether it states "not run".
        not_run: bool,
    },
    /// Without a complete answer.
    Broken(&'static str),
}

/// One request as its caller saw it. Times count from the start of the load.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The number, which the path carries.
    pub number: u64,
    /// The account.
    pub account: AccountKey,
    /// The route.
    pub route: String,
    /// The entry instance it was sent to, if a look-up named one.
    pub entry: String,
    /// When it was sent.
    pub sent: Duration,
    /// How long it took.
    pub latency: Duration,
    /// The entry instances that could not be reached before.
    pub failovers: u32,
    /// How it ended.
    pub end: CallEnd,
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

/// A cached look-up.
#[derive(Debug, Clone)]
struct CachedEntries {
    entries: Arc<Vec<RankedEntry>>,
    until: Instant,
}

/// The callers of one account at one site.
#[derive(Debug)]
struct Caller {
    plan: PlannedCaller,
    known: Vec<SocketAddr>,
    start: Instant,
    numbers: Arc<AtomicU64>,
    cache: tokio::sync::Mutex<Option<CachedEntries>>,
    connections: Mutex<HashMap<SocketAddr, Vec<PersistentConnection>>>,
}

/// Sends the load of all callers for `time` and returns the records in the order of sending.
///
/// # Panics
///
/// Panics if a caller's task panicked.
pub async fn send_load(
    plans: Vec<PlannedCaller>,
    known: Vec<SocketAddr>,
    start: Instant,
    time: Duration,
    seed: u64,
) -> Vec<CallRecord> {
    let numbers = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for (index, plan) in plans.into_iter().enumerate() {
        let caller = Arc::new(Caller {
            plan,
            known: known.clone(),
            start,
            numbers: numbers.clone(),
            cache: tokio::sync::Mutex::default(),
            connections: Mutex::default(),
        });
        let mixed = seed.wrapping_mul(1_000).wrapping_add(index as u64);
        tasks.spawn(run_caller(caller, time, Rng::with_seed(mixed)));
    }
    let mut records = Vec::new();
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended.expect("a caller does not panic"));
    }
    records.sort_by_key(|record| record.sent);
    records
}

/// Sends requests with exponentially distributed pauses.
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
        let call = choose(&caller.plan.calls, &mut rng).clone();
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

fn choose<'a>(calls: &'a [PlannedCall], rng: &mut Rng) -> &'a PlannedCall {
    let total: u32 = calls.iter().map(|call| call.weight).sum();
    let mut left = rng.u32(..total);
    for call in calls {
        if left < call.weight {
            return call;
        }
        left -= call.weight;
    }
    &calls[0]
}

impl Caller {
    async fn send(&self, call: &PlannedCall, due: Duration) -> CallRecord {
        let now = self.start.elapsed();
        let sent = if now > due + TIMER_SLACK { due } else { now };
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let mut record = CallRecord {
            number,
            account: self.plan.account,
            route: call.route.clone(),
            entry: String::new(),
            sent,
            latency: Duration::ZERO,
            failovers: 0,
            end: CallEnd::Broken("no look-up"),
        };
        let request = self.request(call, number);
        for entry in self.entries().await.iter() {
            record.entry.clone_from(&entry.instance);
            let result = self.call(entry.address, &request).await;
            if matches!(result, Err(CallError::Connect(_))) {
                record.failovers += 1;
                record.end = CallEnd::Broken("no entry instance reached");
                continue;
            }
            record.end = end_of(&result);
            break;
        }
        record.latency = self.start.elapsed().saturating_sub(sent);
        record
    }

    fn request(&self, call: &PlannedCall, number: u64) -> CallRequest {
        let path = format!("{}?number={number}", call.path);
        let request = CallRequest::new(call.method.clone(), &path)
            .header("Authorization", &format!("Bearer {}", self.plan.key))
            .timeout(CALL_LIMIT);
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
            let mut kept = self
                .connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            kept.entry(address).or_default().push(connection);
        }
        Ok(answer)
    }

    /// Takes a kept connection that has not been closed.
    fn take_connection(&self, address: SocketAddr) -> Option<PersistentConnection> {
        let mut kept = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connections = kept.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns the look-up, which is cached for its life. One request renews it while the others wait.
    async fn entries(&self) -> Arc<Vec<RankedEntry>> {
        let mut cache = self.cache.lock().await;
        if let Some(cached) = cache
            .as_ref()
            .filter(|cached| Instant::now() < cached.until)
        {
            return cached.entries.clone();
        }
        let fresh = self.look_up(cache.as_ref()).await;
        if let Some(fresh) = fresh {
            *cache = Some(fresh);
        }
        // An expired look-up is better than none.
        cache
            .as_ref()
            .map(|cached| cached.entries.clone())
            .unwrap_or_default()
    }

    async fn look_up(&self, cached: Option<&CachedEntries>) -> Option<CachedEntries> {
        let ranked = cached.into_iter().flat_map(|cached| cached.entries.iter());
        let addresses: Vec<SocketAddr> = ranked
            .map(|entry| entry.address)
            .chain(self.known.iter().copied())
            .collect();
        let path = format!("/v1/look-up?client={}", self.plan.client);
        let request = CallRequest::new(Method::GET, &path).timeout(LOOK_UP_LIMIT);
        for address in addresses {
            let Ok(answer) = call_once(address, &request).await else {
                continue;
            };
            let Ok(found) = serde_json::from_slice::<LookUp>(&answer.body) else {
                continue;
            };
            if answer.status == 200 && !found.entries.is_empty() {
                return Some(CachedEntries {
                    entries: Arc::new(found.entries),
                    until: Instant::now() + Duration::from_millis(found.life_ms),
                });
            }
        }
        None
    }
}

fn end_of(result: &Result<CallAnswer, CallError>) -> CallEnd {
    match result {
        Ok(answer) if (200..300).contains(&answer.status) => CallEnd::Answered,
        Ok(answer) => {
            let body = serde_json::from_slice::<RefusalBody>(&answer.body);
            CallEnd::Refused {
                code: body.map_or_else(|_| answer.status.to_string(), |body| body.error),
                not_run: answer.header("coltsfootkeel-run") == Some("not-run"),
            }
        }
        Err(CallError::BrokenBeforeAnswer(_)) => CallEnd::Broken("broken before the answer"),
        Err(CallError::BrokenWithinAnswer { .. }) => CallEnd::Broken("broken within the answer"),
        Err(CallError::TimedOut(_)) => CallEnd::Broken("timed out"),
        Err(CallError::Connect(_)) => CallEnd::Broken("no entry instance reached"),
        Err(CallError::Invalid(_)) => CallEnd::Broken("invalid request"),
    }
}
