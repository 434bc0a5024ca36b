//! Tests of changes through the administration API: repeated and concurrent calls, lost responses, and failures of the
//! platform.

mod admin_fleet;

use std::path::Path;

use admin_fleet::{AdminFleet, OperatorCall, digest_of};
use coltsfootkeel_standins::{CallRequest, call_once};
use http::Method;
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootkeeld");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const FIRST_PORT: u16 = 17_100;

async fn start(daemon_count: u16, port_offset: u16) -> AdminFleet {
    let first_port = FIRST_PORT + port_offset;
    AdminFleet::start(
        Path::new(PROGRAM),
        Path::new(FOLDER),
        daemon_count,
        first_port,
    )
    .await
}

struct RepeatCase {
    label: &'static str,
    path: &'static str,
    body: &'static str,
    status: u16,
    generation: u64,
    newest: u64,
}

/// Guards against a repeated change that is made twice or refused because the first one is in force, and against a
/// different change with the same key that is answered as a repeat.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_change_with_the_same_key_is_made_once() {
    let fleet = start(1, 0).await;
    let cases = [
        RepeatCase {
            label: "first call",
            path: "/v1/departments/weddings",
            body: r#"{"name": "weddings"}"#,
            status: 200,
            generation: 2,
            newest: 2,
        },
        RepeatCase {
            label: "repeat",
            path: "/v1/departments/weddings",
            body: r#"{"name": "weddings"}"#,
            status: 200,
            generation: 2,
            newest: 2,
        },
        RepeatCase {
            label: "another change with the same key",
            path: "/v1/departments/baptisms",
            body: r#"{"name": "baptisms"}"#,
            status: 422,
            generation: 0,
            newest: 2,
        },
    ];
    for case in cases {
        let call = OperatorCall::new(Method::PUT, case.path, case.body);
        let (status, body) = fleet.call(&call.header("Idempotency-Key", "wed-1")).await;
        assert_eq!(status, case.status, "{}: {body}", case.label);
        let generation = body["generation"].as_u64().unwrap_or_default();
        assert_eq!(generation, case.generation, "{}: {body}", case.label);
        assert_eq!(fleet.generation().await, case.newest, "{}", case.label);
    }
    let remove = OperatorCall::new(Method::DELETE, "/v1/departments/weddings", "");
    let remove = remove.header("Idempotency-Key", "wed-2");
    for label in ["removal", "repeat of the removal"] {
        let (status, body) = fleet.call(&remove).await;
        assert_eq!(status, 200, "{label}: {body}");
        assert_eq!(body["generation"], 3, "{label}: {body}");
    }
}

/// Guards against a change that the daemon or a repeated call makes again because the platform's response to the write
/// was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_of_the_platform_does_not_repeat_the_change() {
    let fleet = start(1, 10).await;
    fleet
        .set_faults(r#"{"lose_answers": 1, "lose_answer_prefix": "config/manifest"}"#)
        .await;
    let put = OperatorCall::new(
        Method::PUT,
        "/v1/departments/weddings",
        r#"{"name": "weddings"}"#,
    );
    let put = put.header("Idempotency-Key", "lost-1");
    for label in ["first call", "repeat"] {
        let (status, body) = fleet.call(&put).await;
        assert_eq!(status, 200, "{label}: {body}");
        assert_eq!(body["generation"], 2, "{label}: {body}");
    }
    assert_eq!(fleet.generation().await, 2);
}

/// Guards against an unknown outcome that is reported as a failure or a success, and against a repeated call that makes
/// the change again. The relay loses the response to the write and closes all connections until it is restored.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_resolves_an_unknown_outcome() {
    let first_port = FIRST_PORT + 60;
    let fleet =
        AdminFleet::start_behind_relay(Path::new(PROGRAM), Path::new(FOLDER), first_port).await;
    let body = r#"{"name": "weddings"}"#;
    let put = OperatorCall::new(Method::PUT, "/v1/departments/weddings", body);
    let put = put.header("Idempotency-Key", "unknown-1");
    let (status, answer) = fleet.call(&put).await;
    assert_eq!(status, 504, "{answer}");
    assert_eq!(answer["error"], "outcome_unknown", "{answer}");
    assert_eq!(answer["write_id"], "unknown-1", "{answer}");
    fleet.relay.as_ref().unwrap().restore();
    let (status, answer) = fleet.call(&put).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(
        (&answer["generation"], &answer["repeated"]),
        (&Value::from(2), &Value::from(true))
    );
    assert_eq!(fleet.generation().await, 2);
}

