//! Validation of raw plans, and matching of requests to routes.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_steering::{
    CallerLimits, FleetTopology, PlanMatch, RawAccount, RawPlan, RawPool, RawRoute, RawTarget,
    RouteKind, SteeringPlan, UnreadableParts, UnreadableRoute,
};

fn topology() -> FleetTopology {
    let region_of = BTreeMap::from([
        ("a-1".to_string(), "a".to_string()),
        ("b-1".to_string(), "b".to_string()),
    ]);
    FleetTopology::try_from(&region_of).unwrap()
}

fn route(name: &str, path_prefix: &str, targets: &[(&str, f64)]) -> RawRoute {
    RawRoute {
        name: name.to_string(),
        host: "Shop.example".to_string(),
        path_prefix: path_prefix.to_string(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(500),
        priority: 1,
        targets: targets
            .iter()
            .map(|(pool, weight)| RawTarget {
                pool: (*pool).to_string(),
                weight: *weight,
            })
            .collect(),
        max_attempts: 2,
        is_public: false,
        has_affinity: true,
        regions: vec!["a".to_string()],
    }
}

fn account(name: &str, keys: &[&str]) -> RawAccount {
    RawAccount {
        name: name.to_string(),
        access_keys: keys.iter().map(ToString::to_string).collect(),
        priority: None,
        rate_per_s: 10.0,
        burst: 10.0,
        regions: vec![],
    }
}

fn raw(routes: Vec<RawRoute>, accounts: Vec<RawAccount>) -> RawPlan {
    let pool = |name: &str| RawPool {
        name: name.to_string(),
        health_path: "/healthz".to_string(),
        cold_start: Duration::from_secs(3),
        cold_per_s: 5.0,
    };
    RawPlan {
        version: 1,
        routes,
        pools: vec![pool("orders"), pool("files")],
        accounts,
        limits: CallerLimits::default(),
        unreadable: UnreadableParts::default(),
    }
}

fn found<K>(found: PlanMatch<K>) -> Option<K> {
    match found {
        PlanMatch::Found(key) => Some(key),
        PlanMatch::Unreadable | PlanMatch::Unknown => None,
    }
}

struct MatchCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

/// Guards against requests that match a shorter prefix than the most specific one, or the route of another host.
#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("all", "/", &[("orders", 1.0)]),
        route("files", "/files/", &[("files", 1.0)]),
        route("old files", "/files/old/", &[("orders", 1.0)]),
    ];
    let plan = SteeringPlan::build(raw(routes, vec![]), &topology());
    let cases = [
        MatchCase {
            host: "shop.example",
            path: "/files/1",
            route: Some("files"),
        },
        MatchCase {
            host: "SHOP.example:8080",
            path: "/files/old/1",
            route: Some("old files"),
        },
        MatchCase {
            host: "shop.example",
            path: "/filesystem",
            route: Some("all"),
        },
        MatchCase {
            host: "other.example",
            path: "/files/1",
            route: None,
        },
    ];
    for case in cases {
        let found = found(plan.route(case.host, case.path));
        let name = found.map(|key| plan.routes[key].name.as_str());
        assert_eq!(name, case.route, "{} {}", case.host, case.path);
    }
}

/// What becomes of a request.
#[derive(Debug, PartialEq, Eq)]
enum Fate {
    Served,
    /// Refused, because a part of the plan cannot be used.
    Refused,
    /// Refused, because the plan does not contain its route or key.
    Unknown,
}

fn fate(plan: &SteeringPlan, path: &str, key: &str) -> Fate {
    let route = match plan.route("shop.example", path) {
        PlanMatch::Found(route) => route,
        PlanMatch::Unreadable => return Fate::Refused,
        PlanMatch::Unknown => return Fate::Unknown,
    };
    match plan.account(key) {
        PlanMatch::Unreadable => Fate::Refused,
        PlanMatch::Unknown => Fate::Unknown,
        PlanMatch::Found(_) if plan.routes[route].pool(0.0).is_none() => Fate::Refused,
        PlanMatch::Found(_) => Fate::Served,
    }
}

struct FindingCase {
    name: &'static str,
    change: fn(&mut RawPlan),
    /// The fault that is reported.
    finding: &'static str,
    /// The fate of requests for `/good/`, `/odd/` and `/none/` with the key of an account, and for `/good/` with another
    /// account's key and with an unknown key.
    fates: [Fate; 5],
}

