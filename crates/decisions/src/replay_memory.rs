//! Storage of idempotency keys and of the answers to their requests at the instance that owns the keys.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering, fence};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use papaya::{Compute, HashMap, Operation};
use thiserror::Error;

use crate::attempt_state::{RefusalKind, RunStatus};
use crate::key_owner::{IdempotencyKey, KEY_RETENTION};

/// The maximum size of a stored answer in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A digest of a request, which detects the use of one key for two different requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDigest(pub u64);

/// Identifies one permission to run a request, so that a late or repeated report about an earlier run does not release
/// the key during a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayTicket {
    /// The incarnation of the process that issued the permission.
    pub incarnation: u64,
    /// The number of the permission within the incarnation.
    pub number: u64,
}

/// The decision whether a request with an idempotency key may run.
#[derive(Debug)]
pub enum ReplayDecision<A> {
    /// The key is new, and the request may run once, until its deadline.
    Run(ReplayTicket),
    /// The first request with the key has not ended.
    InProgress,
    /// It is unknown whether the first request ran.
    Unknown,
    /// The first request was answered, and this is its answer.
    Answered(Arc<A>),
    /// The first request was answered and the answer was not stored.
    AnswerNotKept,
    /// The key was used for a different request.
    Mismatch,
    /// The key is new and a limit of the replay memory is reached.
    Full,
    /// The key is absent and the keys have been handed over, so the other instance must decide.
    HandedOver,
}

impl<A> ReplayDecision<A> {
    /// Returns the reason to refuse the request, or `None` if it may run or has a stored answer.
    #[must_use]
    pub fn refusal_kind(&self) -> Option<RefusalKind> {
        match self {
            Self::Run(_) | Self::Answered(_) => None,
            Self::InProgress => Some(RefusalKind::KeyInProgress),
            Self::Unknown => Some(RefusalKind::OutcomeUnknown),
            Self::AnswerNotKept => Some(RefusalKind::AnswerNotKept),
            Self::Mismatch => Some(RefusalKind::KeyMismatch),
            Self::Full => Some(RefusalKind::ReplayMemoryFull),
            Self::HandedOver => Some(RefusalKind::KeyOwnerUnreachable),
        }
    }
}

/// The end of a request with an idempotency key.
#[derive(Debug)]
pub enum ReplayEnd<A> {
    /// The request did not run, and the key may be used again.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// The request was answered.
    Answered {
        /// The answer of the upstream.
        answer: Arc<A>,
        /// The size of the answer in bytes.
        bytes: usize,
    },
    /// The request was answered and the answer cannot be stored.
    AnswerNotKept,
}

impl<A> ReplayEnd<A> {
    /// Returns the end of a request that was refused with the given run status.
    #[must_use]
    pub fn from_run_status(status: RunStatus) -> Self {
        match status {
            RunStatus::NotRun => Self::NotRun,
            RunStatus::Unknown => Self::Unknown,
            RunStatus::Run => Self::AnswerNotKept,
        }
    }
}

/// The effect of a report that a request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The end was recorded.
    Recorded,
    /// The key was removed and may be used again.
    Released,
    /// The report was late, repeated or about another run, and had no effect.
    Ignored,
}

/// The limits of a [`ReplayMemory`].
#[derive(Debug, Clone, Copy)]
pub struct ReplayLimits {
    /// The maximum number of keys.
    pub entries: usize,
    /// The maximum number of keys of one client account, so that no account uses the capacity of the others.
    pub account_entries: usize,
    /// The maximum total size of stored answers in bytes.
    pub answer_bytes: usize,
    /// The maximum total size of stored answers of one client account in bytes.
    pub account_answer_bytes: usize,
}

/// One key as it is handed over to another instance. Times are durations, because the clocks of instances differ.
#[derive(Debug, Clone)]
pub struct ReplayEntry<A> {
    /// The name of the client account.
    pub account: String,
    /// The idempotency key, unique within the client account.
    pub key: IdempotencyKey,
    /// The digest of the request, with which later requests under the key are compared.
    pub digest: RequestDigest,
    /// The permission under which the request runs or ran.
    pub ticket: ReplayTicket,
    /// Whether and how the request has ended.
    pub progress: ReplayProgress<A>,
    /// The remaining time for which the key is retained.
    pub retention: Duration,
}

