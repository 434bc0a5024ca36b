//! A lock-free token bucket, refilled by the control thread and consumed by request threads.

use crate::atomics::{AtomicI64, Ordering};

/// A token bucket that counts in milli-tokens, because the share of a small burst can be less than one token.
///
/// Only the control thread calls [`set_capacity`](Self::set_capacity), [`refill`](Self::refill) and
/// [`take_up_to`](Self::take_up_to). While the control thread is paused, the bucket is not refilled, so the limit is
/// not exceeded.
#[derive(Debug)]
pub struct RateBucket {
    level: AtomicI64,
    capacity: AtomicI64,
}

impl RateBucket {
    /// Creates an empty bucket with a capacity of zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            level: AtomicI64::new(0),
            capacity: AtomicI64::new(0),
        }
    }

    /// Takes `milli_tokens` if the bucket holds at least as many. Returns whether they were taken.
    pub fn try_take(&self, milli_tokens: i64) -> bool {
        self.update(|level| (level >= milli_tokens).then_some(level - milli_tokens))
            .is_some()
    }

    /// Takes `milli_tokens` even if the level becomes negative, for costs that are known only after the request.
    pub fn charge(&self, milli_tokens: i64) {
        self.level.fetch_sub(milli_tokens, Ordering::AcqRel);
    }

    /// Adds up to `milli_tokens`, but does not fill the bucket above its capacity.
    pub fn refill(&self, milli_tokens: i64) {
        let capacity = self.capacity();
        self.update(|level| (level < capacity).then(|| (level + milli_tokens).min(capacity)));
    }

    /// Sets the capacity and lowers the level to it if it is higher.
    pub fn set_capacity(&self, milli_tokens: i64) {
        self.capacity.store(milli_tokens, Ordering::Release);
        self.update(|level| (level > milli_tokens).then_some(milli_tokens));
    }

    /// Takes up to `milli_tokens` and returns the number of milli-tokens taken.
    pub fn take_up_to(&self, milli_tokens: i64) -> i64 {
        let available = |level: i64| level.clamp(0, milli_tokens);
        self.update(|level| (available(level) > 0).then(|| level - available(level)))
            .map_or(0, available)
    }

    /// Returns the level in milli-tokens. After a [`charge`](Self::charge) it may be negative until it is refilled.
    #[must_use]
    pub fn level(&self) -> i64 {
        self.level.load(Ordering::Acquire)
    }

    /// Returns the capacity in milli-tokens.
    #[must_use]
    pub fn capacity(&self) -> i64 {
        self.capacity.load(Ordering::Acquire)
    }

    /// Atomically replaces the level with the result of `change` and returns the previous level. If `change` returns
    /// `None`, the level stays and the result is `None`.
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
