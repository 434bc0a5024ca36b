//! Which of the known instances a look-up may name.
//!
//! Load pattern: links fail while callers keep asking. An instance that hears nobody still answers look-ups, and its callers
//! need other addresses than its own.

use std::time::Duration;

use crate::lookup::lookup_selection::InstanceView;

/// Longest time for which the last known instances are named while none is heard.
const MAX_KEPT_TIME: Duration = Duration::from_secs(30);

/// Another instance, as of its latest heartbeat.
#[derive(Debug, Clone, Copy)]
pub struct KnownInstance {
    /// What its latest heartbeat states.
    pub view: InstanceView,
    /// Time since its latest heartbeat.
    pub silence: Duration,
    /// Silence up to which it counts as live.
    pub timeout: Duration,
    /// Whether its failure domain has fallen silent.
    pub is_lost: bool,
}

/// Returns the instances that a look-up may name: the live ones in domains that are not lost. If none is live, this instance is
/// cut off, and those are returned that were live when the last heartbeat was received.
#[must_use]
pub fn nameable_instances(known: &[KnownInstance]) -> Vec<InstanceView> {
    let views = |is_named: &dyn Fn(&KnownInstance) -> bool| {
        let named = known.iter().filter(|instance| is_named(instance));
        named.map(|instance| instance.view).collect()
    };
    if known.iter().any(|known| known.silence < known.timeout) {
        return views(&|known| known.silence < known.timeout && !known.is_lost);
    }
    let cut_off_for = known.iter().map(|known| known.silence).min();
    let Some(cut_off_for) = cut_off_for.filter(|time| *time < MAX_KEPT_TIME) else {
        return Vec::new();
    };
    views(&|known| known.silence < known.timeout + cut_off_for)
}
