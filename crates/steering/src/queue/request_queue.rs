//! Queue of requests that wait for an upstream.
//!
//! Load pattern: a burst of a few seconds. Requests are served by priority, then in order of arrival. A request that
//! cannot be answered within its objective by the time it reaches the head of the queue is refused immediately, so that
//! it does not delay the requests behind it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Position of a request in the queue; smaller positions are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: u32,
    sequence: u64,
}

/// Requests that wait for an upstream of one pool. `W` wakes a request.
#[derive(Debug)]
pub struct RequestQueue<W> {
    state: Mutex<QueueState<W>>,
}

#[derive(Debug)]
struct QueueState<W> {
    waiting: BTreeMap<QueuePosition, W>,
    last_sequence: u64,
}

impl<W> Default for RequestQueue<W> {
    fn default() -> Self {
        Self {
            state: Mutex::new(QueueState {
                waiting: BTreeMap::new(),
                last_sequence: 0,
            }),
        }
    }
}

impl<W> RequestQueue<W> {
    /// Returns a position for a new request, behind all earlier ones of the same priority.
    pub fn assign_position(&self, priority: u32) -> QueuePosition {
        let mut state = self.lock();
        state.last_sequence += 1;
        QueuePosition {
            priority,
            sequence: state.last_sequence,
        }
    }

    /// Adds a request at its position.
    pub fn insert(&self, position: QueuePosition, waker: W) {
        self.lock().waiting.insert(position, waker);
    }

    /// Removes the request at a position, if it is still in the queue.
    pub fn remove(&self, position: QueuePosition) {
        self.lock().waiting.remove(&position);
    }

    /// Returns how many requests would be served before a new one of this priority.
    #[must_use]
    pub fn count_ahead(&self, priority: u32) -> usize {
        let state = self.lock();
        let end = QueuePosition {
            priority: priority.saturating_add(1),
            sequence: 0,
        };
        state.waiting.range(..end).count()
    }

    /// Removes and returns up to `count` requests from the head of the queue.
    pub fn pop(&self, count: usize) -> Vec<W> {
        let mut state = self.lock();
        (0..count)
            .map_while(|_| state.waiting.pop_first())
            .map(|(_, waker)| waker)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, QueueState<W>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Added to the priority of requests that will miss their objective, so that all others are served first.
const LATE_PRIORITY_OFFSET: u32 = 1_000;
/// Fraction of the time until the deadline that a late request may wait.
const LATE_WAIT_FRACTION: f64 = 0.2;

/// Returns the queue priority of a request. A request that cannot meet its objective even at a warm upstream is served
/// after all others.
#[must_use]
pub fn queue_priority(priority: u32, objective_left: Duration, warm_time: Duration) -> u32 {
    if objective_left < warm_time {
        priority.saturating_add(LATE_PRIORITY_OFFSET)
    } else {
        priority
    }
}

/// Returns how long a request may wait for an upstream: as long as a warm answer can still meet the objective, but at
/// least a small fraction of the time until the deadline.
#[must_use]
pub fn max_queue_wait(
    objective_left: Duration,
    deadline_left: Duration,
    warm_time: Duration,
) -> Duration {
    let on_time_wait = objective_left.saturating_sub(warm_time);
    on_time_wait.max(deadline_left.mul_f64(LATE_WAIT_FRACTION))
}

/// Returns the delay after which a refused caller should retry. Callers follow delays of up to a third of their
/// remaining time; `uniform`, a random number from 0 to 1, spreads the retries over the second half of that range so
/// that they form no new burst.
#[must_use]
pub fn retry_after(deadline_left: Duration, uniform: f64) -> Duration {
    deadline_left.mul_f64((1.0 + uniform) / 6.0)
}
