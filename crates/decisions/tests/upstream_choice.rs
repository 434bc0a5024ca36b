//! Selection of an upstream: tables of fleets and what may be chosen in them.

mod steering_fleet;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ChoicePolicy, ChoiceRequest, ChoiceStart, HealthJudge, LinkBook, LinkMeter, RampPolicy,
    TierTable, UpstreamLane,
};
use coltsfootkeel_model::{Arena, FleetConfig, UpstreamKey};
use steering_fleet::{
    FleetText, POOL, RandomSequence, at_s, domain, judged, lanes, region, upstream,
};

const POLICIES: [ChoicePolicy; 3] = [
    ChoicePolicy::TWO_CHOICES,
    ChoicePolicy::ROUND_ROBIN,
    ChoicePolicy::LEAST_LOADED,
];

/// One upstream in each place, seen from an instance in penang-a.
const PLACES: [(&str, &str); 5] = [
    ("own", "penang-a"),
    ("near", "penang-b"),
    ("johor-1", "johor-a"),
    ("johor-2", "johor-b"),
    ("far", "kuching-a"),
];

struct ChoiceFleet {
    config: FleetConfig,
    judge: HealthJudge,
    lanes: Arena<UpstreamKey, UpstreamLane>,
    links: LinkMeter,
    tiers: TierTable,
}

impl ChoiceFleet {
    fn new(text: &FleetText, slots: u32) -> Self {
        let config = text.check();
        let (judge, records) = judged(&config, RampPolicy::LINEAR);
        let home = domain(&config, "penang-a");
        let now = MonotonicTime::from_millis(0);
        Self {
            lanes: lanes(&records, slots),
            links: LinkBook::new().apply(&config, region(&config, "penang"), 1, now),
            tiers: TierTable::build(&config, home),
            judge,
            config,
        }
    }

    fn lane(&self, name: &str) -> &UpstreamLane {
        &self.lanes[upstream(&self.config, name)]
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
            lanes: &self.lanes,
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

    /// The names that are chosen over many random numbers, with each slot put back at once.
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
                self.lane(name).slots.release();
                Some(name)
            })
            .collect()
    }
}

struct TierCase {
    name: &'static str,
    /// Upstreams whose slots are all in use.
    full: &'static [&'static str],
    draining: &'static [&'static str],
    tried: &'static [&'static str],
    /// Regions whose link with penang is in debt.
    in_debt: &'static [&'static str],
    /// The region to choose in, or none for the instance's own place.
    start: Option<&'static str>,
    chosen: &'static [&'static str],
}

const NOTHING: TierCase = TierCase {
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
        name: "the own failure domain comes first",
        chosen: &["own"],
        ..NOTHING
    },
    TierCase {
        name: "then the region",
        full: &["own"],
        chosen: &["near"],
        ..NOTHING
    },
    TierCase {
        name: "then the region with the least latency",
        full: &["own"],
        draining: &["near"],
        chosen: &["johor-1", "johor-2"],
        ..NOTHING
    },
    TierCase {
        name: "then the next region",
        full: &["own", "near", "johor-1", "johor-2"],
        chosen: &["far"],
        ..NOTHING
    },
    TierCase {
        name: "a region without room on its link is left out",
        full: &["own", "near"],
        in_debt: &["johor"],
        chosen: &["far"],
        ..NOTHING
    },
    TierCase {
        name: "debt of the link does not matter within the region",
        full: &["own"],
        in_debt: &["johor", "kuching"],
        chosen: &["near"],
        ..NOTHING
    },
    TierCase {
        name: "an upstream that was tried is not chosen again",
        tried: &["own", "johor-1"],
        full: &["near"],
        chosen: &["johor-2"],
        ..NOTHING
    },
    TierCase {
        name: "none is free",
        full: &["own", "near"],
        draining: &["far"],
        tried: &["johor-1", "johor-2"],
        ..NOTHING
    },
    TierCase {
        name: "a shift chooses in its destination only",
        start: Some("johor"),
        chosen: &["johor-1", "johor-2"],
        ..NOTHING
    },
    TierCase {
        name: "a shift whose destination is full finds none",
        start: Some("johor"),
        full: &["johor-1", "johor-2"],
        ..NOTHING
    },
    TierCase {
        name: "a shift does not cross a link in debt",
        start: Some("johor"),
        in_debt: &["johor"],
        ..NOTHING
    },
];

