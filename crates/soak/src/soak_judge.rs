//! Checks the promises against what callers and upstreams saw.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootkeel_standins::UpstreamRun;
use thiserror::Error;

use crate::soak_callers::CallOutcome;

/// The time within which a withdrawn key must stop working, as the settings of the fleet say.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
/// The client account of all requests.
const ACCOUNT: &str = "hotel";

/// A period in which the changing key was withdrawn.
#[derive(Debug, Clone, Copy)]
pub struct WithdrawnPeriod {
    /// When the plan without it was written.
    pub from: Instant,
    /// When it was granted again.
    pub to: Instant,
}

/// A run and the upstream it ran on.
#[derive(Debug, Clone)]
pub struct SeenRun {
    /// The id of the upstream.
    pub upstream: String,
    /// The run.
    pub run: UpstreamRun,
}

/// A promise that was not kept.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BrokenPromise {
    /// A request that must not be repeated ran more than once.
    #[error("{attempt_id} ran {runs} times")]
    RanTwice {
        /// The attempt id.
        attempt_id: String,
        /// How often it ran.
        runs: usize,
    },
    /// A request was called "not run" and ran.
    #[error("{attempt_id} got {status} and ran")]
    UntrueRefusal {
        /// The attempt id.
        attempt_id: String,
        /// The status.
        status: u16,
    },
    /// A caller got an answer that is not to its request.
    #[error("{attempt_id} got the answer {body:?}")]
    ForeignAnswer {
        /// The attempt id.
        attempt_id: String,
        /// The body.
        body: String,
    },
    /// An upstream saw a key, or another account than that of the key.
    #[error("{attempt_id} ran with a key or for another account")]
    ExposedKey {
        /// The attempt id.
        attempt_id: String,
    },
    /// A request ran with a key that had been withdrawn for longer than the bound.
    #[error("{attempt_id} ran {late_ms} ms after its key had to stop working")]
    WithdrawnKey {
        /// The attempt id.
        attempt_id: String,
        /// By how much the bound was passed.
        late_ms: u128,
    },
    /// Requests are not served although all faults have ended.
    #[error("{served} of {asked} requests were served after the faults; the others: {unserved:?}")]
    NotRecovered {
        /// Requests that were served.
        served: usize,
        /// Requests that were sent.
        asked: usize,
        /// How many of the others had each answer, by instance.
        unserved: BTreeMap<(SocketAddr, Option<u16>), usize>,
    },
}

/// Returns all promises that were not kept.
#[must_use]
pub fn judge(
    outcomes: &[CallOutcome],
    runs: &[SeenRun],
    withdrawn: &[WithdrawnPeriod],
) -> Vec<BrokenPromise> {
    let mut runs_of: HashMap<&str, Vec<&SeenRun>> = HashMap::new();
    for seen in runs {
        runs_of.entry(&seen.run.attempt_id).or_default().push(seen);
    }
    let mut broken = Vec::new();
    for outcome in outcomes {
        let own = runs_of.get(outcome.attempt_id.as_str());
        let own = own.map_or(&[][..], Vec::as_slice);
        broken.extend(judge_call(outcome, own, withdrawn));
    }
    broken
}

/// Checks that the fleet serves again after the faults: at least `least` of the requests sent then.
#[must_use]
pub fn judge_recovery(calm: &[&CallOutcome], least: f64) -> Option<BrokenPromise> {
    let mut unserved = BTreeMap::new();
    for outcome in calm.iter().filter(|outcome| !outcome.is_served()) {
        *unserved.entry((outcome.entry, outcome.status)).or_default() += 1;
    }
    let asked = calm.len();
    let served = asked - unserved.values().sum::<usize>();
    #[expect(clippy::cast_precision_loss)]
    let part = served as f64 / asked.max(1) as f64;
    (part < least).then_some(BrokenPromise::NotRecovered {
        served,
        asked,
        unserved,
    })
}

fn judge_call(
    outcome: &CallOutcome,
    runs: &[&SeenRun],
    withdrawn: &[WithdrawnPeriod],
) -> Option<BrokenPromise> {
    let attempt_id = outcome.attempt_id.clone();
    if !outcome.is_idempotent && runs.len() > 1 {
        let runs = runs.len();
        return Some(BrokenPromise::RanTwice { attempt_id, runs });
    }
    match outcome.status {
        Some(200) => {
            let is_own = |seen: &&SeenRun| outcome.body == answer_of(seen);
            if !runs.iter().any(is_own) {
                let body = outcome.body.clone();
                return Some(BrokenPromise::ForeignAnswer { attempt_id, body });
            }
        }
        Some(status @ (408 | 421 | 429 | 503)) if !outcome.is_idempotent && !runs.is_empty() => {
            return Some(BrokenPromise::UntrueRefusal { attempt_id, status });
        }
        _ => {}
    }
    let is_exposed =
        |seen: &&&SeenRun| seen.run.has_key || seen.run.account.as_deref() != Some(ACCOUNT);
    if runs.iter().any(|seen| is_exposed(&seen)) {
        return Some(BrokenPromise::ExposedKey { attempt_id });
    }
    if !outcome.has_changing_key || runs.is_empty() {
        return None;
    }
    let is_late = |period: &&WithdrawnPeriod| {
        period.from + WITHDRAWAL_BOUND < outcome.sent_at && outcome.sent_at < period.to
    };
    withdrawn.iter().find(is_late).map(|period| {
        let late = outcome.sent_at - (period.from + WITHDRAWAL_BOUND);
        BrokenPromise::WithdrawnKey {
            attempt_id,
            late_ms: late.as_millis(),
        }
    })
}

/// Returns the body that an upstream gives to a run.
fn answer_of(seen: &SeenRun) -> String {
    format!("by {} for {}", seen.upstream, seen.run.attempt_id)
}
