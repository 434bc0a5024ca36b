//! The keys of the arenas in a checked configuration.
//!
//! A key is valid for the configuration it comes from; another generation may number its records
//! differently, so state that outlives a generation is matched by name.

use crate::arena::ArenaKey;

macro_rules! arena_keys {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds at most 2^32 records"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

arena_keys! {
    /// Addresses a client account.
    AccountKey,
    /// Addresses a department.
    DepartmentKey,
    /// Addresses a failure domain.
    DomainKey,
    /// Addresses a pool of upstreams.
    PoolKey,
    /// Addresses a region.
    RegionKey,
    /// Addresses a route.
    RouteKey,
    /// Addresses a seat.
    SeatKey,
    /// Addresses a shift.
    ShiftKey,
    /// Addresses a site of clients.
    SiteKey,
    /// Addresses an upstream.
    UpstreamKey,
}
