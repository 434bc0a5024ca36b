//! This instance's share of the budget for sending requests to a second upstream.
//!
//! Load pattern: upstreams fail or refuse requests under load, and every retry adds to the load. The retries of all
//! instances stay within a fraction of the requests plus a fixed number, although each instance only counts its own and
//! may restart at any time.

use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

use coltsfootkeel_counters::MonotonicTime;

/// Balance units per retry.
const UNITS_PER_RETRY: i64 = 1_000;
/// Fraction of the limit that is used. The rest covers windows in which the request rate drops.
const USED_FRACTION: f64 = 0.8;

/// Fraction of the maximum balance that is reserved for retries after failures.
const RESERVED_FRACTION: f64 = 0.25;

/// Retry limit of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window on top of the ratio.
    pub slack: f64,
}

/// Retries that this instance may still send for one pool.
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicI64,
    /// When this instance receives its share of the slack.
    full_from: MonotonicTime,
    is_share_received: AtomicBool,
}

/// A budget that holds its share of the slack from the first request on.
impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(MonotonicTime::default())
    }
}

impl RetryBudget {
    /// Creates an empty budget that receives its share of the slack at `full_from`. A process that replaces another one
    /// takes the share as spent by that one until a whole window has passed.
    #[must_use]
    pub fn new(full_from: MonotonicTime) -> Self {
        Self {
            balance: AtomicI64::new(0),
            full_from,
            is_share_received: AtomicBool::new(false),
        }
    }

    /// Counts a request, which adds a fraction of a retry. The balance is capped at this instance's share of the slack.
    pub fn count_request(&self, limit: RetryLimit, instances: usize, now: MonotonicTime) {
        let max_units = max_balance(limit, instances);
        let is_share_due = now >= self.full_from
            && !self.is_share_received.load(Ordering::Relaxed)
            && !self.is_share_received.swap(true, Ordering::Relaxed);
        let earned = if is_share_due {
            max_units
        } else {
            to_units(limit.ratio * USED_FRACTION)
        };
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                Some((balance + earned).min(max_units))
            });
    }

    /// Takes one retry if the balance covers it.
    pub fn try_retry(&self) -> bool {
        self.try_take(UNITS_PER_RETRY)
    }

    /// Takes one retry if the balance is not below the reserve for failures.
    pub fn try_unreserved_retry(&self, limit: RetryLimit, instances: usize) -> bool {
        self.try_take(unreserved_threshold(limit, instances))
    }

    /// Returns whether the balance is not below the reserve for failures, so that an optional retry may be sent.
    pub fn has_unreserved_retry(&self, limit: RetryLimit, instances: usize) -> bool {
        self.balance.load(Ordering::Relaxed) >= unreserved_threshold(limit, instances)
    }

    fn try_take(&self, min_balance: i64) -> bool {
        let taken = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                (balance >= min_balance).then_some(balance - UNITS_PER_RETRY)
            });
        taken.is_ok()
    }
}

fn unreserved_threshold(limit: RetryLimit, instances: usize) -> i64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    let reserve = (max_balance(limit, instances) as f64 * RESERVED_FRACTION) as i64;
    reserve.max(UNITS_PER_RETRY)
}

/// Returns the maximum balance of this instance.
fn max_balance(limit: RetryLimit, instances: usize) -> i64 {
    #[expect(clippy::cast_precision_loss)]
    let share = limit.slack * USED_FRACTION / instances.max(1) as f64;
    to_units(share).max(UNITS_PER_RETRY)
}

fn to_units(retries: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    let units = (retries * UNITS_PER_RETRY as f64) as i64;
    units
}
