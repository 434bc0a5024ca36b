//! Counters and latency histograms in the Prometheus text format.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_model::{Arena, RegionKey};
use coltsfootkeel_steering::{InstanceRoom, PlacementReason};

/// Upper bounds of the latency buckets in milliseconds.
const LATENCY_BOUNDS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000,
];

/// The counters of the process, each with its metric name in [`COUNTERS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CounterName {
    /// Requests received from callers.
    Requests,
    /// Answers of upstreams that were forwarded to callers.
    Answers,
    /// Rejections that state that the request has not run.
    Refusals,
    /// Requests within their account's rate that were rejected because no upstream could answer in time.
    RefusalsWithinRate,
    /// Requests rejected because their account is over its rate.
    OverQuota,
    /// Failures after which the request may have run.
    Failures,
    /// Requests sent again after a failed attempt.
    Retries,
    /// Retries that the retry budget denied.
    RetriesDenied,
    /// Requests that waited in the queue of a pool.
    Waits,
    /// Requests whose caller closed the connection before the answer.
    CallersGone,
    /// Attempts at an upstream that is expected to have the object cached.
    WarmSends,
    /// Attempts at an upstream that is not expected to have the object cached, and attempts of requests without an
    /// object.
    ColdSends,
    /// Answers that belong to another request or were not produced by the upstream.
    ForeignAnswers,
    /// Look-ups of entry instances.
    LookUps,
    /// Look-ups that weighed the instances.
    WeightedLookUps,
    /// Look-ups that named also the instances heard last, because few were heard.
    CutOffLookUps,
    /// Failure domains that were left out of look-ups because their instances fell silent together.
    LostDomains,
    /// Calls to the store, failed ones included.
    StoreCalls,
    /// Calls to the store that failed.
    StoreFailures,
    /// Returns of the store from an older copy.
    StoreReturns,
    /// Health checks of upstreams that were started.
    HealthChecks,
    /// Load reports of upstreams that were read.
    LoadReportsRead,
    /// Load reports of upstreams or peers that were malformed or impossible.
    LoadReportsDropped,
    /// Requests refused on arrival because their turn in the fair queue was not expected in time.
    RefusedAtOnce,
    /// Requests refused after a wait in the fair queue.
    RefusedAfterWait,
    /// Requests to contended pools that were refused for lack of room after more than half of their objective.
    RefusedLate,
    /// Requests that were started before the previous one on their connection was answered.
    EarlyStarts,
    /// Answers that were ready before those before them on their connection.
    EarlyAnswers,
    /// Early requests that ended with their connection before their turn.
    EarlyTakenBack,
    /// Requests rejected because they have crashed several upstreams.
    CrashRefusals,
    /// Questions to other instances for crashes that they had reported and this one had missed.
    SuspectQuestions,
}

const COUNTERS: [(CounterName, &str); 31] = [
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
    (CounterName::WeightedLookUps, "weighted_look_ups_total"),
    (CounterName::CutOffLookUps, "cut_off_look_ups_total"),
    (CounterName::LostDomains, "lost_domains_total"),
    (CounterName::StoreCalls, "store_calls_total"),
    (CounterName::StoreFailures, "store_failures_total"),
    (CounterName::StoreReturns, "store_returns_total"),
    (CounterName::HealthChecks, "health_checks_total"),
    (CounterName::LoadReportsRead, "load_reports_read_total"),
    (
        CounterName::LoadReportsDropped,
        "load_reports_dropped_total",
    ),
    (CounterName::RefusedAtOnce, "refused_at_once_total"),
    (CounterName::RefusedAfterWait, "refused_after_wait_total"),
    (CounterName::RefusedLate, "refused_late_total"),
    (CounterName::EarlyStarts, "early_starts_total"),
    (CounterName::EarlyAnswers, "early_answers_held_total"),
    (CounterName::EarlyTakenBack, "early_taken_back_total"),
    (CounterName::CrashRefusals, "crash_refusals_total"),
    (CounterName::SuspectQuestions, "suspect_questions_total"),
];

/// A histogram of durations with the bounds [`LATENCY_BOUNDS_MS`].
#[derive(Debug, Default)]
pub struct LatencyHistogram {
    /// One bucket for each bound and one for longer durations.
    buckets: [AtomicU64; LATENCY_BOUNDS_MS.len() + 1],
    sum_ms: AtomicU64,
}

