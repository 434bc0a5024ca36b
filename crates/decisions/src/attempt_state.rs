//! What is known of the attempts of a request, and what follows from the end of one.

use std::time::Duration;

use crate::retry_budget::{MAX_ATTEMPTS, backoff_delay};

/// What is known of one attempt to run a request on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// The upstream did not run the request.
    NotSent,
    /// The upstream may have run the request.
    PossiblyRun,
    /// The upstream ran the request and began to answer.
    Answered,
}

/// What a caller is told about whether its request ran.
///
/// The order is that of growing evidence: a later variant is never replaced by an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunStatus {
    /// No upstream ran the request.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
    /// An upstream ran the request.
    Run,
}

impl RunStatus {
    /// Returns the stable text of the mark.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Run => "run",
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection to the upstream could be opened.
    ConnectFailed,
    /// The connection handed the request back unsent.
    NeverSent,
    /// The upstream said that it sheds load and did not run the request.
    Shed,
    /// The upstream said that it is draining and did not run the request.
    Draining,
    /// The connection broke after a part of the request was sent and before an answer began.
    ConnectionBroken,
    /// The time of the attempt ran out after a part of the request was sent.
    TimedOut,
    /// The attempt was cancelled after a part of the request was sent.
    Cancelled,
    /// The answer broke off before any of it was passed on to the caller.
    AnswerTruncated,
    /// The upstream answered.
    Answered,
}

impl AttemptEnd {
    /// Returns what is known of an attempt that ended this way.
    #[must_use]
    pub const fn state(self) -> AttemptState {
        match self {
            Self::ConnectFailed | Self::NeverSent | Self::Shed | Self::Draining => {
                AttemptState::NotSent
            }
            Self::ConnectionBroken | Self::TimedOut | Self::Cancelled => AttemptState::PossiblyRun,
            Self::AnswerTruncated | Self::Answered => AttemptState::Answered,
        }
    }

    /// Tells whether a part of the request body may have left, so that a retry must replay it.
    const fn consumes_body(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::NeverSent)
    }

    /// Tells whether the failure says nothing about the load of other upstreams.
    const fn concerns_one_upstream(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NeverSent | Self::Draining)
    }

    /// Returns the reason to refuse a request whose last attempt ended this way.
    const fn refusal_kind(self, idempotent: bool) -> RefusalKind {
        match self {
            Self::Shed | Self::Draining => RefusalKind::NoFreeSlot,
            Self::TimedOut => RefusalKind::DeadlinePassed,
            Self::Cancelled => RefusalKind::CallerGone,
            Self::ConnectionBroken if !idempotent => RefusalKind::OutcomeUnknown,
            _ => RefusalKind::UpstreamFailed,
        }
    }
}

/// What all ended attempts of one request say about whether it ran.
///
/// The history can be neither copied nor reset, and starting an attempt consumes it until the
/// attempt has ended. A refusal therefore cannot state "not run" while an attempt is open or after
/// one that may have run.
///
/// ```compile_fail,E0382
/// use coltsfootkeel_decisions::{Refusal, RefusalKind, AttemptHistory};
///
/// let history = AttemptHistory::new();
/// let attempt = history.start_attempt();
/// let refusal = Refusal::new(RefusalKind::UpstreamFailed, history, false);
/// # drop((attempt, refusal));
/// ```
#[derive(Debug)]
pub struct AttemptHistory {
    mark: RunStatus,
    attempts: u32,
}

impl AttemptHistory {
    /// Makes the history of a request that has just arrived.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            mark: RunStatus::NotRun,
            attempts: 0,
        }
    }

    /// Makes the history of a request that its caller may have sent before under the same idempotency key. Until the
    /// owner of the key has said that it is new, an earlier send may have run.
    #[must_use]
    pub const fn for_possible_repeat() -> Self {
        Self {
            mark: RunStatus::Unknown,
            attempts: 0,
        }
    }

    /// Starts an attempt.
    pub fn start_attempt(self) -> OpenAttempt {
        OpenAttempt {
            history: Self {
                mark: self.mark,
                attempts: self.attempts + 1,
            },
        }
    }

    /// Returns what may be said about whether the request ran.
    #[must_use]
    pub const fn run_status(&self) -> RunStatus {
        self.mark
    }

    /// Returns the number of attempts, including an open one.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self::new()
    }
}

