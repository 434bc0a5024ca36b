//! The objects of the platform stand-in: versions, conditional updates and a change history.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Serialize;
use thiserror::Error;

/// The largest value in bytes. The platform's object API holds values of up to 1 MB.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;

/// The revision of an empty store. It is not 0, because a watch after 0 means "from now".
const FIRST_REVISION: u64 = 1;

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCondition {
    /// The object is absent.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Why a write did not take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StoreRefusal {
    /// The condition of the write does not hold.
    #[error("the condition of the write does not hold")]
    Conflict,
    /// The value is larger than [`VALUE_LIMIT_BYTES`].
    #[error("the value is larger than {VALUE_LIMIT_BYTES} bytes")]
    TooLarge,
}

/// A value with its version.
#[derive(Debug, Clone)]
pub struct StoredValue {
    /// The revision of the store at which the value was written.
    pub version: u64,
    /// The value.
    pub body: Bytes,
}

/// The latest change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectChange {
    /// The name of the object.
    pub name: String,
    /// The revision of the change, which is the object's version unless it was deleted.
    pub version: u64,
    /// Whether the change removed the object.
    pub deleted: bool,
}

/// An object in a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ObjectListing {
    /// The name of the object.
    pub name: String,
    /// The version of the object.
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

/// A store of named values without any I/O.
///
/// The version of an object is the revision of the store at its last write. After
/// [`ObjectStore::revert`] the revision goes back, so versions repeat as they do in a platform that
/// restarted with older data.
#[derive(Debug, Default)]
pub struct ObjectStore {
    state: StoreState,
    saved: StoreState,
}

impl ObjectStore {
    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.revision
    }

    /// Returns a value.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&StoredValue> {
        self.state.objects.get(name)
    }

    /// Writes a value and returns its version.
    ///
    /// # Errors
    ///
    /// Returns why the value was not written. The store is then unchanged.
    pub fn put(
        &mut self,
        name: &str,
        body: Bytes,
        condition: StoreCondition,
    ) -> Result<u64, StoreRefusal> {
        if body.len() > VALUE_LIMIT_BYTES {
            return Err(StoreRefusal::TooLarge);
        }
        self.check(name, condition)?;
        let version = self.next_revision();
        let value = StoredValue { version, body };
        self.state.objects.insert(name.to_string(), value);
        self.state.deletions.remove(name);
        Ok(version)
    }

    /// Removes a value and returns the revision of the removal.
    ///
    /// # Errors
    ///
    /// Returns [`StoreRefusal::Conflict`] if the value has another version or is absent.
    pub fn delete(&mut self, name: &str, version: u64) -> Result<u64, StoreRefusal> {
        self.check(name, StoreCondition::Version(version))?;
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

    /// Remembers the current state for [`ObjectStore::revert`].
    pub fn save(&mut self) {
        self.saved = self.state.clone();
    }

    /// Returns to the state of the last [`ObjectStore::save`], or to an empty store.
    pub fn revert(&mut self) {
        self.state = self.saved.clone();
    }

    fn check(&self, name: &str, condition: StoreCondition) -> Result<(), StoreRefusal> {
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
