//! Histories of a request that crashes each upstream that runs it, beside a popular request that does
//! not. Notices between instances are lost, late and repeated.
//!
//! 256 histories are tried. `FUZZ_HISTORIES=10000` tries that many. The seed is fixed.

use std::collections::BTreeMap;
use std::env;
use std::sync::Mutex;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    BodyDigest, CRASHES_TO_REFUSE, ClearReport, CrashId, CrashReport, RequestHead,
    SuspectFingerprint, SuspectList,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const SEED: u64 = 0x5355_5350_4543_5453;
const HISTORIES: u32 = 256;
const LONGEST_HISTORY: usize = 120;

const INSTANCES: usize = 7;
const UPSTREAMS: usize = 20;

/// The least time in which a crashed upstream is back.
const RESTART: Duration = Duration::from_secs(5);

/// What all histories together came to.
#[derive(Debug)]
struct CrashFigures {
    /// Histories by how many upstreams crashed.
    crashes: BTreeMap<usize, u32>,
    /// Histories at whose end some instance refuses the popular request.
    popular_refused: u32,
}

static FIGURES: Mutex<CrashFigures> = Mutex::new(CrashFigures {
    crashes: BTreeMap::new(),
    popular_refused: 0,
});

fn print_of(target: &str) -> SuspectFingerprint {
    let head = RequestHead {
        account: "hotel-group",
        method: "GET",
        target,
        content_length: None,
    };
    head.with_body(BodyDigest::default())
}

/// One step of a history. Numbers select among what exists at that moment.
#[derive(Debug, Clone)]
enum CrashStep {
    /// The caller of the crashing request sends it to an instance.
    SendCrashing { instance: usize, upstream: usize },
    /// A caller sends the popular request to an instance.
    SendPopular { instance: usize, upstream: usize },
    /// A popular request is answered.
    Answer { pick: usize },
    /// An upstream that runs the crashing request crashes.
    Crash,
    /// A notice arrives.
    Deliver { notice: usize },
    /// A notice arrives, and will arrive again.
    Repeat { notice: usize },
    /// A notice is lost.
    Lose { notice: usize },
    /// Time passes; less in all than a suspect's life.
    Wait { ms: u64 },
}

fn any_crash_step() -> impl Strategy<Value = CrashStep> {
    let pick = any::<usize>;
    let place = || (0..INSTANCES, 0..UPSTREAMS);
    prop_oneof![
        3 => place().prop_map(|(instance, upstream)| CrashStep::SendCrashing { instance, upstream }),
        4 => place().prop_map(|(instance, upstream)| CrashStep::SendPopular { instance, upstream }),
        3 => pick().prop_map(|pick| CrashStep::Answer { pick }),
        3 => Just(CrashStep::Crash),
        6 => pick().prop_map(|notice| CrashStep::Deliver { notice }),
        1 => pick().prop_map(|notice| CrashStep::Repeat { notice }),
        1 => pick().prop_map(|notice| CrashStep::Lose { notice }),
        2 => (1..3_000_u64).prop_map(|ms| CrashStep::Wait { ms }),
    ]
}

#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    instance: usize,
    upstream: usize,
    fingerprint: SuspectFingerprint,
}

#[derive(Clone)]
enum Notice {
    Crash(CrashReport),
    Clear(ClearReport),
}

/// Instances with their suspects, and upstreams with what they run.
struct CrashFleet {
    now: MonotonicTime,
    lists: Vec<SuspectList>,
    running: Vec<RunningRequest>,
    up_at: [MonotonicTime; UPSTREAMS],
    notices: Vec<(usize, Notice)>,
    next_crash: u64,
    crashes: usize,
    crashing: SuspectFingerprint,
    popular: SuspectFingerprint,
}

impl CrashFleet {
    fn new() -> Self {
        Self {
            now: MonotonicTime::default(),
            lists: (0..INSTANCES).map(|_| SuspectList::new()).collect(),
            running: Vec::new(),
            up_at: [MonotonicTime::default(); UPSTREAMS],
            notices: Vec::new(),
            next_crash: 0,
            crashes: 0,
            crashing: print_of("/crash"),
            popular: print_of("/catalogue"),
        }
    }

