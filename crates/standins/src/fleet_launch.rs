//! Starts the platform stand-in, upstreams and daemons as child processes, for the first run.

use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootkeel_model::{DocumentReader, FindingList, FleetConfig, RawFleet};
use coltsfootkeel_platform::{CommitRequest, ConfigError, ConfigStore, ObjectClient};
use http::Method;
use thiserror::Error;

use crate::child_process::{ChildProcess, sibling_program};
use crate::http_call::{CallRequest, PersistentConnection, call_once};

const DAEMON_PREFIX: &str = "daemon ";
const CONFIGURATION_FILE: &str = "fleet.yaml";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Files and address with which a fleet is started.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Folder with `fleet.yaml` and one settings file for each daemon.
    pub folder: PathBuf,
    /// Address on which the platform stand-in listens.
    pub platform: SocketAddr,
}

/// Error that prevents the start of a fleet or ends a running one.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A file or folder cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// I/O error of the operating system.
        source: io::Error,
    },
    /// The configuration or a settings file is invalid.
    #[error("{0}")]
    Findings(FindingList),
    /// A program cannot be started, or the state of its process cannot be read.
    #[error("{name}: cannot start: {source}")]
    Start {
        /// Name of the child process.
        name: String,
        /// I/O error of the operating system.
        source: io::Error,
    },
    /// The configuration could not be committed.
    #[error("cannot commit the configuration: {0}")]
    Commit(#[from] ConfigError),
    /// A child process exited.
    #[error("{name} (process {id}) ended: {status}")]
    Ended {
        /// Name of the child process.
        name: String,
        /// Process id.
        id: u32,
        /// Exit status.
        status: ExitStatus,
    },
    /// An endpoint did not become ready within `READY_TIMEOUT`.
    #[error("{name}: not ready at {address} within {} s", READY_TIMEOUT.as_secs())]
    NotReady {
        /// Name of the endpoint.
        name: String,
        /// Address on which it was expected to listen.
        address: SocketAddr,
    },
}

/// Condition under which an endpoint is ready.
#[derive(Debug, Clone, Copy)]
enum ReadyCheck {
    /// A connection can be opened.
    Connect,
    /// `GET` of this path is answered with status 200.
    Path(&'static str),
}

/// Listener of the platform stand-in, an upstream or a daemon.
#[derive(Debug, Clone)]
struct FleetEndpoint {
    name: String,
    address: SocketAddr,
    ready_check: ReadyCheck,
}

/// Running fleet. Its child processes are killed when it is dropped.
#[derive(Debug)]
pub struct RunningFleet {
    children: Vec<ChildProcess>,
    endpoints: Vec<FleetEndpoint>,
}

impl RunningFleet {
    /// Starts the platform stand-in, the upstreams and the daemons, and waits until each of them is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is invalid, a program cannot be started, a child process exits or an endpoint does
    /// not become ready. Child processes that were started are killed.
    pub async fn start(options: &FleetOptions) -> Result<Self, FleetError> {
        let configuration = options.folder.join(CONFIGURATION_FILE);
        let upstreams = upstream_endpoints(&configuration)?;
        let daemons = daemon_endpoints(&options.folder)?;
        let mut fleet = Self {
            children: Vec::new(),
            endpoints: Vec::new(),
        };
        fleet.start_platform(options.platform).await?;
        commit_fleet(options.platform, &configuration).await?;
        fleet.start_upstreams(&configuration, upstreams).await?;
        fleet.start_daemons(daemons).await?;
        Ok(fleet)
    }

    /// Returns the addresses at which the daemons listen for callers.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let daemons = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.name.starts_with(DAEMON_PREFIX));
        daemons.map(|endpoint| endpoint.address).collect()
    }

