//! Store changes that a few instances watch and report to the others.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    EntryOptions, FaultRelay, RelayMode, SHOP_KEY, StoreMode, register_upstream, shop_request,
};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};

const INSTANCES: usize = 8;
/// The time over which calls are counted.
const COUNTED_PERIOD: Duration = Duration::from_secs(5);
/// The number of such periods of which one must be calm.
const MAX_COUNTED_PERIODS: usize = 8;

async fn start(name: &'static str) -> PlatformFleet {
    let fleet = PlatformFleet::start(FleetSetup {
        name,
        instances: INSTANCES,
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    // In this time the instances receive heartbeats of each other, and all but the readers stop watching the lists.
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet
}

/// Returns the number of instances that would send requests to an upstream.
async fn count_using_instances(fleet: &PlatformFleet, upstream: &str) -> usize {
    let mut count = 0;
    for instance in 0..INSTANCES {
        let state = fleet.state(instance).await;
        let upstreams = state["plan"]["upstreams"].as_array().cloned();
        count += upstreams
            .unwrap_or_default()
            .iter()
            .filter(|known| known["id"] == upstream && known["usable"] == true)
            .count();
    }
    count
}

/// Guards against store calls that grow with the fleet, and against instances that do not watch the lists themselves
/// and still use a draining upstream.
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_apply_changes_that_few_of_them_watch() {
    let fleet = start("few-readers").await;
    let calls = fleet.store.calls();
    tokio::time::sleep(4 * COUNTED_PERIOD).await;
    let calls = fleet.store.calls() - calls;
    // An instance that watched every kind itself would make at least six calls in five seconds: two for each of the three
    // kinds whose watches wait 2.4 s. Each of the readers' 16 watches may end once more or less in the counted time.
    let max_calls = 4 * INSTANCES * 5;
    assert!(calls <= max_calls as u64, "{calls} calls in 20 seconds");
    let address = fleet.upstreams[0].address();
    register_upstream(&fleet.store, "u-0", address, "draining");
    let drained_at = Instant::now();
    while count_using_instances(&fleet, "u-0").await > 0 {
        // The required bound is 2.5 s, in which the last request must also have reached the upstream.
        assert!(drained_at.elapsed() < Duration::from_secs(2));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(count_using_instances(&fleet, "u-1").await, INSTANCES);
}

/// Guards against instances that drop all upstreams whose entries expired in an outage of the store, because they did
/// not watch the store themselves.
#[tokio::test(flavor = "multi_thread")]
async fn entries_expired_in_an_outage_are_kept_by_all_instances() {
    let fleet = start("lapsed").await;
    fleet.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(Duration::from_secs(5)).await;
    for index in 0..2 {
        fleet.store.remove("servers", &format!("u-{index}"));
    }
    fleet.store.set_mode(StoreMode::Up);
    let recovered_at = Instant::now();
    while recovered_at.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(count_using_instances(&fleet, "u-0").await, INSTANCES);
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
        assert_eq!(count_using_instances(&fleet, "u-0").await, INSTANCES);
    }
}

async fn plan_version(fleet: &PlatformFleet, instance: usize) -> u64 {
    let state = fleet.state(instance).await;
    state["plan"]["version"].as_u64().unwrap_or_default()
}

async fn wait_for_plan(fleet: &PlatformFleet, instance: usize, version: u64) -> Duration {
    let started = Instant::now();
    while plan_version(fleet, instance).await < version {
        assert!(started.elapsed() < Duration::from_secs(10));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

/// Starts three instances, of which the last one reaches the store through a relay.
async fn start_behind_relay(name: &'static str) -> (PlatformFleet, FaultRelay) {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name,
        instances: 2,
        ..FleetSetup::default()
    })
    .await;
    let relay = FaultRelay::start(fleet.store.address()).await.unwrap();
    fleet.start_instance(EntryOptions::on_loopback(2, relay.address()));
    fleet.instances[2].wait_until_ready().await.unwrap();
    // In this time the instances register and receive heartbeats of each other.
    tokio::time::sleep(Duration::from_secs(3)).await;
    (fleet, relay)
}

/// Guards against an instance that waits for its silent watch although the others already have a newer plan.
#[tokio::test(flavor = "multi_thread")]
async fn a_plan_that_other_instances_have_replaces_one_behind_a_silent_watch() {
    let (fleet, relay) = start_behind_relay("silent-watch").await;
    fleet.write_plan(2, &[SHOP_KEY]);
    wait_for_plan(&fleet, 2, 2).await;
    // By now the short watch after a change has ended, and a watch of 2.4 s has begun.
    tokio::time::sleep(Duration::from_millis(600)).await;
    relay.silence_connections();
    fleet.write_plan(3, &[SHOP_KEY]);
    let delay = wait_for_plan(&fleet, 2, 3).await;
    // A change must be in force within 2.5 s.
    assert!(delay < Duration::from_millis(2_500), "{delay:?}");
}

fn store_calls(metrics: &str) -> u64 {
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("coltsfootkeel_store_calls_total "));
    value.unwrap().parse().unwrap()
}

/// Guards against calls for every kind of objects while the store cannot be reached: they cost callers, and a call tells
/// no more than another.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_is_cut_off_calls_for_one_kind_only() {
    let (fleet, mut relay) = start_behind_relay("one-probe").await;
    relay.set(RelayMode::Closed).await;
    // In this time the pauses reach their longest value.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = store_calls(&fleet.metrics(2).await);
    tokio::time::sleep(Duration::from_secs(6)).await;
    // The pauses of one kind are two seconds on average and at least one.
    let calls = store_calls(&fleet.metrics(2).await) - before;
    assert!((1..=8).contains(&calls), "{calls} calls in six seconds");
    // All kinds are read again as soon as one is.
    relay.set(RelayMode::PASS).await;
    fleet.write_plan(2, &[SHOP_KEY]);
    register_upstream(&fleet.store, "late", fleet.upstreams[0].address(), "ready");
    wait_for_plan(&fleet, 2, 2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let state = fleet.state(2).await;
    let mut upstreams = state["plan"]["upstreams"].as_array().unwrap().iter();
    assert!(upstreams.any(|upstream| upstream["id"] == "late"));
}

/// Guards against 401 for a key that the newest plan contains, from an instance that knows that its plan is older.
/// Callers do not retry after 401.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_a_newer_plan_may_contain_is_not_refused_as_unknown() {
    let (fleet, mut relay) = start_behind_relay("outdated-plan").await;
    let call = |id| shop_request(Method::GET, "/previews/1", id, "new-key");
    let current = fleet.call(2, &call("unknown")).await.unwrap();
    assert_eq!(current.status, 401);
    relay.set(RelayMode::BLACKHOLE).await;
    fleet.write_plan(2, &[SHOP_KEY, "new-key"]);
    wait_for_plan(&fleet, 0, 2).await;
    // In this time the instance receives heartbeats with the new version.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let outdated = fleet.call(2, &call("outdated")).await.unwrap();
    assert_eq!(outdated.status, 503);
    assert!(outdated.headers.contains_key("retry-after"));
    relay.set(RelayMode::PASS).await;
    wait_for_plan(&fleet, 2, 2).await;
    assert_eq!(fleet.call(2, &call("known")).await.unwrap().status, 200);
}

