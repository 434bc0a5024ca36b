//! A fleet that is too large for heartbeats from each instance to each other one, so that they pass through one instance
//! of each failure domain.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{EntryOptions, SHOP_KEY, StoreMode, shop_request};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};
use tokio::time::sleep;

const INSTANCES: usize = 20;
const DOMAINS: [&str; 3] = ["a-1", "a-2", "b-1"];
/// Time within which a change of the configuration must be in force.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);
/// Time in which the ages of the plan are observed, and the begin of the next watches is awaited.
const OBSERVED_TIME: Duration = Duration::from_secs(4);
/// The median age in milliseconds is half of the time between two confirmations, a quarter of a watch of 1.2 s, and the
/// way of a heartbeat. It does not depend on single delays, as the longest age does.
const MAX_MEDIAN_AGE_MS: u64 = 550;

async fn start(name: &'static str) -> PlatformFleet {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name,
        instances: 0,
        ..FleetSetup::default()
    })
    .await;
    for index in 0..INSTANCES {
        let mut options = EntryOptions::on_loopback(index, fleet.store.address());
        options.domain = DOMAINS[index % DOMAINS.len()].to_string();
        fleet.start_instance(options);
    }
    for instance in &fleet.instances {
        instance.wait_until_ready().await.unwrap();
    }
    fleet
}

/// Returns the number of live instances that an instance knows, itself included.
async fn live_instances(fleet: &PlatformFleet, instance: usize) -> usize {
    let metrics = fleet.metrics(instance).await;
    let mut values = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("coltsfootkeel_live_instances "));
    values.next().unwrap().parse().unwrap()
}

/// Waits until every running instance knows `count` live ones.
async fn wait_until_known(fleet: &PlatformFleet, running: std::ops::Range<usize>, count: usize) {
    let started = Instant::now();
    for instance in running {
        while live_instances(fleet, instance).await != count {
            // The bound for an instance that has stopped is 7 s.
            assert!(started.elapsed() < Duration::from_secs(7), "{instance}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against instances that are unknown to those of other failure domains, or known for too long after they stopped,
/// and against plans that do not reach all of them in time.
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_know_each_other_and_the_newest_plan() {
    let fleet = start("relayed").await;
    wait_until_known(&fleet, 0..INSTANCES, INSTANCES).await;
    fleet.write_plan(2, &[SHOP_KEY, "second-key"]);
    let written_at = Instant::now();
    for instance in 0..INSTANCES {
        while fleet.state(instance).await["plan"]["version"] != 2 {
            assert!(written_at.elapsed() < CHANGE_BOUND, "{instance}");
            sleep(Duration::from_millis(20)).await;
        }
    }
    let last = INSTANCES - 1;
    fleet.signal(last, Signal::SIGKILL);
    wait_until_known(&fleet, 0..last, last).await;
}

/// Returns the median over time of the age of the oldest confirmation of the plan in the fleet, in milliseconds.
async fn median_plan_age(fleet: &PlatformFleet) -> u64 {
    let mut ages = Vec::new();
    let started = Instant::now();
    while started.elapsed() < OBSERVED_TIME {
        let mut oldest = 0;
        for instance in 0..INSTANCES {
            let age = fleet.state(instance).await["plan_age_ms"].as_u64();
            oldest = oldest.max(age.unwrap());
        }
        ages.push(oldest);
        sleep(Duration::from_millis(50)).await;
    }
    ages.sort_unstable();
    ages[ages.len() / 2]
}

/// Guards against keys that are refused at the begin of an outage of the store, because all readers confirm the plan at
/// the same time and the outage finds it a full watch old: the evidence of the outage takes some time.
#[tokio::test(flavor = "multi_thread")]
async fn readers_confirm_the_plan_one_after_the_other() {
    let fleet = start("relayed-ages").await;
    wait_until_known(&fleet, 0..INSTANCES, INSTANCES).await;
    // All readers receive the change, and begin their next watches together.
    fleet.write_plan(2, &[SHOP_KEY]);
    sleep(OBSERVED_TIME).await;
    let age = median_plan_age(&fleet).await;
    assert!(age < MAX_MEDIAN_AGE_MS, "{age} ms");
}

/// Guards against keys that are refused in an outage of the store, because the evidence of other failure domains is
/// missing, and against an instance that takes its own isolation for an outage.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_accepted_in_an_outage_for_all() {
    let fleet = start("relayed-outage").await;
    wait_until_known(&fleet, 0..INSTANCES, INSTANCES).await;
    // A plan that is confirmed by nobody is refused after less than the bound for withdrawn keys, 5 s.
    sleep(Duration::from_secs(3)).await;
    fleet.store.set_mode(StoreMode::Unavailable);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(8) {
        for instance in 0..INSTANCES {
            number += 1;
            let id = format!("outage-{number}");
            let call = shop_request(Method::GET, "/previews/1", &id, SHOP_KEY);
            let answer = fleet.call(instance, &call).await.unwrap();
            assert_ne!(
                answer.status,
                503,
                "{instance} after {:?}: {:?}, {}",
                started.elapsed(),
                answer.body,
                fleet.state(instance).await
            );
        }
        sleep(Duration::from_millis(300)).await;
    }
}
