//! Look-up of routes by path. Guards against a short prefix that hides a longer one, and against a prefix that matches
//! in the middle of a path segment.

use coltsfootkeel_model::{ArenaKey, RouteKey, RouteTable};

struct PathCase {
    path: &'static str,
    prefix: Option<&'static str>,
}

const PREFIXES: [&str; 6] = [
    "/orders",
    "/orders/urgent",
    "/orders/urgent/today",
    "/art/",
    "/art/proofs",
    "/ordersheet",
];

const CASES: [PathCase; 14] = [
    PathCase {
        path: "/orders",
        prefix: Some("/orders"),
    },
    PathCase {
        path: "/orders/",
        prefix: Some("/orders"),
    },
    PathCase {
        path: "/orders/7",
        prefix: Some("/orders"),
    },
    PathCase {
        path: "/orders/urgent",
        prefix: Some("/orders/urgent"),
    },
    PathCase {
        path: "/orders/urgent/7",
        prefix: Some("/orders/urgent"),
    },
    PathCase {
        path: "/orders/urgently",
        prefix: Some("/orders"),
    },
    PathCase {
        path: "/orders/urgent/today/7",
        prefix: Some("/orders/urgent/today"),
    },
    PathCase {
        path: "/ordersheet/7",
        prefix: Some("/ordersheet"),
    },
    PathCase {
        path: "/ordersheets",
        prefix: None,
    },
    PathCase {
        path: "/art/7",
        prefix: Some("/art/"),
    },
    PathCase {
        path: "/art/proofs/7",
        prefix: Some("/art/proofs"),
    },
    PathCase {
        path: "/art",
        prefix: None,
    },
    PathCase {
        path: "/",
        prefix: None,
    },
    PathCase {
        path: "",
        prefix: None,
    },
];

fn route_table(prefixes: impl Iterator<Item = (usize, &'static str)>) -> RouteTable {
    let mut table = RouteTable::default();
    for (index, prefix) in prefixes {
        table.insert(prefix, RouteKey::from_index(index));
    }
    table
}

#[test]
fn longest_prefix_at_a_segment_boundary_wins() {
    let forward = route_table(PREFIXES.into_iter().enumerate());
    let backward = route_table(PREFIXES.into_iter().enumerate().rev());
    for case in CASES {
        for table in [&forward, &backward] {
            let found = table.find(case.path).map(|key| PREFIXES[key.index()]);
            assert_eq!(found, case.prefix, "path '{}'", case.path);
        }
    }
}

/// Guards against a route at `/` that matches only `/` itself, or that hides a longer prefix.
#[test]
fn root_route_matches_every_other_path() {
    let prefixes = ["/", "/orders"];
    let table = route_table(prefixes.into_iter().enumerate());
    let find = |path| table.find(path).map(|key| prefixes[key.index()]);
    assert_eq!(find("/"), Some("/"));
    assert_eq!(find("/other"), Some("/"));
    assert_eq!(find("/ordersheet"), Some("/"));
    assert_eq!(find("/orders/1"), Some("/orders"));
}
