//! Child processes of a test.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootkeel_model::FleetConfig;
use coltsfootkeel_platform::{CommitOutcome, CommitRequest, ConfigStore, ObjectClient};
use coltsfootkeel_standins::{
    CallAnswer, CallError, CallRequest, ChildProcess, RecordAnswer, call_once, commit_fleet,
};
use http::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

use crate::fleet_files::{self, DaemonAddresses, OPERATOR_TOKEN};
use crate::fleet_plan::FleetPlan;
use coltsfootkeel_standins::free_port;

/// Longest time that a test waits for a condition. It only keeps a failing test from running forever and bounds no
/// latency.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static NEXT_FOLDER_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Daemon of a test fleet; `child` is `None` while it is not running.
#[derive(Debug)]
struct TestDaemon {
    addresses: DaemonAddresses,
    child: Option<ChildProcess>,
}

/// Platform stand-in, upstreams and daemons as separate processes.
#[derive(Debug)]
pub struct TestFleet {
    folder: PathBuf,
    platform: SocketAddr,
    upstreams: Vec<SocketAddr>,
    daemons: Vec<TestDaemon>,
    platform_child: Option<ChildProcess>,
    upstream_children: Vec<Option<ChildProcess>>,
}

impl TestFleet {
    /// Starts the platform, the upstreams and the daemons of a plan, and waits until every daemon holds a seat and has
    /// received a heartbeat from each of the others.
    ///
    /// # Panics
    ///
    /// Panics if the configuration is invalid, or if a process cannot be started or does not become ready.
    pub async fn start(plan: &FleetPlan) -> Self {
        let mut fleet = Self::prepare(plan);
        fleet.start_platform().await;
        commit_fleet(fleet.platform, &fleet.configuration_file())
            .await
            .expect("the configuration of the plan is valid");
        for index in 0..fleet.upstreams.len() {
            fleet.start_upstream(plan, index);
        }
        for index in 0..plan.daemons.len() {
            fleet.start_daemon(index);
        }
        fleet.wait_until_settled(plan.daemons.len()).await;
        fleet
    }

    fn prepare(plan: &FleetPlan) -> Self {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("coltsfootkeel-test-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the folder for temporary files can be written");
        let upstreams: Vec<SocketAddr> = plan.upstreams.iter().map(|_| free_port()).collect();
        let platform = free_port();
        let addresses: Vec<DaemonAddresses> = plan
            .daemons
            .iter()
            .chain(&plan.spares)
            .map(|_| DaemonAddresses {
                entry: free_port(),
                peer: free_port(),
                admin: free_port(),
            })
            .collect();
        let peers: Vec<SocketAddr> = addresses.iter().map(|addresses| addresses.peer).collect();
        write(
            &folder.join("fleet.yaml"),
            &fleet_files::configuration(plan, &upstreams),
        );
        for (index, own) in addresses.iter().enumerate() {
            let text = fleet_files::settings(plan, index, *own, platform, &peers);
            write(&folder.join(format!("daemon-{index}.yaml")), &text);
        }
        let daemon = |addresses| TestDaemon {
            addresses,
            child: None,
        };
        Self {
            upstream_children: upstreams.iter().map(|_| None).collect(),
            daemons: addresses.into_iter().map(daemon).collect(),
            platform_child: None,
            folder,
            platform,
            upstreams,
        }
    }

    /// Starts the platform stand-in with an empty store and waits until it answers.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started or doesn't answer.
    pub async fn start_platform(&mut self) {
        let arguments = ["platform", "--listen", &self.platform.to_string()].map(str::to_string);
        self.platform_child = Some(start("coltsfootkeel-standins", &arguments));
        let platform = self.platform;
        wait_for("the platform answers", async || {
            call_once(platform, &CallRequest::new(Method::GET, "/v1/instances"))
                .await
                .is_ok()
        })
        .await;
    }

    /// Kills the platform stand-in. Its data is lost, since it is kept in memory.
    pub fn kill_platform(&mut self) {
        self.platform_child = None;
    }

    /// Sets the faults of the platform stand-in from a JSON document.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in doesn't answer or refuses the faults.
    pub async fn set_platform_faults(&self, faults: &str) {
        let request = CallRequest::new(Method::PUT, "/v1/standin/faults").body(faults.to_string());
        let answer = call_once(self.platform, &request)
            .await
            .expect("the platform answers");
        assert!(answer.status < 300, "faults refused: {:?}", answer.body);
    }

