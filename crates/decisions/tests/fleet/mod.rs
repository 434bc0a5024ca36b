//! Ledgers of many instances, joined by messages that are lost, delayed, repeated and reordered.
//!
//! True time is in nanoseconds and a multiple of a microsecond. A clock runs at a whole number of
//! thousandths of it, never faster, so local times are exact and the bound needs no tolerance: an instance
//! refills by its own clock, and "per second" means a second of the fastest clock.

pub mod oracle;

use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, TimeLease};
use coltsfootkeel_decisions::{
    Incarnation, LedgerSettings, LimitKey, LoanAsk, LoanGrant, LoanLedger, LoanPeer, LoanPolicy,
    LoanReturn, RateAmount, RateHandle, RateLimitKey, SPEND_LEASE, SlotHandle, SlotLimitKey,
    split_rate, split_slots,
};

use oracle::{RateOracle, SlotOracle};

pub const MILLISECOND: u64 = 1_000_000;
/// The lease of a seat by the design page.
const SEAT_LEASE_MS: u64 = 6_000;
/// A holder whose control thread was silent for longer must have its seat confirmed.
const CONFIRM_GAP: Duration = Duration::from_secs(3);
/// How long after the first probe without an answer a holder may still have been at work.
const LAST_WORK: Duration = Duration::from_secs(1);
const CONFIRM_TIME_MS: u64 = 1_500;
/// Long enough that no local time in a test is before the start of a process.
const CLOCK_START: Duration = Duration::from_secs(1_000);

pub struct RatePlan {
    pub name: &'static str,
    pub total: RateAmount,
}

pub struct SlotPlan {
    pub name: &'static str,
    pub slots: u32,
    pub domain: usize,
}

pub struct FleetPlan {
    pub seat_domains: Vec<usize>,
    pub rates: Vec<RatePlan>,
    pub slots: Vec<SlotPlan>,
    pub policy: LoanPolicy,
    pub asks_per_s: u32,
    pub longest_deadline: Duration,
    /// The slowest clock, in thousandths of true time.
    pub slowest_clock: u64,
    /// The clocks of the first instances in thousandths of true time; those of the others are random.
    pub clocks: Vec<u64>,
    pub seed: u64,
}

/// What the network does to a message.
#[derive(Debug, Clone, Copy)]
pub struct Weather {
    pub loss_percent: u64,
    pub repeat_percent: u64,
    pub delay_ms: u64,
}

pub const CALM: Weather = Weather {
    loss_percent: 0,
    repeat_percent: 0,
    delay_ms: 0,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    Ask(LoanAsk),
    Grant(LoanGrant),
    Return(LoanReturn),
}

#[derive(Debug, Clone, Copy)]
pub struct Flight {
    pub due_ns: u64,
    pub from: Incarnation,
    pub to: Incarnation,
    pub message: Message,
}

struct Running {
    upstream: usize,
    end_ns: u64,
}

pub struct Instance {
    pub incarnation: Incarnation,
    pub seat: usize,
    domain: usize,
    pub ledger: LoanLedger,
    pub rates: Vec<RateHandle>,
    pub slots: Vec<SlotHandle>,
    lease: TimeLease,
    clock: u64,
    ticked: MonotonicTime,
    is_alive: bool,
    /// Until this true time the control thread does not run.
    control_stopped_ns: u64,
    /// Until this true time no thread runs.
    stopped_ns: u64,
    /// When an instance that must have its seat confirmed hears from everyone.
    confirm_ns: Option<u64>,
    running: Vec<Running>,
}

impl Instance {
    fn local(&self, now_ns: u64) -> MonotonicTime {
        assert_eq!(now_ns % 1_000, 0);
        MonotonicTime::from_nanos(now_ns / 1_000 * self.clock) + CLOCK_START
    }

    fn runs(&self, now_ns: u64) -> bool {
        self.is_alive && now_ns >= self.stopped_ns
    }

    fn controls(&self, now_ns: u64) -> bool {
        self.runs(now_ns) && now_ns >= self.control_stopped_ns
    }
}

/// The owner of a seat and since when it is silent.
struct Seat {
    holder: usize,
    silent_ns: Option<u64>,
}

