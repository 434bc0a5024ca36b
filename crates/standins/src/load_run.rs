//! Sends the load of a plan over kept connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::http_call::{CallAnswer, CallError, CallRequest, PersistentConnection};
use crate::load_plan::{LoadBound, LoadLane, LoadPlan, MAX_REQUESTS, MAX_TIME};
use crate::load_tally::{LoadReport, LoadTally};

const RECONNECT_PAUSE: Duration = Duration::from_millis(10);

/// Runs a plan and reports its counts and latencies.
///
/// Must run in a `tokio` runtime with timers. Its worker threads bound the parallelism.
///
/// # Panics
///
/// Panics if a worker panicked.
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
    while let Some(ended) = workers.join_next().await {
        let (index, tally) = ended.expect("a load worker does not panic");
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

/// When all lanes together stop.
#[derive(Debug)]
struct RunLimits {
    start: Instant,
    end: Instant,
    requests: u64,
    taken: AtomicU64,
}

impl RunLimits {
    fn new(bound: LoadBound) -> Self {
        let start = Instant::now();
        let (requests, time) = match bound {
            LoadBound::Requests(count) => (count, MAX_TIME),
            LoadBound::Time(time) => (MAX_REQUESTS, time),
        };
        Self {
            start,
            end: start + time,
            requests,
            taken: AtomicU64::new(0),
        }
    }

    fn take(&self) -> bool {
        Instant::now() < self.end && self.taken.fetch_add(1, Ordering::Relaxed) < self.requests
    }
}

/// When the requests of a lane are due.
#[derive(Debug)]
struct LaneSchedule {
    start: Instant,
    rate_per_s: Option<f64>,
    next: AtomicU64,
}

impl LaneSchedule {
    fn new(lane: &LoadLane, start: Instant) -> Self {
        Self {
            start,
            rate_per_s: lane.rate_per_s,
            next: AtomicU64::new(0),
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "indices of a bounded run are exact in 53 bits"
    )]
    fn next_due(&self) -> Option<Instant> {
        let rate = self.rate_per_s?;
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        Some(self.start + Duration::from_secs_f64(index as f64 / rate))
    }
}

/// Sends the requests of one connection.
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
        while let Some(began) = self.next_start().await {
            let result = self.call().await;
            tally.add(&result, began.elapsed());
            if matches!(result, Err(CallError::Connect(_))) {
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
        tally
    }

    /// Waits for the next request and returns the time its latency is counted from.
    ///
    /// A request that is late because its connection was busy counts from the time it was due. One that was waited
    /// for counts from its sending, because the timers of `tokio` are late by up to 1 ms.
    async fn next_start(&self) -> Option<Instant> {
        let due = self.schedule.next_due();
        if due.is_some_and(|due| due >= self.limits.end) || !self.limits.take() {
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
