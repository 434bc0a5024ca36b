//! Replays callers that compete for the upstreams of one pool through several instances, millisecond by millisecond.

mod services;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    CompetingRequests, FairQueue, QueueLoad, QueueTicket, QueuedRequest, QuotaBucket, QuotaBudget,
    QuotaLimit, QuotaReport, RequestClass, ReturnSchedule, UpstreamRoom, UpstreamSet, ahead_of_all,
    may_have_turn, turn_time, wait_until,
};

pub use services::{Sender, Service, ServiceKey, Setup};

const MS: Duration = Duration::from_millis(1);
pub const OBJECTIVE: Duration = Duration::from_millis(400);
/// Time for which a request occupies a slot.
pub const RUN_MS: u64 = 130;
/// Time between two requests of a usual account.
const USUAL_PERIOD_MS: f64 = 75.0;
const AGREED_PER_S: f64 = 10.0;
const TICK_MS: u64 = 50;
/// Duration of the load, and of the time after it.
pub const LOAD_MS: u64 = 6_000;
const AFTER_MS: u64 = 2_000;

#[derive(Clone, Copy)]
struct Arrival {
    sender: Sender,
    instance: usize,
    upstream: usize,
    is_hot: bool,
    first_at: u64,
    repeats: u32,
}

struct Waiting {
    arrival: Arrival,
    request: QueuedRequest,
    ticket: QueueTicket,
}

#[derive(Default)]
struct Instance {
    queue: FairQueue<usize>,
    waiting: BTreeMap<usize, Waiting>,
    quotas: BTreeMap<u64, (QuotaBucket, QuotaBudget)>,
    elsewhere: CompetingRequests,
    returns: ReturnSchedule,
}

pub struct Replay {
    setup: Setup,
    instances: Vec<Instance>,
    /// The ends of the runs at each upstream, with their instances.
    running: Vec<VecDeque<(u64, usize)>>,
    returning: Vec<(u64, Arrival)>,
    services: BTreeMap<ServiceKey, Service>,
    last_id: usize,
}

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn hash(upstream: usize) -> u32 {
    u32::try_from(upstream).unwrap() + 1
}

impl Replay {
    /// Creates the state right after the start of all instances.
    pub fn new(setup: Setup) -> Self {
        Self {
            instances: (0..setup.instances).map(|_| Instance::default()).collect(),
            running: vec![VecDeque::new(); setup.upstreams],
            returning: Vec::new(),
            services: BTreeMap::new(),
            last_id: 0,
            setup,
        }
    }

    /// Returns what the requests got whose key the filter accepts.
    pub fn sum(&self, filter: impl Fn(&ServiceKey) -> bool) -> Service {
        let services = self.services.iter().filter(|(key, _)| filter(key));
        services.fold(Service::default(), |sum, (_, service)| Service {
            sent: sum.sent + service.sent,
            served: sum.served + service.served,
            refused_late: sum.refused_late + service.refused_late,
            idle: sum.idle + service.idle,
        })
    }

    pub fn run(&mut self, senders: &[Sender]) {
        let mut due: Vec<f64> = (0..senders.len()).map(|index| index as f64 * 5.0).collect();
        let end_ms = self.setup.begins_ms + LOAD_MS;
        for now in 0..end_ms + AFTER_MS {
            if now.is_multiple_of(TICK_MS) {
                self.tick(now);
                self.check_slots();
            }
            self.end_runs(now);
            if self.instances.len() == 1 {
                self.check_slots();
            }
            for (due, sender) in due.iter_mut().zip(senders) {
                while *due <= now as f64 {
                    let is_loaded = self.is_loaded(now);
                    let times = if is_loaded { sender.times } else { 1.0 };
                    *due += USUAL_PERIOD_MS / times;
                    self.arrive_first(*sender, now);
                }
            }
            let due = self.returning.extract_if(.., |(time, _)| *time <= now);
            for (_, arrival) in due.collect::<Vec<_>>() {
                self.arrive(arrival, now);
            }
            self.check_waiting(now);
        }
    }

    fn is_loaded(&self, now: u64) -> bool {
        (self.setup.begins_ms..self.setup.begins_ms + LOAD_MS).contains(&now)
    }

    fn end_runs(&mut self, now: u64) {
        for upstream in 0..self.running.len() {
            while let Some((_, own)) = self.running[upstream].pop_front_if(|run| run.0 <= now) {
                let woken = self.instances[own].queue.pop_suited(hash(upstream), 2);
                self.retry(own, &woken, now);
            }
        }
    }

