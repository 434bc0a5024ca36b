//! Tests of the health of upstreams: ejections, ramps, drains and reported load.

mod steering_fleet;

use std::time::Duration;

use coltsfootkeel_decisions::{
    HealthChangeKind, HealthEvaluator, LoadReport, ProbeResult, RampPolicy, UpstreamHealth,
};
use steering_fleet::{FleetText, at_s, new_evaluator, upstream};

/// An event of the model. An upstream is given by its position in the pool.
#[derive(Debug, Clone, Copy)]
enum HealthEvent {
    /// The given number of attempts fails.
    Fail(usize, u32),
    /// The given number of connections cannot be opened.
    ConnectError(usize, u32),
    /// An attempt is answered.
    Succeed(usize),
    /// The health endpoint was probed.
    Probe(usize, ProbeResult),
    /// The upstream reports the given load in percent.
    Report(usize, u32),
    /// The upstream refuses a request because it is draining.
    Refuse(usize),
    /// A peer's notice that the upstream is draining, or no longer is.
    PeerDrain(usize, bool),
    /// The control thread evaluates the health of all upstreams.
    Evaluate,
}

use HealthEvent::{ConnectError, Evaluate, Fail, PeerDrain, Probe, Refuse, Report, Succeed};

const NOT_DRAINING: ProbeResult = ProbeResult::Answered { draining: false };
const DRAINING: ProbeResult = ProbeResult::Answered { draining: true };

struct UsableCase {
    name: &'static str,
    /// The number of upstreams in the pool.
    pool: usize,
    /// The events, each with the second at which it happens.
    events: &'static [(u64, HealthEvent)],
    /// The upstreams that are usable after the events.
    usable: &'static [usize],
}

