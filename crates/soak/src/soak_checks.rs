//! Checks the guarantees of the system against the records of callers and upstreams.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootkeel_standins::UpstreamRun;
use thiserror::Error;

use crate::soak_callers::CallOutcome;

/// Time within which a withdrawn key must stop working. It equals the bound in the settings of the daemons.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(5);
/// Time within which a granted key must no longer be refused as unknown: the bound in the settings of the daemons for a
/// change of the configuration, and the time for which a request may be on its way.
const MAX_GRANT_DELAY: Duration = Duration::from_secs(3);
/// Time after which a leaving upstream receives no new request.
const MAX_DEPARTURE_DELAY: Duration = Duration::from_millis(2_500);
/// Client account that both access keys belong to.
const ACCOUNT: &str = "hotel";

/// Period in which the changing key was granted or withdrawn.
#[derive(Debug, Clone, Copy)]
pub struct KeyPeriod {
    /// Whether the configuration contained the key.
    pub is_granted: bool,
    /// Time at which the configuration was written.
    pub from: Instant,
    /// Time of the next change, or `None` if there was none.
    pub to: Option<Instant>,
}

impl KeyPeriod {
    /// Returns the time from `delay` after the start of the period to `sent_at`, if `sent_at` is in the period.
    fn time_after(&self, delay: Duration, sent_at: Instant) -> Option<Duration> {
        if self.to.is_some_and(|to| sent_at >= to) {
            return None;
        }
        sent_at.checked_duration_since(self.from + delay)
    }
}

/// Period in which an upstream was registered as leaving.
#[derive(Debug, Clone)]
pub struct Departure {
    /// Id of the upstream.
    pub upstream: String,
    /// Time at which the store accepted the registration.
    pub from: Instant,
    /// Time at which the upstream was registered as ready again, or `None` if it was not.
    pub to: Option<Instant>,
}

/// Execution of a request, as an upstream recorded it.
#[derive(Debug, Clone)]
pub struct RecordedRun {
    /// Id of the upstream that ran the request.
    pub upstream: String,
    /// Record of the upstream.
    pub run: UpstreamRun,
}

/// Violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GuaranteeViolation {
    /// A request that is not idempotent ran more than once.
    #[error("{attempt_id} is not idempotent and ran {runs} times")]
    RanTwice {
        /// Attempt id of the request.
        attempt_id: String,
        /// Number of recorded runs.
        runs: usize,
    },
    /// A request ran although its status says that it did not.
    #[error("{attempt_id} was refused with status {status} and ran")]
    UntrueRefusal {
        /// Attempt id of the request.
        attempt_id: String,
        /// HTTP status that the caller received.
        status: u16,
    },
    /// A caller received an answer that does not match any recorded run of its request.
    #[error("{attempt_id} received the answer {body:?} of another request")]
    ForeignAnswer {
        /// Attempt id of the request.
        attempt_id: String,
        /// Body that the caller received.
        body: String,
    },
    /// An upstream received the access key, or an account that the key does not belong to.
    #[error(
        "{attempt_id} reached an upstream with its access key or for another account than {ACCOUNT}"
    )]
    ExposedKey {
        /// Attempt id of the request.
        attempt_id: String,
    },
    /// A request ran with a key that had been withdrawn for longer than `MAX_WITHDRAWAL_DELAY`.
    #[error(
        "{attempt_id} was sent {late_ms} ms after its withdrawn key had to stop working, and ran"
    )]
    WithdrawnKey {
        /// Attempt id of the request.
        attempt_id: String,
        /// Time in milliseconds from the end of the bound to the sending of the request.
        late_ms: u128,
    },
    /// A request was refused with 401 although its key had been granted for longer than `MAX_GRANT_DELAY`.
    #[error("{attempt_id} was refused with 401 {late_ms} ms after its key had to be known")]
    GrantedKeyRefused {
        /// Attempt id of the request.
        attempt_id: String,
        /// Time in milliseconds from the end of the bound to the sending of the request.
        late_ms: u128,
    },
    /// A request ran although an answer to an earlier one had closed its connection.
    #[error("{attempt_id} was sent behind an answer that closes the connection, and ran")]
    RanBehindClose {
        /// Attempt id of the request.
        attempt_id: String,
    },
    /// A request ran and its caller got no answer, although there was only planned work.
    #[error("{attempt_id} ran and got no answer from {entry}")]
    LostAnswer {
        /// Attempt id of the request.
        attempt_id: String,
        /// Address of the instance that took the request.
        entry: SocketAddr,
    },
    /// A request reached an upstream that was leaving for longer than `MAX_DEPARTURE_DELAY`.
    #[error("{attempt_id} ran at {upstream} {late_ms} ms after the end of its departure")]
    LateAtUpstream {
        /// Attempt id of the request.
        attempt_id: String,
        /// Id of the upstream.
        upstream: String,
        /// Time in milliseconds from the end of the bound to the run.
        late_ms: u128,
    },
    /// A request reached an upstream that its instance knew to be leaving or removed before a return of the store.
    #[error("{attempt_id} ran at {upstream} {after_ms} ms after {instance} had stopped using it")]
    UsedAfterReturn {
        /// Attempt id of the request.
        attempt_id: String,
        /// Id of the upstream.
        upstream: String,
        /// Name of the instance.
        instance: String,
        /// Time in milliseconds from when the instance is known not to use the upstream to the run.
        after_ms: u128,
    },
    /// An instance put an earlier version of the configuration in force after a return of the store.
    #[error("{instance} went back from version {before} of the configuration to {after}")]
    PlanReverted {
        /// Name of the instance.
        instance: String,
        /// Version before the return.
        before: u64,
        /// Version after it.
        after: u64,
    },
    /// The store lacks the registration of a running instance after all faults had ended.
    #[error("{instance} is not registered as the process that runs")]
    NotRegistered {
        /// Name of the instance.
        instance: String,
    },
    /// A process of the fleet ended although no signal asked it to, or not as the signal asked.
    #[error("{instance} ended by itself: {status}")]
    EndedByItself {
        /// Name of the instance.
        instance: String,
        /// Exit status of the process.
        status: String,
    },
    /// The fleet served too few requests after all faults had ended.
    #[error("{served} of {sent} requests were served after the faults; the others: {unserved:?}")]
    NotRecovered {
        /// Number of requests that were served.
        served: usize,
        /// Number of requests that were sent.
        sent: usize,
        /// Number of unserved requests by instance and status; the status is `None` without a complete answer.
        unserved: BTreeMap<(SocketAddr, Option<u16>), usize>,
    },
}

/// Returns the violations that the outcomes and runs show, at most one for each outcome.
#[must_use]
pub fn check_guarantees(
    outcomes: &[CallOutcome],
    runs: &[RecordedRun],
    key_periods: &[KeyPeriod],
) -> Vec<GuaranteeViolation> {
    let mut runs_by_attempt: HashMap<&str, Vec<&RecordedRun>> = HashMap::new();
    for recorded in runs {
        runs_by_attempt
            .entry(&recorded.run.attempt_id)
            .or_default()
            .push(recorded);
    }
    let mut violations = Vec::new();
    for outcome in outcomes {
        let own_runs = runs_by_attempt.get(outcome.attempt_id.as_str());
        let own_runs = own_runs.map_or(&[][..], Vec::as_slice);
        violations.extend(check_outcome(outcome, own_runs, key_periods));
    }
    violations
}

/// Returns the violations of the guarantees for planned work: every request that ran is answered, and leaving upstreams
/// receive no new one.
#[must_use]
pub fn check_planned_work(
    outcomes: &[CallOutcome],
    runs: &[RecordedRun],
    departures: &[Departure],
) -> Vec<GuaranteeViolation> {
    let run_ids: HashSet<&str> = runs
        .iter()
        .map(|recorded| recorded.run.attempt_id.as_str())
        .collect();
    let lost = outcomes.iter().filter(|outcome| {
        outcome.status.is_none() && run_ids.contains(outcome.attempt_id.as_str())
    });
    let lost = lost.map(|outcome| GuaranteeViolation::LostAnswer {
        attempt_id: outcome.attempt_id.clone(),
        entry: outcome.entry,
    });
    let late = runs
        .iter()
        .filter_map(|recorded| check_departures(recorded, departures));
    lost.chain(late).collect()
}

