//! A stand-in of a target after PROTOCOL.md. It registers itself in the store, echoes the attempt id and signs its
//! answers. A request to a path under `/poison/` crashes it when it begins to run; it is back after two seconds as a new
//! lifetime with a new id. A faulty target spoils some of its answers while the site says so: a chunked body without an
//! end, which it writes until the caller closes.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_body, read_head, write_answer};
use crate::record::Record;
use crate::store::Store;

/// How long a crashed target is down.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Three report intervals, after which the entry of a silent target is removed.
const EXPIRY: Duration = Duration::from_millis(4_500);
/// How long a normal request works.
const WORK_TIME: Duration = Duration::from_millis(30);

/// A faulty target spoils one in this many of its answers.
const SPOILED_EACH: u64 = 5;
/// The number of chunks that are written at once into an answer without an end.
const CHUNKS_PER_WRITE: usize = 2_000;

/// A request that a target began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
    pub path: String,
    pub target: String,
}

/// What all targets share.
pub struct Site {
    pub store: Store,
    pub record: Arc<Record>,
    pub runs: Mutex<Vec<Run>>,
    pub service: String,
    /// Whether faulty targets spoil answers.
    pub is_spoiling: AtomicBool,
    next_id: Mutex<u32>,
}

impl Site {
    pub fn new(store: Store, record: Arc<Record>, service: &str) -> Arc<Self> {
        Arc::new(Self {
            store,
            record,
            runs: Mutex::new(Vec::new()),
            service: service.to_string(),
            is_spoiling: AtomicBool::new(false),
            next_id: Mutex::new(0),
        })
    }

    fn new_id(&self) -> String {
        let mut next = self.next_id.lock().unwrap();
        *next += 1;
        format!("i-{:08x}", 0x7f3a_0000 + *next * 0x101)
    }
}

struct Lifetime {
    site: Arc<Site>,
    id: String,
    connections: Mutex<Vec<TcpStream>>,
    has_crashed: Mutex<bool>,
    address: SocketAddr,
    is_faulty: bool,
    answers: AtomicU64,
}

/// Starts a target on a free port of `ip`, which runs until the harness ends.
pub fn start_target(
    site: &Arc<Site>,
    ip: &str,
    zone: &'static str,
    is_faulty: bool,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(format!("{ip}:0"))?;
    let address = listener.local_addr()?;
    let site = Arc::clone(site);
    let first = register(&site, address, zone, "0ms");
    thread::spawn(move || {
        let (mut listener, mut id) = (listener, first);
        loop {
            serve_lifetime(&site, listener, &id, address, is_faulty);
            let (expired, store) = (id.clone(), site.store.clone());
            thread::spawn(move || {
                thread::sleep(EXPIRY);
                store.remove("servers", &expired);
            });
            thread::sleep(DOWN_TIME);
            listener = loop {
                match TcpListener::bind(address) {
                    Ok(bound) => break bound,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            id = register(&site, address, zone, "3s");
        }
    });
    Ok(())
}

fn register(site: &Site, address: SocketAddr, zone: &str, cold: &str) -> String {
    let id = site.new_id();
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis());
    let spec = format!(
        "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":9}},\"born\":{born}}}",
        site.service
    );
    let status = format!("{{\"state\":\"ready\",\"seq\":1,\"cold_remaining\":\"{cold}\"}}");
    site.store.put("servers", &id, Some(&spec), Some(&status));
    site.record
        .line(&format!("target {id} starts at {address} in {zone}"));
    id
}

/// Serves until a request crashes the target. The listener is closed then.
fn serve_lifetime(
    site: &Arc<Site>,
    listener: TcpListener,
    id: &str,
    address: SocketAddr,
    is_faulty: bool,
) {
    let lifetime = Arc::new(Lifetime {
        site: Arc::clone(site),
        id: id.to_string(),
        connections: Mutex::new(Vec::new()),
        has_crashed: Mutex::new(false),
        address,
        is_faulty,
        answers: AtomicU64::new(0),
    });
    for stream in listener.incoming() {
        if *lifetime.has_crashed.lock().unwrap() {
            return;
        }
        let Ok(stream) = stream else { continue };
        if let Ok(clone) = stream.try_clone() {
            lifetime.connections.lock().unwrap().push(clone);
        }
        let lifetime = Arc::clone(&lifetime);
        thread::spawn(move || {
            let writer = stream.try_clone();
            if let Ok(mut writer) = writer {
                let _ = lifetime.serve(stream, &mut writer);
                let _ = writer.shutdown(Shutdown::Both);
            }
        });
    }
}

impl Lifetime {
    fn serve(&self, stream: TcpStream, writer: &mut TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request)?;
            if !self.answer(&request, writer)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request. Returns `false` if the target has crashed.
    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<bool> {
        let path = request.first[1].clone();
        let instance = ("Coltsfootkeel-Instance-Id", self.id.clone());
        let keep_alive = ("Keep-Alive", "timeout=10".to_string());
        if path == "/healthz" {
            write_answer(writer, 200, &[instance, keep_alive], b"well")?;
            return Ok(true);
        }
        let Some(attempt) = request
            .header("coltsfootkeel-attempt-id")
            .map(str::to_string)
        else {
            let refused = ("Coltsfootkeel-Not-Executed", "no-id".to_string());
            write_answer(writer, 400, &[refused], b"")?;
            return Ok(true);
        };
        let echo = ("Coltsfootkeel-Attempt-Id", attempt.clone());
        if request
            .header("coltsfootkeel-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let refused = ("Coltsfootkeel-Not-Executed", "other-instance".to_string());
            write_answer(writer, 421, &[refused, echo], b"")?;
            return Ok(true);
        }
        let at = self.site.record.now();
        self.site.record.line(&format!(
            "target {} begins to run {attempt} ({path})",
            self.id
        ));
        self.site.runs.lock().unwrap().push(Run {
            at,
            attempt,
            path: path.clone(),
            target: self.id.clone(),
        });
        if path.contains("/poison/") {
            self.crash();
            return Ok(false);
        }
        thread::sleep(WORK_TIME);
        let signature = (
            "Coltsfootkeel-Response-Signature",
            "3e1b.07.5a2.600.0.c9f2a4d1".to_string(),
        );
        if self.is_faulty && self.site.is_spoiling.load(Ordering::Relaxed) {
            let answer = self.answers.fetch_add(1, Ordering::Relaxed);
            if answer.is_multiple_of(SPOILED_EACH) {
                self.site.record.line(&format!(
                    "target {} spoils the answer to {}",
                    self.id, echo.1
                ));
                return write_without_end(writer, &echo.1, &signature.1);
            }
        }
        let load = ("Coltsfootkeel-Server-Load", "0,0,9".to_string());
        write_answer(
            writer,
            200,
            &[echo, signature, load, keep_alive],
            b"thread stock: 12",
        )?;
        Ok(true)
    }

    /// Closes the listener and all connections, as the end of the process does.
    fn crash(&self) {
        *self.has_crashed.lock().unwrap() = true;
        self.site
            .record
            .line(&format!("target {} crashes", self.id));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, so that it closes the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

/// Writes an answer whose body has no end, in chunks of one byte, until the caller closes.
fn write_without_end(
    writer: &mut TcpStream,
    attempt: &str,
    signature: &str,
) -> std::io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 X\r\nColtsfootkeel-Attempt-Id: {attempt}\r\nColtsfootkeel-Response-Signature: {signature}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    let chunks = b"1\r\nx\r\n".repeat(CHUNKS_PER_WRITE);
    loop {
        writer.write_all(&chunks)?;
    }
}
