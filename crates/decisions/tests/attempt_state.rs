//! Tests of the step that follows the end of an attempt, and of the run status that a refusal reports.

use std::collections::HashSet;
use std::time::Duration;

use coltsfootkeel_decisions::{
    AttemptEnd, AttemptHistory, AttemptState, MAX_ATTEMPTS, NextStep, Refusal, RefusalKind,
    RetryConditions, RunStatus, decide_next_step,
};

const SECOND: Duration = Duration::from_secs(1);

const ENDS: [AttemptEnd; 9] = [
    AttemptEnd::ConnectFailed,
    AttemptEnd::NeverSent,
    AttemptEnd::Shed,
    AttemptEnd::Draining,
    AttemptEnd::ConnectionBroken,
    AttemptEnd::TimedOut,
    AttemptEnd::Cancelled,
    AttemptEnd::AnswerTruncated,
    AttemptEnd::Answered,
];

/// The expected next step, without the history that a delivery or a retry carries.
#[derive(Debug, PartialEq)]
enum ExpectedStep {
    Deliver,
    Retry,
    Refuse(RefusalKind, RunStatus),
}

struct StepCase {
    name: &'static str,
    /// The ends of the attempts before the last one, oldest first.
    earlier_ends: &'static [AttemptEnd],
    /// The end of the last attempt.
    end: AttemptEnd,
    idempotent: bool,
    body_replayable: bool,
    /// The time until the deadline of the request.
    remaining: Duration,
    /// Whether the retry budget permits another attempt.
    has_budget: bool,
    expected: ExpectedStep,
}

/// A request that is not idempotent and was answered by its first attempt. The cases change single fields of it.
const ANSWERED_CASE: StepCase = StepCase {
    name: "",
    earlier_ends: &[],
    end: AttemptEnd::Answered,
    idempotent: false,
    body_replayable: true,
    remaining: SECOND,
    has_budget: true,
    expected: ExpectedStep::Deliver,
};

const STEP_CASES: [StepCase; 18] = [
    StepCase {
        name: "an answer is delivered",
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a request that was not sent is retried",
        end: AttemptEnd::NeverSent,
        expected: ExpectedStep::Retry,
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a request without a connection is retried although its body cannot be sent again",
        end: AttemptEnd::ConnectFailed,
        body_replayable: false,
        expected: ExpectedStep::Retry,
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a shed request is retried",
        end: AttemptEnd::Shed,
        expected: ExpectedStep::Retry,
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a shed request whose body cannot be sent again is refused",
        end: AttemptEnd::Shed,
        body_replayable: false,
        expected: ExpectedStep::Refuse(RefusalKind::NoFreeSlot, RunStatus::NotRun),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a request that a draining upstream refused is retried",
        end: AttemptEnd::Draining,
        expected: ExpectedStep::Retry,
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a request that was sent is not retried",
        end: AttemptEnd::ConnectionBroken,
        expected: ExpectedStep::Refuse(RefusalKind::OutcomeUnknown, RunStatus::Unknown),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "an idempotent request that was sent is retried",
        end: AttemptEnd::ConnectionBroken,
        idempotent: true,
        expected: ExpectedStep::Retry,
        ..ANSWERED_CASE
    },
    StepCase {
        name: "an idempotent request that was sent and whose body cannot be sent again is refused",
        end: AttemptEnd::ConnectionBroken,
        idempotent: true,
        body_replayable: false,
        expected: ExpectedStep::Refuse(RefusalKind::UpstreamFailed, RunStatus::Unknown),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a time-out leaves the outcome unknown",
        end: AttemptEnd::TimedOut,
        expected: ExpectedStep::Refuse(RefusalKind::DeadlinePassed, RunStatus::Unknown),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a truncated answer shows that the request ran",
        end: AttemptEnd::AnswerTruncated,
        expected: ExpectedStep::Refuse(RefusalKind::UpstreamFailed, RunStatus::Run),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "an idempotent request is retried after a truncated answer",
        end: AttemptEnd::AnswerTruncated,
        idempotent: true,
        expected: ExpectedStep::Retry,
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a cancelled request is never retried",
        end: AttemptEnd::Cancelled,
        idempotent: true,
        expected: ExpectedStep::Refuse(RefusalKind::CallerGone, RunStatus::Unknown),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a request that was not sent is refused if the retry budget is empty",
        end: AttemptEnd::NeverSent,
        has_budget: false,
        expected: ExpectedStep::Refuse(RefusalKind::UpstreamFailed, RunStatus::NotRun),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a request that was not sent is refused after its deadline",
        end: AttemptEnd::NeverSent,
        remaining: Duration::ZERO,
        expected: ExpectedStep::Refuse(RefusalKind::DeadlinePassed, RunStatus::NotRun),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "a request is refused after its third attempt",
        earlier_ends: &[AttemptEnd::NeverSent, AttemptEnd::Shed],
        end: AttemptEnd::NeverSent,
        expected: ExpectedStep::Refuse(RefusalKind::UpstreamFailed, RunStatus::NotRun),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "the run status stays unknown if the last attempt was not sent and an earlier one may have run",
        earlier_ends: &[AttemptEnd::ConnectionBroken],
        end: AttemptEnd::NeverSent,
        expected: ExpectedStep::Refuse(RefusalKind::UpstreamFailed, RunStatus::Unknown),
        ..ANSWERED_CASE
    },
    StepCase {
        name: "the run status stays unknown if an idempotent request may have run and is then shed",
        earlier_ends: &[AttemptEnd::ConnectionBroken, AttemptEnd::NeverSent],
        end: AttemptEnd::Shed,
        idempotent: true,
        expected: ExpectedStep::Refuse(RefusalKind::NoFreeSlot, RunStatus::Unknown),
        ..ANSWERED_CASE
    },
];

