//! Load generator and comparison. No test asserts a time or a rate, since both depend on the load of the machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_standins::{
    AccountMix, CallRequest, CompareError, ComparePlan, CrashMode, LoadBound, LoadPlan,
    LoadPlanError, MAX_BODY_BYTES, MAX_CONCURRENCY, MAX_REQUESTS, MAX_TIME, RawLoad,
    SequenceCounter, UpstreamHandle, UpstreamOptions, UpstreamProfile, run_compare, run_load,
};
use http::Method;

fn start_upstream(slots: u32) -> UpstreamHandle {
    let options = UpstreamOptions {
        profile: UpstreamProfile {
            name: "od-1".to_owned(),
            slots,
            work: Duration::ZERO,
            cold_requests: 0,
            cold_extra: Duration::ZERO,
        },
        listen: loopback(0),
        crash: CrashMode::Soft(Duration::from_millis(100)),
        threads: 1,
    };
    UpstreamHandle::start(options, SequenceCounter::default()).expect("a free port")
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn raw_load(target: SocketAddr) -> RawLoad {
    RawLoad {
        target,
        concurrency: 4,
        bound: LoadBound::Requests(100),
        rate_per_s: None,
        mix: Vec::new(),
        method: "GET".to_owned(),
        path: "/load".to_owned(),
        body_bytes: 0,
        work_ms: None,
    }
}

fn parse_mix(lines: &[&str]) -> Vec<AccountMix> {
    lines.iter().map(|line| line.parse().unwrap()).collect()
}

struct PlanCase {
    label: &'static str,
    change: fn(&mut RawLoad),
    is_accepted: bool,
}

/// Guards against load that is sent to another machine or has no bound.
#[test]
fn plans_are_bounded() {
    let cases = [
        PlanCase {
            label: "valid plan",
            change: |_| {},
            is_accepted: true,
        },
        PlanCase {
            label: "target outside loopback",
            change: |raw| raw.target = SocketAddr::from(([192, 0, 2, 1], 80)),
            is_accepted: false,
        },
        PlanCase {
            label: "no requests",
            change: |raw| raw.bound = LoadBound::Requests(0),
            is_accepted: false,
        },
        PlanCase {
            label: "too many requests",
            change: |raw| raw.bound = LoadBound::Requests(MAX_REQUESTS + 1),
            is_accepted: false,
        },
        PlanCase {
            label: "too long",
            change: |raw| raw.bound = LoadBound::Time(MAX_TIME + Duration::from_millis(1)),
            is_accepted: false,
        },
        PlanCase {
            label: "longest time",
            change: |raw| raw.bound = LoadBound::Time(MAX_TIME),
            is_accepted: true,
        },
        PlanCase {
            label: "no connection",
            change: |raw| raw.concurrency = 0,
            is_accepted: false,
        },
        PlanCase {
            label: "too many connections",
            change: |raw| raw.concurrency = MAX_CONCURRENCY + 1,
            is_accepted: false,
        },
        PlanCase {
            label: "too long a body",
            change: |raw| raw.body_bytes = MAX_BODY_BYTES + 1,
            is_accepted: false,
        },
        PlanCase {
            label: "rate of zero",
            change: |raw| raw.rate_per_s = Some(0.0),
            is_accepted: false,
        },
        PlanCase {
            label: "rate that is not a number",
            change: |raw| raw.rate_per_s = Some(f64::NAN),
            is_accepted: false,
        },
        PlanCase {
            label: "more accounts than connections",
            change: |raw| {
                raw.concurrency = 1;
                raw.mix = parse_mix(&["a ka 10", "b kb -"]);
            },
            is_accepted: false,
        },
        PlanCase {
            label: "invalid method",
            change: |raw| raw.method = "GE T".to_owned(),
            is_accepted: false,
        },
    ];
    for case in cases {
        let mut raw = raw_load(loopback(9001));
        (case.change)(&mut raw);
        let plan = LoadPlan::try_from(raw);
        assert_eq!(plan.is_ok(), case.is_accepted, "{}: {plan:?}", case.label);
    }
}

struct MixCase {
    line: &'static str,
    rate: Result<Option<f64>, ()>,
}

/// Guards against a mix line that is parsed with a wrong rate, or accepted although it is malformed.
#[test]
fn mix_lines_are_parsed() {
    let cases = [
        MixCase {
            line: "hotel-group key-1 120",
            rate: Ok(Some(120.0)),
        },
        MixCase {
            line: "  hotel-group   key-1  - ",
            rate: Ok(None),
        },
        MixCase {
            line: "hotel-group key-1",
            rate: Err(()),
        },
        MixCase {
            line: "hotel-group key-1 fast",
            rate: Err(()),
        },
        MixCase {
            line: "hotel-group key-1 1 2",
            rate: Err(()),
        },
    ];
    for case in cases {
        let rate = case.line.parse().map(|mix: AccountMix| mix.rate_per_s);
        assert_eq!(rate.map_err(|_| ()), case.rate, "{:?}", case.line);
    }
}

struct CountCase {
    label: &'static str,
    slots: u32,
    change: fn(&mut RawLoad),
    statuses: &'static [(u16, u64)],
    runs: &'static [(&'static str, u64)],
    started: u64,
}

