//! Requests to entry processes that run on stand-ins of the platform's store and upstreams.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    CallRequest, EntryOptions, SHOP_HOST, SHOP_KEY, SignedUpstream, StoreMode, UpstreamFault,
    register_upstream, shop_config, shop_request,
};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::Value;

/// Returns a request with the access key of the client account `hotel`.
fn request(method: Method, path: &str, attempt_id: &str) -> CallRequest {
    shop_request(method, path, attempt_id, SHOP_KEY)
}

/// Returns a request with the access key of the client account `hotel` and an affinity key.
fn object_request(method: Method, path: &str, attempt_id: &str, object: &str) -> CallRequest {
    CallRequest::new(method, path)
        .header("host", SHOP_HOST)
        .header("coltsfootkeel-attempt-id", attempt_id)
        .header("coltsfootkeel-request-deadline", "3000")
        .header("coltsfootkeel-affinity-key", object)
        .header("authorization", &format!("Token {SHOP_KEY}"))
}

struct AnswerCase {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: Option<&'static str>,
    status: u16,
    runs: usize,
}

/// Guards against requests that run without a valid key, against keys and account names of callers that are forwarded
/// to an upstream, and against rejections of requests that the plan allows.
#[tokio::test(flavor = "multi_thread")]
async fn requests_run_only_for_the_account_of_their_key() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "accounts",
        ..FleetSetup::default()
    })
    .await;
    let cases = [
        AnswerCase {
            name: "a key",
            method: Method::GET,
            path: "/previews/1?size=2",
            key: Some("Token hotel-key"),
            status: 200,
            runs: 1,
        },
        AnswerCase {
            name: "an unknown key",
            method: Method::GET,
            path: "/previews/1",
            key: Some("Token other-key"),
            status: 401,
            runs: 0,
        },
        AnswerCase {
            name: "no key",
            method: Method::POST,
            path: "/orders/1",
            key: None,
            status: 401,
            runs: 0,
        },
        AnswerCase {
            name: "an open route",
            method: Method::GET,
            path: "/open/1",
            key: None,
            status: 200,
            runs: 1,
        },
        AnswerCase {
            name: "no route",
            method: Method::GET,
            path: "/nothing/1",
            key: Some("Token hotel-key"),
            status: 404,
            runs: 0,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let id = format!("attempt-{number}");
        let mut call = CallRequest::new(case.method, case.path)
            .header("host", SHOP_HOST)
            .header("coltsfootkeel-attempt-id", &id)
            .header("coltsfootkeel-request-deadline", "1500")
            .header("coltsfootkeel-tenant", "somebody-else");
        if let Some(key) = case.key {
            call = call.header("authorization", key);
        }
        let answer = fleet.call(0, &call).await.unwrap();
        assert_eq!(answer.status, case.status, "{}", case.name);
        let runs = fleet.runs();
        let own: Vec<_> = runs.iter().filter(|run| run.attempt_id == id).collect();
        assert_eq!(own.len(), case.runs, "{}", case.name);
        for run in own {
            assert_eq!(run.path, case.path, "{}", case.name);
            assert!(!run.has_key, "{}", case.name);
            let expected = case.key.map(|_| "hotel");
            assert_eq!(run.account.as_deref(), expected, "{}", case.name);
            let deadline_ms = run.deadline_ms.unwrap();
            assert!((500..=1_500).contains(&deadline_ms), "{deadline_ms}");
        }
        if case.status == 200 {
            assert!(answer.header("coltsfootkeel-response-signature").is_some());
            assert_eq!(answer.header("coltsfootkeel-attempt-id"), Some(id.as_str()));
        }
    }
}

struct FaultCase {
    name: &'static str,
    fault: UpstreamFault,
    method: Method,
    path: &'static str,
    /// The statuses that describe the outcome correctly.
    statuses: &'static [u16],
    /// The highest number of times that upstreams may run the request.
    max_runs: usize,
}

