//! Returns of the store from an older copy.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    EntryOptions, FaultRelay, RelayMode, SHOP_KEY, register_upstream, shop_request,
};
use http::Method;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::{Value, json};
use tokio::time::sleep;

/// In this time the instances register and receive heartbeats of each other, and all but the readers stop watching the
/// lists.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time after a return within which upstreams and operators write again what was lost.
const REWRITE_TIME: Duration = Duration::from_millis(1_800);
/// Time within which a change must be in force.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);
const POLL_PERIOD: Duration = Duration::from_millis(50);
const PARTITIONS: usize = 4;
/// Objects that are placed, and the digits of an entry in a partition.
const OBJECTS: usize = 40;
const ENTRY_DIGITS: usize = 24;
/// Time within which the owners have written the affinity partitions of a settled era: a period of writes, and more on a
/// busy machine.
const PARTITIONS_WITHIN: Duration = Duration::from_secs(15);
/// Four of them read the store, and the others hear of its era by heartbeats.
const INSTANCES: usize = 9;

async fn start(name: &'static str, instances: usize, upstreams: usize) -> PlatformFleet {
    let fleet = PlatformFleet::start(FleetSetup {
        name,
        instances,
        upstreams,
        states_eras: true,
        ..FleetSetup::default()
    })
    .await;
    sleep(SETTLING_TIME).await;
    fleet
}

/// Returns how many instances would send requests to an upstream.
async fn count_using(fleet: &PlatformFleet, upstream: &str) -> usize {
    let mut count = 0;
    for instance in 0..fleet.instances.len() {
        let state = fleet.state(instance).await;
        let upstreams = state["plan"]["upstreams"].as_array().cloned();
        let is_used = |known: &Value| known["id"] == upstream && known["usable"] == true;
        count += usize::from(upstreams.unwrap_or_default().iter().any(is_used));
    }
    count
}

async fn wait_for_use(fleet: &PlatformFleet, upstream: &str, instances: usize) {
    let started = Instant::now();
    while count_using(fleet, upstream).await != instances {
        assert!(started.elapsed() < CHANGE_BOUND, "{upstream}");
        sleep(POLL_PERIOD).await;
    }
}

fn register(fleet: &PlatformFleet, index: usize, state: &str) {
    let upstream = &fleet.upstreams[index];
    register_upstream(&fleet.store, upstream.id(), upstream.address(), state);
}

async fn wait_for_era(fleet: &PlatformFleet, instance: usize, era: u64) {
    let started = Instant::now();
    while fleet.state(instance).await["store"]["era"] != era {
        assert!(started.elapsed() < CHANGE_BOUND, "instance {instance}");
        sleep(POLL_PERIOD).await;
    }
}

/// Guards against requests to upstreams that are draining or gone and look ready in the older copy, against upstreams
/// that are dropped because the copy lacks them, and against changes that are missed because their revisions were given
/// out before. The store returns twice.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_stay_as_known_until_they_register_again() {
    let fleet = start("era-upstreams", INSTANCES, 4).await;
    let id = |index: usize| fleet.upstreams[index].id();
    fleet.store.remove("servers", id(3));
    wait_for_use(&fleet, id(3), 0).await;
    let copy = fleet.store.copy();
    register(&fleet, 0, "draining");
    fleet.store.remove("servers", id(1));
    register(&fleet, 3, "ready");
    wait_for_use(&fleet, id(0), 0).await;
    wait_for_use(&fleet, id(1), 0).await;
    wait_for_use(&fleet, id(3), INSTANCES).await;
    for _ in 0..2 {
        fleet.store.return_from(&copy);
        // The revisions of the changes above are given out again.
        for change in 0..4 {
            fleet
                .store
                .put("servers", "other", json!(change), Value::Null);
        }
        let returned_at = Instant::now();
        while returned_at.elapsed() < REWRITE_TIME {
            assert_eq!(count_using(&fleet, id(0)).await, 0, "draining");
            assert_eq!(count_using(&fleet, id(1)).await, 0, "removed");
            assert_eq!(count_using(&fleet, id(2)).await, INSTANCES, "unchanged");
            assert_eq!(count_using(&fleet, id(3)).await, INSTANCES, "missing");
            sleep(POLL_PERIOD).await;
        }
    }
    register(&fleet, 0, "draining");
    fleet.store.remove("servers", id(1));
    register(&fleet, 3, "ready");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(count_using(&fleet, id(0)).await, 0);
    assert_eq!(count_using(&fleet, id(3)).await, INSTANCES);
    register(&fleet, 2, "draining");
    register(&fleet, 0, "ready");
    wait_for_use(&fleet, id(2), 0).await;
    wait_for_use(&fleet, id(0), INSTANCES).await;
    let metrics = fleet.metrics(0).await;
    assert!(metrics.contains("coltsfootkeel_store_returns_total 2"));
}

