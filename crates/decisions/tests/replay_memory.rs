//! Tests of the replay memory, which stores idempotency keys with their answers: a key runs at most once while it is
//! retained.

use std::collections::HashSet;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    FinishOutcome, IdempotencyKey, ImportError, KEY_RETENTION, MAX_ANSWER_BYTES, RefusalKind,
    ReplayDecision, ReplayEnd, ReplayLimits, ReplayMemory, ReplayTicket, RequestDigest, RunStatus,
};

type TextMemory = ReplayMemory<&'static str>;

const LIMITS: ReplayLimits = ReplayLimits {
    entries: 1_000,
    account_entries: 1_000,
    answer_bytes: 1_000_000,
    account_answer_bytes: 1_000_000,
};

const ORDER: RequestDigest = RequestDigest(1);
const DEADLINE: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::try_from(text.to_owned()).expect("the key is valid")
}

fn begin(memory: &TextMemory, now: MonotonicTime) -> ReplayDecision<&'static str> {
    memory.begin(now, "hotel-group", &key("k"), ORDER, DEADLINE)
}

fn finish(
    memory: &TextMemory,
    now: MonotonicTime,
    ticket: ReplayTicket,
    end: ReplayEnd<&'static str>,
) -> FinishOutcome {
    memory.finish(now, "hotel-group", &key("k"), ticket, end)
}

/// Begins a request that is expected to run.
fn begin_run(memory: &TextMemory, now: MonotonicTime) -> ReplayTicket {
    match begin(memory, now) {
        ReplayDecision::Run(ticket) => ticket,
        other => panic!("expected a run, got {other:?}"),
    }
}

