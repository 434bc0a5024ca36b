//! The kinds of records that commands list, show, put and remove.

use coltsfootkeel_model::{
    FindingList, RawAccount, RawDepartment, RawDrain, RawPool, RawRoute, RawShift, RawUpstream,
};

/// The command, the path and the table columns of a kind of record.
#[derive(Debug)]
pub struct RecordKind {
    /// The name of the command group.
    pub command: &'static str,
    /// The path of the collection in the administration API.
    pub path: &'static str,
    /// The fields that the table of a list shows, in the order of its columns.
    pub columns: &'static [&'static str],
    /// Parses a record from the name and the text of a file, and returns its name in the collection. The name
    /// of a drain consists of the kind and the name of the drained object.
    pub parse_name: fn(&str, &str) -> Result<String, FindingList>,
}

/// The records of departments.
pub const DEPARTMENT: RecordKind = RecordKind {
    command: "department",
    path: "/v1/departments",
    columns: &["name"],
    parse_name: |file, text| Ok(RawDepartment::read(file, text)?.name.value),
};

/// The records of client accounts.
pub const ACCOUNT: RecordKind = RecordKind {
    command: "account",
    path: "/v1/client-accounts",
    columns: &["name", "department", "rate_per_s", "burst"],
    parse_name: |file, text| Ok(RawAccount::read(file, text)?.name.value),
};

/// The records of routes.
pub const ROUTE: RecordKind = RecordKind {
    command: "route",
    path: "/v1/routes",
    columns: &[
        "name",
        "department",
        "path_prefix",
        "pool",
        "class",
        "open",
        "deadline_ms",
    ],
    parse_name: |file, text| Ok(RawRoute::read(file, text)?.name.value),
};

/// The records of pools.
pub const POOL: RecordKind = RecordKind {
    command: "pool",
    path: "/v1/pools",
    columns: &["name", "health_path", "load_path"],
    parse_name: |file, text| Ok(RawPool::read(file, text)?.name.value),
};

/// The records of upstreams.
pub const UPSTREAM: RecordKind = RecordKind {
    command: "upstream",
    path: "/v1/upstreams",
    columns: &[
        "name",
        "pool",
        "address",
        "failure_domain",
        "slots",
        "connections",
    ],
    parse_name: |file, text| Ok(RawUpstream::read(file, text)?.name.value),
};

/// The records of shifts.
pub const SHIFT: RecordKind = RecordKind {
    command: "shift",
    path: "/v1/shifts",
    columns: &["name", "route", "from", "to", "cap", "state"],
    parse_name: |file, text| Ok(RawShift::read(file, text)?.name.value),
};

/// The records of drains.
pub const DRAIN: RecordKind = RecordKind {
    command: "drain",
    path: "/v1/drains",
    columns: &["kind", "name"],
    parse_name: |file, text| {
        let drain = RawDrain::read(file, text)?;
        Ok(format!(
            "{}/{}",
            drain.kind.value.as_str(),
            drain.name.value
        ))
    },
};
