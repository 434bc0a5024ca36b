//! Random histories of the claims of one seat, which check that two instances never use its shares at the same time.
//!
//! Failure model: partitions separate a failure domain from all others, a running instance answers each message that it
//! receives, and the platform may be slow, answer late or lose its answers. Clocks differ by up to 5%.
//!
//! CI runs 256 histories from a fixed seed. A longer run:
//! `SEAT_HISTORIES=10000 cargo test --release --locked -p coltsfootkeel-decisions --test seat_claim_fuzz`.
//! `SEAT_SEED=<number>` sets another seed.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ClaimStep, HolderState, Incarnation, SPEND_LEASE, SeatCandidate, SeatClaim, SeatHolder,
    SeatRecordState, UpdateOutcome, claim_order,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const STEP_MS: u64 = 50;
const DOMAINS: usize = 3;

/// A step of a history. Indices of instances are taken modulo the number of instances.
#[derive(Debug, Clone)]
enum Event {
    Run { duration_ms: u64 },
    PauseInstance { instance: usize, duration_ms: u64 },
    KillInstance { instance: usize },
    StartInstance { domain: usize, clock_permille: u64 },
    IsolateDomain { domain: usize, duration_ms: u64 },
    SetPlatform { delay_ms: u64, is_answer_lost: bool },
    ReleaseSeat,
}

/// A message between two instances.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// Sent by a claimant to the holder of the seat.
    Probe,
    ProbeAnswer,
    /// Sent by a holder that must have its seat confirmed.
    ConfirmationProbe {
        round: u64,
    },
    ConfirmationAnswer {
        round: u64,
        is_claimed: bool,
    },
    Heartbeat {
        is_holder: bool,
    },
}

#[derive(Debug, Clone, Copy)]
struct MessageInTransit {
    due_ms: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// A conditional update of the seat's object on the platform.
#[derive(Debug, Clone, Copy)]
struct Update {
    from: usize,
    /// The version that the object must have for the update to be applied.
    version: u64,
    /// The round of the confirmation for which the holder rewrites the object; `None` if a claimant updates it.
    round: Option<u64>,
    /// When the platform evaluates the update.
    evaluated_ms: u64,
    /// When the answer arrives.
    answer_ms: u64,
    /// Whether the update was applied; `None` until the platform has evaluated it.
    result: Option<bool>,
}

struct Instance {
    domain: usize,
    /// Clock speed in thousandths of true time.
    clock_permille: u64,
    holder: Option<SeatHolder>,
    /// The claim, and the version of the seat's object that it is based on.
    claim: Option<(SeatClaim, u64)>,
    known: BTreeSet<Incarnation>,
    is_alive: bool,
    stopped_until_ms: u64,
    /// The local time until which request threads may use the shares of the seat.
    spends_until: MonotonicTime,
    is_updating: bool,
    next_heartbeat_ms: u64,
}

/// The seat's object on the platform, and how the platform answers.
struct Platform {
    holder: Option<usize>,
    version: u64,
    had_holder: bool,
    delay_ms: u64,
    is_answer_lost: bool,
}

/// The instances that compete for one seat, the network and the platform.
struct SimulatedFleet {
    now_ms: u64,
    instances: Vec<Instance>,
    in_transit: Vec<MessageInTransit>,
    updates: Vec<Update>,
    platform: Platform,
    /// The failure domain that is cut off from all others, and the time at which the partition ends.
    partition: Option<(usize, u64)>,
}

impl SimulatedFleet {
    fn new() -> Self {
        let mut fleet = Self {
            now_ms: 0,
            instances: Vec::new(),
            in_transit: Vec::new(),
            updates: Vec::new(),
            platform: Platform {
                holder: Some(0),
                version: 1,
                had_holder: true,
                delay_ms: 5,
                is_answer_lost: false,
            },
            partition: None,
        };
        for (domain, clock_permille) in [(0, 1_000), (0, 960), (1, 1_000), (2, 950)] {
            fleet.start_instance(domain, clock_permille);
        }
        let all: BTreeSet<Incarnation> = (0..fleet.instances.len()).map(incarnation).collect();
        for (index, instance) in fleet.instances.iter_mut().enumerate() {
            instance.known.extend(all.iter().copied());
            instance.known.remove(&incarnation(index));
        }
        let now = fleet.local_time(0);
        fleet.instances[0].holder = Some(SeatHolder::new(now));
        fleet
    }

