//! Logs of the programs.

mod log_limit;
mod log_queue;
mod log_setup;

pub use log_setup::{LogTarget, set_up_logs};
