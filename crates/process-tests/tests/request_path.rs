//! Path of a request through separate processes: platform, upstreams and up to two daemons.

use coltsfootkeel_process_tests::{FleetPlan, TestFleet};
use coltsfootkeel_standins::{CallRequest, call_once};
use http::Method;

const ACCESS_KEY: &str = "test-key";

/// Request and its expected answer; `failure` names the fault that the case guards against.
struct RequestCase {
    failure: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    status: u16,
    run: Option<&'static str>,
    code: Option<&'static str>,
}

fn cases() -> Vec<RequestCase> {
    let case = |failure, path, headers, status, run, code| RequestCase {
        failure,
        method: Method::GET,
        path,
        headers,
        status,
        run,
        code,
    };
    vec![
        case(
            "a request with a key is not forwarded",
            "/orders/1",
            &[("Authorization", "Bearer test-key")],
            200,
            None,
            None,
        ),
        case(
            "an open route requires a key",
            "/open/1",
            &[],
            200,
            None,
            None,
        ),
        case(
            "a request without a key runs",
            "/orders/2",
            &[],
            401,
            Some("not-run"),
            Some("missing_key"),
        ),
        case(
            "a request with a wrong key runs",
            "/orders/3",
            &[("Authorization", "Bearer no-such-key")],
            401,
            Some("not-run"),
            Some("unknown_key"),
        ),
        case(
            "a request for an unknown path is forwarded",
            "/elsewhere",
            &[("Authorization", "Bearer test-key")],
            404,
            Some("not-run"),
            Some("no_route"),
        ),
        case(
            "a route prefix matches a part of a path segment",
            "/ordershop",
            &[("Authorization", "Bearer test-key")],
            404,
            Some("not-run"),
            Some("no_route"),
        ),
        case(
            "an empty idempotency key is accepted",
            "/orders/4",
            &[
                ("Authorization", "Bearer test-key"),
                ("Idempotency-Key", ""),
            ],
            400,
            Some("not-run"),
            Some("malformed"),
        ),
    ]
}

/// Guards against requests that are forwarded although they must be refused, against refusals of valid requests, and
/// against refusals that state a wrong code or run state.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_forwarded_or_refused() {
    let fleet = TestFleet::start(&FleetPlan::with_daemons(2)).await;
    let mut expected_runs = 0;
    for daemon in 0..2 {
        for case in cases() {
            let mut request = CallRequest::new(case.method.clone(), case.path);
            for (name, value) in case.headers {
                request = request.header(name, value);
            }
            let answer = call_once(fleet.entry(daemon), &request)
                .await
                .expect(case.failure);
            assert_eq!(
                answer.status, case.status,
                "{}: {:?}",
                case.failure, answer.body
            );
            assert_eq!(
                answer.header("coltsfootkeel-run"),
                case.run,
                "{}",
                case.failure
            );
            if let Some(code) = case.code {
                let body: serde_json::Value =
                    serde_json::from_slice(&answer.body).expect("refusals are JSON");
                assert_eq!(body["error"], code, "{}", case.failure);
            }
            expected_runs += u64::from(case.status == 200);
        }
    }
    // The upstreams count the requests that ran, so a request that was refused as "not run" but ran shows up here.
    assert_eq!(fleet.started_runs().await, expected_runs);
}

/// Guards against a look-up that returns the address of no running instance, or only one of the two.
#[tokio::test(flavor = "multi_thread")]
async fn look_up_ranks_both_daemons() {
    let fleet = TestFleet::start(&FleetPlan::with_daemons(2)).await;
    let answer = fleet.look_up(0).await;
    let mut addresses: Vec<&str> = answer["entries"]
        .as_array()
        .expect("entries")
        .iter()
        .filter_map(|entry| entry["address"].as_str())
        .collect();
    addresses.sort_unstable();
    let mut expected = [fleet.entry(0).to_string(), fleet.entry(1).to_string()];
    expected.sort_unstable();
    assert_eq!(addresses, expected);
    assert!(answer["life_ms"].as_u64() > Some(0));
    assert!(answer["idempotency_prefix"].is_string());
}

/// Guards against an upstream that receives the access key or headers that a caller forged.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_receive_no_key_and_no_forged_header() {
    let fleet = TestFleet::start(&FleetPlan::with_daemons(1)).await;
    let request = CallRequest::new(Method::GET, "/orders/forged")
        .header("Coltsfootkeel-Account", "somebody-else")
        .header("Coltsfootkeel-Trusted", "yes");
    let answer = fleet.send(0, request, ACCESS_KEY).await.expect("an answer");
    assert_eq!(answer.status, 200);
    let record = fleet.record(0).await.expect("the upstream answers");
    let entry = &record.entries[0].start;
    assert_eq!(entry.account.as_deref(), Some("tester"));
    assert!(!entry.authorization);
    assert!(
        entry.unexpected_headers.is_empty(),
        "{:?}",
        entry.unexpected_headers
    );
}

/// Guards against bodies that are truncated or corrupted while they are forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn body_of_32_mb_passes_in_both_directions() {
    let fleet = TestFleet::start(&FleetPlan::with_daemons(1)).await;
    let body: Vec<u8> = (0..32 * 1024 * 1024_u32)
        .map(|index| (index.wrapping_mul(2_654_435_761) >> 24) as u8)
        .collect();
    let request = CallRequest::new(Method::POST, "/echo/large").body(body.clone());
    let answer = fleet.send(0, request, ACCESS_KEY).await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert!(answer.body == body, "the echoed body differs");
}

