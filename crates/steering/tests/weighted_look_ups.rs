//! Look-ups in fleets whose instances differ in size.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ArenaKey, DomainKey, RegionKey};
use coltsfootkeel_steering::{
    HandedOut, InstanceCapacity, InstanceRoom, InstanceUsage, InstanceView, LoadCorrection,
    LookupQuery, RegionSet, UsageMeter, UsageReading, combine_hashes, select_weighted,
    weigh_instances,
};

const LARGE: InstanceCapacity = InstanceCapacity {
    processors: 0.5,
    link_mbps: 200.0,
    memory_mb: 512.0,
    descriptors: 8_192.0,
};
const SMALL: InstanceCapacity = InstanceCapacity {
    processors: 0.1,
    link_mbps: 10.0,
    memory_mb: 160.0,
    descriptors: 4_100.0,
};

fn room(capacity: InstanceCapacity, in_flight: u32, memory_part: f64) -> InstanceRoom {
    InstanceRoom {
        capacity: Some(capacity),
        usage: InstanceUsage {
            in_flight,
            average_in_flight: in_flight.into(),
            memory_part,
            ..InstanceUsage::default()
        },
    }
}

/// Returns a large instance that uses parts of its processors and connections.
fn busy_room(processor_part: f64, connection_part: f64) -> InstanceRoom {
    let mut room = room(LARGE, 0, 0.0);
    room.usage.processor_part = processor_part;
    room.usage.connection_part = connection_part;
    room
}

/// Returns a small and a large instance that are idle, and another one.
fn beside_idle(other: InstanceRoom) -> Vec<InstanceRoom> {
    vec![room(SMALL, 0, 0.0), room(LARGE, 0, 0.0), other]
}

struct ReadingCase {
    name: &'static str,
    /// Processor time in milliseconds after each 100 ms of a process with a fifth of a core.
    used_ms: fn(u64) -> u64,
    used: f64,
}

/// Guards against a short peak that makes an instance look busy, and against a busy one that looks free.
#[test]
fn usage_is_averaged() {
    let case = |name, used_ms: fn(u64) -> u64, used| ReadingCase {
        name,
        used_ms,
        used,
    };
    let cases = [
        case("idle", |_| 0, 0.0),
        case("busy for long", |reading| reading * 20, 1.0),
        case("a peak of 100 ms", |reading| reading / 100 * 20, 0.05),
    ];
    for case in cases {
        let mut meter = UsageMeter::default();
        let mut used = 0.0;
        for reading in 1..=100 {
            let now = MonotonicTime::from_millis(reading * 100);
            let reading = UsageReading {
                processor_time: Duration::from_millis((case.used_ms)(reading)),
                processors: 0.2,
                in_flight: 0,
            };
            used = meter.update(reading, now).processor_part;
        }
        assert!((used - case.used).abs() < 0.02, "{}: {used}", case.name);
    }
}

struct WeightCase {
    name: &'static str,
    rooms: Vec<InstanceRoom>,
    /// Weight of the second instance per weight of the first one; `None` if instances are not weighed.
    ratio: Option<f64>,
}

