//! Requests of competing accounts and kinds that wait for too little room.

#![expect(clippy::cast_precision_loss, reason = "all counts and times are small")]

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    FairQueue, QueueLoad, QueueTicket, QueuedRequest, RequestClass, ReturnSchedule, turn_time,
    wait_until,
};

const MS: Duration = Duration::from_millis(1);
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Time for which a request occupies a slot.
const RUN_MS: u64 = 130;
const SLOTS: usize = 26;
/// Usual accounts, each of which sends a request every [`USUAL_PERIOD_MS`].
const ACCOUNTS: u64 = 12;
const USUAL_PERIOD_MS: u64 = 75;
/// When the replayed load begins and ends, and when the replay ends.
const LOAD_MS: [u64; 2] = [1_000, 7_000];
const END_MS: u64 = 9_000;

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

/// A caller population: an account that sends requests of one rank.
#[derive(Clone, Copy)]
struct Sender {
    account: u64,
    rank: u32,
    /// Requests in place of one during the load.
    times: f64,
    /// Whether refused requests are repeated at once, up to five times.
    is_impatient: bool,
}

#[derive(Clone, Copy)]
struct Arrival {
    sender: Sender,
    first_at: u64,
    repeats: u32,
}

/// What the requests of one account and rank got.
#[derive(Debug, Clone, Copy, Default)]
struct Service {
    sent: u32,
    served: u32,
    /// Refused later than half of the objective after the arrival.
    refused_late: u32,
}

