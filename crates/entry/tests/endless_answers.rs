//! Upstreams that send bytes without end until the instance closes the connection.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::time::{Duration, Instant};

use coltsfootkeel_standins::{SHOP_KEY, call_once, register_upstream, shop_request};
use http::Method;
use platform_fleet::endless_upstream::{AnswerScript, EndlessUpstream};
use platform_fleet::{FleetSetup, PlatformFleet};

/// Time within which a request whose answer is known to be unusable is rejected: a fraction of the route's timeout of
/// 2 s.
const REJECTED_WITHIN: Duration = Duration::from_millis(700);
/// Time within which every request has its answer: the route's timeout, and half a second.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2_500);
/// Requests that receive bytes without end at the same time.
const CONCURRENT_REQUESTS: usize = 32;
/// Largest resident memory of an instance, in kB. The capacity target is 128 MB for a daemon.
const MAX_MEMORY_KB: u64 = 128_000;

struct EndlessCase {
    name: &'static str,
    script: AnswerScript,
    /// The status of the answer; `None` if the caller sees an answer that breaks off.
    status: Option<u16>,
    within: Duration,
}

const FAST: AnswerScript = AnswerScript {
    start: "",
    repeated: "0123456789abcdef",
    joined: 4_096,
    pause: Duration::ZERO,
};
const SLOW: AnswerScript = AnswerScript {
    joined: 1,
    pause: Duration::from_millis(20),
    ..FAST
};
const UNSIGNED: &str = "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\r\n";
const SIGNED: &str = "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
    coltsfootkeel-response-signature: s.1\r\n\r\n";

/// Answers without the end of a head.
fn head_cases() -> Vec<EndlessCase> {
    vec![
        EndlessCase {
            name: "bytes that are no answer",
            script: FAST,
            status: Some(502),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "empty lines before the head",
            script: AnswerScript {
                repeated: "\r\n",
                ..FAST
            },
            status: Some(502),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "a head of one long field",
            script: AnswerScript {
                start: "HTTP/1.1 200 OK\r\nfiller: ",
                ..FAST
            },
            status: Some(502),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "a head of many fields",
            script: AnswerScript {
                start: "HTTP/1.1 200 OK\r\n",
                repeated: "filler: 1\r\n",
                ..FAST
            },
            status: Some(502),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "a head that arrives slowly",
            script: AnswerScript {
                start: "HTTP/1.1 200 OK\r\nfiller: ",
                ..SLOW
            },
            status: Some(504),
            within: ANSWERED_WITHIN,
        },
        EndlessCase {
            name: "interim answers",
            script: AnswerScript {
                repeated: "HTTP/1.1 102 Processing\r\n\r\n",
                ..FAST
            },
            status: Some(502),
            within: REJECTED_WITHIN,
        },
    ]
}

/// Answers with a head and without the end of a body.
fn body_cases() -> Vec<EndlessCase> {
    vec![
        EndlessCase {
            name: "a body without a signature",
            script: AnswerScript {
                start: UNSIGNED,
                ..FAST
            },
            status: Some(502),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "a body without a signature that arrives slowly",
            script: AnswerScript {
                start: UNSIGNED,
                ..SLOW
            },
            status: Some(502),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "the body of another request's answer",
            script: AnswerScript {
                start: "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: other\r\n\
                    coltsfootkeel-response-signature: s.1\r\ntransfer-encoding: chunked\r\n\r\n",
                repeated: "2\r\nab\r\n",
                ..SLOW
            },
            status: Some(502),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "a refusal",
            script: AnswerScript {
                start: "HTTP/1.1 503 Busy\r\ncoltsfootkeel-attempt-id: {id}\r\ncoltsfootkeel-not-executed: 1\r\n\r\n",
                ..SLOW
            },
            status: Some(503),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "chunk extensions",
            script: AnswerScript {
                start: "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
                    coltsfootkeel-response-signature: s.1\r\ntransfer-encoding: chunked\r\n\r\n2;",
                ..FAST
            },
            status: Some(502),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "bytes after a complete answer",
            script: AnswerScript {
                start: "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
                    coltsfootkeel-response-signature: s.1\r\ncontent-length: 2\r\n\r\nok",
                ..FAST
            },
            status: Some(200),
            within: REJECTED_WITHIN,
        },
        EndlessCase {
            name: "a signed body that arrives slowly",
            script: AnswerScript {
                start: SIGNED,
                ..SLOW
            },
            status: Some(504),
            within: ANSWERED_WITHIN,
        },
        EndlessCase {
            name: "a long signed body",
            script: AnswerScript {
                start: SIGNED,
                joined: 8_192,
                pause: Duration::from_millis(20),
                ..FAST
            },
            status: None,
            within: ANSWERED_WITHIN,
        },
    ]
}

