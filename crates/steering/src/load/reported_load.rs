//! The newest load report of one upstream, and what it says about the present.
//!
//! Load pattern: upstreams share their machines, and one in seven is several times slower for 600 ms at a time. Its
//! answers show that only when it is over, and a report that reaches all instances shows it at once. A report is one
//! observation of the past: requests are sent and finish after it, the cost changes, and it may be wrong.

use std::sync::Arc;
use std::sync::atomic::{AtomicI32, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use coltsfootkeel_counters::MonotonicTime;

use crate::load::load_report::LoadReport;

/// Cost, in percent, of work on a machine that no other work slows down.
const USUAL_COST_PERCENT: u32 = 100;
/// Cost, in percent, from which an upstream counts as busy. Smaller excesses are within the variation of runs.
const RAISED_COST_PERCENT: u32 = 150;
/// Time between two reports up to which at most one change of the cost is assumed between them.
const MAX_PAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Lifetime of reports before the first end of a raised cost was seen.
const INITIAL_LIFETIME: Duration = Duration::from_millis(500);
/// Bounds of the lifetime. Below the lower one a report would end before peers receive it.
const LIFETIME_BOUNDS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];
/// Number of ends of a raised cost whose durations are averaged.
const AVERAGED_ENDS: f64 = 64.0;
/// Prediction error, in thousandths of a power of e, that one answer adds at most.
const MAX_ERROR_MILLI: f64 = 1_000.0;
/// Average excess of the prediction error with reports over that without them, from which reports are ignored: a factor
/// of 1.35 in the response time.
const DISTRUST_MILLI: i32 = 300;
/// Number of answers over which the prediction error is averaged.
const ERROR_AVERAGING: i32 = 8;

/// A report with the requests that this instance knew of when it was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedReport {
    /// What the upstream stated.
    pub report: LoadReport,
    /// When it was received, by this or another instance.
    pub stated_at: MonotonicTime,
    /// Requests of this instance in flight beside the one that was answered.
    pub own_in_flight: u32,
    /// Requests of the other instances in flight.
    pub peer_in_flight: u32,
}

/// Response times of one answer, as measured and as predicted with and without reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PredictedTimes {
    /// The measured response time.
    pub measured: Duration,
    /// The prediction from reports.
    pub reported: Duration,
    /// The prediction from requests in flight and slowness alone.
    pub observed: Duration,
}

/// Time that upstreams spent at a raised cost between pairs of reports, and the ends of it that were seen.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CostExposure {
    /// The time in seconds.
    pub raised_s: f64,
    /// The number of ends.
    pub ends: f64,
}

/// Newest report of one upstream, shared by all threads.
#[derive(Debug, Default)]
pub struct ReportedLoad {
    newest: ArcSwapOption<TimedReport>,
    lifetime_ns: AtomicU64,
    raised_ns: AtomicU64,
    ends: AtomicU64,
    /// Average of the prediction error with reports less that without them.
    excess_error_milli: AtomicI32,
}

impl ReportedLoad {
    /// Records a report with a cost, unless a newer one is known. A report without a cost has no effect.
    pub fn record(&self, timed: TimedReport) {
        if timed.report.cost_percent.is_none() {
            return;
        }
        let previous = self.newest.load();
        if let Some(previous) = previous.as_deref() {
            if previous.stated_at > timed.stated_at {
                return;
            }
            self.record_exposure(previous, &timed);
        }
        self.newest.store(Some(Arc::new(timed)));
    }

    fn record_exposure(&self, previous: &TimedReport, next: &TimedReport) {
        let interval = next.stated_at.since(previous.stated_at);
        if !is_raised(previous.report) || interval > MAX_PAIR_INTERVAL {
            return;
        }
        let has_ended = !is_raised(next.report);
        // On average the cost ends in the middle between the two reports.
        let raised = if has_ended { interval / 2 } else { interval };
        let raised_ns = u64::try_from(raised.as_nanos()).unwrap_or(u64::MAX);
        self.raised_ns.fetch_add(raised_ns, Ordering::Relaxed);
        self.ends.fetch_add(u64::from(has_ended), Ordering::Relaxed);
    }

    /// Returns what was recorded since the last call about how long raised costs last.
    pub fn take_exposure(&self) -> CostExposure {
        let raised = Duration::from_nanos(self.raised_ns.swap(0, Ordering::Relaxed));
        #[expect(clippy::cast_precision_loss)]
        let ends = self.ends.swap(0, Ordering::Relaxed) as f64;
        CostExposure {
            raised_s: raised.as_secs_f64(),
            ends,
        }
    }

