//! Collections of the administration API: the functions that list, put and remove the records of each.

use coltsfootkeel_model::{
    FindingList, Located, RawAccount, RawDepartment, RawDrain, RawFleet, RawPool, RawRoute,
    RawShift, RawUpstream,
};
use serde::Serialize;
use serde_json::Value;

use crate::admin_error::AdminError;
use crate::admin_findings::sent_text_error;

/// The name of a record and the record as JSON.
pub type NamedRecord = (String, Value);

/// A record that is created or replaced.
#[derive(Debug)]
pub struct RecordPut {
    /// The name of the record, from the path.
    pub name: String,
    /// The text of the record, from the body.
    pub text: String,
    /// The pool of an upstream, from the query; `None` for other records and for an upstream that stays in its pool.
    pub pool: Option<String>,
}

/// A collection of records of one kind.
#[derive(Debug)]
pub struct Collection {
    /// The name of the record kind in error messages.
    pub record_kind: &'static str,
    /// The path of the collection.
    pub list_path: &'static str,
    /// The path of one record, with its parameters in braces.
    pub item_path: &'static str,
    /// Returns the records in any order.
    pub list: fn(&RawFleet) -> Vec<NamedRecord>,
    /// Creates or replaces a record.
    pub put: fn(&mut RawFleet, &RecordPut) -> Result<(), AdminError>,
    /// Removes a record and returns whether it existed.
    pub remove: fn(&mut RawFleet, &str) -> bool,
}

/// All collections of the fleet document that the API can edit by record.
pub static COLLECTIONS: [Collection; 7] = [
    Collection {
        record_kind: "department",
        list_path: "/v1/departments",
        item_path: "/v1/departments/{name}",
        list: |fleet| list(&fleet.departments, department_name),
        put: |fleet, put| {
            let record = parse(put, RawDepartment::read, department_name)?;
            replace(&mut fleet.departments, record, department_name);
            Ok(())
        },
        remove: |fleet, name| remove(&mut fleet.departments, name, department_name),
    },
    Collection {
        record_kind: "client account",
        list_path: "/v1/client-accounts",
        item_path: "/v1/client-accounts/{name}",
        list: |fleet| list(&fleet.client_accounts, account_name),
        put: put_account,
        remove: |fleet, name| remove(&mut fleet.client_accounts, name, account_name),
    },
    Collection {
        record_kind: "route",
        list_path: "/v1/routes",
        item_path: "/v1/routes/{name}",
        list: |fleet| list(&fleet.routes, route_name),
        put: |fleet, put| {
            let record = parse(put, RawRoute::read, route_name)?;
            replace(&mut fleet.routes, record, route_name);
            Ok(())
        },
        remove: |fleet, name| remove(&mut fleet.routes, name, route_name),
    },
    Collection {
        record_kind: "shift",
        list_path: "/v1/shifts",
        item_path: "/v1/shifts/{name}",
        list: |fleet| list(&fleet.shifts, shift_name),
        put: |fleet, put| {
            let record = parse(put, RawShift::read, shift_name)?;
            replace(&mut fleet.shifts, record, shift_name);
            Ok(())
        },
        remove: |fleet, name| remove(&mut fleet.shifts, name, shift_name),
    },
    Collection {
        record_kind: "pool",
        list_path: "/v1/pools",
        item_path: "/v1/pools/{name}",
        list: |fleet| list(&fleet.pools, pool_name),
        put: |fleet, put| {
            let record = parse(put, RawPool::read, pool_name)?;
            replace(&mut fleet.pools, record, pool_name);
            Ok(())
        },
        remove: |fleet, name| remove(&mut fleet.pools, name, pool_name),
    },
    Collection {
        record_kind: "upstream",
        list_path: "/v1/upstreams",
        item_path: "/v1/upstreams/{name}",
        list: list_upstreams,
        put: put_upstream,
        remove: |fleet, name| {
            let mut pools = fleet.pools.iter_mut();
            pools.any(|pool| remove(&mut pool.upstreams, name, upstream_name))
        },
    },
    Collection {
        record_kind: "drain",
        list_path: "/v1/drains",
        item_path: "/v1/drains/{kind}/{name}",
        list: |fleet| list(&fleet.drains, drain_name),
        put: put_drain,
        remove: |fleet, name| remove(&mut fleet.drains, name, drain_name),
    },
];

fn department_name(record: &RawDepartment) -> String {
    record.name.value.clone()
}

fn account_name(record: &RawAccount) -> String {
    record.name.value.clone()
}

fn route_name(record: &RawRoute) -> String {
    record.name.value.clone()
}

fn shift_name(record: &RawShift) -> String {
    record.name.value.clone()
}

fn pool_name(record: &RawPool) -> String {
    record.name.value.clone()
}

fn upstream_name(record: &RawUpstream) -> String {
    record.name.value.clone()
}

