//! Division of demand over the regions: level, homes, loss, and waves with late reports.

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, ArenaKey, RegionKey};
use coltsfootkeel_steering::{
    DemandTable, InstanceReport, OfferedWork, PoolDemand, RegionLoad, RegionRoom, RegionSet,
    RegionSize, RegionSpread, SpreadInput, divide_demand, stable_hash,
};

const POOL: u32 = 7;
/// Largest fraction of a region's requests that the division may move in 2 s. All causes together may move 0.15.
const MAX_CHANGE: f64 = 0.09;
const TICK: Duration = Duration::from_millis(100);
/// The values of the three regions.
type Regions<T> = [T; 3];

fn region(index: usize) -> RegionKey {
    RegionKey::from_index(index)
}

fn only(index: usize) -> RegionSet {
    RegionSet::NONE.with(region(index))
}

fn demand(regions: RegionSet, slots: f64) -> PoolDemand {
    PoolDemand {
        pool: POOL,
        regions,
        slots,
    }
}

/// Returns regions with these rooms and two failure domains each.
fn sizes(rooms: Regions<f64>) -> Arena<RegionKey, RegionSize> {
    let size = |slots| RegionSize { slots, domains: 2 };
    rooms.into_iter().map(size).collect()
}

struct DivisionCase {
    name: &'static str,
    /// Demand of each region's callers that may run everywhere.
    free: Regions<f64>,
    /// Demand of the second region's callers that may run in one region only, by that region.
    bound: Regions<f64>,
    rooms: Regions<f64>,
    /// Shares of the first region's callers; `None` if nothing can be divided.
    shares: Option<Regions<f64>>,
    level: f64,
}

/// Guards against callers of a region with little room that wait while others have room, against work that leaves a
/// region with room, and against homes that are not counted.
#[test]
fn regions_are_filled_to_a_common_level() {
    let cases = [
        DivisionCase {
            name: "each region has room for its callers",
            free: [10.0, 20.0, 20.0],
            bound: [0.0; 3],
            rooms: [40.0, 40.0, 40.0],
            shares: Some([0.95, 0.025, 0.025]),
            level: 0.8,
        },
        DivisionCase {
            name: "a tenth of the upstreams and a third of the callers",
            free: [16.0, 16.0, 16.0],
            bound: [0.0; 3],
            rooms: [10.0, 45.0, 45.0],
            shares: Some([0.3, 0.35, 0.35]),
            level: 0.8,
        },
        DivisionCase {
            name: "overload: all callers are served to the same degree",
            free: [50.0, 50.0, 50.0],
            bound: [0.0; 3],
            rooms: [20.0, 40.0, 40.0],
            shares: Some([0.6, 0.2, 0.2]),
            level: 1.65,
        },
        DivisionCase {
            name: "the other regions' callers fall, and the region takes work",
            free: [5.0, 60.0, 10.0],
            bound: [0.0; 3],
            rooms: [50.0, 50.0, 50.0],
            shares: Some([0.954, 0.0174, 0.0285]),
            level: 0.8,
        },
        DivisionCase {
            name: "requests with one home fill the region before the others",
            free: [20.0, 10.0, 10.0],
            bound: [32.0, 0.0, 0.0],
            rooms: [40.0, 40.0, 40.0],
            shares: Some([0.0, 0.5, 0.5]),
            level: 0.8,
        },
        DivisionCase {
            name: "a region is lost",
            free: [30.0, 30.0, 0.0],
            bound: [0.0, 0.0, 9.0],
            rooms: [30.0, 45.0, 0.0],
            shares: Some([0.836, 0.164, 0.0]),
            level: 0.88,
        },
        DivisionCase {
            name: "no region has room",
            free: [30.0, 30.0, 30.0],
            bound: [0.0; 3],
            rooms: [0.0; 3],
            shares: None,
            level: 0.0,
        },
        DivisionCase {
            name: "no demand is known yet",
            free: [0.2, 0.1, 0.1],
            bound: [0.0; 3],
            rooms: [40.0, 40.0, 40.0],
            shares: None,
            level: 0.0,
        },
        DivisionCase {
            name: "a region without callers keeps the first one",
            free: [0.0, 20.0, 20.0],
            bound: [0.0; 3],
            rooms: [40.0, 40.0, 40.0],
            shares: Some([0.95, 0.025, 0.025]),
            level: 0.8,
        },
    ];
    for case in cases {
        let mut demands: Arena<RegionKey, Vec<PoolDemand>> = case
            .free
            .iter()
            .map(|slots| vec![demand(RegionSet::ANY, *slots)])
            .collect();
        for (index, slots) in case.bound.into_iter().enumerate() {
            demands[region(1)].push(demand(only(index), slots));
        }
        let division = divide_demand(region(0), &demands, &sizes(case.rooms));
        let Some(expected) = case.shares else {
            assert!(division.is_none(), "{}", case.name);
            continue;
        };
        let division = division.expect(case.name);
        assert!((division.level - case.level).abs() < 1e-3, "{}", case.name);
        for (index, share) in expected.into_iter().enumerate() {
            let divided = division.shares[region(index)];
            assert!((divided - share).abs() < 1e-3, "{}: {divided}", case.name);
        }
    }
}

