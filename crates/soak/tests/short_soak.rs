//! Short soak runs with fixed seeds, for CI. A seed that has failed once is added as a case.

use std::time::Duration;

use coltsfootkeel_soak::{SoakPlan, run_soak};

struct SoakCase {
    name: &'static str,
    seed: u64,
    seconds: u64,
}

/// Guards against violations of a guarantee that appear only when faults overlap; the other tests inject one fault
/// each.
#[test]
fn guarantees_hold_under_overlapping_faults() {
    let cases = [
        SoakCase {
            name: "a short run",
            seed: 1,
            seconds: 8,
        },
        // An instance missed a withdrawal that the others had, and took an outage that followed for a confirmation of its
        // plan.
        SoakCase {
            name: "a withdrawal before an outage",
            seed: 3013,
            seconds: 20,
        },
    ];
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
        let violations = &report.violations;
        assert!(
            violations.is_empty(),
            "{}: {violations:?}\n{:#?}",
            case.name,
            report.faults
        );
    }
}
