//! Random histories of partitions, outages of the platform, pauses and replaced instances. They check that no instance
//! accepts a withdrawn key for longer than the isolation rule of the route allows.
//!
//! CI runs 256 histories from a fixed seed. `FUZZ_HISTORIES` sets another number and `FUZZ_SEED` another seed:
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

/// One instance runs in each failure domain. The platform runs in the first one; its region has the first two.
const INSTANCES: usize = DOMAINS.len();
const PLATFORM_DOMAIN: usize = 0;

/// The maximum transit time of a heartbeat.
const MAX_TRANSIT_MS: u64 = 400;

/// A change is in force everywhere within this time, so an isolation limit is counted from its end.
const MAX_PROPAGATION_TIME_S: u64 = 5;
/// The isolation limits of the routes that are checked.
const LIMITS_S: [u64; 3] = [0, 10, 60];

/// After this time without a partition, a pause or a replaced instance, each instance must serve requests with a key,
/// whether the platform is up or not.
const STABLE_TIME_S: u64 = 10;

/// A step of a history.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Two failure domains lose their connection.
    Disconnect(usize, usize),
    Reconnect(usize, usize),
    /// A failure domain loses the connections to all others.
    Isolate(usize),
    ReconnectAll,
    StopPlatform,
    StartPlatform,
    /// An operator withdraws a key through an instance, if that instance reaches the platform.
    WithdrawKey(usize),
    PauseInstance {
        instance: usize,
        seconds: u64,
    },
    /// An instance is replaced by a new one, which gets its configuration from a neighbour or from the platform.
    ReplaceInstance {
        instance: usize,
        neighbour: usize,
    },
    /// Time passes, in seconds.
    Wait(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let instance = 0..INSTANCES;
    let pair = || (0..INSTANCES, 0..INSTANCES);
    let event = prop_oneof![
        4 => pair().prop_map(|(one, other)| Event::Disconnect(one, other)),
        3 => pair().prop_map(|(one, other)| Event::Reconnect(one, other)),
        3 => instance.clone().prop_map(Event::Isolate),
        2 => Just(Event::ReconnectAll),
        2 => Just(Event::StopPlatform),
        2 => Just(Event::StartPlatform),
        4 => instance.clone().prop_map(Event::WithdrawKey),
        2 => (instance, 1_u64..90).prop_map(|(instance, seconds)| Event::PauseInstance { instance, seconds }),
        2 => pair().prop_map(|(instance, neighbour)| Event::ReplaceInstance { instance, neighbour }),
        12 => prop_oneof![1_u64..4, 4_u64..30, 30_u64..120].prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 10..60)
}

/// An instance, its configuration and the heartbeats that it has not handled yet.
struct Instance {
    age: ConfigAge,
    gauge: StalenessGauge,
    /// The generation in force; `None` while a new instance has no configuration and serves no requests.
    generation: Option<u64>,
    /// The second until which the process is paused; 0 if it is not.
    paused_until_s: u64,
    inbox: Vec<SentHeartbeat>,
}

#[derive(Debug, Clone, Copy)]
struct SentHeartbeat {
    from: usize,
    generation: u64,
    report: PeerConfigReport,
}

impl Instance {
    fn new(domain: DomainKey) -> Self {
        Self {
            age: ConfigAge::new(domain),
            gauge: StalenessGauge::new(),
            generation: None,
            paused_until_s: 0,
            inbox: Vec::new(),
        }
    }
}

