//! Exchanges the rate limits of upstreams with the other instances in heartbeats, and divides them on each tick.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::StatedLimit;
use coltsfootkeel_steering::{LimitReport, LimitStatement, RateLimit, SendingInstance};

use crate::control_loop::ControlLoop;

impl ControlLoop {
    /// Records the limits that the latest heartbeat of another instance reported.
    pub(crate) fn record_limits(&mut self, peer: u64, now: MonotonicTime) {
        let Some(state) = self.peers.get(peer) else {
            return;
        };
        for stated in &state.heartbeat.limits {
            let report = LimitReport {
                upstream: stated.upstream,
                statement: LimitStatement {
                    limit: RateLimit::from_milli(stated.limit_milli),
                    stated_at: now - Duration::from_millis(stated.age_ms.into()),
                },
                demand_per_s: f64::from(stated.demand_milli) / 1_000.0,
            };
            self.limit_table.record(peer, report);
        }
    }

    /// Returns the limits that the next heartbeat reports.
    pub(crate) fn stated_limits(&self, now: MonotonicTime) -> Vec<StatedLimit> {
        let reports = self
            .limit_table
            .reports(self.registry.states(), self.heartbeat_number);
        let encode = |report: &LimitReport| {
            let age = now.since(report.statement.stated_at).as_millis();
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let demand_milli = (report.demand_per_s * 1_000.0) as u32;
            StatedLimit {
                upstream: report.upstream,
                limit_milli: report.statement.limit.map_or(0, RateLimit::to_milli),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                demand_milli,
            }
        };
        reports.iter().map(encode).collect()
    }

    /// Divides the rate limits among the registered instances, and logs those that have begun, changed or ended.
    pub(crate) fn divide_limits(&mut self, now: MonotonicTime) {
        if self.members.iter().next().is_none() {
            // The number of instances is not known yet, and a limit that is not divided lets no request through.
            return;
        }
        let shared = &self.shared;
        let fleet = shared.fleet.load();
        let own = SendingInstance {
            hash: shared.own_hash,
            region: Some(shared.home.region),
            size: fleet.sharer_sizes.relative_size(shared.own_hash),
        };
        let topology = &shared.topology;
        let registered = self.members.iter().map(|(_, member)| {
            let domain = topology.domain(&member.record.domain);
            let region = domain.map(|domain| topology.domains[domain].region);
            SendingInstance {
                hash: member.hash,
                region,
                size: fleet.sharer_sizes.relative_size(member.hash),
            }
        });
        let others: Vec<SendingInstance> = registered
            .filter(|instance| instance.hash != own.hash)
            .collect();
        self.limit_table
            .divide(self.registry.states(), own, &others, now);
        self.limit_log.update(self.registry.states(), now);
    }
}
