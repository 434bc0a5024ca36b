//! A token bucket that the control thread fills and request threads empty.

use crate::atomics::{AtomicI64, Ordering};

/// A token bucket counted in milli-tokens, because a share of a small burst can be less than one token.
///
/// Only the control thread calls [`set_capacity`](Self::set_capacity), [`refill`](Self::refill) and
/// [`take_up_to`](Self::take_up_to). A paused control thread therefore means no refill, which is safe.
#[derive(Debug)]
pub struct RateBucket {
    level: AtomicI64,
    capacity: AtomicI64,
}

impl RateBucket {
    /// Makes an empty bucket without capacity.
    #[must_use]
    pub fn new() -> Self {
        Self {
            level: AtomicI64::new(0),
            capacity: AtomicI64::new(0),
        }
    }

    /// Takes `milli_tokens` if the bucket holds them.
    pub fn try_take(&self, milli_tokens: i64) -> bool {
        self.update(|level| (level >= milli_tokens).then_some(level - milli_tokens))
            .is_some()
    }

    /// Takes `milli_tokens` even if the level becomes negative, for costs that are known only afterwards.
    pub fn charge(&self, milli_tokens: i64) {
        self.level.fetch_sub(milli_tokens, Ordering::AcqRel);
    }

    /// Adds `milli_tokens`, up to the capacity.
    pub fn refill(&self, milli_tokens: i64) {
        let capacity = self.capacity();
        self.update(|level| (level < capacity).then(|| (level + milli_tokens).min(capacity)));
    }

    /// Changes the capacity and removes what no longer fits.
    pub fn set_capacity(&self, milli_tokens: i64) {
        self.capacity.store(milli_tokens, Ordering::Release);
        self.update(|level| (level > milli_tokens).then_some(milli_tokens));
    }

    /// Takes up to `milli_tokens` and returns how many it took.
    pub fn take_up_to(&self, milli_tokens: i64) -> i64 {
        let taken = |level: i64| level.clamp(0, milli_tokens);
        self.update(|level| (taken(level) > 0).then(|| level - taken(level)))
            .map_or(0, taken)
    }

    /// Returns the level in milli-tokens; negative while a charge is not yet covered.
    #[must_use]
    pub fn level(&self) -> i64 {
        self.level.load(Ordering::Acquire)
    }

    /// Returns the capacity in milli-tokens.
    #[must_use]
    pub fn capacity(&self) -> i64 {
        self.capacity.load(Ordering::Acquire)
    }

    /// Replaces the level by what `change` returns, and returns the level before.
    fn update(&self, change: impl Fn(i64) -> Option<i64>) -> Option<i64> {
        self.level
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, change)
            .ok()
    }
}

impl Default for RateBucket {
    fn default() -> Self {
        Self::new()
    }
}
