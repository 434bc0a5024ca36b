//! The memory of an instance whose callers and upstreams make it keep as many bytes as they can.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_standins::{
    CallRequest, INSTANCE_MEMORY_MB, SHOP_KEY, UpstreamFault, encode_request, shop_request,
};
use http::Method;
use platform_fleet::endless_upstream::{AnswerScript, EndlessUpstream};
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Callers that send a request at the same time.
const CALLERS: usize = 200;
/// Upstreams that together have a slot for each request.
const UPSTREAMS: usize = 25;
/// How long callers read, or hold their connections without reading.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Longer than the time in which a change of the list takes effect.
const CHANGE_TIME: Duration = Duration::from_millis(2_500);
/// Length of an answer or a request that is kept whole.
const KEPT_ANSWER_BYTES: usize = 3_900_000;
const KEPT_REQUEST_BYTES: usize = 990_000;

#[derive(Debug, Clone, Copy)]
struct MemoryCase {
    name: &'static str,
    /// The start of an endless answer; `None` for an upstream with sound answers.
    endless: Option<AnswerScript>,
    answer_bytes: usize,
    request_bytes: usize,
    fault: UpstreamFault,
    /// Whether callers read their answers.
    is_read: bool,
}

const SOUND: MemoryCase = MemoryCase {
    name: "",
    endless: None,
    answer_bytes: 0,
    request_bytes: 0,
    fault: UpstreamFault::None,
    is_read: true,
};
const ENDLESS_BODY: AnswerScript = AnswerScript {
    start: "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
        coltsfootkeel-response-signature: s.1\r\n\r\n",
    repeated: "0123456789abcdef",
    joined: 8_192,
    pause: Duration::from_millis(20),
};

const CASES: [MemoryCase; 5] = [
    MemoryCase {
        name: "endless-body",
        endless: Some(ENDLESS_BODY),
        ..SOUND
    },
    MemoryCase {
        name: "endless-chunks",
        endless: Some(AnswerScript {
            start: "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
                coltsfootkeel-response-signature: s.1\r\ntransfer-encoding: chunked\r\n\r\n",
            repeated: "80\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\
                0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n",
            joined: 1_024,
            ..ENDLESS_BODY
        }),
        ..SOUND
    },
    MemoryCase {
        name: "long-answers",
        answer_bytes: KEPT_ANSWER_BYTES,
        ..SOUND
    },
    MemoryCase {
        name: "unread-answers",
        answer_bytes: KEPT_ANSWER_BYTES,
        is_read: false,
        ..SOUND
    },
    MemoryCase {
        name: "large-requests",
        request_bytes: KEPT_REQUEST_BYTES,
        fault: UpstreamFault::NeverAnswer,
        ..SOUND
    },
];

/// Guards against processes that run out of memory because each request may keep some megabytes, however many requests
/// there are and however little memory the process has.
#[tokio::test(flavor = "multi_thread")]
async fn kept_bytes_stay_within_the_memory_limit() {
    let mut failures = Vec::new();
    for case in CASES {
        let memory_kb = peak_memory_kb(case).await;
        if memory_kb > INSTANCE_MEMORY_MB * 1_000 {
            failures.push(format!("{}: {memory_kb} kB", case.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

async fn peak_memory_kb(case: MemoryCase) -> u64 {
    let mut fleet = PlatformFleet::start(FleetSetup {
        name: case.name,
        upstreams: UPSTREAMS,
        ..FleetSetup::default()
    })
    .await;
    for upstream in &fleet.upstreams {
        upstream.set_answer_bytes(case.answer_bytes);
        upstream.set_fault(case.fault);
    }
    if let Some(script) = case.endless {
        let upstream = EndlessUpstream::start().await;
        upstream.set_script(script);
        let info = json!({"service": "orders", "version": "v1", "zone": "a-1", "slots": CALLERS});
        let spec = json!({"address": upstream.address, "info": info, "born": 1});
        let status = json!({"state": "ready", "seq": 1, "cold_remaining": "0ms"});
        fleet.store.put("servers", "endless", spec, status);
        for upstream in &fleet.upstreams {
            fleet.store.remove("servers", upstream.id());
        }
        sleep(CHANGE_TIME).await;
    }
    let address = fleet.instances[0].options.addresses.entry;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let id = format!("{}-{number}", case.name);
            let page = shop_request(Method::GET, "/previews/1", &id, SHOP_KEY);
            let page = page.body(vec![b'x'; case.request_bytes]);
            tokio::spawn(timeout(CALL_TIME, exchange(address, page, case.is_read)))
        })
        .collect();
    for caller in callers {
        // Calls end with their timeout, or with an answer that breaks off.
        let _ = caller.await.unwrap();
    }
    assert!(!fleet.instances[0].has_ended().unwrap(), "{}", case.name);
    fleet.peak_memory_kb(0)
}

/// Sends a request and discards its answer, or leaves it unread.
async fn exchange(address: SocketAddr, request: CallRequest, is_read: bool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&encode_request(&request)).await?;
    if !is_read {
        return std::future::pending().await;
    }
    let mut bytes = vec![0; 16 * 1024];
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}