/// An attempt that has not ended.
#[derive(Debug)]
#[must_use = "an attempt that is dropped leaves the request without a run mark"]
pub struct OpenAttempt {
    history: AttemptHistory,
}

impl OpenAttempt {
    /// Ends the attempt and returns the history that includes it.
    #[must_use]
    pub fn finish(self, end: AttemptEnd) -> AttemptHistory {
        let seen = match end.state() {
            AttemptState::NotSent => RunStatus::NotRun,
            AttemptState::PossiblyRun => RunStatus::Unknown,
            AttemptState::Answered => RunStatus::Run,
        };
        AttemptHistory {
            mark: self.history.mark.max(seen),
            attempts: self.history.attempts,
        }
    }
}

/// Why the system refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The route needs an access key and the request carries none.
    MissingKey,
    /// The access key is not known.
    UnknownKey,
    /// The access key was withdrawn while the request was being handled.
    KeyWithdrawn,
    /// The client account may not use the route.
    AccountNotAllowed,
    /// The client account has used up its rate.
    OverRate,
    /// No route matches the path.
    NoRoute,
    /// No upstream has a free slot, or the request waited too long for one.
    NoFreeSlot,
    /// The request gave way in the wait queue to a more urgent one.
    QueueShed,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// Requests like this one have crashed upstreams.
    CrashSuspect,
    /// The instance is cut off from the platform for longer than the route permits.
    Isolated,
    /// The instance is leaving.
    Leaving,
    /// The instance has no configuration or has not confirmed its seat.
    NotReady,
    /// It cannot be told whether a request with this idempotency key ran.
    OutcomeUnknown,
    /// The owner of the idempotency key did not say whether a request with it ran.
    KeyOwnerUnreachable,
    /// A request with this idempotency key is running.
    KeyInProgress,
    /// The idempotency key was used for a different request.
    KeyMismatch,
    /// A request with this idempotency key ran and its answer was not kept.
    AnswerNotKept,
    /// The owner of the idempotency key cannot remember another one.
    ReplayMemoryFull,
    /// The body is longer than permitted.
    BodyTooLarge,
    /// The request cannot be understood.
    Malformed,
    /// An upstream failed and no other attempt is possible.
    UpstreamFailed,
    /// The caller closed its connection before an answer.
    CallerGone,
}

impl RefusalKind {
    /// Every reason.
    pub const ALL: [Self; 23] = [
        Self::MissingKey,
        Self::UnknownKey,
        Self::KeyWithdrawn,
        Self::AccountNotAllowed,
        Self::OverRate,
        Self::NoRoute,
        Self::NoFreeSlot,
        Self::QueueShed,
        Self::DeadlinePassed,
        Self::CrashSuspect,
        Self::Isolated,
        Self::Leaving,
        Self::NotReady,
        Self::OutcomeUnknown,
        Self::KeyOwnerUnreachable,
        Self::KeyInProgress,
        Self::KeyMismatch,
        Self::AnswerNotKept,
        Self::ReplayMemoryFull,
        Self::BodyTooLarge,
        Self::Malformed,
        Self::UpstreamFailed,
        Self::CallerGone,
    ];

    /// Returns the stable text of the reason.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::MissingKey => "missing_key",
            Self::UnknownKey => "unknown_key",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::AccountNotAllowed => "account_not_allowed",
            Self::OverRate => "over_rate",
            Self::NoRoute => "no_route",
            Self::NoFreeSlot => "no_free_slot",
            Self::QueueShed => "queue_shed",
            Self::DeadlinePassed => "deadline_passed",
            Self::CrashSuspect => "crash_suspect",
            Self::Isolated => "isolated",
            Self::Leaving => "leaving",
            Self::NotReady => "not_ready",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyOwnerUnreachable => "key_owner_unreachable",
            Self::KeyInProgress => "key_in_progress",
            Self::KeyMismatch => "key_mismatch",
            Self::AnswerNotKept => "answer_not_kept",
            Self::ReplayMemoryFull => "replay_memory_full",
            Self::BodyTooLarge => "body_too_large",
            Self::Malformed => "malformed",
            Self::UpstreamFailed => "upstream_failed",
            Self::CallerGone => "caller_gone",
        }
    }

    /// Tells whether the reason may be gone when the same request is sent again.
    #[must_use]
    pub const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::OverRate
                | Self::NoFreeSlot
                | Self::QueueShed
                | Self::DeadlinePassed
                | Self::Isolated
                | Self::Leaving
                | Self::NotReady
                | Self::KeyOwnerUnreachable
                | Self::KeyInProgress
                | Self::ReplayMemoryFull
                | Self::UpstreamFailed
        )
    }

    /// Returns the least that the reason itself says about whether the request ran.
    const fn least_mark(self) -> RunStatus {
        match self {
            Self::OutcomeUnknown | Self::KeyOwnerUnreachable | Self::KeyInProgress => {
                RunStatus::Unknown
            }
            Self::AnswerNotKept => RunStatus::Run,
            _ => RunStatus::NotRun,
        }
    }
}

