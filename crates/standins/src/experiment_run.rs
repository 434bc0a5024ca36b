//! Runs the scenarios of the experiment one after the other, each against a fresh fleet.

use std::collections::{BTreeMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use coltsfootkeel_model::{FleetConfig, ShiftCap};
use tokio::task::JoinHandle;

use crate::experiment_fleet::{DumpAnswer, ExperimentError, ExperimentFleet, dump};
use crate::experiment_load::{CallRecord, send_load};
use crate::experiment_plan::{
    EVENT_AT, LEAD_IN, SCENARIOS, Scenario, ScenarioKind, WINDOW, callers,
};
use crate::experiment_score::{ScenarioScore, ShiftScore, score_calls};
use crate::experiment_table::{print_head, print_notes, print_row};

const SAMPLE_PAUSE: Duration = Duration::from_millis(250);

/// What to run.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Folders with the `fleet.yaml` of an example.
    pub folders: Vec<PathBuf>,
    /// The names of the scenarios; empty for all.
    pub scenarios: Vec<String>,
    /// The seed of arrivals, choices and access keys.
    pub seed: u64,
}

/// Runs the scenarios for each folder and prints a table for each.
///
/// Must run in a `tokio` runtime with several threads, which send the load.
///
/// # Errors
///
/// Returns an error if a scenario is unknown, a file has faults or a fleet does not start.
pub async fn run_experiment(options: &ExperimentOptions) -> Result<(), ExperimentError> {
    let scenarios = chosen(&options.scenarios)?;
    for (index, folder) in (1..).zip(&options.folders) {
        let mut scores = Vec::new();
        print_head(folder);
        for (number, scenario) in (1..).zip(&scenarios) {
            // Each run has a loopback address of its own, so that connections of an earlier run cannot disturb it.
            let host = Ipv4Addr::new(127, 77, index, number);
            let score = run_scenario(folder, *scenario, options.seed, host).await?;
            print_row(&score);
            scores.push(score);
        }
        for score in &scores {
            print_notes(score);
        }
    }
    Ok(())
}

fn chosen(names: &[String]) -> Result<Vec<Scenario>, ExperimentError> {
    if names.is_empty() {
        return Ok(SCENARIOS.to_vec());
    }
    let find = |name: &String| {
        let found = SCENARIOS.iter().find(|scenario| scenario.name == name);
        found
            .copied()
            .ok_or_else(|| ExperimentError::Scenario(name.clone()))
    };
    names.iter().map(find).collect()
}

async fn run_scenario(
    folder: &Path,
    scenario: Scenario,
    seed: u64,
    host: Ipv4Addr,
) -> Result<ScenarioScore, ExperimentError> {
    let mut fleet = ExperimentFleet::start(folder, scenario.kind, seed, host).await?;
    let plans = callers(&fleet.config, scenario.kind, seed);
    let known = fleet.daemons.iter().map(|daemon| daemon.ports.entry);
    let start = Instant::now();
    let load = tokio::spawn(send_load(
        plans,
        known.collect(),
        start,
        LEAD_IN + WINDOW,
        seed,
    ));
    let sampler = start_sampler(&fleet, start);
    tokio::time::sleep_until((start + EVENT_AT).into()).await;
    let event = start.elapsed();
    cause(&mut fleet, scenario.kind).await?;
    let records = load.await.unwrap_or_default();
    let headroom = sampler.await.unwrap_or_default();
    let mut score = score_calls(scenario, &fleet.config, &records, event);
    score.headroom = headroom;
    if scenario.kind == ScenarioKind::PlannedMove {
        score.shift = shift_score(&fleet, &records, event).await;
    }
    Ok(score)
}

