//! Decides which requests start before the previous one on their connection is answered.
//!
//! Load pattern: callers that send further requests without waiting for the answers. Run one at a time, each request
//! waits for the sum of the times before it, although upstreams have room. Run without a bound, one connection would take
//! the places of many in the queue of a pool, and the memory of the process for answers whose turn has not come.

/// The largest number of requests behind the running one that a connection has started.
pub const MAX_EARLY_REQUESTS: usize = 8;
/// The largest number of bytes of a connection that are read while an answer is outstanding.
pub const MAX_EARLY_BYTES: usize = 16 * 1024;
/// The largest number while other requests wait for an upstream of the pool, so that callers with one request at a time
/// are not displaced.
const MAX_EARLY_REQUESTS_IN_QUEUE: usize = 2;
/// The part of the bytes that the process may keep, from which on no request starts early: what is kept for an answer
/// whose turn has not come is missing for one that could be delivered.
const MAX_KEPT_FRACTION: f64 = 0.5;

/// A request behind another one on its connection.
#[derive(Debug, Clone, Copy)]
pub struct EarlyRequest {
    /// Whether it may run more than once. An answer before it may close the connection; its caller then sends it again.
    pub is_idempotent: bool,
    /// Whether the instance stops. What has not started then is answered by another instance.
    pub is_stopping: bool,
    /// The requests before it that have started early and whose turn has not come.
    pub started: usize,
    /// The requests that wait for an upstream of its pool.
    pub queued: usize,
    /// The fraction of the bytes that the process may keep that is taken.
    pub kept_fraction: f64,
}

impl EarlyRequest {
    /// Returns whether the request starts before its turn.
    #[must_use]
    pub fn may_start(&self) -> bool {
        let max_started = if self.queued > 0 {
            MAX_EARLY_REQUESTS_IN_QUEUE
        } else {
            MAX_EARLY_REQUESTS
        };
        self.is_idempotent
            && !self.is_stopping
            && self.started < max_started
            && self.kept_fraction < MAX_KEPT_FRACTION
    }
}
