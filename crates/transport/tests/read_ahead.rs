//! Requests that are read before the previous one on their connection is answered.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coltsfootkeel_transport::{
    EarlyEvent, HttpService, ListenerLimits, ListenerStop, ReadAheadLimits, serve,
};
use http::Method;
use http::request::Parts;
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

const LIMITS: ReadAheadLimits = ReadAheadLimits {
    max_requests: 3,
    max_bytes: 200,
};
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The most connections that are open at the same time. Where the system queues only 128 connections that are not
/// accepted, it resets some of those beyond them.
const MAX_OPEN_CONNECTIONS: usize = 50;
/// The time within which the requests of a caller that has left end.
const RELEASED_WITHIN: Duration = Duration::from_millis(500);

/// What the service has done, each entry with a path.
#[derive(Debug, Default)]
struct ServiceRecord {
    started: Vec<String>,
    ended: Vec<String>,
    events: Vec<(EarlyEvent, usize)>,
}

/// Answers with method, target and body. A request whose path ends with a number takes as many milliseconds. All GET
/// requests may start early.
#[derive(Debug, Default)]
struct EchoService {
    record: Mutex<ServiceRecord>,
}

/// Records the end of a request, also if it is cancelled.
struct EndGuard<'a> {
    record: &'a Mutex<ServiceRecord>,
    path: String,
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        let path = std::mem::take(&mut self.path);
        self.record.lock().unwrap().ended.push(path);
    }
}

impl HttpService for EchoService {
    async fn call(&self, _peer: SocketAddr, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_string();
        self.record.lock().unwrap().started.push(path.clone());
        let _end = EndGuard {
            record: &self.record,
            path: path.clone(),
        };
        let body = body.collect().await.unwrap().to_bytes();
        let work = path.rsplit('/').next().and_then(|text| text.parse().ok());
        sleep(Duration::from_millis(work.unwrap_or(0))).await;
        let text = format!("{} {path} {}", parts.method, String::from_utf8_lossy(&body));
        Response::new(Body::from(text))
    }

    fn read_ahead_limits(&self) -> Option<ReadAheadLimits> {
        Some(LIMITS)
    }

    fn may_start_early(&self, head: &Parts, started: usize) -> bool {
        head.method == Method::GET && started < LIMITS.max_requests
    }

    fn record_early(&self, event: EarlyEvent, count: usize) {
        self.record.lock().unwrap().events.push((event, count));
    }
}

struct Fixture {
    address: SocketAddr,
    service: Arc<EchoService>,
    stop: ListenerStop,
}

impl Fixture {
    async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let fixture = Self {
            address: listener.local_addr().unwrap(),
            service: Arc::default(),
            stop: ListenerStop::default(),
        };
        let limits = || ListenerLimits {
            max_connections: 100,
            header_timeout: Duration::from_secs(5),
            max_head_bytes: 8 * 1024,
        };
        let service = Arc::clone(&fixture.service);
        tokio::spawn(serve(listener, service, limits, fixture.stop.clone()));
        fixture
    }

    async fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    fn started(&self) -> Vec<String> {
        self.service.record.lock().unwrap().started.clone()
    }

    fn count(&self, wanted: EarlyEvent) -> usize {
        let record = self.service.record.lock().unwrap();
        let events = record.events.iter();
        events
            .filter(|(event, _)| *event == wanted)
            .map(|(_, count)| count)
            .sum()
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn post_chunked(path: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    format!("{head}{length:x}\r\n{body}\r\n0\r\n\r\n")
}

/// Reads answers until as many bodies have arrived as `expected` holds, and compares them.
async fn assert_answers(stream: &mut TcpStream, expected: &[&str], case: &str) {
    let mut received = Vec::new();
    let mut bodies = Vec::new();
    while bodies.len() < expected.len() {
        let text = String::from_utf8_lossy(&received).into_owned();
        bodies = complete_bodies(&text);
        if bodies.len() >= expected.len() {
            break;
        }
        let mut bytes = [0; 4096];
        let read = timeout(READ_TIMEOUT, stream.read(&mut bytes)).await;
        let count = read.unwrap_or_else(|_| panic!("{case}: no answer after {bodies:?}"));
        let count = count.unwrap();
        assert!(count > 0, "{case}: closed after {bodies:?}");
        received.extend_from_slice(&bytes[..count]);
    }
    assert_eq!(bodies, expected, "{case}");
}

/// Returns the bodies of the answers in `text` that are complete.
fn complete_bodies(mut text: &str) -> Vec<String> {
    let mut bodies = Vec::new();
    while let Some((head, rest)) = text.split_once("\r\n\r\n") {
        let mut lengths = head
            .lines()
            .filter_map(|line| line.strip_prefix("content-length: "));
        let length = lengths.next().unwrap().parse().unwrap();
        if rest.len() < length {
            break;
        }
        bodies.push(rest[..length].to_string());
        text = &rest[length..];
    }
    bodies
}

struct SplitCase {
    name: &'static str,
    requests: Vec<String>,
    answers: &'static [&'static str],
}

