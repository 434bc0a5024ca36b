//! Requests that arrive late in the grace period of a planned stop, and exchanges that are in progress during it.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_standins::{
    PipelinedConnection, SHOP_KEY, UpstreamFault, encode_request, shop_config, shop_request,
};
use http::Method;
use nix::sys::signal::Signal;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::TcpMaxSeg;
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Time after the stop signal at which the listener is closed: half of the grace period.
const LISTENER_CLOSED_AFTER: Duration = Duration::from_secs(3);
/// Time after the close of the listener within which a process without work ends. It may wait for callers to close
/// their connections for a second.
const ENDED_WITHIN: Duration = Duration::from_millis(1_500);
/// Length of an answer that is buffered whole before it is written.
const LARGE_ANSWER_BYTES: usize = 4_000_000;
/// A caller that reads this much in each period takes 3.5 s for the large answer.
const READ_BYTES: usize = 23_000;
const READ_PERIOD: Duration = Duration::from_millis(20);

struct LateCase {
    name: &'static str,
    method: Method,
    path: &'static str,
    /// When the request is sent, after the stop signal. The grace period is 6 s.
    after: Duration,
}

/// Guards against requests that are taken late in the grace period, run at an upstream, and are cut without an answer at
/// its end.
#[tokio::test(flavor = "multi_thread")]
async fn late_requests_that_may_outlast_the_grace_period_are_refused() {
    let cases = [
        LateCase {
            name: "stop-order",
            method: Method::POST,
            path: "/orders/1",
            after: Duration::from_millis(1_500),
        },
        LateCase {
            name: "stop-page",
            method: Method::GET,
            path: "/previews/1",
            after: Duration::from_millis(2_900),
        },
    ];
    for case in cases {
        let fleet = PlatformFleet::start(FleetSetup {
            name: case.name,
            ..FleetSetup::default()
        })
        .await;
        let mut config = shop_config(2, &[SHOP_KEY]);
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeout"] = json!("20s");
        }
        fleet.store.put("config", "main", config, Value::Null);
        sleep(Duration::from_secs(1)).await;
        fleet.upstreams[0].set_fault(UpstreamFault::NeverAnswer);
        fleet.signal(0, Signal::SIGTERM);
        sleep(case.after).await;
        let mut call = shop_request(case.method, case.path, "late", SHOP_KEY);
        call.headers
            .retain(|(name, _)| name != "coltsfootkeel-request-deadline");
        let call = call.header("coltsfootkeel-request-deadline", "15000");
        let answer = fleet.call(0, &call).await;
        let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", case.name));
        assert_eq!(answer.status, 503, "{}", case.name);
        assert!(answer.headers.contains_key("retry-after"), "{}", case.name);
        assert!(fleet.runs().is_empty(), "{}", case.name);
    }
}

struct HeadCase {
    name: &'static str,
    /// Whether the connection has carried an exchange before the stop signal.
    is_kept: bool,
    /// When the first part of the head is sent, after the stop signal.
    first_after: Duration,
    /// When the rest is sent, after the first part.
    rest_after: Duration,
}

/// Guards against orders that run and get no answer, because their head is complete only after the listener has closed
/// and the process ends as if nothing were in progress.
#[tokio::test(flavor = "multi_thread")]
async fn orders_whose_head_arrives_around_the_close_of_the_listener_are_answered() {
    let cases = [
        HeadCase {
            name: "head-before-close",
            is_kept: false,
            first_after: Duration::from_millis(2_800),
            rest_after: Duration::from_millis(300),
        },
        HeadCase {
            name: "head-long-before-close",
            is_kept: false,
            first_after: Duration::from_millis(1_500),
            rest_after: Duration::from_millis(1_800),
        },
        HeadCase {
            name: "head-on-kept-connection",
            is_kept: true,
            first_after: Duration::from_millis(2_800),
            rest_after: Duration::from_millis(400),
        },
    ];
    let runs = cases.map(|case| tokio::spawn(send_order_in_two_parts(case)));
    for run in runs {
        run.await.unwrap();
    }
}

async fn send_order_in_two_parts(case: HeadCase) {
    let fleet = PlatformFleet::start(FleetSetup {
        name: case.name,
        work: Duration::from_millis(250),
        ..FleetSetup::default()
    })
    .await;
    let address = fleet.instances[0].options.addresses.entry;
    let mut connection = PipelinedConnection::open(address).await.unwrap();
    if case.is_kept {
        let page = shop_request(Method::GET, "/previews/1", "page", SHOP_KEY);
        connection.send(&encode_request(&page)).await.unwrap();
        connection.read_answer().await.unwrap().unwrap();
    }
    fleet.signal(0, Signal::SIGTERM);
    sleep(case.first_after).await;
    if !case.is_kept {
        connection = PipelinedConnection::open(address).await.unwrap();
    }
    let order = shop_request(Method::POST, "/orders/1", "order", SHOP_KEY).body("two towels");
    let order = encode_request(&order);
    let (first, rest) = order.split_at(order.len() / 2);
    connection.send(first).await.unwrap();
    sleep(case.rest_after).await;
    connection.send(rest).await.unwrap();
    let answer = connection.read_answer().await;
    let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", case.name));
    let answer = answer.unwrap_or_else(|| panic!("{}: closed without an answer", case.name));
    assert_eq!(answer.status, 200, "{}", case.name);
}

/// Guards against a stop that lasts for the whole grace period although nothing is in progress.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_delay_the_end() {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: "stop-idle",
        ..FleetSetup::default()
    })
    .await;
    let address = fleet.instances[0].options.addresses.entry;
    let unused = PipelinedConnection::open(address).await.unwrap();
    let mut kept = PipelinedConnection::open(address).await.unwrap();
    let order = shop_request(Method::POST, "/orders/1", "order", SHOP_KEY).body("two towels");
    kept.send(&encode_request(&order)).await.unwrap();
    kept.read_answer().await.unwrap().unwrap();
    fleet.signal(0, Signal::SIGTERM);
    sleep(LISTENER_CLOSED_AFTER).await;
    let ended = timeout(ENDED_WITHIN, async {
        while !fleet.instances[0].has_ended().unwrap() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(ended.await.is_ok(), "the process still runs");
    drop((unused, kept));
}

/// Guards against an answer that is cut although its caller reads on, because the process ends when the answer is
/// handed to the HTTP library and not when it is written.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_callers_read_slowly_are_written_to_their_end() {
    let fleet = PlatformFleet::start(FleetSetup {
        name: "stop-large-answer",
        ..FleetSetup::default()
    })
    .await;
    fleet.upstreams[0].set_answer_bytes(LARGE_ANSWER_BYTES);
    let address = fleet.instances[0].options.addresses.entry;
    fleet.signal(0, Signal::SIGTERM);
    sleep(Duration::from_millis(1_700)).await;
    let mut stream = connect_with_small_buffers(address).await;
    let page = shop_request(Method::GET, "/previews/1", "page", SHOP_KEY);
    stream.write_all(&encode_request(&page)).await.unwrap();
    let mut answer = Vec::new();
    let mut bytes = vec![0; READ_BYTES];
    loop {
        let count = stream.read(&mut bytes).await.unwrap();
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&bytes[..count]);
        sleep(READ_PERIOD).await;
    }
    assert!(answer.len() > LARGE_ANSWER_BYTES, "{} bytes", answer.len());
}

/// Connects with buffers that are small enough for a slow reader to hold up the writer.
async fn connect_with_small_buffers(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 * 1024).unwrap();
    setsockopt(&socket, TcpMaxSeg, &1_460).unwrap();
    socket.connect(address).await.unwrap()
}