fn answer(text: &'static str, bytes: usize) -> ReplayEnd<&'static str> {
    ReplayEnd::Answered {
        answer: Arc::new(text),
        bytes,
    }
}

/// Returns a short name of the decision, or the text of its answer, for comparison with the expected one.
fn name_of(decision: &ReplayDecision<&'static str>) -> &'static str {
    match decision {
        ReplayDecision::Run(_) => "run",
        ReplayDecision::InProgress => "in progress",
        ReplayDecision::Unknown => "unknown",
        ReplayDecision::Answered(answer) => **answer,
        ReplayDecision::AnswerNotKept => "not kept",
        ReplayDecision::Mismatch => "mismatch",
        ReplayDecision::Full => "full",
        ReplayDecision::HandedOver => "handed over",
    }
}

struct RepeatCase {
    name: &'static str,
    /// The reports about the first request: the second at which each arrives, its content, and the expected outcome.
    reports: Vec<(u64, ReplayEnd<&'static str>, FinishOutcome)>,
    /// The second at which the request is repeated.
    repeat_at: u64,
    expected: &'static str,
}

/// Guards against a second run when a caller repeats a request whose first run has not ended, or ended without a known
/// outcome. Also guards against a stored answer that is lost because a late or contradictory report replaces it.
#[test]
fn repeat_is_decided_by_how_the_first_request_ended() {
    use FinishOutcome::{Ignored, Recorded, Released};
    let cases = [
        RepeatCase {
            name: "still running",
            reports: vec![],
            repeat_at: 9,
            expected: "in progress",
        },
        RepeatCase {
            name: "not reported until the deadline, as when the instance that ran it was killed",
            reports: vec![],
            repeat_at: 10,
            expected: "unknown",
        },
        RepeatCase {
            name: "answered",
            reports: vec![(1, answer("booked", 6), Recorded)],
            repeat_at: 600,
            expected: "booked",
        },
        RepeatCase {
            name: "answered after the deadline",
            reports: vec![(60, answer("booked", 6), Recorded)],
            repeat_at: 61,
            expected: "booked",
        },
        RepeatCase {
            name: "did not run",
            reports: vec![(1, ReplayEnd::NotRun, Released)],
            repeat_at: 1,
            expected: "run",
        },
        RepeatCase {
            name: "did not run, reported after the deadline",
            reports: vec![(60, ReplayEnd::NotRun, Released)],
            repeat_at: 61,
            expected: "run",
        },
        RepeatCase {
            name: "unknown outcome",
            reports: vec![(1, ReplayEnd::Unknown, Recorded)],
            repeat_at: 1,
            expected: "unknown",
        },
        RepeatCase {
            name: "an unknown outcome that is later reported as not run",
            reports: vec![
                (1, ReplayEnd::Unknown, Recorded),
                (2, ReplayEnd::NotRun, Ignored),
            ],
            repeat_at: 3,
            expected: "unknown",
        },
        RepeatCase {
            name: "an answer that is followed by contradictory reports",
            reports: vec![
                (1, answer("booked", 6), Recorded),
                (2, ReplayEnd::NotRun, Ignored),
                (3, ReplayEnd::Unknown, Ignored),
                (4, answer("other", 5), Ignored),
            ],
            repeat_at: 5,
            expected: "booked",
        },
        RepeatCase {
            name: "an answer that the reporting instance could not keep",
            reports: vec![(1, ReplayEnd::AnswerNotKept, Recorded)],
            repeat_at: 2,
            expected: "not kept",
        },
        RepeatCase {
            name: "the largest answer",
            reports: vec![(1, answer("booked", MAX_ANSWER_BYTES), Recorded)],
            repeat_at: 2,
            expected: "booked",
        },
        RepeatCase {
            name: "an answer that is too large",
            reports: vec![(1, answer("booked", MAX_ANSWER_BYTES + 1), Recorded)],
            repeat_at: 2,
            expected: "not kept",
        },
    ];
    for case in cases {
        let memory = ReplayMemory::new(1, LIMITS);
        let ticket = begin_run(&memory, at(0));
        for (second, end, outcome) in case.reports {
            let found = finish(&memory, at(second), ticket, end);
            assert_eq!(found, outcome, "{}", case.name);
        }
        let repeat = begin(&memory, at(case.repeat_at));
        assert_eq!(name_of(&repeat), case.expected, "{}", case.name);
    }
}

/// Guards against a second run of a key that was released and then run again: a delayed report about the first run is
/// mistaken for one about the second and releases the key while the second still runs.
#[test]
fn late_report_does_not_touch_a_later_run() {
    let memory = ReplayMemory::new(1, LIMITS);
    let first = begin_run(&memory, at(0));
    finish(&memory, at(1), first, ReplayEnd::NotRun);
    let second = begin_run(&memory, at(2));
    assert_ne!(first, second);
    for end in [
        ReplayEnd::NotRun,
        ReplayEnd::Unknown,
        answer("earlier", 7),
        ReplayEnd::AnswerNotKept,
    ] {
        assert_eq!(finish(&memory, at(3), first, end), FinishOutcome::Ignored);
    }
    assert_eq!(memory.answer_bytes(), 0);
    assert_eq!(name_of(&begin(&memory, at(3))), "in progress");
}

/// Guards against an account that receives the answer of another one, because both chose the same key, and against the
/// answer of a different request, because a caller used a key twice.
#[test]
fn keys_are_scoped_by_account_and_request() {
    let memory = ReplayMemory::new(1, LIMITS);
    let ticket = begin_run(&memory, at(0));
    finish(&memory, at(1), ticket, answer("booked", 6));
    let other_account = memory.begin(at(2), "sawmill", &key("k"), ORDER, DEADLINE);
    assert_eq!(name_of(&other_account), "run");
    let other_request = memory.begin(at(2), "hotel-group", &key("k"), RequestDigest(2), DEADLINE);
    assert_eq!(name_of(&other_request), "mismatch");
}

/// Guards against a second run because a sweep removes a key too early: its retention must count from the end of the
/// request and not from its start. Also guards against keys that are never removed and fill the memory.
#[test]
fn keys_are_retained_from_the_end_of_their_request() {
    let memory = ReplayMemory::new(1, LIMITS);
    let ticket = begin_run(&memory, at(0));
    memory.sweep(at(0) + DEADLINE + KEY_RETENTION - Duration::from_secs(1));
    assert_eq!(memory.len(), 1);
    finish(&memory, at(500), ticket, answer("booked", 6));
    memory.sweep(at(500) + KEY_RETENTION - Duration::from_secs(1));
    assert_eq!(memory.len(), 1);
    memory.sweep(at(500) + KEY_RETENTION);
    assert!(memory.is_empty());
    assert_eq!(memory.answer_bytes(), 0);
    assert_eq!(name_of(&begin(&memory, at(2_000))), "run");
}

/// Guards against a full memory that evicts a key for a new one, or runs a request whose key it cannot store. In both
/// cases a repeat of the request would run again.
#[test]
fn full_memory_refuses_new_keys_and_retains_stored_ones() {
    let limits = ReplayLimits {
        entries: 3,
        account_entries: 2,
        ..LIMITS
    };
    let memory = TextMemory::new(1, limits);
    let begin = |account: &str, text: &str| {
        name_of(&memory.begin(at(0), account, &key(text), ORDER, DEADLINE))
    };
    assert_eq!(begin("hotel-group", "1"), "run");
    assert_eq!(begin("hotel-group", "2"), "run");
    assert_eq!(
        begin("hotel-group", "3"),
        "full",
        "the limit of the account"
    );
    assert_eq!(begin("sawmill", "1"), "run");
    assert_eq!(begin("sawmill", "2"), "full", "the limit of the memory");
    assert_eq!(begin("hotel-group", "1"), "in progress");
    assert_eq!(memory.len(), 3);
    memory.sweep(at(0) + DEADLINE + KEY_RETENTION);
    assert_eq!(begin("hotel-group", "3"), "run");
    assert_eq!(memory.len(), 1);
}

/// Guards against an account with large answers that uses the capacity of other accounts, and against a key
/// that runs although its answer could not be stored.
#[test]
fn answers_are_bounded_per_account_and_in_total() {
    let limits = ReplayLimits {
        answer_bytes: 100,
        account_answer_bytes: 60,
        ..LIMITS
    };
    let memory = TextMemory::new(1, limits);
    let begin =
        |account: &str, text: &str| memory.begin(at(0), account, &key(text), ORDER, DEADLINE);
    let store = |account: &str, text: &str, ticket, bytes| {
        memory.finish(at(0), account, &key(text), ticket, answer("booked", bytes))
    };
    let ReplayDecision::Run(one) = begin("hotel-group", "1") else {
        panic!("a new key runs");
    };
    let ReplayDecision::Run(two) = begin("hotel-group", "2") else {
        panic!("a new key runs");
    };
    assert_eq!(store("hotel-group", "1", one, 60), FinishOutcome::Recorded);
    assert_eq!(store("hotel-group", "2", two, 1), FinishOutcome::Recorded);
    assert_eq!(name_of(&begin("hotel-group", "1")), "booked");
    assert_eq!(name_of(&begin("hotel-group", "2")), "not kept");
    assert_eq!(name_of(&begin("hotel-group", "3")), "full");
    let ReplayDecision::Run(three) = begin("sawmill", "1") else {
        panic!("the memory has capacity for another account");
    };
    assert_eq!(store("sawmill", "1", three, 40), FinishOutcome::Recorded);
    assert_eq!(memory.answer_bytes(), 100);
    assert_eq!(name_of(&begin("orchard", "1")), "full");
}

/// Guards against a second run after a hand-over that loses a key, its outcome or its remaining retention. Times must
/// be carried as durations, because the clocks of the two instances differ.
#[test]
fn hand_over_carries_every_key_to_an_instance_with_another_clock() {
    let predecessor = TextMemory::new(1, LIMITS);
    let start =
        |text: &str| match predecessor.begin(at(0), "hotel-group", &key(text), ORDER, DEADLINE) {
            ReplayDecision::Run(ticket) => ticket,
            other => panic!("expected a run, got {other:?}"),
        };
    let running = start("running");
    for (text, end) in [
        ("unknown", ReplayEnd::Unknown),
        ("answered", answer("booked", 6)),
        ("large", ReplayEnd::AnswerNotKept),
        ("free", ReplayEnd::NotRun),
    ] {
        let ticket = start(text);
        predecessor.finish(at(1), "hotel-group", &key(text), ticket, end);
    }
    let successor = TextMemory::new(2, LIMITS);
    let entries = predecessor.export(at(4));
    assert!(predecessor.is_handed_over());
    // The clock of the successor is 1,000 s ahead.
    assert_eq!(successor.import(at(1_004), entries.clone()), Ok(()));
    assert_eq!(
        successor.import(at(1_004), entries),
        Ok(()),
        "the import can be repeated"
    );
    let repeat = |second: u64, text: &str| {
        name_of(&successor.begin(at(second), "hotel-group", &key(text), ORDER, DEADLINE))
    };
    assert_eq!(repeat(1_009, "running"), "in progress");
    assert_eq!(repeat(1_010, "running"), "unknown");
    assert_eq!(repeat(1_005, "unknown"), "unknown");
    assert_eq!(repeat(1_005, "answered"), "booked");
    assert_eq!(repeat(1_005, "large"), "not kept");
    assert_eq!(successor.len(), 4);
    assert_eq!(successor.answer_bytes(), 6);
    let late = successor.finish(
        at(1_011),
        "hotel-group",
        &key("running"),
        running,
        answer("late", 4),
    );
    assert_eq!(late, FinishOutcome::Recorded);
    assert_eq!(repeat(1_012, "running"), "late");
    assert_eq!(repeat(1_012, "free"), "run");
    let deadline = at(1_010);
    successor.sweep(deadline + KEY_RETENTION - Duration::from_secs(1));
    assert_eq!(successor.len(), 5);
    successor.sweep(deadline + KEY_RETENTION);
    assert_eq!(successor.len(), 2, "the keys that ended later are retained");
}

/// Guards against a second run of a key that an instance treats as new after its hand-over, although the successor may
/// have run it. For the same reason the instance must not refuse the key as "not run", which it does when it is full.
#[test]
fn memory_accepts_no_new_key_after_its_hand_over() {
    for entries in [1, 1_000] {
        let memory = ReplayMemory::new(1, ReplayLimits { entries, ..LIMITS });
        begin_run(&memory, at(0));
        assert_eq!(memory.export(at(1)).len(), 1);
        assert_eq!(name_of(&begin(&memory, at(1))), "in progress");
        let decision = memory.begin(at(1), "hotel-group", &key("new"), ORDER, DEADLINE);
        assert_eq!(name_of(&decision), "handed over", "{entries}");
        assert_eq!(memory.len(), 1);
    }
}

/// Guards against a successor that treats keys as new which it did not receive: its limits are lower than those of its
/// predecessor, and the import does not report the keys that were left out.
#[test]
fn import_reports_keys_for_which_there_is_no_room() {
    let predecessor = TextMemory::new(1, LIMITS);
    for text in ["1", "2", "3"] {
        predecessor.begin(at(0), "hotel-group", &key(text), ORDER, DEADLINE);
    }
    let limits = ReplayLimits {
        entries: 2,
        ..LIMITS
    };
    let successor = TextMemory::new(2, limits);
    let found = successor.import(at(0), predecessor.export(at(0)));
    assert_eq!(found, Err(ImportError { rejected: 1 }));
}

/// Guards against a second run of a key that ran at both instances of a hand-over: a report that one of the runs did
/// not happen would release the key although the other one may have happened.
#[test]
fn key_stored_by_both_instances_becomes_unknown() {
    let predecessor = ReplayMemory::new(1, LIMITS);
    begin_run(&predecessor, at(0));
    let successor = ReplayMemory::new(2, LIMITS);
    let ticket = begin_run(&successor, at(0));
    assert_eq!(successor.import(at(1), predecessor.export(at(1))), Ok(()));
    let report = finish(&successor, at(1), ticket, ReplayEnd::NotRun);
    assert_eq!(report, FinishOutcome::Ignored);
    assert_eq!(name_of(&begin(&successor, at(1))), "unknown");
}

struct KindCase {
    decision: ReplayDecision<&'static str>,
    kind: Option<RefusalKind>,
}

/// Guards against a caller that receives "not run" for a key whose request may have run before, because the decision
/// maps to a refusal kind with that run status, or because an answer that was not stored counts as "not run".
#[test]
fn decisions_have_a_refusal_kind() {
    let cases = [
        KindCase {
            decision: ReplayDecision::Run(ReplayTicket {
                incarnation: 1,
                number: 1,
            }),
            kind: None,
        },
        KindCase {
            decision: ReplayDecision::Answered(Arc::new("booked")),
            kind: None,
        },
        KindCase {
            decision: ReplayDecision::InProgress,
            kind: Some(RefusalKind::KeyInProgress),
        },
        KindCase {
            decision: ReplayDecision::Unknown,
            kind: Some(RefusalKind::OutcomeUnknown),
        },
        KindCase {
            decision: ReplayDecision::AnswerNotKept,
            kind: Some(RefusalKind::AnswerNotKept),
        },
        KindCase {
            decision: ReplayDecision::Mismatch,
            kind: Some(RefusalKind::KeyMismatch),
        },
        KindCase {
            decision: ReplayDecision::Full,
            kind: Some(RefusalKind::ReplayMemoryFull),
        },
        KindCase {
            decision: ReplayDecision::HandedOver,
            kind: Some(RefusalKind::KeyOwnerUnreachable),
        },
    ];
    for case in &cases {
        assert_eq!(
            case.decision.refusal_kind(),
            case.kind,
            "{:?}",
            case.decision
        );
    }
    assert!(matches!(
        ReplayEnd::<()>::from_run_status(RunStatus::NotRun),
        ReplayEnd::NotRun
    ));
    assert!(matches!(
        ReplayEnd::<()>::from_run_status(RunStatus::Unknown),
        ReplayEnd::Unknown
    ));
    assert!(matches!(
        ReplayEnd::<()>::from_run_status(RunStatus::Run),
        ReplayEnd::AnswerNotKept
    ));
}

/// Guards against a key that runs twice because two request threads both find it absent before either of them has
/// stored it.
#[test]
fn concurrent_requests_with_one_key_run_once() {
    const THREADS: usize = 4;
    const KEYS: usize = 2_000;
    let limits = ReplayLimits {
        entries: KEYS,
        account_entries: KEYS,
        ..LIMITS
    };
    let memory = TextMemory::new(1, limits);
    let begin_all = || -> Vec<usize> {
        (0..KEYS)
            .filter(|number| {
                let key = key(&format!("order-{number}"));
                let decision = memory.begin(at(0), "hotel-group", &key, ORDER, DEADLINE);
                matches!(decision, ReplayDecision::Run(_))
            })
            .collect()
    };
    let mut runs: Vec<usize> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(begin_all)).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("the thread ends"))
            .collect()
    });
    runs.sort_unstable();
    assert_eq!(runs, (0..KEYS).collect::<Vec<_>>());
    assert_eq!(memory.len(), KEYS);
}

