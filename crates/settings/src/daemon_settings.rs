//! The validated settings of a daemon.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_model::{AccessDigest, FindingList, Located};

use crate::raw_settings::{RawListener, RawOperator, RawSettings};

const MIN_TOKEN_BYTES: usize = 12;

/// The settings of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// The name that identifies the instance in the fleet.
    pub instance: String,
    /// The name of the failure domain that the instance runs in.
    pub failure_domain: String,
    /// The number of threads that serve requests.
    pub threads: usize,
    /// The listener for callers.
    pub entry: EntrySettings,
    /// The listener for peers.
    pub peer: PeerSettings,
    /// The administration API for operators.
    pub admin: AdminSettings,
    /// Calls to the platform's object API.
    pub platform: PlatformSettings,
    /// The log.
    pub log: LogSettings,
    /// The address of the statsd server that receives metrics; `None` if metrics are not sent.
    pub statsd: Option<SocketAddr>,
}

/// The settings of the listener for callers.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The address and port to listen on.
    pub listen: SocketAddr,
    /// The address and port that callers connect to; the same as `listen` if the file does not set it.
    pub advertise: SocketAddr,
    /// The largest accepted request body, in bytes.
    pub max_body_bytes: u64,
    /// The largest number of open connections from callers.
    pub max_connections: usize,
    /// The time within which a caller has to send the head of a request.
    pub header_timeout: Duration,
}

/// The settings of the listener for peers, the other daemons of the fleet.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// The address and port to listen on.
    pub listen: SocketAddr,
    /// The address and port that peers connect to; the same as `listen` if the file does not set it.
    pub advertise: SocketAddr,
    /// The SHA-256 digest of the token that all daemons of the fleet have in common.
    pub token_digest: AccessDigest,
    /// The addresses of peers to contact while the platform is unreachable.
    pub neighbours: Vec<SocketAddr>,
}

/// The settings of the administration API.
#[derive(Debug, Clone)]
pub struct AdminSettings {
    /// The address and port to listen on.
    pub listen: SocketAddr,
    /// The operators who may change the configuration.
    pub operators: Vec<OperatorSettings>,
}

/// An operator who may use the administration API.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// The operator's name, which the audit record of a change contains.
    pub name: String,
    /// The SHA-256 digest of the operator's token.
    pub token_digest: AccessDigest,
    /// The names of the departments that the operator may change; empty for all.
    pub departments: Vec<String>,
}

/// The settings of calls to the platform's object API.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address and port of the API.
    pub address: SocketAddr,
    /// The name of the region that the platform runs in.
    pub region: String,
    /// The time after which a call fails.
    pub timeout: Duration,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text for each event.
    Text,
    /// One JSON object for each event, on a line of its own.
    Json,
}

/// The settings of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: log::LevelFilter,
    /// The format of log lines.
    pub format: LogFormat,
}

impl DaemonSettings {
    /// Parses and validates the text of a settings file. `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file with their source locations.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        Self::try_from(RawSettings::read(file, text))
    }
}

impl TryFrom<RawSettings> for DaemonSettings {
    type Error = FindingList;

    fn try_from(raw: RawSettings) -> Result<Self, FindingList> {
        let check = SettingsCheck { raw: &raw };
        let settings = check.run();
        match settings {
            Some(settings) if raw.findings.is_empty() => Ok(settings),
            _ => Err(raw.findings),
        }
    }
}

/// The address that a listener binds to and the address that others connect to.
#[derive(Debug)]
struct ListenerAddresses {
    listen: SocketAddr,
    advertise: SocketAddr,
}

#[derive(Debug)]
struct SettingsCheck<'a> {
    raw: &'a RawSettings,
}

