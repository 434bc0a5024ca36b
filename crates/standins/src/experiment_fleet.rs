//! The processes of one run of the experiment.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootkeel_model::{AccessDigest, FindingList, FleetConfig, RawFleet};
use coltsfootkeel_platform::{CommitRequest, ConfigError, ConfigStore, ObjectClient};
use http::Method;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;
use thiserror::Error;

use crate::child_process::{ChildProcess, sibling_program};
use crate::experiment_gate::PeerGate;
use crate::experiment_plan::{
    COLD_EXTRA_MS, COLD_REQUESTS, DaemonPorts, ScenarioKind, WORK_MS, document, platform_address,
};
use crate::fault_relay::{FaultRelay, RelayMode};
use crate::http_call::{CallRequest, call_once};
use crate::run_record::RunEntry;
use crate::upstream_service::RecordAnswer;

const FLEET_FILE: &str = "fleet.yaml";
const READY_LIMIT: Duration = Duration::from_secs(30);
const READY_PAUSE: Duration = Duration::from_millis(50);
const PROBE_LIMIT: Duration = Duration::from_secs(1);
const OPERATOR_TOKEN: &str = "experiment-operator-token";

/// The reason why the experiment stopped.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A file cannot be read or written.
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
    /// A process or relay cannot be started.
    #[error("{name}: cannot start: {source}")]
    Start {
        /// What cannot be started.
        name: String,
        /// The error of the system.
        source: io::Error,
    },
    /// The configuration could not be committed.
    #[error("cannot commit the configuration: {0}")]
    Commit(#[from] ConfigError),
    /// A part did not become ready.
    #[error("{name}: not ready within {} s", READY_LIMIT.as_secs())]
    NotReady {
        /// The name of the part.
        name: String,
    },
    /// A scenario is unknown.
    #[error("no scenario {0:?}")]
    Scenario(String),
    /// The platform did not take its faults.
    #[error("the platform did not take its faults")]
    Faults,
}

/// The part of a daemon's dump that the experiment reads.
#[derive(Debug, Deserialize)]
pub struct DumpAnswer {
    /// The seat held.
    pub seat: Option<String>,
    /// The upstreams.
    pub upstreams: Vec<SlotDump>,
    /// The peers.
    pub peers: Vec<IgnoredAny>,
}

/// The slots of one upstream in a dump.
#[derive(Debug, Deserialize)]
pub struct SlotDump {
    /// The name of the upstream.
    pub name: String,
    /// The slots held.
    pub slots_held: u32,
    /// The slots in use.
    pub slots_used: u32,
}

/// A daemon, named as its seat.
#[derive(Debug)]
pub struct ExperimentDaemon {
    /// The name.
    pub name: String,
    /// The name of the failure domain.
    pub domain: String,
    /// The name of the region.
    pub region: String,
    /// The listeners.
    pub ports: DaemonPorts,
    child: Option<ChildProcess>,
}

/// The processes of one run; they end when the value is dropped.
#[derive(Debug)]
pub struct ExperimentFleet {
    /// The committed configuration.
    pub config: FleetConfig,
    /// The daemons.
    pub daemons: Vec<ExperimentDaemon>,
    document: Value,
    folder: PathBuf,
    platform: SocketAddr,
    _platform_child: ChildProcess,
    upstream_children: Vec<(String, ChildProcess)>,
    gates: Vec<PeerGate>,
    platform_relay: Option<FaultRelay>,
}

