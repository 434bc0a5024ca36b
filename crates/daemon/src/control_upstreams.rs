//! Health evaluation and probes of upstreams.

use std::sync::Arc;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::HealthChangeKind;
use coltsfootkeel_model::DomainKey;

use crate::control_loop::ControlLoop;
use crate::upstream_probe::{ProbeTarget, probe_upstream};

impl ControlLoop {
    /// Evaluates the health of all upstreams, logs the changes and reports drains to the peers.
    pub(crate) fn evaluate_upstreams(&mut self, now: MonotonicTime) {
        for change in self.builder.health_evaluator.evaluate(now) {
            log::info!("health: Upstream {}: {:?}.", change.upstream, change.kind);
            match change.kind {
                HealthChangeKind::DrainStarted => self.broadcast_drain(&change.upstream, true),
                HealthChangeKind::DrainEnded => self.broadcast_drain(&change.upstream, false),
                _ => {}
            }
        }
    }

    /// Probes the upstreams of this instance's failure domain. Drains that these probes detect are reported to the
    /// peers.
    pub(crate) fn probe_upstreams(&self) {
        let Some(location) = self.location else {
            return;
        };
        for target in self.probe_targets(|domain| domain == location.domain) {
            self.spawn_probe(target);
        }
    }

    /// Returns the upstreams of the failure domains for which `is_wanted` holds.
    pub(crate) fn probe_targets(&self, is_wanted: impl Fn(DomainKey) -> bool) -> Vec<ProbeTarget> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let upstreams = config
            .upstreams
            .iter()
            .filter(|(_, upstream)| is_wanted(upstream.domain));
        upstreams
            .map(|(_, upstream)| {
                let pool = &config.pools[upstream.pool];
                ProbeTarget {
                    upstream: upstream.name.clone(),
                    address: upstream.address,
                    health_path: pool.health_path.clone(),
                    load_path: pool.load_path.clone(),
                    slots: upstream.slots,
                }
            })
            .collect()
    }

    /// Starts a probe of an upstream; the result arrives as an event.
    pub(crate) fn spawn_probe(&self, target: ProbeTarget) {
        tokio::spawn(probe_upstream(Arc::clone(&self.shared), target));
    }

    /// Wakes one waiting request in each pool with a free slot. A request that ends wakes the next one itself, but
    /// slots also become free through loans and ramps.
    pub(crate) fn wake_waiters(&self, now: MonotonicTime) {
        let snapshot = self.shared.snapshot.load();
        let Some(snapshot) = snapshot.as_ref() else {
            return;
        };
        for (pool, queue) in snapshot.slot_queues.iter() {
            let upstreams = &snapshot.config.pools[pool].upstreams;
            let has_free_slot = || {
                upstreams
                    .iter()
                    .any(|key| snapshot.upstream_handles[*key].cost().is_some())
            };
            if queue.has_waiters() && has_free_slot() {
                queue.wake(now);
            }
        }
    }
}
