//! The memory of idempotency keys: at most one run, never forgotten early.

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
fn run(memory: &TextMemory, now: MonotonicTime) -> ReplayTicket {
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

/// Names a decision, so that tables can hold it.
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
    /// The reports about the first run, with the second at which each arrives.
    reports: Vec<(u64, ReplayEnd<&'static str>, FinishOutcome)>,
    repeat_at: u64,
    expected: &'static str,
}

/// Guards against a second run, and against an answer that is lost although it was reported.
#[test]
fn repeat_is_decided_by_how_the_first_request_ended() {
    use FinishOutcome::{Ignored, Recorded, Released};
    let cases = [
        RepeatCase {
            name: "running",
            reports: vec![],
            repeat_at: 9,
            expected: "in progress",
        },
        RepeatCase {
            name: "never reported, as after the instance that ran it was killed",
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
            name: "did not run, reported late",
            reports: vec![(60, ReplayEnd::NotRun, Released)],
            repeat_at: 61,
            expected: "run",
        },
        RepeatCase {
            name: "unknown",
            reports: vec![(1, ReplayEnd::Unknown, Recorded)],
            repeat_at: 1,
            expected: "unknown",
        },
        RepeatCase {
            name: "unknown is not taken back",
            reports: vec![
                (1, ReplayEnd::Unknown, Recorded),
                (2, ReplayEnd::NotRun, Ignored),
            ],
            repeat_at: 3,
            expected: "unknown",
        },
        RepeatCase {
            name: "an answer is not taken back",
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
            name: "an answer that could not be kept",
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
        let ticket = run(&memory, at(0));
        for (second, end, outcome) in case.reports {
            let found = finish(&memory, at(second), ticket, end);
            assert_eq!(found, outcome, "{}", case.name);
        }
        let repeat = begin(&memory, at(case.repeat_at));
        assert_eq!(name_of(&repeat), case.expected, "{}", case.name);
    }
}

/// Guards against a repeated "not run" of an earlier run that frees the key under a later one.
#[test]
fn late_report_does_not_touch_a_later_run() {
    let memory = ReplayMemory::new(1, LIMITS);
    let first = run(&memory, at(0));
    finish(&memory, at(1), first, ReplayEnd::NotRun);
    let second = run(&memory, at(2));
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

/// Guards against a key that hands one account the answer of another, or one request that of another.
#[test]
fn keys_are_scoped_by_account_and_request() {
    let memory = ReplayMemory::new(1, LIMITS);
    let ticket = run(&memory, at(0));
    finish(&memory, at(1), ticket, answer("booked", 6));
    let other_account = memory.begin(at(2), "sawmill", &key("k"), ORDER, DEADLINE);
    assert_eq!(name_of(&other_account), "run");
    let other_request = memory.begin(at(2), "hotel-group", &key("k"), RequestDigest(2), DEADLINE);
    assert_eq!(name_of(&other_request), "mismatch");
}

/// Guards against keys that are forgotten before their retention has passed, or never.
#[test]
fn keys_are_kept_for_the_retention_after_their_end() {
    let memory = ReplayMemory::new(1, LIMITS);
    let ticket = run(&memory, at(0));
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

/// Guards against a full memory that forgets a key or runs a request it cannot remember.
#[test]
fn full_memory_refuses_new_keys_and_keeps_known_ones() {
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
    assert_eq!(begin("hotel-group", "3"), "full", "the account's bound");
    assert_eq!(begin("sawmill", "1"), "run");
    assert_eq!(begin("sawmill", "2"), "full", "the bound of the memory");
    assert_eq!(begin("hotel-group", "1"), "in progress");
    assert_eq!(memory.len(), 3);
    memory.sweep(at(0) + DEADLINE + KEY_RETENTION);
    assert_eq!(begin("hotel-group", "3"), "run");
    assert_eq!(memory.len(), 1);
}

/// Guards against answers of one account that take the room of the others.
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
        panic!("another account has room");
    };
    assert_eq!(store("sawmill", "1", three, 40), FinishOutcome::Recorded);
    assert_eq!(memory.answer_bytes(), 100);
    assert_eq!(name_of(&begin("orchard", "1")), "full");
}

/// Guards against a hand-over that loses a key, its end or its remaining time.
#[test]
fn hand_over_carries_every_key_to_another_clock() {
    let old = TextMemory::new(1, LIMITS);
    let start = |text: &str| match old.begin(at(0), "hotel-group", &key(text), ORDER, DEADLINE) {
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
        old.finish(at(1), "hotel-group", &key(text), ticket, end);
    }
    let new = TextMemory::new(2, LIMITS);
    let entries = old.export(at(4));
    assert!(old.is_handed_over());
    // The clock of the new instance is 1,000 s ahead.
    assert_eq!(new.import(at(1_004), entries.clone()), Ok(()));
    assert_eq!(new.import(at(1_004), entries), Ok(()), "repeated");
    let repeat = |second: u64, text: &str| {
        name_of(&new.begin(at(second), "hotel-group", &key(text), ORDER, DEADLINE))
    };
    assert_eq!(repeat(1_009, "running"), "in progress");
    assert_eq!(repeat(1_010, "running"), "unknown");
    assert_eq!(repeat(1_005, "unknown"), "unknown");
    assert_eq!(repeat(1_005, "answered"), "booked");
    assert_eq!(repeat(1_005, "large"), "not kept");
    assert_eq!(new.len(), 4);
    assert_eq!(new.answer_bytes(), 6);
    let late = new.finish(
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
    new.sweep(deadline + KEY_RETENTION - Duration::from_secs(1));
    assert_eq!(new.len(), 5);
    new.sweep(deadline + KEY_RETENTION);
    assert_eq!(new.len(), 2, "the keys that ended later are kept");
}

/// Guards against a key that is taken as new, or refused as "not run" for lack of room, by an instance
/// whose successor may know it.
#[test]
fn memory_takes_no_new_key_after_its_hand_over() {
    for entries in [1, 1_000] {
        let memory = ReplayMemory::new(1, ReplayLimits { entries, ..LIMITS });
        run(&memory, at(0));
        assert_eq!(memory.export(at(1)).len(), 1);
        assert_eq!(name_of(&begin(&memory, at(1))), "in progress");
        let new = memory.begin(at(1), "hotel-group", &key("new"), ORDER, DEADLINE);
        assert_eq!(name_of(&new), "handed over", "{entries}");
        assert_eq!(memory.len(), 1);
    }
}

/// Guards against an incomplete hand-over that is taken for a complete one.
#[test]
fn import_reports_keys_for_which_there_is_no_room() {
    let old = TextMemory::new(1, LIMITS);
    for text in ["1", "2", "3"] {
        old.begin(at(0), "hotel-group", &key(text), ORDER, DEADLINE);
    }
    let limits = ReplayLimits {
        entries: 2,
        ..LIMITS
    };
    let new = TextMemory::new(2, limits);
    let found = new.import(at(0), old.export(at(0)));
    assert_eq!(found, Err(ImportError { rejected: 1 }));
}

/// Guards against a key that both instances gave out and that one report frees.
#[test]
fn key_known_to_both_instances_becomes_unknown() {
    let old = ReplayMemory::new(1, LIMITS);
    run(&old, at(0));
    let new = ReplayMemory::new(2, LIMITS);
    let ticket = run(&new, at(0));
    assert_eq!(new.import(at(1), old.export(at(1))), Ok(()));
    let report = finish(&new, at(1), ticket, ReplayEnd::NotRun);
    assert_eq!(report, FinishOutcome::Ignored);
    assert_eq!(name_of(&begin(&new, at(1))), "unknown");
}

struct KindCase {
    decision: ReplayDecision<&'static str>,
    kind: Option<RefusalKind>,
}

/// Guards against "not run" for a key whose request may have run elsewhere.
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

/// Guards against two request threads that both run the request of one key.
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

/// Guards against a request that runs at the old instance while the hand-over does not carry its key.
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
        let carried: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        for text in &runs {
            assert!(
                carried.contains(text.as_str()),
                "{text} runs and is not handed over"
            );
        }
    }
}

/// Guards against counts of entries and bytes that drift while reports, repeats and sweeps race.
#[test]
fn counts_are_exact_after_concurrent_use() {
    const THREADS: u64 = 4;
    const ROUNDS: u64 = 2_000;
    let memory = TextMemory::new(1, LIMITS);
    let work = |thread: u64| {
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
            let work = &work;
            scope.spawn(move || work(thread));
        }
    });
    memory.sweep(at(1_000_000));
    assert_eq!(memory.len(), 0);
    assert_eq!(memory.answer_bytes(), 0);
}
