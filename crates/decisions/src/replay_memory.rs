//! The memory of idempotency keys at the instance that owns them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering, fence};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use papaya::{Compute, HashMap, Operation};
use thiserror::Error;

use crate::attempt_state::{RefusalKind, RunStatus};
use crate::key_owner::{IdempotencyKey, KEY_RETENTION};

/// The largest answer that is kept, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A digest of a request, so that one key is not used for two requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDigest(pub u64);

/// Names one permission to run a request, so that a late or repeated report about an earlier run
/// does not release the key under a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayTicket {
    /// The incarnation that gave the permission.
    pub incarnation: u64,
    /// The number of the permission within the incarnation.
    pub number: u64,
}

/// Whether a request with an idempotency key may run.
#[derive(Debug)]
pub enum ReplayDecision<A> {
    /// The key is new: the request may run once, until its deadline.
    Run(ReplayTicket),
    /// The first request with the key has not ended.
    InProgress,
    /// It cannot be told whether the first request ran.
    Unknown,
    /// The first request was answered.
    Answered(Arc<A>),
    /// The first request was answered and the answer was not kept.
    AnswerNotKept,
    /// The key was used for a different request.
    Mismatch,
    /// The key is new and there is no room to remember it.
    Full,
    /// The key is not here and the memory has been handed over, so the other instance must be asked.
    HandedOver,
}

impl<A> ReplayDecision<A> {
    /// Returns the reason to refuse the request, or nothing if it runs or has an answer.
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

/// How a request with an idempotency key ended.
#[derive(Debug)]
pub enum ReplayEnd<A> {
    /// The request did not run and the key is free again.
    NotRun,
    /// It cannot be told whether the request ran.
    Unknown,
    /// The request was answered.
    Answered {
        /// The answer.
        answer: Arc<A>,
        /// The size of the answer in bytes.
        bytes: usize,
    },
    /// The request was answered and the answer cannot be kept.
    AnswerNotKept,
}

impl<A> ReplayEnd<A> {
    /// Returns the end of a request that was refused with `mark`.
    #[must_use]
    pub fn from_run_status(mark: RunStatus) -> Self {
        match mark {
            RunStatus::NotRun => Self::NotRun,
            RunStatus::Unknown => Self::Unknown,
            RunStatus::Run => Self::AnswerNotKept,
        }
    }
}

/// What became of a report that a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The end was recorded.
    Recorded,
    /// The key is free again.
    Released,
    /// The report was late, repeated or about another run, and changed nothing.
    Ignored,
}

/// The bounds of a memory.
#[derive(Debug, Clone, Copy)]
pub struct ReplayLimits {
    /// The most keys.
    pub entries: usize,
    /// The most keys of one client account, so that no account takes the room of the others.
    pub account_entries: usize,
    /// The most bytes of kept answers.
    pub answer_bytes: usize,
    /// The most bytes of kept answers of one client account.
    pub account_answer_bytes: usize,
}

/// One key as it is handed over to another instance. Times are durations because clocks differ.
#[derive(Debug, Clone)]
pub struct ReplayEntry<A> {
    /// The name of the client account.
    pub account: String,
    /// The key.
    pub key: IdempotencyKey,
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The permission under which the request runs or ran.
    pub ticket: ReplayTicket,
    /// How far the request has come.
    pub progress: ReplayProgress<A>,
    /// How much longer the key is remembered.
    pub retention: Duration,
}

