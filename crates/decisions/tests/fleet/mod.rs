//! Simulates a fleet: one loan ledger for each instance, and a network that loses, delays, repeats and reorders the
//! messages between them. Oracles check at every step that no limit is exceeded.
//!
//! True time is in nanoseconds and always a multiple of a microsecond. The clock of an instance runs at a whole number
//! of thousandths of true time, at most 1,000, so local times are exact and the checks need no tolerance. An instance
//! refills its buckets by its own clock, so "per second" in a limit means a second of the fastest clock.

pub mod oracle;

use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, TimeLease};
use coltsfootkeel_decisions::{
    Incarnation, LedgerSettings, LimitKey, LoanGrant, LoanLedger, LoanPeer, LoanPolicy,
    LoanRequest, LoanReturn, RateAmount, RateHandle, RateLimitKey, SPEND_LEASE, SlotHandle,
    SlotLimitKey, split_rate, split_slots,
};

use oracle::{RateOracle, SlotOracle};

/// Nanoseconds in a millisecond.
pub const NANOS_PER_MILLI: u64 = 1_000_000;
/// How long a holder must be silent before [`Fleet::replace_silent_holder`] assigns its seat to a new instance.
const SEAT_LEASE_MS: u64 = 6_000;
/// After a longer gap between ticks, a holder must have its seat confirmed before it uses the shares again.
const MAX_TICK_GAP: Duration = Duration::from_secs(3);
/// How long a holder may still have admitted requests after the first probe that it did not answer.
const MAX_ACTIVITY_IN_SILENCE: Duration = Duration::from_secs(1);
/// How long the confirmation of a seat takes.
const CONFIRMATION_TIME_MS: u64 = 1_500;
/// Local time at true time zero, late enough that subtracting a duration of a test never gives a negative time.
const CLOCK_START: Duration = Duration::from_secs(1_000);

/// A rate limit of the simulated fleet.
pub struct RatePlan {
    pub name: &'static str,
    pub total: RateAmount,
}

/// The slot limit of an upstream in failure domain `domain`.
pub struct SlotPlan {
    pub name: &'static str,
    pub slots: u32,
    pub domain: usize,
}

/// Parameters of a simulated fleet.
pub struct FleetPlan {
    /// The failure domain of each seat.
    pub seat_domains: Vec<usize>,
    pub rates: Vec<RatePlan>,
    pub slots: Vec<SlotPlan>,
    pub policy: LoanPolicy,
    pub requests_per_s: u32,
    pub longest_deadline: Duration,
    /// Speed of the slowest clock, in thousandths of true time.
    pub slowest_clock_permille: u64,
    /// Clock speeds of the first instances, in thousandths of true time. Those of all other instances are random.
    pub clocks_permille: Vec<u64>,
    /// Seed of all random numbers of the simulation.
    pub seed: u64,
}

/// Random faults that the network applies to each message.
#[derive(Debug, Clone, Copy)]
pub struct NetworkFaults {
    pub loss_percent: u64,
    pub repeat_percent: u64,
    /// The maximum random delay, which is added to the latency.
    pub delay_ms: u64,
}

/// A network that delivers each message once, after its latency.
pub const NO_NETWORK_FAULTS: NetworkFaults = NetworkFaults {
    loss_percent: 0,
    repeat_percent: 0,
    delay_ms: 0,
};

/// A message between two ledgers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    Request(LoanRequest),
    Grant(LoanGrant),
    Return(LoanReturn),
}

/// A message that was sent and not yet delivered.
#[derive(Debug, Clone, Copy)]
pub struct MessageInTransit {
    pub due_ns: u64,
    pub from: Incarnation,
    pub to: Incarnation,
    pub message: Message,
}

/// An admitted request that occupies a slot until `end_ns`.
struct RunningRequest {
    upstream: usize,
    end_ns: u64,
}