/// Guards against a non-idempotent request that runs twice, a "not run" rejection of a request that may have run, and a
/// response that belongs to another request.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_upstreams_never_cause_a_wrong_answer() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "faults",
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    let cases = [
        FaultCase {
            name: "refused everywhere",
            fault: UpstreamFault::RejectAll,
            method: Method::POST,
            path: "/orders/1",
            statuses: &[503],
            max_runs: 0,
        },
        FaultCase {
            name: "answer lost",
            fault: UpstreamFault::CloseBeforeAnswer,
            method: Method::POST,
            path: "/orders/2",
            statuses: &[502, 504],
            max_runs: 1,
        },
        FaultCase {
            name: "answer lost, may be repeated",
            fault: UpstreamFault::CloseBeforeAnswer,
            method: Method::GET,
            path: "/previews/3",
            statuses: &[502, 504],
            max_runs: 3,
        },
        FaultCase {
            name: "the answer of another request",
            fault: UpstreamFault::WrongAttemptId,
            method: Method::POST,
            path: "/orders/4",
            statuses: &[502],
            max_runs: 1,
        },
        FaultCase {
            name: "a success without a signature",
            fault: UpstreamFault::MissingSignature,
            method: Method::POST,
            path: "/orders/5",
            statuses: &[502],
            max_runs: 1,
        },
        FaultCase {
            name: "healthy again",
            fault: UpstreamFault::None,
            method: Method::POST,
            path: "/orders/6",
            statuses: &[200],
            max_runs: 1,
        },
    ];
    for case in cases {
        for upstream in &fleet.upstreams {
            upstream.set_fault(case.fault);
        }
        let call = request(case.method, case.path, case.path).body("two towels");
        let answer = fleet.call(0, &call).await.unwrap();
        assert!(
            case.statuses.contains(&answer.status),
            "{}: {}",
            case.name,
            answer.status
        );
        let runs = fleet.runs();
        let count = runs
            .iter()
            .filter(|run| run.attempt_id == case.path)
            .count();
        assert!(count <= case.max_runs, "{}: {count} runs", case.name);
        if answer.status == 503 {
            let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
            assert!((0.1..=1.0).contains(&after), "{}: {after}", case.name);
        }
        // Upstreams that failed are avoided for 800 ms at first.
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
}

/// Guards against an idempotent request that waits until its deadline for an upstream that stopped answering. This
/// happened to hedged requests when the limit on the duration of an attempt did not apply to them.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_leave_an_unresponsive_upstream() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "silent",
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    fleet.upstreams[0].set_fault(UpstreamFault::NeverAnswer);
    for number in 0..8 {
        let id = format!("silent-{number}");
        let call = request(Method::GET, "/previews/1", &id);
        let answer = fleet.call(0, &call).await.unwrap();
        assert_eq!(answer.status, 200, "{id}");
    }
    assert!(!fleet.upstreams[0].runs().is_empty(), "none was sent there");
}

/// Guards against a withdrawn key that is still accepted, a plan that takes effect too late, and an older plan that
/// replaces a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn newer_plan_takes_effect_and_is_never_replaced_by_an_older_one() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "plans",
        instances: 2,
        ..FleetSetup::default()
    })
    .await;
    fleet.write_plan(3, &["another-key"]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    // An older version is written after a newer one.
    fleet.write_plan(2, &["hotel-key"]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for instance in 0..2 {
        let call = request(Method::GET, "/previews/1", "withdrawn");
        let answer = fleet.call(instance, &call).await.unwrap();
        assert_eq!(answer.status, 401, "instance {instance}");
        assert_eq!(fleet.state(instance).await["plan"]["version"], 3);
    }
    assert!(fleet.runs().is_empty());
}

/// Guards against a daemon that stops because of an invalid object in the store, and against an invalid configuration
/// that replaces a valid one.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_objects_leave_the_others_in_force() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "garbage",
        ..FleetSetup::default()
    })
    .await;
    let store = &fleet.store;
    store.put("config", "main", Value::from("not a plan"), Value::Null);
    store.put("servers", "odd-1", Value::from(7), Value::Null);
    let mut odd = shop_config(9, &[]);
    odd["info"] = Value::from("none");
    store.put("servers", "odd-2", odd, Value::Null);
    store.compact_history();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let call = request(Method::GET, "/previews/1", "still-served");
    assert_eq!(fleet.call(0, &call).await.unwrap().status, 200);
}

/// Guards against requests to an upstream after it announced that it drains, also when the watch history was lost.
#[tokio::test(flavor = "multi_thread")]
async fn draining_upstreams_receive_no_new_requests() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "drains",
        upstreams: 3,
        ..FleetSetup::default()
    })
    .await;
    let draining = &fleet.upstreams[0];
    register_upstream(&fleet.store, draining.id(), draining.address(), "draining");
    fleet.store.remove("servers", "u-1");
    fleet.store.compact_history();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for number in 0..30 {
        let id = format!("after-{number}");
        let call =
            request(Method::GET, "/previews/1", &id).header("coltsfootkeel-affinity-key", &id);
        assert_eq!(fleet.call(0, &call).await.unwrap().status, 200);
    }
    for upstream in &fleet.upstreams[..2] {
        let runs = upstream.runs();
        assert!(runs.is_empty(), "{}: {}", upstream.id(), runs.len());
    }
}

