//! Evaluation of the health of upstreams by the control thread.
//!
//! The results of requests determine ejections. Load reports and probes have less weight, because the endpoints that
//! return them lag and can be wrong: a load report only raises the cost of an upstream, and failed probes eject it only
//! while no request succeeds.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, ArenaKey, FleetConfig, UpstreamKey};

use crate::upstream_health::{
    DrainSource, FULL_RAMP_PERMILLE, NEUTRAL_LOAD_PERCENT, OBSERVED_DRAINS, UpstreamHealth,
    moving_average,
};

/// The number of consecutive failures of requests, or of probes without a success, after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// The duration of the first ejection. It doubles with each successive ejection up to [`MAX_EJECTION`].
const INITIAL_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_mins(1);
/// The time over which the usable slots of a returning upstream grow from [`INITIAL_RAMP_PERMILLE`] to all of them.
const RAMP_DURATION: Duration = Duration::from_secs(20);
const INITIAL_RAMP_PERMILLE: u32 = 100;
/// The time after which a load report is ignored.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// The time over which health answers must report "not draining" before an observed drain ends. Health answers lag and
/// can contradict each other, so one such answer after a sign of a drain is not conclusive.
const DRAIN_CLEAR_TIME: Duration = Duration::from_secs(10);

/// The longest gap within a series of health answers. Probes are sent each second, so the gap is three of their
/// intervals.
const MAX_ANSWER_GAP: Duration = Duration::from_secs(3);

/// The time after the last sign of a drain at which an observed drain ends without health answers. If the health
/// endpoint never answered, the drain would otherwise exclude the upstream permanently; a request that a draining
/// upstream refuses as "not run" is less costly.
const OBSERVED_DRAIN_TIMEOUT: Duration = Duration::from_mins(10);

/// The load that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The fraction of the upstream's capacity in use, in percent.
    pub busy_percent: u32,
}

/// The result of a probe of the health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The endpoint answered.
    Answered {
        /// Whether the endpoint reported that the upstream is draining.
        draining: bool,
    },
    /// The endpoint did not answer, or answered with an error.
    Failed,
}

/// How the slots of an upstream that was added or has returned become usable over time.
#[derive(Debug, Clone, Copy)]
pub struct RampPolicy {
    /// The name of the policy in printed measurements.
    pub name: &'static str,
    /// Returns the usable fraction of the slots in thousandths, given the time since the upstream was added or
    /// returned.
    pub permille_after: fn(Duration) -> u32,
}

impl RampPolicy {
    /// The usable fraction rises linearly from 10% to 100% over 20 s.
    pub const LINEAR: Self = Self {
        name: "linear ramp",
        permille_after: linear_permille,
    };

    /// All slots are usable immediately; a baseline for comparisons.
    pub const NONE: Self = Self {
        name: "no ramp",
        permille_after: |_| FULL_RAMP_PERMILLE,
    };
}

fn linear_permille(elapsed: Duration) -> u32 {
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    let ramp_ms = u64::try_from(RAMP_DURATION.as_millis()).unwrap_or(u64::MAX);
    let range = u64::from(FULL_RAMP_PERMILLE - INITIAL_RAMP_PERMILLE);
    let gained = elapsed_ms.min(ramp_ms) * range / ramp_ms;
    INITIAL_RAMP_PERMILLE + u32::try_from(gained).unwrap_or(0)
}

/// A change of an upstream's health, which the control thread logs. Starts and ends of drains are also sent to the
/// peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthChange {
    /// The name of the upstream.
    pub upstream: String,
    /// The kind of change.
    pub kind: HealthChangeKind,
}

/// The kind of change of an upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChangeKind {
    /// The upstream receives no requests for the given time.
    Ejected(Duration),
    /// The ejection of the upstream has ended.
    Returned,
    /// The upstream started to drain.
    DrainStarted,
    /// The upstream no longer drains.
    DrainEnded,
    /// The ejection of the upstream is not applied, because more than half of its pool would be ejected.
    EjectionIgnored,
}

