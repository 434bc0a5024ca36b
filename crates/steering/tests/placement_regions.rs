//! Selection of the upstream when the assigned region is full, or the object is in another one.

#[allow(dead_code, reason = "each test file uses a part of the cases")]
mod placement_cases;

use coltsfootkeel_steering::{PlacementRequest, UpstreamCandidate};
use placement_cases::{ChoiceCase, candidate, check_choices, request};

/// Guards against a full region whose requests all leave it at once, and against objects that stay in another region
/// although theirs has capacity again.
#[test]
fn requests_leave_their_region_only_if_they_may() {
    let elsewhere = |candidate| UpstreamCandidate {
        is_assigned_region: false,
        ..candidate
    };
    let full = UpstreamCandidate {
        in_flight: 12,
        ..candidate("full")
    };
    let warm_elsewhere = UpstreamCandidate {
        is_warm: true,
        ..elsewhere(candidate("elsewhere"))
    };
    let stays = PlacementRequest {
        may_change_region: false,
        ..request()
    };
    let cases = [
        ChoiceCase {
            name: "the assigned region goes first, whatever the hash",
            request: request(),
            candidates: vec![
                candidate("assigned"),
                UpstreamCandidate {
                    rendezvous_hash: u64::MAX,
                    ..elsewhere(candidate("elsewhere"))
                },
            ],
            chosen: Some("assigned"),
        },
        ChoiceCase {
            name: "a full region: a request that may leaves it",
            request: request(),
            candidates: vec![full, elsewhere(candidate("elsewhere"))],
            chosen: Some("elsewhere"),
        },
        ChoiceCase {
            name: "a full region: a request that may not leave it waits",
            request: stays,
            candidates: vec![full, elsewhere(candidate("elsewhere"))],
            chosen: None,
        },
        ChoiceCase {
            name: "a warm upstream elsewhere serves a request that may leave",
            request: request(),
            candidates: vec![candidate("assigned"), warm_elsewhere],
            chosen: Some("elsewhere"),
        },
        ChoiceCase {
            name: "an object that is warm only elsewhere stays there",
            request: stays,
            candidates: vec![candidate("assigned"), warm_elsewhere],
            chosen: Some("elsewhere"),
        },
        ChoiceCase {
            name: "an object that is warm only elsewhere does not return with a request that may not change the region",
            request: PlacementRequest {
                may_migrate: true,
                ..stays
            },
            candidates: vec![candidate("assigned"), warm_elsewhere],
            chosen: Some("elsewhere"),
        },
        ChoiceCase {
            name: "an object that is late elsewhere returns",
            request: stays,
            candidates: vec![
                candidate("assigned"),
                UpstreamCandidate {
                    in_flight: 23,
                    ..warm_elsewhere
                },
            ],
            chosen: Some("assigned"),
        },
        ChoiceCase {
            name: "an object that is warm in both regions runs in the assigned one, however late",
            request: stays,
            candidates: vec![
                UpstreamCandidate {
                    is_warm: true,
                    in_flight: 8,
                    slowness: 3.0,
                    ..candidate("assigned")
                },
                warm_elsewhere,
            ],
            chosen: Some("assigned"),
        },
        ChoiceCase {
            name: "an object that is warm elsewhere returns with a request that can be sent twice",
            request: PlacementRequest {
                may_migrate: true,
                ..request()
            },
            candidates: vec![candidate("assigned"), warm_elsewhere],
            chosen: Some("assigned"),
        },
    ];
    check_choices(cases);
}

struct RegionChangeCase {
    name: &'static str,
    candidates: Vec<UpstreamCandidate<&'static str>>,
    changes_region: bool,
}

/// Guards against a budget that is spent on requests for objects that stay where they are, so that none is left for
/// those whose region is full.
#[test]
fn only_requests_that_change_the_region_of_their_object_are_charged() {
    let assigned = |in_flight, is_warm| UpstreamCandidate {
        in_flight,
        is_warm,
        ..candidate("assigned")
    };
    let elsewhere = |in_flight, is_warm| UpstreamCandidate {
        is_assigned_region: false,
        ..assigned(in_flight, is_warm)
    };
    let cases = [
        RegionChangeCase {
            name: "a new object in its assigned region",
            candidates: vec![assigned(0, false), elsewhere(0, false)],
            changes_region: false,
        },
        RegionChangeCase {
            name: "a new object whose assigned region is full",
            candidates: vec![assigned(12, false), elsewhere(0, false)],
            changes_region: true,
        },
        RegionChangeCase {
            name: "an object that stays where it was placed",
            candidates: vec![assigned(0, false), elsewhere(0, true)],
            changes_region: false,
        },
        RegionChangeCase {
            name: "an object that returns",
            candidates: vec![assigned(0, false), elsewhere(23, true)],
            changes_region: true,
        },
        RegionChangeCase {
            name: "an object that is warm in both regions and late in the assigned one",
            candidates: vec![assigned(23, true), elsewhere(0, true)],
            changes_region: true,
        },
    ];
    for case in cases {
        let decision = request().choose(case.candidates.into_iter()).unwrap();
        let changes_region = decision.changes_region;
        assert_eq!(changes_region, case.changes_region, "{}", case.name);
    }
}
