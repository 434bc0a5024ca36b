//! Objects, versions, conditions and errors of the platform's object API.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of an object. It changes with each write.
///
/// A platform that restarted with older data may give a version again to another value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object is absent.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

impl WriteCondition {
    /// Returns the condition that an object is still as it was read.
    #[must_use]
    pub fn unchanged(version: Option<ObjectVersion>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }

    /// Tells whether the condition holds for an object as it was read.
    #[must_use]
    pub fn holds_for(self, version: Option<ObjectVersion>) -> bool {
        self == Self::unchanged(version)
    }
}

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// The version of the object.
    pub version: ObjectVersion,
    /// The value.
    pub body: Bytes,
}

/// An object in a list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ObjectEntry {
    /// The name of the object.
    pub name: String,
    /// The version of the object.
    pub version: ObjectVersion,
}

/// The latest change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ObjectChange {
    /// The name of the object.
    pub name: String,
    /// The version that the change gave to the object.
    pub version: ObjectVersion,
    /// Whether the change removed the object.
    pub deleted: bool,
}

/// A revision of the whole store. A watch continues from it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// The start of a watch that has seen nothing yet.
    pub const NOW: Self = Self(0);
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct WatchReport {
    /// The revision from which the next watch continues.
    pub revision: StoreRevision,
    /// The objects that changed.
    pub changed: Vec<ObjectChange>,
}

impl WatchReport {
    /// Tells whether the store restarted with older data since the revision `after`.
    ///
    /// Changes may then be missing from the report, so the caller reads its objects again.
    #[must_use]
    pub fn went_back(&self, after: StoreRevision) -> bool {
        self.revision < after
    }
}

/// An instance in the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct InstanceEntry {
    /// The name of the instance.
    pub name: String,
    /// The address of the instance's peer listener.
    pub address: SocketAddr,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// Why a call failed, and whether a write may have taken effect.
#[derive(Debug, Error)]
pub enum CallError {
    /// The condition of a write does not hold. The write has not taken effect.
    #[error("the object has changed")]
    Conflict,
    /// The call was not sent. A write has not taken effect.
    #[error("the call was not sent: {0}")]
    NotSent(#[source] SendFailure),
    /// The platform refused the call. A write has not taken effect.
    #[error("the platform refused the call with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The call was sent, but its outcome is unknown. A write may have taken effect, or may do so
    /// later.
    #[error("the outcome of the call is unknown: {0}")]
    Unknown(#[source] AnswerFailure),
}

impl CallError {
    /// Tells whether a write has certainly not taken effect.
    #[must_use]
    pub fn is_known_not_applied(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }

    /// Tells whether the same call may succeed later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Conflict | Self::NotSent(SendFailure::Request(_)) => false,
            Self::NotSent(_) | Self::Unknown(_) => true,
            Self::Refused { status } => matches!(status, 408 | 429 | 503),
        }
    }
}

/// Why a call was not sent.
#[derive(Debug, Error)]
pub enum SendFailure {
    /// The request could not be formed, for example because the name of the object is empty.
    #[error("malformed request: {0}")]
    Request(String),
    /// All connections stayed in use until the call's time was up.
    #[error("no free connection within the time limit")]
    NoConnection,
    /// The connection could not be opened before the call's time was up.
    #[error("no connection to the platform within the time limit")]
    ConnectTimeout,
    /// The connection could not be opened.
    #[error("cannot connect to the platform: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection closed before the request was written.
    #[error("connection closed before the request was sent: {0}")]
    Closed(#[source] hyper::Error),
}

/// Why the answer to a call is missing.
#[derive(Debug, Error)]
pub enum AnswerFailure {
    /// The call's time was up.
    #[error("no answer within the time limit")]
    Timeout,
    /// The connection failed before the answer was complete.
    #[error("connection failed: {0}")]
    Connection(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The answer is longer than the client reads.
    #[error("the answer is longer than {limit_bytes} bytes")]
    TooLong {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The platform failed while it handled the call.
    #[error("the platform failed with status {status}")]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer has no readable version.
    #[error("the answer has no readable ETag")]
    NoVersion,
    /// The answer is not the expected JSON.
    #[error("malformed answer: {0}")]
    Malformed(#[source] serde_json::Error),
}
