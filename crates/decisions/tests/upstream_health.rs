//! Ejection, ramp and drain of upstreams: tables of events on a pool.

mod steering_fleet;

use std::time::Duration;

use coltsfootkeel_decisions::{
    HealthChangeKind, HealthEvaluator, LoadReport, ProbeResult, RampPolicy, UpstreamHealth,
};
use steering_fleet::{FleetText, at_s, judged, upstream};

/// One event at a second of the history. Upstreams are named by their number.
#[derive(Debug, Clone, Copy)]
enum HealthEvent {
    Fail(usize, u32),
    ConnectError(usize, u32),
    Succeed(usize),
    Probe(usize, ProbeResult),
    Report(usize, u32),
    Refuse(usize),
    PeerDrain(usize, bool),
    Judge,
}

use HealthEvent::{ConnectError, Fail, Judge, PeerDrain, Probe, Refuse, Report, Succeed};

const CLEAN: ProbeResult = ProbeResult::Answered { draining: false };
const LEAVING: ProbeResult = ProbeResult::Answered { draining: true };

struct UsableCase {
    name: &'static str,
    pool: usize,
    events: &'static [(u64, HealthEvent)],
    /// The numbers of the upstreams that may be used afterwards.
    usable: &'static [usize],
}

const USABLE_CASES: &[UsableCase] = &[
    UsableCase {
        name: "four failures are not enough",
        pool: 4,
        events: &[(1, Fail(0, 4)), (1, Judge)],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "five failures eject",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Judge)],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "connect errors are failures",
        pool: 4,
        events: &[(1, Fail(0, 2)), (1, ConnectError(0, 3)), (1, Judge)],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "a success in between starts the count again",
        pool: 4,
        events: &[
            (1, Fail(0, 4)),
            (1, Succeed(0)),
            (1, Fail(0, 4)),
            (1, Judge),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "the first ejection ends after 2 s",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Judge), (2, Judge), (3, Judge)],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "the second ejection needs one failure and lasts 4 s",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Judge),
            (3, Judge),
            (4, Fail(0, 1)),
            (4, Judge),
            (7, Judge),
        ],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "the second ejection ends after 4 s",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Judge),
            (3, Judge),
            (4, Fail(0, 1)),
            (4, Judge),
            (8, Judge),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "a success resets the time to 2 s",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Judge),
            (3, Judge),
            (4, Succeed(0)),
            (4, Fail(0, 5)),
            (4, Judge),
            (6, Judge),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "half of the pool may be ejected",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Fail(1, 5)), (1, Judge)],
        usable: &[2, 3],
    },
    UsableCase {
        name: "beyond half no ejection counts",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Fail(1, 5)),
            (1, Fail(2, 5)),
            (1, Judge),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "beyond half an earlier ejection counts no more",
        pool: 4,
        events: &[
            (1, Fail(0, 5)),
            (1, Judge),
            (2, Fail(1, 5)),
            (2, Fail(2, 5)),
            (2, Judge),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "a single upstream is never ejected",
        pool: 1,
        events: &[(1, Fail(0, 50)), (1, Judge)],
        usable: &[0],
    },
    UsableCase {
        name: "draining upstreams do not count towards the half that stays",
        pool: 4,
        events: &[
            (1, Refuse(0)),
            (1, Refuse(1)),
            (1, Fail(2, 5)),
            (1, Fail(3, 5)),
            (1, Judge),
        ],
        usable: &[2, 3],
    },
    UsableCase {
        name: "an idle report does not override failures",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Report(0, 0)), (1, Judge)],
        usable: &[1, 2, 3],
    },
    UsableCase {
        name: "a good probe does not override failures",
        pool: 4,
        events: &[(1, Fail(0, 5)), (1, Probe(0, CLEAN)), (1, Judge)],
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
            (5, Judge),
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
            (5, Judge),
        ],
        usable: &[0, 1, 2, 3],
    },
    UsableCase {
        name: "a refusal drains before the next judgement",
        pool: 2,
        events: &[(1, Refuse(0))],
        usable: &[1],
    },
    UsableCase {
        name: "a peer notice drains before the next judgement",
        pool: 2,
        events: &[(1, PeerDrain(0, true))],
        usable: &[1],
    },
    UsableCase {
        name: "all upstreams may drain",
        pool: 2,
        events: &[(1, Refuse(0)), (1, PeerDrain(1, true)), (1, Judge)],
        usable: &[],
    },
    UsableCase {
        name: "a health answer drains, and one contrary answer does not end it",
        pool: 2,
        events: &[
            (1, Probe(0, LEAVING)),
            (2, Probe(0, CLEAN)),
            (2, Judge),
            (3, Judge),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "clean health answers for 10 s end a drain learned from a health answer",
        pool: 2,
        events: &[
            (1, Probe(0, LEAVING)),
            (2, Probe(0, CLEAN)),
            (5, Probe(0, CLEAN)),
            (8, Probe(0, CLEAN)),
            (11, Probe(0, CLEAN)),
            (12, Probe(0, CLEAN)),
            (12, Judge),
        ],
        usable: &[0, 1],
    },
    UsableCase {
        name: "a lagging health answer does not end a drain learned from a refusal",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Judge),
            (2, Probe(0, CLEAN)),
            (5, Probe(0, CLEAN)),
            (8, Probe(0, CLEAN)),
            (11, Probe(0, CLEAN)),
            (11, Judge),
            (20, Judge),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "clean health answers for 10 s end a drain learned from a refusal",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Judge),
            (2, Probe(0, CLEAN)),
            (5, Probe(0, CLEAN)),
            (8, Probe(0, CLEAN)),
            (11, Probe(0, CLEAN)),
            (12, Probe(0, CLEAN)),
            (12, Judge),
        ],
        usable: &[0, 1],
    },
    UsableCase {
        name: "two clean health answers 10 s apart are no series",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Judge),
            (2, Probe(0, CLEAN)),
            (12, Probe(0, CLEAN)),
            (12, Judge),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "another refusal starts the 10 s again",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Judge),
            (2, Probe(0, CLEAN)),
            (5, Probe(0, CLEAN)),
            (8, Refuse(0)),
            (8, Judge),
            (8, Probe(0, CLEAN)),
            (11, Probe(0, CLEAN)),
            (12, Probe(0, CLEAN)),
            (12, Judge),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "a failed probe starts the 10 s again",
        pool: 2,
        events: &[
            (1, PeerDrain(0, true)),
            (2, Probe(0, CLEAN)),
            (5, Probe(0, CLEAN)),
            (7, Probe(0, ProbeResult::Failed)),
            (8, Probe(0, CLEAN)),
            (11, Probe(0, CLEAN)),
            (12, Probe(0, CLEAN)),
            (12, Judge),
        ],
        usable: &[1],
    },
    UsableCase {
        name: "a peer notice ends the drain of a peer notice but not of a refusal",
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
        name: "without any health answer a learned drain is forgotten after 10 min",
        pool: 2,
        events: &[
            (1, Refuse(0)),
            (1, Refuse(1)),
            (1, Judge),
            (600, Refuse(1)),
            (600, Judge),
            (601, Judge),
        ],
        usable: &[0],
    },
];

