//! The fleet under test: a store stand-in, upstreams behind relays, and daemons as child processes.
//!
//! Signals go only to processes that the fleet started itself.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    EntryInstance, EntryOptions, FaultRelay, RelayMode, SHOP_KEY, SignedUpstream, StoreStandin,
    register_upstream, shop_config, sibling_program,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

use crate::soak_checks::{Departure, GuaranteeViolation, KeyPeriod};
use crate::soak_run::SoakError;

/// Access key that faults withdraw and grant again.
pub const CHANGING_KEY: &str = "changing-key";
/// Time that an upstream works on a request for an object that it has cached.
const WORK_TIME: Duration = Duration::from_millis(20);

/// Upstream behind a relay.
#[derive(Debug)]
pub struct RelayedUpstream {
    /// Upstream, which runs in this process.
    pub upstream: SignedUpstream,
    /// Relay whose address is registered for the daemons.
    pub relay: FaultRelay,
    /// State in its latest registration; `None` if it is removed.
    state: Option<&'static str>,
    /// Times of its registrations as ready.
    pub ready_at: Vec<Instant>,
}

impl RelayedUpstream {
    /// Returns whether the upstream is registered as ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == Some("ready")
    }
}

/// Daemon that reaches the store through a relay of its own.
#[derive(Debug)]
pub struct RelayedInstance {
    /// Process of the daemon, or `None` between its end and its next start.
    pub process: Option<EntryInstance>,
    /// Options for every start of the daemon; its addresses stay the same.
    pub options: EntryOptions,
    /// Relay between the daemon and the store.
    pub store_relay: FaultRelay,
    /// Times at which its processes were started.
    pub started_at: Vec<Instant>,
    /// Whether the process is stopped by `SIGSTOP`.
    pub is_paused: bool,
    /// Signal that ends the process, if one was sent. `SIGKILL` counts before `SIGTERM`.
    pub end_signal: Option<Signal>,
}

impl RelayedInstance {
    /// Returns whether a signal that was sent explains the exit status.
    fn is_expected_end(&self, status: ExitStatus) -> bool {
        match self.end_signal {
            Some(Signal::SIGTERM) => status.success(),
            end_signal => end_signal.is_some(),
        }
    }
}

/// Store, upstreams and daemons of one run.
#[derive(Debug)]
pub struct SoakFleet {
    /// Store of the platform, which runs in this process.
    pub store: StoreStandin,
    /// Upstreams, named `u-0`, `u-1` and so on.
    pub upstreams: Vec<RelayedUpstream>,
    /// Daemons, named `entry-0`, `entry-1` and so on.
    pub instances: Vec<RelayedInstance>,
    /// Periods in which [`CHANGING_KEY`] was granted or withdrawn, in order. The last one has not ended.
    key_periods: Vec<KeyPeriod>,
    departures: Vec<Departure>,
    unexpected_ends: Vec<GuaranteeViolation>,
    program: PathBuf,
    folder: PathBuf,
    is_folder_kept: bool,
    version: u64,
}

