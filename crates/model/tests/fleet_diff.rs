//! Tests of the comparison of two documents, by which a change is checked against the departments of its operator.

use coltsfootkeel_model::{RawDepartment, RawFleet, RawRoute, fleet_diff};

const DOCUMENT: &str = "\
regions: [{name: penang, failure_domains: [penang-a]}, {name: johor, failure_domains: [johor-a]}]
seats: [{name: penang-a-1, failure_domain: penang-a}]
departments: [{name: ordering}, {name: printing}]
client_accounts: [{name: hotels, department: ordering, rate_per_s: 7, burst: 5}]
pools: [{name: desk, upstreams: [{name: od-1, address: '127.0.0.1:1', failure_domain: penang-a, slots: 9}]}]
routes: [{name: orders, department: ordering, path_prefix: /orders, pool: desk}]
shifts: [{name: out, route: orders, from: penang, to: johor, cap: {share_percent: 10}}]
drains: [{kind: department, name: printing}]
blocks: []
";

struct DiffCase {
    label: &'static str,
    from: &'static str,
    to: &'static str,
    changes: &'static [(&'static str, &'static [&'static str])],
}

/// Guards against a change that is missed or attributed to the wrong department, which would let an operator change
/// records of another department.
#[test]
fn each_change_names_its_record_and_its_departments() {
    let cases = [
        DiffCase {
            label: "other order and defaults written out",
            from: "{name: ordering}, {name: printing}",
            to: "{name: printing}, {name: ordering}",
            changes: &[],
        },
        DiffCase {
            label: "changed account",
            from: "burst: 5",
            to: "burst: 6",
            changes: &[("changed client account hotels", &["ordering"])],
        },
        DiffCase {
            label: "account that moves",
            from: "hotels, department: ordering",
            to: "hotels, department: printing",
            changes: &[("changed client account hotels", &["ordering", "printing"])],
        },
        DiffCase {
            label: "renamed account",
            from: "name: hotels",
            to: "name: inns",
            changes: &[
                ("added client account inns", &["ordering"]),
                ("removed client account hotels", &["ordering"]),
            ],
        },
        DiffCase {
            label: "shift belongs to the department of its route",
            from: "share_percent: 10",
            to: "rate_per_s: 10",
            changes: &[("changed shift out", &["ordering"])],
        },
        DiffCase {
            label: "upstream belongs to no department",
            from: "slots: 9",
            to: "slots: 8",
            changes: &[("changed upstream od-1", &[])],
        },
        DiffCase {
            label: "pool belongs to no department",
            from: "{name: desk, upstreams",
            to: "{name: desk, load_path: /other, upstreams",
            changes: &[("changed pool desk", &[])],
        },
        DiffCase {
            label: "drain of a department",
            from: "drains: [{kind: department, name: printing}]",
            to: "drains: []",
            changes: &[("removed drain department/printing", &["printing"])],
        },
        DiffCase {
            label: "drain of an upstream belongs to no department",
            from: "{kind: department, name: printing}",
            to: "{kind: department, name: printing}, {kind: upstream, name: od-1}",
            changes: &[("added drain upstream/od-1", &[])],
        },
        DiffCase {
            label: "region",
            from: "[johor-a]",
            to: "[johor-a, johor-b]",
            changes: &[("changed region johor", &[])],
        },
    ];
    let before = RawFleet::read("before", DOCUMENT);
    for case in cases {
        assert!(DOCUMENT.contains(case.from), "{}", case.label);
        let text = DOCUMENT.replace(case.from, case.to);
        let changes = fleet_diff(&before, &RawFleet::read("after", &text));
        let found: Vec<(String, Vec<&str>)> = changes
            .iter()
            .map(|change| {
                let departments = change.departments.iter().map(String::as_str);
                (change.to_string(), departments.collect())
            })
            .collect();
        let expected: Vec<(String, Vec<&str>)> = case
            .changes
            .iter()
            .map(|(text, departments)| ((*text).to_string(), departments.to_vec()))
            .collect();
        assert_eq!(found, expected, "{}", case.label);
    }
}

/// Guards against faults of a single record that are dropped or reported one at a time.
#[test]
fn single_record_reports_all_its_findings() {
    let department = RawDepartment::read("department.yaml", "name: printing\n").unwrap();
    assert_eq!(department.name.value, "printing");
    let text = "name: orders\nclass: slow\ncolour: red\n";
    let findings = RawRoute::read("route.yaml", text).unwrap_err().to_string();
    for (location, field) in [
        ("route.yaml:1:", " department: expected a non-empty string"),
        ("route.yaml:1:", " path_prefix: expected a non-empty string"),
        ("route.yaml:1:", " pool: expected a non-empty string"),
        ("route.yaml:2:8:", " class: expected one of"),
        ("route.yaml:3:1:", " colour: unknown field"),
    ] {
        let mut lines = findings.lines();
        let found = lines.any(|line| line.starts_with(location) && line.contains(field));
        assert!(found, "{location}{field}: {findings}");
    }
}
