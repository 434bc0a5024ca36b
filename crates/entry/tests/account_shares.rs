//! Accounts that press against their limit while the instances that share it stop or restart.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{SHOP_KEY, call_once, shop_config, shop_request};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::{Value, json};
use tokio::time::sleep;

const INSTANCES: usize = 4;
/// The window, the tolerance and the slack in the settings of the instances.
const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// The time between two requests of the account at one instance.
const CALL_INTERVAL: Duration = Duration::from_millis(15);

enum Disturbance {
    /// All instances but one are stopped as planned. They take requests for half of the grace period of 6 s.
    Stop,
    /// All instances are killed and started again, this many times.
    Restart(usize),
}

struct PressCase {
    name: &'static str,
    rate_per_s: f64,
    burst: f64,
    /// How long the account has pressed before the disturbance.
    pressed_for: Duration,
    disturbance: Disturbance,
    /// The least part of the rate that the account gets from the disturbance on.
    min_fraction: f64,
}

/// Sends requests to one instance until `end`. They must not be repeated, so each runs once at most.
async fn press(address: std::net::SocketAddr, instance: usize, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("press-{instance}-{number}");
        let call = shop_request(Method::POST, "/orders/1", &id, SHOP_KEY);
        tokio::spawn(async move { call_once(address, &call).await });
        number += 1;
        sleep(CALL_INTERVAL).await;
    }
}

/// Returns the most of the ascending `times` that are within one [`WINDOW`].
fn most_in_window(times: &[Instant]) -> usize {
    let ends = times.iter().enumerate().map(|(first, start)| {
        let end = *start + WINDOW;
        times.partition_point(|time| *time < end) - first
    });
    ends.max().unwrap_or_default()
}

/// Returns the times at which upstreams began to run a request, and how many of them were after the disturbance.
async fn run(case: &PressCase) -> (Vec<Instant>, usize) {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: case.name,
        instances: INSTANCES,
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    let mut plan = shop_config(2, &[SHOP_KEY]);
    plan["tenants"][0]["rate_per_s"] = json!(case.rate_per_s);
    plan["tenants"][0]["burst"] = json!(case.burst);
    fleet.store.put("config", "main", plan, Value::Null);
    // Longer than the time in which a change of the plan takes effect.
    sleep(Duration::from_millis(2_500)).await;
    let disturbed_at = Instant::now() + case.pressed_for;
    let end = disturbed_at + WINDOW;
    let instances = fleet.instances.iter().enumerate();
    let callers = instances
        .map(|(index, instance)| tokio::spawn(press(instance.options.addresses.entry, index, end)));
    let callers: Vec<_> = callers.collect();
    sleep(case.pressed_for).await;
    match case.disturbance {
        Disturbance::Stop => {
            for instance in 1..INSTANCES {
                fleet.signal(instance, Signal::SIGTERM);
            }
        }
        Disturbance::Restart(count) => {
            for _ in 0..count {
                for instance in 0..INSTANCES {
                    fleet.restart_instance(instance);
                }
                sleep(Duration::from_secs(2)).await;
            }
        }
    }
    for caller in callers {
        caller.await.unwrap();
    }
    let mut times: Vec<Instant> = fleet.runs().iter().map(|run| run.started_at).collect();
    times.sort_unstable();
    let after = times.len() - times.partition_point(|time| *time < disturbed_at);
    (times, after)
}

/// Checks the most requests in a window, and that enough run after the disturbance.
async fn check_limits(cases: &[PressCase]) {
    let mut failures = Vec::new();
    for case in cases {
        let (times, after) = run(case).await;
        let rated = case.rate_per_s * WINDOW.as_secs_f64();
        let max_runs = (rated + case.burst) * (1.0 + TOLERANCE) + SLACK;
        let min_runs = rated * case.min_fraction;
        #[expect(clippy::cast_precision_loss)]
        let (most, after) = (most_in_window(&times) as f64, after as f64);
        let result = format!(
            "{}: {most} in a window, at most {max_runs}; {after} afterwards, at least {min_runs}",
            case.name
        );
        println!("{result}");
        if most > max_runs || after < min_runs {
            failures.push(result);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a limit that is exceeded because the share of an instance that stops or has restarted is spent a second
/// time, and against one that lies idle then.
#[tokio::test(flavor = "multi_thread")]
async fn instances_that_stop_or_restart_spend_an_account_once() {
    let cases = [
        PressCase {
            name: "press-stop",
            rate_per_s: 60.0,
            burst: 60.0,
            pressed_for: Duration::from_secs(3),
            disturbance: Disturbance::Stop,
            min_fraction: 0.5,
        },
        PressCase {
            name: "press-restart",
            rate_per_s: 20.0,
            burst: 120.0,
            // The burst is in no window with a restart.
            pressed_for: Duration::from_millis(5_500),
            disturbance: Disturbance::Restart(2),
            min_fraction: 0.25,
        },
    ];
    check_limits(&cases).await;
}

/// Guards against restarts that add to a burst in the same window.
#[tokio::test(flavor = "multi_thread")]
async fn restarts_of_all_instances_after_a_burst_stay_within_the_limit() {
    check_limits(&[PressCase {
        name: "press-burst-restart",
        rate_per_s: 20.0,
        burst: 120.0,
        pressed_for: Duration::from_secs(3),
        disturbance: Disturbance::Restart(2),
        min_fraction: 0.25,
    }])
    .await;
}