    /// Sets the time for which reports of the pool count.
    pub fn set_lifetime(&self, lifetime: Duration) {
        let nanos = u64::try_from(lifetime.as_nanos()).unwrap_or(u64::MAX);
        self.lifetime_ns.store(nanos, Ordering::Relaxed);
    }

    /// Returns whether the upstream has stated the present cost of work.
    #[must_use]
    pub fn states_cost(&self) -> bool {
        self.newest.load().is_some()
    }

    /// Returns the newest report, whatever its age.
    #[must_use]
    pub fn newest(&self) -> Option<TimedReport> {
        self.newest.load().as_deref().copied()
    }

    fn lifetime(&self) -> Duration {
        let lifetime = Duration::from_nanos(self.lifetime_ns.load(Ordering::Relaxed));
        if lifetime.is_zero() {
            INITIAL_LIFETIME
        } else {
            lifetime
        }
    }

    /// Returns the newest report and the weight of its cost: 1 for the first half of its lifetime, then falling linearly.
    /// Returns `None` if there is none or it is too old.
    fn valid(&self, now: MonotonicTime) -> Option<(TimedReport, f64)> {
        let timed = self.newest()?;
        let age = now.since(timed.stated_at).as_secs_f64();
        let left = 1.0 - age / self.lifetime().as_secs_f64();
        (left > 0.0).then_some((timed, (2.0 * left).min(1.0)))
    }

    /// Returns the requests at the upstream, from the newest report and what this instance and the others have sent and
    /// finished since. Returns `None` without a valid report.
    #[must_use]
    pub fn in_flight(&self, own: u32, peers: u32, now: MonotonicTime) -> Option<u32> {
        let (timed, _) = self.valid(now)?;
        let stated = timed.report.running.saturating_add(timed.report.waiting);
        let known = timed.own_in_flight.saturating_add(timed.peer_in_flight);
        let corrected = stated
            .saturating_add(own.saturating_add(peers))
            .saturating_sub(known);
        Some(corrected.max(own))
    }

    /// Returns the factor by which runs take longer because of the cost, 1 without a valid report. The excess falls with
    /// the age of the report, so a busy upstream gets its share of the requests back in steps.
    #[must_use]
    pub fn cost_factor(&self, now: MonotonicTime) -> f64 {
        let Some((timed, weight)) = self.valid(now) else {
            return 1.0;
        };
        let cost = timed.report.cost_percent.unwrap_or(USUAL_COST_PERCENT);
        let excess = f64::from(cost) / f64::from(USUAL_COST_PERCENT) - 1.0;
        1.0 + excess * weight
    }

    /// Compares a measured response time with the predictions. Where reports predict worse for several answers, they are
    /// distrusted until they predict better.
    pub fn record_prediction(&self, times: PredictedTimes) {
        let difference = error_milli(times.measured, times.reported)
            - error_milli(times.measured, times.observed);
        let average = self.excess_error_milli.load(Ordering::Relaxed);
        #[expect(clippy::cast_possible_truncation)]
        let next = average + (difference as i32 - average) / ERROR_AVERAGING;
        self.excess_error_milli.store(next, Ordering::Relaxed);
    }

    /// Returns whether reports are ignored because they have been wrong.
    #[must_use]
    pub fn is_distrusted(&self) -> bool {
        self.excess_error_milli.load(Ordering::Relaxed) > DISTRUST_MILLI
    }
}

fn is_raised(report: LoadReport) -> bool {
    report
        .cost_percent
        .is_some_and(|cost| cost >= RAISED_COST_PERCENT)
}

/// Returns the distance of a prediction from the measured time, on a logarithmic scale.
fn error_milli(measured: Duration, predicted: Duration) -> f64 {
    /// Lowest time that is compared, in seconds.
    const MIN_TIME_S: f64 = 0.001;
    let ratio = measured.as_secs_f64().max(MIN_TIME_S) / predicted.as_secs_f64().max(MIN_TIME_S);
    (ratio.ln().abs() * 1_000.0).min(MAX_ERROR_MILLI)
}

impl CostExposure {
    /// Adds newer figures and returns the time for which reports count: the average duration of a raised cost.
    pub fn add(&mut self, newer: CostExposure) -> Duration {
        let weight = (1.0 - newer.ends / AVERAGED_ENDS).max(0.0);
        self.raised_s = self.raised_s * weight + newer.raised_s;
        self.ends = self.ends * weight + newer.ends;
        if self.ends < 1.0 {
            return INITIAL_LIFETIME;
        }
        let [shortest, longest] = LIFETIME_BOUNDS;
        let average_s = (self.raised_s / self.ends).min(longest.as_secs_f64());
        Duration::from_secs_f64(average_s).max(shortest)
    }
}
