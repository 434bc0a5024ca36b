//! What an instance concludes from the store, from other instances and from answers.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ArenaKey, DomainKey, RegionKey};
use coltsfootkeel_steering::{
    AffinityTable, AttemptOutcome, CrashTable, InstanceView, LookupQuery, PlanFreshness, RegionSet,
    RequestQueue, ServiceTimes, UpstreamInfo, UpstreamState, max_queue_wait, queue_priority,
    retry_after, select_instances, short_hash,
};

const MS: Duration = Duration::from_millis(1);

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

struct FreshnessCase {
    name: &'static str,
    confirmed_ms: u64,
    now_ms: u64,
    allowed: bool,
}

/// Guards against a withdrawn key that goes on working at an instance that is cut off, also if its last watch was deaf for
/// a second, and against refusals while the plan is confirmed every few seconds.
#[test]
fn keys_are_served_only_while_the_plan_is_fresh() {
    let cases = [
        FreshnessCase {
            name: "never confirmed, at the start",
            confirmed_ms: 0,
            now_ms: 100,
            allowed: true,
        },
        FreshnessCase {
            name: "one watch ago",
            confirmed_ms: 1_000,
            now_ms: 4_000,
            allowed: true,
        },
        FreshnessCase {
            name: "too old, with the deaf second and the crossings",
            confirmed_ms: 1_000,
            now_ms: 4_600,
            allowed: false,
        },
        FreshnessCase {
            name: "after a suspension of an hour",
            confirmed_ms: 1_000,
            now_ms: 3_600_000,
            allowed: false,
        },
    ];
    for case in cases {
        let freshness = PlanFreshness::default();
        freshness.confirm(at(case.confirmed_ms));
        // A confirmation that was overtaken on its way changes nothing.
        freshness.confirm(at(0));
        let allowed = freshness.allows_keys(at(case.now_ms), 5_000 * MS);
        assert_eq!(allowed, case.allowed, "{}", case.name);
    }
}

struct LookupCase {
    name: &'static str,
    /// Region and state of the instances at ports 1, 2, ...
    instances: &'static [(usize, bool)],
    region: Option<usize>,
    homes: RegionSet,
    ports: &'static [u16],
}

/// Guards against callers that are sent to instances that leave, or whose bodies cross into regions that may not hold
/// them while an instance of their own region takes requests.
#[test]
fn look_ups_name_open_instances_of_the_callers_region_first() {
    let region = RegionKey::from_index;
    let home_1 = RegionSet::NONE.with(region(1));
    let cases = [
        LookupCase {
            name: "the own region",
            instances: &[(0, true), (1, true), (0, true)],
            region: Some(0),
            homes: RegionSet::ANY,
            ports: &[1, 3],
        },
        LookupCase {
            name: "not one that leaves",
            instances: &[(0, false), (0, true)],
            region: Some(0),
            homes: RegionSet::ANY,
            ports: &[2],
        },
        LookupCase {
            name: "a home of the host, when the own region is gone",
            instances: &[(0, false), (1, true), (2, true)],
            region: Some(0),
            homes: home_1,
            ports: &[2],
        },
        LookupCase {
            name: "any, when the homes are gone too",
            instances: &[(0, false), (1, false), (2, true)],
            region: Some(0),
            homes: home_1,
            ports: &[3],
        },
        LookupCase {
            name: "a caller whose region is unknown",
            instances: &[(0, true), (1, true)],
            region: None,
            homes: RegionSet::ANY,
            ports: &[1, 2],
        },
        LookupCase {
            name: "nobody",
            instances: &[(0, false)],
            region: Some(0),
            homes: RegionSet::ANY,
            ports: &[],
        },
    ];
    for case in cases {
        let views: Vec<InstanceView> = (1..)
            .zip(case.instances)
            .map(|(port, (index, is_open))| InstanceView {
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                region: region(*index),
                is_accepting: *is_open,
            })
            .collect();
        let ask = LookupQuery {
            region: case.region.map(region),
            allowed_regions: case.homes,
        };
        let ports: Vec<u16> = select_instances(ask, &views, 64)
            .iter()
            .map(SocketAddr::port)
            .collect();
        assert_eq!(ports, case.ports, "{}", case.name);
    }
}

