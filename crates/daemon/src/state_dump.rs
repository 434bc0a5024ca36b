//! A dump of the state of this process, made on the control thread from published state.

use serde::Serialize;

/// The whole dump.
#[derive(Debug, Default, Serialize)]
pub struct StateDump {
    /// The name of the instance.
    pub instance: String,
    /// The number of this start of the process.
    pub incarnation: u64,
    /// The seconds since the process started.
    pub uptime_s: u64,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// The configuration.
    pub config: ConfigDump,
    /// The seat held, if any.
    pub seat: Option<String>,
    /// Requests being carried.
    pub requests_in_flight: u64,
    /// The accounts' buckets.
    pub accounts: Vec<AccountDump>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamDump>,
    /// The shifts.
    pub shifts: Vec<ShiftDump>,
    /// The peers.
    pub peers: Vec<PeerDump>,
    /// Idempotency keys remembered.
    pub idempotency_keys: usize,
    /// Bytes of answers kept for repeats.
    pub kept_answer_bytes: usize,
    /// Fingerprints of requests that ran on crashed upstreams.
    pub suspects: usize,
}

/// The configuration in force.
#[derive(Debug, Default, Serialize)]
pub struct ConfigDump {
    /// The generation, zero before the first.
    pub generation: u64,
    /// The digest of the document.
    pub digest: String,
    /// The milliseconds since the platform last confirmed it, if it ever did.
    pub age_ms: Option<u64>,
    /// Whether this instance reaches the platform.
    pub platform_reached: bool,
    /// The number of instances that run this generation.
    pub in_force: usize,
    /// The number of instances known.
    pub known: usize,
    /// The instances that run an older one.
    pub behind: Vec<String>,
    /// The instances not heard lately.
    pub unheard: Vec<String>,
    /// Documents that were not taken.
    pub faults: Vec<String>,
}

/// One account.
#[derive(Debug, Serialize)]
pub struct AccountDump {
    /// The name.
    pub name: String,
    /// The tokens held, in thousandths.
    pub level_milli_tokens: i64,
    /// The burst held, in thousandths.
    pub capacity_milli_tokens: i64,
}

/// One upstream.
#[derive(Debug, Serialize)]
pub struct UpstreamDump {
    /// The name.
    pub name: String,
    /// The slots held.
    pub slots_held: u32,
    /// The slots in use.
    pub slots_used: u32,
    /// The recent latency in microseconds.
    pub latency_us: u64,
    /// Whether it receives no requests after failures.
    pub ejected: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// The part of its slots that its ramp allows, in thousandths.
    pub ramp_permille: u32,
}

/// One shift.
#[derive(Debug, Serialize)]
pub struct ShiftDump {
    /// The name.
    pub name: String,
    /// Requests seen since its cap came into force.
    pub seen: u64,
    /// Requests moved since then.
    pub moved: u64,
}

/// One peer.
#[derive(Debug, Serialize)]
pub struct PeerDump {
    /// The name of the instance.
    pub instance: String,
    /// The name of its failure domain.
    pub failure_domain: String,
    /// The milliseconds since its last heartbeat, if one came.
    pub heard_ms_ago: Option<u64>,
    /// The seats it holds.
    pub seats: Vec<String>,
    /// Whether it is leaving.
    pub leaving: bool,
}
