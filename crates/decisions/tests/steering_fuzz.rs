//! Random tests of shifts, configuration generations, drains and ejections against simple oracles.
//!
//! Each test runs 256 histories with a fixed seed. `FUZZ_HISTORIES` sets another number of histories and `FUZZ_SEED`
//! another seed:
//! `FUZZ_HISTORIES=10000 cargo test --release -p coltsfootkeel-decisions --test steering_fuzz`.

mod steering_fleet;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use coltsfootkeel_counters::{RateBucket, TimeLease};
use coltsfootkeel_decisions::{
    ChoicePolicy, ChoiceRequest, ChoiceStart, ConfigFault, ConfigSource, DocumentOutcome,
    GenerationTracker, HealthEvaluator, LinkMeter, LinkRegistry, OfferAction, ProbeResult,
    RampPolicy, ShiftRegistry, ShiftTable, TierTable, UpstreamHandle, UpstreamHealth,
};
use coltsfootkeel_model::{
    Arena, ArenaKey, ConfigVersion, ContentDigest, GenerationNumber, RegionKey, UpstreamKey,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use steering_fleet::{
    FleetText, POOL, ROUTE, RandomSequence, at_ms, domain, new_evaluator, region, shift,
    upstream_handles,
};

/// Returns the number in an environment variable, or `default` if it is not set.
fn env_number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{variable} must be a number, got {text:?}"))
    })
}

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: u32::try_from(env_number("FUZZ_HISTORIES", 256)).expect("at most 2^32 histories"),
        rng_seed: RngSeed::Fixed(env_number("FUZZ_SEED", 20_261_204)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

// Shifts

const SHIFT_INSTANCES: usize = 3;
const SHIFT_TICK_MS: u64 = 10;
const LEASE_MS: u64 = 250;

/// The cap and the state of the shift in one generation of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CapTerms {
    /// The percentage of the requests that may move.
    Share(u64),
    /// The requests per second that may move.
    Rate(u64),
    /// The shift is paused, so that no request may move.
    Paused,
}

impl CapTerms {
    fn render(self) -> String {
        let (cap, state) = match self {
            Self::Share(percent) => (format!("share_percent: {percent}"), "active"),
            Self::Rate(rate) => (format!("rate_per_s: {rate}"), "active"),
            Self::Paused => ("share_percent: 50".to_string(), "paused"),
        };
        format!(
            "{{name: out, route: confirmations, from: penang, to: johor, cap: {{{cap}}}, state: {state}}}"
        )
    }

