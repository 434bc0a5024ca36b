//! Random histories of partitions, outages, pauses and replaced instances: a withdrawn key stops working
//! within the bound that the isolation rule of its route states.
//!
//! The seed is fixed. CI runs 256 histories; `FUZZ_HISTORIES=10000` runs more and `FUZZ_SEED` takes
//! another seed:
//! `FUZZ_HISTORIES=10000 cargo test --release -p coltsfootkeel-decisions --test isolation_fuzz`.

mod steering_fleet;

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{ConfigAge, IsolationDecision, PeerConfigReport, StalenessGauge};
use coltsfootkeel_model::{
    ArenaKey, ConfigVersion, ContentDigest, DomainKey, FleetConfig, GenerationNumber,
    IsolationMode, IsolationRule, RegionKey,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use steering_fleet::{DOMAINS, FleetText, at_s};

/// One instance in each failure domain. The platform stands in the first, in the region of the first two.
const INSTANCES: usize = DOMAINS.len();
const PLATFORM_DOMAIN: usize = 0;

/// A heartbeat takes up to this long to arrive.
const TRANSIT_MS: u64 = 400;

const WITHOUT_DOUBT_S: u64 = 5;
const LIMITS_S: [u64; 3] = [0, 10, 60];

/// After this time without a fault each instance serves, whether the platform is up or not.
const CALM_S: u64 = 10;

#[derive(Debug, Clone, Copy)]
enum FaultStep {
    Cut(usize, usize),
    Heal(usize, usize),
    CutOff(usize),
    HealAll,
    PlatformDown,
    PlatformUp,
    /// An operator withdraws a key through an instance that reaches the platform.
    Withdraw(usize),
    Pause {
        instance: usize,
        seconds: u64,
    },
    /// An instance is replaced and takes the configuration of a neighbour, or of the platform.
    Replace {
        instance: usize,
        neighbour: usize,
    },
    Wait(u64),
}

fn fault_steps() -> impl Strategy<Value = Vec<FaultStep>> {
    let instance = 0..INSTANCES;
    let pair = || (0..INSTANCES, 0..INSTANCES);
    let step = prop_oneof![
        4 => pair().prop_map(|(one, other)| FaultStep::Cut(one, other)),
        3 => pair().prop_map(|(one, other)| FaultStep::Heal(one, other)),
        3 => instance.clone().prop_map(FaultStep::CutOff),
        2 => Just(FaultStep::HealAll),
        2 => Just(FaultStep::PlatformDown),
        2 => Just(FaultStep::PlatformUp),
        4 => instance.clone().prop_map(FaultStep::Withdraw),
        2 => (instance, 1_u64..90).prop_map(|(instance, seconds)| FaultStep::Pause { instance, seconds }),
        2 => pair().prop_map(|(instance, neighbour)| FaultStep::Replace { instance, neighbour }),
        12 => prop_oneof![1_u64..4, 4_u64..30, 30_u64..120].prop_map(FaultStep::Wait),
    ];
    prop::collection::vec(step, 10..60)
}

struct IsolatedInstance {
    age: ConfigAge,
    gauge: StalenessGauge,
    /// None while a new instance has no configuration and serves nothing.
    generation: Option<u64>,
    paused_until: u64,
    inbox: Vec<SentHeartbeat>,
}

#[derive(Debug, Clone, Copy)]
struct SentHeartbeat {
    from: usize,
    generation: u64,
    report: PeerConfigReport,
}

impl IsolatedInstance {
    fn new(domain: DomainKey) -> Self {
        Self {
            age: ConfigAge::new(domain),
            gauge: StalenessGauge::new(),
            generation: None,
            paused_until: 0,
            inbox: Vec::new(),
        }
    }
}

struct IsolationHistory {
    config: FleetConfig,
    second: u64,
    linked: [[bool; INSTANCES]; INSTANCES],
    platform_up: bool,
    /// The platform fails only after a second in which its instances could read the last commit.
    platform_fails: bool,
    generation: u64,
    /// The generation and time of each withdrawal.
    withdrawals: Vec<(u64, u64)>,
    instances: Vec<IsolatedInstance>,
    calm_since: u64,
}

fn version(generation: u64) -> ConfigVersion {
    ConfigVersion {
        generation: GenerationNumber(generation),
        digest: ContentDigest([u8::try_from(generation % 256).unwrap_or(0); 32]),
    }
}

impl IsolationHistory {
    fn new() -> Self {
        let instances = (0..INSTANCES)
            .map(|index| IsolatedInstance::new(DomainKey::from_index(index)))
            .collect();
        Self {
            config: FleetText::new(&[("od-0", "penang-a")]).check(),
            second: 1,
            linked: [[true; INSTANCES]; INSTANCES],
            platform_up: true,
            platform_fails: false,
            generation: 1,
            withdrawals: Vec::new(),
            instances,
            calm_since: 1,
        }
    }

    fn now(&self) -> MonotonicTime {
        at_s(self.second)
    }

    fn apply(&mut self, step: FaultStep) -> Result<(), TestCaseError> {
        match step {
            FaultStep::Cut(one, other) => self.link(one, other, false),
            FaultStep::Heal(one, other) => self.link(one, other, true),
            FaultStep::CutOff(one) => (0..INSTANCES).for_each(|other| self.link(one, other, false)),
            FaultStep::HealAll => self.linked = [[true; INSTANCES]; INSTANCES],
            FaultStep::PlatformDown => self.platform_fails = true,
            FaultStep::PlatformUp => {
                self.platform_up = true;
                self.platform_fails = false;
            }
            FaultStep::Withdraw(through) => self.withdraw(through),
            FaultStep::Pause { instance, seconds } => {
                self.instances[instance].paused_until = self.second + seconds;
            }
            FaultStep::Replace {
                instance,
                neighbour,
            } => self.replace(instance, neighbour),
            FaultStep::Wait(seconds) => return (0..seconds).try_for_each(|_| self.tick()),
        }
        Ok(())
    }

    fn link(&mut self, one: usize, other: usize, up: bool) {
        if one != other {
            self.linked[one][other] = up;
            self.linked[other][one] = up;
        }
    }

    fn reaches_platform(&self, index: usize) -> bool {
        self.platform_up && self.linked[index][PLATFORM_DOMAIN]
    }

    fn is_paused(&self, index: usize) -> bool {
        self.second < self.instances[index].paused_until
    }

    fn withdraw(&mut self, through: usize) {
        if self.reaches_platform(through) && !self.is_paused(through) {
            self.generation += 1;
            self.withdrawals.push((self.generation, self.second));
        }
    }

    fn replace(&mut self, index: usize, neighbour: usize) {
        self.calm_since = self.second;
        self.instances[index] = IsolatedInstance::new(DomainKey::from_index(index));
        if self.linked[index][neighbour] && !self.is_paused(neighbour) {
            self.instances[index].generation = self.instances[neighbour].generation;
        }
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.second += 1;
        let running: Vec<usize> = (0..INSTANCES)
            .filter(|index| !self.is_paused(*index))
            .collect();
        // After a pause, request threads may run before the control thread.
        self.check(&running)?;
        for index in &running {
            self.resume(*index);
            self.contact_platform(*index);
        }
        for index in &running {
            self.send_heartbeats(*index);
        }
        for index in &running {
            self.receive(*index);
            self.publish(*index);
        }
        self.track_calm();
        if self.platform_fails {
            self.platform_up = false;
            self.platform_fails = false;
        }
        self.check(&running)
    }

    fn resume(&mut self, index: usize) {
        let now = self.now();
        let instance = &mut self.instances[index];
        if instance.paused_until > 0 {
            instance.paused_until = 0;
            instance.age.note_pause(now);
        }
    }

    fn contact_platform(&mut self, index: usize) {
        let reached = self.reaches_platform(index);
        let (now, generation) = (self.now(), self.generation);
        let instance = &mut self.instances[index];
        instance.age.note_reached(reached);
        if reached {
            if instance.generation != Some(generation) {
                instance.generation = Some(generation);
                instance.age.apply(DomainKey::from_index(index));
            }
            instance.age.note_confirmed(now);
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        let now = self.now();
        let sender = &mut self.instances[from];
        let Some(generation) = sender.generation else {
            return;
        };
        let report = PeerConfigReport {
            domain: DomainKey::from_index(from),
            version: version(generation),
            age: sender.age.age(version(generation), now),
            platform_reached: sender.age.platform_reached(),
            had_contact: sender.age.had_contact(),
        };
        for to in (0..INSTANCES).filter(|to| *to != from) {
            let is_lost = (self.second + 2 * from as u64 + to as u64).is_multiple_of(5);
            if self.linked[from][to] && !is_lost {
                let heartbeat = SentHeartbeat {
                    from,
                    generation,
                    report,
                };
                self.instances[to].inbox.push(heartbeat);
            }
        }
    }

    fn receive(&mut self, index: usize) {
        let now = self.now() + Duration::from_millis(TRANSIT_MS);
        let inbox = std::mem::take(&mut self.instances[index].inbox);
        for heartbeat in inbox {
            let is_linked = self.linked[index][heartbeat.from];
            let instance = &mut self.instances[index];
            // The document itself is pulled, which needs the link at this moment.
            if is_linked && instance.generation < Some(heartbeat.generation) {
                instance.generation = Some(heartbeat.generation);
                instance.age.apply(DomainKey::from_index(index));
            }
            let name = format!("i{}", heartbeat.from);
            instance.age.note_peer(&name, heartbeat.report, now);
        }
    }

    fn publish(&mut self, index: usize) {
        let now = self.now() + Duration::from_millis(TRANSIT_MS);
        let instance = &mut self.instances[index];
        if let Some(generation) = instance.generation {
            let region = RegionKey::from_index(0);
            let ours = version(generation);
            instance
                .age
                .publish(&instance.gauge, &self.config, region, ours, now);
        }
    }

    fn track_calm(&mut self) {
        let linked = self.linked.iter().flatten().all(|up| *up);
        let running = (0..INSTANCES).all(|index| !self.is_paused(index));
        let in_contact = self
            .instances
            .iter()
            .all(|instance| instance.age.had_contact());
        if !(linked && running && in_contact) {
            self.calm_since = self.second;
        }
    }

    fn check(&self, running: &[usize]) -> Result<(), TestCaseError> {
        for index in running {
            for limit_s in LIMITS_S {
                self.check_route(*index, limit_s)?;
            }
        }
        Ok(())
    }

    fn check_route(&self, index: usize, limit_s: u64) -> Result<(), TestCaseError> {
        let instance = &self.instances[index];
        let Some(generation) = instance.generation else {
            return Ok(());
        };
        let rule = IsolationRule {
            mode: IsolationMode::Refuse,
            limit: Duration::from_secs(limit_s),
        };
        let serves = instance.gauge.decide(rule, self.now()) == IsolationDecision::Serve;
        let bound = WITHOUT_DOUBT_S + limit_s;
        for (withdrawn, second) in &self.withdrawals {
            let still_works = generation < *withdrawn && serves;
            prop_assert!(
                !still_works || self.second <= second + bound,
                "i{index} accepts at {} s a key withdrawn at {second} s with limit {limit_s} s",
                self.second
            );
        }
        let is_calm = self.second - self.calm_since > CALM_S;
        prop_assert!(
            !is_calm || serves,
            "i{index} refuses at {} s with limit {limit_s} s",
            self.second
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: u32::try_from(number_from("FUZZ_HISTORIES", 256)).expect("at most 2^32 histories"),
        rng_seed: RngSeed::Fixed(number_from("FUZZ_SEED", 20_261_204)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against any history in which a withdrawn key works beyond the bound, and against a fleet
    /// without a partition that refuses its callers because the platform is down.
    #[test]
    fn withdrawn_keys_stop_within_the_bound(steps in fault_steps()) {
        let mut history = IsolationHistory::new();
        for step in steps {
            history.apply(step)?;
        }
    }
}

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{variable} must be a number, got {text:?}"))
    })
}
