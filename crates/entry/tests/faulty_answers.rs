//! Upstreams whose answers are repeated, or end early.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coltsfootkeel_standins::{SHOP_KEY, register_upstream, shop_request};
use http::Method;
use platform_fleet::raw_requests::{attempt_id, read_request};
use platform_fleet::{FleetSetup, PlatformFleet};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// What an upstream does with a request.
struct ScriptedAnswer {
    bytes: Vec<u8>,
    /// Whether the upstream runs the request.
    has_run: bool,
    end: AnswerEnd,
}

/// What happens to the connection after the bytes of an answer.
enum AnswerEnd {
    KeepOpen,
    Close,
    Reset,
}

/// Returns the answer to a request with an attempt id, the `number`th one on its connection from zero on. `previous` are
/// the bytes of the answer before it on the connection.
type AnswerScript = Box<dyn Fn(&str, usize, &[u8]) -> ScriptedAnswer + Send + Sync>;

/// An upstream that answers by a script and counts the runs of each attempt.
struct FaultyUpstream {
    script: AnswerScript,
    runs: Mutex<HashMap<String, usize>>,
}

impl FaultyUpstream {
    /// Starts the upstream and makes it the only one of the fleet.
    async fn start(fleet: &PlatformFleet, script: AnswerScript) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let upstream = Arc::new(Self {
            script,
            runs: Mutex::default(),
        });
        let accepting = Arc::clone(&upstream);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&accepting).serve(stream));
            }
        });
        register_upstream(&fleet.store, "faulty", address, "ready");
        fleet.store.remove("servers", fleet.upstreams[0].id());
        // Longer than the time in which a change of the list takes effect.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        upstream
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut previous = Vec::new();
        for number in 0.. {
            let Some(head) = read_request(&mut stream).await else {
                return;
            };
            let id = attempt_id(&head);
            let answer = (self.script)(id, number, &previous);
            if answer.has_run {
                *self.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
            }
            // A connection that the instance has closed shows in the next read.
            let _ = stream.write_all(&answer.bytes).await;
            previous = answer.bytes;
            match answer.end {
                AnswerEnd::KeepOpen => {}
                AnswerEnd::Close => return,
                AnswerEnd::Reset => {
                    // The bytes must arrive before the reset discards them.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    stream.set_zero_linger().unwrap();
                    return;
                }
            }
        }
    }

    fn runs(&self, id: &str) -> usize {
        self.runs
            .lock()
            .unwrap()
            .get(id)
            .copied()
            .unwrap_or_default()
    }
}

async fn start_fleet(name: &'static str) -> PlatformFleet {
    PlatformFleet::start(FleetSetup {
        name,
        ..FleetSetup::default()
    })
    .await
}

