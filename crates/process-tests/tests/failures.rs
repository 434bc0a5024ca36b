//! Behaviour of the real processes under kills, pauses, outages and drains.

use std::time::{Duration, Instant};

use coltsfootkeel_process_tests::{FleetPlan, PlannedRegion, TestFleet, wait_for};
use coltsfootkeel_standins::{CallRequest, PersistentConnection};
use http::Method;
use nix::sys::signal::Signal;

const ACCESS_KEY: &str = "test-key";

/// Guards against a planned stop that breaks a long upload or a long request, or refuses a caller whose cached look-up
/// still names the stopping daemon.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_breaks_no_request() {
    let mut fleet = TestFleet::start(&FleetPlan::with_daemons(2)).await;
    let slow = CallRequest::new(Method::POST, "/orders/slow").header("X-Work-Ms", "8000");
    let upload = CallRequest::new(Method::POST, "/echo/upload")
        .header("X-Work-Ms", "7000")
        .body(vec![3; 4 * 1024 * 1024]);
    let (slow, upload, stopped) = tokio::join!(
        fleet.send(0, slow, ACCESS_KEY),
        fleet.send(0, upload, ACCESS_KEY),
        async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.signal_daemon(0, Signal::SIGTERM);
            // The other daemon removes the stopping one from its look-ups while the stopping one still serves.
            wait_for("the look-up omits the stopping daemon", async || {
                let answer = fleet.look_up(1).await;
                answer["entries"]
                    .as_array()
                    .is_some_and(|entries| entries.len() == 1)
            })
            .await;
            fleet.call(0, Method::GET, "/orders/late", ACCESS_KEY).await
        }
    );
    assert_eq!(slow.expect("the long request is answered").status, 200);
    let upload = upload.expect("the upload is answered");
    assert_eq!((upload.status, upload.body.len()), (200, 4 * 1024 * 1024));
    let late = stopped.expect("a caller with a cached look-up is answered");
    assert_eq!(late.status, 200);
    assert_eq!(late.header("connection"), Some("close"));
    wait_for("the daemon ends with success", async || {
        fleet.has_exited_successfully(0)
    })
    .await;
}

/// Guards against a second run when a caller retries a request with an idempotency key, at the same or another
/// instance.
#[tokio::test(flavor = "multi_thread")]
async fn retry_of_a_keyed_request_gets_the_first_answer() {
    let fleet = TestFleet::start(&FleetPlan::with_daemons(3)).await;
    let prefix = fleet.look_up(0).await["idempotency_prefix"]
        .as_str()
        .expect("a prefix")
        .to_string();
    for (index, key) in [
        format!("{prefix}order-1"),
        "order-without-prefix".to_string(),
    ]
    .iter()
    .enumerate()
    {
        let request = CallRequest::new(Method::POST, "/orders/confirm")
            .header("Idempotency-Key", key)
            .body("two towels");
        let mut bodies = Vec::new();
        for daemon in [0, 0, 1, 2] {
            let answer = fleet
                .send(daemon, request.clone(), ACCESS_KEY)
                .await
                .expect("an answer");
            assert_eq!(answer.status, 200, "{key}: {:?}", answer.body);
            bodies.push(answer.body);
        }
        assert!(
            bodies.windows(2).all(|pair| pair[0] == pair[1]),
            "{key}: the answers differ"
        );
        assert_eq!(
            fleet.started_runs().await,
            index as u64 + 1,
            "{key}: ran more than once"
        );
    }
}

/// Guards against "not run" in the refusal of a retry whose first attempt did run: the caller would order again.
#[tokio::test(flavor = "multi_thread")]
async fn refused_retry_of_a_keyed_request_is_not_reported_as_not_run() {
    let plan = FleetPlan::with_daemons(1).account("small", "small-key", 1, 1);
    let fleet = TestFleet::start(&plan).await;
    let request =
        CallRequest::new(Method::POST, "/orders/confirm").header("Idempotency-Key", "order-3");
    // Rate buckets start empty, so the request is sent again until it runs.
    wait_for("the request runs", async || {
        let answer = fleet
            .send(0, request.clone(), "small-key")
            .await
            .expect("an answer");
        answer.status == 200
    })
    .await;
    for _ in 0..4 {
        let answer = fleet
            .send(0, request.clone(), "small-key")
            .await
            .expect("an answer");
        if answer.status != 200 {
            assert_eq!(
                answer.header("coltsfootkeel-run"),
                Some("unknown"),
                "{:?}",
                answer.body
            );
        }
    }
    assert_eq!(fleet.started_runs().await, 1);
}