const USABLE_CASES: &[UsableCase] = &[
    UsableCase {
        name: "four failures do not eject",
        pool: 4,
        events: &[(1, Fail(0, 4)), (1, Evaluate)],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "five failures eject",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Evaluate)],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "connect errors are failures",
        pool: 4,
        events: &[(1, Fail(0, 2)), (1, ConnectError(0, 3)), (1, Evaluate)],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "a success resets the count of failures",
        pool: 4,
        events: &[
            (1, Fail(0, 4)),
            (1, Succeed(0)),
            (1, Fail(0, 4)),
            (1, Evaluate),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "the first ejection ends after 2 s",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Evaluate), (2, Evaluate), (3, Evaluate)],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "the second ejection needs one failure and lasts 4 s",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Evaluate),
            (3, Evaluate),
            (4, Fail(0, 1)),
            (4, Evaluate),
            (7, Evaluate),
        ],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "the second ejection ends after 4 s",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Evaluate),
            (3, Evaluate),
            (4, Fail(0, 1)),
            (4, Evaluate),
            (8, Evaluate),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "a success resets the ejection time to 2 s",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Evaluate),
            (3, Evaluate),
            (4, Succeed(0)),
            (4, Fail(0, 5)),
            (4, Evaluate),
            (6, Evaluate),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "half of the pool may be ejected",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Fail(1, 5)), (1, Evaluate)],
        usable: &[2, 3],
    },
    UsableCase {
        name: "no ejection is applied if more than half of the pool fails",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Fail(1, 5)),
            (1, Fail(2, 5)),
            (1, Evaluate),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "an earlier ejection is no longer applied once more than half of the pool fails",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Evaluate),
            (2, Fail(1, 5)),
            (2, Fail(2, 5)),
            (2, Evaluate),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "a single upstream is never ejected",
        pool: 1,
        events: &[(1, Fail(0, 50)), (1, Evaluate)],
        usable: &[0],
    },
    UsableCase {
        name: "draining upstreams do not count for the limit of half of the pool",
        pool: 4,
        events: &[
            (1, Refuse(0)),
            (1, Refuse(1)),
            (1, Fail(2, 5)),
            (1, Fail(3, 5)),
            (1, Evaluate),
        ],
        usable: &[2, 3],
    },
    UsableCase {
        name: "a report of no load does not override failures",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Report(0, 0)), (1, Evaluate)],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "a successful probe does not override failures",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Probe(0, NOT_DRAINING)), (1, Evaluate)],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "five failed probes eject an upstream without requests",
        pool: 4,
        events: &[
            (1, Probe(0, ProbeResult::Failed)),
            (2, Probe(0, ProbeResult::Failed)),
            (3, Probe(0, ProbeResult::Failed)),
            (4, Probe(0, ProbeResult::Failed)),
            (5, Probe(0, ProbeResult::Failed)),
            (5, Evaluate),
        ],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "failed probes do not eject an upstream that answers requests",
        pool: 4,
        events: &[
            (1, Probe(0, ProbeResult::Failed)),
            (2, Probe(0, ProbeResult::Failed)),
            (3, Probe(0, ProbeResult::Failed)),
            (3, Succeed(0)),
            (4, Probe(0, ProbeResult::Failed)),
            (5, Probe(0, ProbeResult::Failed)),
            (5, Evaluate),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "a refusal starts a drain before the next evaluation",
        pool: 2,
        events: &[(1, Refuse(0))],
        usable: &[1],
    },
    UsableCase {
        name: "a peer's notice starts a drain before the next evaluation",
        pool: 2,
        events: &[(1, PeerDrain(0, true))],
        usable: &[1],
    },
    UsableCase {
        name: "all upstreams may drain",
        pool: 2,
        events: &[(1, Refuse(0)), (1, PeerDrain(1, true)), (1, Evaluate)],
        usable: &[],
    },
    UsableCase {
        name: "a health answer starts a drain, and one contrary answer does not end it",
        pool: 2,
        events: &[
            (1, Probe(0, DRAINING)),
            (2, Probe(0, NOT_DRAINING)),
            (2, Evaluate),
            (3, Evaluate),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "contrary health answers for 10 s end a drain that a health answer started",
        pool: 2,
        events: &[
            (1, Probe(0, DRAINING)),
            (2, Probe(0, NOT_DRAINING)),
            (5, Probe(0, NOT_DRAINING)),
            (8, Probe(0, NOT_DRAINING)),
            (11, Probe(0, NOT_DRAINING)),
            (12, Probe(0, NOT_DRAINING)),
            (12, Evaluate),
        ],
        usable: &[0, 1],
    },
    UsableCase {
        name: "contrary health answers for 9 s do not end a drain that a refusal started",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Evaluate),
            (2, Probe(0, NOT_DRAINING)),
            (5, Probe(0, NOT_DRAINING)),
            (8, Probe(0, NOT_DRAINING)),
            (11, Probe(0, NOT_DRAINING)),
            (11, Evaluate),
            (20, Evaluate),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "contrary health answers for 10 s end a drain that a refusal started",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Evaluate),
            (2, Probe(0, NOT_DRAINING)),
            (5, Probe(0, NOT_DRAINING)),
            (8, Probe(0, NOT_DRAINING)),
            (11, Probe(0, NOT_DRAINING)),
            (12, Probe(0, NOT_DRAINING)),
            (12, Evaluate),
        ],
        usable: &[0, 1],
    },
    UsableCase {
        name: "two contrary health answers 10 s apart do not end a drain",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Evaluate),
            (2, Probe(0, NOT_DRAINING)),
            (12, Probe(0, NOT_DRAINING)),
            (12, Evaluate),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "another refusal starts the 10 s again",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Evaluate),
            (2, Probe(0, NOT_DRAINING)),
            (5, Probe(0, NOT_DRAINING)),
            (8, Refuse(0)),
            (8, Evaluate),
            (8, Probe(0, NOT_DRAINING)),
            (11, Probe(0, NOT_DRAINING)),
            (12, Probe(0, NOT_DRAINING)),
            (12, Evaluate),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "a failed probe starts the 10 s again",
        pool: 2,
        events: &[
            (1, PeerDrain(0, true)),
            (2, Probe(0, NOT_DRAINING)),
            (5, Probe(0, NOT_DRAINING)),
            (7, Probe(0, ProbeResult::Failed)),
            (8, Probe(0, NOT_DRAINING)),
            (11, Probe(0, NOT_DRAINING)),
            (12, Probe(0, NOT_DRAINING)),
            (12, Evaluate),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "a peer's notice ends a drain that a notice started but not one that a refusal started",
        pool: 3,
        events: &[
            (1, PeerDrain(0, true)),
            (1, Refuse(1)),
            (2, PeerDrain(0, false)),
            (2, PeerDrain(1, false)),
        ],
        usable: &[0, 2],
    },
    UsableCase {
        name: "without health answers a drain ends 10 min after the last refusal",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Refuse(1)),
            (1, Evaluate),
            (600, Refuse(1)),
            (600, Evaluate),
            (601, Evaluate),
        ],
        usable: &[0],
    },
];

