//! Client of the platform's object API, with typed access to the configuration and the seats that it stores.
//!
//! Each error of a write distinguishes a write that has certainly not taken effect from one whose outcome is unknown.
//! [`ConfigStore`] and [`SeatStore`] resolve a lost answer by reading the object back, and return an unknown outcome
//! only if the object cannot be read or no longer shows whether the write took effect.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use coltsfootkeel_platform::{ConfigStore, ObjectClient, SeatStore};
//!
//! let address = "127.0.0.1:9100".parse().unwrap();
//! let client = Arc::new(ObjectClient::new(address, Duration::from_secs(1)));
//! let config = ConfigStore::new(Arc::clone(&client));
//! let seats = SeatStore::new(client);
//! # drop((config, seats));
//! ```

mod config_manifest;
mod config_store;
mod object_client;
mod object_types;
mod resolved_write;
mod seat_store;

pub use coltsfootkeel_transport::{AnswerFailure, CallError, UnsentReason};
pub use config_manifest::{
    COMMIT_HISTORY_LIMIT, CommitRecord, ConfigManifest, ContentHash, ManifestError, RawManifest,
};
pub use config_store::{
    CHUNK_LIMIT_BYTES, CommitOutcome, CommitRequest, ConfigError, ConfigStore, LoadedConfig,
    MANIFEST_NAME, RestoreOutcome, SUMMARY_LIMIT_BYTES, StoredManifest,
};
pub use object_client::ObjectClient;
pub use object_types::{
    InstanceEntry, ObjectChange, ObjectEntry, ObjectVersion, StoreRevision, StoredObject,
    WatchReport, WriteCondition,
};
pub use seat_store::{
    ClaimOutcome, ReleaseOutcome, SEAT_PREFIX, SeatError, SeatHolder, SeatOccupancy, SeatStore,
    StoredSeat,
};