/// The progress of the request of a key.
#[derive(Debug)]
pub enum ReplayProgress<A> {
    /// The request has not ended, and its deadline passes after the given time.
    Running(Duration),
    /// It is unknown whether the request ran.
    Unknown,
    /// The request was answered and the answer is stored.
    Answered {
        /// The stored answer.
        answer: Arc<A>,
        /// The size of the answer in bytes.
        bytes: usize,
    },
    /// The request was answered and the answer was not stored.
    AnswerNotKept,
}

impl<A> Clone for ReplayProgress<A> {
    fn clone(&self) -> Self {
        match self {
            Self::Running(remaining) => Self::Running(*remaining),
            Self::Unknown => Self::Unknown,
            Self::Answered { answer, bytes } => Self::Answered {
                answer: Arc::clone(answer),
                bytes: *bytes,
            },
            Self::AnswerNotKept => Self::AnswerNotKept,
        }
    }
}

/// The error of an import in which some keys exceeded the limits; the hand-over is then incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{rejected} of the keys handed over exceed the limits of the replay memory")]
pub struct ImportError {
    /// The number of keys that were not imported.
    pub rejected: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ScopedKey {
    account: String,
    key: IdempotencyKey,
}

impl ScopedKey {
    fn new(account: &str, key: &IdempotencyKey) -> Self {
        Self {
            account: account.to_owned(),
            key: key.clone(),
        }
    }
}

/// Entries and bytes in use, by all client accounts or by one.
#[derive(Debug, Default)]
struct MemoryUsage {
    entries: AtomicUsize,
    bytes: AtomicUsize,
}

#[derive(Debug)]
struct ReplayRecord<A> {
    digest: RequestDigest,
    ticket: ReplayTicket,
    account_usage: Arc<MemoryUsage>,
    keep_until: MonotonicTime,
    state: ReplayState<A>,
}

#[derive(Debug)]
enum ReplayState<A> {
    /// The request is running until the deadline; after it, its outcome is unknown.
    Running(MonotonicTime),
    Unknown,
    Answered {
        answer: Arc<A>,
        bytes: usize,
    },
    NotKept,
}

impl<A> ReplayState<A> {
    fn kept_bytes(&self) -> usize {
        match self {
            Self::Answered { bytes, .. } => *bytes,
            _ => 0,
        }
    }
}

/// The idempotency keys that one instance owns, with the progress of their requests.
///
/// Request threads share it without a lock. Keys are scoped by the name of the client account, because names remain
/// valid across generations of the configuration.
#[derive(Debug)]
pub struct ReplayMemory<A> {
    incarnation: u64,
    limits: ReplayLimits,
    records: HashMap<ScopedKey, ReplayRecord<A>>,
    accounts: HashMap<String, Arc<MemoryUsage>>,
    total: MemoryUsage,
    next_ticket: AtomicU64,
    handed_over: AtomicBool,
}

impl<A> ReplayMemory<A> {
    /// Creates an empty memory that issues tickets of `incarnation`.
    #[must_use]
    pub fn new(incarnation: u64, limits: ReplayLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: HashMap::new(),
            accounts: HashMap::new(),
            total: MemoryUsage::default(),
            next_ticket: AtomicU64::new(0),
            handed_over: AtomicBool::new(false),
        }
    }

    /// Decides whether a request with `key` may run.
    ///
    /// `remaining` is the time until the request's deadline. If the end of the request is not reported by then, its
    /// outcome becomes unknown.
    pub fn begin(
        &self,
        now: MonotonicTime,
        account: &str,
        key: &IdempotencyKey,
        digest: RequestDigest,
        remaining: Duration,
    ) -> ReplayDecision<A> {
        let scoped = ScopedKey::new(account, key);
        if let Some(record) = self.records.pin().get(&scoped) {
            return decide(now, record, digest);
        }
        // The new owner may have the key, so a full memory here must not be reported as "not run".
        if self.is_handed_over() {
            return ReplayDecision::HandedOver;
        }
        let account_usage = self.account_usage(account);
        if self.is_answer_storage_full(&account_usage) || !self.reserve_entry(&account_usage) {
            return ReplayDecision::Full;
        }
        let deadline = now + remaining;
        let record = ReplayRecord {
            digest,
            ticket: self.issue_ticket(),
            account_usage,
            keep_until: deadline + KEY_RETENTION,
            state: ReplayState::Running(deadline),
        };
        self.insert_new(now, &scoped, record)
    }

