//! Random tests of requests with idempotency keys and retries in a fleet. Messages between instances are lost, delayed
//! and repeated, and the owners of keys are killed, replaced and hand over. An oracle counts the runs at the upstreams.
//!
//! 256 histories run by default; `FUZZ_HISTORIES=10000` runs 10,000. The seed is fixed.

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
const MAX_HISTORY_STEPS: usize = 240;

/// The seats of the fleet. The last one is added to the configuration and removed from it.
const SEATS: [&str; 4] = ["penang-a-1", "penang-b-1", "johor-a-1", "kuching-a-1"];

const DEADLINE: Duration = Duration::from_secs(10);

/// The maximum time until an instance has received a change of the seats, or stops after it has lost its seat.
const MAX_LAG: Duration = Duration::from_mins(1);

/// Small limits, so that memories are full in some histories.
const LIMITS: ReplayLimits = ReplayLimits {
    entries: 3,
    account_entries: 2,
    answer_bytes: 100_000,
    account_answer_bytes: 100_000,
};

/// The ends of attempts. Answers are frequent, so that many requests are repeated after one.
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

/// The number of events of each kind over all histories, to check that the histories cover the kinds.
static TOTALS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

fn count(name: &'static str) {
    let mut totals = TOTALS
        .lock()
        .expect("no thread panics while it holds the lock");
    *totals.entry(name).or_default() += 1;
}