    fn tick(&mut self, now: u64) {
        let count = self.instances.len();
        for own in &mut self.instances {
            if now.is_multiple_of(1_000) {
                own.queue.shares.decay();
            }
            for (bucket, budget) in own.quotas.values_mut() {
                bucket.refill(budget, count, &[], at(now));
            }
        }
        let heartbeat_ticks = self.setup.heartbeat_ticks;
        if heartbeat_ticks > 0 && (now / TICK_MS).is_multiple_of(heartbeat_ticks) {
            self.exchange(now);
        }
        for own in 0..count {
            let instance = &self.instances[own];
            let summary = instance.queue.summary(at(now)).competing;
            let turns_per_s = |request: &QueuedRequest| {
                let competing = summary.count(&request.suitable, 1);
                let elsewhere = instance.elsewhere.count(&request.suitable, 1);
                self.capacity_per_s() * (competing + 1.0) / (competing + elsewhere + 1.0)
            };
            for id in instance.queue.shed(turns_per_s, at(now)) {
                self.refuse(own, id, now);
            }
            let woken = self.instances[own].queue.pop(64);
            self.retry(own, &woken, now);
        }
    }

    /// Completions per second of one upstream.
    fn capacity_per_s(&self) -> f64 {
        self.setup.slots as f64 * 1_000.0 / RUN_MS as f64
    }

    fn exchange(&mut self, now: u64) {
        let sent = self.instances.iter().map(|peer| {
            let demands = peer.quotas.iter();
            let demands = demands.map(|(account, quota)| (*account, quota.0.local_demand()));
            let demands: Vec<(u64, f64)> = demands.collect();
            (peer.queue.summary(at(now)).competing, demands)
        });
        let sent: Vec<_> = sent.collect();
        for (own, instance) in self.instances.iter_mut().enumerate() {
            instance.elsewhere = CompetingRequests::default();
            for (peer, (competing, demands)) in sent.iter().enumerate() {
                if peer == own {
                    continue;
                }
                instance.elsewhere.waiting += competing.waiting;
                for (upstream, waiting) in competing.heaviest(16) {
                    *instance.elsewhere.by_upstream.entry(upstream).or_default() += waiting;
                }
                for (account, demand) in demands {
                    if let Some((bucket, _)) = instance.quotas.get_mut(account) {
                        let (admitted, demand) = (0, *demand);
                        bucket.apply_report(peer as u64, 1, QuotaReport { admitted, demand });
                    }
                }
            }
        }
    }

    fn arrive_first(&mut self, sender: Sender, now: u64) {
        self.last_id += 1;
        let is_hot = self.last_id * 37 % 100 < sender.hot_percent;
        let account = usize::try_from(sender.account).unwrap();
        let instance = if sender.is_spread {
            self.last_id
        } else {
            account
        };
        let arrival = Arrival {
            sender,
            instance: instance % self.setup.instances,
            upstream: if is_hot {
                0
            } else {
                self.last_id / 7 % self.setup.upstreams
            },
            is_hot,
            first_at: now,
            repeats: 0,
        };
        let is_loaded = self.is_loaded(now);
        self.service(arrival).sent += u32::from(is_loaded);
        self.arrive(arrival, now);
    }

    fn arrive(&mut self, arrival: Arrival, now: u64) {
        let age = at(now).since(at(arrival.first_at));
        let objective_left = OBJECTIVE.saturating_sub(age);
        let run = Duration::from_millis(RUN_MS);
        let max_wait = objective_left.saturating_sub(run).max(100 * MS);
        let limit = QuotaLimit {
            rate_per_s: AGREED_PER_S,
            burst: AGREED_PER_S,
        };
        let instance = &mut self.instances[arrival.instance];
        let quota = instance.quotas.entry(arrival.sender.account);
        let (_, budget) = quota.or_insert_with(|| {
            (
                QuotaBucket::new(limit, 0.0, at(now)),
                QuotaBudget::default(),
            )
        });
        budget.count_demand();
        let request = QueuedRequest {
            class: RequestClass {
                is_late: objective_left < run,
                rank: arrival.sender.rank,
            },
            account: arrival.sender.account,
            weight: AGREED_PER_S * budget.demand_fraction(),
            is_returned: arrival.repeats > 0,
            since: at(now),
            until: wait_until(at(now), OBJECTIVE, max_wait, at(now)),
            suitable: UpstreamSet::listed([hash(arrival.upstream)]),
        };
        instance.queue.shares.count_arrival(request.class.rank);
        if instance.queue.is_next(&request) && self.try_serve(arrival, &request, now) {
            return;
        }
        if !self.has_turn_in_time(arrival, &request) {
            return self.return_later(arrival, now);
        }
        self.last_id += 1;
        let instance = &mut self.instances[arrival.instance];
        let ticket = instance.queue.begin_wait(request);
        instance.queue.insert(&ticket, self.last_id);
        let waiting = Waiting {
            arrival,
            request,
            ticket,
        };
        instance.waiting.insert(self.last_id, waiting);
    }

