//! What answers of a store are worth that returns from an older copy.

use std::collections::HashSet;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{
    EraChange, EraProgress, EvacuationList, KnownPlans, PlacedReport, PlanFreshness, PositionRange,
    ReportOrder, StorePosition, StoredPlan, replaces_list,
};

const fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

struct ListCase {
    name: &'static str,
    listed: StorePosition,
    applied: StorePosition,
    is_requested_before_changes: bool,
    is_applied: bool,
}

/// Guards against a list of a new era that is ignored because its revision is lower, and against a late answer of an
/// earlier era that undoes it.
#[test]
fn lists_are_ordered_by_era_before_revision() {
    let cases = [
        ListCase {
            name: "a lower revision of a later era",
            listed: at(2, 5),
            applied: at(1, 90),
            is_requested_before_changes: true,
            is_applied: true,
        },
        ListCase {
            name: "a higher revision of an earlier era",
            listed: at(1, 90),
            applied: at(2, 5),
            is_requested_before_changes: false,
            is_applied: false,
        },
        ListCase {
            name: "requested before newer changes were applied",
            listed: at(1, 5),
            applied: at(1, 6),
            is_requested_before_changes: true,
            is_applied: false,
        },
        ListCase {
            name: "a store without eras that was restored",
            listed: at(0, 5),
            applied: at(0, 6),
            is_requested_before_changes: false,
            is_applied: true,
        },
    ];
    for case in cases {
        let is_applied = replaces_list(case.listed, case.applied, case.is_requested_before_changes);
        assert_eq!(is_applied, case.is_applied, "{}", case.name);
    }
}

struct ChangesCase {
    name: &'static str,
    applied: StorePosition,
    since: StorePosition,
    until: StorePosition,
    is_applied: bool,
}

/// Guards against changes that continue a revision which the store has given out twice.
#[test]
fn changes_continue_a_list_only_within_its_era() {
    let cases = [
        ChangesCase {
            name: "the next changes",
            applied: at(1, 10),
            since: at(1, 10),
            until: at(1, 12),
            is_applied: true,
        },
        ChangesCase {
            name: "changes after a gap",
            applied: at(1, 10),
            since: at(1, 11),
            until: at(1, 12),
            is_applied: false,
        },
        ChangesCase {
            name: "the same revisions in a later era",
            applied: at(1, 10),
            since: at(2, 10),
            until: at(2, 12),
            is_applied: false,
        },
        ChangesCase {
            name: "the same revisions in an earlier era",
            applied: at(2, 10),
            since: at(1, 10),
            until: at(1, 12),
            is_applied: false,
        },
        ChangesCase {
            name: "no list of the era yet",
            applied: at(2, 0),
            since: at(2, 0),
            until: at(2, 3),
            is_applied: false,
        },
    ];
    for case in cases {
        let range = PositionRange {
            since: case.since,
            until: case.until,
        };
        assert_eq!(
            range.continues(case.applied),
            case.is_applied,
            "{}",
            case.name
        );
    }
}

const SECOND: Duration = Duration::from_secs(1);

