//! Tests of the wait queue: which waiter receives the next slot, and which one is shed when the queue is full.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    MAX_TIMES_PASSED_OVER, PushOutcome, WaitQueue, WaitTicket, max_queue_wait,
};
use coltsfootkeel_model::{AccountKey, ArenaKey, PriorityClass};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const CLASSES: [PriorityClass; 4] = [
    PriorityClass::Urgent,
    PriorityClass::Standard,
    PriorityClass::Preview,
    PriorityClass::Overnight,
];

/// A deadline that never passes.
const NEVER: MonotonicTime = MonotonicTime::from_nanos(u64::MAX);

fn account(index: usize) -> AccountKey {
    AccountKey::from_index(index)
}

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

/// Adds a waiter at time 0 without a deadline. Returns its ticket, or `None` if it is refused.
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
    /// The class, the account and the name of each waiter, in the order of arrival.
    waiters: &'static [(PriorityClass, usize, &'static str)],
    /// The waiters in the expected order of service.
    served: &'static [&'static str],
}

/// Guards against an urgent request that waits while a less urgent one receives a slot, and against an account with
/// many waiters that receives all slots because waiters are served in the order of their arrival.
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
            name: "round robin over accounts, each in order of arrival",
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
            push(&mut queue, *class, account(*index), *name).expect("the queue is not full");
        }
        let served: Vec<&str> = std::iter::from_fn(|| pop(&mut queue)).collect();
        assert_eq!(served, case.served, "{}", case.name);
        assert!(queue.is_empty());
    }
}

struct ShedCase {
    name: &'static str,
    /// The waiters of a full queue: the class, the account and the name of each.
    waiting: &'static [(PriorityClass, usize, &'static str)],
    /// The class and the account of one more request.
    arrival: (PriorityClass, usize),
    /// The waiter that is shed; `None` if the request is refused.
    shed: Option<&'static str>,
}