/// Applies the events to a new pool.
fn run_events(pool: usize, events: &[(u64, HealthEvent)]) -> HealthRun {
    let config = FleetText::in_one_domain(pool).parse();
    let (evaluator, records) = new_evaluator(&config, RampPolicy::LINEAR);
    let records = records.iter().map(|(_, health)| health.clone()).collect();
    let mut run = HealthRun { evaluator, records };
    for (second, event) in events {
        run.apply(*second, *event);
    }
    run
}

/// A pool of upstreams with their health.
struct HealthRun {
    evaluator: HealthEvaluator,
    records: Vec<std::sync::Arc<UpstreamHealth>>,
}

impl HealthRun {
    fn apply(&mut self, second: u64, event: HealthEvent) {
        let now = at_s(second);
        let name = |number: usize| format!("od-{number}");
        match event {
            Fail(number, times) => {
                (0..times).for_each(|_| self.records[number].record_failure());
            }
            ConnectError(number, times) => {
                (0..times).for_each(|_| self.records[number].record_connect_error());
            }
            Succeed(number) => self.records[number].record_success(Duration::from_millis(10)),
            Probe(number, result) => self.evaluator.record_probe(&name(number), result, now),
            Report(number, busy_percent) => {
                let report = LoadReport { busy_percent };
                self.evaluator
                    .record_load_report(&name(number), report, now);
            }
            Refuse(number) => {
                self.records[number].record_drain_refusal();
            }
            PeerDrain(number, draining) => {
                self.evaluator
                    .record_peer_drain(&name(number), draining, now);
            }
            Evaluate => {
                self.evaluator.evaluate(now);
            }
        }
    }

    fn usable(&self) -> Vec<usize> {
        let usable = |number: &usize| self.records[*number].is_usable();
        (0..self.records.len()).filter(usable).collect()
    }
}

/// Guards against an upstream that receives requests although it fails or is draining, and against a pool without
/// usable upstreams, because most of them are ejected at the same time or a drain never ends. Both come about if events
/// of one kind override those of another, or if limits in time and number are off by one.
#[test]
fn usable_upstreams_follow_the_events() {
    for case in USABLE_CASES {
        let run = run_events(case.pool, case.events);
        assert_eq!(run.usable(), case.usable, "{}", case.name);
    }
}

/// Guards against an upstream that fails requests after each short ejection, because the ejection time does not grow,
/// and against one that has recovered and stays ejected, because the time grows beyond 60 s.
#[test]
fn ejection_time_doubles_to_60_s() {
    let mut run = run_events(4, &[]);
    run.apply(1, Fail(0, 5));
    let mut now = 1;
    let mut lengths = Vec::new();
    for _ in 0..7 {
        let changes = run.evaluator.evaluate(at_s(now));
        let HealthChangeKind::Ejected(length) = changes[0].kind else {
            panic!("expected an ejection at {now} s, found {changes:?}");
        };
        lengths.push(length.as_secs());
        now += length.as_secs();
        assert_eq!(
            run.evaluator.evaluate(at_s(now))[0].kind,
            HealthChangeKind::Returned
        );
        run.apply(now, Fail(0, 1));
    }
    assert_eq!(lengths, [2, 4, 8, 16, 32, 60, 60]);
}

