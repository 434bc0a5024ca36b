//! Who may call the administration API, and what each department may change.

mod admin_fleet;

use std::path::Path;

use admin_fleet::{AdminFleet, FULL_TOKEN, OperatorCall, TEAM_TOKEN};
use http::Method;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootkeeld");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const FIRST_PORT: u16 = 17_000;

struct AccessCase {
    label: &'static str,
    token: Option<&'static str>,
    method: Method,
    path: &'static str,
    body: &'static str,
    status: u16,
    error: &'static str,
}

fn refusals() -> Vec<AccessCase> {
    let case = |label, token, method, path, body, status, error| AccessCase {
        label,
        token,
        method,
        path,
        body,
        status,
        error,
    };
    let team = Some(TEAM_TOKEN);
    let full = Some(FULL_TOKEN);
    let (get, put, post, delete) = (Method::GET, Method::PUT, Method::POST, Method::DELETE);
    vec![
        case(
            "no token",
            None,
            get.clone(),
            "/v1/status",
            "",
            401,
            "unauthorized",
        ),
        case(
            "unknown token",
            Some("nobody"),
            get.clone(),
            "/v1/config",
            "",
            401,
            "unauthorized",
        ),
        case(
            "change without a token",
            None,
            delete.clone(),
            "/v1/routes/proofs",
            "",
            401,
            "unauthorized",
        ),
        case(
            "account of another department",
            team,
            put.clone(),
            "/v1/client-accounts/hotels",
            r#"{"name": "hotels", "department": "ordering", "rate_per_s": 1, "burst": 1}"#,
            403,
            "not_allowed",
        ),
        case(
            "taking an account over from another department",
            team,
            put.clone(),
            "/v1/client-accounts/hotels",
            r#"{"name": "hotels", "department": "printing", "rate_per_s": 1, "burst": 1}"#,
            403,
            "not_allowed",
        ),
        case(
            "moving an account to another department",
            team,
            put.clone(),
            "/v1/client-accounts/printers",
            r#"{"name": "printers", "department": "ordering", "rate_per_s": 1, "burst": 1}"#,
            403,
            "not_allowed",
        ),
        case(
            "route of another department",
            team,
            delete.clone(),
            "/v1/routes/orders",
            "",
            403,
            "not_allowed",
        ),
        case(
            "shift of another department",
            team,
            post.clone(),
            "/v1/shifts/orders-out/start",
            "",
            403,
            "not_allowed",
        ),
        case(
            "key of another department",
            team,
            post.clone(),
            "/v1/client-accounts/hotels/access-keys",
            r#"{"label": "stolen"}"#,
            403,
            "not_allowed",
        ),
        case(
            "new department",
            team,
            put.clone(),
            "/v1/departments/weddings",
            r#"{"name": "weddings"}"#,
            403,
            "not_allowed",
        ),
        case(
            "upstream, which belongs to no department",
            team,
            delete.clone(),
            "/v1/upstreams/od-1",
            "",
            403,
            "not_allowed",
        ),
        case(
            "drain of an upstream",
            team,
            put.clone(),
            "/v1/drains/upstream/od-1",
            "",
            403,
            "not_allowed",
        ),
        case(
            "drain of another department",
            team,
            put.clone(),
            "/v1/drains/department/ordering",
            "",
            403,
            "not_allowed",
        ),
        case(
            "unknown path",
            full,
            get,
            "/v1/nothing",
            "",
            404,
            "not_found",
        ),
        case(
            "absent record",
            full,
            delete.clone(),
            "/v1/routes/absent",
            "",
            404,
            "not_found",
        ),
        case(
            "path and body with two names",
            full,
            put.clone(),
            "/v1/departments/one",
            r#"{"name": "two"}"#,
            400,
            "malformed",
        ),
        case(
            "whole document without If-Match",
            full,
            put.clone(),
            "/v1/config",
            "{}",
            400,
            "malformed",
        ),
        case(
            "department that is in use",
            full,
            delete,
            "/v1/departments/ordering",
            "",
            422,
            "findings",
        ),
        case(
            "record with faults",
            full,
            put,
            "/v1/routes/proofs",
            r#"{"name": "proofs", "class": "slow"}"#,
            422,
            "findings",
        ),
    ]
}