/// A refusal with its run mark, which only the history of the request's attempts determines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    kind: RefusalKind,
    mark: RunStatus,
    is_retryable: bool,
}

impl Refusal {
    /// Makes the refusal of a request with the given history.
    ///
    /// `repeat_safe` tells whether a repeat cannot run the request twice, because it is idempotent
    /// or carries an idempotency key.
    #[must_use]
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a refused request starts no further attempt"
    )]
    pub fn new(kind: RefusalKind, history: AttemptHistory, repeat_safe: bool) -> Self {
        let mark = history.mark.max(kind.least_mark());
        let harmless = repeat_safe || mark == RunStatus::NotRun;
        Self {
            kind,
            mark,
            is_retryable: kind.is_transient() && harmless,
        }
    }

    /// Makes the refusal of a request that was never attempted.
    #[must_use]
    pub fn before_attempt(kind: RefusalKind, repeat_safe: bool) -> Self {
        Self::new(kind, AttemptHistory::new(), repeat_safe)
    }

    /// Returns the reason.
    #[must_use]
    pub const fn kind(&self) -> RefusalKind {
        self.kind
    }

    /// Returns what the caller is told about whether the request ran.
    #[must_use]
    pub const fn run_status(&self) -> RunStatus {
        self.mark
    }

    /// Tells whether it makes sense for the caller to send the request again.
    #[must_use]
    pub const fn is_retryable(&self) -> bool {
        self.is_retryable
    }
}

/// What the decision after an attempt depends on, besides the history.
#[derive(Debug, Clone, Copy)]
pub struct RetryConditions {
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
    /// Whether the body can be sent again.
    pub body_replayable: bool,
    /// The time until the request's deadline.
    pub remaining: Duration,
    /// A random number for the backoff, uniform over its whole range.
    pub random: u64,
}

/// What follows from the end of an attempt.
#[derive(Debug)]
pub enum NextStep {
    /// The answer goes to the caller.
    Deliver(AttemptHistory),
    /// The request is tried again on another upstream after a wait.
    Retry {
        /// The history for the next attempt.
        history: AttemptHistory,
        /// How long to wait first.
        wait: Duration,
    },
    /// The request is refused.
    Refuse(Refusal),
}

/// Decides what follows from the end of an attempt.
///
/// `take_budget` takes one retry from the budget; it is called only if every other condition permits
/// a retry.
#[must_use]
pub fn decide_next_step(
    attempt: OpenAttempt,
    end: AttemptEnd,
    facts: &RetryConditions,
    take_budget: impl FnOnce() -> bool,
) -> NextStep {
    let history = attempt.finish(end);
    if end == AttemptEnd::Answered {
        return NextStep::Deliver(history);
    }
    let wait = retry_wait(end, history.attempts(), facts.random);
    let safe = facts.idempotent || history.run_status() == RunStatus::NotRun;
    let sendable = facts.body_replayable || !end.consumes_body();
    let in_time = wait < facts.remaining;
    let wanted = end != AttemptEnd::Cancelled && history.attempts() < MAX_ATTEMPTS;
    if safe && sendable && in_time && wanted && take_budget() {
        return NextStep::Retry { history, wait };
    }
    let kind = if facts.remaining.is_zero() && end != AttemptEnd::Cancelled {
        RefusalKind::DeadlinePassed
    } else {
        end.refusal_kind(facts.idempotent)
    };
    NextStep::Refuse(Refusal::new(kind, history, facts.idempotent || facts.keyed))
}

/// Returns the wait before the next attempt.
///
/// A failure of one upstream says nothing about the others, so the next one is tried at once.
fn retry_wait(end: AttemptEnd, attempts: u32, random: u64) -> Duration {
    if end.concerns_one_upstream() {
        Duration::ZERO
    } else {
        backoff_delay(attempts, random)
    }
}