/// Guards against small instances that get as many callers as large ones, against instances that are full and get more,
/// and against weights where instances are about equal.
#[test]
fn weights_follow_the_scarcest_resource_and_what_is_free() {
    let slow_link = InstanceCapacity {
        link_mbps: 20.0,
        ..LARGE
    };
    let cases = [
        WeightCase {
            name: "equal instances",
            rooms: vec![room(LARGE, 0, 0.0), room(LARGE, 90, 0.9)],
            ratio: None,
        },
        WeightCase {
            name: "a tenth of the link",
            rooms: vec![room(LARGE, 0, 0.0), room(slow_link, 0, 0.0)],
            ratio: Some(0.1818),
        },
        WeightCase {
            name: "half of the memory is used",
            rooms: vec![
                room(SMALL, 0, 0.0),
                room(LARGE, 0, 0.0),
                room(LARGE, 0, 0.5),
            ],
            ratio: Some(1.0),
        },
        WeightCase {
            name: "nine tenths of the memory are used",
            rooms: vec![
                room(SMALL, 0, 0.0),
                room(LARGE, 0, 0.0),
                room(LARGE, 0, 0.9),
            ],
            ratio: Some(0.2),
        },
        WeightCase {
            name: "nine tenths of the processors are used",
            rooms: beside_idle(busy_room(0.9, 0.0)),
            ratio: Some(0.5),
        },
        WeightCase {
            name: "the processors are overloaded",
            rooms: beside_idle(busy_room(1.3, 0.0)),
            ratio: Some(0.1),
        },
        WeightCase {
            name: "half of processors and connections is used",
            rooms: beside_idle(busy_room(0.5, 0.5)),
            ratio: Some(1.0),
        },
        WeightCase {
            name: "nearly all connections are used",
            rooms: beside_idle(busy_room(0.0, 0.95)),
            ratio: Some(0.25),
        },
        WeightCase {
            name: "many requests are in progress",
            rooms: vec![
                room(SMALL, 0, 0.0),
                room(LARGE, 10, 0.0),
                room(LARGE, 190, 0.0),
            ],
            ratio: Some(0.7),
        },
        WeightCase {
            name: "an instance that has not stated its capacity",
            rooms: vec![
                room(SMALL, 0, 0.0),
                room(LARGE, 0, 0.0),
                InstanceRoom::default(),
            ],
            ratio: Some(0.7),
        },
    ];
    for case in cases {
        let weights = weigh_instances(&case.rooms);
        let Some(expected) = case.ratio else {
            assert!(weights.is_none(), "{}", case.name);
            continue;
        };
        let weights = weights.expect(case.name);
        let last = weights.len() - 1;
        let ratio = weights[last].weight / weights[last - 1].weight;
        assert!((ratio - expected).abs() < 0.15, "{}: {ratio}", case.name);
    }
}

struct CorrectionCase {
    name: &'static str,
    /// Load of one small instance per that of the other small ones.
    load: f64,
    /// Bounds of its weight after 10 s per that of the other small ones.
    weight: [f64; 2],
}

/// Guards against a small instance that keeps the callers which drew it by chance, and against one that stays idle.
#[test]
fn weights_follow_loads_that_stay_off() {
    let case = |name, load, weight| CorrectionCase { name, load, weight };
    let cases = [
        case("as the others", 1.0, [0.9, 1.1]),
        case("half more", 1.5, [0.4, 0.7]),
        case("half", 0.5, [1.3, 2.5]),
    ];
    for case in cases {
        let capacities = [LARGE, SMALL, SMALL, SMALL, SMALL, SMALL, SMALL];
        let mut views: Vec<InstanceView> = (0..7).map(|index| view(index, true)).collect();
        for (view, capacity) in views.iter_mut().zip(capacities) {
            let load = if capacity == LARGE { 40.0 } else { 4.0 };
            view.room = room(capacity, 0, 0.0);
            view.room.usage.average_in_flight = load;
        }
        views[1].room.usage.average_in_flight *= case.load;
        let rooms: Vec<InstanceRoom> = views.iter().map(|view| view.room).collect();
        let mut correction = LoadCorrection::default();
        let mut ratio = 0.0;
        for tick in 0..100 {
            let mut weights = weigh_instances(&rooms).expect("instances differ");
            let now = MonotonicTime::from_millis(100 * tick);
            correction.apply(&views, &mut weights, now);
            ratio = weights[1].weight / weights[2].weight;
        }
        let [from, to] = case.weight;
        assert!((from..=to).contains(&ratio), "{}: {ratio}", case.name);
    }
}

/// Returns an instance; the first ten are in the first failure domain.
fn view(index: u32, is_accepting: bool) -> InstanceView {
    InstanceView {
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).unwrap())),
        domain: DomainKey::from_index(usize::from(index >= 10)),
        region: RegionKey::from_index(0),
        is_accepting,
        room: room(if index % 10 < 2 { LARGE } else { SMALL }, 0, 0.0),
    }
}

struct SpreadCase {
    name: &'static str,
    /// Callers of each of the two failure domains.
    callers: [u32; 2],
    /// Callers that state the same address, as behind one gateway.
    callers_per_address: u32,
    /// Instances of the first domain that do not accept.
    lost: u32,
    /// Largest load per size of an instance, relative to the mean.
    max_spread: f64,
}

const CALM: SpreadCase = SpreadCase {
    name: "calm",
    callers: [140, 140],
    callers_per_address: 1,
    lost: 0,
    max_spread: 1.5,
};

