//! Attempts to run a request on an upstream, and the decision to deliver, retry or refuse it after an attempt.

use std::time::Duration;

use crate::retry_budget::{MAX_ATTEMPTS, backoff_delay};

/// Whether the upstream ran the request of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// The upstream did not run the request.
    NotSent,
    /// The upstream may have run the request.
    PossiblyRun,
    /// The upstream ran the request and started its answer.
    Answered,
}

/// Whether a request ran, as reported to the caller.
///
/// The variants are ordered by evidence: a later variant is never replaced by an earlier one.
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
    /// Returns the stable text of the status that the caller receives.
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
    /// The connection returned the request before any of it was sent.
    NeverSent,
    /// The upstream replied that it sheds load and did not run the request.
    Shed,
    /// The upstream replied that it is draining and did not run the request.
    Draining,
    /// The connection broke after a part of the request was sent and before the answer started.
    ConnectionBroken,
    /// The attempt timed out after a part of the request was sent.
    TimedOut,
    /// The attempt was cancelled after a part of the request was sent.
    Cancelled,
    /// The answer ended early, before any of it was relayed to the caller.
    AnswerTruncated,
    /// The upstream answered.
    Answered,
}

impl AttemptEnd {
    /// Returns whether the upstream ran the request of an attempt with this end.
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

    /// Returns whether a part of the request body may have been sent, so that a retry must send it again.
    const fn consumes_body(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::NeverSent)
    }

    /// Returns whether the failure concerns only the upstream of the attempt and does not indicate load on the others.
    const fn concerns_one_upstream(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NeverSent | Self::Draining)
    }

    /// Returns the reason for the refusal of a request whose last attempt has this end.
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

/// The number of attempts of one request and whether any of them ran it.
///
/// The history can be neither copied nor reset, and starting an attempt consumes it until the attempt has ended. A
/// refusal therefore cannot report "not run" while an attempt is open or after an attempt that may have run.
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
    run_status: RunStatus,
    attempts: u32,
}

impl AttemptHistory {
    /// Creates the history of a request without attempts.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            run_status: RunStatus::NotRun,
            attempts: 0,
        }
    }

    /// Creates the history of a request that its caller may have sent before with the same idempotency key.
    ///
    /// Until the owner of the key has confirmed that the key is new, the earlier request may have run.
    #[must_use]
    pub const fn for_possible_repeat() -> Self {
        Self {
            run_status: RunStatus::Unknown,
            attempts: 0,
        }
    }

    /// Starts an attempt, which holds the history until it ends.
    pub fn start_attempt(self) -> OpenAttempt {
        OpenAttempt {
            history: Self {
                run_status: self.run_status,
                attempts: self.attempts + 1,
            },
        }
    }

    /// Returns whether the request ran, according to the attempts that have ended.
    #[must_use]
    pub const fn run_status(&self) -> RunStatus {
        self.run_status
    }

    /// Returns the number of attempts that were started.
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

/// An attempt that has not ended, with the history of its request.
#[derive(Debug)]
#[must_use = "dropping an attempt loses the run status of the request"]
pub struct OpenAttempt {
    history: AttemptHistory,
}

impl OpenAttempt {
    /// Ends the attempt and returns the history that includes it.
    #[must_use]
    pub fn finish(self, end: AttemptEnd) -> AttemptHistory {
        let attempt_status = match end.state() {
            AttemptState::NotSent => RunStatus::NotRun,
            AttemptState::PossiblyRun => RunStatus::Unknown,
            AttemptState::Answered => RunStatus::Run,
        };
        AttemptHistory {
            run_status: self.history.run_status.max(attempt_status),
            attempts: self.history.attempts,
        }
    }
}

/// The reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The route requires an access key and the request carries none.
    MissingKey,
    /// The access key is not in the configuration.
    UnknownKey,
    /// The access key was withdrawn while the request was in progress.
    KeyWithdrawn,
    /// The client account may not use the route.
    AccountNotAllowed,
    /// The client account has exceeded its rate limit.
    OverRate,
    /// No route matches the path.
    NoRoute,
    /// No upstream has a free slot, or the request waited too long for one.
    NoFreeSlot,
    /// The request was removed from a full wait queue to make room for another one.
    QueueShed,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// Requests with the same fingerprint have crashed upstreams.
    CrashSuspect,
    /// The instance has been cut off from the platform for longer than the route permits.
    Isolated,
    /// The instance is leaving the fleet.
    Leaving,
    /// The instance has no configuration or has not confirmed its seat.
    NotReady,
    /// It is unknown whether this request, or an earlier one with its idempotency key, ran.
    OutcomeUnknown,
    /// The owner of the idempotency key did not report whether a request with the key ran.
    KeyOwnerUnreachable,
    /// An earlier request with the idempotency key is still running.
    KeyInProgress,
    /// The idempotency key was used for a different request.
    KeyMismatch,
    /// An earlier request with the idempotency key ran and its answer was not stored.
    AnswerNotKept,
    /// A limit of the replay memory is reached at the owner of the idempotency key.
    ReplayMemoryFull,
    /// The body of the request exceeds the permitted size.
    BodyTooLarge,
    /// The request is not well-formed.
    Malformed,
    /// An upstream failed and no other attempt is possible.
    UpstreamFailed,
    /// The caller closed its connection before it received an answer.
    CallerGone,
}