impl ExperimentFleet {
    /// Starts the fleet of an example folder on the loopback address `host` and waits until it has settled.
    ///
    /// # Errors
    ///
    /// Returns an error if a file has faults or a part does not start. All processes end with it.
    pub async fn start(
        example: &Path,
        kind: ScenarioKind,
        seed: u64,
        host: Ipv4Addr,
    ) -> Result<Self, ExperimentError> {
        let file = example.join(FLEET_FILE);
        let raw = RawFleet::read(&file.display().to_string(), &read(&file)?);
        let document = document(&raw, seed, host);
        let text = document.to_string();
        let config = FleetConfig::parse(FLEET_FILE, &text).map_err(ExperimentError::Findings)?;
        let folder = run_folder(host)?;
        write(&folder.join(FLEET_FILE), &text)?;
        let platform = platform_address(host);
        let listen = ["platform".into(), "--listen".into(), platform.to_string()];
        let platform_child = spawn("platform", "coltsfootkeel-standins", &listen)?;
        let mut fleet = Self {
            daemons: plan_daemons(&config, host),
            config,
            document,
            folder,
            platform,
            _platform_child: platform_child,
            upstream_children: Vec::new(),
            gates: Vec::new(),
            platform_relay: None,
        };
        wait_ready("platform", platform, "/v1/instances").await?;
        fleet.commit(0).await?;
        fleet.start_upstreams(kind).await?;
        fleet.start_daemons(kind).await?;
        fleet.wait_until_settled().await?;
        Ok(fleet)
    }

    /// Commits the document after `generation`.
    async fn commit(&self, generation: u64) -> Result<(), ExperimentError> {
        let client = Arc::new(ObjectClient::new(self.platform, PROBE_LIMIT));
        let request = CommitRequest {
            expected_generation: generation,
            write_id: format!("experiment-{generation}"),
            operator: "experiment".to_owned(),
            summary: format!("generation {}", generation + 1),
            time_unix_ms: 0,
            document: self.document.to_string(),
        };
        ConfigStore::new(client).commit(&request).await?;
        Ok(())
    }

    /// Commits the document with its first shift active as the second generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not take it.
    pub async fn activate_shift(&mut self) -> Result<(), ExperimentError> {
        crate::experiment_plan::activate_shift(&mut self.document);
        self.commit(1).await
    }

    async fn start_upstreams(&mut self, kind: ScenarioKind) -> Result<(), ExperimentError> {
        let destination = self.config.shifts.iter().next().map(|(_, shift)| shift.to);
        for (key, region) in self.config.regions.iter() {
            let cold = kind == ScenarioKind::PlannedMove && destination == Some(key);
            let requests = if cold { COLD_REQUESTS } else { 0 };
            let arguments = [
                "upstream".to_owned(),
                "--fleet".to_owned(),
                self.folder.join(FLEET_FILE).display().to_string(),
                "--region".to_owned(),
                region.name.clone(),
                "--work-ms".to_owned(),
                WORK_MS.to_string(),
                "--cold-requests".to_owned(),
                requests.to_string(),
                "--cold-extra-ms".to_owned(),
                COLD_EXTRA_MS.to_string(),
            ];
            let child = spawn("upstreams", "coltsfootkeel-standins", &arguments)?;
            self.upstream_children.push((region.name.clone(), child));
        }
        for (_, upstream) in self.config.upstreams.iter() {
            wait_ready(&upstream.name, upstream.address, "/standin/health").await?;
        }
        Ok(())
    }

