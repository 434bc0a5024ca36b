//! What the last look-ups named, against what the weights of the instances asked for.
//!
//! Load pattern: answers are used for seconds, so heartbeats show the callers that an answer brings only after many more
//! answers. Each answer is therefore decided on what was named before it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// Time over which answers are counted. Callers use an answer for about as long.
const ANSWER_USE_TIME: Duration = Duration::from_millis(4_500);
/// Callers by which an instance may be ahead or behind before that changes much.
const TOLERATED_CALLERS: f64 = 2.0;
/// Exponent of the correction. Callers behind one gateway draw the same instances, and only the correction spreads them.
const CORRECTION_EXPONENT: i32 = 6;
/// Callers below which an instance is forgotten.
const MIN_COUNTED_CALLERS: f64 = 0.01;

/// Callers that the last answers brought to one instance.
#[derive(Debug, Clone, Copy, Default)]
struct HandedCallers {
    expected: f64,
    named: f64,
}

/// The callers that the last answers brought to each instance. A caller counts in equal parts for all instances of its
/// answer.
#[derive(Debug, Default)]
pub struct HandedOut {
    callers: HashMap<SocketAddr, HandedCallers>,
    updated_at: MonotonicTime,
}

impl HandedOut {
    /// Lets the counted answers age until `now`.
    pub fn age(&mut self, now: MonotonicTime) {
        let elapsed = now.since(std::mem::replace(&mut self.updated_at, now));
        let left = (-elapsed.as_secs_f64() / ANSWER_USE_TIME.as_secs_f64()).exp();
        self.callers.retain(|_, callers| {
            callers.expected *= left;
            callers.named *= left;
            callers.expected.max(callers.named) > MIN_COUNTED_CALLERS
        });
    }

    /// Returns the factor on the chance of an instance to be named: less than one if it was named more often than its
    /// weight asks for.
    #[must_use]
    pub fn correction(&self, address: SocketAddr) -> f64 {
        let callers = self.callers.get(&address).copied().unwrap_or_default();
        let ratio = (callers.expected + TOLERATED_CALLERS) / (callers.named + TOLERATED_CALLERS);
        ratio.powi(CORRECTION_EXPONENT)
    }

    /// Counts the part of a caller that the weights ask for at an instance.
    pub fn count_expected(&mut self, address: SocketAddr, part: f64) {
        self.callers.entry(address).or_default().expected += part;
    }

    /// Counts the part of a caller that an answer brings to an instance.
    pub fn count_named(&mut self, address: SocketAddr, part: f64) {
        self.callers.entry(address).or_default().named += part;
    }
}
