//! Requests that crash the upstreams that run them.
//!
//! Load pattern: a caller sends a request again and again that crashes each upstream that begins to run it. Instances
//! tell one another of each broken run; a request whose runs broke in a row without an answer in between is refused.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// Broken runs in a row at which a request is refused. One may be an upstream's own crash, and two that of two
/// upstreams that failed together.
const REFUSED_AT: usize = 3;
/// How long a broken run counts.
const REMEMBERED: Duration = Duration::from_mins(5);
/// The most requests that are remembered.
const MAX_REMEMBERED: usize = 10_000;

#[derive(Debug, Clone, Default)]
struct BrokenRuns {
    upstreams: Vec<u32>,
    last_at: MonotonicTime,
}

/// Broken runs by the fingerprint of the request.
#[derive(Debug, Clone, Default)]
pub struct CrashTable {
    runs: HashMap<u64, BrokenRuns>,
}

impl CrashTable {
    /// Notes that a run broke on the upstream with this short hash. Reports of one upstream count once.
    pub fn record_crash(&mut self, fingerprint: u64, upstream: u32, now: MonotonicTime) {
        self.runs
            .retain(|_, runs| now.since(runs.last_at) < REMEMBERED);
        if self.runs.len() >= MAX_REMEMBERED {
            return;
        }
        let runs = self.runs.entry(fingerprint).or_default();
        runs.last_at = now;
        if !runs.upstreams.contains(&upstream) {
            runs.upstreams.push(upstream);
        }
    }

    /// Forgets a request that was answered. Returns whether it was remembered.
    pub fn remove(&mut self, fingerprint: u64) -> bool {
        self.runs.remove(&fingerprint).is_some()
    }

    /// Tells whether a request is remembered.
    #[must_use]
    pub fn contains(&self, fingerprint: u64) -> bool {
        self.runs.contains_key(&fingerprint)
    }

    /// Tells whether a request must not be run again.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: u64) -> bool {
        let runs = self.runs.get(&fingerprint);
        runs.is_some_and(|runs| runs.upstreams.len() >= REFUSED_AT)
    }
}