    fn rate(self) -> u64 {
        match self {
            Self::Rate(rate) => rate,
            _ => 0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum ShiftStep {
    /// An operator commits a generation with the given cap.
    Commit(CapTerms),
    /// An instance applies the newest generation and may have skipped earlier ones.
    Deliver(usize),
    /// Each of several callers sends `per_caller` requests to one instance. The destination is full for one
    /// request in `full_interval`, or for none if `full_interval` is 1.
    Requests {
        instance: usize,
        callers: u64,
        per_caller: u64,
        full_interval: u64,
    },
    /// The given number of milliseconds passes. Paused instances neither refill their buckets nor renew their leases.
    Wait(u64),
    /// An instance is paused.
    Pause(usize),
    /// A paused instance continues.
    Resume(usize),
}

fn cap_terms() -> impl Strategy<Value = CapTerms> {
    prop_oneof![
        4 => prop_oneof![Just(1), Just(10), Just(30), Just(100), 0_u64..=100].prop_map(CapTerms::Share),
        3 => prop_oneof![Just(3), Just(20), Just(200)].prop_map(CapTerms::Rate),
        1 => Just(CapTerms::Paused),
    ]
}

fn shift_steps() -> impl Strategy<Value = Vec<ShiftStep>> {
    let step = prop_oneof![
        2 => cap_terms().prop_map(ShiftStep::Commit),
        4 => (0..SHIFT_INSTANCES).prop_map(ShiftStep::Deliver),
        8 => (0..SHIFT_INSTANCES, 1_u64..4, 1_u64..60, 1_u64..8).prop_map(
            |(instance, callers, per_caller, full_interval)|
                ShiftStep::Requests { instance, callers, per_caller, full_interval }
        ),
        5 => (1_u64..120).prop_map(|ticks| ShiftStep::Wait(ticks * SHIFT_TICK_MS)),
        1 => (0..SHIFT_INSTANCES).prop_map(ShiftStep::Pause),
        1 => (0..SHIFT_INSTANCES).prop_map(ShiftStep::Resume),
    ];
    prop::collection::vec(step, 10..60)
}

/// An instance with its part of the shift.
///
/// In place of the loan ledger, each instance has a third of the rate and a burst of a third of one second's rate.
struct ShiftInstance {
    registry: ShiftRegistry,
    table: Option<ShiftTable>,
    bucket: Arc<RateBucket>,
    lease: TimeLease,
    /// The generation in force, as an index of [`ShiftHistory::generations`].
    generation: usize,
    paused: bool,
    /// The time of the last refill and renewal.
    last_tick_ms: u64,
}

impl ShiftInstance {
    fn new() -> Self {
        Self {
            registry: ShiftRegistry::new(),
            table: None,
            bucket: Arc::new(RateBucket::new()),
            lease: TimeLease::new(),
            generation: 0,
            paused: false,
            last_tick_ms: 0,
        }
    }

    /// Returns the share of one instance in thousandths of a request per second.
    fn share_milli(terms: CapTerms) -> i64 {
        i64::try_from(terms.rate() * 1_000 / SHIFT_INSTANCES as u64).expect("a small rate")
    }

    /// Renews the lease and refills the bucket, unless the instance is paused.
    fn tick(&mut self, terms: CapTerms, now_ms: u64) {
        if self.paused {
            return;
        }
        self.last_tick_ms = now_ms;
        self.lease
            .renew(at_ms(now_ms), Duration::from_millis(LEASE_MS));
        let share = Self::share_milli(terms);
        self.bucket.refill(share * 10 / 1_000);
    }
}

/// The oracle's counts of requests in one period, that is, consecutive generations with the same cap.
#[derive(Debug, Default)]
struct PeriodCount {
    /// The number of requests, moved or not.
    seen: u64,
    moved: u64,
    /// The time of each move.
    moved_at_ms: Vec<u64>,
    /// The number of moves after the lease of a paused instance had expired.
    moved_late: u64,
}

/// The model of a fleet with one shift.
struct ShiftHistory {
    now_ms: u64,
    /// The cap of each generation and the number of its period.
    generations: Vec<(CapTerms, usize)>,
    instances: Vec<ShiftInstance>,
    /// The counts of all instances together by the number of the period.
    periods: HashMap<usize, PeriodCount>,
}

impl ShiftHistory {
    fn new() -> Self {
        Self {
            now_ms: 1_000,
            generations: vec![(CapTerms::Paused, 0)],
            instances: (0..SHIFT_INSTANCES).map(|_| ShiftInstance::new()).collect(),
            periods: HashMap::new(),
        }
    }

    fn apply(&mut self, step: ShiftStep) {
        match step {
            ShiftStep::Commit(terms) => self.commit(terms),
            ShiftStep::Deliver(instance) => self.deliver(instance),
            ShiftStep::Requests {
                instance,
                callers,
                per_caller,
                full_interval,
            } => self.request(instance, callers, per_caller, full_interval),
            ShiftStep::Wait(length) => self.wait(length),
            ShiftStep::Pause(instance) => self.instances[instance].paused = true,
            ShiftStep::Resume(instance) => self.instances[instance].paused = false,
        }
    }

    fn commit(&mut self, terms: CapTerms) {
        let (before, period) = self.generations[self.generations.len() - 1];
        let period = if before == terms { period } else { period + 1 };
        self.generations.push((terms, period));
    }

    fn deliver(&mut self, index: usize) {
        let newest = self.generations.len() - 1;
        let (terms, _) = self.generations[newest];
        let instance = &mut self.instances[index];
        if newest == 0 || instance.paused {
            return;
        }
        let text = FleetText::new(&[("od-0", "penang-a"), ("od-1", "johor-a")]);
        let config = text.with_shift(&terms.render()).parse();
        instance
            .bucket
            .set_capacity(ShiftInstance::share_milli(terms));
        instance.generation = newest;
        let bucket = Arc::clone(&instance.bucket);
        let generation = GenerationNumber(newest as u64);
        let table = instance
            .registry
            .apply(&config, generation, |_| Arc::clone(&bucket));
        instance.table = Some(table);
    }

    fn request(&mut self, index: usize, callers: u64, per_caller: u64, full_interval: u64) {
        let instance = &self.instances[index];
        let Some(table) = &instance.table else {
            return;
        };
        // The first region of the configuration is penang.
        let home = RegionKey::from_index(0);
        let now = at_ms(self.now_ms);
        let moved = AtomicU64::new(0);
        thread::scope(|scope| {
            for _ in 0..callers {
                scope.spawn(|| {
                    for request in 0..per_caller {
                        let Some(shift_move) = table.decide(ROUTE(), home, &instance.lease, now)
                        else {
                            continue;
                        };
                        if request % full_interval == full_interval - 1 && full_interval > 1 {
                            table.cancel_move(shift_move);
                        } else {
                            moved.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                });
            }
        });
        let (_, period) = self.generations[instance.generation];
        let is_late = self.now_ms >= instance.last_tick_ms + LEASE_MS;
        let count = self.periods.entry(period).or_default();
        if is_late {
            count.moved_late += moved.load(Ordering::SeqCst);
        }
        count.seen += callers * per_caller;
        count.moved += moved.load(Ordering::SeqCst);
        let times = (0..moved.load(Ordering::SeqCst)).map(|_| self.now_ms);
        count.moved_at_ms.extend(times);
    }

    fn wait(&mut self, length: u64) {
        for _ in 0..length / SHIFT_TICK_MS {
            self.now_ms += SHIFT_TICK_MS;
            for instance in &mut self.instances {
                let (terms, _) = self.generations[instance.generation];
                instance.tick(terms, self.now_ms);
            }
        }
    }

    /// Checks the counts of each period against its cap.
    fn check(&self) -> Result<(), TestCaseError> {
        for (terms, period) in &self.generations {
            let Some(count) = self.periods.get(period) else {
                continue;
            };
            match terms {
                CapTerms::Paused => prop_assert_eq!(count.moved, 0, "paused in period {}", period),
                CapTerms::Share(percent) => prop_assert!(
                    count.moved * 100 <= count.seen * percent,
                    "{} of {} moved at {}%",
                    count.moved,
                    count.seen,
                    percent
                ),
                CapTerms::Rate(rate) => {
                    prop_assert_eq!(count.moved_late, 0, "moved by a paused instance");
                    check_windows(&count.moved_at_ms, *rate)?;
                }
            }
        }
        Ok(())
    }
}

/// Checks the number of moved requests in every time window that starts and ends with one.
fn check_windows(moved_at_ms: &[u64], rate: u64) -> Result<(), TestCaseError> {
    let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
    for time in moved_at_ms {
        *counts.entry(*time).or_default() += 1;
    }
    for start in counts.keys() {
        let mut moved = 0;
        for (end, count) in counts.range(start..) {
            moved += count;
            // The burst is one second's rate, and the refill of a whole tick may fall into the window.
            let allowed_milli = (end - start + SHIFT_TICK_MS) * rate + rate * 1_000;
            prop_assert!(
                moved * 1_000 <= allowed_milli,
                "{moved} from {start} to {end} at {rate}/s"
            );
        }
    }
    Ok(())
}

// Generations

const CONFIG_INSTANCES: usize = 3;

#[derive(Debug, Clone, Copy)]
enum ConfigStep {
    /// An operator commits a generation that follows the one at the platform. `salt` makes generations of equal number
    /// differ.
    Commit { valid: bool, salt: u8 },
    /// The platform restarts without the given number of its latest documents.
    Rollback(usize),
    /// An instance reads the document of the platform, which may be damaged in transit.
    Watch { instance: usize, damaged: bool },
    /// One instance pushes its document to another. It arrives `times` times; zero means that it is lost.
    Push {
        from: usize,
        to: usize,
        times: usize,
        damaged: bool,
    },
    /// A new instance replaces one and fetches the document of a neighbour.
    Replace { instance: usize, neighbour: usize },
}

fn config_steps() -> impl Strategy<Value = Vec<ConfigStep>> {
    let instance = 0..CONFIG_INSTANCES;
    let damaged = || prop::bool::weighted(0.1);
    let step = prop_oneof![
        4 => (prop::bool::weighted(0.8), any::<u8>()).prop_map(|(valid, salt)| ConfigStep::Commit { valid, salt }),
        2 => (0_usize..6).prop_map(ConfigStep::Rollback),
        6 => (instance.clone(), damaged()).prop_map(|(instance, damaged)| ConfigStep::Watch { instance, damaged }),
        6 => (instance.clone(), instance.clone(), 0_usize..3, damaged())
            .prop_map(|(from, to, times, damaged)| ConfigStep::Push { from, to, times, damaged }),
        1 => (instance.clone(), instance).prop_map(|(instance, neighbour)| ConfigStep::Replace { instance, neighbour }),
    ];
    prop::collection::vec(step, 10..80)
}

/// The number of a generation and its text.
type ConfigDocument = (u64, String);

fn version_of(document: &ConfigDocument) -> ConfigVersion {
    ConfigVersion {
        generation: GenerationNumber(document.0),
        digest: ContentDigest::of_text(&document.1),
    }
}

fn findings_of(text: &str) -> Option<String> {
    text.starts_with("bad").then(|| "1:1: bad".to_string())
}

struct ConfigInstance {
    tracker: GenerationTracker,
    /// The document in force.
    document: Option<ConfigDocument>,
}

/// The model of the platform and a fleet that distributes the configuration.
struct ConfigHistory {
    second: u64,
    /// The documents of the platform, oldest first; the last one is current.
    platform: Vec<ConfigDocument>,
    instances: Vec<ConfigInstance>,
}

impl ConfigHistory {
    fn new() -> Self {
        Self {
            second: 1,
            platform: Vec::new(),
            instances: (0..CONFIG_INSTANCES)
                .map(|_| Self::new_instance(0))
                .collect(),
        }
    }

    fn new_instance(second: u64) -> ConfigInstance {
        ConfigInstance {
            tracker: GenerationTracker::new(at_ms(second * 1_000)),
            document: None,
        }
    }

    fn apply(&mut self, step: ConfigStep) -> Result<(), TestCaseError> {
        self.second += 1;
        match step {
            ConfigStep::Commit { valid, salt } => {
                let generation = self.platform.last().map_or(1, |document| document.0 + 1);
                let kind = if valid { "good" } else { "bad" };
                self.platform
                    .push((generation, format!("{kind} {generation} {salt}")));
                Ok(())
            }
            ConfigStep::Rollback(steps) => {
                let kept = self.platform.len().saturating_sub(steps);
                self.platform.truncate(kept);
                Ok(())
            }
            ConfigStep::Watch { instance, damaged } => self.watch(instance, damaged),
            ConfigStep::Push {
                from,
                to,
                times,
                damaged,
            } => (0..times).try_for_each(|_| self.push(from, to, ConfigSource::Peer, damaged)),
            ConfigStep::Replace {
                instance,
                neighbour,
            } => {
                self.instances[instance] = Self::new_instance(self.second);
                self.push(neighbour, instance, ConfigSource::Neighbour, false)
            }
        }
    }

    /// Offers the document of the platform to an instance, and writes back a newer one.
    fn watch(&mut self, index: usize, damaged: bool) -> Result<(), TestCaseError> {
        let Some(platform_document) = self.platform.last().cloned() else {
            let action = self.instances[index].tracker.evaluate_empty_platform();
            if action == Some(OfferAction::OverwriteStale) {
                self.platform.extend(self.instances[index].document.clone());
            }
            return Ok(());
        };
        let action = self.offer(index, ConfigSource::Platform, &platform_document, damaged)?;
        if action == OfferAction::OverwriteStale {
            let own_document = self.instances[index]
                .document
                .clone()
                .expect("a configuration");
            prop_assert!(
                own_document.0 > platform_document.0,
                "{own_document:?} written over {platform_document:?}"
            );
            self.platform.push(own_document);
        }
        Ok(())
    }

    fn push(
        &mut self,
        from: usize,
        to: usize,
        source: ConfigSource,
        damaged: bool,
    ) -> Result<(), TestCaseError> {
        if let Some(document) = self.instances[from].document.clone() {
            self.offer(to, source, &document, damaged)?;
        }
        Ok(())
    }

    /// Offers a document to an instance and checks the oracle: the generation in force only grows, and no document that
    /// is invalid, damaged or of the same generation comes into force.
    fn offer(
        &mut self,
        index: usize,
        source: ConfigSource,
        document: &ConfigDocument,
        damaged: bool,
    ) -> Result<OfferAction, TestCaseError> {
        let now = at_ms(self.second * 1_000);
        let instance = &mut self.instances[index];
        let offered = version_of(document);
        let action = instance.tracker.evaluate_offer(source, offered, now);
        let text = if damaged {
            format!("{} damaged", document.1)
        } else {
            document.1.clone()
        };
        // The document is handled whatever the action is, as if the version in force had changed while it was fetched.
        let findings = findings_of(&text);
        let is_invalid = findings.is_some();
        let outcome = instance
            .tracker
            .handle_document(source, offered, &text, findings, now);
        if outcome == DocumentOutcome::InForce {
            let before = instance.document.as_ref().map_or(0, |document| document.0);
            prop_assert!(
                document.0 > before,
                "generation {before} replaced by {}",
                document.0
            );
            prop_assert!(!damaged && !is_invalid, "{text} came into force");
            instance.document = Some(document.clone());
        }
        let in_force = instance.tracker.in_force();
        prop_assert_eq!(in_force, instance.document.as_ref().map(version_of));
        Ok(action)
    }

    /// Lets every instance read the platform and push to all others, then checks that all have the same generation and
    /// that differing documents of one generation are reported.
    fn converge(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..3 {
            for from in 0..CONFIG_INSTANCES {
                self.second += 1;
                self.watch(from, false)?;
                for to in 0..CONFIG_INSTANCES {
                    self.push(from, to, ConfigSource::Peer, false)?;
                }
            }
        }
        let generation_of =
            |instance: &ConfigInstance| instance.document.as_ref().map(|document| document.0);
        let generations: Vec<_> = self.instances.iter().map(generation_of).collect();
        prop_assert!(
            generations.windows(2).all(|pair| pair[0] == pair[1]),
            "{generations:?}"
        );
        let platform_generation = self.platform.last().map(|document| document.0);
        prop_assert!(
            platform_generation >= generations[0],
            "the platform has generation {platform_generation:?} and the instances have {generations:?}"
        );
        for instance in &self.instances {
            for other in &self.instances {
                let is_different = instance.document != other.document;
                let is_conflict =
                    |fault: &ConfigFault| matches!(fault, ConfigFault::Conflict { .. });
                let is_reported = instance
                    .tracker
                    .faults()
                    .any(|fault| is_conflict(&fault.fault));
                prop_assert!(
                    !is_different || is_reported,
                    "two documents of one generation and no reported conflict"
                );
            }
        }
        Ok(())
    }
}

// Drains

const DRAIN_POOL_SIZE: usize = 5;

/// The health endpoint lags behind a change of the drain by less than this time.
const HEALTH_LAG_MS: u64 = 8_000;

#[derive(Debug, Clone, Copy)]
enum DrainStep {
    /// The upstream starts to drain, or no longer drains.
    ChangeDrain { upstream: usize, draining: bool },
    /// A notice arrives from a peer to which the upstream refused a request.
    PeerNotice(usize),
    /// The health endpoint is probed. Its answer lags by `lag_ms`.
    Probe {
        upstream: usize,
        lag_ms: u64,
        failed: bool,
    },
    /// The given number of requests is sent, with two attempts each.
    Requests(u64),
    /// The given number of milliseconds passes.
    Wait(u64),
    /// The control thread applies a configuration without changes.
    Apply,
}

fn drain_steps() -> impl Strategy<Value = Vec<DrainStep>> {
    let upstream = 0..DRAIN_POOL_SIZE;
    let step = prop_oneof![
        2 => (upstream.clone(), prop::bool::weighted(0.7))
            .prop_map(|(upstream, draining)| DrainStep::ChangeDrain { upstream, draining }),
        2 => upstream.clone().prop_map(DrainStep::PeerNotice),
        6 => (upstream, 0..HEALTH_LAG_MS, prop::bool::weighted(0.1))
            .prop_map(|(upstream, lag_ms, failed)| DrainStep::Probe { upstream, lag_ms, failed }),
        4 => (1_u64..40).prop_map(DrainStep::Requests),
        6 => (1_u64..4_000).prop_map(DrainStep::Wait),
        1 => Just(DrainStep::Apply),
    ];
    prop::collection::vec(step, 20..120)
}

/// The model of an instance and the upstreams of one pool, which start and stop draining.
struct DrainHistory {
    now_ms: u64,
    text: FleetText,
    evaluator: HealthEvaluator,
    handles: Arena<UpstreamKey, UpstreamHandle>,
    links: LinkMeter,
    tiers: TierTable,
    /// When each upstream started to drain; `None` if it is not draining.
    draining_since: [Option<u64>; DRAIN_POOL_SIZE],
    /// When each upstream last started or stopped draining.
    drain_changed_at: [u64; DRAIN_POOL_SIZE],
    /// Whether the instance has received a sign of the current drain of each upstream.
    drain_known: [bool; DRAIN_POOL_SIZE],
    random: RandomSequence,
}

impl DrainHistory {
    fn new() -> Self {
        let text = FleetText::in_one_domain(DRAIN_POOL_SIZE);
        let config = text.parse();
        let (evaluator, records) = new_evaluator(&config, RampPolicy::LINEAR);
        Self {
            now_ms: 10_000,
            evaluator,
            handles: upstream_handles(&records, 50),
            links: LinkRegistry::new().apply(&config, region(&config, "penang"), 1, at_ms(0)),
            tiers: TierTable::build(&config, domain(&config, "penang-a")),
            text,
            draining_since: [None; DRAIN_POOL_SIZE],
            drain_changed_at: [0; DRAIN_POOL_SIZE],
            drain_known: [false; DRAIN_POOL_SIZE],
            random: RandomSequence(5),
        }
    }

    fn apply(&mut self, step: DrainStep) -> Result<(), TestCaseError> {
        let now = at_ms(self.now_ms);
        match step {
            DrainStep::ChangeDrain { upstream, draining } => self.change_drain(upstream, draining),
            DrainStep::PeerNotice(upstream) => {
                if self.draining_since[upstream].is_some() {
                    self.drain_known[upstream] = true;
                    self.evaluator
                        .record_peer_drain(&format!("od-{upstream}"), true, now);
                }
            }
            DrainStep::Probe {
                upstream,
                lag_ms,
                failed,
            } => self.probe(upstream, lag_ms, failed),
            DrainStep::Requests(count) => return self.request(count),
            DrainStep::Wait(length) => {
                // The control thread evaluates the health each second.
                for second in self.now_ms / 1_000..(self.now_ms + length) / 1_000 {
                    self.evaluator.evaluate(at_ms((second + 1) * 1_000));
                }
                self.now_ms += length;
            }
            DrainStep::Apply => {
                let records = self.evaluator.apply(&self.text.parse(), now);
                self.handles = upstream_handles(&records, 50);
            }
        }
        Ok(())
    }

    fn change_drain(&mut self, upstream: usize, draining: bool) {
        let was_draining = self.draining_since[upstream].is_some();
        // An upstream does not start and stop draining faster than its health endpoint follows.
        if was_draining == draining || self.now_ms - self.drain_changed_at[upstream] < HEALTH_LAG_MS
        {
            return;
        }
        self.drain_changed_at[upstream] = self.now_ms;
        self.draining_since[upstream] = draining.then_some(self.now_ms);
        self.drain_known[upstream] = false;
    }

    fn probe(&mut self, upstream: usize, lag_ms: u64, failed: bool) {
        let since = self.draining_since[upstream];
        let draining = since.is_some_and(|since| since + lag_ms <= self.now_ms);
        let result = if failed {
            ProbeResult::Failed
        } else {
            ProbeResult::Answered { draining }
        };
        self.drain_known[upstream] |= draining && !failed;
        let now = at_ms(self.now_ms);
        self.evaluator
            .record_probe(&format!("od-{upstream}"), result, now);
    }

    /// Sends requests. A draining upstream refuses each of them, and the refusal is a sign of the drain.
    fn request(&mut self, count: u64) -> Result<(), TestCaseError> {
        for _ in 0..count {
            let mut tried: Vec<UpstreamKey> = Vec::new();
            for _ in 0..2 {
                let request = ChoiceRequest {
                    pool: POOL(),
                    start: ChoiceStart::Home,
                    tried: &tried,
                    random: self.random.next(),
                    handles: &self.handles,
                    links: &self.links,
                    policy: ChoicePolicy::TWO_CHOICES,
                };
                let Some(chosen) = self.tiers.choose(request) else {
                    break;
                };
                prop_assert!(!tried.contains(&chosen), "tried twice");
                let index = chosen.index();
                prop_assert!(
                    !self.drain_known[index],
                    "od-{} is chosen although a sign of its drain was received",
                    index
                );
                let handle = &self.handles[chosen];
                if self.draining_since[index].is_some() {
                    handle.health.record_drain_refusal();
                    self.drain_known[index] = true;
                } else {
                    handle.health.record_success(Duration::from_millis(5));
                }
                handle.slots.release();
                tried.push(chosen);
            }
        }
        Ok(())
    }
}

// Ejections

#[derive(Debug, Clone, Copy)]
enum EjectionStep {
    /// Attempts of an upstream fail.
    Fail { upstream: usize, times: u32 },
    /// Connections to an upstream cannot be opened.
    ConnectError { upstream: usize, times: u32 },
    /// An attempt of an upstream is answered.
    Succeed(usize),
    /// A notice from a peer that an upstream is draining, or no longer is.
    Drain(usize, bool),
    /// The health endpoint of an upstream is probed.
    Probe { upstream: usize, failed: bool },
    /// The health is evaluated after the given number of milliseconds.
    Evaluate(u64),
    /// A configuration changes the number of upstreams in the pool.
    Resize(usize),
}

fn ejection_steps() -> impl Strategy<Value = (usize, Vec<EjectionStep>)> {
    let upstream = 0_usize..7;
    let step = prop_oneof![
        6 => (upstream.clone(), 1_u32..9).prop_map(|(upstream, times)| EjectionStep::Fail { upstream, times }),
        2 => (upstream.clone(), 1_u32..9).prop_map(|(upstream, times)| EjectionStep::ConnectError { upstream, times }),
        2 => upstream.clone().prop_map(EjectionStep::Succeed),
        2 => (upstream.clone(), any::<bool>()).prop_map(|(upstream, draining)| EjectionStep::Drain(upstream, draining)),
        2 => (upstream, any::<bool>()).prop_map(|(upstream, failed)| EjectionStep::Probe { upstream, failed }),
        6 => (100_u64..5_000).prop_map(EjectionStep::Evaluate),
        1 => (1_usize..8).prop_map(EjectionStep::Resize),
    ];
    (1_usize..8, prop::collection::vec(step, 10..100))
}

/// The model of an instance and one pool of upstreams.
struct EjectionHistory {
    now_ms: u64,
    evaluator: HealthEvaluator,
    records: Vec<Arc<UpstreamHealth>>,
}

impl EjectionHistory {
    fn new(pool: usize) -> Self {
        let mut history = Self {
            now_ms: 0,
            evaluator: HealthEvaluator::new(RampPolicy::LINEAR),
            records: Vec::new(),
        };
        history.resize(pool);
        history
    }

    fn resize(&mut self, pool: usize) {
        let config = FleetText::in_one_domain(pool).parse();
        let records = self.evaluator.apply(&config, at_ms(self.now_ms));
        self.records = records
            .iter()
            .map(|(_, health)| Arc::clone(health))
            .collect();
        self.evaluator.evaluate(at_ms(self.now_ms));
    }

    fn apply(&mut self, step: EjectionStep) {
        let now = at_ms(self.now_ms);
        match step {
            EjectionStep::Fail { upstream, times } => self.update(upstream, |health| {
                (0..times).for_each(|_| health.record_failure());
            }),
            EjectionStep::ConnectError { upstream, times } => self.update(upstream, |health| {
                (0..times).for_each(|_| health.record_connect_error());
            }),
            EjectionStep::Succeed(upstream) => {
                self.update(upstream, |health| {
                    health.record_success(Duration::from_millis(5));
                });
            }
            EjectionStep::Drain(upstream, draining) => {
                self.evaluator
                    .record_peer_drain(&format!("od-{upstream}"), draining, now);
                // A drain takes effect immediately and may leave too few usable upstreams until the next evaluation, so
                // the health is evaluated before the check.
                self.evaluator.evaluate(now);
            }
            EjectionStep::Probe { upstream, failed } => {
                let result = if failed {
                    ProbeResult::Failed
                } else {
                    ProbeResult::Answered { draining: false }
                };
                self.evaluator
                    .record_probe(&format!("od-{upstream}"), result, now);
            }
            EjectionStep::Evaluate(after) => {
                self.now_ms += after;
                self.evaluator.evaluate(at_ms(self.now_ms));
            }
            EjectionStep::Resize(pool) => self.resize(pool),
        }
    }

    /// Applies a change to the health of an upstream that is in the pool.
    fn update(&self, upstream: usize, change: impl Fn(&UpstreamHealth)) {
        if let Some(health) = self.records.get(upstream) {
            change(health);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let not_draining = self.records.iter().filter(|health| !health.is_draining());
        let usable = self
            .records
            .iter()
            .filter(|health| health.is_usable())
            .count();
        let not_draining = not_draining.count();
        prop_assert!(
            usable * 2 >= not_draining,
            "{usable} of {not_draining} upstreams are usable"
        );
        let allowed = self
            .records
            .iter()
            .all(|health| health.allowed_slots(3) >= 1);
        prop_assert!(allowed, "a ramp allows no slot");
        let is_warm =
            |health: &Arc<UpstreamHealth>| health.is_usable() && health.ramp_permille() == 1_000;
        prop_assert!(
            not_draining == 0 || self.records.iter().any(is_warm),
            "no usable upstream is warm"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(settings())]

    /// Guards against a shift that moves more requests than its cap allows. This comes about if counts or tokens of an
    /// earlier cap are used for a later one, if concurrent callers pass the same check, or if an instance that was
    /// paused continues with an expired lease. Generations reach the instances at different times or not at all.
    #[test]
    fn shifts_stay_within_their_caps(steps in shift_steps()) {
        let mut history = ShiftHistory::new();
        for step in steps {
            history.apply(step);
        }
        history.check()?;
    }

    /// Guards against a configuration that reverts to an older generation, is replaced by another one of the same
    /// number, or differs between instances without a report. This comes about when the platform restarts with older
    /// data, when documents are lost, repeated or damaged in transit, and when new instances fetch the document of a
    /// neighbour.
    #[test]
    fn generations_only_move_forward(steps in config_steps()) {
        let mut history = ConfigHistory::new();
        for step in steps {
            history.apply(step)?;
        }
        history.converge()?;
    }

    /// Guards against a request to an upstream after the instance has received a sign of its drain: a refusal, a notice
    /// of a peer, or a health answer. This comes about if a lagging health answer ends a drain that has not ended.
    #[test]
    fn draining_upstreams_receive_no_requests(steps in drain_steps()) {
        let mut history = DrainHistory::new();
        for step in steps {
            history.apply(step)?;
        }
    }

    /// Guards against a pool without enough usable upstreams: more than half of the upstreams that are not draining
    /// are ejected, or all usable ones are cold. This comes about if the limit of the ejections counts upstreams that
    /// are draining or were removed, or if a ramp applies without a warm upstream.
    #[test]
    fn ejections_leave_half_of_a_pool((pool, steps) in ejection_steps()) {
        let mut history = EjectionHistory::new(pool);
        for step in steps {
            history.apply(step);
            history.check()?;
        }
    }
}

/// Guards against a random test of shifts that checks nothing, because the model never moves a request: a table that is
/// not applied or a bucket that is never filled would not be detected.
#[test]
fn shift_histories_move_requests() {
    let mut history = ShiftHistory::new();
    for step in [
        ShiftStep::Commit(CapTerms::Share(10)),
        ShiftStep::Deliver(0),
        ShiftStep::Requests {
            instance: 0,
            callers: 3,
            per_caller: 100,
            full_interval: 1,
        },
        ShiftStep::Commit(CapTerms::Rate(30)),
        ShiftStep::Deliver(0),
        ShiftStep::Wait(500),
        ShiftStep::Requests {
            instance: 0,
            callers: 1,
            per_caller: 100,
            full_interval: 1,
        },
    ] {
        history.apply(step);
    }
    let moved = |period: usize| history.periods[&period].moved;
    assert_eq!((moved(1), moved(2)), (30, 5));
    let config = FleetText::new(&[("od-0", "penang-a"), ("od-1", "johor-a")])
        .with_shift(&CapTerms::Rate(30).render())
        .parse();
    let table = history.instances[0].table.as_ref().unwrap();
    assert_eq!(table.meter(shift(&config, "out")).unwrap().moved(), 5);
}