/// Guards against instances that are missing from the store, or have the addresses of an earlier process there, because
/// their registrations were written after the copy. Their revisions are given out again before anything is read.
#[tokio::test(flavor = "multi_thread")]
async fn registrations_are_written_again() {
    let mut fleet = start("era-registrations", INSTANCES, 1).await;
    let copy = fleet.store.copy();
    let added = EntryOptions::on_loopback(INSTANCES, fleet.store.address());
    fleet.start_instance(added);
    for instance in 0..2 {
        fleet.restart_instance(instance);
    }
    for instance in &fleet.instances {
        instance.wait_until_ready().await.unwrap();
    }
    sleep(SETTLING_TIME).await;
    fleet.store.return_from(&copy);
    for change in 0..10 {
        let change = json!(change);
        fleet.store.put("other", "object", change, Value::Null);
    }
    let returned_at = Instant::now();
    while count_registered(&fleet).await < fleet.instances.len() {
        assert!(returned_at.elapsed() < CHANGE_BOUND);
        sleep(POLL_PERIOD).await;
    }
}

/// Returns how many instances have a registration of their present process.
async fn count_registered(fleet: &PlatformFleet) -> usize {
    let mut count = 0;
    for instance in 0..fleet.instances.len() {
        let name = format!("entry-{instance}");
        let spec = fleet.store.spec("entry-instances", &name);
        let incarnation = spec.map(|spec| spec["incarnation"].clone());
        let own = fleet.state(instance).await["incarnation"].clone();
        count += usize::from(incarnation == Some(own));
    }
    count
}

/// How the instances go on after the return.
#[derive(Debug, Clone, Copy)]
struct KeyCase {
    name: &'static str,
    restarted: &'static [usize],
}

const KEY_CASES: [KeyCase; 3] = [
    KeyCase {
        name: "era-keys",
        restarted: &[],
    },
    KeyCase {
        name: "era-keys-one-restart",
        restarted: &[1],
    },
    KeyCase {
        name: "era-keys-all-restart",
        restarted: &[0, 1, 2],
    },
];

/// Guards against a withdrawn key that works again because the copy precedes its withdrawal, also at instances that start
/// after the return and know no other plan.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_keys_do_not_work_again() {
    let runs = KEY_CASES.map(|case| tokio::spawn(withdraw_and_return(case)));
    for run in runs {
        run.await.unwrap();
    }
}

async fn withdraw_and_return(case: KeyCase) {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: case.name,
        instances: 0,
        states_eras: true,
        ..FleetSetup::default()
    })
    .await;
    for index in 0..3 {
        fleet.start_instance(EntryOptions {
            is_revocation_strict: true,
            ..EntryOptions::on_loopback(index, fleet.store.address())
        });
        fleet.instances[index].wait_until_ready().await.unwrap();
    }
    sleep(SETTLING_TIME).await;
    let copy = fleet.store.copy();
    fleet.write_plan(2, &["other-key"]);
    sleep(CHANGE_BOUND).await;
    fleet.store.return_from(&copy);
    for instance in case.restarted {
        fleet.restart_instance(*instance);
    }
    let call = async |instance, id: &str, key: &str| {
        let request = shop_request(Method::GET, "/previews/1", id, key);
        let answer = fleet.call(instance, &request).await;
        answer.map_or(0, |answer| answer.status)
    };
    let returned_at = Instant::now();
    let mut is_rewritten = false;
    while returned_at.elapsed() < 2 * REWRITE_TIME {
        if returned_at.elapsed() > REWRITE_TIME && !is_rewritten {
            is_rewritten = true;
            fleet.write_plan(2, &["other-key"]);
        }
        for instance in 0..3 {
            let id = format!("{instance}-{}", returned_at.elapsed().as_millis());
            let status = call(instance, &id, SHOP_KEY).await;
            assert_ne!(status, 200, "{}: {id}", case.name);
        }
        sleep(POLL_PERIOD).await;
    }
    for instance in 0..3 {
        let status = call(instance, &format!("after-{instance}"), "other-key").await;
        assert_eq!(status, 200, "{}: {instance}", case.name);
    }
}

/// Guards against refusals during a return that no bound asks for.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_during_a_return_without_a_strict_bound() {
    let fleet = start("era-lenient", 2, 1).await;
    let copy = fleet.store.copy();
    fleet.write_plan(2, &["new-key"]);
    sleep(CHANGE_BOUND).await;
    fleet.store.return_from(&copy);
    let returned_at = Instant::now();
    while returned_at.elapsed() < Duration::from_secs(5) {
        for instance in 0..2 {
            let id = format!("{instance}-{}", returned_at.elapsed().as_millis());
            let request = shop_request(Method::GET, "/previews/1", &id, "new-key");
            let answer = fleet.call(instance, &request).await.unwrap();
            assert_eq!(answer.status, 200, "{id}");
        }
        sleep(POLL_PERIOD).await;
    }
}

