//! Record of the requests that an upstream stand-in ran, refused and shed, as the oracle of tests.
//!
//! The record counts the slots independently of the daemon's counters, so that tests detect a fault in those.

use coltsfootkeel_model::{Arena, ArenaKey};
use serde::{Deserialize, Serialize};

/// Maximum number of requests whose details are stored. The totals also count requests above it.
pub const DETAIL_LIMIT: usize = 200_000;

/// Key of a request in a [`RunRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunKey(u32);

impl ArenaKey for RunKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("DETAIL_LIMIT fits 32 bits"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// Head of a request, recorded at its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// Value of the header `Coltsfootkeel-Request-Id`.
    pub request_id: Option<String>,
    /// Value of the header `Coltsfootkeel-Account`.
    pub account: Option<String>,
    /// Value of the header `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Whether the request had an `Authorization` header, which must not be forwarded to upstreams.
    pub authorization: bool,
    /// Names of the `Coltsfootkeel-*` headers that must not be forwarded to upstreams.
    pub unexpected_headers: Vec<String>,
}

/// Outcome of a request that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The whole answer was passed to the connection.
    Completed,
    /// The caller disconnected, the request body was incomplete, or the deadline passed.
    Cancelled,
    /// A configured fault truncated the answer or closed the connection before it.
    Cut,
    /// The request crashed the upstream.
    Crashed,
}

/// End of a request, with the length and digest of the request body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Sequence number of the end among all starts and ends.
    pub order: u64,
    /// Outcome of the request.
    pub outcome: RunOutcome,
    /// Number of request body bytes that were read.
    pub body_bytes: u64,
    /// SHA-256 of the bytes that were read, as lowercase hex digits.
    pub body_sha256: String,
}

/// A request that ran or is running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// Head of the request.
    #[serde(flatten)]
    pub start: RunStart,
    /// Sequence number of the start among all starts and ends.
    pub start_order: u64,
    /// End of the request, `None` while it runs.
    pub end: Option<RunEnd>,
}

/// Request totals of an upstream stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTotals {
    /// Number of requests that started to run.
    pub started: u64,
    /// Number of requests that ended with a complete answer.
    pub completed: u64,
    /// Number of requests shed because no slot was free.
    pub shed: u64,
    /// Number of requests refused because [`ControlChange::refuse`](crate::ControlChange::refuse) was set.
    pub refused: u64,
    /// Number of crashes caused by a request.
    pub crashes: u64,
    /// Number of slots in use.
    pub running: u32,
    /// Highest number of slots in use at the same time.
    pub highest_running: u32,
}

/// Error of a request that was shed because no slot was free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotsFull;

/// Handle of a started request. The inner key is `None` if only the totals include the request, because
/// [`DETAIL_LIMIT`] was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedRun(Option<RunKey>);

/// Requests that an upstream stand-in ran, with totals of all requests.
#[derive(Debug, Default)]
pub struct RunRecord {
    entries: Arena<RunKey, RunEntry>,
    totals: RunTotals,
}

impl RunRecord {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of a request with the sequence number `order` if fewer than `slots` slots are in use.
    ///
    /// # Errors
    ///
    /// Returns [`SlotsFull`] and counts the request as shed if no slot is free.
    pub fn begin(
        &mut self,
        slots: u32,
        order: u64,
        start: RunStart,
    ) -> Result<StartedRun, SlotsFull> {
        if self.totals.running >= slots {
            self.totals.shed += 1;
            return Err(SlotsFull);
        }
        self.totals.started += 1;
        self.totals.running += 1;
        self.totals.highest_running = self.totals.highest_running.max(self.totals.running);
        Ok(StartedRun(self.store_details(order, start)))
    }

    /// Records the end of a request and frees its slot.
    pub fn finish(&mut self, run: StartedRun, end: RunEnd) {
        self.totals.running -= 1;
        match end.outcome {
            RunOutcome::Completed => self.totals.completed += 1,
            RunOutcome::Crashed => self.totals.crashes += 1,
            RunOutcome::Cancelled | RunOutcome::Cut => {}
        }
        if let StartedRun(Some(key)) = run {
            self.entries[key].end = Some(end);
        }
    }

    /// Counts a refused request.
    pub fn refuse(&mut self) {
        self.totals.refused += 1;
    }

    /// Returns the totals of all requests so far.
    #[must_use]
    pub fn totals(&self) -> RunTotals {
        self.totals
    }

    /// Returns the first [`DETAIL_LIMIT`] requests in the order of their starts.
    #[must_use]
    pub fn entries(&self) -> Vec<RunEntry> {
        self.entries
            .iter()
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    fn store_details(&mut self, order: u64, start: RunStart) -> Option<RunKey> {
        if self.entries.len() >= DETAIL_LIMIT {
            return None;
        }
        Some(self.entries.push(RunEntry {
            start,
            start_order: order,
            end: None,
        }))
    }
}
