//! A bound on retries, so that failing upstreams do not receive a multiple of the load.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, RateBucket};

/// The most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// What each request adds to the budget, in milli-tokens: 10% of a retry.
const MILLI_PER_REQUEST: u64 = 100;
/// What each millisecond adds to the budget, in milli-tokens: 3 retries per second.
const MILLI_PER_MS: u64 = 3;
/// The time over which requests count as recent, in steps of one second.
const WINDOW_S: usize = 10;
const MILLI_TOKENS: i64 = 1_000;

const BACKOFF_BASE: Duration = Duration::from_millis(20);
const BACKOFF_MOST: Duration = Duration::from_millis(500);

/// Whether retries are bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// 10% of recent requests plus 3/s.
    Limited,
    /// Only the number of attempts of one request is bounded. Kept for comparison.
    Unlimited,
}

/// The retries that request threads may take, one atomic operation each.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    tokens: RateBucket,
    requests: AtomicU64,
}

impl RetryBudget {
    /// Makes an empty budget.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            tokens: RateBucket::new(),
            requests: AtomicU64::new(0),
        }
    }

    /// Counts a request that arrived from a caller.
    pub fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes one retry if the budget permits it.
    pub fn try_take_retry(&self) -> bool {
        match self.policy {
            RetryPolicy::Limited => self.tokens.try_take(MILLI_TOKENS),
            RetryPolicy::Unlimited => true,
        }
    }

    /// Returns the number of whole retries left in a limited budget.
    #[must_use]
    pub fn available_retries(&self) -> u64 {
        u64::try_from(self.tokens.level() / MILLI_TOKENS).unwrap_or(0)
    }
}

/// Refills a [`RetryBudget`]; owned by the control thread.
#[derive(Debug)]
pub struct RetryRefill {
    last: MonotonicTime,
    second: u64,
    window: [u64; WINDOW_S],
}

impl RetryRefill {
    /// Makes a refill that starts at `now`.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            last: now,
            second: second_of(now),
            window: [0; WINDOW_S],
        }
    }

    /// Adds what the time and the requests since the last call allow.
    ///
    /// The budget saves up at most what ten seconds allow.
    pub fn refill(&mut self, now: MonotonicTime, budget: &RetryBudget) {
        let elapsed_ms = u64::try_from(now.since(self.last).as_millis()).unwrap_or(u64::MAX);
        // Only whole milliseconds are credited, so the rest counts at the next call.
        self.last = self.last + Duration::from_millis(elapsed_ms);
        let requests = budget.requests.swap(0, Ordering::Relaxed);
        self.advance(second_of(now));
        self.window[slot_of(self.second)] += requests;
        budget.tokens.set_capacity(self.capacity());
        let credit = requests
            .saturating_mul(MILLI_PER_REQUEST)
            .saturating_add(elapsed_ms.saturating_mul(MILLI_PER_MS));
        // A credit beyond the capacity is cut off, which also keeps the sum within its type.
        let credit = i64::try_from(credit).unwrap_or(i64::MAX);
        budget.tokens.refill(credit.min(self.capacity()));
    }

    fn advance(&mut self, second: u64) {
        let passed = second.saturating_sub(self.second).min(WINDOW_S as u64);
        for step in 1..=passed {
            self.window[slot_of(second - passed + step)] = 0;
        }
        self.second = self.second.max(second);
    }

    fn capacity(&self) -> i64 {
        let recent: u64 = self.window.iter().sum();
        let allowed = recent * MILLI_PER_REQUEST + WINDOW_S as u64 * 1_000 * MILLI_PER_MS;
        i64::try_from(allowed).unwrap_or(i64::MAX)
    }
}

fn second_of(now: MonotonicTime) -> u64 {
    now.as_nanos() / 1_000_000_000
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the remainder is below the window"
)]
fn slot_of(second: u64) -> usize {
    (second % WINDOW_S as u64) as usize
}

/// Returns the wait before the attempt that follows `attempts` earlier ones.
///
/// The wait is uniform between zero and a bound that doubles with each attempt (full jitter), so
/// that requests that failed together do not come back together.
#[must_use]
pub fn backoff_delay(attempts: u32, random: u64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let bound = BACKOFF_BASE
        .saturating_mul(1 << doublings)
        .min(BACKOFF_MOST);
    let nanoseconds = (bound.as_nanos() * u128::from(random)) >> 64;
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
}
