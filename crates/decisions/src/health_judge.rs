//! The control thread's judgement of upstreams.
//!
//! Results of requests decide. Load reports and probes are weaker inputs, because the endpoints
//! that give them lag and can be wrong: a report only raises the cost of an upstream, and probes
//! eject it only while no request succeeds.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{Arena, ArenaKey, FleetConfig, UpstreamKey};

use crate::upstream_health::{
    DrainSource, FULL_RAMP_PERMILLE, LEARNED_DRAINS, NEUTRAL_LOAD_PERCENT, UpstreamHealth,
    moved_towards,
};

const FAILURES_TO_EJECT: u32 = 5;
const FIRST_EJECTION: Duration = Duration::from_secs(2);
const LONGEST_EJECTION: Duration = Duration::from_mins(1);
const RAMP_LENGTH: Duration = Duration::from_secs(20);
const FIRST_RAMP_PERMILLE: u32 = 100;
const REPORT_LIFE: Duration = Duration::from_secs(5);

/// Health answers lag and can contradict each other, so one "not draining" after a sign of a drain
/// proves nothing.
const DRAIN_CLEAR_TIME: Duration = Duration::from_secs(10);

/// Probes come each second; a longer gap than three of them breaks a series of health answers.
const ANSWER_GAP: Duration = Duration::from_secs(3);

/// Without any health answer a learned drain would keep an upstream away for good. One request that
/// is refused as "not run" is the lesser harm.
const DRAIN_FORGET_TIME: Duration = Duration::from_mins(10);

/// What an upstream says about its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The part of its capacity in use, in percent.
    pub busy_percent: u32,
}

/// What a probe of the health endpoint returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The endpoint answered.
    Answered {
        /// Whether it said that the upstream is leaving.
        draining: bool,
    },
    /// It did not answer, or with an error.
    Failed,
}

/// How the slots of an upstream that is new or back become usable.
#[derive(Debug, Clone, Copy)]
pub struct RampPolicy {
    /// The name for measurements.
    pub name: &'static str,
    /// Returns the usable part in thousandths after a time since the upstream came.
    pub permille_after: fn(Duration) -> u32,
}

impl RampPolicy {
    /// From 10% to 100% in a straight line over 20 s.
    pub const LINEAR: Self = Self {
        name: "linear ramp",
        permille_after: linear_permille,
    };

    /// All slots at once, kept for comparison.
    pub const NONE: Self = Self {
        name: "no ramp",
        permille_after: |_| FULL_RAMP_PERMILLE,
    };
}

fn linear_permille(elapsed: Duration) -> u32 {
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    let length_ms = u64::try_from(RAMP_LENGTH.as_millis()).unwrap_or(u64::MAX);
    let range = u64::from(FULL_RAMP_PERMILLE - FIRST_RAMP_PERMILLE);
    let gained = elapsed_ms.min(length_ms) * range / length_ms;
    FIRST_RAMP_PERMILLE + u32::try_from(gained).unwrap_or(0)
}

/// A change that the control thread logs and tells to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthChange {
    /// The name of the upstream.
    pub upstream: String,
    /// What changed.
    pub kind: HealthChangeKind,
}

/// What changed about an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChangeKind {
    /// It receives no requests for a time.
    Ejected(Duration),
    /// Its ejection has ended.
    Returned,
    /// It is leaving.
    DrainStarted,
    /// It is no longer leaving.
    DrainEnded,
    /// More than half of its pool would be ejected, so its ejection does not count.
    EjectionIgnored,
}

/// The control thread's judgement of all upstreams, kept by name across generations.
#[derive(Debug)]
pub struct HealthJudge {
    ramp: RampPolicy,
    pools: Vec<JudgedPool>,
    places: HashMap<String, (usize, usize)>,
}

impl HealthJudge {
    /// Makes a judge that knows no upstream.
    #[must_use]
    pub fn new(ramp: RampPolicy) -> Self {
        Self {
            ramp,
            pools: Vec::new(),
            places: HashMap::new(),
        }
    }

    /// Takes over a configuration and returns the records for its snapshot.
    ///
    /// An upstream that is added to a known pool ramps. The upstreams of a pool that this instance
    /// has not seen before do not: the instance cannot tell a cold upstream from its own start,
    /// and without a warm upstream that takes the load a ramp would only refuse requests.
    pub fn apply(
        &mut self,
        config: &FleetConfig,
        now: MonotonicTime,
    ) -> Arena<UpstreamKey, Arc<UpstreamHealth>> {
        let mut before = self.take_judged();
        let known_pools: HashSet<String> = before.keys().map(|(pool, _)| pool.clone()).collect();
        self.pools = empty_pools(config);
        self.places.clear();
        let mut records = Arena::new();
        for (key, upstream) in config.upstreams.iter() {
            let pool = &mut self.pools[upstream.pool.index()];
            let judged = before
                .remove(&(pool.name.clone(), upstream.name.clone()))
                .filter(|judged| judged.address == upstream.address)
                .unwrap_or_else(|| {
                    let ramp_start = known_pools.contains(&pool.name).then_some(now);
                    JudgedUpstream::new(&upstream.name, upstream.address, ramp_start)
                });
            let leaves = config.drains.is_upstream_draining(key, upstream.region);
            judged.health.put_drain(DrainSource::Configuration, leaves);
            records.push(Arc::clone(&judged.health));
            let place = (upstream.pool.index(), pool.upstreams.len());
            self.places.insert(upstream.name.clone(), place);
            pool.upstreams.push(judged);
        }
        for pool in &mut self.pools {
            pool.publish_ramps(self.ramp, now);
        }
        records
    }

