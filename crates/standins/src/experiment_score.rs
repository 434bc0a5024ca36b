//! Evaluation of the callers' records: entitled requests, wrongful refusals and the recovery time.
//!
//! The reference buckets are computed from the records alone, so that an error in the counters of the daemons shows up.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_model::FleetConfig;
use hdrhistogram::Histogram;

use crate::experiment_load::{CallOutcome, CallRecord};
use crate::experiment_plan::{MEASURED_TIME, Scenario, WARM_UP_TIME, as_f64};

const MAX_LATENCY_US: u64 = 60_000_000;
/// Time without a wrongful refusal or a broken request after which the fleet counts as recovered.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Evaluation of one request against the reference buckets of its account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallEvaluation {
    /// Whether the rate and burst of the account allowed the request, independently of the outcomes of earlier ones.
    pub is_entitled: bool,
    /// Whether the request was refused as "not run" although the account had a token left for it.
    pub is_wrongful: bool,
}

/// Evaluates the requests of one account, which are sorted by their `sent` time.
///
/// Two buckets are used. Every entitled request takes a token from the first one. The second one decides whether a
/// refusal is wrongful: a request that may have run takes a token from it even if it is empty, and so does a wrongful
/// refusal. Therefore, if an account sends more than its rate, each token that served no request makes only one refusal
/// wrongful.
#[must_use]
pub fn evaluate_calls(calls: &[&CallRecord], rate_per_s: f64, burst: f64) -> Vec<CallEvaluation> {
    let mut offered_bucket = ReferenceBucket::new(rate_per_s, burst);
    let mut spent_bucket = ReferenceBucket::new(rate_per_s, burst);
    let mut evaluations = Vec::with_capacity(calls.len());
    for call in calls {
        offered_bucket.refill(call.sent);
        spent_bucket.refill(call.sent);
        let is_entitled = offered_bucket.has_token();
        if is_entitled {
            offered_bucket.take();
        }
        let is_refused = matches!(call.outcome, CallOutcome::Refused { not_run: true, .. });
        let is_wrongful = is_refused && spent_bucket.has_token();
        if is_wrongful || !is_refused {
            spent_bucket.take();
        }
        evaluations.push(CallEvaluation {
            is_entitled,
            is_wrongful,
        });
    }
    evaluations
}

/// Token bucket that starts full and whose level can become negative.
#[derive(Debug)]
struct ReferenceBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    refilled_at: Duration,
}

impl ReferenceBucket {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            refilled_at: Duration::ZERO,
        }
    }

    fn refill(&mut self, now: Duration) {
        let time = now.saturating_sub(self.refilled_at);
        let level = self.level + time.as_secs_f64() * self.rate_per_s;
        self.level = level.min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn has_token(&self) -> bool {
        self.level >= 1.0
    }

    fn take(&mut self) {
        self.level -= 1.0;
    }
}

/// Time from an event to the last failure that precedes a failure-free period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryTime {
    /// The fleet recovered after this time.
    Within(Duration),
    /// The fleet had not recovered when the observation ended, this time after the event.
    NotWithin(Duration),
}

/// Returns the time from `event` to the last failure before the first gap of more than `quiet` without failures, or
/// zero if that gap begins at the event.
///
/// `failure_times` are in ascending order; failures before the event are ignored. `end` is the end of the observation.
#[must_use]
pub fn recovery_time(
    event: Duration,
    failure_times: &[Duration],
    quiet: Duration,
    end: Duration,
) -> RecoveryTime {
    let mut last = event;
    for time in failure_times.iter().filter(|time| **time > event) {
        if *time > last + quiet {
            break;
        }
        last = *time;
    }
    if last + quiet > end {
        RecoveryTime::NotWithin(end.saturating_sub(event))
    } else {
        RecoveryTime::Within(last.saturating_sub(event))
    }
}

/// Results of one scenario, as observed by its callers.
#[derive(Debug)]
pub struct ScenarioScore {
    /// Scenario that was run.
    pub scenario: Scenario,
    /// Number of requests sent in the measured time.
    pub requests: usize,
    /// Number of requests with a 2xx answer.
    pub answered: usize,
    /// Number of requests that the reference buckets admitted.
    pub entitled: usize,
    /// Latencies of the 2xx answers in microseconds.
    pub latencies_us: Histogram<u64>,
    /// Smallest fraction of free slots that an instance had in a pool, or `None` without a sample.
    pub headroom: Option<f64>,
    /// Results of each account, in the order of the configuration.
    pub accounts: Vec<AccountScore>,
    /// Number of refusals by code.
    pub refusals: BTreeMap<String, usize>,
    /// Number of requests without a complete answer, by reason.
    pub broken: BTreeMap<&'static str, usize>,
    /// Wrongful refusals by account, entry instance and code.
    pub wrongful_groups: BTreeMap<(String, String, String), GroupTimes>,
    /// Requests without a complete answer, by entry instance and reason.
    pub broken_groups: BTreeMap<(String, String), GroupTimes>,
    /// Number of requests for which at least one entry instance could not be connected to.
    pub failovers: usize,
    /// Recovery time after the event.
    pub recovery: RecoveryTime,
    /// Time from the event to the last wrongful refusal or broken request, or `None` if there is none after the event.
    pub last_failure: Option<Duration>,
    /// Moved requests, if the scenario activates a shift.
    pub shift: Option<ShiftScore>,
}