/// The control thread's evaluation of all upstreams, kept by name across generations of the configuration.
#[derive(Debug)]
pub struct HealthEvaluator {
    ramp: RampPolicy,
    pools: Vec<TrackedPool>,
    /// The index of the pool and the position within it of each upstream, by name.
    positions: HashMap<String, (usize, usize)>,
}

impl HealthEvaluator {
    /// Creates an evaluator without upstreams.
    #[must_use]
    pub fn new(ramp: RampPolicy) -> Self {
        Self {
            ramp,
            pools: Vec::new(),
            positions: HashMap::new(),
        }
    }

    /// Applies a configuration and returns the health records for its snapshot.
    ///
    /// An upstream that is added to a known pool starts with a ramp. The upstreams of a pool that is new to this
    /// instance do not: the instance cannot distinguish a cold upstream from its own start, and without a warm upstream
    /// that takes the load a ramp would only cause refusals.
    pub fn apply(
        &mut self,
        config: &FleetConfig,
        now: MonotonicTime,
    ) -> Arena<UpstreamKey, Arc<UpstreamHealth>> {
        let mut previous = self.take_upstreams();
        let known_pools: HashSet<String> = previous.keys().map(|(pool, _)| pool.clone()).collect();
        self.pools = empty_pools(config);
        self.positions.clear();
        let mut records = Arena::new();
        for (key, upstream) in config.upstreams.iter() {
            let pool = &mut self.pools[upstream.pool.index()];
            let tracked = previous
                .remove(&(pool.name.clone(), upstream.name.clone()))
                .filter(|tracked| tracked.address == upstream.address)
                .unwrap_or_else(|| {
                    let ramp_start = known_pools.contains(&pool.name).then_some(now);
                    TrackedUpstream::new(&upstream.name, upstream.address, ramp_start)
                });
            let is_drained = config.drains.is_upstream_draining(key, upstream.region);
            tracked
                .health
                .update_drain(DrainSource::Configuration, is_drained);
            records.push(Arc::clone(&tracked.health));
            let position = (upstream.pool.index(), pool.upstreams.len());
            self.positions.insert(upstream.name.clone(), position);
            pool.upstreams.push(tracked);
        }
        for pool in &mut self.pools {
            pool.publish_ramps(self.ramp, now);
        }
        records
    }

    /// Records a load report of an upstream.
    pub fn record_load_report(&mut self, upstream: &str, report: LoadReport, now: MonotonicTime) {
        if let Some(tracked) = self.find(upstream) {
            tracked.report = Some((report, now));
        }
    }

    /// Records the result of a probe of an upstream's health endpoint.
    pub fn record_probe(&mut self, upstream: &str, result: ProbeResult, now: MonotonicTime) {
        if let Some(tracked) = self.find(upstream) {
            tracked.record_probe(result, now);
        }
    }

    /// Records a peer's notice that an upstream drains or no longer drains.
    pub fn record_peer_drain(&mut self, upstream: &str, is_draining: bool, now: MonotonicTime) {
        let Some(tracked) = self.find(upstream) else {
            return;
        };
        tracked
            .health
            .update_drain(DrainSource::PeerNotice, is_draining);
        if is_draining {
            tracked.record_drain_sign(now);
        }
    }

    /// Evaluates all upstreams and returns the changes. Called each second; more frequent calls are permitted.
    pub fn evaluate(&mut self, now: MonotonicTime) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for pool in &mut self.pools {
            pool.evaluate(self.ramp, now, &mut changes);
        }
        changes
    }

    fn find(&mut self, upstream: &str) -> Option<&mut TrackedUpstream> {
        let (pool, position) = *self.positions.get(upstream)?;
        self.pools.get_mut(pool)?.upstreams.get_mut(position)
    }

    fn take_upstreams(&mut self) -> HashMap<(String, String), TrackedUpstream> {
        let mut tracked = HashMap::new();
        for pool in self.pools.drain(..) {
            for upstream in pool.upstreams {
                tracked.insert((pool.name.clone(), upstream.name.clone()), upstream);
            }
        }
        tracked
    }
}

