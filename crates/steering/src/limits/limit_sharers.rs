//! The instances among which limits are divided.
//!
//! Load pattern: instances start and stop under load. One that has just started has received no heartbeats yet while the
//! others keep sending, and one that stops still takes requests for seconds after its registration is removed. Both hold a
//! share.

/// Returns the instances that share limits: the live and the registered ones. Empty until the registered instances are
/// known.
#[must_use]
pub fn sharing_instances(live: &[u64], registered: &[u64]) -> Vec<u64> {
    if registered.is_empty() {
        return Vec::new();
    }
    let mut instances = [live, registered].concat();
    instances.sort_unstable();
    instances.dedup();
    instances
}
