//! The command line of the program.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use gumdrop::Options;

/// The address of the platform stand-in unless another is given.
pub const DEFAULT_PLATFORM: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7000);

/// Stand-ins and measurements for development.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Print this help.
    pub help: bool,
    /// What to run.
    #[options(command, required)]
    pub command: Option<Command>,
}

/// The subcommands.
#[derive(Debug, Options)]
pub enum Command {
    /// Run the platform stand-in.
    Platform(PlatformCommand),
    /// Run upstream stand-ins.
    Upstream(UpstreamCommand),
    /// Send bounded load to a loopback address.
    Load(LoadCommand),
    /// Compare calls through an entry instance with direct calls.
    Compare(CompareCommand),
    /// Start the programs of the workspace for the first run.
    Fleet(FleetCommand),
    /// Run the scenarios of the experiment against example fleets and print a table.
    Experiment(ExperimentCommand),
}

/// Options of `platform`.
#[derive(Debug, Options)]
pub struct PlatformCommand {
    /// Print this help.
    pub help: bool,
    /// Address to listen on (default: 127.0.0.1:7000).
    #[options(no_short, meta = "ADDRESS")]
    pub listen: Option<SocketAddr>,
}

/// Options of `upstream`.
#[derive(Debug, Options)]
pub struct UpstreamCommand {
    /// Print this help.
    pub help: bool,
    /// Address of the first upstream; the others use the next ports.
    #[options(no_short, meta = "ADDRESS")]
    pub listen: Option<SocketAddr>,
    /// Number of upstreams.
    #[options(no_short, meta = "N", default = "1")]
    pub count: u16,
    /// Name of the upstreams, followed by their number.
    #[options(no_short, meta = "NAME", default = "upstream")]
    pub name: String,
    /// Slots of each upstream.
    #[options(no_short, meta = "N", default = "9")]
    pub slots: u32,
    /// Run the upstreams of this configuration file with their names, addresses and slots.
    #[options(no_short, meta = "FILE")]
    pub fleet: Option<PathBuf>,
    /// With --fleet: only the upstreams of this pool.
    #[options(no_short, meta = "NAME")]
    pub pool: Option<String>,
    /// With --fleet: only the upstreams of this region.
    #[options(no_short, meta = "NAME")]
    pub region: Option<String>,
    /// Work time of a request in ms, unless it has X-Work-Ms.
    #[options(no_short, meta = "MS", default = "0")]
    pub work_ms: u64,
    /// Requests after each start that take longer.
    #[options(no_short, meta = "N", default = "0")]
    pub cold_requests: u32,
    /// How much longer these take, in ms.
    #[options(no_short, meta = "MS", default = "0")]
    pub cold_extra_ms: u64,
    /// What X-Crash does: hard ends the process, soft closes one upstream for a time.
    #[options(no_short, meta = "hard|soft", default = "hard")]
    pub crash: String,
    /// With --crash soft: how long, in ms.
    #[options(no_short, meta = "MS", default = "1000")]
    pub crash_ms: u64,
    /// Threads of each upstream.
    #[options(no_short, meta = "N", default = "1")]
    pub threads: usize,
}

/// Options of `load`.
#[derive(Debug, Options)]
pub struct LoadCommand {
    /// Print this help.
    pub help: bool,
    /// Loopback address of an upstream or an entry instance.
    #[options(no_short, required, meta = "ADDRESS")]
    pub target: Option<SocketAddr>,
    /// Connections.
    #[options(no_short, meta = "N", default = "16")]
    pub concurrency: usize,
    /// End after this number of requests.
    #[options(no_short, meta = "N")]
    pub count: Option<u64>,
    /// End after this number of seconds (default: 5, unless --count is given).
    #[options(no_short, meta = "S")]
    pub seconds: Option<u64>,
    /// Open-loop rate in requests/s (default: none, closed loop).
    #[options(no_short, meta = "RATE")]
    pub rate: Option<f64>,
    /// An account of the mix as "account key rate", with rate "-" for a closed loop; may be repeated.
    #[options(no_short, meta = "MIX")]
    pub account: Vec<String>,
    /// A file with one account of the mix a line.
    #[options(no_short, meta = "FILE")]
    pub accounts: Option<PathBuf>,
    /// Method.
    #[options(no_short, meta = "METHOD", default = "GET")]
    pub method: String,
    /// Path with query.
    #[options(no_short, meta = "PATH", default = "/load")]
    pub path: String,
    /// Length of the request body in bytes.
    #[options(no_short, meta = "BYTES", default = "0")]
    pub body_bytes: usize,
    /// Work time to ask of the upstream, in ms.
    #[options(no_short, meta = "MS")]
    pub work_ms: Option<u64>,
    /// Threads.
    #[options(no_short, meta = "N", default = "2")]
    pub threads: usize,
    /// Print the report as JSON as well.
    #[options(no_short)]
    pub json: bool,
}

/// Options of `compare`.
#[derive(Debug, Options)]
pub struct CompareCommand {
    /// Print this help.
    pub help: bool,
    /// Loopback address of the upstream.
    #[options(no_short, required, meta = "ADDRESS")]
    pub direct: Option<SocketAddr>,
    /// Loopback address of the entry instance.
    #[options(no_short, required, meta = "ADDRESS")]
    pub entry: Option<SocketAddr>,
    /// Access key for the entry instance.
    #[options(no_short, meta = "KEY")]
    pub key: Option<String>,
    /// Path with query.
    #[options(no_short, meta = "PATH", default = "/load")]
    pub path: String,
    /// Connections of each side.
    #[options(no_short, meta = "N", default = "1")]
    pub concurrency: usize,
    /// Time of one block in ms.
    #[options(no_short, meta = "MS", default = "100")]
    pub block_ms: u64,
    /// Blocks of each side.
    #[options(no_short, meta = "N", default = "20")]
    pub rounds: usize,
    /// Threads.
    #[options(no_short, meta = "N", default = "2")]
    pub threads: usize,
    /// Print the report as JSON as well.
    #[options(no_short)]
    pub json: bool,
}

/// Options of `fleet`.
#[derive(Debug, Options)]
pub struct FleetCommand {
    /// Print this help.
    pub help: bool,
    /// Folder with fleet.yaml and one settings file for each daemon.
    #[options(free, required)]
    pub folder: Option<PathBuf>,
    /// Address for the platform stand-in (default: 127.0.0.1:7000).
    #[options(no_short, meta = "ADDRESS")]
    pub platform: Option<SocketAddr>,
    /// Send a few requests with this access key and print the answers.
    #[options(no_short, meta = "KEY")]
    pub demo: Option<String>,
}

/// Options of `experiment`.
#[derive(Debug, Options)]
pub struct ExperimentCommand {
    /// Print this help.
    pub help: bool,
    /// Folders with the fleet.yaml of an example.
    #[options(free, required)]
    pub folders: Vec<PathBuf>,
    /// Run only this scenario; may be repeated (default: all).
    #[options(no_short, meta = "NAME")]
    pub scenario: Vec<String>,
    /// Seed of the arrival times and the choice of routes.
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
    /// Threads of the load generator.
    #[options(no_short, meta = "N", default = "3")]
    pub threads: usize,
}
