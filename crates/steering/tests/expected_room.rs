//! When a request or a refused caller is expected to get a slot.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    ForecastCandidate, PlacementRequest, QueueLoad, ReturnSchedule, TimeEstimate,
    UpstreamCandidate, expected_turn, turn_time,
};

const MS: Duration = Duration::from_millis(1);

struct TurnCase {
    name: &'static str,
    own: QueueLoad,
    others: QueueLoad,
    capacity_per_s: f64,
    turn_ms: f64,
}

/// Guards against requests that wait for slots which the queues of other instances take, and against refusals while slots
/// are idle because nothing was completed yet, as after a restart of all instances.
#[test]
fn turns_follow_from_the_room_of_all_instances() {
    let demand = |waiting, oldest_ms: u32, completed_per_s| QueueLoad {
        waiting,
        oldest_wait: MS * oldest_ms,
        completed_per_s,
    };
    let case = |name, own, others, capacity_per_s, turn_ms| TurnCase {
        name,
        own,
        others,
        capacity_per_s,
        turn_ms,
    };
    let idle = demand(0, 0, 0.0);
    let cases = [
        case("after a restart", idle, idle, 200.0, 5.0),
        case("alone", demand(9, 300, 100.0), idle, 200.0, 10.0),
        case("a short queue", demand(9, 50, 100.0), idle, 200.0, 5.0),
        case(
            "a third waits here",
            demand(9, 300, 50.0),
            demand(20, 0, 50.0),
            200.0,
            30.0,
        ),
        case(
            "the others wait for long",
            idle,
            demand(9, 300, 100.0),
            200.0,
            100.0,
        ),
        case("no room at all", demand(9, 300, 0.0), idle, 0.0, 10_000.0),
    ];
    for case in cases {
        let turn = turn_time(case.own, case.others, case.capacity_per_s);
        let error = (turn.as_secs_f64() * 1_000.0 - case.turn_ms).abs();
        assert!(error < 0.1, "{}: {turn:?}", case.name);
    }
}

/// Guards against refused callers that all return at once, before there is room, or later than they follow a delay.
#[test]
fn refused_callers_return_one_behind_the_other() {
    let schedule = ReturnSchedule::default();
    let delay = || {
        schedule.delay(
            50 * MS,
            10 * MS,
            900 * MS,
            MonotonicTime::from_millis(1_000),
        )
    };
    let delays: Vec<Duration> = (0..26).map(|_| delay()).collect();
    assert_eq!(delays[0], 50 * MS);
    assert!(
        delays[..25].is_sorted_by(|a, b| *b == *a + 10 * MS),
        "{delays:?}"
    );
    assert!(delays.iter().all(|delay| *delay <= 300 * MS), "{delays:?}");
}

struct ForecastCase {
    name: &'static str,
    /// Requests in flight at the upstream where the object is warm and at the other one, and their slots.
    in_flight: [u32; 2],
    objective_left_ms: u32,
    deadline_left_ms: u32,
    is_cache_full: bool,
    /// Requests that compete for the same upstreams and have their turn before.
    ahead: f64,
    /// The expected turn within 180 ms, in milliseconds; `None` if there is none.
    turn_ms: Option<f64>,
}

/// Guards against requests that wait because the pool has room where it does not suit them, and against refusals of
/// requests that get a slot in time.
#[test]
fn turns_follow_from_the_upstreams_that_suit_a_request() {
    let case = |name, in_flight, times: [u32; 2], is_cache_full, ahead, turn_ms| ForecastCase {
        name,
        in_flight,
        objective_left_ms: times[0],
        deadline_left_ms: times[1],
        is_cache_full,
        ahead,
        turn_ms,
    };
    let cases = [
        case("room now", [7, 0], [400, 2_000], true, 0.0, Some(0.0)),
        case(
            "a run must end",
            [8, 8],
            [400, 2_000],
            true,
            0.0,
            Some(12.5),
        ),
        case(
            "others go first",
            [8, 8],
            [400, 2_000],
            true,
            3.0,
            Some(50.0),
        ),
        case("too many others", [8, 8], [400, 2_000], true, 20.0, None),
        // An answer after the objective needs a free slot, which comes after five runs.
        case("late", [8, 8], [120, 2_000], true, 0.0, Some(62.5)),
        case("after the deadline", [8, 8], [120, 150], true, 0.0, None),
        // The other upstream is idle, but a full cache admits no further object.
        case("room elsewhere", [11, 0], [120, 250], true, 0.0, None),
        case("a new place", [5, 0], [120, 2_000], false, 0.0, Some(30.0)),
    ];
    for case in cases {
        let ms = |ms: u32| MS * ms;
        let request = PlacementRequest {
            slot_time: ms(100),
            objective: ms(400),
            objective_left: ms(case.objective_left_ms),
            deadline_left: ms(case.deadline_left_ms),
            may_migrate: false,
            may_change_region: false,
        };
        let candidates = [0, 1].map(|key| ForecastCandidate {
            candidate: UpstreamCandidate {
                key,
                rendezvous_hash: key as u64,
                is_assigned_region: true,
                times: TimeEstimate {
                    warm: ms(100),
                    cold: ms(300),
                },
                in_flight: case.in_flight[key],
                slots: 4,
                is_warm: key == 0,
                is_cache_full: case.is_cache_full,
                slowness: 1.0,
                cost_factor: 1.0,
            },
            closed_for: Duration::ZERO,
        });
        let rooms = request.forecast_room(candidates.into_iter());
        let turn = expected_turn(&rooms, case.ahead, ms(180));
        let turn_ms = turn.map(|turn| turn.as_secs_f64() * 1_000.0);
        let is_near = match (turn_ms, case.turn_ms) {
            (Some(turn), Some(expected)) => (turn - expected).abs() < 0.5,
            (turn, expected) => turn == expected,
        };
        assert!(is_near, "{}: {turn_ms:?}, {rooms:?}", case.name);
    }
}
