//! How requests wait for an upstream and when they are turned away.

pub(crate) mod early_start;
pub(crate) mod request_queue;
