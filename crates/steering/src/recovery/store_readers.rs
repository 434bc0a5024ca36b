//! Selects the instances that watch the configuration and the lists in the store on behalf of all others.
//!
//! Load pattern: in a large fleet, the watches of all instances would cause more calls to the store than all other
//! operations together. A few instances watch, and notify the others of each change. When some of them lose the store,
//! others have to find out quickly whether it is down for all.

use std::time::Duration;

use crate::hashing::combine_hashes;

/// Number of instances that watch at the same time while no call fails. An instance needs seconds to detect that its
/// connection to the store is dead; the other readers report changes in the meantime.
const READER_COUNT: usize = 4;
/// Hashed with each instance, so that the order in which instances become readers is independent of the orders that
/// other modules derive from the same hashes.
const READER_ORDER_SALT: u64 = 0x7265_6164;

/// A live instance whose calls to the store do not fail.
#[derive(Debug, Clone, Copy)]
pub struct ReaderCandidate {
    /// Hash of the instance's name.
    pub instance: u64,
    /// Whether the instance watches the store and has received an answer.
    pub is_reading: bool,
}

/// Returns the place of the instance `own` among those that watch the store, from 0 on, or `None` if it is not one of
/// them.
/// `others` are the other candidates, and `failing` is the number of live instances whose calls to the store fail.
///
/// The number of readers grows with each failing instance, so a few rounds of failures reach all instances of a large
/// fleet. Only when every instance has had the occasion to call the store do they know that it is down for all. Readers
/// that get answers end the growth.
#[must_use]
pub fn reader_rank(
    own: u64,
    others: impl Iterator<Item = ReaderCandidate>,
    failing: usize,
) -> Option<usize> {
    let weight = |instance: u64| combine_hashes(READER_ORDER_SALT, instance);
    let (mut preferred, mut reading) = (0, 0);
    for other in others {
        if other.instance != own && weight(other.instance) > weight(own) {
            preferred += 1;
            reading += usize::from(other.is_reading);
        }
    }
    let is_reader = reading < READER_COUNT && preferred < READER_COUNT * (1 + failing);
    is_reader.then_some(preferred)
}

/// Returns the wait of the watch after which the reader with this rank ends its watches at other times than the other
/// readers, when all of them begin it together.
///
/// The end of a watch confirms the state for all instances. Readers that receive a change together would otherwise
/// confirm it together from then on, and an outage would find it up to a full `wait` old.
#[must_use]
pub fn spread_wait(rank: usize, wait: Duration) -> Duration {
    #[expect(clippy::cast_precision_loss)]
    let part = (rank % READER_COUNT + 1) as f64 / READER_COUNT as f64;
    wait.mul_f64(part)
}
