//! Load reports of upstreams: what is believed, for how long, and what placement gains by them.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ArenaKey, DomainKey, RegionKey};
use coltsfootkeel_steering::{
    CostExposure, LoadReport, LoadView, PlacementRequest, PredictedTimes, RawLoadReport,
    TimeEstimate, UpstreamCandidate, UpstreamInfo, UpstreamState, combine_hashes,
};

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 4;

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn upstream(id: usize) -> UpstreamState {
    let info = UpstreamInfo {
        id: format!("u-{id}"),
        domain: DomainKey::from_index(0),
        region: RegionKey::from_index(0),
        slots: SLOTS,
    };
    UpstreamState::new(info, MonotonicTime::default(), false)
}

fn report(running: u32, waiting: u32, cost_percent: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: SLOTS,
        cost_percent: Some(cost_percent),
    }
}

struct ReportCase {
    name: &'static str,
    figures: [f64; 3],
    cost_percent: Option<f64>,
    is_possible: bool,
}

/// Guards against figures that no upstream can have, which would make it look idle or full for ever.
#[test]
fn impossible_reports_are_refused() {
    let case = |name, figures, cost_percent, is_possible| ReportCase {
        name,
        figures,
        cost_percent,
        is_possible,
    };
    let cases = [
        case("usual", [3.0, 0.0, 4.0], Some(100.0), true),
        case("without a cost", [4.0, 12.0, 4.0], None, true),
        case("more running than slots", [5.0, 0.0, 4.0], None, false),
        case("no slots", [0.0, 0.0, 0.0], None, false),
        case("negative", [0.0, -1.0, 4.0], None, false),
        case("half a request", [0.5, 0.0, 4.0], None, false),
        case("not a number", [f64::NAN, 0.0, 4.0], None, false),
        case("work without a cost", [0.0, 0.0, 4.0], Some(0.0), false),
        case("infinite cost", [0.0, 0.0, 4.0], Some(f64::INFINITY), false),
    ];
    for case in cases {
        let [running, waiting, slots] = case.figures;
        let raw = RawLoadReport {
            running,
            waiting,
            slots,
            cost_percent: case.cost_percent,
        };
        let is_possible = LoadReport::try_from(raw).is_ok();
        assert_eq!(is_possible, case.is_possible, "{}", case.name);
    }
}

struct CorrectionCase {
    name: &'static str,
    stated: (u32, u32),
    sent: u32,
    peers: u32,
    now_ms: u64,
    in_flight: Option<u32>,
}

/// Guards against an upstream that gets the requests of all instances because its last report was made before them, and
/// against one that stays full by an old report.
#[test]
fn reports_are_corrected_by_what_was_sent_and_expire() {
    let case = |name, stated, sent, peers, now_ms, in_flight| CorrectionCase {
        name,
        stated,
        sent,
        peers,
        now_ms,
        in_flight,
    };
    let cases = [
        case("as stated", (3, 0), 0, 2, 1_000, Some(3)),
        case("sent since", (3, 0), 4, 2, 1_100, Some(7)),
        case("peers have sent since", (3, 0), 0, 5, 1_100, Some(6)),
        case("finished at peers", (4, 2), 0, 0, 1_100, Some(4)),
        case("less than sent from here", (0, 0), 3, 0, 1_100, Some(3)),
        case("too old", (4, 12), 0, 2, 1_600, None),
    ];
    for case in cases {
        let state = upstream(0);
        state.set_peer_in_flight(2);
        let (running, waiting) = case.stated;
        state.record_load(report(running, waiting, 100), at(1_000), 0);
        // A report that another instance received before arrives late.
        state.record_load(report(4, 12, 400), at(900), 0);
        (0..case.sent).for_each(|_| state.begin_request());
        state.set_peer_in_flight(case.peers);
        let load = state.stated_load(at(case.now_ms));
        let in_flight = load.map(|load| load.in_flight);
        assert_eq!(in_flight, case.in_flight, "{}", case.name);
    }
}

/// Guards against a busy upstream that is avoided by all instances and then taken by all at the same moment.
#[test]
fn busy_upstream_gets_its_share_back_in_steps() {
    let state = upstream(0);
    state.record_load(report(1, 0, 250), at(1_000), 0);
    let factors = [250, 300, 350, 400, 500].map(|age| state.load(at(1_000 + age)).cost_factor);
    assert!((factors[0] - 2.5).abs() < 0.01, "{factors:?}");
    assert!(factors.is_sorted_by(|a, b| a > b), "{factors:?}");
    assert!((factors[4] - 1.0).abs() < 0.01, "{factors:?}");
}

struct LifetimeCase {
    name: &'static str,
    raised_ms: u64,
    interval_ms: u64,
    lifetime_ms: [u64; 2],
}

