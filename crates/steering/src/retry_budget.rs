//! This instance's part of the budget for requests that are sent to a second upstream.
//!
//! Load pattern: upstreams fail or refuse under load, and every request that is sent again adds to it. All instances
//! together stay within a part of the requests plus a fixed number, each by its own count.

use std::sync::atomic::{AtomicI64, Ordering};

/// One retry in the unit of the budget.
const RETRY: i64 = 1_000;
/// The part of the bound that is used. The rest covers windows in which the requests fall off, and instances that start
/// anew with their share.
const USED_PART: f64 = 0.8;

/// The part of what can be saved up that is kept for failures.
const RESERVED_PART: f64 = 0.25;

/// The bound of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window beyond the ratio.
    pub slack: f64,
}

/// The retries that are left to this instance for one pool.
#[derive(Debug)]
pub struct RetryBudget {
    budget: AtomicI64,
}

/// Starts with more than can be saved up; the first request lowers it to that.
impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            budget: AtomicI64::new(i64::MAX / 2),
        }
    }
}

impl RetryBudget {
    /// Counts a request, which earns a part of a retry. The budget stays within this instance's part of the slack.
    pub fn count_request(&self, bound: RetryLimit, instances: usize) {
        let earned = to_units(bound.ratio * USED_PART);
        let most = most_units(bound, instances);
        let _ = self
            .budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |budget| {
                Some((budget + earned).min(most))
            });
    }

    /// Takes one retry if any is left.
    pub fn try_retry(&self) -> bool {
        self.take(RETRY)
    }

    /// Takes one retry if enough are left for failures that may come.
    pub fn try_unreserved_retry(&self, bound: RetryLimit, instances: usize) -> bool {
        self.take(spare_level(bound, instances))
    }

    /// Tells whether enough retries are left for failures that may come, and one more.
    pub fn has_unreserved_retry(&self, bound: RetryLimit, instances: usize) -> bool {
        self.budget.load(Ordering::Relaxed) >= spare_level(bound, instances)
    }

    fn take(&self, least: i64) -> bool {
        let taken = self
            .budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |budget| {
                (budget >= least).then_some(budget - RETRY)
            });
        taken.is_ok()
    }
}

fn spare_level(bound: RetryLimit, instances: usize) -> i64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    let reserve = (most_units(bound, instances) as f64 * RESERVED_PART) as i64;
    reserve.max(RETRY)
}

/// Returns the most that this instance saves up.
fn most_units(bound: RetryLimit, instances: usize) -> i64 {
    #[expect(clippy::cast_precision_loss)]
    let share = bound.slack * USED_PART / instances.max(1) as f64;
    to_units(share).max(RETRY)
}

fn to_units(retries: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    let units = (retries * RETRY as f64) as i64;
    units
}
