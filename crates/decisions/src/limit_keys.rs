//! Keys of the limits in one instance's ledger.

use coltsfootkeel_model::ArenaKey;

/// Addresses a rate limit in the ledger that issued the key.
///
/// The key stays valid across generations. Two instances may number their limits differently, so
/// messages name a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RateLimitKey(u32);

/// Addresses a slot limit in the ledger that issued the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotLimitKey(u32);

/// Addresses a limit of either kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// A client account or the rate cap of a shift.
    Rate(RateLimitKey),
    /// The slots of an upstream.
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
