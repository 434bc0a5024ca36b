//! Histories of requests with lost, late and repeated messages, and with owners of keys that die, are
//! replaced and hand over. An oracle counts what ran at the upstreams.
//!
//! 256 histories are tried. `FUZZ_HISTORIES=10000` tries that many. The seed is fixed.

use std::collections::BTreeMap;
use std::env;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    AttemptEnd, AttemptHistory, AttemptState, IdempotencyKey, KEY_RETENTION, KeyOwner, NextStep,
    OpenAttempt, Refusal, RefusalKind, ReplayDecision, ReplayEnd, ReplayEntry, ReplayLimits,
    ReplayMemory, ReplayTicket, RequestDigest, RetryConditions, RunStatus, SeatRoster, SeatTenure,
    decide_next_step, find_key_owner,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const SEED: u64 = 0x5245_5155_4553_5453;
const HISTORIES: u32 = 256;
const LONGEST_HISTORY: usize = 240;

/// The last of these seats is added to and removed from the configuration.
const SEATS: [&str; 4] = ["penang-a-1", "penang-b-1", "johor-a-1", "kuching-a-1"];

const DEADLINE: Duration = Duration::from_secs(10);

/// How long an instance may miss a change of the seats, or answer after its seat was claimed.
const LONGEST_LAG: Duration = Duration::from_mins(1);

/// Small, so that memories are full in some histories.
const LIMITS: ReplayLimits = ReplayLimits {
    entries: 3,
    account_entries: 2,
    answer_bytes: 100_000,
    account_answer_bytes: 100_000,
};

/// Answers are frequent, so that many requests are repeated after one.
const ENDS: [AttemptEnd; 13] = [
    AttemptEnd::ConnectFailed,
    AttemptEnd::NeverSent,
    AttemptEnd::Shed,
    AttemptEnd::Draining,
    AttemptEnd::ConnectionBroken,
    AttemptEnd::TimedOut,
    AttemptEnd::Cancelled,
    AttemptEnd::AnswerTruncated,
    AttemptEnd::Answered,
    AttemptEnd::Answered,
    AttemptEnd::Answered,
    AttemptEnd::Answered,
    AttemptEnd::Answered,
];

/// What happened in all histories together, to see that they reach what they are meant to test.
static FIGURES: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

fn count(name: &'static str) {
    let mut figures = FIGURES.lock().expect("no thread panics while it counts");
    *figures.entry(name).or_default() += 1;
}

