//! Callers that send further requests on a connection before the first one is answered.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use coltsfootkeel_standins::{
    CallRequest, PipelinedConnection, SHOP_HOST, SHOP_KEY, encode_request, shop_request,
};
use http::Method;
use nix::sys::signal::Signal;
use platform_fleet::endless_upstream::{AnswerScript, EndlessUpstream};
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time within which a request of a caller that has left no longer occupies the instance.
const RELEASED_WITHIN: Duration = Duration::from_millis(500);
/// The largest number of requests of a connection that run at the same time.
const MAX_SIDE_BY_SIDE: usize = 9;
/// Largest resident memory of an instance, in kB. The capacity target is 128 MB for a daemon.
const MAX_MEMORY_KB: u64 = 128_000;

async fn start(name: &'static str, work: Duration) -> PlatformFleet {
    PlatformFleet::start(FleetSetup {
        name,
        work,
        ..FleetSetup::default()
    })
    .await
}

async fn connect(fleet: &PlatformFleet) -> PipelinedConnection {
    let address = fleet.instances[0].options.addresses.entry;
    PipelinedConnection::open(address).await.unwrap()
}

fn get(id: &str) -> CallRequest {
    shop_request(Method::GET, "/previews/1", id, SHOP_KEY)
}

fn post(id: &str, body_bytes: usize) -> CallRequest {
    shop_request(Method::POST, "/orders/1", id, SHOP_KEY).body(vec![b'x'; body_bytes])
}

fn encode_all(requests: &[CallRequest]) -> Vec<u8> {
    requests.iter().flat_map(encode_request).collect()
}

/// Returns the request `get(id)` for an object, which is answered three times as fast from its second request on.
fn get_object(id: &str, object: &str) -> CallRequest {
    let mut request = get(id);
    request
        .headers
        .retain(|(name, _)| name != "coltsfootkeel-affinity-key");
    request.header("coltsfootkeel-affinity-key", object)
}

/// Returns the attempt ids that upstreams have run, each once: a request may be sent twice to save time.
fn run_ids(fleet: &PlatformFleet) -> BTreeSet<String> {
    fleet.runs().into_iter().map(|run| run.attempt_id).collect()
}

/// Guards against answers in the order in which upstreams finish.
#[tokio::test(flavor = "multi_thread")]
async fn ten_requests_in_one_packet_are_answered_in_their_order() {
    let fleet = start("pipelined-order", Duration::from_millis(30)).await;
    let mut connection = connect(&fleet).await;
    let mut requests = Vec::new();
    for number in 0..10 {
        let object = if number % 2 == 0 { "cached" } else { "" };
        let id = format!("a-{number}");
        requests.push(get_object(&id, &format!("{object}{}", number % 2 * number)));
    }
    connection.send(&encode_all(&requests)).await.unwrap();
    for number in 0..10 {
        let answer = connection.read_answer().await.unwrap().unwrap();
        assert_eq!(answer.status, 200, "{number}");
        let id = format!("a-{number}");
        assert_eq!(answer.header("coltsfootkeel-attempt-id"), Some(id.as_str()));
        assert!(answer.body.ends_with(id.as_bytes()), "{number}");
    }
    assert_eq!(run_ids(&fleet).len(), 10);
}

struct ClosingCase {
    name: &'static str,
    /// What is sent at once.
    bytes: Vec<u8>,
    /// The statuses of the answers before the connection ends.
    statuses: &'static [u16],
    /// The requests that upstreams run.
    runs: usize,
}

/// Guards against an answer that is lost because the instance resets a connection with unread bytes, and against
/// requests that are started although their caller must send them again.
#[tokio::test(flavor = "multi_thread")]
async fn answers_before_the_close_arrive_and_nothing_behind_them_runs() {
    let fleet = start("pipelined-close", Duration::from_millis(10)).await;
    let closing = |id| get(id).header("connection", "close");
    let many_behind = |first: CallRequest| {
        let behind = (0..2_000).map(|number| get(&format!("behind-{number}")));
        let requests: Vec<_> = std::iter::once(first).chain(behind).collect();
        encode_all(&requests)
    };
    let cases = [
        ClosingCase {
            name: "a request that asks for the close",
            bytes: many_behind(closing("b-1")),
            statuses: &[200],
            runs: 1,
        },
        ClosingCase {
            name: "a malformed request behind good ones",
            bytes: [
                encode_all(&[get("c-1"), get("c-2")]),
                b"GET nowhere at all\r\n\r\n".to_vec(),
                many_behind(get("c-3")),
            ]
            .concat(),
            statuses: &[200, 200, 400],
            runs: 2,
        },
        ClosingCase {
            name: "a body above the limit",
            bytes: many_behind(post("d-1", 1_100_000)),
            statuses: &[413],
            runs: 0,
        },
        ClosingCase {
            name: "an upload between two others, and the close",
            bytes: encode_all(&[get("e-1"), post("e-2", 50_000), closing("e-3"), get("e-4")]),
            statuses: &[200, 200, 200],
            runs: 3,
        },
    ];
    for case in cases {
        let previous_runs = run_ids(&fleet).len();
        let mut connection = connect(&fleet).await;
        // The instance may stop reading before all is sent.
        let _ =
            tokio::time::timeout(Duration::from_millis(500), connection.send(&case.bytes)).await;
        for status in case.statuses {
            let answer = connection.read_answer().await;
            let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", case.name));
            assert_eq!(
                answer.map(|answer| answer.status),
                Some(*status),
                "{}",
                case.name
            );
        }
        let end = connection.read_answer().await;
        let end = end.unwrap_or_else(|error| panic!("{}, at the end: {error}", case.name));
        assert!(end.is_none(), "{}", case.name);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(
            run_ids(&fleet).len() - previous_runs,
            case.runs,
            "{}",
            case.name
        );
    }
}