/// Returns the kind and the name of a drain, joined by a slash. The kind is needed because an upstream and a
/// region may have the same name.
fn drain_name(record: &RawDrain) -> String {
    format!("{}/{}", record.kind.value.as_str(), record.name.value)
}

fn list<T: Serialize>(records: &[T], name_of: fn(&T) -> String) -> Vec<NamedRecord> {
    let named = records.iter();
    named
        .map(|record| (name_of(record), to_value(record)))
        .collect()
}

fn remove<T>(records: &mut Vec<T>, name: &str, name_of: fn(&T) -> String) -> bool {
    let count_before = records.len();
    records.retain(|record| name_of(record) != name);
    records.len() < count_before
}

fn replace<T>(records: &mut Vec<T>, record: T, name_of: fn(&T) -> String) {
    let name = name_of(&record);
    match records.iter_mut().find(|entry| name_of(entry) == name) {
        Some(entry) => *entry = record,
        None => records.push(record),
    }
}

/// Parses the record in the body.
///
/// # Errors
///
/// Returns an error if the record has findings or another name than the path.
fn parse<T>(
    put: &RecordPut,
    read: fn(&str, &str) -> Result<T, FindingList>,
    name_of: fn(&T) -> String,
) -> Result<T, AdminError> {
    let record = read("body", &put.text).map_err(|findings| sent_text_error(&findings))?;
    let name = name_of(&record);
    if name != put.name {
        let text = format!("the path names {} and the body names {name}", put.name);
        return Err(AdminError::Malformed(text));
    }
    Ok(record)
}

/// Creates or replaces a client account. If the new record has no access keys, those of the existing account are
/// retained, so that a change of the rate, for example, withdraws none.
fn put_account(fleet: &mut RawFleet, put: &RecordPut) -> Result<(), AdminError> {
    let mut record = parse(put, RawAccount::read, account_name)?;
    let mut accounts = fleet.client_accounts.iter();
    if let Some(existing) = accounts.find(|existing| existing.name.value == put.name)
        && record.access_keys.is_empty()
    {
        record.access_keys.clone_from(&existing.access_keys);
    }
    replace(&mut fleet.client_accounts, record, account_name);
    Ok(())
}

/// Lists the upstreams of all pools. Each record also has the name of its pool.
fn list_upstreams(fleet: &RawFleet) -> Vec<NamedRecord> {
    let mut records = Vec::new();
    for pool in &fleet.pools {
        for (name, mut value) in list(&pool.upstreams, upstream_name) {
            value["pool"] = Value::from(pool.name.value.as_str());
            records.push((name, value));
        }
    }
    records
}

/// Creates or replaces an upstream. An existing upstream stays in its pool unless the query names another one.
fn put_upstream(fleet: &mut RawFleet, put: &RecordPut) -> Result<(), AdminError> {
    let record = parse(put, RawUpstream::read, upstream_name)?;
    let contains_upstream = |pool: &&RawPool| {
        let mut upstreams = pool.upstreams.iter();
        upstreams.any(|upstream| upstream.name.value == put.name)
    };
    let current_pool = fleet.pools.iter().find(contains_upstream);
    let current_pool = current_pool.map(|pool| pool.name.value.clone());
    let Some(target_pool) = put.pool.clone().or_else(|| current_pool.clone()) else {
        let text = format!("upstream {} is new; name its pool with ?pool=", put.name);
        return Err(AdminError::Malformed(text));
    };
    if let Some(current_pool) = current_pool.filter(|current_pool| *current_pool != target_pool) {
        let mut pools = fleet.pools.iter_mut();
        if let Some(pool) = pools.find(|pool| pool.name.value == current_pool) {
            remove(&mut pool.upstreams, &put.name, upstream_name);
        }
    }
    let mut pools = fleet.pools.iter_mut();
    let pool = pools.find(|pool| pool.name.value == target_pool);
    let pool = pool.ok_or_else(|| AdminError::NotFound(format!("pool {target_pool}")))?;
    replace(&mut pool.upstreams, record, upstream_name);
    Ok(())
}

/// Creates a drain. The path already holds its kind and name, so the body may be empty.
fn put_drain(fleet: &mut RawFleet, put: &RecordPut) -> Result<(), AdminError> {
    let text = match put.name.split_once('/') {
        Some((kind, name)) if put.text.trim().is_empty() => {
            format!("{{\"kind\": \"{kind}\", \"name\": \"{name}\"}}")
        }
        _ => put.text.clone(),
    };
    let put = RecordPut {
        name: put.name.clone(),
        text,
        pool: None,
    };
    let record = parse(&put, RawDrain::read, drain_name)?;
    replace(&mut fleet.drains, record, drain_name);
    Ok(())
}

/// Creates a value without a location in a document.
pub fn without_location(text: &str) -> Located<String> {
    Located::without_location(text.to_string())
}

fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}