/// Starts a fleet whose only upstream sends bytes without end.
async fn start_fleet(name: &'static str) -> (PlatformFleet, EndlessUpstream) {
    let fleet = PlatformFleet::start(FleetSetup {
        name,
        ..FleetSetup::default()
    })
    .await;
    let upstream = EndlessUpstream::start().await;
    register_upstream(&fleet.store, "endless", upstream.address, "ready");
    fleet.store.remove("servers", fleet.upstreams[0].id());
    // Longer than the time in which a change of the list takes effect.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    (fleet, upstream)
}

/// Guards against requests that are held until their deadline although the answer is known to be unusable, and against
/// connections that stay open, when an upstream sends bytes without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_are_abandoned() {
    let (fleet, upstream) = start_fleet("endless").await;
    let mut failures = Vec::new();
    for (number, case) in head_cases().into_iter().chain(body_cases()).enumerate() {
        upstream.set_script(case.script);
        let path = format!("/orders/{number}");
        let call = shop_request(Method::POST, &path, &path, SHOP_KEY).body("two towels");
        let started = Instant::now();
        let answer = fleet.call(0, &call).await;
        let elapsed = started.elapsed();
        let status = answer.as_ref().ok().map(|answer| answer.status);
        let is_closed = upstream.wait_until_closed().await;
        if status != case.status || elapsed > case.within || !is_closed {
            failures.push(format!(
                "{}: {status:?} after {elapsed:?}, closed: {is_closed}",
                case.name
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against memory that grows with the bytes which upstreams send without end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_take_little_memory() {
    let (fleet, upstream) = start_fleet("endless-memory").await;
    for case in head_cases().into_iter().chain(body_cases()) {
        // A body that the caller receives is no unusable answer.
        if case.script.start == SIGNED {
            continue;
        }
        upstream.set_script(case.script);
        let address = fleet.instances[0].options.addresses.entry;
        let callers = (0..CONCURRENT_REQUESTS).map(|number| {
            let path = format!("/orders/{}-{number}", case.name.replace(' ', "-"));
            let call = shop_request(Method::POST, &path, &path, SHOP_KEY).body("two towels");
            tokio::spawn(async move { call_once(address, &call).await })
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            assert!(caller.await.unwrap().is_ok(), "{}", case.name);
        }
    }
    let peak_kb = fleet.peak_memory_kb(0);
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB");
}

/// Guards against answers in small chunks that hold the request threads, so that other requests wait for them.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_in_small_chunks_leave_time_for_other_requests() {
    let (fleet, upstream) = start_fleet("endless-chunks").await;
    upstream.set_script(AnswerScript {
        start: "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
            coltsfootkeel-response-signature: s.1\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "1\r\na\r\n",
        ..FAST
    });
    let address = fleet.instances[0].options.addresses.entry;
    let callers = (0..CONCURRENT_REQUESTS).map(|number| {
        let path = format!("/orders/chunks-{number}");
        let call = shop_request(Method::POST, &path, &path, SHOP_KEY).body("two towels");
        tokio::spawn(async move {
            let started = Instant::now();
            let _ = call_once(address, &call).await;
            started.elapsed()
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut longest = Duration::ZERO;
    for _ in 0..15 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let started = Instant::now();
        fleet.look_up(0).await;
        longest = longest.max(started.elapsed());
    }
    assert!(longest < REJECTED_WITHIN, "a look-up took {longest:?}");
    for caller in callers {
        let elapsed = caller.await.unwrap();
        assert!(elapsed < ANSWERED_WITHIN, "ended after {elapsed:?}");
    }
}
