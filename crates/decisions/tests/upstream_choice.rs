//! Tests of the choice of an upstream for an attempt.

mod steering_fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ChoicePolicy, ChoiceRequest, ChoiceStart, HealthEvaluator, LinkMeter, LinkRegistry, RampPolicy,
    TierTable, UpstreamHandle,
};
use coltsfootkeel_model::{Arena, FleetConfig, UpstreamKey};
use steering_fleet::{
    FleetText, POOL, RandomSequence, at_s, domain, new_evaluator, region, upstream,
    upstream_handles,
};

const POLICIES: [ChoicePolicy; 3] = [
    ChoicePolicy::TWO_CHOICES,
    ChoicePolicy::ROUND_ROBIN,
    ChoicePolicy::LEAST_LOADED,
];

/// One upstream in each failure domain, with a name for its place relative to an instance in penang-a.
const UPSTREAMS: [(&str, &str); 5] = [
    ("own", "penang-a"),
    ("near", "penang-b"),
    ("johor-1", "johor-a"),
    ("johor-2", "johor-b"),
    ("far", "kuching-a"),
];

/// A fleet as seen by an instance in penang-a.
struct ChoiceFleet {
    config: FleetConfig,
    evaluator: HealthEvaluator,
    handles: Arena<UpstreamKey, UpstreamHandle>,
    links: LinkMeter,
    tiers: TierTable,
}

impl ChoiceFleet {
    fn new(text: &FleetText, slots: u32) -> Self {
        let config = text.parse();
        let (evaluator, records) = new_evaluator(&config, RampPolicy::LINEAR);
        let home = domain(&config, "penang-a");
        let now = MonotonicTime::from_millis(0);
        Self {
            handles: upstream_handles(&records, slots),
            links: LinkRegistry::new().apply(&config, region(&config, "penang"), 1, now),
            tiers: TierTable::build(&config, home),
            evaluator,
            config,
        }
    }

    fn handle(&self, name: &str) -> &UpstreamHandle {
        &self.handles[upstream(&self.config, name)]
    }

    fn request<'a>(
        &'a self,
        policy: ChoicePolicy,
        random: u64,
        tried: &'a [UpstreamKey],
    ) -> ChoiceRequest<'a> {
        ChoiceRequest {
            pool: POOL(),
            start: ChoiceStart::Home,
            tried,
            random,
            handles: &self.handles,
            links: &self.links,
            policy,
        }
    }

    fn choose_from(
        &self,
        start: ChoiceStart,
        policy: ChoicePolicy,
        random: u64,
        tried: &[UpstreamKey],
    ) -> Option<&str> {
        let request = ChoiceRequest {
            start,
            ..self.request(policy, random, tried)
        };
        let chosen = self.tiers.choose(request)?;
        Some(&self.config.upstreams[chosen].name)
    }

    /// Returns the names that are chosen over 200 random numbers. Each slot is released immediately.
    fn chosen(
        &self,
        start: ChoiceStart,
        policy: ChoicePolicy,
        tried: &[UpstreamKey],
    ) -> BTreeSet<&str> {
        let mut random = RandomSequence(7);
        (0..200)
            .filter_map(|_| {
                let name = self.choose_from(start, policy, random.next(), tried)?;
                self.handle(name).slots.release();
                Some(name)
            })
            .collect()
    }
}

struct TierCase {
    name: &'static str,
    /// Upstreams whose slots are all in use.
    full: &'static [&'static str],
    /// Upstreams that are draining.
    draining: &'static [&'static str],
    /// Upstreams to which an attempt of the request was sent before.
    tried: &'static [&'static str],
    /// Regions whose link to penang is in debt.
    in_debt: &'static [&'static str],
    /// The region to choose in; `None` to start at the failure domain of the instance.
    start: Option<&'static str>,
    /// The upstreams that are chosen over many random numbers.
    chosen: &'static [&'static str],
}

/// A fleet without restrictions. The cases change single fields of it.
const UNRESTRICTED_CASE: TierCase = TierCase {
    name: "",
    full: &[],
    draining: &[],
    tried: &[],
    in_debt: &[],
    start: None,
    chosen: &[],
};

