//! Counts and latencies of a load run, and the report of them.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::http_call::{CallAnswer, CallError};

const MAX_LATENCY_NS: u64 = 60_000_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const NS_PER_US: f64 = 1000.0;

/// Counts and latencies of a set of requests.
#[derive(Debug, Clone)]
pub struct LoadTally {
    latencies_ns: Histogram<u64>,
    requests: u64,
    statuses: BTreeMap<u16, u64>,
    runs: BTreeMap<String, u64>,
    errors: BTreeMap<&'static str, u64>,
}

impl LoadTally {
    /// Creates an empty tally.
    ///
    /// # Panics
    ///
    /// Panics if the constant bounds of the histogram are invalid.
    #[must_use]
    pub fn new() -> Self {
        let latencies_ns = Histogram::new_with_bounds(1, MAX_LATENCY_NS, SIGNIFICANT_DIGITS)
            .expect("the bounds of the histogram are valid");
        Self {
            latencies_ns,
            requests: 0,
            statuses: BTreeMap::new(),
            runs: BTreeMap::new(),
            errors: BTreeMap::new(),
        }
    }

    /// Adds the result of one request. Only latencies of 2xx answers are recorded, because refusals are faster.
    pub fn add(&mut self, result: &Result<CallAnswer, CallError>, latency: Duration) {
        self.requests += 1;
        match result {
            Ok(answer) => self.add_answer(answer, latency),
            Err(error) => *self.errors.entry(error_name(error)).or_default() += 1,
        }
    }

    /// Adds the counts and latencies of `other`.
    ///
    /// # Panics
    ///
    /// Panics if the histograms have different bounds, which cannot happen because all tallies use the same constants.
    pub fn merge(&mut self, other: &Self) {
        self.latencies_ns
            .add(&other.latencies_ns)
            .expect("all tallies have the same bounds");
        self.requests += other.requests;
        merge_counts(&mut self.statuses, &other.statuses);
        merge_counts(&mut self.runs, &other.runs);
        merge_counts(&mut self.errors, &other.errors);
    }

    /// Returns the quantiles of the latencies so far.
    #[must_use]
    pub fn latencies(&self) -> LatencyReport {
        let at = |quantile| as_us(self.latencies_ns.value_at_quantile(quantile));
        LatencyReport {
            count: self.latencies_ns.len(),
            p50_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: as_us(self.latencies_ns.max()),
        }
    }

    /// Returns the number of requests without a 2xx answer.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.requests - self.latencies_ns.len()
    }

    /// Returns the report of these requests under the name of a lane. Rates are computed over `time`.
    #[must_use]
    pub fn report(&self, name: &str, time: Duration) -> LaneReport {
        LaneReport {
            name: name.to_owned(),
            requests: self.requests,
            requests_per_s: per_second(self.requests, time),
            answered_2xx_per_s: per_second(self.latencies_ns.len(), time),
            latency_2xx: self.latencies(),
            statuses: self.statuses.clone(),
            runs: self.runs.clone(),
            errors: self.errors.clone(),
        }
    }

    fn add_answer(&mut self, answer: &CallAnswer, latency: Duration) {
        *self.statuses.entry(answer.status).or_default() += 1;
        if let Some(run) = answer.header("coltsfootkeel-run") {
            *self.runs.entry(run.to_owned()).or_default() += 1;
        }
        if (200..300).contains(&answer.status) {
            let nanos = u64::try_from(latency.as_nanos()).unwrap_or(MAX_LATENCY_NS);
            self.latencies_ns.saturating_record(nanos.max(1));
        }
    }
}

impl Default for LoadTally {
    fn default() -> Self {
        Self::new()
    }
}

/// Quantiles of a set of latencies.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LatencyReport {
    /// Number of latencies.
    pub count: u64,
    /// Median in microseconds.
    pub p50_us: f64,
    /// 99th percentile in microseconds.
    pub p99_us: f64,
    /// 99.9th percentile in microseconds.
    pub p999_us: f64,
    /// Largest latency in microseconds.
    pub max_us: f64,
}

/// Counts and latencies of one lane.
#[derive(Debug, Clone, Serialize)]
pub struct LaneReport {
    /// Name of the lane, or `total` for all lanes together.
    pub name: String,
    /// Number of requests sent.
    pub requests: u64,
    /// Requests sent per second.
    pub requests_per_s: f64,
    /// 2xx answers per second.
    pub answered_2xx_per_s: f64,
    /// Latencies of the 2xx answers.
    pub latency_2xx: LatencyReport,
    /// Number of answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of answers by the value of the `Coltsfootkeel-Run` header.
    pub runs: BTreeMap<String, u64>,
    /// Number of requests without a complete answer, by reason.
    pub errors: BTreeMap<&'static str, u64>,
}

/// Counts and latencies of a load run.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Report of all lanes together.
    pub total: LaneReport,
    /// Reports of the lanes, in the order of the plan.
    pub lanes: Vec<LaneReport>,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<20} {:>10} {:>11} {:>11} {:>10} {:>10} {:>10} {:>10}",
            "lane", "requests", "requests/s", "2xx/s", "p50 us", "p99 us", "p99.9 us", "max us"
        )?;
        for lane in self.lanes.iter().chain([&self.total]) {
            write_lane(formatter, lane)?;
        }
        for lane in self.lanes.iter().chain([&self.total]) {
            writeln!(
                formatter,
                "{}: status {:?}, Coltsfootkeel-Run {:?}, errors {:?}",
                lane.name, lane.statuses, lane.runs, lane.errors
            )?;
        }
        write!(formatter, "{:.2} s", self.seconds)
    }
}

fn write_lane(formatter: &mut fmt::Formatter<'_>, lane: &LaneReport) -> fmt::Result {
    let latency = &lane.latency_2xx;
    writeln!(
        formatter,
        "{:<20} {:>10} {:>11.0} {:>11.0} {:>10.1} {:>10.1} {:>10.1} {:>10.1}",
        lane.name,
        lane.requests,
        lane.requests_per_s,
        lane.answered_2xx_per_s,
        latency.p50_us,
        latency.p99_us,
        latency.p999_us,
        latency.max_us
    )
}

fn merge_counts<K: Clone + Ord>(into: &mut BTreeMap<K, u64>, from: &BTreeMap<K, u64>) {
    for (key, count) in from {
        *into.entry(key.clone()).or_default() += count;
    }
}

fn error_name(error: &CallError) -> &'static str {
    match error {
        CallError::Invalid(_) => "invalid request",
        CallError::Connect(_) => "connect failed",
        CallError::BrokenBeforeAnswer(_) => "broken before the answer",
        CallError::BrokenWithinAnswer { .. } => "broken within the answer",
        CallError::TimedOut(_) => "timed out",
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies up to 60 s in ns are exact in 53 bits"
)]
fn as_us(nanos: u64) -> f64 {
    nanos as f64 / NS_PER_US
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a bounded run are exact in 53 bits"
)]
fn per_second(count: u64, time: Duration) -> f64 {
    count as f64 / time.as_secs_f64().max(f64::MIN_POSITIVE)
}