/// Guards against bytes that are lost, repeated or taken for another request's, wherever a packet ends.
#[tokio::test(flavor = "multi_thread")]
async fn answers_do_not_depend_on_where_packets_end() {
    let cases = [
        SplitCase {
            name: "more than fit the bounds",
            requests: ["/a", "/b/1", "/c", "/d/2", "/e", "/f"].map(get).to_vec(),
            answers: &[
                "GET /a ",
                "GET /b/1 ",
                "GET /c ",
                "GET /d/2 ",
                "GET /e ",
                "GET /f ",
            ],
        },
        SplitCase {
            name: "bodies that look like requests",
            requests: vec![
                get("/a/1"),
                post("/b", &get("/hidden")),
                get("/c/1"),
                post_chunked("/d", &get("/hidden")),
                get("/e"),
                get("/f"),
            ],
            answers: &[
                "GET /a/1 ",
                "POST /b GET /hidden HTTP/1.1\r\nhost: a\r\n\r\n",
                "GET /c/1 ",
                "POST /d GET /hidden HTTP/1.1\r\nhost: a\r\n\r\n",
                "GET /e ",
                "GET /f ",
            ],
        },
        SplitCase {
            name: "a body that ends within what looks like a head",
            requests: vec![
                get("/a/1"),
                post("/b", "GET /hidden HTTP/1.1\r\nhost: "),
                get("/c/1"),
                get("/d"),
            ],
            answers: &[
                "GET /a/1 ",
                "POST /b GET /hidden HTTP/1.1\r\nhost: ",
                "GET /c/1 ",
                "GET /d ",
            ],
        },
    ];
    let fixture = Fixture::start().await;
    for case in cases {
        let bytes = case.requests.concat().into_bytes();
        let open_connections = Arc::new(Semaphore::new(MAX_OPEN_CONNECTIONS));
        let connections = (0..bytes.len()).map(|end| {
            let bytes = bytes.clone();
            let address = fixture.address;
            let name = format!("{}, first {end} bytes", case.name);
            let open_connections = Arc::clone(&open_connections);
            tokio::spawn(async move {
                let _permit = open_connections.acquire().await.unwrap();
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.set_nodelay(true).unwrap();
                stream.write_all(&bytes[..end]).await.unwrap();
                sleep(Duration::from_millis(5)).await;
                stream.write_all(&bytes[end..]).await.unwrap();
                assert_answers(&mut stream, case.answers, &name).await;
            })
        });
        for connection in connections.collect::<Vec<_>>() {
            connection.await.unwrap();
        }
    }
    assert!(!fixture.started().contains(&"/hidden".to_string()));
    assert!(fixture.count(EarlyEvent::Started) > 0);
    // Every request that was started early was answered: none had to run again.
    assert_eq!(fixture.count(EarlyEvent::TakenBack), 0);
    let record = fixture.service.record.lock().unwrap();
    assert_eq!(record.started.len(), record.ended.len());
}

struct StartCase {
    name: &'static str,
    requests: Vec<String>,
    /// The paths that are started before the first answer.
    started: &'static [&'static str],
}

