//! Instances that are suspended for some seconds while a key is withdrawn.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{SHOP_KEY, shop_request};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};
use tokio::time::sleep;

/// Time within which a withdrawn key must stop working; it equals the bound in the settings of the instances.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

struct PauseCase {
    name: &'static str,
    pause: Duration,
}

/// Guards against a process that acts on the permission that it had before it was suspended: heartbeats with the old plan
/// wait in its socket, and its timers have not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_instance_runs_nothing_with_a_key_that_was_withdrawn_meanwhile() {
    let cases = [
        PauseCase {
            name: "paused-1-s",
            pause: Duration::from_secs(1),
        },
        PauseCase {
            name: "paused-3-s",
            pause: Duration::from_secs(3),
        },
        PauseCase {
            name: "paused-8-s",
            pause: Duration::from_secs(8),
        },
    ];
    let plays = cases.map(|case| tokio::spawn(play(case)));
    for played in plays {
        played.await.unwrap();
    }
}

async fn play(case: PauseCase) {
    let fleet = PlatformFleet::start(FleetSetup {
        name: case.name,
        instances: 3,
        ..FleetSetup::default()
    })
    .await;
    sleep(Duration::from_millis(600)).await;
    fleet.signal(0, Signal::SIGSTOP);
    sleep(Duration::from_millis(300)).await;
    fleet.write_plan(2, &["another-key"]);
    let withdrawn_at = Instant::now();
    sleep(case.pause).await;
    fleet.signal(0, Signal::SIGCONT);
    let last = withdrawn_at + WITHDRAWAL_BOUND.max(case.pause) + Duration::from_secs(2);
    let mut number = 0;
    while Instant::now() < last {
        number += 1;
        let call = shop_request(Method::POST, "/orders/1", &format!("p-{number}"), SHOP_KEY);
        // Only what runs counts.
        let _ = fleet.call(0, &call).await;
        sleep(Duration::from_millis(20)).await;
    }
    for run in fleet.runs() {
        let after = run.started_at.saturating_duration_since(withdrawn_at);
        assert!(after < WITHDRAWAL_BOUND, "{}: {after:?}", case.name);
    }
    let call = shop_request(Method::POST, "/orders/1", "granted", "another-key");
    assert_eq!(
        fleet.call(0, &call).await.unwrap().status,
        200,
        "{}",
        case.name
    );
}