    /// Takes in a load report.
    pub fn note_report(&mut self, upstream: &str, report: LoadReport, now: MonotonicTime) {
        if let Some(judged) = self.find(upstream) {
            judged.report = Some((report, now));
        }
    }

    /// Takes in the result of a probe of the health endpoint.
    pub fn note_probe(&mut self, upstream: &str, result: ProbeResult, now: MonotonicTime) {
        if let Some(judged) = self.find(upstream) {
            judged.note_probe(result, now);
        }
    }

    /// Takes in a peer's notice that an upstream is leaving or has come back.
    pub fn note_peer_drain(&mut self, upstream: &str, leaving: bool, now: MonotonicTime) {
        let Some(judged) = self.find(upstream) else {
            return;
        };
        judged.health.put_drain(DrainSource::PeerNotice, leaving);
        if leaving {
            judged.note_drain_sign(now);
        }
    }

    /// Judges all upstreams. Called each second; more often does no harm.
    pub fn judge(&mut self, now: MonotonicTime) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for pool in &mut self.pools {
            pool.judge(self.ramp, now, &mut changes);
        }
        changes
    }

    fn find(&mut self, upstream: &str) -> Option<&mut JudgedUpstream> {
        let (pool, position) = *self.places.get(upstream)?;
        self.pools.get_mut(pool)?.upstreams.get_mut(position)
    }

    fn take_judged(&mut self) -> HashMap<(String, String), JudgedUpstream> {
        let mut judged = HashMap::new();
        for pool in self.pools.drain(..) {
            for upstream in pool.upstreams {
                judged.insert((pool.name.clone(), upstream.name.clone()), upstream);
            }
        }
        judged
    }
}

fn empty_pools(config: &FleetConfig) -> Vec<JudgedPool> {
    config
        .pools
        .iter()
        .map(|(_, pool)| JudgedPool {
            name: pool.name.clone(),
            upstreams: Vec::new(),
        })
        .collect()
}

#[derive(Debug)]
struct JudgedPool {
    name: String,
    upstreams: Vec<JudgedUpstream>,
}

impl JudgedPool {
    fn judge(&mut self, ramp: RampPolicy, now: MonotonicTime, changes: &mut Vec<HealthChange>) {
        for upstream in &mut self.upstreams {
            upstream.judge_results(now);
            upstream.judge_drains(now, changes);
        }
        self.publish_ejections(now, changes);
        self.publish_ramps(ramp, now);
        self.age_latencies();
    }

    /// Ejects at most half of the upstreams that are not leaving. Beyond that the failures are more
    /// likely the instance's own or the route's, and an ejection would leave nothing to send to.
    fn publish_ejections(&mut self, now: MonotonicTime, changes: &mut Vec<HealthChange>) {
        let staying = |upstream: &&JudgedUpstream| !upstream.health.is_draining();
        let present = self.upstreams.iter().filter(staying).count();
        let ejected = self
            .upstreams
            .iter()
            .filter(staying)
            .filter(|upstream| upstream.is_ejected(now))
            .count();
        let counts = ejected * 2 <= present;
        for upstream in &mut self.upstreams {
            upstream.publish_ejection(counts, now, changes);
        }
    }

    /// A ramp moves load from cold upstreams to warm ones. Without a warm one it does not apply.
    fn publish_ramps(&mut self, ramp: RampPolicy, now: MonotonicTime) {
        for upstream in &mut self.upstreams {
            upstream.end_ramp(now);
        }
        let any_warm = self.upstreams.iter().any(JudgedUpstream::is_warm);
        for upstream in &self.upstreams {
            let permille = match upstream.ramp_start {
                Some(start) if any_warm => (ramp.permille_after)(now.since(start)),
                _ => FULL_RAMP_PERMILLE,
            };
            let target = &upstream.health.ramp_permille;
            target.store(permille, Ordering::Relaxed);
        }
    }

    /// An upstream that received nothing since the last judgement moves towards the mean of its
    /// pool, so that one slow answer does not keep requests away for good.
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

/// Health answers without a break that say "not draining".
#[derive(Debug, Clone, Copy)]
struct ClearAnswers {
    first: MonotonicTime,
    last: MonotonicTime,
}

impl ClearAnswers {
    fn extended(before: Option<Self>, now: MonotonicTime) -> Self {
        let unbroken = before.filter(|answers| now.since(answers.last) <= ANSWER_GAP);
        Self {
            first: unbroken.map_or(now, |answers| answers.first),
            last: now,
        }
    }

