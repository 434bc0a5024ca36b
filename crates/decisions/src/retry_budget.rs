//! A budget for retries, so that failing upstreams do not receive a multiple of the load.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, RateBucket};

/// The maximum number of attempts of one request.
pub const MAX_ATTEMPTS: u32 = 3;

/// Each request adds 10% of a retry to the budget.
const MILLI_TOKENS_PER_REQUEST: u64 = 100;
/// The budget grows by 3 retries per second.
const MILLI_TOKENS_PER_MS: u64 = 3;
/// The time over which requests count as recent, in seconds; the counters of the window cover one second each.
const WINDOW_S: usize = 10;
const MILLI_TOKENS_PER_RETRY: i64 = 1_000;

/// The upper bound of the random delay before the first retry. It doubles with each retry up to [`MAX_BACKOFF_BOUND`].
const FIRST_BACKOFF_BOUND: Duration = Duration::from_millis(20);
const MAX_BACKOFF_BOUND: Duration = Duration::from_millis(500);

/// How the retries of an instance are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Retries are limited to 10% of recent requests plus 3/s.
    Limited,
    /// Only the number of attempts of one request is limited. Kept for comparison.
    Unlimited,
}

/// The retries that request threads may send. Taking one costs one atomic operation.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    tokens: RateBucket,
    /// The number of requests since the last refill.
    requests: AtomicU64,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            tokens: RateBucket::new(),
            requests: AtomicU64::new(0),
        }
    }

    /// Counts a request of a caller, which the next refill credits.
    pub fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn try_take_retry(&self) -> bool {
        match self.policy {
            RetryPolicy::Limited => self.tokens.try_take(MILLI_TOKENS_PER_RETRY),
            RetryPolicy::Unlimited => true,
        }
    }

    /// Returns the number of whole retries in the budget, which does not limit retries under
    /// [`RetryPolicy::Unlimited`].
    #[must_use]
    pub fn available_retries(&self) -> u64 {
        u64::try_from(self.tokens.level() / MILLI_TOKENS_PER_RETRY).unwrap_or(0)
    }
}

/// Refills a [`RetryBudget`]; owned by the control thread.
#[derive(Debug)]
pub struct RetryRefill {
    refilled_at: MonotonicTime,
    current_second: u64,
    /// The number of requests in each second of the window.
    window: [u64; WINDOW_S],
}

impl RetryRefill {
    /// Creates a refill whose first period starts at `now`.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            refilled_at: now,
            current_second: second_of(now),
            window: [0; WINDOW_S],
        }
    }

    /// Credits the time and the requests since the last call to the budget.
    ///
    /// The budget holds at most the credit of the last ten seconds.
    pub fn refill(&mut self, now: MonotonicTime, budget: &RetryBudget) {
        let elapsed_ms = u64::try_from(now.since(self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        // Only whole milliseconds are credited; the remainder counts at the next call.
        self.refilled_at = self.refilled_at + Duration::from_millis(elapsed_ms);
        let requests = budget.requests.swap(0, Ordering::Relaxed);
        self.advance(second_of(now));
        self.window[window_index(self.current_second)] += requests;
        budget.tokens.set_capacity(self.capacity());
        let credit = requests
            .saturating_mul(MILLI_TOKENS_PER_REQUEST)
            .saturating_add(elapsed_ms.saturating_mul(MILLI_TOKENS_PER_MS));
        // The cap on the credit also prevents an overflow of the level.
        let credit = i64::try_from(credit).unwrap_or(i64::MAX);
        budget.tokens.refill(credit.min(self.capacity()));
    }

    fn advance(&mut self, second: u64) {
        let passed = second
            .saturating_sub(self.current_second)
            .min(WINDOW_S as u64);
        for step in 1..=passed {
            self.window[window_index(second - passed + step)] = 0;
        }
        self.current_second = self.current_second.max(second);
    }

    fn capacity(&self) -> i64 {
        let recent: u64 = self.window.iter().sum();
        let allowed =
            recent * MILLI_TOKENS_PER_REQUEST + WINDOW_S as u64 * 1_000 * MILLI_TOKENS_PER_MS;
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
fn window_index(second: u64) -> usize {
    (second % WINDOW_S as u64) as usize
}

/// Returns the delay before the attempt that follows `attempts` earlier ones.
///
/// The delay is uniform between zero and a bound that doubles with each attempt (full jitter), so that requests that
/// failed at the same time are not retried at the same time. `random` must be uniform over its full range.
#[must_use]
pub fn backoff_delay(attempts: u32, random: u64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let bound = FIRST_BACKOFF_BOUND
        .saturating_mul(1 << doublings)
        .min(MAX_BACKOFF_BOUND);
    let nanoseconds = (bound.as_nanos() * u128::from(random)) >> 64;
    Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
}
