//! Candidates, requests and cases of the tests of placement.

use std::time::Duration;

use coltsfootkeel_steering::{PlacementRequest, TimeEstimate, UpstreamCandidate};

/// One millisecond.
pub const MS: Duration = Duration::from_millis(1);

/// Returns a candidate with nine free slots that answers in 200 ms if warm and in 640 ms if cold.
pub fn candidate(key: &'static str) -> UpstreamCandidate<&'static str> {
    UpstreamCandidate {
        key,
        rendezvous_hash: 1 << 63,
        is_assigned_region: true,
        times: TimeEstimate {
            warm: 200 * MS,
            cold: 640 * MS,
        },
        in_flight: 0,
        slots: 9,
        is_warm: false,
        is_cache_full: false,
        slowness: 1.0,
        cost_factor: 1.0,
    }
}

/// Returns a request that may run anywhere, with most of its time left.
pub fn request() -> PlacementRequest {
    PlacementRequest {
        slot_time: 200 * MS,
        objective: 500 * MS,
        objective_left: 490 * MS,
        deadline_left: 3_000 * MS,
        may_migrate: false,
        may_change_region: true,
    }
}

/// A request, its candidates and the one that is selected.
pub struct ChoiceCase {
    pub name: &'static str,
    pub request: PlacementRequest,
    pub candidates: Vec<UpstreamCandidate<&'static str>>,
    pub chosen: Option<&'static str>,
}

/// Checks which candidate is selected in each case.
pub fn check_choices<const COUNT: usize>(cases: [ChoiceCase; COUNT]) {
    for case in cases {
        let decision = case.request.choose(case.candidates.into_iter());
        assert_eq!(
            decision.map(|decision| decision.key),
            case.chosen,
            "{}",
            case.name
        );
    }
}
