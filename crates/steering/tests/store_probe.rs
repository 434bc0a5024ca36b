//! Selection of the task that calls the store again while calls to it fail.

use coltsfootkeel_steering::{ProbeTurn, StoreProbe};

#[derive(Debug, Clone, Copy)]
enum Event {
    Fails(u8, ProbeTurn),
    Answers { ends_probe: bool },
}

struct ProbeCase {
    name: &'static str,
    events: Vec<Event>,
}

/// Guards against calls of every task while the store is away, and against tasks that wait although none probes.
#[test]
fn one_task_probes_until_any_task_gets_an_answer() {
    use Event::{Answers, Fails};
    fn waits(answers: u64) -> ProbeTurn {
        ProbeTurn::Waits { answers }
    }
    let cases = [
        ProbeCase {
            name: "the first to fail probes, also after further failures",
            events: vec![
                Fails(1, ProbeTurn::Probes),
                Fails(2, waits(0)),
                Fails(1, ProbeTurn::Probes),
                Fails(3, waits(0)),
            ],
        },
        ProbeCase {
            name: "after an answer the next to fail probes",
            events: vec![
                Fails(1, ProbeTurn::Probes),
                Fails(2, waits(0)),
                Answers { ends_probe: true },
                Fails(2, ProbeTurn::Probes),
                Fails(1, waits(1)),
            ],
        },
        ProbeCase {
            name: "an answer without a probe releases nobody",
            events: vec![
                Answers { ends_probe: false },
                Fails(1, ProbeTurn::Probes),
                Fails(2, waits(0)),
            ],
        },
    ];
    for case in cases {
        let mut probe = StoreProbe::default();
        for event in case.events {
            match event {
                Fails(task, expected) => {
                    assert_eq!(probe.record_failure(task), expected, "{}", case.name);
                }
                Answers { ends_probe } => {
                    assert_eq!(probe.record_answer(), ends_probe, "{}", case.name);
                }
            }
        }
    }
}