    fn local_time(&self, index: usize) -> MonotonicTime {
        let elapsed =
            MonotonicTime::from_nanos(self.now_ms * 1_000 * self.instances[index].clock_permille);
        elapsed + Duration::from_secs(100)
    }

    /// Starts an instance with a list of all live ones. The others add it to their lists with its first message.
    fn start_instance(&mut self, domain: usize, clock_permille: u64) {
        let index = self.instances.len();
        let known = (0..index).filter(|&other| self.instances[other].is_alive);
        let known = known.map(incarnation).collect();
        self.instances.push(Instance {
            domain,
            clock_permille,
            holder: None,
            claim: None,
            known,
            is_alive: true,
            stopped_until_ms: 0,
            spends_until: MonotonicTime::default(),
            is_updating: false,
            next_heartbeat_ms: self.now_ms,
        });
    }

    fn is_running(&self, index: usize) -> bool {
        self.instances[index].is_alive && self.now_ms >= self.instances[index].stopped_until_ms
    }

    fn is_partitioned(&self, left: usize, right: usize) -> bool {
        let (left, right) = (self.instances[left].domain, self.instances[right].domain);
        self.partition.is_some_and(|(domain, until_ms)| {
            self.now_ms < until_ms && left != right && (left == domain || right == domain)
        })
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let delay_ms = if self.instances[from].domain == self.instances[to].domain {
            1
        } else {
            36
        };
        self.in_transit.push(MessageInTransit {
            due_ms: self.now_ms + delay_ms,
            from,
            to,
            message,
        });
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.apply_updates();
            self.deliver();
            for index in 0..self.instances.len() {
                if self.is_running(index) {
                    self.tick(index);
                }
            }
            self.check_single_holder();
        }
    }

    /// Checks that at most one instance may use the shares of the seat now.
    fn check_single_holder(&self) {
        let spending: Vec<usize> = (0..self.instances.len())
            .filter(|&index| {
                let instance = &self.instances[index];
                instance.is_alive && self.local_time(index) < instance.spends_until
            })
            .collect();
        assert!(
            spending.len() <= 1,
            "instances {spending:?} use the shares of the same seat at {} ms",
            self.now_ms
        );
    }

    /// Evaluates the updates that have reached the platform, and delivers the answers that are due.
    fn apply_updates(&mut self) {
        let now_ms = self.now_ms;
        for update in &mut self.updates {
            if update.result.is_none() && update.evaluated_ms <= now_ms {
                let is_applied = update.version == self.platform.version;
                if is_applied {
                    self.platform.version += 1;
                    self.platform.holder = Some(update.from);
                    self.platform.had_holder = true;
                }
                update.result = Some(is_applied);
            }
        }
        let (answered, pending) = self.updates.iter().partition::<Vec<_>, _>(|update| {
            update.result.is_some() && update.answer_ms <= now_ms && {
                let instance = &self.instances[update.from];
                now_ms >= instance.stopped_until_ms
            }
        });
        self.updates = pending;
        for update in answered {
            self.handle_update_answer(update);
        }
    }

    /// Handles the answer to an update at the instance that sent it.
    fn handle_update_answer(&mut self, update: Update) {
        let is_applied = update.result == Some(true);
        let instance = &mut self.instances[update.from];
        instance.is_updating = false;
        match update.round {
            Some(round) => {
                let is_own = is_applied || self.platform.holder == Some(update.from);
                if let Some(holder) = &mut instance.holder
                    && (is_applied || !is_own)
                {
                    holder.handle_rewrite(round, is_own);
                }
            }
            None => {
                if let Some((claim, _)) = &mut instance.claim {
                    let outcome = if is_applied {
                        UpdateOutcome::Done
                    } else {
                        UpdateOutcome::Lost
                    };
                    claim.handle_outcome(outcome);
                }
            }
        }
    }

