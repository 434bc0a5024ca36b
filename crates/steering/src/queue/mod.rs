//! How requests wait for an upstream and when they are turned away.

pub(crate) mod account_queues;
pub(crate) mod competing_requests;
pub(crate) mod early_start;
pub(crate) mod expected_room;
pub(crate) mod fair_queue;
pub(crate) mod rank_shares;
pub(crate) mod request_queue;