/// Guards against a key that is missing from the hand-over although its request runs: a request thread passes the check
/// that the keys are not handed over yet, and stores its key after the export has read the memory.
#[test]
fn export_carries_every_key_that_a_concurrent_request_runs() {
    const ROUNDS: usize = 300;
    const THREADS: usize = 3;
    let limits = ReplayLimits {
        entries: usize::MAX,
        account_entries: usize::MAX,
        ..LIMITS
    };
    for _ in 0..ROUNDS {
        let memory = TextMemory::new(1, limits);
        let started = Barrier::new(THREADS + 1);
        let begin_until_handed_over = |thread: usize| -> Vec<String> {
            started.wait();
            (0..100_000)
                .map(|number| format!("order-{thread}-{number}"))
                .take_while(|text| {
                    let decision = memory.begin(at(0), "a", &key(text), ORDER, DEADLINE);
                    matches!(decision, ReplayDecision::Run(_))
                })
                .collect()
        };
        let (runs, entries) = thread::scope(|scope| {
            let begin = &begin_until_handed_over;
            let threads = [0, 1, 2].map(|thread| scope.spawn(move || begin(thread)));
            started.wait();
            let entries = memory.export(at(0));
            let runs = threads.map(|thread| thread.join().expect("the thread ends"));
            (runs.concat(), entries)
        });
        let exported: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        for text in &runs {
            assert!(
                exported.contains(text.as_str()),
                "{text} runs but is not handed over"
            );
        }
    }
}

