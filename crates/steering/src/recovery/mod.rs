//! What holds while instances stop, the store is away or requests crash upstreams.

pub(crate) mod crash_reports;
pub(crate) mod crash_table;
pub(crate) mod evacuation_list;
pub(crate) mod outage_evidence;
pub(crate) mod plan_freshness;
pub(crate) mod planned_stop;
pub(crate) mod store_eras;
pub(crate) mod store_position;
pub(crate) mod store_probe;
pub(crate) mod store_readers;
pub(crate) mod suspect_inquiry;
