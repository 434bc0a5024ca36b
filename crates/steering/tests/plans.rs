//! Validation of raw plans, and matching of requests to routes.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_steering::{
    CallerLimits, FleetTopology, PlanError, RawAccount, RawPlan, RawPool, RawRoute, RawTarget,
    RouteKind, SteeringPlan,
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
    let plan = SteeringPlan::build(raw(routes, vec![]), &topology()).unwrap();
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
        let found = plan.route(case.host, case.path);
        let name = found.map(|key| plan.routes[key].name.as_str());
        assert_eq!(name, case.route, "{} {}", case.host, case.path);
    }
}

struct RefusalCase {
    name: &'static str,
    raw: RawPlan,
    error: PlanError,
}

/// Guards against replacing a valid plan by one with dangling or ambiguous references.
#[test]
fn plans_with_dangling_or_shared_references_are_refused() {
    let cases = [
        RefusalCase {
            name: "an unknown pool",
            raw: raw(vec![route("r", "/", &[("gone", 1.0)])], vec![]),
            error: PlanError::UnknownPool {
                route: "r".to_string(),
                pool: "gone".to_string(),
            },
        },
        RefusalCase {
            name: "no target with a positive weight",
            raw: raw(vec![route("r", "/", &[("orders", 0.0)])], vec![]),
            error: PlanError::NoTarget("r".to_string()),
        },
        RefusalCase {
            name: "one key for two accounts",
            raw: raw(vec![], vec![account("x", &["k"]), account("y", &["k"])]),
            error: PlanError::SharedKey("x".to_string(), "y".to_string()),
        },
    ];
    for case in cases {
        let built = SteeringPlan::build(case.raw, &topology());
        assert_eq!(built.err(), Some(case.error), "{}", case.name);
    }
}

/// Guards against a traffic split that does not follow its weights.
#[test]
fn a_split_follows_its_weights() {
    let routes = vec![route("r", "/", &[("orders", 90.0), ("files", 10.0)])];
    let plan = SteeringPlan::build(raw(routes, vec![]), &topology()).unwrap();
    let key = plan.route("shop.example", "/").unwrap();
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
    let plan = SteeringPlan::build(raw(vec![], accounts), &topology).unwrap();
    assert!(plan.account("k2").is_some());
    assert!(plan.account("k3").is_none());
}
