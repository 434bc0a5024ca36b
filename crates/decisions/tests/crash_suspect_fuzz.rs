//! Random tests of crash suspects in a fleet: one request crashes every upstream that runs it, and a popular request
//! crashes none. Reports between instances are lost, delayed and repeated.
//!
//! 256 histories run by default; `FUZZ_HISTORIES=10000` runs 10,000. The seed is fixed.

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
const MAX_HISTORY_STEPS: usize = 120;

const INSTANCES: usize = 7;
const UPSTREAMS: usize = 20;

/// The time from a crash until the upstream accepts requests again.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// Totals over all histories.
#[derive(Debug)]
struct CrashTotals {
    /// The number of histories by the number of crashes in them.
    crashes: BTreeMap<usize, u32>,
    /// The number of histories after which some instance refuses the popular request.
    popular_refused: u32,
}

static TOTALS: Mutex<CrashTotals> = Mutex::new(CrashTotals {
    crashes: BTreeMap::new(),
    popular_refused: 0,
});

fn fingerprint_of(target: &str) -> SuspectFingerprint {
    let head = RequestHead {
        account: "hotel-group",
        method: "GET",
        target,
        content_length: None,
    };
    head.with_body(BodyDigest::default())
}

/// One step of a history. A `pick` or `report` is taken modulo the number of requests or reports that exist by then.
#[derive(Debug, Clone)]
enum CrashStep {
    /// The caller of the crashing request sends it to an instance, unless it is running already.
    SendCrashing { instance: usize, upstream: usize },
    /// A caller sends the popular request to an instance.
    SendPopular { instance: usize, upstream: usize },
    /// A popular request is answered.
    Answer { pick: usize },
    /// The upstream that runs the crashing request crashes.
    Crash,
    /// A report arrives.
    Deliver { report: usize },
    /// A report arrives and remains in transit, so that it can arrive again.
    Duplicate { report: usize },
    /// A report is lost.
    Lose { report: usize },
    /// Time passes; over a whole history less than the retention of a crash.
    Wait { ms: u64 },
}

fn any_crash_step() -> impl Strategy<Value = CrashStep> {
    let pick = any::<usize>;
    let target = || (0..INSTANCES, 0..UPSTREAMS);
    prop_oneof![
        3 => target().prop_map(|(instance, upstream)| CrashStep::SendCrashing { instance, upstream }),
        4 => target().prop_map(|(instance, upstream)| CrashStep::SendPopular { instance, upstream }),
        3 => pick().prop_map(|pick| CrashStep::Answer { pick }),
        3 => Just(CrashStep::Crash),
        6 => pick().prop_map(|report| CrashStep::Deliver { report }),
        1 => pick().prop_map(|report| CrashStep::Duplicate { report }),
        1 => pick().prop_map(|report| CrashStep::Lose { report }),
        2 => (1..3_000_u64).prop_map(|ms| CrashStep::Wait { ms }),
    ]
}

#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    instance: usize,
    upstream: usize,
    fingerprint: SuspectFingerprint,
}

/// A report from one instance to another.
#[derive(Clone)]
enum PeerReport {
    Crash(CrashReport),
    Clear(ClearReport),
}

