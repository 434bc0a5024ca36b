//! The checked settings.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_model::{AccessDigest, FindingList, Located};

use crate::raw_settings::{RawListener, RawOperator, RawSettings};

const MIN_TOKEN_LENGTH: usize = 12;

/// The settings of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// The name of the instance.
    pub instance: String,
    /// The failure domain it runs in.
    pub failure_domain: String,
    /// The number of request threads.
    pub threads: usize,
    /// The listener for callers.
    pub entry: EntrySettings,
    /// The listener for peers.
    pub peer: PeerSettings,
    /// The listener for operators.
    pub admin: AdminSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Log lines.
    pub log: LogSettings,
    /// Where metrics go, if anywhere.
    pub statsd: Option<SocketAddr>,
}

/// The listener for callers.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address callers use.
    pub advertise: SocketAddr,
    /// The most bytes a request body may have.
    pub max_body_bytes: u64,
    /// The most connections of callers.
    pub max_connections: usize,
    /// The time a caller has to send the head of a request.
    pub header_timeout: Duration,
}

/// The listener for peers.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address peers use.
    pub advertise: SocketAddr,
    /// The digest of the token all daemons of the fleet share.
    pub token_digest: AccessDigest,
    /// Peer addresses to ask while the platform is not reached.
    pub neighbours: Vec<SocketAddr>,
}

/// The listener for operators.
#[derive(Debug, Clone)]
pub struct AdminSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The operators who may change the configuration.
    pub operators: Vec<OperatorSettings>,
}

/// An operator who may use the administration API.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// The name, which the audit record shows.
    pub name: String,
    /// The digest of the operator's token.
    pub token_digest: AccessDigest,
    /// The departments the operator may change; empty for all.
    pub departments: Vec<String>,
}

/// The platform's object API.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address.
    pub address: SocketAddr,
    /// The region it stands in.
    pub region: String,
    /// The time a call may take.
    pub timeout: Duration,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Text,
    /// One JSON object a line.
    Json,
}

/// Log lines.
#[derive(Debug, Clone, Copy)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: log::LevelFilter,
    /// The format.
    pub format: LogFormat,
}

impl DaemonSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file with their places.
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

/// Where a listener listens and where others reach it.
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
    /// Checks every field before the first `?`, so that all faults are reported together.
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
        self.listeners();
        self.token(&raw.peer_token);
        let entry = entry?;
        let peer = peer?;
        Some(DaemonSettings {
            instance: raw.instance.value.clone(),
            failure_domain: raw.failure_domain.value.clone(),
            threads: whole(raw.threads.value),
            entry: EntrySettings {
                listen: entry.listen,
                advertise: entry.advertise,
                max_body_bytes: raw.max_body_bytes.value,
                max_connections: whole(raw.max_connections.value),
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

    /// Checks that no two listeners have one address. Port 0 stands for any free port.
    fn listeners(&self) {
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
            self.report_text(text, field, expected);
        }
        address.ok()
    }

    fn operator(&self, raw: &RawOperator) -> Option<OperatorSettings> {
        let digest = AccessDigest::from_hex(&raw.token_sha256.value);
        if digest.is_none() {
            let field = "admin.operators.token_sha256";
            self.report_text(&raw.token_sha256, field, "expected 64 hexadecimal digits");
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

    fn token(&self, token: &Located<String>) {
        if token.value.len() < MIN_TOKEN_LENGTH {
            let expected = format!("expected a token of at least {MIN_TOKEN_LENGTH} characters");
            self.report_text(token, "peer.token", &expected);
        }
    }

    /// Reports a fault of a text. The reader has already reported an empty one.
    fn report_text(&self, text: &Located<String>, field: &str, expected: &str) {
        if !text.value.is_empty() {
            self.report(text, field, expected);
        }
    }

    fn report(&self, text: &Located<String>, field: &str, expected: &str) {
        self.raw.findings.report(text.location, field, expected);
    }
}

fn whole(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