/// Guards against requests that leave their region too early, cross a full link, or reach an
/// upstream that leaves, is full or was tried, with each of the policies.
#[test]
fn chooses_by_tiers() {
    for case in TIER_CASES {
        for policy in POLICIES {
            let fleet = ChoiceFleet::new(&FleetText::new(&PLACES), 2);
            let home = region(&fleet.config, "penang");
            for name in case.full {
                while fleet.lane(name).slots.try_acquire() {}
            }
            for name in case.draining {
                fleet.lane(name).health.record_draining();
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

/// Guards against a request that is refused while a slot is free, because the policy looked elsewhere.
#[test]
fn the_last_free_slot_is_found() {
    for policy in POLICIES {
        for free in 0..20 {
            let fleet = ChoiceFleet::new(&FleetText::in_one_domain(20), 1);
            for index in (0..20).filter(|index| *index != free) {
                assert!(fleet.lane(&format!("od-{index}")).slots.try_acquire());
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
    /// What makes the first of two upstreams worse.
    worsen: fn(&mut ChoiceFleet),
}

const PREFERENCE_CASES: &[PreferenceCase] = &[
    PreferenceCase {
        name: "more slots in use",
        worsen: |fleet| {
            assert!(fleet.lane("od-0").slots.try_acquire());
        },
    },
    PreferenceCase {
        name: "more latency",
        worsen: |fleet| {
            fleet
                .lane("od-0")
                .health
                .record_success(Duration::from_millis(40));
            fleet
                .lane("od-1")
                .health
                .record_success(Duration::from_millis(10));
        },
    },
    PreferenceCase {
        name: "failures",
        worsen: |fleet| fleet.lane("od-0").health.record_failure(),
    },
    PreferenceCase {
        name: "a busy report",
        worsen: |fleet| {
            let report = coltsfootkeel_decisions::LoadReport { busy_percent: 90 };
            fleet.judge.note_report("od-0", report, at_s(1));
            fleet.judge.judge(at_s(1));
        },
    },
];

/// Guards against a cost that ignores one of its inputs.
#[test]
fn two_choices_prefer_the_better_upstream() {
    for case in PREFERENCE_CASES {
        let mut fleet = ChoiceFleet::new(&FleetText::in_one_domain(2), 9);
        (case.worsen)(&mut fleet);
        let chosen = fleet.chosen(ChoiceStart::Home, ChoicePolicy::TWO_CHOICES, &[]);
        assert_eq!(chosen, BTreeSet::from(["od-1"]), "{}", case.name);
    }
}

/// Guards against an upstream that fails fast and attracts requests by its low latency.
#[test]
fn fast_failures_do_not_attract_requests() {
    let fleet = ChoiceFleet::new(&FleetText::in_one_domain(2), 9);
    for name in ["od-0", "od-1"] {
        fleet
            .lane(name)
            .health
            .record_success(Duration::from_millis(20));
    }
    let before = fleet.lane("od-0").cost();
    fleet.lane("od-0").health.record_failure();
    assert!(fleet.lane("od-0").cost() > before);
}

/// Guards against a sequence that leaves out upstreams.
#[test]
fn round_robin_uses_each_upstream_in_turn() {
    let fleet = ChoiceFleet::new(&FleetText::in_one_domain(5), 9);
    let chosen: Vec<_> = (0..10)
        .filter_map(|_| fleet.choose_from(ChoiceStart::Home, ChoicePolicy::ROUND_ROBIN, 3, &[]))
        .collect();
    let expected = ["od-0", "od-1", "od-2", "od-3", "od-4"].repeat(2);
    assert_eq!(chosen, expected);
}

/// Guards against an order by position that sends all requests of an idle pool to its first upstream.
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
    second: u64,
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

/// Guards against a cold upstream that gets more than its ramp while others are full.
#[test]
fn ramp_limits_the_slots() {
    for case in RAMP_SLOT_CASES {
        for policy in POLICIES {
            let mut fleet = ChoiceFleet::new(&FleetText::in_one_domain(2), 20);
            fleet.judge.note_peer_drain("od-0", true, at_s(1));
            fleet.judge.judge(at_s(1));
            fleet.judge.note_peer_drain("od-0", false, at_s(9));
            fleet.judge.judge(at_s(9));
            fleet.judge.judge(at_s(case.second));
            let mut random = RandomSequence(3);
            let taken = (0..100)
                .filter_map(|_| fleet.choose_from(ChoiceStart::Home, policy, random.next(), &[]))
                .filter(|name| *name == "od-0")
                .count();
            assert_eq!(taken, case.slots, "{} at {} s", policy.name, case.second);
        }
    }
}

/// Guards against two threads that share a slot, exceed a ramp, or use an upstream after the drain
/// was recorded: the drain is seen by every choice that starts afterwards.
#[test]
fn threads_share_slots_and_drains() {
    for policy in POLICIES {
        let mut fleet = ChoiceFleet::new(&FleetText::in_one_domain(3), 8);
        fleet.judge.note_peer_drain("od-1", true, at_s(1));
        fleet.judge.judge(at_s(1));
        fleet.judge.note_peer_drain("od-1", false, at_s(9));
        fleet.judge.judge(at_s(9));
        fleet.judge.judge(at_s(14));
        let drained = AtomicBool::new(false);
        let running: Vec<AtomicU32> = (0..3).map(|_| AtomicU32::new(0)).collect();
        let most = [8, 2, 8];
        thread::scope(|scope| {
            for seed in 0..4 {
                let (fleet, drained, running) = (&fleet, &drained, &running);
                scope.spawn(move || {
                    let mut random = RandomSequence(seed);
                    for round in 0..3_000 {
                        if seed == 0 && round == 1_500 {
                            fleet.lane("od-2").health.record_draining();
                            drained.store(true, Ordering::SeqCst);
                        }
                        let was_drained = drained.load(Ordering::SeqCst);
                        let request = fleet.request(policy, random.next(), &[]);
                        let Some(chosen) = fleet.tiers.choose(request) else {
                            continue;
                        };
                        let index = coltsfootkeel_model::ArenaKey::index(chosen);
                        assert!(!(was_drained && index == 2), "{}", policy.name);
                        let now_running = running[index].fetch_add(1, Ordering::SeqCst) + 1;
                        assert!(now_running <= most[index], "{}: {index}", policy.name);
                        thread::yield_now();
                        running[index].fetch_sub(1, Ordering::SeqCst);
                        fleet.lanes[chosen].slots.release();
                    }
                });
            }
        });
        assert!(fleet.lanes.iter().all(|(_, lane)| lane.slots.used() == 0));
        assert_eq!(Arc::strong_count(&fleet.lane("od-0").slots), 1);
    }
}
