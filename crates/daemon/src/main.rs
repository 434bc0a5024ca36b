//! The executable `coltsfootkeeld`: parses the command line, reads the settings and runs the daemon.

mod daemon_options;

use std::process::ExitCode;

use coltsfootkeel_daemon::run_daemon;
use coltsfootkeel_insight::{LogTarget, set_up_logs};
use coltsfootkeel_settings::DaemonSettings;
use daemon_options::DaemonOptions;
use gumdrop::Options;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match DaemonOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("coltsfootkeeld: {error}; see coltsfootkeeld --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.help {
        println!(
            "coltsfootkeeld --settings FILE [--check]\n\n{}",
            DaemonOptions::usage()
        );
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("coltsfootkeeld {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = options.settings else {
        eprintln!("coltsfootkeeld: --settings FILE is missing; see coltsfootkeeld --help");
        return ExitCode::from(EXIT_USAGE);
    };
    match check_or_run(&file, options.check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprint!("{text}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks the settings, then runs the daemon unless `check` is set.
fn check_or_run(file: &str, check: bool) -> Result<(), String> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("coltsfootkeeld: cannot read {file}: {error}\n"))?;
    let settings = DaemonSettings::parse(file, &text).map_err(|findings| findings.to_string())?;
    if check {
        println!("{file}: the settings are valid");
        return Ok(());
    }
    set_up_logs(settings.log, LogTarget::StandardError)
        .map_err(|error| format!("coltsfootkeeld: {error}\n"))?;
    run_daemon(settings).map_err(|error| format!("coltsfootkeeld: {error}\n"))
}
