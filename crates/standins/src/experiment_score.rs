//! What the callers' records say: entitled and wrongful requests and the time of a recovery.
//!
//! The reference buckets are computed here from the records alone, so that a fault of the daemons' counters shows up.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_model::FleetConfig;
use hdrhistogram::Histogram;

use crate::experiment_load::{CallEnd, CallRecord};
use crate::experiment_plan::{LEAD_IN, Scenario, WINDOW, as_rate};

const LONGEST_US: u64 = 60_000_000;
/// A recovery has ended when callers saw nothing bad for this time.
const QUIET: Duration = Duration::from_secs(1);

/// What a reference bucket says about one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JudgedCall {
    /// Whether the account's rate and burst allowed it, counting every request the account sent.
    pub entitled: bool,
    /// Whether it was refused although the account had a token left for it.
    pub wrongful: bool,
}

/// Judges the requests of one account, which are in the order of their sending.
///
/// In the bucket that decides about wrongful refusals, a request that may have run takes a token even if there is none.
/// A wrongful refusal takes one as well: of an account that sends more than its rate, each token that was not served
/// explains one refusal and not all of them.
#[must_use]
pub fn judge_calls(calls: &[&CallRecord], rate_per_s: f64, burst: f64) -> Vec<JudgedCall> {
    let mut offered = ReferenceBucket::new(rate_per_s, burst);
    let mut spent = ReferenceBucket::new(rate_per_s, burst);
    let mut judged = Vec::with_capacity(calls.len());
    for call in calls {
        offered.refill(call.sent);
        spent.refill(call.sent);
        let entitled = offered.has_token();
        if entitled {
            offered.take();
        }
        let refused = matches!(call.end, CallEnd::Refused { not_run: true, .. });
        let wrongful = refused && spent.has_token();
        if wrongful || !refused {
            spent.take();
        }
        judged.push(JudgedCall { entitled, wrongful });
    }
    judged
}

/// A token bucket that starts full.
#[derive(Debug)]
struct ReferenceBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    filled: Duration,
}

impl ReferenceBucket {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            filled: Duration::ZERO,
        }
    }

    fn refill(&mut self, now: Duration) {
        let time = now.saturating_sub(self.filled);
        let level = self.level + time.as_secs_f64() * self.rate_per_s;
        self.level = level.min(self.burst);
        self.filled = self.filled.max(now);
    }

    fn has_token(&self) -> bool {
        self.level >= 1.0
    }

    fn take(&mut self) {
        self.level -= 1.0;
    }
}

/// How long it took after an event until callers saw nothing bad for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryTime {
    /// It took this time.
    Within(Duration),
    /// It had not ended when the observation ended, this time after the event.
    NotWithin(Duration),
}