/// Guards against two simultaneous calls with the same idempotency key that create two generations or are refused as a
/// conflict, and against an access key that is returned by the call whose grant was not stored.
#[tokio::test(flavor = "multi_thread")]
async fn simultaneous_calls_with_the_same_key_make_one_change() {
    const ROUNDS: u64 = 8;
    let fleet = start(1, 70).await;
    for round in 0..ROUNDS {
        let body = format!(r#"{{"label": "round-{round}"}}"#);
        let key = format!("grant-{round}");
        let path = "/v1/client-accounts/printers/access-keys";
        let grant = OperatorCall::new(Method::POST, path, &body);
        let grant = grant.header("Idempotency-Key", &key);
        let (one, two) = tokio::join!(fleet.call(&grant), fleet.call(&grant));
        let mut granted = Vec::new();
        for (status, answer) in [one, two] {
            assert_eq!(status, 201, "{round}: {answer}");
            assert_eq!(answer["generation"], round + 2, "{round}: {answer}");
            granted.extend(answer["access_key"].as_str().map(str::to_string));
        }
        assert_eq!(granted.len(), 1, "{round}: one of the two made the change");
        let stored = fleet.get("/v1/client-accounts/printers").await.to_string();
        assert!(
            stored.contains(&digest_of(&granted[0])),
            "{round}: {stored}"
        );
    }
    assert_eq!(fleet.generation().await, ROUNDS + 1);
}

/// Guards against a change that is committed on top of older data after the platform has restarted, which would revert
/// the configuration in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_the_platform_lost_data_keeps_the_configuration_in_force() {
    let fleet = start(1, 80).await;
    let save = CallRequest::new(Method::PUT, "/v1/standin/save");
    assert!(call_once(fleet.platform, &save).await.unwrap().status < 300);
    let put = |path, body| OperatorCall::new(Method::PUT, path, body);
    let first = put("/v1/departments/weddings", r#"{"name": "weddings"}"#);
    assert_eq!(fleet.call(&first).await.0, 200);
    fleet.wait_until_in_force(0, 2, 1).await;
    fleet.set_faults(r#"{"revert": true}"#).await;
    let second = put("/v1/departments/baptisms", r#"{"name": "baptisms"}"#);
    let (status, answer) = fleet.call(&second).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["generation"], 3, "{answer}");
    let names = fleet.get("/v1/departments").await["items"].to_string();
    assert!(
        names.contains("weddings") && names.contains("baptisms"),
        "{names}"
    );
}

/// Guards against two changes of the same generation that are both accepted, and against a conflict that does not
/// report the change that was committed first.
#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_concurrent_changes_is_accepted() {
    let fleet = start(1, 20).await;
    let first = fleet.document.replace("rate_per_s: 70", "rate_per_s: 71");
    let second = fleet.document.replace("burst: 35", "burst: 36");
    let call = |document| OperatorCall::new(Method::PUT, "/v1/config", document);
    let first = call(&first).header("If-Match", "1");
    let second = call(&second).header("If-Match", "\"1\"");
    let (one, two) = tokio::join!(fleet.call(&first), fleet.call(&second));
    let (winner, loser) = if one.0 == 200 { (one, two) } else { (two, one) };
    assert_eq!((winner.0, loser.0), (200, 409), "{} {}", winner.1, loser.1);
    assert_eq!(winner.1["generation"], 2);
    let changes = loser.1["changes"].as_array().unwrap();
    assert_eq!(changes.len(), 1, "{}", loser.1);
    assert_eq!(changes[0]["generation"], 2);
    assert_eq!(changes[0]["operator"], "full");
    assert_eq!(changes[0]["summary"], winner.1["summary"]);
    assert_eq!(fleet.generation().await, 2);
}

/// Guards against an invalid document of which a part is applied, and against a response with only the first finding.
#[tokio::test(flavor = "multi_thread")]
async fn all_findings_of_a_document_are_returned_together() {
    let fleet = start(1, 30).await;
    let document = fleet.document.replace("rate_per_s: 70", "rate_per_s: many");
    let document = document.replace("pool: desk,", "pool: nowhere,");
    let call = OperatorCall::new(Method::PUT, "/v1/config", &document).header("If-Match", "1");
    let (status, body) = fleet.call(&call).await;
    assert_eq!(status, 422, "{body}");
    let line_of = |text: &str| {
        let mut lines = document.lines().enumerate();
        lines.find(|(_, line)| line.contains(text)).unwrap().0 as u64 + 1
    };
    let findings = body["findings"].as_array().unwrap().iter();
    let lines: Vec<u64> = findings
        .filter_map(|finding| finding["line"].as_u64())
        .collect();
    // The shifts that refer to the invalid routes have no findings.
    let expected = [
        line_of("name: hotels,"),
        line_of("name: orders,"),
        line_of("name: proofs,"),
    ];
    assert_eq!(lines, expected, "{body}");
    assert_eq!(fleet.generation().await, 1);
}

/// Guards against a change that is accepted while the platform is down, and against reads that fail at that time.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_reads_work_and_changes_are_refused() {
    let fleet = start(1, 40).await;
    fleet.set_faults(r#"{"down": "unavailable"}"#).await;
    let put = OperatorCall::new(
        Method::PUT,
        "/v1/departments/weddings",
        r#"{"name": "weddings"}"#,
    );
    let put = put.header("Idempotency-Key", "down-1");
    let (status, body) = fleet.call(&put).await;
    assert_eq!(
        (status, &body["error"]),
        (503, &Value::from("platform_down")),
        "{body}"
    );
    let config = fleet.get("/v1/config").await;
    assert_eq!(
        (&config["generation"], &config["confirmed"]),
        (&Value::from(1), &Value::from(false))
    );
    fleet.set_faults("{}").await;
    let (status, body) = fleet.call(&put).await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(body["generation"], 2, "{body}");
}

/// Guards against an access key that is stored in clear text or does not become valid on every instance, and against a
/// withdrawal that is reported in force while an instance still accepts the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_grant_and_a_withdrawal_take_effect_on_all_instances() {
    const DAEMONS: u16 = 3;
    let fleet = start(DAEMONS, 50).await;
    let keys = "/v1/client-accounts/printers/access-keys";
    let grant = OperatorCall::new(Method::POST, keys, r#"{"label": "2026-12"}"#);
    let grant = grant.header("Idempotency-Key", "grant-1");
    let (status, granted) = fleet.call(&grant).await;
    assert_eq!(status, 201, "{granted}");
    let key = granted["access_key"].as_str().unwrap().to_string();
    assert_eq!(key.len(), 64, "32 random bytes in hexadecimal");
    let (status, repeated) = fleet.call(&grant).await;
    assert_eq!(
        (status, &repeated["access_key"]),
        (201, &Value::Null),
        "{repeated}"
    );
    let stored = fleet.get("/v1/config").await.to_string();
    assert!(!stored.contains(&key) && stored.contains(&digest_of(&key)));
    fleet.wait_until_in_force(0, 2, DAEMONS).await;
    for index in 0..DAEMONS {
        assert_ne!(
            entry_status(&fleet, index, &key).await,
            401,
            "granted, instance {index}"
        );
    }
    let path = format!("{keys}/2026-12");
    let withdraw = OperatorCall::new(Method::DELETE, &path, "");
    let (status, body) = fleet.call(&withdraw).await;
    assert_eq!(
        (status, &body["generation"]),
        (200, &Value::from(3)),
        "{body}"
    );
    fleet.wait_until_in_force(0, 3, DAEMONS).await;
    for index in 0..DAEMONS {
        assert_eq!(
            entry_status(&fleet, index, &key).await,
            401,
            "withdrawn, instance {index}"
        );
    }
}

/// Sends a caller's request and returns the HTTP status. No upstream is running, so a request with a valid key fails
/// with a status other than 401.
async fn entry_status(fleet: &AdminFleet, index: u16, key: &str) -> u16 {
    let request = CallRequest::new(Method::GET, "/proofs/1");
    let request = request.header("Authorization", &format!("Bearer {key}"));
    call_once(fleet.entry(index), &request)
        .await
        .unwrap()
        .status
}
