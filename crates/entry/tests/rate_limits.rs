//! Upstreams that state how many requests per second they take from all instances together.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{CallAnswer, SHOP_KEY, call_once, shop_request};
use http::Method;
use platform_fleet::{FleetSetup, PlatformFleet};

const INSTANCES: usize = 3;
/// The limit that an upstream states, in requests per second.
const LIMIT_PER_S: f64 = 4.0;
/// The most requests that the limited upstream may get in [`COUNTED_PERIOD`]: one and a half times the limit, and five.
const MAX_REQUESTS: usize = 29;
const COUNTED_PERIOD: Duration = Duration::from_secs(4);
/// The time between two requests of the callers.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

async fn start(name: &'static str, upstreams: usize) -> PlatformFleet {
    let fleet = PlatformFleet::start(FleetSetup {
        name,
        instances: INSTANCES,
        upstreams,
        ..FleetSetup::default()
    })
    .await;
    // In this time the instances register and receive heartbeats of each other.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// Sends requests to all instances in turn for `duration`, and returns the statuses of their answers.
async fn send(fleet: &PlatformFleet, name: &str, duration: Duration) -> Vec<u16> {
    let started = Instant::now();
    let mut callers = Vec::new();
    while started.elapsed() < duration {
        let number = callers.len();
        let address = fleet.instances[number % INSTANCES].options.addresses.entry;
        let call = shop_request(
            Method::GET,
            "/previews/1",
            &format!("{name}-{number}"),
            SHOP_KEY,
        );
        callers.push(tokio::spawn(async move { call_once(address, &call).await }));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let mut statuses = Vec::new();
    for caller in callers {
        statuses.push(caller.await.unwrap().unwrap().status);
    }
    statuses
}

/// Returns the most requests that an upstream ran within [`COUNTED_PERIOD`], of those that began after `from`.
fn most_in_period(fleet: &PlatformFleet, upstream: usize, from: Instant) -> usize {
    let runs = fleet.upstreams[upstream].runs();
    let mut times: Vec<Instant> = runs.iter().map(|run| run.started_at).collect();
    times.retain(|time| *time > from);
    times.sort_unstable();
    let ends = times.iter().map(|start| {
        let end = *start + COUNTED_PERIOD;
        times
            .iter()
            .filter(|time| **time >= *start && **time < end)
            .count()
    });
    ends.max().unwrap_or_default()
}

/// Guards against an upstream in need that gets more requests than it takes from all instances together, against a
/// limit that lies idle, and against one that still holds after the upstream no longer states it.
#[tokio::test(flavor = "multi_thread")]
async fn limited_upstream_gets_requests_at_its_limit_until_it_ends() {
    let fleet = start("rate-limit", 2).await;
    fleet.upstreams[0].set_rate_limit(Some(LIMIT_PER_S));
    send(&fleet, "first", Duration::from_millis(500)).await;
    let limited_at = Instant::now();
    let statuses = send(&fleet, "limited", Duration::from_secs(6)).await;
    let most = most_in_period(&fleet, 0, limited_at);
    assert!(most <= MAX_REQUESTS, "{most}");
    assert!(most >= 8, "{most}: half of the limit lies idle");
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 20 > statuses.len() * 19, "{statuses:?}");
    fleet.upstreams[0].set_rate_limit(None);
    send(&fleet, "ended", Duration::from_secs(2)).await;
    let ended_at = Instant::now();
    send(&fleet, "after", Duration::from_secs(4)).await;
    let most = most_in_period(&fleet, 0, ended_at);
    assert!(most > MAX_REQUESTS, "{most}");
}

/// Guards against requests that wait for upstreams whose limits do not let them be sent in time.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_limit_cannot_serve_is_refused_at_once() {
    let fleet = start("limited-pool", 1).await;
    fleet.upstreams[0].set_rate_limit(Some(0.25));
    send(&fleet, "first", Duration::from_secs(1)).await;
    let address = fleet.instances[0].options.addresses.entry;
    let mut refused: Vec<(CallAnswer, Duration)> = Vec::new();
    for number in 0..10 {
        let call = shop_request(
            Method::POST,
            "/orders/1",
            &format!("late-{number}"),
            SHOP_KEY,
        );
        let sent_at = Instant::now();
        let answer = call_once(address, &call).await.unwrap();
        if answer.status != 200 {
            refused.push((answer, sent_at.elapsed()));
        }
    }
    assert!(refused.len() >= 8, "{}", refused.len());
    for (answer, took) in refused {
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        assert!(took < Duration::from_millis(100), "{took:?}");
    }
}