/// How far the request of a key has come.
#[derive(Debug)]
pub enum ReplayProgress<A> {
    /// It has not ended and its deadline passes after the given time.
    Running(Duration),
    /// It cannot be told whether it ran.
    Unknown,
    /// It was answered.
    Answered {
        /// The answer.
        answer: Arc<A>,
        /// The size of the answer in bytes.
        bytes: usize,
    },
    /// It was answered and the answer was not kept.
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

/// A fault of an import, after which the hand-over does not count as complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{rejected} of the keys handed over exceed the bound of the memory")]
pub struct ImportError {
    /// The number of keys that were not taken over.
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

/// Entries and bytes in use, of all accounts or of one.
#[derive(Debug, Default)]
struct MemoryUse {
    entries: AtomicUsize,
    bytes: AtomicUsize,
}

#[derive(Debug)]
struct ReplayRecord<A> {
    digest: RequestDigest,
    ticket: ReplayTicket,
    account_use: Arc<MemoryUse>,
    keep_until: MonotonicTime,
    state: ReplayState<A>,
}

#[derive(Debug)]
enum ReplayState<A> {
    /// Running until the deadline, and unknown after it.
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

/// The keys that one instance owns, with how far their requests have come.
///
/// Request threads share the memory without a lock. Keys are scoped by the name of the client
/// account, because names outlive generations of the configuration.
#[derive(Debug)]
pub struct ReplayMemory<A> {
    incarnation: u64,
    limits: ReplayLimits,
    records: HashMap<ScopedKey, ReplayRecord<A>>,
    accounts: HashMap<String, Arc<MemoryUse>>,
    total: MemoryUse,
    next_ticket: AtomicU64,
    handed_over: AtomicBool,
}

impl<A> ReplayMemory<A> {
    /// Makes an empty memory.
    #[must_use]
    pub fn new(incarnation: u64, limits: ReplayLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: HashMap::new(),
            accounts: HashMap::new(),
            total: MemoryUse::default(),
            next_ticket: AtomicU64::new(0),
            handed_over: AtomicBool::new(false),
        }
    }

    /// Decides whether a request with `key` may run.
    ///
    /// `remaining` is the time until the request's deadline. If the end is not reported by then, the
    /// key becomes unknown.
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
        // The new owner may know the key, so a lack of room here must not be reported as "not run".
        if self.is_handed_over() {
            return ReplayDecision::HandedOver;
        }
        let account_use = self.account_use(account);
        if self.lacks_bytes(&account_use) || !self.reserve_entry(&account_use) {
            return ReplayDecision::Full;
        }
        let deadline = now + remaining;
        let record = ReplayRecord {
            digest,
            ticket: self.issue_ticket(),
            account_use,
            keep_until: deadline + KEY_RETENTION,
            state: ReplayState::Running(deadline),
        };
        self.insert_new(now, &scoped, record)
    }

    /// Records how the request that runs under `ticket` ended.
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

    /// Forgets the keys whose retention has passed.
    pub fn sweep(&self, now: MonotonicTime) {
        let records = self.records.pin();
        for (key, record) in &records {
            if now >= record.keep_until {
                self.remove_record(key, |record| now >= record.keep_until);
            }
        }
    }

    /// Returns all keys for another instance, and takes no new key from now on.
    ///
    /// Reports of running requests that arrive later must be forwarded to the other instance.
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

    /// Tells whether the memory has been handed over.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.load(Ordering::SeqCst)
    }

    /// Takes over keys from another instance.
    ///
    /// A repeated import changes nothing but what has come further meanwhile. A key that is already
    /// here under another permission becomes unknown.
    ///
    /// # Errors
    ///
    /// Returns the number of keys for which there is no room. Without them, an absent key is not
    /// known to be new.
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

