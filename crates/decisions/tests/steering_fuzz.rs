//! Random histories of shifts, generations, drains and ejections against simple oracles.
//!
//! The seed is fixed. CI runs 256 histories a test; `FUZZ_HISTORIES=10000` runs more and
//! `FUZZ_SEED` takes another seed:
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
    GenerationTracker, HealthJudge, LinkBook, LinkMeter, OfferVerdict, ProbeResult, RampPolicy,
    ShiftBook, ShiftTable, TierTable, UpstreamHealth, UpstreamLane,
};
use coltsfootkeel_model::{
    Arena, ArenaKey, ConfigVersion, ContentDigest, GenerationNumber, RegionKey, UpstreamKey,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use steering_fleet::{
    FleetText, POOL, ROUTE, RandomSequence, at_ms, domain, judged, lanes, region, shift,
};

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{variable} must be a number, got {text:?}"))
    })
}

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: u32::try_from(number_from("FUZZ_HISTORIES", 256)).expect("at most 2^32 histories"),
        rng_seed: RngSeed::Fixed(number_from("FUZZ_SEED", 20_261_204)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

// Shifts

const SHIFT_INSTANCES: usize = 3;
const SHIFT_TICK_MS: u64 = 10;
const LEASE_MS: u64 = 250;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CapTerms {
    Share(u64),
    Rate(u64),
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
    Commit(CapTerms),
    /// An instance takes over the newest generation; it may have skipped some.
    Deliver(usize),
    /// Requests from several callers at one instance; one in `full` finds the destination full.
    Requests {
        instance: usize,
        callers: u64,
        each: u64,
        full: u64,
    },
    /// Time passes; paused instances neither refill nor renew their lease.
    Wait(u64),
    Pause(usize),
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
            |(instance, callers, each, full)| ShiftStep::Requests { instance, callers, each, full }
        ),
        5 => (1_u64..120).prop_map(|ticks| ShiftStep::Wait(ticks * SHIFT_TICK_MS)),
        1 => (0..SHIFT_INSTANCES).prop_map(ShiftStep::Pause),
        1 => (0..SHIFT_INSTANCES).prop_map(ShiftStep::Resume),
    ];
    prop::collection::vec(step, 10..60)
}

/// The stand-in of the share ledger gives each instance a third of the rate and a burst of a third of
/// one second's rate.
struct ShiftInstance {
    book: ShiftBook,
    table: Option<ShiftTable>,
    bucket: Arc<RateBucket>,
    lease: TimeLease,
    generation: usize,
    paused: bool,
    ticked_ms: u64,
}

impl ShiftInstance {
    fn new() -> Self {
        Self {
            book: ShiftBook::new(),
            table: None,
            bucket: Arc::new(RateBucket::new()),
            lease: TimeLease::new(),
            generation: 0,
            paused: false,
            ticked_ms: 0,
        }
    }

    fn share_milli(terms: CapTerms) -> i64 {
        i64::try_from(terms.rate() * 1_000 / SHIFT_INSTANCES as u64).expect("a small rate")
    }

    fn tick(&mut self, terms: CapTerms, now_ms: u64) {
        if self.paused {
            return;
        }
        self.ticked_ms = now_ms;
        self.lease
            .renew(at_ms(now_ms), Duration::from_millis(LEASE_MS));
        let share = Self::share_milli(terms);
        self.bucket.refill(share * 10 / 1_000);
    }
}

/// What the destination counts for one cap period.
#[derive(Debug, Default)]
struct PeriodCount {
    seen: u64,
    moved: u64,
    moved_at_ms: Vec<u64>,
    /// Moves after the lease of a paused instance had run out.
    moved_late: u64,
}