impl ScenarioScore {
    /// Returns the number of wrongful refusals of all accounts.
    #[must_use]
    pub fn wrongful(&self) -> usize {
        self.accounts.iter().map(|account| account.wrongful).sum()
    }
}

/// Results of one client account.
#[derive(Debug)]
pub struct AccountScore {
    /// Name of the account.
    pub name: String,
    /// Number of requests sent in the measured time.
    pub requests: usize,
    /// Number of requests that the reference bucket admitted.
    pub entitled: usize,
    /// Number of requests with a 2xx answer.
    pub served: usize,
    /// Number of wrongful refusals.
    pub wrongful: usize,
}

/// Number of failures of one kind, with the times of the first and the last.
#[derive(Debug, Clone, Copy)]
pub struct GroupTimes {
    /// Number of failures.
    pub count: usize,
    /// Time from the event to the first failure in milliseconds; negative before the event.
    pub first_ms: i64,
    /// Time from the event to the last failure in milliseconds; negative before the event.
    pub last_ms: i64,
}

/// Requests that a shift moved, counted from the records of callers and upstreams.
#[derive(Debug)]
pub struct ShiftScore {
    /// Name of the shift.
    pub name: String,
    /// Cap of the shift in percent of the requests, or 0 if the cap is a rate.
    pub cap_percent: u32,
    /// Number of requests of the route that callers sent to the source region after the commit of the shift.
    pub eligible: usize,
    /// Number of requests in `eligible` that ran at the destination.
    pub moved: usize,
    /// Number of requests that callers sent to the source region before the commit and that ran at the destination.
    pub moved_before: usize,
}

/// Evaluates the records of a run, which are sorted by their `sent` time. `event` is the time of the event.
///
/// # Panics
///
/// Panics if the constant bounds of the histogram are invalid.
#[must_use]
pub fn score_calls(
    scenario: Scenario,
    config: &FleetConfig,
    records: &[CallRecord],
    event: Duration,
) -> ScenarioScore {
    let mut score = ScenarioScore {
        scenario,
        requests: 0,
        answered: 0,
        entitled: 0,
        latencies_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the bounds of the histogram are valid"),
        headroom: None,
        accounts: Vec::new(),
        refusals: BTreeMap::new(),
        broken: BTreeMap::new(),
        wrongful_groups: BTreeMap::new(),
        broken_groups: BTreeMap::new(),
        failovers: 0,
        recovery: RecoveryTime::Within(Duration::ZERO),
        last_failure: None,
        shift: None,
    };
    let mut failure_times = Vec::new();
    for (key, account) in config.accounts.iter() {
        let calls: Vec<&CallRecord> = records
            .iter()
            .filter(|record| record.account == key)
            .collect();
        let evaluations = evaluate_calls(&calls, as_f64(account.rate_per_s), as_f64(account.burst));
        let mut account_score = AccountScore {
            name: account.name.clone(),
            requests: 0,
            entitled: 0,
            served: 0,
            wrongful: 0,
        };
        let in_window = calls
            .iter()
            .zip(&evaluations)
            .filter(|(call, _)| call.sent >= WARM_UP_TIME);
        for (call, evaluation) in in_window {
            score.add(&mut account_score, call, *evaluation, event);
            if evaluation.is_wrongful || matches!(call.outcome, CallOutcome::Broken(_)) {
                failure_times.push(call.sent + call.latency);
            }
        }
        score.accounts.push(account_score);
    }
    failure_times.sort();
    score.last_failure = failure_times
        .last()
        .and_then(|last| last.checked_sub(event));
    score.recovery = recovery_time(
        event,
        &failure_times,
        QUIET_TIME,
        WARM_UP_TIME + MEASURED_TIME,
    );
    score
}

impl ScenarioScore {
    fn add(
        &mut self,
        account: &mut AccountScore,
        call: &CallRecord,
        evaluation: CallEvaluation,
        event: Duration,
    ) {
        self.requests += 1;
        account.requests += 1;
        self.entitled += usize::from(evaluation.is_entitled);
        account.entitled += usize::from(evaluation.is_entitled);
        account.wrongful += usize::from(evaluation.is_wrongful);
        self.failovers += usize::from(call.failovers > 0);
        let time = millis(call.sent + call.latency) - millis(event);
        match &call.outcome {
            CallOutcome::Answered => {
                self.answered += 1;
                account.served += 1;
                let micros = u64::try_from(call.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
                self.latencies_us.saturating_record(micros.max(1));
            }
            CallOutcome::Refused { code, .. } => {
                *self.refusals.entry(code.clone()).or_default() += 1;
                if evaluation.is_wrongful {
                    let group = (account.name.clone(), call.entry.clone(), code.clone());
                    add_to_group(
                        self.wrongful_groups.entry(group).or_insert(EMPTY_GROUP),
                        time,
                    );
                }
            }
            CallOutcome::Broken(reason) => {
                *self.broken.entry(reason).or_default() += 1;
                let group = (call.entry.clone(), (*reason).to_owned());
                add_to_group(self.broken_groups.entry(group).or_insert(EMPTY_GROUP), time);
            }
        }
    }
}

const EMPTY_GROUP: GroupTimes = GroupTimes {
    count: 0,
    first_ms: i64::MAX,
    last_ms: i64::MIN,
};

fn add_to_group(times: &mut GroupTimes, time_ms: i64) {
    times.count += 1;
    times.first_ms = times.first_ms.min(time_ms);
    times.last_ms = times.last_ms.max(time_ms);
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
