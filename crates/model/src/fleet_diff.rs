//! Comparison of two configuration documents, record by record.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::raw_fleet::{DrainKind, RawFleet};

/// How a record differs between two documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// Only the new document has the record.
    Added,
    /// Both documents have the record, with different content.
    Changed,
    /// Only the old document has the record.
    Removed,
}

/// A record that differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RecordChange {
    /// How the record differs.
    pub change: ChangeKind,
    /// The kind of record, for example `route`.
    pub kind: &'static str,
    /// The name of the record.
    pub name: String,
    /// The departments that the record belongs to in either document, sorted; empty if it belongs to none, as a pool
    /// does.
    pub departments: Vec<String>,
}

impl fmt::Display for RecordChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = match self.change {
            ChangeKind::Added => "added",
            ChangeKind::Changed => "changed",
            ChangeKind::Removed => "removed",
        };
        write!(formatter, "{verb} {} {}", self.kind, self.name)
    }
}

/// Returns the records that differ between two documents: the added and changed ones, then the removed ones, each
/// sorted by kind and name.
#[must_use]
pub fn fleet_diff(before: &RawFleet, after: &RawFleet) -> Vec<RecordChange> {
    let mut old_records = list_records(before);
    let mut changes = Vec::new();
    for (key, record) in list_records(after) {
        match old_records.remove(&key) {
            None => changes.push(record_change(ChangeKind::Added, key, record.departments)),
            Some(earlier) if earlier.content != record.content => {
                let mut departments = earlier.departments;
                departments.extend(record.departments);
                departments.sort();
                departments.dedup();
                changes.push(record_change(ChangeKind::Changed, key, departments));
            }
            Some(_) => {}
        }
    }
    for (key, record) in old_records {
        changes.push(record_change(ChangeKind::Removed, key, record.departments));
    }
    changes
}

/// The kind and the name of a record. Two records of one kind with the same name are a finding, so the pair is unique
/// in a valid document.
type RecordName = (&'static str, String);

#[derive(Debug)]
struct ListedRecord {
    content: String,
    departments: Vec<String>,
}

fn record_change(change: ChangeKind, key: RecordName, departments: Vec<String>) -> RecordChange {
    RecordChange {
        change,
        kind: key.0,
        name: key.1,
        departments,
    }
}

fn list_records(fleet: &RawFleet) -> BTreeMap<RecordName, ListedRecord> {
    let mut list = RecordList::default();
    for record in &fleet.regions {
        list.add("region", &record.name.value, record, Vec::new());
    }
    for record in &fleet.links {
        let ends = record.between.iter().map(|end| end.value.as_str());
        list.add(
            "link",
            &ends.collect::<Vec<_>>().join("/"),
            record,
            Vec::new(),
        );
    }
    for record in &fleet.seats {
        list.add("seat", &record.name.value, record, Vec::new());
    }
    for record in &fleet.departments {
        let departments = vec![record.name.value.clone()];
        list.add("department", &record.name.value, record, departments);
    }
    for record in &fleet.client_accounts {
        let departments = vec![record.department.value.clone()];
        list.add("client account", &record.name.value, record, departments);
    }
    for pool in &fleet.pools {
        let paths = (&pool.health_path, &pool.load_path);
        list.add("pool", &pool.name.value, &paths, Vec::new());
        for record in &pool.upstreams {
            let pool_upstream = (&pool.name, record);
            list.add("upstream", &record.name.value, &pool_upstream, Vec::new());
        }
    }
    for record in &fleet.routes {
        let departments = vec![record.department.value.clone()];
        list.add("route", &record.name.value, record, departments);
    }
    for record in &fleet.shifts {
        let departments = route_departments(fleet, &record.route.value);
        list.add("shift", &record.name.value, record, departments);
    }
    for record in &fleet.drains {
        let departments = match record.kind.value {
            DrainKind::Department => vec![record.name.value.clone()],
            _ => Vec::new(),
        };
        let name = format!("{}/{}", record.kind.value.as_str(), record.name.value);
        list.add("drain", &name, record, departments);
    }
    for record in &fleet.sites {
        list.add("site", &record.name.value, record, Vec::new());
    }
    for record in &fleet.blocks {
        list.add("block", &record.block.value, record, Vec::new());
    }
    list.records
}

fn route_departments(fleet: &RawFleet, route: &str) -> Vec<String> {
    let routes = fleet.routes.iter();
    routes
        .filter(|record| record.name.value == route)
        .map(|record| record.department.value.clone())
        .collect()
}

#[derive(Debug, Default)]
struct RecordList {
    records: BTreeMap<RecordName, ListedRecord>,
}

impl RecordList {
    fn add<T: Serialize>(
        &mut self,
        kind: &'static str,
        name: &str,
        record: &T,
        departments: Vec<String>,
    ) {
        let content = serde_json::to_string(record).unwrap_or_default();
        let listed = ListedRecord {
            content,
            departments,
        };
        self.records.insert((kind, name.to_string()), listed);
    }
}
