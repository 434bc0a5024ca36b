//! Flags that stop requests in flight when their access key is withdrawn.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coltsfootkeel_model::{AccessDigest, FleetConfig};

/// Whether one access key was withdrawn. The control thread sets the flag; requests in flight with the key read it.
#[derive(Debug, Default)]
pub struct WithdrawalFlag {
    withdrawn: AtomicBool,
}

impl WithdrawalFlag {
    /// Marks the key as withdrawn.
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Release);
    }

    /// Returns whether the key was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Ordering::Acquire)
    }
}

/// The flags of all access keys of one configuration generation, by the digest of the key.
#[derive(Debug, Clone, Default)]
pub struct WithdrawalTable {
    flags: HashMap<AccessDigest, Arc<WithdrawalFlag>>,
}

impl WithdrawalTable {
    /// Returns the table of a new generation and withdraws the keys that are not in it. A key that still belongs to the
    /// same account keeps its flag; a key that moved to another account gets a new one, and the old flag is set.
    #[must_use]
    pub fn advance(&self, old: Option<&FleetConfig>, new: &FleetConfig) -> Self {
        let mut flags = HashMap::new();
        for (digest, grant) in new.access.iter() {
            let name = &new.accounts[grant.account].name;
            let kept = old
                .filter(|old| account_name(old, digest) == Some(name))
                .and_then(|_| self.flags.get(&digest).cloned());
            flags.insert(digest, kept.unwrap_or_default());
        }
        for (digest, flag) in &self.flags {
            if !flags
                .get(digest)
                .is_some_and(|kept| Arc::ptr_eq(kept, flag))
            {
                flag.withdraw();
            }
        }
        Self { flags }
    }

    /// Returns the flag of the key with this digest, or `None` if the generation has no such key.
    #[must_use]
    pub fn find(&self, digest: AccessDigest) -> Option<Arc<WithdrawalFlag>> {
        self.flags.get(&digest).cloned()
    }
}

fn account_name(config: &FleetConfig, digest: AccessDigest) -> Option<&String> {
    let grant = config.access.find(digest)?;
    Some(&config.accounts[grant.account].name)
}