/// Causes the event of a scenario.
async fn cause(fleet: &mut ExperimentFleet, kind: ScenarioKind) -> Result<(), ExperimentError> {
    match kind {
        ScenarioKind::NormalDay | ScenarioKind::Overload => {}
        ScenarioKind::InstanceLost => fleet.kill_first_daemon(),
        ScenarioKind::RegionLost => {
            let region = fleet.lost_region();
            fleet.kill_region(&region);
        }
        ScenarioKind::PlatformDown => fleet.stop_platform().await?,
        ScenarioKind::DomainCut => fleet.cut_off().await,
        ScenarioKind::PlannedMove => fleet.activate_shift().await?,
    }
    Ok(())
}

/// Samples the dumps until the load ends and returns the smallest free share of an instance's slots in a pool.
fn start_sampler(fleet: &ExperimentFleet, start: Instant) -> JoinHandle<Option<f64>> {
    let admins: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.ports.admin)
        .collect();
    let pools = pools_of(&fleet.config);
    tokio::spawn(async move {
        let mut smallest: Option<f64> = None;
        while start.elapsed() < LEAD_IN + WINDOW {
            for admin in &admins {
                let Some(dump) = dump(*admin).await else {
                    continue;
                };
                let share = free_share(&dump, &pools);
                smallest = smallest.into_iter().chain(share).reduce(f64::min);
            }
            tokio::time::sleep(SAMPLE_PAUSE).await;
        }
        smallest
    })
}

fn pools_of(config: &FleetConfig) -> BTreeMap<String, String> {
    let upstreams = config.upstreams.iter().map(|(_, upstream)| upstream);
    upstreams
        .map(|upstream| {
            let pool = config.pools[upstream.pool].name.clone();
            (upstream.name.clone(), pool)
        })
        .collect()
}

fn free_share(dump: &DumpAnswer, pools: &BTreeMap<String, String>) -> Option<f64> {
    let mut slots: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for upstream in &dump.upstreams {
        let pool = pools.get(&upstream.name).map_or("", String::as_str);
        let (held, used) = slots.entry(pool).or_default();
        *held += upstream.slots_held;
        *used += upstream.slots_used;
    }
    let shares = slots.values().filter(|(held, _)| *held > 0);
    shares
        .map(|(held, used)| 1.0 - f64::from(*used) / f64::from(*held))
        .reduce(f64::min)
}

/// Counts the moved requests: those that callers sent to an entry instance of the region that the route leaves and
/// that the records of the destination's upstreams show.
async fn shift_score(
    fleet: &ExperimentFleet,
    records: &[CallRecord],
    event: Duration,
) -> Option<ShiftScore> {
    let config = &fleet.config;
    let (_, shift) = config.shifts.iter().next()?;
    let route = &config.routes[shift.route];
    let from = &config.regions[shift.from].name;
    let to = &config.regions[shift.to].name;
    let runs = fleet.runs(&config.pools[route.pool].name, to).await;
    let at_destination: HashSet<u64> = runs
        .iter()
        .filter_map(|run| run.start.path.rsplit_once("number=")?.1.parse().ok())
        .collect();
    let entries_from: Vec<&str> = fleet
        .daemons
        .iter()
        .filter(|daemon| daemon.region == *from)
        .map(|daemon| daemon.name.as_str())
        .collect();
    let of_route = |record: &&CallRecord| {
        record.route == route.name && entries_from.contains(&record.entry.as_str())
    };
    let seen = records
        .iter()
        .filter(of_route)
        .filter(|record| record.sent >= event);
    let seen: Vec<_> = seen.collect();
    let before = records
        .iter()
        .filter(of_route)
        .filter(|record| record.sent < event);
    let moved = |number: &u64| at_destination.contains(number);
    Some(ShiftScore {
        name: shift.name.clone(),
        cap_percent: match shift.cap {
            ShiftCap::Share(percent) => percent,
            ShiftCap::Rate(_) => 0,
        },
        seen: seen.len(),
        moved: seen.iter().filter(|record| moved(&record.number)).count(),
        moved_before: before.filter(|record| moved(&record.number)).count(),
    })
}