/// Guards against an instance that takes the store's later revisions for those that it has read, after it was cut from
/// the store during the return.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_from_the_store_hears_of_the_return() {
    let mut fleet = start("era-cut", 2, 2).await;
    let mut relay = FaultRelay::start(fleet.store.address()).await.unwrap();
    fleet.start_instance(EntryOptions::on_loopback(2, relay.address()));
    fleet.instances[2].wait_until_ready().await.unwrap();
    sleep(SETTLING_TIME).await;
    let copy = fleet.store.copy();
    for change in 0..4 {
        fleet
            .store
            .put("servers", "other", json!(change), Value::Null);
    }
    sleep(Duration::from_secs(1)).await;
    relay.set(RelayMode::BLACKHOLE).await;
    fleet.store.return_from(&copy);
    register(&fleet, 0, "draining");
    for change in 0..3 {
        fleet
            .store
            .put("servers", "other", json!(change), Value::Null);
    }
    wait_for_era(&fleet, 2, 2).await;
    let open = shop_request(Method::GET, "/open/1", "cut", SHOP_KEY);
    assert_eq!(fleet.call(2, &open).await.unwrap().status, 200,);
    relay.set(RelayMode::PASS).await;
    let restored_at = Instant::now();
    while count_using(&fleet, fleet.upstreams[0].id()).await > 0 {
        // An instance that was cut off alone calls the store again after at most three seconds.
        assert!(restored_at.elapsed() < Duration::from_secs(4));
        sleep(POLL_PERIOD).await;
    }
    assert_eq!(count_using(&fleet, fleet.upstreams[1].id()).await, 3);
}

/// Guards against a failure domain that is used although its evacuation was only lost by the store, or left unused
/// because the copy precedes the end of the evacuation.
#[tokio::test(flavor = "multi_thread")]
async fn evacuations_stay_as_known_until_they_are_written_again() {
    let fleet = start("era-evacuations", 3, 1).await;
    let upstream = fleet.upstreams[0].id();
    let before = fleet.store.copy();
    fleet
        .store
        .put("evacuations", "a-1", json!({}), Value::Null);
    wait_for_use(&fleet, upstream, 0).await;
    let during = fleet.store.copy();
    fleet.store.return_from(&before);
    let returned_at = Instant::now();
    while returned_at.elapsed() < REWRITE_TIME {
        assert_eq!(count_using(&fleet, upstream).await, 0);
        sleep(POLL_PERIOD).await;
    }
    fleet
        .store
        .put("evacuations", "a-1", json!({}), Value::Null);
    sleep(SETTLING_TIME).await;
    assert_eq!(count_using(&fleet, upstream).await, 0);
    fleet.store.remove("evacuations", "a-1");
    wait_for_use(&fleet, upstream, 3).await;
    fleet.store.return_from(&during);
    let returned_at = Instant::now();
    while returned_at.elapsed() < REWRITE_TIME {
        assert_eq!(count_using(&fleet, upstream).await, 3);
        sleep(POLL_PERIOD).await;
    }
    fleet.store.remove("evacuations", "a-1");
    sleep(SETTLING_TIME).await;
    assert_eq!(count_using(&fleet, upstream).await, 3);
}

/// Guards against objects that run on upstreams without them in their caches after a restart of all instances, because
/// the affinity table in the store was lost by its return.
#[tokio::test(flavor = "multi_thread")]
async fn affinity_partitions_are_written_again() {
    let fleet = start("era-affinity", 2, 2).await;
    let copy = fleet.store.copy();
    for number in 0..OBJECTS {
        let id = format!("object-{number}");
        let request = shop_request(Method::GET, "/previews/1", &id, SHOP_KEY);
        assert_eq!(fleet.call(0, &request).await.unwrap().status, 200);
    }
    let partitions = async || {
        let started = Instant::now();
        loop {
            let names = fleet.store.names("warm-places");
            let era = fleet.state(0).await["store"]["era"].clone();
            let is_settled = |name: &String| {
                let spec = fleet.store.spec("warm-places", name);
                spec.is_some_and(|spec| spec["settled_era"] == era)
            };
            let specs = names.iter();
            let specs = specs.filter_map(|name| fleet.store.spec("warm-places", name));
            let places: Vec<Value> = specs.map(|spec| spec["places"].clone()).collect();
            let texts = places.iter().filter_map(Value::as_str);
            let is_complete = texts.map(str::len).sum::<usize>() == OBJECTS * ENTRY_DIGITS;
            if names.len() == PARTITIONS && names.iter().all(is_settled) && is_complete {
                return places;
            }
            assert!(started.elapsed() < PARTITIONS_WITHIN, "{names:?}");
            sleep(POLL_PERIOD).await;
        }
    };
    let before = partitions().await;
    fleet.store.return_from(&copy);
    assert!(fleet.store.names("warm-places").is_empty());
    wait_for_era(&fleet, 0, 2).await;
    assert_eq!(partitions().await, before);
}