/// One step of a history. Indices are taken modulo the number of items that exist at that moment.
#[derive(Debug, Clone)]
enum RequestStep {
    /// A caller sends its operation, for the first time or again.
    Send {
        entry: usize,
        caller: usize,
        /// The seat whose prefix the key of a new operation carries.
        seat: usize,
        /// Whether the entry sends to the former holder of the key's seat if it is still alive.
        to_former_holder: bool,
        /// Whether the caller uses the key for a different request.
        different_request: bool,
    },
    /// A message between instances arrives.
    Deliver { message: usize },
    /// A message arrives and remains in transit, so that it can arrive again.
    Duplicate { message: usize },
    /// A message is lost.
    Lose { message: usize },
    /// An attempt ends.
    EndAttempt {
        attempt: usize,
        end: usize,
        /// Whether the upstream ran the request, if the end leaves this open; otherwise it may run it later.
        ran: bool,
        has_budget: bool,
        /// The size of the answer.
        bytes: usize,
    },
    /// An upstream runs a request whose attempt has ended without an answer.
    RunLate { pick: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// Time passes until `left_ms` before the key of a caller's operation may be removed.
    WaitForRetention { caller: usize, left_ms: u64 },
    /// The holder of a seat is killed, and another instance claims the seat.
    Kill { seat: usize },
    /// Another instance claims a seat while its holder is still alive.
    ClaimSeat { seat: usize },
    /// The holder of a seat hands over to another instance.
    HandOver { seat: usize },
    /// The last seat is added to the configuration or removed from it.
    ChangeSeats,
    /// An instance receives the last change of the seats.
    SyncSeats { instance: usize },
    /// An instance removes the keys whose retention has passed.
    Sweep { instance: usize },
}

fn any_request_step() -> impl Strategy<Value = RequestStep> {
    let pick = any::<usize>;
    let send = (pick(), 0..8_usize, pick(), any::<bool>(), 0..12_u8).prop_map(
        |(entry, caller, seat, to_former_holder, draw)| RequestStep::Send {
            entry,
            caller,
            seat,
            to_former_holder,
            different_request: draw == 0,
        },
    );
    let end = (
        pick(),
        0..ENDS.len(),
        any::<bool>(),
        any::<bool>(),
        0..40_000_usize,
    )
        .prop_map(
            |(attempt, end, ran, has_budget, bytes)| RequestStep::EndAttempt {
                attempt,
                end,
                ran,
                has_budget,
                bytes,
            },
        );
    let wait = prop_oneof![
        4 => 1..4_000_u64,
        2 => 4_000..70_000_u64,
        1 => 70_000..800_000_u64,
    ];
    prop_oneof![
        12 => send,
        16 => pick().prop_map(|message| RequestStep::Deliver { message }),
        4 => pick().prop_map(|message| RequestStep::Duplicate { message }),
        1 => pick().prop_map(|message| RequestStep::Lose { message }),
        10 => end,
        2 => pick().prop_map(|pick| RequestStep::RunLate { pick }),
        4 => wait.prop_map(|ms| RequestStep::Wait { ms }),
        2 => (0..8_usize, 1..30_000_u64)
            .prop_map(|(caller, left_ms)| RequestStep::WaitForRetention { caller, left_ms }),
        1 => (0..SEATS.len()).prop_map(|seat| RequestStep::Kill { seat }),
        1 => (0..SEATS.len()).prop_map(|seat| RequestStep::ClaimSeat { seat }),
        1 => (0..SEATS.len()).prop_map(|seat| RequestStep::HandOver { seat }),
        2 => Just(RequestStep::ChangeSeats),
        2 => pick().prop_map(|instance| RequestStep::SyncSeats { instance }),
        1 => pick().prop_map(|instance| RequestStep::Sweep { instance }),
    ]
}

/// A unit of work that must not run twice unless it is idempotent. It may be sent several times under the same key.
struct Operation {
    account: &'static str,
    key: Option<IdempotencyKey>,
    idempotent: bool,
    /// When the caller sent the operation for the first time.
    first_sent: MonotonicTime,
    /// The number of runs over all requests of the operation.
    runs: u32,
}

/// One request of a caller for an operation.
struct SentRequest {
    operation: usize,
    digest: RequestDigest,
    /// The instance that received the request.
    entry: usize,
    deadline: MonotonicTime,
    phase: RequestPhase,
    runs: u32,
    /// The run status that the caller received; `None` until the request has ended.
    reported_status: Option<RunStatus>,
}

enum RequestPhase {
    /// The entry waits for the decision of the owner of the key.
    AwaitingOwner,
    /// An attempt is open, with the permission of the owner of the key if the request has one.
    Open(OpenAttempt, Option<Permission>),
    Done,
}

/// The permission of the owner of a key to run a request.
#[derive(Debug, Clone, Copy)]
struct Permission {
    owner: usize,
    ticket: ReplayTicket,
}

/// A message between two instances.
#[derive(Clone)]
enum Message {
    Begin {
        request: usize,
        owner: usize,
    },
    OwnerDecision {
        request: usize,
        owner: usize,
        decision: OwnerDecision,
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

/// The decision of the owner of a key on a request.
#[derive(Debug, Clone, Copy)]
enum OwnerDecision {
    Run(ReplayTicket),
    Answered(usize),
    Refused(RefusalKind),
}

/// The report of an entry to the owner of a key that the request has ended.
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
    /// The time by which the clock of the instance is ahead of that of the model.
    clock_offset: Duration,
    memory: ReplayMemory<usize>,
    tenure: SeatTenure,
    roster: SeatRoster,
    /// The instance to which this one has handed over its keys.
    successor: Option<usize>,
    /// When the instance lost its seat.
    replaced_at: Option<MonotonicTime>,
}

/// The model of the fleet, its callers and its upstreams.
struct Fleet {
    now: MonotonicTime,
    instances: Vec<Instance>,
    /// The instance that holds each seat.
    holders: [usize; SEATS.len()],
    /// The number of configured seats.
    seats_in_force: usize,
    seats_changed_at: MonotonicTime,
    operations: Vec<Operation>,
    /// The operation that each caller sends until its key may be removed.
    current_operations: [Option<usize>; 8],
    requests: Vec<SentRequest>,
    /// The messages in transit.
    messages: Vec<Message>,
    /// Requests without an open attempt that an upstream may still run.
    pending_runs: Vec<usize>,
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
            current_operations: [None; 8],
            requests: Vec::new(),
            messages: Vec::new(),
            pending_runs: Vec::new(),
        };
        // The last seat is not configured yet, so its holder must not treat absent keys as new.
        for (seat, name) in SEATS.iter().enumerate() {
            fleet.replace_holder(seat);
            let holder = &mut fleet.instances[seat];
            let local_now = fleet.now + holder.clock_offset;
            if seat < fleet.seats_in_force {
                holder.tenure =
                    SeatTenure::for_new_fleet(local_now, (*name).to_owned(), holder.incarnation);
            }
        }
        fleet
    }

    fn local_now(&self, instance: usize) -> MonotonicTime {
        self.now + self.instances[instance].clock_offset
    }

