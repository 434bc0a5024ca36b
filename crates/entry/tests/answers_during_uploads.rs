//! Answers that an upstream sends while the request's body is still being written, and breaks off.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_standins::{SHOP_HOST, SHOP_KEY, register_upstream, shop_config};
use platform_fleet::raw_requests::{attempt_id, read_request};
use platform_fleet::{FleetSetup, PlatformFleet};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The beginning of an answer whose length is not stated.
const PART: &str = "the first part of a receipt";
/// Longer than an instance waits for the end of the answer to an upload.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// An upload, and how its upstream answers it.
struct UploadCase {
    name: &'static str,
    body_bytes: usize,
    /// The time between two pieces of the body.
    pause: Duration,
    /// Whether the upstream reads the body after it has answered.
    is_read: bool,
}

/// Answers each request at once with a success without a length, and resets the connection after a delay that the
/// attempt id names in milliseconds.
async fn answer_and_reset(mut stream: TcpStream, is_read: bool) {
    let Some(head) = read_request(&mut stream).await else {
        return;
    };
    let id = attempt_id(&head);
    let delay_ms: u64 = id.rsplit('-').next().unwrap().parse().unwrap();
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncoltsfootkeel-attempt-id: {id}\r\n\
         coltsfootkeel-response-signature: s.1\r\n\r\n{PART}"
    );
    stream.write_all(answer.as_bytes()).await.unwrap();
    let mut bytes = vec![0; 16 * 1024];
    let reading = async {
        while is_read && stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
        sleep(ANSWER_TIMEOUT).await;
    };
    let _ = timeout(Duration::from_millis(delay_ms), reading).await;
    stream.set_zero_linger().unwrap();
}

/// Sends an upload and returns whether its answer is a success that looks complete.
async fn looks_complete(entry: SocketAddr, id: &str, case: &UploadCase) -> bool {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let head = format!(
        "POST /files/1 HTTP/1.1\r\nhost: {SHOP_HOST}\r\ncoltsfootkeel-attempt-id: {id}\r\n\
         coltsfootkeel-request-deadline: 3000\r\nauthorization: Token {SHOP_KEY}\r\n\
         content-length: {}\r\n\r\n",
        case.body_bytes
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let writing = async {
        let piece = vec![b'x'; 64 * 1024];
        let mut left = case.body_bytes;
        while left > 0 {
            let count = left.min(piece.len());
            // An instance that gave up the request has closed the connection.
            if writer.write_all(&piece[..count]).await.is_err() {
                break;
            }
            left -= count;
            sleep(case.pause).await;
        }
        std::future::pending::<()>().await;
    };
    let mut answer = Vec::new();
    let reading = async {
        let mut bytes = [0; 4096];
        while let Ok(count @ 1..) = reader.read(&mut bytes).await {
            answer.extend_from_slice(&bytes[..count]);
            if is_whole(&answer) {
                break;
            }
        }
    };
    let exchange = async {
        tokio::select! {
            () = writing => {}
            () = reading => {}
        }
    };
    let _ = timeout(ANSWER_TIMEOUT, exchange).await;
    answer.starts_with(b"HTTP/1.1 200") && is_whole(&answer)
}

/// Returns whether an answer has the end that its head announces.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => body.len() >= length.parse().unwrap(),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Guards against a success for the part of an answer that its upstream sent before it reset the connection. The reset
/// may be noticed by the writing of the body first, after which reading returns the end of the stream and no error.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_an_answer_is_no_success_while_the_upload_is_written() {
    let cases = [
        UploadCase {
            name: "kept-unread",
            body_bytes: 900_000,
            pause: Duration::ZERO,
            is_read: false,
        },
        UploadCase {
            name: "streamed-unread",
            body_bytes: 6_000_000,
            pause: Duration::from_millis(1),
            is_read: false,
        },
        UploadCase {
            name: "streamed-read",
            body_bytes: 12_000_000,
            pause: Duration::from_millis(1),
            is_read: true,
        },
        UploadCase {
            name: "slow-read",
            body_bytes: 4_000_000,
            pause: Duration::from_millis(7),
            is_read: true,
        },
    ];
    let fleet = PlatformFleet::start(FleetSetup {
        name: "uploads-answered-early",
        ..FleetSetup::default()
    })
    .await;
    let mut plan = shop_config(2, &[SHOP_KEY]);
    plan["limits"]["max_body_bytes"] = json!(50_000_000);
    plan["routes"][1]["path_prefix"] = json!("/files/");
    plan["routes"][1]["kind"] = json!("upload");
    fleet.store.put("config", "main", plan, Value::Null);
    fleet.store.remove("servers", fleet.upstreams[0].id());
    for case in &cases {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let is_read = case.is_read;
        let upstream = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_and_reset(stream, is_read));
            }
        });
        register_upstream(&fleet.store, case.name, address, "ready");
        // Longer than the time in which a change of the list takes effect.
        sleep(Duration::from_millis(2_500)).await;
        let entry = fleet.instances[0].options.addresses.entry;
        for delay_ms in 0..60 {
            let id = format!("{}-{delay_ms}", case.name);
            assert!(!looks_complete(entry, &id, case).await, "{id}");
        }
        fleet.store.remove("servers", case.name);
        upstream.abort();
    }
}