    /// Records the end of the request that runs under `ticket`.
    pub fn finish(
        &self,
        now: MonotonicTime,
        account: &str,
        key: &IdempotencyKey,
        ticket: ReplayTicket,
        end: ReplayEnd<A>,
    ) -> FinishOutcome {
        let scoped = ScopedKey::new(account, key);
        match end {
            ReplayEnd::NotRun => self.release(&scoped, ticket),
            ReplayEnd::Unknown => self.record_end(now, &scoped, ticket, || ReplayState::Unknown),
            ReplayEnd::AnswerNotKept => {
                self.record_end(now, &scoped, ticket, || ReplayState::NotKept)
            }
            ReplayEnd::Answered { answer, bytes } => {
                self.record_answer(now, &scoped, ticket, &answer, bytes)
            }
        }
    }

    /// Removes the keys whose retention has passed.
    pub fn sweep(&self, now: MonotonicTime) {
        let records = self.records.pin();
        for (key, record) in &records {
            if now >= record.keep_until {
                self.remove_record(key, |record| now >= record.keep_until);
            }
        }
    }

    /// Returns all keys for another instance and stops accepting new keys.
    ///
    /// Later reports about running requests must be forwarded to the other instance.
    #[must_use]
    pub fn export(&self, now: MonotonicTime) -> Vec<ReplayEntry<A>> {
        self.handed_over.store(true, Ordering::SeqCst);
        fence(Ordering::SeqCst);
        let records = self.records.pin();
        records
            .iter()
            .map(|(scoped, record)| export_entry(now, scoped, record))
            .collect()
    }