/// Guards against a report whose counts differ from those of the upstream.
#[tokio::test]
async fn reports_count_exactly() {
    let cases = [
        CountCase {
            label: "closed loop",
            slots: 9,
            change: |_| {},
            statuses: &[(200, 100)],
            runs: &[],
            started: 100,
        },
        CountCase {
            label: "open loop",
            slots: 9,
            change: |raw| raw.rate_per_s = Some(5000.0),
            statuses: &[(200, 100)],
            runs: &[],
            started: 100,
        },
        CountCase {
            label: "two accounts",
            slots: 9,
            change: |raw| raw.mix = parse_mix(&["a ka 2000", "b kb -"]),
            statuses: &[(200, 100)],
            runs: &[],
            started: 100,
        },
        CountCase {
            label: "all shed",
            slots: 0,
            change: |_| {},
            statuses: &[(503, 100)],
            runs: &[("not-run", 100)],
            started: 0,
        },
    ];
    for case in cases {
        let upstream = start_upstream(case.slots);
        let mut raw = raw_load(upstream.address());
        (case.change)(&mut raw);
        let lanes = raw.mix.len().max(1);
        let report = run_load(&LoadPlan::try_from(raw).unwrap()).await;
        let statuses: BTreeMap<_, _> = case.statuses.iter().copied().collect();
        let runs: BTreeMap<_, _> = case
            .runs
            .iter()
            .map(|(run, count)| ((*run).to_owned(), *count))
            .collect();
        assert_eq!(report.total.requests, 100, "{}", case.label);
        assert_eq!(report.total.statuses, statuses, "{}", case.label);
        assert_eq!(report.total.runs, runs, "{}", case.label);
        assert!(report.total.errors.is_empty(), "{}", case.label);
        assert_eq!(report.lanes.len(), lanes, "{}", case.label);
        let sum: u64 = report.lanes.iter().map(|lane| lane.requests).sum();
        assert_eq!(sum, 100, "{}", case.label);
        let started = upstream.state().totals().started;
        assert_eq!(started, case.started, "{}", case.label);
    }
}

/// Guards against a run that omits failed connects from its report, or that doesn't end if all connects fail.
#[tokio::test]
async fn failed_connects_are_counted() {
    let closed = start_upstream(1);
    let address = closed.address();
    drop(closed);
    let mut raw = raw_load(address);
    raw.bound = LoadBound::Requests(8);
    let report = run_load(&LoadPlan::try_from(raw).unwrap()).await;
    let expected = BTreeMap::from([("connect failed", 8)]);
    assert_eq!(report.total.errors, expected);
    assert_eq!(report.total.latency_2xx.count, 0);
}

struct CompareCase {
    label: &'static str,
    entry_slots: u32,
    rounds: usize,
    is_compared: bool,
}

/// Guards against a comparison of answers with refusals, and against one without bounds.
#[tokio::test]
async fn comparisons_require_2xx_answers_of_both_sides() {
    let cases = [
        CompareCase {
            label: "both answer",
            entry_slots: 9,
            rounds: 4,
            is_compared: true,
        },
        CompareCase {
            label: "the entry instance refuses",
            entry_slots: 0,
            rounds: 4,
            is_compared: false,
        },
        CompareCase {
            label: "no rounds",
            entry_slots: 9,
            rounds: 0,
            is_compared: false,
        },
    ];
    for case in cases {
        let direct = start_upstream(9);
        let entry = start_upstream(case.entry_slots);
        let request = CallRequest::new(Method::GET, "/load");
        let plan = ComparePlan {
            direct: direct.address(),
            entry: entry.address(),
            direct_request: request.clone(),
            entry_request: request,
            concurrency: 2,
            block: Duration::from_millis(5),
            rounds: case.rounds,
        };
        let result = run_compare(&plan).await;
        assert_eq!(
            result.is_ok(),
            case.is_compared,
            "{}: {result:?}",
            case.label
        );
    }
}

/// Guards against a comparison that sends load to another machine.
#[tokio::test]
async fn comparisons_stay_on_loopback() {
    let outside = SocketAddr::from(([192, 0, 2, 1], 80));
    let request = CallRequest::new(Method::GET, "/load");
    let plan = ComparePlan {
        direct: loopback(9001),
        entry: outside,
        direct_request: request.clone(),
        entry_request: request,
        concurrency: 1,
        block: Duration::from_millis(5),
        rounds: 1,
    };
    let error = run_compare(&plan).await.unwrap_err();
    let CompareError::Plan(error) = error else {
        panic!("{error}");
    };
    assert_eq!(error, LoadPlanError::Target(outside));
}
