//! The program `coltsfootkeel-entry`: parses the command line, reads the settings file and runs the daemon.

mod entry_options;

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use coltsfootkeel_adapter::{LocalSettings, SETTINGS_VARIABLE};
use coltsfootkeel_entry::{hold_signals, run_entry};
use coltsfootkeel_insight::{LogTarget, set_up_logs};
use coltsfootkeel_settings::{LogFormat, LogSettings};
use entry_options::EntryOptions;
use gumdrop::Options;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// How long a settings file that cannot be used is read again at the start.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between two reads of such a file.
const SETTINGS_RETRY_PERIOD: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    if let Err(error) = hold_signals() {
        eprintln!("coltsfootkeel-entry: signals cannot be held back: {error}");
        return ExitCode::FAILURE;
    }
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match EntryOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("coltsfootkeel-entry: {error}; see coltsfootkeel-entry --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.help {
        println!(
            "coltsfootkeel-entry [--settings FILE] [--check]\n\n{}",
            EntryOptions::usage()
        );
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("coltsfootkeel-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings_path = options.settings.or(std::env::var(SETTINGS_VARIABLE).ok());
    let Some(path) = settings_path else {
        eprintln!("coltsfootkeel-entry: neither --settings nor {SETTINGS_VARIABLE} names a file");
        return ExitCode::from(EXIT_USAGE);
    };
    match start(&path, options.check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("coltsfootkeel-entry: {text}");
            ExitCode::FAILURE
        }
    }
}

fn start(path: &str, is_check_only: bool) -> Result<(), String> {
    if is_check_only {
        read_settings(path)?;
        println!("{path}: the settings are valid");
        return Ok(());
    }
    let settings = wait_for_settings(path)?;
    let log = LogSettings {
        level: log::LevelFilter::Info,
        format: LogFormat::Json,
    };
    set_up_logs(log, LogTarget::QueuedOutput).map_err(|error| error.to_string())?;
    run_entry(settings, path.to_string()).map_err(|error| error.to_string())
}

fn read_settings(path: &str) -> Result<LocalSettings, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("cannot read {path}: {error}"))?;
    LocalSettings::parse(&text).map_err(|error| format!("{path}: {error}"))
}

/// Reads the settings file. The platform may be writing it, so a file that cannot be used is read again for
/// [`SETTINGS_TIMEOUT`].
fn wait_for_settings(path: &str) -> Result<LocalSettings, String> {
    let started = Instant::now();
    loop {
        match read_settings(path) {
            Err(text) if started.elapsed() < SETTINGS_TIMEOUT => {
                eprintln!("coltsfootkeel-entry: {text}; reading again");
                thread::sleep(SETTINGS_RETRY_PERIOD);
            }
            read => return read,
        }
    }
}
