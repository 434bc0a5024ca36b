//! Compares the latency of calls through an entry instance with that of direct calls, within one run.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;
use thiserror::Error;
use tokio::task::JoinSet;

use crate::http_call::{CallError, CallRequest, PersistentConnection};
use crate::load_plan::{LoadPlanError, MAX_CONCURRENCY, MAX_TIME, check_count, check_target};
use crate::load_tally::{LatencyReport, LoadTally};

const MAX_ROUNDS: usize = 1000;

/// Parameters of a comparison.
#[derive(Debug, Clone)]
pub struct ComparePlan {
    /// Address of the upstream for direct calls.
    pub direct: SocketAddr,
    /// Address of the entry instance.
    pub entry: SocketAddr,
    /// Request of the direct calls.
    pub direct_request: CallRequest,
    /// Request of the calls through the entry instance.
    pub entry_request: CallRequest,
    /// Number of connections of each side, at most [`MAX_CONCURRENCY`].
    pub concurrency: usize,
    /// Duration of one block.
    pub block: Duration,
    /// Number of blocks of each side, at most `MAX_ROUNDS`, without the discarded first block.
    pub rounds: usize,
}

/// Error that ends a comparison without a report.
#[derive(Debug, Error)]
pub enum CompareError {
    /// The plan is invalid or exceeds a bound.
    #[error(transparent)]
    Plan(#[from] LoadPlanError),
    /// A call got no complete answer, which makes the sides incomparable.
    #[error("{side}: {source}")]
    Call {
        /// Side that failed: `direct` or `entry`.
        side: &'static str,
        /// Error of the call.
        source: CallError,
    },
    /// Answers had a status other than 2xx.
    #[error("{side}: {count} answers without a 2xx status, the last with status {status}")]
    Refused {
        /// Side that failed: `direct` or `entry`.
        side: &'static str,
        /// Number of answers without a 2xx status in one block of one connection.
        count: u64,
        /// Status of the last answer in the block.
        status: u16,
    },
}

/// Latencies of both sides and the latency that the entry instance adds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct CompareReport {
    /// Latencies of the direct calls.
    pub direct: LatencyReport,
    /// Latencies of the calls through the entry instance.
    pub entry: LatencyReport,
    /// Added latency at the median, in microseconds.
    pub added_p50_us: f64,
    /// Added latency at the 99th percentile, in microseconds.
    pub added_p99_us: f64,
    /// Added latency at the median, divided by the direct latency.
    pub ratio_p50: f64,
    /// Added latency at the 99th percentile, divided by the direct latency.
    pub ratio_p99: f64,
}

impl CompareReport {
    fn new(direct: LatencyReport, entry: LatencyReport) -> Self {
        Self {
            direct,
            entry,
            added_p50_us: entry.p50_us - direct.p50_us,
            added_p99_us: entry.p99_us - direct.p99_us,
            ratio_p50: (entry.p50_us - direct.p50_us) / direct.p50_us,
            ratio_p99: (entry.p99_us - direct.p99_us) / direct.p99_us,
        }
    }
}

impl fmt::Display for CompareReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<10} {:>10} {:>10} {:>10} {:>10} {:>10}",
            "side", "requests", "p50 us", "p99 us", "p99.9 us", "max us"
        )?;
        for (side, latency) in [("direct", &self.direct), ("entry", &self.entry)] {
            writeln!(
                formatter,
                "{side:<10} {:>10} {:>10.1} {:>10.1} {:>10.1} {:>10.1}",
                latency.count, latency.p50_us, latency.p99_us, latency.p999_us, latency.max_us
            )?;
        }
        write!(
            formatter,
            "added      p50 {:.1} us, {:.2} times the direct call; p99 {:.1} us, {:.2} times",
            self.added_p50_us, self.ratio_p50, self.added_p99_us, self.ratio_p99
        )
    }
}