fn empty_pools(config: &FleetConfig) -> Vec<TrackedPool> {
    config
        .pools
        .iter()
        .map(|(_, pool)| TrackedPool {
            name: pool.name.clone(),
            upstreams: Vec::new(),
        })
        .collect()
}

#[derive(Debug)]
struct TrackedPool {
    name: String,
    upstreams: Vec<TrackedUpstream>,
}

impl TrackedPool {
    fn evaluate(&mut self, ramp: RampPolicy, now: MonotonicTime, changes: &mut Vec<HealthChange>) {
        for upstream in &mut self.upstreams {
            upstream.evaluate_results(now);
            upstream.evaluate_drains(now, changes);
        }
        self.publish_ejections(now, changes);
        self.publish_ramps(ramp, now);
        self.age_latencies();
    }

    /// Publishes the ejections if they concern at most half of the upstreams that are not draining, or else none. If
    /// more than half fail, this instance or the network path is the more likely cause, and ejections could leave no
    /// upstream to send to.
    fn publish_ejections(&mut self, now: MonotonicTime, changes: &mut Vec<HealthChange>) {
        let is_active = |upstream: &&TrackedUpstream| !upstream.health.is_draining();
        let active = self.upstreams.iter().filter(is_active).count();
        let ejected = self
            .upstreams
            .iter()
            .filter(is_active)
            .filter(|upstream| upstream.is_ejected(now))
            .count();
        let are_applied = ejected * 2 <= active;
        for upstream in &mut self.upstreams {
            upstream.publish_ejection(are_applied, now, changes);
        }
    }

    /// Publishes the ramps of all upstreams. A ramp moves load from cold upstreams to warm ones, so it applies only
    /// while there is a warm one.
    fn publish_ramps(&mut self, ramp: RampPolicy, now: MonotonicTime) {
        for upstream in &mut self.upstreams {
            upstream.end_ramp(now);
        }
        let any_warm = self.upstreams.iter().any(TrackedUpstream::is_warm);
        for upstream in &self.upstreams {
            let permille = match upstream.ramp_start {
                Some(start) if any_warm => (ramp.permille_after)(now.since(start)),
                _ => FULL_RAMP_PERMILLE,
            };
            let target = &upstream.health.ramp_permille;
            target.store(permille, Ordering::Relaxed);
        }
    }

    /// Moves the latency of each upstream without a success since the last evaluation towards the mean of its pool, so
    /// that one slow answer does not exclude an upstream permanently.
    fn age_latencies(&mut self) {
        let sampled: Vec<u64> = self
            .upstreams
            .iter()
            .map(|upstream| upstream.health.latency_ns.load(Ordering::Relaxed))
            .filter(|latency| *latency > 0)
            .collect();
        let Some(mean) = sampled
            .iter()
            .sum::<u64>()
            .checked_div(sampled.len() as u64)
        else {
            return;
        };
        for upstream in &mut self.upstreams {
            upstream.age_latency(mean);
        }
    }
}

/// An uninterrupted series of health answers that report "not draining".
#[derive(Debug, Clone, Copy)]
struct ClearAnswers {
    first: MonotonicTime,
    last: MonotonicTime,
}

impl ClearAnswers {
    fn extended(previous: Option<Self>, now: MonotonicTime) -> Self {
        let uninterrupted = previous.filter(|answers| now.since(answers.last) <= MAX_ANSWER_GAP);
        Self {
            first: uninterrupted.map_or(now, |answers| answers.first),
            last: now,
        }
    }

    fn are_sufficient(self) -> bool {
        self.last.since(self.first) >= DRAIN_CLEAR_TIME
    }
}