/// The state of the fleet, its network and the platform during a history.
struct IsolationHistory {
    config: FleetConfig,
    now_s: u64,
    /// Whether two failure domains are connected.
    is_connected: [[bool; INSTANCES]; INSTANCES],
    is_platform_up: bool,
    /// Whether the platform stops at the end of the current second, after the instances that reach it could read the
    /// last commit.
    is_platform_stopping: bool,
    /// The newest generation that the platform has accepted.
    generation: u64,
    /// The generation and the second of each withdrawal of a key.
    withdrawals: Vec<(u64, u64)>,
    instances: Vec<Instance>,
    /// The last second with a partition, a paused or replaced instance, or one that had no contact with the platform.
    unstable_at_s: u64,
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
            .map(|index| Instance::new(DomainKey::from_index(index)))
            .collect();
        Self {
            config: FleetText::new(&[("od-0", "penang-a")]).parse(),
            now_s: 1,
            is_connected: [[true; INSTANCES]; INSTANCES],
            is_platform_up: true,
            is_platform_stopping: false,
            generation: 1,
            withdrawals: Vec::new(),
            instances,
            unstable_at_s: 1,
        }
    }

    fn now(&self) -> MonotonicTime {
        at_s(self.now_s)
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Disconnect(one, other) => self.link(one, other, false),
            Event::Reconnect(one, other) => self.link(one, other, true),
            Event::Isolate(one) => (0..INSTANCES).for_each(|other| self.link(one, other, false)),
            Event::ReconnectAll => self.is_connected = [[true; INSTANCES]; INSTANCES],
            Event::StopPlatform => self.is_platform_stopping = true,
            Event::StartPlatform => {
                self.is_platform_up = true;
                self.is_platform_stopping = false;
            }
            Event::WithdrawKey(via) => self.withdraw_key(via),
            Event::PauseInstance { instance, seconds } => {
                self.instances[instance].paused_until_s = self.now_s + seconds;
            }
            Event::ReplaceInstance {
                instance,
                neighbour,
            } => self.replace(instance, neighbour),
            Event::Wait(seconds) => return (0..seconds).try_for_each(|_| self.tick()),
        }
        Ok(())
    }

    /// Sets whether two failure domains are connected.
    fn link(&mut self, one: usize, other: usize, is_connected: bool) {
        if one != other {
            self.is_connected[one][other] = is_connected;
            self.is_connected[other][one] = is_connected;
        }
    }

    fn reaches_platform(&self, index: usize) -> bool {
        self.is_platform_up && self.is_connected[index][PLATFORM_DOMAIN]
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now_s < self.instances[index].paused_until_s
    }

    fn withdraw_key(&mut self, via: usize) {
        if self.reaches_platform(via) && !self.is_paused(via) {
            self.generation += 1;
            self.withdrawals.push((self.generation, self.now_s));
        }
    }

    fn replace(&mut self, index: usize, neighbour: usize) {
        self.unstable_at_s = self.now_s;
        self.instances[index] = Instance::new(DomainKey::from_index(index));
        if self.is_connected[index][neighbour] && !self.is_paused(neighbour) {
            self.instances[index].generation = self.instances[neighbour].generation;
        }
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.now_s += 1;
        let running: Vec<usize> = (0..INSTANCES)
            .filter(|index| !self.is_paused(*index))
            .collect();
        // After a pause, request threads may run before the control thread does.
        self.check(&running)?;
        for index in &running {
            self.resume_after_pause(*index);
            self.contact_platform(*index);
        }
        for index in &running {
            self.send_heartbeats(*index);
        }
        for index in &running {
            self.receive(*index);
            self.publish_staleness(*index);
        }
        self.record_instability();
        if self.is_platform_stopping {
            self.is_platform_up = false;
            self.is_platform_stopping = false;
        }
        self.check(&running)
    }

    fn resume_after_pause(&mut self, index: usize) {
        let now = self.now();
        let instance = &mut self.instances[index];
        if instance.paused_until_s > 0 {
            instance.paused_until_s = 0;
            instance.age.record_pause(now);
        }
    }

    fn contact_platform(&mut self, index: usize) {
        let reached = self.reaches_platform(index);
        let (now, generation) = (self.now(), self.generation);
        let instance = &mut self.instances[index];
        instance.age.record_platform_reached(reached);
        if reached {
            if instance.generation != Some(generation) {
                instance.generation = Some(generation);
                instance.age.apply(DomainKey::from_index(index));
            }
            instance.age.record_confirmation(now);
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
            let is_lost = (self.now_s + 2 * from as u64 + to as u64).is_multiple_of(5);
            if self.is_connected[from][to] && !is_lost {
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
        let now = self.now() + Duration::from_millis(MAX_TRANSIT_MS);
        let inbox = std::mem::take(&mut self.instances[index].inbox);
        for heartbeat in inbox {
            let can_fetch = self.is_connected[index][heartbeat.from];
            let instance = &mut self.instances[index];
            // The heartbeat only announces the document; fetching it requires a connection now.
            if can_fetch && instance.generation < Some(heartbeat.generation) {
                instance.generation = Some(heartbeat.generation);
                instance.age.apply(DomainKey::from_index(index));
            }
            let name = format!("i{}", heartbeat.from);
            instance
                .age
                .record_peer_report(&name, heartbeat.report, now);
        }
    }

    fn publish_staleness(&mut self, index: usize) {
        let now = self.now() + Duration::from_millis(MAX_TRANSIT_MS);
        let instance = &mut self.instances[index];
        if let Some(generation) = instance.generation {
            let region = RegionKey::from_index(0);
            let own_version = version(generation);
            instance
                .age
                .publish(&instance.gauge, &self.config, region, own_version, now);
        }
    }

    fn record_instability(&mut self) {
        let are_connected = self
            .is_connected
            .iter()
            .flatten()
            .all(|is_connected| *is_connected);
        let are_running = (0..INSTANCES).all(|index| !self.is_paused(index));
        let have_contact = self
            .instances
            .iter()
            .all(|instance| instance.age.had_contact());
        if !(are_connected && are_running && have_contact) {
            self.unstable_at_s = self.now_s;
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
        let bound = MAX_PROPAGATION_TIME_S + limit_s;
        for (withdrawn_in, withdrawn_at_s) in &self.withdrawals {
            let is_accepted = generation < *withdrawn_in && serves;
            prop_assert!(
                !is_accepted || self.now_s <= withdrawn_at_s + bound,
                "instance {index} with limit {limit_s} s accepts at {} s a key that was withdrawn at {withdrawn_at_s} s",
                self.now_s
            );
        }
        let is_stable = self.now_s - self.unstable_at_s > STABLE_TIME_S;
        prop_assert!(
            !is_stable || serves,
            "instance {index} with limit {limit_s} s refuses keys at {} s although the fleet is stable",
            self.now_s
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

    /// Guards against a history in which an instance accepts a withdrawn key for longer than the propagation time plus
    /// the limit of the route, because reports of peers or an outage of the platform make its configuration look newer
    /// than it is. Also guards against a fleet without a partition that refuses requests because the platform is down.
    #[test]
    fn withdrawn_keys_stop_within_the_bound(events in events()) {
        let mut history = IsolationHistory::new();
        for event in events {
            history.apply(event)?;
        }
    }
}

/// Returns the number in an environment variable, or `default` if it is not set.
fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| {
        text.parse()
            .unwrap_or_else(|_| panic!("{variable} must be a number, got {text:?}"))
    })
}
