//! The rate limits that upstreams state, exchanged with the other instances and divided among all.
//!
//! Load pattern: most instances have had no answer of an upstream yet when it states a limit, or none since the limit
//! ended. Each instance therefore reports what was stated last, how old that is, and its own demand.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::RegionKey;

use crate::limits::rate_limit::{LimitStatement, RateLimit};
use crate::limits::rate_share::{InstanceDemand, limited_send_interval};
use crate::load::upstream_state::UpstreamState;
use crate::placement::affinity_table::short_hash;

/// Time over which the demand is averaged. Reports of the demand are up to seconds old where many limits take turns.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Time for which the end of a limit is reported to the other instances.
const END_REPORT_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of limits that are reported at once, so that they fit into a packet. More limits take turns.
const MAX_REPORTED_LIMITS: usize = 40;

/// What an instance knows about the limit of an upstream, and its demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Short hash of the upstream's id.
    pub upstream: u32,
    /// Newest statement of the upstream.
    pub statement: LimitStatement,
    /// Requests per second at the instance for which the upstream was a candidate.
    pub demand_per_s: f64,
}

/// An instance that may send requests to upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendingInstance {
    /// Hash of its name.
    pub hash: u64,
    /// Region of its failure domain; `None` if it is not known.
    pub region: Option<RegionKey>,
    /// Its size relative to the mean; one if instances are about equal.
    pub size: f64,
}

/// Demand for one upstream that has a rate limit, or had one until recently.
#[derive(Debug, Default)]
struct LimitDemand {
    counted: u64,
    own_per_s: f64,
    /// Demand at other instances in requests per second, by the hashes of their names.
    reported: HashMap<u64, f64>,
    limited_at: MonotonicTime,
}

/// Demand for the upstreams with a rate limit, by the short hashes of their ids.
#[derive(Debug, Default)]
pub struct LimitTable {
    demands: HashMap<u32, LimitDemand>,
    /// Newest statements that other instances reported since the last division.
    statements: HashMap<u32, LimitStatement>,
    divided_at: MonotonicTime,
}

impl LimitTable {
    /// Records the report of another instance.
    pub fn record(&mut self, peer: u64, report: LimitReport) {
        let demand = self.demands.entry(report.upstream).or_default();
        demand.reported.insert(peer, report.demand_per_s);
        let newest = self
            .statements
            .entry(report.upstream)
            .or_insert(report.statement);
        if newest.stated_at < report.statement.stated_at {
            *newest = report.statement;
        }
    }

    /// Applies the reported statements to `upstreams`, which are all listed ones, and divides each limit by demand among
    /// this instance `own` and the `others`.
    pub fn divide<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a UpstreamState>,
        own: SendingInstance,
        others: &[SendingInstance],
        now: MonotonicTime,
    ) {
        let period = now.since(self.divided_at).as_secs_f64();
        self.divided_at = now;
        for state in upstreams {
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
        // Reports of others do not prolong this: instances would otherwise keep an ended limit alive in turn.
        self.demands
            .retain(|_, demand| now.since(demand.limited_at) < END_REPORT_PERIOD);
    }

    /// Returns the limits to report at turn `number`.
    pub fn reports<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a UpstreamState>,
        number: u64,
    ) -> Vec<LimitReport> {
        let reports = upstreams.filter_map(|state| {
            let upstream = short_hash(state.hash);
            Some(LimitReport {
                upstream,
                statement: state.rate_limit.statement(),
                demand_per_s: self.demands.get(&upstream)?.own_per_s,
            })
        });
        let mut reports: Vec<LimitReport> = reports.collect();
        if reports.len() > MAX_REPORTED_LIMITS {
            reports.sort_unstable_by_key(|report| report.upstream);
            let turns = reports.len().div_ceil(MAX_REPORTED_LIMITS) as u64;
            #[expect(clippy::cast_possible_truncation)]
            let skipped = (number % turns) as usize * MAX_REPORTED_LIMITS;
            reports.drain(..skipped);
            reports.truncate(MAX_REPORTED_LIMITS);
        }
        reports
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
            size: instance.size,
            per_s,
        };
        let other_demands: Vec<InstanceDemand> = others
            .iter()
            .map(|other| demand(other, self.reported.get(&other.hash).copied()))
            .collect();
        let own_demand = demand(&own, Some(self.own_per_s));
        limited_send_interval(limit, state.hash, own_demand, &other_demands)
    }
}
