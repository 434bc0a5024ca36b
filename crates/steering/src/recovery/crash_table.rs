//! Tracks requests that crash the upstreams that run them.
//!
//! Load pattern: a caller keeps sending a request that crashes each upstream that starts to run it. Instances report
//! each crashed run to each other. A request with several crashed runs in a row, without an answer in between, is
//! refused.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// Number of different upstreams that must crash on a request, without an answer in between, before it is refused. One
/// crash may be unrelated to the request, and two may be upstreams that failed together.
const BLOCK_THRESHOLD: usize = 3;
/// Time after the last crashed run of a request for which its record is kept.
const CRASH_RETENTION: Duration = Duration::from_mins(5);
/// Maximum number of tracked requests.
const MAX_FINGERPRINTS: usize = 10_000;
/// Maximum number of refused requests that the store keeps for a restart of all instances.
pub const MAX_STORED_REQUESTS: usize = 64;

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    upstreams: Vec<u32>,
    last_crash_at: MonotonicTime,
}

/// The crashed runs of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRequest {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Short hashes of the upstreams that crashed.
    pub upstreams: Vec<u32>,
    /// Time since the last crash.
    pub age: Duration,
}

/// A refused request, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRequest {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Short hashes of as many upstreams that crashed as lead to the refusal.
    pub upstreams: Vec<u32>,
}

/// Crashed runs by the fingerprint of the request.
#[derive(Debug, Clone, Default)]
pub struct CrashTable {
    crashes: HashMap<u64, CrashRecord>,
}

impl CrashTable {
    /// Records a crashed run on the upstream with this short hash. Several reports for the same upstream count once.
    pub fn record_crash(&mut self, fingerprint: u64, upstream: u32, now: MonotonicTime) {
        self.crashes
            .retain(|_, record| now.since(record.last_crash_at) < CRASH_RETENTION);
        if self.crashes.len() >= MAX_FINGERPRINTS {
            return;
        }
        let record = self.crashes.entry(fingerprint).or_default();
        record.last_crash_at = record.last_crash_at.max(now);
        if !record.upstreams.contains(&upstream) {
            record.upstreams.push(upstream);
        }
    }

    /// Returns the tracked requests, those that crashed most upstreams first, and of those the latest ones.
    #[must_use]
    pub fn suspects(&self, now: MonotonicTime) -> Vec<CrashedRequest> {
        let suspects = self.crashes.iter().map(|(fingerprint, record)| {
            let age = now.since(record.last_crash_at);
            CrashedRequest {
                fingerprint: *fingerprint,
                upstreams: record.upstreams.clone(),
                age,
            }
        });
        let mut suspects: Vec<CrashedRequest> = suspects
            .filter(|suspect| suspect.age < CRASH_RETENTION)
            .collect();
        suspects.sort_unstable_by_key(|suspect| (Reverse(suspect.upstreams.len()), suspect.age));
        suspects
    }

    /// Returns the latest refused requests for the store, ordered by their fingerprints.
    #[must_use]
    pub fn stored_requests(&self, now: MonotonicTime) -> Vec<StoredRequest> {
        let suspects = self.suspects(now);
        let refused = suspects
            .into_iter()
            .filter(|suspect| suspect.upstreams.len() >= BLOCK_THRESHOLD);
        let mut stored: Vec<StoredRequest> = refused
            .take(MAX_STORED_REQUESTS)
            .map(|suspect| StoredRequest {
                fingerprint: suspect.fingerprint,
                upstreams: suspect.upstreams[..BLOCK_THRESHOLD].to_vec(),
            })
            .collect();
        stored.sort_unstable_by_key(|request| request.fingerprint);
        stored
    }

    /// Removes a request that was answered. Returns whether it was tracked.
    pub fn remove(&mut self, fingerprint: u64) -> bool {
        self.crashes.remove(&fingerprint).is_some()
    }

    /// Returns whether a request is tracked.
    #[must_use]
    pub fn contains(&self, fingerprint: u64) -> bool {
        self.crashes.contains_key(&fingerprint)
    }

    /// Returns whether a request must not run again.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: u64) -> bool {
        let record = self.crashes.get(&fingerprint);
        record.is_some_and(|record| record.upstreams.len() >= BLOCK_THRESHOLD)
    }
}
