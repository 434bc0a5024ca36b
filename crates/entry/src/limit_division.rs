//! Exchanges the rate limits that upstreams state with the other instances, and sets this instance's part of each.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::RegionKey;
use coltsfootkeel_protocol::{FleetHeartbeat, StatedLimit};
use coltsfootkeel_steering::{
    InstanceDemand, LimitStatement, RateLimit, UpstreamState, limited_send_interval, short_hash,
    stable_hash,
};

use crate::control_loop::ControlLoop;
use crate::upstream_registry::UpstreamRegistry;

/// The time over which the demand is averaged. Reports of the demand are up to seconds old where many limits take turns.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(2);
/// How long the end of a limit is reported to the other instances.
const END_REPORT_PERIOD: Duration = Duration::from_secs(3);
/// The largest number of limits in a heartbeat, which then fits into a packet. With more limits they take turns.
const MAX_REPORTED_LIMITS: usize = 40;

/// The demand for one upstream that has a rate limit, or had one until recently.
#[derive(Debug, Default)]
struct LimitDemand {
    counted: u64,
    own_per_s: f64,
    /// The demand at other instances in requests per second, by the hashes of their names.
    reported: HashMap<u64, f64>,
    limited_at: MonotonicTime,
}

/// An instance that may send requests to upstreams.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendingInstance {
    /// The hash of its name.
    pub(crate) hash: u64,
    /// The region of its failure domain; `None` if it is not known.
    pub(crate) region: Option<RegionKey>,
}

/// The demand for the upstreams with a rate limit, by the short hashes of their ids.
#[derive(Debug, Default)]
pub(crate) struct LimitDivision {
    demands: HashMap<u32, LimitDemand>,
    /// The newest statements that other instances reported since the last division.
    statements: HashMap<u32, LimitStatement>,
    divided_at: MonotonicTime,
}

impl LimitDivision {
    /// Records the limits and the demand that another instance reported in a heartbeat.
    pub(crate) fn record_heartbeat(
        &mut self,
        peer: u64,
        message: &FleetHeartbeat,
        now: MonotonicTime,
    ) {
        for stated in &message.limits {
            let demand = self.demands.entry(stated.upstream).or_default();
            let per_s = f64::from(stated.demand_milli) / 1_000.0;
            demand.reported.insert(peer, per_s);
            demand.limited_at = now;
            let statement = LimitStatement {
                limit: RateLimit::from_milli(stated.limit_milli),
                stated_at: now - Duration::from_millis(stated.age_ms.into()),
            };
            let newest = self.statements.entry(stated.upstream).or_insert(statement);
            if newest.stated_at < statement.stated_at {
                *newest = statement;
            }
        }
    }

    /// Applies the reported statements and divides each limit by demand among this instance `own` and the
    /// `others`.
    pub(crate) fn divide(
        &mut self,
        registry: &UpstreamRegistry,
        own: SendingInstance,
        others: &[SendingInstance],
        now: MonotonicTime,
    ) {
        let period = now.since(self.divided_at).as_secs_f64();
        self.divided_at = now;
        for upstream in registry.iter() {
            let state = &upstream.listed.state;
            let short = short_hash(state.hash);
            if let Some(statement) = self.statements.remove(&short) {
                state.rate_limit.record(statement);
            }
            if let Some(limit) = state.rate_limit.limit(now) {
                let demand = self.demands.entry(short).or_default();
                demand.limited_at = now;
                demand.update(state, period);
                let interval = demand.interval(limit, state, own, others);
                state.rate_limit.set_interval(interval, now);
            }
        }
        self.statements.clear();
        self.demands
            .retain(|_, demand| now.since(demand.limited_at) < END_REPORT_PERIOD);
    }

    /// Returns the limits that heartbeat `number` reports.
    pub(crate) fn reports(
        &self,
        registry: &UpstreamRegistry,
        number: u64,
        now: MonotonicTime,
    ) -> Vec<StatedLimit> {
        let limits = registry.iter().filter_map(|upstream| {
            let state = &upstream.listed.state;
            let demand = self.demands.get(&short_hash(state.hash))?;
            Some(demand.report(state, now))
        });
        let mut limits: Vec<StatedLimit> = limits.collect();
        if limits.len() > MAX_REPORTED_LIMITS {
            limits.sort_unstable_by_key(|limit| limit.upstream);
            let turns = limits.len().div_ceil(MAX_REPORTED_LIMITS) as u64;
            #[expect(clippy::cast_possible_truncation)]
            let skipped = (number % turns) as usize * MAX_REPORTED_LIMITS;
            limits.drain(..skipped);
            limits.truncate(MAX_REPORTED_LIMITS);
        }
        limits
    }
}

impl LimitDemand {
    fn update(&mut self, state: &UpstreamState, period: f64) {
        let counted = state.rate_limit.demand();
        if period > 0.0 {
            #[expect(clippy::cast_precision_loss)]
            let per_s = counted.saturating_sub(self.counted) as f64 / period;
            let weight = (period / DEMAND_AVERAGING_TIME.as_secs_f64()).min(1.0);
            self.own_per_s += (per_s - self.own_per_s) * weight;
        }
        self.counted = counted;
    }

    fn interval(
        &self,
        limit: RateLimit,
        state: &UpstreamState,
        own: SendingInstance,
        others: &[SendingInstance],
    ) -> Option<Duration> {
        let demand = |instance: &SendingInstance, per_s| InstanceDemand {
            instance: instance.hash,
            is_near: instance.region == Some(state.info.region),
            per_s,
        };
        let other_demands: Vec<InstanceDemand> = others
            .iter()
            .map(|other| demand(other, self.reported.get(&other.hash).copied()))
            .collect();
        let own_demand = demand(&own, Some(self.own_per_s));
        limited_send_interval(limit, state.hash, own_demand, &other_demands)
    }

    fn report(&self, state: &UpstreamState, now: MonotonicTime) -> StatedLimit {
        let statement = state.rate_limit.statement();
        let age = now.since(statement.stated_at).as_millis();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let demand_milli = (self.own_per_s * 1_000.0) as u32;
        StatedLimit {
            upstream: short_hash(state.hash),
            limit_milli: statement.limit.map_or(0, RateLimit::to_milli),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            demand_milli,
        }
    }
}

impl ControlLoop {
    /// Divides the rate limits among the registered instances, and logs those that have begun, changed or ended.
    pub(crate) fn divide_limits(&mut self, now: MonotonicTime) {
        if self.members.iter().next().is_none() {
            // The number of instances is not known yet, and a limit that is not divided lets no request through.
            return;
        }
        let shared = &self.shared;
        let own = SendingInstance {
            hash: shared.own_hash,
            region: Some(shared.home.region),
        };
        let topology = &shared.topology;
        let registered = self.members.iter().map(|(name, member)| {
            let domain = topology.domain(&member.record.domain);
            let region = domain.map(|domain| topology.domains[domain].region);
            let hash = stable_hash(name.as_bytes());
            SendingInstance { hash, region }
        });
        let others: Vec<SendingInstance> = registered
            .filter(|instance| instance.hash != own.hash)
            .collect();
        self.limit_division
            .divide(&self.registry, own, &others, now);
        let states = self.registry.iter().map(|upstream| &*upstream.listed.state);
        self.limit_log.update(states, now);
    }
}