/// Guards against requests that are rejected and put those behind them out of order.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_requests_keep_their_place() {
    let fleet = start("pipelined-rejected", Duration::from_millis(5)).await;
    let mut connection = connect(&fleet).await;
    let unknown_key = |id| shop_request(Method::GET, "/previews/1", id, "unknown");
    let no_route = |id| shop_request(Method::GET, "/nowhere/1", id, SHOP_KEY);
    let requests = [
        get("f-1"),
        unknown_key("f-2"),
        get("f-3"),
        no_route("f-4"),
        get("f-5"),
    ];
    connection.send(&encode_all(&requests)).await.unwrap();
    for status in [200, 401, 200, 404, 200] {
        let answer = connection.read_answer().await.unwrap().unwrap();
        assert_eq!(answer.status, status);
    }
}

/// Guards against an upload that is cut in its middle and taken for a complete one, or read together with what follows.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_cut_runs_nowhere() {
    let fleet = start("pipelined-cut", Duration::from_millis(5)).await;
    let mut connection = connect(&fleet).await;
    let mut bytes = encode_all(&[get("g-1"), post("g-2", 50_000)]);
    bytes.truncate(bytes.len() - 20_000);
    connection.send(&bytes).await.unwrap();
    let first = connection.read_answer().await.unwrap().unwrap();
    assert_eq!(first.status, 200);
    drop(connection);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(run_ids(&fleet), BTreeSet::from(["g-1".to_string()]));
}

struct LeavingCase {
    name: &'static str,
    leave: fn(PipelinedConnection),
    first: CallRequest,
    /// The number of idempotent requests behind the first one.
    behind: usize,
    /// The number of requests that upstreams have run when the caller leaves, and of those that they ever run.
    runs: RangeInclusive<usize>,
}

async fn has_requests_in_flight(fleet: &PlatformFleet) -> bool {
    let metrics = fleet.metrics(0).await;
    let mut value = metrics
        .lines()
        .filter_map(|line| line.split_once("requests_in_flight "));
    value
        .next_back()
        .is_some_and(|(_, value)| value.trim() != "0")
}

/// Guards against work for a caller that has left with five requests outstanding: the HTTP library does not read the
/// connection while requests wait in it, so it does not notice the end.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_caller_that_left_are_released_or_not_started() {
    let fleet = start("pipelined-left", Duration::from_millis(400)).await;
    let cases = [
        LeavingCase {
            name: "closed",
            leave: drop,
            first: get("h-1"),
            behind: 5,
            runs: 6..=6,
        },
        LeavingCase {
            name: "reset",
            leave: |connection| connection.reset().unwrap(),
            first: get("i-1"),
            behind: 5,
            runs: 6..=6,
        },
        LeavingCase {
            name: "closed after an upload",
            leave: drop,
            first: post("j-1", 100),
            behind: 5,
            runs: 1..=1,
        },
        LeavingCase {
            name: "closed with more requests than may start early",
            leave: drop,
            first: get("h-2"),
            behind: 100,
            runs: 2..=MAX_SIDE_BY_SIDE,
        },
    ];
    for case in cases {
        let previous_runs = run_ids(&fleet).len();
        let mut connection = connect(&fleet).await;
        let behind = (0..case.behind).map(|number| get(&format!("behind-{}-{number}", case.name)));
        let requests: Vec<_> = std::iter::once(case.first).chain(behind).collect();
        connection.send(&encode_all(&requests)).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        let runs = run_ids(&fleet).len() - previous_runs;
        assert!(case.runs.contains(&runs), "{}: {runs}", case.name);
        (case.leave)(connection);
        let left_at = Instant::now();
        while has_requests_in_flight(&fleet).await {
            assert!(left_at.elapsed() < RELEASED_WITHIN, "{}", case.name);
            sleep(Duration::from_millis(20)).await;
        }
        sleep(Duration::from_millis(1_500)).await;
        let final_runs = run_ids(&fleet).len() - previous_runs;
        assert_eq!(final_runs, runs, "{}: started after the end", case.name);
    }
}