impl Service {
    fn frequency(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

/// One instance with [`SLOTS`] slots, replayed millisecond by millisecond.
struct Replay {
    queue: FairQueue<usize>,
    waiting: HashMap<usize, (Arrival, QueuedRequest, QueueTicket)>,
    /// Ends of the runs.
    running: VecDeque<u64>,
    returns: ReturnSchedule,
    returning: Vec<(u64, Arrival)>,
    services: HashMap<(u64, u32), Service>,
    completed: VecDeque<u64>,
    last_id: usize,
}

impl Replay {
    fn new() -> Self {
        Self {
            queue: FairQueue::default(),
            waiting: HashMap::new(),
            running: VecDeque::new(),
            returns: ReturnSchedule::default(),
            returning: Vec::new(),
            services: HashMap::new(),
            completed: VecDeque::new(),
            last_id: 0,
        }
    }

    fn run(&mut self, senders: &[Sender]) {
        let mut due: Vec<f64> = (0..senders.len()).map(|index| index as f64 * 5.0).collect();
        for now in 0..END_MS {
            if now % 1_000 == 0 {
                self.queue.shares.decay();
            }
            while self.running.front().is_some_and(|end| *end <= now) {
                self.running.pop_front();
                self.completed.push_back(now);
            }
            while self.completed.front().is_some_and(|time| time + 500 < now) {
                self.completed.pop_front();
            }
            self.wake(now);
            for (due, sender) in due.iter_mut().zip(senders) {
                while *due <= now as f64 {
                    let is_loaded = (LOAD_MS[0]..LOAD_MS[1]).contains(&now);
                    let times = if is_loaded { sender.times } else { 1.0 };
                    *due += USUAL_PERIOD_MS as f64 / times;
                    let service = self.services.entry((sender.account, sender.rank));
                    service.or_default().sent += u32::from(is_loaded);
                    self.arrive(
                        Arrival {
                            sender: *sender,
                            first_at: now,
                            repeats: 0,
                        },
                        now,
                    );
                }
            }
            let due = self.returning.extract_if(.., |(time, _)| *time <= now);
            for (_, arrival) in due.collect::<Vec<_>>() {
                self.arrive(arrival, now);
            }
            if now % 100 == 0 {
                for id in self.queue.remove_hopeless(self.turn_time(now), at(now)) {
                    self.refuse(id, now);
                }
            }
            let over = self
                .waiting
                .iter()
                .filter(|(_, wait)| wait.1.until <= at(now));
            for id in over.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.refuse(id, now);
            }
        }
    }

    fn demand(&self, now: u64) -> QueueLoad {
        QueueLoad {
            waiting: u32::try_from(self.queue.len()).unwrap(),
            oldest_wait: self.queue.summary(at(now)).oldest_wait,
            completed_per_s: self.completed.len() as f64 * 2.0,
        }
    }

    fn turn_time(&self, now: u64) -> Duration {
        let capacity = SLOTS as f64 * 1_000.0 / RUN_MS as f64;
        turn_time(self.demand(now), QueueLoad::default(), capacity)
    }

    fn arrive(&mut self, arrival: Arrival, now: u64) {
        let rank = arrival.sender.rank;
        let age = Duration::from_millis(now - arrival.first_at);
        let objective_left = OBJECTIVE.saturating_sub(age);
        let run = Duration::from_millis(RUN_MS);
        let max_wait = objective_left.saturating_sub(run).max(100 * MS);
        let request = QueuedRequest {
            class: RequestClass {
                is_late: objective_left < run,
                rank,
            },
            account: arrival.sender.account,
            weight: 10.0,
            is_returned: arrival.repeats > 0,
            since: at(now),
            until: wait_until(at(now), OBJECTIVE, max_wait, at(now)),
        };
        self.queue.shares.count_arrival(rank);
        if self.queue.is_next(&request) && self.running.len() < SLOTS {
            self.serve(arrival, &request, now);
            return;
        }
        let wait = self
            .turn_time(now)
            .mul_f64(self.queue.count_ahead(&request) + 1.0);
        if wait > request.until.since(at(now)) {
            self.return_later(arrival, now);
            return;
        }
        self.last_id += 1;
        let ticket = self.queue.begin_wait(request);
        self.queue.insert(&ticket, self.last_id);
        self.waiting
            .insert(self.last_id, (arrival, request, ticket));
    }

    fn wake(&mut self, now: u64) {
        while self.running.len() < SLOTS {
            let Some(id) = self.queue.pop(1).pop() else {
                return;
            };
            let (arrival, request, ticket) = self.waiting.remove(&id).unwrap();
            self.queue.end_wait(&ticket);
            self.serve(arrival, &request, now);
        }
    }

    fn serve(&mut self, arrival: Arrival, request: &QueuedRequest, now: u64) {
        self.queue.count_served(request);
        self.running.push_back(now + RUN_MS);
        if (LOAD_MS[0]..LOAD_MS[1]).contains(&arrival.first_at) {
            self.service(arrival).served += 1;
        }
    }

    fn refuse(&mut self, id: usize, now: u64) {
        let (arrival, request, ticket) = self.waiting.remove(&id).unwrap();
        self.queue.end_wait(&ticket);
        let held = at(now).since(request.since);
        self.service(arrival).refused_late += u32::from(held > OBJECTIVE / 2 + MS);
        self.return_later(arrival, now);
    }

    fn return_later(&mut self, arrival: Arrival, now: u64) {
        let left = Duration::from_millis(2_500).saturating_sub(at(now).since(at(arrival.first_at)));
        let turn_time = self.turn_time(now);
        let queue_wait = turn_time * u32::try_from(self.queue.len()).unwrap();
        let delay = self.returns.delay(queue_wait, turn_time, left, at(now));
        let (most, delay_ms) = if arrival.sender.is_impatient {
            (5, 5)
        } else {
            (1, u64::try_from(delay.as_millis()).unwrap())
        };
        if arrival.repeats < most {
            let repeats = arrival.repeats + 1;
            self.returning
                .push((now + delay_ms.max(1), Arrival { repeats, ..arrival }));
        }
    }

    fn service(&mut self, arrival: Arrival) -> &mut Service {
        let sender = arrival.sender;
        self.services
            .entry((sender.account, sender.rank))
            .or_default()
    }
}

struct LoadCase {
    name: &'static str,
    /// Factors of the accounts that send more than usual.
    heavy: &'static [f64],
    /// Factor of the requests of rank 0, of which each account sends as many as of rank 1; 0 without such requests.
    urgent: f64,
    is_impatient: bool,
    /// The least that each usual account must get of its requests.
    usual_served: f64,
}

fn senders(case: &LoadCase) -> Vec<Sender> {
    let mut senders = Vec::new();
    for account in 1..=ACCOUNTS {
        let index = usize::try_from(account).unwrap() - 1;
        let times = case.heavy.get(index).copied().unwrap_or(1.0);
        let sender = Sender {
            account,
            rank: 1,
            times,
            is_impatient: case.is_impatient && index < case.heavy.len(),
        };
        senders.push(sender);
        if case.urgent > 0.0 {
            senders.push(Sender {
                rank: 0,
                times: case.urgent * times,
                ..sender
            });
        }
    }
    senders
}

/// Guards against a heavy account that fills the queue, a rank that starves behind a more urgent one, an urgent rank that
/// is served less than another, callers that gain by repeating at once, and refusals after half of the objective.
#[test]
fn competing_callers_get_their_shares() {
    let case = |name, heavy, urgent, is_impatient, usual_served| LoadCase {
        name,
        heavy,
        urgent,
        is_impatient,
        usual_served,
    };
    let cases = [
        case("usual", &[], 0.0, false, 0.99),
        case("one account at 7 times", &[7.0], 0.0, false, 0.95),
        case("three at 4 to 7 times", &[4.0, 5.5, 7.0], 0.0, false, 0.95),
        case("impatient ones", &[7.0, 7.0, 7.0], 0.0, true, 0.95),
        case("a kind at 2.4 times", &[], 2.4, false, 0.0),
        case("both at once", &[4.0, 7.0], 2.4, false, 0.0),
    ];
    for case in cases {
        let senders = senders(&case);
        let mut replay = Replay::new();
        replay.run(&senders);
        let sum = |filter: &dyn Fn(&(u64, u32)) -> bool| {
            let services = replay.services.iter().filter(|(key, _)| filter(key));
            services.fold(Service::default(), |sum, (_, service)| Service {
                sent: sum.sent + service.sent,
                served: sum.served + service.served,
                refused_late: sum.refused_late + service.refused_late,
            })
        };
        let all = sum(&|_| true);
        assert!(
            all.refused_late * 1_000 <= all.sent,
            "{}: {all:?}",
            case.name
        );
        for account in (case.heavy.len() as u64 + 1)..=ACCOUNTS {
            let usual = sum(&|key| key.0 == account);
            let least = case.usual_served.max(all.frequency() / 4.0);
            assert!(
                usual.frequency() >= least,
                "{}: {usual:?} of {all:?}",
                case.name
            );
        }
        let ranks = [0, 1].map(|rank| sum(&|key| key.1 == rank));
        for rank in ranks.iter().filter(|rank| rank.sent > 0) {
            assert!(
                rank.frequency() >= all.frequency() / 4.0,
                "{}: {ranks:?}",
                case.name
            );
        }
        let is_ordered = ranks[0].sent == 0 || ranks[0].frequency() >= ranks[1].frequency();
        assert!(is_ordered, "{}: {ranks:?}", case.name);
        // The slots are in use throughout the load where it exceeds them.
        let capacity = (LOAD_MS[1] - LOAD_MS[0]) * SLOTS as u64 / RUN_MS;
        let possible = u64::from(all.sent).min(capacity);
        assert!(
            u64::from(all.served) * 100 >= possible * 95,
            "{}: {all:?}",
            case.name
        );
    }
}

struct TurnCase {
    name: &'static str,
    own: QueueLoad,
    others: QueueLoad,
    capacity_per_s: f64,
    turn_ms: f64,
}

/// Guards against requests that wait for slots which the queues of other instances take, and against refusals while slots
/// are idle because nothing was completed yet, as after a restart of all instances.
#[test]
fn turns_follow_from_the_room_of_all_instances() {
    let demand = |waiting, oldest_ms: u32, completed_per_s| QueueLoad {
        waiting,
        oldest_wait: MS * oldest_ms,
        completed_per_s,
    };
    let case = |name, own, others, capacity_per_s, turn_ms| TurnCase {
        name,
        own,
        others,
        capacity_per_s,
        turn_ms,
    };
    let idle = demand(0, 0, 0.0);
    let cases = [
        case("after a restart", idle, idle, 200.0, 5.0),
        case("alone", demand(9, 300, 100.0), idle, 200.0, 10.0),
        case("a short queue", demand(9, 50, 100.0), idle, 200.0, 5.0),
        case(
            "a third waits here",
            demand(9, 300, 50.0),
            demand(20, 0, 50.0),
            200.0,
            30.0,
        ),
        case(
            "the others wait for long",
            idle,
            demand(9, 300, 100.0),
            200.0,
            100.0,
        ),
        case("no room at all", demand(9, 300, 0.0), idle, 0.0, 10_000.0),
    ];
    for case in cases {
        let turn = turn_time(case.own, case.others, case.capacity_per_s);
        let error = (turn.as_secs_f64() * 1_000.0 - case.turn_ms).abs();
        assert!(error < 0.1, "{}: {turn:?}", case.name);
    }
}

/// Guards against refused callers that all return at once, before there is room, or later than they follow a delay.
#[test]
fn refused_callers_return_one_behind_the_other() {
    let schedule = ReturnSchedule::default();
    let delay = || schedule.delay(50 * MS, 10 * MS, 900 * MS, at(1_000));
    let delays: Vec<Duration> = (0..26).map(|_| delay()).collect();
    assert_eq!(delays[0], 50 * MS);
    assert!(
        delays[..25].is_sorted_by(|a, b| *b == *a + 10 * MS),
        "{delays:?}"
    );
    assert!(delays.iter().all(|delay| *delay <= 300 * MS), "{delays:?}");
}
