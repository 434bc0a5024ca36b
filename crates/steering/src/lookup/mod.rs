//! Which entry instances a look-up names.

pub(crate) mod lookup_selection;