/// One step of a history. Numbers select among what exists at that moment.
#[derive(Debug, Clone)]
enum LifeStep {
    /// A caller sends an operation, for the first time or again.
    Send {
        entry: usize,
        operation: usize,
        seat: usize,
        /// Whether the entry knows only the previous holder of the key's seat.
        stale: bool,
        /// Whether the caller uses the key for a different request.
        twisted: bool,
    },
    /// A message between instances arrives.
    Deliver { message: usize },
    /// A message arrives, and will arrive again.
    Repeat { message: usize },
    /// A message is lost.
    Lose { message: usize },
    /// An attempt ends.
    EndAttempt {
        send: usize,
        end: usize,
        ran: bool,
        budget: bool,
        bytes: usize,
    },
    /// An upstream runs a request whose attempt was given up.
    LateRun { pick: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// Time passes until shortly before a caller's key may be forgotten.
    WaitForRetention { caller: usize, left_ms: u64 },
    /// The holder of a seat is killed and replaced.
    Kill { seat: usize },
    /// The seat of a live holder is claimed by another instance.
    Depose { seat: usize },
    /// The holder of a seat hands over to another instance.
    HandOver { seat: usize },
    /// A seat is added or removed.
    ChangeSeats,
    /// An instance learns of the last change of the seats.
    Learn { instance: usize },
    /// An instance forgets old keys.
    Sweep { instance: usize },
}

fn any_life_step() -> impl Strategy<Value = LifeStep> {
    let pick = any::<usize>;
    let send = (pick(), 0..8_usize, pick(), any::<bool>(), 0..12_u8).prop_map(
        |(entry, operation, seat, stale, twist)| LifeStep::Send {
            entry,
            operation,
            seat,
            stale,
            twisted: twist == 0,
        },
    );
    let end = (
        pick(),
        0..ENDS.len(),
        any::<bool>(),
        any::<bool>(),
        0..40_000_usize,
    )
        .prop_map(|(send, end, ran, budget, bytes)| LifeStep::EndAttempt {
            send,
            end,
            ran,
            budget,
            bytes,
        });
    let wait = prop_oneof![
        4 => 1..4_000_u64,
        2 => 4_000..70_000_u64,
        1 => 70_000..800_000_u64,
    ];
    prop_oneof![
        12 => send,
        16 => pick().prop_map(|message| LifeStep::Deliver { message }),
        4 => pick().prop_map(|message| LifeStep::Repeat { message }),
        1 => pick().prop_map(|message| LifeStep::Lose { message }),
        10 => end,
        2 => pick().prop_map(|pick| LifeStep::LateRun { pick }),
        4 => wait.prop_map(|ms| LifeStep::Wait { ms }),
        2 => (0..8_usize, 1..30_000_u64)
            .prop_map(|(caller, left_ms)| LifeStep::WaitForRetention { caller, left_ms }),
        1 => (0..SEATS.len()).prop_map(|seat| LifeStep::Kill { seat }),
        1 => (0..SEATS.len()).prop_map(|seat| LifeStep::Depose { seat }),
        1 => (0..SEATS.len()).prop_map(|seat| LifeStep::HandOver { seat }),
        2 => Just(LifeStep::ChangeSeats),
        2 => pick().prop_map(|instance| LifeStep::Learn { instance }),
        1 => pick().prop_map(|instance| LifeStep::Sweep { instance }),
    ]
}

/// What a caller wants done once.
struct Operation {
    account: &'static str,
    key: Option<IdempotencyKey>,
    idempotent: bool,
    first_sent: MonotonicTime,
    /// The number of runs, over all sends.
    runs: u32,
}

/// One request of a caller.
struct SentRequest {
    operation: usize,
    digest: RequestDigest,
    entry: usize,
    deadline: MonotonicTime,
    phase: RequestPhase,
    runs: u32,
    told: Option<RunStatus>,
}

enum RequestPhase {
    /// The entry has asked the owner of the key.
    Asking,
    /// An attempt is open, under a permission of the instance that owns the key.
    Open(OpenAttempt, Option<Permission>),
    Done,
}

#[derive(Debug, Clone, Copy)]
struct Permission {
    owner: usize,
    ticket: ReplayTicket,
}

#[derive(Clone)]
enum Message {
    Begin {
        request: usize,
        owner: usize,
    },
    Verdict {
        request: usize,
        owner: usize,
        verdict: Verdict,
    },
    Finish {
        owner: usize,
        report: FinishReport,
    },
    HandOver {
        successor: usize,
        entries: Vec<ReplayEntry<usize>>,
        incarnations: Vec<u64>,
        remaining: Duration,
    },
}

/// What an owner replies.
#[derive(Debug, Clone, Copy)]
enum Verdict {
    Run(ReplayTicket),
    Answered(usize),
    Refused(RefusalKind),
}

#[derive(Debug, Clone, Copy)]
struct FinishReport {
    operation: usize,
    ticket: ReplayTicket,
    end: ReportedEnd,
}

#[derive(Debug, Clone, Copy)]
enum ReportedEnd {
    Refused(RunStatus),
    Answered { operation: usize, bytes: usize },
}

struct Instance {
    alive: bool,
    seat: usize,
    incarnation: u64,
    /// How far the clock of the instance is ahead of the history's time.
    clock_lead: Duration,
    memory: ReplayMemory<usize>,
    tenure: SeatTenure,
    roster: SeatRoster,
    successor: Option<usize>,
    /// When the instance lost its seat.
    replaced_at: Option<MonotonicTime>,
}

/// The fleet, its callers and its upstreams.
struct Fleet {
    now: MonotonicTime,
    instances: Vec<Instance>,
    holders: [usize; SEATS.len()],
    seats_in_force: usize,
    seats_changed_at: MonotonicTime,
    operations: Vec<Operation>,
    /// The operation that each caller is busy with.
    current: [Option<usize>; 8],
    requests: Vec<SentRequest>,
    messages: Vec<Message>,
    /// Requests that an upstream may still run.
    late: Vec<usize>,
}

fn seat_names(seats: usize) -> Vec<String> {
    SEATS[..seats].iter().map(|&seat| seat.to_owned()).collect()
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            now: MonotonicTime::from_millis(1_000),
            instances: Vec::new(),
            holders: [0; SEATS.len()],
            seats_in_force: SEATS.len() - 1,
            seats_changed_at: MonotonicTime::default(),
            operations: Vec::new(),
            current: [None; 8],
            requests: Vec::new(),
            messages: Vec::new(),
            late: Vec::new(),
        };
        // The last seat is not configured yet, so its holder may not assume that keys are new.
        for (seat, name) in SEATS.iter().enumerate() {
            fleet.replace_holder(seat);
            let holder = &mut fleet.instances[seat];
            let local = fleet.now + holder.clock_lead;
            if seat < fleet.seats_in_force {
                holder.tenure =
                    SeatTenure::for_new_fleet(local, (*name).to_owned(), holder.incarnation);
            }
        }
        fleet
    }

    fn local_now(&self, instance: usize) -> MonotonicTime {
        self.now + self.instances[instance].clock_lead
    }

    /// Starts an instance that holds `seat` from now on, without the memory of its predecessor.
    fn replace_holder(&mut self, seat: usize) -> usize {
        let number = self.instances.len();
        let incarnation = number as u64 + 100;
        let clock_lead = Duration::from_secs(1_000 * (number as u64 % 3));
        let local = self.now + clock_lead;
        self.instances.push(Instance {
            alive: true,
            seat,
            incarnation,
            clock_lead,
            memory: ReplayMemory::new(incarnation, LIMITS),
            tenure: SeatTenure::claimed(local, SEATS[seat].to_owned(), incarnation),
            roster: SeatRoster::new(seat_names(self.seats_in_force)),
            successor: None,
            replaced_at: None,
        });
        self.holders[seat] = number;
        number
    }

    fn apply(&mut self, step: &LifeStep) {
        match *step {
            LifeStep::Send {
                entry,
                operation,
                seat,
                stale,
                twisted,
            } => self.send(entry, operation, seat, stale, twisted),
            LifeStep::Deliver { message } => {
                if let Some(index) = pick_of(message, self.messages.len()) {
                    let message = self.messages.swap_remove(index);
                    self.deliver(message);
                }
            }
            LifeStep::Repeat { message } => {
                if let Some(index) = pick_of(message, self.messages.len()) {
                    count("messages repeated");
                    self.deliver(self.messages[index].clone());
                }
            }
            LifeStep::Lose { message } => {
                if let Some(index) = pick_of(message, self.messages.len()) {
                    count("messages lost");
                    self.messages.swap_remove(index);
                }
            }
            LifeStep::EndAttempt {
                send,
                end,
                ran,
                budget,
                bytes,
            } => self.end_some_attempt(send, ENDS[end], ran, budget, bytes),
            LifeStep::LateRun { pick } => {
                if let Some(index) = pick_of(pick, self.late.len()) {
                    let request = self.late.swap_remove(index);
                    self.run(request);
                }
            }
            LifeStep::Wait { ms } => self.wait(Duration::from_millis(ms)),
            LifeStep::WaitForRetention { caller, left_ms } => {
                if let Some(operation) = self.current[caller] {
                    let end = self.operations[operation].first_sent + KEY_RETENTION;
                    self.wait((end - Duration::from_millis(left_ms)).since(self.now));
                }
            }
            LifeStep::Kill { seat } => {
                count("owners killed");
                self.kill(self.holders[seat]);
                self.replace_holder(seat);
            }
            LifeStep::Depose { seat } => {
                self.instances[self.holders[seat]].replaced_at = Some(self.now);
                self.replace_holder(seat);
            }
            LifeStep::HandOver { seat } => self.hand_over(seat),
            LifeStep::ChangeSeats => {
                self.learn_all();
                let all = SEATS.len();
                self.seats_in_force = if self.seats_in_force == all {
                    all - 1
                } else {
                    all
                };
                self.seats_changed_at = self.now;
            }
            LifeStep::Learn { instance } => self.learn(instance % self.instances.len()),
            LifeStep::Sweep { instance } => {
                let instance = instance % self.instances.len();
                let local = self.local_now(instance);
                self.instances[instance].memory.sweep(local);
            }
        }
    }

    fn send(&mut self, entry: usize, caller: usize, seat: usize, stale: bool, twisted: bool) {
        let live: Vec<usize> = (0..self.instances.len())
            .filter(|instance| self.instances[*instance].alive)
            .collect();
        let entry = live[entry % live.len()];
        let operation = self.operation_of(caller, seat % self.seats_in_force);
        let request = self.requests.len();
        self.requests.push(SentRequest {
            operation,
            digest: RequestDigest(u64::from(twisted)),
            entry,
            deadline: self.now + DEADLINE,
            phase: RequestPhase::Asking,
            runs: 0,
            told: None,
        });
        count("requests sent");
        let Some(key) = self.operations[operation].key.clone() else {
            self.start(request, None);
            return;
        };
        let account = self.operations[operation].account;
        let roster = &self.instances[entry].roster;
        let owner = find_key_owner(self.local_now(entry), account, &key, roster);
        match self.reach(&owner, stale) {
            Some(instance) if instance == entry => {
                if let Some(verdict) = self.begin(request, instance) {
                    self.follow(request, instance, verdict);
                } else {
                    self.refuse_unattempted(request, RefusalKind::KeyOwnerUnreachable);
                }
            }
            Some(owner) => self.messages.push(Message::Begin { request, owner }),
            None => self.refuse_unattempted(request, RefusalKind::KeyOwnerUnreachable),
        }
    }

    /// Returns the operation of a caller, or a new one once the old key may be forgotten.
    fn operation_of(&mut self, caller: usize, seat: usize) -> usize {
        if let Some(operation) = self.current[caller]
            && self.now < self.operations[operation].first_sent + KEY_RETENTION
        {
            return operation;
        }
        let number = self.operations.len();
        let holder = &self.instances[self.holders[seat]];
        let prefix = KeyOwner::prefix(SEATS[seat], holder.incarnation);
        // A new period begins before the caller needs a new key. Both accounts use equal keys.
        let period = self.now.as_nanos() / 1_000_000_000 / KEY_RETENTION.as_secs();
        let text = match caller % 4 {
            0 => None,
            1 => Some(format!("{prefix}{number}")),
            _ => Some(format!("order-{}-{period}", caller % 2)),
        };
        self.operations.push(Operation {
            account: ["hotel-group", "sawmill"][caller / 4],
            key: text.map(|text| IdempotencyKey::try_from(text).expect("the key is valid")),
            idempotent: caller == 3,
            first_sent: self.now,
            runs: 0,
        });
        self.current[caller] = Some(number);
        number
    }

    /// Returns the instance that an entry asks for a key.
    ///
    /// For a key whose incarnation is gone, that is the holder of its seat, which must refuse it.
    fn reach(&self, owner: &KeyOwner, stale: bool) -> Option<usize> {
        let choose = |can_own: &dyn Fn(&Instance) -> bool| {
            let owns = |number: &usize| {
                let instance = &self.instances[*number];
                instance.alive && can_own(instance)
            };
            let mut candidates = (0..self.instances.len()).filter(owns);
            if stale {
                candidates.next()
            } else {
                candidates.next_back()
            }
        };
        match owner {
            KeyOwner::Incarnation { seat, incarnation } => {
                choose(&|instance| instance.tenure.incarnations().contains(incarnation))
                    .or_else(|| choose(&|instance| SEATS[instance.seat] == seat))
            }
            KeyOwner::Seat(seat) => choose(&|instance| SEATS[instance.seat] == seat),
            KeyOwner::Moved => None,
        }
    }

    /// Lets the owner of a key decide, or nothing if it does not answer.
    fn begin(&self, request: usize, owner: usize) -> Option<Verdict> {
        let instance = &self.instances[owner];
        if !instance.alive {
            return None;
        }
        let local = self.local_now(owner);
        let request = &self.requests[request];
        let operation = &self.operations[request.operation];
        let key = operation.key.as_ref()?;
        let key_owner = find_key_owner(local, operation.account, key, &instance.roster);
        if !instance.tenure.has_all_keys_of(local, &key_owner) {
            return Some(Verdict::Refused(RefusalKind::OutcomeUnknown));
        }
        let remaining = request.deadline.since(self.now);
        let decision =
            instance
                .memory
                .begin(local, operation.account, key, request.digest, remaining);
        Some(match decision {
            ReplayDecision::Run(ticket) => Verdict::Run(ticket),
            ReplayDecision::Answered(answer) => Verdict::Answered(*answer),
            other => Verdict::Refused(other.refusal_kind().expect("no run and no answer")),
        })
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Begin { request, owner } => {
                if let Some(verdict) = self.begin(request, owner) {
                    self.messages.push(Message::Verdict {
                        request,
                        owner,
                        verdict,
                    });
                }
            }
            Message::Verdict {
                request,
                owner,
                verdict,
            } => self.follow(request, owner, verdict),
            Message::Finish { owner, report } => self.finish(owner, report),
            Message::HandOver {
                successor,
                entries,
                incarnations,
                remaining,
            } => self.import(successor, entries, &incarnations, remaining),
        }
    }

    /// Does at the entry what the owner of the key decided, unless the request has ended already.
    fn follow(&mut self, request: usize, owner: usize, verdict: Verdict) {
        let sent = &self.requests[request];
        if !matches!(sent.phase, RequestPhase::Asking) || self.now >= sent.deadline {
            return;
        }
        match verdict {
            Verdict::Run(ticket) => self.start(request, Some(Permission { owner, ticket })),
            Verdict::Answered(answer) => {
                assert_eq!(answer, sent.operation, "the answer of another operation");
                count("answers replayed");
                self.end_request(request, RunStatus::Run);
            }
            Verdict::Refused(kind) => {
                if kind == RefusalKind::ReplayMemoryFull {
                    let runs = self.operations[sent.operation].runs;
                    assert_eq!(runs, 0, "a key that is said to be new has run");
                }
                self.refuse_unattempted(request, kind);
            }
        }
    }

    fn start(&mut self, request: usize, permission: Option<Permission>) {
        let attempt = AttemptHistory::new().start_attempt();
        self.requests[request].phase = RequestPhase::Open(attempt, permission);
    }

    fn refuse_unattempted(&mut self, request: usize, kind: RefusalKind) {
        let refusal = Refusal::before_attempt(kind, true);
        count(kind.code());
        self.end_request(request, refusal.run_status());
    }

    fn end_some_attempt(
        &mut self,
        pick: usize,
        end: AttemptEnd,
        ran: bool,
        budget: bool,
        bytes: usize,
    ) {
        let open: Vec<usize> = (0..self.requests.len())
            .filter(|request| matches!(self.requests[*request].phase, RequestPhase::Open(..)))
            .collect();
        if let Some(index) = pick_of(pick, open.len()) {
            self.end_attempt(open[index], end, ran, budget, bytes);
        }
    }

    fn end_attempt(
        &mut self,
        request: usize,
        end: AttemptEnd,
        ran: bool,
        budget: bool,
        bytes: usize,
    ) {
        let phase = std::mem::replace(&mut self.requests[request].phase, RequestPhase::Done);
        let RequestPhase::Open(attempt, permission) = phase else {
            return;
        };
        match end.state() {
            AttemptState::NotSent => {}
            AttemptState::PossiblyRun if !ran => self.late.push(request),
            AttemptState::PossiblyRun | AttemptState::Answered => self.run(request),
        }
        let number = self.requests[request].operation;
        let operation = &self.operations[number];
        let facts = RetryConditions {
            idempotent: operation.idempotent,
            keyed: operation.key.is_some(),
            body_replayable: true,
            remaining: self.requests[request].deadline.since(self.now),
            random: 0,
        };
        match decide_next_step(attempt, end, &facts, || budget) {
            NextStep::Retry { history, .. } => {
                count("attempts retried");
                let attempt = history.start_attempt();
                self.requests[request].phase = RequestPhase::Open(attempt, permission);
            }
            NextStep::Deliver(history) => {
                count("answers delivered");
                let end = ReportedEnd::Answered {
                    operation: number,
                    bytes,
                };
                self.report(request, permission, end);
                self.end_request(request, history.run_status());
            }
            NextStep::Refuse(refusal) => {
                count(refusal.kind().code());
                if permission.is_some() && refusal.run_status() == RunStatus::NotRun {
                    let runs = self.operations[number].runs;
                    assert_eq!(runs, 0, "the only holder of a key says that it did not run");
                }
                self.report(
                    request,
                    permission,
                    ReportedEnd::Refused(refusal.run_status()),
                );
                self.end_request(request, refusal.run_status());
            }
        }
    }

    /// Notes what the caller is told.
    fn end_request(&mut self, request: usize, mark: RunStatus) {
        let sent = &mut self.requests[request];
        sent.phase = RequestPhase::Done;
        sent.told = Some(mark);
        let runs = self.operations[sent.operation].runs;
        assert!(mark != RunStatus::Run || runs > 0, "told to have run");
    }

    /// Runs a request at an upstream.
    fn run(&mut self, request: usize) {
        let sent = &mut self.requests[request];
        let operation = &mut self.operations[sent.operation];
        sent.runs += 1;
        operation.runs += 1;
        count("runs");
        if operation.idempotent {
            return;
        }
        assert!(sent.runs <= 1, "one request ran twice");
        assert!(
            operation.key.is_none() || operation.runs <= 1,
            "one key ran twice"
        );
    }

    /// Reports the end of a request to the owner of its key.
    fn report(&mut self, request: usize, permission: Option<Permission>, end: ReportedEnd) {
        let Some(Permission { owner, ticket }) = permission else {
            return;
        };
        let report = FinishReport {
            operation: self.requests[request].operation,
            ticket,
            end,
        };
        if owner == self.requests[request].entry {
            self.finish(owner, report);
        } else {
            self.messages.push(Message::Finish { owner, report });
        }
    }

    fn finish(&mut self, owner: usize, report: FinishReport) {
        let instance = &self.instances[owner];
        let operation = &self.operations[report.operation];
        let (true, Some(key)) = (instance.alive, &operation.key) else {
            return;
        };
        let end = match report.end {
            ReportedEnd::Refused(mark) => ReplayEnd::from_run_status(mark),
            ReportedEnd::Answered { operation, bytes } => ReplayEnd::Answered {
                answer: Arc::new(operation),
                bytes,
            },
        };
        let local = self.local_now(owner);
        instance
            .memory
            .finish(local, operation.account, key, report.ticket, end);
        if let Some(successor) = instance.successor {
            self.messages.push(Message::Finish {
                owner: successor,
                report,
            });
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now = self.now + time;
        if self.now.since(self.seats_changed_at) >= LONGEST_LAG {
            self.learn_all();
        }
        for instance in 0..self.instances.len() {
            let replaced_at = self.instances[instance].replaced_at;
            if replaced_at.is_some_and(|replaced| self.now.since(replaced) >= LONGEST_LAG) {
                self.kill(instance);
            }
        }
        for request in 0..self.requests.len() {
            if self.now < self.requests[request].deadline {
                continue;
            }
            match self.requests[request].phase {
                RequestPhase::Asking => {
                    self.refuse_unattempted(request, RefusalKind::KeyOwnerUnreachable);
                }
                RequestPhase::Open(..) => {
                    self.end_attempt(request, AttemptEnd::TimedOut, false, false, 0);
                }
                RequestPhase::Done => {}
            }
        }
    }

    fn kill(&mut self, instance: usize) {
        self.instances[instance].alive = false;
        for (number, request) in self.requests.iter_mut().enumerate() {
            if request.entry != instance {
                continue;
            }
            let phase = std::mem::replace(&mut request.phase, RequestPhase::Done);
            if matches!(phase, RequestPhase::Open(..)) {
                self.late.push(number);
            }
        }
    }

    fn hand_over(&mut self, seat: usize) {
        count("hand-overs");
        let predecessor = self.holders[seat];
        let successor = self.replace_holder(seat);
        let local = self.local_now(predecessor);
        let instance = &mut self.instances[predecessor];
        instance.successor = Some(successor);
        instance.replaced_at = Some(self.now);
        let incomplete = instance.tenure.time_until_complete(local);
        self.messages.push(Message::HandOver {
            successor,
            entries: instance.memory.export(local),
            incarnations: instance.tenure.incarnations(),
            remaining: incomplete.max(instance.roster.overlap_remaining(local)),
        });
    }

    fn import(
        &mut self,
        successor: usize,
        entries: Vec<ReplayEntry<usize>>,
        incarnations: &[u64],
        remaining: Duration,
    ) {
        let local = self.local_now(successor);
        let instance = &mut self.instances[successor];
        if instance.alive && instance.memory.import(local, entries).is_ok() {
            count("hand-overs completed");
            let tenure = instance.tenure.clone();
            instance.tenure = tenure.with_hand_over(local, incarnations, remaining);
        }
    }

    fn learn(&mut self, instance: usize) {
        let local = self.local_now(instance);
        let names = seat_names(self.seats_in_force);
        let instance = &mut self.instances[instance];
        instance.roster = instance.roster.updated(local, names);
    }

    fn learn_all(&mut self) {
        for instance in 0..self.instances.len() {
            self.learn(instance);
        }
    }

    /// Lets upstreams run all that they may still run, and checks what callers were told.
    fn end(&mut self) {
        for request in std::mem::take(&mut self.late) {
            self.run(request);
        }
        for request in &self.requests {
            let told_not_run = request.told == Some(RunStatus::NotRun);
            assert!(!told_not_run || request.runs == 0, "told not to have run");
        }
    }
}