struct ShiftHistory {
    now_ms: u64,
    /// The terms of each generation and the period they belong to.
    generations: Vec<(CapTerms, usize)>,
    instances: Vec<ShiftInstance>,
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
                each,
                full,
            } => self.request(instance, callers, each, full),
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
        let config = text.with_shift(&terms.render()).check();
        instance
            .bucket
            .set_capacity(ShiftInstance::share_milli(terms));
        instance.generation = newest;
        let bucket = Arc::clone(&instance.bucket);
        let generation = GenerationNumber(newest as u64);
        let table = instance
            .book
            .apply(&config, generation, |_| Arc::clone(&bucket));
        instance.table = Some(table);
    }

    fn request(&mut self, index: usize, callers: u64, each: u64, full: u64) {
        let instance = &self.instances[index];
        let Some(table) = &instance.table else {
            return;
        };
        // The first region of the document is penang.
        let home = RegionKey::from_index(0);
        let now = at_ms(self.now_ms);
        let moved = AtomicU64::new(0);
        thread::scope(|scope| {
            for _ in 0..callers {
                scope.spawn(|| {
                    for request in 0..each {
                        let Some(shift_move) = table.decide(ROUTE(), home, &instance.lease, now)
                        else {
                            continue;
                        };
                        if request % full == full - 1 && full > 1 {
                            table.give_back(shift_move);
                        } else {
                            moved.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                });
            }
        });
        let (_, period) = self.generations[instance.generation];
        let is_late = self.now_ms >= instance.ticked_ms + LEASE_MS;
        let count = self.periods.entry(period).or_default();
        if is_late {
            count.moved_late += moved.load(Ordering::SeqCst);
        }
        count.seen += callers * each;
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

/// Checks every window that starts and ends with a moved request.
fn check_windows(moved_at_ms: &[u64], rate: u64) -> Result<(), TestCaseError> {
    let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
    for time in moved_at_ms {
        *counts.entry(*time).or_default() += 1;
    }
    for start in counts.keys() {
        let mut moved = 0;
        for (end, count) in counts.range(start..) {
            moved += count;
            // The burst is one second's rate; the refill of a whole tick may fall into the window.
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
    /// An operator commits on top of what the platform holds, valid or not.
    Commit { valid: bool, salt: u8 },
    /// The platform restarts with older data, or with none.
    Rollback(usize),
    /// An instance reads the platform. The document may be damaged on the way.
    Watch { instance: usize, damaged: bool },
    /// One instance pushes to another, `times` times; zero is a lost push.
    Push {
        from: usize,
        to: usize,
        times: usize,
        damaged: bool,
    },
    /// An instance is replaced and asks a neighbour.
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

/// A generation and its text, as the platform and the instances keep them.
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
    document: Option<ConfigDocument>,
}

struct ConfigHistory {
    second: u64,
    platform: Vec<ConfigDocument>,
    instances: Vec<ConfigInstance>,
}

impl ConfigHistory {
    fn new() -> Self {
        Self {
            second: 1,
            platform: Vec::new(),
            instances: (0..CONFIG_INSTANCES).map(|_| Self::fresh(0)).collect(),
        }
    }

    fn fresh(second: u64) -> ConfigInstance {
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
                self.instances[instance] = Self::fresh(self.second);
                self.push(neighbour, instance, ConfigSource::Neighbour, false)
            }
        }
    }

    fn watch(&mut self, index: usize, damaged: bool) -> Result<(), TestCaseError> {
        let Some(held) = self.platform.last().cloned() else {
            let verdict = self.instances[index].tracker.offer_empty_platform();
            if verdict == Some(OfferVerdict::OverwriteStale) {
                self.platform.extend(self.instances[index].document.clone());
            }
            return Ok(());
        };
        let verdict = self.offer(index, ConfigSource::Platform, &held, damaged)?;
        if verdict == OfferVerdict::OverwriteStale {
            let ours = self.instances[index]
                .document
                .clone()
                .expect("a configuration");
            prop_assert!(ours.0 > held.0, "{ours:?} written over {held:?}");
            self.platform.push(ours);
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

    /// Offers a document and checks the oracle: the generation only grows, and nothing bad, damaged or
    /// of the same number comes into force.
    fn offer(
        &mut self,
        index: usize,
        source: ConfigSource,
        document: &ConfigDocument,
        damaged: bool,
    ) -> Result<OfferVerdict, TestCaseError> {
        let now = at_ms(self.second * 1_000);
        let instance = &mut self.instances[index];
        let offered = version_of(document);
        let verdict = instance.tracker.offer(source, offered, now);
        let text = if damaged {
            format!("{} damaged", document.1)
        } else {
            document.1.clone()
        };
        // The document is offered whatever the verdict was, as by a daemon that raced.
        let findings = findings_of(&text);
        let is_bad = findings.is_some();
        let outcome = instance
            .tracker
            .take_document(source, offered, &text, findings, now);
        if outcome == DocumentOutcome::InForce {
            let before = instance.document.as_ref().map_or(0, |document| document.0);
            prop_assert!(document.0 > before, "{before} replaced by {}", document.0);
            prop_assert!(!damaged && !is_bad, "{text} came into force");
            instance.document = Some(document.clone());
        }
        let in_force = instance.tracker.in_force();
        prop_assert_eq!(in_force, instance.document.as_ref().map(version_of));
        Ok(verdict)
    }

    /// Lets every instance read the platform and push to all others, then checks that all agree.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..3 {
            for from in 0..CONFIG_INSTANCES {
                self.second += 1;
                self.watch(from, false)?;
                for to in 0..CONFIG_INSTANCES {
                    self.push(from, to, ConfigSource::Peer, false)?;
                }
            }
        }
        let newest =
            |instance: &ConfigInstance| instance.document.as_ref().map(|document| document.0);
        let generations: Vec<_> = self.instances.iter().map(newest).collect();
        prop_assert!(
            generations.windows(2).all(|pair| pair[0] == pair[1]),
            "{generations:?}"
        );
        let held = self.platform.last().map(|document| document.0);
        prop_assert!(
            held >= generations[0],
            "the platform holds {held:?} under {generations:?}"
        );
        for instance in &self.instances {
            for other in &self.instances {
                let conflicts = instance.document != other.document;
                let is_conflict =
                    |fault: &ConfigFault| matches!(fault, ConfigFault::Conflict { .. });
                let reported = instance
                    .tracker
                    .faults()
                    .any(|fault| is_conflict(&fault.fault));
                prop_assert!(!conflicts || reported, "an unreported conflict");
            }
        }
        Ok(())
    }
}

// Drains

const DRAIN_POOL: usize = 5;

/// The health endpoint goes on saying "not draining" for up to this long.
const HEALTH_LAG_MS: u64 = 8_000;

#[derive(Debug, Clone, Copy)]
enum DrainStep {
    /// The upstream begins to leave, or stays after all.
    Turn {
        upstream: usize,
        leaving: bool,
    },
    /// A peer, which was refused, tells this instance.
    Notice(usize),
    /// A probe whose answer may lag.
    Probe {
        upstream: usize,
        lag_ms: u64,
        failed: bool,
    },
    /// Requests with two attempts each.
    Requests(u64),
    Wait(u64),
    /// The control thread takes over a configuration.
    Apply,
}

fn drain_steps() -> impl Strategy<Value = Vec<DrainStep>> {
    let upstream = 0..DRAIN_POOL;
    let step = prop_oneof![
        2 => (upstream.clone(), prop::bool::weighted(0.7)).prop_map(|(upstream, leaving)| DrainStep::Turn { upstream, leaving }),
        2 => upstream.clone().prop_map(DrainStep::Notice),
        6 => (upstream, 0..HEALTH_LAG_MS, prop::bool::weighted(0.1))
            .prop_map(|(upstream, lag_ms, failed)| DrainStep::Probe { upstream, lag_ms, failed }),
        4 => (1_u64..40).prop_map(DrainStep::Requests),
        6 => (1_u64..4_000).prop_map(DrainStep::Wait),
        1 => Just(DrainStep::Apply),
    ];
    prop::collection::vec(step, 20..120)
}

struct DrainHistory {
    now_ms: u64,
    text: FleetText,
    judge: HealthJudge,
    lanes: Arena<UpstreamKey, UpstreamLane>,
    links: LinkMeter,
    tiers: TierTable,
    /// Since when each upstream is leaving.
    leaving_since: [Option<u64>; DRAIN_POOL],
    /// When each upstream last changed between leaving and staying.
    turned_at: [u64; DRAIN_POOL],
    /// Whether this instance has heard of the drain that is on.
    heard: [bool; DRAIN_POOL],
    random: RandomSequence,
}

impl DrainHistory {
    fn new() -> Self {
        let text = FleetText::in_one_domain(DRAIN_POOL);
        let config = text.check();
        let (judge, records) = judged(&config, RampPolicy::LINEAR);
        Self {
            now_ms: 10_000,
            judge,
            lanes: lanes(&records, 50),
            links: LinkBook::new().apply(&config, region(&config, "penang"), 1, at_ms(0)),
            tiers: TierTable::build(&config, domain(&config, "penang-a")),
            text,
            leaving_since: [None; DRAIN_POOL],
            turned_at: [0; DRAIN_POOL],
            heard: [false; DRAIN_POOL],
            random: RandomSequence(5),
        }
    }

    fn apply(&mut self, step: DrainStep) -> Result<(), TestCaseError> {
        let now = at_ms(self.now_ms);
        match step {
            DrainStep::Turn { upstream, leaving } => self.turn(upstream, leaving),
            DrainStep::Notice(upstream) => {
                if self.leaving_since[upstream].is_some() {
                    self.heard[upstream] = true;
                    self.judge
                        .note_peer_drain(&format!("od-{upstream}"), true, now);
                }
            }
            DrainStep::Probe {
                upstream,
                lag_ms,
                failed,
            } => self.probe(upstream, lag_ms, failed),
            DrainStep::Requests(count) => return self.request(count),
            DrainStep::Wait(length) => {
                // The control thread judges each second.
                for second in self.now_ms / 1_000..(self.now_ms + length) / 1_000 {
                    self.judge.judge(at_ms((second + 1) * 1_000));
                }
                self.now_ms += length;
            }
            DrainStep::Apply => {
                let records = self.judge.apply(&self.text.check(), now);
                self.lanes = lanes(&records, 50);
            }
        }
        Ok(())
    }

    fn turn(&mut self, upstream: usize, leaving: bool) {
        let was_leaving = self.leaving_since[upstream].is_some();
        // An upstream does not change its mind faster than its health endpoint follows.
        if was_leaving == leaving || self.now_ms - self.turned_at[upstream] < HEALTH_LAG_MS {
            return;
        }
        self.turned_at[upstream] = self.now_ms;
        self.leaving_since[upstream] = leaving.then_some(self.now_ms);
        self.heard[upstream] = false;
    }

    fn probe(&mut self, upstream: usize, lag_ms: u64, failed: bool) {
        let since = self.leaving_since[upstream];
        let draining = since.is_some_and(|since| since + lag_ms <= self.now_ms);
        let result = if failed {
            ProbeResult::Failed
        } else {
            ProbeResult::Answered { draining }
        };
        self.heard[upstream] |= draining && !failed;
        let now = at_ms(self.now_ms);
        self.judge
            .note_probe(&format!("od-{upstream}"), result, now);
    }

    /// An upstream that leaves refuses each request; the refusal is how this instance learns of it.
    fn request(&mut self, count: u64) -> Result<(), TestCaseError> {
        for _ in 0..count {
            let mut tried: Vec<UpstreamKey> = Vec::new();
            for _ in 0..2 {
                let request = ChoiceRequest {
                    pool: POOL(),
                    start: ChoiceStart::Home,
                    tried: &tried,
                    random: self.random.next(),
                    lanes: &self.lanes,
                    links: &self.links,
                    policy: ChoicePolicy::TWO_CHOICES,
                };
                let Some(chosen) = self.tiers.choose(request) else {
                    break;
                };
                prop_assert!(!tried.contains(&chosen), "tried again");
                let index = chosen.index();
                prop_assert!(!self.heard[index], "od-{} is known to leave", index);
                let lane = &self.lanes[chosen];
                if self.leaving_since[index].is_some() {
                    lane.health.record_draining();
                    self.heard[index] = true;
                } else {
                    lane.health.record_success(Duration::from_millis(5));
                }
                lane.slots.release();
                tried.push(chosen);
            }
        }
        Ok(())
    }
}

// Ejections

#[derive(Debug, Clone, Copy)]
enum EjectionStep {
    Fail { upstream: usize, times: u32 },
    ConnectError { upstream: usize, times: u32 },
    Succeed(usize),
    Drain(usize, bool),
    Probe { upstream: usize, failed: bool },
    Judge(u64),
    Resize(usize),
}

fn ejection_steps() -> impl Strategy<Value = (usize, Vec<EjectionStep>)> {
    let upstream = 0_usize..7;
    let step = prop_oneof![
        6 => (upstream.clone(), 1_u32..9).prop_map(|(upstream, times)| EjectionStep::Fail { upstream, times }),
        2 => (upstream.clone(), 1_u32..9).prop_map(|(upstream, times)| EjectionStep::ConnectError { upstream, times }),
        2 => upstream.clone().prop_map(EjectionStep::Succeed),
        2 => (upstream.clone(), any::<bool>()).prop_map(|(upstream, on)| EjectionStep::Drain(upstream, on)),
        2 => (upstream, any::<bool>()).prop_map(|(upstream, failed)| EjectionStep::Probe { upstream, failed }),
        6 => (100_u64..5_000).prop_map(EjectionStep::Judge),
        1 => (1_usize..8).prop_map(EjectionStep::Resize),
    ];
    (1_usize..8, prop::collection::vec(step, 10..100))
}

struct EjectionHistory {
    now_ms: u64,
    judge: HealthJudge,
    records: Vec<Arc<UpstreamHealth>>,
}

impl EjectionHistory {
    fn new(pool: usize) -> Self {
        let mut history = Self {
            now_ms: 0,
            judge: HealthJudge::new(RampPolicy::LINEAR),
            records: Vec::new(),
        };
        history.resize(pool);
        history
    }

    fn resize(&mut self, pool: usize) {
        let config = FleetText::in_one_domain(pool).check();
        let records = self.judge.apply(&config, at_ms(self.now_ms));
        self.records = records
            .iter()
            .map(|(_, health)| Arc::clone(health))
            .collect();
        self.judge.judge(at_ms(self.now_ms));
    }

    fn apply(&mut self, step: EjectionStep) {
        let now = at_ms(self.now_ms);
        match step {
            EjectionStep::Fail { upstream, times } => self.on(upstream, |health| {
                (0..times).for_each(|_| health.record_failure());
            }),
            EjectionStep::ConnectError { upstream, times } => self.on(upstream, |health| {
                (0..times).for_each(|_| health.record_connect_error());
            }),
            EjectionStep::Succeed(upstream) => {
                self.on(upstream, |health| {
                    health.record_success(Duration::from_millis(5));
                });
            }
            EjectionStep::Drain(upstream, on) => {
                self.judge
                    .note_peer_drain(&format!("od-{upstream}"), on, now);
                // Between a notice and the next judgement a drained upstream may leave less than half.
                self.judge.judge(now);
            }
            EjectionStep::Probe { upstream, failed } => {
                let result = if failed {
                    ProbeResult::Failed
                } else {
                    ProbeResult::Answered { draining: false }
                };
                self.judge
                    .note_probe(&format!("od-{upstream}"), result, now);
            }
            EjectionStep::Judge(after) => {
                self.now_ms += after;
                self.judge.judge(at_ms(self.now_ms));
            }
            EjectionStep::Resize(pool) => self.resize(pool),
        }
    }

    fn on(&self, upstream: usize, change: impl Fn(&UpstreamHealth)) {
        if let Some(health) = self.records.get(upstream) {
            change(health);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let staying = self.records.iter().filter(|health| !health.is_draining());
        let usable = self
            .records
            .iter()
            .filter(|health| health.is_usable())
            .count();
        let staying = staying.count();
        prop_assert!(usable * 2 >= staying, "{usable} of {staying} usable");
        let allowed = self
            .records
            .iter()
            .all(|health| health.allowed_slots(3) >= 1);
        prop_assert!(allowed, "a ramp without a slot");
        let is_warm =
            |health: &Arc<UpstreamHealth>| health.is_usable() && health.ramp_permille() == 1_000;
        prop_assert!(
            staying == 0 || self.records.iter().any(is_warm),
            "all usable ones are cold"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(settings())]

    /// Guards against any history of changed caps, generations that reach the instances at different
    /// times or not at all, pauses and concurrent callers in which a shift moves more than its cap.
    #[test]
    fn shifts_stay_within_their_caps(steps in shift_steps()) {
        let mut history = ShiftHistory::new();
        for step in steps {
            history.apply(step);
        }
        history.check()?;
    }

    /// Guards against any history of commits, platform restarts with older data, lost, repeated or
    /// damaged documents and new instances in which a configuration reverts, is swapped or diverges
    /// without a report.
    #[test]
    fn generations_only_move_forward(steps in config_steps()) {
        let mut history = ConfigHistory::new();
        for step in steps {
            history.apply(step)?;
        }
        history.settle()?;
    }

    /// Guards against any history of refusals, notices and lagging health answers after which an
    /// instance sends a request to an upstream that it has heard is leaving.
    #[test]
    fn leaving_upstreams_receive_nothing(steps in drain_steps()) {
        let mut history = DrainHistory::new();
        for step in steps {
            history.apply(step)?;
        }
    }

    /// Guards against any history of failures, drains and changed pools that ejects more than half of
    /// a pool or leaves only cold upstreams.
    #[test]
    fn ejections_leave_half_of_a_pool((pool, steps) in ejection_steps()) {
        let mut history = EjectionHistory::new(pool);
        for step in steps {
            history.apply(step);
            history.check()?;
        }
    }
}

/// Guards against a history generator that never moves a request, which would prove nothing.
#[test]
fn shift_histories_move_requests() {
    let mut history = ShiftHistory::new();
    for step in [
        ShiftStep::Commit(CapTerms::Share(10)),
        ShiftStep::Deliver(0),
        ShiftStep::Requests {
            instance: 0,
            callers: 3,
            each: 100,
            full: 1,
        },
        ShiftStep::Commit(CapTerms::Rate(30)),
        ShiftStep::Deliver(0),
        ShiftStep::Wait(500),
        ShiftStep::Requests {
            instance: 0,
            callers: 1,
            each: 100,
            full: 1,
        },
    ] {
        history.apply(step);
    }
    let moved = |period: usize| history.periods[&period].moved;
    assert_eq!((moved(1), moved(2)), (30, 5));
    let config = FleetText::new(&[("od-0", "penang-a"), ("od-1", "johor-a")])
        .with_shift(&CapTerms::Rate(30).render())
        .check();
    let table = history.instances[0].table.as_ref().unwrap();
    assert_eq!(table.meter(shift(&config, "out")).unwrap().moved(), 5);
}