pub struct Fleet {
    plan: FleetPlan,
    pub now_ns: u64,
    pub instances: Vec<Instance>,
    seats: Vec<Seat>,
    flights: Vec<Flight>,
    rate_oracles: Vec<RateOracle>,
    slot_oracles: Vec<SlotOracle>,
    pub weather: Weather,
    cut: Option<(usize, u64)>,
    random: u64,
    pub messages: u64,
    /// Lets a test drop or change messages as they are sent.
    pub tap: Option<fn(&Message) -> Tap>,
}

/// What a test does to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tap {
    Pass,
    Drop,
    Delay(u64),
    Repeat(u64),
}

impl Fleet {
    pub fn new(plan: FleetPlan) -> Self {
        let rate_oracles = plan.rates.iter();
        let slot_oracles = plan.slots.iter();
        let mut fleet = Self {
            now_ns: 0,
            instances: Vec::new(),
            seats: Vec::new(),
            flights: Vec::new(),
            rate_oracles: rate_oracles
                .map(|rate| RateOracle::new(rate.total.rate, rate.total.burst))
                .collect(),
            slot_oracles: slot_oracles
                .map(|slot| SlotOracle::new(slot.slots as usize))
                .collect(),
            weather: CALM,
            cut: None,
            random: plan.seed,
            messages: 0,
            tap: None,
            plan,
        };
        for seat in 0..fleet.plan.seat_domains.len() {
            let holder = fleet.start_instance(seat);
            fleet.instances[holder].ledger.open_new_seat(None);
            fleet.seats.push(Seat {
                holder,
                silent_ns: None,
            });
        }
        fleet.refresh_peers();
        fleet
    }