    /// Waits until a child process exits, which is an error because all of them run until they are killed.
    pub async fn wait_for_end(&mut self) -> FleetError {
        loop {
            if let Err(error) = self.check_children() {
                return error;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    async fn start_platform(&mut self, address: SocketAddr) -> Result<(), FleetError> {
        let arguments = ["platform".into(), "--listen".into(), address.to_string()];
        self.spawn("platform", "coltsfootkeel-standins", &arguments)?;
        self.wait_until_ready(FleetEndpoint {
            name: "platform".to_owned(),
            address,
            ready_check: ReadyCheck::Connect,
        })
        .await
    }

    async fn start_upstreams(
        &mut self,
        configuration: &Path,
        upstreams: Vec<FleetEndpoint>,
    ) -> Result<(), FleetError> {
        let file = configuration.display().to_string();
        let arguments = ["upstream".into(), "--fleet".into(), file];
        self.spawn("upstreams", "coltsfootkeel-standins", &arguments)?;
        for upstream in upstreams {
            self.wait_until_ready(upstream).await?;
        }
        Ok(())
    }

    async fn start_daemons(
        &mut self,
        daemons: Vec<(PathBuf, FleetEndpoint)>,
    ) -> Result<(), FleetError> {
        for (settings, endpoint) in &daemons {
            let arguments = ["--settings".into(), settings.display().to_string()];
            self.spawn(&endpoint.name, "coltsfootkeeld", &arguments)?;
        }
        for (_, endpoint) in daemons {
            self.wait_until_ready(endpoint).await?;
        }
        Ok(())
    }

    fn spawn(&mut self, name: &str, program: &str, arguments: &[String]) -> Result<(), FleetError> {
        let child = sibling_program(program)
            .and_then(|path| ChildProcess::start(name, &path, arguments))
            .map_err(|source| FleetError::Start {
                name: name.to_owned(),
                source,
            })?;
        self.children.push(child);
        Ok(())
    }

    async fn wait_until_ready(&mut self, endpoint: FleetEndpoint) -> Result<(), FleetError> {
        let end = Instant::now() + READY_TIMEOUT;
        while !is_ready(&endpoint).await {
            self.check_children()?;
            if Instant::now() >= end {
                return Err(FleetError::NotReady {
                    name: endpoint.name,
                    address: endpoint.address,
                });
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        self.endpoints.push(endpoint);
        Ok(())
    }

    fn check_children(&mut self) -> Result<(), FleetError> {
        for child in &mut self.children {
            let exit_status = child.exit_status().map_err(|source| FleetError::Start {
                name: child.name().to_owned(),
                source,
            })?;
            if let Some(status) = exit_status {
                return Err(FleetError::Ended {
                    name: child.name().to_owned(),
                    id: child.id(),
                    status,
                });
            }
        }
        Ok(())
    }
}

impl fmt::Display for RunningFleet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for endpoint in &self.endpoints {
            writeln!(formatter, "{:<24} {}", endpoint.name, endpoint.address)?;
        }
        Ok(())
    }
}

/// Commits a configuration file as the first generation.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid, or if the commit fails.
pub async fn commit_fleet(platform: SocketAddr, configuration: &Path) -> Result<(), FleetError> {
    let text = read_text(configuration)?;
    let file = configuration.display().to_string();
    FleetConfig::parse(&file, &text).map_err(FleetError::Findings)?;
    let document = serde_json::to_string(&RawFleet::read(&file, &text)).unwrap_or_default();
    let client = Arc::new(ObjectClient::new(platform, PROBE_TIMEOUT));
    let request = CommitRequest {
        expected_generation: 0,
        write_id: "first-run".to_owned(),
        operator: "coltsfootkeel-standins".to_owned(),
        summary: format!("configuration of {file}"),
        time_unix_ms: 0,
        document,
    };
    ConfigStore::new(client).commit(&request).await?;
    Ok(())
}

/// Reads and checks a configuration file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid.
pub fn read_fleet(path: &Path) -> Result<FleetConfig, FleetError> {
    let text = read_text(path)?;
    FleetConfig::parse(&path.display().to_string(), &text).map_err(FleetError::Findings)
}

fn upstream_endpoints(configuration: &Path) -> Result<Vec<FleetEndpoint>, FleetError> {
    let fleet = read_fleet(configuration)?;
    let endpoints = fleet.upstreams.iter().map(|(_, upstream)| FleetEndpoint {
        name: format!("upstream {}", upstream.name),
        address: upstream.address,
        ready_check: ReadyCheck::Path("/standin/health"),
    });
    Ok(endpoints.collect())
}

fn daemon_endpoints(folder: &Path) -> Result<Vec<(PathBuf, FleetEndpoint)>, FleetError> {
    let mut endpoints = Vec::new();
    for settings in settings_files(folder)? {
        let stem = settings.file_stem().unwrap_or_default();
        let endpoint = FleetEndpoint {
            name: format!("{DAEMON_PREFIX}{}", stem.display()),
            address: entry_address(&settings)?,
            ready_check: ReadyCheck::Path("/v1/ready"),
        };
        endpoints.push((settings, endpoint));
    }
    Ok(endpoints)
}

fn settings_files(folder: &Path) -> Result<Vec<PathBuf>, FleetError> {
    let file_error = |source| FleetError::File {
        path: folder.to_owned(),
        source,
    };
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(file_error)? {
        let path = entry.map_err(file_error)?.path();
        let is_yaml = path
            .extension()
            .is_some_and(|extension| extension == "yaml");
        let is_configuration = path
            .file_name()
            .is_some_and(|name| name == CONFIGURATION_FILE);
        if is_yaml && !is_configuration {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Reads the field `entry.listen` of a settings file. The daemon checks all other fields when it starts.
fn entry_address(settings: &Path) -> Result<SocketAddr, FleetError> {
    let text = read_text(settings)?;
    let findings = FindingList::new(&settings.display().to_string());
    let document = DocumentReader::new(&text, &findings);
    let listen = document
        .root()
        .mapping("entry")
        .map(|mut entry| entry.string("listen"));
    if let Some(address) = listen.as_ref().and_then(|text| text.value.parse().ok()) {
        return Ok(address);
    }
    let location = listen.map(|text| text.location).unwrap_or_default();
    findings.report(
        location,
        "entry.listen",
        "expected an address like 127.0.0.1:8001",
    );
    Err(FleetError::Findings(findings.clone()))
}

fn read_text(path: &Path) -> Result<String, FleetError> {
    fs::read_to_string(path).map_err(|source| FleetError::File {
        path: path.to_owned(),
        source,
    })
}

async fn is_ready(endpoint: &FleetEndpoint) -> bool {
    match endpoint.ready_check {
        ReadyCheck::Connect => {
            let opened = PersistentConnection::open(endpoint.address);
            matches!(tokio::time::timeout(PROBE_TIMEOUT, opened).await, Ok(Ok(_)))
        }
        ReadyCheck::Path(path) => {
            let request = CallRequest::new(Method::GET, path).timeout(PROBE_TIMEOUT);
            let answer = call_once(endpoint.address, &request).await;
            answer.is_ok_and(|answer| answer.status == 200)
        }
    }
}
