//! Requests that wait for, and are refused by, a pool whose upstreams state the cost of work.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{SHOP_KEY, call_once, shop_request};
use http::Method;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::json;

/// Half of the objective of the routes, and the time that a test machine may take for a call.
const LONGEST_HELD: Duration = Duration::from_millis(250 + 150);
/// Three times as many requests as the upstream can answer before half of the objective.
const BURST: usize = 110;

/// Guards against requests that are held for long and then refused, against refusals without a time to return, and
/// against a queue that does not fill the slots.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_busy_pool_cannot_serve_is_refused_early() {
    let setup = FleetSetup {
        name: "fair-waits",
        work: Duration::from_millis(30),
        ..FleetSetup::default()
    };
    let fleet = PlatformFleet::start(setup).await;
    fleet.upstreams[0].set_stated_load(Some("0,0,9,100"));
    let address = fleet.instances[0].options.addresses.entry;
    let first = shop_request(Method::POST, "/orders/1", "first", SHOP_KEY);
    assert_eq!(fleet.call(0, &first).await.unwrap().status, 200);
    while fleet.state(0).await["plan"]["pools_stating_cost"] != json!(["orders"]) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let callers = (0..BURST).map(|number| {
        let call = shop_request(Method::POST, "/orders/1", &format!("b-{number}"), SHOP_KEY);
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let answer = call_once(address, &call).await.unwrap();
            (answer, sent_at.elapsed())
        })
    });
    let callers: Vec<_> = callers.collect();
    let (mut served, mut refused) = (0, 0);
    for caller in callers {
        let (answer, took) = caller.await.unwrap();
        match answer.status {
            200 => served += 1,
            503 => {
                refused += 1;
                assert!(answer.header("retry-after").is_some());
                assert!(took < LONGEST_HELD, "refused after {took:?}");
            }
            status => panic!("status {status}"),
        }
    }
    // A run takes 90 ms, so each slot can serve a second request before half of the objective.
    assert!(served >= 18, "{served} served, {refused} refused");
    assert!(refused > 0, "the burst fits");
    let metrics = fleet.metrics(0).await;
    let is_counted = !metrics.contains("coltsfootkeel_refused_at_once_total 0\n")
        || !metrics.contains("coltsfootkeel_refused_after_wait_total 0\n");
    assert!(is_counted);
}
