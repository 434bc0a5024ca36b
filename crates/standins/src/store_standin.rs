//! Stand-in for the platform's store after its published protocol: objects by kind, conditional writes, and watches on
//! a history of changes that can be compacted. It can return from an older copy of its content.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coltsfootkeel_transport::{HttpService, ListenerLimits, ListenerStop, serve};
use http::{HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

/// Header in which the store states its era.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
const OBJECT_PATH: &str = "/-/objects/";
/// Maximum number of objects in one page of a list.
const PAGE_SIZE_OBJECTS: usize = 50;
/// Maximum time until a watch without changes is answered.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Availability of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Requests are answered normally.
    #[default]
    Up,
    /// Requests are answered with 503 and have no effect.
    Unavailable,
    /// Requests are never answered and have no effect.
    Unresponsive,
    /// Writes take effect and are never answered.
    LoseWriteAnswers,
}

/// Kind of an object and its name within the kind.
type ObjectPath = (String, String);

#[derive(Debug, Clone)]
struct StoredObject {
    revision: u64,
    spec: Value,
    status: Value,
}

#[derive(Debug, Clone)]
struct HistoryEntry {
    revision: u64,
    path: ObjectPath,
    object: StoredObject,
    is_removed: bool,
}

#[derive(Debug, Clone, Default)]
struct StoreContent {
    /// The era that all answers state; `None` if they state none.
    era: Option<u64>,
    revision: u64,
    objects: BTreeMap<ObjectPath, StoredObject>,
    history: Vec<HistoryEntry>,
    /// Changes up to this revision are no longer in the history.
    compacted_revision: u64,
    calls: u64,
}

/// The content of a store at some time.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    content: StoreContent,
}

/// A running store. Its objects are written by HTTP requests or through this handle. Clones share the content.
#[derive(Debug, Clone)]
pub struct StoreStandin {
    address: SocketAddr,
    content: Arc<Mutex<StoreContent>>,
    changed: watch::Sender<u64>,
    mode: watch::Sender<StoreMode>,
}

