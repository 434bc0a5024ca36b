//! The fleet under test. Only processes that it started are ever ended.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    EntryInstance, EntryOptions, FaultRelay, RelayMode, SHOP_KEY, SignedUpstream, StoreStandin,
    register_upstream, shop_config, sibling_program,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

use crate::soak_run::SoakError;

/// The key that faults withdraw and grant again.
pub const CHANGING_KEY: &str = "changing-key";
/// How long an upstream works on an object it knows.
const WORK: Duration = Duration::from_millis(20);

/// An upstream behind a relay.
#[derive(Debug)]
pub struct RelayedUpstream {
    /// The upstream.
    pub upstream: SignedUpstream,
    /// The relay that daemons connect to.
    pub relay: FaultRelay,
}

/// A daemon with a relay of its own before the store.
#[derive(Debug)]
pub struct RelayedInstance {
    /// The daemon; nothing between its end and its next start.
    pub process: Option<EntryInstance>,
    /// How it is started.
    pub options: EntryOptions,
    /// The relay to the store.
    pub store: FaultRelay,
    /// Whether it is stopped by a signal.
    pub is_paused: bool,
}

/// The fleet.
#[derive(Debug)]
pub struct SoakFleet {
    /// The store.
    pub store: StoreStandin,
    /// The upstreams.
    pub upstreams: Vec<RelayedUpstream>,
    /// The daemons.
    pub instances: Vec<RelayedInstance>,
    /// When the changing key was last withdrawn; nothing while it is granted.
    pub withdrawn_at: Option<Instant>,
    program: PathBuf,
    folder: PathBuf,
    keeps_folder: bool,
    version: u64,
}

impl SoakFleet {
    /// Starts the fleet and waits until it takes requests.
    pub async fn start(seed: u64, instances: usize, upstreams: usize) -> Result<Self, SoakError> {
        let name = format!("coltsfootkeel-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let store = StoreStandin::start().await?;
        let mut fleet = Self {
            store,
            upstreams: Vec::new(),
            instances: Vec::new(),
            withdrawn_at: None,
            program: sibling_program("coltsfootkeel-entry")?,
            folder,
            keeps_folder: false,
            version: 0,
        };
        fleet.write_plan(true);
        for index in 0..upstreams {
            let upstream = SignedUpstream::start(&format!("u-{index}"), WORK).await?;
            let relay = FaultRelay::start(upstream.address()).await?;
            fleet.upstreams.push(RelayedUpstream { upstream, relay });
            fleet.register(index, "ready");
        }
        for index in 0..instances {
            let store = FaultRelay::start(fleet.store.address()).await?;
            let options = EntryOptions::on_loopback(index, store.address());
            fleet.instances.push(RelayedInstance {
                process: None,
                options,
                store,
                is_paused: false,
            });
            fleet.start_instance(index)?;
        }
        for instance in &fleet.instances {
            if let Some(process) = &instance.process {
                process.wait_ready().await?;
            }
        }
        Ok(fleet)
    }

    /// Writes the next plan, with or without the changing key.
    pub fn write_plan(&mut self, is_granted: bool) {
        self.version += 1;
        let keys: &[&str] = if is_granted {
            &[SHOP_KEY, CHANGING_KEY]
        } else {
            &[SHOP_KEY]
        };
        let plan = shop_config(self.version, keys);
        self.store.put("config", "main", plan, Value::Null);
        self.withdrawn_at = (!is_granted).then(Instant::now);
    }

    /// Writes the entry of an upstream.
    pub fn register(&self, index: usize, state: &str) {
        let relayed = &self.upstreams[index];
        let id = relayed.upstream.id();
        register_upstream(&self.store, id, relayed.relay.address(), state);
    }

    /// Starts a daemon that is not running.
    pub fn start_instance(&mut self, index: usize) -> Result<(), SoakError> {
        let instance = &mut self.instances[index];
        let options = instance.options.clone();
        let process = EntryInstance::start(&self.program, &self.folder, options)?;
        instance.process = Some(process);
        instance.is_paused = false;
        Ok(())
    }

    /// Sends a signal to a daemon of this fleet.
    pub fn signal(&mut self, index: usize, signal: Signal) {
        let instance = &mut self.instances[index];
        let Some(process) = &instance.process else {
            return;
        };
        if let Ok(id) = i32::try_from(process.process_id()) {
            // One that has ended needs no signal.
            let _ = kill(Pid::from_raw(id), signal);
        }
        match signal {
            Signal::SIGSTOP => instance.is_paused = true,
            Signal::SIGCONT => instance.is_paused = false,
            _ => {}
        }
    }

    /// Starts daemons that have ended.
    pub fn restart_ended(&mut self) -> Result<(), SoakError> {
        for index in 0..self.instances.len() {
            let process = &mut self.instances[index].process;
            let has_ended = match process {
                Some(process) => process.has_ended()?,
                None => true,
            };
            if has_ended {
                *process = None;
                self.start_instance(index)?;
            }
        }
        Ok(())
    }

    /// Ends all faults.
    pub async fn mend(&mut self) -> Result<(), SoakError> {
        self.store.set_mode(coltsfootkeel_standins::StoreMode::Up);
        for index in 0..self.instances.len() {
            self.signal(index, Signal::SIGCONT);
            self.instances[index].store.set(RelayMode::PASS).await;
        }
        for index in 0..self.upstreams.len() {
            let relayed = &mut self.upstreams[index];
            let no_fault = coltsfootkeel_standins::UpstreamFault::None;
            relayed.upstream.set_fault(no_fault);
            relayed.relay.set(RelayMode::PASS).await;
            self.register(index, "ready");
        }
        self.restart_ended()
    }

    /// Keeps the folder with the logs of the daemons after the run, and returns it.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.keeps_folder = true;
        self.folder.clone()
    }

    /// Returns the addresses for callers.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let instances = self.instances.iter();
        instances
            .map(|instance| instance.options.addresses.entry)
            .collect()
    }
}

impl Drop for SoakFleet {
    fn drop(&mut self) {
        for index in 0..self.instances.len() {
            // A stopped process is ended too, but its parent waits for it.
            self.signal(index, Signal::SIGCONT);
        }
        if !self.keeps_folder {
            // Nothing reads the folder any more; one that stays is of no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