/// Guards against a memory that fills up permanently, because its counts of entries and bytes are not updated in one
/// step with the entries while reports, repeats and sweeps run at the same time.
#[test]
fn counts_are_exact_after_concurrent_use() {
    const THREADS: u64 = 4;
    const ROUNDS: u64 = 2_000;
    let memory = TextMemory::new(1, LIMITS);
    let use_keys = |thread: u64| {
        for round in 0..ROUNDS {
            let key = key(&format!("order-{}", round % 16));
            let now = at(round);
            let decision = memory.begin(now, "hotel-group", &key, ORDER, DEADLINE);
            if let ReplayDecision::Run(ticket) = decision {
                let end = match (round + thread) % 4 {
                    0 => ReplayEnd::NotRun,
                    1 => ReplayEnd::Unknown,
                    2 => ReplayEnd::AnswerNotKept,
                    _ => answer("booked", 10),
                };
                memory.finish(now, "hotel-group", &key, ticket, end);
                memory.finish(now, "hotel-group", &key, ticket, answer("again", 7));
            }
            memory.sweep(now);
        }
    };
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let use_keys = &use_keys;
            scope.spawn(move || use_keys(thread));
        }
    });
    memory.sweep(at(1_000_000));
    assert_eq!(memory.len(), 0);
    assert_eq!(memory.answer_bytes(), 0);
}
