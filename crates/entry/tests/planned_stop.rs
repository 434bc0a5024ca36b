//! Requests that arrive late in the grace period of a planned stop.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::Duration;

use coltsfootkeel_standins::{SHOP_KEY, UpstreamFault, shop_config, shop_request};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::{Value, json};
use tokio::time::sleep;

struct LateCase {
    name: &'static str,
    method: Method,
    path: &'static str,
    /// When the request is sent, after the stop signal. The grace period is 6 s.
    after: Duration,
}

/// Guards against requests that are taken late in the grace period, run at an upstream, and are cut without an answer at
/// its end.
#[tokio::test(flavor = "multi_thread")]
async fn late_requests_that_may_outlast_the_grace_period_are_refused() {
    let cases = [
        LateCase {
            name: "stop-order",
            method: Method::POST,
            path: "/orders/1",
            after: Duration::from_millis(1_500),
        },
        LateCase {
            name: "stop-page",
            method: Method::GET,
            path: "/previews/1",
            after: Duration::from_millis(2_900),
        },
    ];
    for case in cases {
        let fleet = PlatformFleet::start(FleetSetup {
            name: case.name,
            ..FleetSetup::default()
        })
        .await;
        let mut config = shop_config(2, &[SHOP_KEY]);
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeout"] = json!("20s");
        }
        fleet.store.put("config", "main", config, Value::Null);
        sleep(Duration::from_secs(1)).await;
        fleet.upstreams[0].set_fault(UpstreamFault::NeverAnswer);
        fleet.signal(0, Signal::SIGTERM);
        sleep(case.after).await;
        let mut call = shop_request(case.method, case.path, "late", SHOP_KEY);
        call.headers
            .retain(|(name, _)| name != "coltsfootkeel-request-deadline");
        let call = call.header("coltsfootkeel-request-deadline", "15000");
        let answer = fleet.call(0, &call).await;
        let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", case.name));
        assert_eq!(answer.status, 503, "{}", case.name);
        assert!(answer.headers.contains_key("retry-after"), "{}", case.name);
        assert!(fleet.runs().is_empty(), "{}", case.name);
    }
}