    /// Returns whether the keys have been handed over.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.load(Ordering::SeqCst)
    }

    /// Imports the keys of another instance.
    ///
    /// A repeated import adds only the progress of requests since the previous one. If a key is already present under
    /// another permission, the outcome of its request becomes unknown.
    ///
    /// # Errors
    ///
    /// Returns the number of keys that exceeded the limits. Because they are missing, an absent key need not be new.
    pub fn import(
        &self,
        now: MonotonicTime,
        entries: Vec<ReplayEntry<A>>,
    ) -> Result<(), ImportError> {
        let rejected = entries
            .into_iter()
            .filter(|entry| !self.import_entry(now, entry))
            .count();
        if rejected == 0 {
            Ok(())
        } else {
            Err(ImportError { rejected })
        }
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.total.entries.load(Ordering::Relaxed)
    }

    /// Returns whether no key is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the total size of stored answers in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.total.bytes.load(Ordering::Relaxed)
    }

    /// Stores a key for which an entry is reserved, unless another thread has stored it or the keys have been handed
    /// over.
    fn insert_new(
        &self,
        now: MonotonicTime,
        scoped: &ScopedKey,
        record: ReplayRecord<A>,
    ) -> ReplayDecision<A> {
        let ticket = record.ticket;
        let records = self.records.pin();
        if let Err(occupied) = records.try_insert(scoped.clone(), record) {
            self.release_entry(&occupied.not_inserted.account_usage);
            return decide(now, occupied.current, occupied.not_inserted.digest);
        }
        // Either this load observes the hand-over, or the export observes the record: each side writes before its fence
        // and reads after it.
        fence(Ordering::SeqCst);
        if self.is_handed_over() {
            self.remove_record(scoped, |record| record.ticket == ticket);
            return ReplayDecision::HandedOver;
        }
        ReplayDecision::Run(ticket)
    }

    fn release(&self, scoped: &ScopedKey, ticket: ReplayTicket) -> FinishOutcome {
        let removed = self.remove_record(scoped, |record| {
            record.ticket == ticket && matches!(record.state, ReplayState::Running(_))
        });
        if removed {
            FinishOutcome::Released
        } else {
            FinishOutcome::Ignored
        }
    }

    fn record_answer(
        &self,
        now: MonotonicTime,
        scoped: &ScopedKey,
        ticket: ReplayTicket,
        answer: &Arc<A>,
        bytes: usize,
    ) -> FinishOutcome {
        let account_usage = self.account_usage(&scoped.account);
        if !self.reserve_bytes(&account_usage, bytes) {
            return self.record_end(now, scoped, ticket, || ReplayState::NotKept);
        }
        let outcome = self.record_end(now, scoped, ticket, || ReplayState::Answered {
            answer: Arc::clone(answer),
            bytes,
        });
        if outcome == FinishOutcome::Ignored {
            self.release_bytes(&account_usage, bytes);
        }
        outcome
    }

    /// Replaces the state of a request that has not ended or whose outcome is unknown.
    fn record_end(
        &self,
        now: MonotonicTime,
        scoped: &ScopedKey,
        ticket: ReplayTicket,
        state: impl Fn() -> ReplayState<A>,
    ) -> FinishOutcome {
        let records = self.records.pin();
        let change = records.compute(scoped.clone(), |entry| match entry {
            Some((_, record)) if record.ticket == ticket && is_open(&record.state) => {
                Operation::Insert(ReplayRecord {
                    digest: record.digest,
                    ticket,
                    account_usage: Arc::clone(&record.account_usage),
                    keep_until: record.keep_until.max(now + KEY_RETENTION),
                    state: state(),
                })
            }
            _ => Operation::Abort(()),
        });
        match change {
            Compute::Updated { .. } => FinishOutcome::Recorded,
            _ => FinishOutcome::Ignored,
        }
    }

    fn import_entry(&self, now: MonotonicTime, entry: &ReplayEntry<A>) -> bool {
        let account_usage = self.account_usage(&entry.account);
        if !self.reserve_entry(&account_usage) {
            return false;
        }
        let scoped = ScopedKey::new(&entry.account, &entry.key);
        let record = ReplayRecord {
            digest: entry.digest,
            ticket: entry.ticket,
            account_usage: Arc::clone(&account_usage),
            keep_until: now + entry.retention,
            state: self.import_state(now, &account_usage, &entry.progress),
        };
        let records = self.records.pin();
        let Err(occupied) = records.try_insert(scoped.clone(), record) else {
            return true;
        };
        self.release_entry(&account_usage);
        self.release_bytes(&account_usage, occupied.not_inserted.state.kept_bytes());
        self.merge_entry(now, &scoped, entry);
        true
    }

    fn import_state(
        &self,
        now: MonotonicTime,
        account_usage: &MemoryUsage,
        progress: &ReplayProgress<A>,
    ) -> ReplayState<A> {
        match progress {
            ReplayProgress::Running(remaining) => ReplayState::Running(now + *remaining),
            ReplayProgress::Unknown => ReplayState::Unknown,
            ReplayProgress::Answered { answer, bytes }
                if self.reserve_bytes(account_usage, *bytes) =>
            {
                ReplayState::Answered {
                    answer: Arc::clone(answer),
                    bytes: *bytes,
                }
            }
            ReplayProgress::Answered { .. } | ReplayProgress::AnswerNotKept => ReplayState::NotKept,
        }
    }

    /// Updates a key that is already present with the progress at the other instance.
    fn merge_entry(&self, now: MonotonicTime, scoped: &ScopedKey, entry: &ReplayEntry<A>) {
        let present = self.records.pin().get(scoped).map(|record| record.ticket);
        let Some(ticket) = present else {
            return;
        };
        if ticket != entry.ticket {
            self.record_end(now, scoped, ticket, || ReplayState::Unknown);
            return;
        }
        match &entry.progress {
            ReplayProgress::Running(_) => {}
            ReplayProgress::Unknown => {
                self.record_end(now, scoped, ticket, || ReplayState::Unknown);
            }
            ReplayProgress::AnswerNotKept => {
                self.record_end(now, scoped, ticket, || ReplayState::NotKept);
            }
            ReplayProgress::Answered { answer, bytes } => {
                self.record_answer(now, scoped, ticket, answer, *bytes);
            }
        }
    }

    fn remove_record(
        &self,
        scoped: &ScopedKey,
        should_remove: impl Fn(&ReplayRecord<A>) -> bool,
    ) -> bool {
        let records = self.records.pin();
        let removed = records.remove_if(scoped, |_, record| should_remove(record));
        let Ok(Some((_, record))) = removed else {
            return false;
        };
        self.release_entry(&record.account_usage);
        self.release_bytes(&record.account_usage, record.state.kept_bytes());
        true
    }

    fn issue_ticket(&self) -> ReplayTicket {
        ReplayTicket {
            incarnation: self.incarnation,
            number: self.next_ticket.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn account_usage(&self, account: &str) -> Arc<MemoryUsage> {
        let accounts = self.accounts.pin();
        if let Some(account_usage) = accounts.get(account) {
            return Arc::clone(account_usage);
        }
        Arc::clone(accounts.get_or_insert_with(account.to_owned(), Arc::default))
    }

    fn is_answer_storage_full(&self, account_usage: &MemoryUsage) -> bool {
        self.total.bytes.load(Ordering::Relaxed) >= self.limits.answer_bytes
            || account_usage.bytes.load(Ordering::Relaxed) >= self.limits.account_answer_bytes
    }

    fn reserve_entry(&self, account_usage: &MemoryUsage) -> bool {
        if !reserve_amount(&self.total.entries, 1, self.limits.entries) {
            return false;
        }
        let reserved = reserve_amount(&account_usage.entries, 1, self.limits.account_entries);
        if !reserved {
            release_amount(&self.total.entries, 1);
        }
        reserved
    }

    fn release_entry(&self, account_usage: &MemoryUsage) {
        release_amount(&self.total.entries, 1);
        release_amount(&account_usage.entries, 1);
    }

    fn reserve_bytes(&self, account_usage: &MemoryUsage, bytes: usize) -> bool {
        let fits = bytes <= MAX_ANSWER_BYTES;
        if !fits || !reserve_amount(&self.total.bytes, bytes, self.limits.answer_bytes) {
            return false;
        }
        let limit = self.limits.account_answer_bytes;
        let reserved = reserve_amount(&account_usage.bytes, bytes, limit);
        if !reserved {
            release_amount(&self.total.bytes, bytes);
        }
        reserved
    }

    fn release_bytes(&self, account_usage: &MemoryUsage, bytes: usize) {
        release_amount(&self.total.bytes, bytes);
        release_amount(&account_usage.bytes, bytes);
    }
}

fn decide<A>(
    now: MonotonicTime,
    record: &ReplayRecord<A>,
    digest: RequestDigest,
) -> ReplayDecision<A> {
    if record.digest != digest {
        return ReplayDecision::Mismatch;
    }
    match &record.state {
        ReplayState::Running(deadline) if now < *deadline => ReplayDecision::InProgress,
        ReplayState::Running(_) | ReplayState::Unknown => ReplayDecision::Unknown,
        ReplayState::Answered { answer, .. } => ReplayDecision::Answered(Arc::clone(answer)),
        ReplayState::NotKept => ReplayDecision::AnswerNotKept,
    }
}

/// Returns whether a later report may still change the state.
fn is_open<A>(state: &ReplayState<A>) -> bool {
    matches!(state, ReplayState::Running(_) | ReplayState::Unknown)
}

fn export_entry<A>(
    now: MonotonicTime,
    scoped: &ScopedKey,
    record: &ReplayRecord<A>,
) -> ReplayEntry<A> {
    let progress = match &record.state {
        ReplayState::Running(deadline) => ReplayProgress::Running(deadline.since(now)),
        ReplayState::Unknown => ReplayProgress::Unknown,
        ReplayState::Answered { answer, bytes } => ReplayProgress::Answered {
            answer: Arc::clone(answer),
            bytes: *bytes,
        },
        ReplayState::NotKept => ReplayProgress::AnswerNotKept,
    };
    ReplayEntry {
        account: scoped.account.clone(),
        key: scoped.key.clone(),
        digest: record.digest,
        ticket: record.ticket,
        progress,
        retention: record.keep_until.since(now),
    }
}

fn reserve_amount(counter: &AtomicUsize, amount: usize, limit: usize) -> bool {
    counter
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            used.checked_add(amount).filter(|sum| *sum <= limit)
        })
        .is_ok()
}

fn release_amount(counter: &AtomicUsize, amount: usize) {
    counter.fetch_sub(amount, Ordering::Relaxed);
}