/// The model of the fleet: the suspect list of each instance, and the requests that run on the upstreams.
struct CrashFleet {
    now: MonotonicTime,
    /// The suspect list of each instance.
    lists: Vec<SuspectList>,
    running: Vec<RunningRequest>,
    /// When each upstream accepts requests again after its last crash.
    available_at: [MonotonicTime; UPSTREAMS],
    /// The reports in transit, with the instance that receives each.
    reports: Vec<(usize, PeerReport)>,
    last_crash_number: u64,
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
            available_at: [MonotonicTime::default(); UPSTREAMS],
            reports: Vec::new(),
            last_crash_number: 0,
            crashes: 0,
            crashing: fingerprint_of("/crash"),
            popular: fingerprint_of("/catalogue"),
        }
    }

    fn apply(&mut self, step: &CrashStep) {
        match *step {
            CrashStep::SendCrashing { instance, upstream } => {
                // The caller sends its request again only after the previous one has failed.
                let is_crashing = |request: &RunningRequest| request.fingerprint == self.crashing;
                if !self.running.iter().any(is_crashing) {
                    self.send(instance, upstream, self.crashing);
                }
            }
            CrashStep::SendPopular { instance, upstream } => {
                self.send(instance, upstream, self.popular);
            }
            CrashStep::Answer { pick } => self.answer_popular(pick),
            CrashStep::Crash => self.crash(),
            CrashStep::Deliver { report } => {
                if !self.reports.is_empty() {
                    let index = report % self.reports.len();
                    let (instance, report) = self.reports.swap_remove(index);
                    self.receive(instance, &report);
                }
            }
            CrashStep::Duplicate { report } => {
                if !self.reports.is_empty() {
                    let index = report % self.reports.len();
                    let (instance, report) = self.reports[index].clone();
                    self.receive(instance, &report);
                }
            }
            CrashStep::Lose { report } => {
                if !self.reports.is_empty() {
                    let index = report % self.reports.len();
                    self.reports.swap_remove(index);
                }
            }
            CrashStep::Wait { ms } => self.now = self.now + Duration::from_millis(ms),
        }
    }

    /// Runs a request unless the instance refuses it or the upstream is down. Returns whether it runs.
    fn send(&mut self, instance: usize, upstream: usize, fingerprint: SuspectFingerprint) -> bool {
        let refused = self.lists[instance].build_table().is_refused(fingerprint);
        let available = self.now >= self.available_at[upstream];
        if !refused && available {
            self.running.push(RunningRequest {
                instance,
                upstream,
                fingerprint,
            });
        }
        !refused && available
    }

    fn answer_popular(&mut self, pick: usize) {
        let popular: Vec<usize> = (0..self.running.len())
            .filter(|index| self.running[*index].fingerprint == self.popular)
            .collect();
        if popular.is_empty() {
            return;
        }
        let request = self.running.swap_remove(popular[pick % popular.len()]);
        let list = &mut self.lists[request.instance];
        if list.build_table().needs_success_report(request.fingerprint)
            && let Some(report) = list.add_success(request.fingerprint)
        {
            self.send_to_peers(request.instance, &PeerReport::Clear(report));
        }
    }

    /// Crashes the upstream that runs the crashing request. Each instance with requests there reports the crash under a
    /// number of its own.
    fn crash(&mut self) {
        let crashing = self.crashing;
        let runs_crashing = |request: &&RunningRequest| request.fingerprint == crashing;
        let Some(upstream) = self
            .running
            .iter()
            .find(runs_crashing)
            .map(|request| request.upstream)
        else {
            return;
        };
        self.crashes += 1;
        self.available_at[upstream] = self.now + RESTART_TIME;
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
            self.last_crash_number += 1;
            let report = CrashReport {
                crash: CrashId {
                    upstream: format!("u{upstream}"),
                    number: self.last_crash_number,
                },
                fingerprints,
            };
            self.lists[instance].add_crash(self.now, &report);
            self.send_to_peers(instance, &PeerReport::Crash(report));
        }
        self.running.retain(|request| request.upstream != upstream);
    }

    fn send_to_peers(&mut self, sender: usize, report: &PeerReport) {
        for peer in (0..INSTANCES).filter(|peer| *peer != sender) {
            self.reports.push((peer, report.clone()));
        }
    }

    fn receive(&mut self, instance: usize, report: &PeerReport) {
        let list = &mut self.lists[instance];
        match report {
            PeerReport::Crash(report) => {
                list.add_crash(self.now, report);
            }
            PeerReport::Clear(report) => list.add_clearance(self.now, report),
        }
    }

    fn deliver_all(&mut self) {
        for (instance, report) in std::mem::take(&mut self.reports) {
            self.receive(instance, &report);
        }
    }

    fn check_crash_bound(&self) {
        assert!(
            self.crashes <= CRASHES_TO_REFUSE * INSTANCES,
            "{} crashes in one history",
            self.crashes
        );
    }

    fn record_totals(&mut self) {
        self.deliver_all();
        let is_refused = |list: &SuspectList| list.build_table().is_refused(self.popular);
        let popular_refused = self.lists.iter().any(is_refused);
        let mut totals = TOTALS
            .lock()
            .expect("no thread panics while it holds the lock");
        *totals.crashes.entry(self.crashes).or_default() += 1;
        totals.popular_refused += u32::from(popular_refused);
    }
}

