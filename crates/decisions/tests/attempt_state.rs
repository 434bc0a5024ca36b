//! What follows from the end of an attempt, and what a refusal says about whether the request ran.

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

/// What is expected to follow.
#[derive(Debug, PartialEq)]
enum Expected {
    Deliver,
    Retry,
    Refuse(RefusalKind, RunStatus),
}

struct StepCase {
    name: &'static str,
    earlier: &'static [AttemptEnd],
    end: AttemptEnd,
    idempotent: bool,
    body_replayable: bool,
    remaining: Duration,
    budget: bool,
    expected: Expected,
}

const PLAIN: StepCase = StepCase {
    name: "",
    earlier: &[],
    end: AttemptEnd::Answered,
    idempotent: false,
    body_replayable: true,
    remaining: SECOND,
    budget: true,
    expected: Expected::Deliver,
};

const STEP_CASES: [StepCase; 18] = [
    StepCase {
        name: "an answer is delivered",
        ..PLAIN
    },
    StepCase {
        name: "unsent work is retried",
        end: AttemptEnd::NeverSent,
        expected: Expected::Retry,
        ..PLAIN
    },
    StepCase {
        name: "unsent work needs no replay of its body",
        end: AttemptEnd::ConnectFailed,
        body_replayable: false,
        expected: Expected::Retry,
        ..PLAIN
    },
    StepCase {
        name: "shed work is retried",
        end: AttemptEnd::Shed,
        expected: Expected::Retry,
        ..PLAIN
    },
    StepCase {
        name: "shed work whose body is gone is refused",
        end: AttemptEnd::Shed,
        body_replayable: false,
        expected: Expected::Refuse(RefusalKind::NoFreeSlot, RunStatus::NotRun),
        ..PLAIN
    },
    StepCase {
        name: "work at a draining upstream is retried",
        end: AttemptEnd::Draining,
        expected: Expected::Retry,
        ..PLAIN
    },
    StepCase {
        name: "sent work is not retried",
        end: AttemptEnd::ConnectionBroken,
        expected: Expected::Refuse(RefusalKind::OutcomeUnknown, RunStatus::Unknown),
        ..PLAIN
    },
    StepCase {
        name: "sent idempotent work is retried",
        end: AttemptEnd::ConnectionBroken,
        idempotent: true,
        expected: Expected::Retry,
        ..PLAIN
    },
    StepCase {
        name: "sent idempotent work whose body is gone is refused",
        end: AttemptEnd::ConnectionBroken,
        idempotent: true,
        body_replayable: false,
        expected: Expected::Refuse(RefusalKind::UpstreamFailed, RunStatus::Unknown),
        ..PLAIN
    },
    StepCase {
        name: "a time-out leaves the outcome unknown",
        end: AttemptEnd::TimedOut,
        expected: Expected::Refuse(RefusalKind::DeadlinePassed, RunStatus::Unknown),
        ..PLAIN
    },
    StepCase {
        name: "a truncated answer shows that the work ran",
        end: AttemptEnd::AnswerTruncated,
        expected: Expected::Refuse(RefusalKind::UpstreamFailed, RunStatus::Run),
        ..PLAIN
    },
    StepCase {
        name: "a truncated answer to idempotent work is retried",
        end: AttemptEnd::AnswerTruncated,
        idempotent: true,
        expected: Expected::Retry,
        ..PLAIN
    },
    StepCase {
        name: "cancelled work is never retried",
        end: AttemptEnd::Cancelled,
        idempotent: true,
        expected: Expected::Refuse(RefusalKind::CallerGone, RunStatus::Unknown),
        ..PLAIN
    },
    StepCase {
        name: "an empty budget ends the retries",
        end: AttemptEnd::NeverSent,
        budget: false,
        expected: Expected::Refuse(RefusalKind::UpstreamFailed, RunStatus::NotRun),
        ..PLAIN
    },
    StepCase {
        name: "a passed deadline ends the retries",
        end: AttemptEnd::NeverSent,
        remaining: Duration::ZERO,
        expected: Expected::Refuse(RefusalKind::DeadlinePassed, RunStatus::NotRun),
        ..PLAIN
    },
    StepCase {
        name: "the third attempt is the last",
        earlier: &[AttemptEnd::NeverSent, AttemptEnd::Shed],
        end: AttemptEnd::NeverSent,
        expected: Expected::Refuse(RefusalKind::UpstreamFailed, RunStatus::NotRun),
        ..PLAIN
    },
    StepCase {
        name: "an unsent attempt does not hide an earlier one that may have run",
        earlier: &[AttemptEnd::ConnectionBroken],
        end: AttemptEnd::NeverSent,
        expected: Expected::Refuse(RefusalKind::UpstreamFailed, RunStatus::Unknown),
        ..PLAIN
    },
    StepCase {
        name: "idempotent work that may have run is still marked unknown when it is shed",
        earlier: &[AttemptEnd::ConnectionBroken, AttemptEnd::NeverSent],
        end: AttemptEnd::Shed,
        idempotent: true,
        expected: Expected::Refuse(RefusalKind::NoFreeSlot, RunStatus::Unknown),
        ..PLAIN
    },
];