fn upstream() -> UpstreamState {
    let facts = UpstreamInfo {
        id: "u-1".to_string(),
        domain: DomainKey::from_index(0),
        region: RegionKey::from_index(0),
        slots: 2,
    };
    UpstreamState::new(facts, MonotonicTime::default(), false)
}

struct OutcomeCase {
    name: &'static str,
    outcomes: &'static [AttemptOutcome],
    avoided: bool,
    lost: bool,
    needs_health_check: bool,
}

/// Guards against an upstream that fails most requests and is used on, and against one that is taken out for a single lost
/// answer.
#[test]
fn upstreams_are_avoided_after_failures_in_a_row() {
    use AttemptOutcome::{Answered, Failed, Full, Interrupted, Unreachable};
    let cases = [
        OutcomeCase {
            name: "one lost answer",
            outcomes: &[Answered, Interrupted],
            avoided: false,
            lost: false,
            needs_health_check: true,
        },
        OutcomeCase {
            name: "answered again",
            outcomes: &[Interrupted, Answered],
            avoided: false,
            lost: false,
            needs_health_check: false,
        },
        OutcomeCase {
            name: "two lost answers in a row",
            outcomes: &[Interrupted, Interrupted],
            avoided: true,
            lost: false,
            needs_health_check: true,
        },
        OutcomeCase {
            name: "no connection",
            outcomes: &[Answered, Unreachable],
            avoided: true,
            lost: true,
            needs_health_check: true,
        },
        OutcomeCase {
            name: "refuses every second request with free slots",
            outcomes: &[Full, Answered, Full, Full, Answered, Full, Full],
            avoided: true,
            lost: false,
            needs_health_check: false,
        },
        OutcomeCase {
            name: "one failure in ten",
            outcomes: &[
                Failed, Answered, Answered, Answered, Answered, Answered, Answered, Answered,
                Answered, Answered, Failed,
            ],
            avoided: false,
            lost: false,
            needs_health_check: false,
        },
    ];
    for case in cases {
        let state = upstream();
        let mut now = at(1_000);
        for outcome in case.outcomes {
            state.record(*outcome, now);
            now = now + MS;
        }
        assert_eq!(
            state.is_avoided(now),
            case.avoided,
            "{}: avoided",
            case.name
        );
        assert_eq!(state.is_unreachable(), case.lost, "{}: lost", case.name);
        assert_eq!(
            state.needs_health_check(),
            case.needs_health_check,
            "{}: check",
            case.name
        );
    }
}

/// Guards against requests that are spread over all upstreams at a start, for the sake of trying them: on a site of 675
/// upstreams a quarter of the requests changed their region.
#[test]
fn only_upstreams_that_join_others_at_work_are_tried() {
    let facts = || UpstreamInfo {
        id: "u-1".to_string(),
        domain: DomainKey::from_index(0),
        region: RegionKey::from_index(0),
        slots: 2,
    };
    let at_start = UpstreamState::new(facts(), MonotonicTime::default(), false);
    assert!(!at_start.is_untried());
    let joining = UpstreamState::new(facts(), MonotonicTime::default(), true);
    assert!(joining.is_untried());
    joining.set_peer_in_flight(1);
    assert!(!joining.is_untried(), "another instance uses it");
}

/// Guards against an upstream that once was slow and is never tried again.
#[test]
fn slowness_is_forgotten_without_answers() {
    let state = upstream();
    for _ in 0..10 {
        state.record_latency(1_000 * MS, 200 * MS, at(1_000));
    }
    assert!(state.slowness(at(1_000)) > 3.0);
    assert!(state.slowness(at(6_000)) < 1.1);
}

