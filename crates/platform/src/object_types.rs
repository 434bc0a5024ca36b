//! Types of the platform's object API: objects, versions, write conditions, revisions and watch reports.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The version of an object, which changes with each write.
///
/// A platform that restarted with older data may assign a version that it used before to another value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The state that an object must have for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object is absent.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

impl WriteCondition {
    /// Returns the condition that an object still has the version with which it was read, or is still absent if
    /// `version` is `None`.
    #[must_use]
    pub fn unchanged(version: Option<ObjectVersion>) -> Self {
        version.map_or(Self::Absent, Self::Version)
    }

    /// Returns whether an object with this version, or an absent one if `version` is `None`, satisfies the condition.
    #[must_use]
    pub fn holds_for(self, version: Option<ObjectVersion>) -> bool {
        self == Self::unchanged(version)
    }
}

/// An object as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// The version of the object.
    pub version: ObjectVersion,
    /// The value of the object.
    pub body: Bytes,
}

/// An object as a list shows it, without its value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ObjectEntry {
    /// The name of the object.
    pub name: String,
    /// The version of the object.
    pub version: ObjectVersion,
}

/// The latest change of an object in a watch report.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ObjectChange {
    /// The name of the object.
    pub name: String,
    /// The version that the change assigned to the object.
    pub version: ObjectVersion,
    /// Whether the change removed the object.
    pub deleted: bool,
}

/// A revision of the platform's whole object store, from which a watch continues.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// The argument of a first watch, which returns the current revision at once.
    pub const NOW: Self = Self(0);
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct WatchReport {
    /// The revision from which the next watch continues.
    pub revision: StoreRevision,
    /// The objects that changed, each with its latest change, in the order of the changes.
    pub changed: Vec<ObjectChange>,
}

impl WatchReport {
    /// Returns whether the report's revision is older than `after`, from which the watch continued.
    ///
    /// The platform has then restarted with older data. Changes may be missing from the report, so the
    /// caller reads its objects again.
    #[must_use]
    pub fn is_older_than(&self, after: StoreRevision) -> bool {
        self.revision < after
    }
}

/// An instance in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct InstanceEntry {
    /// The name of the instance.
    pub name: String,
    /// The address of the instance's peer listener.
    pub address: SocketAddr,
    /// The failure domain of the instance.
    pub failure_domain: String,
    /// Whether the instance is about to stop.
    pub leaving: bool,
}
