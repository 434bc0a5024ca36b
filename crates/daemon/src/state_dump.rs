//! The state dump of an instance, which the administration API returns as JSON.

use serde::Serialize;

/// The state of one instance at one time.
#[derive(Debug, Default, Serialize)]
pub struct StateDump {
    /// The name of the instance.
    pub instance: String,
    /// The incarnation of the process, which differs for each start.
    pub incarnation: u64,
    /// The seconds since the process started.
    pub uptime_s: u64,
    /// Whether the instance is about to stop.
    pub leaving: bool,
    /// The configuration in force.
    pub config: ConfigDump,
    /// The name of the seat that the instance holds; `None` without a seat.
    pub seat: Option<String>,
    /// The number of requests in progress.
    pub requests_in_flight: u64,
    /// The token buckets of the client accounts.
    pub accounts: Vec<AccountDump>,
    /// The slots and the health of the upstreams, as measured by this instance.
    pub upstreams: Vec<UpstreamDump>,
    /// The counts of the shifts.
    pub shifts: Vec<ShiftDump>,
    /// The connected peers.
    pub peers: Vec<PeerDump>,
    /// The number of idempotency keys that this instance stores.
    pub idempotency_keys: usize,
    /// The total size in bytes of the answers stored for repeated requests.
    pub kept_answer_bytes: usize,
    /// The number of fingerprints of requests that ran on upstreams when the upstreams crashed.
    pub suspects: usize,
}

/// The configuration in force and its rollout.
#[derive(Debug, Default, Serialize)]
pub struct ConfigDump {
    /// The generation; zero before the first one.
    pub generation: u64,
    /// The SHA-256 digest of the document.
    pub digest: String,
    /// The milliseconds since the platform last confirmed the configuration as the newest; `None` if it never did.
    pub age_ms: Option<u64>,
    /// Whether the last call of this instance to the platform was answered.
    pub platform_reached: bool,
    /// The number of instances that run this generation or a newer one.
    pub in_force: usize,
    /// The number of instances in the fleet.
    pub known: usize,
    /// The names of the instances that run an older generation.
    pub behind: Vec<String>,
    /// The names of the instances without a recent heartbeat.
    pub unheard: Vec<String>,
    /// The faults of documents that were rejected.
    pub faults: Vec<String>,
}

/// The token bucket of one client account.
#[derive(Debug, Serialize)]
pub struct AccountDump {
    /// The name of the client account.
    pub name: String,
    /// The tokens in the bucket, in thousandths of a token.
    pub level_milli_tokens: i64,
    /// The capacity of the bucket, in thousandths of a token.
    pub capacity_milli_tokens: i64,
}

/// The slots and the health of one upstream.
#[derive(Debug, Serialize)]
pub struct UpstreamDump {
    /// The name of the upstream.
    pub name: String,
    /// The number of slots that this instance holds or has borrowed.
    pub slots_held: u32,
    /// The number of slots in use at this instance.
    pub slots_used: u32,
    /// The average latency of recent requests in microseconds.
    pub latency_us: u64,
    /// Whether the upstream is ejected, which means that it receives no requests because of failures.
    pub ejected: bool,
    /// Whether the upstream is draining, which means that it receives no new requests because it is about to stop.
    pub draining: bool,
    /// The fraction of the slots that may be used while the load on the upstream is ramped up, in thousandths.
    pub ramp_permille: u32,
}

/// The counts of one shift.
#[derive(Debug, Serialize)]
pub struct ShiftDump {
    /// The name of the shift.
    pub name: String,
    /// The number of requests that matched the shift since its cap came into force.
    pub seen: u64,
    /// The number of requests that the shift moved since its cap came into force.
    pub moved: u64,
}

/// A connected peer and its last heartbeat.
#[derive(Debug, Serialize)]
pub struct PeerDump {
    /// The name of the instance.
    pub instance: String,
    /// The name of the failure domain of the peer.
    pub failure_domain: String,
    /// The milliseconds since the last heartbeat of the peer; `None` if none was received.
    pub heard_ms_ago: Option<u64>,
    /// The names of the seats that the peer holds.
    pub seats: Vec<String>,
    /// Whether the peer is about to stop.
    pub leaving: bool,
}