    async fn start_daemons(&mut self, kind: ScenarioKind) -> Result<(), ExperimentError> {
        let cut = (kind == ScenarioKind::DomainCut).then(|| self.cut_domain());
        let mut advertised: Vec<SocketAddr> = self
            .daemons
            .iter()
            .map(|daemon| daemon.ports.peer)
            .collect();
        if let Some(domain) = &cut {
            let relay = FaultRelay::start(self.platform).await;
            self.platform_relay = Some(relay.map_err(|source| start_error("relay", source))?);
            for (daemon, address) in self.daemons.iter().zip(&mut advertised) {
                let inside = daemon.domain == *domain;
                let gate = PeerGate::start(daemon.ports.peer, domain, inside).await;
                let gate = gate.map_err(|source| start_error("gate", source))?;
                *address = gate.address();
                self.gates.push(gate);
            }
        }
        let region = self.platform_region();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let relay = self.platform_relay.as_ref();
            let relayed = relay.filter(|_| cut.as_ref() == Some(&daemon.domain));
            let platform = relayed.map_or(self.platform, FaultRelay::address);
            let text = settings(daemon, advertised[index], &advertised, platform, &region);
            let file = self.folder.join(format!("{}.yaml", daemon.name));
            write(&file, &text)?;
            let arguments = ["--settings".to_owned(), file.display().to_string()];
            daemon.child = Some(spawn(&daemon.name, "coltsfootkeeld", &arguments)?);
        }
        for daemon in &self.daemons {
            wait_ready(&daemon.name, daemon.ports.entry, "/v1/ready").await?;
        }
        Ok(())
    }

    /// Waits until each daemon holds a seat and knows all others.
    async fn wait_until_settled(&self) -> Result<(), ExperimentError> {
        let end = Instant::now() + READY_LIMIT;
        for daemon in &self.daemons {
            while !self.is_settled(daemon).await {
                if Instant::now() >= end {
                    let name = format!("{}: seat and peers", daemon.name);
                    return Err(ExperimentError::NotReady { name });
                }
                tokio::time::sleep(READY_PAUSE).await;
            }
        }
        Ok(())
    }

    async fn is_settled(&self, daemon: &ExperimentDaemon) -> bool {
        let others = self.daemons.len() - 1;
        dump(daemon.ports.admin)
            .await
            .is_some_and(|dump| dump.seat.is_some() && dump.peers.len() >= others)
    }

    /// Returns the region of the platform, the first of the configuration.
    fn platform_region(&self) -> String {
        let first = self.config.regions.iter().next();
        first.map_or_else(String::new, |(_, region)| region.name.clone())
    }

    /// Returns the region that is lost.
    #[must_use]
    pub fn lost_region(&self) -> String {
        let second = self.config.regions.iter().nth(1);
        second.map_or_else(String::new, |(_, region)| region.name.clone())
    }

    /// Returns the failure domain that is cut off.
    #[must_use]
    pub fn cut_domain(&self) -> String {
        let second = self.config.regions.iter().nth(1);
        let first = second.and_then(|(_, region)| region.domains.first());
        first.map_or_else(String::new, |key| self.config.domains[*key].name.clone())
    }

    /// Kills the first daemon.
    pub fn kill_first_daemon(&mut self) {
        self.daemons[0].child = None;
    }

    /// Kills the daemons and upstreams of a region.
    pub fn kill_region(&mut self, region: &str) {
        self.upstream_children.retain(|(name, _)| name != region);
        for daemon in &mut self.daemons {
            if daemon.region == region {
                daemon.child = None;
            }
        }
    }

    /// Lets the platform close each connection without an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn stop_platform(&self) -> Result<(), ExperimentError> {
        let request =
            CallRequest::new(Method::PUT, "/v1/standin/faults").body(r#"{"down": "closed"}"#);
        match call_once(self.platform, &request).await {
            Ok(answer) if answer.status < 300 => Ok(()),
            _ => Err(ExperimentError::Faults),
        }
    }

    /// Cuts off the failure domain.
    pub async fn cut_off(&mut self) {
        for gate in &mut self.gates {
            gate.cut().await;
        }
        if let Some(relay) = &mut self.platform_relay {
            relay.set(RelayMode::BLACKHOLE).await;
        }
    }

    /// Returns what the upstreams of a pool and region ran, according to their records.
    pub async fn runs(&self, pool: &str, region: &str) -> Vec<RunEntry> {
        let mut runs = Vec::new();
        for (_, upstream) in self.config.upstreams.iter() {
            let is_wanted = self.config.pools[upstream.pool].name == pool
                && self.config.regions[upstream.region].name == region;
            if !is_wanted {
                continue;
            }
            let request = CallRequest::new(Method::GET, "/standin/record");
            let answer = call_once(upstream.address, &request).await.ok();
            let record =
                answer.and_then(|answer| serde_json::from_slice::<RecordAnswer>(&answer.body).ok());
            runs.extend(record.into_iter().flat_map(|record| record.entries));
        }
        runs
    }
}

