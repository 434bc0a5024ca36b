//! Starts the programs of the workspace as child processes, for the first run.

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
const READY_LIMIT: Duration = Duration::from_secs(30);
const READY_PAUSE: Duration = Duration::from_millis(50);
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// What to start.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// A folder with `fleet.yaml` and one settings file for each daemon.
    pub folder: PathBuf,
    /// The address for the platform stand-in.
    pub platform: SocketAddr,
}

/// The reason why the fleet did not start or did not go on.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A file or folder cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The path.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// A document has faults.
    #[error("{0}")]
    Findings(FindingList),
    /// A program cannot be started.
    #[error("{name}: cannot start: {source}")]
    Start {
        /// The name of the child.
        name: String,
        /// The error of the system.
        source: io::Error,
    },
    /// The configuration could not be committed.
    #[error("cannot commit the configuration: {0}")]
    Commit(#[from] ConfigError),
    /// A child ended.
    #[error("{name} (process {id}) ended: {status}")]
    Ended {
        /// The name of the child.
        name: String,
        /// Its process id.
        id: u32,
        /// How it ended.
        status: ExitStatus,
    },
    /// A part did not become ready.
    #[error("{name}: not ready at {address} within {} s", READY_LIMIT.as_secs())]
    NotReady {
        /// The name of the part.
        name: String,
        /// Where it should listen.
        address: SocketAddr,
    },
}

/// How to see that a part is ready.
#[derive(Debug, Clone, Copy)]
enum ReadyTest {
    /// A connect succeeds.
    Connect,
    /// `GET` of this path gives 200.
    Path(&'static str),
}

/// A part of the fleet and where it listens.
#[derive(Debug, Clone)]
struct FleetPart {
    name: String,
    address: SocketAddr,
    test: ReadyTest,
}

/// The running fleet; its children end when it is dropped.
#[derive(Debug)]
pub struct RunningFleet {
    children: Vec<ChildProcess>,
    parts: Vec<FleetPart>,
}

impl RunningFleet {
    /// Starts the platform stand-in, the upstreams and the daemons, and waits until each part is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the inputs have faults, a program cannot be started, a child ends or a part does not
    /// become ready. All children that were started end with it.
    pub async fn start(options: &FleetOptions) -> Result<Self, FleetError> {
        let configuration = options.folder.join(CONFIGURATION_FILE);
        let upstreams = upstream_parts(&configuration)?;
        let daemons = daemon_parts(&options.folder)?;
        let mut fleet = Self {
            children: Vec::new(),
            parts: Vec::new(),
        };
        fleet.start_platform(options.platform).await?;
        commit_fleet(options.platform, &configuration).await?;
        fleet.start_upstreams(&configuration, upstreams).await?;
        fleet.start_daemons(daemons).await?;
        Ok(fleet)
    }

    /// Returns the addresses at which the daemons listen for callers.
    #[must_use]
    pub fn daemon_entries(&self) -> Vec<SocketAddr> {
        let daemons = self
            .parts
            .iter()
            .filter(|part| part.name.starts_with(DAEMON_PREFIX));
        daemons.map(|part| part.address).collect()
    }

