//! Processes of one run of the experiment.

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
use crate::experiment_partition::PartitionRelay;
use crate::experiment_plan::{
    COLD_EXTRA_MS, COLD_REQUESTS, DaemonAddresses, ScenarioKind, WORK_MS, fleet_document,
    platform_address,
};
use crate::fault_relay::{FaultRelay, RelayMode};
use crate::http_call::{CallRequest, call_once};
use crate::run_record::RunEntry;
use crate::upstream_service::RecordAnswer;

const FLEET_FILE: &str = "fleet.yaml";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const OPERATOR_TOKEN: &str = "experiment-operator-token";

/// Error that ends the experiment.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// I/O error of the operating system.
        source: io::Error,
    },
    /// The configuration document is invalid.
    #[error("{0}")]
    Findings(FindingList),
    /// A process or relay cannot be started.
    #[error("{name}: cannot start: {source}")]
    Start {
        /// Name of the process or relay.
        name: String,
        /// I/O error of the operating system.
        source: io::Error,
    },
    /// The configuration could not be committed.
    #[error("cannot commit the configuration: {0}")]
    Commit(#[from] ConfigError),
    /// A process did not become ready within `READY_TIMEOUT`.
    #[error("{name}: not ready within {} s", READY_TIMEOUT.as_secs())]
    NotReady {
        /// Name of the process, with its address or the condition that failed.
        name: String,
    },
    /// No scenario has the given name.
    #[error("unknown scenario {0:?}")]
    Scenario(String),
    /// The platform stand-in did not answer or refused the injected faults.
    #[error("the platform stand-in did not accept the injected faults")]
    Faults,
}

/// Fields that the experiment reads from the state dump of a daemon.
#[derive(Debug, Deserialize)]
pub struct DumpAnswer {
    /// Name of the seat that the daemon holds, or `None` before it holds one.
    pub seat: Option<String>,
    /// Slots of the daemon at each upstream.
    pub upstreams: Vec<SlotDump>,
    /// Other daemons that the daemon has discovered.
    pub peers: Vec<IgnoredAny>,
}

/// Slots of one daemon at one upstream.
#[derive(Debug, Deserialize)]
pub struct SlotDump {
    /// Name of the upstream.
    pub name: String,
    /// Number of slots that the daemon holds.
    pub slots_held: u32,
    /// Number of held slots that a request occupies.
    pub slots_used: u32,
}

/// Daemon of the experiment, started for one seat.
#[derive(Debug)]
pub struct ExperimentDaemon {
    /// Name of the instance, equal to the name of its seat.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Name of its region.
    pub region: String,
    /// Addresses on which it listens.
    pub addresses: DaemonAddresses,
    child: Option<ChildProcess>,
}

/// Processes of one run. They are killed when the value is dropped.
#[derive(Debug)]
pub struct ExperimentFleet {
    /// Configuration of the first generation.
    pub config: FleetConfig,
    /// Daemons, in the order of their seats in the configuration.
    pub daemons: Vec<ExperimentDaemon>,
    document: Value,
    folder: PathBuf,
    platform: SocketAddr,
    _platform_child: ChildProcess,
    upstream_children: Vec<(String, ChildProcess)>,
    partition_relays: Vec<PartitionRelay>,
    platform_relay: Option<FaultRelay>,
}