fn pick_of(pick: usize, length: usize) -> Option<usize> {
    (length > 0).then(|| pick % length)
}

/// Generates the steps. Their numbers select among what exists, so every step fits every state.
struct LifeReference;

impl ReferenceStateMachine for LifeReference {
    type State = ();
    type Transition = LifeStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<LifeStep> {
        any_life_step().boxed()
    }

    fn apply((): (), _: &LifeStep) {}
}

struct LifeTest;

impl StateMachineTest for LifeTest {
    type SystemUnderTest = Fleet;
    type Reference = LifeReference;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut fleet: Fleet, (): &(), step: LifeStep) -> Fleet {
        fleet.apply(&step);
        fleet
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.end();
    }
}

/// Guards against a second run of one key or one request, against "not run" for work that ran, and
/// against the answer of another operation.
#[test]
fn requests_run_at_most_once_and_not_run_is_true() {
    let histories = env::var("FUZZ_HISTORIES").map_or(HISTORIES, |text| {
        text.parse().expect("FUZZ_HISTORIES is a number")
    });
    let config = Config {
        cases: histories,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = LifeReference::sequential_strategy(1..LONGEST_HISTORY);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        LifeTest::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    let figures = FIGURES.lock().expect("no thread panics while it counts");
    println!("{histories} histories: {figures:#?}");
    if let Err(error) = result {
        panic!("{error}");
    }
    for name in [
        "answers delivered",
        "answers replayed",
        "attempts retried",
        "hand-overs completed",
        "key_in_progress",
        "key_mismatch",
        "outcome_unknown",
        "replay_memory_full",
    ] {
        assert!(figures.contains_key(name), "no history reached: {name}");
    }
}
