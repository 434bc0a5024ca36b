//! Selection of the upstream for a request.

#[allow(dead_code, reason = "each test file uses a part of the cases")]
mod placement_cases;

use std::time::Duration;

use coltsfootkeel_steering::{PlacementReason, PlacementRequest, TimeEstimate, UpstreamCandidate};
use placement_cases::{ChoiceCase, MS, candidate, check_choices, request};

/// Guards against requests to cold upstreams while a warm one answers in time, and against a collapse of the throughput
/// when additional upstreams for an object take the capacity of the warm ones.
#[test]
fn requests_use_cold_upstreams_only_with_free_capacity() {
    let full = |key| UpstreamCandidate {
        in_flight: 23,
        ..candidate(key)
    };
    let warm = |candidate| UpstreamCandidate {
        is_warm: true,
        ..candidate
    };
    let cases = [
        ChoiceCase {
            name: "a short queue at a warm upstream is better than a free slot at a cold one",
            request: request(),
            candidates: vec![
                warm(UpstreamCandidate {
                    in_flight: 12,
                    ..candidate("warm")
                }),
                candidate("free"),
            ],
            chosen: Some("warm"),
        },
        ChoiceCase {
            name: "an object that is warm at no upstream goes to the first in its preference order",
            request: request(),
            candidates: vec![
                candidate("second"),
                UpstreamCandidate {
                    rendezvous_hash: u64::MAX,
                    ..candidate("first")
                },
            ],
            chosen: Some("first"),
        },
        ChoiceCase {
            name: "a full warm upstream in a pool with free capacity: a cold upstream",
            request: request(),
            candidates: vec![
                warm(full("warm")),
                candidate("a"),
                candidate("b"),
                candidate("c"),
            ],
            chosen: Some("a"),
        },
        ChoiceCase {
            name: "a full warm upstream in a loaded pool: the request is queued",
            request: request(),
            candidates: vec![
                warm(full("warm")),
                UpstreamCandidate {
                    in_flight: 8,
                    ..candidate("a")
                },
            ],
            chosen: None,
        },
        ChoiceCase {
            name: "a late retry uses a free slot at a warm upstream",
            request: PlacementRequest {
                objective_left: Duration::ZERO,
                ..request()
            },
            candidates: vec![warm(candidate("warm")), candidate("cold")],
            chosen: Some("warm"),
        },
        ChoiceCase {
            name: "a late retry is not sent to an upstream without a free slot",
            request: PlacementRequest {
                objective_left: Duration::ZERO,
                ..request()
            },
            candidates: vec![warm(UpstreamCandidate {
                in_flight: 9,
                ..candidate("warm")
            })],
            chosen: None,
        },
    ];
    check_choices(cases);
}

/// Guards against new objects that evict objects in use, and against a route that receives no requests any more because
/// its answers took long once.
#[test]
fn new_objects_use_free_cache_space_and_free_slots() {
    let full_cache = |key| UpstreamCandidate {
        is_cache_full: true,
        ..candidate(key)
    };
    let full_warm = UpstreamCandidate {
        is_warm: true,
        in_flight: 23,
        ..candidate("warm")
    };
    let cases = [
        ChoiceCase {
            name: "a new object goes to an upstream with free cache space",
            request: request(),
            candidates: vec![
                UpstreamCandidate {
                    rendezvous_hash: u64::MAX,
                    ..full_cache("full cache")
                },
                candidate("free cache"),
            ],
            chosen: Some("free cache"),
        },
        ChoiceCase {
            name: "a late request is not sent to a cold upstream with a full cache",
            request: request(),
            candidates: vec![
                full_warm,
                full_cache("full cache"),
                full_cache("full cache too"),
            ],
            chosen: None,
        },
        ChoiceCase {
            name: "a loaded pool with full caches serves only cached objects",
            request: request(),
            candidates: vec![UpstreamCandidate {
                in_flight: 8,
                ..full_cache("full cache")
            }],
            chosen: None,
        },
        ChoiceCase {
            name: "a probe uses a free slot although recent answers took longer than the deadline",
            request: request(),
            candidates: vec![UpstreamCandidate {
                times: TimeEstimate {
                    warm: 5_000 * MS,
                    cold: 10_000 * MS,
                },
                ..candidate("idle")
            }],
            chosen: Some("idle"),
        },
        ChoiceCase {
            name: "a request with little time left is not a probe",
            request: PlacementRequest {
                objective_left: 100 * MS,
                deadline_left: 300 * MS,
                ..request()
            },
            candidates: vec![candidate("idle")],
            chosen: None,
        },
    ];
    check_choices(cases);
}

