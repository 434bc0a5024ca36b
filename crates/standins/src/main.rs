//! The program `coltsfootkeel-standins`: runs stand-ins, measurements, example fleets and the experiment.

mod command_line;

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use coltsfootkeel_standins::{
    AccountMix, CallRequest, ComparePlan, CrashMode, ExperimentOptions, FleetOptions, LoadBound,
    LoadPlan, PlatformOptions, RawLoad, RunningFleet, SequenceCounter, UpstreamHandle,
    UpstreamOptions, UpstreamProfile, read_fleet, run_compare, run_experiment, run_load,
    run_platform as serve_platform_standin, show_requests,
};
use command_line::{
    Command, CommandLine, CompareCommand, DEFAULT_PLATFORM_ADDRESS, ExperimentCommand,
    FleetCommand, LoadCommand, PlatformCommand, UpstreamCommand,
};
use gumdrop::Options;
use http::Method;
use serde::Serialize;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

const DEFAULT_LOAD_DURATION: Duration = Duration::from_secs(5);
/// Time for the instances to exchange heartbeats, which are sent once per second, before the demonstration begins.
const DEMO_START_DELAY: Duration = Duration::from_secs(2);

/// Time after which a change appears in the platform stand-in's list of instances.
const INSTANCE_LAG_MS: u64 = 1_000;

type ProgramError = Box<dyn Error>;

