//! Command line of `coltsfootkeel-soak`.

use std::collections::VecDeque;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use coltsfootkeel_soak::{SoakPlan, SoakProfile, run_soak};
use gumdrop::Options;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Profile as named on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ProfileName(SoakProfile);

impl FromStr for ProfileName {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "faults" => Ok(Self(SoakProfile::AllFaults)),
            "returns" => Ok(Self(SoakProfile::StoreReturns)),
            "planned" => Ok(Self(SoakProfile::PlannedWork)),
            _ => Err(format!("{name:?} is not faults, returns or planned")),
        }
    }
}

/// Runs the soak test for a range of seeds and prints the violated guarantees.
#[derive(Debug, Options)]
struct SoakOptions {
    /// Whether to print help.
    #[options(help = "print this help")]
    help: bool,
    /// First seed. `None` draws a random one.
    #[options(no_short, help = "first seed; random by default", meta = "N")]
    seed: Option<u64>,
    /// Number of consecutive seeds.
    #[options(no_short, help = "number of seeds", meta = "N", default = "1")]
    seeds: u64,
    /// Time in seconds for which each run injects faults.
    #[options(
        no_short,
        help = "seconds of faults in each run",
        meta = "S",
        default = "20"
    )]
    seconds: u64,
    /// Number of daemons in each fleet.
    #[options(no_short, help = "number of daemons", meta = "N", default = "3")]
    instances: usize,
    /// Number of fleets that run concurrently.
    #[options(
        no_short,
        help = "fleets that run concurrently",
        meta = "N",
        default = "1"
    )]
    at_once: u64,
    /// What happens to the fleets.
    #[options(
        no_short,
        help = "faults; returns: also returns of the store from older copies; planned: only planned work",
        meta = "NAME",
        default = "faults"
    )]
    profile: ProfileName,
    /// Whether to print the faults of each run.
    #[options(no_short, help = "print the faults of each run")]
    faults: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match SoakOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("coltsfootkeel-soak: {error}; see coltsfootkeel-soak --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.help {
        println!("coltsfootkeel-soak\n\n{}", SoakOptions::usage());
        return ExitCode::SUCCESS;
    }
    match run_seeds(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("coltsfootkeel-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all seeds. Returns whether no run violated a guarantee.
fn run_seeds(options: &SoakOptions) -> Result<bool, Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    let first = options.seed.unwrap_or_else(|| fastrand::u64(..1_000_000));
    let mut has_passed = true;
    let mut pending_seeds = first..first + options.seeds;
    let mut running = VecDeque::new();
    loop {
        while running.len() < usize::try_from(options.at_once.max(1))? {
            let Some(seed) = pending_seeds.next() else {
                break;
            };
            let plan = SoakPlan {
                profile: options.profile.0,
                seed,
                duration: Duration::from_secs(options.seconds),
                instances: options.instances,
                upstreams: 4,
                callers: 8,
            };
            running.push_back((seed, runtime.spawn(run_soak(plan))));
        }
        let Some((seed, run)) = running.pop_front() else {
            return Ok(has_passed);
        };
        let report = runtime.block_on(run)??;
        let violation_count = report.violations.len();
        println!(
            "seed {seed}: {} of {} served, {violation_count} broken",
            report.served, report.requests
        );
        if options.faults || violation_count > 0 {
            report.faults.iter().for_each(|fault| println!("  {fault}"));
        }
        report
            .violations
            .iter()
            .for_each(|violation| println!("  BROKEN: {violation}"));
        if let Some(logs) = &report.logs {
            println!("  logs: {}", logs.display());
        }
        has_passed &= violation_count == 0;
    }
}
