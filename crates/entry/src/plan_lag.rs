//! Tracks whether another instance has a newer version of the plan, and logs it when that lasts longer than usual.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::control_loop::ControlLoop;
use crate::reader_role::PlanVersions;

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
    fn observe(&mut self, active: u64, newest: u64, now: MonotonicTime) {
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

impl ControlLoop {
    /// Returns the version of the active plan; zero without one.
    pub(crate) fn plan_version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// Records a version that is in force here or at another instance.
    pub(crate) fn record_plan_version(&self, version: u64) {
        self.shared.freshness.record_version(version);
        self.shared.reader_role.set_plan_versions(PlanVersions {
            active: self.plan_version(),
            newest: self.shared.freshness.newest_version(),
        });
    }

    pub(crate) fn observe_plan_lag(&mut self, now: MonotonicTime) {
        let newest = self.shared.freshness.newest_version();
        self.plan_lag.observe(self.plan_version(), newest, now);
    }
}
