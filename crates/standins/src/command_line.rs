//! Options of the program's subcommands. The doc comments are the help text that the program prints.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use gumdrop::Options;

/// Address of the platform stand-in if the command line has none.
pub const DEFAULT_PLATFORM_ADDRESS: SocketAddr =
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7000);

/// Stand-ins and measurements for development.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Print this help.
    pub help: bool,
    /// Command to run.
    #[options(command, required)]
    pub command: Option<Command>,
}

/// The subcommand to run, with its options.
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
    /// Number of slots of each upstream.
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
    /// Work time of a request without the header X-Work-Ms, in ms.
    #[options(no_short, meta = "MS", default = "0")]
    pub work_ms: u64,
    /// Number of requests after each start that take longer (cold start).
    #[options(no_short, meta = "N", default = "0")]
    pub cold_requests: u32,
    /// Extra work time of each cold request, in ms.
    #[options(no_short, meta = "MS", default = "0")]
    pub cold_extra_ms: u64,
    /// Effect of X-Crash: hard ends the process, soft closes one upstream for --crash-ms.
    #[options(no_short, meta = "hard|soft", default = "hard")]
    pub crash: String,
    /// With --crash soft: time the upstream stays closed, in ms.
    #[options(no_short, meta = "MS", default = "1000")]
    pub crash_ms: u64,
    /// Number of threads of each upstream.
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
    /// Number of connections.
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
    /// Account of the mix as "account key rate", with rate "-" for a closed loop; may be repeated.
    #[options(no_short, meta = "MIX")]
    pub account: Vec<String>,
    /// File with one account of the mix per line.
    #[options(no_short, meta = "FILE")]
    pub accounts: Option<PathBuf>,
    /// HTTP method of the requests.
    #[options(no_short, meta = "METHOD", default = "GET")]
    pub method: String,
    /// Path and query of the requests.
    #[options(no_short, meta = "PATH", default = "/load")]
    pub path: String,
    /// Length of the request body in bytes.
    #[options(no_short, meta = "BYTES", default = "0")]
    pub body_bytes: usize,
    /// Work time that each request sets with X-Work-Ms, in ms.
    #[options(no_short, meta = "MS")]
    pub work_ms: Option<u64>,
    /// Number of threads.
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
    /// Path and query of the requests.
    #[options(no_short, meta = "PATH", default = "/load")]
    pub path: String,
    /// Number of connections to the upstream and to the entry instance each.
    #[options(no_short, meta = "N", default = "1")]
    pub concurrency: usize,
    /// Duration of one measurement block in ms.
    #[options(no_short, meta = "MS", default = "100")]
    pub block_ms: u64,
    /// Number of measurement blocks for direct calls and for calls through the entry instance each.
    #[options(no_short, meta = "N", default = "20")]
    pub rounds: usize,
    /// Number of threads.
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
    /// Scenario to run; may be repeated (default: all).
    #[options(no_short, meta = "NAME")]
    pub scenario: Vec<String>,
    /// Seed of the arrival times and the choice of routes.
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
    /// Number of threads of the load generator.
    #[options(no_short, meta = "N", default = "3")]
    pub threads: usize,
}