    fn send_update(&mut self, from: usize, version: u64, round: Option<u64>) {
        let delay_ms = self.platform.delay_ms;
        // After a lost answer the instance reads the object to determine the outcome, which takes longer.
        let read_back_ms = if self.platform.is_answer_lost {
            2 * delay_ms + 1_000
        } else {
            0
        };
        self.instances[from].is_updating = true;
        self.updates.push(Update {
            from,
            version,
            round,
            evaluated_ms: self.now_ms + delay_ms,
            answer_ms: self.now_ms + 2 * delay_ms + read_back_ms,
            result: None,
        });
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let in_transit = std::mem::take(&mut self.in_transit);
        for delivery in in_transit {
            let receiver = &self.instances[delivery.to];
            if !receiver.is_alive || self.is_partitioned(delivery.from, delivery.to) {
                continue;
            }
            if delivery.due_ms > now_ms || receiver.stopped_until_ms > now_ms {
                self.in_transit.push(delivery);
                continue;
            }
            self.receive(delivery);
        }
    }

    fn receive(&mut self, delivery: MessageInTransit) {
        let MessageInTransit { from, to, .. } = delivery;
        let now = self.local_time(to);
        let reports_holding = matches!(delivery.message, Message::Heartbeat { is_holder: true });
        let is_from_holder = self.platform.holder == Some(from) || reports_holding;
        let receiver = &mut self.instances[to];
        receiver.known.insert(incarnation(from));
        if let Some((claim, _)) = &mut receiver.claim
            && is_from_holder
        {
            claim.record_holder_message(now);
        }
        match delivery.message {
            Message::Probe => self.send(to, from, Message::ProbeAnswer),
            Message::ConfirmationProbe { round } => {
                let is_claiming = receiver
                    .claim
                    .as_ref()
                    .is_some_and(|(claim, _)| claim.is_claiming());
                let is_claimed = is_claiming || receiver.holder.is_some();
                self.send(to, from, Message::ConfirmationAnswer { round, is_claimed });
            }
            Message::ConfirmationAnswer { round, is_claimed } => {
                if let Some(holder) = &mut receiver.holder {
                    holder.handle_answer(incarnation(from), round, is_claimed);
                }
            }
            Message::ProbeAnswer | Message::Heartbeat { .. } => {}
        }
    }

    fn tick(&mut self, index: usize) {
        if self.now_ms >= self.instances[index].next_heartbeat_ms {
            self.instances[index].next_heartbeat_ms = self.now_ms + 1_000;
            let is_holder = self.instances[index].holder.is_some();
            for other in 0..self.instances.len() {
                if other != index {
                    self.send(index, other, Message::Heartbeat { is_holder });
                }
            }
        }
        if self.instances[index].holder.is_some() {
            self.tick_holder(index);
        } else {
            self.tick_claim(index);
        }
    }

    fn tick_holder(&mut self, index: usize) {
        let now = self.local_time(index);
        // An instance that ended is removed from the list of live instances immediately; one that is cut off remains on
        // it.
        let ended: BTreeSet<Incarnation> = (0..self.instances.len())
            .filter(|&other| !self.instances[other].is_alive)
            .map(incarnation)
            .collect();
        let instance = &mut self.instances[index];
        let known = instance.known.difference(&ended).copied().collect();
        let Some(holder) = &mut instance.holder else {
            return;
        };
        let state = holder.tick(now);
        holder.set_known_instances(known);
        let round = holder.pending_round();
        match state {
            HolderState::Holding => instance.spends_until = now + SPEND_LEASE,
            HolderState::Lost => instance.holder = None,
            HolderState::Unconfirmed => {}
        }
        let (Some(round), HolderState::Unconfirmed) = (round, state) else {
            return;
        };
        for other in 0..self.instances.len() {
            if other != index && self.instances[other].is_alive {
                self.send(index, other, Message::ConfirmationProbe { round });
            }
        }
        if self.instances[index].is_updating {
            return;
        }
        if self.platform.holder == Some(index) {
            self.send_update(index, self.platform.version, Some(round));
        } else if let Some(holder) = &mut self.instances[index].holder {
            holder.handle_rewrite(round, false);
        }
    }

