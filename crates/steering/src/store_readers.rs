//! Selects the instances that watch the lists in the store on behalf of all others.
//!
//! Load pattern: in a large fleet, the watches of all instances would cause more calls to the store than all other
//! operations together. A few instances watch, and notify the others of each change.

use crate::hashing::combine_hashes;

/// Number of instances that watch at the same time. An instance needs seconds to detect that its connection to the
/// store is dead; the other readers report changes in the meantime.
const READER_COUNT: usize = 4;
/// Hashed with each instance, so that the order in which instances become readers is independent of the orders that
/// other modules derive from the same hashes.
const READER_ORDER_SALT: u64 = 0x7265_6164;

/// Returns whether the instance `own` watches the store. `others` are the other live instances that reach the store.
#[must_use]
pub fn is_store_reader(own: u64, others: impl Iterator<Item = u64>) -> bool {
    let weight = |instance: u64| combine_hashes(READER_ORDER_SALT, instance);
    let preferred = others.filter(|other| *other != own && weight(*other) > weight(own));
    preferred.count() < READER_COUNT
}