    /// Returns a number below `bound`.
    pub fn random(&mut self, bound: u64) -> u64 {
        // SplitMix64 (Steele, Lea and Flood, 2014).
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn start_instance(&mut self, seat: usize) -> usize {
        let index = self.instances.len();
        let slowest = self.plan.slowest_clock;
        let random_clock = slowest + self.random(1_001 - slowest);
        let clock = self.plan.clocks.get(index).copied().unwrap_or(random_clock);
        let start = MonotonicTime::from_nanos(self.now_ns / 1_000 * clock) + CLOCK_START;
        let settings = LedgerSettings {
            policy: self.plan.policy,
            asks_per_s: self.plan.asks_per_s,
            longest_deadline: self.plan.longest_deadline,
        };
        let mut ledger = LoanLedger::new(settings, start);
        let seats = self.plan.seat_domains.len();
        let mut rates = Vec::new();
        for rate in &self.plan.rates {
            let key = ledger.add_rate_limit(start);
            let share = split_rate(rate.total, seats, rate.name)[seat];
            ledger.set_rate_share(key, rate.total, share);
            rates.push(ledger.rate_handle(key));
        }
        let domain = self.plan.seat_domains[seat];
        let mut slots = Vec::new();
        for slot in &self.plan.slots {
            let key = ledger.add_slot_limit(start);
            ledger.set_slot_share(key, slot.slots, self.slot_share(slot, seat));
            slots.push(ledger.slot_handle(key));
        }
        self.instances.push(Instance {
            incarnation: Incarnation(1_000 + index as u64),
            seat,
            domain,
            ledger,
            rates,
            slots,
            lease: TimeLease::new(),
            clock,
            ticked: start,
            is_alive: true,
            control_stopped_ns: 0,
            stopped_ns: 0,
            confirm_ns: None,
            running: Vec::new(),
        });
        index
    }

    fn slot_share(&self, slot: &SlotPlan, seat: usize) -> u32 {
        let domains = &self.plan.seat_domains;
        let members: Vec<usize> = (0..domains.len())
            .filter(|&member| domains[member] == slot.domain)
            .collect();
        let shares = split_slots(slot.slots, members.len(), slot.name);
        let place = members.iter().position(|&member| member == seat);
        place.map_or(0, |place| shares[place])
    }

    fn refresh_peers(&mut self) {
        let known: Vec<(Incarnation, usize)> = self
            .instances
            .iter()
            .filter(|instance| instance.is_alive)
            .map(|instance| (instance.incarnation, instance.domain))
            .collect();
        for instance in &mut self.instances {
            let others = known
                .iter()
                .filter(|(incarnation, _)| *incarnation != instance.incarnation);
            let near_to = |domain: usize| {
                others
                    .clone()
                    .map(|&(incarnation, place)| LoanPeer {
                        incarnation,
                        is_near: place == domain,
                    })
                    .collect::<Vec<_>>()
            };
            instance.ledger.set_rate_lenders(near_to(instance.domain));
            for (index, slot) in self.plan.slots.iter().enumerate() {
                let key = slot_key(index);
                let lenders = near_to(slot.domain);
                let holders = lenders.into_iter().filter(|peer| peer.is_near).collect();
                instance.ledger.set_slot_lenders(key, holders);
            }
        }
    }

    /// Lets time pass with a tick each `step_ms` and `each_step` before and after every tick.
    pub fn run(&mut self, duration_ms: u64, step_ms: u64, mut each_step: impl FnMut(&mut Self)) {
        let end_ns = self.now_ns + duration_ms * MILLISECOND;
        while self.now_ns < end_ns {
            let step_end = (self.now_ns + step_ms * MILLISECOND).min(end_ns);
            self.deliver_until(step_end);
            self.now_ns = step_end;
            self.finish_requests();
            each_step(self);
            for index in 0..self.instances.len() {
                self.tick(index);
            }
            self.check_reserves();
            each_step(self);
        }
    }

    fn deliver_until(&mut self, end_ns: u64) {
        let start_ns = self.now_ns;
        loop {
            let instances = &self.instances;
            let next = self
                .flights
                .iter()
                .enumerate()
                .filter_map(|(index, flight)| {
                    let receiver = find(instances, flight.to)?;
                    let receiver = &instances[receiver];
                    let awake_ns = receiver.stopped_ns.max(receiver.control_stopped_ns);
                    let due_ns = flight.due_ns.max(awake_ns).max(start_ns);
                    Some((due_ns, index))
                })
                .filter(|&(due_ns, _)| due_ns <= end_ns)
                .min();
            let Some((due_ns, index)) = next else {
                break;
            };
            self.now_ns = self.now_ns.max(due_ns);
            let flight = self.flights.remove(index);
            self.receive(flight);
            self.check_reserves();
        }
        let instances = &self.instances;
        self.flights
            .retain(|flight| find(instances, flight.to).is_some_and(|to| instances[to].is_alive));
    }

    fn receive(&mut self, flight: Flight) {
        let Some(index) = find(&self.instances, flight.to) else {
            return;
        };
        let sender = find(&self.instances, flight.from);
        let is_cut = sender.is_some_and(|sender| self.is_cut(sender, index));
        if !self.instances[index].is_alive || is_cut {
            return;
        }
        let now_ns = self.now_ns;
        let instance = &mut self.instances[index];
        let now = instance.local(now_ns);
        match flight.message {
            Message::Ask(ask) => {
                if let Some(grant) = instance.ledger.answer_ask(flight.from, ask, now) {
                    self.send(flight.to, flight.from, Message::Grant(grant));
                }
            }
            Message::Grant(grant) => {
                instance.ledger.take_grant(flight.from, grant, now);
            }
            Message::Return(end) => instance.ledger.take_return(flight.from, end, now),
        }
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        let (left, right) = (self.instances[left].domain, self.instances[right].domain);
        self.cut.is_some_and(|(domain, until_ns)| {
            self.now_ns < until_ns && left != right && (left == domain || right == domain)
        })
    }

    pub fn send(&mut self, from: Incarnation, to: Incarnation, message: Message) {
        self.messages += 1;
        let (Some(sender), Some(receiver)) =
            (find(&self.instances, from), find(&self.instances, to))
        else {
            return;
        };
        let tap = self.tap.map_or(Tap::Pass, |tap| tap(&message));
        let is_lost = self.random(100) < self.weather.loss_percent;
        if tap == Tap::Drop || is_lost || self.is_cut(sender, receiver) {
            return;
        }
        let is_near = self.instances[sender].domain == self.instances[receiver].domain;
        let crossing_ms = if is_near { 1 } else { 35 };
        let mut copies = vec![0];
        if self.random(100) < self.weather.repeat_percent {
            copies.push(0);
        }
        match tap {
            Tap::Delay(late_ms) => copies = vec![late_ms],
            Tap::Repeat(late_ms) => copies.push(late_ms),
            Tap::Pass | Tap::Drop => {}
        }
        for late_ms in copies {
            let extra_ms = self.random(self.weather.delay_ms + 1);
            let delay_ms = crossing_ms + extra_ms + late_ms;
            self.flights.push(Flight {
                due_ns: self.now_ns + delay_ms * MILLISECOND,
                from,
                to,
                message,
            });
        }
    }

    fn tick(&mut self, index: usize) {
        let now_ns = self.now_ns;
        let instance = &mut self.instances[index];
        if !instance.controls(now_ns) {
            return;
        }
        let now = instance.local(now_ns);
        if now.since(instance.ticked) > CONFIRM_GAP {
            instance.ledger.close_seat(now);
            instance.confirm_ns = Some(now_ns + CONFIRM_TIME_MS * MILLISECOND);
        }
        let is_due = instance.confirm_ns.is_some_and(|due_ns| due_ns <= now_ns);
        if is_due {
            instance.confirm_ns = None;
            if self.seats[instance.seat].holder == index {
                instance.ledger.reopen_seat();
            }
        }
        if self.seats[instance.seat].holder == index {
            self.seats[instance.seat].silent_ns = None;
        }
        let output = instance.ledger.tick(now);
        instance.ticked = now;
        instance.lease.renew(now, SPEND_LEASE);
        let from = instance.incarnation;
        for ask in output.asks {
            self.send(from, ask.to, Message::Ask(ask.message));
        }
        for end in output.returns {
            self.send(from, end.to, Message::Return(end.message));
        }
    }

    fn finish_requests(&mut self) {
        let now_ns = self.now_ns;
        for instance in &mut self.instances {
            if !instance.runs(now_ns) {
                continue;
            }
            let slots = &instance.slots;
            instance.running.retain(|running| {
                let is_over = running.end_ns <= now_ns;
                if is_over {
                    slots[running.upstream].counter.release();
                }
                !is_over
            });
        }
    }

    /// Tries to take a token and checks the users' sentence if it succeeds.
    pub fn take(&mut self, index: usize, limit: usize) -> bool {
        let is_taken = self.try_take(index, limit);
        if !is_taken {
            let handle = &self.instances[index].rates[limit];
            handle.short.record();
        }
        is_taken
    }

    /// Like `take`, for a request that was counted before and waits.
    pub fn try_take(&mut self, index: usize, limit: usize) -> bool {
        let instance = &self.instances[index];
        let now = instance.local(self.now_ns);
        let may_spend = instance.runs(self.now_ns) && instance.lease.is_valid(now);
        if !may_spend || !instance.rates[limit].bucket.try_take(1_000) {
            return false;
        }
        let is_within = self.rate_oracles[limit].admit(self.now_ns);
        assert!(
            is_within,
            "{}: more requests than burst + rate × window at {} ms (instance {index})",
            self.plan.rates[limit].name,
            self.now_ns / MILLISECOND
        );
        true
    }

    /// Checks the users' sentences for the requests that all instances could admit at this moment.
    ///
    /// This finds a fault in every history that leads to it, not only in those whose requests come at
    /// the right time to show it.
    pub fn check_reserves(&mut self) {
        let now_ns = self.now_ns;
        let spending: Vec<usize> = (0..self.instances.len())
            .filter(|&index| {
                let instance = &self.instances[index];
                instance.is_alive && instance.lease.is_valid(instance.local(now_ns))
            })
            .collect();
        for (limit, plan) in self.plan.rates.iter().enumerate() {
            let levels = spending
                .iter()
                .map(|&index| self.instances[index].rates[limit].bucket.level());
            let levels: Vec<i64> = levels.collect();
            let is_covered = self.rate_oracles[limit].covers(levels.iter().sum(), now_ns);
            assert!(
                is_covered,
                "{}: the instances {spending:?} could admit {levels:?}, more requests than burst + rate × window at {} ms",
                plan.name,
                now_ns / MILLISECOND
            );
        }
        for (upstream, plan) in self.plan.slots.iter().enumerate() {
            let free = spending.iter().map(|&index| {
                let counter = &self.instances[index].slots[upstream].counter;
                counter.capacity().saturating_sub(counter.used())
            });
            let free: Vec<u32> = free.collect();
            let sum: u32 = free.iter().sum();
            assert!(
                self.slot_oracles[upstream].covers(sum as usize, now_ns),
                "{}: the instances {spending:?} could start {free:?}, more requests than slots at {} ms",
                plan.name,
                now_ns / MILLISECOND
            );
        }
    }

    /// Tells whether the account is entitled to a request now.
    pub fn is_entitled(&mut self, limit: usize) -> bool {
        self.rate_oracles[limit].has_token(self.now_ns)
    }

    /// Tries to start a request that runs for `duration_ms` by the instance's clock.
    pub fn start_request(&mut self, index: usize, upstream: usize, duration_ms: u64) -> bool {
        let now_ns = self.now_ns;
        let instance = &mut self.instances[index];
        let now = instance.local(now_ns);
        if !instance.runs(now_ns) || !instance.lease.is_valid(now) {
            return false;
        }
        let handle = &instance.slots[upstream];
        if !handle.counter.try_acquire() {
            handle.short.record();
            return false;
        }
        let end_ns = now_ns + duration_ms * MILLISECOND / instance.clock * 1_000;
        instance.running.push(Running { upstream, end_ns });
        let is_within = self.slot_oracles[upstream].start(now_ns, end_ns);
        assert!(
            is_within,
            "{}: more requests than slots at {} ms (instance {index})",
            self.plan.slots[upstream].name,
            now_ns / MILLISECOND
        );
        true
    }

    pub fn pause(&mut self, index: usize, duration_ms: u64) {
        self.note_silence(index);
        let instance = &mut self.instances[index];
        let end_ns = self.now_ns + duration_ms * MILLISECOND;
        instance.stopped_ns = instance.stopped_ns.max(end_ns);
    }

    /// Stops the control thread only.
    pub fn stall(&mut self, index: usize, duration_ms: u64) {
        self.note_silence(index);
        let instance = &mut self.instances[index];
        let end_ns = self.now_ns + duration_ms * MILLISECOND;
        instance.control_stopped_ns = instance.control_stopped_ns.max(end_ns);
    }

    pub fn kill(&mut self, index: usize) {
        self.note_silence(index);
        self.instances[index].is_alive = false;
    }

    fn note_silence(&mut self, index: usize) {
        let seat = &mut self.seats[self.instances[index].seat];
        if seat.holder == index {
            seat.silent_ns.get_or_insert(self.now_ns);
        }
    }

    pub fn cut(&mut self, domain: usize, duration_ms: u64) {
        self.cut = Some((domain, self.now_ns + duration_ms * MILLISECOND));
    }

    /// Replaces the holder of a seat if it has been silent for a lease, and tells whether it did.
    pub fn replace(&mut self, seat: usize) -> bool {
        let Some(silent_ns) = self.seats[seat].silent_ns else {
            return false;
        };
        let index = self.start_instance(seat);
        let now = self.instances[index].local(self.now_ns);
        let silent_since = self.instances[index].local(silent_ns);
        if now.since(silent_since) < Duration::from_millis(SEAT_LEASE_MS) {
            self.instances.pop();
            return false;
        }
        self.give_seat(seat, index, silent_since + LAST_WORK);
        true
    }

    /// Hands a seat to a new instance at once; the former holder stays without a seat.
    pub fn release(&mut self, seat: usize) {
        let holder = self.seats[seat].holder;
        if !self.instances[holder].controls(self.now_ns) {
            return;
        }
        let now = self.instances[holder].local(self.now_ns);
        self.instances[holder].ledger.close_seat(now);
        self.instances[holder].confirm_ns = None;
        let index = self.start_instance(seat);
        let now = self.instances[index].local(self.now_ns);
        self.give_seat(seat, index, now);
    }

    fn give_seat(&mut self, seat: usize, index: usize, idle_since: MonotonicTime) {
        self.instances[index].ledger.open_new_seat(Some(idle_since));
        self.seats[seat] = Seat {
            holder: index,
            silent_ns: None,
        };
        self.refresh_peers();
    }

    pub fn holder(&self, seat: usize) -> usize {
        self.seats[seat].holder
    }
}

fn find(instances: &[Instance], incarnation: Incarnation) -> Option<usize> {
    instances
        .iter()
        .position(|instance| instance.incarnation == incarnation)
}

pub fn rate_key(index: usize) -> RateLimitKey {
    coltsfootkeel_model::ArenaKey::from_index(index)
}

pub fn slot_key(index: usize) -> SlotLimitKey {
    coltsfootkeel_model::ArenaKey::from_index(index)
}

pub fn rate_limit(index: usize) -> LimitKey {
    LimitKey::Rate(rate_key(index))
}