/// Guards against a second run after the instance that owns the idempotency key is killed while the request runs.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_request_of_a_killed_instance_never_runs_twice() {
    let mut fleet = TestFleet::start(&FleetPlan::with_daemons(2)).await;
    let look_up = fleet.look_up(0).await;
    let prefix = look_up["idempotency_prefix"]
        .as_str()
        .expect("a prefix")
        .to_string();
    let owner = usize::from(look_up["entries"][0]["instance"] != "daemon-0");
    let request = CallRequest::new(Method::POST, "/orders/confirm")
        .header("Idempotency-Key", &format!("{prefix}order-2"))
        .header("X-Work-Ms", "1500");
    let entry = fleet.entry(owner);
    let first = {
        let request = request
            .clone()
            .header("Authorization", &format!("Bearer {ACCESS_KEY}"));
        tokio::spawn(async move { coltsfootkeel_standins::call_once(entry, &request).await })
    };
    wait_for("the request runs", async || fleet.started_runs().await == 1).await;
    fleet.kill_daemon(owner);
    assert!(
        first.await.expect("the task ends").is_err(),
        "the killed instance gave an answer"
    );
    fleet.start_daemon(owner);
    fleet.wait_until_settled(2).await;
    for daemon in [owner, 1 - owner] {
        let answer = fleet
            .send(daemon, request.clone(), ACCESS_KEY)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 409, "{:?}", answer.body);
        assert_eq!(answer.header("coltsfootkeel-run"), Some("unknown"));
    }
    assert_eq!(fleet.started_runs().await, 1);
}

/// Guards against "not run" in the answer to a request that was running on an upstream when it was killed.
#[tokio::test(flavor = "multi_thread")]
async fn outcome_of_a_request_on_a_killed_upstream_is_unknown() {
    let mut fleet = TestFleet::start(&FleetPlan::with_daemons(1)).await;
    let request = CallRequest::new(Method::POST, "/orders/confirm").header("X-Work-Ms", "5000");
    let entry = fleet.entry(0);
    let sent = {
        let request = request.header("Authorization", &format!("Bearer {ACCESS_KEY}"));
        tokio::spawn(async move { coltsfootkeel_standins::call_once(entry, &request).await })
    };
    wait_for("the request runs", async || fleet.started_runs().await == 1).await;
    fleet.kill_upstream(0);
    let answer = sent.await.expect("the task ends").expect("an answer");
    assert_eq!(
        answer.header("coltsfootkeel-run"),
        Some("unknown"),
        "{:?}",
        answer.body
    );
}

/// Guards against a withdrawn key that still works on a connection that is already open, or for a request that is
/// already running.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stops_working_on_open_connections() {
    let plan = FleetPlan::with_daemons(2).account("leaver", "leaver-key", 1_000, 1_000);
    let fleet = TestFleet::start(&plan).await;
    let request =
        CallRequest::new(Method::GET, "/orders/1").header("Authorization", "Bearer leaver-key");
    let mut connection = PersistentConnection::open(fleet.entry(1))
        .await
        .expect("a connection");
    assert_eq!(
        connection.call(&request).await.expect("an answer").status,
        200
    );
    let long = request.clone().header("X-Work-Ms", "9000");
    let entry = fleet.entry(0);
    let running_request =
        tokio::spawn(async move { coltsfootkeel_standins::call_once(entry, &long).await });
    wait_for("the long request runs", async || {
        fleet.started_runs().await == 2
    })
    .await;
    let generation = fleet
        .commit(|text| remove_access_keys(text, "leaver"))
        .await;
    for daemon in 0..2 {
        fleet.wait_for_generation(daemon, generation).await;
    }
    assert_eq!(
        connection.call(&request).await.expect("an answer").status,
        401
    );
    if let Ok(answer) = running_request.await.expect("the task ends") {
        assert_eq!(
            answer.status, 401,
            "an answer to a request with a withdrawn key was forwarded"
        );
    }
}

fn remove_access_keys(text: &str, account: &str) -> String {
    let name = format!("{{name: {account},");
    text.lines()
        .map(
            |line| match (line.contains(&name), line.find("access_keys: [")) {
                (true, Some(start)) => format!("{}access_keys: []}}\n", &line[..start]),
                _ => format!("{line}\n"),
            },
        )
        .collect()
}

