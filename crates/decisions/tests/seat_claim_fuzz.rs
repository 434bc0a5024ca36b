//! Fuzzed histories of one seat: never two instances that both spend its shares.
//!
//! The failure model is that of the design page: cuts fall between failure domains, an instance that
//! runs answers, and the platform may be slow, answer late or lose answers. Clocks differ by up to 5%.
//! CI runs 256 histories from a fixed seed. A longer run:
//! `SEAT_HISTORIES=10000 cargo test --release --locked -p coltsfootkeel-decisions --test seat_claim_fuzz`.

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

#[derive(Debug, Clone)]
enum Event {
    Run { duration_ms: u64 },
    Pause { instance: usize, duration_ms: u64 },
    Kill { instance: usize },
    Start { domain: usize, clock: u64 },
    Cut { domain: usize, duration_ms: u64 },
    Platform { delay_ms: u64, answer_lost: bool },
    Release,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Probe,
    Alive,
    Question { round: u64 },
    Answer { round: u64, is_claimed: bool },
    Heartbeat { holds: bool },
}

#[derive(Debug, Clone, Copy)]
struct Flight {
    due_ms: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// A conditional update on its way to the platform.
#[derive(Debug, Clone, Copy)]
struct Update {
    from: usize,
    version: u64,
    round: Option<u64>,
    effect_ms: u64,
    answer_ms: u64,
    result: Option<bool>,
}

struct Instance {
    domain: usize,
    clock: u64,
    holder: Option<SeatHolder>,
    claim: Option<(SeatClaim, u64)>,
    known: BTreeSet<Incarnation>,
    is_alive: bool,
    stopped_ms: u64,
    spends_until: MonotonicTime,
    is_updating: bool,
    beat_ms: u64,
}

struct Platform {
    holder: Option<usize>,
    version: u64,
    was_held: bool,
    delay_ms: u64,
    answer_lost: bool,
}

struct World {
    now_ms: u64,
    instances: Vec<Instance>,
    flights: Vec<Flight>,
    updates: Vec<Update>,
    platform: Platform,
    cut: Option<(usize, u64)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: 0,
            instances: Vec::new(),
            flights: Vec::new(),
            updates: Vec::new(),
            platform: Platform {
                holder: Some(0),
                version: 1,
                was_held: true,
                delay_ms: 5,
                answer_lost: false,
            },
            cut: None,
        };
        for (domain, clock) in [(0, 1_000), (0, 960), (1, 1_000), (2, 950)] {
            world.start(domain, clock);
        }
        let everyone: BTreeSet<Incarnation> = (0..world.instances.len()).map(incarnation).collect();
        for (index, instance) in world.instances.iter_mut().enumerate() {
            instance.known.extend(everyone.iter().copied());
            instance.known.remove(&incarnation(index));
        }
        let now = world.local(0);
        world.instances[0].holder = Some(SeatHolder::new(now));
        world
    }

    fn local(&self, index: usize) -> MonotonicTime {
        let elapsed = MonotonicTime::from_nanos(self.now_ms * 1_000 * self.instances[index].clock);
        elapsed + Duration::from_secs(100)
    }

    /// A new instance knows all others; the others learn of it by its heartbeat.
    fn start(&mut self, domain: usize, clock: u64) {
        let index = self.instances.len();
        let known = (0..index).filter(|&other| self.instances[other].is_alive);
        let known = known.map(incarnation).collect();
        self.instances.push(Instance {
            domain,
            clock,
            holder: None,
            claim: None,
            known,
            is_alive: true,
            stopped_ms: 0,
            spends_until: MonotonicTime::default(),
            is_updating: false,
            beat_ms: self.now_ms,
        });
    }

    fn runs(&self, index: usize) -> bool {
        self.instances[index].is_alive && self.now_ms >= self.instances[index].stopped_ms
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        let (left, right) = (self.instances[left].domain, self.instances[right].domain);
        self.cut.is_some_and(|(domain, until_ms)| {
            self.now_ms < until_ms && left != right && (left == domain || right == domain)
        })
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let delay_ms = if self.instances[from].domain == self.instances[to].domain {
            1
        } else {
            36
        };
        self.flights.push(Flight {
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
            self.serve_platform();
            self.deliver();
            for index in 0..self.instances.len() {
                if self.runs(index) {
                    self.tick(index);
                }
            }
            self.check();
        }
    }

    /// The users' sentence: a share is spent by one instance.
    fn check(&self) {
        let spending: Vec<usize> = (0..self.instances.len())
            .filter(|&index| {
                let instance = &self.instances[index];
                instance.is_alive && self.local(index) < instance.spends_until
            })
            .collect();
        assert!(
            spending.len() <= 1,
            "instances {spending:?} spend the same shares at {} ms",
            self.now_ms
        );
    }

    fn serve_platform(&mut self) {
        let now_ms = self.now_ms;
        for update in &mut self.updates {
            if update.result.is_none() && update.effect_ms <= now_ms {
                let is_current = update.version == self.platform.version;
                if is_current {
                    self.platform.version += 1;
                    self.platform.holder = Some(update.from);
                    self.platform.was_held = true;
                }
                update.result = Some(is_current);
            }
        }
        let (done, waiting) = self.updates.iter().partition::<Vec<_>, _>(|update| {
            update.result.is_some() && update.answer_ms <= now_ms && {
                let instance = &self.instances[update.from];
                now_ms >= instance.stopped_ms
            }
        });
        self.updates = waiting;
        for update in done {
            self.take_platform_answer(update);
        }
    }

    fn take_platform_answer(&mut self, update: Update) {
        let is_done = update.result == Some(true);
        let instance = &mut self.instances[update.from];
        instance.is_updating = false;
        match update.round {
            Some(round) => {
                let is_own = is_done || self.platform.holder == Some(update.from);
                if let Some(holder) = &mut instance.holder
                    && (is_done || !is_own)
                {
                    holder.handle_rewrite(round, is_own);
                }
            }
            None => {
                if let Some((claim, _)) = &mut instance.claim {
                    let outcome = if is_done {
                        UpdateOutcome::Done
                    } else {
                        UpdateOutcome::Lost
                    };
                    claim.handle_outcome(outcome);
                }
            }
        }
    }

    fn update(&mut self, from: usize, version: u64, round: Option<u64>) {
        let delay_ms = self.platform.delay_ms;
        // A lost answer is replaced by reading the object back, which takes longer.
        let read_back_ms = if self.platform.answer_lost {
            2 * delay_ms + 1_000
        } else {
            0
        };
        self.instances[from].is_updating = true;
        self.updates.push(Update {
            from,
            version,
            round,
            effect_ms: self.now_ms + delay_ms,
            answer_ms: self.now_ms + 2 * delay_ms + read_back_ms,
            result: None,
        });
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let flights = std::mem::take(&mut self.flights);
        for flight in flights {
            let receiver = &self.instances[flight.to];
            if !receiver.is_alive || self.is_cut(flight.from, flight.to) {
                continue;
            }
            if flight.due_ms > now_ms || receiver.stopped_ms > now_ms {
                self.flights.push(flight);
                continue;
            }
            self.receive(flight);
        }
    }

    fn receive(&mut self, flight: Flight) {
        let Flight { from, to, .. } = flight;
        let now = self.local(to);
        let reports_holding = matches!(flight.message, Message::Heartbeat { holds: true });
        let is_heard = self.platform.holder == Some(from) || reports_holding;
        let receiver = &mut self.instances[to];
        receiver.known.insert(incarnation(from));
        if let Some((claim, _)) = &mut receiver.claim
            && is_heard
        {
            claim.record_holder_message(now);
        }
        match flight.message {
            Message::Probe => self.send(to, from, Message::Alive),
            Message::Question { round } => {
                let is_claiming = receiver
                    .claim
                    .as_ref()
                    .is_some_and(|(claim, _)| claim.is_claiming());
                let is_claimed = is_claiming || receiver.holder.is_some();
                self.send(to, from, Message::Answer { round, is_claimed });
            }
            Message::Answer { round, is_claimed } => {
                if let Some(holder) = &mut receiver.holder {
                    holder.handle_answer(incarnation(from), round, is_claimed);
                }
            }
            Message::Alive | Message::Heartbeat { .. } => {}
        }
    }

    fn tick(&mut self, index: usize) {
        if self.now_ms >= self.instances[index].beat_ms {
            self.instances[index].beat_ms = self.now_ms + 1_000;
            let holds = self.instances[index].holder.is_some();
            for other in 0..self.instances.len() {
                if other != index {
                    self.send(index, other, Message::Heartbeat { holds });
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
        let now = self.local(index);
        // The platform's list of live instances lags: the dead leave it here at once, the cut do not.
        let dead: BTreeSet<Incarnation> = (0..self.instances.len())
            .filter(|&other| !self.instances[other].is_alive)
            .map(incarnation)
            .collect();
        let instance = &mut self.instances[index];
        let known = instance.known.difference(&dead).copied().collect();
        let Some(holder) = &mut instance.holder else {
            return;
        };
        let standing = holder.tick(now);
        holder.set_known_instances(known);
        let round = holder.pending_round();
        match standing {
            HolderState::Holding => instance.spends_until = now + SPEND_LEASE,
            HolderState::Lost => instance.holder = None,
            HolderState::Unconfirmed => {}
        }
        let (Some(round), HolderState::Unconfirmed) = (round, standing) else {
            return;
        };
        for other in 0..self.instances.len() {
            if other != index && self.instances[other].is_alive {
                self.send(index, other, Message::Question { round });
            }
        }
        if self.instances[index].is_updating {
            return;
        }
        if self.platform.holder == Some(index) {
            self.update(index, self.platform.version, Some(round));
        } else if let Some(holder) = &mut self.instances[index].holder {
            holder.handle_rewrite(round, false);
        }
    }

    fn tick_claim(&mut self, index: usize) {
        let now = self.local(index);
        if self.instances[index].claim.is_none() {
            let own = self.instances[index].domain;
            let holder = self.platform.holder;
            let is_same_domain = holder.is_some_and(|holder| self.instances[holder].domain == own);
            let state = match self.platform.holder {
                Some(holder) if holder == index => return,
                Some(_) => SeatRecordState::Held,
                None if self.platform.was_held => SeatRecordState::Released,
                None => SeatRecordState::Unused,
            };
            let claim = SeatClaim::new(state, is_same_domain, now);
            self.instances[index].claim = Some((claim, self.platform.version));
        }
        let holder = self.platform.holder;
        let reaches = holder.is_none_or(|holder| !self.is_cut(index, holder));
        let version = self.platform.version;
        let instance = &mut self.instances[index];
        let Some((claim, seen)) = &mut instance.claim else {
            return;
        };
        if reaches {
            claim.record_domain_reached(now);
        }
        let seen = *seen;
        match claim.step(now) {
            ClaimStep::Probe => {
                if let Some(holder) = self.platform.holder {
                    self.send(index, holder, Message::Probe);
                }
            }
            ClaimStep::Update => self.update(index, seen, None),
            ClaimStep::Claimed { sent, .. } => {
                instance.claim = None;
                instance.holder = Some(SeatHolder::new(sent));
            }
            ClaimStep::Refused => instance.claim = None,
            ClaimStep::Wait => {
                let is_stale = seen != version && !instance.is_updating;
                if is_stale {
                    instance.claim = None;
                }
            }
        }
    }

    fn release(&mut self) {
        let Some(index) = self.platform.holder else {
            return;
        };
        let is_idle = !self.instances[index].is_updating;
        if self.runs(index) && is_idle && self.instances[index].holder.is_some() {
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
                .prop_map(|(instance, duration_ms)| Event::Pause { instance, duration_ms }),
            1 => instance.prop_map(|instance| Event::Kill { instance }),
            1 => (0..DOMAINS, 950..=1_000_u64).prop_map(|(domain, clock)| Event::Start { domain, clock }),
            1 => (0..DOMAINS, 100..20_000_u64)
                .prop_map(|(domain, duration_ms)| Event::Cut { domain, duration_ms }),
            2 => (prop_oneof![Just(5_u64), 5..12_000_u64], any::<bool>())
                .prop_map(|(delay_ms, answer_lost)| Event::Platform { delay_ms, answer_lost }),
            1 => Just(Event::Release),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

impl StateMachineTest for SeatHistory {
    type SystemUnderTest = World;
    type Reference = Self;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), event: Event) -> World {
        let count = world.instances.len();
        match event {
            Event::Run { duration_ms } => world.run(duration_ms),
            Event::Pause {
                instance,
                duration_ms,
            } => {
                let instance = &mut world.instances[instance % count];
                instance.stopped_ms = instance.stopped_ms.max(world.now_ms + duration_ms);
            }
            Event::Kill { instance } => world.instances[instance % count].is_alive = false,
            Event::Start { domain, clock } => world.start(domain, clock),
            Event::Cut {
                domain,
                duration_ms,
            } => world.cut = Some((domain, world.now_ms + duration_ms)),
            Event::Platform {
                delay_ms,
                answer_lost,
            } => {
                world.platform.delay_ms = delay_ms;
                world.platform.answer_lost = answer_lost;
            }
            Event::Release => world.release(),
        }
        world
    }
}

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

    /// Guards against two instances that spend the same shares after a pause, a cut or a slow platform.
    #[test]
    fn no_history_has_two_spending_holders(sequential 10..50 => SeatHistory);
}

/// Guards against a seat that nobody uses after its holder died.
#[test]
fn seat_of_a_killed_holder_is_claimed() {
    let mut world = World::new();
    world.run(1_000);
    world.instances[0].is_alive = false;
    world.run(9_000);
    let holders: Vec<usize> = (0..world.instances.len())
        .filter(|&index| world.instances[index].is_alive && world.instances[index].holder.is_some())
        .collect();
    assert_eq!(holders.len(), 1);
    assert_eq!(world.platform.holder, Some(holders[0]));
}

/// A case of what a paused holder may do when it wakes.
struct WakeCase {
    name: &'static str,
    pause_ms: u64,
    platform_delay_ms: u64,
    cut_off: bool,
    holds_after_ms: Option<u64>,
}

/// Guards against a holder that stays suspended without a reason, or that resumes without evidence.
#[test]
fn paused_holder_resumes_only_with_evidence() {
    let cases = [
        WakeCase {
            name: "short pause needs no confirmation",
            pause_ms: 2_000,
            platform_delay_ms: 60_000,
            cut_off: true,
            holds_after_ms: Some(100),
        },
        WakeCase {
            name: "platform confirms",
            pause_ms: 4_000,
            platform_delay_ms: 5,
            cut_off: true,
            holds_after_ms: Some(300),
        },
        WakeCase {
            name: "peers confirm while the platform is down",
            pause_ms: 4_000,
            platform_delay_ms: 60_000,
            cut_off: false,
            holds_after_ms: Some(2_000),
        },
        WakeCase {
            name: "cut off from platform and peers",
            pause_ms: 4_000,
            platform_delay_ms: 60_000,
            cut_off: true,
            holds_after_ms: None,
        },
    ];
    for case in cases {
        let mut world = World::new();
        world.run(2_000);
        world.platform.delay_ms = case.platform_delay_ms;
        world.instances[0].stopped_ms = world.now_ms + case.pause_ms;
        world.run(case.pause_ms - STEP_MS);
        if case.cut_off {
            world.cut = Some((0, world.now_ms + 60_000));
        }
        world.run(STEP_MS + case.holds_after_ms.unwrap_or(10_000));
        let holder = world.instances[0].holder.as_ref();
        let is_holding = holder.is_some_and(|holder| holder.state() == HolderState::Holding);
        assert_eq!(is_holding, case.holds_after_ms.is_some(), "{}", case.name);
    }
}

/// Guards against a holder that wakes while a claim is on its way to a slow platform, perhaps of an
/// instance that it does not know and cannot hear yet.
#[test]
fn waking_during_a_claim_leaves_one_holder() {
    for delay_ms in [5, 800, 1_200, 1_450, 5_000] {
        for pause_ms in (6_600..=7_600).step_by(100) {
            for (cut_start_ms, cut_ms) in [(6_900, 0), (6_900, 1_000), (7_000, 2_500)] {
                // While the known instances are stopped, only the new one claims.
                for others_stopped_ms in [0, 3_000] {
                    let mut world = World::new();
                    world.platform.delay_ms = delay_ms;
                    world.instances[0].stopped_ms = pause_ms;
                    world.run(100);
                    world.start(1, 1_000);
                    for other in 1..4 {
                        world.instances[other].stopped_ms = others_stopped_ms;
                    }
                    world.run(cut_start_ms - 100);
                    world.cut = Some((0, cut_start_ms + cut_ms));
                    world.run(16_000);
                }
            }
        }
    }
}

/// Guards against a confirmation by evidence that was asked for before the last gap.
#[test]
fn evidence_from_before_the_gap_confirms_nothing() {
    let peer = Incarnation(7);
    let mut holder = SeatHolder::new(MonotonicTime::from_millis(0));
    holder.set_known_instances(BTreeSet::from([peer]));
    holder.tick(MonotonicTime::from_millis(10_000));
    let Some(old) = holder.pending_round() else {
        panic!("expected a confirmation after the first gap");
    };
    holder.tick(MonotonicTime::from_millis(20_000));
    holder.handle_rewrite(old, true);
    holder.handle_answer(peer, old, false);
    holder.tick(MonotonicTime::from_millis(20_010));
    holder.tick(MonotonicTime::from_millis(22_000));
    assert_eq!(holder.state(), HolderState::Unconfirmed);
    let Some(new) = holder.pending_round() else {
        panic!("expected a confirmation after the second gap");
    };
    holder.handle_rewrite(new, true);
    assert_eq!(holder.state(), HolderState::Holding);
}

/// Guards against a new daemon that takes a live holder's seat while an empty one of its own failure
/// domain waits.
#[test]
fn empty_seat_of_the_own_domain_comes_first() {
    let offer = |seat, state, is_own_domain| SeatCandidate {
        seat,
        state,
        is_own_domain,
    };
    let offers = [
        offer("held elsewhere", SeatRecordState::Held, false),
        offer("released elsewhere", SeatRecordState::Released, false),
        offer("held here", SeatRecordState::Held, true),
        offer("unused here", SeatRecordState::Unused, true),
    ];
    let expected = [
        "unused here",
        "released elsewhere",
        "held here",
        "held elsewhere",
    ];
    assert_eq!(claim_order(&offers), expected);
}
