//! Counters and latency histograms, in the text form that common collectors read.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bounds of the latency classes in milliseconds.
const LATENCY_BOUNDS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000,
];

/// The counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterName {
    /// Requests of callers.
    Requests,
    /// Answers of upstreams that were passed on.
    Answers,
    /// Refusals that tell "not run".
    Refusals,
    /// Requests within their account's rate that were refused for want of room.
    RefusalsWithinRate,
    /// Requests over their account's rate.
    OverQuota,
    /// Failures that tell nothing of the run.
    Failures,
    /// Requests sent to a second upstream.
    Retries,
    /// Retries that the budget did not allow.
    RetriesDenied,
    /// Requests that waited for an upstream.
    Waits,
    /// Requests whose caller left.
    CallersGone,
    /// Requests to an upstream that handled the object lately.
    WarmSends,
    /// Requests to a new place.
    ColdSends,
    /// Answers that belonged to no request.
    ForeignAnswers,
    /// Look-ups.
    LookUps,
    /// Calls to the store.
    StoreCalls,
    /// Calls to the store that failed.
    StoreFailures,
    /// Health checks of upstreams.
    HealthChecks,
}

const COUNTERS: [(CounterName, &str); 17] = [
    (CounterName::Requests, "requests_total"),
    (CounterName::Answers, "answers_total"),
    (CounterName::Refusals, "refusals_total"),
    (
        CounterName::RefusalsWithinRate,
        "refusals_within_rate_total",
    ),
    (CounterName::OverQuota, "over_quota_total"),
    (CounterName::Failures, "failures_total"),
    (CounterName::Retries, "retries_total"),
    (CounterName::RetriesDenied, "retries_denied_total"),
    (CounterName::Waits, "waits_total"),
    (CounterName::CallersGone, "callers_gone_total"),
    (CounterName::WarmSends, "warm_sends_total"),
    (CounterName::ColdSends, "cold_sends_total"),
    (CounterName::ForeignAnswers, "foreign_answers_total"),
    (CounterName::LookUps, "look_ups_total"),
    (CounterName::StoreCalls, "store_calls_total"),
    (CounterName::StoreFailures, "store_failures_total"),
    (CounterName::HealthChecks, "health_checks_total"),
];

/// A histogram of durations.
#[derive(Debug, Default)]
pub struct LatencyHistogram {
    /// One class for each bound and one beyond.
    buckets: [AtomicU64; LATENCY_BOUNDS_MS.len() + 1],
    sum_ms: AtomicU64,
}

impl LatencyHistogram {
    /// Adds a duration.
    pub fn add(&self, duration: Duration) {
        let milliseconds = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let bucket = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < milliseconds);
        self.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        self.sum_ms.fetch_add(milliseconds, Ordering::Relaxed);
    }

    fn write(&self, text: &mut String, name: &str) -> std::fmt::Result {
        writeln!(text, "# TYPE coltsfootkeel_{name} histogram")?;
        let mut total = 0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            total += count.load(Ordering::Relaxed);
            match LATENCY_BOUNDS_MS.get(bucket) {
                Some(bound) => writeln!(
                    text,
                    "coltsfootkeel_{name}_bucket{{le=\"{bound}\"}} {total}"
                )?,
                None => writeln!(text, "coltsfootkeel_{name}_bucket{{le=\"+Inf\"}} {total}")?,
            }
        }
        let sum = self.sum_ms.load(Ordering::Relaxed);
        writeln!(text, "coltsfootkeel_{name}_sum {sum}")?;
        writeln!(text, "coltsfootkeel_{name}_count {total}")
    }
}

/// All metrics of the process.
#[derive(Debug, Default)]
pub struct EntryMetrics {
    counters: [AtomicU64; COUNTERS.len()],
    /// From the arrival of a request to its answer.
    pub latency: LatencyHistogram,
    /// Waits for an upstream.
    pub waits: LatencyHistogram,
}

/// Values that are read when metrics are asked for.
#[derive(Debug, Clone, Copy)]
pub struct GaugeValues {
    /// The version of the plan in force.
    pub plan_version: u64,
    /// Time since the plan was known to be the newest.
    pub plan_age: Duration,
    /// Requests being carried.
    pub in_flight: u64,
    /// Upstreams that take new work.
    pub usable_upstreams: usize,
    /// Live instances.
    pub instances: usize,
}

impl EntryMetrics {
    /// Counts one event.
    pub fn count(&self, name: CounterName) {
        self.counters[name as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Tells whether any request has come.
    #[must_use]
    pub fn has_requests(&self) -> bool {
        self.counters[CounterName::Requests as usize].load(Ordering::Relaxed) > 0
    }

    /// Returns all metrics as text.
    #[must_use]
    pub fn render(&self, gauges: GaugeValues) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self.write(&mut text, gauges);
        text
    }

    fn write(&self, text: &mut String, gauges: GaugeValues) -> std::fmt::Result {
        for (counter, name) in COUNTERS {
            let value = self.counters[counter as usize].load(Ordering::Relaxed);
            writeln!(text, "# TYPE coltsfootkeel_{name} counter")?;
            writeln!(text, "coltsfootkeel_{name} {value}")?;
        }
        let values = [
            ("plan_version", gauges.plan_version.to_string()),
            (
                "plan_age_seconds",
                format!("{:.3}", gauges.plan_age.as_secs_f64()),
            ),
            ("requests_in_flight", gauges.in_flight.to_string()),
            ("usable_upstreams", gauges.usable_upstreams.to_string()),
            ("live_instances", gauges.instances.to_string()),
        ];
        for (name, value) in values {
            writeln!(text, "# TYPE coltsfootkeel_{name} gauge")?;
            writeln!(text, "coltsfootkeel_{name} {value}")?;
        }
        self.latency.write(text, "request_milliseconds")?;
        self.waits.write(text, "wait_milliseconds")
    }
}