    /// Waits until a child ends, which none does by itself.
    pub async fn wait_for_end(&mut self) -> FleetError {
        loop {
            if let Err(error) = self.check_children() {
                return error;
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
    }

    async fn start_platform(&mut self, address: SocketAddr) -> Result<(), FleetError> {
        let arguments = ["platform".into(), "--listen".into(), address.to_string()];
        self.spawn("platform", "coltsfootkeel-standins", &arguments)?;
        self.add_part(FleetPart {
            name: "platform".to_owned(),
            address,
            test: ReadyTest::Connect,
        })
        .await
    }

    async fn start_upstreams(
        &mut self,
        configuration: &Path,
        upstreams: Vec<FleetPart>,
    ) -> Result<(), FleetError> {
        let file = configuration.display().to_string();
        let arguments = ["upstream".into(), "--fleet".into(), file];
        self.spawn("upstreams", "coltsfootkeel-standins", &arguments)?;
        for upstream in upstreams {
            self.add_part(upstream).await?;
        }
        Ok(())
    }

    async fn start_daemons(
        &mut self,
        daemons: Vec<(PathBuf, FleetPart)>,
    ) -> Result<(), FleetError> {
        for (settings, part) in &daemons {
            let arguments = ["--settings".into(), settings.display().to_string()];
            self.spawn(&part.name, "coltsfootkeeld", &arguments)?;
        }
        for (_, part) in daemons {
            self.add_part(part).await?;
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

    async fn add_part(&mut self, part: FleetPart) -> Result<(), FleetError> {
        let end = Instant::now() + READY_LIMIT;
        while !is_ready(&part).await {
            self.check_children()?;
            if Instant::now() >= end {
                return Err(FleetError::NotReady {
                    name: part.name,
                    address: part.address,
                });
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        self.parts.push(part);
        Ok(())
    }

    fn check_children(&mut self) -> Result<(), FleetError> {
        for child in &mut self.children {
            let ended = child.exit_status().map_err(|source| FleetError::Start {
                name: child.name().to_owned(),
                source,
            })?;
            if let Some(status) = ended {
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
        for part in &self.parts {
            writeln!(formatter, "{:<24} {}", part.name, part.address)?;
        }
        Ok(())
    }
}

/// Commits the configuration as the first generation.
///
/// # Errors
///
/// Returns an error if the file has faults or the platform does not take it.
pub async fn commit_fleet(platform: SocketAddr, configuration: &Path) -> Result<(), FleetError> {
    let text = read_text(configuration)?;
    let file = configuration.display().to_string();
    FleetConfig::parse(&file, &text).map_err(FleetError::Findings)?;
    let document = serde_json::to_string(&RawFleet::read(&file, &text)).unwrap_or_default();
    let client = Arc::new(ObjectClient::new(platform, PROBE_LIMIT));
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

/// Reads a configuration file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or has faults.
pub fn read_fleet(path: &Path) -> Result<FleetConfig, FleetError> {
    let text = read_text(path)?;
    FleetConfig::parse(&path.display().to_string(), &text).map_err(FleetError::Findings)
}

fn upstream_parts(configuration: &Path) -> Result<Vec<FleetPart>, FleetError> {
    let fleet = read_fleet(configuration)?;
    let parts = fleet.upstreams.iter().map(|(_, upstream)| FleetPart {
        name: format!("upstream {}", upstream.name),
        address: upstream.address,
        test: ReadyTest::Path("/standin/health"),
    });
    Ok(parts.collect())
}

fn daemon_parts(folder: &Path) -> Result<Vec<(PathBuf, FleetPart)>, FleetError> {
    let mut parts = Vec::new();
    for settings in settings_files(folder)? {
        let stem = settings.file_stem().unwrap_or_default();
        let part = FleetPart {
            name: format!("{DAEMON_PREFIX}{}", stem.display()),
            address: entry_address(&settings)?,
            test: ReadyTest::Path("/v1/ready"),
        };
        parts.push((settings, part));
    }
    Ok(parts)
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

/// Reads `entry.listen`; all other fields are left to the daemon, which checks them.
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

async fn is_ready(part: &FleetPart) -> bool {
    match part.test {
        ReadyTest::Connect => {
            let opened = PersistentConnection::open(part.address);
            matches!(tokio::time::timeout(PROBE_LIMIT, opened).await, Ok(Ok(_)))
        }
        ReadyTest::Path(path) => {
            let request = CallRequest::new(Method::GET, path).timeout(PROBE_LIMIT);
            let answer = call_once(part.address, &request).await;
            answer.is_ok_and(|answer| answer.status == 200)
        }
    }
}