/// Returns the time from `event` to the last bad answer that a quiet time follows.
///
/// `bad` are the times of the bad answers in ascending order, and `end` is the end of the observation.
#[must_use]
pub fn recovery_time(
    event: Duration,
    bad: &[Duration],
    quiet: Duration,
    end: Duration,
) -> RecoveryTime {
    let mut last = event;
    for time in bad.iter().filter(|time| **time > event) {
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

/// What the callers saw in one scenario.
#[derive(Debug)]
pub struct ScenarioScore {
    /// The scenario.
    pub scenario: Scenario,
    /// Requests sent in the window.
    pub requests: usize,
    /// Requests with a 2xx answer.
    pub answered: usize,
    /// Requests that the reference buckets admitted.
    pub entitled: usize,
    /// Latencies of the 2xx answers in microseconds.
    pub latencies_us: Histogram<u64>,
    /// The smallest free share of an instance's slots in a pool.
    pub headroom: Option<f64>,
    /// Each account.
    pub accounts: Vec<AccountScore>,
    /// Refusals by code.
    pub refusals: BTreeMap<String, usize>,
    /// Requests without a complete answer, by reason.
    pub broken: BTreeMap<&'static str, usize>,
    /// Wrongful refusals by account, entry instance and code, with the times of the first and last since the event.
    pub wrongful_groups: BTreeMap<(String, String, String), GroupTimes>,
    /// Broken requests by entry instance and reason.
    pub broken_groups: BTreeMap<(String, String), GroupTimes>,
    /// Requests that went to a further entry instance because the first could not be reached.
    pub failovers: usize,
    /// The recovery after the event.
    pub recovery: RecoveryTime,
    /// The time from the event to the last wrongful refusal or transport error, if there is one after it.
    pub last_bad: Option<Duration>,
    /// The shift, if the scenario has one.
    pub shift: Option<ShiftScore>,
}

impl ScenarioScore {
    /// Returns the number of wrongful refusals.
    #[must_use]
    pub fn wrongful(&self) -> usize {
        self.accounts.iter().map(|account| account.wrongful).sum()
    }
}

/// What the callers of one account saw.
#[derive(Debug)]
pub struct AccountScore {
    /// The name.
    pub name: String,
    /// Requests sent.
    pub requests: usize,
    /// Requests that the reference bucket admitted.
    pub entitled: usize,
    /// Requests with a 2xx answer.
    pub served: usize,
    /// Wrongful refusals.
    pub wrongful: usize,
}

/// A number of answers and the times of the first and the last in milliseconds after the event.
#[derive(Debug, Clone, Copy)]
pub struct GroupTimes {
    /// The number.
    pub count: usize,
    /// The first, negative before the event.
    pub first_ms: i64,
    /// The last.
    pub last_ms: i64,
}

/// A shift in the counts of callers and upstreams.
#[derive(Debug)]
pub struct ShiftScore {
    /// The name.
    pub name: String,
    /// The cap in percent.
    pub cap_percent: u32,
    /// Requests of the route that callers sent to the region it leaves since the shift was committed.
    pub seen: usize,
    /// Those of them that ran at the destination.
    pub moved: usize,
    /// Requests that ran at the destination before the commit.
    pub moved_before: usize,
}

/// Scores the records of a run, which are in the order of sending.
///
/// # Panics
///
/// Panics if the constants of the histogram do not fit together.
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
        latencies_us: Histogram::new_with_bounds(1, LONGEST_US, 3)
            .expect("the bounds of the histogram are valid"),
        headroom: None,
        accounts: Vec::new(),
        refusals: BTreeMap::new(),
        broken: BTreeMap::new(),
        wrongful_groups: BTreeMap::new(),
        broken_groups: BTreeMap::new(),
        failovers: 0,
        recovery: RecoveryTime::Within(Duration::ZERO),
        last_bad: None,
        shift: None,
    };
    let mut bad = Vec::new();
    for (key, account) in config.accounts.iter() {
        let calls: Vec<&CallRecord> = records
            .iter()
            .filter(|record| record.account == key)
            .collect();
        let judged = judge_calls(&calls, as_rate(account.rate_per_s), as_rate(account.burst));
        let mut sums = AccountScore {
            name: account.name.clone(),
            requests: 0,
            entitled: 0,
            served: 0,
            wrongful: 0,
        };
        let in_window = calls
            .iter()
            .zip(&judged)
            .filter(|(call, _)| call.sent >= LEAD_IN);
        for (call, judged) in in_window {
            score.add(&mut sums, call, *judged, event);
            if judged.wrongful || matches!(call.end, CallEnd::Broken(_)) {
                bad.push(call.sent + call.latency);
            }
        }
        score.accounts.push(sums);
    }
    bad.sort();
    score.last_bad = bad.last().and_then(|last| last.checked_sub(event));
    score.recovery = recovery_time(event, &bad, QUIET, LEAD_IN + WINDOW);
    score
}

impl ScenarioScore {
    fn add(
        &mut self,
        account: &mut AccountScore,
        call: &CallRecord,
        judged: JudgedCall,
        event: Duration,
    ) {
        self.requests += 1;
        account.requests += 1;
        self.entitled += usize::from(judged.entitled);
        account.entitled += usize::from(judged.entitled);
        account.wrongful += usize::from(judged.wrongful);
        self.failovers += usize::from(call.failovers > 0);
        let time = millis(call.sent + call.latency) - millis(event);
        match &call.end {
            CallEnd::Answered => {
                self.answered += 1;
                account.served += 1;
                let micros = u64::try_from(call.latency.as_micros()).unwrap_or(LONGEST_US);
                self.latencies_us.saturating_record(micros.max(1));
            }
            CallEnd::Refused { code, .. } => {
                *self.refusals.entry(code.clone()).or_default() += 1;
                if judged.wrongful {
                    let group = (account.name.clone(), call.entry.clone(), code.clone());
                    add_time(self.wrongful_groups.entry(group).or_insert(NO_TIMES), time);
                }
            }
            CallEnd::Broken(reason) => {
                *self.broken.entry(reason).or_default() += 1;
                let group = (call.entry.clone(), (*reason).to_owned());
                add_time(self.broken_groups.entry(group).or_insert(NO_TIMES), time);
            }
        }
    }
}

const NO_TIMES: GroupTimes = GroupTimes {
    count: 0,
    first_ms: i64::MAX,
    last_ms: i64::MIN,
};

fn add_time(times: &mut GroupTimes, time_ms: i64) {
    times.count += 1;
    times.first_ms = times.first_ms.min(time_ms);
    times.last_ms = times.last_ms.max(time_ms);
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