/// Guards against demand of a region that is forgotten while it is cut off, and against lost slots that count on.
#[test]
fn a_silent_region_keeps_its_demand_and_lost_slots_count_at_once() {
    let mut table = DemandTable::new(3);
    let report = |index| InstanceReport {
        region: region(index),
        demands: vec![demand(RegionSet::ANY, 12.0)],
    };
    let start = MonotonicTime::default() + Duration::from_secs(5);
    table.sum(&[report(0), report(1), report(1)], start);
    assert!(!table.is_settled(start + Duration::from_secs(3)));
    table.sum(&[report(0)], start + Duration::from_secs(5));
    assert!(table.is_settled(start + Duration::from_secs(5)));
    let slots = |table: &DemandTable, index| {
        let demands = table.demands(POOL);
        let demands = demands[region(index)].iter();
        demands.map(|demand| demand.slots).sum::<f64>()
    };
    assert!((slots(&table, 0) - 12.0).abs() < 1e-9);
    assert!((slots(&table, 1) - 24.0).abs() < 1e-9);
    let rooms = |slots, present| -> Arena<RegionKey, RegionRoom> {
        let room = RegionRoom {
            slots,
            present,
            cold: 0.0,
        };
        [room; 3].into_iter().collect()
    };
    table.average_rooms(POOL, &rooms(20, 20.0), start);
    let slow = table.average_rooms(POOL, &rooms(20, 10.0), start + TICK);
    assert!(slow[region(0)] > 19.0, "a slow moment: {}", slow[region(0)]);
    let lost = table.average_rooms(POOL, &rooms(5, 5.0), start + 2 * TICK);
    assert!(lost[region(0)] < 5.1, "lost slots: {}", lost[region(0)]);
}

/// Guards against offered work that is lost or counted for the wrong regions, also where there are many sets of them.
#[test]
fn offered_work_is_counted_by_the_regions_where_it_may_run() {
    let work = OfferedWork::default();
    for set in 0..40 {
        work.count(RegionSet::from_bits(set), TICK);
        work.count(RegionSet::from_bits(1), TICK);
    }
    let totals = work.totals();
    assert!(totals.len() <= 16);
    let first = totals.iter().find(|total| total.regions == only(0));
    assert_eq!(first.map(|total| total.busy), Some(41 * TICK));
    assert_eq!(
        totals.iter().map(|total| total.busy).sum::<Duration>(),
        80 * TICK
    );
}

/// Demand of the region's callers at a time, in slots.
type DemandAt = fn(usize, Duration) -> f64;

struct WaveCase {
    name: &'static str,
    demand: DemandAt,
    /// Age of the reports of other regions.
    report_age: Duration,
    /// Time in which no reports of other regions arrive.
    cut: [Duration; 2],
    /// Largest load of a region in demand per room after the first seconds.
    max_load: f64,
}

const WAVE_ROOMS: Regions<u32> = [40, 216, 176];

/// Waves of 36 s in three phases, each third of the callers.
fn wave(index: usize, time: Duration) -> f64 {
    #[expect(clippy::cast_precision_loss)]
    let phase = 0.3 + index as f64 / 3.0;
    let turn = time.as_secs_f64() / 36.0 + phase;
    100.0 * (1.0 + 0.55 * (TAU * turn).sin())
}

/// The waves with 0.8 of one domain's callers, of two, moved from the third region to the first one for 7 s.
fn shifted_wave(index: usize, time: Duration) -> f64 {
    let moved = if (10..17).contains(&time.as_secs()) {
        0.4 * wave(2, time)
    } else {
        0.0
    };
    match index {
        0 => wave(0, time) + moved,
        2 => wave(2, time) - moved,
        _ => wave(index, time),
    }
}

