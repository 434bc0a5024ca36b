//! One run of the soak.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fastrand::Rng;
use thiserror::Error;

use crate::soak_callers::{OutcomeBook, call_on};
use crate::soak_faults::{inject, pause};
use crate::soak_fleet::SoakFleet;
use crate::soak_judge::{BrokenPromise, SeenRun, WithdrawnPeriod, judge, judge_recovery};

/// Time after the end of all faults in which the fleet recovers: entries of the store, health checks and restarts.
const RECOVERY: Duration = Duration::from_secs(8);
/// The pause between two looks for daemons that have ended.
const RESTART_POLL: Duration = Duration::from_millis(100);
/// Time in which the recovered fleet is looked at.
const CALM: Duration = Duration::from_secs(2);
/// The part of the calm requests that must be served.
const LEAST_SERVED: f64 = 0.9;

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Draws the faults and the requests.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// The number of daemons.
    pub instances: usize,
    /// The number of upstreams.
    pub upstreams: usize,
    /// The number of callers.
    pub callers: u64,
}

/// What a run showed.
#[derive(Debug)]
pub struct SoakReport {
    /// The faults with their times in milliseconds.
    pub faults: Vec<String>,
    /// Requests that were sent.
    pub requests: usize,
    /// Requests that were served.
    pub served: usize,
    /// Promises that were not kept.
    pub broken: Vec<BrokenPromise>,
    /// Where the logs of the daemons are kept, if a promise was not kept.
    pub logs: Option<PathBuf>,
}

/// Why a run could not be played.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A process or a socket could not be set up.
    #[error("the fleet cannot be run: {0}")]
    Fleet(#[from] std::io::Error),
}

/// Plays one run.
///
/// # Errors
///
/// Returns why it could not be played.
pub async fn run_soak(plan: SoakPlan) -> Result<SoakReport, SoakError> {
    let mut fleet = SoakFleet::start(plan.seed, plan.instances, plan.upstreams).await?;
    let book = OutcomeBook::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..plan.callers)
        .map(|caller| {
            let seed = plan.seed.wrapping_mul(1_000).wrapping_add(caller);
            let entries = fleet.entries();
            tokio::spawn(call_on(entries, seed, book.clone(), Arc::clone(&stop)))
        })
        .collect();
    let mut draw = Rng::with_seed(plan.seed);
    let mut faults = Vec::new();
    let mut withdrawn = Vec::new();
    let started = Instant::now();
    while started.elapsed() < plan.duration {
        let before = fleet.withdrawn_at;
        let text = inject(&mut fleet, &mut draw).await?;
        if let (Some(from), None) = (before, fleet.withdrawn_at) {
            let to = Instant::now();
            withdrawn.push(WithdrawnPeriod { from, to });
        }
        faults.push(format!("{} ms: {text}", started.elapsed().as_millis()));
        tokio::time::sleep(pause(&mut draw)).await;
    }
    if let Some(from) = fleet.withdrawn_at {
        let to = Instant::now();
        withdrawn.push(WithdrawnPeriod { from, to });
    }
    fleet.write_plan(true);
    fleet.mend().await?;
    let mended = Instant::now();
    while mended.elapsed() < RECOVERY {
        // A daemon that was told to stop ends only now.
        fleet.restart_ended()?;
        tokio::time::sleep(RESTART_POLL).await;
    }
    let calm_from = Instant::now();
    tokio::time::sleep(CALM).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        // A caller that panicked has left its outcomes in the book.
        let _ = caller.await;
    }
    let outcomes = book.all();
    let upstreams = fleet.upstreams.iter();
    let runs: Vec<SeenRun> = upstreams
        .flat_map(|relayed| {
            let upstream = relayed.upstream.id().to_string();
            let seen = move |run| SeenRun {
                upstream: upstream.clone(),
                run,
            };
            relayed.upstream.runs().into_iter().map(seen)
        })
        .collect();
    let mut broken = judge(&outcomes, &runs, &withdrawn);
    let calm = outcomes
        .iter()
        .filter(|outcome| outcome.sent_at > calm_from);
    broken.extend(judge_recovery(&calm.collect::<Vec<_>>(), LEAST_SERVED));
    let served = outcomes.iter().filter(|outcome| outcome.is_served());
    Ok(SoakReport {
        faults,
        requests: outcomes.len(),
        served: served.count(),
        logs: (!broken.is_empty()).then(|| fleet.keep_logs()),
        broken,
    })
}
