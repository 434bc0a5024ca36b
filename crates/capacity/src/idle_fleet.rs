//! Memory, processor time and bytes of daemons that carry no requests.

use std::env;
use std::fmt::Write;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::Duration;

use coltsfootkeel_standins::{FleetError, FleetOptions, RunningFleet, sibling_program};
use thiserror::Error;

use crate::figure_table::{FigureTable, bytes_text, decimal_text};
use crate::process_figures::ProcessFigures;

/// The fleet runs on ports of its own, because another one with the ports of its files may run on this machine.
const PORT_OFFSET: u16 = 20_000;
const PLATFORM: &str = "127.0.0.1:27000";
const LOCAL: &str = "127.0.0.1:";

/// Connections and seats are settled after this time.
const SETTLE: Duration = Duration::from_secs(10);

const OBSERVED: Duration = Duration::from_secs(10);

/// Why the idle fleet was not measured.
#[derive(Debug, Error)]
pub enum IdleFleetError {
    /// A program is missing.
    #[error("{0}")]
    Program(std::io::Error),
    /// The ports may belong to another fleet on this machine, which must not be disturbed.
    #[error("{PLATFORM} is in use: {0}")]
    PortInUse(std::io::Error),
    /// The files cannot be copied.
    #[error("cannot copy the files of the fleet: {0}")]
    Files(std::io::Error),
    /// The runtime of this program did not start.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// The fleet did not start.
    #[error("{0}")]
    Fleet(#[from] FleetError),
}

/// Starts a fleet, observes its daemons for some seconds and ends it.
///
/// # Errors
///
/// Returns why the fleet did not run.
///
/// # Panics
///
/// Never: the address of the platform is valid.
pub fn idle_fleet_table(folder: &Path) -> Result<FigureTable, IdleFleetError> {
    sibling_program("coltsfootkeeld").map_err(IdleFleetError::Program)?;
    let platform: SocketAddr = PLATFORM.parse().expect("a valid address");
    drop(TcpListener::bind(platform).map_err(IdleFleetError::PortInUse)?);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(IdleFleetError::Runtime)?;
    let copy = env::temp_dir().join(format!("coltsfootkeel-capacity-{}", std::process::id()));
    let observed = copy_files(folder, &copy)
        .map_err(IdleFleetError::Files)
        .and_then(|()| {
            let options = FleetOptions {
                folder: copy.clone(),
                platform,
            };
            let fleet = runtime.block_on(RunningFleet::start(&options))?;
            thread::sleep(SETTLE);
            let table = observe();
            drop(fleet);
            Ok(table)
        });
    // The copy is of no use whether or not the fleet ran.
    let _ = fs::remove_dir_all(&copy);
    observed
}

fn copy_files(folder: &Path, copy: &Path) -> std::io::Result<()> {
    fs::create_dir_all(copy)?;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let text = fs::read_to_string(entry.path())?;
        fs::write(copy.join(entry.file_name()), with_moved_ports(&text))?;
    }
    Ok(())
}

fn with_moved_ports(text: &str) -> String {
    let mut parts = text.split(LOCAL);
    let mut moved = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let digits = part.find(|sign: char| !sign.is_ascii_digit());
        let (port, rest) = part.split_at(digits.unwrap_or(part.len()));
        let port = port.parse().map_or(0, |port: u16| port + PORT_OFFSET);
        // Writing to a string cannot fail.
        let _ = write!(moved, "{LOCAL}{port}{rest}");
    }
    moved
}

fn observe() -> FigureTable {
    let mut table = FigureTable::new(
        "Idle fleet: each daemon over 10 s",
        &["process", "resident MiB", "% of a core", "write KB/s"],
    );
    let before: Vec<(u32, Observation)> = own_daemons()
        .into_iter()
        .filter_map(|id| Some((id, Observation::of(id)?)))
        .collect();
    let loopback = loopback_bytes();
    thread::sleep(OBSERVED);
    let seconds = OBSERVED.as_secs_f64();
    let loopback = loopback_bytes().saturating_sub(loopback);
    for (id, before) in &before {
        let Some(after) = Observation::of(*id) else {
            continue;
        };
        let used = after
            .figures
            .processor
            .saturating_sub(before.figures.processor);
        let written = after.written.saturating_sub(before.written);
        table.add([
            id.to_string(),
            bytes_text(after.figures.resident),
            decimal_text(100.0 * used.as_secs_f64() / seconds, 2),
            decimal_text(written as f64 / 1e3 / seconds, 2),
        ]);
    }
    let shared = loopback as f64 / 1e3 / seconds / before.len().max(1) as f64;
    table.add([
        "loopback of the whole machine by daemon".to_owned(),
        "-".to_owned(),
        "-".to_owned(),
        decimal_text(shared, 2),
    ]);
    table
}

struct Observation {
    figures: ProcessFigures,
    written: u64,
}

impl Observation {
    fn of(id: u32) -> Option<Self> {
        let io = fs::read_to_string(format!("/proc/{id}/io")).ok()?;
        let line = io.lines().find_map(|line| line.strip_prefix("wchar: "))?;
        Some(Self {
            figures: ProcessFigures::of_process(id)?,
            written: line.parse().ok()?,
        })
    }
}

/// Returns the daemons that this process started.
fn own_daemons() -> Vec<u32> {
    let own = std::process::id();
    let Ok(entries) = fs::read_dir("/proc") else {
        return Vec::new();
    };
    let ids = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<u32>().ok());
    let mut daemons: Vec<u32> = ids.filter(|id| is_daemon_of(*id, own)).collect();
    daemons.sort_unstable();
    daemons
}

fn is_daemon_of(id: u32, parent: u32) -> bool {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.map(str::trim)
    };
    field("PPid:") == Some(parent.to_string().as_str()) && field("Name:") == Some("coltsfootkeeld")
}

/// Returns the bytes that the loopback interface has carried; other programs use it as well.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.unwrap_or(0)
}
