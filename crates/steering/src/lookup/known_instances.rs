//! Which of the known instances a look-up may name.
//!
//! Load pattern: links fail while callers keep asking. An instance that hears few or none still answers look-ups, and
//! its callers need other addresses than its own.

use std::time::Duration;

use crate::lookup::lookup_selection::InstanceView;

/// Longest time for which the last known instances are named while few are heard.
const MAX_KEPT_TIME: Duration = Duration::from_secs(30);
/// This instance is cut off if it hears less than one in this many of the instances that it heard within
/// [`MAX_KEPT_TIME`]. Others may be cut off with it.
const CUT_OFF_DIVISOR: usize = 4;

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

/// The instances that a look-up may name.
#[derive(Debug, Default)]
pub struct NameableInstances {
    /// The instances.
    pub views: Vec<InstanceView>,
    /// Whether this instance is cut off from most others, so that `views` has those that it heard last.
    pub is_cut_off: bool,
}

/// Returns the instances that a look-up may name: the live ones in domains that are not lost. If few are live, this
/// instance is rather cut off, and those are returned too that were live when the last of the others was heard.
#[must_use]
pub fn nameable_instances(known: &[KnownInstance]) -> NameableInstances {
    let is_live = |known: &&KnownInstance| known.silence < known.timeout;
    let is_recent = |known: &&KnownInstance| known.silence < MAX_KEPT_TIME;
    let accepting = || known.iter().filter(|known| known.view.is_accepting);
    let silent = accepting().filter(|known| !is_live(known));
    let last_silence = silent.map(|known| known.silence).min();
    let heard = accepting().filter(is_live).count();
    let is_cut_off = heard * CUT_OFF_DIVISOR < accepting().filter(is_recent).count();
    let views = |is_named: &dyn Fn(&KnownInstance) -> bool| {
        let named = known.iter().filter(|instance| is_named(instance));
        named.map(|instance| instance.view).collect()
    };
    match last_silence {
        Some(cut_off_for) if is_cut_off => NameableInstances {
            views: views(&|known| known.silence < known.timeout + cut_off_for),
            is_cut_off,
        },
        _ => NameableInstances {
            views: views(&|known| is_live(&known) && !known.is_lost),
            is_cut_off: false,
        },
    }
}