/// Guards against small instances that are overloaded while large ones are idle: on a calm day, after a shift of 0.8 of
/// one domain's callers, behind one gateway, and when a domain is lost.
#[test]
fn callers_spread_by_size() {
    let cases = [
        CALM,
        SpreadCase {
            name: "a shift of callers in a burst",
            callers: [50, 430],
            callers_per_address: 1,
            lost: 0,
            max_spread: 2.0,
        },
        SpreadCase {
            name: "all callers behind one gateway",
            callers: [140, 140],
            callers_per_address: 1_000,
            lost: 0,
            max_spread: 2.0,
        },
        SpreadCase {
            name: "a domain is lost",
            callers: [140, 140],
            callers_per_address: 1,
            lost: 10,
            max_spread: 1.5,
        },
    ];
    for case in cases {
        let mut model = LookupModel::new(&case);
        let mut worst: f64 = 0.0;
        for second in 0..60 {
            model.run_second(second, &case);
            if second >= 20 {
                worst += model.spread() / 40.0;
            }
        }
        assert!(worst <= case.max_spread, "{}: {worst}", case.name);
    }
}

/// Guards against callers that close their connections because an answer names other instances than the last one.
#[test]
fn a_caller_that_asks_again_gets_nearly_the_same_instances() {
    let mut model = LookupModel::new(&CALM);
    for second in 0..30 {
        model.run_second(second, &CALM);
    }
    let before = model.answers.clone();
    for second in 30..33 {
        model.run_second(second, &CALM);
    }
    let (mut kept, mut all) = (0, 0);
    for (caller, answer) in &before {
        let after = &model.answers[caller];
        kept += answer
            .iter()
            .filter(|address| after.contains(address))
            .count();
        all += answer.len();
    }
    assert!(kept * 10 >= all * 8, "{kept} of {all}");
}

/// A region with two failure domains, each with two large and eight small instances. Each caller asks every second and
/// loads the instances of its answer evenly.
struct LookupModel {
    views: Vec<InstanceView>,
    handed_out: HandedOut,
    correction: LoadCorrection,
    answers: HashMap<u32, Vec<SocketAddr>>,
}

impl LookupModel {
    fn new(case: &SpreadCase) -> Self {
        Self {
            views: (0..20)
                .map(|index| view(index, index >= case.lost))
                .collect(),
            handed_out: HandedOut::default(),
            correction: LoadCorrection::default(),
            answers: HashMap::new(),
        }
    }

    fn run_second(&mut self, second: u32, case: &SpreadCase) {
        let now = MonotonicTime::default() + Duration::from_secs(second.into());
        let rooms: Vec<InstanceRoom> = self.views.iter().map(|view| view.room).collect();
        let mut weights = weigh_instances(&rooms).expect("instances differ");
        self.correction.apply(&self.views, &mut weights, now);
        for caller in 0..case.callers.iter().sum::<u32>() {
            let domain = usize::from(caller >= case.callers[0]);
            let query = LookupQuery {
                region: Some(RegionKey::from_index(0)),
                domain: Some(DomainKey::from_index(domain)),
                allowed_regions: RegionSet::ANY,
                caller: combine_hashes(5, (caller / case.callers_per_address).into()),
            };
            let answer =
                select_weighted(query, &self.views, &weights, &mut self.handed_out, 64, now);
            self.answers.insert(caller, answer);
        }
        let loads = self.loads();
        for view in &mut self.views {
            let load = loads.get(&view.address).copied().unwrap_or_default();
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let in_flight = load.round() as u32;
            view.room.usage.in_flight = in_flight;
            view.room.usage.average_in_flight = load;
        }
    }

    /// Returns the callers of each instance.
    fn loads(&self) -> HashMap<SocketAddr, f64> {
        let mut loads = HashMap::new();
        for answer in self.answers.values() {
            #[expect(clippy::cast_precision_loss)]
            let part = 1.0 / answer.len() as f64;
            for address in answer {
                *loads.entry(*address).or_default() += part;
            }
        }
        loads
    }

    /// Returns the load per size of the busiest accepting instance, relative to the mean.
    fn spread(&self) -> f64 {
        let rooms: Vec<InstanceRoom> = self.views.iter().map(|view| view.room).collect();
        let weights = weigh_instances(&rooms).expect("instances differ");
        let loads = self.loads();
        let (mut busiest, mut load_sum, mut size_sum) = (0.0_f64, 0.0, 0.0);
        for (view, weight) in self.views.iter().zip(&weights) {
            if view.is_accepting {
                let load = loads.get(&view.address).copied().unwrap_or_default();
                busiest = busiest.max(load / weight.size);
                load_sum += load;
                size_sum += weight.size;
            }
        }
        busiest / (load_sum / size_sum)
    }
}