impl RefusalKind {
    /// All reasons, in the order of their declaration.
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

    /// Returns the stable reason code that the caller receives.
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

    /// Returns whether the reason may no longer apply when the same request is sent again.
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

    /// Returns the run status that follows from the reason alone; the attempts can only raise it.
    const fn minimum_run_status(self) -> RunStatus {
        match self {
            Self::OutcomeUnknown | Self::KeyOwnerUnreachable | Self::KeyInProgress => {
                RunStatus::Unknown
            }
            Self::AnswerNotKept => RunStatus::Run,
            _ => RunStatus::NotRun,
        }
    }
}

/// A refusal and its run status, which cannot be set: it follows from the reason and the history of the attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    kind: RefusalKind,
    run_status: RunStatus,
    is_retryable: bool,
}

impl Refusal {
    /// Creates the refusal of a request with the given history.
    ///
    /// `is_repeat_safe` states that sending the request again has no second effect, because it is idempotent or carries
    /// an idempotency key.
    #[must_use]
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a refused request starts no further attempt"
    )]
    pub fn new(kind: RefusalKind, history: AttemptHistory, is_repeat_safe: bool) -> Self {
        let run_status = history.run_status.max(kind.minimum_run_status());
        let may_repeat = is_repeat_safe || run_status == RunStatus::NotRun;
        Self {
            kind,
            run_status,
            is_retryable: kind.is_transient() && may_repeat,
        }
    }

    /// Creates the refusal of a request without attempts.
    #[must_use]
    pub fn before_attempt(kind: RefusalKind, is_repeat_safe: bool) -> Self {
        Self::new(kind, AttemptHistory::new(), is_repeat_safe)
    }

    /// Returns the reason of the refusal.
    #[must_use]
    pub const fn kind(&self) -> RefusalKind {
        self.kind
    }

    /// Returns whether the request ran, as reported to the caller.
    #[must_use]
    pub const fn run_status(&self) -> RunStatus {
        self.run_status
    }

    /// Returns whether the caller may send the request again with a chance of success and without a second effect.
    #[must_use]
    pub const fn is_retryable(&self) -> bool {
        self.is_retryable
    }
}

/// The conditions on which a retry depends besides the history of the attempts.
#[derive(Debug, Clone, Copy)]
pub struct RetryConditions {
    /// Whether the request may run twice without a second effect.
    pub idempotent: bool,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
    /// Whether the body can be sent again.
    pub body_replayable: bool,
    /// The time until the deadline of the request; zero if it has passed.
    pub remaining: Duration,
    /// A random number for the jitter of the backoff, uniform over its whole range.
    pub random: u64,
}

/// The step that follows the end of an attempt.
#[derive(Debug)]
pub enum NextStep {
    /// The answer is delivered to the caller.
    Deliver(AttemptHistory),
    /// The request is sent to another upstream after a wait.
    Retry {
        /// The history that starts the next attempt.
        history: AttemptHistory,
        /// The time until the next attempt; may be zero.
        wait: Duration,
    },
    /// The request is refused.
    Refuse(Refusal),
}

/// Decides which step follows the end of an attempt.
///
/// `try_take_retry` takes one retry from the retry budget and returns whether there was one. It is called only if every
/// other condition permits a retry.
#[must_use]
pub fn decide_next_step(
    attempt: OpenAttempt,
    end: AttemptEnd,
    conditions: &RetryConditions,
    try_take_retry: impl FnOnce() -> bool,
) -> NextStep {
    let history = attempt.finish(end);
    if end == AttemptEnd::Answered {
        return NextStep::Deliver(history);
    }
    let wait = retry_wait(end, history.attempts(), conditions.random);
    let is_safe = conditions.idempotent || history.run_status() == RunStatus::NotRun;
    let is_body_sendable = conditions.body_replayable || !end.consumes_body();
    let is_in_time = wait < conditions.remaining;
    let may_retry = end != AttemptEnd::Cancelled && history.attempts() < MAX_ATTEMPTS;
    if is_safe && is_body_sendable && is_in_time && may_retry && try_take_retry() {
        return NextStep::Retry { history, wait };
    }
    let kind = if conditions.remaining.is_zero() && end != AttemptEnd::Cancelled {
        RefusalKind::DeadlinePassed
    } else {
        end.refusal_kind(conditions.idempotent)
    };
    NextStep::Refuse(Refusal::new(
        kind,
        history,
        conditions.idempotent || conditions.keyed,
    ))
}

/// Returns the wait before the next attempt.
///
/// A failure that concerns one upstream only is retried without a wait, because it does not indicate load on the
/// others.
fn retry_wait(end: AttemptEnd, attempts: u32, random: u64) -> Duration {
    if end.concerns_one_upstream() {
        Duration::ZERO
    } else {
        backoff_delay(attempts, random)
    }
}