impl SoakFleet {
    /// Starts the fleet and waits until every daemon is ready.
    pub async fn start(seed: u64, instances: usize, upstreams: usize) -> Result<Self, SoakError> {
        let name = format!("coltsfootkeel-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let store = StoreStandin::start().await?;
        let mut fleet = Self {
            store,
            upstreams: Vec::new(),
            instances: Vec::new(),
            key_periods: Vec::new(),
            departures: Vec::new(),
            unexpected_ends: Vec::new(),
            program: sibling_program("coltsfootkeel-entry")?,
            folder,
            is_folder_kept: false,
            version: 0,
        };
        fleet.write_config(true);
        for index in 0..upstreams {
            let upstream = SignedUpstream::start(&format!("u-{index}"), WORK_TIME).await?;
            let relay = FaultRelay::start(upstream.address()).await?;
            fleet.upstreams.push(RelayedUpstream {
                upstream,
                relay,
                state: None,
                ready_at: Vec::new(),
            });
            fleet.register(index, "ready");
        }
        for index in 0..instances {
            let store_relay = FaultRelay::start(fleet.store.address()).await?;
            let options = EntryOptions {
                is_revocation_strict: true,
                ..EntryOptions::on_loopback(index, store_relay.address())
            };
            fleet.instances.push(RelayedInstance {
                process: None,
                options,
                store_relay,
                started_at: Vec::new(),
                is_paused: false,
                end_signal: None,
            });
            fleet.start_instance(index)?;
        }
        for instance in &fleet.instances {
            if let Some(process) = &instance.process {
                process.wait_until_ready().await?;
            }
        }
        Ok(fleet)
    }

    /// Writes the next version of the configuration to the store, with or without [`CHANGING_KEY`].
    pub fn write_config(&mut self, is_granted: bool) {
        self.version += 1;
        self.put_config(is_granted);
        if self.key_periods.is_empty() || self.is_key_granted() != is_granted {
            let from = Instant::now();
            if let Some(previous) = self.key_periods.last_mut() {
                previous.to = Some(from);
            }
            self.key_periods.push(KeyPeriod {
                is_granted,
                from,
                to: None,
            });
        }
    }

    fn put_config(&self, is_granted: bool) {
        let keys: &[&str] = if is_granted {
            &[SHOP_KEY, CHANGING_KEY]
        } else {
            &[SHOP_KEY]
        };
        let config = shop_config(self.version, keys);
        self.store.put("config", "main", config, Value::Null);
    }

    /// Returns whether [`CHANGING_KEY`] is granted.
    #[must_use]
    pub fn is_key_granted(&self) -> bool {
        self.key_periods
            .last()
            .is_some_and(|period| period.is_granted)
    }

    /// Returns the periods in which [`CHANGING_KEY`] was granted or withdrawn.
    #[must_use]
    pub fn key_periods(&self) -> &[KeyPeriod] {
        &self.key_periods
    }

    /// Registers an upstream in the store with the address of its relay and the state `state`.
    pub fn register(&mut self, index: usize, state: &'static str) {
        let relayed = &mut self.upstreams[index];
        relayed.state = Some(state);
        if relayed.is_ready() {
            relayed.ready_at.push(Instant::now());
        }
        self.write_registration(index);
    }

    /// Removes the registration of an upstream.
    pub fn remove_upstream(&mut self, index: usize) {
        self.upstreams[index].state = None;
        self.write_registration(index);
    }

    fn write_registration(&self, index: usize) {
        let relayed = &self.upstreams[index];
        let id = relayed.upstream.id();
        match relayed.state {
            Some(state) => register_upstream(&self.store, id, relayed.relay.address(), state),
            None => self.store.remove("servers", id),
        }
    }

    /// Writes the latest version of the configuration and all registrations of upstreams again.
    pub fn write_again(&self) {
        self.put_config(self.is_key_granted());
        for index in 0..self.upstreams.len() {
            self.write_registration(index);
        }
    }

    /// Starts the daemon at `index`, which must not be running.
    pub fn start_instance(&mut self, index: usize) -> Result<(), SoakError> {
        let instance = &mut self.instances[index];
        let options = instance.options.clone();
        instance.started_at.push(Instant::now());
        let process = EntryInstance::start(&self.program, &self.folder, options)?;
        instance.process = Some(process);
        instance.options.is_first_start = false;
        instance.is_paused = false;
        instance.end_signal = None;
        Ok(())
    }

    /// Sends a signal to the daemon at `index`, if it is running.
    pub fn signal(&mut self, index: usize, signal: Signal) {
        let instance = &mut self.instances[index];
        let Some(process) = &instance.process else {
            return;
        };
        if let Ok(id) = i32::try_from(process.process_id()) {
            // The signal fails if the process has already ended.
            let _ = kill(Pid::from_raw(id), signal);
        }
        match signal {
            Signal::SIGKILL => instance.end_signal = Some(Signal::SIGKILL),
            Signal::SIGTERM => {
                instance.end_signal.get_or_insert(Signal::SIGTERM);
            }
            Signal::SIGSTOP => instance.is_paused = true,
            Signal::SIGCONT => instance.is_paused = false,
            _ => {}
        }
    }

    /// Restarts the daemons that have ended, and records those that ended although nothing asked them to. Returns
    /// whether any was restarted.
    pub fn restart_ended(&mut self) -> Result<bool, SoakError> {
        let mut is_restarted = false;
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            if let Some(process) = &mut instance.process {
                let Some(status) = process.exit_status()? else {
                    continue;
                };
                if !instance.is_expected_end(status) {
                    self.unexpected_ends
                        .push(GuaranteeViolation::EndedByItself {
                            instance: instance.options.name.clone(),
                            status: status.to_string(),
                        });
                }
            }
            self.start_instance(index)?;
            is_restarted = true;
        }
        Ok(is_restarted)
    }

