//! Who gets the next slot, and who gives way.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{PASSED_OVER_MOST, PushOutcome, WaitQueue, WaitTicket, longest_wait};
use coltsfootkeel_model::{AccountKey, ArenaKey, PriorityClass};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const CLASSES: [PriorityClass; 4] = [
    PriorityClass::Urgent,
    PriorityClass::Standard,
    PriorityClass::Preview,
    PriorityClass::Overnight,
];

const NEVER: MonotonicTime = MonotonicTime::from_nanos(u64::MAX);

fn account(index: usize) -> AccountKey {
    AccountKey::from_index(index)
}

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn push<T: std::fmt::Debug>(
    queue: &mut WaitQueue<T>,
    class: PriorityClass,
    account: AccountKey,
    item: T,
) -> Option<WaitTicket> {
    match queue.push(at(0), class, Some(account), NEVER, item) {
        PushOutcome::Queued { ticket, .. } => Some(ticket),
        PushOutcome::Refused(_) => None,
    }
}

fn pop<T>(queue: &mut WaitQueue<T>) -> Option<T> {
    queue.pop(at(0), |_| {})
}

struct OrderCase {
    name: &'static str,
    /// Class, account and name of each waiter, in the order of arrival.
    waiters: &'static [(PriorityClass, usize, &'static str)],
    served: &'static [&'static str],
}

/// Guards against a slot for less urgent work, or for an account out of turn.
#[test]
fn slots_go_by_class_and_then_round_robin() {
    use PriorityClass::{Overnight, Preview, Standard, Urgent};
    let cases = [
        OrderCase {
            name: "classes in order of urgency",
            waiters: &[
                (Overnight, 0, "overnight"),
                (Preview, 0, "preview"),
                (Standard, 0, "standard"),
                (Urgent, 0, "urgent"),
            ],
            served: &["urgent", "standard", "preview", "overnight"],
        },
        OrderCase {
            name: "accounts in turn, each in order of arrival",
            waiters: &[
                (Urgent, 0, "a1"),
                (Urgent, 0, "a2"),
                (Urgent, 0, "a3"),
                (Urgent, 1, "b1"),
                (Urgent, 2, "c1"),
                (Urgent, 1, "b2"),
            ],
            served: &["a1", "b1", "c1", "a2", "b2", "a3"],
        },
    ];
    for case in &cases {
        let mut queue = WaitQueue::new(100);
        for (class, index, name) in case.waiters {
            push(&mut queue, *class, account(*index), *name).expect("there is room");
        }
        let served: Vec<&str> = std::iter::from_fn(|| pop(&mut queue)).collect();
        assert_eq!(served, case.served, "{}", case.name);
        assert!(queue.is_empty());
    }
}

struct ShedCase {
    name: &'static str,
    waiting: &'static [(PriorityClass, usize, &'static str)],
    arrival: (PriorityClass, usize),
    /// The waiter that gives way, or nothing if the arrival is refused.
    shed: Option<&'static str>,
}

/// Guards against urgent work that gives way to less urgent work, and against one account that fills
/// the queue for all others.
#[test]
fn full_queue_sheds_the_least_urgent_newest_waiter() {
    use PriorityClass::{Overnight, Preview, Standard, Urgent};
    let cases = [
        ShedCase {
            name: "the least urgent class gives way",
            waiting: &[(Urgent, 0, "u"), (Overnight, 0, "o"), (Preview, 0, "p")],
            arrival: (Standard, 0),
            shed: Some("o"),
        },
        ShedCase {
            name: "the newest of the class gives way",
            waiting: &[
                (Preview, 0, "p1"),
                (Preview, 1, "p2"),
                (Standard, 0, "s"),
                (Preview, 2, "p3"),
            ],
            arrival: (Urgent, 0),
            shed: Some("p3"),
        },
        ShedCase {
            name: "an arrival of the least urgent class is refused",
            waiting: &[(Urgent, 0, "u"), (Standard, 0, "s")],
            arrival: (Preview, 0),
            shed: None,
        },
        ShedCase {
            name: "an arrival of an account with the most waiters is refused",
            waiting: &[
                (Standard, 0, "a1"),
                (Standard, 0, "a2"),
                (Standard, 1, "b1"),
            ],
            arrival: (Standard, 0),
            shed: None,
        },
        ShedCase {
            name: "the account that fills the queue gives way to another",
            waiting: &[
                (Standard, 0, "a1"),
                (Standard, 0, "a2"),
                (Standard, 0, "a3"),
            ],
            arrival: (Standard, 1),
            shed: Some("a3"),
        },
        ShedCase {
            name: "the account with the most waiters gives way although another one's is newer",
            waiting: &[
                (Standard, 0, "a1"),
                (Standard, 0, "a2"),
                (Standard, 0, "a3"),
                (Standard, 1, "b1"),
            ],
            arrival: (Standard, 1),
            shed: Some("a3"),
        },
        ShedCase {
            name: "accounts with equal numbers of waiters keep them",
            waiting: &[
                (Standard, 0, "a1"),
                (Standard, 1, "b1"),
                (Standard, 2, "c1"),
            ],
            arrival: (Standard, 3),
            shed: None,
        },
    ];
    for case in &cases {
        let mut queue = WaitQueue::new(case.waiting.len());
        for (class, index, name) in case.waiting {
            push(&mut queue, *class, account(*index), *name).expect("there is room");
        }
        let (class, index) = case.arrival;
        let outcome = queue.push(at(0), class, Some(account(index)), NEVER, "arrival");
        match outcome {
            PushOutcome::Queued { shed, .. } => assert_eq!(shed, case.shed, "{}", case.name),
            PushOutcome::Refused(_) => assert_eq!(None, case.shed, "{}", case.name),
        }
        assert_eq!(queue.len(), case.waiting.len(), "{}", case.name);
    }
}