/// A simulated instance: its ledger, its clock and the state of its threads.
pub struct Instance {
    pub incarnation: Incarnation,
    pub seat: usize,
    domain: usize,
    pub ledger: LoanLedger,
    pub rates: Vec<RateHandle>,
    pub slots: Vec<SlotHandle>,
    lease: TimeLease,
    /// Clock speed in thousandths of true time.
    clock_permille: u64,
    ticked_at: MonotonicTime,
    is_alive: bool,
    /// The true time until which the control thread is stopped.
    control_stopped_until_ns: u64,
    /// The true time until which all threads are stopped.
    stopped_until_ns: u64,
    /// The true time at which a pending confirmation of the seat completes; `None` if none is pending.
    confirmation_due_ns: Option<u64>,
    running: Vec<RunningRequest>,
}

impl Instance {
    /// Returns the time of the instance's own clock at true time `now_ns`.
    fn local_time(&self, now_ns: u64) -> MonotonicTime {
        assert_eq!(now_ns % 1_000, 0);
        MonotonicTime::from_nanos(now_ns / 1_000 * self.clock_permille) + CLOCK_START
    }

    fn is_running(&self, now_ns: u64) -> bool {
        self.is_alive && now_ns >= self.stopped_until_ns
    }

    fn is_control_thread_running(&self, now_ns: u64) -> bool {
        self.is_running(now_ns) && now_ns >= self.control_stopped_until_ns
    }
}

/// The holder of a seat, as an index of [`Fleet::instances`], and since when its control thread has been stopped.
struct SeatState {
    holder: usize,
    silent_since_ns: Option<u64>,
}

/// The simulated fleet, its network and the oracles of its limits.
pub struct Fleet {
    plan: FleetPlan,
    pub now_ns: u64,
    pub instances: Vec<Instance>,
    seats: Vec<SeatState>,
    in_transit: Vec<MessageInTransit>,
    rate_oracles: Vec<RateOracle>,
    slot_oracles: Vec<SlotOracle>,
    pub network_faults: NetworkFaults,
    /// The failure domain that is cut off from all others, and the true time at which the partition ends.
    partition: Option<(usize, u64)>,
    random_state: u64,
    /// The number of messages that were sent.
    pub messages: u64,
    /// Chooses what happens to each message as it is sent; `None` delivers all.
    pub message_filter: Option<fn(&Message) -> MessageAction>,
}

