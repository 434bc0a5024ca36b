//! Tests of the upstream stand-in over TCP connections.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_standins::{
    CallError, CallRequest, CrashMode, PersistentConnection, RecordAnswer, RunOutcome,
    SequenceCounter, UpstreamHandle, UpstreamOptions, UpstreamProfile, WorkAnswer, call_once,
};
use http::Method;
use sha2::{Digest, Sha256};

const DOWN_TIME: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MAX_POLLS: u32 = 2000;

fn start(name: &str, slots: u32) -> UpstreamHandle {
    let options = UpstreamOptions {
        profile: UpstreamProfile {
            name: name.to_owned(),
            slots,
            work: Duration::ZERO,
            cold_requests: 0,
            cold_extra: Duration::ZERO,
        },
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        crash: CrashMode::Soft(DOWN_TIME),
        threads: 1,
    };
    UpstreamHandle::start(options, SequenceCounter::default()).expect("a free port")
}

fn get(path: &str) -> CallRequest {
    CallRequest::new(Method::GET, path)
}

fn post(path: &str, body: impl Into<bytes::Bytes>) -> CallRequest {
    CallRequest::new(Method::POST, path).body(body)
}

fn control(json: &'static str) -> CallRequest {
    CallRequest::new(Method::PUT, "/standin/control").body(json)
}

fn hex_sha256(bytes: &[u8]) -> String {
    format!("{:x}", Sha256::digest(bytes))
}

async fn read_record(upstream: &UpstreamHandle) -> RecordAnswer {
    let answer = call_once(upstream.address(), &get("/standin/record")).await;
    serde_json::from_slice(&answer.unwrap().body).unwrap()
}

