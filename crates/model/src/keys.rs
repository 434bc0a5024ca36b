//! Keys into the arenas of a [`FleetConfig`](crate::FleetConfig).
//!
//! A key is valid only for the configuration that it comes from. Another generation may number its
//! records differently, so state that outlives a generation is matched by name.

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
    /// The key of a client account.
    AccountKey,
    /// The key of a department.
    DepartmentKey,
    /// The key of a failure domain.
    DomainKey,
    /// The key of a pool of upstreams.
    PoolKey,
    /// The key of a region.
    RegionKey,
    /// The key of a route.
    RouteKey,
    /// The key of a seat.
    SeatKey,
    /// The key of a shift.
    ShiftKey,
    /// The key of a client site.
    SiteKey,
    /// The key of an upstream.
    UpstreamKey,
}