impl ExperimentFleet {
    /// Starts the fleet of an example folder on the loopback address `host`, and waits until every daemon holds a seat
    /// and has discovered the others.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is invalid or a process does not become ready. Processes that were started
    /// are killed.
    pub async fn start(
        example: &Path,
        kind: ScenarioKind,
        seed: u64,
        host: Ipv4Addr,
    ) -> Result<Self, ExperimentError> {
        let file = example.join(FLEET_FILE);
        let raw = RawFleet::read(&file.display().to_string(), &read(&file)?);
        let document = fleet_document(&raw, seed, host);
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
            partition_relays: Vec::new(),
            platform_relay: None,
        };
        wait_until_ready("platform", platform, "/v1/instances").await?;
        fleet.commit(0).await?;
        fleet.start_upstreams(kind).await?;
        fleet.start_daemons(kind).await?;
        fleet.wait_until_settled().await?;
        Ok(fleet)
    }

    /// Commits the document as the successor of the generation `generation`.
    async fn commit(&self, generation: u64) -> Result<(), ExperimentError> {
        let client = Arc::new(ObjectClient::new(self.platform, PROBE_TIMEOUT));
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

    /// Commits the second generation, in which the first shift is active.
    ///
    /// # Errors
    ///
    /// Returns an error if the commit fails.
    pub async fn activate_shift(&mut self) -> Result<(), ExperimentError> {
        crate::experiment_plan::activate_shift(&mut self.document);
        self.commit(1).await
    }

    async fn start_upstreams(&mut self, kind: ScenarioKind) -> Result<(), ExperimentError> {
        let destination = self.config.shifts.iter().next().map(|(_, shift)| shift.to);
        for (key, region) in self.config.regions.iter() {
            let is_cold = kind == ScenarioKind::PlannedMove && destination == Some(key);
            let requests = if is_cold { COLD_REQUESTS } else { 0 };
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
            wait_until_ready(&upstream.name, upstream.address, "/standin/health").await?;
        }
        Ok(())
    }

    async fn start_daemons(&mut self, kind: ScenarioKind) -> Result<(), ExperimentError> {
        let isolated_domain_name =
            (kind == ScenarioKind::DomainCut).then(|| self.isolated_domain());
        let mut advertised: Vec<SocketAddr> = self
            .daemons
            .iter()
            .map(|daemon| daemon.addresses.peer)
            .collect();
        if let Some(domain) = &isolated_domain_name {
            let relay = FaultRelay::start(self.platform).await;
            self.platform_relay = Some(relay.map_err(|source| start_error("relay", source))?);
            for (daemon, address) in self.daemons.iter().zip(&mut advertised) {
                let is_inside = daemon.domain == *domain;
                let partition_relay =
                    PartitionRelay::start(daemon.addresses.peer, domain, is_inside).await;
                let partition_relay =
                    partition_relay.map_err(|source| start_error("partition relay", source))?;
                *address = partition_relay.address();
                self.partition_relays.push(partition_relay);
            }
        }
        let region = self.platform_region();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let relay = self.platform_relay.as_ref();
            let domain_relay =
                relay.filter(|_| isolated_domain_name.as_ref() == Some(&daemon.domain));
            let platform = domain_relay.map_or(self.platform, FaultRelay::address);
            let text = daemon_settings(daemon, advertised[index], &advertised, platform, &region);
            let file = self.folder.join(format!("{}.yaml", daemon.name));
            write(&file, &text)?;
            let arguments = ["--settings".to_owned(), file.display().to_string()];
            daemon.child = Some(spawn(&daemon.name, "coltsfootkeeld", &arguments)?);
        }
        for daemon in &self.daemons {
            wait_until_ready(&daemon.name, daemon.addresses.entry, "/v1/ready").await?;
        }
        Ok(())
    }

    /// Waits until every daemon holds a seat and lists all others as peers.
    async fn wait_until_settled(&self) -> Result<(), ExperimentError> {
        let end = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while !self.is_settled(daemon).await {
                if Instant::now() >= end {
                    let name = format!("{}: seat and peers", daemon.name);
                    return Err(ExperimentError::NotReady { name });
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_settled(&self, daemon: &ExperimentDaemon) -> bool {
        let others = self.daemons.len() - 1;
        read_dump(daemon.addresses.admin)
            .await
            .is_some_and(|dump| dump.seat.is_some() && dump.peers.len() >= others)
    }

    /// Returns the name of the region that the platform is in: the first one of the configuration.
    fn platform_region(&self) -> String {
        let first = self.config.regions.iter().next();
        first.map_or_else(String::new, |(_, region)| region.name.clone())
    }

    /// Returns the name of the region whose processes the region-lost scenario kills: the second one of the
    /// configuration.
    #[must_use]
    pub fn lost_region(&self) -> String {
        let second = self.config.regions.iter().nth(1);
        second.map_or_else(String::new, |(_, region)| region.name.clone())
    }

    /// Returns the name of the failure domain that the domain-cut scenario isolates: the first one of the second
    /// region.
    #[must_use]
    pub fn isolated_domain(&self) -> String {
        let second = self.config.regions.iter().nth(1);
        let first = second.and_then(|(_, region)| region.domains.first());
        first.map_or_else(String::new, |key| self.config.domains[*key].name.clone())
    }

    /// Kills the first daemon.
    pub fn kill_first_daemon(&mut self) {
        self.daemons[0].child = None;
    }

    /// Kills all daemons and upstreams of a region.
    pub fn kill_region(&mut self, region: &str) {
        self.upstream_children.retain(|(name, _)| name != region);
        for daemon in &mut self.daemons {
            if daemon.region == region {
                daemon.child = None;
            }
        }
    }

    /// Makes the platform stand-in close every connection without an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not accept the change.
    pub async fn stop_platform(&self) -> Result<(), ExperimentError> {
        let request =
            CallRequest::new(Method::PUT, "/v1/standin/faults").body(r#"{"down": "closed"}"#);
        match call_once(self.platform, &request).await {
            Ok(answer) if answer.status < 300 => Ok(()),
            _ => Err(ExperimentError::Faults),
        }
    }

    /// Isolates the failure domain from the other daemons and from the platform.
    pub async fn isolate_domain(&mut self) {
        for partition_relay in &mut self.partition_relays {
            partition_relay.start_partition().await;
        }
        if let Some(relay) = &mut self.platform_relay {
            relay.set(RelayMode::BLACKHOLE).await;
        }
    }

    /// Returns the recorded runs of all upstreams of a pool in a region. Upstreams that don't answer are left out.
    pub async fn runs(&self, pool: &str, region: &str) -> Vec<RunEntry> {
        let mut runs = Vec::new();
        for (_, upstream) in self.config.upstreams.iter() {
            let is_selected = self.config.pools[upstream.pool].name == pool
                && self.config.regions[upstream.region].name == region;
            if !is_selected {
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
        // Nothing reads the files after the run, so a failure to remove them is harmless.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the state dump of a daemon, or `None` if it doesn't answer within `PROBE_TIMEOUT`.
pub async fn read_dump(admin: SocketAddr) -> Option<DumpAnswer> {
    let request = CallRequest::new(Method::GET, "/v1/dump")
        .header("Authorization", &format!("Bearer {OPERATOR_TOKEN}"))
        .timeout(PROBE_TIMEOUT);
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
                addresses: DaemonAddresses::of(host, index),
                child: None,
            }
        })
        .collect()
}

fn daemon_settings(
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
    let addresses = daemon.addresses;
    format!(
        "instance: {}\nfailure_domain: {}\nthreads: 2\nentry: {{listen: \"{}\"}}\n\
         peer: {{listen: \"{}\", advertise: \"{advertised}\", token: experiment-fleet-token}}\n\
         admin: {{listen: \"{}\", operators: [{{name: experiment, token_sha256: \"{token}\"}}]}}\n\
         platform: {{address: \"{platform}\", region: {platform_region}}}\nneighbours: [{}]\n\
         log: {{level: error}}\n",
        daemon.name,
        daemon.domain,
        addresses.entry,
        addresses.peer,
        addresses.admin,
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

async fn wait_until_ready(
    name: &str,
    address: SocketAddr,
    path: &str,
) -> Result<(), ExperimentError> {
    let end = Instant::now() + READY_TIMEOUT;
    let request = CallRequest::new(Method::GET, path).timeout(PROBE_TIMEOUT);
    while Instant::now() < end {
        let answer = call_once(address, &request).await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Err(ExperimentError::NotReady {
        name: format!("{name} at {address}"),
    })
}
