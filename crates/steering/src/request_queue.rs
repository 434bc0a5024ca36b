//! The order in which requests wait for an upstream.
//!
//! Load pattern: a burst of seconds. The most urgent rank goes first, then who came first. A request that can no
//! longer be answered within its objective when its turn comes is refused at once instead of delaying those behind it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The place of a request in the line; lower is earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    rank: u32,
    number: u64,
}

/// Requests that wait for one pool. `W` wakes a request.
#[derive(Debug)]
pub struct RequestQueue<W> {
    inner: Mutex<LineInner<W>>,
}

#[derive(Debug)]
struct LineInner<W> {
    waiting: BTreeMap<QueuePosition, W>,
    next_number: u64,
}

impl<W> Default for RequestQueue<W> {
    fn default() -> Self {
        Self {
            inner: Mutex::new(LineInner {
                waiting: BTreeMap::new(),
                next_number: 0,
            }),
        }
    }
}

impl<W> RequestQueue<W> {
    /// Draws a place for a new request.
    pub fn assign_position(&self, rank: u32) -> QueuePosition {
        let mut inner = self.lock();
        inner.next_number += 1;
        QueuePosition {
            rank,
            number: inner.next_number,
        }
    }

    /// Enters the line at a place.
    pub fn insert(&self, place: QueuePosition, waker: W) {
        self.lock().waiting.insert(place, waker);
    }

    /// Leaves the line.
    pub fn remove(&self, place: QueuePosition) {
        self.lock().waiting.remove(&place);
    }

    /// Returns how many requests wait ahead of a new one of this rank.
    #[must_use]
    pub fn count_ahead(&self, rank: u32) -> usize {
        let inner = self.lock();
        let end = QueuePosition {
            rank: rank.saturating_add(1),
            number: 0,
        };
        inner.waiting.range(..end).count()
    }

    /// Takes the first requests off the line.
    pub fn pop(&self, count: usize) -> Vec<W> {
        let mut inner = self.lock();
        (0..count)
            .map_while(|_| inner.waiting.pop_first())
            .map(|(_, waker)| waker)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, LineInner<W>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is late already waits behind all that can be in time.
const LATE_RANKS: u32 = 1_000;
/// The part of the caller's time that a late request may wait.
const LATE_WAIT_PART: f64 = 0.2;

/// Returns the rank of a request in the line.
#[must_use]
pub fn queue_priority(rank: u32, objective_left: Duration, warm_time: Duration) -> u32 {
    if objective_left < warm_time {
        rank.saturating_add(LATE_RANKS)
    } else {
        rank
    }
}

/// Returns how long a request may wait for an upstream: as long as a warm answer still meets the objective, or, where that
/// cannot be, for a small part of the caller's time.
#[must_use]
pub fn max_queue_wait(
    objective_left: Duration,
    deadline_left: Duration,
    warm_time: Duration,
) -> Duration {
    let in_time = objective_left.saturating_sub(warm_time);
    in_time.max(deadline_left.mul_f64(LATE_WAIT_PART))
}

/// Returns when a refused caller should come back: spread over the second half of the part of its time that callers
/// wait for a retry, so that the returns do not make the next burst.
#[must_use]
pub fn retry_after(deadline_left: Duration, uniform: f64) -> Duration {
    deadline_left.mul_f64((1.0 + uniform) / 6.0)
}