/// Alternates short blocks of direct calls with blocks of calls through an entry instance, and compares their
/// latencies.
///
/// Alternating blocks expose both sides to the same load of the machine. Connections are kept, so that no latency
/// contains a connect. The side that goes first changes with each round. The first block of each side is discarded as a
/// warm-up.
///
/// # Errors
///
/// Returns an error if the plan exceeds its bounds, a call fails or an answer has a status other than 2xx.
pub async fn run_compare(plan: &ComparePlan) -> Result<CompareReport, CompareError> {
    check(plan)?;
    let mut direct = CompareSide::open(
        "direct",
        plan.direct,
        &plan.direct_request,
        plan.concurrency,
    )
    .await?;
    let mut entry =
        CompareSide::open("entry", plan.entry, &plan.entry_request, plan.concurrency).await?;
    direct.run_block(plan.block).await?;
    entry.run_block(plan.block).await?;
    direct.tally = LoadTally::new();
    entry.tally = LoadTally::new();
    for round in 0..plan.rounds {
        let (first, second) = if round % 2 == 0 {
            (&mut direct, &mut entry)
        } else {
            (&mut entry, &mut direct)
        };
        first.run_block(plan.block).await?;
        second.run_block(plan.block).await?;
    }
    Ok(CompareReport::new(
        direct.tally.latencies(),
        entry.tally.latencies(),
    ))
}

fn check(plan: &ComparePlan) -> Result<(), LoadPlanError> {
    check_target(plan.direct)?;
    check_target(plan.entry)?;
    check_count("concurrency", plan.concurrency, MAX_CONCURRENCY)?;
    check_count("rounds", plan.rounds, MAX_ROUNDS)?;
    let blocks = u32::try_from(plan.rounds * 2 + 2).unwrap_or(u32::MAX);
    let time = plan.block.saturating_mul(blocks);
    if time.is_zero() || time > MAX_TIME {
        return Err(LoadPlanError::OutOfBounds {
            parameter: "time of all blocks",
            bound: format!("{} s", MAX_TIME.as_secs()),
        });
    }
    Ok(())
}

/// Connections and tally of one side.
struct CompareSide {
    name: &'static str,
    request: CallRequest,
    connections: Vec<PersistentConnection>,
    tally: LoadTally,
}

impl CompareSide {
    async fn open(
        name: &'static str,
        address: SocketAddr,
        request: &CallRequest,
        concurrency: usize,
    ) -> Result<Self, CompareError> {
        let mut connections = Vec::with_capacity(concurrency);
        for _ in 0..concurrency {
            let opened = PersistentConnection::open(address).await;
            connections.push(opened.map_err(|source| CompareError::Call { side: name, source })?);
        }
        Ok(Self {
            name,
            request: request.clone(),
            connections,
            tally: LoadTally::new(),
        })
    }

    async fn run_block(&mut self, time: Duration) -> Result<(), CompareError> {
        let end = Instant::now() + time;
        let mut workers = JoinSet::new();
        for connection in self.connections.drain(..) {
            workers.spawn(call_until(self.name, connection, self.request.clone(), end));
        }
        while let Some(joined) = workers.join_next().await {
            let (connection, tally) = joined.expect("a compare worker does not panic")?;
            self.connections.push(connection);
            self.tally.merge(&tally);
        }
        Ok(())
    }
}

async fn call_until(
    side: &'static str,
    mut connection: PersistentConnection,
    request: CallRequest,
    end: Instant,
) -> Result<(PersistentConnection, LoadTally), CompareError> {
    let mut tally = LoadTally::new();
    let mut status = 0;
    while Instant::now() < end {
        let call_start = Instant::now();
        let result = connection.call(&request).await;
        tally.add(&result, call_start.elapsed());
        status = match result {
            Ok(answer) => answer.status,
            Err(source) => return Err(CompareError::Call { side, source }),
        };
    }
    match tally.failures() {
        0 => Ok((connection, tally)),
        count => Err(CompareError::Refused {
            side,
            count,
            status,
        }),
    }
}
