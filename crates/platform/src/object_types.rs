//! Objects, versions, conditions and errors of the platform's object API.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

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
    pub fn is_older_than(&self, after: StoreRevision) -> bool {
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