/// What happens to a message in addition to the random faults of the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageAction {
    Deliver,
    Drop,
    /// Delivers the message late by this number of milliseconds.
    Delay(u64),
    /// Delivers the message, and a copy late by this number of milliseconds.
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
            in_transit: Vec::new(),
            rate_oracles: rate_oracles
                .map(|rate| RateOracle::new(rate.total.rate, rate.total.burst))
                .collect(),
            slot_oracles: slot_oracles
                .map(|slot| SlotOracle::new(slot.slots as usize))
                .collect(),
            network_faults: NO_NETWORK_FAULTS,
            partition: None,
            random_state: plan.seed,
            messages: 0,
            message_filter: None,
            plan,
        };
        for seat in 0..fleet.plan.seat_domains.len() {
            let holder = fleet.start_instance(seat);
            fleet.instances[holder].ledger.activate_claimed_seat(None);
            fleet.seats.push(SeatState {
                holder,
                silent_since_ns: None,
            });
        }
        fleet.update_lenders();
        fleet
    }

    /// Returns a random number below `bound`.
    pub fn random(&mut self, bound: u64) -> u64 {
        // SplitMix64 (Steele, Lea and Flood, 2014).
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn start_instance(&mut self, seat: usize) -> usize {
        let index = self.instances.len();
        let slowest = self.plan.slowest_clock_permille;
        let random_clock = slowest + self.random(1_001 - slowest);
        let clock_permille = self
            .plan
            .clocks_permille
            .get(index)
            .copied()
            .unwrap_or(random_clock);
        let start = MonotonicTime::from_nanos(self.now_ns / 1_000 * clock_permille) + CLOCK_START;
        let settings = LedgerSettings {
            policy: self.plan.policy,
            requests_per_s: self.plan.requests_per_s,
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
            clock_permille,
            ticked_at: start,
            is_alive: true,
            control_stopped_until_ns: 0,
            stopped_until_ns: 0,
            confirmation_due_ns: None,
            running: Vec::new(),
        });
        index
    }

    /// Returns the share of a seat in the slots of an upstream, which only the seats of its failure domain share.
    fn slot_share(&self, slot: &SlotPlan, seat: usize) -> u32 {
        let domains = &self.plan.seat_domains;
        let members: Vec<usize> = (0..domains.len())
            .filter(|&member| domains[member] == slot.domain)
            .collect();
        let shares = split_slots(slot.slots, members.len(), slot.name);
        let position = members.iter().position(|&member| member == seat);
        position.map_or(0, |position| shares[position])
    }

    /// Sets the lenders of each instance to all other live instances.
    fn update_lenders(&mut self) {
        let live: Vec<(Incarnation, usize)> = self
            .instances
            .iter()
            .filter(|instance| instance.is_alive)
            .map(|instance| (instance.incarnation, instance.domain))
            .collect();
        for instance in &mut self.instances {
            let others = live
                .iter()
                .filter(|(incarnation, _)| *incarnation != instance.incarnation);
            let peers_relative_to = |domain: usize| {
                others
                    .clone()
                    .map(|&(incarnation, peer_domain)| LoanPeer {
                        incarnation,
                        is_near: peer_domain == domain,
                    })
                    .collect::<Vec<_>>()
            };
            instance
                .ledger
                .set_rate_lenders(peers_relative_to(instance.domain));
            for (index, slot) in self.plan.slots.iter().enumerate() {
                let key = slot_key(index);
                let lenders = peers_relative_to(slot.domain);
                let near_lenders = lenders.into_iter().filter(|peer| peer.is_near).collect();
                instance.ledger.set_slot_lenders(key, near_lenders);
            }
        }
    }

    /// Advances the time by `duration_ms` with a tick of each instance every `step_ms`. Calls `each_step` before and
    /// after each tick.
    pub fn run(&mut self, duration_ms: u64, step_ms: u64, mut each_step: impl FnMut(&mut Self)) {
        let end_ns = self.now_ns + duration_ms * NANOS_PER_MILLI;
        while self.now_ns < end_ns {
            let step_end_ns = (self.now_ns + step_ms * NANOS_PER_MILLI).min(end_ns);
            self.deliver_until(step_end_ns);
            self.now_ns = step_end_ns;
            self.finish_requests();
            each_step(self);
            for index in 0..self.instances.len() {
                self.tick(index);
            }
            self.check_available_capacity();
            each_step(self);
        }
    }

    /// Delivers all messages that are due until `end_ns`, in the order of their arrival. A message to an instance whose
    /// control thread is stopped waits until that thread resumes.
    fn deliver_until(&mut self, end_ns: u64) {
        let start_ns = self.now_ns;
        loop {
            let instances = &self.instances;
            let next = self
                .in_transit
                .iter()
                .enumerate()
                .filter_map(|(index, delivery)| {
                    let receiver = find(instances, delivery.to)?;
                    let receiver = &instances[receiver];
                    let resumed_ns = receiver
                        .stopped_until_ns
                        .max(receiver.control_stopped_until_ns);
                    let due_ns = delivery.due_ns.max(resumed_ns).max(start_ns);
                    Some((due_ns, index))
                })
                .filter(|&(due_ns, _)| due_ns <= end_ns)
                .min();
            let Some((due_ns, index)) = next else {
                break;
            };
            self.now_ns = self.now_ns.max(due_ns);
            let delivery = self.in_transit.remove(index);
            self.receive(delivery);
            self.check_available_capacity();
        }
        let instances = &self.instances;
        self.in_transit
            .retain(|sent| find(instances, sent.to).is_some_and(|to| instances[to].is_alive));
    }

    fn receive(&mut self, delivery: MessageInTransit) {
        let Some(index) = find(&self.instances, delivery.to) else {
            return;
        };
        let sender = find(&self.instances, delivery.from);
        let is_partitioned = sender.is_some_and(|sender| self.is_partitioned(sender, index));
        if !self.instances[index].is_alive || is_partitioned {
            return;
        }
        let now_ns = self.now_ns;
        let instance = &mut self.instances[index];
        let now = instance.local_time(now_ns);
        match delivery.message {
            Message::Request(request) => {
                if let Some(grant) = instance.ledger.answer_request(delivery.from, request, now) {
                    self.send(delivery.to, delivery.from, Message::Grant(grant));
                }
            }
            Message::Grant(grant) => {
                instance.ledger.handle_grant(delivery.from, grant, now);
            }
            Message::Return(message) => instance.ledger.handle_return(delivery.from, message, now),
        }
    }

    /// Returns whether the partition separates two instances.
    fn is_partitioned(&self, left: usize, right: usize) -> bool {
        let (left, right) = (self.instances[left].domain, self.instances[right].domain);
        self.partition.is_some_and(|(domain, until_ns)| {
            self.now_ns < until_ns && left != right && (left == domain || right == domain)
        })
    }

    /// Sends a message, subject to the message filter, the network faults and the partition.
    pub fn send(&mut self, from: Incarnation, to: Incarnation, message: Message) {
        self.messages += 1;
        let (Some(sender), Some(receiver)) =
            (find(&self.instances, from), find(&self.instances, to))
        else {
            return;
        };
        let action = self
            .message_filter
            .map_or(MessageAction::Deliver, |filter| filter(&message));
        let is_lost = self.random(100) < self.network_faults.loss_percent;
        if action == MessageAction::Drop || is_lost || self.is_partitioned(sender, receiver) {
            return;
        }
        let is_near = self.instances[sender].domain == self.instances[receiver].domain;
        let latency_ms = if is_near { 1 } else { 35 };
        let mut copy_delays_ms = vec![0];
        if self.random(100) < self.network_faults.repeat_percent {
            copy_delays_ms.push(0);
        }
        match action {
            MessageAction::Delay(added_ms) => copy_delays_ms = vec![added_ms],
            MessageAction::Repeat(added_ms) => copy_delays_ms.push(added_ms),
            MessageAction::Deliver | MessageAction::Drop => {}
        }
        for added_ms in copy_delays_ms {
            let random_ms = self.random(self.network_faults.delay_ms + 1);
            let delay_ms = latency_ms + random_ms + added_ms;
            self.in_transit.push(MessageInTransit {
                due_ns: self.now_ns + delay_ms * NANOS_PER_MILLI,
                from,
                to,
                message,
            });
        }
    }

    /// Runs the control thread of an instance once: checks the seat, ticks the ledger and sends its messages.
    fn tick(&mut self, index: usize) {
        let now_ns = self.now_ns;
        let instance = &mut self.instances[index];
        if !instance.is_control_thread_running(now_ns) {
            return;
        }
        let now = instance.local_time(now_ns);
        if now.since(instance.ticked_at) > MAX_TICK_GAP {
            instance.ledger.suspend_seat(now);
            instance.confirmation_due_ns = Some(now_ns + CONFIRMATION_TIME_MS * NANOS_PER_MILLI);
        }
        let is_due = instance
            .confirmation_due_ns
            .is_some_and(|due_ns| due_ns <= now_ns);
        if is_due {
            instance.confirmation_due_ns = None;
            if self.seats[instance.seat].holder == index {
                instance.ledger.resume_seat();
            }
        }
        if self.seats[instance.seat].holder == index {
            self.seats[instance.seat].silent_since_ns = None;
        }
        let output = instance.ledger.tick(now);
        instance.ticked_at = now;
        instance.lease.renew(now, SPEND_LEASE);
        let from = instance.incarnation;
        for request in output.requests {
            self.send(from, request.to, Message::Request(request.message));
        }
        for returned in output.returns {
            self.send(from, returned.to, Message::Return(returned.message));
        }
    }

    /// Frees the slots of requests that have ended.
    fn finish_requests(&mut self) {
        let now_ns = self.now_ns;
        for instance in &mut self.instances {
            if !instance.is_running(now_ns) {
                continue;
            }
            let slots = &instance.slots;
            instance.running.retain(|running| {
                let has_ended = running.end_ns <= now_ns;
                if has_ended {
                    slots[running.upstream].counter.release();
                }
                !has_ended
            });
        }
    }

    /// Admits a request at an instance if its bucket has a token, and otherwise records a shortage.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has admitted more than burst + rate × window in some window.
    pub fn try_admit(&mut self, index: usize, limit: usize) -> bool {
        let is_admitted = self.try_admit_waiting(index, limit);
        if !is_admitted {
            let handle = &self.instances[index].rates[limit];
            handle.shortages.record();
        }
        is_admitted
    }

    /// Admits a request that waits for a loan, without recording a shortage: [`try_admit`](Self::try_admit) recorded
    /// one when the request arrived.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has admitted more than burst + rate × window in some window.
    pub fn try_admit_waiting(&mut self, index: usize, limit: usize) -> bool {
        let instance = &self.instances[index];
        let now = instance.local_time(self.now_ns);
        let may_spend = instance.is_running(self.now_ns) && instance.lease.is_valid(now);
        if !may_spend || !instance.rates[limit].bucket.try_take(1_000) {
            return false;
        }
        let is_within = self.rate_oracles[limit].record_admitted(self.now_ns);
        assert!(
            is_within,
            "{}: instance {index} admitted more requests than burst + rate × window at {} ms",
            self.plan.rates[limit].name,
            self.now_ns / NANOS_PER_MILLI
        );
        true
    }

    /// Checks that no limit would be exceeded if each instance admitted all requests that it could admit now.
    ///
    /// This finds an excess in every history that leads to one, not only in those whose requests arrive at the moment
    /// at which it shows.
    ///
    /// # Panics
    ///
    /// Panics if the tokens or free slots of all instances together exceed what a limit allows.
    pub fn check_available_capacity(&mut self) {
        let now_ns = self.now_ns;
        let spending: Vec<usize> = (0..self.instances.len())
            .filter(|&index| {
                let instance = &self.instances[index];
                instance.is_alive && instance.lease.is_valid(instance.local_time(now_ns))
            })
            .collect();
        for (limit, plan) in self.plan.rates.iter().enumerate() {
            let levels = spending
                .iter()
                .map(|&index| self.instances[index].rates[limit].bucket.level());
            let levels: Vec<i64> = levels.collect();
            let is_within = self.rate_oracles[limit].allows(levels.iter().sum(), now_ns);
            assert!(
                is_within,
                "{}: instances {spending:?} hold {levels:?} milli-tokens, more than burst + rate × window allows at {} ms",
                plan.name,
                now_ns / NANOS_PER_MILLI
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
                self.slot_oracles[upstream].allows(sum as usize, now_ns),
                "{}: instances {spending:?} have {free:?} free slots, more than the upstream has at {} ms",
                plan.name,
                now_ns / NANOS_PER_MILLI
            );
        }
    }

    /// Returns whether the rate limit allows a request now.
    pub fn is_entitled(&mut self, limit: usize) -> bool {
        self.rate_oracles[limit].has_token(self.now_ns)
    }

    /// Starts a request that runs for `duration_ms` by the instance's clock, if the instance has a free slot, and
    /// otherwise records a shortage.
    ///
    /// # Panics
    ///
    /// Panics if more requests run on the upstream than it has slots.
    pub fn start_request(&mut self, index: usize, upstream: usize, duration_ms: u64) -> bool {
        let now_ns = self.now_ns;
        let instance = &mut self.instances[index];
        let now = instance.local_time(now_ns);
        if !instance.is_running(now_ns) || !instance.lease.is_valid(now) {
            return false;
        }
        let handle = &instance.slots[upstream];
        if !handle.counter.try_acquire() {
            handle.shortages.record();
            return false;
        }
        let end_ns = now_ns + duration_ms * NANOS_PER_MILLI / instance.clock_permille * 1_000;
        instance.running.push(RunningRequest { upstream, end_ns });
        let is_within = self.slot_oracles[upstream].record_start(now_ns, end_ns);
        assert!(
            is_within,
            "{}: instance {index} started more requests than the upstream has slots at {} ms",
            self.plan.slots[upstream].name,
            now_ns / NANOS_PER_MILLI
        );
        true
    }

    /// Stops all threads of an instance.
    pub fn pause(&mut self, index: usize, duration_ms: u64) {
        self.mark_holder_silent(index);
        let instance = &mut self.instances[index];
        let end_ns = self.now_ns + duration_ms * NANOS_PER_MILLI;
        instance.stopped_until_ns = instance.stopped_until_ns.max(end_ns);
    }

    /// Stops the control thread of an instance. Its request threads continue until their lease expires.
    pub fn stall_control_thread(&mut self, index: usize, duration_ms: u64) {
        self.mark_holder_silent(index);
        let instance = &mut self.instances[index];
        let end_ns = self.now_ns + duration_ms * NANOS_PER_MILLI;
        instance.control_stopped_until_ns = instance.control_stopped_until_ns.max(end_ns);
    }

    /// Ends an instance permanently.
    pub fn kill(&mut self, index: usize) {
        self.mark_holder_silent(index);
        self.instances[index].is_alive = false;
    }

    /// Records since when the holder of a seat has been silent.
    fn mark_holder_silent(&mut self, index: usize) {
        let seat = &mut self.seats[self.instances[index].seat];
        if seat.holder == index {
            seat.silent_since_ns.get_or_insert(self.now_ns);
        }
    }

    /// Cuts a failure domain off from all others.
    pub fn isolate_domain(&mut self, domain: usize, duration_ms: u64) {
        self.partition = Some((domain, self.now_ns + duration_ms * NANOS_PER_MILLI));
    }

    /// Assigns a seat to a new instance if its holder has been silent for the seat lease, and returns whether it did.
    pub fn replace_silent_holder(&mut self, seat: usize) -> bool {
        let Some(silent_since_ns) = self.seats[seat].silent_since_ns else {
            return false;
        };
        let index = self.start_instance(seat);
        let now = self.instances[index].local_time(self.now_ns);
        let silent_since = self.instances[index].local_time(silent_since_ns);
        if now.since(silent_since) < Duration::from_millis(SEAT_LEASE_MS) {
            self.instances.pop();
            return false;
        }
        self.assign_seat(seat, index, silent_since + MAX_ACTIVITY_IN_SILENCE);
        true
    }

    /// Makes the holder of a seat release it and immediately assigns the seat to a new instance. The former holder
    /// keeps running without a seat.
    pub fn release_seat(&mut self, seat: usize) {
        let holder = self.seats[seat].holder;
        if !self.instances[holder].is_control_thread_running(self.now_ns) {
            return;
        }
        let now = self.instances[holder].local_time(self.now_ns);
        self.instances[holder].ledger.suspend_seat(now);
        self.instances[holder].confirmation_due_ns = None;
        let index = self.start_instance(seat);
        let now = self.instances[index].local_time(self.now_ns);
        self.assign_seat(seat, index, now);
    }

    fn assign_seat(&mut self, seat: usize, index: usize, idle_since: MonotonicTime) {
        self.instances[index]
            .ledger
            .activate_claimed_seat(Some(idle_since));
        self.seats[seat] = SeatState {
            holder: index,
            silent_since_ns: None,
        };
        self.update_lenders();
    }

    /// Returns the index of the instance that holds a seat.
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
