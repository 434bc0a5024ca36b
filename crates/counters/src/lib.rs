//! Lock-free counters used while a request runs.
//!
//! The control thread sets what an instance holds; request threads take from it with one atomic
//! operation and never wait for each other. Built with `--cfg loom`, the counters use the atomics of
//! `loom`, which tries every interleaving of the threads in a test.
//!
//! ```
//! use coltsfootkeel_counters::RateBucket;
//!
//! let bucket = RateBucket::new();
//! bucket.set_capacity(2_000);
//! bucket.refill(5_000);
//! assert!(bucket.try_take(1_000));
//! assert!(bucket.try_take(1_000));
//! assert!(!bucket.try_take(1_000));
//! ```

mod atomics;
mod monotonic_time;
mod rate_bucket;
mod slot_counter;
mod time_lease;

pub use monotonic_time::MonotonicTime;
pub use rate_bucket::RateBucket;
pub use slot_counter::SlotCounter;
pub use time_lease::TimeLease;