impl StoreStandin {
    /// Starts a store on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the store cannot listen on any port.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let store = Self {
            address: listener.local_addr()?,
            content: Arc::default(),
            changed: watch::Sender::new(0),
            mode: watch::Sender::new(StoreMode::Up),
        };
        let service = Arc::new(store.clone());
        tokio::spawn(serve(
            listener,
            service,
            standin_limits,
            ListenerStop::default(),
        ));
        Ok(store)
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the availability. [`StoreMode::Unavailable`] and [`StoreMode::Unresponsive`] also end the requests in
    /// progress, such as watches, with 503.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.send_replace(mode);
    }

    /// Returns the availability.
    #[must_use]
    pub fn mode(&self) -> StoreMode {
        *self.mode.borrow()
    }

    /// Returns whether writes take effect in the current mode.
    #[must_use]
    pub fn accepts_writes(&self) -> bool {
        matches!(
            *self.mode.borrow(),
            StoreMode::Up | StoreMode::LoseWriteAnswers
        )
    }

    /// Writes an object without a condition, in any mode.
    pub fn put(&self, kind: &str, name: &str, spec: Value, status: Value) {
        let mut content = self.lock();
        content.put((kind.to_string(), name.to_string()), spec, status);
        self.changed.send_replace(content.revision);
    }

    /// Removes an object without a condition, in any mode.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.lock();
        content.remove(&(kind.to_string(), name.to_string()));
        self.changed.send_replace(content.revision);
    }

    /// Returns the specification of an object, or `None` if the object does not exist.
    #[must_use]
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let content = self.lock();
        let stored = content.objects.get(&(kind.to_string(), name.to_string()));
        stored.map(|stored| stored.spec.clone())
    }

    /// Returns the names of the objects of a kind in ascending order.
    #[must_use]
    pub fn names(&self, kind: &str) -> Vec<String> {
        let content = self.lock();
        let of_kind = content.objects.keys().filter(|path| path.0 == kind);
        of_kind.map(|path| path.1.clone()).collect()
    }

    /// Drops the history of all changes so far. A watch that starts before the current revision is answered with 410.
    pub fn compact_history(&self) {
        let mut content = self.lock();
        content.history.clear();
        content.compacted_revision = content.revision;
    }

    /// Makes all answers state an era from now on, the first one.
    pub fn state_eras(&self) {
        self.lock().era.get_or_insert(1);
    }

    /// Returns a copy of the present content.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let content = self.lock().clone();
        StoreCopy { content }
    }

    /// Replaces the content by that of an earlier copy, as after a loss of the newer one. Revisions continue from the copy,
    /// and a stated era rises by one. Waiting watches stay open if the copy has their revision.
    pub fn return_from(&self, copy: &StoreCopy) {
        let mut content = self.lock();
        *content = StoreContent {
            era: content.era.map(|era| era + 1),
            calls: content.calls,
            ..copy.content.clone()
        };
        self.changed.send_replace(content.revision);
    }

    /// Returns the number of received requests, including those that failed.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, StoreContent> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unavailable(&self) -> Response {
        self.lock()
            .reply(StatusCode::SERVICE_UNAVAILABLE, &Value::Null)
    }

    async fn answer(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().strip_prefix(OBJECT_PATH);
        let Some(path) = path else {
            return self.lock().reply(StatusCode::NOT_FOUND, &Value::Null);
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_string(), Some(name.to_string())),
            None => (path.to_string(), None),
        };
        let query = QueryParameters::parse(parts.uri.query().unwrap_or_default());
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let written: Value = body
            .ok()
            .and_then(|bytes| serde_json::from_slice(&bytes).ok())
            .unwrap_or_default();
        match (parts.method, name) {
            (Method::GET, None) if query.watch.is_some() => self.watch(&kind, query).await,
            (Method::GET, None) => self.list(&kind, &query),
            (Method::GET, Some(name)) => self.get(&(kind, name)),
            (Method::POST, None) => {
                let name = written["metadata"]["name"].as_str().unwrap_or_default();
                self.create(&(kind, name.to_string()), &written)
            }
            (Method::PUT, Some(name)) => self.replace(&(kind, name), &written),
            (Method::DELETE, Some(name)) => self.delete(&(kind, name), query.revision),
            _ => self
                .lock()
                .reply(StatusCode::METHOD_NOT_ALLOWED, &Value::Null),
        }
    }

    fn get(&self, path: &ObjectPath) -> Response {
        let content = self.lock();
        match content.objects.get(path) {
            Some(stored) => content.reply(StatusCode::OK, &encode(path, stored)),
            None => content.reply(StatusCode::NOT_FOUND, &Value::Null),
        }
    }

    fn list(&self, kind: &str, query: &QueryParameters) -> Response {
        let content = self.lock();
        let after = query.after.clone().unwrap_or_default();
        let mut objects = content
            .objects
            .iter()
            .filter(|(path, _)| path.0 == kind && path.1 > after);
        let items: Vec<Value> = objects
            .by_ref()
            .take(PAGE_SIZE_OBJECTS)
            .map(|(path, stored)| encode(path, stored))
            .collect();
        let has_more = objects.next().is_some();
        let body = json!({
            "items": items, "has_more": has_more, "store_revision": content.revision,
        });
        content.reply(StatusCode::OK, &body)
    }

    async fn watch(&self, kind: &str, query: QueryParameters) -> Response {
        let after = query.watch.unwrap_or_default();
        let mut changed = self.changed.subscribe();
        let wait = Duration::from_millis(query.wait_ms.unwrap_or_default()).min(MAX_WATCH_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            if let Some(response) = self.changes(kind, after) {
                return response;
            }
            if tokio::time::timeout_at(deadline, changed.changed())
                .await
                .is_err()
            {
                let content = self.lock();
                let body = json!({"events": [], "store_revision": content.revision});
                return content.reply(StatusCode::OK, &body);
            }
        }
    }

    fn changes(&self, kind: &str, after: u64) -> Option<Response> {
        let content = self.lock();
        if after < content.compacted_revision || after > content.revision {
            return Some(content.reply(StatusCode::GONE, &Value::Null));
        }
        let events: Vec<Value> = content
            .history
            .iter()
            .filter(|change| change.revision > after && change.path.0 == kind)
            .map(|change| {
                let object = encode(&change.path, &change.object);
                json!({"removed": change.is_removed, "object": object})
            })
            .collect();
        let body = json!({"events": events, "store_revision": content.revision});
        (!events.is_empty()).then(|| content.reply(StatusCode::OK, &body))
    }

    fn create(&self, path: &ObjectPath, written: &Value) -> Response {
        let mut content = self.lock();
        if let Some(stored) = content.objects.get(path) {
            return content.reply(StatusCode::CONFLICT, &encode(path, stored));
        }
        content.put(path.clone(), written["spec"].clone(), Value::Null);
        self.changed.send_replace(content.revision);
        content.reply(StatusCode::OK, &encode(path, &content.objects[path]))
    }

    fn replace(&self, path: &ObjectPath, written: &Value) -> Response {
        let mut content = self.lock();
        let Some(stored) = content.objects.get(path).cloned() else {
            return content.reply(StatusCode::NOT_FOUND, &Value::Null);
        };
        let expected_revision = written["metadata"]["revision"].as_u64();
        if expected_revision.is_some_and(|revision| revision != stored.revision) {
            return content.reply(StatusCode::CONFLICT, &encode(path, &stored));
        }
        if stored.spec != written["spec"] {
            content.put(path.clone(), written["spec"].clone(), stored.status);
            self.changed.send_replace(content.revision);
        }
        content.reply(StatusCode::OK, &encode(path, &content.objects[path]))
    }

    fn delete(&self, path: &ObjectPath, revision: Option<u64>) -> Response {
        let mut content = self.lock();
        let Some(stored) = content.objects.get(path) else {
            return content.reply(StatusCode::NOT_FOUND, &Value::Null);
        };
        if revision.is_some_and(|revision| revision != stored.revision) {
            return content.reply(StatusCode::CONFLICT, &encode(path, stored));
        }
        content.remove(path);
        self.changed.send_replace(content.revision);
        content.reply(StatusCode::OK, &Value::Null)
    }
}

