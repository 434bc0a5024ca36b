//! Requests that crash upstreams, and instances that start after the others have learnt of them.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::Duration;

use coltsfootkeel_standins::{EntryOptions, SHOP_KEY, UpstreamFault, shop_request};
use http::Method;
use platform_fleet::{FleetSetup, PlatformFleet};
use tokio::time::sleep;

const PATH: &str = "/previews/crashing";
/// Attempts within which an instance must refuse a request that crashes each upstream.
const MAX_ATTEMPTS: usize = 6;

/// Sends the request until the instance refuses it. Returns the number of attempts that were not refused.
async fn send_until_refused(fleet: &PlatformFleet, instance: usize) -> usize {
    for attempt in 0..MAX_ATTEMPTS {
        let id = format!("{instance}-{attempt}");
        let call = shop_request(Method::GET, PATH, &id, SHOP_KEY);
        let answer = fleet.call(instance, &call).await;
        if answer.is_ok_and(|answer| answer.status == 503) {
            return attempt;
        }
        sleep(Duration::from_millis(300)).await;
    }
    panic!("instance {instance} never refused the request");
}

struct StartCase {
    name: &'static str,
    is_first_start: bool,
    /// Whether the started instance must know the request.
    is_known: bool,
}

/// Guards against a request that crashes each upstream and crashes them again at each instance that starts later.
#[tokio::test(flavor = "multi_thread")]
async fn a_started_instance_refuses_a_request_that_crashed_upstreams() {
    let cases = [
        StartCase {
            name: "crash-restart",
            is_first_start: false,
            is_known: true,
        },
        StartCase {
            name: "crash-first-start",
            is_first_start: true,
            is_known: false,
        },
    ];
    for case in cases {
        let mut fleet = PlatformFleet::start(FleetSetup {
            name: case.name,
            instances: 2,
            upstreams: 4,
            ..FleetSetup::default()
        })
        .await;
        sleep(Duration::from_millis(500)).await;
        for upstream in &fleet.upstreams {
            upstream.set_fault(UpstreamFault::CloseBeforeAnswer);
        }
        for instance in 0..2 {
            send_until_refused(&fleet, instance).await;
        }
        let store = fleet.store.address();
        fleet.start_instance(EntryOptions {
            is_first_start: case.is_first_start,
            ..EntryOptions::on_loopback(2, store)
        });
        fleet.instances[2].wait_until_ready().await.unwrap();
        let runs = fleet.runs().len();
        let sent = send_until_refused(&fleet, 2).await;
        let new_runs = fleet.runs().len() - runs;
        assert_eq!(sent == 0, case.is_known, "{}: {sent} attempts", case.name);
        assert_eq!(
            new_runs == 0,
            case.is_known,
            "{}: {new_runs} runs",
            case.name
        );
    }
}
