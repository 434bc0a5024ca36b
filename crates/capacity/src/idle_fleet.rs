//! Memory, processor time and network bytes of daemons that receive no requests.

use std::env;
use std::fmt::Write;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::Duration;

use coltsfootkeel_standins::{FleetError, FleetOptions, RunningFleet, sibling_program};
use thiserror::Error;

use crate::process_usage::ProcessUsage;
use crate::text_table::{TextTable, bytes_text, decimal_text};

/// Offset that is added to all ports of the settings, because another fleet with the original ports may be running on
/// this machine.
const PORT_OFFSET: u16 = 20_000;
const PLATFORM_ADDRESS: &str = "127.0.0.1:27000";
const LOOPBACK_PREFIX: &str = "127.0.0.1:";

/// Time after the start in which daemons open their connections and claim their seats.
const SETTLE_TIME: Duration = Duration::from_secs(10);

const OBSERVATION_TIME: Duration = Duration::from_secs(10);

/// Error that prevents the measurement of an idle fleet.
#[derive(Debug, Error)]
pub enum IdleFleetError {
    /// The program of the daemon is not beside this one.
    #[error("{0}")]
    Program(std::io::Error),
    /// The port of the platform is in use. It may belong to another fleet, which the measurement would disturb.
    #[error("{PLATFORM_ADDRESS} is in use: {0}")]
    PortInUse(std::io::Error),
    /// The files of the fleet cannot be copied to a temporary folder.
    #[error("cannot copy the files of the fleet: {0}")]
    Files(std::io::Error),
    /// The `tokio` runtime did not start.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// The fleet did not start.
    #[error("{0}")]
    Fleet(#[from] FleetError),
}

/// Starts a fleet, measures its daemons without requests for `OBSERVATION_TIME`, and stops it.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started.
///
/// # Panics
///
/// Doesn't panic, since `PLATFORM_ADDRESS` is a valid address.
pub fn idle_fleet_table(folder: &Path) -> Result<TextTable, IdleFleetError> {
    sibling_program("coltsfootkeeld").map_err(IdleFleetError::Program)?;
    let platform: SocketAddr = PLATFORM_ADDRESS.parse().expect("a valid address");
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
            thread::sleep(SETTLE_TIME);
            let table = observe_daemons();
            drop(fleet);
            Ok(table)
        });
    // The copy is removed whether or not the fleet ran. A failure to remove it is harmless.
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
    let mut parts = text.split(LOOPBACK_PREFIX);
    let mut moved = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let digits = part.find(|character: char| !character.is_ascii_digit());
        let (port, rest) = part.split_at(digits.unwrap_or(part.len()));
        let port = port.parse().map_or(0, |port: u16| port + PORT_OFFSET);
        // Writing to a string cannot fail.
        let _ = write!(moved, "{LOOPBACK_PREFIX}{port}{rest}");
    }
    moved
}

fn observe_daemons() -> TextTable {
    let mut table = TextTable::new(
        "Idle fleet: each daemon over 10 s",
        &["process", "resident MiB", "% of a core", "write KB/s"],
    );
    let before: Vec<(u32, Observation)> = child_daemons()
        .into_iter()
        .filter_map(|id| Some((id, Observation::of(id)?)))
        .collect();
    let received_bytes = loopback_bytes();
    thread::sleep(OBSERVATION_TIME);
    let seconds = OBSERVATION_TIME.as_secs_f64();
    let received_bytes = loopback_bytes().saturating_sub(received_bytes);
    for (id, before) in &before {
        let Some(after) = Observation::of(*id) else {
            continue;
        };
        let used = after
            .usage
            .processor_time
            .saturating_sub(before.usage.processor_time);
        let written_bytes = after.written_bytes.saturating_sub(before.written_bytes);
        table.add([
            id.to_string(),
            bytes_text(after.usage.resident_bytes),
            decimal_text(100.0 * used.as_secs_f64() / seconds, 2),
            decimal_text(written_bytes as f64 / 1e3 / seconds, 2),
        ]);
    }
    let kb_per_daemon = received_bytes as f64 / 1e3 / seconds / before.len().max(1) as f64;
    table.add([
        "loopback of the whole machine by daemon".to_owned(),
        "-".to_owned(),
        "-".to_owned(),
        decimal_text(kb_per_daemon, 2),
    ]);
    table
}

struct Observation {
    usage: ProcessUsage,
    written_bytes: u64,
}

impl Observation {
    fn of(id: u32) -> Option<Self> {
        let io = fs::read_to_string(format!("/proc/{id}/io")).ok()?;
        let line = io.lines().find_map(|line| line.strip_prefix("wchar: "))?;
        Some(Self {
            usage: ProcessUsage::of_process(id)?,
            written_bytes: line.parse().ok()?,
        })
    }
}

/// Returns the process ids of the daemons that this process started, in ascending order.
fn child_daemons() -> Vec<u32> {
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

/// Returns the number of bytes that the loopback interface has received, including those of other programs.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    received.unwrap_or(0)
}