fn time(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

/// Guards against a process that takes a return for the usual state: an era counts as settled some time after its begin,
/// whoever noticed it first.
#[test]
fn an_era_settles_after_it_is_known() {
    let mut progress = EraProgress::default();
    assert_eq!(
        progress.observe(3, Duration::ZERO, time(10_000)),
        EraChange::First
    );
    assert!(!progress.is_settled(time(12_000)));
    assert!(progress.is_settled(time(12_200)));
    assert_eq!(
        progress.observe(4, Duration::ZERO, time(20_000)),
        EraChange::Return
    );
    assert_eq!(progress.observe(3, SECOND, time(20_100)), EraChange::None);
    assert_eq!(progress.era(), 4);
    // Another instance has heard of it a second sooner.
    assert_eq!(progress.observe(4, SECOND, time(20_000)), EraChange::None);
    assert!(progress.is_settled(time(21_200)));
    progress.observe(5, Duration::ZERO, time(30_000));
    progress.prove_settled(4);
    assert!(!progress.is_settled(time(30_000)));
    progress.prove_settled(5);
    assert!(progress.is_settled(time(30_000)));
    let mut stateless = EraProgress::default();
    stateless.observe(0, Duration::ZERO, time(10));
    assert!(stateless.is_settled(time(10)));
}

struct PlanCase {
    name: &'static str,
    era: u64,
    position: StorePosition,
    version: u64,
    /// Milliseconds since the begin of the era.
    as_of_ms: u64,
    active: u64,
    newest: u64,
    is_revocation_strict: bool,
    is_confirmed: bool,
}

impl Default for PlanCase {
    fn default() -> Self {
        Self {
            name: "",
            era: 2,
            position: at(2, 40),
            version: 6,
            as_of_ms: 500,
            active: 6,
            newest: 6,
            is_revocation_strict: true,
            is_confirmed: false,
        }
    }
}

/// Guards against a withdrawn key that works again because the store returned from a copy that precedes the withdrawal, and
/// against refusals that no bound asks for. The first answer of each era has revision 50.
#[test]
fn a_plan_is_confirmed_when_nothing_newer_can_be_missing() {
    let cases = [
        PlanCase {
            name: "the known version in the copy: a later one may be lost",
            ..PlanCase::default()
        },
        PlanCase {
            name: "the known version when the era is settled",
            as_of_ms: 2_200,
            is_confirmed: true,
            ..PlanCase::default()
        },
        PlanCase {
            name: "the known version, written again",
            position: at(2, 51),
            is_confirmed: true,
            ..PlanCase::default()
        },
        PlanCase {
            name: "an older version, however long it stays",
            version: 5,
            as_of_ms: 60_000,
            ..PlanCase::default()
        },
        PlanCase {
            name: "an older version than another instance has",
            version: 6,
            newest: 7,
            as_of_ms: 60_000,
            ..PlanCase::default()
        },
        PlanCase {
            name: "an answer of an earlier era",
            position: at(1, 400),
            as_of_ms: 60_000,
            ..PlanCase::default()
        },
        PlanCase {
            name: "an older version without a strict bound",
            version: 5,
            is_revocation_strict: false,
            is_confirmed: true,
            ..PlanCase::default()
        },
        PlanCase {
            name: "an own plan older than that of another instance, without a strict bound",
            version: 5,
            active: 5,
            is_revocation_strict: false,
            ..PlanCase::default()
        },
        PlanCase {
            name: "a store that states no era",
            era: 0,
            position: at(0, 40),
            version: 5,
            is_confirmed: true,
            ..PlanCase::default()
        },
    ];
    for case in cases {
        let mut progress = EraProgress::default();
        progress.observe(case.era, Duration::ZERO, time(10_000));
        progress.record_answer(at(case.era, 50));
        let stored = StoredPlan {
            position: case.position,
            version: case.version,
            as_of: time(10_000 + case.as_of_ms),
        };
        let known = KnownPlans {
            active: case.active,
            newest: case.newest,
            is_revocation_strict: case.is_revocation_strict,
        };
        let is_confirmed = stored.confirms(known, &progress);
        assert_eq!(is_confirmed, case.is_confirmed, "{}", case.name);
    }
}

/// Guards against a plan from the copy that counts as confirmed at the start of the process, and is passed on to others as
/// such.
#[test]
fn a_plan_of_an_unsettled_store_serves_no_keys_before_it_is_confirmed() {
    let freshness = PlanFreshness::default();
    freshness.set_unsettled(true);
    assert!(!freshness.allows_keys(time(100), 5 * SECOND));
    freshness.set_unsettled(false);
    assert!(!freshness.allows_keys(time(150), 5 * SECOND));
    freshness.confirm(time(100));
    assert!(freshness.allows_keys(time(200), 5 * SECOND));
}

struct ReportCase {
    name: &'static str,
    known: PlacedReport,
    read: PlacedReport,
    is_outdated: bool,
}

fn report(era: u64, started_ms: Option<u64>, sequence: Option<u64>) -> PlacedReport {
    let order = ReportOrder {
        started_ms,
        sequence,
    };
    PlacedReport { era, order }
}

/// Guards against requests to a draining or removed upstream that is ready in the older copy, and against a restarted
/// upstream that stays unused.
#[test]
fn reports_of_the_copy_do_not_replace_newer_ones() {
    let cases = [
        ReportCase {
            name: "an older report in the copy",
            known: report(1, Some(100), Some(20)),
            read: report(2, Some(100), Some(12)),
            is_outdated: true,
        },
        ReportCase {
            name: "the known report in the copy",
            known: report(1, Some(100), Some(20)),
            read: report(2, Some(100), Some(20)),
            is_outdated: true,
        },
        ReportCase {
            name: "a later report",
            known: report(1, Some(100), Some(20)),
            read: report(2, Some(100), Some(21)),
            is_outdated: false,
        },
        ReportCase {
            name: "a later start, which counts anew",
            known: report(1, Some(100), Some(20)),
            read: report(2, Some(200), Some(1)),
            is_outdated: false,
        },
        ReportCase {
            name: "an earlier start",
            known: report(1, Some(200), Some(1)),
            read: report(2, Some(100), Some(20)),
            is_outdated: true,
        },
        ReportCase {
            name: "within an era the store orders the reports",
            known: report(2, Some(100), Some(20)),
            read: report(2, Some(100), Some(12)),
            is_outdated: false,
        },
        ReportCase {
            name: "reports without numbers",
            known: report(1, None, None),
            read: report(2, None, None),
            is_outdated: false,
        },
    ];
    for case in cases {
        let is_outdated = case.read.is_outdated_by(case.known);
        assert_eq!(is_outdated, case.is_outdated, "{}", case.name);
    }
}

struct EvacuationCase {
    name: &'static str,
    /// The lists that the store returns one after the other, and whether each may be from an older copy.
    lists: &'static [(&'static [&'static str], bool)],
    /// A change that is watched after the last list.
    change: Option<(&'static str, bool)>,
    kept: &'static [&'static str],
    settled: &'static [&'static str],
}

/// Guards against an evacuation that ends, or begins again, because the store returned from an older copy.
#[test]
fn evacuations_stay_until_they_are_written_again() {
    let cases = [
        EvacuationCase {
            name: "missing in the copy and written again",
            lists: &[(&["a"], false), (&[], true)],
            change: Some(("a", true)),
            kept: &["a"],
            settled: &["a"],
        },
        EvacuationCase {
            name: "missing in the copy for good",
            lists: &[(&["a"], false), (&[], true)],
            change: None,
            kept: &["a"],
            settled: &[],
        },
        EvacuationCase {
            name: "taken back, in the copy, and taken back again",
            lists: &[(&[], false), (&["a"], true)],
            change: Some(("a", false)),
            kept: &[],
            settled: &[],
        },
        EvacuationCase {
            name: "a new one after the return",
            lists: &[(&["a"], false), (&["a"], true)],
            change: Some(("b", true)),
            kept: &["a", "b"],
            settled: &["a", "b"],
        },
        EvacuationCase {
            name: "two returns in a row",
            lists: &[(&["a"], false), (&[], true), (&["b"], true)],
            change: None,
            kept: &["a"],
            settled: &["b"],
        },
        EvacuationCase {
            name: "the first list of a process",
            lists: &[(&["a"], true)],
            change: None,
            kept: &["a"],
            settled: &["a"],
        },
    ];
    for case in cases {
        let mut evacuations = EvacuationList::default();
        for (listed, keeps_known) in case.lists {
            let listed = listed.iter().map(ToString::to_string).collect();
            evacuations.replace(listed, *keeps_known);
        }
        if let Some((name, is_evacuated)) = case.change {
            evacuations.change(name, is_evacuated);
        }
        let names =
            |names: &[&str]| -> HashSet<String> { names.iter().map(ToString::to_string).collect() };
        assert_eq!(
            *evacuations.in_force(),
            names(case.kept),
            "{}: kept",
            case.name
        );
        evacuations.settle();
        assert_eq!(
            *evacuations.in_force(),
            names(case.settled),
            "{}: settled",
            case.name
        );
    }
}
