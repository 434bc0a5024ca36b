//! Upstreams as listed by the platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::recovery::store_eras::ReportOrder;

/// Whether an upstream accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// The upstream accepts new work.
    Ready,
    /// The upstream finishes its current requests and then stops.
    Draining,
}

/// One upstream in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Id of the upstream. Most upstreams receive a new one when they start.
    pub id: String,
    /// Name of its pool.
    pub pool: String,
    /// Address that accepts requests. It may later belong to an upstream of another pool.
    pub address: SocketAddr,
    /// Name of its failure domain.
    pub domain: String,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new work.
    pub phase: UpstreamPhase,
    /// Remaining duration of its cold start at the time of the report.
    pub cold_start_remaining: Duration,
    /// Start time in milliseconds of Unix time. An upstream with the same id and another start time has lost its
    /// earlier state.
    pub started_ms: Option<u64>,
    /// Number of the report since that start. It also increases with reports that change nothing else.
    pub report_sequence: Option<u64>,
}

impl UpstreamRecord {
    /// Returns the place of the report among those of the upstream.
    #[must_use]
    pub fn report_order(&self) -> ReportOrder {
        ReportOrder {
            started_ms: self.started_ms,
            sequence: self.report_sequence,
        }
    }
}
