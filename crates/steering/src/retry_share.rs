//! This instance's part of the budget for requests that are sent to a second upstream.
//!
//! Load pattern: upstreams fail or refuse under load, and every request that is sent again adds to it. All instances
//! together stay within a part of the requests plus a fixed number, each by its own count.

use std::sync::atomic::{AtomicI64, Ordering};

/// One retry in the unit of the budget.
const RETRY: i64 = 1_000;
/// The part of the bound that is used. The rest covers windows in which the requests fall off.
const USED_PART: f64 = 0.7;

/// The bound of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window beyond the ratio.
    pub slack: f64,
}

/// The retries that are left to this instance for one pool.
#[derive(Debug, Default)]
pub struct RetryShare {
    budget: AtomicI64,
}

impl RetryShare {
    /// Counts a request, which earns a part of a retry. The budget stays within this instance's part of the slack.
    pub fn count_request(&self, bound: RetryBound, instances: usize) {
        let earned = to_units(bound.ratio * USED_PART);
        #[expect(clippy::cast_precision_loss)]
        let most = to_units(bound.slack * USED_PART / instances.max(1) as f64).max(RETRY);
        let _ = self
            .budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |budget| {
                Some((budget + earned).min(most))
            });
    }

    /// Takes one retry if any is left.
    pub fn try_retry(&self) -> bool {
        let taken = self
            .budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |budget| {
                (budget >= RETRY).then_some(budget - RETRY)
            });
        taken.is_ok()
    }
}

fn to_units(retries: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    let units = (retries * RETRY as f64) as i64;
    units
}
