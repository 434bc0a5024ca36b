//! Bounds the number of warnings and errors a second, so that an error storm does not fill the log.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Lines of level warn and error that pass in one second.
const MAX_LINES_PER_S: u64 = 100;

const COUNT_BITS: u32 = 20;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Counts lines by second. The second and its count share one word, so that no lock is needed.
#[derive(Debug)]
pub struct LogLimit {
    start: Instant,
    word: AtomicU64,
}

impl LogLimit {
    /// Makes a limit that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            word: AtomicU64::new(0),
        }
    }

    /// Tells whether a line may pass. Lines below warn always pass; their level is chosen in the settings.
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

impl Default for LogLimit {
    fn default() -> Self {
        Self::new()
    }
}
