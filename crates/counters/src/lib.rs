//! Lock-free counters on the path of a request.
//!
//! The control thread sets how many tokens and slots an instance holds. Request threads take from
//! them with atomic read-modify-write operations and never block each other. When built with
//! `--cfg loom`, the counters use the atomics of `loom`, which explores every interleaving of the
//! threads in a test.
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
mod byte_budget;
mod monotonic_time;
mod rate_bucket;
mod slot_counter;
mod time_lease;

pub use byte_budget::ByteBudget;
pub use monotonic_time::MonotonicTime;
pub use rate_bucket::RateBucket;
pub use slot_counter::SlotCounter;
pub use time_lease::TimeLease;
