//! The settings file as written.

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

/// The whole file. Numbers are already within their bounds; texts are not yet checked.
#[derive(Debug)]
pub struct RawSettings {
    /// The name of the instance.
    pub instance: Located<String>,
    /// The failure domain it runs in.
    pub failure_domain: Located<String>,
    /// The number of request threads.
    pub threads: Located<u64>,
    /// The listener for callers.
    pub entry: RawListener,
    /// The most bytes a request body may have.
    pub max_body_bytes: Located<u64>,
    /// The most connections of callers.
    pub max_connections: Located<u64>,
    /// The time a caller has to send the head of a request, in milliseconds.
    pub header_timeout_ms: Located<u64>,
    /// The listener for peers.
    pub peer: RawListener,
    /// The token all daemons of the fleet share.
    pub peer_token: Located<String>,
    /// The listener for operators.
    pub admin: RawListener,
    /// The operators who may change the configuration.
    pub operators: Vec<RawOperator>,
    /// The address of the platform's object API.
    pub platform_address: Located<String>,
    /// The region the platform stands in.
    pub platform_region: Located<String>,
    /// The time a call to the platform may take, in milliseconds.
    pub platform_timeout_ms: Located<u64>,
    /// Peer addresses to ask while the platform is not reached.
    pub neighbours: Vec<Located<String>>,
    /// The least severe level that is logged.
    pub log_level: Located<log::LevelFilter>,
    /// The format of log lines.
    pub log_format: Located<LogFormat>,
    /// Where metrics go, if anywhere.
    pub statsd: Option<Located<String>>,
    /// The faults found while the file was read.
    pub findings: FindingList,
}

/// A listener.
#[derive(Debug)]
pub struct RawListener {
    /// The address to listen on.
    pub listen: Located<String>,
    /// The address others use, if it differs.
    pub advertise: Option<Located<String>>,
}

/// An operator who may use the administration API.
#[derive(Debug)]
pub struct RawOperator {
    /// The name, which the audit record shows.
    pub name: Located<String>,
    /// The SHA-256 digest of the operator's token in hexadecimal.
    pub token_sha256: Located<String>,
    /// The departments the operator may change; empty for all.
    pub departments: Vec<Located<String>>,
}

impl RawSettings {
    /// Reads a settings file. Faults are kept in [`RawSettings::findings`].
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

/// Returns the reader of a section. Fields of an absent section are reported at the place of the file.
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