/// Guards against an upstream that is ejected again as soon as it returns, because requests that were sent before its
/// ejection fail during it and count as failures after its return.
#[test]
fn failures_during_an_ejection_do_not_extend_it() {
    let mut run = run_events(
        4,
        &[
            (1, Fail(0, 5)),
            (1, Evaluate),
            (2, Fail(0, 3)),
            (3, Evaluate),
        ],
    );
    assert_eq!(run.usable(), [0, 1, 2, 3]);
    run.apply(4, Evaluate);
    assert_eq!(run.usable(), [0, 1, 2, 3]);
}

struct RampCase {
    name: &'static str,
    events: &'static [(u64, HealthEvent)],
    ramp: RampPolicy,
    /// The usable fractions of the slots of the upstreams, in thousandths.
    permille: [u32; 3],
}

const RAMP_CASES: &[RampCase] = &[
    RampCase {
        name: "the upstreams of a new pool start without a ramp",
        events: &[(1, Evaluate)],
        ramp: RampPolicy::LINEAR,
        permille: [1_000, 1_000, 1_000],
    },
    RampCase {
        name: "a ramp starts at 10% after an ejection",
        events: &[(1, Fail(0, 5)), (1, Evaluate), (3, Evaluate)],
        ramp: RampPolicy::LINEAR,
        permille: [100, 1_000, 1_000],
    },
    RampCase {
        name: "a ramp is at 55% after 10 s",
        events: &[
            (1, Fail(0, 5)),
            (1, Evaluate),
            (3, Evaluate),
            (13, Evaluate),
        ],
        ramp: RampPolicy::LINEAR,
        permille: [550, 1_000, 1_000],
    },
    RampCase {
        name: "a ramp ends after 20 s",
        events: &[
            (1, Fail(0, 5)),
            (1, Evaluate),
            (3, Evaluate),
            (23, Evaluate),
        ],
        ramp: RampPolicy::LINEAR,
        permille: [1_000, 1_000, 1_000],
    },
    RampCase {
        name: "a ramp starts after a drain",
        events: &[
            (1, PeerDrain(0, true)),
            (1, Evaluate),
            (9, PeerDrain(0, false)),
            (9, Evaluate),
        ],
        ramp: RampPolicy::LINEAR,
        permille: [100, 1_000, 1_000],
    },
    RampCase {
        name: "a ramp does not apply without a warm upstream",
        events: &[
            (1, PeerDrain(0, true)),
            (1, Evaluate),
            (9, PeerDrain(0, false)),
            (9, PeerDrain(1, true)),
            (9, PeerDrain(2, true)),
            (9, Evaluate),
        ],
        ramp: RampPolicy::LINEAR,
        permille: [1_000, 1_000, 1_000],
    },
    RampCase {
        name: "no ramp follows an ejection that was not applied",
        events: &[
            (1, Fail(0, 5)),
            (1, Fail(1, 5)),
            (1, Evaluate),
            (3, Evaluate),
        ],
        ramp: RampPolicy::LINEAR,
        permille: [1_000, 1_000, 1_000],
    },
    RampCase {
        name: "the policy without a ramp",
        events: &[(1, Fail(0, 5)), (1, Evaluate), (3, Evaluate)],
        ramp: RampPolicy::NONE,
        permille: [1_000, 1_000, 1_000],
    },
];

/// Guards against a cold upstream that is overloaded, because it receives its full load right after an ejection or a
/// drain. Also guards against refusals by a ramp that applies although no warm upstream can take the load.
#[test]
fn ramps_follow_the_events() {
    for case in RAMP_CASES {
        let config = FleetText::in_one_domain(3).parse();
        let (evaluator, records) = new_evaluator(&config, case.ramp);
        let records = records.iter().map(|(_, health)| health.clone()).collect();
        let mut run = HealthRun { evaluator, records };
        for (second, event) in case.events {
            run.apply(*second, *event);
        }
        let permille: Vec<u32> = run
            .records
            .iter()
            .map(|health| health.ramp_permille())
            .collect();
        assert_eq!(permille, case.permille, "{}", case.name);
    }
}