fn run(pool: usize, events: &[(u64, HealthEvent)]) -> HealthRun {
    let config = FleetText::in_one_domain(pool).check();
    let (judge, records) = judged(&config, RampPolicy::LINEAR);
    let records = records.iter().map(|(_, health)| health.clone()).collect();
    let mut run = HealthRun { judge, records };
    for (second, event) in events {
        run.apply(*second, *event);
    }
    run
}

struct HealthRun {
    judge: HealthEvaluator,
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
            Probe(number, result) => self.judge.record_probe(&name(number), result, now),
            Report(number, busy_percent) => {
                let report = LoadReport { busy_percent };
                self.judge.record_load_report(&name(number), report, now);
            }
            Refuse(number) => {
                self.records[number].record_drain_refusal();
            }
            PeerDrain(number, leaving) => {
                self.judge.record_peer_drain(&name(number), leaving, now);
            }
            Judge => {
                self.judge.evaluate(now);
            }
        }
    }

    fn usable(&self) -> Vec<usize> {
        let usable = |number: &usize| self.records[*number].is_usable();
        (0..self.records.len()).filter(usable).collect()
    }
}

/// Guards against upstreams that receive requests although they fail or leave, and against health
/// data that takes away a pool.
#[test]
fn usable_upstreams_follow_the_events() {
    for case in USABLE_CASES {
        let run = run(case.pool, case.events);
        assert_eq!(run.usable(), case.usable, "{}", case.name);
    }
}