impl SettingsCheck<'_> {
    /// Validates the settings. Every field is checked before the first `?`, so that all faults are reported together.
    fn run(&self) -> Option<DaemonSettings> {
        let raw = self.raw;
        let entry = self.listener("entry", &raw.entry);
        let peer = self.listener("peer", &raw.peer);
        let admin = self.listener("admin", &raw.admin);
        let platform = self.address("platform.address", &raw.platform_address);
        let statsd = raw
            .statsd
            .as_ref()
            .and_then(|text| self.address("metrics.statsd", text));
        let neighbours = raw
            .neighbours
            .iter()
            .filter_map(|text| self.address("neighbours", text));
        let neighbours = neighbours.collect();
        let operators = self.operators();
        self.check_distinct_listeners();
        self.check_token(&raw.peer_token);
        let entry = entry?;
        let peer = peer?;
        Some(DaemonSettings {
            instance: raw.instance.value.clone(),
            failure_domain: raw.failure_domain.value.clone(),
            threads: saturating_usize(raw.threads.value),
            entry: EntrySettings {
                listen: entry.listen,
                advertise: entry.advertise,
                max_body_bytes: raw.max_body_bytes.value,
                max_connections: saturating_usize(raw.max_connections.value),
                header_timeout: Duration::from_millis(raw.header_timeout_ms.value),
            },
            peer: PeerSettings {
                listen: peer.listen,
                advertise: peer.advertise,
                token_digest: AccessDigest::of_key(&raw.peer_token.value),
                neighbours,
            },
            admin: AdminSettings {
                listen: admin?.listen,
                operators,
            },
            platform: PlatformSettings {
                address: platform?,
                region: raw.platform_region.value.clone(),
                timeout: Duration::from_millis(raw.platform_timeout_ms.value),
            },
            log: LogSettings {
                level: raw.log_level.value,
                format: raw.log_format.value,
            },
            statsd,
        })
    }

    fn listener(&self, field: &str, raw: &RawListener) -> Option<ListenerAddresses> {
        let listen_field = format!("{field}.listen");
        let listen = self.address(&listen_field, &raw.listen);
        let (advertise, location, field) = match &raw.advertise {
            Some(text) => {
                let field = format!("{field}.advertise");
                (self.address(&field, text), text, field)
            }
            None => (listen, &raw.listen, listen_field),
        };
        if let Some(address) = advertise
            && address.ip().is_unspecified()
        {
            let expected = "expected an address that others can use; set 'advertise'";
            self.report(location, &field, expected);
        }
        Some(ListenerAddresses {
            listen: listen?,
            advertise: advertise?,
        })
    }

    /// Reports listeners with the same address. Port 0 is exempt, because it selects any free port.
    fn check_distinct_listeners(&self) {
        let raw = self.raw;
        let sections = [
            ("entry.listen", &raw.entry.listen),
            ("peer.listen", &raw.peer.listen),
            ("admin.listen", &raw.admin.listen),
        ];
        let mut addresses = HashSet::new();
        for (field, text) in sections {
            let Ok(address) = text.value.parse::<SocketAddr>() else {
                continue;
            };
            if address.port() != 0 && !addresses.insert(address) {
                let expected = "expected an address that no other listener has";
                self.report(text, field, expected);
            }
        }
    }

    fn operators(&self) -> Vec<OperatorSettings> {
        let mut tokens = HashSet::new();
        let mut operators = Vec::new();
        for raw in &self.raw.operators {
            let Some(operator) = self.operator(raw) else {
                continue;
            };
            if !tokens.insert(operator.token_digest) {
                let field = "admin.operators.token_sha256";
                let expected = "expected a token that no other operator has";
                self.report(&raw.token_sha256, field, expected);
            }
            operators.push(operator);
        }
        operators
    }

    fn address(&self, field: &str, text: &Located<String>) -> Option<SocketAddr> {
        let address = text.value.parse();
        if address.is_err() {
            let expected = "expected an IP address and port such as 10.0.0.7:7001";
            self.report_non_empty(text, field, expected);
        }
        address.ok()
    }

    fn operator(&self, raw: &RawOperator) -> Option<OperatorSettings> {
        let digest = AccessDigest::from_hex(&raw.token_sha256.value);
        if digest.is_none() {
            let field = "admin.operators.token_sha256";
            self.report_non_empty(&raw.token_sha256, field, "expected 64 hexadecimal digits");
        }
        Some(OperatorSettings {
            name: raw.name.value.clone(),
            token_digest: digest?,
            departments: raw
                .departments
                .iter()
                .map(|name| name.value.clone())
                .collect(),
        })
    }

    fn check_token(&self, token: &Located<String>) {
        if token.value.len() < MIN_TOKEN_BYTES {
            let expected = format!("expected a token of at least {MIN_TOKEN_BYTES} characters");
            self.report_non_empty(token, "peer.token", &expected);
        }
    }

    /// Reports a fault of a string. An empty string was already reported by the reader and is skipped.
    fn report_non_empty(&self, text: &Located<String>, field: &str, expected: &str) {
        if !text.value.is_empty() {
            self.report(text, field, expected);
        }
    }

    fn report(&self, text: &Located<String>, field: &str, expected: &str) {
        self.raw.findings.report(text.location, field, expected);
    }
}

fn saturating_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
