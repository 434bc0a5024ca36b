//! Short soak runs with fixed seeds, for CI. A seed that has failed once is added as a case.

use std::time::Duration;

use coltsfootkeel_soak::{SoakPlan, SoakProfile, run_soak};

/// Runs at the same time, so that the test takes about two minutes.
const RUNS_AT_ONCE: usize = 2;

struct SoakCase {
    name: &'static str,
    profile: SoakProfile,
    seed: u64,
    seconds: u64,
    instances: usize,
}

impl SoakCase {
    fn plan(&self) -> SoakPlan {
        SoakPlan {
            profile: self.profile,
            seed: self.seed,
            duration: Duration::from_secs(self.seconds),
            instances: self.instances,
            upstreams: 4,
            callers: 6,
        }
    }
}

/// Guards against violations of a guarantee that appear only when faults overlap; the other tests inject one fault
/// each.
#[test]
fn guarantees_hold_under_overlapping_faults() {
    let cases = [
        SoakCase {
            name: "a short run",
            profile: SoakProfile::AllFaults,
            seed: 1,
            seconds: 8,
            instances: 3,
        },
        // An instance missed a withdrawal that the others had, and took an outage that followed for a confirmation of its
        // plan.
        SoakCase {
            name: "a withdrawal before an outage",
            profile: SoakProfile::AllFaults,
            seed: 3013,
            seconds: 20,
            instances: 3,
        },
        // All connections to the store were silent when a key was granted, and the store went away. The key was refused as
        // unknown.
        SoakCase {
            name: "a granted key before an outage",
            profile: SoakProfile::AllFaults,
            seed: 9112,
            seconds: 20,
            instances: 3,
        },
        // All connections to the store were silent when a key was withdrawn, and the store went away.
        SoakCase {
            name: "a withdrawal that nobody heard of before an outage",
            profile: SoakProfile::AllFaults,
            seed: 9107,
            seconds: 20,
            instances: 3,
        },
        // The store turned all instances away one by one and accepted a withdrawal.
        SoakCase {
            name: "a withdrawal while all instances are cut off",
            profile: SoakProfile::AllFaults,
            seed: 7040,
            seconds: 20,
            instances: 3,
        },
        SoakCase {
            name: "returns of the store from older copies",
            profile: SoakProfile::StoreReturns,
            seed: 20_007,
            seconds: 12,
            instances: 3,
        },
        SoakCase {
            name: "stops, reloads and departures without a fault",
            profile: SoakProfile::PlannedWork,
            seed: 1,
            seconds: 15,
            instances: 3,
        },
        SoakCase {
            name: "a fleet in which heartbeats are passed on",
            profile: SoakProfile::AllFaults,
            seed: 11000,
            seconds: 12,
            instances: 20,
        },
    ];
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for pair in cases.chunks(RUNS_AT_ONCE) {
        let runs: Vec<_> = pair
            .iter()
            .map(|case| runtime.spawn(run_soak(case.plan())))
            .collect();
        for (case, run) in pair.iter().zip(runs) {
            let report = runtime.block_on(run).unwrap().unwrap();
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
}