/// Guards against an ejection time that stops growing, or grows past its limit.
#[test]
fn ejection_time_doubles_to_60_s() {
    let mut run = run(4, &[]);
    run.apply(1, Fail(0, 5));
    let mut now = 1;
    let mut lengths = Vec::new();
    for _ in 0..7 {
        let changes = run.judge.evaluate(at_s(now));
        let HealthChangeKind::Ejected(length) = changes[0].kind else {
            panic!("expected an ejection at {now} s, found {changes:?}");
        };
        lengths.push(length.as_secs());
        now += length.as_secs();
        assert_eq!(
            run.judge.evaluate(at_s(now))[0].kind,
            HealthChangeKind::Returned
        );
        run.apply(now, Fail(0, 1));
    }
    assert_eq!(lengths, [2, 4, 8, 16, 32, 60, 60]);
}

/// Guards against an upstream that is ejected again for requests that ran before its return.
#[test]
fn failures_during_an_ejection_do_not_extend_it() {
    let mut run = run(
        4,
        &[(1, Fail(0, 5)), (1, Judge), (2, Fail(0, 3)), (3, Judge)],
    );
    assert_eq!(run.usable(), [0, 1, 2, 3]);
    run.apply(4, Judge);
    assert_eq!(run.usable(), [0, 1, 2, 3]);
}

struct RampCase {
    name: &'static str,
    events: &'static [(u64, HealthEvent)],
    ramp: RampPolicy,
    /// The usable parts of the upstreams in thousandths.
    permille: [u32; 3],
}

const RAMP_CASES: &[RampCase] = &[
    RampCase {
        name: "a pool that is new as a whole is not cold",
        events: &[(1, Judge)],
        ramp: RampPolicy::LINEAR,
        permille: [1_000, 1_000, 1_000],
    },
    RampCase {
        name: "an upstream starts at a tenth after its ejection",
        events: &[(1, Fail(0, 5)), (1, Judge), (3, Judge)],
        ramp: RampPolicy::LINEAR,
        permille: [100, 1_000, 1_000],
    },
    RampCase {
        name: "an upstream is half way after 10 s",
        events: &[(1, Fail(0, 5)), (1, Judge), (3, Judge), (13, Judge)],
        ramp: RampPolicy::LINEAR,
        permille: [550, 1_000, 1_000],
    },
    RampCase {
        name: "an upstream is warm after 20 s",
        events: &[(1, Fail(0, 5)), (1, Judge), (3, Judge), (23, Judge)],
        ramp: RampPolicy::LINEAR,
        permille: [1_000, 1_000, 1_000],
    },
    RampCase {
        name: "an upstream ramps after its drain",
        events: &[
            (1, PeerDrain(0, true)),
            (1, Judge),
            (9, PeerDrain(0, false)),
            (9, Judge),
        ],
        ramp: RampPolicy::LINEAR,
        permille: [100, 1_000, 1_000],
    },
    RampCase {
        name: "without a warm upstream the ramp does not apply",
        events: &[
            (1, PeerDrain(0, true)),
            (1, Judge),
            (9, PeerDrain(0, false)),
            (9, PeerDrain(1, true)),
            (9, PeerDrain(2, true)),
            (9, Judge),
        ],
        ramp: RampPolicy::LINEAR,
        permille: [1_000, 1_000, 1_000],
    },
    RampCase {
        name: "an ejection that did not count is followed by no ramp",
        events: &[(1, Fail(0, 5)), (1, Fail(1, 5)), (1, Judge), (3, Judge)],
        ramp: RampPolicy::LINEAR,
        permille: [1_000, 1_000, 1_000],
    },
    RampCase {
        name: "the alternative without a ramp",
        events: &[(1, Fail(0, 5)), (1, Judge), (3, Judge)],
        ramp: RampPolicy::NONE,
        permille: [1_000, 1_000, 1_000],
    },
];