impl Drop for ExperimentFleet {
    fn drop(&mut self) {
        // The files are of no use after the run, and a failure leaves only these behind.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the dump of a daemon, or nothing if it does not answer.
pub async fn dump(admin: SocketAddr) -> Option<DumpAnswer> {
    let request = CallRequest::new(Method::GET, "/v1/dump")
        .header("Authorization", &format!("Bearer {OPERATOR_TOKEN}"))
        .timeout(PROBE_LIMIT);
    let answer = call_once(admin, &request).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn plan_daemons(config: &FleetConfig, host: Ipv4Addr) -> Vec<ExperimentDaemon> {
    let seats = config.seats.iter().map(|(_, seat)| seat);
    (0..)
        .zip(seats)
        .map(|(index, seat)| {
            let domain = &config.domains[seat.domain];
            ExperimentDaemon {
                name: seat.name.clone(),
                domain: domain.name.clone(),
                region: config.regions[domain.region].name.clone(),
                ports: DaemonPorts::of(host, index),
                child: None,
            }
        })
        .collect()
}

fn settings(
    daemon: &ExperimentDaemon,
    advertised: SocketAddr,
    neighbours: &[SocketAddr],
    platform: SocketAddr,
    platform_region: &str,
) -> String {
    let token = AccessDigest::of_key(OPERATOR_TOKEN);
    let neighbours: Vec<String> = neighbours
        .iter()
        .filter(|address| **address != advertised)
        .map(|address| format!("\"{address}\""))
        .collect();
    let ports = daemon.ports;
    format!(
        "instance: {}\nfailure_domain: {}\nthreads: 2\nentry: {{listen: \"{}\"}}\n\
         peer: {{listen: \"{}\", advertise: \"{advertised}\", token: experiment-fleet-token}}\n\
         admin: {{listen: \"{}\", operators: [{{name: experiment, token_sha256: \"{token}\"}}]}}\n\
         platform: {{address: \"{platform}\", region: {platform_region}}}\nneighbours: [{}]\n\
         log: {{level: error}}\n",
        daemon.name,
        daemon.domain,
        ports.entry,
        ports.peer,
        ports.admin,
        neighbours.join(", "),
    )
}

fn run_folder(host: Ipv4Addr) -> Result<PathBuf, ExperimentError> {
    let name = format!("coltsfootkeel-experiment-{}-{host}", std::process::id());
    let path = std::env::temp_dir().join(name);
    match fs::create_dir_all(&path) {
        Ok(()) => Ok(path),
        Err(source) => Err(ExperimentError::File { path, source }),
    }
}

fn read(path: &Path) -> Result<String, ExperimentError> {
    fs::read_to_string(path).map_err(|source| ExperimentError::File {
        path: path.to_owned(),
        source,
    })
}

fn write(path: &Path, text: &str) -> Result<(), ExperimentError> {
    fs::write(path, text).map_err(|source| ExperimentError::File {
        path: path.to_owned(),
        source,
    })
}

fn start_error(name: &str, source: io::Error) -> ExperimentError {
    let name = name.to_owned();
    ExperimentError::Start { name, source }
}

fn spawn(name: &str, program: &str, arguments: &[String]) -> Result<ChildProcess, ExperimentError> {
    sibling_program(program)
        .and_then(|path| ChildProcess::start_quiet(name, &path, arguments))
        .map_err(|source| start_error(name, source))
}

async fn wait_ready(name: &str, address: SocketAddr, path: &str) -> Result<(), ExperimentError> {
    let end = Instant::now() + READY_LIMIT;
    let request = CallRequest::new(Method::GET, path).timeout(PROBE_LIMIT);
    while Instant::now() < end {
        let answer = call_once(address, &request).await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
    Err(ExperimentError::NotReady {
        name: format!("{name} at {address}"),
    })
}