fn check_departures(
    recorded: &RecordedRun,
    departures: &[Departure],
) -> Option<GuaranteeViolation> {
    let started_at = recorded.run.started_at;
    let late = departures
        .iter()
        .filter(|departure| departure.upstream == recorded.upstream)
        .filter(|departure| departure.to.is_none_or(|to| started_at < to))
        .find_map(|departure| {
            started_at.checked_duration_since(departure.from + MAX_DEPARTURE_DELAY)
        })?;
    Some(GuaranteeViolation::LateAtUpstream {
        attempt_id: recorded.run.attempt_id.clone(),
        upstream: recorded.upstream.clone(),
        late_ms: late.as_millis(),
    })
}

/// Checks that at least the fraction `min_fraction` of the requests sent after the recovery was served.
#[must_use]
pub fn check_recovery(outcomes: &[&CallOutcome], min_fraction: f64) -> Option<GuaranteeViolation> {
    let mut unserved = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| !outcome.is_served()) {
        *unserved.entry((outcome.entry, outcome.status)).or_default() += 1;
    }
    let sent = outcomes.len();
    let served = sent - unserved.values().sum::<usize>();
    #[expect(clippy::cast_precision_loss)]
    let served_fraction = served as f64 / sent.max(1) as f64;
    (served_fraction < min_fraction).then_some(GuaranteeViolation::NotRecovered {
        served,
        sent,
        unserved,
    })
}

fn check_outcome(
    outcome: &CallOutcome,
    runs: &[&RecordedRun],
    key_periods: &[KeyPeriod],
) -> Option<GuaranteeViolation> {
    let attempt_id = outcome.attempt_id.clone();
    if outcome.is_behind_close && !runs.is_empty() {
        return Some(GuaranteeViolation::RanBehindClose { attempt_id });
    }
    if !outcome.is_idempotent && runs.len() > 1 {
        let runs = runs.len();
        return Some(GuaranteeViolation::RanTwice { attempt_id, runs });
    }
    match outcome.status {
        Some(200) => {
            let is_own_answer = |recorded: &&RecordedRun| outcome.body == expected_body(recorded);
            if !runs.iter().any(is_own_answer) {
                let body = outcome.body.clone();
                return Some(GuaranteeViolation::ForeignAnswer { attempt_id, body });
            }
        }
        Some(status @ (408 | 421 | 429 | 503)) if !outcome.is_idempotent && !runs.is_empty() => {
            return Some(GuaranteeViolation::UntrueRefusal { attempt_id, status });
        }
        _ => {}
    }
    let is_exposed = |recorded: &&&RecordedRun| {
        recorded.run.has_key || recorded.run.account.as_deref() != Some(ACCOUNT)
    };
    if runs.iter().any(|recorded| is_exposed(&recorded)) {
        return Some(GuaranteeViolation::ExposedKey { attempt_id });
    }
    if !outcome.has_changing_key {
        return None;
    }
    let late_by = |is_granted: bool, delay: Duration| {
        key_periods
            .iter()
            .filter(|period| period.is_granted == is_granted)
            .find_map(|period| period.time_after(delay, outcome.sent_at))
    };
    if !runs.is_empty()
        && let Some(late) = late_by(false, MAX_WITHDRAWAL_DELAY)
    {
        let late_ms = late.as_millis();
        return Some(GuaranteeViolation::WithdrawnKey {
            attempt_id,
            late_ms,
        });
    }
    if outcome.status == Some(401)
        && let Some(late) = late_by(true, MAX_GRANT_DELAY)
    {
        let late_ms = late.as_millis();
        return Some(GuaranteeViolation::GrantedKeyRefused {
            attempt_id,
            late_ms,
        });
    }
    None
}

/// Returns the body with which the upstream stand-in answers a run.
fn expected_body(recorded: &RecordedRun) -> String {
    format!("by {} for {}", recorded.upstream, recorded.run.attempt_id)
}