/// Guards against an instance that missed the withdrawal of a key before an outage of the store, and takes the outage for
/// a confirmation of its plan although the others have a newer one. Found by the soak, seed 3013.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_does_not_confirm_a_plan_older_than_that_of_another_instance() {
    let (fleet, mut relay) = start_behind_relay("outage-after-cut").await;
    relay.set(RelayMode::BLACKHOLE).await;
    fleet.write_plan(2, &["another-key"]);
    wait_for_plan(&fleet, 0, 2).await;
    wait_for_plan(&fleet, 1, 2).await;
    fleet.store.set_mode(StoreMode::Unresponsive);
    // The withdrawal holds everywhere after 5 s.
    tokio::time::sleep(Duration::from_millis(5_200)).await;
    let call = shop_request(Method::POST, "/orders/1", "withdrawn", SHOP_KEY);
    let answer = fleet.call(2, &call).await.unwrap();
    assert!([401, 503].contains(&answer.status), "{}", answer.status);
    assert!(fleet.runs().is_empty());
    // The others know that no key can have been withdrawn since the outage began.
    let call = shop_request(Method::POST, "/orders/1", "kept", "another-key");
    assert_eq!(fleet.call(0, &call).await.unwrap().status, 200);
}

/// Guards against 401 for a key that was granted just before an outage of the store, while no instance could learn of it.
/// Found by the soak, seed 9112: all connections were silent when the key was granted.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_granted_just_before_an_outage_is_not_refused_as_unknown() {
    let fleet = start("granted-before-outage").await;
    fleet.store.set_mode(StoreMode::Unavailable);
    // No watch is open any more, so no instance learns of the change.
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.write_plan(2, &[SHOP_KEY, "new-key"]);
    // In this time all instances notice the outage.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for instance in 0..INSTANCES {
        let call = |key| {
            shop_request(
                Method::GET,
                "/previews/1",
                &format!("{key}-{instance}"),
                key,
            )
        };
        let unknown = fleet.call(instance, &call("new-key")).await.unwrap();
        assert_eq!(unknown.status, 503, "{instance}");
        let known = fleet.call(instance, &call(SHOP_KEY)).await.unwrap();
        assert_eq!(known.status, 200, "{instance}");
    }
}

