//! Object store of the platform stand-in, with versions, conditional writes and the latest change of each object.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Serialize;
use thiserror::Error;

/// Maximum size of a value in bytes, as in the platform's object API, which holds values of up to 1 MB.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// Revision of an empty store. It is not 0, because a watch after revision 0 starts at the current revision.
const FIRST_REVISION: u64 = 1;

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCondition {
    /// The object does not exist.
    Absent,
    /// The object exists and has this version.
    Version(u64),
}

/// Reason why a write was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StoreRefusal {
    /// The object does not meet the precondition of the write.
    #[error("the condition of the write does not hold")]
    Conflict,
    /// The value exceeds [`VALUE_LIMIT_BYTES`].
    #[error("the value is larger than {VALUE_LIMIT_BYTES} bytes")]
    TooLarge,
}

/// A value with its version.
#[derive(Debug, Clone)]
pub struct StoredValue {
    /// Revision of the store at which the value was written.
    pub version: u64,
    /// Bytes of the value.
    pub body: Bytes,
}

/// Latest change of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectChange {
    /// Name of the object.
    pub name: String,
    /// Revision of the store at the change, which is the object's version unless the object was deleted.
    pub version: u64,
    /// Whether the change deleted the object.
    pub deleted: bool,
}

/// Entry of a list of objects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectListing {
    /// Name of the object.
    pub name: String,
    /// Version of the object.
    pub version: u64,
}

#[derive(Debug, Clone)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<String, StoredValue>,
    deletions: BTreeMap<String, u64>,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            revision: FIRST_REVISION,
            objects: BTreeMap::new(),
            deletions: BTreeMap::new(),
        }
    }
}

/// A versioned store of named values in memory.
///
/// The version of an object is the revision of the store at its last write. [`ObjectStore::revert`] sets the revision
/// back, so that later writes repeat versions, as on a platform that restarts with older data.
#[derive(Debug, Default)]
pub struct ObjectStore {
    state: StoreState,
    saved: StoreState,
}

impl ObjectStore {
    /// Returns the current revision, which grows by one with each write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.revision
    }

    /// Returns the value of an object, or `None` if the object does not exist.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&StoredValue> {
        self.state.objects.get(name)
    }

    /// Writes a value and returns its version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreRefusal::TooLarge`] if the value exceeds [`VALUE_LIMIT_BYTES`], or [`StoreRefusal::Conflict`] if
    /// the object does not meet `condition`. The store is then unchanged.
    pub fn put(
        &mut self,
        name: &str,
        body: Bytes,
        condition: StoreCondition,
    ) -> Result<u64, StoreRefusal> {
        if body.len() > VALUE_LIMIT_BYTES {
            return Err(StoreRefusal::TooLarge);
        }
        self.check_condition(name, condition)?;
        let version = self.next_revision();
        let value = StoredValue { version, body };
        self.state.objects.insert(name.to_string(), value);
        self.state.deletions.remove(name);
        Ok(version)
    }

    /// Deletes an object and returns the revision of the deletion.
    ///
    /// # Errors
    ///
    /// Returns [`StoreRefusal::Conflict`] if the object has another version or does not exist.
    pub fn delete(&mut self, name: &str, version: u64) -> Result<u64, StoreRefusal> {
        self.check_condition(name, StoreCondition::Version(version))?;
        let revision = self.next_revision();
        self.state.objects.remove(name);
        self.state.deletions.insert(name.to_string(), revision);
        Ok(revision)
    }

    /// Lists the objects whose name starts with `prefix`, ordered by name.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<ObjectListing> {
        self.state
            .objects
            .range(prefix.to_string()..)
            .take_while(|(name, _)| name.starts_with(prefix))
            .map(|(name, value)| ObjectListing {
                name: name.clone(),
                version: value.version,
            })
            .collect()
    }

    /// Returns the latest change of each object under `prefix` that changed after `revision`.
    #[must_use]
    pub fn changes_after(&self, prefix: &str, revision: u64) -> Vec<ObjectChange> {
        let written = self.state.objects.iter().map(|(name, value)| ObjectChange {
            name: name.clone(),
            version: value.version,
            deleted: false,
        });
        let deleted = self.state.deletions.iter().map(|(name, at)| ObjectChange {
            name: name.clone(),
            version: *at,
            deleted: true,
        });
        let mut changes: Vec<ObjectChange> = written
            .chain(deleted)
            .filter(|change| change.version > revision && change.name.starts_with(prefix))
            .collect();
        changes.sort_by_key(|change| change.version);
        changes
    }

    /// Saves the current state for [`ObjectStore::revert`].
    pub fn save(&mut self) {
        self.saved = self.state.clone();
    }

    /// Restores the state of the last [`ObjectStore::save`], or an empty store if there was none.
    pub fn revert(&mut self) {
        self.state = self.saved.clone();
    }

    fn check_condition(&self, name: &str, condition: StoreCondition) -> Result<(), StoreRefusal> {
        let current = self.get(name).map(|value| value.version);
        let expected = match condition {
            StoreCondition::Absent => None,
            StoreCondition::Version(version) => Some(version),
        };
        if current == expected {
            Ok(())
        } else {
            Err(StoreRefusal::Conflict)
        }
    }

    fn next_revision(&mut self) -> u64 {
        self.state.revision += 1;
        self.state.revision
    }
}