    fn apply(&mut self, step: &CrashStep) {
        match *step {
            CrashStep::SendCrashing { instance, upstream } => {
                // The caller repeats its request only after the last one has failed.
                let sent = |request: &RunningRequest| request.fingerprint == self.crashing;
                if !self.running.iter().any(sent) {
                    self.send(instance, upstream, self.crashing);
                }
            }
            CrashStep::SendPopular { instance, upstream } => {
                self.send(instance, upstream, self.popular);
            }
            CrashStep::Answer { pick } => self.answer_popular(pick),
            CrashStep::Crash => self.crash(),
            CrashStep::Deliver { notice } => {
                if !self.notices.is_empty() {
                    let place = notice % self.notices.len();
                    let (instance, notice) = self.notices.swap_remove(place);
                    self.hear(instance, &notice);
                }
            }
            CrashStep::Repeat { notice } => {
                if !self.notices.is_empty() {
                    let place = notice % self.notices.len();
                    let (instance, notice) = self.notices[place].clone();
                    self.hear(instance, &notice);
                }
            }
            CrashStep::Lose { notice } => {
                if !self.notices.is_empty() {
                    let place = notice % self.notices.len();
                    self.notices.swap_remove(place);
                }
            }
            CrashStep::Wait { ms } => self.now = self.now + Duration::from_millis(ms),
        }
    }

    /// Runs a request unless the instance refuses it or the upstream is down.
    fn send(&mut self, instance: usize, upstream: usize, fingerprint: SuspectFingerprint) -> bool {
        let refused = self.lists[instance].build_table().is_refused(fingerprint);
        let up = self.now >= self.up_at[upstream];
        if !refused && up {
            self.running.push(RunningRequest {
                instance,
                upstream,
                fingerprint,
            });
        }
        !refused && up
    }

    fn answer_popular(&mut self, pick: usize) {
        let popular: Vec<usize> = (0..self.running.len())
            .filter(|place| self.running[*place].fingerprint == self.popular)
            .collect();
        if popular.is_empty() {
            return;
        }
        let request = self.running.swap_remove(popular[pick % popular.len()]);
        let list = &mut self.lists[request.instance];
        if list.build_table().needs_success_report(request.fingerprint)
            && let Some(report) = list.add_success(request.fingerprint)
        {
            self.tell_peers(request.instance, &Notice::Clear(report));
        }
    }

    /// Crashes the upstream that runs the crashing request. Each instance numbers the crash by itself.
    fn crash(&mut self) {
        let crashing = self.crashing;
        let runs_crashing = |request: &&RunningRequest| request.fingerprint == crashing;
        let Some(upstream) = self.running.iter().find(runs_crashing).map(|r| r.upstream) else {
            return;
        };
        self.crashes += 1;
        self.up_at[upstream] = self.now + RESTART;
        for instance in 0..INSTANCES {
            let fingerprints: Vec<SuspectFingerprint> = self
                .running
                .iter()
                .filter(|request| request.upstream == upstream && request.instance == instance)
                .map(|request| request.fingerprint)
                .collect();
            if fingerprints.is_empty() {
                continue;
            }
            self.next_crash += 1;
            let report = CrashReport {
                crash: CrashId {
                    upstream: format!("u{upstream}"),
                    number: self.next_crash,
                },
                fingerprints,
            };
            self.lists[instance].add_crash(self.now, &report);
            self.tell_peers(instance, &Notice::Crash(report));
        }
        self.running.retain(|request| request.upstream != upstream);
    }

    fn tell_peers(&mut self, sender: usize, notice: &Notice) {
        for peer in (0..INSTANCES).filter(|peer| *peer != sender) {
            self.notices.push((peer, notice.clone()));
        }
    }

    fn hear(&mut self, instance: usize, notice: &Notice) {
        let list = &mut self.lists[instance];
        match notice {
            Notice::Crash(report) => {
                list.add_crash(self.now, report);
            }
            Notice::Clear(report) => list.add_clearance(self.now, report),
        }
    }

    fn deliver_all(&mut self) {
        for (instance, notice) in std::mem::take(&mut self.notices) {
            self.hear(instance, &notice);
        }
    }

    fn check(&self) {
        assert!(
            self.crashes <= CRASHES_TO_REFUSE * INSTANCES,
            "{} upstreams crashed",
            self.crashes
        );
    }

    fn end(&mut self) {
        self.deliver_all();
        let refuses = |list: &SuspectList| list.build_table().is_refused(self.popular);
        let popular_refused = self.lists.iter().any(refuses);
        let mut figures = FIGURES.lock().expect("no thread panics while it counts");
        *figures.crashes.entry(self.crashes).or_default() += 1;
        figures.popular_refused += u32::from(popular_refused);
    }
}

/// Generates the steps. Their numbers select among what exists, so every step fits every state.
struct CrashReference;

impl ReferenceStateMachine for CrashReference {
    type State = ();
    type Transition = CrashStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<CrashStep> {
        any_crash_step().boxed()
    }

