//! Division of a route's requests over the regions.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, ArenaKey, RegionKey};
use coltsfootkeel_steering::{RegionLoad, RegionSpread, SpreadInput, stable_hash};

const MS: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(100);
/// Largest fraction of the requests that may change the region within a second, with room for rounding.
const MAX_CHANGE_PER_S: f64 = 0.05;

/// The values of the three regions; the callers are in the first one.
type Regions<T> = [T; 3];

#[derive(Clone, Copy)]
struct PoolState {
    slots: Regions<u32>,
    in_flight: Regions<u32>,
    warm_ms: Regions<u32>,
}

const CALM: PoolState = PoolState {
    slots: [30, 60, 60],
    in_flight: [10, 20, 20],
    warm_ms: [190, 300, 300],
};

fn new_spread() -> RegionSpread {
    let names = ["coast", "lake", "ridge"].into_iter();
    RegionSpread::new(names.map(|name| stable_hash(name.as_bytes())).collect())
}

fn update(spread: &RegionSpread, state: PoolState, now: MonotonicTime) {
    let loads: Arena<RegionKey, RegionLoad> = (0..3)
        .map(|index| RegionLoad {
            slots: state.slots[index],
            in_flight: state.in_flight[index],
            domains: 2,
        })
        .collect();
    let warm_times: Arena<RegionKey, Duration> = state
        .warm_ms
        .into_iter()
        .map(|milliseconds| milliseconds * MS)
        .collect();
    let input = SpreadInput {
        local_region: RegionKey::from_index(0),
        has_large_bodies: false,
        objective: 500 * MS,
        loads: &loads,
        warm_times: &warm_times,
        division: None,
    };
    spread.update(&input, now);
}

/// Returns the fraction of 4,000 objects that is assigned to each region.
fn assigned(spread: &RegionSpread, open: &[usize]) -> Regions<f64> {
    let mut shares = [0.0; 3];
    for object in 0..4_000_u64 {
        let object = stable_hash(&object.to_le_bytes());
        let region = spread.region(object, |region| open.contains(&region.index()));
        shares[region.unwrap().index()] += 1.0 / 4_000.0;
    }
    shares
}

struct SpreadCase {
    name: &'static str,
    change: fn(PoolState) -> PoolState,
    /// Range of the own region's share one tick after the change, and 60 s after it.
    soon: [f64; 2],
    later: [f64; 2],
    /// Whether objects move at once because upstreams were lost.
    is_loss: bool,
}

/// Guards against requests that change their region together when a signal that all instances share crosses a
/// threshold, and against requests that stay with lost upstreams.
#[test]
fn shares_change_gradually_except_for_losses() {
    let cases = [
        SpreadCase {
            name: "nothing changes",
            change: |state| state,
            soon: [0.55, 0.65],
            later: [0.55, 0.65],
            is_loss: false,
        },
        SpreadCase {
            name: "the own region is overloaded",
            change: |state| PoolState {
                in_flight: [40, 20, 20],
                ..state
            },
            soon: [0.55, 0.65],
            later: [0.0, 0.25],
            is_loss: false,
        },
        SpreadCase {
            name: "all regions are overloaded",
            change: |state| PoolState {
                in_flight: [40, 80, 80],
                ..state
            },
            soon: [0.55, 0.65],
            later: [0.55, 0.65],
            is_loss: false,
        },
        SpreadCase {
            name: "the other regions become too far",
            change: |state| PoolState {
                warm_ms: [190, 450, 450],
                ..state
            },
            soon: [0.55, 0.65],
            later: [0.95, 1.0],
            is_loss: false,
        },
        SpreadCase {
            name: "upstreams are added in the own region",
            change: |state| PoolState {
                slots: [90, 60, 60],
                ..state
            },
            soon: [0.55, 0.65],
            later: [0.9, 1.0],
            is_loss: false,
        },
        SpreadCase {
            name: "the own region is lost",
            change: |state| PoolState {
                slots: [0, 60, 60],
                in_flight: [0, 20, 20],
                ..state
            },
            soon: [0.0, 0.001],
            later: [0.0, 0.001],
            is_loss: true,
        },
        SpreadCase {
            name: "another region is lost",
            change: |state| PoolState {
                slots: [30, 60, 0],
                in_flight: [10, 20, 0],
                ..state
            },
            soon: [0.75, 0.85],
            later: [0.9, 1.0],
            is_loss: true,
        },
    ];
    for case in cases {
        let spread = new_spread();
        let mut now = MonotonicTime::default() + Duration::from_secs(10);
        update(&spread, CALM, now);
        let mut previous = assigned(&spread, &[0, 1, 2]);
        let changed = (case.change)(CALM);
        for tick in 0..600 {
            now = now + TICK;
            update(&spread, changed, now);
            let is_second = tick % 10 == 9;
            if tick != 0 && !is_second {
                continue;
            }
            let shares = assigned(&spread, &[0, 1, 2]);
            let moved = (shares[0] - previous[0]).abs();
            if !case.is_loss {
                assert!(moved <= MAX_CHANGE_PER_S, "{}: {moved}", case.name);
            }
            let [low, high] = if tick == 0 { case.soon } else { case.later };
            if tick == 0 || tick == 599 {
                let share = shares[0];
                assert!((low..=high).contains(&share), "{}: {share}", case.name);
            }
            previous = shares;
        }
    }
}

/// Guards against a start at which all objects move: the list of upstreams arrives in parts, before the first request.
#[test]
fn a_spread_takes_its_target_until_it_is_used() {
    let spread = new_spread();
    let now = MonotonicTime::default() + Duration::from_secs(10);
    let first = PoolState {
        slots: [3, 0, 0],
        ..CALM
    };
    update(&spread, first, now);
    update(&spread, CALM, now + MS);
    let share = assigned(&spread, &[0, 1, 2])[0];
    assert!((0.55..0.65).contains(&share), "{share}");
}

/// Guards against requests that have nowhere to run because their region has no upstream for them, and against objects
/// of the other regions that move with them.
#[test]
fn requests_of_a_closed_region_go_to_the_others() {
    let spread = new_spread();
    update(&spread, CALM, MonotonicTime::default());
    let none = spread.region(1, |_| false);
    assert_eq!(none.map(ArenaKey::index), None);
    for object in 0..200 {
        let region = |open: &[usize]| {
            let found = spread.region(object, |region| open.contains(&region.index()));
            found.unwrap().index()
        };
        let before = region(&[0, 1, 2]);
        let after = region(&[1, 2]);
        assert!(before == 0 || before == after, "object {object}");
    }
}

/// Guards against a region whose returned upstreams attract all its objects at once.
#[test]
fn objects_return_gradually_after_a_loss() {
    let spread = new_spread();
    let start = MonotonicTime::default() + Duration::from_secs(10);
    update(&spread, CALM, start);
    assigned(&spread, &[0, 1, 2]);
    let lost = PoolState {
        slots: [0, 60, 60],
        ..CALM
    };
    update(&spread, lost, start + TICK);
    update(&spread, CALM, start + 2 * TICK);
    let share = assigned(&spread, &[0, 1, 2])[0];
    assert!(share < 0.01, "{share}");
    for tick in 3..13 {
        update(&spread, CALM, start + tick * TICK);
    }
    let share = assigned(&spread, &[0, 1, 2])[0];
    assert!((0.005..MAX_CHANGE_PER_S).contains(&share), "{share}");
}
