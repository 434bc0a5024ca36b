//! What an upstream stand-in ran, refused and shed, as a plain structure for oracles of tests.
//!
//! The slots are counted here and not with the counters of the daemon, so that a fault of those shows up.

use coltsfootkeel_model::{Arena, ArenaKey};
use serde::{Deserialize, Serialize};

/// The number of requests of which the details are kept; the totals stay exact beyond it.
pub const DETAIL_LIMIT: usize = 200_000;

/// Addresses one request in a [`RunRecord`].
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

/// What is known about a request when it starts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// The header `Coltsfootkeel-Request-Id`.
    pub request_id: Option<String>,
    /// The header `Coltsfootkeel-Account`.
    pub account: Option<String>,
    /// The header `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Whether the request carried an `Authorization` header, which no upstream may see.
    pub authorization: bool,
    /// Names of `Coltsfootkeel-*` headers that no upstream may see.
    pub unexpected_headers: Vec<String>,
}

/// How the run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The whole answer was handed to the connection.
    Completed,
    /// The caller went away, its request body broke, or its deadline passed.
    Cancelled,
    /// The answer was cut on purpose.
    Cut,
    /// The request crashed the upstream.
    Crashed,
}

/// How the run of a request ended, with what was read of its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The position of the end among all starts and ends.
    pub order: u64,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Bytes of the request body that were read.
    pub body_bytes: u64,
    /// SHA-256 of these bytes as hex digits.
    pub body_sha256: String,
}

/// One request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEntry {
    /// What was known at its start.
    #[serde(flatten)]
    pub start: RunStart,
    /// The position of the start among all starts and ends.
    pub start_order: u64,
    /// Its end, absent while it runs.
    pub end: Option<RunEnd>,
}

/// Totals of an upstream stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTotals {
    /// Requests that started.
    pub started: u64,
    /// Requests that ended with a complete answer.
    pub completed: u64,
    /// Requests shed because no slot was free.
    pub shed: u64,
    /// Requests refused on order of the control.
    pub refused: u64,
    /// Crashes.
    pub crashes: u64,
    /// Slots in use.
    pub running: u32,
    /// The highest number of slots in use at once.
    pub highest_running: u32,
}

/// A request was shed because no slot was free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotsFull;

/// A started request; it takes part in the totals even if its details are not kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedRun(Option<RunKey>);

/// What an upstream stand-in ran, refused and shed.
#[derive(Debug, Default)]
pub struct RunRecord {
    entries: Arena<RunKey, RunEntry>,
    totals: RunTotals,
}

impl RunRecord {
    /// Makes an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a request if fewer than `slots` are in use.
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
        Ok(StartedRun(self.keep(order, start)))
    }

    /// Ends a request and frees its slot.
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

    /// Counts a request that was refused on order of the control.
    pub fn refuse(&mut self) {
        self.totals.refused += 1;
    }

    /// Returns the totals.
    #[must_use]
    pub fn totals(&self) -> RunTotals {
        self.totals
    }

    /// Returns the requests in the order of their starts, at most [`DETAIL_LIMIT`].
    #[must_use]
    pub fn entries(&self) -> Vec<RunEntry> {
        self.entries
            .iter()
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    fn keep(&mut self, order: u64, start: RunStart) -> Option<RunKey> {
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
