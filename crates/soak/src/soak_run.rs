//! One run of the soak test.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fastrand::Rng;
use thiserror::Error;

use crate::planned_work::{draw_step_pause, take_planned_step};
use crate::soak_callers::{OutcomeLog, run_caller, run_slow_sender};
use crate::soak_checks::{
    GuaranteeViolation, RecordedRun, check_guarantees, check_planned_work, check_recovery,
};
use crate::soak_faults::{draw_fault_pause, inject_fault, silence_connections};
use crate::soak_fleet::SoakFleet;
use crate::store_returns::ReturnDraw;

/// Time for the fleet to recover after all faults have ended: store entries, health checks and restarts.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Pause between two checks for daemons that have ended.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two checks for what the store or its writers have to do.
const RETURN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the recovery in which the served fraction is measured.
const FINAL_WINDOW: Duration = Duration::from_secs(2);
/// Smallest fraction of the requests in the final window that must be served.
const MIN_SERVED_FRACTION: f64 = 0.9;

/// What happens to the fleet in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakProfile {
    /// Overlapping faults of all kinds.
    AllFaults,
    /// The same, and returns of the store from an older copy.
    StoreReturns,
    /// Stops, reloads, departures and changes of the configuration, without a fault.
    PlannedWork,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// What happens to the fleet.
    pub profile: SoakProfile,
    /// Seed of the random faults and requests.
    pub seed: u64,
    /// Time for which faults are injected.
    pub duration: Duration,
    /// Number of daemons, at least 1.
    pub instances: usize,
    /// Number of upstreams, at least 1.
    pub upstreams: usize,
    /// Number of callers, each of which sends one request at a time. With planned work, as many others send theirs in
    /// parts.
    pub callers: u64,
}

/// Results of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Injected faults in their order, each with its time since the start in milliseconds.
    pub faults: Vec<String>,
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of requests that were answered with status 200.
    pub served: usize,
    /// Violated guarantees; empty if the run passed.
    pub violations: Vec<GuaranteeViolation>,
    /// Folder with the logs of the daemons, which is kept only if a guarantee was violated.
    pub logs: Option<PathBuf>,
}

/// Error that prevents a run.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A process or a socket could not be set up.
    #[error("cannot run the fleet: {0}")]
    Fleet(#[from] std::io::Error),
}

/// Starts a fleet, injects faults for the duration of the plan, and checks the guarantees after the recovery.
///
/// # Errors
///
/// Returns an error if a process or a socket cannot be set up.
pub async fn run_soak(plan: SoakPlan) -> Result<SoakReport, SoakError> {
    let mut fleet = SoakFleet::start(plan.seed, plan.instances, plan.upstreams).await?;
    let outcome_log = OutcomeLog::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers: Vec<_> = (0..plan.callers)
        .map(|caller| {
            let seed = plan.seed.wrapping_mul(1_000).wrapping_add(caller);
            let entry_addresses = fleet.entry_addresses();
            tokio::spawn(run_caller(
                entry_addresses,
                seed,
                outcome_log.clone(),
                Arc::clone(&stop),
            ))
        })
        .collect();
    if plan.profile == SoakProfile::PlannedWork {
        callers.extend((0..plan.callers).map(|caller| {
            let seed = (!plan.seed).wrapping_mul(1_000).wrapping_add(caller);
            let entry_addresses = fleet.entry_addresses();
            tokio::spawn(run_slow_sender(
                entry_addresses,
                seed,
                outcome_log.clone(),
                Arc::clone(&stop),
            ))
        }));
    }
    let mut return_draw = ReturnDraw::new(plan.seed);
    let faults = inject_faults(&mut fleet, plan, &mut return_draw).await?;
    fleet.write_config(true);
    fleet.clear_faults().await?;
    let faults_cleared_at = Instant::now();
    while faults_cleared_at.elapsed() < RECOVERY_TIME {
        // A daemon that received SIGTERM may end only after its drain.
        fleet.restart_ended()?;
        tokio::time::sleep(RESTART_POLL_INTERVAL).await;
    }
    let mut return_checks = return_draw.into_checks();
    if plan.profile == SoakProfile::StoreReturns {
        return_checks.check_registrations(&fleet).await;
    }
    let final_window_start = Instant::now();
    tokio::time::sleep(FINAL_WINDOW).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        // The outcomes of a caller that panicked are still in the log.
        let _ = caller.await;
    }
    let outcomes = outcome_log.all();
    let upstreams = fleet.upstreams.iter();
    let runs: Vec<RecordedRun> = upstreams
        .flat_map(|relayed| {
            let upstream = relayed.upstream.id().to_string();
            let recorded = move |run| RecordedRun {
                upstream: upstream.clone(),
                run,
            };
            relayed.upstream.runs().into_iter().map(recorded)
        })
        .collect();
    let mut violations = check_guarantees(&outcomes, &runs, fleet.key_periods());
    if plan.profile == SoakProfile::PlannedWork {
        let departures = fleet.departures();
        violations.extend(check_planned_work(&outcomes, &runs, departures));
    }
    violations.extend(return_checks.finish(&fleet, &outcomes, &runs));
    violations.extend_from_slice(fleet.unexpected_ends());
    let final_outcomes = outcomes
        .iter()
        .filter(|outcome| outcome.sent_at > final_window_start);
    violations.extend(check_recovery(
        &final_outcomes.collect::<Vec<_>>(),
        MIN_SERVED_FRACTION,
    ));
    let served = outcomes.iter().filter(|outcome| outcome.is_served());
    Ok(SoakReport {
        faults,
        requests: outcomes.len(),
        served: served.count(),
        logs: (!violations.is_empty()).then(|| fleet.keep_logs()),
        violations,
    })
}

/// Injects faults, or takes planned steps, for the duration of the plan. Returns their descriptions for the report.
async fn inject_faults(
    fleet: &mut SoakFleet,
    plan: SoakPlan,
    return_draw: &mut ReturnDraw,
) -> Result<Vec<String>, SoakError> {
    let mut rng = Rng::with_seed(plan.seed);
    let mut faults = Vec::new();
    // A sequence of its own keeps the other faults of each seed as they are.
    let mut silence_rng = Rng::with_seed(!plan.seed);
    if plan.profile == SoakProfile::StoreReturns {
        fleet.store.state_eras();
    }
    let started = Instant::now();
    while started.elapsed() < plan.duration {
        let (descriptions, pause) = match plan.profile {
            SoakProfile::AllFaults | SoakProfile::StoreReturns => {
                let mut descriptions = vec![inject_fault(fleet, &mut rng).await?];
                descriptions.extend(silence_connections(fleet, &mut silence_rng));
                if plan.profile == SoakProfile::StoreReturns {
                    descriptions.extend(return_draw.step(fleet).await?);
                }
                (descriptions, draw_fault_pause(&mut rng))
            }
            SoakProfile::PlannedWork => {
                let description = take_planned_step(fleet, &mut rng).await?;
                (vec![description], draw_step_pause(&mut rng))
            }
        };
        let elapsed = started.elapsed().as_millis();
        faults.extend(
            descriptions
                .iter()
                .map(|fault| format!("{elapsed} ms: {fault}")),
        );
        let pause_end = Instant::now() + pause;
        while Instant::now() < pause_end {
            tokio::time::sleep(RETURN_POLL_INTERVAL.min(pause)).await;
            return_draw.perform_due(fleet).await;
        }
    }
    return_draw.finish(fleet).await;
    Ok(faults)
}