/// Generates the steps without a reference state: a step that does not apply to the state of the fleet does nothing.
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
        fleet.check_crash_bound();
        fleet
    }

    fn teardown(mut fleet: CrashFleet, (): ()) {
        fleet.record_totals();
    }
}

/// Guards against a request that continues to crash upstreams while reports between instances are lost or late.
/// This comes about if an instance refuses the request only after reports of its peers, or if a clearance of the
/// popular request clears the crashing one. Without any report each instance permits [`CRASHES_TO_REFUSE`] crashes.
#[test]
fn crashes_are_bounded_while_reports_are_lost() {
    let histories = env::var("FUZZ_HISTORIES").map_or(HISTORIES, |text| {
        text.parse().expect("FUZZ_HISTORIES is a number")
    });
    let config = Config {
        cases: histories,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = CrashReference::sequential_strategy(1..MAX_HISTORY_STEPS);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        CrashTest::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    let totals = TOTALS
        .lock()
        .expect("no thread panics while it holds the lock");
    println!("{histories} histories: {totals:?}");
    if let Err(error) = result {
        panic!("{error}");
    }
    let stopped = totals
        .crashes
        .keys()
        .any(|crashes| *crashes >= CRASHES_TO_REFUSE);
    assert!(
        stopped,
        "no history reached the number of crashes that refuses a request"
    );
}

struct ResendCase {
    name: &'static str,
    /// The number of requests that the caller has in flight at once, at different instances and upstreams.
    parallel: usize,
    /// Whether reports arrive before the caller sends again; otherwise they are lost.
    reports_arrive: bool,
    max_crashes: usize,
}

/// Guards against a caller that crashes one upstream after the other by sending its request again to other instances,
/// which receive the earlier crashes only in reports of their peers.
#[test]
fn resent_request_crashes_a_bounded_number_of_upstreams() {
    let cases = [
        ResendCase {
            name: "one request at a time, reports arrive",
            parallel: 1,
            reports_arrive: true,
            max_crashes: 2,
        },
        ResendCase {
            name: "four requests at a time, reports arrive",
            parallel: 4,
            reports_arrive: true,
            max_crashes: 4,
        },
        ResendCase {
            name: "one request at a time, all reports are lost",
            parallel: 1,
            reports_arrive: false,
            max_crashes: 14,
        },
    ];
    for case in &cases {
        let mut fleet = CrashFleet::new();
        for round in 0..100 {
            for number in 0..case.parallel {
                let index = round * case.parallel + number;
                fleet.send(index % INSTANCES, index % UPSTREAMS, fleet.crashing);
            }
            for _ in 0..case.parallel {
                fleet.crash();
            }
            if case.reports_arrive {
                fleet.deliver_all();
            }
            fleet.now = fleet.now + RESTART_TIME;
        }
        println!("{}: {} crashes", case.name, fleet.crashes);
        assert_eq!(fleet.crashes, case.max_crashes, "{}", case.name);
    }
}

struct PopularCase {
    name: &'static str,
    /// The time from each crash to the next event.
    interval_ms: u64,
    /// Whether a popular request is answered after each crash.
    answered_between: bool,
}

/// Guards against a popular request that is refused although it crashes nothing: copies of it ran on both upstreams
/// that the crashing request crashed, so that both crashes count against it until a copy is answered.
#[test]
fn popular_request_is_not_refused_for_crashes_beside_it() {
    let cases = [
        PopularCase {
            name: "an answer after each crash",
            interval_ms: 1_000,
            answered_between: true,
        },
        PopularCase {
            name: "crashes at the same time, an answer after them",
            interval_ms: 0,
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
            fleet.now = fleet.now + Duration::from_millis(case.interval_ms);
            if case.answered_between {
                fleet.answer_popular(0);
            }
            fleet.deliver_all();
        }
        // One of the copies that still run on the other upstreams is answered.
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