    fn apply((): (), _: &CrashStep) {}
}

struct CrashTest;

impl StateMachineTest for CrashTest {
    type SystemUnderTest = CrashFleet;
    type Reference = CrashReference;

    fn init_test((): &()) -> CrashFleet {
        CrashFleet::new()
    }

    fn apply(mut fleet: CrashFleet, (): &(), step: CrashStep) -> CrashFleet {
        fleet.apply(&step);
        fleet.check();
        fleet
    }

    fn teardown(mut fleet: CrashFleet, (): ()) {
        fleet.end();
    }
}

/// Guards against a crashing request that crashes more upstreams than each instance can notice by
/// itself, when notices are lost and late.
#[test]
fn crashing_request_is_stopped_while_notices_are_lost() {
    let histories = env::var("FUZZ_HISTORIES").map_or(HISTORIES, |text| {
        text.parse().expect("FUZZ_HISTORIES is a number")
    });
    let config = Config {
        cases: histories,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = CrashReference::sequential_strategy(1..LONGEST_HISTORY);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        CrashTest::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    let figures = FIGURES.lock().expect("no thread panics while it counts");
    println!("{histories} histories: {figures:?}");
    if let Err(error) = result {
        panic!("{error}");
    }
    let stopped = figures
        .crashes
        .keys()
        .any(|crashes| *crashes >= CRASHES_TO_REFUSE);
    assert!(stopped, "no history had a second crash");
}

struct ResendCase {
    name: &'static str,
    /// How many requests the caller has in flight at once, at different instances and upstreams.
    parallel: usize,
    /// Whether notices arrive before the caller sends again.
    notices: bool,
    most_crashes: usize,
}

/// Guards against a caller that crashes one upstream after the other by sending its request again
/// to other instances.
#[test]
fn resent_request_crashes_a_bounded_number_of_upstreams() {
    let cases = [
        ResendCase {
            name: "one at a time, notices arrive",
            parallel: 1,
            notices: true,
            most_crashes: 2,
        },
        ResendCase {
            name: "four at a time, notices arrive",
            parallel: 4,
            notices: true,
            most_crashes: 4,
        },
        ResendCase {
            name: "one at a time, all notices are lost",
            parallel: 1,
            notices: false,
            most_crashes: 14,
        },
    ];
    for case in &cases {
        let mut fleet = CrashFleet::new();
        for round in 0..100 {
            for number in 0..case.parallel {
                let place = round * case.parallel + number;
                fleet.send(place % INSTANCES, place % UPSTREAMS, fleet.crashing);
            }
            for _ in 0..case.parallel {
                fleet.crash();
            }
            if case.notices {
                fleet.deliver_all();
            }
            fleet.now = fleet.now + RESTART;
        }
        println!("{}: {} upstreams crashed", case.name, fleet.crashes);
        assert_eq!(fleet.crashes, case.most_crashes, "{}", case.name);
    }
}

struct PopularCase {
    name: &'static str,
    /// The time between two crashes.
    apart_ms: u64,
    /// Whether a popular request is answered between the two crashes.
    answered_between: bool,
}

/// Guards against a popular request that is refused because copies of it ran beside a crashing one.
#[test]
fn popular_request_stays_unaffected_by_crashes_beside_it() {
    let cases = [
        PopularCase {
            name: "answers between the crashes",
            apart_ms: 1_000,
            answered_between: true,
        },
        PopularCase {
            name: "crashes at the same moment, answers after them",
            apart_ms: 0,
            answered_between: false,
        },
    ];
    for case in &cases {
        let mut fleet = CrashFleet::new();
        for instance in 0..INSTANCES {
            for upstream in 0..UPSTREAMS {
                assert!(fleet.send(instance, upstream, fleet.popular));
            }
        }
        for (instance, upstream) in [(0, 3), (1, 4)] {
            assert!(fleet.send(instance, upstream, fleet.crashing));
            fleet.crash();
            fleet.now = fleet.now + Duration::from_millis(case.apart_ms);
            if case.answered_between {
                fleet.answer_popular(0);
            }
            fleet.deliver_all();
        }
        // Copies that were in flight on the other upstreams are answered.
        fleet.answer_popular(0);
        fleet.deliver_all();
        for (instance, list) in fleet.lists.iter().enumerate() {
            let table = list.build_table();
            assert!(
                !table.is_refused(fleet.popular),
                "{}: {instance}",
                case.name
            );
            assert!(
                table.is_refused(fleet.crashing),
                "{}: {instance}",
                case.name
            );
        }
    }
}