struct StopCase {
    name: &'static str,
    first: CallRequest,
    behind: usize,
    /// The number of requests that are in progress when the stop begins.
    in_progress: RangeInclusive<usize>,
}

/// Guards against a planned stop that runs what waits behind the requests in progress, or that cuts one of their
/// answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_answers_the_requests_in_progress_only() {
    let cases = [
        StopCase {
            name: "pipelined-stop",
            first: get("k-0"),
            behind: 5,
            in_progress: 6..=6,
        },
        StopCase {
            name: "pipelined-stop-many",
            first: get("k-0"),
            behind: 50,
            in_progress: 2..=MAX_SIDE_BY_SIDE,
        },
        StopCase {
            name: "pipelined-stop-upload",
            first: post("k-0", 100),
            behind: 5,
            in_progress: 1..=1,
        },
    ];
    for case in cases {
        let fleet = start(case.name, Duration::from_millis(200)).await;
        let mut connection = connect(&fleet).await;
        let behind = (1..=case.behind).map(|number| get(&format!("k-{number}")));
        let requests: Vec<_> = std::iter::once(case.first).chain(behind).collect();
        connection.send(&encode_all(&requests)).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        fleet.signal(0, Signal::SIGTERM);
        let mut ends_connection = Vec::new();
        while let Some(answer) = connection.read_answer().await.unwrap() {
            assert_eq!(answer.status, 200, "{}", case.name);
            let id = format!("k-{}", ends_connection.len());
            assert_eq!(answer.header("coltsfootkeel-attempt-id"), Some(id.as_str()));
            ends_connection.push(answer.header("connection") == Some("close"));
        }
        let answered = ends_connection.len();
        assert!(
            case.in_progress.contains(&answered),
            "{}: {answered}",
            case.name
        );
        let last_ends: Vec<_> = (1..=answered).map(|number| number == answered).collect();
        assert_eq!(ends_connection, last_ends, "{}", case.name);
        assert_eq!(run_ids(&fleet).len(), answered, "{}", case.name);
    }
}

/// Guards against an order that is started while an answer before it may still close the connection, and against
/// requests that are started behind it.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_starts_only_after_the_answers_before_it() {
    let fleet = start("pipelined-order-last", Duration::from_millis(200)).await;
    let mut connection = connect(&fleet).await;
    let requests = [get("m-1"), get("m-2"), post("m-3", 10), get("m-4")];
    connection.send(&encode_all(&requests)).await.unwrap();
    for _ in 0..2 {
        connection.read_answer().await.unwrap().unwrap();
    }
    let answered_at = Instant::now();
    for _ in 0..2 {
        let answer = connection.read_answer().await.unwrap().unwrap();
        assert_eq!(answer.status, 200);
    }
    let started_at = |id| {
        let runs = fleet.runs();
        let mut runs = runs.iter().filter(|run| run.attempt_id == id);
        runs.next().unwrap().started_at
    };
    let (first, second) = (started_at("m-1"), started_at("m-2"));
    assert!(second - first < Duration::from_millis(200), "side by side");
    // The answers before it are on their way for a moment.
    let delivery = Duration::from_millis(100);
    assert!(started_at("m-3") + delivery > answered_at);
    assert!(started_at("m-4") > started_at("m-3"));
}

