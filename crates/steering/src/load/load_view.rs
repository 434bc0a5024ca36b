//! Load of an upstream, and what it means for the time of a request there.

use std::time::Duration;

/// Load of an upstream as of one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// Requests from all instances.
    pub in_flight: u32,
    /// Factor by which responses take longer than usual, apart from the stated cost; at least 1.
    pub slowness: f64,
    /// Factor by which responses take longer because of the stated cost of work.
    pub cost_factor: f64,
}

impl LoadView {
    /// Returns the time in the queue of an upstream with `slots` slots, each of which is usually occupied for
    /// `slot_time`.
    #[must_use]
    pub fn queue_delay(&self, slots: u32, slot_time: Duration) -> Duration {
        let excess = (self.in_flight + 1).saturating_sub(slots);
        let rounds = f64::from(excess) / f64::from(slots.max(1));
        slot_time.mul_f64(rounds * self.slowness * self.cost_factor)
    }

    /// Returns the time of a run that usually takes `service_time`.
    #[must_use]
    pub fn run_time(&self, service_time: Duration) -> Duration {
        service_time.mul_f64(self.slowness * self.cost_factor)
    }
}
