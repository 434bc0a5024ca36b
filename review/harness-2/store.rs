//! A stand-in of the platform's store, after PROTOCOL.md: lists, watches, conditional writes, one revision counter.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_body, read_head, write_answer};
use crate::json::{member, unquoted};

const RETENTION: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

struct Event {
    revision: u64,
    at: Instant,
    kind: String,
    text: String,
}

struct State {
    revision: u64,
    dropped_until: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

impl Store {
    pub fn start(address: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((
                Mutex::new(State {
                    revision: 100,
                    dropped_until: 0,
                    kinds: BTreeMap::new(),
                    events: Vec::new(),
                }),
                Condvar::new(),
            )),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut request = read_head(&mut reader).ok()??;
            read_body(&mut reader, &mut request).ok()?;
            // An answer takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let kind = ("Content-Type", "application/json".to_string());
            write_answer(&mut writer, status, &[kind], body.as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.first[1].as_str();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return (404, "{}".to_string());
        };
        let argument = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let parts: Vec<&str> = path.split('/').collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let condition = argument("revision")
            .and_then(|text| text.parse().ok())
            .or_else(|| {
                let metadata = member(&body, "metadata")?;
                member(metadata, "revision")?.parse().ok()
            });
        match (request.first[0].as_str(), parts.as_slice()) {
            ("GET", [kind]) => match argument("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = argument("wait_ms").and_then(|text| text.parse().ok());
                    self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => self.list(kind, argument("after").unwrap_or("")),
            },
            ("GET", [kind, name]) => match self.get(kind, name) {
                Some(text) => (200, text),
                None => (404, "{}".to_string()),
            },
            ("POST", [kind]) => {
                let name = member(&body, "metadata").and_then(|metadata| member(metadata, "name"));
                let name = unquoted(name.unwrap_or("")).to_string();
                if let Some(text) = self.get(kind, &name) {
                    return (409, text);
                }
                self.put(kind, &name, member(&body, "spec"), member(&body, "status"));
                (201, self.get(kind, &name).unwrap_or_default())
            }
            ("PUT", [kind, name, rest @ ..]) => {
                let Some(current) = self.object(kind, name) else {
                    return (404, "{}".to_string());
                };
                if condition.is_some_and(|revision: u64| revision != current.revision) {
                    return (409, object_text(name, &current));
                }
                if rest == ["status"] {
                    self.put(kind, name, None, member(&body, "status"));
                } else {
                    self.put(kind, name, member(&body, "spec"), None);
                }
                (200, self.get(kind, name).unwrap_or_default())
            }
            ("DELETE", [kind, name]) => {
                let Some(current) = self.object(kind, name) else {
                    return (404, "{}".to_string());
                };
                if condition.is_some_and(|revision: u64| revision != current.revision) {
                    return (409, object_text(name, &current));
                }
                self.remove(kind, name);
                (200, "{}".to_string())
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn object(&self, kind: &str, name: &str) -> Option<Object> {
        let state = self.shared.0.lock().unwrap();
        state.kinds.get(kind)?.get(name).cloned()
    }

    fn get(&self, kind: &str, name: &str) -> Option<String> {
        self.object(kind, name)
            .map(|object| object_text(name, &object))
    }

    /// Creates or replaces an object. A part that is `None` stays as it is.
    pub fn put(&self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) {
        let mut state = self.shared.0.lock().unwrap();
        let revision = state.revision + 1;
        let objects = state.kinds.entry(kind.to_string()).or_default();
        let previous = objects.get(name).cloned();
        let mut object = previous.clone().unwrap_or(Object {
            revision,
            created: revision,
            spec: "null".to_string(),
            status: "null".to_string(),
        });
        if let Some(spec) = spec {
            object.spec = spec.to_string();
        }
        if let Some(status) = status {
            object.status = status.to_string();
        }
        if previous.is_some_and(|previous| {
            previous.spec == object.spec && previous.status == object.status
        }) {
            return;
        }
        object.revision = revision;
        let text = object_text(name, &object);
        objects.insert(name.to_string(), object);
        self.record(
            &mut state,
            kind,
            format!("{{\"removed\":false,\"object\":{text}}}"),
        );
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let revision = state.revision + 1;
        let removed = state
            .kinds
            .get_mut(kind)
            .and_then(|objects| objects.remove(name));
        if let Some(mut object) = removed {
            object.revision = revision;
            let text = object_text(name, &object);
            self.record(
                &mut state,
                kind,
                format!("{{\"removed\":true,\"object\":{text}}}"),
            );
        }
    }

    fn record(&self, state: &mut State, kind: &str, text: String) {
        state.revision += 1;
        let event = Event {
            revision: state.revision,
            at: Instant::now(),
            kind: kind.to_string(),
            text,
        };
        state.events.push(event);
        let old = state
            .events
            .iter()
            .take_while(|event| event.at.elapsed() > RETENTION)
            .count();
        if old > 0 {
            state.dropped_until = state.events[old - 1].revision;
            state.events.drain(..old);
        }
        self.shared.1.notify_all();
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let none = BTreeMap::new();
        let objects = state.kinds.get(kind).unwrap_or(&none);
        let items = objects.iter().filter(|(name, _)| name.as_str() > after);
        let items: Vec<String> = items
            .map(|(name, object)| object_text(name, object))
            .collect();
        let page = items.len().min(500);
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{},\"store_revision\":{}}}",
            items[..page].join(","),
            items.len() > page,
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if after < state.dropped_until {
                return (410, "{}".to_string());
            }
            let events = state.events.iter();
            let new = events.filter(|event| event.revision > after && event.kind == kind);
            let texts: Vec<&str> = new.map(|event| event.text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() {
                let revision = state.revision;
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"store_revision\":{revision}}}",
                        texts.join(",")
                    ),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
