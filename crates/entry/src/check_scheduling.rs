//! Decides which upstreams are checked, and applies the results.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::control_loop::ControlLoop;
use crate::entry_snapshot::ListedUpstream;
use crate::health_check::check_upstream;

/// The shortest time between two health checks of one upstream.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(600);

impl ControlLoop {
    /// Starts health checks of upstreams that are unreachable or suspected to be, and of those in `requested_checks`.
    pub(crate) fn start_checks(&mut self, now: MonotonicTime) {
        let mut due: Vec<(ListedUpstream, String)> = Vec::new();
        for upstream in self.registry.iter() {
            let id = &upstream.record.id;
            let is_requested =
                upstream.listed.state.needs_health_check() || self.requested_checks.contains(id);
            let last = self.checked_at.get(id);
            let is_due = last.is_none_or(|last| now.since(*last) > MIN_CHECK_PERIOD);
            if is_requested
                && is_due
                && upstream.listed.state.is_usable()
                && !upstream.listed.state.is_address_reused()
            {
                due.push((upstream.listed.clone(), upstream.record.pool.clone()));
            }
        }
        for (listed, pool_name) in due {
            self.checked_at.insert(listed.state.info.id.clone(), now);
            let plan = self.plan.as_ref();
            let health_path = plan.and_then(|plan| {
                let pool = plan.pools.find(|pool| pool.name == pool_name)?;
                Some(plan.pools[pool].health_path.clone())
            });
            if let Some(health_path) = health_path {
                let shared = Arc::clone(&self.shared);
                tokio::spawn(check_upstream(shared, listed, health_path));
            }
        }
    }

    /// Records the result of a health check: the time until the end of the cold start, or `None` if the check failed.
    pub(crate) fn apply_check(&mut self, id: &str, cold_start_remaining: Option<Duration>) {
        self.requested_checks.remove(id);
        let Some(upstream) = self.registry.get(id) else {
            return;
        };
        let Some(cold_start_remaining) = cold_start_remaining else {
            upstream.listed.state.mark_unreachable();
            return;
        };
        let cold_until = self.shared.clock.now() + cold_start_remaining;
        upstream.listed.state.mark_reachable(cold_until);
    }
}
