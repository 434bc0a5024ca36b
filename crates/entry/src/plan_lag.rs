//! Logs when another instance has had a newer version of the plan for longer than usual.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

/// An instance usually has a new version within a fraction of this time after another one.
const MAX_USUAL_LAG: Duration = Duration::from_millis(500);

/// Since when the active plan is older than that of another instance.
#[derive(Debug, Default)]
pub(crate) struct PlanLag {
    behind_since: Option<MonotonicTime>,
    is_logged: bool,
}

impl PlanLag {
    /// Logs one line for each period in which `active` is older than `newest` for longer than [`MAX_USUAL_LAG`].
    pub(crate) fn observe(&mut self, active: u64, newest: u64, now: MonotonicTime) {
        if newest <= active {
            *self = Self::default();
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) > MAX_USUAL_LAG && !self.is_logged {
            self.is_logged = true;
            log::warn!(active, newest; "plan: Another instance has a newer version.");
        }
    }
}