fn main() -> ExitCode {
    let command_line = CommandLine::parse_args_default_or_exit();
    let result = match command_line.command {
        Some(Command::Platform(command)) => run_platform(&command),
        Some(Command::Upstream(command)) => run_upstreams(&command),
        Some(Command::Load(command)) => run_load_command(&command),
        Some(Command::Compare(command)) => run_compare_command(&command),
        Some(Command::Fleet(command)) => run_fleet(command),
        Some(Command::Experiment(command)) => run_experiment_command(command),
        None => Err("expected a command; see --help".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coltsfootkeel-standins: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_platform(command: &PlatformCommand) -> Result<(), ProgramError> {
    let options = PlatformOptions {
        listen: command.listen.unwrap_or(DEFAULT_PLATFORM_ADDRESS),
        instance_lag_ms: INSTANCE_LAG_MS,
    };
    runtime(1)?.block_on(serve_platform_standin(options))?;
    Ok(())
}

fn run_upstreams(command: &UpstreamCommand) -> Result<(), ProgramError> {
    let sequence = SequenceCounter::default();
    let mut handles = Vec::new();
    for options in upstream_options(command)? {
        let name = options.profile.name.clone();
        let handle = UpstreamHandle::start(options, sequence.clone())?;
        println!("{name} {}", handle.address());
        handles.push(handle);
    }
    runtime(1)?.block_on(wait_for_signal())?;
    Ok(())
}

fn upstream_options(command: &UpstreamCommand) -> Result<Vec<UpstreamOptions>, ProgramError> {
    match (&command.fleet, command.listen) {
        (Some(file), None) => {
            let fleet = read_fleet(file)?;
            let matching = fleet.upstreams.iter().filter(|(_, upstream)| {
                let pool = &fleet.pools[upstream.pool].name;
                let region = &fleet.regions[upstream.region].name;
                command
                    .pool
                    .as_ref()
                    .is_none_or(|selected| selected == pool)
                    && command
                        .region
                        .as_ref()
                        .is_none_or(|selected| selected == region)
            });
            matching
                .map(|(_, upstream)| {
                    single_upstream_options(
                        command,
                        &upstream.name,
                        upstream.address,
                        upstream.slots,
                    )
                })
                .collect()
        }
        (None, Some(listen)) => (0..command.count)
            .map(|index| {
                let name = format!("{}-{}", command.name, index + 1);
                let address = offset_port(listen, index)?;
                single_upstream_options(command, &name, address, command.slots)
            })
            .collect(),
        _ => Err("upstream: expected either --listen or --fleet".into()),
    }
}

fn single_upstream_options(
    command: &UpstreamCommand,
    name: &str,
    listen: SocketAddr,
    slots: u32,
) -> Result<UpstreamOptions, ProgramError> {
    Ok(UpstreamOptions {
        profile: UpstreamProfile {
            name: name.to_owned(),
            slots,
            work: Duration::from_millis(command.work_ms),
            cold_requests: command.cold_requests,
            cold_extra: Duration::from_millis(command.cold_extra_ms),
        },
        listen,
        crash: crash_mode(command)?,
        threads: command.threads,
    })
}

fn crash_mode(command: &UpstreamCommand) -> Result<CrashMode, ProgramError> {
    match command.crash.as_str() {
        "hard" => Ok(CrashMode::Hard),
        "soft" => Ok(CrashMode::Soft(Duration::from_millis(command.crash_ms))),
        other => Err(format!("--crash {other}: expected hard or soft").into()),
    }
}

/// Returns `listen` with `index` added to its port. Port 0 stays 0, so that the system chooses each port.
fn offset_port(listen: SocketAddr, index: u16) -> Result<SocketAddr, ProgramError> {
    let mut address = listen;
    if listen.port() != 0 {
        let port = listen.port().checked_add(index);
        address.set_port(port.ok_or("--count: expected ports up to 65535")?);
    }
    Ok(address)
}

fn run_load_command(command: &LoadCommand) -> Result<(), ProgramError> {
    let plan = LoadPlan::try_from(raw_load(command)?)?;
    let report = runtime(command.threads)?.block_on(run_load(&plan));
    println!("{report}");
    print_json(command.json, &report)
}

fn raw_load(command: &LoadCommand) -> Result<RawLoad, ProgramError> {
    let bound = match (command.count, command.seconds) {
        (Some(_), Some(_)) => return Err("load: expected --count or --seconds, not both".into()),
        (Some(count), None) => LoadBound::Requests(count),
        (None, Some(seconds)) => LoadBound::Time(Duration::from_secs(seconds)),
        (None, None) => LoadBound::Time(DEFAULT_LOAD_DURATION),
    };
    let mix = account_mix(command)?;
    if command.rate.is_some() && !mix.is_empty() {
        return Err("load: expected --rate or accounts with rates, not both".into());
    }
    Ok(RawLoad {
        target: command.target.ok_or("load: expected --target")?,
        concurrency: command.concurrency,
        bound,
        rate_per_s: command.rate,
        mix,
        method: command.method.clone(),
        path: command.path.clone(),
        body_bytes: command.body_bytes,
        work_ms: command.work_ms,
    })
}

fn account_mix(command: &LoadCommand) -> Result<Vec<AccountMix>, ProgramError> {
    let mut lines = command.account.clone();
    if let Some(path) = &command.accounts {
        let text = std::fs::read_to_string(path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let non_empty_lines = text.lines().filter(|line| !line.trim().is_empty());
        lines.extend(non_empty_lines.map(ToOwned::to_owned));
    }
    let mix = lines.iter().map(|line| line.parse());
    Ok(mix.collect::<Result<_, _>>()?)
}

fn run_compare_command(command: &CompareCommand) -> Result<(), ProgramError> {
    let request = CallRequest::new(Method::GET, &command.path);
    let entry_request = match &command.key {
        Some(key) => request
            .clone()
            .header("Authorization", &format!("Bearer {key}")),
        None => request.clone(),
    };
    let plan = ComparePlan {
        direct: command.direct.ok_or("compare: expected --direct")?,
        entry: command.entry.ok_or("compare: expected --entry")?,
        direct_request: request,
        entry_request,
        concurrency: command.concurrency,
        block: Duration::from_millis(command.block_ms),
        rounds: command.rounds,
    };
    let report = runtime(command.threads)?.block_on(run_compare(&plan))?;
    println!("{report}");
    print_json(command.json, &report)
}

fn run_fleet(command: FleetCommand) -> Result<(), ProgramError> {
    let options = FleetOptions {
        folder: command.folder.ok_or("fleet: expected a folder")?,
        platform: command.platform.unwrap_or(DEFAULT_PLATFORM_ADDRESS),
    };
    runtime(1)?.block_on(async {
        let mut signals = Box::pin(wait_for_signal());
        let mut fleet = tokio::select! {
            started = RunningFleet::start(&options) => started?,
            stopped = &mut signals => return Ok(stopped?),
        };
        print!("{fleet}");
        if let Some(key) = &command.demo {
            tokio::time::sleep(DEMO_START_DELAY).await;
            show_requests(&fleet.entry_addresses(), key).await?;
        }
        println!("\nready; Ctrl-C ends all processes");
        tokio::select! {
            error = fleet.wait_for_end() => Err(error.into()),
            stopped = &mut signals => Ok(stopped?),
        }
    })
}

fn run_experiment_command(command: ExperimentCommand) -> Result<(), ProgramError> {
    let options = ExperimentOptions {
        folders: command.folders,
        scenarios: command.scenario,
        seed: command.seed,
    };
    runtime(command.threads)?.block_on(async {
        tokio::select! {
            ended = run_experiment(&options) => Ok(ended?),
            stopped = wait_for_signal() => Ok(stopped?),
        }
    })
}

async fn wait_for_signal() -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}

fn print_json(is_requested: bool, report: &impl Serialize) -> Result<(), ProgramError> {
    if is_requested {
        println!("{}", serde_json::to_string(report)?);
    }
    Ok(())
}

fn runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads.max(1))
        .enable_all()
        .build()
}
