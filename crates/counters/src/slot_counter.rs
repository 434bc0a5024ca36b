//! Slots of one upstream that this instance holds.

use crate::atomics::{AtomicU64, Ordering};

const CAPACITY_BITS: u32 = 32;

/// The number of slots held and in use, in one word so that both are read and changed together.
///
/// The capacity may drop below what is in use: running requests finish, and no new one starts.
#[derive(Debug)]
pub struct SlotCounter {
    word: AtomicU64,
}

impl SlotCounter {
    /// Makes a counter without capacity.
    #[must_use]
    pub fn new() -> Self {
        Self {
            word: AtomicU64::new(0),
        }
    }

    /// Takes one slot if one is free.
    pub fn try_acquire(&self) -> bool {
        self.update(|capacity, used| (used < capacity).then_some((capacity, used + 1)))
    }

    /// Returns one slot that was taken.
    pub fn release(&self) {
        self.update(|capacity, used| Some((capacity, used.saturating_sub(1))));
    }

    /// Changes the number of slots held.
    pub fn set_capacity(&self, slots: u32) {
        self.update(|_, used| Some((slots, used)));
    }

    /// Lowers the capacity by up to `slots`, but not below what is in use, and returns by how many.
    ///
    /// The slots given up are free at that moment, so another instance may use them at once.
    pub fn reduce_capacity(&self, slots: u32) -> u32 {
        let spare = |capacity: u32, used: u32| capacity.saturating_sub(used).min(slots);
        let before = self
            .word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                let (capacity, used) = unpack(word);
                Some(pack(capacity - spare(capacity, used), used))
            });
        let (capacity, used) = unpack(before.unwrap_or_default());
        spare(capacity, used)
    }

    /// Returns the number of slots held.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        unpack(self.word.load(Ordering::Acquire)).0
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn used(&self) -> u32 {
        unpack(self.word.load(Ordering::Acquire)).1
    }

    fn update(&self, change: impl Fn(u32, u32) -> Option<(u32, u32)>) -> bool {
        self.word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                let (capacity, used) = unpack(word);
                change(capacity, used).map(|(capacity, used)| pack(capacity, used))
            })
            .is_ok()
    }
}

impl Default for SlotCounter {
    fn default() -> Self {
        Self::new()
    }
}

fn pack(capacity: u32, used: u32) -> u64 {
    u64::from(capacity) << CAPACITY_BITS | u64::from(used)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "each half of the word is 32 bits"
)]
fn unpack(word: u64) -> (u32, u32) {
    ((word >> CAPACITY_BITS) as u32, word as u32)
}
