//! The collections of the administration API: how each lists, replaces and removes its records.

use coltsfootkeel_model::{
    FindingList, Located, RawAccount, RawDepartment, RawDrain, RawFleet, RawPool, RawRoute,
    RawShift, RawUpstream,
};
use serde::Serialize;
use serde_json::Value;

use crate::admin_error::AdminError;
use crate::admin_findings::sent_findings;

/// A record with its name.
pub type NamedRecord = (String, Value);

/// A record to be put.
#[derive(Debug)]
pub struct RecordPut {
    /// The name, from the path.
    pub name: String,
    /// The record as text.
    pub text: String,
    /// The pool of an upstream, from the query.
    pub pool: Option<String>,
}

/// A collection of records.
#[derive(Debug)]
pub struct Collection {
    /// What a record is called in messages.
    pub noun: &'static str,
    /// The path of the list.
    pub list_path: &'static str,
    /// The path of a record.
    pub item_path: &'static str,
    /// Lists the records in any order.
    pub list: fn(&RawFleet) -> Vec<NamedRecord>,
    /// Creates or replaces a record.
    pub put: fn(&mut RawFleet, &RecordPut) -> Result<(), AdminError>,
    /// Removes a record and tells whether it was there.
    pub remove: fn(&mut RawFleet, &str) -> bool,
}

/// All collections.
pub static COLLECTIONS: [Collection; 7] = [
    Collection {
        noun: "department",
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
        noun: "client account",
        list_path: "/v1/client-accounts",
        item_path: "/v1/client-accounts/{name}",
        list: |fleet| list(&fleet.client_accounts, account_name),
        put: put_account,
        remove: |fleet, name| remove(&mut fleet.client_accounts, name, account_name),
    },
    Collection {
        noun: "route",
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
        noun: "shift",
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
        noun: "pool",
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
        noun: "upstream",
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
        noun: "drain",
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

/// The name of a drain contains its kind, because an upstream and a region may have one name.
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
    let before = records.len();
    records.retain(|record| name_of(record) != name);
    records.len() < before
}

fn replace<T>(records: &mut Vec<T>, record: T, name_of: fn(&T) -> String) {
    let name = name_of(&record);
    match records.iter_mut().find(|known| name_of(known) == name) {
        Some(known) => *known = record,
        None => records.push(record),
    }
}

fn parse<T>(
    put: &RecordPut,
    read: fn(&str, &str) -> Result<T, FindingList>,
    name_of: fn(&T) -> String,
) -> Result<T, AdminError> {
    let record = read("body", &put.text).map_err(|findings| sent_findings(&findings))?;
    let name = name_of(&record);
    if name != put.name {
        let text = format!("the path names {} and the body names {name}", put.name);
        return Err(AdminError::Malformed(text));
    }
    Ok(record)
}

/// A record without access keys keeps those that are granted, so that a change of a rate withdraws none.
fn put_account(fleet: &mut RawFleet, put: &RecordPut) -> Result<(), AdminError> {
    let mut record = parse(put, RawAccount::read, account_name)?;
    let mut accounts = fleet.client_accounts.iter();
    if let Some(known) = accounts.find(|known| known.name.value == put.name)
        && record.access_keys.is_empty()
    {
        record.access_keys.clone_from(&known.access_keys);
    }
    replace(&mut fleet.client_accounts, record, account_name);
    Ok(())
}

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

/// An upstream stays in its pool unless the query names another.
fn put_upstream(fleet: &mut RawFleet, put: &RecordPut) -> Result<(), AdminError> {
    let record = parse(put, RawUpstream::read, upstream_name)?;
    let has_it = |pool: &&RawPool| {
        let mut upstreams = pool.upstreams.iter();
        upstreams.any(|upstream| upstream.name.value == put.name)
    };
    let known = fleet.pools.iter().find(has_it);
    let known = known.map(|pool| pool.name.value.clone());
    let Some(wanted) = put.pool.clone().or_else(|| known.clone()) else {
        let text = format!("upstream {} is new; name its pool with ?pool=", put.name);
        return Err(AdminError::Malformed(text));
    };
    if let Some(known) = known.filter(|known| *known != wanted) {
        let mut pools = fleet.pools.iter_mut();
        if let Some(pool) = pools.find(|pool| pool.name.value == known) {
            remove(&mut pool.upstreams, &put.name, upstream_name);
        }
    }
    let mut pools = fleet.pools.iter_mut();
    let pool = pools.find(|pool| pool.name.value == wanted);
    let pool = pool.ok_or_else(|| AdminError::NotFound(format!("pool {wanted}")))?;
    replace(&mut pool.upstreams, record, upstream_name);
    Ok(())
}

/// A drain consists of its name alone, so its body may be empty.
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

/// Makes a value that comes from no document.
pub fn unplaced(text: &str) -> Located<String> {
    Located::unplaced(text.to_string())
}

fn to_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}