/// Guards against requests that keep running, and slots that stay taken, behind an answer that breaks off and closes the
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_an_answer_that_breaks_off_are_taken_back() {
    let mut fleet = start("pipelined-broken", Duration::from_millis(5)).await;
    let endless = EndlessUpstream::start().await;
    endless.set_script(AnswerScript {
        start: "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
            coltsfootkeel-response-signature: s.1\r\n\r\n",
        repeated: "0123456789abcdef",
        joined: 8_192,
        pause: Duration::from_millis(10),
    });
    let info = json!({"service": "orders", "version": "v1", "zone": "a-1", "slots": 50});
    let spec = json!({"address": endless.address, "info": info, "born": 1});
    let status = json!({"state": "ready", "seq": 1, "cold_remaining": "0ms"});
    fleet.store.put("servers", "endless", spec, status);
    for upstream in &fleet.upstreams {
        fleet.store.remove("servers", upstream.id());
    }
    // The change of the list takes effect within this time.
    sleep(Duration::from_millis(2_500)).await;
    let mut stream = TcpStream::connect(fleet.instances[0].options.addresses.entry)
        .await
        .unwrap();
    let requests: Vec<_> = (0..4).map(|number| get(&format!("n-{number}"))).collect();
    stream.write_all(&encode_all(&requests)).await.unwrap();
    let mut received = Vec::new();
    // The answer ends at the timeout of the route, after two seconds.
    let read = timeout(Duration::from_secs(4), stream.read_to_end(&mut received)).await;
    read.expect("the connection stays open").ok();
    let text = String::from_utf8_lossy(&received);
    assert_eq!(text.matches("HTTP/1.1 200").count(), 1);
    assert!(text.contains("coltsfootkeel-attempt-id: n-0"));
    sleep(RELEASED_WITHIN).await;
    assert!(!has_requests_in_flight(&fleet).await);
    assert!(endless.wait_until_closed().await);
    let metrics = fleet.metrics(0).await;
    let counted = |name: &str, count: usize| {
        let line = format!("coltsfootkeel_{name} {count}");
        assert!(
            metrics.lines().any(|found| found == line),
            "{line}\n{metrics}"
        );
    };
    counted("early_starts_total", 3);
    counted("early_taken_back_total", 3);
    assert!(!fleet.instances[0].has_ended().unwrap());
}

/// Guards against memory for answers that wait behind a slow one.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_wait_for_their_turn_fit_the_memory() {
    let fleet = start("pipelined-held", Duration::from_millis(100)).await;
    fleet.upstreams[0].set_answer_bytes(900_000);
    let connections = (0..60).map(|connection| {
        let address = fleet.instances[0].options.addresses.entry;
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(address).await.unwrap();
            let ids = (0..9).map(|number| get(&format!("o-{connection}-{number}")));
            let requests: Vec<_> = ids.collect();
            stream.write_all(&encode_all(&requests)).await.unwrap();
            // The answers are not read.
            sleep(Duration::from_secs(3)).await;
        })
    });
    for connection in connections.collect::<Vec<_>>() {
        connection.await.unwrap();
    }
    let peak_kb = fleet.peak_memory_kb(0);
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB");
}

/// Guards against memory that grows with the requests that a caller has sent ahead.
#[tokio::test(flavor = "multi_thread")]
async fn ten_thousand_requests_on_one_connection_need_little_memory() {
    let fleet = start("pipelined-many", Duration::from_millis(1)).await;
    let connection = connect(&fleet).await;
    let open = |number: usize| {
        CallRequest::new(Method::GET, "/open/1")
            .header("host", SHOP_HOST)
            .header("coltsfootkeel-attempt-id", &format!("l-{number}"))
            .header("coltsfootkeel-request-deadline", "3000")
            .header("coltsfootkeel-affinity-key", "one")
    };
    let bytes: Vec<u8> = (0..10_000)
        .flat_map(|number| encode_request(&open(number)))
        .collect();
    let (mut reader, mut writer) = connection.into_split();
    let sending = tokio::spawn(async move {
        let sent = writer.write_all(&bytes).await;
        // Dropping the writer would end the connection.
        (sent, writer)
    });
    for number in 0..10_000 {
        let answer = reader.read_answer().await;
        let answer = answer.unwrap_or_else(|error| panic!("{number}: {error}"));
        let answer = answer.unwrap_or_else(|| panic!("closed before {number}"));
        assert_eq!(answer.status, 200);
        let id = format!("l-{number}");
        assert_eq!(answer.header("coltsfootkeel-attempt-id"), Some(id.as_str()));
    }
    let (sent, _writer) = sending.await.unwrap();
    sent.unwrap();
    let peak_kb = fleet.peak_memory_kb(0);
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB");
}

/// Guards against look-ups and readiness checks that are answered out of order.
#[tokio::test(flavor = "multi_thread")]
async fn look_ups_between_readiness_checks_keep_their_place() {
    let fleet = start("pipelined-look-up", Duration::from_millis(1)).await;
    while fleet.look_up(0).await.is_empty() {
        sleep(Duration::from_millis(20)).await;
    }
    let address = fleet.instances[0].options.addresses.lookup;
    let mut connection = PipelinedConnection::open(address).await.unwrap();
    let look_up = "/-/resolve?name=shop.example&region=a&zone=a-1";
    let paths = ["/-/readyz", look_up, "/nowhere", look_up];
    let requests = paths.map(|path| CallRequest::new(Method::GET, path).header("host", SHOP_HOST));
    connection.send(&encode_all(&requests)).await.unwrap();
    for (path, status) in paths.iter().zip([200, 200, 404, 200]) {
        let answer = connection.read_answer().await.unwrap().unwrap();
        assert_eq!(answer.status, status, "{path}");
        assert_eq!(!answer.body.is_empty(), *path == look_up, "{path}");
    }
}
