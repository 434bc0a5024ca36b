//! Detection of requests that may have crashed the upstreams that ran them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use sha2::{Digest, Sha256};

/// The time for which a crash counts against the fingerprints of the requests that were running.
pub const CRASH_RETENTION: Duration = Duration::from_mins(10);

/// The number of crashes from which on requests with a fingerprint are refused.
pub const CRASHES_TO_REFUSE: usize = 2;

/// The number of bytes, from the start of the body, that a fingerprint covers.
pub const FINGERPRINT_BODY_BYTES: usize = 4 * 1024;

/// Reports about one upstream within this time count as one crash, because each instance that was connected to the
/// upstream assigns its own number to the crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The maximum number of fingerprints in a list.
const MAX_SUSPECTS: usize = 4_096;

/// The parts of a request that arrive before its body.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// The name of the client account; empty on a route that is open to all.
    pub account: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// The declared length of the body in bytes; `None` if the request declares none.
    pub content_length: Option<u64>,
}

impl RequestHead<'_> {
    /// Returns the fingerprint of the head.
    #[must_use]
    pub fn fingerprint(&self) -> HeadFingerprint {
        HeadFingerprint(first_bytes(self.hasher()))
    }

    /// Returns the fingerprint of a request with this head, given the digest of the first [`FINGERPRINT_BODY_BYTES`] of
    /// its body.
    #[must_use]
    pub fn with_body(&self, body: BodyDigest) -> SuspectFingerprint {
        let hasher = self.hasher();
        let head = first_bytes(hasher.clone());
        let whole = first_bytes(hasher.chain_update(body.0));
        SuspectFingerprint { head, whole }
    }

    /// Returns a hasher that has consumed the head. Each text is preceded by its length, so that different heads never
    /// hash the same bytes.
    fn hasher(&self) -> Sha256 {
        let mut hasher = Sha256::new();
        for text in [self.account, self.method, self.target] {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text);
        }
        hasher.update([u8::from(self.content_length.is_some())]);
        hasher.update(self.content_length.unwrap_or(0).to_be_bytes());
        hasher
    }
}

fn first_bytes(hasher: Sha256) -> [u8; 8] {
    let digest = hasher.finalize();
    std::array::from_fn(|index| digest[index])
}

/// A digest of the first [`FINGERPRINT_BODY_BYTES`] of a request body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BodyDigest(pub [u8; 32]);

/// A fingerprint of the head of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HeadFingerprint([u8; 8]);

/// A fingerprint of a request. Its first half is the fingerprint of the head, so that the head can be checked before
/// the body has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SuspectFingerprint {
    head: [u8; 8],
    whole: [u8; 8],
}

impl SuspectFingerprint {
    /// Creates the fingerprint from the bytes that [`to_bytes`](Self::to_bytes) returned.
    #[must_use]
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Self {
            head: std::array::from_fn(|index| bytes[index]),
            whole: std::array::from_fn(|index| bytes[index + 8]),
        }
    }

    /// Returns the bytes of the fingerprint, those of the head first.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 16] {
        std::array::from_fn(|index| {
            if index < 8 {
                self.head[index]
            } else {
                self.whole[index - 8]
            }
        })
    }

    /// Returns the fingerprint of the head.
    #[must_use]
    pub const fn head(self) -> HeadFingerprint {
        HeadFingerprint(self.head)
    }
}

/// Identifies one crash of an upstream as observed by one instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CrashId {
    /// The name of the upstream that crashed.
    pub upstream: String,
    /// The number that the observing instance assigned to the crash, unique among all instances.
    pub number: u64,
}

/// The requests that were running on an upstream when it crashed.
#[derive(Debug, Clone)]
pub struct CrashReport {
    /// The crash that is reported.
    pub crash: CrashId,
    /// The fingerprints of the requests that were running.
    pub fingerprints: Vec<SuspectFingerprint>,
}

/// Crashes that no longer count against a fingerprint, because a request with it succeeded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClearReport {
    /// The fingerprint of the request that succeeded.
    pub fingerprint: SuspectFingerprint,
    /// The crashes that no longer count against the fingerprint.
    pub crashes: Vec<CrashId>,
}

/// One crash of a request with a fingerprint. A cleared crash is retained, so that a late report of it does not count.
#[derive(Debug, Clone)]
struct SuspectCrash {
    crash: CrashId,
    seen_at: MonotonicTime,
    cleared: bool,
}

#[derive(Debug, Clone, Default)]
struct SuspectRecord {
    crashes: Vec<SuspectCrash>,
}

impl SuspectRecord {
    /// Counts the crashes that are not cleared; those of one upstream within [`SAME_CRASH_WINDOW`] count once.
    fn count(&self) -> usize {
        let mut counted: Vec<&SuspectCrash> = Vec::new();
        for crash in self.crashes.iter().filter(|crash| !crash.cleared) {
            if !counted.iter().any(|other| is_same_crash(other, crash)) {
                counted.push(crash);
            }
        }
        counted.len()
    }

    fn is_refused(&self) -> bool {
        self.count() >= CRASHES_TO_REFUSE
    }

    fn last_seen(&self) -> Option<MonotonicTime> {
        self.crashes.iter().map(|crash| crash.seen_at).max()
    }
}

