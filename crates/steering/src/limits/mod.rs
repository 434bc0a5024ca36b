//! Limits that all instances share: rates of client accounts and upstreams, and the retry budget.

pub(crate) mod limit_sharers;
pub(crate) mod limit_table;
pub(crate) mod quota_bucket;
pub(crate) mod quota_budget;
pub(crate) mod rate_limit;
pub(crate) mod rate_share;
pub(crate) mod retry_budget;
pub(crate) mod sharer_sizes;
