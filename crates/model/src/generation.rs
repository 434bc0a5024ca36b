//! Generations of the configuration.

use std::fmt;

use sha2::{Digest, Sha256};

/// The number of a generation. It only grows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GenerationNumber(pub u64);

impl GenerationNumber {
    /// Returns the number that follows.
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
    /// Digests a document.
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

/// A generation and its content, so that two documents with one number are noticed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigVersion {
    /// The number of the generation.
    pub generation: GenerationNumber,
    /// The digest of the document.
    pub digest: ContentDigest,
}
