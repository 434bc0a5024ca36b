//! Tests of the record of an upstream stand-in, without connections.

use coltsfootkeel_standins::{
    DETAIL_LIMIT, RunEnd, RunOutcome, RunRecord, RunStart, RunTotals, StartedRun,
};

enum Step {
    /// Begins a request. If it runs, it gets the next index, from 0.
    Begin,
    /// Ends the request with this index.
    Finish(usize, RunOutcome),
    Refuse,
}

struct TotalsCase {
    label: &'static str,
    slots: u32,
    steps: &'static [Step],
    totals: RunTotals,
}

const ZERO_TOTALS: RunTotals = RunTotals {
    started: 0,
    completed: 0,
    shed: 0,
    refused: 0,
    crashes: 0,
    running: 0,
    highest_running: 0,
};

fn end(order: u64, outcome: RunOutcome) -> RunEnd {
    RunEnd {
        order,
        outcome,
        body_bytes: 0,
        body_sha256: String::new(),
    }
}

/// Guards against totals that count a shed request as started, and against slots that an ended request still occupies.
#[test]
fn totals_follow_starts_and_ends() {
    let cases = [
        TotalsCase {
            label: "no slots",
            slots: 0,
            steps: &[Step::Begin],
            totals: RunTotals {
                shed: 1,
                ..ZERO_TOTALS
            },
        },
        TotalsCase {
            label: "full, then freed",
            slots: 1,
            steps: &[
                Step::Begin,
                Step::Begin,
                Step::Finish(0, RunOutcome::Completed),
                Step::Begin,
            ],
            totals: RunTotals {
                started: 2,
                completed: 1,
                shed: 1,
                running: 1,
                highest_running: 1,
                ..ZERO_TOTALS
            },
        },
        TotalsCase {
            label: "highest stays after the ends",
            slots: 9,
            steps: &[
                Step::Begin,
                Step::Begin,
                Step::Finish(1, RunOutcome::Cancelled),
                Step::Finish(0, RunOutcome::Crashed),
                Step::Begin,
                Step::Finish(2, RunOutcome::Cut),
                Step::Refuse,
            ],
            totals: RunTotals {
                started: 3,
                crashes: 1,
                refused: 1,
                highest_running: 2,
                ..ZERO_TOTALS
            },
        },
    ];
    for case in cases {
        let mut record = RunRecord::new();
        let mut runs: Vec<StartedRun> = Vec::new();
        for (order, step) in (0..).zip(case.steps) {
            match step {
                Step::Begin => runs.extend(record.begin(case.slots, order, RunStart::default())),
                Step::Finish(index, outcome) => record.finish(runs[*index], end(order, *outcome)),
                Step::Refuse => record.refuse(),
            }
        }
        assert_eq!(record.totals(), case.totals, "{}", case.label);
        let started = usize::try_from(case.totals.started).unwrap();
        assert_eq!(record.entries().len(), started, "{}", case.label);
    }
}

/// Guards against a long measurement that exhausts the memory with details, or whose totals stop at the number of
/// stored details.
#[test]
fn totals_count_requests_above_the_detail_limit() {
    let mut record = RunRecord::new();
    let requests = DETAIL_LIMIT as u64 + 10;
    for order in 0..requests {
        let run = record.begin(1, order, RunStart::default()).unwrap();
        record.finish(run, end(order, RunOutcome::Completed));
    }
    let totals = record.totals();
    assert_eq!((totals.started, totals.completed), (requests, requests));
    assert_eq!(record.entries().len(), DETAIL_LIMIT);
}