impl LatencyHistogram {
    /// Counts a duration in its bucket.
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

/// The attempts at upstreams of one region, by [`PlacementReason`].
type PlacementCounters = [AtomicU64; PlacementReason::ALL.len()];

/// The counters and histograms of the process.
#[derive(Debug)]
pub struct EntryMetrics {
    counters: [AtomicU64; COUNTERS.len()],
    placements: Arena<RegionKey, PlacementCounters>,
    /// The time from the arrival of a request to the start of its response.
    pub latency: LatencyHistogram,
    /// The time that requests spent in the queue of a pool.
    pub waits: LatencyHistogram,
    /// The time until requests to contended pools are refused for lack of room.
    pub refusals: LatencyHistogram,
}

/// The values of the gauges at the time of a scrape.
#[derive(Debug, Clone, Copy)]
pub struct GaugeValues {
    /// The version of the active plan; zero without a plan.
    pub plan_version: u64,
    /// The newest plan version that is in force here or at another instance.
    pub newest_plan_version: u64,
    /// The time since the plan was last confirmed to be the newest.
    pub plan_age: Duration,
    /// Requests of callers in progress.
    pub in_flight: u64,
    /// Bytes of requests and answers that are kept.
    pub kept_bytes: u64,
    /// Upstreams that accept new requests.
    pub usable_upstreams: usize,
    /// Upstreams that state a rate limit.
    pub limited_upstreams: usize,
    /// Live instances, this one included.
    pub instances: usize,
    /// What this instance uses.
    pub room: InstanceRoom,
}

impl EntryMetrics {
    /// Creates metrics with the value zero, for upstreams in `regions` regions.
    #[must_use]
    pub fn new(regions: usize) -> Self {
        Self {
            counters: Default::default(),
            placements: (0..regions).map(|_| Default::default()).collect(),
            latency: LatencyHistogram::default(),
            waits: LatencyHistogram::default(),
            refusals: LatencyHistogram::default(),
        }
    }

    /// Counts an attempt at an upstream of a region.
    pub fn count_placement(&self, region: RegionKey, reason: PlacementReason) {
        self.placements[region][reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Increments a counter.
    pub fn count(&self, name: CounterName) {
        self.count_many(name, 1);
    }

    /// Adds `count` to a counter.
    pub fn count_many(&self, name: CounterName, count: u64) {
        self.counters[name as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Returns whether any request has been received.
    #[must_use]
    pub fn has_requests(&self) -> bool {
        self.counters[CounterName::Requests as usize].load(Ordering::Relaxed) > 0
    }

    /// Returns all metrics in the text format. `regions` holds the names of the regions.
    #[must_use]
    pub fn render(&self, gauges: GaugeValues, regions: &Arena<RegionKey, String>) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = self
            .write(&mut text, gauges)
            .and_then(|()| self.write_placements(&mut text, regions));
        text
    }

    fn write_placements(
        &self,
        text: &mut String,
        regions: &Arena<RegionKey, String>,
    ) -> std::fmt::Result {
        writeln!(text, "# TYPE coltsfootkeel_placements_total counter")?;
        for (region, name) in regions.iter() {
            for reason in PlacementReason::ALL {
                let value = self.placements[region][reason as usize].load(Ordering::Relaxed);
                let code = reason.code();
                writeln!(
                    text,
                    "coltsfootkeel_placements_total{{region=\"{name}\",reason=\"{code}\"}} {value}"
                )?;
            }
        }
        Ok(())
    }

    fn write(&self, text: &mut String, gauges: GaugeValues) -> std::fmt::Result {
        for (counter, name) in COUNTERS {
            let value = self.counters[counter as usize].load(Ordering::Relaxed);
            writeln!(text, "# TYPE coltsfootkeel_{name} counter")?;
            writeln!(text, "coltsfootkeel_{name} {value}")?;
        }
        let usage = gauges.room.usage;
        let values = [
            ("plan_version", gauges.plan_version.to_string()),
            (
                "newest_plan_version",
                gauges.newest_plan_version.to_string(),
            ),
            (
                "plan_age_seconds",
                format!("{:.3}", gauges.plan_age.as_secs_f64()),
            ),
            ("requests_in_flight", gauges.in_flight.to_string()),
            ("kept_bytes", gauges.kept_bytes.to_string()),
            ("usable_upstreams", gauges.usable_upstreams.to_string()),
            ("limited_upstreams", gauges.limited_upstreams.to_string()),
            ("live_instances", gauges.instances.to_string()),
            ("processor_used", format!("{:.3}", usage.processor_part)),
            ("connections_used", format!("{:.3}", usage.connection_part)),
        ];
        for (name, value) in values {
            writeln!(text, "# TYPE coltsfootkeel_{name} gauge")?;
            writeln!(text, "coltsfootkeel_{name} {value}")?;
        }
        self.latency.write(text, "request_milliseconds")?;
        self.waits.write(text, "wait_milliseconds")?;
        self.refusals.write(text, "refusal_milliseconds")
    }
}