    fn tick_claim(&mut self, index: usize) {
        let now = self.local_time(index);
        if self.instances[index].claim.is_none() {
            let own_domain = self.instances[index].domain;
            let holder = self.platform.holder;
            let is_same_domain =
                holder.is_some_and(|holder| self.instances[holder].domain == own_domain);
            let state = match self.platform.holder {
                Some(holder) if holder == index => return,
                Some(_) => SeatRecordState::Held,
                None if self.platform.had_holder => SeatRecordState::Released,
                None => SeatRecordState::Unused,
            };
            let claim = SeatClaim::new(state, is_same_domain, now);
            self.instances[index].claim = Some((claim, self.platform.version));
        }
        let holder = self.platform.holder;
        let is_domain_reached = holder.is_none_or(|holder| !self.is_partitioned(index, holder));
        let version = self.platform.version;
        let instance = &mut self.instances[index];
        let Some((claim, seen_version)) = &mut instance.claim else {
            return;
        };
        if is_domain_reached {
            claim.record_domain_reached(now);
        }
        let seen_version = *seen_version;
        match claim.step(now) {
            ClaimStep::Probe => {
                if let Some(holder) = self.platform.holder {
                    self.send(index, holder, Message::Probe);
                }
            }
            ClaimStep::Update => self.send_update(index, seen_version, None),
            ClaimStep::Claimed { sent, .. } => {
                instance.claim = None;
                instance.holder = Some(SeatHolder::new(sent));
            }
            ClaimStep::Refused => instance.claim = None,
            ClaimStep::Wait => {
                let is_stale = seen_version != version && !instance.is_updating;
                if is_stale {
                    instance.claim = None;
                }
            }
        }
    }

    /// Makes the holder release the seat if it is running and has no update in transit.
    fn release_seat(&mut self) {
        let Some(index) = self.platform.holder else {
            return;
        };
        let is_idle = !self.instances[index].is_updating;
        if self.is_running(index) && is_idle && self.instances[index].holder.is_some() {
            self.instances[index].holder = None;
            self.instances[index].spends_until = MonotonicTime::default();
            self.platform.holder = None;
            self.platform.version += 1;
        }
    }
}

fn incarnation(index: usize) -> Incarnation {
    Incarnation(index as u64)
}

struct SeatHistory;

impl ReferenceStateMachine for SeatHistory {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        let instance = 0..6_usize;
        prop_oneof![
            6 => (50..9_000_u64).prop_map(|duration_ms| Event::Run { duration_ms }),
            3 => (instance.clone(), 100..15_000_u64)
                .prop_map(|(instance, duration_ms)| Event::PauseInstance { instance, duration_ms }),
            1 => instance.prop_map(|instance| Event::KillInstance { instance }),
            1 => (0..DOMAINS, 950..=1_000_u64)
                .prop_map(|(domain, clock_permille)| Event::StartInstance { domain, clock_permille }),
            1 => (0..DOMAINS, 100..20_000_u64)
                .prop_map(|(domain, duration_ms)| Event::IsolateDomain { domain, duration_ms }),
            2 => (prop_oneof![Just(5_u64), 5..12_000_u64], any::<bool>())
                .prop_map(|(delay_ms, is_answer_lost)| Event::SetPlatform { delay_ms, is_answer_lost }),
            1 => Just(Event::ReleaseSeat),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

impl StateMachineTest for SeatHistory {
    type SystemUnderTest = SimulatedFleet;
    type Reference = Self;

    fn init_test((): &()) -> SimulatedFleet {
        SimulatedFleet::new()
    }

    fn apply(mut fleet: SimulatedFleet, (): &(), event: Event) -> SimulatedFleet {
        let count = fleet.instances.len();
        match event {
            Event::Run { duration_ms } => fleet.run(duration_ms),
            Event::PauseInstance {
                instance,
                duration_ms,
            } => {
                let instance = &mut fleet.instances[instance % count];
                instance.stopped_until_ms =
                    instance.stopped_until_ms.max(fleet.now_ms + duration_ms);
            }
            Event::KillInstance { instance } => fleet.instances[instance % count].is_alive = false,
            Event::StartInstance {
                domain,
                clock_permille,
            } => fleet.start_instance(domain, clock_permille),
            Event::IsolateDomain {
                domain,
                duration_ms,
            } => fleet.partition = Some((domain, fleet.now_ms + duration_ms)),
            Event::SetPlatform {
                delay_ms,
                is_answer_lost,
            } => {
                fleet.platform.delay_ms = delay_ms;
                fleet.platform.is_answer_lost = is_answer_lost;
            }
            Event::ReleaseSeat => fleet.release_seat(),
        }
        fleet
    }
}

/// Returns the number in an environment variable, or `default` if it is not set.
fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{variable} must be a number, got {text:?}"))
    })
}

