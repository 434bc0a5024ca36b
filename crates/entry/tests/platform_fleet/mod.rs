//! A fleet of entry processes on stand-ins of the platform.

pub mod endless_upstream;
pub mod raw_requests;

use std::path::{Path, PathBuf};
use std::time::Duration;

use coltsfootkeel_standins::{
    CallAnswer, CallError, CallRequest, EntryInstance, EntryOptions, SHOP_KEY, SignedUpstream,
    StoreStandin, UpstreamRun, call_once, register_upstream, shop_config,
};
use http::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

/// A running fleet. Dropping it ends its processes and removes its folder.
pub struct PlatformFleet {
    /// The stand-in for the store.
    pub store: StoreStandin,
    /// The stand-ins for the upstreams of the pool `orders`.
    pub upstreams: Vec<SignedUpstream>,
    /// The entry processes.
    pub instances: Vec<EntryInstance>,
    folder: PathBuf,
}

/// The size and behaviour of a fleet.
pub struct FleetSetup {
    /// The part of the folder's name that identifies the test.
    pub name: &'static str,
    /// The number of entry instances.
    pub instances: usize,
    /// The number of upstreams.
    pub upstreams: usize,
    /// How long an upstream takes for a request whose object it has cached.
    pub work: Duration,
    /// Whether the store states its era.
    pub states_eras: bool,
}

impl Default for FleetSetup {
    fn default() -> Self {
        Self {
            name: "fleet",
            instances: 1,
            upstreams: 1,
            work: Duration::from_millis(10),
            states_eras: false,
        }
    }
}

impl PlatformFleet {
    /// Starts a fleet and waits until every instance is ready.
    pub async fn start(setup: FleetSetup) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "coltsfootkeel-{}-{}",
            setup.name,
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let store = StoreStandin::start().await.unwrap();
        if setup.states_eras {
            store.state_eras();
        }
        store.put("config", "main", shop_config(1, &[SHOP_KEY]), Value::Null);
        let mut upstreams = Vec::new();
        for index in 0..setup.upstreams {
            let upstream = SignedUpstream::start(&format!("u-{index}"), setup.work).await;
            let upstream = upstream.unwrap();
            register_upstream(&store, upstream.id(), upstream.address(), "ready");
            upstreams.push(upstream);
        }
        let mut fleet = Self {
            store,
            upstreams,
            instances: Vec::new(),
            folder,
        };
        for index in 0..setup.instances {
            let store = fleet.store.address();
            let options = EntryOptions::on_loopback(index, store);
            fleet.start_instance(options);
        }
        for instance in &fleet.instances {
            instance.wait_until_ready().await.unwrap();
        }
        fleet
    }

    /// Returns the folder of the settings files and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts one more instance without waiting for it.
    pub fn start_instance(&mut self, options: EntryOptions) {
        let program = Path::new(env!("CARGO_BIN_EXE_coltsfootkeel-entry"));
        let instance = EntryInstance::start(program, &self.folder, options).unwrap();
        self.instances.push(instance);
    }

    /// Kills an instance and starts it again, without waiting for it.
    pub fn restart_instance(&mut self, instance: usize) {
        self.signal(instance, Signal::SIGKILL);
        let options = EntryOptions {
            is_first_start: false,
            ..self.instances[instance].options.clone()
        };
        let program = Path::new(env!("CARGO_BIN_EXE_coltsfootkeel-entry"));
        self.instances[instance] = EntryInstance::start(program, &self.folder, options).unwrap();
    }

    /// Writes a plan with this version and these access keys to the store.
    pub fn write_plan(&self, version: u64, keys: &[&str]) {
        self.store
            .put("config", "main", shop_config(version, keys), Value::Null);
    }

    /// Sends a request to an instance and returns the response.
    pub async fn call(
        &self,
        instance: usize,
        request: &CallRequest,
    ) -> Result<CallAnswer, CallError> {
        call_once(self.instances[instance].options.addresses.entry, request).await
    }

    /// Sends a signal to the process of an instance.
    pub fn signal(&self, instance: usize, signal: Signal) {
        let id = i32::try_from(self.instances[instance].process_id()).unwrap();
        kill(Pid::from_raw(id), signal).unwrap();
    }

    /// Returns the addresses that an instance returns for a look-up.
    pub async fn look_up(&self, instance: usize) -> Vec<String> {
        let request = CallRequest::new(
            Method::GET,
            "/-/resolve?name=shop.example&region=a&zone=a-1",
        );
        let address = self.instances[instance].options.addresses.lookup;
        let answer = call_once(address, &request).await.unwrap();
        let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        let texts = addresses.iter().filter_map(Value::as_str);
        texts.map(str::to_string).collect()
    }

    /// Returns the state dump of an instance.
    pub async fn state(&self, instance: usize) -> Value {
        let address = self.instances[instance].options.addresses.metrics;
        let request = CallRequest::new(Method::GET, "/state");
        let answer = call_once(address, &request).await.unwrap();
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Returns the metrics of an instance.
    pub async fn metrics(&self, instance: usize) -> String {
        let address = self.instances[instance].options.addresses.metrics;
        let request = CallRequest::new(Method::GET, "/metrics");
        let answer = call_once(address, &request).await.unwrap();
        String::from_utf8(answer.body.to_vec()).unwrap()
    }

    /// Returns the largest resident memory that the process of an instance has had, in kB.
    pub fn peak_memory_kb(&self, instance: usize) -> u64 {
        let status = format!("/proc/{}/status", self.instances[instance].process_id());
        let status = std::fs::read_to_string(status).unwrap();
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Returns the requests that all upstreams have run.
    pub fn runs(&self) -> Vec<UpstreamRun> {
        let upstreams = self.upstreams.iter();
        upstreams.flat_map(SignedUpstream::runs).collect()
    }
}

impl Drop for PlatformFleet {
    fn drop(&mut self) {
        // Best effort: nothing reads the folder any more.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