/// Guards against a refusal that the caller never receives because it is still sending its body.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_large_upload_arrives() {
    let fleet = TestFleet::start(&FleetPlan::with_daemons(1)).await;
    for _ in 0..5 {
        let request =
            CallRequest::new(Method::POST, "/echo/refused").body(vec![7; 16 * 1024 * 1024]);
        let answer = fleet
            .send(0, request, "no-such-key")
            .await
            .expect("the refusal arrives");
        assert_eq!(answer.status, 401);
        assert_eq!(answer.header("coltsfootkeel-run"), Some("not-run"));
    }
    assert_eq!(fleet.started_runs().await, 0);
}

/// Guards against an account that exceeds its rate and burst, and against refusals without a `Retry-After` header.
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_rate_are_refused() {
    let plan = FleetPlan::with_daemons(2).account("small", "small-key", 1, 3);
    let fleet = TestFleet::start(&plan).await;
    let started = std::time::Instant::now();
    let mut refused = 0;
    let mut answered = 0_u32;
    for index in 0..12 {
        let answer = fleet
            .call(index % 2, Method::GET, "/orders/rate", "small-key")
            .await
            .expect("an answer");
        match answer.status {
            200 => answered += 1,
            429 => {
                refused += 1;
                assert_eq!(answer.header("coltsfootkeel-run"), Some("not-run"));
                assert!(answer.header("retry-after").is_some());
            }
            status => panic!("unexpected status {status}"),
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    assert!(
        refused > 0,
        "no refusal of 12 requests within {seconds} s at a burst of 3 and a rate of 1 per second"
    );
    assert!(
        f64::from(answered) <= 3.0 + seconds,
        "{answered} answered within {seconds} s"
    );
    assert_eq!(fleet.started_runs().await, u64::from(answered));
}

/// Guards against requests that are lost, or refused without stating whether they ran, after an upstream is killed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_after_a_killed_upstream_are_served_or_refused_with_a_run_state() {
    let mut fleet = TestFleet::start(&FleetPlan::with_daemons(2)).await;
    for _ in 0..10 {
        assert_eq!(
            fleet
                .call(0, Method::GET, "/orders/before", ACCESS_KEY)
                .await
                .expect("an answer")
                .status,
            200
        );
    }
    fleet.kill_upstream(0);
    for _ in 0..20 {
        let answer = fleet
            .call(0, Method::POST, "/orders/after", ACCESS_KEY)
            .await
            .expect("an answer");
        match answer.status {
            200 => {}
            _ => assert!(
                answer.header("coltsfootkeel-run").is_some(),
                "status {}",
                answer.status
            ),
        }
    }
    fleet.kill_upstream(1);
    let refusal = fleet
        .call(0, Method::GET, "/orders/none", ACCESS_KEY)
        .await
        .expect("an answer");
    assert!(
        matches!(refusal.status, 502..=504),
        "status {}",
        refusal.status
    );
}

/// Request that is invalid HTTP or too large, with the accepted statuses of its refusal.
struct BadRequest {
    failure: &'static str,
    bytes: Vec<u8>,
    statuses: &'static [&'static str],
}

/// Guards against a panic or a connection that stays open after a malformed request.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_a_4xx_and_a_closed_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = TestFleet::start(&FleetPlan::with_daemons(1)).await;
    let cases = [
        BadRequest {
            failure: "bytes that are not HTTP",
            bytes: b"\x00\x01\x02 what is this\r\n\r\n".to_vec(),
            statuses: &["400"],
        },
        BadRequest {
            failure: "a head that is too large",
            bytes: [b"GET /orders HTTP/1.1\r\nHost: a\r\nX: ".to_vec(), vec![b'a'; 200_000], b"\r\n\r\n".to_vec()].concat(),
            statuses: &["431", "400"],
        },
        BadRequest {
            failure: "a body that is too large",
            bytes: b"POST /orders HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer test-key\r\nContent-Length: 999999999999\r\n\r\n"
                .to_vec(),
            statuses: &["413"],
        },
        BadRequest {
            failure: "a request without a host",
            bytes: b"GET /orders HTTP/1.1\r\n\r\n".to_vec(),
            statuses: &["400"],
        },
        BadRequest {
            failure: "two different lengths",
            bytes: b"POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc".to_vec(),
            statuses: &["400"],
        },
    ];
    for case in cases {
        let mut stream = tokio::net::TcpStream::connect(fleet.entry(0))
            .await
            .expect("the daemon listens");
        // The daemon may close the connection before it has read the whole request, so errors are ignored.
        let _ = stream.write_all(&case.bytes).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        let text = String::from_utf8_lossy(&answer).to_string();
        let status = text.split(' ').nth(1).unwrap_or_default();
        assert!(
            case.statuses.contains(&status),
            "{}: {text:?}",
            case.failure
        );
    }
    assert_eq!(
        fleet
            .call(0, Method::GET, "/orders/still-alive", ACCESS_KEY)
            .await
            .expect("an answer")
            .status,
        200
    );
}