fn conditions(case: &StepCase) -> RetryConditions {
    RetryConditions {
        idempotent: case.idempotent,
        keyed: false,
        body_replayable: case.body_replayable,
        remaining: case.remaining,
        random: 1,
    }
}

fn history_of(ends: &[AttemptEnd]) -> AttemptHistory {
    ends.iter().fold(AttemptHistory::new(), |history, end| {
        history.start_attempt().finish(*end)
    })
}

/// Guards against a second run of a request that is not idempotent, and against a refusal with "not run" for a request
/// that ran. Both come about if the next step depends on the last attempt alone, or if an attempt after whose start the
/// connection broke or timed out counts as not sent.
#[test]
fn step_follows_from_the_end_of_an_attempt() {
    for case in &STEP_CASES {
        let attempt = history_of(case.earlier_ends).start_attempt();
        let step = decide_next_step(attempt, case.end, &conditions(case), || case.has_budget);
        let seen = match step {
            NextStep::Deliver(_) => ExpectedStep::Deliver,
            NextStep::Retry { .. } => ExpectedStep::Retry,
            NextStep::Refuse(refusal) => ExpectedStep::Refuse(refusal.kind(), refusal.run_status()),
        };
        assert_eq!(seen, case.expected, "{}", case.name);
    }
}

/// Guards against a retry budget that is used up by requests that are never retried. This comes about if the budget is
/// charged before the other conditions of a retry are checked.
#[test]
fn budget_is_taken_only_for_a_retry() {
    for end in ENDS {
        let mut taken = false;
        let attempt = AttemptHistory::new().start_attempt();
        let step = decide_next_step(attempt, end, &conditions(&ANSWERED_CASE), || {
            taken = true;
            true
        });
        assert_eq!(taken, matches!(step, NextStep::Retry { .. }), "{end:?}");
    }
}

/// Guards against a refusal with "not run" after an attempt that may have run, and against one without "run" after an
/// answer. Each refusal kind has a run status of its own, which could replace that of the attempts. All sequences of up
/// to [`MAX_ATTEMPTS`] ends are checked with every kind.
#[test]
fn run_status_is_never_weaker_than_the_attempts_show() {
    let mut sequences: Vec<Vec<AttemptEnd>> = vec![Vec::new()];
    let mut longest = sequences.clone();
    for _ in 0..MAX_ATTEMPTS {
        longest = longest
            .iter()
            .flat_map(|ends| ENDS.map(|end| [ends.as_slice(), &[end]].concat()))
            .collect();
        sequences.extend(longest.iter().cloned());
    }
    for ends in &sequences {
        let not_run = ends.iter().all(|end| end.state() == AttemptState::NotSent);
        let ran = ends.iter().any(|end| end.state() == AttemptState::Answered);
        for kind in RefusalKind::ALL {
            let run_status = Refusal::new(kind, history_of(ends), false).run_status();
            assert!(
                not_run || run_status != RunStatus::NotRun,
                "{ends:?} {kind:?}"
            );
            assert!(!ran || run_status == RunStatus::Run, "{ends:?} {kind:?}");
        }
    }
}

