//! The configuration document, stored as chunks and a manifest in the platform's object API.

use std::sync::Arc;

use bytes::Bytes;
use thiserror::Error;

use crate::config_manifest::{COMMIT_HISTORY_LIMIT, CommitRecord, ConfigManifest, ContentHash};
use crate::object_client::ObjectClient;
use crate::object_types::{ObjectVersion, StoredObject, WriteCondition};
use crate::resolved_write::{WriteOutcome, read_object, write_object};
use coltsfootkeel_transport::CallError;

/// The name of the manifest object.
pub const MANIFEST_NAME: &str = "config/manifest";

/// The largest chunk in bytes: it fits into one value of the platform (1 MB) and into one frame between daemons
/// (1 MiB).
pub const CHUNK_LIMIT_BYTES: usize = 512 * 1024;

/// The longest write id and the longest name of an operator in bytes. Together with [`SUMMARY_LIMIT_BYTES`], the bound
/// keeps a manifest that lists [`COMMIT_HISTORY_LIMIT`] commits below the platform's 1 MB, even if JSON escapes each
/// byte as six bytes.
const NAME_LIMIT_BYTES: usize = 128;

/// The longest summary of a commit in bytes, which bounds the size of the manifest.
pub const SUMMARY_LIMIT_BYTES: usize = 1024;

/// A new configuration document and the data of its commit.
#[derive(Debug, Clone)]
pub struct CommitRequest {
    /// The generation that the change is based on, or 0 before the first commit.
    pub expected_generation: u64,
    /// An id that no other commit has. A caller that repeats a commit sends the same id.
    pub write_id: String,
    /// The name of the operator who makes the change.
    pub operator: String,
    /// A description of the change, at most [`SUMMARY_LIMIT_BYTES`] bytes long.
    pub summary: String,
    /// The time of the change in milliseconds since the Unix epoch, by the writer's clock.
    pub time_unix_ms: u64,
    /// The text of the new document.
    pub document: String,
}

/// A manifest and the version of the object that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredManifest {
    /// The version of the manifest object.
    pub version: ObjectVersion,
    /// The decoded content of the object.
    pub manifest: ConfigManifest,
}

/// A manifest and its document, whose digests have been checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedConfig {
    /// The manifest that lists the document's chunks.
    pub manifest: ConfigManifest,
    /// The text of the document.
    pub document: String,
}

/// The outcome of a commit.
#[derive(Debug)]
pub enum CommitOutcome {
    /// The commit has taken effect and created this generation.
    Committed(u64),
    /// The commit has not taken effect, because the configuration is not at the expected
    /// generation.
    Conflict {
        /// The manifest as last read, or `None` if there is none.
        current: Option<StoredManifest>,
    },
    /// The commit may have taken effect, or may do so later. A repeat with the same write id does not
    /// apply it twice.
    Unknown,
}

/// The outcome of replacing a stale manifest by a newer one.
#[derive(Debug)]
pub enum RestoreOutcome {
    /// The platform holds the newer manifest or a successor of it.
    Restored,
    /// The stored manifest is not older than the newer one, or it changed after it was read.
    Superseded {
        /// The manifest as last read, or `None` if there is none.
        current: Option<StoredManifest>,
    },
    /// The manifest may have been written, or may be written later. The restore can be repeated safely.
    Unknown,
}