fn permitted() -> Vec<AccessCase> {
    let case = |label, method, path, body, status| AccessCase {
        label,
        token: Some(TEAM_TOKEN),
        method,
        path,
        body,
        status,
        error: "",
    };
    vec![
        case("reading everything", Method::GET, "/v1/config", "", 200),
        case(
            "reading another department",
            Method::GET,
            "/v1/client-accounts/hotels",
            "",
            200,
        ),
        case(
            "own account",
            Method::PUT,
            "/v1/client-accounts/printers",
            r#"{"name": "printers", "department": "printing", "rate_per_s": 8, "burst": 5}"#,
            200,
        ),
        case(
            "own shift",
            Method::POST,
            "/v1/shifts/proofs-out/start",
            "",
            200,
        ),
        case(
            "own shift, paused",
            Method::POST,
            "/v1/shifts/proofs-out/pause",
            "",
            200,
        ),
        case(
            "own key",
            Method::POST,
            "/v1/client-accounts/printers/access-keys",
            r#"{"label": "new"}"#,
            201,
        ),
        case(
            "own drain",
            Method::PUT,
            "/v1/drains/department/printing",
            "",
            200,
        ),
        case(
            "end of the own drain",
            Method::DELETE,
            "/v1/drains/department/printing",
            "",
            200,
        ),
    ]
}

/// Guards against a call without a valid token, a team that changes what is not its own, and a refused change that is
/// applied all the same.
#[tokio::test(flavor = "multi_thread")]
async fn each_call_is_checked_for_its_operator() {
    let fleet = AdminFleet::start(Path::new(PROGRAM), Path::new(FOLDER), 1, FIRST_PORT).await;
    for case in refusals() {
        let (status, body) = fleet.call(&call_of(&case)).await;
        assert_eq!(status, case.status, "{}: {body}", case.label);
        assert_eq!(body["error"], case.error, "{}: {body}", case.label);
        assert_eq!(fleet.generation().await, 1, "{}", case.label);
    }
    for case in permitted() {
        let (status, body) = fleet.call(&call_of(&case)).await;
        assert_eq!(status, case.status, "{}: {body}", case.label);
    }
    let history = fleet.get("/v1/generations").await;
    let operators = history["items"].as_array().unwrap().iter();
    let by_team = operators.filter(|commit| commit["operator"] == "team");
    assert_eq!(by_team.count(), 6, "{history}");
}

/// Guards against findings of an edit that leave the operator without the record they are in.
#[tokio::test(flavor = "multi_thread")]
async fn findings_of_an_edit_name_their_records() {
    let first_port = FIRST_PORT + 10;
    let fleet = AdminFleet::start(Path::new(PROGRAM), Path::new(FOLDER), 1, first_port).await;
    let remove = OperatorCall::new(Method::DELETE, "/v1/departments/ordering", "");
    let (status, body) = fleet.call(&remove).await;
    assert_eq!(status, 422, "{body}");
    let findings = body["findings"].as_array().unwrap().iter();
    let records: Vec<&str> = findings
        .filter_map(|finding| finding["record"].as_str())
        .collect();
    let expected = [
        "client_accounts hotels",
        "routes orders",
        "shifts orders-out",
    ];
    assert_eq!(records, expected, "{body}");
}

/// Guards against a page that repeats or leaves out a record.
#[tokio::test(flavor = "multi_thread")]
async fn pages_of_a_list_cover_it_once() {
    let first_port = FIRST_PORT + 20;
    let fleet = AdminFleet::start(Path::new(PROGRAM), Path::new(FOLDER), 1, first_port).await;
    let first = fleet.get("/v1/routes?limit=1").await;
    assert_eq!(first["items"][0]["name"], "orders", "{first}");
    assert_eq!(first["next"], "orders", "{first}");
    let second = fleet.get("/v1/routes?limit=1&after=orders").await;
    assert_eq!(second["items"][0]["name"], "proofs", "{second}");
    assert!(second["next"].is_null(), "{second}");
}

fn call_of<'a>(case: &AccessCase) -> OperatorCall<'a> {
    OperatorCall {
        token: case.token,
        ..OperatorCall::new(case.method.clone(), case.path, case.body)
    }
}
