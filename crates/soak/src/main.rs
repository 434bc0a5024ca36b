//! The program `coltsfootkeel-soak`.

use std::collections::VecDeque;
use std::process::ExitCode;
use std::time::Duration;

use coltsfootkeel_soak::{SoakPlan, run_soak};
use gumdrop::Options;

/// Exit code for a command line that cannot be understood.
const EXIT_USAGE: u8 = 2;

/// Plays seeds one after the other and prints what was broken.
#[derive(Debug, Options)]
struct SoakOptions {
    /// Whether to print help.
    #[options(help = "print this help")]
    help: bool,
    /// The first seed.
    #[options(no_short, help = "first seed; a fresh one by default", meta = "N")]
    seed: Option<u64>,
    /// The number of seeds.
    #[options(no_short, help = "number of seeds", meta = "N", default = "1")]
    seeds: u64,
    /// How long faults are injected in each run.
    #[options(
        no_short,
        help = "seconds of faults in each run",
        meta = "S",
        default = "20"
    )]
    seconds: u64,
    /// The number of daemons.
    #[options(no_short, help = "number of daemons", meta = "N", default = "3")]
    instances: usize,
    /// The number of fleets that run side by side.
    #[options(
        no_short,
        help = "fleets that run side by side",
        meta = "N",
        default = "1"
    )]
    at_once: u64,
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
    match play(&options) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("coltsfootkeel-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Plays all seeds. Returns whether every promise was kept.
fn play(options: &SoakOptions) -> Result<bool, Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    let first = options.seed.unwrap_or_else(|| fastrand::u64(..1_000_000));
    let mut is_kept = true;
    let mut waiting = first..first + options.seeds;
    let mut running = VecDeque::new();
    loop {
        while running.len() < usize::try_from(options.at_once.max(1))? {
            let Some(seed) = waiting.next() else {
                break;
            };
            let plan = SoakPlan {
                seed,
                duration: Duration::from_secs(options.seconds),
                instances: options.instances,
                upstreams: 4,
                callers: 8,
            };
            running.push_back((seed, runtime.spawn(run_soak(plan))));
        }
        let Some((seed, run)) = running.pop_front() else {
            return Ok(is_kept);
        };
        let report = runtime.block_on(run)??;
        let broken = report.broken.len();
        println!(
            "seed {seed}: {} of {} served, {broken} broken",
            report.served, report.requests
        );
        if options.faults || broken > 0 {
            report.faults.iter().for_each(|fault| println!("  {fault}"));
        }
        report
            .broken
            .iter()
            .for_each(|promise| println!("  BROKEN: {promise}"));
        if let Some(logs) = &report.logs {
            println!("  logs: {}", logs.display());
        }
        is_kept &= broken == 0;
    }
}