/// Guards against shares that swing, that move faster than allowed, and that leave one region overloaded while others
/// have room.
#[test]
fn shares_follow_waves_and_shifts_without_swinging() {
    let cases = [
        WaveCase {
            name: "waves",
            demand: wave,
            report_age: TICK,
            cut: [Duration::ZERO; 2],
            max_load: 1.0,
        },
        WaveCase {
            name: "waves, late reports",
            demand: wave,
            report_age: Duration::from_secs(2),
            cut: [Duration::ZERO; 2],
            max_load: 1.05,
        },
        WaveCase {
            name: "waves, reports cut for 5 s",
            demand: wave,
            report_age: TICK,
            cut: [Duration::from_secs(15), Duration::from_secs(20)],
            max_load: 1.2,
        },
        WaveCase {
            name: "a shift",
            demand: shifted_wave,
            report_age: TICK,
            cut: [Duration::ZERO; 2],
            max_load: 1.05,
        },
        WaveCase {
            name: "a shift, late reports",
            demand: shifted_wave,
            report_age: Duration::from_secs(2),
            cut: [Duration::ZERO; 2],
            max_load: 1.05,
        },
    ];
    for case in cases {
        let mut fleet = WaveModel::new();
        let mut history: VecDeque<Regions<f64>> = VecDeque::new();
        let mut turns: Regions<u32> = [0; 3];
        let mut directions: Regions<f64> = [0.0; 3];
        let mut extremes: Regions<f64> = [0.0; 3];
        for tick in 0..720 {
            let time = tick * TICK;
            fleet.tick(time, &case);
            let own = [0, 1, 2].map(|index| fleet.share(index, index));
            for index in 0..3 {
                // A turn counts once the share has moved by 5 in 100 against its last direction.
                let moved = own[index] - extremes[index];
                if tick == 0 || moved * directions[index] > 0.0 {
                    extremes[index] = own[index];
                } else if moved.abs() > 0.05 {
                    turns[index] += u32::from(directions[index] != 0.0);
                    directions[index] = moved.signum();
                    extremes[index] = own[index];
                }
            }
            history.push_back(own);
            if history.len() > 20 {
                let before = history.pop_front().unwrap();
                for index in 0..3 {
                    let moved = (own[index] - before[index]).abs();
                    assert!(moved <= MAX_CHANGE, "{}: {moved} at {time:?}", case.name);
                }
            }
            if time > Duration::from_secs(8) {
                let load = fleet.max_load(time, &case);
                assert!(load <= case.max_load, "{}: {load} at {time:?}", case.name);
            }
        }
        // Two periods have four turns; the shift adds two.
        assert!(
            turns.iter().all(|turns| *turns <= 6),
            "{}: {turns:?}",
            case.name
        );
    }
}

/// One instance for each region, each with its own table and spread.
struct WaveModel {
    tables: Vec<DemandTable>,
    spreads: Vec<RegionSpread>,
}

impl WaveModel {
    fn new() -> Self {
        let hashes = || (0..3_u8).map(|index| stable_hash(&[index])).collect();
        Self {
            tables: (0..3).map(|_| DemandTable::new(3)).collect(),
            spreads: (0..3).map(|_| RegionSpread::new(hashes())).collect(),
        }
    }

    fn tick(&mut self, time: Duration, case: &WaveCase) {
        let now = MonotonicTime::default() + Duration::from_secs(9) + time;
        let is_cut = (case.cut[0]..case.cut[1]).contains(&time);
        let load = |slots| RegionLoad {
            slots,
            in_flight: 0,
            domains: 2,
        };
        let loads = WAVE_ROOMS.into_iter().map(load).collect();
        let rooms = sizes(WAVE_ROOMS.map(f64::from));
        for own in 0..3 {
            let heard = (0..3).filter(|index| *index == own || !is_cut);
            let report = |index: usize| {
                let age = if index == own {
                    Duration::ZERO
                } else {
                    case.report_age
                };
                let slots = (case.demand)(index, time.saturating_sub(age));
                InstanceReport {
                    region: region(index),
                    demands: vec![demand(RegionSet::ANY, slots)],
                }
            };
            let reports: Vec<InstanceReport> = heard.map(report).collect();
            self.tables[own].sum(&reports, now);
            let division = divide_demand(region(own), &self.tables[own].demands(POOL), &rooms);
            let input = SpreadInput {
                local_region: region(own),
                has_large_bodies: false,
                objective: 10 * TICK,
                loads: &loads,
                warm_times: &[TICK; 3].into_iter().collect(),
                division: division.as_ref(),
            };
            self.spreads[own].update(&input, now);
            self.spreads[own].region(1, |_| true);
        }
    }

    fn share(&self, callers: usize, run: usize) -> f64 {
        self.spreads[callers].shares()[region(run)]
    }

    /// Returns the largest demand per room of the regions.
    fn max_load(&self, time: Duration, case: &WaveCase) -> f64 {
        let load = |run: usize| {
            let demands =
                (0..3).map(|callers| (case.demand)(callers, time) * self.share(callers, run));
            demands.sum::<f64>() / f64::from(WAVE_ROOMS[run])
        };
        (0..3).map(load).fold(0.0, f64::max)
    }
}