/// Guards against requests that are started behind one that may close the connection or must not run twice, and against
/// more of them than the bounds allow.
#[tokio::test(flavor = "multi_thread")]
async fn only_complete_requests_that_may_start_early_do() {
    let with = |line: &str| format!("GET /b HTTP/1.1\r\nhost: a\r\n{line}\r\n\r\n");
    let behind = |request: String| vec![get("/a/3000"), request, get("/c")];
    let cases = [
        StartCase {
            name: "the bound on requests",
            requests: ["/a/3000", "/b", "/c", "/d", "/e"].map(get).to_vec(),
            started: &["/a/3000", "/b", "/c", "/d"],
        },
        StartCase {
            name: "the bound on bytes",
            requests: vec![get("/a/3000"), get("/b"), with(&format!("x: {:0200}", 0))],
            started: &["/a/3000", "/b"],
        },
        StartCase {
            name: "a request that must not run twice",
            requests: behind(post("/b", "")),
            started: &["/a/3000"],
        },
        StartCase {
            name: "a request that closes the connection",
            requests: behind(with("connection: close")),
            started: &["/a/3000"],
        },
        StartCase {
            name: "behind a request that closes the connection",
            requests: vec![
                "GET /a/3000 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_string(),
                get("/b"),
            ],
            started: &["/a/3000"],
        },
        StartCase {
            name: "an upgrade",
            requests: behind(with("connection: upgrade\r\nupgrade: other")),
            started: &["/a/3000"],
        },
        StartCase {
            name: "an old version",
            requests: behind("GET /b HTTP/1.0\r\nhost: a\r\n\r\n".to_string()),
            started: &["/a/3000"],
        },
        StartCase {
            name: "an incomplete head",
            requests: vec![get("/a/3000"), get("/b"), "GET /c HTTP/1.1\r\nhost".into()],
            started: &["/a/3000", "/b"],
        },
        StartCase {
            name: "a malformed head",
            requests: behind("GET nowhere at all\r\n\r\n".to_string()),
            started: &["/a/3000"],
        },
    ];
    for case in cases {
        let fixture = Fixture::start().await;
        let mut stream = fixture.connect().await;
        let bytes = case.requests.concat();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(150)).await;
        let mut started = fixture.started();
        started.sort();
        assert_eq!(started, case.started, "{}", case.name);
    }
}

/// Guards against work for a caller that has left, and against a stop that cuts what was started.
#[tokio::test(flavor = "multi_thread")]
async fn what_was_started_ends_with_its_caller_and_outlasts_a_stop() {
    let left = Fixture::start().await;
    let mut stream = left.connect().await;
    let bytes = ["/a/3000", "/b/3000", "/c/3000"].map(get).concat();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    while left.started().len() < 3 {
        sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    let left_at = Instant::now();
    while left.service.record.lock().unwrap().ended.len() < 3 {
        assert!(left_at.elapsed() < RELEASED_WITHIN);
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(left.count(EarlyEvent::TakenBack), 2);

    let bytes = ["/a/300", "/b/300", "/c/300"].map(get).concat();
    let stopped = Fixture::start().await;
    let mut stream = stopped.connect().await;
    stream.write_all(bytes.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    stopped.stop.stop();
    let answers = ["GET /a/300 ", "GET /b/300 ", "GET /c/300 "];
    assert_answers(&mut stream, &answers, "stop").await;
    let finished = timeout(READ_TIMEOUT, stopped.stop.finished()).await;
    finished.expect("the connection stays open after its last answer");
}

/// Guards against requests that wait for the sum of the times before them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_connection_run_side_by_side() {
    let fixture = Fixture::start().await;
    let mut stream = fixture.connect().await;
    let started = Instant::now();
    for path in ["/a/300", "/b/300", "/c/300", "/d/300"] {
        stream.write_all(get(path).as_bytes()).await.unwrap();
        sleep(Duration::from_millis(20)).await;
    }
    let answers = ["GET /a/300 ", "GET /b/300 ", "GET /c/300 ", "GET /d/300 "];
    assert_answers(&mut stream, &answers, "side by side").await;
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_millis(700), "{elapsed:?}");
    assert_eq!(fixture.count(EarlyEvent::Started), 3);
}