/// Waits until exactly `running` requests run, so that the next request finds a known number of free slots.
async fn wait_until_running(upstream: &UpstreamHandle, running: u32) {
    for _ in 0..MAX_POLLS {
        if upstream.state().totals().running == running {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the number of running requests did not become {running}");
}

struct ShedCase {
    label: &'static str,
    slots: u32,
    running: u32,
    body_bytes: usize,
    is_shed: bool,
}

/// Guards against a stand-in that runs more requests than it has slots, or that answers "not-run" to a request that
/// ran.
#[tokio::test]
async fn requests_without_a_free_slot_are_shed_and_not_run() {
    let cases = [
        ShedCase {
            label: "one slot, free",
            slots: 1,
            running: 0,
            body_bytes: 1,
            is_shed: false,
        },
        ShedCase {
            label: "one slot, occupied",
            slots: 1,
            running: 1,
            body_bytes: 1,
            is_shed: true,
        },
        ShedCase {
            label: "last of nine slots",
            slots: 9,
            running: 8,
            body_bytes: 1,
            is_shed: false,
        },
        ShedCase {
            label: "nine slots, all occupied",
            slots: 9,
            running: 9,
            body_bytes: 1,
            is_shed: true,
        },
        ShedCase {
            label: "the caller of a 32 MB upload receives the refusal",
            slots: 1,
            running: 1,
            body_bytes: 32_000_000,
            is_shed: true,
        },
    ];
    for case in cases {
        let upstream = start("od-1", case.slots);
        let address = upstream.address();
        let mut callers = tokio::task::JoinSet::new();
        for _ in 0..case.running {
            // The work takes longer than the test; the callers are aborted below.
            let request = get("/held").header("X-Work-Ms", "60000");
            callers.spawn(async move { call_once(address, &request).await.map(|_| ()) });
        }
        wait_until_running(&upstream, case.running).await;

        let probe = post("/probe", periodic_bytes(case.body_bytes))
            .header("Coltsfootkeel-Request-Id", "probe-1");
        let answer = call_once(address, &probe).await.unwrap();

        let status = if case.is_shed { 503 } else { 200 };
        let run = case.is_shed.then_some("not-run");
        assert_eq!(answer.status, status, "{}", case.label);
        assert_eq!(answer.header("coltsfootkeel-run"), run, "{}", case.label);

        callers.shutdown().await;
        wait_until_running(&upstream, 0).await;
        let record = read_record(&upstream).await;
        let probe_runs = record
            .entries
            .iter()
            .filter(|entry| entry.start.request_id.as_deref() == Some("probe-1"))
            .count();
        let expected_runs = usize::from(!case.is_shed);
        assert_eq!(probe_runs, expected_runs, "{}", case.label);
        assert_eq!(
            record.totals.shed,
            u64::from(case.is_shed),
            "{}",
            case.label
        );
        let highest = case.running + u32::from(!case.is_shed);
        assert_eq!(record.totals.highest_running, highest, "{}", case.label);
    }
}

struct RecordCase {
    label: &'static str,
    request: CallRequest,
    method: &'static str,
    path: &'static str,
    body: &'static [u8],
    account: Option<&'static str>,
    key: Option<&'static str>,
    authorization: bool,
    unexpected: &'static [&'static str],
}

/// Guards against a record that misses or repeats a request, describes it wrongly, or overlooks a header that must not
/// be forwarded. Other tests use the record as their oracle.
#[tokio::test]
async fn record_describes_each_request_once() {
    let cases = [
        RecordCase {
            label: "get with query",
            request: get("/a?b=1").header("Coltsfootkeel-Account", "hotel-group"),
            method: "GET",
            path: "/a?b=1",
            body: b"",
            account: Some("hotel-group"),
            key: None,
            authorization: false,
            unexpected: &[],
        },
        RecordCase {
            label: "post with body and idempotency key",
            request: post("/confirmations", "stitch").header("Idempotency-Key", "penang-a-1.7.x"),
            method: "POST",
            path: "/confirmations",
            body: b"stitch",
            account: None,
            key: Some("penang-a-1.7.x"),
            authorization: false,
            unexpected: &[],
        },
        RecordCase {
            label: "echo with body",
            request: post("/echo/1", "round trip"),
            method: "POST",
            path: "/echo/1",
            body: b"round trip",
            account: None,
            key: None,
            authorization: false,
            unexpected: &[],
        },
        RecordCase {
            label: "echo without body",
            request: post("/echo", ""),
            method: "POST",
            path: "/echo",
            body: b"",
            account: None,
            key: None,
            authorization: false,
            unexpected: &[],
        },
        RecordCase {
            label: "forwarded access key and forbidden product header",
            request: get("/leak")
                .header("Authorization", "Bearer k")
                .header("Coltsfootkeel-Run", "run")
                .header("Coltsfootkeel-Deadline-Ms", "1000"),
            method: "GET",
            path: "/leak",
            body: b"",
            account: None,
            key: None,
            authorization: true,
            unexpected: &["coltsfootkeel-run"],
        },
    ];
    let upstream = start("od-1", 9);
    let mut connection = PersistentConnection::open(upstream.address())
        .await
        .unwrap();
    for case in &cases {
        let answer = connection.call(&case.request).await.unwrap();
        assert_eq!(answer.status, 200, "{}", case.label);
    }
    let record = read_record(&upstream).await;
    assert_eq!(record.entries.len(), cases.len());
    assert_eq!(record.totals.started, cases.len() as u64);
    assert_eq!(record.totals.completed, cases.len() as u64);
    for (case, entry) in cases.iter().zip(&record.entries) {
        let label = case.label;
        assert_eq!(entry.start.method, case.method, "{label}");
        assert_eq!(entry.start.path, case.path, "{label}");
        assert_eq!(entry.start.account.as_deref(), case.account, "{label}");
        assert_eq!(entry.start.idempotency_key.as_deref(), case.key, "{label}");
        assert_eq!(entry.start.authorization, case.authorization, "{label}");
        assert_eq!(entry.start.unexpected_headers, case.unexpected, "{label}");
        let end = entry.end.as_ref().unwrap();
        assert_eq!(end.outcome, RunOutcome::Completed, "{label}");
        assert_eq!(end.body_bytes, case.body.len() as u64, "{label}");
        assert_eq!(end.body_sha256, hex_sha256(case.body), "{label}");
        assert!(end.order > entry.start_order, "{label}");
    }
    let ends = record
        .entries
        .iter()
        .map(|entry| entry.end.as_ref().unwrap().order);
    let next_starts = record.entries.iter().skip(1).map(|entry| entry.start_order);
    assert!(ends.zip(next_starts).all(|(end, start)| end < start));
}

/// Guards against an answer that does not contain the head of the request as the upstream received it.
#[tokio::test]
async fn answer_contains_the_received_head() {
    let upstream = start("od-7", 9);
    let request = get("/seen")
        .header("Coltsfootkeel-Account", "hotel-group")
        .header("Coltsfootkeel-Request-Id", "r-1")
        .header("Authorization", "Bearer k");
    let answer = call_once(upstream.address(), &request).await.unwrap();
    let work_answer: WorkAnswer = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(work_answer.upstream, "od-7");
    assert_eq!(work_answer.seen.account.as_deref(), Some("hotel-group"));
    assert_eq!(work_answer.seen.request_id.as_deref(), Some("r-1"));
    assert!(work_answer.seen.authorization);
}

struct EchoCase {
    label: &'static str,
    bytes: usize,
}

/// Guards against an echo that loses, repeats or reorders parts of a long body.
#[tokio::test]
async fn echo_returns_the_whole_body() {
    let cases = [
        EchoCase {
            label: "one byte",
            bytes: 1,
        },
        EchoCase {
            label: "64 KiB and one byte",
            bytes: 64 * 1024 + 1,
        },
        EchoCase {
            label: "32 MB",
            bytes: 32_000_000,
        },
    ];
    let upstream = start("av-1", 9);
    for case in cases {
        let body = periodic_bytes(case.bytes);
        let answer = call_once(upstream.address(), &post("/echo", body.clone())).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status, 200, "{}", case.label);
        // A failure of assert_eq would print megabytes.
        assert!(answer.body == body, "{}: the echo differs", case.label);
        let record = read_record(&upstream).await;
        let end = record.entries.last().unwrap().end.clone().unwrap();
        assert_eq!(end.outcome, RunOutcome::Completed, "{}", case.label);
        assert_eq!(end.body_sha256, hex_sha256(&body), "{}", case.label);
    }
}

