//! Whether requests with an access key may be served: an instance that cannot know of a withdrawal must not.
//!
//! A confirmation is a moment at which the plan in force was the newest of the store. It comes from the instance's
//! own watch, or from another instance that runs the same plan. While every member is heard and none of them reaches
//! the store, the store takes no withdrawal either, and that counts as a confirmation.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::atomic_time::AtomicTime;

/// A watch may hear nothing of changes for this long before its history is dropped.
const DEAF_WATCH: Duration = Duration::from_secs(1);
/// Crossings between caller, instance and store, with room for a busy processor.
const CROSSING_TIME: Duration = Duration::from_millis(500);

/// The latest confirmation of the plan in force.
#[derive(Debug, Default)]
pub struct PlanFreshness {
    confirmed_at: AtomicTime,
}

impl PlanFreshness {
    /// Notes that the plan in force was the newest at `time`.
    pub fn confirm(&self, time: MonotonicTime) {
        self.confirmed_at.advance(time);
    }

    /// Returns the time since the latest confirmation.
    #[must_use]
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.confirmed_at.get())
    }

    /// Tells whether requests with a key may be served, given the time within which a withdrawn key must stop.
    #[must_use]
    pub fn allows_keys(&self, now: MonotonicTime, withdrawal_bound: Duration) -> bool {
        self.age(now) + DEAF_WATCH + CROSSING_TIME < withdrawal_bound
    }
}
