//! Tests of authentication and of the operators' scope in the administration API.

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

/// Calls that are refused regardless of the operator's scope.
const CALL_CASES: [AccessCase; 9] = [
    AccessCase {
        label: "no token",
        token: None,
        method: Method::GET,
        path: "/v1/status",
        body: "",
        status: 401,
        error: "unauthorized",
    },
    AccessCase {
        label: "unknown token",
        token: Some("nobody"),
        method: Method::GET,
        path: "/v1/config",
        body: "",
        status: 401,
        error: "unauthorized",
    },
    AccessCase {
        label: "change without a token",
        token: None,
        method: Method::DELETE,
        path: "/v1/routes/proofs",
        body: "",
        status: 401,
        error: "unauthorized",
    },
    AccessCase {
        label: "unknown path",
        token: Some(FULL_TOKEN),
        method: Method::GET,
        path: "/v1/nothing",
        body: "",
        status: 404,
        error: "not_found",
    },
    AccessCase {
        label: "absent record",
        token: Some(FULL_TOKEN),
        method: Method::DELETE,
        path: "/v1/routes/absent",
        body: "",
        status: 404,
        error: "not_found",
    },
    AccessCase {
        label: "path and body with two names",
        token: Some(FULL_TOKEN),
        method: Method::PUT,
        path: "/v1/departments/one",
        body: r#"{"name": "two"}"#,
        status: 400,
        error: "malformed",
    },
    AccessCase {
        label: "whole document without If-Match",
        token: Some(FULL_TOKEN),
        method: Method::PUT,
        path: "/v1/config",
        body: "{}",
        status: 400,
        error: "malformed",
    },
    AccessCase {
        label: "department that is in use",
        token: Some(FULL_TOKEN),
        method: Method::DELETE,
        path: "/v1/departments/ordering",
        body: "",
        status: 422,
        error: "findings",
    },
    AccessCase {
        label: "record with faults",
        token: Some(FULL_TOKEN),
        method: Method::PUT,
        path: "/v1/routes/proofs",
        body: r#"{"name": "proofs", "class": "slow"}"#,
        status: 422,
        error: "findings",
    },
];

/// Calls that are refused because the record is outside the team's department `printing`.
const SCOPE_CASES: [AccessCase; 10] = [
    AccessCase {
        label: "account of another department",
        token: Some(TEAM_TOKEN),
        method: Method::PUT,
        path: "/v1/client-accounts/hotels",
        body: r#"{"name": "hotels", "department": "ordering", "rate_per_s": 1, "burst": 1}"#,
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "taking an account over from another department",
        token: Some(TEAM_TOKEN),
        method: Method::PUT,
        path: "/v1/client-accounts/hotels",
        body: r#"{"name": "hotels", "department": "printing", "rate_per_s": 1, "burst": 1}"#,
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "moving an account to another department",
        token: Some(TEAM_TOKEN),
        method: Method::PUT,
        path: "/v1/client-accounts/printers",
        body: r#"{"name": "printers", "department": "ordering", "rate_per_s": 1, "burst": 1}"#,
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "route of another department",
        token: Some(TEAM_TOKEN),
        method: Method::DELETE,
        path: "/v1/routes/orders",
        body: "",
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "shift of another department",
        token: Some(TEAM_TOKEN),
        method: Method::POST,
        path: "/v1/shifts/orders-out/start",
        body: "",
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "key of another department",
        token: Some(TEAM_TOKEN),
        method: Method::POST,
        path: "/v1/client-accounts/hotels/access-keys",
        body: r#"{"label": "stolen"}"#,
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "new department",
        token: Some(TEAM_TOKEN),
        method: Method::PUT,
        path: "/v1/departments/weddings",
        body: r#"{"name": "weddings"}"#,
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "upstream, which belongs to no department",
        token: Some(TEAM_TOKEN),
        method: Method::DELETE,
        path: "/v1/upstreams/od-1",
        body: "",
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "drain of an upstream",
        token: Some(TEAM_TOKEN),
        method: Method::PUT,
        path: "/v1/drains/upstream/od-1",
        body: "",
        status: 403,
        error: "not_allowed",
    },
    AccessCase {
        label: "drain of another department",
        token: Some(TEAM_TOKEN),
        method: Method::PUT,
        path: "/v1/drains/department/ordering",
        body: "",
        status: 403,
        error: "not_allowed",
    },
];

/// Returns the calls that the team may make, in an order in which each of them succeeds.
fn permitted_cases() -> Vec<AccessCase> {
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
            "drain of the operator's own department",
            Method::PUT,
            "/v1/drains/department/printing",
            "",
            200,
        ),
        case(
            "end of a drain of the operator's own department",
            Method::DELETE,
            "/v1/drains/department/printing",
            "",
            200,
        ),
    ]
}

/// Guards against a call that succeeds without a valid token, a team that changes records outside its department, and a
/// refused change that is applied.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_authenticated_and_limited_to_the_operators_scope() {
    let fleet = AdminFleet::start(Path::new(PROGRAM), Path::new(FOLDER), 1, FIRST_PORT).await;
    for case in CALL_CASES.into_iter().chain(SCOPE_CASES) {
        let (status, body) = fleet.call(&operator_call(&case)).await;
        assert_eq!(status, case.status, "{}: {body}", case.label);
        assert_eq!(body["error"], case.error, "{}: {body}", case.label);
        assert_eq!(fleet.generation().await, 1, "{}", case.label);
    }
    for case in permitted_cases() {
        let (status, body) = fleet.call(&operator_call(&case)).await;
        assert_eq!(status, case.status, "{}: {body}", case.label);
    }
    let history = fleet.get("/v1/generations").await;
    let operators = history["items"].as_array().unwrap().iter();
    let by_team = operators.filter(|commit| commit["operator"] == "team");
    assert_eq!(by_team.count(), 6, "{history}");
}

/// Guards against findings of an edited document that do not name the record in which they occur. The operator sees
/// only the edit and not the text of the document.
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
    let expected = ["client_accounts hotels", "routes orders"];
    assert_eq!(records, expected, "{body}");
}

/// Guards against a page of a list that repeats or omits a record.
#[tokio::test(flavor = "multi_thread")]
async fn pages_of_a_list_contain_each_record_once() {
    let first_port = FIRST_PORT + 20;
    let fleet = AdminFleet::start(Path::new(PROGRAM), Path::new(FOLDER), 1, first_port).await;
    let first = fleet.get("/v1/routes?limit=1").await;
    assert_eq!(first["items"][0]["name"], "orders", "{first}");
    assert_eq!(first["next"], "orders", "{first}");
    let second = fleet.get("/v1/routes?limit=1&after=orders").await;
    assert_eq!(second["items"][0]["name"], "proofs", "{second}");
    assert!(second["next"].is_null(), "{second}");
}

fn operator_call<'a>(case: &AccessCase) -> OperatorCall<'a> {
    OperatorCall {
        token: case.token,
        ..OperatorCall::new(case.method.clone(), case.path, case.body)
    }
}
