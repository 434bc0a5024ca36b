//! Requests that start before the previous one on their connection is answered.

use coltsfootkeel_steering::EarlyRequest;

struct EarlyCase {
    name: &'static str,
    request: EarlyRequest,
    may_start: bool,
}

const IDLE: EarlyRequest = EarlyRequest {
    is_idempotent: true,
    is_stopping: false,
    started: 0,
    queued: 0,
    kept_fraction: 0.0,
};

/// Guards against requests that run although an earlier answer may close their connection, and against a connection that
/// takes the room of others.
#[test]
fn only_what_may_run_twice_and_fits_its_share_starts_early() {
    let cases = [
        EarlyCase {
            name: "an idempotent request while nothing waits",
            request: IDLE,
            may_start: true,
        },
        EarlyCase {
            name: "the last within the bound of a connection",
            request: EarlyRequest { started: 7, ..IDLE },
            may_start: true,
        },
        EarlyCase {
            name: "one more than that",
            request: EarlyRequest { started: 8, ..IDLE },
            may_start: false,
        },
        EarlyCase {
            name: "a request that must not run twice",
            request: EarlyRequest {
                is_idempotent: false,
                ..IDLE
            },
            may_start: false,
        },
        EarlyCase {
            name: "a request at an instance that stops",
            request: EarlyRequest {
                is_stopping: true,
                ..IDLE
            },
            may_start: false,
        },
        EarlyCase {
            name: "the second while others wait for an upstream",
            request: EarlyRequest {
                started: 1,
                queued: 1,
                ..IDLE
            },
            may_start: true,
        },
        EarlyCase {
            name: "the third while others wait for an upstream",
            request: EarlyRequest {
                started: 2,
                queued: 1,
                ..IDLE
            },
            may_start: false,
        },
        EarlyCase {
            name: "a request while kept answers take half of the memory for them",
            request: EarlyRequest {
                kept_fraction: 0.5,
                ..IDLE
            },
            may_start: false,
        },
    ];
    for case in cases {
        assert_eq!(case.request.may_start(), case.may_start, "{}", case.name);
    }
}
