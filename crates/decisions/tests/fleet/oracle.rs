//! The users' sentences, computed without any of the code under test.

/// A token bucket in true time. Over every window, what it admits is at most burst + rate × window,
/// and it refuses exactly the requests that would break this for some window.
#[derive(Debug)]
pub struct RateOracle {
    rate_milli: i128,
    burst_nano: i128,
    level_nano: i128,
    time_ns: u64,
}

/// Levels are in 10⁻¹² tokens, so that a nanosecond at one milli-token per second is one unit.
const NANO_PER_MILLI: i128 = 1_000_000_000;

impl RateOracle {
    pub fn new(rate_milli: i64, burst_milli: i64) -> Self {
        let burst_nano = i128::from(burst_milli) * NANO_PER_MILLI;
        Self {
            rate_milli: i128::from(rate_milli),
            burst_nano,
            level_nano: burst_nano,
            time_ns: 0,
        }
    }

    /// Tells whether a request at `now_ns` is within the limit.
    pub fn has_token(&mut self, now_ns: u64) -> bool {
        let elapsed = i128::from(now_ns - self.time_ns);
        self.time_ns = now_ns;
        self.level_nano = (self.level_nano + self.rate_milli * elapsed).min(self.burst_nano);
        self.level_nano >= 1_000 * NANO_PER_MILLI
    }

    /// Tells whether requests worth `milli_tokens` at `now_ns` would be within the limit.
    pub fn covers(&mut self, milli_tokens: i64, now_ns: u64) -> bool {
        self.has_token(now_ns);
        i128::from(milli_tokens) * NANO_PER_MILLI <= self.level_nano
    }

    /// Records an admitted request and tells whether it was within the limit.
    pub fn admit(&mut self, now_ns: u64) -> bool {
        let is_within = self.has_token(now_ns);
        self.level_nano -= 1_000 * NANO_PER_MILLI;
        is_within
    }
}

/// The requests that run on one upstream.
#[derive(Debug)]
pub struct SlotOracle {
    slots: usize,
    ends_ns: Vec<u64>,
}

impl SlotOracle {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            ends_ns: Vec::new(),
        }
    }

    /// Tells whether the upstream has room for `more` requests at `now_ns`.
    pub fn covers(&mut self, more: usize, now_ns: u64) -> bool {
        self.ends_ns.retain(|&end| end > now_ns);
        self.ends_ns.len() + more <= self.slots
    }

    /// Records a request and tells whether the upstream had a slot for it.
    pub fn start(&mut self, now_ns: u64, end_ns: u64) -> bool {
        self.ends_ns.retain(|&end| end > now_ns);
        self.ends_ns.push(end_ns);
        self.ends_ns.len() <= self.slots
    }
}
