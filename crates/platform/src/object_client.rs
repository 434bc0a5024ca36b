//! HTTP client of the platform's object API.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfootkeel_transport::{AnswerFailure, CallAnswer, CallError, ConnectionPool, UnsentReason};
use http::header::{CONTENT_LENGTH, ETAG, HOST, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, Method, Request, StatusCode, request};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::object_types::{
    InstanceEntry, ObjectEntry, ObjectVersion, StoreRevision, StoredObject, WatchReport,
    WriteCondition,
};

/// The largest number of connections to the platform. A daemon's watches occupy one or two of them, and its reads and
/// writes must not wait for the watches.
const MAX_CONNECTIONS: usize = 8;

/// Reads, writes, lists and watches objects of the platform.
#[derive(Debug)]
pub struct ObjectClient {
    address: SocketAddr,
    call_timeout: Duration,
    connections: ConnectionPool,
}

impl ObjectClient {
    /// Creates a client of the platform at `address`. Each call but a watch ends within `call_timeout`.
    ///
    /// No connection is opened before the first call.
    #[must_use]
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            address,
            call_timeout,
            connections: ConnectionPool::new(address, MAX_CONNECTIONS),
        }
    }

    /// Reads an object, or returns `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    pub async fn get(&self, name: &str) -> Result<Option<StoredObject>, CallError> {
        let request = self.request(Method::GET, &object_path(name)?);
        let answer = self.call(request, Bytes::new(), self.call_timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(answer.status)?;
        Ok(Some(StoredObject {
            version: read_version(&answer.headers)?,
            body: answer.body,
        }))
    }

    /// Writes an object if `condition` holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold or the call fails. [`CallError::is_known_not_applied`] returns
    /// whether the write has certainly not taken effect.
    pub async fn put(
        &self,
        name: &str,
        body: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, CallError> {
        let request = self.request(Method::PUT, &object_path(name)?);
        let request = match condition {
            WriteCondition::Absent => request.header(IF_NONE_MATCH, "*"),
            WriteCondition::Version(version) => request.header(IF_MATCH, quote_version(version)),
        };
        let answer = self.call(request, body, self.call_timeout).await?;
        check_status(answer.status)?;
        read_version(&answer.headers)
    }

    /// Removes an object if it still has this version.
    ///
    /// # Errors
    ///
    /// Returns an error if the object has another version or the call fails. [`CallError::is_known_not_applied`]
    /// returns whether the removal has certainly not taken effect.
    pub async fn delete(&self, name: &str, version: ObjectVersion) -> Result<(), CallError> {
        let request = self
            .request(Method::DELETE, &object_path(name)?)
            .header(IF_MATCH, quote_version(version));
        let answer = self.call(request, Bytes::new(), self.call_timeout).await?;
        check_status(answer.status)
    }

    /// Lists the objects whose name starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<ObjectEntry>, CallError> {
        let path = format!("/v1/objects?prefix={}", encode_text(prefix));
        self.get_json(&path, self.call_timeout).await
    }

    /// Waits up to `wait` for changes after the revision `after` of objects whose name starts with `prefix`.
    ///
    /// A watch after [`StoreRevision::NOW`] returns at once with the current revision and no changes.
    /// A caller that obtains this revision before it reads its objects misses no change.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer within `wait` plus the call timeout.
    pub async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchReport, CallError> {
        let path = format!(
            "/v1/watch?prefix={}&after={}&wait_ms={}",
            encode_text(prefix),
            after.0,
            wait.as_millis()
        );
        self.get_json(&path, wait + self.call_timeout).await
    }

    /// Reads the platform's list of instances, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable answer.
    pub async fn instances(&self) -> Result<Vec<InstanceEntry>, CallError> {
        self.get_json("/v1/instances", self.call_timeout).await
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let request = self.request(Method::GET, path);
        let answer = self.call(request, Bytes::new(), timeout).await?;
        check_status(answer.status)?;
        serde_json::from_slice(&answer.body)
            .map_err(|error| CallError::Unknown(AnswerFailure::Malformed(error)))
    }

    fn request(&self, method: Method, path: &str) -> request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
    }

    async fn call(
        &self,
        request: request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<CallAnswer, CallError> {
        let request = request
            .header(CONTENT_LENGTH, body.len())
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent(UnsentReason::Request(error.to_string())))?;
        let deadline = Instant::now() + timeout;
        self.connections.exchange(request, deadline).await
    }
}

fn check_status(status: StatusCode) -> Result<(), CallError> {
    let code = status.as_u16();
    if status == StatusCode::OK {
        Ok(())
    } else if status == StatusCode::PRECONDITION_FAILED {
        Err(CallError::Conflict)
    } else if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        Err(CallError::Refused { status: code })
    } else {
        let failure = AnswerFailure::Status { status: code };
        Err(CallError::Unknown(failure))
    }
}

fn read_version(headers: &HeaderMap) -> Result<ObjectVersion, CallError> {
    let tag = headers.get(ETAG).and_then(|value| value.to_str().ok());
    let digits = tag.and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"'));
    digits
        .and_then(|digits| digits.parse().ok())
        .map(ObjectVersion)
        .ok_or(CallError::Unknown(AnswerFailure::NoVersion))
}

fn quote_version(version: ObjectVersion) -> String {
    format!("\"{version}\"")
}

fn object_path(name: &str) -> Result<String, CallError> {
    if name.is_empty() {
        let failure = UnsentReason::Request("the name of the object is empty".to_string());
        return Err(CallError::NotSent(failure));
    }
    Ok(format!("/v1/objects/{}", encode_text(name)))
}

/// Percent-encodes all bytes except the unreserved characters of RFC 3986 and the slash.
fn encode_text(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a String cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