fn config() -> Config {
    Config {
        cases: u32::try_from(number_from("SEAT_HISTORIES", 256)).expect("at most 2^32 histories"),
        rng_seed: RngSeed::Fixed(number_from("SEAT_SEED", 20_261_204)),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against a history in which two instances use the shares of one seat, so that the fleet exceeds its
    /// limits. It arises when the holder is silent because of a pause or a partition, another instance claims the seat,
    /// and the former holder resumes; a slow platform and lost answers make the order of claim and confirmation
    /// ambiguous.
    #[test]
    fn no_history_has_two_active_holders(sequential 10..50 => SeatHistory);
}

/// Guards against a share of all limits that stays unused: the holder of a seat was killed and no instance claims it.
#[test]
fn seat_of_a_killed_holder_is_claimed() {
    let mut fleet = SimulatedFleet::new();
    fleet.run(1_000);
    fleet.instances[0].is_alive = false;
    fleet.run(9_000);
    let holders: Vec<usize> = (0..fleet.instances.len())
        .filter(|&index| fleet.instances[index].is_alive && fleet.instances[index].holder.is_some())
        .collect();
    assert_eq!(holders.len(), 1);
    assert_eq!(fleet.platform.holder, Some(holders[0]));
}

/// A pause of a holder, and whether it holds the seat again afterwards.
struct ResumeCase {
    name: &'static str,
    pause_ms: u64,
    platform_delay_ms: u64,
    /// Whether the holder is cut off from its peers when it resumes.
    is_cut_off: bool,
    /// The time after the pause at which it holds the seat again; `None` if it must not hold it within 10 s.
    holds_after_ms: Option<u64>,
}

/// Guards against a holder that uses its seat after a pause without a confirmation, although another instance may have
/// claimed it, and against one that stays suspended although the platform or all peers confirm the seat.
#[test]
fn paused_holder_resumes_only_after_confirmation() {
    let cases = [
        ResumeCase {
            name: "short pause that needs no confirmation",
            pause_ms: 2_000,
            platform_delay_ms: 60_000,
            is_cut_off: true,
            holds_after_ms: Some(100),
        },
        ResumeCase {
            name: "confirmed by the platform",
            pause_ms: 4_000,
            platform_delay_ms: 5,
            is_cut_off: true,
            holds_after_ms: Some(300),
        },
        ResumeCase {
            name: "confirmed by the peers while the platform is slow",
            pause_ms: 4_000,
            platform_delay_ms: 60_000,
            is_cut_off: false,
            holds_after_ms: Some(2_000),
        },
        ResumeCase {
            name: "cut off from the peers while the platform is slow",
            pause_ms: 4_000,
            platform_delay_ms: 60_000,
            is_cut_off: true,
            holds_after_ms: None,
        },
    ];
    for case in cases {
        let mut fleet = SimulatedFleet::new();
        fleet.run(2_000);
        fleet.platform.delay_ms = case.platform_delay_ms;
        fleet.instances[0].stopped_until_ms = fleet.now_ms + case.pause_ms;
        fleet.run(case.pause_ms - STEP_MS);
        if case.is_cut_off {
            fleet.partition = Some((0, fleet.now_ms + 60_000));
        }
        fleet.run(STEP_MS + case.holds_after_ms.unwrap_or(10_000));
        let holder = fleet.instances[0].holder.as_ref();
        let is_holding = holder.is_some_and(|holder| holder.state() == HolderState::Holding);
        assert_eq!(is_holding, case.holds_after_ms.is_some(), "{}", case.name);
    }
}

/// Guards against two holders after a pause: the former holder resumes while the update of a claimant is in transit to
/// a slow platform, and its known peers confirm the seat. The claimant may be a new instance from which the holder has
/// received no message yet, because a partition still separates them.
#[test]
fn resuming_during_a_claim_leaves_one_holder() {
    for delay_ms in [5, 800, 1_200, 1_450, 5_000] {
        for pause_ms in (6_600..=7_600).step_by(100) {
            for (partition_start_ms, partition_ms) in [(6_900, 0), (6_900, 1_000), (7_000, 2_500)] {
                // While the known peers of the holder are stopped, only the new instance claims the seat.
                for others_stopped_until_ms in [0, 3_000] {
                    let mut fleet = SimulatedFleet::new();
                    fleet.platform.delay_ms = delay_ms;
                    fleet.instances[0].stopped_until_ms = pause_ms;
                    fleet.run(100);
                    fleet.start_instance(1, 1_000);
                    for other in 1..4 {
                        fleet.instances[other].stopped_until_ms = others_stopped_until_ms;
                    }
                    fleet.run(partition_start_ms - 100);
                    fleet.partition = Some((0, partition_start_ms + partition_ms));
                    fleet.run(16_000);
                }
            }
        }
    }
}

/// Guards against a seat that is confirmed after a second gap by answers to probes and rewrites from before it: another
/// instance may have claimed the seat during the second gap.
#[test]
fn answers_from_before_the_last_gap_confirm_nothing() {
    let peer = Incarnation(7);
    let mut holder = SeatHolder::new(MonotonicTime::from_millis(0));
    holder.set_known_instances(BTreeSet::from([peer]));
    holder.tick(MonotonicTime::from_millis(10_000));
    let Some(old_round) = holder.pending_round() else {
        panic!("expected a pending confirmation after the first gap");
    };
    holder.tick(MonotonicTime::from_millis(20_000));
    holder.handle_rewrite(old_round, true);
    holder.handle_answer(peer, old_round, false);
    holder.tick(MonotonicTime::from_millis(20_010));
    holder.tick(MonotonicTime::from_millis(22_000));
    assert_eq!(holder.state(), HolderState::Unconfirmed);
    let Some(new_round) = holder.pending_round() else {
        panic!("expected a pending confirmation after the second gap");
    };
    holder.handle_rewrite(new_round, true);
    assert_eq!(holder.state(), HolderState::Holding);
}

/// Guards against a new instance that tries to claim the seat of a live holder while a seat of its own failure domain
/// is vacant.
#[test]
fn vacant_seat_of_the_own_domain_is_claimed_first() {
    let candidate = |seat, state, is_own_domain| SeatCandidate {
        seat,
        state,
        is_own_domain,
    };
    let candidates = [
        candidate("held elsewhere", SeatRecordState::Held, false),
        candidate("released elsewhere", SeatRecordState::Released, false),
        candidate("held here", SeatRecordState::Held, true),
        candidate("unused here", SeatRecordState::Unused, true),
    ];
    let expected = [
        "unused here",
        "released elsewhere",
        "held here",
        "held elsewhere",
    ];
    assert_eq!(claim_order(&candidates), expected);
}