fn refusal(id: Option<&str>) -> Vec<u8> {
    let id = id.map(|id| format!("coltsfootkeel-attempt-id: {id}\r\n"));
    let id = id.unwrap_or_default();
    format!("HTTP/1.1 503 Busy\r\n{id}coltsfootkeel-not-executed: 1\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

struct RefusalCase {
    name: &'static str,
    has_id: bool,
    /// How many refusals the upstream writes for a request that it refuses.
    written: usize,
    /// Whether only a request that comes again on a connection is answered with the earlier refusal, and not each one
    /// after the first.
    same_attempt: bool,
}

/// Guards against "not run" for a request that an upstream runs, and against a second run, when the upstream writes an
/// earlier refusal once more on a kept connection.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusals_do_not_show_that_a_request_has_not_run() {
    let cases = [
        RefusalCase {
            name: "of another request",
            has_id: true,
            written: 1,
            same_attempt: false,
        },
        RefusalCase {
            name: "of the same attempt, sent to the same upstream again",
            has_id: true,
            written: 1,
            same_attempt: true,
        },
        RefusalCase {
            name: "without an id",
            has_id: false,
            written: 1,
            same_attempt: false,
        },
        RefusalCase {
            name: "two in one packet",
            has_id: true,
            written: 2,
            same_attempt: false,
        },
        RefusalCase {
            name: "two without an id in one packet",
            has_id: false,
            written: 2,
            same_attempt: false,
        },
    ];
    let mut failures = Vec::new();
    for (index, case) in cases.into_iter().enumerate() {
        let fleet = start_fleet("repeated-refusal").await;
        let script = move |id: &str, number: usize, previous: &[u8]| {
            let fresh = refusal(case.has_id.then_some(id));
            let is_refused = number == 0 || (case.same_attempt && previous != fresh);
            ScriptedAnswer {
                bytes: if is_refused {
                    fresh.repeat(case.written)
                } else {
                    previous.to_vec()
                },
                has_run: !is_refused,
                end: AnswerEnd::KeepOpen,
            }
        };
        let upstream = FaultyUpstream::start(&fleet, Box::new(script)).await;
        for number in 0..20 {
            let id = format!("order-{index}-{number}");
            let call = shop_request(Method::POST, "/orders/1", &id, SHOP_KEY);
            let answer = fleet.call(0, &call).await.unwrap();
            let runs = upstream.runs(&id);
            let name = case.name;
            if runs > 1 {
                failures.push(format!("{name}: {id} ran {runs} times"));
            }
            if answer.status == 503 && runs > 0 {
                failures.push(format!("{name}: {id} was refused with 503 and ran"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

fn signed_head(id: &str, length: Option<usize>) -> String {
    let length = length.map(|length| format!("content-length: {length}\r\n"));
    format!(
        "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
         coltsfootkeel-response-signature: s.1\r\n{}\r\n",
        length.unwrap_or_default()
    )
}

const ANSWER_BODY: &str = "two towels";

/// Returns whether an answer that ended early was delivered as a success.
async fn is_delivered(fleet: &PlatformFleet, id: &str) -> bool {
    let call = shop_request(Method::POST, "/orders/1", id, SHOP_KEY);
    let answer = fleet.call(0, &call).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Guards against a success with an empty or short body for an answer that its upstream broke off, at every place of
/// the head and of the body, with a length and without one.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_end_early_are_not_delivered_as_whole() {
    let fleet = start_fleet("early-end").await;
    let cut = |id: &str| -> ScriptedAnswer {
        // The id names the framing, the place of the cut and how the connection ends.
        let mut parts = id.split('-');
        let has_length = parts.next() == Some("length");
        let place: usize = parts.next().unwrap().parse().unwrap();
        let is_reset = parts.next() == Some("reset");
        let head = signed_head(id, has_length.then_some(ANSWER_BODY.len()));
        let mut bytes = format!("{head}{ANSWER_BODY}").into_bytes();
        bytes.truncate(place);
        ScriptedAnswer {
            bytes,
            has_run: true,
            end: if is_reset {
                AnswerEnd::Reset
            } else {
                AnswerEnd::Close
            },
        }
    };
    let script: AnswerScript = Box::new(move |id, _, _| cut(id));
    let upstream = FaultyUpstream::start(&fleet, script).await;
    for has_length in [true, false] {
        let framing = if has_length { "length" } else { "close" };
        let id_of = |place: usize, end: &str| format!("{framing}-{place:03}-{end}");
        let length = has_length.then_some(ANSWER_BODY.len());
        let head_bytes = signed_head(&id_of(0, "reset"), length).len();
        let whole_bytes = head_bytes + ANSWER_BODY.len();
        for place in 0..whole_bytes {
            let id = id_of(place, "reset");
            assert!(!is_delivered(&fleet, &id).await, "{id}");
            assert_eq!(upstream.runs(&id), 1, "{id}");
            // Without a length, an answer that ends in its body with a closed connection is whole.
            let id = id_of(place, "clean");
            if has_length || place < head_bytes {
                assert!(!is_delivered(&fleet, &id).await, "{id}");
            }
        }
        let id = id_of(whole_bytes, "clean");
        assert!(is_delivered(&fleet, &id).await, "{id}");
    }
}

fn success(id: &str) -> Vec<u8> {
    let body = format!("by faulty for {id}");
    format!(
        "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
         coltsfootkeel-response-signature: s.1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Guards against an answer that an upstream writes once more, late, on a connection that is in use again: the next
/// caller would get the answer to another request.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_an_answer_reaches_no_caller() {
    let fleet = start_fleet("second-copy").await;
    let script = |id: &str, number: usize, previous: &[u8]| {
        let own = success(id);
        let is_copied = number > 0;
        ScriptedAnswer {
            bytes: if is_copied {
                [previous, &own].concat()
            } else {
                own
            },
            has_run: true,
            end: AnswerEnd::KeepOpen,
        }
    };
    let upstream = FaultyUpstream::start(&fleet, Box::new(script)).await;
    for number in 0..40 {
        let id = format!("copy-{number}");
        let (method, path) = if number % 2 == 0 {
            (Method::GET, "/previews/1")
        } else {
            (Method::POST, "/orders/1")
        };
        let is_idempotent = method == Method::GET;
        let call = shop_request(method, path, &id, SHOP_KEY);
        let answer = fleet.call(0, &call).await.unwrap();
        if answer.status == 200 {
            assert_eq!(answer.body, format!("by faulty for {id}"));
        }
        assert!(is_idempotent || upstream.runs(&id) <= 1, "{id}");
    }
}

/// A status line that an upstream sends for a request, and the status that the caller may get.
struct StatusCase {
    line: &'static str,
    expected: u16,
}

/// Guards against a status that is none in the protocol, or that switches to another one, and that reaches the caller as
/// the answer to its request.
#[tokio::test(flavor = "multi_thread")]
async fn statuses_outside_the_protocol_reach_no_caller() {
    let cases = [
        StatusCase {
            line: "000 None",
            expected: 502,
        },
        StatusCase {
            line: "000",
            expected: 502,
        },
        StatusCase {
            line: "099 Early",
            expected: 502,
        },
        StatusCase {
            line: "101 Switching Protocols",
            expected: 502,
        },
        StatusCase {
            line: "20 Short",
            expected: 502,
        },
        StatusCase {
            line: "2000 Long",
            expected: 502,
        },
        StatusCase {
            line: "600 Odd",
            expected: 502,
        },
        StatusCase {
            line: "999 Odd",
            expected: 502,
        },
        StatusCase {
            line: "404 Not Found",
            expected: 404,
        },
    ];
    let lines: Vec<&str> = cases.iter().map(|case| case.line).collect();
    let fleet = start_fleet("odd-status").await;
    let script = move |id: &str, _: usize, _: &[u8]| {
        let number: usize = id.rsplit('-').next().unwrap().parse().unwrap();
        let line = lines[number];
        let bytes = format!(
            "HTTP/1.1 {line}\r\ncoltsfootkeel-attempt-id: {id}\r\n\
             coltsfootkeel-response-signature: s.1\r\ncontent-length: 2\r\n\r\nok"
        );
        ScriptedAnswer {
            bytes: bytes.into_bytes(),
            has_run: true,
            end: AnswerEnd::KeepOpen,
        }
    };
    let upstream = FaultyUpstream::start(&fleet, Box::new(script)).await;
    for (number, case) in cases.iter().enumerate() {
        for (method, path) in [(Method::POST, "/orders/1"), (Method::GET, "/previews/1")] {
            let id = format!("{method}-{number}");
            let is_order = method == Method::POST;
            let call = shop_request(method, path, &id, SHOP_KEY);
            let answer = fleet.call(0, &call).await.unwrap();
            assert_eq!(answer.status, case.expected, "{id} {}", case.line);
            assert!(!is_order || upstream.runs(&id) <= 1, "{id} {}", case.line);
        }
    }
}