/// Guards against a process that uses a withdrawn key or an upstream that has left after it was started again: it has no
/// memory, and its store is away or slow to return.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_instance_uses_no_withdrawn_key_and_no_upstream_that_has_left() {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "restarted",
        instances: 2,
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    fleet.write_plan(2, &["another-key"]);
    fleet.store.remove("servers", "u-0");
    wait_for_plan(&fleet, 0, 2).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.store.set_mode(StoreMode::Unavailable);
    let options = fleet.instances[0].options.clone();
    fleet.signal(0, Signal::SIGKILL);
    fleet.instances.remove(0);
    fleet.start_instance(options);
    let restarted = fleet.instances.len() - 1;
    let refused = async |fleet: &PlatformFleet, name: &str| {
        for number in 0..10 {
            let id = format!("{name}-{number}");
            let call = shop_request(Method::POST, "/orders/1", &id, SHOP_KEY);
            if let Ok(answer) = fleet.call(restarted, &call).await {
                assert!([401, 503].contains(&answer.status), "{}", answer.status);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    refused(&fleet, "away").await;
    fleet.store.set_mode(StoreMode::Up);
    refused(&fleet, "back").await;
    assert!(fleet.runs().is_empty());
    for number in 0..10 {
        let id = format!("granted-{number}");
        let call = shop_request(Method::POST, "/orders/1", &id, "another-key");
        assert_eq!(fleet.call(restarted, &call).await.unwrap().status, 200);
    }
    assert!(fleet.upstreams[0].runs().is_empty());
}

/// What an instance tells of its calls to the store.
#[derive(Debug, Clone, Copy)]
struct CallReport {
    is_reader: bool,
    role_changes: usize,
    calls: u64,
    failures: u64,
}

async fn call_reports(fleet: &PlatformFleet) -> Vec<CallReport> {
    let mut reports = Vec::new();
    for (index, instance) in fleet.instances.iter().enumerate() {
        let log = fleet
            .folder()
            .join(format!("{}.log", instance.options.name));
        let log = std::fs::read_to_string(log).unwrap();
        let is_role = |line: &&str| line.contains("The role of this instance as a reader");
        let roles: Vec<&str> = log.lines().filter(is_role).collect();
        let metrics = fleet.metrics(index).await;
        let value = |name: &str| {
            let mut lines = metrics.lines();
            let value = lines.find_map(|line| line.strip_prefix(name)).unwrap();
            value.trim().parse().unwrap()
        };
        reports.push(CallReport {
            is_reader: roles.last().is_none_or(|role| role.contains("true")),
            role_changes: roles.len(),
            calls: value("coltsfootkeel_store_calls_total "),
            failures: value("coltsfootkeel_store_failures_total "),
        });
    }
    reports
}

/// The calls to the store of readers and of other instances.
#[derive(Debug, Default)]
struct CalmCalls {
    readers: usize,
    by_readers: u64,
    by_others: u64,
    time: Duration,
}

/// Counts the calls to the store in a period in which no instance becomes or ceases to be a reader and no call fails.
/// On a busy machine, instances that are silent for a while are replaced as readers.
async fn count_calm_calls(fleet: &PlatformFleet) -> CalmCalls {
    for _ in 0..MAX_COUNTED_PERIODS {
        let started = Instant::now();
        let before = call_reports(fleet).await;
        tokio::time::sleep(COUNTED_PERIOD).await;
        let after = call_reports(fleet).await;
        let mut calm = CalmCalls {
            time: started.elapsed(),
            ..CalmCalls::default()
        };
        let mut is_calm = true;
        for (before, after) in before.iter().zip(&after) {
            is_calm &= before.role_changes == after.role_changes;
            is_calm &= before.failures == after.failures;
            let calls = after.calls - before.calls;
            if after.is_reader {
                calm.readers += 1;
                calm.by_readers += calls;
            } else {
                calm.by_others += calls;
            }
        }
        if is_calm {
            return calm;
        }
    }
    panic!("the roles of the instances never stay the same");
}

/// Guards against calls to the store that grow with the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn calls_in_calm_are_the_same_for_fleets_of_any_size() {
    for instances in [15, 60] {
        let fleet = PlatformFleet::start(FleetSetup {
            name: "calm-calls",
            instances,
            ..FleetSetup::default()
        })
        .await;
        // Instances that have just started read the list of those that started after them.
        let mut settling = count_calm_calls(&fleet).await;
        for _ in 0..MAX_COUNTED_PERIODS {
            if settling.by_others == 0 {
                break;
            }
            settling = count_calm_calls(&fleet).await;
        }
        let calm = count_calm_calls(&fleet).await;
        assert_eq!(calm.readers, 4, "{instances} instances: {calm:?}");
        assert_eq!(calm.by_others, 0, "{instances} instances: {calm:?}");
        // Watches of 1.2, 2.4, 2.4 and 8 s, and one more of each at the ends of the period.
        let watches_per_s = 1.0 / 1.2 + 2.0 / 2.4 + 1.0 / 8.0;
        let max_calls = 4.0 * (calm.time.as_secs_f64() * watches_per_s + 4.0);
        #[expect(clippy::cast_precision_loss)]
        let calls = calm.by_readers as f64;
        assert!(calls <= max_calls, "{instances} instances: {calm:?}");
    }
}
