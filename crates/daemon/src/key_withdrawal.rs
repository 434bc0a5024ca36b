//! Tells requests in flight that their access key was withdrawn.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coltsfootkeel_model::{AccessDigest, FleetConfig};

/// Whether one access key was withdrawn. Requests in flight share it with the control thread.
#[derive(Debug, Default)]
pub struct WithdrawalFlag {
    withdrawn: AtomicBool,
}

impl WithdrawalFlag {
    /// Marks the key as withdrawn.
    pub fn withdraw(&self) {
        self.withdrawn.store(true, Ordering::Release);
    }

    /// Tells whether the key was withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Ordering::Acquire)
    }
}

/// The withdrawals of all access keys of one generation.
#[derive(Debug, Clone, Default)]
pub struct WithdrawalTable {
    withdrawals: HashMap<AccessDigest, Arc<WithdrawalFlag>>,
}

impl WithdrawalTable {
    /// Makes the table of a new generation. Keys that remain with their account keep their watch, the others are
    /// withdrawn.
    #[must_use]
    pub fn advance(&self, old: Option<&FleetConfig>, new: &FleetConfig) -> Self {
        let mut withdrawals = HashMap::new();
        for (digest, grant) in new.access.iter() {
            let name = &new.accounts[grant.account].name;
            let kept = old
                .filter(|old| account_name(old, digest) == Some(name))
                .and_then(|_| self.withdrawals.get(&digest).cloned());
            withdrawals.insert(digest, kept.unwrap_or_default());
        }
        for (digest, watch) in &self.withdrawals {
            if !withdrawals
                .get(digest)
                .is_some_and(|kept| Arc::ptr_eq(kept, watch))
            {
                watch.withdraw();
            }
        }
        Self { withdrawals }
    }

    /// Returns the watch of a key.
    #[must_use]
    pub fn find(&self, digest: AccessDigest) -> Option<Arc<WithdrawalFlag>> {
        self.withdrawals.get(&digest).cloned()
    }
}

fn account_name(config: &FleetConfig, digest: AccessDigest) -> Option<&String> {
    let grant = config.access.find(digest)?;
    Some(&config.accounts[grant.account].name)
}