/// Returns bytes whose period of 251 divides no usual buffer size, so that a misplaced part changes the content.
fn periodic_bytes(length: usize) -> bytes::Bytes {
    let period = 251_u8;
    (0..period).cycle().take(length).collect()
}

#[derive(Debug, PartialEq, Eq)]
enum CallOutcome {
    Complete(u16),
    ConnectFailed,
    BrokenBefore,
    BrokenWithin,
    TimedOut,
    Invalid,
}

fn call_outcome(result: Result<coltsfootkeel_standins::CallAnswer, CallError>) -> CallOutcome {
    match result {
        Ok(answer) => CallOutcome::Complete(answer.status),
        Err(CallError::Connect(_)) => CallOutcome::ConnectFailed,
        Err(CallError::BrokenBeforeAnswer(_)) => CallOutcome::BrokenBefore,
        Err(CallError::BrokenWithinAnswer { .. }) => CallOutcome::BrokenWithin,
        Err(CallError::TimedOut(_)) => CallOutcome::TimedOut,
        Err(CallError::Invalid(_)) => CallOutcome::Invalid,
    }
}

struct FaultCase {
    label: &'static str,
    control: &'static str,
    request: CallRequest,
    first: CallOutcome,
    outcome: Option<RunOutcome>,
    second: CallOutcome,
}

/// Guards against configured faults that do not occur, affect more requests than configured, or look like a complete
/// answer to the caller.
#[tokio::test]
async fn configured_faults_reach_the_caller() {
    let cases = [
        FaultCase {
            label: "truncated answer",
            control: r#"{"truncate_next": 1}"#,
            request: get("/work"),
            first: CallOutcome::BrokenWithin,
            outcome: Some(RunOutcome::Cut),
            second: CallOutcome::Complete(200),
        },
        FaultCase {
            label: "truncated echo",
            control: r#"{"truncate_next": 1}"#,
            request: post("/echo", periodic_bytes(300_000)),
            first: CallOutcome::BrokenWithin,
            outcome: Some(RunOutcome::Cut),
            second: CallOutcome::Complete(200),
        },
        FaultCase {
            label: "close before the answer",
            control: r#"{"close_next": 1}"#,
            request: get("/work"),
            first: CallOutcome::BrokenBefore,
            outcome: Some(RunOutcome::Cut),
            second: CallOutcome::Complete(200),
        },
        FaultCase {
            label: "close before the echo",
            control: r#"{"close_next": 1}"#,
            request: post("/echo", "body"),
            first: CallOutcome::BrokenBefore,
            outcome: Some(RunOutcome::Cut),
            second: CallOutcome::Complete(200),
        },
        FaultCase {
            label: "refusal while draining",
            control: r#"{"refuse": true}"#,
            request: get("/work"),
            first: CallOutcome::Complete(503),
            outcome: None,
            second: CallOutcome::Complete(503),
        },
        FaultCase {
            label: "delay beyond the deadline of the request",
            control: r#"{"delay_ms": 60000}"#,
            request: get("/work").header("Coltsfootkeel-Deadline-Ms", "1"),
            first: CallOutcome::Complete(504),
            outcome: Some(RunOutcome::Cancelled),
            second: CallOutcome::Complete(504),
        },
        FaultCase {
            label: "slow start beyond the deadline of the request",
            control: r#"{"slow_requests": 1, "slow_extra_ms": 60000}"#,
            request: get("/work").header("Coltsfootkeel-Deadline-Ms", "1000"),
            first: CallOutcome::Complete(504),
            outcome: Some(RunOutcome::Cancelled),
            second: CallOutcome::Complete(200),
        },
    ];
    for case in cases {
        let upstream = start("od-1", 9);
        let address = upstream.address();
        let changed = call_once(address, &control(case.control)).await.unwrap();
        assert_eq!(changed.status, 200, "{}", case.label);
        let first = call_outcome(call_once(address, &case.request).await);
        assert_eq!(first, case.first, "{}", case.label);
        wait_until_running(&upstream, 0).await;
        let entries = upstream.state().entries();
        let outcome = entries
            .first()
            .map(|entry| entry.end.as_ref().unwrap().outcome);
        assert_eq!(outcome, case.outcome, "{}", case.label);
        let second = call_outcome(call_once(address, &case.request).await);
        assert_eq!(second, case.second, "{}", case.label);
    }
}

