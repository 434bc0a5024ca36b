//! Fleet for tests of the administration API: a platform stand-in in the test process, and daemons in child processes.
#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod write_relay;

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use coltsfootkeel_standins::{
    CallAnswer, CallRequest, ChildProcess, call_once, commit_fleet, serve_platform,
};
use http::Method;
use serde_json::Value;
use tokio::net::TcpListener;
use write_relay::WriteRelay;

/// The token of an operator who may change everything.
pub const FULL_TOKEN: &str = "full-operator-token";

/// The token of an operator who may change the department `printing`.
pub const TEAM_TOKEN: &str = "printing-team-token";

/// The maximum number of polls before a test fails.
const MAX_POLLS: usize = 300;

/// The time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The number of ports of a daemon: those of its entry, peer and administration listeners.
const PORTS_PER_DAEMON: u16 = 3;

/// A running fleet. Dropping it stops its daemons.
#[derive(Debug)]
pub struct AdminFleet {
    pub platform: SocketAddr,
    /// The relay between the daemons and the platform; `None` if the daemons connect to the platform directly.
    pub relay: Option<WriteRelay>,
    pub folder: PathBuf,
    pub document: String,
    daemons: Vec<ChildProcess>,
    first_port: u16,
}

/// A call of an operator.
#[derive(Debug, Clone)]
pub struct OperatorCall<'a> {
    pub token: Option<&'a str>,
    pub method: Method,
    pub path: &'a str,
    pub headers: Vec<(&'a str, &'a str)>,
    pub body: &'a str,
}

impl<'a> OperatorCall<'a> {
    pub fn new(method: Method, path: &'a str, body: &'a str) -> Self {
        Self {
            token: Some(FULL_TOKEN),
            method,
            path,
            headers: Vec::new(),
            body,
        }
    }

    pub fn header(mut self, name: &'a str, value: &'a str) -> Self {
        self.headers.push((name, value));
        self
    }
}

impl AdminFleet {
    /// Starts `count` daemons on the ports from `first_port`, and waits until all run generation 1.
    pub async fn start(program: &Path, folder: &Path, count: u16, first_port: u16) -> Self {
        Self::launch(program, folder, count, first_port, false).await
    }

    /// Starts one daemon that connects to the platform through a [`WriteRelay`].
    pub async fn start_behind_relay(program: &Path, folder: &Path, first_port: u16) -> Self {
        Self::launch(program, folder, 1, first_port, true).await
    }

