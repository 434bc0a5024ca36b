//! A small fleet as the platform runs it: the store, upstreams that register there, and entry daemons as processes.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::{Value, json};

use crate::child_process::ChildProcess;
use crate::free_ports::free_port;
use crate::http_call::{CallRequest, call_once};
use crate::store_standin::StoreStandin;

/// The time an instance has to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// The host of all routes of [`shop_config`].
pub const SHOP_HOST: &str = "shop.example";
/// The usual key of its account.
pub const SHOP_KEY: &str = "hotel-key";
/// The pause between two looks.
const READY_POLL: Duration = Duration::from_millis(20);

/// The addresses of one instance.
#[derive(Debug, Clone, Copy)]
pub struct EntryAddresses {
    /// For requests of callers.
    pub entry: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For look-ups.
    pub lookup: SocketAddr,
    /// For messages of other instances.
    pub peer: SocketAddr,
    /// For metrics and the state dump.
    pub metrics: SocketAddr,
}

/// What differs between the instances of a fleet.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The name.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The addresses.
    pub addresses: EntryAddresses,
    /// The store, or a relay in front of it.
    pub store: SocketAddr,
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
        }
    }
}

/// A running instance.
#[derive(Debug)]
pub struct EntryInstance {
    /// How it was started.
    pub options: EntryOptions,
    process: ChildProcess,
}

impl EntryInstance {
    /// Starts an instance. Its settings file and its log, named like the instance, lie in `folder`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the program cannot be started.
    pub fn start(program: &Path, folder: &Path, options: EntryOptions) -> io::Result<Self> {
        let file = settings_file(folder, &options.name);
        std::fs::write(&file, settings(&options).to_string())?;
        let arguments = [Path::new("--settings").to_path_buf(), file];
        let log = folder.join(format!("{}.log", options.name));
        let process = ChildProcess::start_logged(&options.name, program, arguments, &log)?;
        Ok(Self { options, process })
    }

    /// Returns the id of its process.
    #[must_use]
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Tells whether its process has ended.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if its state cannot be read.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.process.exit_status()?.is_some())
    }

    /// Waits until it takes requests.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not in time.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let request = CallRequest::new(http::Method::GET, "/-/readyz");
        let until = tokio::time::Instant::now() + READY_LIMIT;
        while tokio::time::Instant::now() < until {
            let asked = call_once(self.options.addresses.ready, &request).await;
            if asked.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL).await;
        }
        let text = format!("{} is not ready", self.options.name);
        Err(io::Error::new(io::ErrorKind::TimedOut, text))
    }
}

fn settings_file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.json"))
}

/// Returns the settings as the platform writes them.
fn settings(options: &EntryOptions) -> Value {
    let addresses = options.addresses;
    let host = |address: SocketAddr| -> IpAddr { address.ip() };
    let bounds = [
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
        "bootstrap": true,
        "limits": {"max_fds": 2_000},
        "platform": {"address": options.store},
        "bounds": bounds,
    })
}

/// Registers an upstream of the pool `orders` in the store, as it does itself. `address` may be that of a relay.
pub fn register_upstream(store: &StoreStandin, id: &str, address: SocketAddr, state: &str) {
    let spec = json!({
        "address": address,
        "info": {"service": "orders", "version": "v1", "zone": "a-1", "slots": 9},
        "born": 1_700_000_000_000_u64,
    });
    let status = json!({"state": state, "seq": 1, "cold_remaining": "0ms"});
    store.put("servers", id, spec, status);
}

/// Returns a configuration as operators write it, with the keys of the account `hotel`.
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

/// Returns a request with an attempt id, a key and three seconds of time. Each concerns an object of its own.
#[must_use]
pub fn shop_request(method: http::Method, path: &str, attempt_id: &str, key: &str) -> CallRequest {
    CallRequest::new(method, path)
        .header("host", SHOP_HOST)
        .header("coltsfootkeel-attempt-id", attempt_id)
        .header("coltsfootkeel-request-deadline", "3000")
        .header("coltsfootkeel-affinity-key", attempt_id)
        .header("authorization", &format!("Token {key}"))
}