/// Why the configuration could not be read, or why a commit or a restore has certainly not changed it.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The manifest could not be read.
    #[error("cannot read the manifest: {0}")]
    ManifestRead(#[source] CallError),
    /// The stored manifest is not valid JSON, or its content is inconsistent.
    #[error("malformed manifest: {0}")]
    ManifestFormat(#[source] serde_json::Error),
    /// The call that writes the manifest failed without effect.
    #[error("the manifest was not written: {0}")]
    ManifestWrite(#[source] CallError),
    /// A chunk could not be read.
    #[error("cannot read {name}: {source}")]
    ChunkRead {
        /// The name of the chunk's object.
        name: String,
        /// The error of the call.
        source: CallError,
    },
    /// A chunk that the manifest lists does not exist.
    #[error("{name} is absent")]
    ChunkAbsent {
        /// The name of the chunk's object.
        name: String,
    },
    /// The content of a chunk does not match the digest in its name.
    #[error("{name} does not match its digest")]
    ChunkDigest {
        /// The name of the chunk's object.
        name: String,
    },
    /// A chunk may not have been stored, so the manifest was not written.
    #[error("cannot write {name}: {source}")]
    ChunkWrite {
        /// The name of the chunk's object.
        name: String,
        /// The error of the call.
        source: CallError,
    },
    /// The chunks match their digests, but the whole document does not match the manifest's.
    #[error("the document of generation {generation} does not match its digest")]
    DocumentDigest {
        /// The generation of the document.
        generation: u64,
    },
    /// The document is not UTF-8 text.
    #[error("the document of generation {generation} is not UTF-8 text")]
    DocumentText {
        /// The generation of the document.
        generation: u64,
    },
    /// A field of a commit request exceeds its limit.
    #[error("{field} is longer than {limit_bytes} bytes")]
    FieldLength {
        /// The name of the field.
        field: &'static str,
        /// The longest value of the field in bytes.
        limit_bytes: usize,
    },
}

/// Reads, commits and restores the configuration document.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    client: Arc<ObjectClient>,
}

impl ConfigStore {
    /// Creates a store that calls the platform through `client`.
    #[must_use]
    pub fn new(client: Arc<ObjectClient>) -> Self {
        Self { client }
    }

    /// Reads the manifest, or returns `None` before the first commit.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest cannot be read or is malformed.
    pub async fn read_manifest(&self) -> Result<Option<StoredManifest>, ConfigError> {
        let object = read_object(&self.client, MANIFEST_NAME)
            .await
            .map_err(ConfigError::ManifestRead)?;
        object.as_ref().map(parse_manifest).transpose()
    }

    /// Reads the manifest and its document, or returns `None` before the first commit.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest or a chunk cannot be read, if a digest does not match or if the document is not
    /// UTF-8.
    pub async fn load_newest(&self) -> Result<Option<LoadedConfig>, ConfigError> {
        let Some(stored) = self.read_manifest().await? else {
            return Ok(None);
        };
        let document = self.load_document(&stored.manifest).await?;
        Ok(Some(LoadedConfig {
            manifest: stored.manifest,
            document,
        }))
    }

    /// Reads the chunks of a manifest and returns the document that they make up.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk cannot be read, if a digest does not match or if the document is not UTF-8.
    pub async fn load_document(&self, manifest: &ConfigManifest) -> Result<String, ConfigError> {
        let generation = manifest.generation;
        let mut document = Vec::new();
        for hash in &manifest.chunks {
            document.extend_from_slice(&self.read_chunk(hash).await?);
        }
        if ContentHash::of_bytes(&document) != manifest.content {
            return Err(ConfigError::DocumentDigest { generation });
        }
        String::from_utf8(document).map_err(|_| ConfigError::DocumentText { generation })
    }

    /// Commits a document if the configuration is at the expected generation.
    ///
    /// The chunks are written before the manifest, so a reader loads either the old document or the
    /// new one. The audit objects are written after the manifest; one that cannot be written is
    /// added by a later commit or by [`ConfigStore::repair_audit`].
    ///
    /// # Errors
    ///
    /// Returns an error only if this call has certainly not changed the configuration.
    pub async fn commit(&self, request: &CommitRequest) -> Result<CommitOutcome, ConfigError> {
        check_lengths(request)?;
        let current = self.read_manifest().await?;
        // An earlier call with this write id may have taken effect.
        let earlier_commit = current
            .as_ref()
            .and_then(|stored| stored.manifest.find_commit(&request.write_id));
        if let Some(commit) = earlier_commit {
            return Ok(CommitOutcome::Committed(commit.generation));
        }
        if generation_of(current.as_ref()) != request.expected_generation {
            return Ok(CommitOutcome::Conflict { current });
        }
        let manifest = build_manifest(request, current.as_ref());
        self.write_chunks(&request.document).await?;
        match self.write_manifest(&manifest, current.as_ref()).await? {
            WriteOutcome::Written(_) => {
                // The commit has taken effect whether or not its audit object can be written.
                let _ = self.repair_audit(&manifest).await;
                Ok(CommitOutcome::Committed(manifest.generation))
            }
            WriteOutcome::Superseded {
                current,
                may_have_taken_effect,
            } => resolve_superseded(current.as_ref(), may_have_taken_effect, manifest.generation),
            WriteOutcome::Uncertain(_) => Ok(CommitOutcome::Unknown),
        }
    }

    /// Replaces the stale manifest of a platform that restarted with older data by a newer configuration.
    ///
    /// The write is conditional on the version of `stale`, or on the absence of a manifest if `stale` is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error only if this call has certainly not changed the manifest.
    pub async fn restore(
        &self,
        newer: &LoadedConfig,
        stale: Option<&StoredManifest>,
    ) -> Result<RestoreOutcome, ConfigError> {
        if generation_of(stale) >= newer.manifest.generation {
            return Ok(RestoreOutcome::Superseded {
                current: stale.cloned(),
            });
        }
        self.write_chunks(&newer.document).await?;
        match self.write_manifest(&newer.manifest, stale).await? {
            WriteOutcome::Written(_) => {
                // The platform's older data lack the newest audit objects. An audit object that cannot be written
                // here is added by the next commit.
                let _ = self.repair_audit(&newer.manifest).await;
                Ok(RestoreOutcome::Restored)
            }
            WriteOutcome::Superseded { current, .. } => {
                let current = current.as_ref().map(parse_manifest).transpose()?;
                Ok(RestoreOutcome::Superseded { current })
            }
            WriteOutcome::Uncertain(_) => Ok(RestoreOutcome::Unknown),
        }
    }

    /// Writes the missing audit objects of the listed commits, newest first, and returns how many it
    /// wrote. It stops at the first commit whose audit object exists.
    ///
    /// # Errors
    ///
    /// Returns the error of the first audit object that could not be read or written.
    pub async fn repair_audit(&self, manifest: &ConfigManifest) -> Result<usize, CallError> {
        let mut written = 0;
        for commit in manifest.commits.iter().rev() {
            let name = format!("audit/{}", commit.generation);
            if read_object(&self.client, &name).await?.is_some() {
                break;
            }
            let body = encode_json(commit);
            let has_same_body = |object: &StoredObject| object.body == body;
            let outcome = write_object(
                &self.client,
                &name,
                &body,
                WriteCondition::Absent,
                has_same_body,
            );
            if let WriteOutcome::Uncertain(error) = outcome.await? {
                return Err(error);
            }
            written += 1;
        }
        Ok(written)
    }

    async fn read_chunk(&self, hash: &ContentHash) -> Result<Bytes, ConfigError> {
        let name = hash.chunk_name();
        let object = match read_object(&self.client, &name).await {
            Ok(Some(object)) => object,
            Ok(None) => return Err(ConfigError::ChunkAbsent { name }),
            Err(source) => return Err(ConfigError::ChunkRead { name, source }),
        };
        if ContentHash::of_bytes(&object.body) != *hash {
            return Err(ConfigError::ChunkDigest { name });
        }
        Ok(object.body)
    }

    async fn write_chunks(&self, document: &str) -> Result<(), ConfigError> {
        for chunk in document.as_bytes().chunks(CHUNK_LIMIT_BYTES) {
            let name = ContentHash::of_bytes(chunk).chunk_name();
            let body = Bytes::copy_from_slice(chunk);
            self.write_chunk(&name, &body)
                .await
                .map_err(|source| ConfigError::ChunkWrite { name, source })?;
        }
        Ok(())
    }

    /// Writes a chunk unless it is stored already, and replaces a stored one whose content is damaged.
    async fn write_chunk(&self, name: &str, body: &Bytes) -> Result<(), CallError> {
        let has_same_body = |object: &StoredObject| object.body == *body;
        let mut condition = WriteCondition::Absent;
        loop {
            let outcome = write_object(&self.client, name, body, condition, has_same_body).await?;
            condition = match outcome {
                WriteOutcome::Written(_) => return Ok(()),
                WriteOutcome::Uncertain(error) => return Err(error),
                WriteOutcome::Superseded { current, .. } => {
                    let next = WriteCondition::unchanged(current.map(|object| object.version));
                    if condition != WriteCondition::Absent {
                        return Err(CallError::Conflict);
                    }
                    next
                }
            };
        }
    }

    async fn write_manifest(
        &self,
        manifest: &ConfigManifest,
        replaced: Option<&StoredManifest>,
    ) -> Result<WriteOutcome, ConfigError> {
        let body = encode_json(manifest);
        let condition = WriteCondition::unchanged(replaced.map(|stored| stored.version));
        let commit = manifest.commits.last();
        let contains_write = |object: &StoredObject| {
            parse_manifest(object)
                .is_ok_and(|stored| stored.manifest.find_commit(&manifest.write_id) == commit)
        };
        write_object(
            &self.client,
            MANIFEST_NAME,
            &body,
            condition,
            contains_write,
        )
        .await
        .map_err(ConfigError::ManifestWrite)
    }
}

/// Returns the outcome of a commit whose write id is missing from the stored manifest.
fn resolve_superseded(
    current: Option<&StoredObject>,
    may_have_taken_effect: bool,
    generation: u64,
) -> Result<CommitOutcome, ConfigError> {
    let current = match current.map(parse_manifest).transpose() {
        Ok(current) => current,
        Err(_) if may_have_taken_effect => return Ok(CommitOutcome::Unknown),
        Err(error) => return Err(error),
    };
    // If the listed commits do not reach back to the generation, the missing write id proves nothing: the platform
    // restarted with older data, or COMMIT_HISTORY_LIMIT later commits displaced this one from the list.
    let is_covered = current
        .as_ref()
        .is_some_and(|stored| stored.manifest.covers(generation));
    if may_have_taken_effect && !is_covered {
        return Ok(CommitOutcome::Unknown);
    }
    Ok(CommitOutcome::Conflict { current })
}

fn build_manifest(request: &CommitRequest, current: Option<&StoredManifest>) -> ConfigManifest {
    let generation = request.expected_generation + 1;
    let earlier = current.map_or(&[][..], |stored| &stored.manifest.commits);
    let kept_count = earlier.len().min(COMMIT_HISTORY_LIMIT - 1);
    let mut commits = earlier[earlier.len() - kept_count..].to_vec();
    commits.push(CommitRecord {
        generation,
        write_id: request.write_id.clone(),
        operator: request.operator.clone(),
        summary: request.summary.clone(),
        time_unix_ms: request.time_unix_ms,
    });
    let document = request.document.as_bytes();
    ConfigManifest {
        generation,
        write_id: request.write_id.clone(),
        content: ContentHash::of_bytes(document),
        chunks: document
            .chunks(CHUNK_LIMIT_BYTES)
            .map(ContentHash::of_bytes)
            .collect(),
        commits,
    }
}

fn check_lengths(request: &CommitRequest) -> Result<(), ConfigError> {
    let limits = [
        ("write_id", &request.write_id, NAME_LIMIT_BYTES),
        ("operator", &request.operator, NAME_LIMIT_BYTES),
        ("summary", &request.summary, SUMMARY_LIMIT_BYTES),
    ];
    for (field, text, limit_bytes) in limits {
        if text.len() > limit_bytes {
            return Err(ConfigError::FieldLength { field, limit_bytes });
        }
    }
    Ok(())
}

fn generation_of(stored: Option<&StoredManifest>) -> u64 {
    stored.map_or(0, |stored| stored.manifest.generation)
}

fn parse_manifest(object: &StoredObject) -> Result<StoredManifest, ConfigError> {
    let manifest = serde_json::from_slice(&object.body).map_err(ConfigError::ManifestFormat)?;
    Ok(StoredManifest {
        version: object.version,
        manifest,
    })
}

fn encode_json<T: serde::Serialize>(value: &T) -> Bytes {
    let encoded = serde_json::to_vec(value);
    Bytes::from(encoded.expect("the value has only string keys, so it can be written as JSON"))
}
