//! A stand-in of the platform's store after the users' protocol page. Each machine has a door of its own to it, so that
//! the store can turn single machines away.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, write_answer};
use crate::json::{Json, quote};

const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, the object, and whether it was removed.
    history: Vec<(u64, String, String, Object, bool)>,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
    /// Whether watches hear nothing of changes, before the history is dropped.
    is_deaf: Arc<AtomicBool>,
}

/// The way of one machine to the store.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    /// Whether the store is silent towards this machine.
    pub silent: Arc<AtomicBool>,
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: Json, status: Json) {
        self.revision += 1;
        let key = (kind.to_string(), name.to_string());
        let created = self.objects.get(&key).map_or(self.revision, |old| old.created);
        let object = Object {
            revision: self.revision,
            created,
            spec,
            status,
        };
        let entry = (self.revision, key.0.clone(), key.1.clone(), object.clone(), false);
        self.history.push(entry);
        self.objects.insert(key, object);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_string(), name.to_string())) {
            self.revision += 1;
            let entry = (self.revision, kind.to_string(), name.to_string(), object, true);
            self.history.push(entry);
        }
    }
}

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
        quote(name),
        object.revision,
        object.created,
        object.spec.write(),
        object.status.write()
    )
}

impl Store {
    /// Writes an object, as the operator or a target does. Returns its revision: the write is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) -> u64 {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        let spec = Json::parse(spec).expect("a spec in JSON");
        let status = Json::parse(status).expect("a status in JSON");
        content.put(kind, name, spec, status);
        changed.notify_all();
        content.revision
    }

    /// Lets watches hear nothing of changes from now on.
    pub fn begin_compaction(&self) {
        self.is_deaf.store(true, Ordering::SeqCst);
    }

    /// Drops the history and cuts the watches that wait.
    pub fn end_compaction(&self) {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        content.history.clear();
        content.compacted = content.revision;
        self.is_deaf.store(false, Ordering::SeqCst);
        changed.notify_all();
    }

    /// Opens the way of a machine to the store.
    pub fn open(&self) -> std::io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let door = Door {
            address: listener.local_addr()?,
            silent: Arc::default(),
        };
        let (store, silent) = (self.clone(), Arc::clone(&door.silent));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, silent) = (store.clone(), Arc::clone(&silent));
                thread::spawn(move || store.serve(stream, &silent));
            }
        });
        Ok(door)
    }

    fn serve(&self, mut stream: TcpStream, silent: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(head) = read_head(&mut stream, rest) {
            let Some((body, behind)) = read_body(&mut stream, &head) else {
                return;
            };
            rest = behind;
            if silent.load(Ordering::SeqCst) {
                return hold(silent);
            }
            let (status, answer) = self.answer(&head.request(), &body, silent);
            if silent.load(Ordering::SeqCst) {
                return hold(silent);
            }
            let kind = [("Content-Type".to_string(), "application/json".to_string())];
            if write_answer(&mut stream, status, &kind, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        request: &(String, String),
        body: &[u8],
        silent: &AtomicBool,
    ) -> (&'static str, String) {
        let (path, query) = request.1.split_once('?').unwrap_or((&request.1, ""));
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return ("404 Not Found", "{}".to_string());
        };
        let mut words = path.split('/');
        let kind = words.next().unwrap_or_default().to_string();
        let name = words.next().map(decode_name);
        let is_status = words.next() == Some("status");
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == wanted).map(|(_, value)| decode_name(value))
        };
        let written = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let (content, changed) = &*self.shared;
        match (request.0.as_str(), name) {
            ("GET", None) => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(since) => {
                    let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0).min(30_000));
                    self.watch(&kind, since, wait, silent)
                }
                None => ("200 OK", self.list(&kind, &parameter("after").unwrap_or_default())),
            },
            ("GET", Some(name)) => match content.lock().unwrap().objects.get(&(kind, name.clone())) {
                Some(object) => ("200 OK", encode(&name, object)),
                None => ("404 Not Found", "{}".to_string()),
            },
            ("POST", None) => {
                let name = written.get("metadata").get("name").text().unwrap_or_default().to_string();
                let key = (kind, name);
                let mut content = content.lock().unwrap();
                if let Some(object) = content.objects.get(&key) {
                    return ("409 Conflict", encode(&key.1, object));
                }
                content.put(&key.0, &key.1, written.get("spec").clone(), Json::Null);
                changed.notify_all();
                ("200 OK", encode(&key.1, &content.objects[&key]))
            }
            ("PUT", Some(name)) => {
                let key = (kind, name);
                let mut content = content.lock().unwrap();
                let Some(object) = content.objects.get(&key).cloned() else {
                    return ("404 Not Found", "{}".to_string());
                };
                let condition = written.get("metadata").get("revision").whole();
                if condition.is_some_and(|revision| revision != object.revision) {
                    return ("409 Conflict", encode(&key.1, &object));
                }
                let (spec, status) = if is_status {
                    (object.spec.clone(), written.get("status").clone())
                } else {
                    (written.get("spec").clone(), object.status.clone())
                };
                if spec != object.spec || status != object.status {
                    content.put(&key.0, &key.1, spec, status);
                    changed.notify_all();
                }
                ("200 OK", encode(&key.1, &content.objects[&key]))
            }
            ("DELETE", Some(name)) => {
                let key = (kind, name);
                let mut content = content.lock().unwrap();
                let Some(object) = content.objects.get(&key).cloned() else {
                    return ("404 Not Found", "{}".to_string());
                };
                let condition = parameter("revision").and_then(|text| text.parse::<u64>().ok());
                if condition.is_some_and(|revision| revision != object.revision) {
                    return ("409 Conflict", encode(&key.1, &object));
                }
                content.remove(&key.0, &key.1);
                changed.notify_all();
                ("200 OK", encode(&key.1, &object))
            }
            _ => ("404 Not Found", "{}".to_string()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let content = self.shared.0.lock().unwrap();
        let mut objects = content
            .objects
            .iter()
            .filter(|(key, _)| key.0 == kind && key.1.as_str() > after);
        let items: Vec<String> = objects
            .by_ref()
            .take(PAGE)
            .map(|(key, object)| encode(&key.1, object))
            .collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"store_revision\":{}}}",
            items.join(","),
            objects.next().is_some(),
            content.revision
        )
    }

    fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        silent: &AtomicBool,
    ) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        loop {
            if since < content.compacted {
                return ("410 Gone", "{}".to_string());
            }
            let is_deaf = self.is_deaf.load(Ordering::SeqCst);
            let events: Vec<String> = content
                .history
                .iter()
                .filter(|(revision, of, ..)| !is_deaf && *revision > since && of == kind)
                .map(|(_, _, name, object, is_removed)| {
                    format!("{{\"removed\":{is_removed},\"object\":{}}}", encode(name, object))
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || silent.load(Ordering::SeqCst) {
                let events = events.join(",");
                let revision = if is_deaf { since } else { content.revision };
                let answer = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return ("200 OK", answer);
            }
            let pause = left.min(Duration::from_millis(100));
            content = changed.wait_timeout(content, pause).unwrap().0;
        }
    }
}

/// Keeps a connection open without an answer while the store is silent, and ends it then.
fn hold(silent: &AtomicBool) {
    while silent.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
    }
}

fn decode_name(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let digits = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