struct WaitCase {
    name: &'static str,
    class: PriorityClass,
    deadline_ms: u64,
    until_ms: u64,
}

/// Guards against a wait beyond what the class permits or beyond the request's deadline.
#[test]
fn wait_ends_with_the_class_or_the_deadline() {
    let cases = [
        WaitCase {
            name: "urgent",
            class: PriorityClass::Urgent,
            deadline_ms: 100_000,
            until_ms: 5_000,
        },
        WaitCase {
            name: "standard",
            class: PriorityClass::Standard,
            deadline_ms: 100_000,
            until_ms: 2_000,
        },
        WaitCase {
            name: "preview",
            class: PriorityClass::Preview,
            deadline_ms: 100_000,
            until_ms: 500,
        },
        WaitCase {
            name: "overnight",
            class: PriorityClass::Overnight,
            deadline_ms: 100_000,
            until_ms: 30_000,
        },
        WaitCase {
            name: "a near deadline",
            class: PriorityClass::Overnight,
            deadline_ms: 70,
            until_ms: 70,
        },
    ];
    for case in &cases {
        let mut queue = WaitQueue::new(1);
        let outcome = queue.push(at(0), case.class, None, at(case.deadline_ms), ());
        let PushOutcome::Queued { until, .. } = outcome else {
            panic!("{}: refused", case.name);
        };
        assert_eq!(until, at(case.until_ms), "{}", case.name);
        assert!(
            queue.expire(at(case.until_ms - 1)).is_empty(),
            "{}",
            case.name
        );
        assert_eq!(queue.expire(at(case.until_ms)).len(), 1, "{}", case.name);
        assert!(queue.is_empty(), "{}", case.name);
    }
}

/// Guards against a slot for a caller that has given up, and against a lost turn of its account.
#[test]
fn ended_waits_get_no_slot_and_cost_no_turn() {
    let mut queue = WaitQueue::new(10);
    queue.push(
        at(0),
        PriorityClass::Standard,
        Some(account(0)),
        at(100),
        "ended",
    );
    queue.push(at(0), PriorityClass::Standard, Some(account(0)), NEVER, "a");
    queue.push(at(0), PriorityClass::Standard, Some(account(1)), NEVER, "b");
    let mut ended = Vec::new();
    let served = queue.pop(at(100), |item| ended.push(item));
    assert_eq!(served, Some("a"));
    assert_eq!(ended, ["ended"]);
    assert_eq!(queue.len(), 1);
}

/// Guards against a waiter that is removed twice, or instead of another one.
#[test]
fn removed_waiter_leaves_the_others_in_order() {
    let mut queue = WaitQueue::new(10);
    let gone = push(&mut queue, PriorityClass::Urgent, account(0), "a1").expect("there is room");
    push(&mut queue, PriorityClass::Urgent, account(0), "a2").expect("there is room");
    push(&mut queue, PriorityClass::Urgent, account(1), "b1").expect("there is room");
    assert_eq!(queue.remove(gone), Some("a1"));
    assert_eq!(queue.remove(gone), None);
    assert_eq!(pop(&mut queue), Some("a2"));
    assert_eq!(pop(&mut queue), Some("b1"));
    assert_eq!(pop(&mut queue), None);
}

/// Guards against an account that gets more slots than another one while both have waiters.
#[test]
fn service_of_waiting_accounts_differs_by_at_most_one_a_round() {
    let backlog = [400, 3, 50, 50, 7];
    let mut queue = WaitQueue::new(1_000);
    for (index, waiters) in backlog.iter().enumerate() {
        for _ in 0..*waiters {
            push(&mut queue, PriorityClass::Standard, account(index), index)
                .expect("there is room");
        }
    }
    let mut served = [0_usize; 5];
    while let Some(index) = pop(&mut queue) {
        served[index] += 1;
        let waiting = (0..backlog.len()).filter(|index| served[*index] < backlog[*index]);
        let counts: Vec<usize> = waiting.map(|index| served[index]).collect();
        let most = counts.iter().max().copied().unwrap_or(0);
        let least = counts.iter().min().copied().unwrap_or(0);
        assert!(most - least <= 1, "{served:?}");
    }
    assert_eq!(served, backlog);
}

