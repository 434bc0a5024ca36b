//! A lock-free counter of the slots of one upstream that an instance holds and uses.

use crate::atomics::{AtomicU64, Ordering};

/// The position of the capacity in the word; the low bits hold the number of slots in use.
const CAPACITY_SHIFT_BITS: u32 = 32;

/// The number of slots held (the capacity) and in use, packed into one word so that both change atomically.
///
/// The capacity may drop below the number of slots in use. Running requests then finish, and no new
/// request starts until enough slots are released.
#[derive(Debug)]
pub struct SlotCounter {
    word: AtomicU64,
}

impl SlotCounter {
    /// Creates a counter with a capacity of zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            word: AtomicU64::new(0),
        }
    }

    /// Acquires one slot if one is free. Returns whether it was acquired.
    pub fn try_acquire(&self) -> bool {
        self.update(|capacity, used| (used < capacity).then_some((capacity, used + 1)))
    }

    /// Releases one acquired slot.
    pub fn release(&self) {
        self.update(|capacity, used| Some((capacity, used.saturating_sub(1))));
    }

    /// Sets the number of slots held.
    pub fn set_capacity(&self, slots: u32) {
        self.update(|_, used| Some((slots, used)));
    }

    /// Lowers the capacity by up to `slots`, but not below the number of slots in use, and returns the reduction.
    ///
    /// Only free slots are removed, so another instance may use them immediately.
    pub fn reduce_capacity(&self, slots: u32) -> u32 {
        let reduction = |capacity: u32, used: u32| capacity.saturating_sub(used).min(slots);
        let before = self
            .word
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |word| {
                let (capacity, used) = unpack(word);
                Some(pack(capacity - reduction(capacity, used), used))
            });
        let (capacity, used) = unpack(before.unwrap_or_default());
        reduction(capacity, used)
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
    u64::from(capacity) << CAPACITY_SHIFT_BITS | u64::from(used)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "each half of the word is 32 bits"
)]
fn unpack(word: u64) -> (u32, u32) {
    ((word >> CAPACITY_SHIFT_BITS) as u32, word as u32)
}
