//! What callers send, and what they got.

/// The upstreams and the instances.
#[derive(Clone, Copy)]
pub struct Setup {
    pub instances: usize,
    pub upstreams: usize,
    pub slots: usize,
    /// Ticks of which one brings the heartbeats of the others; none if zero.
    pub heartbeat_ticks: u64,
    /// When the load begins after the start of all instances.
    pub begins_ms: u64,
}

/// A caller population: an account that sends requests of one rank.
#[derive(Clone, Copy)]
pub struct Sender {
    pub account: u64,
    pub rank: u32,
    /// Requests in place of one during the load.
    pub times: f64,
    /// Whether refused requests are repeated at once, up to five times.
    pub is_impatient: bool,
    /// Whether the requests come through all instances in turn.
    pub is_spread: bool,
    /// Percentage of the requests that only the first upstream suits.
    pub hot_percent: usize,
}

/// What requests of one account, rank and kind got during the load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Service {
    pub sent: u32,
    pub served: u32,
    /// Refused later than half of the objective after the arrival.
    pub refused_late: u32,
    /// Found waiting beside a free slot.
    pub idle: u32,
}

impl Service {
    pub fn frequency(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceKey {
    pub account: u64,
    pub rank: u32,
    pub is_hot: bool,
}