    fn are_proof(self) -> bool {
        self.last.since(self.first) >= DRAIN_CLEAR_TIME
    }
}

#[derive(Debug)]
struct JudgedUpstream {
    name: String,
    address: SocketAddr,
    health: Arc<UpstreamHealth>,
    ejection: Duration,
    ejected_until: Option<MonotonicTime>,
    failures_at_ejection: u32,
    judged_successes: u64,
    aged_successes: u64,
    judged_refusals: u64,
    ramp_start: Option<MonotonicTime>,
    was_draining: bool,
    report: Option<(LoadReport, MonotonicTime)>,
    probe_failures: u32,
    successes_before_probes: u64,
    clear_answers: Option<ClearAnswers>,
    drain_sign: MonotonicTime,
}

impl JudgedUpstream {
    fn new(name: &str, address: SocketAddr, ramp_start: Option<MonotonicTime>) -> Self {
        Self {
            name: name.to_string(),
            address,
            health: Arc::new(UpstreamHealth::new()),
            ejection: Duration::ZERO,
            ejected_until: None,
            failures_at_ejection: 0,
            judged_successes: 0,
            aged_successes: 0,
            judged_refusals: 0,
            ramp_start,
            was_draining: false,
            report: None,
            probe_failures: 0,
            successes_before_probes: 0,
            clear_answers: None,
            drain_sign: MonotonicTime::default(),
        }
    }

    fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn is_warm(&self) -> bool {
        self.health.is_usable() && self.ramp_start.is_none()
    }

    fn note_probe(&mut self, result: ProbeResult, now: MonotonicTime) {
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
            self.note_drain_sign(now);
        } else {
            self.clear_answers = Some(ClearAnswers::extended(self.clear_answers, now));
        }
    }

    fn note_drain_sign(&mut self, now: MonotonicTime) {
        self.clear_answers = None;
        self.drain_sign = now;
    }

    fn judge_results(&mut self, now: MonotonicTime) {
        let successes = self.health.successes();
        if successes != self.judged_successes {
            self.judged_successes = successes;
            self.ejection = Duration::ZERO;
            self.failures_at_ejection = 0;
        }
        let load_percent = self.load_percent(now);
        let target = &self.health.load_percent;
        target.store(load_percent, Ordering::Relaxed);
        if self.ejected_until.is_none() && self.has_failed() {
            self.eject(now);
        }
    }

    /// After an ejection one more failure is enough, because no success has come in between.
    fn has_failed(&self) -> bool {
        let failures = self.health.failures_in_row();
        let limit = if self.failures_at_ejection > 0 {
            self.failures_at_ejection + 1
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
        self.ejection = (self.ejection * 2).clamp(FIRST_EJECTION, LONGEST_EJECTION);
        self.ejected_until = Some(now + self.ejection);
        self.probe_failures = 0;
    }

    fn publish_ejection(
        &mut self,
        counts: bool,
        now: MonotonicTime,
        changes: &mut Vec<HealthChange>,
    ) {
        let has_ended = self.ejected_until.is_some_and(|until| until <= now);
        let was_ejected = self.health.is_ejected();
        let is_ejected = self.is_ejected(now) && counts;
        if has_ended {
            self.ejected_until = None;
            // Failures of requests that were already running do not count against the return.
            self.failures_at_ejection = self.health.failures_in_row();
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

    fn judge_drains(&mut self, now: MonotonicTime, changes: &mut Vec<HealthChange>) {
        let refusals = self.health.refusals.load(Ordering::Acquire);
        if refusals != self.judged_refusals {
            self.judged_refusals = refusals;
            self.note_drain_sign(now);
        }
        let is_clear = self.clear_answers.is_some_and(ClearAnswers::are_proof);
        if is_clear || now.since(self.drain_sign) >= DRAIN_FORGET_TIME {
            self.clear_learned_drains();
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

    /// A refusal counts itself before it sets its bit, so one that comes in between is seen here.
    fn clear_learned_drains(&mut self) {
        if self.health.drains.load(Ordering::Acquire) & LEARNED_DRAINS == 0 {
            return;
        }
        self.health.clear_drains(LEARNED_DRAINS);
        if self.health.refusals.load(Ordering::Acquire) != self.judged_refusals {
            self.health.set_drain(DrainSource::Refusal);
        }
    }

    fn end_ramp(&mut self, now: MonotonicTime) {
        let has_ended = |start: MonotonicTime| now.since(start) >= RAMP_LENGTH;
        if self.ramp_start.is_some_and(has_ended) {
            self.ramp_start = None;
        }
    }

    /// A report raises the cost of a busy upstream and never lowers the cost of one that fails.
    fn load_percent(&self, now: MonotonicTime) -> u32 {
        match self.report {
            Some((report, heard)) if now.since(heard) <= REPORT_LIFE => {
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
            .store(moved_towards(average, mean), Ordering::Relaxed);
    }

    fn change(&self, kind: HealthChangeKind) -> HealthChange {
        HealthChange {
            upstream: self.name.clone(),
            kind,
        }
    }
}
