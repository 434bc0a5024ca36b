//! Sends the requests of a load plan over keep-alive connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::http_call::{CallAnswer, CallError, CallRequest, PersistentConnection};
use crate::load_plan::{LoadBound, LoadLane, LoadPlan, MAX_REQUESTS, MAX_TIME};
use crate::load_tally::{LoadReport, LoadTally};

const RECONNECT_DELAY: Duration = Duration::from_millis(10);

/// Runs a plan and returns its counts and latencies.
///
/// It must be called in a `tokio` runtime with timers, whose worker threads bound the parallelism.
///
/// # Panics
///
/// Panics if the task of a connection panicked.
pub async fn run_load(plan: &LoadPlan) -> LoadReport {
    let limits = Arc::new(RunLimits::new(plan.bound));
    let mut workers = JoinSet::new();
    for (index, lane) in plan.lanes.iter().enumerate() {
        let schedule = Arc::new(LaneSchedule::new(lane, limits.start));
        for _ in 0..lane.concurrency {
            let worker = LoadWorker {
                target: plan.target,
                request: lane.request.clone(),
                limits: limits.clone(),
                schedule: schedule.clone(),
                connection: None,
            };
            workers.spawn(async move { (index, worker.run().await) });
        }
    }
    let mut tallies = vec![LoadTally::new(); plan.lanes.len()];
    while let Some(joined) = workers.join_next().await {
        let (index, tally) = joined.expect("a load worker does not panic");
        tallies[index].merge(&tally);
    }
    report(&plan.lanes, &tallies, limits.start.elapsed())
}

fn report(lanes: &[LoadLane], tallies: &[LoadTally], time: Duration) -> LoadReport {
    let mut total = LoadTally::new();
    for tally in tallies {
        total.merge(tally);
    }
    LoadReport {
        seconds: time.as_secs_f64(),
        total: total.report("total", time),
        lanes: lanes
            .iter()
            .zip(tallies)
            .map(|(lane, tally)| tally.report(&lane.name, time))
            .collect(),
    }
}

/// Limits on the time and the requests of all lanes together.
#[derive(Debug)]
struct RunLimits {
    start: Instant,
    end: Instant,
    max_requests: u64,
    started_requests: AtomicU64,
}

impl RunLimits {
    fn new(bound: LoadBound) -> Self {
        let start = Instant::now();
        let (max_requests, time) = match bound {
            LoadBound::Requests(count) => (count, MAX_TIME),
            LoadBound::Time(time) => (MAX_REQUESTS, time),
        };
        Self {
            start,
            end: start + time,
            max_requests,
            started_requests: AtomicU64::new(0),
        }
    }

    fn try_start_request(&self) -> bool {
        Instant::now() < self.end
            && self.started_requests.fetch_add(1, Ordering::Relaxed) < self.max_requests
    }
}

/// Due times of the requests of an open-loop lane.
#[derive(Debug)]
struct LaneSchedule {
    start: Instant,
    rate_per_s: Option<f64>,
    next_index: AtomicU64,
}

impl LaneSchedule {
    fn new(lane: &LoadLane, start: Instant) -> Self {
        Self {
            start,
            rate_per_s: lane.rate_per_s,
            next_index: AtomicU64::new(0),
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "indices of a bounded run are exact in 53 bits"
    )]
    fn next_due(&self) -> Option<Instant> {
        let rate = self.rate_per_s?;
        let index = self.next_index.fetch_add(1, Ordering::Relaxed);
        Some(self.start + Duration::from_secs_f64(index as f64 / rate))
    }
}

/// Sends requests over one connection, which it opens again after a failure.
struct LoadWorker {
    target: SocketAddr,
    request: CallRequest,
    limits: Arc<RunLimits>,
    schedule: Arc<LaneSchedule>,
    connection: Option<PersistentConnection>,
}

impl LoadWorker {
    async fn run(mut self) -> LoadTally {
        let mut tally = LoadTally::new();
        while let Some(latency_start) = self.next_start().await {
            let result = self.call().await;
            tally.add(&result, latency_start.elapsed());
            if matches!(result, Err(CallError::Connect(_))) {
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
        tally
    }

    /// Waits until the next request is due and returns the time from which its latency is measured, or `None` at the
    /// end of the run.
    ///
    /// The latency of a request that is late because its connection was busy is measured from its due time. If the
    /// worker slept until the due time, the latency is measured from the wake-up, because `tokio` timers fire up to
    /// 1 ms late.
    async fn next_start(&self) -> Option<Instant> {
        let due = self.schedule.next_due();
        if due.is_some_and(|due| due >= self.limits.end) || !self.limits.try_start_request() {
            return None;
        }
        let now = Instant::now();
        match due {
            Some(due) if due > now => {
                tokio::time::sleep_until(due.into()).await;
                Some(Instant::now())
            }
            Some(due) => Some(due),
            None => Some(now),
        }
    }

    async fn call(&mut self) -> Result<CallAnswer, CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => PersistentConnection::open(self.target).await?,
        };
        let answer = connection.call(&self.request).await?;
        if answer.header("connection") != Some("close") {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}