/// Guards against work that may be delayed but must arrive, and never gets a slot while urgent work waits.
#[test]
fn lower_classes_get_slots_while_urgent_work_waits() {
    let mut queue = WaitQueue::new(10_000);
    for class in CLASSES {
        for _ in 0..1_000 {
            push(&mut queue, class, account(0), class).expect("there is room");
        }
    }
    let mut passed_over: [u32; 4] = [0; 4];
    let mut served = [0_u32; 4];
    for _ in 0..1_000 {
        let next = pop(&mut queue).expect("waiters are left");
        served[next as usize] += 1;
        for class in CLASSES {
            let passed = &mut passed_over[class as usize];
            *passed = if class == next { 0 } else { *passed + 1 };
            assert!(*passed <= PASSED_OVER_MOST + 2, "{class:?}");
        }
    }
    println!("slots of 1,000 by class, urgent first: {served:?}");
    assert!(served[0] > 700, "urgent work gets most slots: {served:?}");
}

/// One operation on a queue.
#[derive(Debug, Clone)]
enum QueueStep {
    Push { class: usize, account: usize },
    Pop,
    Remove { pick: usize },
    Wait { ms: u64 },
    Expire,
}

fn any_step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        4 => (0..4_usize, 0..5_usize).prop_map(|(class, account)| QueueStep::Push { class, account }),
        2 => Just(QueueStep::Pop),
        1 => any::<usize>().prop_map(|pick| QueueStep::Remove { pick }),
        1 => (1..3_000_u64).prop_map(|ms| QueueStep::Wait { ms }),
        1 => Just(QueueStep::Expire),
    ]
}

/// A waiter as the oracle knows it.
struct KnownWaiter {
    number: u32,
    class: usize,
    ticket: WaitTicket,
    until: MonotonicTime,
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x5155_4555_4501),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a waiter that leaves the queue twice, never, too late or while a shed one was
    /// less urgent than the arrival.
    #[test]
    fn each_waiter_leaves_once(steps in prop::collection::vec(any_step(), 1..200)) {
        const CAPACITY: usize = 12;
        let mut queue = WaitQueue::new(CAPACITY);
        let mut known: Vec<KnownWaiter> = Vec::new();
        let mut now = at(0);
        for (number, step) in (0_u32..).zip(steps) {
            match step {
                QueueStep::Push { class, account: index } => {
                    let outcome = queue.push(now, CLASSES[class], Some(account(index)), NEVER, number);
                    if let PushOutcome::Queued { ticket, until, shed } = outcome {
                        prop_assert_eq!(until, now + longest_wait(CLASSES[class]));
                        if let Some(shed) = shed {
                            let worst = known.iter().map(|waiter| waiter.class).max();
                            let place = known.iter().position(|waiter| waiter.number == shed);
                            let waiter = known.remove(place.expect("a shed waiter was waiting"));
                            prop_assert_eq!(Some(waiter.class), worst);
                            prop_assert!(waiter.class >= class);
                        }
                        known.push(KnownWaiter { number, class, ticket, until });
                    } else {
                        prop_assert_eq!(known.len(), CAPACITY);
                        prop_assert!(known.iter().all(|waiter| waiter.class <= class));
                    }
                }
                QueueStep::Pop => {
                    let mut ended = Vec::new();
                    let served = queue.pop(now, |item| ended.push(item));
                    for item in ended {
                        let place = known.iter().position(|waiter| waiter.number == item);
                        let waiter = known.remove(place.expect("an ended waiter was waiting"));
                        prop_assert!(now >= waiter.until);
                    }
                    if let Some(item) = served {
                        let place = known.iter().position(|waiter| waiter.number == item);
                        let waiter = known.remove(place.expect("a served waiter was waiting"));
                        prop_assert!(now < waiter.until);
                    } else {
                        prop_assert!(known.is_empty());
                    }
                }
                QueueStep::Remove { pick } if !known.is_empty() => {
                    let waiter = known.swap_remove(pick % known.len());
                    prop_assert_eq!(queue.remove(waiter.ticket), Some(waiter.number));
                    prop_assert_eq!(queue.remove(waiter.ticket), None);
                }
                QueueStep::Remove { .. } => {}
                QueueStep::Wait { ms } => now = now + Duration::from_millis(ms),
                QueueStep::Expire => {
                    let mut expired = queue.expire(now);
                    let due = known.iter().filter(|waiter| now >= waiter.until);
                    let mut due: Vec<u32> = due.map(|waiter| waiter.number).collect();
                    known.retain(|waiter| now < waiter.until);
                    expired.sort_unstable();
                    due.sort_unstable();
                    prop_assert_eq!(expired, due);
                }
            }
            prop_assert_eq!(queue.len(), known.len());
        }
    }
}