const TIER_CASES: &[TierCase] = &[
    TierCase {
        name: "the failure domain of the instance comes first",
        chosen: &["own"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "the region comes second",
        full: &["own"],
        chosen: &["near"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "the region with the least latency comes third",
        full: &["own"],
        draining: &["near"],
        chosen: &["johor-1", "johor-2"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "other regions follow by latency",
        full: &["own", "near", "johor-1", "johor-2"],
        chosen: &["far"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "a region whose link is in debt is left out",
        full: &["own", "near"],
        in_debt: &["johor"],
        chosen: &["far"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "links in debt do not matter within the region",
        full: &["own"],
        in_debt: &["johor", "kuching"],
        chosen: &["near"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "an upstream that was tried is not chosen again",
        tried: &["own", "johor-1"],
        full: &["near"],
        chosen: &["johor-2"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "no upstream is free",
        full: &["own", "near"],
        draining: &["far"],
        tried: &["johor-1", "johor-2"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "a shift chooses in its destination only",
        start: Some("johor"),
        chosen: &["johor-1", "johor-2"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "a shift whose destination is full finds no upstream",
        start: Some("johor"),
        full: &["johor-1", "johor-2"],
        ..UNRESTRICTED_CASE
    },
    TierCase {
        name: "a shift does not cross a link in debt",
        start: Some("johor"),
        in_debt: &["johor"],
        ..UNRESTRICTED_CASE
    },
];

/// Guards against a request that leaves its failure domain or region although a nearer upstream is free, crosses a link
/// in debt, or is sent to an upstream that is draining, full or was tried before. All cases run with each policy.
#[test]
fn chooses_by_tiers() {
    for case in TIER_CASES {
        for policy in POLICIES {
            let fleet = ChoiceFleet::new(&FleetText::new(&UPSTREAMS), 2);
            let home = region(&fleet.config, "penang");
            for name in case.full {
                while fleet.handle(name).slots.try_acquire() {}
            }
            for name in case.draining {
                fleet.handle(name).health.record_drain_refusal();
            }
            for name in case.in_debt {
                let other = region(&fleet.config, name);
                fleet.links.charge(other, home, 1_000_000_000);
            }
            let tried: Vec<_> = case
                .tried
                .iter()
                .map(|name| upstream(&fleet.config, name))
                .collect();
            let start = case.start.map_or(ChoiceStart::Home, |name| {
                ChoiceStart::Region(region(&fleet.config, name))
            });
            let chosen = fleet.chosen(start, policy, &tried);
            let expected: BTreeSet<&str> = case.chosen.iter().copied().collect();
            assert_eq!(chosen, expected, "{} with {}", case.name, policy.name);
        }
    }
}

/// Guards against a request that is refused while a slot is free, because the policy compares only some of the
/// upstreams and all of these are full.
#[test]
fn the_last_free_slot_is_found() {
    for policy in POLICIES {
        for free in 0..20 {
            let fleet = ChoiceFleet::new(&FleetText::in_one_domain(20), 1);
            for index in (0..20).filter(|index| *index != free) {
                assert!(fleet.handle(&format!("od-{index}")).slots.try_acquire());
            }
            let name = format!("od-{free}");
            let chosen = fleet.choose_from(ChoiceStart::Home, policy, 42, &[]);
            assert_eq!(chosen, Some(name.as_str()), "{}", policy.name);
            assert_eq!(fleet.choose_from(ChoiceStart::Home, policy, 42, &[]), None);
        }
    }
}

struct PreferenceCase {
    name: &'static str,
    /// Makes od-0 the worse one of two upstreams.
    worsen: fn(&mut ChoiceFleet),
}

const PREFERENCE_CASES: &[PreferenceCase] = &[
    PreferenceCase {
        name: "more used slots",
        worsen: |fleet| {
            assert!(fleet.handle("od-0").slots.try_acquire());
        },
    },
    PreferenceCase {
        name: "a higher latency",
        worsen: |fleet| {
            fleet
                .handle("od-0")
                .health
                .record_success(Duration::from_millis(40));
            fleet
                .handle("od-1")
                .health
                .record_success(Duration::from_millis(10));
        },
    },
    PreferenceCase {
        name: "a failure",
        worsen: |fleet| fleet.handle("od-0").health.record_failure(),
    },
    PreferenceCase {
        name: "a report of high load",
        worsen: |fleet| {
            let report = coltsfootkeel_decisions::LoadReport { busy_percent: 90 };
            fleet.evaluator.record_load_report("od-0", report, at_s(1));
            fleet.evaluator.evaluate(at_s(1));
        },
    },
];

/// Guards against requests that go to the worse of two upstreams, because the cost ignores one of its inputs.
#[test]
fn two_choices_prefer_the_better_upstream() {
    for case in PREFERENCE_CASES {
        let mut fleet = ChoiceFleet::new(&FleetText::in_one_domain(2), 9);
        (case.worsen)(&mut fleet);
        let chosen = fleet.chosen(ChoiceStart::Home, ChoicePolicy::TWO_CHOICES, &[]);
        assert_eq!(chosen, BTreeSet::from(["od-1"]), "{}", case.name);
    }
}

/// Guards against an upstream that receives most requests because it fails: a failure is answered fast, and the low
/// latency would lower the cost of the upstream.
#[test]
fn fast_failures_do_not_attract_requests() {
    let fleet = ChoiceFleet::new(&FleetText::in_one_domain(2), 9);
    for name in ["od-0", "od-1"] {
        fleet
            .handle(name)
            .health
            .record_success(Duration::from_millis(20));
    }
    let before = fleet.handle("od-0").cost();
    fleet.handle("od-0").health.record_failure();
    assert!(fleet.handle("od-0").cost() > before);
}

/// Guards against upstreams that receive no requests, because the sequence of the round robin skips them.
#[test]
fn round_robin_uses_each_upstream_in_turn() {
    let fleet = ChoiceFleet::new(&FleetText::in_one_domain(5), 9);
    let chosen: Vec<_> = (0..10)
        .filter_map(|_| fleet.choose_from(ChoiceStart::Home, ChoicePolicy::ROUND_ROBIN, 3, &[]))
        .collect();
    let expected = ["od-0", "od-1", "od-2", "od-3", "od-4"].repeat(2);
    assert_eq!(chosen, expected);
}

/// Guards against a pool with little load that sends all requests to its first upstream, because upstreams of equal
/// cost are chosen by their position.
#[test]
fn equal_upstreams_share_the_requests() {
    for policy in POLICIES {
        let fleet = ChoiceFleet::new(&FleetText::in_one_domain(5), 9);
        assert_eq!(
            fleet.chosen(ChoiceStart::Home, policy, &[]).len(),
            5,
            "{}",
            policy.name
        );
    }
}

struct RampSlotCase {
    /// When slots are taken. The ramp starts at 9 s.
    second: u64,
    /// The number of slots that the ramp allows, of 20.
    slots: usize,
}

const RAMP_SLOT_CASES: &[RampSlotCase] = &[
    RampSlotCase {
        second: 9,
        slots: 2,
    },
    RampSlotCase {
        second: 14,
        slots: 6,
    },
    RampSlotCase {
        second: 19,
        slots: 11,
    },
    RampSlotCase {
        second: 29,
        slots: 20,
    },
];

/// Guards against a cold upstream that receives more requests than its ramp allows, because the warm one is full and
/// the search for any free slot ignores the ramp.
#[test]
fn ramp_limits_the_slots() {
    for case in RAMP_SLOT_CASES {
        for policy in POLICIES {
            let mut fleet = ChoiceFleet::new(&FleetText::in_one_domain(2), 20);
            fleet.evaluator.record_peer_drain("od-0", true, at_s(1));
            fleet.evaluator.evaluate(at_s(1));
            fleet.evaluator.record_peer_drain("od-0", false, at_s(9));
            fleet.evaluator.evaluate(at_s(9));
            fleet.evaluator.evaluate(at_s(case.second));
            let mut random = RandomSequence(3);
            let taken = (0..100)
                .filter_map(|_| fleet.choose_from(ChoiceStart::Home, policy, random.next(), &[]))
                .filter(|name| *name == "od-0")
                .count();
            assert_eq!(taken, case.slots, "{} at {} s", policy.name, case.second);
        }
    }
}

/// Guards against request threads that use more slots than an upstream or its ramp has, because the limit is checked
/// before a slot is taken and not with it. Also guards against a request to a draining upstream: every choice that
/// starts after the drain was recorded must exclude the upstream.
#[test]
fn concurrent_threads_respect_slots_ramps_and_drains() {
    for policy in POLICIES {
        let mut fleet = ChoiceFleet::new(&FleetText::in_one_domain(3), 8);
        fleet.evaluator.record_peer_drain("od-1", true, at_s(1));
        fleet.evaluator.evaluate(at_s(1));
        fleet.evaluator.record_peer_drain("od-1", false, at_s(9));
        fleet.evaluator.evaluate(at_s(9));
        fleet.evaluator.evaluate(at_s(14));
        let drained = AtomicBool::new(false);
        let running: Vec<AtomicU32> = (0..3).map(|_| AtomicU32::new(0)).collect();
        let max_running = [8, 2, 8];
        thread::scope(|scope| {
            for seed in 0..4 {
                let (fleet, drained, running) = (&fleet, &drained, &running);
                scope.spawn(move || {
                    let mut random = RandomSequence(seed);
                    for round in 0..3_000 {
                        if seed == 0 && round == 1_500 {
                            fleet.handle("od-2").health.record_drain_refusal();
                            drained.store(true, Ordering::SeqCst);
                        }
                        let was_drained = drained.load(Ordering::SeqCst);
                        let request = fleet.request(policy, random.next(), &[]);
                        let Some(chosen) = fleet.tiers.choose(request) else {
                            continue;
                        };
                        let index = coltsfootkeel_model::ArenaKey::index(chosen);
                        assert!(!(was_drained && index == 2), "{}", policy.name);
                        let running_count = running[index].fetch_add(1, Ordering::SeqCst) + 1;
                        assert!(
                            running_count <= max_running[index],
                            "{}: {index}",
                            policy.name
                        );
                        thread::yield_now();
                        running[index].fetch_sub(1, Ordering::SeqCst);
                        fleet.handles[chosen].slots.release();
                    }
                });
            }
        });
        assert!(
            fleet
                .handles
                .iter()
                .all(|(_, handle)| handle.slots.used() == 0)
        );
        assert_eq!(Arc::strong_count(&fleet.handle("od-0").slots), 1);
    }
}
