//! The atomics of the standard library, or those of `loom` in a model check.

#[cfg(loom)]
pub(crate) use loom::sync::atomic::{AtomicI64, AtomicU64, Ordering};
#[cfg(not(loom))]
pub(crate) use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