fn facts(case: &StepCase) -> RetryConditions {
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

/// Guards against a retry of work that may have run, and against a refusal that hides such a run.
#[test]
fn step_follows_from_the_end_of_an_attempt() {
    for case in &STEP_CASES {
        let attempt = history_of(case.earlier).start_attempt();
        let step = decide_next_step(attempt, case.end, &facts(case), || case.budget);
        let seen = match step {
            NextStep::Deliver(_) => Expected::Deliver,
            NextStep::Retry { .. } => Expected::Retry,
            NextStep::Refuse(refusal) => Expected::Refuse(refusal.kind(), refusal.run_status()),
        };
        assert_eq!(seen, case.expected, "{}", case.name);
    }
}

/// Guards against a budget that is spent on requests which are refused for another reason.
#[test]
fn budget_is_taken_only_for_a_retry() {
    for end in ENDS {
        let mut taken = false;
        let attempt = AttemptHistory::new().start_attempt();
        let step = decide_next_step(attempt, end, &facts(&PLAIN), || {
            taken = true;
            true
        });
        assert_eq!(taken, matches!(step, NextStep::Retry { .. }), "{end:?}");
    }
}

/// Guards against "not run" after any sequence of attempts of which one may have run, for every kind.
#[test]
fn mark_never_falls_below_what_an_attempt_showed() {
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
            let mark = Refusal::new(kind, history_of(ends), false).run_status();
            assert!(not_run || mark != RunStatus::NotRun, "{ends:?} {kind:?}");
            assert!(!ran || mark == RunStatus::Run, "{ends:?} {kind:?}");
        }
    }
}

struct KindCase {
    kind: RefusalKind,
    code: &'static str,
    mark: RunStatus,
    retry_when_safe: bool,
}

const fn kind_case(
    kind: RefusalKind,
    code: &'static str,
    mark: RunStatus,
    retry_when_safe: bool,
) -> KindCase {
    KindCase {
        kind,
        code,
        mark,
        retry_when_safe,
    }
}

/// Guards against a changed code, on which callers rely, and against advice to repeat what cannot succeed.
#[test]
fn refusals_have_stable_codes_marks_and_advice() {
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
        assert_eq!(refusal.run_status(), case.mark, "{}", case.code);
        assert_eq!(
            refusal.is_retryable(),
            case.retry_when_safe,
            "{}",
            case.code
        );
    }
    let codes: HashSet<&str> = RefusalKind::ALL.iter().map(|kind| kind.code()).collect();
    assert_eq!(codes.len(), RefusalKind::ALL.len());
    assert_eq!(codes, cases.iter().map(|case| case.code).collect());
}

/// Guards against advice to repeat work that may have run and that nothing protects from a second run.
#[test]
fn repeat_is_not_advised_for_unprotected_work_that_may_have_run() {
    let history = || history_of(&[AttemptEnd::TimedOut]);
    let unprotected = Refusal::new(RefusalKind::DeadlinePassed, history(), false);
    let protected = Refusal::new(RefusalKind::DeadlinePassed, history(), true);
    assert!(!unprotected.is_retryable());
    assert!(protected.is_retryable());
}
