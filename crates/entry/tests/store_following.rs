//! Instances that follow the store through other instances.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{SHOP_KEY, StoreMode, register_upstream, shop_request};
use http::Method;
use platform_fleet::{FleetWish, PlatformFleet};

const INSTANCES: usize = 8;

async fn start(name: &'static str) -> PlatformFleet {
    let fleet = PlatformFleet::start(FleetWish {
        name,
        instances: INSTANCES,
        upstreams: 2,
        ..FleetWish::default()
    })
    .await;
    // The instances find one another, and most of them leave the watches to the others.
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet
}

/// Returns the instances that would send a request to an upstream.
async fn users_of(fleet: &PlatformFleet, upstream: &str) -> usize {
    let mut users = 0;
    for instance in 0..INSTANCES {
        let state = fleet.state(instance).await;
        let upstreams = state["plan"]["upstreams"].as_array().cloned();
        users += upstreams
            .unwrap_or_default()
            .iter()
            .filter(|known| known["id"] == upstream && known["usable"] == true)
            .count();
    }
    users
}

/// Guards against store calls that grow with the fleet, and against a leaving upstream that instances which watch nothing
/// themselves go on using.
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_learn_of_changes_that_few_of_them_watch() {
    let fleet = start("few-readers").await;
    let calls = fleet.store.calls();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let calls = fleet.store.calls() - calls;
    // Each instance alone would watch three kinds twice in this time.
    let most = INSTANCES * 5;
    assert!(calls <= most as u64, "{calls} calls in five seconds");
    let address = fleet.upstreams[0].address();
    register_upstream(&fleet.store, "u-0", address, "draining");
    let told = Instant::now();
    while users_of(&fleet, "u-0").await > 0 {
        // Users allow 2.5 s, in which the last request must also have reached the upstream.
        assert!(told.elapsed() < Duration::from_secs(2));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(users_of(&fleet, "u-1").await, INSTANCES);
}

/// Guards against instances that drop all upstreams whose entries lapsed while the store was away, because they did not watch
/// it themselves.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_lapsed_in_an_outage_are_waited_for_by_all() {
    let fleet = start("lapsed").await;
    fleet.store.set_mode(StoreMode::Busy);
    tokio::time::sleep(Duration::from_secs(5)).await;
    for index in 0..2 {
        fleet.store.remove("servers", &format!("u-{index}"));
    }
    fleet.store.set_mode(StoreMode::Up);
    let returned = Instant::now();
    while returned.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(users_of(&fleet, "u-0").await, INSTANCES);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for (index, upstream) in fleet.upstreams.iter().enumerate() {
        let id = format!("u-{index}");
        register_upstream(&fleet.store, &id, upstream.address(), "ready");
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for instance in 0..INSTANCES {
        let id = format!("after-{instance}");
        let call = shop_request(Method::GET, "/previews/1", &id, SHOP_KEY);
        assert_eq!(fleet.call(instance, &call).await.unwrap().status, 200);
        assert_eq!(users_of(&fleet, "u-0").await, INSTANCES);
    }
}