#[derive(Debug)]
struct TrackedUpstream {
    name: String,
    address: SocketAddr,
    health: Arc<UpstreamHealth>,
    /// The length of the current or last ejection; zero after a success.
    ejection: Duration,
    ejected_until: Option<MonotonicTime>,
    /// The number of consecutive failures at the end of the last ejection; zero after a success.
    failures_at_ejection_end: u32,
    /// The number of successes at the last evaluation.
    evaluated_successes: u64,
    /// The number of successes when the latency was last aged.
    aged_successes: u64,
    /// The number of drain refusals at the last evaluation.
    evaluated_refusals: u64,
    /// When the upstream was added or returned; `None` without a ramp.
    ramp_start: Option<MonotonicTime>,
    was_draining: bool,
    report: Option<(LoadReport, MonotonicTime)>,
    /// The number of failed probes since the last answer or ejection.
    probe_failures: u32,
    /// The number of successes when the first of these probes failed.
    successes_before_probes: u64,
    clear_answers: Option<ClearAnswers>,
    last_drain_sign: MonotonicTime,
}

impl TrackedUpstream {
    fn new(name: &str, address: SocketAddr, ramp_start: Option<MonotonicTime>) -> Self {
        Self {
            name: name.to_string(),
            address,
            health: Arc::new(UpstreamHealth::new()),
            ejection: Duration::ZERO,
            ejected_until: None,
            failures_at_ejection_end: 0,
            evaluated_successes: 0,
            aged_successes: 0,
            evaluated_refusals: 0,
            ramp_start,
            was_draining: false,
            report: None,
            probe_failures: 0,
            successes_before_probes: 0,
            clear_answers: None,
            last_drain_sign: MonotonicTime::default(),
        }
    }

    fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn is_warm(&self) -> bool {
        self.health.is_usable() && self.ramp_start.is_none()
    }

    fn record_probe(&mut self, result: ProbeResult, now: MonotonicTime) {
        let ProbeResult::Answered { draining } = result else {
            if self.probe_failures == 0 {
                self.successes_before_probes = self.health.successes();
            }
            self.probe_failures += 1;
            self.clear_answers = None;
            return;
        };
        self.probe_failures = 0;
        if draining {
            self.health.set_drain(DrainSource::HealthAnswer);
            self.record_drain_sign(now);
        } else {
            self.clear_answers = Some(ClearAnswers::extended(self.clear_answers, now));
        }
    }

    fn record_drain_sign(&mut self, now: MonotonicTime) {
        self.clear_answers = None;
        self.last_drain_sign = now;
    }

    fn evaluate_results(&mut self, now: MonotonicTime) {
        let successes = self.health.successes();
        if successes != self.evaluated_successes {
            self.evaluated_successes = successes;
            self.ejection = Duration::ZERO;
            self.failures_at_ejection_end = 0;
        }
        let load_cost_percent = self.load_cost_percent(now);
        let target = &self.health.load_cost_percent;
        target.store(load_cost_percent, Ordering::Relaxed);
        if self.ejected_until.is_none() && self.has_failed() {
            self.eject(now);
        }
    }

    /// Returns whether the upstream must be ejected. After an ejection one more failure is enough, because no request
    /// has succeeded since.
    fn has_failed(&self) -> bool {
        let failures = self.health.consecutive_failures();
        let limit = if self.failures_at_ejection_end > 0 {
            self.failures_at_ejection_end + 1
        } else {
            FAILURES_TO_EJECT
        };
        failures >= limit || self.probes_have_failed()
    }

    fn probes_have_failed(&self) -> bool {
        let no_success = self.health.successes() == self.successes_before_probes;
        self.probe_failures >= FAILURES_TO_EJECT && no_success
    }

