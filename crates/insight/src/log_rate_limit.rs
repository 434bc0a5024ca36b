//! Limits the warnings and errors per second, so that a burst of errors does not fill the log.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Maximum number of lines per second for the levels warn and error together.
const MAX_LINES_PER_S: u64 = 100;

/// Number of low bits of the atomic word, which hold the count. The high bits hold the second.
const COUNT_BITS: u32 = 20;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Counts the lines of the current second. The second and its count share one atomic word, so that no lock is needed.
#[derive(Debug)]
pub struct LogRateLimit {
    start: Instant,
    word: AtomicU64,
}

impl LogRateLimit {
    /// Creates a limit whose first second starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            word: AtomicU64::new(0),
        }
    }

    /// Counts a line and returns whether it may be written. Lines below the level warn are not limited, because the
    /// settings select their level.
    pub fn allows(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() > log::Level::Warn || self.count_line(self.start.elapsed().as_secs())
    }

    fn count_line(&self, second: u64) -> bool {
        let counted = self
            .word
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |word| {
                let count = if word >> COUNT_BITS == second {
                    word & COUNT_MASK
                } else {
                    0
                };
                (count < MAX_LINES_PER_S).then_some(second << COUNT_BITS | (count + 1))
            });
        counted.is_ok()
    }
}

impl Default for LogRateLimit {
    fn default() -> Self {
        Self::new()
    }
}
