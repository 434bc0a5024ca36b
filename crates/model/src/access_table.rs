//! Look-up of client accounts by the digest of an access key.

use std::collections::HashMap;
use std::fmt;

use sha2::{Digest, Sha256};

use crate::keys::AccountKey;

/// The SHA-256 digest of an access key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct AccessDigest([u8; 32]);

impl AccessDigest {
    /// Computes the digest of an access key.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses a digest from 64 hexadecimal digits. Returns `None` for any other text.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for AccessDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for AccessDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The first four digits are enough to tell keys apart in debug output.
        write!(
            formatter,
            "AccessDigest({:02x}{:02x}..)",
            self.0[0], self.0[1]
        )
    }
}

/// What an access key permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccessGrant {
    /// The client account that the key belongs to.
    pub account: AccountKey,
}

/// Maps the digests of all access keys of a configuration to their grants.
#[derive(Debug, Default)]
pub struct AccessTable {
    grants: HashMap<AccessDigest, AccessGrant>,
}

impl AccessTable {
    /// Adds an access key. Returns `false` if the digest was already present; its grant is then replaced.
    pub fn insert(&mut self, digest: AccessDigest, grant: AccessGrant) -> bool {
        self.grants.insert(digest, grant).is_none()
    }

    /// Iterates over the digests of all access keys and their grants, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (AccessDigest, AccessGrant)> {
        self.grants.iter().map(|(digest, grant)| (*digest, *grant))
    }

    /// Returns the grant of the access key with this digest, or `None` if no account has the key.
    #[must_use]
    pub fn find(&self, digest: AccessDigest) -> Option<AccessGrant> {
        self.grants.get(&digest).copied()
    }
}
