//! Arena keys of the limits in one instance's ledger.

use coltsfootkeel_model::ArenaKey;

/// Key of a rate limit, valid only in the ledger that issued it.
///
/// The key stays valid across configuration generations. Instances may number their limits
/// differently, so messages identify a limit by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RateLimitKey(u32);

/// Key of a slot limit (a concurrency limit), valid only in the ledger that issued it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotLimitKey(u32);

/// Key of a limit of either kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// The rate limit of a client account or the rate cap of a shift.
    Rate(RateLimitKey),
    /// The concurrency limit of an upstream.
    Slots(SlotLimitKey),
}

impl ArenaKey for RateLimitKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("an arena holds at most 2^32 records"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

impl ArenaKey for SlotLimitKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("an arena holds at most 2^32 records"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}
