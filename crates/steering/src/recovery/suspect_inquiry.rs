//! Decides from when on an instance that has started may send requests, although it has not seen which ones crash
//! upstreams.
//!
//! Load pattern: instances are restarted in turn while a caller keeps sending a request that crashes each upstream. The
//! other instances refuse it; one that sends requests before it has asked them lets it crash several more.

use std::collections::HashSet;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// Longest wait for an answer once the registered instances are known. A question and its answer take a tenth of a second
/// and a round trip, and several may be lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait since the start of the process.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// How the question for the crash suspects ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InquiryEnd {
    /// An instance that knows the suspects has answered.
    Answered,
    /// Every other instance has answered that it does not know them either, or there is none. What the store keeps of
    /// them is known.
    KnownToNone,
    /// No answer came in time.
    TimedOut,
}

/// The question for the crash suspects that an instance asks the others when it starts.
#[derive(Debug)]
pub struct SuspectInquiry {
    started_at: MonotonicTime,
    others_known_since: Option<MonotonicTime>,
    is_answered: bool,
    /// Whether the refused requests that the store keeps are known.
    has_read_store: bool,
    /// Instances that have answered that they do not know the suspects.
    unaware: HashSet<u64>,
    end: Option<InquiryEnd>,
}

impl SuspectInquiry {
    /// Creates the inquiry of a process that starts at `now`. If all instances start for the first time, there is nothing
    /// to ask for.
    #[must_use]
    pub fn new(is_first_start: bool, now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            others_known_since: None,
            is_answered: false,
            has_read_store: false,
            unaware: HashSet::new(),
            end: is_first_start.then_some(InquiryEnd::Answered),
        }
    }

    /// Returns whether this instance knows the suspects as well as it can.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.end.is_some()
    }

    /// Records the answer of another instance. `is_aware` states whether its own inquiry was over.
    pub fn record_answer(&mut self, peer: u64, is_aware: bool) {
        if is_aware {
            self.is_answered = true;
        } else {
            self.unaware.insert(peer);
        }
    }

    /// Records that the refused requests in the store were read.
    pub fn record_store(&mut self) {
        self.has_read_store = true;
    }

    /// Ends the inquiry if that is possible, and returns how it ended when it does. `others` are the other registered
    /// instances; `None` while they are not known.
    pub fn update(&mut self, others: Option<&[u64]>, now: MonotonicTime) -> Option<InquiryEnd> {
        if self.end.is_some() {
            return None;
        }
        if others.is_some() && self.others_known_since.is_none() {
            self.others_known_since = Some(now);
        }
        let is_late = |since: MonotonicTime, timeout| now.since(since) >= timeout;
        let is_answer_late = self
            .others_known_since
            .is_some_and(|since| is_late(since, ANSWER_TIMEOUT));
        let is_none_aware =
            others.is_some_and(|others| others.iter().all(|peer| self.unaware.contains(peer)));
        self.end = if self.is_answered {
            Some(InquiryEnd::Answered)
        } else if is_none_aware && self.has_read_store {
            Some(InquiryEnd::KnownToNone)
        } else if is_answer_late || is_late(self.started_at, START_TIMEOUT) {
            Some(InquiryEnd::TimedOut)
        } else {
            None
        };
        self.end
    }
}
