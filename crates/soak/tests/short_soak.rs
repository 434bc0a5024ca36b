//! A short seeded run in CI, and the seeds that once failed.

use std::time::Duration;

use coltsfootkeel_soak::{SoakPlan, run_soak};

struct SoakCase {
    name: &'static str,
    seed: u64,
    seconds: u64,
}

/// Guards against promises that hold in the tests of single faults and break when faults overlap.
#[test]
fn promises_hold_under_overlapping_faults() {
    let cases = [SoakCase {
        name: "a short run",
        seed: 1,
        seconds: 8,
    }];
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for case in cases {
        let report = runtime.block_on(run_soak(SoakPlan {
            seed: case.seed,
            duration: Duration::from_secs(case.seconds),
            instances: 3,
            upstreams: 4,
            callers: 6,
        }));
        let report = report.unwrap();
        assert!(report.served > 0, "{}: nothing was served", case.name);
        let broken = &report.broken;
        assert!(
            broken.is_empty(),
            "{}: {broken:?}\n{:#?}",
            case.name,
            report.faults
        );
    }
}
