//! Which entry instances a look-up names.

pub(crate) mod handed_out;
pub(crate) mod instance_capacity;
pub(crate) mod known_instances;
pub(crate) mod load_correction;
pub(crate) mod lookup_selection;
pub(crate) mod usage_meter;