/// Guards against a retry at an upstream that began to drain after the request arrived: the request used the list of
/// upstreams of its arrival. Found by a randomized run (full-region.toml on Sulam Bersama, seed 253439409424).
#[tokio::test(flavor = "multi_thread")]
async fn retries_skip_upstreams_that_began_to_drain() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "again",
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    fleet.upstreams[0].set_fault(UpstreamFault::NeverAnswer);
    let address = fleet.instances[0].options.addresses.entry;
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let id = format!("again-{number}");
            let call = request(Method::GET, "/previews/1", &id);
            tokio::spawn(async move { coltsfootkeel_standins::call_once(address, &call).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let draining = &fleet.upstreams[1];
    register_upstream(&fleet.store, draining.id(), draining.address(), "draining");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let drained_at = Instant::now();
    for caller in callers {
        // Requests that were sent to the silent upstream may fail.
        caller.await.unwrap().unwrap();
    }
    assert!(!fleet.upstreams[0].runs().is_empty(), "none was sent there");
    assert!(
        draining
            .runs()
            .iter()
            .all(|run| run.started_at < drained_at)
    );
}

/// Guards against a planned stop that interrupts requests, and against look-ups that still return an instance that
/// stops.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_interrupts_no_request() {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "stops",
        instances: 2,
        work: Duration::from_millis(100),
        ..FleetSetup::default()
    })
    .await;
    let stopping = fleet.instances[0].options.addresses.entry.to_string();
    // In this time each instance receives several heartbeats of the other one.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(fleet.look_up(1).await.contains(&stopping));
    let address = fleet.instances[0].options.addresses.entry;
    let callers: Vec<_> = (0..40_u64)
        .map(|number| {
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(number * 50)).await;
                let id = format!("stop-{number}");
                let call = request(Method::POST, "/orders/1", &id);
                coltsfootkeel_standins::call_once(address, &call).await
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.signal(0, Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!fleet.look_up(1).await.contains(&stopping));
    for caller in callers {
        let answer = caller.await.unwrap().unwrap();
        assert_eq!(answer.status, 200);
    }
    let started = Instant::now();
    while !fleet.instances[0].has_ended().unwrap() {
        assert!(started.elapsed() < Duration::from_secs(6), "still running");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        !fleet
            .store
            .names("entry-instances")
            .contains(&"entry-0".to_string())
    );
}

/// Guards against a fleet that rejects keys in an outage of the store, and against an isolated instance that accepts
/// keys which may have been withdrawn.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_accepted_in_a_store_outage_but_not_by_an_isolated_instance() {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "outage",
        instances: 2,
        ..FleetSetup::default()
    })
    .await;
    // In this time both instances register and receive heartbeats of each other.
    tokio::time::sleep(Duration::from_millis(600)).await;
    fleet.store.set_mode(StoreMode::Unresponsive);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let call = request(Method::GET, "/previews/1", "during-the-outage");
    for instance in 0..2 {
        assert_eq!(fleet.call(instance, &call).await.unwrap().status, 200);
    }
    // Without heartbeats of the other instance, instance 0 has no evidence that the store is down for it as well.
    fleet.signal(1, Signal::SIGKILL);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let alone = request(Method::GET, "/previews/1", "alone");
    let answer = fleet.call(0, &alone).await.unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(fleet.runs().iter().all(|run| run.attempt_id != "alone"));
    fleet.store.set_mode(StoreMode::Up);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let store = fleet.store.address();
    fleet.start_instance(EntryOptions::on_loopback(2, store));
    fleet.instances[2].wait_until_ready().await.unwrap();
    let back = request(Method::GET, "/previews/1", "back");
    assert_eq!(fleet.call(0, &back).await.unwrap().status, 200);
}

/// Guards against a process that was suspended while a key was withdrawn and then accepts the key, because it confirms
/// its plan with old heartbeats from its socket buffer. Found by a randomized run (clocks-and-pauses.toml on Sulam
/// Bersama, seed 1003868310743).
#[tokio::test(flavor = "multi_thread")]
async fn suspended_process_accepts_no_withdrawn_key() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "pause",
        instances: 3,
        ..FleetSetup::default()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    fleet.signal(0, Signal::SIGSTOP);
    // Heartbeats with the old plan wait in the socket buffer.
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.write_plan(2, &["another-key"]);
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    let address = fleet.instances[0].options.addresses.entry;
    let callers: Vec<_> = (0..20)
        .map(|number| {
            let id = format!("paused-{number}");
            let call = request(Method::POST, "/orders/1", &id);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(number * 3)).await;
                coltsfootkeel_standins::call_once(address, &call).await
            })
        })
        .collect();
    fleet.signal(0, Signal::SIGCONT);
    for caller in callers {
        let answer = caller.await.unwrap().unwrap();
        assert!([401, 503].contains(&answer.status), "{}", answer.status);
    }
    assert!(fleet.runs().is_empty());
}

