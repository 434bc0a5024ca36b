//! Structured logging: line formats, a rate limit and a bounded queue, so that logging does not delay requests.

mod log_queue;
mod log_rate_limit;
mod log_setup;

pub use log_setup::{LogTarget, set_up_logs};