    /// Tells whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes of kept answers.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.total.bytes.load(Ordering::Relaxed)
    }

    /// Remembers a key for which an entry is reserved, unless another thread or a hand-over came first.
    fn insert_new(
        &self,
        now: MonotonicTime,
        scoped: &ScopedKey,
        record: ReplayRecord<A>,
    ) -> ReplayDecision<A> {
        let ticket = record.ticket;
        let records = self.records.pin();
        if let Err(occupied) = records.try_insert(scoped.clone(), record) {
            self.release_entry(&occupied.not_inserted.account_use);
            return decide(now, occupied.current, occupied.not_inserted.digest);
        }
        // Either this load sees the hand-over, or the export sees the record: each side writes first
        // and reads after its fence.
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
        let account_use = self.account_use(&scoped.account);
        if !self.reserve_bytes(&account_use, bytes) {
            return self.record_end(now, scoped, ticket, || ReplayState::NotKept);
        }
        let outcome = self.record_end(now, scoped, ticket, || ReplayState::Answered {
            answer: Arc::clone(answer),
            bytes,
        });
        if outcome == FinishOutcome::Ignored {
            self.release_bytes(&account_use, bytes);
        }
        outcome
    }

    /// Replaces the state of a request that has not ended, or whose end is unknown.
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
                    account_use: Arc::clone(&record.account_use),
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
        let account_use = self.account_use(&entry.account);
        if !self.reserve_entry(&account_use) {
            return false;
        }
        let scoped = ScopedKey::new(&entry.account, &entry.key);
        let record = ReplayRecord {
            digest: entry.digest,
            ticket: entry.ticket,
            account_use: Arc::clone(&account_use),
            keep_until: now + entry.retention,
            state: self.import_state(now, &account_use, &entry.progress),
        };
        let records = self.records.pin();
        let Err(occupied) = records.try_insert(scoped.clone(), record) else {
            return true;
        };
        self.release_entry(&account_use);
        self.release_bytes(&account_use, occupied.not_inserted.state.kept_bytes());
        self.merge_entry(now, &scoped, entry);
        true
    }

    fn import_state(
        &self,
        now: MonotonicTime,
        account_use: &MemoryUse,
        progress: &ReplayProgress<A>,
    ) -> ReplayState<A> {
        match progress {
            ReplayProgress::Running(remaining) => ReplayState::Running(now + *remaining),
            ReplayProgress::Unknown => ReplayState::Unknown,
            ReplayProgress::Answered { answer, bytes }
                if self.reserve_bytes(account_use, *bytes) =>
            {
                ReplayState::Answered {
                    answer: Arc::clone(answer),
                    bytes: *bytes,
                }
            }
            ReplayProgress::Answered { .. } | ReplayProgress::AnswerNotKept => ReplayState::NotKept,
        }
    }

    /// Brings a key that is already here up to what the other instance knows.
    fn merge_entry(&self, now: MonotonicTime, scoped: &ScopedKey, entry: &ReplayEntry<A>) {
        let here = self.records.pin().get(scoped).map(|record| record.ticket);
        let Some(ticket) = here else {
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
        self.release_entry(&record.account_use);
        self.release_bytes(&record.account_use, record.state.kept_bytes());
        true
    }

    fn issue_ticket(&self) -> ReplayTicket {
        ReplayTicket {
            incarnation: self.incarnation,
            number: self.next_ticket.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn account_use(&self, account: &str) -> Arc<MemoryUse> {
        let accounts = self.accounts.pin();
        if let Some(account_use) = accounts.get(account) {
            return Arc::clone(account_use);
        }
        Arc::clone(accounts.get_or_insert_with(account.to_owned(), Arc::default))
    }

    fn lacks_bytes(&self, account_use: &MemoryUse) -> bool {
        self.total.bytes.load(Ordering::Relaxed) >= self.limits.answer_bytes
            || account_use.bytes.load(Ordering::Relaxed) >= self.limits.account_answer_bytes
    }

    fn reserve_entry(&self, account_use: &MemoryUse) -> bool {
        if !reserve(&self.total.entries, 1, self.limits.entries) {
            return false;
        }
        let reserved = reserve(&account_use.entries, 1, self.limits.account_entries);
        if !reserved {
            give_back(&self.total.entries, 1);
        }
        reserved
    }

    fn release_entry(&self, account_use: &MemoryUse) {
        give_back(&self.total.entries, 1);
        give_back(&account_use.entries, 1);
    }

    fn reserve_bytes(&self, account_use: &MemoryUse, bytes: usize) -> bool {
        let fits = bytes <= MAX_ANSWER_BYTES;
        if !fits || !reserve(&self.total.bytes, bytes, self.limits.answer_bytes) {
            return false;
        }
        let most = self.limits.account_answer_bytes;
        let reserved = reserve(&account_use.bytes, bytes, most);
        if !reserved {
            give_back(&self.total.bytes, bytes);
        }
        reserved
    }

    fn release_bytes(&self, account_use: &MemoryUse, bytes: usize) {
        give_back(&self.total.bytes, bytes);
        give_back(&account_use.bytes, bytes);
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

/// Tells whether a later report may still say more.
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

fn reserve(counter: &AtomicUsize, amount: usize, most: usize) -> bool {
    counter
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            used.checked_add(amount).filter(|sum| *sum <= most)
        })
        .is_ok()
}

fn give_back(counter: &AtomicUsize, amount: usize) {
    counter.fetch_sub(amount, Ordering::Relaxed);
}