/// Guards against an upstream that runs requests for another one which had its address before.
#[tokio::test(flavor = "multi_thread")]
async fn reused_address_runs_no_request_for_the_previous_upstream() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "reuse",
        upstreams: 2,
        ..FleetSetup::default()
    })
    .await;
    let spec = serde_json::json!({
        "address": fleet.upstreams[0].address(),
        "info": {"service": "orders", "version": "v1", "zone": "a-1", "slots": 9},
    });
    let status = serde_json::json!({"state": "ready", "seq": 1, "cold_remaining": "0ms"});
    fleet.store.remove("servers", "u-0");
    fleet.store.put("servers", "u-before", spec, status);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..20 {
        let id = format!("reuse-{number}");
        let call =
            request(Method::POST, "/orders/1", &id).header("coltsfootkeel-affinity-key", &id);
        assert_eq!(fleet.call(0, &call).await.unwrap().status, 200, "{id}");
    }
    assert!(fleet.upstreams[0].runs().is_empty());
}

/// Guards against objects that move to other upstreams, where requests take several times as long, after a
/// simultaneous restart of all instances.
#[tokio::test(flavor = "multi_thread")]
async fn object_placements_survive_a_restart_of_all_instances() {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "restart",
        ..FleetSetup::default()
    })
    .await;
    let call = |object: usize, phase: &str| {
        let id = format!("{phase}-{object}");
        object_request(Method::POST, "/orders/1", &id, &object.to_string())
    };
    for object in 0..20 {
        let answer = fleet.call(0, &call(object, "before")).await.unwrap();
        assert_eq!(answer.status, 200, "{object}");
    }
    let until = Instant::now() + Duration::from_secs(10);
    while fleet.store.names("warm-places").len() < 4 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.signal(0, Signal::SIGKILL);
    // Most objects prefer one of these upstreams to the one that handled them.
    for index in 1..6 {
        let id = format!("u-{index}");
        let upstream = SignedUpstream::start(&id, Duration::from_millis(10));
        let upstream = upstream.await.unwrap();
        register_upstream(&fleet.store, upstream.id(), upstream.address(), "ready");
        fleet.upstreams.push(upstream);
    }
    let options = EntryOptions::on_loopback(1, fleet.store.address());
    fleet.start_instance(options);
    fleet.instances[1].wait_until_ready().await.unwrap();
    for object in 0..20 {
        let answer = fleet.call(1, &call(object, "after")).await.unwrap();
        assert_eq!(answer.status, 200, "{object}");
    }
    assert_eq!(fleet.upstreams[0].runs().len(), 40);
}

/// Guards against an attempt that is abandoned at a slow upstream although no other upstream is available.
#[tokio::test(flavor = "multi_thread")]
async fn slow_upstream_is_not_abandoned_without_an_alternative() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "slow",
        ..FleetSetup::default()
    })
    .await;
    let call = |id: &str| object_request(Method::GET, "/previews/1", id, "one-object");
    let usual = fleet.call(0, &call("usual")).await.unwrap();
    assert_eq!(usual.status, 200);
    fleet.upstreams[0].set_fault(UpstreamFault::Slow);
    let slow = fleet.call(0, &call("slow")).await.unwrap();
    assert_eq!(slow.status, 200);
}

/// Guards against metrics that do not tell in which region requests run and why.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_placements_by_region_and_reason() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "placements",
        ..FleetSetup::default()
    })
    .await;
    for number in 0..3 {
        let id = format!("attempt-{number}");
        let call = object_request(Method::GET, "/previews/1", &id, "object");
        assert_eq!(fleet.call(0, &call).await.unwrap().status, 200);
    }
    let metrics = fleet.metrics(0).await;
    let count = |reason: &str, value| {
        let line =
            format!("coltsfootkeel_placements_total{{region=\"a\",reason=\"{reason}\"}} {value}\n");
        assert!(metrics.contains(&line), "{line}{metrics}");
    };
    count("new", 1);
    count("warm", 2);
    count("overflow", 0);
}