/// Guards against cold upstreams that receive all their requests at once, and against a ramp that
/// refuses requests because nothing else is there to take them.
#[test]
fn ramps_follow_the_events() {
    for case in RAMP_CASES {
        let config = FleetText::in_one_domain(3).check();
        let (judge, records) = judged(&config, case.ramp);
        let records = records.iter().map(|(_, health)| health.clone()).collect();
        let mut run = HealthRun { judge, records };
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
    load_percent: u32,
}

const LOAD_CASES: &[LoadCase] = &[
    LoadCase {
        name: "no report is neutral",
        events: &[(1, Judge)],
        load_percent: 100,
    },
    LoadCase {
        name: "an idle report is neutral",
        events: &[(1, Report(0, 0)), (1, Judge)],
        load_percent: 100,
    },
    LoadCase {
        name: "a busy report raises the cost",
        events: &[(1, Report(0, 60)), (6, Judge)],
        load_percent: 160,
    },
    LoadCase {
        name: "an absurd report at most doubles it",
        events: &[(1, Report(0, 4_000_000)), (1, Judge)],
        load_percent: 200,
    },
    LoadCase {
        name: "a report older than 5 s is ignored",
        events: &[(1, Report(0, 60)), (7, Judge)],
        load_percent: 100,
    },
];

/// Guards against reports that attract requests, never end, or weigh more than results.
#[test]
fn reports_only_raise_the_cost() {
    for case in LOAD_CASES {
        let run = run(1, case.events);
        assert_eq!(
            run.records[0].load_cost_percent(),
            case.load_percent,
            "{}",
            case.name
        );
    }
}

/// Guards against state that is lost or swapped when a generation numbers the upstreams differently.
#[test]
fn state_is_kept_by_name_across_generations() {
    let first = FleetText::new(&[
        ("od-0", "penang-a"),
        ("od-1", "penang-a"),
        ("od-2", "penang-a"),
    ]);
    let (mut judge, records) = judged(&first.check(), RampPolicy::LINEAR);
    let config = first.check();
    for _ in 0..5 {
        records[upstream(&config, "od-1")].record_failure();
    }
    judge.evaluate(at_s(1));
    let mut second = first.clone();
    second.upstreams.insert(0, ("od-9".to_string(), "penang-a"));
    // The addresses of the others stay as they were.
    let text = second.render();
    let text = text
        .replace("9000", "8999")
        .replace("9001", "9000")
        .replace("9002", "9001");
    let text = text.replace("9003", "9002");
    let config = coltsfootkeel_model::FleetConfig::parse("test", &text).unwrap();
    let records = judge.apply(&config, at_s(2));
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

/// Guards against a drain in the configuration that is not noticed, or not ended.
#[test]
fn drains_of_the_configuration_follow_the_generation() {
    let text = FleetText::new(&[("od-0", "penang-a"), ("od-1", "johor-a")]);
    let (mut judge, _) = judged(&text.check(), RampPolicy::LINEAR);
    let cases = [
        (vec![], [true, true]),
        (vec!["{kind: upstream, name: od-0}"], [false, true]),
        (vec!["{kind: region, name: johor}"], [true, false]),
        (vec![], [true, true]),
    ];
    for (second, (drains, usable)) in cases.into_iter().enumerate() {
        let mut text = text.clone();
        text.drains = drains.iter().map(ToString::to_string).collect();
        let records = judge.apply(&text.check(), at_s(second as u64));
        let found: Vec<bool> = records
            .iter()
            .map(|(_, health)| health.is_usable())
            .collect();
        assert_eq!(found, usable, "{drains:?}");
    }
}