/// Guards against requests that are sent although they cannot be answered in time, and against objects that stay at an
/// upstream which is too far, too slow or late in their preference order.
#[test]
fn objects_migrate_to_upstreams_that_serve_them_in_time() {
    let warm = |candidate| UpstreamCandidate {
        is_warm: true,
        ..candidate
    };
    let cases = [
        ChoiceCase {
            name: "a request that would miss its deadline is not sent",
            request: PlacementRequest {
                deadline_left: 500 * MS,
                ..request()
            },
            candidates: vec![candidate("cold")],
            chosen: None,
        },
        ChoiceCase {
            name: "a cold nearby upstream replaces a warm one that is too far for the objective",
            request: PlacementRequest {
                objective: 400 * MS,
                objective_left: 390 * MS,
                ..request()
            },
            candidates: vec![
                warm(UpstreamCandidate {
                    is_assigned_region: false,
                    times: TimeEstimate {
                        warm: 420 * MS,
                        cold: 860 * MS,
                    },
                    ..candidate("far")
                }),
                candidate("nearby"),
            ],
            chosen: Some("nearby"),
        },
        ChoiceCase {
            name: "a request that can be sent twice moves its object to a preferred upstream",
            request: PlacementRequest {
                may_migrate: true,
                ..request()
            },
            candidates: vec![
                warm(candidate("second")),
                UpstreamCandidate {
                    rendezvous_hash: u64::MAX,
                    ..candidate("first")
                },
            ],
            chosen: Some("first"),
        },
        ChoiceCase {
            name: "a very slow upstream receives no new objects",
            request: request(),
            candidates: vec![
                UpstreamCandidate {
                    rendezvous_hash: (1 << 63) + (1 << 60),
                    slowness: 5.0,
                    ..candidate("slow")
                },
                candidate("normal"),
            ],
            chosen: Some("normal"),
        },
    ];
    check_choices(cases);
}

/// Guards against a preference order that depends on the current load: after a restart, instances would not find the
/// upstreams that have the objects cached.
#[test]
fn the_preference_order_does_not_depend_on_load() {
    for object in 0..200_u64 {
        let pool = |in_flight| {
            (0..8_u64).map(move |upstream| UpstreamCandidate {
                key: upstream,
                rendezvous_hash: coltsfootkeel_steering::combine_hashes(object, upstream),
                is_assigned_region: upstream < 3,
                times: TimeEstimate {
                    warm: 200 * MS,
                    cold: 640 * MS,
                },
                in_flight,
                slots: 9,
                is_cache_full: false,
                is_warm: false,
                slowness: 1.0 + 0.05 * f64::from(u32::try_from(upstream).unwrap()),
                cost_factor: 1.0,
            })
        };
        let key = |in_flight| request().choose(pool(in_flight)).map(|best| best.key);
        assert_eq!(key(0), key(8), "object {object}");
    }
}

struct ReasonCase {
    name: &'static str,
    may_migrate: bool,
    candidates: Vec<UpstreamCandidate<&'static str>>,
    reason: PlacementReason,
    preferred: &'static str,
}

/// Guards against logs and metrics that do not tell an object that is placed where it prefers from one that leaves its
/// preferred upstreams because they are full.
#[test]
fn the_reason_tells_why_a_request_leaves_its_preferred_upstream() {
    let first = |in_flight, is_warm| UpstreamCandidate {
        rendezvous_hash: u64::MAX,
        in_flight,
        is_warm,
        ..candidate("first")
    };
    let warm_second = |in_flight| UpstreamCandidate {
        in_flight,
        is_warm: true,
        ..candidate("second")
    };
    let cases = [
        ReasonCase {
            name: "an idle preferred upstream",
            may_migrate: false,
            candidates: vec![first(0, false), candidate("second")],
            reason: PlacementReason::New,
            preferred: "first",
        },
        ReasonCase {
            name: "a full preferred upstream",
            may_migrate: false,
            candidates: vec![first(12, false), candidate("second")],
            reason: PlacementReason::Overflow,
            preferred: "first",
        },
        ReasonCase {
            name: "a warm upstream that is not the preferred one",
            may_migrate: false,
            candidates: vec![first(0, false), warm_second(0)],
            reason: PlacementReason::Warm,
            preferred: "first",
        },
        ReasonCase {
            name: "a return to the preferred upstream",
            may_migrate: true,
            candidates: vec![first(0, false), warm_second(0)],
            reason: PlacementReason::Migration,
            preferred: "first",
        },
        ReasonCase {
            name: "a full warm upstream in a pool with free capacity",
            may_migrate: false,
            candidates: vec![first(18, true), candidate("second"), candidate("third")],
            reason: PlacementReason::Expansion,
            preferred: "first",
        },
        ReasonCase {
            name: "a slow warm upstream with a free slot, and no other one",
            may_migrate: false,
            candidates: vec![
                UpstreamCandidate {
                    slowness: 3.0,
                    ..first(8, true)
                },
                UpstreamCandidate {
                    in_flight: 12,
                    ..candidate("second")
                },
            ],
            reason: PlacementReason::Late,
            preferred: "second",
        },
    ];
    for case in cases {
        let request = PlacementRequest {
            may_migrate: case.may_migrate,
            ..request()
        };
        let decision = request.choose(case.candidates.into_iter()).unwrap();
        assert_eq!(decision.reason, case.reason, "{}", case.name);
        assert_eq!(decision.preferred, case.preferred, "{}", case.name);
    }
}
