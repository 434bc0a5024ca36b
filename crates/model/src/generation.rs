//! Generation numbers and content digests, which identify a version of the configuration.

use std::fmt;

use sha2::{Digest, Sha256};

/// The number of a configuration generation. Each committed generation has a larger number than the one before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GenerationNumber(pub u64);

impl GenerationNumber {
    /// Returns the number of the following generation.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for GenerationNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The SHA-256 digest of a document.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Computes the digest of a document.
    #[must_use]
    pub fn of_text(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// A generation number with the digest of its document. The digest exposes two different documents that carry the
/// same number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigVersion {
    /// The generation number.
    pub generation: GenerationNumber,
    /// The digest of the generation's document.
    pub digest: ContentDigest,
}