    /// Returns the ends of daemons that nothing explains.
    #[must_use]
    pub fn unexpected_ends(&self) -> &[GuaranteeViolation] {
        &self.unexpected_ends
    }

    /// Returns the periods in which an upstream was registered as leaving.
    #[must_use]
    pub fn departures(&self) -> &[Departure] {
        &self.departures
    }

    /// Registers an upstream as leaving, or as ready again, and records the period.
    pub fn set_leaving(&mut self, index: usize, is_leaving: bool) {
        let id = self.upstreams[index].upstream.id().to_string();
        let open = self
            .departures
            .iter_mut()
            .find(|departure| departure.upstream == id && departure.to.is_none());
        match (open, is_leaving) {
            (Some(departure), false) => {
                departure.to = Some(Instant::now());
                self.register(index, "ready");
            }
            (None, true) => {
                self.register(index, "draining");
                self.departures.push(Departure {
                    upstream: id,
                    from: Instant::now(),
                    to: None,
                });
            }
            _ => {}
        }
    }

    /// Writes the settings file of a daemon anew, and tells it so.
    pub fn rewrite_settings(&mut self, index: usize) -> Result<(), SoakError> {
        let options = &self.instances[index].options;
        EntryInstance::write_settings(&self.folder, options)?;
        self.signal(index, Signal::SIGHUP);
        Ok(())
    }

    /// Removes all faults, registers the upstreams as ready and restarts the daemons that have ended.
    pub async fn clear_faults(&mut self) -> Result<(), SoakError> {
        self.store.set_mode(coltsfootkeel_standins::StoreMode::Up);
        for index in 0..self.instances.len() {
            self.signal(index, Signal::SIGCONT);
            self.instances[index].store_relay.set(RelayMode::PASS).await;
        }
        for index in 0..self.upstreams.len() {
            let relayed = &mut self.upstreams[index];
            let no_fault = coltsfootkeel_standins::UpstreamFault::None;
            relayed.upstream.set_fault(no_fault);
            relayed.relay.set(RelayMode::PASS).await;
            self.register(index, "ready");
        }
        let now = Instant::now();
        for departure in &mut self.departures {
            departure.to.get_or_insert(now);
        }
        self.restart_ended()?;
        Ok(())
    }

    /// Keeps the folder with the logs of the daemons when the fleet is dropped, and returns its path.
    pub fn keep_logs(&mut self) -> PathBuf {
        self.is_folder_kept = true;
        self.folder.clone()
    }

    /// Returns the addresses at which the daemons listen for callers.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let instances = self.instances.iter();
        instances
            .map(|instance| instance.options.addresses.entry)
            .collect()
    }
}

impl Drop for SoakFleet {
    fn drop(&mut self) {
        for index in 0..self.instances.len() {
            // A daemon stopped by SIGSTOP would keep the drop of its process waiting for its exit.
            self.signal(index, Signal::SIGCONT);
        }
        if !self.is_folder_kept {
            // Nothing reads the folder after the run, so a failure to remove it is harmless.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
