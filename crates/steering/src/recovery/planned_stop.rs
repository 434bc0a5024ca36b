//! Decides which requests an instance still takes after the signal to stop.
//!
//! Load pattern: a planned stop under load. Callers arrive for some seconds with look-ups that they have cached, and other
//! instances could take their requests at once. A request that is still running when the process is killed has no answer,
//! and one that must not run twice cannot be repeated.

use std::time::Duration;

/// How long after the stop signal callers with a cached look-up are expected. A request that arrives later must be certain
/// to end in time.
const EXPECTED_ARRIVALS: Duration = Duration::from_millis(2_500);
/// Time before the process is killed by which the answer of the upstream must arrive, so that it can be delivered.
const DELIVERY_MARGIN: Duration = Duration::from_millis(600);

/// The times since the stop signal and until the process is killed.
#[derive(Debug, Clone, Copy)]
pub struct GraceTimes {
    /// Time since the stop signal.
    pub passed: Duration,
    /// Time until the process is killed.
    pub left: Duration,
}

/// A request that an instance has received and not sent to an upstream yet.
#[derive(Debug, Clone, Copy)]
pub struct StoppingRequest {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Expected time of an upstream that does not have the object cached.
    pub expected_time: Duration,
    /// Time until the deadline, the latest time at which the request ends.
    pub deadline_left: Duration,
}

impl StoppingRequest {
    /// Returns whether the request can be taken. An idempotent request that arrives early needs only be likely to end in
    /// time.
    #[must_use]
    pub fn fits(&self, grace: GraceTimes) -> bool {
        let is_early = grace.passed <= EXPECTED_ARRIVALS;
        let needed = if self.is_idempotent && is_early {
            self.expected_time.min(self.deadline_left)
        } else {
            self.deadline_left
        };
        needed + DELIVERY_MARGIN <= grace.left
    }
}