fn is_same_crash(one: &SuspectCrash, other: &SuspectCrash) -> bool {
    let interval = one
        .seen_at
        .since(other.seen_at)
        .max(other.seen_at.since(one.seen_at));
    one.crash.upstream == other.crash.upstream && interval < SAME_CRASH_WINDOW
}

/// The fingerprints of requests that were running when an upstream crashed; owned by the control thread.
///
/// Crashes and clearances are merged as sets, so that reports of peers may arrive late, repeated and in any order.
#[derive(Debug, Default)]
pub struct SuspectList {
    records: HashMap<SuspectFingerprint, SuspectRecord>,
}

impl SuspectList {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a crash that this instance or a peer observed.
    ///
    /// Returns whether the table must be published again.
    pub fn add_crash(&mut self, now: MonotonicTime, report: &CrashReport) -> bool {
        for fingerprint in &report.fingerprints {
            let record = self.records.entry(*fingerprint).or_default();
            let is_known = |seen: &SuspectCrash| seen.crash == report.crash;
            if !record.crashes.iter().any(is_known) {
                record.crashes.push(SuspectCrash {
                    crash: report.crash.clone(),
                    seen_at: now,
                    cleared: false,
                });
            }
        }
        self.evict_oldest();
        !report.fingerprints.is_empty()
    }

    /// Clears the crashes of `fingerprint` after a request with it was answered in full.
    ///
    /// Returns the report for the peers, or `None` if no crash counted against the fingerprint.
    pub fn add_success(&mut self, fingerprint: SuspectFingerprint) -> Option<ClearReport> {
        let record = self.records.get_mut(&fingerprint)?;
        let mut crashes = Vec::new();
        for crash in record.crashes.iter_mut().filter(|crash| !crash.cleared) {
            crash.cleared = true;
            crashes.push(crash.crash.clone());
        }
        (!crashes.is_empty()).then_some(ClearReport {
            fingerprint,
            crashes,
        })
    }

    /// Adds the crashes that a peer cleared, including those that have not been reported to this instance yet.
    pub fn add_clearance(&mut self, now: MonotonicTime, report: &ClearReport) {
        let record = self.records.entry(report.fingerprint).or_default();
        for crash in &report.crashes {
            match record.crashes.iter_mut().find(|seen| seen.crash == *crash) {
                Some(seen) => seen.cleared = true,
                None => record.crashes.push(SuspectCrash {
                    crash: crash.clone(),
                    seen_at: now,
                    cleared: true,
                }),
            }
        }
        self.evict_oldest();
    }

    /// Removes the fingerprints whose last crash is at least [`CRASH_RETENTION`] ago.
    ///
    /// Returns whether the table must be published again.
    pub fn expire(&mut self, now: MonotonicTime) -> bool {
        let before = self.records.len();
        self.records.retain(|_, record| {
            record
                .last_seen()
                .is_some_and(|seen| now.since(seen) < CRASH_RETENTION)
        });
        self.records.len() != before
    }

    /// Builds the table for the request threads.
    #[must_use]
    pub fn build_table(&self) -> SuspectTable {
        let mut table = SuspectTable::default();
        for (fingerprint, record) in &self.records {
            if record.is_refused() {
                table.refused_heads.insert(fingerprint.head());
                table.refused.insert(*fingerprint);
            }
            if record.count() > 0 {
                table.watched.insert(*fingerprint);
            }
        }
        table
    }

    /// Returns the number of fingerprints in the list.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the list has no fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes the oldest fingerprints from a list that exceeds its maximum. Those that are not refused are removed
    /// first.
    ///
    /// About an eighth is removed at once, so that the list is not sorted for each new fingerprint.
    fn evict_oldest(&mut self) {
        if self.records.len() <= MAX_SUSPECTS {
            return;
        }
        let mut order: Vec<_> = self
            .records
            .iter()
            .map(|(fingerprint, record)| (record.is_refused(), record.last_seen(), *fingerprint))
            .collect();
        order.sort_unstable();
        let excess = order.len() - MAX_SUSPECTS / 8 * 7;
        for (_, _, fingerprint) in &order[..excess] {
            self.records.remove(fingerprint);
        }
    }
}

/// The fingerprints that request threads check. A published table is immutable.
#[derive(Debug, Clone, Default)]
pub struct SuspectTable {
    refused_heads: HashSet<HeadFingerprint>,
    refused: HashSet<SuspectFingerprint>,
    /// The fingerprints against which at least one crash counts.
    watched: HashSet<SuspectFingerprint>,
}

impl SuspectTable {
    /// Returns whether no crash counts against any fingerprint, so that no fingerprint need be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.watched.is_empty()
    }

    /// Returns whether a request with this head may be refused, so that its body must be read first.
    ///
    /// `head` is called only if some fingerprint is refused.
    #[must_use]
    pub fn may_refuse_head(&self, head: impl FnOnce() -> HeadFingerprint) -> bool {
        !self.refused_heads.is_empty() && self.refused_heads.contains(&head())
    }

    /// Returns whether requests with the fingerprint are refused.
    #[must_use]
    pub fn is_refused(&self, fingerprint: SuspectFingerprint) -> bool {
        self.refused.contains(&fingerprint)
    }

    /// Returns whether the success of a request with the fingerprint must be reported to the control thread.
    #[must_use]
    pub fn needs_success_report(&self, fingerprint: SuspectFingerprint) -> bool {
        self.watched.contains(&fingerprint)
    }
}
