//! Runs the scenarios of the experiment one after the other, each with a fleet of its own.

use std::collections::{BTreeMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use coltsfootkeel_model::{FleetConfig, ShiftCap};
use tokio::task::JoinHandle;

use crate::experiment_fleet::{DumpAnswer, ExperimentError, ExperimentFleet, read_dump};
use crate::experiment_load::{CallRecord, send_load};
use crate::experiment_plan::{
    EVENT_OFFSET, MEASURED_TIME, SCENARIOS, Scenario, ScenarioKind, WARM_UP_TIME, plan_callers,
};
use crate::experiment_score::{ScenarioScore, ShiftScore, score_calls};
use crate::experiment_table::{print_head, print_notes, print_row};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Selection of examples and scenarios.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Folders of the examples, each with a `fleet.yaml`.
    pub folders: Vec<PathBuf>,
    /// Names of the scenarios; empty for all of them.
    pub scenarios: Vec<String>,
    /// Seed of arrival times, request choices and access keys.
    pub seed: u64,
}

/// Runs the scenarios for each folder and prints one table for each folder.
///
/// It must be called in a `tokio` runtime with several threads, which send the load.
///
/// # Errors
///
/// Returns an error if a scenario is unknown, a configuration is invalid or a fleet does not start.
pub async fn run_experiment(options: &ExperimentOptions) -> Result<(), ExperimentError> {
    let scenarios = find_scenarios(&options.scenarios)?;
    for (index, folder) in (1..).zip(&options.folders) {
        let mut scores = Vec::new();
        print_head(folder);
        for (number, scenario) in (1..).zip(&scenarios) {
            // Each run has its own loopback address, so that it is unaffected by connections of earlier runs.
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

fn find_scenarios(names: &[String]) -> Result<Vec<Scenario>, ExperimentError> {
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
    let plans = plan_callers(&fleet.config, scenario.kind, seed);
    let entry_addresses = fleet.daemons.iter().map(|daemon| daemon.addresses.entry);
    let start = Instant::now();
    let load = tokio::spawn(send_load(
        plans,
        entry_addresses.collect(),
        start,
        WARM_UP_TIME + MEASURED_TIME,
        seed,
    ));
    let sampler = start_headroom_sampler(&fleet, start);
    tokio::time::sleep_until((start + EVENT_OFFSET).into()).await;
    let event_offset = start.elapsed();
    trigger_event(&mut fleet, scenario.kind).await?;
    let records = load.await.unwrap_or_default();
    let headroom = sampler.await.unwrap_or_default();
    let mut score = score_calls(scenario, &fleet.config, &records, event_offset);
    score.headroom = headroom;
    if scenario.kind == ScenarioKind::PlannedMove {
        score.shift = shift_score(&fleet, &records, event_offset).await;
    }
    Ok(score)
}

/// Triggers the event of a scenario.
async fn trigger_event(
    fleet: &mut ExperimentFleet,
    kind: ScenarioKind,
) -> Result<(), ExperimentError> {
    match kind {
        ScenarioKind::NormalDay | ScenarioKind::Overload => {}
        ScenarioKind::InstanceLost => fleet.kill_first_daemon(),
        ScenarioKind::RegionLost => {
            let region = fleet.lost_region();
            fleet.kill_region(&region);
        }
        ScenarioKind::PlatformDown => fleet.stop_platform().await?,
        ScenarioKind::DomainCut => fleet.isolate_domain().await,
        ScenarioKind::PlannedMove => fleet.activate_shift().await?,
    }
    Ok(())
}

/// Samples the state dumps until the load ends. Returns the smallest fraction of free slots that an instance had in a
/// pool.
fn start_headroom_sampler(fleet: &ExperimentFleet, start: Instant) -> JoinHandle<Option<f64>> {
    let admins: Vec<SocketAddr> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.addresses.admin)
        .collect();
    let pools = pools_by_upstream(&fleet.config);
    tokio::spawn(async move {
        let mut smallest: Option<f64> = None;
        while start.elapsed() < WARM_UP_TIME + MEASURED_TIME {
            for admin in &admins {
                let Some(dump) = read_dump(*admin).await else {
                    continue;
                };
                let fraction = min_free_fraction(&dump, &pools);
                smallest = smallest.into_iter().chain(fraction).reduce(f64::min);
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        smallest
    })
}

fn pools_by_upstream(config: &FleetConfig) -> BTreeMap<String, String> {
    let upstreams = config.upstreams.iter().map(|(_, upstream)| upstream);
    upstreams
        .map(|upstream| {
            let pool = config.pools[upstream.pool].name.clone();
            (upstream.name.clone(), pool)
        })
        .collect()
}

fn min_free_fraction(dump: &DumpAnswer, pools: &BTreeMap<String, String>) -> Option<f64> {
    let mut slots: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for upstream in &dump.upstreams {
        let pool = pools.get(&upstream.name).map_or("", String::as_str);
        let (held, used) = slots.entry(pool).or_default();
        *held += upstream.slots_held;
        *used += upstream.slots_used;
    }
    let fractions = slots.values().filter(|(held, _)| *held > 0);
    fractions
        .map(|(held, used)| 1.0 - f64::from(*used) / f64::from(*held))
        .reduce(f64::min)
}

/// Counts the requests that the shift moved: callers sent them to an entry instance of the source region, and upstreams
/// of the destination recorded them.
async fn shift_score(
    fleet: &ExperimentFleet,
    records: &[CallRecord],
    event_offset: Duration,
) -> Option<ShiftScore> {
    let config = &fleet.config;
    let (_, shift) = config.shifts.iter().next()?;
    let route = &config.routes[shift.route];
    let from = &config.regions[shift.from].name;
    let to = &config.regions[shift.to].name;
    let runs = fleet.runs(&config.pools[route.pool].name, to).await;
    let numbers_at_destination: HashSet<u64> = runs
        .iter()
        .filter_map(|run| run.start.path.rsplit_once("number=")?.1.parse().ok())
        .collect();
    let source_instances: Vec<&str> = fleet
        .daemons
        .iter()
        .filter(|daemon| daemon.region == *from)
        .map(|daemon| daemon.name.as_str())
        .collect();
    let is_on_route_from_source = |record: &&CallRecord| {
        record.route == route.name && source_instances.contains(&record.entry.as_str())
    };
    let eligible = records
        .iter()
        .filter(is_on_route_from_source)
        .filter(|record| record.sent >= event_offset);
    let eligible: Vec<_> = eligible.collect();
    let before = records
        .iter()
        .filter(is_on_route_from_source)
        .filter(|record| record.sent < event_offset);
    let has_moved = |number: &u64| numbers_at_destination.contains(number);
    Some(ShiftScore {
        name: shift.name.clone(),
        cap_percent: match shift.cap {
            ShiftCap::Share(percent) => percent,
            ShiftCap::Rate(_) => 0,
        },
        eligible: eligible.len(),
        moved: eligible
            .iter()
            .filter(|record| has_moved(&record.number))
            .count(),
        moved_before: before.filter(|record| has_moved(&record.number)).count(),
    })
}
