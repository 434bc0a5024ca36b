//! The choice of an upstream for a request.

use std::time::Duration;

use coltsfootkeel_steering::{PlacementRequest, TimeEstimate, UpstreamCandidate};

const MS: Duration = Duration::from_millis(1);

/// A candidate with nine slots, 200 ms warm and 640 ms cold.
fn place(key: &'static str) -> UpstreamCandidate<&'static str> {
    UpstreamCandidate {
        key,
        rendezvous_hash: 1 << 63,
        is_local_region: false,
        times: TimeEstimate {
            warm: 200 * MS,
            cold: 640 * MS,
        },
        in_flight: 0,
        slots: 9,
        is_warm: false,
        is_cache_full: false,
        slowness: 1.0,
    }
}

fn task() -> PlacementRequest {
    PlacementRequest {
        slot_time: 200 * MS,
        objective: 500 * MS,
        objective_left: 490 * MS,
        deadline_left: 3_000 * MS,
        has_large_bodies: false,
        may_migrate: false,
    }
}

struct ChoiceCase {
    name: &'static str,
    task: PlacementRequest,
    candidates: Vec<UpstreamCandidate<&'static str>>,
    chosen: Option<&'static str>,
}

/// Guards against work at cold upstreams while a warm one answers in time, and against collapse when new places take the
/// capacity of the warm ones.
#[test]
fn requests_go_to_warm_upstreams_and_open_new_places_only_with_room() {
    let full = |key| UpstreamCandidate {
        in_flight: 23,
        ..place(key)
    };
    let warm = |candidate| UpstreamCandidate {
        is_warm: true,
        ..candidate
    };
    let cases = [
        ChoiceCase {
            name: "a short queue at a warm upstream beats a free slot elsewhere",
            task: task(),
            candidates: vec![
                warm(UpstreamCandidate {
                    in_flight: 12,
                    ..place("warm")
                }),
                place("free"),
            ],
            chosen: Some("warm"),
        },
        ChoiceCase {
            name: "an object that is warm nowhere goes to the first in its order",
            task: task(),
            candidates: vec![
                place("second"),
                UpstreamCandidate {
                    rendezvous_hash: u64::MAX,
                    ..place("first")
                },
            ],
            chosen: Some("first"),
        },
        ChoiceCase {
            name: "a full warm upstream in a pool with room: a new place",
            task: task(),
            candidates: vec![warm(full("warm")), place("a"), place("b"), place("c")],
            chosen: Some("a"),
        },
        ChoiceCase {
            name: "a full warm upstream in a loaded pool: wait",
            task: task(),
            candidates: vec![
                warm(full("warm")),
                UpstreamCandidate {
                    in_flight: 8,
                    ..place("a")
                },
            ],
            chosen: None,
        },
        ChoiceCase {
            name: "a request that came back late uses a free warm slot",
            task: PlacementRequest {
                objective_left: Duration::ZERO,
                ..task()
            },
            candidates: vec![warm(place("warm")), place("new")],
            chosen: Some("warm"),
        },
        ChoiceCase {
            name: "a request that came back late does not queue before others",
            task: PlacementRequest {
                objective_left: Duration::ZERO,
                ..task()
            },
            candidates: vec![warm(UpstreamCandidate {
                in_flight: 9,
                ..place("warm")
            })],
            chosen: None,
        },
    ];
    check_choices(cases);
}

/// Guards against new objects that push out those in use, and against a route that is not sent anywhere any more because its
/// answers once took long.
#[test]
fn new_objects_take_free_memory_and_free_slots() {
    let crowded = |key| UpstreamCandidate {
        is_cache_full: true,
        ..place(key)
    };
    let full_warm = UpstreamCandidate {
        is_warm: true,
        in_flight: 23,
        ..place("warm")
    };
    let cases = [
        ChoiceCase {
            name: "a new object goes where nothing is forgotten for it",
            task: task(),
            candidates: vec![
                UpstreamCandidate {
                    rendezvous_hash: u64::MAX,
                    ..crowded("crowded")
                },
                place("room"),
            ],
            chosen: Some("room"),
        },
        ChoiceCase {
            name: "a late request opens no place where another object is forgotten for it",
            task: task(),
            candidates: vec![full_warm, crowded("crowded"), crowded("crowded too")],
            chosen: None,
        },
        ChoiceCase {
            name: "a loaded pool that remembers no more objects serves those it remembers",
            task: task(),
            candidates: vec![UpstreamCandidate {
                in_flight: 8,
                ..crowded("crowded")
            }],
            chosen: None,
        },
        ChoiceCase {
            name: "a free slot is tried although answers took longer than the deadline lately",
            task: task(),
            candidates: vec![UpstreamCandidate {
                times: TimeEstimate {
                    warm: 5_000 * MS,
                    cold: 10_000 * MS,
                },
                ..place("idle")
            }],
            chosen: Some("idle"),
        },
        ChoiceCase {
            name: "a request with little time left is no trial",
            task: PlacementRequest {
                objective_left: 100 * MS,
                deadline_left: 300 * MS,
                ..task()
            },
            candidates: vec![place("idle")],
            chosen: None,
        },
    ];
    check_choices(cases);
}

/// Guards against requests that are sent where they cannot be answered in time, and against objects that stay at a place
/// which is too far, too slow or late in their order.
#[test]
fn objects_move_to_places_that_serve_them_in_time() {
    let warm = |candidate| UpstreamCandidate {
        is_warm: true,
        ..candidate
    };
    let cases = [
        ChoiceCase {
            name: "nothing is sent that the deadline would cut",
            task: PlacementRequest {
                deadline_left: 500 * MS,
                ..task()
            },
            candidates: vec![place("cold")],
            chosen: None,
        },
        ChoiceCase {
            name: "a warm upstream too far for the objective gives way to a near one",
            task: PlacementRequest {
                objective: 400 * MS,
                objective_left: 390 * MS,
                ..task()
            },
            candidates: vec![
                warm(UpstreamCandidate {
                    times: TimeEstimate {
                        warm: 420 * MS,
                        cold: 860 * MS,
                    },
                    ..place("far")
                }),
                UpstreamCandidate {
                    is_local_region: true,
                    ..place("near")
                },
            ],
            chosen: Some("near"),
        },
        ChoiceCase {
            name: "a request that can be sent twice moves its object up in its order",
            task: PlacementRequest {
                may_migrate: true,
                ..task()
            },
            candidates: vec![
                warm(place("second")),
                UpstreamCandidate {
                    rendezvous_hash: u64::MAX,
                    ..place("first")
                },
            ],
            chosen: Some("first"),
        },
        ChoiceCase {
            name: "a very slow upstream attracts no new objects",
            task: task(),
            candidates: vec![
                UpstreamCandidate {
                    rendezvous_hash: (1 << 63) + (1 << 60),
                    slowness: 5.0,
                    ..place("slow")
                },
                place("sound"),
            ],
            chosen: Some("sound"),
        },
    ];
    check_choices(cases);
}

fn check_choices<const COUNT: usize>(cases: [ChoiceCase; COUNT]) {
    for case in cases {
        let choice = case.task.choose(case.candidates.into_iter());
        assert_eq!(
            choice.map(|choice| choice.key),
            case.chosen,
            "{}",
            case.name
        );
    }
}

/// Guards against an order that depends on the load of the moment: after a restart, instances would not find the places
/// at which objects are warm.
#[test]
fn the_order_of_an_idle_pool_is_that_of_a_busy_one() {
    for object in 0..200_u64 {
        let pool = |in_flight| {
            (0..8_u64).map(move |upstream| UpstreamCandidate {
                key: upstream,
                rendezvous_hash: coltsfootkeel_steering::combine_hashes(object, upstream),
                is_local_region: upstream < 3,
                times: TimeEstimate {
                    warm: 200 * MS,
                    cold: 640 * MS,
                },
                in_flight,
                slots: 9,
                is_cache_full: false,
                is_warm: false,
                slowness: 1.0 + 0.05 * f64::from(u32::try_from(upstream).unwrap()),
            })
        };
        let key = |in_flight| task().choose(pool(in_flight)).map(|choice| choice.key);
        assert_eq!(key(0), key(8), "object {object}");
    }
}
