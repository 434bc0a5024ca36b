//! The settings file before validation: defaults are filled in, addresses and digests are still strings.

use coltsfootkeel_model::{DocumentReader, FindingList, Located, MappingReader};

use crate::daemon_settings::LogFormat;

const DEFAULT_THREADS: u64 = 4;
const MAX_THREADS: u64 = 256;
const DEFAULT_MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024 * 1024;
const DEFAULT_MAX_CONNECTIONS: u64 = 10_000;
const MAX_CONNECTIONS: u64 = 1_000_000;
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 10_000;
const MAX_HEADER_TIMEOUT_MS: u64 = 120_000;
const DEFAULT_PLATFORM_TIMEOUT_MS: u64 = 2_000;
const MAX_PLATFORM_TIMEOUT_MS: u64 = 60_000;

const LOG_LEVELS: [(&str, log::LevelFilter); 5] = [
    ("error", log::LevelFilter::Error),
    ("warn", log::LevelFilter::Warn),
    ("info", log::LevelFilter::Info),
    ("debug", log::LevelFilter::Debug),
    ("trace", log::LevelFilter::Trace),
];
const LOG_FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];

/// A whole settings file. Numbers are within their bounds; strings are not yet validated.
#[derive(Debug)]
pub struct RawSettings {
    /// The name that identifies the instance in the fleet.
    pub instance: Located<String>,
    /// The name of the failure domain that the instance runs in.
    pub failure_domain: Located<String>,
    /// The number of threads that serve requests.
    pub threads: Located<u64>,
    /// The listener for callers.
    pub entry: RawListener,
    /// The largest accepted request body, in bytes.
    pub max_body_bytes: Located<u64>,
    /// The largest number of open connections from callers.
    pub max_connections: Located<u64>,
    /// The time within which a caller has to send the head of a request, in milliseconds.
    pub header_timeout_ms: Located<u64>,
    /// The listener for peers, the other daemons of the fleet.
    pub peer: RawListener,
    /// The token that all daemons of the fleet have in common.
    pub peer_token: Located<String>,
    /// The listener of the administration API.
    pub admin: RawListener,
    /// The operators who may change the configuration.
    pub operators: Vec<RawOperator>,
    /// The address and port of the platform's object API.
    pub platform_address: Located<String>,
    /// The name of the region that the platform runs in.
    pub platform_region: Located<String>,
    /// The time after which a call to the platform fails, in milliseconds.
    pub platform_timeout_ms: Located<u64>,
    /// The addresses of peers to contact while the platform is unreachable.
    pub neighbours: Vec<Located<String>>,
    /// The least severe level that is logged.
    pub log_level: Located<log::LevelFilter>,
    /// The format of log lines.
    pub log_format: Located<LogFormat>,
    /// The address of the statsd server that receives metrics; `None` if metrics are not sent.
    pub statsd: Option<Located<String>>,
    /// The faults found while the file was read; validation adds its own.
    pub findings: FindingList,
}

/// The addresses of a listener as written.
#[derive(Debug)]
pub struct RawListener {
    /// The address and port to listen on.
    pub listen: Located<String>,
    /// The address and port that others connect to; `None` if it is the same as `listen`.
    pub advertise: Option<Located<String>>,
}

/// An operator who may use the administration API, as written.
#[derive(Debug)]
pub struct RawOperator {
    /// The operator's name, which the audit record of a change contains.
    pub name: Located<String>,
    /// The SHA-256 digest of the operator's token in hexadecimal.
    pub token_sha256: Located<String>,
    /// The names of the departments that the operator may change; empty for all.
    pub departments: Vec<Located<String>>,
}

impl RawSettings {
    /// Reads the text of a settings file. Faults are collected in [`RawSettings::findings`], which show `file` as the
    /// name of the file.
    #[must_use]
    pub fn read(file: &str, text: &str) -> Self {
        let findings = FindingList::new(file);
        let mut settings = {
            let document = DocumentReader::new(text, &findings);
            read_settings(document.root())
        };
        settings.findings = findings;
        settings
    }
}

fn read_settings(mut reader: MappingReader<'_>) -> RawSettings {
    let mut entry = section(&mut reader, "entry");
    let mut peer = section(&mut reader, "peer");
    let mut admin = section(&mut reader, "admin");
    let mut platform = section(&mut reader, "platform");
    let mut log = section(&mut reader, "log");
    let mut metrics = section(&mut reader, "metrics");
    let settings = RawSettings {
        instance: reader.string("instance"),
        failure_domain: reader.string("failure_domain"),
        threads: reader.number_or("threads", 1..=MAX_THREADS, DEFAULT_THREADS),
        neighbours: reader.strings("neighbours"),
        max_body_bytes: entry.number_or(
            "max_body_bytes",
            1..=MAX_BODY_BYTES,
            DEFAULT_MAX_BODY_BYTES,
        ),
        max_connections: entry.number_or(
            "max_connections",
            1..=MAX_CONNECTIONS,
            DEFAULT_MAX_CONNECTIONS,
        ),
        header_timeout_ms: entry.number_or(
            "header_timeout_ms",
            1..=MAX_HEADER_TIMEOUT_MS,
            DEFAULT_HEADER_TIMEOUT_MS,
        ),
        entry: listener(&mut entry),
        peer_token: peer.string("token"),
        peer: listener(&mut peer),
        operators: operators(&mut admin),
        admin: listener(&mut admin),
        platform_address: platform.string("address"),
        platform_region: platform.string("region"),
        platform_timeout_ms: platform.number_or(
            "timeout_ms",
            1..=MAX_PLATFORM_TIMEOUT_MS,
            DEFAULT_PLATFORM_TIMEOUT_MS,
        ),
        log_level: log.choice_or("level", &LOG_LEVELS, log::LevelFilter::Info),
        log_format: log.choice_or("format", &LOG_FORMATS, LogFormat::Text),
        statsd: metrics.optional_string("statsd"),
        findings: FindingList::default(),
    };
    for section in [entry, peer, admin, platform, log, metrics, reader] {
        section.finish();
    }
    settings
}

/// Returns a reader for a section. The missing fields of an absent section are reported at the start of the file.
fn section<'a>(reader: &mut MappingReader<'a>, field: &'static str) -> MappingReader<'a> {
    reader
        .mapping(field)
        .unwrap_or_else(|| reader.absent(field))
}

fn listener(reader: &mut MappingReader<'_>) -> RawListener {
    RawListener {
        listen: reader.string("listen"),
        advertise: reader.optional_string("advertise"),
    }
}

fn operators(reader: &mut MappingReader<'_>) -> Vec<RawOperator> {
    reader.records("operators", |item| RawOperator {
        name: item.string("name"),
        token_sha256: item.string("token_sha256"),
        departments: item.strings("departments"),
    })
}