    async fn launch(
        program: &Path,
        folder: &Path,
        count: u16,
        first_port: u16,
        uses_relay: bool,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let platform = listener.local_addr().unwrap();
        tokio::spawn(serve_platform(listener, 0));
        let folder = folder.join(format!("admin-fleet-{first_port}"));
        std::fs::create_dir_all(&folder).unwrap();
        let mut fleet = Self {
            platform,
            relay: None,
            document: fleet_document(count),
            folder,
            daemons: Vec::new(),
            first_port,
        };
        let file = fleet.write("fleet.yaml", &fleet.document);
        commit_fleet(platform, &file).await.unwrap();
        if uses_relay {
            fleet.relay = Some(WriteRelay::start(platform).await);
        }
        for index in 0..count {
            let text = fleet.settings(index, count);
            let settings = fleet.write(&format!("daemon-{index}.yaml"), &text);
            let arguments = ["--settings".into(), settings.into_os_string()];
            let daemon = ChildProcess::start("daemon", program, arguments).unwrap();
            fleet.daemons.push(daemon);
        }
        for index in 0..count {
            fleet.wait_until_in_force(index, 1, count).await;
        }
        fleet
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    pub fn entry(&self, index: u16) -> SocketAddr {
        self.address(index, 0)
    }

    pub fn admin(&self, index: u16) -> SocketAddr {
        self.address(index, 2)
    }

    /// Calls the administration API of the first daemon.
    pub async fn call(&self, call: &OperatorCall<'_>) -> (u16, Value) {
        let answer = self.call_raw(call).await;
        let body = serde_json::from_slice(&answer.body).unwrap_or_default();
        (answer.status, body)
    }

    pub async fn call_raw(&self, call: &OperatorCall<'_>) -> CallAnswer {
        let mut request = CallRequest::new(call.method.clone(), call.path);
        if let Some(token) = call.token {
            request = request.header("Authorization", &format!("Bearer {token}"));
        }
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        let request = request.body(call.body.to_string());
        call_once(self.admin(0), &request).await.unwrap()
    }

    pub async fn get(&self, path: &str) -> Value {
        let (status, body) = self.call(&OperatorCall::new(Method::GET, path, "")).await;
        assert_eq!(status, 200, "{path}: {body}");
        body
    }

    pub async fn generation(&self) -> u64 {
        self.get("/v1/config").await["generation"].as_u64().unwrap()
    }

    pub async fn set_faults(&self, faults: &'static str) {
        let request = CallRequest::new(Method::PUT, "/v1/standin/faults").body(faults);
        let answer = call_once(self.platform, &request).await.unwrap();
        assert!(answer.status < 300, "{faults}");
    }

    /// Waits until a daemon reports that `generation` is in force on `count` of `count` instances.
    ///
    /// # Panics
    ///
    /// Panics after [`MAX_POLLS`] polls.
    pub async fn wait_until_in_force(&self, index: u16, generation: u64, count: u16) {
        let path = format!("/v1/generations/{generation}");
        let request = CallRequest::new(Method::GET, &path)
            .header("Authorization", &format!("Bearer {FULL_TOKEN}"));
        let mut last_body = String::new();
        for _ in 0..MAX_POLLS {
            if let Ok(answer) = call_once(self.admin(index), &request).await {
                last_body = String::from_utf8_lossy(&answer.body).into_owned();
                let body: Value = serde_json::from_str(&last_body).unwrap_or_default();
                if body["in_force"] == count && body["known"] == count {
                    return;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("generation {generation} is not in force on {count} instances: {last_body}");
    }

    fn address(&self, index: u16, listener: u16) -> SocketAddr {
        let port = self.first_port + PORTS_PER_DAEMON * index + listener;
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn settings(&self, index: u16, count: u16) -> String {
        let neighbours: Vec<String> = (0..count)
            .filter(|other| *other != index)
            .map(|other| format!("\"{}\"", self.address(other, 1)))
            .collect();
        format!(
            "instance: penang-{index}\n\
             failure_domain: penang-a\n\
             threads: 2\n\
             entry: {{listen: \"{}\"}}\n\
             peer: {{listen: \"{}\", token: admin-tests-token}}\n\
             admin:\n  listen: \"{}\"\n  operators:\n\
             \x20   - {{name: full, token_sha256: \"{}\"}}\n\
             \x20   - {{name: team, token_sha256: \"{}\", departments: [printing]}}\n\
             platform: {{address: \"{}\", region: penang, timeout_ms: 1000}}\n\
             neighbours: [{}]\n\
             log: {{level: warn, format: text}}\n",
            self.address(index, 0),
            self.address(index, 1),
            self.address(index, 2),
            digest_of(FULL_TOKEN),
            digest_of(TEAM_TOKEN),
            self.relay
                .as_ref()
                .map_or(self.platform, |relay| relay.address),
            neighbours.join(", "),
        )
    }
}

/// Returns the digest of a token or an access key, as settings and documents contain it.
pub fn digest_of(token: &str) -> String {
    coltsfootkeel_model::AccessDigest::of_key(token).to_string()
}

fn fleet_document(count: u16) -> String {
    let mut text = String::from(
        "regions:\n  - {name: penang, failure_domains: [penang-a]}\n  - {name: johor, failure_domains: [johor-a]}\nseats:\n",
    );
    for index in 0..count {
        let _ = writeln!(
            text,
            "  - {{name: penang-{index}, failure_domain: penang-a}}"
        );
    }
    text.push_str(
        "departments:\n  - {name: ordering}\n  - {name: printing}\n\
         client_accounts:\n\
         \x20 - {name: hotels, department: ordering, rate_per_s: 70, burst: 35}\n\
         \x20 - {name: printers, department: printing, rate_per_s: 7, burst: 5}\n\
         pools:\n\
         \x20 - {name: desk, upstreams: [{name: od-1, address: \"127.0.0.1:1\", failure_domain: penang-a, slots: 9}]}\n\
         routes:\n\
         \x20 - {name: orders, department: ordering, path_prefix: /orders, pool: desk, deadline_ms: 500}\n\
         \x20 - {name: proofs, department: printing, path_prefix: /proofs, pool: desk, deadline_ms: 500}\n\
         shifts:\n\
         \x20 - {name: orders-out, route: orders, from: penang, to: johor, cap: {share_percent: 10}}\n\
         \x20 - {name: proofs-out, route: proofs, from: penang, to: johor, cap: {share_percent: 10}}\n",
    );
    text
}
