//! Keys that are withdrawn when instances cannot learn of it.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    EntryOptions, FaultRelay, RelayMode, SHOP_KEY, StoreMode, shop_request,
};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};
use tokio::time::sleep;

/// Time within which a withdrawn key must stop working.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);
/// How long requests with the withdrawn key are sent after the withdrawal. The store is away for longer.
const OBSERVED_TIME: Duration = Duration::from_secs(10);
/// Time between two rounds of requests.
const REQUEST_PERIOD: Duration = Duration::from_millis(250);
/// In this time the instances register and receive heartbeats of each other.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// How the instances lose the store around the withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreLoss {
    /// The connections go silent, and the store goes down after this many milliseconds.
    Outage { after_ms: u64 },
    /// All instances are cut from the store, which serves the operator.
    Cut,
}

#[derive(Debug, Clone, Copy)]
struct WithdrawalCase {
    name: &'static str,
    instances: usize,
    loss: StoreLoss,
}

const CASES: [WithdrawalCase; 4] = [
    WithdrawalCase {
        name: "outage-just-after",
        instances: 3,
        loss: StoreLoss::Outage { after_ms: 50 },
    },
    WithdrawalCase {
        name: "outage-soon-after",
        instances: 3,
        loss: StoreLoss::Outage { after_ms: 750 },
    },
    WithdrawalCase {
        name: "cut-of-one",
        instances: 1,
        loss: StoreLoss::Cut,
    },
    WithdrawalCase {
        name: "cut-of-all",
        instances: 3,
        loss: StoreLoss::Cut,
    },
];

/// Guards against a withdrawn key that is accepted for as long as the store is away, because instances that cannot
/// reach it take that for a confirmation of their plan. Routes without keys are served meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn keys_that_are_withdrawn_just_before_the_store_is_lost_stop_working() {
    let runs = CASES.map(|case| tokio::spawn(withdraw_and_lose_store(case)));
    for run in runs {
        run.await.unwrap();
    }
}

async fn withdraw_and_lose_store(case: WithdrawalCase) {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: case.name,
        instances: 0,
        ..FleetSetup::default()
    })
    .await;
    let mut relay = FaultRelay::start(fleet.store.address()).await.unwrap();
    for index in 0..case.instances {
        fleet.start_instance(EntryOptions {
            is_revocation_strict: true,
            ..EntryOptions::on_loopback(index, relay.address())
        });
        fleet.instances[index].wait_until_ready().await.unwrap();
    }
    sleep(SETTLING_TIME).await;
    if case.loss == StoreLoss::Cut {
        relay.set(RelayMode::BLACKHOLE).await;
    }
    relay.silence_connections();
    fleet.write_plan(2, &["another-key"]);
    let withdrawn_at = Instant::now();
    if let StoreLoss::Outage { after_ms } = case.loss {
        sleep(Duration::from_millis(after_ms)).await;
        fleet.store.set_mode(StoreMode::Unresponsive);
    }
    while withdrawn_at.elapsed() < OBSERVED_TIME {
        let is_late = withdrawn_at.elapsed() > WITHDRAWAL_BOUND;
        for instance in 0..case.instances {
            let id = format!("{instance}-{}", withdrawn_at.elapsed().as_millis());
            let order = shop_request(Method::POST, "/orders/1", &id, SHOP_KEY);
            let answer = fleet.call(instance, &order).await.unwrap();
            let is_refused = answer.status == 503 && answer.header("retry-after").is_some();
            assert!(
                !is_late || is_refused,
                "{}: {id}: {}",
                case.name,
                answer.status
            );
            let page = shop_request(Method::GET, "/open/1", &id, SHOP_KEY);
            let answer = fleet.call(instance, &page).await.unwrap();
            assert_eq!(answer.status, 200, "{}: {id}", case.name);
        }
        sleep(REQUEST_PERIOD).await;
    }
    if case.instances > 1 {
        // Callers of the routes without keys still learn where to go.
        assert!(!fleet.look_up(0).await.is_empty(), "{}", case.name);
    }
}

/// Guards against the only registered instance that takes its own loss of the store for an outage for all, also where
/// the bound on withdrawals is not strict: its own failed calls are no evidence of what others reach.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_others_does_not_take_its_cut_for_an_outage() {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "cut-of-the-last",
        instances: 1,
        ..FleetSetup::default()
    })
    .await;
    let mut relay = FaultRelay::start(fleet.store.address()).await.unwrap();
    fleet.start_instance(EntryOptions::on_loopback(1, relay.address()));
    fleet.instances[1].wait_until_ready().await.unwrap();
    sleep(SETTLING_TIME).await;
    fleet.signal(0, Signal::SIGTERM);
    while !fleet.instances[0].has_ended().unwrap() {
        sleep(Duration::from_millis(20)).await;
    }
    // The other instance learns from the store that it is the only one that is left.
    sleep(SETTLING_TIME).await;
    relay.set(RelayMode::BLACKHOLE).await;
    relay.silence_connections();
    fleet.write_plan(2, &["another-key"]);
    sleep(WITHDRAWAL_BOUND).await;
    let order = shop_request(Method::POST, "/orders/1", "withdrawn", SHOP_KEY);
    let answer = fleet.call(1, &order).await.unwrap();
    assert_eq!(answer.status, 503);
    assert!(fleet.runs().is_empty());
}