/// Guards against a fleet that stops serving, or a new instance that cannot start, while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_does_not_stop_the_fleet() {
    let mut fleet = TestFleet::start(&FleetPlan::with_daemons(2)).await;
    fleet
        .set_platform_faults(r#"{"down": "unavailable"}"#)
        .await;
    fleet.kill_daemon(1);
    fleet.start_daemon(1);
    wait_for(
        "the new instance serves with the configuration of its neighbour",
        async || {
            fleet
                .call(1, Method::GET, "/open/1", ACCESS_KEY)
                .await
                .is_ok_and(|answer| answer.status == 200)
        },
    )
    .await;
    assert_eq!(
        fleet
            .call(0, Method::GET, "/orders/1", ACCESS_KEY)
            .await
            .expect("an answer")
            .status,
        200
    );
}

/// Guards against a configuration that reverts when the platform restarts with older data.
#[tokio::test(flavor = "multi_thread")]
async fn older_data_of_the_platform_is_overwritten() {
    let mut fleet = TestFleet::start(&FleetPlan::with_daemons(2)).await;
    let generation = fleet
        .commit(|text| text.replace("burst: 10000", "burst: 9000"))
        .await;
    for daemon in 0..2 {
        fleet.wait_for_generation(daemon, generation).await;
    }
    // The stand-in keeps its data in memory, so a new process starts with an empty store.
    fleet.kill_platform();
    fleet.start_platform().await;
    let request = CallRequest::new(Method::GET, "/v1/objects/config/manifest");
    wait_for("the newer configuration is written back", async || {
        let answer = coltsfootkeel_standins::call_once(fleet.platform(), &request).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    for daemon in 0..2 {
        let dump = fleet.dump(daemon).await.expect("a dump");
        assert_eq!(dump["config"]["generation"].as_u64(), Some(generation));
    }
}

/// Guards against new requests on a draining upstream from an instance that did not detect the drain itself.
#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_receives_no_new_requests() {
    let fleet = TestFleet::start(&FleetPlan::with_daemons(2)).await;
    fleet.control_upstream(0, r#"{"draining": true}"#).await;
    for daemon in 0..2 {
        wait_for("each instance lists the upstream as draining", async || {
            let dump = fleet.dump(daemon).await.expect("a dump");
            dump["upstreams"][0]["draining"] == true
        })
        .await;
    }
    let before = fleet.record(0).await.expect("a record").totals.started;
    for index in 0..20 {
        let answer = fleet
            .call(index % 2, Method::GET, "/orders/1", ACCESS_KEY)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{:?}", answer.body);
    }
    assert_eq!(
        fleet.record(0).await.expect("a record").totals.started,
        before
    );
}

/// Guards against a request that crashes one upstream after the other when its caller retries it.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_upstreams_is_blocked() {
    let mut plan = FleetPlan::with_daemons(2);
    for index in 2..6 {
        let mut upstream = plan.upstreams[index % 2].clone();
        upstream.name = format!("upstream-{index}");
        plan.upstreams.push(upstream);
    }
    let fleet = TestFleet::start(&plan).await;
    let crash = CallRequest::new(Method::POST, "/orders/poison")
        .header("X-Crash", "yes")
        .body("poison");
    let mut refused = 0;
    for index in 0..10 {
        let answer = fleet
            .send(index % 2, crash.clone(), ACCESS_KEY)
            .await
            .expect("an answer");
        refused += u32::from(answer.status == 422);
        // The pause lets the daemons exchange crash notices before the caller retries.
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let mut running_upstreams = 0;
    for index in 0..plan.upstreams.len() {
        running_upstreams += u32::from(fleet.record(index).await.is_some());
    }
    assert!(refused > 0, "the request was never refused");
    assert!(
        running_upstreams >= 4,
        "only {running_upstreams} of 6 upstreams are running"
    );
    let healthy_answer = fleet
        .call(0, Method::GET, "/orders/innocent", ACCESS_KEY)
        .await
        .expect("an answer");
    assert_eq!(healthy_answer.status, 200);
}

/// Guards against a daemon that still uses its old share of a rate when it resumes after a pause, although the other
/// daemon has taken over that share.
#[tokio::test(flavor = "multi_thread")]
async fn paused_daemon_does_not_exceed_the_rate() {
    let plan = FleetPlan::with_daemons(2).account("small", "small-key", 5, 5);
    let fleet = TestFleet::start(&plan).await;
    let started = Instant::now();
    let mut answered = 0_u32;
    for round in 0..3 {
        fleet.signal_daemon(0, Signal::SIGSTOP);
        for _ in 0..8 {
            let answer = fleet
                .call(1, Method::GET, "/orders/rate", "small-key")
                .await
                .expect("an answer");
            answered += u32::from(answer.status == 200);
        }
        fleet.signal_daemon(0, Signal::SIGCONT);
        for _ in 0..8 {
            let answer = fleet
                .call(0, Method::GET, "/orders/rate", "small-key")
                .await;
            answered += u32::from(answer.is_ok_and(|answer| answer.status == 200));
        }
        let allowed = 5.0 + 5.0 * started.elapsed().as_secs_f64();
        assert!(
            f64::from(answered) <= allowed,
            "round {round}: {answered} of {allowed} answered"
        );
    }
}

/// Guards against an answer that is forwarded as complete although its upstream truncated it.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_never_forwarded_as_complete() {
    let fleet = TestFleet::start(&FleetPlan::with_daemons(1)).await;
    fleet.control_upstream(0, r#"{"truncate_next": 1}"#).await;
    let body = vec![9; 1024 * 1024];
    let request = CallRequest::new(Method::POST, "/echo/cut").body(body.clone());
    match fleet.send(0, request.clone(), ACCESS_KEY).await {
        Ok(answer) => assert_ne!(
            answer.status, 200,
            "a truncated answer was forwarded as complete"
        ),
        Err(error) => assert!(error.to_string().contains("broken"), "{error}"),
    }
    let answer = fleet
        .send(0, request, ACCESS_KEY)
        .await
        .expect("the next answer");
    assert!(answer.body == body, "the next answer is incomplete");
}

/// Guards against a replacement daemon that waits forever for a seat whose holder is running, while the holder of
/// another seat in its failure domain has ended.
#[tokio::test(flavor = "multi_thread")]
async fn replacement_takes_the_seat_that_was_lost() {
    let plan = FleetPlan::with_daemons(2)
        .in_one_domain()
        .spare("daemon-9", "home-0");
    let mut fleet = TestFleet::start(&plan).await;
    let lost = fleet.dump(1).await.expect("a dump")["seat"].clone();
    fleet.kill_daemon(1);
    fleet.start_daemon(2);
    wait_for("the replacement holds the lost seat", async || {
        let dump = fleet.dump(2).await;
        dump.is_some_and(|dump| dump["seat"] == lost)
    })
    .await;
    let kept = fleet.dump(0).await.expect("a dump")["seat"].clone();
    assert_ne!(kept, lost, "the live daemon lost its seat");
}

/// Guards against slots that stay reserved after a planned stop although no request is running: an upgrade would have
/// to wait for the longest deadline after each instance.
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_usable_after_a_planned_stop() {
    let mut fleet = TestFleet::start(&FleetPlan::with_daemons(1)).await;
    fleet.signal_daemon(0, Signal::SIGTERM);
    wait_for("the daemon ends with success", async || {
        fleet.has_exited_successfully(0)
    })
    .await;
    fleet.start_daemon(0);
    fleet.wait_until_settled(1).await;
    let answer = fleet
        .call(0, Method::GET, "/open/1", ACCESS_KEY)
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200, "{:?}", answer.body);
}

/// Guards against a shift that moves no requests while its home region has free slots, and against one that exceeds its
/// cap.
#[tokio::test(flavor = "multi_thread")]
async fn shift_moves_requests_within_its_cap() {
    let mut plan = FleetPlan::with_daemons(2).section(
        "shifts:\n  - {name: out, route: orders, from: home, to: away, cap: {share_percent: 50}, state: active}\n",
    );
    let region = |name: &str, domain: &str| PlannedRegion {
        name: name.to_string(),
        failure_domains: vec![domain.to_string()],
    };
    plan.regions = vec![region("home", "home-0"), region("away", "home-1")];
    let fleet = TestFleet::start(&plan).await;
    let mut answered = 0;
    // The daemon needs a loan of a slot at the destination first, so the first requests may stay in the home region.
    wait_for("requests move", async || {
        let answer = fleet
            .call(0, Method::GET, "/orders/1", ACCESS_KEY)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        answered += 1;
        let moved = fleet.record(1).await.expect("a record").totals.started;
        assert!(
            moved * 2 <= answered,
            "{moved} of {answered} moved at a cap of 50%"
        );
        moved >= 20
    })
    .await;
}