/// Guards against an urgent waiter that is shed for a less urgent request, and against an account that fills the queue,
/// so that the requests of all other accounts are refused.
#[test]
fn full_queue_sheds_the_least_urgent_newest_waiter() {
    use PriorityClass::{Overnight, Preview, Standard, Urgent};
    let cases = [
        ShedCase {
            name: "a waiter of the least urgent class is shed",
            waiting: &[(Urgent, 0, "u"), (Overnight, 0, "o"), (Preview, 0, "p")],
            arrival: (Standard, 0),
            shed: Some("o"),
        },
        ShedCase {
            name: "the newest waiter of the class is shed",
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
            name: "a request of the least urgent class is refused",
            waiting: &[(Urgent, 0, "u"), (Standard, 0, "s")],
            arrival: (Preview, 0),
            shed: None,
        },
        ShedCase {
            name: "a request of the account with the most waiters is refused",
            waiting: &[
                (Standard, 0, "a1"),
                (Standard, 0, "a2"),
                (Standard, 1, "b1"),
            ],
            arrival: (Standard, 0),
            shed: None,
        },
        ShedCase {
            name: "a waiter of the account that fills the queue is shed for another account",
            waiting: &[
                (Standard, 0, "a1"),
                (Standard, 0, "a2"),
                (Standard, 0, "a3"),
            ],
            arrival: (Standard, 1),
            shed: Some("a3"),
        },
        ShedCase {
            name: "a waiter of the account with the most waiters is shed although another one is newer",
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
            name: "no waiter is shed if each account has one",
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
            push(&mut queue, *class, account(*index), *name).expect("the queue is not full");
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
    /// The deadline of the request.
    deadline_ms: u64,
    /// The expected end of the wait.
    until_ms: u64,
}

/// Guards against a request that waits although its caller no longer needs the answer: the wait exceeds the maximum of
/// its class, or the deadline of the request.
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
            name: "a deadline before the maximum of the class",
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

/// Guards against a slot that is given to a waiter whose wait has ended, and against an account whose next waiter is
/// served a round later because a waiter before it had expired.
#[test]
fn expired_waiter_gets_no_slot_and_its_account_keeps_its_place() {
    let mut queue = WaitQueue::new(10);
    queue.push(
        at(0),
        PriorityClass::Standard,
        Some(account(0)),
        at(100),
        "expired",
    );
    queue.push(at(0), PriorityClass::Standard, Some(account(0)), NEVER, "a");
    queue.push(at(0), PriorityClass::Standard, Some(account(1)), NEVER, "b");
    let mut expired = Vec::new();
    let served = queue.pop(at(100), |item| expired.push(item));
    assert_eq!(served, Some("a"));
    assert_eq!(expired, ["expired"]);
    assert_eq!(queue.len(), 1);
}

/// Guards against a removal that takes another waiter of the same account out of the queue, or takes the same waiter
/// out twice, so that the length of the queue is wrong.
#[test]
fn removed_waiter_leaves_the_others_in_order() {
    let mut queue = WaitQueue::new(10);
    let removed =
        push(&mut queue, PriorityClass::Urgent, account(0), "a1").expect("the queue is not full");
    push(&mut queue, PriorityClass::Urgent, account(0), "a2").expect("the queue is not full");
    push(&mut queue, PriorityClass::Urgent, account(1), "b1").expect("the queue is not full");
    assert_eq!(queue.remove(removed), Some("a1"));
    assert_eq!(queue.remove(removed), None);
    assert_eq!(pop(&mut queue), Some("a2"));
    assert_eq!(pop(&mut queue), Some("b1"));
    assert_eq!(pop(&mut queue), None);
}

/// Guards against an account that receives more slots than another one while both have waiters, because it has more of
/// them or because accounts that run out of waiters change the order of the others.
#[test]
fn waiting_accounts_are_served_equally_often() {
    let backlog = [400, 3, 50, 50, 7];
    let mut queue = WaitQueue::new(1_000);
    for (index, waiters) in backlog.iter().enumerate() {
        for _ in 0..*waiters {
            push(&mut queue, PriorityClass::Standard, account(index), index)
                .expect("the queue is not full");
        }
    }
    let mut served = [0_usize; 5];
    while let Some(index) = pop(&mut queue) {
        served[index] += 1;
        let waiting = (0..backlog.len()).filter(|index| served[*index] < backlog[*index]);
        let counts: Vec<usize> = waiting.map(|index| served[index]).collect();
        let most_served = counts.iter().max().copied().unwrap_or(0);
        let least_served = counts.iter().min().copied().unwrap_or(0);
        assert!(most_served - least_served <= 1, "{served:?}");
    }
    assert_eq!(served, backlog);
}

/// Guards against starvation: overnight requests may be delayed but must run, and would never receive a slot if urgent
/// requests always came first.
#[test]
fn lower_classes_get_slots_while_urgent_requests_wait() {
    let mut queue = WaitQueue::new(10_000);
    for class in CLASSES {
        for _ in 0..1_000 {
            push(&mut queue, class, account(0), class).expect("the queue is not full");
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
            // Two other classes may be overdue as well and be served first.
            assert!(*passed <= MAX_TIMES_PASSED_OVER + 2, "{class:?}");
        }
    }
    println!("slots of 1,000 by class, urgent first: {served:?}");
    assert!(
        served[0] > 700,
        "urgent requests receive most slots: {served:?}"
    );
}

/// One step of a random test.
#[derive(Debug, Clone)]
enum QueueStep {
    /// A request arrives.
    Push { class: usize, account: usize },
    /// A slot becomes free.
    Pop,
    /// A waiter leaves the queue before its wait ends. `pick` is taken modulo the number of waiters.
    Remove { pick: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// Waiters whose wait has ended are removed.
    Expire,
}

fn any_queue_step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        4 => (0..4_usize, 0..5_usize).prop_map(|(class, account)| QueueStep::Push { class, account }),
        2 => Just(QueueStep::Pop),
        1 => any::<usize>().prop_map(|pick| QueueStep::Remove { pick }),
        1 => (1..3_000_u64).prop_map(|ms| QueueStep::Wait { ms }),
        1 => Just(QueueStep::Expire),
    ]
}

/// A waiter in the list of the oracle.
struct ExpectedWaiter {
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

    /// Guards against a request that is answered twice or never, because its waiter leaves the queue twice or never,
    /// and against a waiter that is shed, expired or served against the rules of its class. They come about if a step
    /// of one kind leaves the lists of classes and accounts inconsistent for a later step of another kind.
    #[test]
    fn each_waiter_leaves_once(steps in prop::collection::vec(any_queue_step(), 1..200)) {
        const CAPACITY: usize = 12;
        let mut queue = WaitQueue::new(CAPACITY);
        let mut expected: Vec<ExpectedWaiter> = Vec::new();
        let mut now = at(0);
        for (number, step) in (0_u32..).zip(steps) {
            match step {
                QueueStep::Push { class, account: index } => {
                    let outcome = queue.push(now, CLASSES[class], Some(account(index)), NEVER, number);
                    if let PushOutcome::Queued { ticket, until, shed } = outcome {
                        prop_assert_eq!(until, now + max_queue_wait(CLASSES[class]));
                        if let Some(shed) = shed {
                            let least_urgent = expected.iter().map(|waiter| waiter.class).max();
                            let index = expected.iter().position(|waiter| waiter.number == shed);
                            let waiter = expected.remove(index.expect("a shed waiter was in the queue"));
                            prop_assert_eq!(Some(waiter.class), least_urgent);
                            prop_assert!(waiter.class >= class);
                        }
                        expected.push(ExpectedWaiter { number, class, ticket, until });
                    } else {
                        prop_assert_eq!(expected.len(), CAPACITY);
                        prop_assert!(expected.iter().all(|waiter| waiter.class <= class));
                    }
                }
                QueueStep::Pop => {
                    let mut expired = Vec::new();
                    let served = queue.pop(now, |item| expired.push(item));
                    for item in expired {
                        let index = expected.iter().position(|waiter| waiter.number == item);
                        let waiter = expected.remove(index.expect("an expired waiter was in the queue"));
                        prop_assert!(now >= waiter.until);
                    }
                    if let Some(item) = served {
                        let index = expected.iter().position(|waiter| waiter.number == item);
                        let waiter = expected.remove(index.expect("a served waiter was in the queue"));
                        prop_assert!(now < waiter.until);
                    } else {
                        prop_assert!(expected.is_empty());
                    }
                }
                QueueStep::Remove { pick } if !expected.is_empty() => {
                    let waiter = expected.swap_remove(pick % expected.len());
                    prop_assert_eq!(queue.remove(waiter.ticket), Some(waiter.number));
                    prop_assert_eq!(queue.remove(waiter.ticket), None);
                }
                QueueStep::Remove { .. } => {}
                QueueStep::Wait { ms } => now = now + Duration::from_millis(ms),
                QueueStep::Expire => {
                    let mut expired = queue.expire(now);
                    let due = expected.iter().filter(|waiter| now >= waiter.until);
                    let mut due: Vec<u32> = due.map(|waiter| waiter.number).collect();
                    expected.retain(|waiter| now < waiter.until);
                    expired.sort_unstable();
                    due.sort_unstable();
                    prop_assert_eq!(expired, due);
                }
            }
            prop_assert_eq!(queue.len(), expected.len());
        }
    }
}