    fn eject(&mut self, now: MonotonicTime) {
        self.ejection = (self.ejection * 2).clamp(INITIAL_EJECTION, MAX_EJECTION);
        self.ejected_until = Some(now + self.ejection);
        self.probe_failures = 0;
    }

    fn publish_ejection(
        &mut self,
        are_applied: bool,
        now: MonotonicTime,
        changes: &mut Vec<HealthChange>,
    ) {
        let has_ended = self.ejected_until.is_some_and(|until| until <= now);
        let was_ejected = self.health.is_ejected();
        let is_ejected = self.is_ejected(now) && are_applied;
        if has_ended {
            self.ejected_until = None;
            // Failures of requests that were sent before the ejection do not count after its end.
            self.failures_at_ejection_end = self.health.consecutive_failures();
        }
        self.health.ejected.store(is_ejected, Ordering::Release);
        let kind = match (was_ejected, is_ejected) {
            (false, true) => HealthChangeKind::Ejected(self.ejection),
            (true, false) if has_ended => {
                self.ramp_start = Some(now);
                HealthChangeKind::Returned
            }
            (true, false) => HealthChangeKind::EjectionIgnored,
            _ => return,
        };
        changes.push(self.change(kind));
    }

    fn evaluate_drains(&mut self, now: MonotonicTime, changes: &mut Vec<HealthChange>) {
        let refusals = self.health.refusals.load(Ordering::Acquire);
        if refusals != self.evaluated_refusals {
            self.evaluated_refusals = refusals;
            self.record_drain_sign(now);
        }
        let is_clear = self.clear_answers.is_some_and(ClearAnswers::are_sufficient);
        if is_clear || now.since(self.last_drain_sign) >= OBSERVED_DRAIN_TIMEOUT {
            self.clear_observed_drains();
        }
        let is_draining = self.health.is_draining();
        if is_draining == self.was_draining {
            return;
        }
        self.was_draining = is_draining;
        if is_draining {
            changes.push(self.change(HealthChangeKind::DrainStarted));
        } else {
            self.ramp_start = Some(now);
            changes.push(self.change(HealthChangeKind::DrainEnded));
        }
    }

    /// Clears the observed drains. A refusal is counted before its drain bit is set, so a refusal that is recorded
    /// concurrently is detected by the count, and its bit is set again.
    fn clear_observed_drains(&mut self) {
        if self.health.drains.load(Ordering::Acquire) & OBSERVED_DRAINS == 0 {
            return;
        }
        self.health.clear_drains(OBSERVED_DRAINS);
        if self.health.refusals.load(Ordering::Acquire) != self.evaluated_refusals {
            self.health.set_drain(DrainSource::Refusal);
        }
    }

    fn end_ramp(&mut self, now: MonotonicTime) {
        let has_ended = |start: MonotonicTime| now.since(start) >= RAMP_DURATION;
        if self.ramp_start.is_some_and(has_ended) {
            self.ramp_start = None;
        }
    }

    /// Returns the cost factor of the latest load report. A report raises the cost of a busy upstream and never lowers
    /// the cost of one that fails.
    fn load_cost_percent(&self, now: MonotonicTime) -> u32 {
        match self.report {
            Some((report, received_at)) if now.since(received_at) <= LOAD_REPORT_LIFETIME => {
                NEUTRAL_LOAD_PERCENT + report.busy_percent.min(NEUTRAL_LOAD_PERCENT)
            }
            _ => NEUTRAL_LOAD_PERCENT,
        }
    }

    fn age_latency(&mut self, mean: u64) {
        let successes = self.health.successes();
        if successes != self.aged_successes {
            self.aged_successes = successes;
            return;
        }
        let average = self.health.latency_ns.load(Ordering::Relaxed);
        self.health
            .latency_ns
            .store(moving_average(average, mean), Ordering::Relaxed);
    }

    fn change(&self, kind: HealthChangeKind) -> HealthChange {
        HealthChange {
            upstream: self.name.clone(),
            kind,
        }
    }
}