struct LoadCase {
    name: &'static str,
    events: &'static [(u64, HealthEvent)],
    /// The expected cost factor in percent.
    cost_percent: u32,
}

const LOAD_CASES: &[LoadCase] = &[
    LoadCase {
        name: "no report does not change the cost",
        events: &[(1, Evaluate)],
        cost_percent: 100,
    },
    LoadCase {
        name: "a report of no load does not change the cost",
        events: &[(1, Report(0, 0)), (1, Evaluate)],
        cost_percent: 100,
    },
    LoadCase {
        name: "a report of 60% load raises the cost",
        events: &[(1, Report(0, 60)), (6, Evaluate)],
        cost_percent: 160,
    },
    LoadCase {
        name: "a report beyond 100% doubles the cost at most",
        events: &[(1, Report(0, 4_000_000)), (1, Evaluate)],
        cost_percent: 200,
    },
    LoadCase {
        name: "a report older than 5 s is ignored",
        events: &[(1, Report(0, 60)), (7, Evaluate)],
        cost_percent: 100,
    },
];

/// Guards against a failing upstream that attracts requests by reporting no load, and against an upstream that receives
/// no requests because its report never expires or outweighs the results of requests.
#[test]
fn reports_only_raise_the_cost() {
    for case in LOAD_CASES {
        let run = run_events(1, case.events);
        assert_eq!(
            run.records[0].load_cost_percent(),
            case.cost_percent,
            "{}",
            case.name
        );
    }
}

/// Guards against a healthy upstream that is ejected in place of a failing one, because a new generation of the
/// configuration inserts an upstream and the records are kept by position.
#[test]
fn state_is_kept_by_name_across_generations() {
    let first = FleetText::new(&[
        ("od-0", "penang-a"),
        ("od-1", "penang-a"),
        ("od-2", "penang-a"),
    ]);
    let (mut evaluator, records) = new_evaluator(&first.parse(), RampPolicy::LINEAR);
    let config = first.parse();
    for _ in 0..5 {
        records[upstream(&config, "od-1")].record_failure();
    }
    evaluator.evaluate(at_s(1));
    let mut second = first.clone();
    second.upstreams.insert(0, ("od-9".to_string(), "penang-a"));
    // The fleet assigns ports by position; the upstreams that remain keep their addresses.
    let text = second.render();
    let text = text
        .replace("9000", "8999")
        .replace("9001", "9000")
        .replace("9002", "9001");
    let text = text.replace("9003", "9002");
    let config = coltsfootkeel_model::FleetConfig::parse("test", &text).unwrap();
    let records = evaluator.apply(&config, at_s(2));
    let usable = |name| records[upstream(&config, name)].is_usable();
    assert_eq!(
        [
            usable("od-0"),
            usable("od-1"),
            usable("od-2"),
            usable("od-9")
        ],
        [true, false, true, true]
    );
    let ramp = |name| records[upstream(&config, name)].ramp_permille();
    assert_eq!([ramp("od-0"), ramp("od-9")], [1_000, 100]);
}

/// Guards against a drain in the configuration that does not take upstreams out of use, or that outlasts the generation
/// that removes it.
#[test]
fn drains_of_the_configuration_follow_the_generation() {
    let text = FleetText::new(&[("od-0", "penang-a"), ("od-1", "johor-a")]);
    let (mut evaluator, _) = new_evaluator(&text.parse(), RampPolicy::LINEAR);
    let cases = [
        (vec![], [true, true]),
        (vec!["{kind: upstream, name: od-0}"], [false, true]),
        (vec!["{kind: region, name: johor}"], [true, false]),
        (vec![], [true, true]),
    ];
    for (second, (drains, usable)) in cases.into_iter().enumerate() {
        let mut text = text.clone();
        text.drains = drains.iter().map(ToString::to_string).collect();
        let records = evaluator.apply(&text.parse(), at_s(second as u64));
        let found: Vec<bool> = records
            .iter()
            .map(|(_, health)| health.is_usable())
            .collect();
        assert_eq!(found, usable, "{drains:?}");
    }
}