    /// Returns the address of the platform stand-in.
    #[must_use]
    pub fn platform(&self) -> SocketAddr {
        self.platform
    }

    /// Starts the upstream at `index`. It exits when a request crashes it.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start_upstream(&mut self, plan: &FleetPlan, index: usize) {
        let arguments = [
            "upstream",
            "--listen",
            &self.upstreams[index].to_string(),
            "--slots",
            &plan.upstreams[index].slots.to_string(),
            "--crash",
            "hard",
        ]
        .map(str::to_string);
        self.upstream_children[index] = Some(start("coltsfootkeel-standins", &arguments));
    }

    /// Kills the upstream at `index`.
    pub fn kill_upstream(&mut self, index: usize) {
        self.upstream_children[index] = None;
    }

    /// Returns the address on which an upstream listens.
    #[must_use]
    pub fn upstream(&self, index: usize) -> SocketAddr {
        self.upstreams[index]
    }

    /// Changes the behaviour of an upstream by a JSON document, for example to inject faults.
    ///
    /// # Panics
    ///
    /// Panics if the upstream doesn't answer or refuses the change.
    pub async fn control_upstream(&self, index: usize, change: &str) {
        let request = CallRequest::new(Method::PUT, "/standin/control").body(change.to_string());
        let answer = call_once(self.upstreams[index], &request)
            .await
            .expect("the upstream answers");
        assert!(answer.status < 300, "control refused: {:?}", answer.body);
    }

    /// Returns the record of the requests that an upstream ran, or `None` if it doesn't answer.
    pub async fn record(&self, index: usize) -> Option<RecordAnswer> {
        let request = CallRequest::new(Method::GET, "/standin/record");
        let answer = call_once(self.upstreams[index], &request).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Returns the number of requests that the upstreams have started. Upstreams that don't answer count as zero.
    pub async fn started_runs(&self) -> u64 {
        let mut started = 0;
        for index in 0..self.upstreams.len() {
            started += self
                .record(index)
                .await
                .map_or(0, |record| record.totals.started);
        }
        started
    }

    /// Starts the daemon at `index`.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start_daemon(&mut self, index: usize) {
        let settings = self.folder.join(format!("daemon-{index}.yaml"));
        let arguments = ["--settings".to_string(), settings.display().to_string()];
        self.daemons[index].child = Some(start("coltsfootkeeld", &arguments));
    }

    /// Kills the daemon at `index`.
    pub fn kill_daemon(&mut self, index: usize) {
        self.daemons[index].child = None;
    }

    /// Sends a signal to the daemon at `index`.
    ///
    /// # Panics
    ///
    /// Panics if the daemon is not running.
    pub fn signal_daemon(&self, index: usize, signal: Signal) {
        let child = self.daemons[index].child.as_ref().expect("the daemon runs");
        let id = i32::try_from(child.id()).expect("a process id fits");
        kill(Pid::from_raw(id), signal).expect("a child can be signalled");
    }

    /// Returns whether a daemon has exited by itself with a success status.
    ///
    /// # Panics
    ///
    /// Panics if the daemon was not started or the state of its process cannot be read.
    pub fn has_exited_successfully(&mut self, index: usize) -> bool {
        let child = self.daemons[index]
            .child
            .as_mut()
            .expect("the daemon was started");
        let ended = child
            .exit_status()
            .expect("the state of a child can be read");
        ended.is_some_and(|status| status.success())
    }

    /// Returns the address on which a daemon listens for callers.
    #[must_use]
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.daemons[index].addresses.entry
    }

    /// Returns the address on which a daemon listens for operators.
    #[must_use]
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.daemons[index].addresses.admin
    }

    /// Returns the address on which a daemon listens for other daemons.
    #[must_use]
    pub fn peer(&self, index: usize) -> SocketAddr {
        self.daemons[index].addresses.peer
    }

    /// Sends a request without a body to a daemon, with the access key `key`.
    ///
    /// # Errors
    ///
    /// Returns the stage at which the exchange failed.
    pub async fn call(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        key: &str,
    ) -> Result<CallAnswer, CallError> {
        self.send(daemon, CallRequest::new(method, path), key).await
    }

    /// Sends `request` to a daemon, with the access key `key`.
    ///
    /// # Errors
    ///
    /// Returns the stage at which the exchange failed.
    pub async fn send(
        &self,
        daemon: usize,
        request: CallRequest,
        key: &str,
    ) -> Result<CallAnswer, CallError> {
        let request = request.header("Authorization", &format!("Bearer {key}"));
        call_once(self.entry(daemon), &request).await
    }

    /// Returns the answer of a daemon to a look-up for the client 10.0.0.1.
    ///
    /// # Panics
    ///
    /// Panics if the daemon doesn't answer with JSON.
    pub async fn look_up(&self, daemon: usize) -> Value {
        let request = CallRequest::new(Method::GET, "/v1/look-up?client=10.0.0.1");
        let answer = call_once(self.entry(daemon), &request)
            .await
            .expect("the daemon answers");
        parse(&answer.body)
    }

    /// Returns the state dump of a daemon, or `None` if it doesn't answer within 2 s.
    pub async fn dump(&self, daemon: usize) -> Option<Value> {
        let request = CallRequest::new(Method::GET, "/v1/dump")
            .header("Authorization", &format!("Bearer {OPERATOR_TOKEN}"))
            .timeout(Duration::from_secs(2));
        let answer = call_once(self.admin(daemon), &request).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Waits until every running daemon holds a seat, runs a committed configuration, and has received a heartbeat from
    /// the others. `running` is the number of running daemons.
    pub async fn wait_until_settled(&self, running: usize) {
        for index in 0..self.daemons.len() {
            if self.daemons[index].child.is_none() {
                continue;
            }
            wait_for(
                "the daemon holds a seat and its peers are live",
                async || {
                    let Some(dump) = self.dump(index).await else {
                        return false;
                    };
                    let peers = dump["peers"].as_array().map_or(0, |peers| {
                        peers
                            .iter()
                            .filter(|peer| peer["heard_ms_ago"].is_u64())
                            .count()
                    });
                    dump["seat"].is_string()
                        && peers + 1 >= running
                        && dump["config"]["generation"].as_u64() > Some(0)
                },
            )
            .await;
        }
    }

    /// Commits the configuration with its text replaced by the result of `change`, and returns the new generation.
    ///
    /// # Panics
    ///
    /// Panics if the changed text is invalid or the platform refuses the commit.
    pub async fn commit(&self, change: impl Fn(&str) -> String) -> u64 {
        let file = self.configuration_file();
        let text = std::fs::read_to_string(&file).expect("the configuration was written");
        let text = change(&text);
        write(&file, &text);
        FleetConfig::parse("fleet.yaml", &text).expect("the changed configuration is valid");
        let client = Arc::new(ObjectClient::new(self.platform, Duration::from_secs(2)));
        let store = ConfigStore::new(client);
        let manifest = store.read_manifest().await.expect("the platform answers");
        let generation = manifest.map_or(0, |stored| stored.manifest.generation);
        let request = CommitRequest {
            expected_generation: generation,
            write_id: format!("test-{generation}"),
            operator: "test".to_string(),
            summary: "change by a test".to_string(),
            time_unix_ms: 0,
            document: text,
        };
        match store.commit(&request).await {
            Ok(CommitOutcome::Committed(generation)) => generation,
            outcome => panic!("not committed: {outcome:?}"),
        }
    }

    /// Waits until the configuration in force on a daemon has the generation `generation`.
    pub async fn wait_for_generation(&self, daemon: usize, generation: u64) {
        wait_for("the generation is in force on the daemon", async || {
            let dump = self.dump(daemon).await;
            dump.is_some_and(|dump| dump["config"]["generation"].as_u64() == Some(generation))
        })
        .await;
    }

    /// Returns the path of the fleet configuration.
    #[must_use]
    pub fn configuration_file(&self) -> PathBuf {
        self.folder.join("fleet.yaml")
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        // Nothing reads the folder after the test, so a failure to remove it is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Polls `condition` until it returns `true`. `description` names it in the message of the panic.
///
/// # Panics
///
/// Panics if the condition doesn't hold within a minute.
pub async fn wait_for(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "not within a minute: {description}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn parse(body: &Bytes) -> Value {
    serde_json::from_slice(body).expect("the answer is JSON")
}

fn write(path: &Path, text: &str) {
    std::fs::write(path, text).expect("the folder for temporary files can be written");
}

/// Starts a program of the workspace. Cargo puts test programs one folder below the binaries.
fn start(name: &str, arguments: &[String]) -> ChildProcess {
    let own = std::env::current_exe().expect("the path of the test is known");
    let folder = own
        .parent()
        .and_then(Path::parent)
        .expect("tests run in the target folder");
    let path = folder.join(name);
    ChildProcess::start(name, &path, arguments).unwrap_or_else(|error| {
        panic!(
            "{}: {error}; run cargo build --workspace --bins",
            path.display()
        )
    })
}