    fn has_turn_in_time(&self, arrival: Arrival, request: &QueuedRequest) -> bool {
        let instance = &self.instances[arrival.instance];
        let room = UpstreamRoom {
            key: arrival.upstream,
            is_warm: true,
            free: self.setup.slots as f64 - self.running[arrival.upstream].len() as f64,
            turn_time: Duration::from_secs_f64(1.0 / self.capacity_per_s()),
            closed_for: Duration::ZERO,
        };
        let ahead = ahead_of_all(
            instance.queue.count_ahead(request),
            instance.queue.competing(&request.suitable),
            instance.elsewhere.count(&request.suitable, 1),
        );
        may_have_turn(&[room], ahead, request.until.since(request.since))
    }

    fn try_serve(&mut self, arrival: Arrival, request: &QueuedRequest, now: u64) -> bool {
        let running = &mut self.running[arrival.upstream];
        if running.len() >= self.setup.slots {
            return false;
        }
        running.push_back((now + RUN_MS, arrival.instance));
        self.instances[arrival.instance].queue.count_served(request);
        let is_loaded = self.is_loaded(arrival.first_at);
        self.service(arrival).served += u32::from(is_loaded);
        true
    }

    fn retry(&mut self, own: usize, woken: &[usize], now: u64) {
        for id in woken {
            let waiting = &self.instances[own].waiting[id];
            let (arrival, request, ticket) = (waiting.arrival, waiting.request, waiting.ticket);
            if self.try_serve(arrival, &request, now) {
                self.instances[own].queue.end_wait(&ticket);
                self.instances[own].waiting.remove(id);
            } else {
                self.instances[own].queue.insert(&ticket, *id);
            }
        }
    }

    /// Counts the requests that wait beside a free slot. A slot that one instance releases is seen by the others on their
    /// next tick.
    fn check_slots(&mut self) {
        for own in 0..self.instances.len() {
            let waiting = self.instances[own].waiting.values();
            let waiting = waiting.map(|waiting| waiting.arrival);
            let idle: Vec<Arrival> = waiting
                .filter(|arrival| self.running[arrival.upstream].len() < self.setup.slots)
                .collect();
            for arrival in idle {
                self.service(arrival).idle += 1;
            }
        }
    }

    fn check_waiting(&mut self, now: u64) {
        for own in 0..self.instances.len() {
            let waiting = self.instances[own].waiting.iter();
            let overdue = waiting.filter(|(_, waiting)| waiting.request.until <= at(now));
            let overdue: Vec<usize> = overdue.map(|(id, _)| *id).collect();
            for id in overdue {
                self.refuse(own, id, now);
            }
        }
    }

    fn refuse(&mut self, own: usize, id: usize, now: u64) {
        let waiting = self.instances[own].waiting.remove(&id).unwrap();
        self.instances[own].queue.end_wait(&waiting.ticket);
        let held = at(now).since(waiting.request.since);
        let is_late = held > OBJECTIVE / 2 + MS;
        self.service(waiting.arrival).refused_late += u32::from(is_late);
        self.return_later(waiting.arrival, now);
    }

    fn return_later(&mut self, arrival: Arrival, now: u64) {
        let waited = at(now).since(at(arrival.first_at));
        let left = Duration::from_millis(2_500).saturating_sub(waited);
        let instance = &self.instances[arrival.instance];
        let waiting = u32::try_from(instance.queue.len()).unwrap();
        let own = QueueLoad {
            waiting,
            ..QueueLoad::default()
        };
        let capacity_per_s = self.capacity_per_s() * self.setup.upstreams as f64;
        let turn_time = turn_time(own, QueueLoad::default(), capacity_per_s);
        let delay = instance
            .returns
            .delay(turn_time * waiting, turn_time, left, at(now));
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
        let key = ServiceKey {
            account: arrival.sender.account,
            rank: arrival.sender.rank,
            is_hot: arrival.is_hot,
        };
        self.services.entry(key).or_default()
    }
}