impl HttpService for StoreStandin {
    async fn call(&self, _peer: SocketAddr, request: Request) -> Response {
        self.lock().calls += 1;
        let mut mode = self.mode.subscribe();
        let is_write = request.method() != Method::GET;
        let mode_at_start = *mode.borrow_and_update();
        match mode_at_start {
            StoreMode::Unavailable => return self.unavailable(),
            StoreMode::Unresponsive => return std::future::pending().await,
            StoreMode::Up | StoreMode::LoseWriteAnswers => {}
        }
        let response = tokio::select! {
            response = self.answer(request) => response,
            // Requests in progress, such as watches, fail when the store becomes unavailable.
            _ = mode.wait_for(|now| matches!(now, StoreMode::Unavailable | StoreMode::Unresponsive)) => {
                return self.unavailable();
            }
        };
        if mode_at_start == StoreMode::LoseWriteAnswers && is_write {
            return std::future::pending().await;
        }
        response
    }
}

impl StoreContent {
    /// Returns an answer that states the era of this content.
    fn reply(&self, status: StatusCode, body: &Value) -> Response {
        let mut response = Response::new(Body::from(body.to_string()));
        *response.status_mut() = status;
        if let Some(era) = self.era {
            response
                .headers_mut()
                .insert(ERA_HEADER, HeaderValue::from(era));
        }
        response
    }

    fn put(&mut self, path: ObjectPath, spec: Value, status: Value) {
        self.revision += 1;
        let object = StoredObject {
            revision: self.revision,
            spec,
            status,
        };
        self.history.push(HistoryEntry {
            revision: self.revision,
            path: path.clone(),
            object: object.clone(),
            is_removed: false,
        });
        self.objects.insert(path, object);
    }

    fn remove(&mut self, path: &ObjectPath) {
        if let Some(object) = self.objects.remove(path) {
            self.revision += 1;
            self.history.push(HistoryEntry {
                revision: self.revision,
                path: path.clone(),
                object,
                is_removed: true,
            });
        }
    }
}

#[derive(Debug, Default)]
struct QueryParameters {
    after: Option<String>,
    watch: Option<u64>,
    wait_ms: Option<u64>,
    revision: Option<u64>,
}

impl QueryParameters {
    fn parse(query: &str) -> Self {
        let mut values = Self::default();
        for pair in query.split('&') {
            match pair.split_once('=') {
                Some(("after", value)) => values.after = Some(value.to_string()),
                Some(("watch", value)) => values.watch = value.parse().ok(),
                Some(("wait_ms", value)) => values.wait_ms = value.parse().ok(),
                Some(("revision", value)) => values.revision = value.parse().ok(),
                _ => {}
            }
        }
        values
    }
}

/// Returns the limits of the listeners of stand-ins.
pub(crate) fn standin_limits() -> ListenerLimits {
    ListenerLimits {
        max_connections: 1_000,
        header_timeout: Duration::from_mins(1),
        max_head_bytes: 64 * 1024,
    }
}

fn encode(path: &ObjectPath, stored: &StoredObject) -> Value {
    json!({
        "metadata": {"name": path.1, "revision": stored.revision, "created": 1,
            "finalizers": [], "deletion_pending": false},
        "spec": stored.spec,
        "status": stored.status,
    })
}