/// Guards against one dangling or ambiguous reference that costs more than the requests that depend on it: the whole
/// plan, the routes and accounts beside it, or a 401 or 404 that callers do not repeat. It replaces the test that the
/// whole plan is refused.
#[test]
fn a_part_that_cannot_be_used_costs_only_its_own_requests() {
    use Fate::{Refused, Served, Unknown};
    let cases = [
        FindingCase {
            name: "an unknown pool",
            change: |raw| raw.routes[1].targets[0].pool = "gone".to_string(),
            finding: "odd: expected a readable service, not 'gone'",
            fates: [Served, Refused, Unknown, Served, Unknown],
        },
        FindingCase {
            name: "no target with a positive weight",
            change: |raw| raw.routes[1].targets[0].weight = 0.0,
            finding: "odd: expected a target with a positive weight",
            fates: [Served, Refused, Unknown, Served, Unknown],
        },
        FindingCase {
            name: "one key for two accounts",
            change: |raw| raw.accounts[1].access_keys = vec!["k1".to_string(), "k2".to_string()],
            finding: "y: expected a key of its own, not one of 'x'",
            fates: [Refused, Refused, Unknown, Served, Unknown],
        },
        FindingCase {
            name: "a route that cannot be read",
            change: |raw| {
                raw.routes.remove(1);
                raw.unreadable.routes.push(UnreadableRoute {
                    host: Some("Shop.example".to_string()),
                    path_prefix: Some("/odd/".to_string()),
                });
            },
            finding: "",
            fates: [Served, Refused, Unknown, Served, Unknown],
        },
        FindingCase {
            name: "a route whose prefix cannot be read",
            change: |raw| {
                raw.unreadable.routes.push(UnreadableRoute {
                    host: Some("shop.example".to_string()),
                    path_prefix: None,
                });
            },
            finding: "",
            fates: [Served, Served, Refused, Served, Unknown],
        },
        FindingCase {
            name: "a route whose host cannot be read",
            change: |raw| raw.unreadable.routes.push(UnreadableRoute::default()),
            finding: "",
            fates: [Served, Served, Refused, Served, Unknown],
        },
        FindingCase {
            name: "an account that cannot be read",
            change: |raw| {
                let account = raw.accounts.remove(1);
                raw.unreadable.access_keys = account.access_keys;
            },
            finding: "",
            fates: [Served, Served, Unknown, Refused, Unknown],
        },
        FindingCase {
            name: "keys that cannot be read",
            change: |raw| raw.unreadable.has_unknown_keys = true,
            finding: "",
            fates: [Served, Served, Unknown, Served, Refused],
        },
    ];
    for case in cases {
        let routes = vec![
            route("good", "/good/", &[("orders", 1.0)]),
            route("odd", "/odd/", &[("files", 1.0)]),
        ];
        let mut raw = raw(routes, vec![account("x", &["k1"]), account("y", &["k2"])]);
        (case.change)(&mut raw);
        let plan = SteeringPlan::build(raw, &topology());
        let fates = [
            fate(&plan, "/good/1", "k1"),
            fate(&plan, "/odd/1", "k1"),
            fate(&plan, "/none/1", "k1"),
            fate(&plan, "/good/1", "k2"),
            fate(&plan, "/good/1", "k3"),
        ];
        assert_eq!(fates, case.fates, "{}", case.name);
        let findings = plan.findings.iter();
        let texts: Vec<String> = findings
            .map(|finding| format!("{}: {}", finding.field, finding.expected))
            .collect();
        assert_eq!(texts.join("; "), case.finding, "{}", case.name);
    }
}

/// Guards against requests without a key that are served because no account of the plan can be read.
#[test]
fn a_plan_whose_accounts_cannot_be_read_still_requires_keys() {
    let mut unreadable = raw(vec![], vec![]);
    unreadable.unreadable.access_keys = vec!["k".to_string()];
    assert!(SteeringPlan::build(unreadable, &topology()).has_accounts());
    let mut unknown = raw(vec![], vec![]);
    unknown.unreadable.has_unknown_keys = true;
    assert!(SteeringPlan::build(unknown, &topology()).has_accounts());
}

/// Guards against a traffic split that does not follow its weights.
#[test]
fn a_split_follows_its_weights() {
    let routes = vec![route("r", "/", &[("orders", 90.0), ("files", 10.0)])];
    let plan = SteeringPlan::build(raw(routes, vec![]), &topology());
    let key = found(plan.route("shop.example", "/")).unwrap();
    let files = plan.pools.find(|pool| pool.name == "files").unwrap();
    let to_files = (0..1_000)
        .map(|step| plan.routes[key].pool(f64::from(step) / 1_000.0))
        .filter(|pool| *pool == Some(files))
        .count();
    assert_eq!(to_files, 100);
}

/// Guards against an unknown region that allows all regions for a route, and against access keys that are accepted
/// although the plan does not contain them.
#[test]
fn unknown_regions_allow_nothing_and_unknown_keys_have_no_account() {
    let topology = topology();
    let region = |name| topology.region(name).unwrap();
    let named = topology.region_set(&["b".to_string(), "nowhere".to_string()]);
    assert!(named.contains(region("b")) && !named.contains(region("a")));
    let unknown = topology.region_set(&["nowhere".to_string()]);
    assert!(!unknown.contains(region("a")) && !unknown.contains(region("b")));
    let accounts = vec![account("x", &["k1", "k2"])];
    let plan = SteeringPlan::build(raw(vec![], accounts), &topology);
    assert!(found(plan.account("k2")).is_some());
    assert_eq!(plan.account("k3"), PlanMatch::Unknown);
}
