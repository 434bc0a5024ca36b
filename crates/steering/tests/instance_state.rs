//! State that an instance derives from the store, from other instances and from answers.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{ArenaKey, DomainKey, RegionKey};
use coltsfootkeel_steering::{
    AffinityTable, AttemptOutcome, CrashTable, InstanceRoom, InstanceView, LookupQuery,
    PlanFreshness, RegionSet, RequestQueue, ServiceTimes, UpstreamInfo, UpstreamState,
    max_queue_wait, queue_priority, retry_after, select_instances, short_hash,
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

/// Guards against an access key that keeps working at a partitioned instance after its withdrawal, even if its last
/// watch delivered nothing for a second, and against refusals while the plan is confirmed every few seconds.
#[test]
fn keys_are_served_only_while_the_plan_is_fresh() {
    let cases = [
        FreshnessCase {
            name: "not confirmed yet, just after the start",
            confirmed_ms: 0,
            now_ms: 100,
            allowed: true,
        },
        FreshnessCase {
            name: "confirmed by the last watch",
            confirmed_ms: 1_000,
            now_ms: 4_000,
            allowed: true,
        },
        FreshnessCase {
            name: "too old if the watch delay and the network delay are included",
            confirmed_ms: 1_000,
            now_ms: 4_600,
            allowed: false,
        },
        FreshnessCase {
            name: "after the process was suspended for an hour",
            confirmed_ms: 1_000,
            now_ms: 3_600_000,
            allowed: false,
        },
    ];
    for case in cases {
        let freshness = PlanFreshness::default();
        freshness.confirm(at(case.confirmed_ms));
        // An older confirmation that arrives late has no effect.
        freshness.confirm(at(0));
        let allowed = freshness.allows_keys(at(case.now_ms), 5_000 * MS);
        assert_eq!(allowed, case.allowed, "{}", case.name);
    }
}

struct OutdatedCase {
    name: &'static str,
    newest_version: u64,
    now_ms: u64,
    bound_ms: u32,
    outdated: bool,
}

/// Guards against a final refusal of what a newer plan contains, and against refusals that let callers return for what no
/// plan contains.
#[test]
fn a_plan_counts_as_outdated_if_a_newer_one_may_be_in_force() {
    let cases = [
        OutdatedCase {
            name: "confirmed by the last watch",
            newest_version: 7,
            now_ms: 3_400,
            bound_ms: 2_500,
            outdated: false,
        },
        OutdatedCase {
            name: "another instance has a newer version",
            newest_version: 8,
            now_ms: 1_100,
            bound_ms: 2_500,
            outdated: true,
        },
        OutdatedCase {
            name: "not confirmed within the bound for changes",
            newest_version: 7,
            now_ms: 4_100,
            bound_ms: 3_000,
            outdated: true,
        },
        OutdatedCase {
            name: "a watch is still open that began before the end of a short bound",
            newest_version: 7,
            now_ms: 3_400,
            bound_ms: 500,
            outdated: false,
        },
        OutdatedCase {
            name: "not confirmed by a watch that would have returned by now",
            newest_version: 7,
            now_ms: 3_700,
            bound_ms: 500,
            outdated: true,
        },
    ];
    for case in cases {
        let freshness = PlanFreshness::default();
        freshness.confirm(at(1_000));
        freshness.record_version(case.newest_version);
        // An older version that another instance names later has no effect.
        freshness.record_version(3);
        let outdated = freshness.may_be_outdated(7, at(case.now_ms), case.bound_ms * MS);
        assert_eq!(outdated, case.outdated, "{}", case.name);
    }
}

struct LookupCase {
    name: &'static str,
    /// Region of each instance and whether it accepts requests, for ports 1, 2, ...
    instances: &'static [(usize, bool)],
    region: Option<usize>,
    allowed_regions: RegionSet,
    ports: &'static [u16],
}

/// Guards against look-ups that return stopping instances, and against request bodies that are sent to another region,
/// which may not be allowed to hold them, while an instance in the region of the caller accepts requests.
#[test]
fn look_ups_return_accepting_instances_of_the_callers_region_first() {
    let region = RegionKey::from_index;
    let only_region_1 = RegionSet::NONE.with(region(1));
    let cases = [
        LookupCase {
            name: "instances in the region of the caller",
            instances: &[(0, true), (1, true), (0, true)],
            region: Some(0),
            allowed_regions: RegionSet::ANY,
            ports: &[1, 3],
        },
        LookupCase {
            name: "an instance that is stopping",
            instances: &[(0, false), (0, true)],
            region: Some(0),
            allowed_regions: RegionSet::ANY,
            ports: &[2],
        },
        LookupCase {
            name: "an allowed region of the host if the region of the caller is down",
            instances: &[(0, false), (1, true), (2, true)],
            region: Some(0),
            allowed_regions: only_region_1,
            ports: &[2],
        },
        LookupCase {
            name: "any region if the allowed regions are down too",
            instances: &[(0, false), (1, false), (2, true)],
            region: Some(0),
            allowed_regions: only_region_1,
            ports: &[3],
        },
        LookupCase {
            name: "a caller whose region is unknown",
            instances: &[(0, true), (1, true)],
            region: None,
            allowed_regions: RegionSet::ANY,
            ports: &[1, 2],
        },
        LookupCase {
            name: "no instance accepts requests",
            instances: &[(0, false)],
            region: Some(0),
            allowed_regions: RegionSet::ANY,
            ports: &[],
        },
    ];
    for case in cases {
        let views: Vec<InstanceView> = (1..)
            .zip(case.instances)
            .map(|(port, (index, is_accepting))| InstanceView {
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                domain: DomainKey::from_index(*index),
                region: region(*index),
                is_accepting: *is_accepting,
                room: InstanceRoom::default(),
            })
            .collect();
        let query = LookupQuery {
            region: case.region.map(region),
            domain: None,
            allowed_regions: case.allowed_regions,
            caller: 1,
        };
        let ports: Vec<u16> = select_instances(query, &views, 64)
            .iter()
            .map(SocketAddr::port)
            .collect();
        assert_eq!(ports, case.ports, "{}", case.name);
    }
}

fn upstream() -> UpstreamState {
    let info = UpstreamInfo {
        id: "u-1".to_string(),
        domain: DomainKey::from_index(0),
        region: RegionKey::from_index(0),
        slots: 2,
    };
    UpstreamState::new(info, MonotonicTime::default(), false)
}

struct OutcomeCase {
    name: &'static str,
    outcomes: &'static [AttemptOutcome],
    avoided: bool,
    unreachable: bool,
    needs_health_check: bool,
}

/// Guards against an upstream that stays in use although most of its requests fail, and against avoiding one after a
/// single interrupted request.
#[test]
fn upstreams_are_avoided_after_failures_in_a_row() {
    use AttemptOutcome::{Answered, Failed, Full, Interrupted, Unreachable};
    let cases = [
        OutcomeCase {
            name: "one interrupted request",
            outcomes: &[Answered, Interrupted],
            avoided: false,
            unreachable: false,
            needs_health_check: true,
        },
        OutcomeCase {
            name: "an answer after an interrupted request",
            outcomes: &[Interrupted, Answered],
            avoided: false,
            unreachable: false,
            needs_health_check: false,
        },
        OutcomeCase {
            name: "two interrupted requests in a row",
            outcomes: &[Interrupted, Interrupted],
            avoided: true,
            unreachable: false,
            needs_health_check: true,
        },
        OutcomeCase {
            name: "no connection",
            outcomes: &[Answered, Unreachable],
            avoided: true,
            unreachable: true,
            needs_health_check: true,
        },
        OutcomeCase {
            name: "refuses every second request with free slots",
            outcomes: &[Full, Answered, Full, Full, Answered, Full, Full],
            avoided: true,
            unreachable: false,
            needs_health_check: false,
        },
        OutcomeCase {
            name: "one failure in ten",
            outcomes: &[
                Failed, Answered, Answered, Answered, Answered, Answered, Answered, Answered,
                Answered, Answered, Failed,
            ],
            avoided: false,
            unreachable: false,
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
            "{}: is_avoided",
            case.name
        );
        assert_eq!(
            state.is_unreachable(),
            case.unreachable,
            "{}: is_unreachable",
            case.name
        );
        assert_eq!(
            state.needs_health_check(),
            case.needs_health_check,
            "{}: needs_health_check",
            case.name
        );
    }
}

/// Guards against requests that are spread over all upstreams after a start because all of them count as untried: at a
/// site with 675 upstreams, a quarter of the requests was sent to another region.
#[test]
fn only_upstreams_that_join_a_pool_in_use_are_untried() {
    let info = || UpstreamInfo {
        id: "u-1".to_string(),
        domain: DomainKey::from_index(0),
        region: RegionKey::from_index(0),
        slots: 2,
    };
    let at_start = UpstreamState::new(info(), MonotonicTime::default(), false);
    assert!(!at_start.is_untried());
    let joining = UpstreamState::new(info(), MonotonicTime::default(), true);
    assert!(joining.is_untried());
    joining.set_peer_in_flight(1);
    assert!(!joining.is_untried(), "another instance uses it");
}

/// Guards against an upstream that receives no requests any more because it was slow once.
#[test]
fn slowness_decays_without_answers() {
    let state = upstream();
    for _ in 0..10 {
        state.record_latency(1_000 * MS, 200 * MS, at(1_000));
    }
    assert!(state.slowness(at(1_000)) > 3.0);
    assert!(state.slowness(at(6_000)) < 1.1);
}

/// Guards against late requests that delay requests which can still meet their objective.
#[test]
fn late_requests_wait_behind_requests_in_time_of_any_priority() {
    let queue = RequestQueue::default();
    let warm = 200 * MS;
    let enqueue = |name, priority, objective_left: Duration| {
        let position = queue.assign_position(queue_priority(priority, objective_left, warm));
        queue.insert(position, name);
        position
    };
    enqueue("late order", 0, 10 * MS);
    enqueue("preview", 2, 400 * MS);
    let removed = enqueue("cancelled order", 1, 400 * MS);
    enqueue("order", 1, 400 * MS);
    queue.remove(removed);
    assert_eq!(queue.count_ahead(1), 1);
    assert_eq!(queue.pop(9), ["order", "preview", "late order"]);
}

struct WaitCase {
    name: &'static str,
    objective_left_ms: u32,
    deadline_left_ms: u32,
    max_wait_ms: u32,
}

/// Guards against requests that stay in the queue although no answer can meet their objective any more.
#[test]
fn queue_wait_is_bounded_by_the_objective() {
    let cases = [
        WaitCase {
            name: "the objective can still be met",
            objective_left_ms: 500,
            deadline_left_ms: 1_000,
            max_wait_ms: 300,
        },
        WaitCase {
            name: "late: a fraction of the time until the deadline",
            objective_left_ms: 0,
            deadline_left_ms: 1_000,
            max_wait_ms: 200,
        },
    ];
    for case in cases {
        let max_wait = max_queue_wait(
            MS * case.objective_left_ms,
            MS * case.deadline_left_ms,
            200 * MS,
        );
        assert_eq!(max_wait, MS * case.max_wait_ms, "{}", case.name);
    }
    // Callers accept delays of up to a third of their remaining time.
    for uniform in [0.0, 0.5, 1.0] {
        let delay = retry_after(3_000 * MS, uniform);
        assert!((500 * MS..=1_000 * MS).contains(&delay), "{delay:?}");
    }
}

/// Guards against retries that are taken for new requests, and against one caller with an unusually long timeout that
/// makes the requests of all others look late.
#[test]
fn request_age_follows_from_the_stated_timeout() {
    let times = ServiceTimes::new(RegionKey::from_index(0), 1);
    for _ in 0..20 {
        assert_eq!(times.request_age(3_000 * MS), Duration::ZERO);
    }
    assert_eq!(
        times.request_age(9_000 * MS),
        Duration::ZERO,
        "a longer timeout than usual"
    );
    assert_eq!(times.request_age(2_300 * MS), 700 * MS, "after a refusal");
    assert_eq!(
        times.request_age(3_000 * MS),
        Duration::ZERO,
        "a new request"
    );
}

/// Guards against upstreams that count as warm long after their last use, and against a table that replaces the most
/// recent entries first.
#[test]
fn objects_are_warm_where_they_were_handled_recently() {
    let table = AffinityTable::default();
    for upstream in 1..=10_u64 {
        let short = short_hash(upstream << 32);
        table.record(7, short, at(1_000 + upstream));
    }
    let recent = table.upstreams(7, at(2_000));
    assert!(recent.last_used_ms(10 << 32).is_some());
    assert!(
        recent.last_used_ms(1 << 32).is_none(),
        "only the latest eight upstreams are kept"
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

/// Guards against a request that crashes one upstream after another, and against refusing one that was answered in the
/// meantime.
#[test]
fn a_request_is_blocked_after_it_crashed_three_upstreams() {
    let mut table = CrashTable::default();
    for upstream in [1, 1, 2] {
        table.record_crash(9, upstream, at(1_000));
    }
    assert!(!table.is_blocked(9), "an upstream counts once");
    table.record_crash(9, 3, at(1_000));
    assert!(table.is_blocked(9));
    assert!(!table.is_blocked(8));
    assert!(table.remove(9));
    assert!(!table.is_blocked(9));
    table.record_crash(5, 1, at(1_000));
    table.record_crash(6, 1, at(2_000_000));
    assert!(!table.contains(5), "expired");
}
