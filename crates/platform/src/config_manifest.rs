//! The manifest: the object that selects the newest configuration document and lists the last commits.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The largest number of commits that a manifest lists.
pub const COMMIT_HISTORY_LIMIT: usize = 64;

/// The prefix of the names of chunk objects, which a digest follows.
const CHUNK_PREFIX: &str = "config/chunk/";

/// The SHA-256 digest of a document or a chunk, written as 64 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContentHash([u8; 32]);

impl ContentHash {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the 32 bytes of the digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the name of the object that holds the chunk with this digest.
    #[must_use]
    pub fn chunk_name(&self) -> String {
        format!("{CHUNK_PREFIX}{self}")
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for ContentHash {
    type Err = ManifestError;

    fn from_str(text: &str) -> Result<Self, ManifestError> {
        let error = || ManifestError::Hash(text.to_string());
        let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 64 || !text.bytes().all(is_lower_hex) {
            return Err(error());
        }
        let mut hash = [0; 32];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(hash))
    }
}

/// One commit of the configuration, as a manifest lists it and as an audit object holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRecord {
    /// The generation that the commit created.
    pub generation: u64,
    /// The id of the commit, set by its writer and used for no other commit.
    pub write_id: String,
    /// The name of the operator who made the change.
    pub operator: String,
    /// The operator's description of the change.
    pub summary: String,
    /// The time of the change in milliseconds since the Unix epoch, by the writer's clock.
    pub time_unix_ms: u64,
}

/// A manifest in its stored form, whose digests and names have not been checked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RawManifest {
    generation: u64,
    write_id: String,
    content_sha256: String,
    chunks: Vec<String>,
    commits: Vec<CommitRecord>,
}

/// Why a stored manifest is not usable.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ManifestError {
    /// A digest is not 64 lower-case hexadecimal digits.
    #[error("expected 64 lower-case hexadecimal digits, found {0:?}")]
    Hash(String),
    /// The name of a chunk lacks the prefix of chunk objects.
    #[error("expected the name of a chunk, found {0:?}")]
    ChunkName(String),
    /// The last listed commit has another generation or write id than the manifest.
    #[error("the last commit does not match generation {0}")]
    LastCommit(u64),
}

/// The chunks that make up the document of a generation, and the commits that led to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawManifest", into = "RawManifest")]
pub struct ConfigManifest {
    /// The generation of the document, which grows by one with each commit.
    pub generation: u64,
    /// The id of the commit that wrote this manifest.
    pub write_id: String,
    /// The digest of the whole document.
    pub content: ContentHash,
    /// The digests of the chunks, in the order in which they make up the document.
    pub chunks: Vec<ContentHash>,
    /// The last [`COMMIT_HISTORY_LIMIT`] commits, oldest first.
    pub commits: Vec<CommitRecord>,
}

impl ConfigManifest {
    /// Returns the commit with this write id, or `None` if the manifest does not list it.
    #[must_use]
    pub fn find_commit(&self, write_id: &str) -> Option<&CommitRecord> {
        self.commits
            .iter()
            .find(|commit| commit.write_id == write_id)
    }

    /// Returns whether `generation` lies between those of the oldest and the newest listed commit, so that the manifest
    /// lists the commit that created it.
    #[must_use]
    pub fn covers(&self, generation: u64) -> bool {
        let oldest = self.commits.first().map(|commit| commit.generation);
        oldest.is_some_and(|oldest| (oldest..=self.generation).contains(&generation))
    }
}

impl TryFrom<RawManifest> for ConfigManifest {
    type Error = ManifestError;

    fn try_from(raw: RawManifest) -> Result<Self, ManifestError> {
        let last = raw.commits.last();
        let matches = last.is_some_and(|commit| {
            commit.generation == raw.generation && commit.write_id == raw.write_id
        });
        if !matches {
            return Err(ManifestError::LastCommit(raw.generation));
        }
        Ok(Self {
            generation: raw.generation,
            write_id: raw.write_id,
            content: raw.content_sha256.parse()?,
            chunks: raw
                .chunks
                .iter()
                .map(|name| parse_chunk_name(name))
                .collect::<Result<_, _>>()?,
            commits: raw.commits,
        })
    }
}

impl From<ConfigManifest> for RawManifest {
    fn from(manifest: ConfigManifest) -> Self {
        Self {
            generation: manifest.generation,
            write_id: manifest.write_id,
            content_sha256: manifest.content.to_string(),
            chunks: manifest
                .chunks
                .iter()
                .map(ContentHash::chunk_name)
                .collect(),
            commits: manifest.commits,
        }
    }
}

fn parse_chunk_name(name: &str) -> Result<ContentHash, ManifestError> {
    name.strip_prefix(CHUNK_PREFIX)
        .ok_or_else(|| ManifestError::ChunkName(name.to_string()))?
        .parse()
}
