//! What requests that were started before their turn and taken back leave behind: charges to their account, and waiting
//! requests in the queue of the pool.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::Duration;

use coltsfootkeel_standins::{
    CallRequest, SHOP_KEY, call_once, encode_request, register_upstream, shop_config, shop_request,
};
use http::Method;
use platform_fleet::endless_upstream::{AnswerScript, EndlessUpstream};
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// An answer whose beginning of 4 MiB is kept for 2.4 s and then forwarded, and which breaks off at the timeout of the
/// route.
const FORWARDED: AnswerScript = AnswerScript {
    start: "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\ncoltsfootkeel-server-load: 0,0,9,100\r\n\
        coltsfootkeel-response-signature: s.1\r\n\r\n",
    repeated: "0123456789abcdef",
    joined: 8_192,
    pause: Duration::from_millis(75),
};
/// An answer whose beginning is kept until the timeout of the route.
const KEPT: AnswerScript = AnswerScript {
    joined: 1,
    ..FORWARDED
};
const ROUTE_TIMEOUT: Duration = Duration::from_millis(3_200);
/// A request waits for up to half of it.
const OBJECTIVE: Duration = Duration::from_secs(3);
/// More requests than the upstream has room for. Those without room are refused before [`BEHIND_AT`].
const OCCUPYING_REQUESTS: usize = 20;
/// When the requests behind the first one are sent: before its answer is forwarded. They may wait until after its end.
const BEHIND_AT: Duration = Duration::from_secs(2);
/// Time within which requests that were taken back are released.
const RELEASED_WITHIN: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    CallerLeaves,
    AnswerBreaksOff,
}

#[derive(Debug, Clone, Copy)]
struct RefundCase {
    name: &'static str,
    end: ConnectionEnd,
    /// Whether other callers have taken all slots, so that what starts early waits.
    is_full: bool,
    /// The requests behind the first one.
    behind: usize,
    /// How many of them are charged while the first one is answered.
    charged: u64,
    /// How many of those that wait may still be sent before they end, to the slot of the first one.
    sent_last: u64,
}

/// What an instance says of the account and of the pool.
#[derive(Debug, PartialEq, Eq)]
struct Usage {
    charged: u64,
    waiting: u64,
}

async fn usage(fleet: &PlatformFleet) -> Usage {
    let state = fleet.state(0).await;
    let plan = &state["plan"];
    let waiting = plan["queues"]["orders"]["waiting_by_rank"].as_array();
    let pairs = waiting.unwrap().iter();
    Usage {
        charged: plan["accounts"]["hotel"]["charged"].as_u64().unwrap_or(0),
        // Pairs of a rank and a number.
        waiting: pairs.filter_map(|pair| pair[1].as_u64()).sum(),
    }
}

/// Returns a request whose caller waits for longer than the timeout of the route.
fn request(method: Method, path: &str, id: &str) -> CallRequest {
    let mut request = shop_request(method, path, id, SHOP_KEY);
    let is_deadline = |name: &str| name == "coltsfootkeel-request-deadline";
    request.headers.retain(|(name, _)| !is_deadline(name));
    request.header("coltsfootkeel-request-deadline", "8000")
}

async fn start_fleet(name: &'static str) -> (PlatformFleet, EndlessUpstream) {
    let fleet = PlatformFleet::start(FleetSetup {
        name,
        ..FleetSetup::default()
    })
    .await;
    let mut plan = shop_config(2, &[SHOP_KEY]);
    for route in plan["routes"].as_array_mut().unwrap() {
        route["timeout"] = json!(format!("{}ms", ROUTE_TIMEOUT.as_millis()));
        route["slo_latency"] = json!(format!("{}ms", OBJECTIVE.as_millis()));
    }
    fleet.store.put("config", "main", plan, Value::Null);
    let upstream = EndlessUpstream::start().await;
    upstream.set_script(FORWARDED);
    register_upstream(&fleet.store, "endless", upstream.address, "ready");
    fleet.store.remove("servers", fleet.upstreams[0].id());
    // Longer than the time in which a change of the list takes effect.
    sleep(Duration::from_millis(2_500)).await;
    (fleet, upstream)
}

async fn check(case: RefundCase) {
    let (fleet, upstream) = start_fleet(case.name).await;
    let address = fleet.instances[0].options.addresses.entry;
    let started = Instant::now();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let first = request(Method::GET, "/previews/1", "first");
    stream.write_all(&encode_request(&first)).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    upstream.set_script(KEPT);
    if case.is_full {
        for number in 0..OCCUPYING_REQUESTS {
            let path = format!("/orders/{number}");
            let call = request(Method::POST, &path, &path);
            tokio::spawn(async move { call_once(address, &call).await });
        }
    }
    sleep_until(started + BEHIND_AT).await;
    let before = usage(&fleet).await;
    assert_eq!(before.waiting, 0, "{}", case.name);
    for number in 0..case.behind {
        let behind = request(Method::GET, "/previews/1", &format!("behind-{number}"));
        stream.write_all(&encode_request(&behind)).await.unwrap();
    }
    sleep(Duration::from_millis(250)).await;
    let behind = usage(&fleet).await;
    let charged = behind.charged - before.charged;
    assert_eq!(charged, case.charged, "{}", case.name);
    assert_eq!(behind.waiting > 0, case.is_full, "{}", case.name);
    if case.end == ConnectionEnd::AnswerBreaksOff {
        let mut received = Vec::new();
        let read = timeout(ROUTE_TIMEOUT, stream.read_to_end(&mut received)).await;
        read.expect("the connection stays open").ok();
    }
    drop(stream);
    sleep(RELEASED_WITHIN).await;
    let taken_back = usage(&fleet).await;
    // What was sent may have run, and stays charged.
    let sent = behind.charged - behind.waiting;
    let expected = sent..=sent + case.sent_last;
    assert!(
        expected.contains(&taken_back.charged),
        "{}: {taken_back:?} after {behind:?}",
        case.name
    );
    assert_eq!(taken_back.waiting, 0, "{}", case.name);
}

/// Guards against an account that pays for requests that were taken back unsent, against one that does not pay for those
/// that may have run, and against a queue that keeps the place of either.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_taken_back_unsent_are_refunded() {
    let sent = RefundCase {
        name: "refund-sent-left",
        end: ConnectionEnd::CallerLeaves,
        is_full: false,
        behind: 3,
        charged: 3,
        sent_last: 0,
    };
    let waiting = RefundCase {
        name: "refund-waiting-left",
        is_full: true,
        behind: 2,
        charged: 2,
        ..sent
    };
    let cases = [
        RefundCase {
            name: "refund-sent-broken",
            end: ConnectionEnd::AnswerBreaksOff,
            ..sent
        },
        sent,
        RefundCase {
            name: "refund-waiting-broken",
            end: ConnectionEnd::AnswerBreaksOff,
            sent_last: 1,
            ..waiting
        },
        RefundCase {
            name: "refund-not-started",
            behind: 10,
            charged: 8,
            ..waiting
        },
        waiting,
    ];
    let checks = cases.map(|case| tokio::spawn(check(case)));
    for check in checks {
        check.await.unwrap();
    }
}