struct ReportCase {
    label: &'static str,
    control: &'static str,
    path: &'static str,
    body: &'static str,
}

/// Guards against a health or load report that ignores the values that a test set.
#[tokio::test]
async fn reports_show_the_configured_values() {
    let cases = [
        ReportCase {
            label: "health at start",
            control: "{}",
            path: "/standin/health",
            body: r#"{"state":"ok"}"#,
        },
        ReportCase {
            label: "health while draining",
            control: r#"{"draining": true}"#,
            path: "/standin/health",
            body: r#"{"state":"draining"}"#,
        },
        ReportCase {
            label: "real load",
            control: "{}",
            path: "/standin/load",
            body: r#"{"slots_in_use":0,"slots":9}"#,
        },
        ReportCase {
            label: "misreported load",
            control: r#"{"report_load": 7}"#,
            path: "/standin/load",
            body: r#"{"slots_in_use":7,"slots":9}"#,
        },
        ReportCase {
            label: "end of the misreported load",
            control: r#"{"report_load": -1}"#,
            path: "/standin/load",
            body: r#"{"slots_in_use":0,"slots":9}"#,
        },
    ];
    let upstream = start("od-1", 9);
    for case in cases {
        let changed = call_once(upstream.address(), &control(case.control)).await;
        assert_eq!(changed.unwrap().status, 200, "{}", case.label);
        let answer = call_once(upstream.address(), &get(case.path))
            .await
            .unwrap();
        assert_eq!(answer.body, case.body, "{}", case.label);
    }
    let unknown = call_once(upstream.address(), &control(r#"{"drain": true}"#)).await;
    assert_eq!(unknown.unwrap().status, 400, "an unknown field is refused");
}

struct CrashCase {
    label: &'static str,
    request: CallRequest,
}

/// Guards against a crash that leaves connections open or slots occupied or that clears the record, and against an
/// upstream that does not listen again afterwards.
#[tokio::test]
async fn a_crash_closes_all_connections_and_keeps_the_record() {
    let long_body = [periodic_bytes(1000).as_ref(), b"X-Crash: yes"].concat();
    let cases = [
        CrashCase {
            label: "header",
            request: get("/work").header("X-Crash", "yes"),
        },
        CrashCase {
            label: "body mark",
            request: post("/work", long_body.clone()),
        },
        CrashCase {
            label: "body mark in an echo",
            request: post("/echo", long_body),
        },
    ];
    for case in cases {
        let upstream = start("od-1", 9);
        let address = upstream.address();
        let other = get("/other").header("X-Work-Ms", "60000");
        let other_call =
            tokio::spawn(async move { call_outcome(call_once(address, &other).await) });
        wait_until_running(&upstream, 1).await;

        // The head of an echo may arrive before the connection breaks.
        let crashed = call_outcome(call_once(address, &case.request).await);
        let broken = matches!(
            crashed,
            CallOutcome::BrokenBefore | CallOutcome::BrokenWithin
        );
        assert!(broken, "{}: {crashed:?}", case.label);
        assert_eq!(
            other_call.await.unwrap(),
            CallOutcome::BrokenBefore,
            "{}",
            case.label
        );
        wait_until_refused(address, case.label).await;

        wait_until_listening(address).await;
        let totals = upstream.state().totals();
        assert_eq!((totals.crashes, totals.running), (1, 0), "{}", case.label);
        let outcomes: Vec<_> = upstream
            .state()
            .entries()
            .iter()
            .map(|entry| entry.end.as_ref().unwrap().outcome)
            .collect();
        let expected = [RunOutcome::Cancelled, RunOutcome::Crashed];
        assert_eq!(outcomes[..2], expected, "{}", case.label);
    }
}

/// Waits until a connect is refused. The listener may close shortly after the connections.
async fn wait_until_refused(address: SocketAddr, label: &str) {
    for _ in 0..MAX_POLLS {
        match call_outcome(call_once(address, &get("/standin/health")).await) {
            CallOutcome::ConnectFailed => return,
            CallOutcome::BrokenBefore => tokio::time::sleep(POLL_INTERVAL).await,
            other => panic!("{label}: {other:?} during the crash"),
        }
    }
    panic!("{label}: the listener stayed open");
}

async fn wait_until_listening(address: SocketAddr) {
    for _ in 0..MAX_POLLS {
        if call_once(address, &get("/standin/health")).await.is_ok() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the upstream does not listen again after its crash");
}