struct KindCase {
    kind: RefusalKind,
    code: &'static str,
    run_status: RunStatus,
    /// Whether the refusal advises to send the request again if a repeat has no second effect.
    retryable_if_safe: bool,
}

const fn kind_case(
    kind: RefusalKind,
    code: &'static str,
    run_status: RunStatus,
    retryable_if_safe: bool,
) -> KindCase {
    KindCase {
        kind,
        code,
        run_status,
        retryable_if_safe,
    }
}

/// Guards against a reason code that changes although callers match it, against a refusal without attempts that reports
/// a wrong run status, and against advice to send a request again that would be refused again.
#[test]
fn refusals_have_stable_codes_run_statuses_and_retry_advice() {
    use RefusalKind as Kind;
    use RunStatus::{NotRun, Run, Unknown};
    let cases = [
        kind_case(Kind::MissingKey, "missing_key", NotRun, false),
        kind_case(Kind::UnknownKey, "unknown_key", NotRun, false),
        kind_case(Kind::KeyWithdrawn, "key_withdrawn", NotRun, false),
        kind_case(
            Kind::AccountNotAllowed,
            "account_not_allowed",
            NotRun,
            false,
        ),
        kind_case(Kind::OverRate, "over_rate", NotRun, true),
        kind_case(Kind::NoRoute, "no_route", NotRun, false),
        kind_case(Kind::NoFreeSlot, "no_free_slot", NotRun, true),
        kind_case(Kind::QueueShed, "queue_shed", NotRun, true),
        kind_case(Kind::DeadlinePassed, "deadline_passed", NotRun, true),
        kind_case(Kind::CrashSuspect, "crash_suspect", NotRun, false),
        kind_case(Kind::Isolated, "isolated", NotRun, true),
        kind_case(Kind::Leaving, "leaving", NotRun, true),
        kind_case(Kind::NotReady, "not_ready", NotRun, true),
        kind_case(Kind::OutcomeUnknown, "outcome_unknown", Unknown, false),
        kind_case(
            Kind::KeyOwnerUnreachable,
            "key_owner_unreachable",
            Unknown,
            true,
        ),
        kind_case(Kind::KeyInProgress, "key_in_progress", Unknown, true),
        kind_case(Kind::KeyMismatch, "key_mismatch", NotRun, false),
        kind_case(Kind::AnswerNotKept, "answer_not_kept", Run, false),
        kind_case(Kind::ReplayMemoryFull, "replay_memory_full", NotRun, true),
        kind_case(Kind::BodyTooLarge, "body_too_large", NotRun, false),
        kind_case(Kind::Malformed, "malformed", NotRun, false),
        kind_case(Kind::UpstreamFailed, "upstream_failed", NotRun, true),
        kind_case(Kind::CallerGone, "caller_gone", NotRun, false),
    ];
    for case in &cases {
        let refusal = Refusal::before_attempt(case.kind, true);
        assert_eq!(case.kind.code(), case.code);
        assert_eq!(refusal.run_status(), case.run_status, "{}", case.code);
        assert_eq!(
            refusal.is_retryable(),
            case.retryable_if_safe,
            "{}",
            case.code
        );
    }
    let codes: HashSet<&str> = RefusalKind::ALL.iter().map(|kind| kind.code()).collect();
    assert_eq!(codes.len(), RefusalKind::ALL.len());
    assert_eq!(codes, cases.iter().map(|case| case.code).collect());
}

/// Guards against a caller that runs a request twice on the advice of the refusal: the first attempt timed out and may
/// have run, and the request is neither idempotent nor has an idempotency key.
#[test]
fn repeat_is_not_advised_if_an_unprotected_request_may_have_run() {
    let history = || history_of(&[AttemptEnd::TimedOut]);
    let unprotected = Refusal::new(RefusalKind::DeadlinePassed, history(), false);
    let protected = Refusal::new(RefusalKind::DeadlinePassed, history(), true);
    assert!(!unprotected.is_retryable());
    assert!(protected.is_retryable());
}
