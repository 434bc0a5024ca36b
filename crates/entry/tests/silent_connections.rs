//! Connections to upstreams that go silent without a reset while new ones work.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::Duration;

use coltsfootkeel_standins::{
    FaultRelay, SHOP_KEY, SignedUpstream, call_once, register_upstream, shop_request,
};
use http::Method;
use platform_fleet::{FleetSetup, PlatformFleet};

/// The number of connections to the upstream that are idle when they go silent.
const CONNECTIONS: usize = 4;

/// Guards against one request after the other that is sent on a connection to an upstream which went silent while it was
/// idle, and that gets no answer.
#[tokio::test(flavor = "multi_thread")]
async fn the_request_after_an_unanswered_one_uses_a_new_connection() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "silent-upstream",
        ..FleetSetup::default()
    })
    .await;
    let upstream = SignedUpstream::start("u-1", Duration::from_millis(100)).await;
    let upstream = upstream.unwrap();
    let relay = FaultRelay::start(upstream.address()).await.unwrap();
    register_upstream(&fleet.store, "u-1", relay.address(), "ready");
    fleet.store.remove("servers", "u-0");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let address = fleet.instances[0].options.addresses.entry;
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let id = format!("before-{number}");
            let call = shop_request(Method::GET, "/previews/1", &id, SHOP_KEY);
            tokio::spawn(async move { call_once(address, &call).await })
        })
        .collect();
    for caller in callers {
        assert_eq!(caller.await.unwrap().unwrap().status, 200);
    }
    relay.silence_connections();
    let mut statuses = Vec::new();
    for number in 0..CONNECTIONS {
        let id = format!("after-{number}");
        let call = shop_request(Method::GET, "/previews/1", &id, SHOP_KEY);
        statuses.push(fleet.call(0, &call).await.unwrap().status);
    }
    // The first request shows that connections are silent.
    assert_eq!(statuses[1..], [200; CONNECTIONS - 1], "{statuses:?}");
}
