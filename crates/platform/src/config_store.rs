//! The configuration document in the platform's object API.

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

/// The largest chunk in bytes. A chunk then fits into one value of the platform (1 MB) and one frame
/// between daemons (1 MiB).
pub const CHUNK_LIMIT_BYTES: usize = 512 * 1024;

/// The longest write id and operator in bytes. With [`SUMMARY_LIMIT_BYTES`] it keeps a manifest with
/// a full history of commits below the platform's 1 MB, even if JSON escapes each byte with six.
const NAME_LIMIT_BYTES: usize = 128;

/// The longest summary of a commit in bytes.
pub const SUMMARY_LIMIT_BYTES: usize = 1024;

/// A change of the configuration.
#[derive(Debug, Clone)]
pub struct CommitRequest {
    /// The generation that the change is based on, 0 before the first commit.
    pub expected_generation: u64,
    /// An id that no other commit has. A caller that repeats a commit keeps its id.
    pub write_id: String,
    /// Who makes the change.
    pub operator: String,
    /// What is changed.
    pub summary: String,
    /// The time of the change in milliseconds since the Unix epoch.
    pub time_unix_ms: u64,
    /// The new document.
    pub document: String,
}

/// A manifest with the version of its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredManifest {
    /// The version of the manifest object.
    pub version: ObjectVersion,
    /// The manifest.
    pub manifest: ConfigManifest,
}

/// A manifest and its document, whose digests match.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedConfig {
    /// The manifest.
    pub manifest: ConfigManifest,
    /// The document.
    pub document: String,
}

/// The outcome of a commit.
#[derive(Debug)]
pub enum CommitOutcome {
    /// The commit made this generation.
    Committed(u64),
    /// The commit has not taken effect, because the configuration is not at the expected
    /// generation.
    Conflict {
        /// The manifest now.
        current: Option<StoredManifest>,
    },
    /// The commit may have taken effect, or may do so later. Repeating it with the same write id
    /// does not apply it twice.
    Unknown,
}

/// The outcome of writing a newer manifest back over a stale one.
#[derive(Debug)]
pub enum RestoreOutcome {
    /// The store holds the newer manifest or a successor of it.
    Restored,
    /// The stored manifest is not stale, or it changed meanwhile.
    Superseded {
        /// The manifest now.
        current: Option<StoredManifest>,
    },
    /// The manifest may have been written, or may be written later. Repeating is safe.
    Unknown,
}

/// Why the configuration could not be read, or why a commit or restore has certainly not changed it.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The manifest could not be read.
    #[error("cannot read the manifest: {0}")]
    ManifestRead(#[source] CallError),
    /// The manifest is not usable.
    #[error("malformed manifest: {0}")]
    ManifestFormat(#[source] serde_json::Error),
    /// The manifest was not written.
    #[error("the manifest was not written: {0}")]
    ManifestWrite(#[source] CallError),
    /// A chunk could not be read.
    #[error("cannot read {name}: {source}")]
    ChunkRead {
        /// The name of the chunk.
        name: String,
        /// The cause.
        source: CallError,
    },
    /// A chunk that the manifest names is absent.
    #[error("{name} is absent")]
    ChunkAbsent {
        /// The name of the chunk.
        name: String,
    },
    /// A chunk does not match the digest in its name.
    #[error("{name} does not match its digest")]
    ChunkDigest {
        /// The name of the chunk.
        name: String,
    },
    /// A chunk may be missing, so the manifest was not written.
    #[error("cannot write {name}: {source}")]
    ChunkWrite {
        /// The name of the chunk.
        name: String,
        /// The cause.
        source: CallError,
    },
    /// The document does not match its digest.
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
    /// A field of a commit is too long.
    #[error("{field} is longer than {limit_bytes} bytes")]
    FieldLength {
        /// The name of the field.
        field: &'static str,
        /// The limit in bytes.
        limit_bytes: usize,
    },
}

/// Reads and changes the configuration document.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    client: Arc<ObjectClient>,
}

impl ConfigStore {
    /// Makes a store that uses a client.
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

    /// Loads the newest document, or returns `None` before the first commit.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be read or does not match its digest.
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

    /// Loads the document of a manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be read or does not match its digest.
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
    /// The chunks are written first and the manifest last, so readers see the old document or the
    /// new one. The audit objects are written afterwards; one that fails is written by a later
    /// commit or by [`ConfigStore::repair_audit`].
    ///
    /// # Errors
    ///
    /// Returns an error only if this call has certainly not changed the configuration.
    pub async fn commit(&self, request: &CommitRequest) -> Result<CommitOutcome, ConfigError> {
        check_lengths(request)?;
        let current = self.read_manifest().await?;
        // An earlier call with this write id may have taken effect.
        let found = current
            .as_ref()
            .and_then(|stored| stored.manifest.find_commit(&request.write_id));
        if let Some(commit) = found {
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
                perhaps_written,
            } => resolve_superseded(current.as_ref(), perhaps_written, manifest.generation),
            WriteOutcome::Uncertain(_) => Ok(CommitOutcome::Unknown),
        }
    }

    /// Writes a newer configuration back over a stale manifest, which a platform shows that
    /// restarted with older data.
    ///
    /// The write is conditional on the version of `stale`, or on the absence of a manifest.
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
                // The audit objects were lost with the manifest; a later commit repairs them too.
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

    /// Writes the audit objects of the listed commits that are missing, newest first, and returns
    /// how many it wrote. It stops at the first one that is present.
    ///
    /// # Errors
    ///
    /// Returns why an audit object could not be read or written.
    pub async fn repair_audit(&self, manifest: &ConfigManifest) -> Result<usize, CallError> {
        let mut written = 0;
        for commit in manifest.commits.iter().rev() {
            let name = format!("audit/{}", commit.generation);
            if read_object(&self.client, &name).await?.is_some() {
                break;
            }
            let body = encode_json(commit);
            let same_body = |object: &StoredObject| object.body == body;
            let outcome = write_object(
                &self.client,
                &name,
                &body,
                WriteCondition::Absent,
                same_body,
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

    /// Makes sure that a chunk is stored, and replaces one whose content is damaged.
    async fn write_chunk(&self, name: &str, body: &Bytes) -> Result<(), CallError> {
        let same_body = |object: &StoredObject| object.body == *body;
        let mut condition = WriteCondition::Absent;
        loop {
            let outcome = write_object(&self.client, name, body, condition, same_body).await?;
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

/// Decides about a commit whose write id is not in the manifest that is stored now.
fn resolve_superseded(
    current: Option<&StoredObject>,
    perhaps_written: bool,
    generation: u64,
) -> Result<CommitOutcome, ConfigError> {
    let current = match current.map(parse_manifest).transpose() {
        Ok(current) => current,
        Err(_) if perhaps_written => return Ok(CommitOutcome::Unknown),
        Err(error) => return Err(error),
    };
    // A manifest that does not cover the generation says nothing about the commit: it was reverted,
    // or more than COMMIT_HISTORY_LIMIT commits came on top.
    let covers = current
        .as_ref()
        .is_some_and(|stored| stored.manifest.covers(generation));
    if perhaps_written && !covers {
        return Ok(CommitOutcome::Unknown);
    }
    Ok(CommitOutcome::Conflict { current })
}

fn build_manifest(request: &CommitRequest, current: Option<&StoredManifest>) -> ConfigManifest {
    let generation = request.expected_generation + 1;
    let earlier = current.map_or(&[][..], |stored| &stored.manifest.commits);
    let kept = earlier.len().min(COMMIT_HISTORY_LIMIT - 1);
    let mut commits = earlier[earlier.len() - kept..].to_vec();
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
