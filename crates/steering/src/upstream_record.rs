//! What the platform's list tells of an upstream.

use std::net::SocketAddr;
use std::time::Duration;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// It takes new work.
    Ready,
    /// It finishes its work and leaves.
    Draining,
}

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its id, new at most starts.
    pub id: String,
    /// The name of its pool.
    pub pool: String,
    /// Its address, which an upstream of another pool may have later.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
    /// How much longer it was cold when it reported.
    pub cold_for: Duration,
    /// Its start, in milliseconds of Unix time. The same id with another start knows nothing of before.
    pub started_ms: Option<u64>,
}
