//! Upstreams that leave when the instances have lost their connections to the store without noticing it.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    EntryOptions, FaultRelay, RelayMode, SHOP_KEY, call_once, register_upstream, shop_request,
};
use http::Method;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::{Value, json};
use tokio::time::sleep;

const INSTANCES: usize = 3;
/// Departures, each at another time after the connections went silent.
const DEPARTURES: u32 = 5;
/// Difference between these times.
const DEPARTURE_STEP: Duration = Duration::from_millis(250);
/// Time after its departure was accepted from which an upstream receives no new request.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// How long requests are sent after each departure.
const OBSERVED_TIME: Duration = Duration::from_secs(4);
const REQUEST_PERIOD: Duration = Duration::from_millis(25);
/// In this time the instances read an upstream that is back. Their next watches have just begun then.
const SETTLING_TIME: Duration = Duration::from_millis(600);

/// Instances that are cut from the store, of those that are not.
const CUT_INSTANCES: usize = 15;
const CONNECTED_INSTANCES: usize = 2;
/// In this time the pauses after failed calls grow to their longest, 3 s.
const CUT_TIME: Duration = Duration::from_secs(7);
/// Time in which the heartbeats of the connected instances state a newer list.
const HEARD_TIME: Duration = Duration::from_millis(1_500);
/// Time after the end of the cut within which a change that others have is in force. A pause of an instance that lacks it
/// ends within 1.05 s.
const REGAINED_WITHIN: Duration = Duration::from_millis(1_700);
/// Bytes of an entry that is too large for a heartbeat, so that the list has to be read from the store.
const LARGE_ENTRY_BYTES: usize = 20_000;

/// Guards against requests that still reach a leaving upstream, because all instances wait for the answers of watches
/// whose connections have gone silent.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstreams_receive_no_request_behind_silent_watches() {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "silent-departure",
        instances: 0,
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    let relay = FaultRelay::start(fleet.store.address()).await.unwrap();
    for index in 0..INSTANCES {
        fleet.start_instance(EntryOptions::on_loopback(index, relay.address()));
        fleet.instances[index].wait_until_ready().await.unwrap();
    }
    let leaving = fleet.upstreams[0].clone();
    let mut failures = Vec::new();
    for number in 0..DEPARTURES {
        register_upstream(&fleet.store, leaving.id(), leaving.address(), "ready");
        sleep(SETTLING_TIME).await;
        relay.silence_connections();
        sleep(DEPARTURE_STEP * number).await;
        register_upstream(&fleet.store, leaving.id(), leaving.address(), "draining");
        let left_at = Instant::now();
        let senders: Vec<_> = (0..INSTANCES)
            .map(|instance| {
                let address = fleet.instances[instance].options.addresses.entry;
                tokio::spawn(send_requests(
                    address,
                    format!("{number}-{instance}"),
                    left_at,
                ))
            })
            .collect();
        for sender in senders {
            sender.await.unwrap();
        }
        let late = leaving.runs().into_iter().filter_map(|run| {
            let after = run.started_at.checked_duration_since(left_at)?;
            (after > DRAIN_TIME).then_some(after)
        });
        if let Some(latest) = late.max() {
            failures.push(format!("departure {number}: {latest:?} after it"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

async fn send_requests(address: std::net::SocketAddr, prefix: String, started: Instant) {
    let mut number = 0;
    while started.elapsed() < OBSERVED_TIME {
        let id = format!("{prefix}-{number}");
        let page = shop_request(Method::GET, "/previews/1", &id, SHOP_KEY);
        assert!(call_once(address, &page).await.is_ok(), "{id}");
        number += 1;
        sleep(REQUEST_PERIOD).await;
    }
}

/// Guards against instances that use a leaving upstream for seconds after their way to the store is back, because their
/// pauses after failed calls have grown. Many instances are cut, because some pauses end early by chance.
#[tokio::test(flavor = "multi_thread")]
async fn a_departure_during_a_cut_is_in_force_soon_after_it() {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "cut-departure",
        instances: CONNECTED_INSTANCES,
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    let mut relay = FaultRelay::start(fleet.store.address()).await.unwrap();
    for index in 0..CUT_INSTANCES {
        let index = CONNECTED_INSTANCES + index;
        fleet.start_instance(EntryOptions::on_loopback(index, relay.address()));
    }
    for instance in &fleet.instances {
        instance.wait_until_ready().await.unwrap();
    }
    sleep(Duration::from_secs(3)).await;
    relay.set(RelayMode::Closed).await;
    sleep(CUT_TIME).await;
    let large = json!("x".repeat(LARGE_ENTRY_BYTES));
    fleet.store.put("servers", "large", large, Value::Null);
    let leaving = &fleet.upstreams[0];
    register_upstream(&fleet.store, leaving.id(), leaving.address(), "draining");
    sleep(HEARD_TIME).await;
    let is_used = async |instance| {
        let state = fleet.state(instance).await;
        let upstreams = state["plan"]["upstreams"].as_array().cloned();
        let mut upstreams = upstreams.unwrap_or_default().into_iter();
        upstreams.any(|known| known["id"] == leaving.id() && known["usable"] == true)
    };
    let last = fleet.instances.len() - 1;
    assert!(is_used(last).await, "the departure was told by heartbeat");
    relay.set(RelayMode::PASS).await;
    let regained_at = Instant::now();
    for instance in 0..fleet.instances.len() {
        while is_used(instance).await {
            assert!(regained_at.elapsed() < REGAINED_WITHIN, "{instance}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}
