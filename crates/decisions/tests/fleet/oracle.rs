//! Reference models of a rate limit and of a slot limit, written without any of the code under test.

/// A token bucket in true time. Over every window it admits at most burst + rate × window, and it refuses exactly the
/// requests that would exceed this bound for some window.
///
/// Levels are in 10⁻¹² tokens (pico-tokens), so that one milli-token per second adds one unit in each nanosecond.
#[derive(Debug)]
pub struct RateOracle {
    rate_milli_per_s: i128,
    burst_pico: i128,
    level_pico: i128,
    refilled_ns: u64,
}

/// Pico-tokens in a milli-token.
const PICO_PER_MILLI: i128 = 1_000_000_000;

impl RateOracle {
    /// Creates a full bucket at true time zero.
    pub fn new(rate_milli_per_s: i64, burst_milli: i64) -> Self {
        let burst_pico = i128::from(burst_milli) * PICO_PER_MILLI;
        Self {
            rate_milli_per_s: i128::from(rate_milli_per_s),
            burst_pico,
            level_pico: burst_pico,
            refilled_ns: 0,
        }
    }

    /// Refills the bucket up to `now_ns` and returns whether the limit allows a request.
    pub fn has_token(&mut self, now_ns: u64) -> bool {
        let elapsed = i128::from(now_ns - self.refilled_ns);
        self.refilled_ns = now_ns;
        self.level_pico = (self.level_pico + self.rate_milli_per_s * elapsed).min(self.burst_pico);
        self.level_pico >= 1_000 * PICO_PER_MILLI
    }

    /// Returns whether the limit allows requests worth `milli_tokens` at `now_ns`.
    pub fn allows(&mut self, milli_tokens: i64, now_ns: u64) -> bool {
        self.has_token(now_ns);
        i128::from(milli_tokens) * PICO_PER_MILLI <= self.level_pico
    }

    /// Records a request that was admitted at `now_ns` and returns whether the limit allowed it.
    pub fn record_admitted(&mut self, now_ns: u64) -> bool {
        let is_within = self.has_token(now_ns);
        self.level_pico -= 1_000 * PICO_PER_MILLI;
        is_within
    }
}

/// The end times of the requests that run on one upstream, in true time.
#[derive(Debug)]
pub struct SlotOracle {
    slots: usize,
    ends_ns: Vec<u64>,
}

impl SlotOracle {
    /// Creates an upstream without running requests.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            ends_ns: Vec::new(),
        }
    }

    /// Returns whether the upstream has free slots for `more` requests at `now_ns`.
    pub fn allows(&mut self, more: usize, now_ns: u64) -> bool {
        self.ends_ns.retain(|&end| end > now_ns);
        self.ends_ns.len() + more <= self.slots
    }

    /// Records a request that runs from `now_ns` to `end_ns` and returns whether the upstream had a free slot for it.
    pub fn record_start(&mut self, now_ns: u64, end_ns: u64) -> bool {
        self.ends_ns.retain(|&end| end > now_ns);
        self.ends_ns.push(end_ns);
        self.ends_ns.len() <= self.slots
    }
}