/// Guards against a bound on the age of reports that does not follow how long raised costs last.
#[test]
fn reports_count_for_as_long_as_raised_costs_last() {
    let case = |name, raised_ms, interval_ms, lifetime_ms| LifetimeCase {
        name,
        raised_ms,
        interval_ms,
        lifetime_ms,
    };
    let cases = [
        case("600 ms at a time", 600, 70, [500, 700]),
        case("200 ms at a time", 200, 30, [150, 250]),
        case("faster than reports travel", 20, 5, [100, 100]),
        case("for minutes", 60_000, 200, [2_000, 2_000]),
    ];
    for case in cases {
        let state = upstream(0);
        let mut exposure = CostExposure::default();
        let mut lifetime = Duration::ZERO;
        for time in (0..180_000).step_by(usize::try_from(case.interval_ms).unwrap()) {
            let cost = if time % (2 * case.raised_ms) < case.raised_ms {
                250
            } else {
                100
            };
            state.record_load(report(1, 0, cost), at(time), 0);
            lifetime = exposure.add(state.reported_load.take_exposure());
        }
        let [shortest, longest] = case.lifetime_ms.map(Duration::from_millis);
        assert!(
            (shortest..=longest).contains(&lifetime),
            "{}: {lifetime:?}",
            case.name
        );
    }
}

/// Guards against an upstream that states a high cost for ever and gets no requests, and against one that is believed
/// never again after it was wrong.
#[test]
fn own_observation_wins_where_a_report_is_wrong_for_long() {
    let state = upstream(0);
    let answer = |measured| {
        state.record_load(report(0, 0, 250), at(1_000), 0);
        let stated = state.stated_load(at(1_000)).unwrap();
        state.reported_load.record_prediction(PredictedTimes {
            measured,
            reported: stated.run_time(200 * MS),
            observed: 200 * MS,
        });
        state.load(at(1_000)).cost_factor > 1.0
    };
    assert!(answer(200 * MS), "one answer may be fast by chance");
    let believed = (0..8).filter(|_| answer(200 * MS)).count();
    assert!(believed < 8, "still believed after nine answers");
    let believed = (0..16).filter(|_| answer(500 * MS)).count();
    assert!(believed > 8, "not believed again: {believed} of 16");
}

/// Upstreams of the replayed load.
const UPSTREAMS: usize = 42;
/// One upstream in this many is slow at any time.
const SLOW_ONE_IN: usize = 7;
const SLOW_MS: u64 = 600;
const WARM: Duration = Duration::from_millis(130);
const COLD: Duration = Duration::from_millis(440);
const OBJECTIVE: Duration = Duration::from_millis(300);

/// Returns the cost of work at an upstream in percent.
fn cost_percent(upstream: usize, now_ms: u64) -> u32 {
    let period = usize::try_from(now_ms / SLOW_MS).unwrap();
    // A different seventh of the upstreams in each period.
    let is_slow = (upstream + period * 5).is_multiple_of(SLOW_ONE_IN);
    if is_slow { 250 } else { 100 }
}

/// Replays 20 s in which one upstream in seven is 2.5 times slower for 600 ms at a time, and returns how many of the
/// answers miss the objective.
fn late_answers(load: fn(&UpstreamState, MonotonicTime) -> LoadView) -> usize {
    let states: Vec<UpstreamState> = (0..UPSTREAMS).map(upstream).collect();
    let mut answers: HashMap<u64, Vec<(usize, Duration)>> = HashMap::new();
    let mut exposure = CostExposure::default();
    let mut late = 0;
    for now_ms in 0..20_000 {
        let now = at(now_ms);
        if now_ms % 100 == 0 {
            for state in &states {
                let lifetime = exposure.add(state.reported_load.take_exposure());
                state.reported_load.set_lifetime(lifetime);
            }
        }
        for (key, run) in answers.remove(&now_ms).unwrap_or_default() {
            states[key].end_request();
            let cost = cost_percent(key, now_ms);
            states[key].record_load(report(states[key].own_in_flight(), 0, cost), now, 0);
            states[key].record_latency(run, WARM, now);
            late += usize::from(run > OBJECTIVE);
        }
        // A request every 3 ms keeps a third of the slots busy.
        if now_ms % 3 != 0 {
            continue;
        }
        let object = combine_hashes(now_ms * 7_919 % 400, 1);
        let request = PlacementRequest {
            slot_time: WARM,
            objective: OBJECTIVE,
            objective_left: OBJECTIVE,
            deadline_left: 2_500 * MS,
            may_migrate: false,
            may_change_region: false,
        };
        let candidates = states.iter().enumerate().map(|(key, state)| {
            let load = load(state, now);
            UpstreamCandidate {
                key,
                rendezvous_hash: combine_hashes(object, state.hash),
                is_assigned_region: true,
                times: TimeEstimate {
                    warm: WARM,
                    cold: COLD,
                },
                in_flight: load.in_flight,
                slots: SLOTS,
                // Each object is warm at a few upstreams.
                is_warm: combine_hashes(state.hash, object).is_multiple_of(10),
                is_cache_full: false,
                slowness: load.slowness,
                cost_factor: load.cost_factor,
            }
        });
        let Some(decision) = request.choose(candidates) else {
            late += 1;
            continue;
        };
        let work = if decision.is_warm { WARM } else { COLD };
        let run = work * cost_percent(decision.key, now_ms) / 100;
        states[decision.key].begin_request();
        let end_ms = now_ms + u64::try_from(run.as_millis()).unwrap();
        answers.entry(end_ms).or_default().push((decision.key, run));
    }
    late
}

/// Guards against busy upstreams that are noticed only by their slow answers: a seventh of the answers would be late.
#[test]
fn reports_halve_the_late_answers_of_busy_upstreams() {
    let observed = late_answers(UpstreamState::observed_load);
    let reported = late_answers(UpstreamState::load);
    assert!(
        reported * 2 < observed,
        "{reported} late with reports, {observed} without"
    );
}
