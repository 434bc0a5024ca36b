//! The atomic types of the standard library, or those of `loom` when built with `--cfg loom`.

#[cfg(loom)]
pub(crate) use loom::sync::atomic::{AtomicI64, AtomicU64, Ordering};
#[cfg(not(loom))]
pub(crate) use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
