//! Parts of a small fleet on the platform: entry daemons as child processes, registrations of upstreams in the store,
//! and an example configuration with matching requests.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use crate::child_process::ChildProcess;
use crate::free_ports::free_port;
use crate::http_call::{CallRequest, call_once};
use crate::store_standin::StoreStandin;

/// Time within which an instance must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Host of all routes of [`shop_config`].
pub const SHOP_HOST: &str = "shop.example";
/// Access key of the account `hotel` that most tests pass to [`shop_config`].
pub const SHOP_KEY: &str = "hotel-key";
/// Memory limit of an instance in its settings, in megabytes.
pub const INSTANCE_MEMORY_MB: u64 = 260;
/// Number of the next registration of an upstream.
static NEXT_REPORT: AtomicU64 = AtomicU64::new(1);
/// Time between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Listener addresses of one entry instance.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// Listener for requests of callers.
    pub entry: SocketAddr,
    /// Listener for readiness checks.
    pub ready: SocketAddr,
    /// Listener for look-ups.
    pub lookup: SocketAddr,
    /// Listener for messages of other instances.
    pub peer: SocketAddr,
    /// Listener for metrics and the state dump.
    pub metrics: SocketAddr,
}

/// Settings that differ between the instances of a fleet.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the instance, also used for its settings file and its log.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Listener addresses of the instance.
    pub addresses: EntryAddresses,
    /// Address of the store, or of a relay in front of it.
    pub store: SocketAddr,
    /// Whether withdrawn keys must stop working in time also while the store is down for all.
    pub is_revocation_strict: bool,
    /// Whether all instances of the fleet start for the first time.
    pub is_first_start: bool,
}

impl EntryOptions {
    /// Returns the options of the instance `entry-<index>` on free ports of the loopback address.
    #[must_use]
    pub fn on_loopback(index: usize, store: SocketAddr) -> Self {
        Self {
            name: format!("entry-{index}"),
            domain: "a-1".to_string(),
            addresses: EntryAddresses {
                entry: free_port(),
                ready: free_port(),
                lookup: free_port(),
                peer: free_port(),
                metrics: free_port(),
            },
            store,
            is_revocation_strict: false,
            is_first_start: true,
        }
    }
}

/// An entry daemon that runs as a child process, which is killed on drop.
#[derive(Debug)]
pub struct EntryInstance {
    /// Options that the instance was started with.
    pub options: EntryOptions,
    process: ChildProcess,
}

impl EntryInstance {
    /// Starts an instance and writes its settings file and its log to `folder`, named after the instance.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if a file cannot be written or the program cannot be started.
    pub fn start(program: &Path, folder: &Path, options: EntryOptions) -> io::Result<Self> {
        Self::write_settings(folder, &options)?;
        let file = settings_file(folder, &options.name);
        let arguments = [Path::new("--settings").to_path_buf(), file];
        let log = folder.join(format!("{}.log", options.name));
        let process = ChildProcess::start_logged(&options.name, program, arguments, &log)?;
        Ok(Self { options, process })
    }

    /// Writes the settings file of an instance, which may be running.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the file cannot be written.
    pub fn write_settings(folder: &Path, options: &EntryOptions) -> io::Result<()> {
        let file = settings_file(folder, &options.name);
        std::fs::write(&file, settings(options).to_string())
    }

    /// Returns the process id of the instance.
    #[must_use]
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Returns whether the process of the instance has ended.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the state of the process cannot be read.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.process.exit_status()?.is_some())
    }

    /// Returns the exit status of the process; `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the state of the process cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.process.exit_status()
    }

    /// Waits until the readiness check of the instance returns 200.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `TimedOut` if the instance is not ready within 10 s.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let request = CallRequest::new(http::Method::GET, "/-/readyz");
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let result = call_once(self.options.addresses.ready, &request).await;
            if result.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        let message = format!("{} is not ready after {READY_TIMEOUT:?}", self.options.name);
        Err(io::Error::new(io::ErrorKind::TimedOut, message))
    }
}

fn settings_file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.json"))
}

/// Returns the settings of an instance in the format that the platform writes.
fn settings(options: &EntryOptions) -> Value {
    let addresses = options.addresses;
    let host = |address: SocketAddr| -> IpAddr { address.ip() };
    let strict_revoke = format!("strict_revoke={}", options.is_revocation_strict);
    let bounds = [
        &strict_revoke,
        "grace=6s",
        "revoke=5s",
        "retry_budget_ratio=0.2",
        "budget_slack=60",
        "quota_window=5s",
        "quota_tolerance=0.1",
        "quota_slack=20",
    ];
    json!({
        "node": options.name,
        "ip": host(addresses.entry),
        "zone": options.domain,
        "zones": {"a-1": "a", "a-2": "a", "b-1": "b"},
        "listen": {
            "front": addresses.entry, "ready": addresses.ready, "directory": addresses.lookup,
        },
        "internal_port_range": [addresses.peer.port(), addresses.metrics.port()],
        "bootstrap": options.is_first_start,
        "limits": {"max_fds": 2_000, "memory_mb": INSTANCE_MEMORY_MB},
        "platform": {"address": options.store},
        "bounds": bounds,
    })
}

/// Writes the registration of an upstream of the pool `orders` to the store, as the upstream itself does on the
/// platform, with a higher number than all before. `address` may be that of a relay, and `state` is a state of the platform such as `ready`.
pub fn register_upstream(store: &StoreStandin, id: &str, address: SocketAddr, state: &str) {
    let spec = json!({
        "address": address,
        "info": {"service": "orders", "version": "v1", "zone": "a-1", "slots": 9},
        "born": 1_700_000_000_000_u64,
    });
    let sequence = NEXT_REPORT.fetch_add(1, Ordering::Relaxed);
    let status = json!({"state": state, "seq": sequence, "cold_remaining": "0ms"});
    store.put("servers", id, spec, status);
}

/// Returns a configuration in the format that operators write, in which the account `hotel` has the access keys `keys`.
#[must_use]
pub fn shop_config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, public: bool| {
        json!({
            "name": name, "host": SHOP_HOST, "path_prefix": prefix, "kind": kind,
            "timeout": "2s", "slo_latency": "500ms", "priority": 1, "service": "orders",
            "max_attempts": 2, "public": public, "sticky": true, "allowed_regions": [],
        })
    };
    json!({
        "version": format!("{version:08x}"),
        "routes": [
            route("previews", "/previews/", "idempotent", false),
            route("orders", "/orders/", "non_idempotent", false),
            route("open", "/open/", "idempotent", true),
        ],
        "services": [{
            "name": "orders", "health_check": "/healthz", "max_conns": 100,
            "cold_start": "3s", "cold_per_s": 5.0,
        }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 1_000_000,
            "header_timeout": "3000ms", "idle_timeout": "15s",
        },
        "tenants": [{
            "name": "hotel", "api_keys": keys, "priority": 1,
            "rate_per_s": 200, "burst": 200, "allowed_regions": [],
        }],
    })
}

/// Returns a request with an attempt id, an access key and a deadline of 3 s. The affinity key is the attempt id, so
/// each attempt concerns a different object.
#[must_use]
pub fn shop_request(method: http::Method, path: &str, attempt_id: &str, key: &str) -> CallRequest {
    CallRequest::new(method, path)
        .header("host", SHOP_HOST)
        .header("coltsfootkeel-attempt-id", attempt_id)
        .header("coltsfootkeel-request-deadline", "3000")
        .header("coltsfootkeel-affinity-key", attempt_id)
        .header("authorization", &format!("Token {key}"))
}