    /// Starts an instance that holds `seat` from now on, without the keys of the previous holder.
    fn replace_holder(&mut self, seat: usize) -> usize {
        let number = self.instances.len();
        let incarnation = number as u64 + 100;
        let clock_offset = Duration::from_secs(1_000 * (number as u64 % 3));
        let local_now = self.now + clock_offset;
        self.instances.push(Instance {
            alive: true,
            seat,
            incarnation,
            clock_offset,
            memory: ReplayMemory::new(incarnation, LIMITS),
            tenure: SeatTenure::claimed(local_now, SEATS[seat].to_owned(), incarnation),
            roster: SeatRoster::new(seat_names(self.seats_in_force)),
            successor: None,
            replaced_at: None,
        });
        self.holders[seat] = number;
        number
    }

    fn apply(&mut self, step: &RequestStep) {
        match *step {
            RequestStep::Send {
                entry,
                caller,
                seat,
                to_former_holder,
                different_request,
            } => self.send(entry, caller, seat, to_former_holder, different_request),
            RequestStep::Deliver { message } => {
                if let Some(index) = picked_index(message, self.messages.len()) {
                    let message = self.messages.swap_remove(index);
                    self.deliver(message);
                }
            }
            RequestStep::Duplicate { message } => {
                if let Some(index) = picked_index(message, self.messages.len()) {
                    count("messages duplicated");
                    self.deliver(self.messages[index].clone());
                }
            }
            RequestStep::Lose { message } => {
                if let Some(index) = picked_index(message, self.messages.len()) {
                    count("messages lost");
                    self.messages.swap_remove(index);
                }
            }
            RequestStep::EndAttempt {
                attempt,
                end,
                ran,
                has_budget,
                bytes,
            } => self.end_picked_attempt(attempt, ENDS[end], ran, has_budget, bytes),
            RequestStep::RunLate { pick } => {
                if let Some(index) = picked_index(pick, self.pending_runs.len()) {
                    let request = self.pending_runs.swap_remove(index);
                    self.run_at_upstream(request);
                }
            }
            RequestStep::Wait { ms } => self.advance_time(Duration::from_millis(ms)),
            RequestStep::WaitForRetention { caller, left_ms } => {
                if let Some(operation) = self.current_operations[caller] {
                    let end = self.operations[operation].first_sent + KEY_RETENTION;
                    self.advance_time((end - Duration::from_millis(left_ms)).since(self.now));
                }
            }
            RequestStep::Kill { seat } => {
                count("owners killed");
                self.kill(self.holders[seat]);
                self.replace_holder(seat);
            }
            RequestStep::ClaimSeat { seat } => {
                self.instances[self.holders[seat]].replaced_at = Some(self.now);
                self.replace_holder(seat);
            }
            RequestStep::HandOver { seat } => self.hand_over(seat),
            RequestStep::ChangeSeats => {
                self.sync_all_seats();
                let all = SEATS.len();
                self.seats_in_force = if self.seats_in_force == all {
                    all - 1
                } else {
                    all
                };
                self.seats_changed_at = self.now;
            }
            RequestStep::SyncSeats { instance } => self.sync_seats(instance % self.instances.len()),
            RequestStep::Sweep { instance } => {
                let instance = instance % self.instances.len();
                let local_now = self.local_now(instance);
                self.instances[instance].memory.sweep(local_now);
            }
        }
    }

    fn send(
        &mut self,
        entry: usize,
        caller: usize,
        seat: usize,
        to_former_holder: bool,
        different_request: bool,
    ) {
        let live: Vec<usize> = (0..self.instances.len())
            .filter(|instance| self.instances[*instance].alive)
            .collect();
        let entry = live[entry % live.len()];
        let operation = self.current_or_new_operation(caller, seat % self.seats_in_force);
        let request = self.requests.len();
        self.requests.push(SentRequest {
            operation,
            digest: RequestDigest(u64::from(different_request)),
            entry,
            deadline: self.now + DEADLINE,
            phase: RequestPhase::AwaitingOwner,
            runs: 0,
            reported_status: None,
        });
        count("requests sent");
        let Some(key) = self.operations[operation].key.clone() else {
            self.start(request, None);
            return;
        };
        let account = self.operations[operation].account;
        let roster = &self.instances[entry].roster;
        let owner = find_key_owner(self.local_now(entry), account, &key, roster);
        match self.find_owner_instance(&owner, to_former_holder) {
            Some(instance) if instance == entry => {
                if let Some(decision) = self.begin(request, instance) {
                    self.apply_decision(request, instance, decision);
                } else {
                    self.refuse_before_attempt(request, RefusalKind::KeyOwnerUnreachable);
                }
            }
            Some(owner) => self.messages.push(Message::Begin { request, owner }),
            None => self.refuse_before_attempt(request, RefusalKind::KeyOwnerUnreachable),
        }
    }

