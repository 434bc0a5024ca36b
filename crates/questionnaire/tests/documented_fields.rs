//! Tests of the field tables in the pages under `docs/`. Guards against a field that is read but not documented, and
//! against a field that is documented but not read.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

use coltsfootkeel_model::{FindingList, FleetConfig};
use coltsfootkeel_questionnaire::parse;
use coltsfootkeel_settings::DaemonSettings;

/// Maps the path of a mapping to the names of its fields.
type FieldTable = BTreeMap<String, BTreeSet<String>>;

/// A document with the unknown field `probe` in each mapping. The findings about it list the known fields.
struct FieldProbe {
    file: &'static str,
    section: &'static str,
    document: &'static str,
    findings: fn(&str) -> FindingList,
}

const PROBES: [FieldProbe; 3] = [
    FieldProbe {
        file: "configuration.md",
        section: "The configuration document",
        document: "{probe: 1, regions: [{probe: 1}], links: [{probe: 1}], seats: [{probe: 1}], \
                   departments: [{probe: 1}], client_accounts: [{probe: 1, access_keys: [{probe: 1}]}], \
                   pools: [{probe: 1, upstreams: [{probe: 1}]}], routes: [{probe: 1, isolation: {probe: 1}}], \
                   shifts: [{probe: 1, cap: {probe: 1}}], drains: [{probe: 1}], sites: [{probe: 1}], \
                   blocks: [{probe: 1}]}",
        findings: |text| FleetConfig::parse("probe", text).unwrap_err(),
    },
    FieldProbe {
        file: "configuration.md",
        section: "Settings of a daemon",
        document: "{probe: 1, entry: {probe: 1}, peer: {probe: 1}, admin: {probe: 1, operators: [{probe: 1}]}, \
                   platform: {probe: 1}, log: {probe: 1}, metrics: {probe: 1}}",
        findings: |text| DaemonSettings::parse("probe", text).unwrap_err(),
    },
    FieldProbe {
        file: "questionnaire.md",
        section: "Questions",
        document: "{probe: 1, regions: [{probe: 1, failure_domains: [{probe: 1}]}], links: [{probe: 1}], \
                   departments: [{probe: 1, departure: {probe: 1}}], callers: [{probe: 1}], sites: [{probe: 1}], \
                   pools: [{probe: 1, upstreams: [{probe: 1}]}], services: [{probe: 1}]}",
        findings: |text| parse("probe", text).unwrap_err(),
    },
];

/// Returns the known fields that the findings list.
fn known_fields(findings: &FindingList) -> FieldTable {
    let mut table = FieldTable::new();
    for finding in findings.sorted() {
        let Some(names) = finding
            .expected
            .strip_prefix("unknown field; expected one of: ")
        else {
            continue;
        };
        let path = finding.field.strip_suffix("probe").unwrap();
        let path = path.trim_end_matches('.').replace("[0]", "[]");
        table.insert(path, names.split(", ").map(str::to_string).collect());
    }
    table
}

/// Returns the fields in the tables of one section of a page.
fn documented_fields(page: &str, section: &str) -> FieldTable {
    let mut table = FieldTable::new();
    let mut is_in_section = false;
    let mut path = String::new();
    for line in page.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            is_in_section = title == section;
        } else if let Some(title) = line.strip_prefix("### ") {
            path = match title {
                "Top level" => String::new(),
                title => title.trim_matches('`').to_string(),
            };
        } else if let Some(row) = line.strip_prefix("| `")
            && is_in_section
        {
            let (field, _) = row.split_once('`').unwrap();
            table
                .entry(path.clone())
                .or_default()
                .insert(field.to_string());
        }
    }
    table
}

#[test]
fn documented_fields_match_the_fields_that_are_read() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    for probe in PROBES {
        let page = fs::read_to_string(docs.join(probe.file)).unwrap();
        let known = known_fields(&(probe.findings)(probe.document));
        assert_eq!(
            documented_fields(&page, probe.section),
            known,
            "{}",
            probe.section
        );
    }
}

/// Guards against a probe document that misses a mapping, whose fields would then not be compared.
#[test]
fn probes_reach_every_mapping() {
    let reached = PROBES.map(|probe| known_fields(&(probe.findings)(probe.document)).len());
    assert_eq!(reached, [16, 8, 11]);
}