/// Guards against a queue of requests that are late already in front of those that can be in time.
#[test]
fn late_requests_wait_behind_urgent_ones_of_any_rank() {
    let line = RequestQueue::default();
    let warm = 200 * MS;
    let enter = |name, rank, objective_left: Duration| {
        let place = line.assign_position(queue_priority(rank, objective_left, warm));
        line.insert(place, name);
        place
    };
    enter("late order", 0, 10 * MS);
    enter("preview", 2, 400 * MS);
    let left = enter("order that leaves", 1, 400 * MS);
    enter("order", 1, 400 * MS);
    line.remove(left);
    assert_eq!(line.count_ahead(1), 1);
    assert_eq!(line.pop(9), ["order", "preview", "late order"]);
}

struct WaitCase {
    name: &'static str,
    objective_left_ms: u32,
    deadline_left_ms: u32,
    longest_ms: u32,
}

/// Guards against requests that are held although no answer within their objective can come any more.
#[test]
fn waits_end_when_the_objective_cannot_be_met() {
    let cases = [
        WaitCase {
            name: "in time",
            objective_left_ms: 500,
            deadline_left_ms: 1_000,
            longest_ms: 300,
        },
        WaitCase {
            name: "late: a small part of the caller's time",
            objective_left_ms: 0,
            deadline_left_ms: 1_000,
            longest_ms: 200,
        },
    ];
    for case in cases {
        let longest = max_queue_wait(
            MS * case.objective_left_ms,
            MS * case.deadline_left_ms,
            200 * MS,
        );
        assert_eq!(longest, MS * case.longest_ms, "{}", case.name);
    }
    // Callers follow up to a third of the time they have left.
    for uniform in [0.0, 0.5, 1.0] {
        let after = retry_after(3_000 * MS, uniform);
        assert!((500 * MS..=1_000 * MS).contains(&after), "{after:?}");
    }
}

/// Guards against callers that come back and are taken for new ones, and against one caller with more time than usual
/// that makes all others look late.
#[test]
fn the_age_of_a_request_is_known_from_the_time_it_states() {
    let times = ServiceTimes::new(RegionKey::from_index(0), 1);
    for _ in 0..20 {
        assert_eq!(times.request_age(3_000 * MS), Duration::ZERO);
    }
    assert_eq!(
        times.request_age(9_000 * MS),
        Duration::ZERO,
        "more patient than usual"
    );
    assert_eq!(times.request_age(2_300 * MS), 700 * MS, "after a refusal");
    assert_eq!(times.request_age(3_000 * MS), Duration::ZERO, "a new one");
}

/// Guards against places that are taken for warm long after, and against a table that forgets the latest ones first.
#[test]
fn objects_are_warm_where_they_were_handled_lately() {
    let table = AffinityTable::default();
    for upstream in 1..=10_u64 {
        let short = short_hash(upstream << 32);
        table.record(7, short, at(1_000 + upstream));
    }
    let places = table.upstreams(7, at(2_000));
    assert!(places.last_used_ms(10 << 32).is_some());
    assert!(
        places.last_used_ms(1 << 32).is_none(),
        "only the latest eight are kept"
    );
    assert!(
        table
            .upstreams(8, at(2_000))
            .last_used_ms(10 << 32)
            .is_none()
    );
    table.expire(at(500_000));
    assert!(
        table
            .upstreams(7, at(500_000))
            .last_used_ms(10 << 32)
            .is_none()
    );
}

/// Guards against a request that crashes upstream after upstream, and against refusing one that was answered since.
#[test]
fn a_request_is_refused_after_three_upstreams_broke_under_it() {
    let mut table = CrashTable::default();
    for upstream in [1, 1, 2] {
        table.record_crash(9, upstream, at(1_000));
    }
    assert!(!table.is_blocked(9), "one upstream counts once");
    table.record_crash(9, 3, at(1_000));
    assert!(table.is_blocked(9));
    assert!(!table.is_blocked(8));
    assert!(table.remove(9));
    assert!(!table.is_blocked(9));
    table.record_crash(5, 1, at(1_000));
    table.record_crash(6, 1, at(2_000_000));
    assert!(!table.contains(5), "forgotten");
}