    /// Returns the operation of a caller, or a new one once the key of the previous one may be removed.
    fn current_or_new_operation(&mut self, caller: usize, seat: usize) -> usize {
        if let Some(operation) = self.current_operations[caller]
            && self.now < self.operations[operation].first_sent + KEY_RETENTION
        {
            return operation;
        }
        let number = self.operations.len();
        let holder = &self.instances[self.holders[seat]];
        let prefix = KeyOwner::prefix(SEATS[seat], holder.incarnation);
        // A period is as long as the retention, so a new key differs from the caller's previous one. Both accounts use
        // the same keys.
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
        self.current_operations[caller] = Some(number);
        number
    }

    /// Returns the instance to which an entry sends a request with a key of `owner`.
    ///
    /// If the incarnation in the key has ended, that is the holder of its seat, which must refuse the request.
    fn find_owner_instance(&self, owner: &KeyOwner, to_former_holder: bool) -> Option<usize> {
        let choose = |can_own: &dyn Fn(&Instance) -> bool| {
            let owns = |number: &usize| {
                let instance = &self.instances[*number];
                instance.alive && can_own(instance)
            };
            let mut candidates = (0..self.instances.len()).filter(owns);
            if to_former_holder {
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

    /// Returns the decision of the owner of a key, or `None` if the owner is not alive.
    fn begin(&self, request: usize, owner: usize) -> Option<OwnerDecision> {
        let instance = &self.instances[owner];
        if !instance.alive {
            return None;
        }
        let local_now = self.local_now(owner);
        let request = &self.requests[request];
        let operation = &self.operations[request.operation];
        let key = operation.key.as_ref()?;
        let key_owner = find_key_owner(local_now, operation.account, key, &instance.roster);
        if !instance.tenure.has_all_keys_of(local_now, &key_owner) {
            return Some(OwnerDecision::Refused(RefusalKind::OutcomeUnknown));
        }
        let remaining = request.deadline.since(self.now);
        let decision =
            instance
                .memory
                .begin(local_now, operation.account, key, request.digest, remaining);
        Some(match decision {
            ReplayDecision::Run(ticket) => OwnerDecision::Run(ticket),
            ReplayDecision::Answered(answer) => OwnerDecision::Answered(*answer),
            other => OwnerDecision::Refused(
                other
                    .refusal_kind()
                    .expect("a decision that neither runs nor answers has a refusal kind"),
            ),
        })
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Begin { request, owner } => {
                if let Some(decision) = self.begin(request, owner) {
                    self.messages.push(Message::OwnerDecision {
                        request,
                        owner,
                        decision,
                    });
                }
            }
            Message::OwnerDecision {
                request,
                owner,
                decision,
            } => self.apply_decision(request, owner, decision),
            Message::Finish { owner, report } => self.record_end(owner, report),
            Message::HandOver {
                successor,
                entries,
                incarnations,
                remaining,
            } => self.import(successor, entries, &incarnations, remaining),
        }
    }

    /// Carries out the decision of the owner of a key at the entry, unless the request has already ended.
    fn apply_decision(&mut self, request: usize, owner: usize, decision: OwnerDecision) {
        let sent = &self.requests[request];
        if !matches!(sent.phase, RequestPhase::AwaitingOwner) || self.now >= sent.deadline {
            return;
        }
        match decision {
            OwnerDecision::Run(ticket) => self.start(request, Some(Permission { owner, ticket })),
            OwnerDecision::Answered(answer) => {
                assert_eq!(
                    answer, sent.operation,
                    "the answer belongs to another operation"
                );
                count("answers replayed");
                self.end_request(request, RunStatus::Run);
            }
            OwnerDecision::Refused(kind) => {
                if kind == RefusalKind::ReplayMemoryFull {
                    let runs = self.operations[sent.operation].runs;
                    assert_eq!(
                        runs, 0,
                        "a full memory refuses a key as not run although its request ran"
                    );
                }
                self.refuse_before_attempt(request, kind);
            }
        }
    }

    fn start(&mut self, request: usize, permission: Option<Permission>) {
        let attempt = AttemptHistory::new().start_attempt();
        self.requests[request].phase = RequestPhase::Open(attempt, permission);
    }

    fn refuse_before_attempt(&mut self, request: usize, kind: RefusalKind) {
        let refusal = Refusal::before_attempt(kind, true);
        count(kind.code());
        self.end_request(request, refusal.run_status());
    }

    fn end_picked_attempt(
        &mut self,
        pick: usize,
        end: AttemptEnd,
        ran: bool,
        has_budget: bool,
        bytes: usize,
    ) {
        let open: Vec<usize> = (0..self.requests.len())
            .filter(|request| matches!(self.requests[*request].phase, RequestPhase::Open(..)))
            .collect();
        if let Some(index) = picked_index(pick, open.len()) {
            self.end_attempt(open[index], end, ran, has_budget, bytes);
        }
    }

    fn end_attempt(
        &mut self,
        request: usize,
        end: AttemptEnd,
        ran: bool,
        has_budget: bool,
        bytes: usize,
    ) {
        let phase = std::mem::replace(&mut self.requests[request].phase, RequestPhase::Done);
        let RequestPhase::Open(attempt, permission) = phase else {
            return;
        };
        match end.state() {
            AttemptState::NotSent => {}
            AttemptState::PossiblyRun if !ran => self.pending_runs.push(request),
            AttemptState::PossiblyRun | AttemptState::Answered => self.run_at_upstream(request),
        }
        let number = self.requests[request].operation;
        let operation = &self.operations[number];
        let conditions = RetryConditions {
            idempotent: operation.idempotent,
            keyed: operation.key.is_some(),
            body_replayable: true,
            remaining: self.requests[request].deadline.since(self.now),
            random: 0,
        };
        match decide_next_step(attempt, end, &conditions, || has_budget) {
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
                self.report_end(request, permission, end);
                self.end_request(request, history.run_status());
            }
            NextStep::Refuse(refusal) => {
                count(refusal.kind().code());
                if permission.is_some() && refusal.run_status() == RunStatus::NotRun {
                    let runs = self.operations[number].runs;
                    assert_eq!(
                        runs, 0,
                        "a request with a permission is refused as not run although its key ran"
                    );
                }
                self.report_end(
                    request,
                    permission,
                    ReportedEnd::Refused(refusal.run_status()),
                );
                self.end_request(request, refusal.run_status());
            }
        }
    }

    /// Ends a request and records the run status that its caller receives.
    fn end_request(&mut self, request: usize, run_status: RunStatus) {
        let sent = &mut self.requests[request];
        sent.phase = RequestPhase::Done;
        sent.reported_status = Some(run_status);
        let runs = self.operations[sent.operation].runs;
        assert!(
            run_status != RunStatus::Run || runs > 0,
            "reported as run, but did not run"
        );
    }

    /// Runs a request at an upstream and checks that it runs once, unless it is idempotent.
    fn run_at_upstream(&mut self, request: usize) {
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
    fn report_end(&mut self, request: usize, permission: Option<Permission>, end: ReportedEnd) {
        let Some(Permission { owner, ticket }) = permission else {
            return;
        };
        let report = FinishReport {
            operation: self.requests[request].operation,
            ticket,
            end,
        };
        if owner == self.requests[request].entry {
            self.record_end(owner, report);
        } else {
            self.messages.push(Message::Finish { owner, report });
        }
    }

    fn record_end(&mut self, owner: usize, report: FinishReport) {
        let instance = &self.instances[owner];
        let operation = &self.operations[report.operation];
        let (true, Some(key)) = (instance.alive, &operation.key) else {
            return;
        };
        let end = match report.end {
            ReportedEnd::Refused(run_status) => ReplayEnd::from_run_status(run_status),
            ReportedEnd::Answered { operation, bytes } => ReplayEnd::Answered {
                answer: Arc::new(operation),
                bytes,
            },
        };
        let local_now = self.local_now(owner);
        instance
            .memory
            .finish(local_now, operation.account, key, report.ticket, end);
        if let Some(successor) = instance.successor {
            self.messages.push(Message::Finish {
                owner: successor,
                report,
            });
        }
    }

    fn advance_time(&mut self, time: Duration) {
        self.now = self.now + time;
        if self.now.since(self.seats_changed_at) >= MAX_LAG {
            self.sync_all_seats();
        }
        for instance in 0..self.instances.len() {
            let replaced_at = self.instances[instance].replaced_at;
            if replaced_at.is_some_and(|replaced| self.now.since(replaced) >= MAX_LAG) {
                self.kill(instance);
            }
        }
        for request in 0..self.requests.len() {
            if self.now < self.requests[request].deadline {
                continue;
            }
            match self.requests[request].phase {
                RequestPhase::AwaitingOwner => {
                    self.refuse_before_attempt(request, RefusalKind::KeyOwnerUnreachable);
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
                self.pending_runs.push(number);
            }
        }
    }

    fn hand_over(&mut self, seat: usize) {
        count("hand-overs");
        let predecessor = self.holders[seat];
        let successor = self.replace_holder(seat);
        let local_now = self.local_now(predecessor);
        let instance = &mut self.instances[predecessor];
        instance.successor = Some(successor);
        instance.replaced_at = Some(self.now);
        let until_complete = instance.tenure.time_until_complete(local_now);
        self.messages.push(Message::HandOver {
            successor,
            entries: instance.memory.export(local_now),
            incarnations: instance.tenure.incarnations(),
            remaining: until_complete.max(instance.roster.overlap_remaining(local_now)),
        });
    }

    fn import(
        &mut self,
        successor: usize,
        entries: Vec<ReplayEntry<usize>>,
        incarnations: &[u64],
        remaining: Duration,
    ) {
        let local_now = self.local_now(successor);
        let instance = &mut self.instances[successor];
        if instance.alive && instance.memory.import(local_now, entries).is_ok() {
            count("hand-overs completed");
            let tenure = instance.tenure.clone();
            instance.tenure = tenure.with_hand_over(local_now, incarnations, remaining);
        }
    }

    fn sync_seats(&mut self, instance: usize) {
        let local_now = self.local_now(instance);
        let names = seat_names(self.seats_in_force);
        let instance = &mut self.instances[instance];
        instance.roster = instance.roster.updated(local_now, names);
    }

    fn sync_all_seats(&mut self) {
        for instance in 0..self.instances.len() {
            self.sync_seats(instance);
        }
    }

    /// Runs all requests that upstreams may still run, and checks that no request that ran was reported as not run.
    fn finish_history(&mut self) {
        for request in std::mem::take(&mut self.pending_runs) {
            self.run_at_upstream(request);
        }
        for request in &self.requests {
            let is_reported_not_run = request.reported_status == Some(RunStatus::NotRun);
            assert!(
                !is_reported_not_run || request.runs == 0,
                "reported as not run, but ran"
            );
        }
    }
}

/// Returns `pick` as an index into a list of `length` items, or `None` if the list is empty.
fn picked_index(pick: usize, length: usize) -> Option<usize> {
    (length > 0).then(|| pick % length)
}

/// Generates the steps without a reference state: a step that does not apply to the state of the fleet does nothing.
struct RequestReference;

impl ReferenceStateMachine for RequestReference {
    type State = ();
    type Transition = RequestStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<RequestStep> {
        any_request_step().boxed()
    }

    fn apply((): (), _: &RequestStep) {}
}

struct RequestTest;

impl StateMachineTest for RequestTest {
    type SystemUnderTest = Fleet;
    type Reference = RequestReference;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut fleet: Fleet, (): &(), step: RequestStep) -> Fleet {
        fleet.apply(&step);
        fleet
    }

    fn teardown(mut fleet: Fleet, (): ()) {
        fleet.finish_history();
    }
}

/// Guards against a second run of a request or of an idempotency key, against a refusal with "not run" for a request
/// that ran, and against an answer that belongs to another operation. They come about by combinations of events that
/// single cases do not cover: a message is lost, delayed or repeated while the owner of the key is killed, replaced or
/// hands over, the seats change, or a memory is full.
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
    let strategy = RequestReference::sequential_strategy(1..MAX_HISTORY_STEPS);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        RequestTest::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    let totals = TOTALS
        .lock()
        .expect("no thread panics while it holds the lock");
    println!("{histories} histories: {totals:#?}");
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
        assert!(totals.contains_key(name), "no history reached: {name}");
    }
}
