//! The record of an upstream stand-in without connections.

use coltsfootkeel_standins::{
    DETAIL_LIMIT, RunEnd, RunOutcome, RunRecord, RunStart, RunTotals, StartedRun,
};

enum Step {
    /// Begins a request and keeps it under the next number if it runs.
    Begin,
    /// Ends the request with this number.
    Finish(usize, RunOutcome),
    Refuse,
}

struct TotalsCase {
    label: &'static str,
    slots: u32,
    steps: &'static [Step],
    totals: RunTotals,
}

const NOTHING: RunTotals = RunTotals {
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

/// Guards against totals that count a shed request as run or forget to free a slot.
#[test]
fn totals_follow_starts_and_ends() {
    let cases = [
        TotalsCase {
            label: "no slots",
            slots: 0,
            steps: &[Step::Begin],
            totals: RunTotals { shed: 1, ..NOTHING },
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
                ..NOTHING
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
                ..NOTHING
            },
        },
    ];
    for case in cases {
        let mut record = RunRecord::new();
        let mut runs: Vec<StartedRun> = Vec::new();
        for (order, step) in (0..).zip(case.steps) {
            match step {
                Step::Begin => runs.extend(record.begin(case.slots, order, RunStart::default())),
                Step::Finish(number, outcome) => record.finish(runs[*number], end(order, *outcome)),
                Step::Refuse => record.refuse(),
            }
        }
        assert_eq!(record.totals(), case.totals, "{}", case.label);
        let started = usize::try_from(case.totals.started).unwrap();
        assert_eq!(record.entries().len(), started, "{}", case.label);
    }
}

/// Guards against a long measurement that fills the memory or loses count.
#[test]
fn totals_stay_exact_beyond_the_kept_details() {
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
