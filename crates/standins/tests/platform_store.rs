//! Tests of the platform stand-in's state without HTTP: object versions, reverts, the lagging list of instances, and
//! lost answers.

use bytes::Bytes;
use coltsfootkeel_standins::{
    InstanceDetails, InstanceList, ObjectStore, PlatformFaults, StoreCondition, StoreRefusal,
    VALUE_LIMIT_BYTES,
};

fn put(store: &mut ObjectStore, name: &str, condition: StoreCondition) -> u64 {
    let body = Bytes::from(name.to_string());
    store.put(name, body, condition).unwrap()
}

struct SizeCase {
    name: &'static str,
    length: usize,
    expected: Result<(), StoreRefusal>,
}

/// Guards against a stand-in that accepts values that the platform refuses as too large.
#[test]
fn values_above_the_size_limit_are_refused() {
    let cases = [
        SizeCase {
            name: "empty",
            length: 0,
            expected: Ok(()),
        },
        SizeCase {
            name: "at the limit",
            length: VALUE_LIMIT_BYTES,
            expected: Ok(()),
        },
        SizeCase {
            name: "above the limit",
            length: VALUE_LIMIT_BYTES + 1,
            expected: Err(StoreRefusal::TooLarge),
        },
    ];
    for case in cases {
        let mut store = ObjectStore::default();
        let body = Bytes::from(vec![0; case.length]);
        let result = store.put("a", body, StoreCondition::Absent);
        assert_eq!(result.map(|_| ()), case.expected, "{}", case.name);
        assert_eq!(
            store.get("a").is_some(),
            case.expected.is_ok(),
            "{}",
            case.name
        );
    }
}

/// Guards against a revert that keeps objects, deletions or the revision of the newer state, so that versions do not
/// repeat as on a platform that restarts with older data.
#[test]
fn revert_restores_the_saved_state() {
    let mut store = ObjectStore::default();
    let kept = put(&mut store, "kept", StoreCondition::Absent);
    let changed = put(&mut store, "changed", StoreCondition::Absent);
    store.save();
    let saved = store.revision();
    put(&mut store, "changed", StoreCondition::Version(changed));
    put(&mut store, "added", StoreCondition::Absent);
    store.delete("kept", kept).unwrap();
    assert_eq!(store.changes_after("", saved).len(), 3);

    store.revert();
    assert_eq!(store.revision(), saved);
    assert_eq!(store.changes_after("", saved), []);
    let listed: Vec<_> = store
        .list("")
        .into_iter()
        .map(|listing| (listing.name, listing.version))
        .collect();
    let expected = [("changed", changed), ("kept", kept)];
    assert_eq!(
        listed,
        expected.map(|(name, version)| (name.to_string(), version))
    );
}

struct LagCase {
    name: &'static str,
    read_at_ms: u64,
    listed: &'static [&'static str],
}

/// Guards against a list that shows changes before the lag of the platform's list has passed.
#[test]
fn instance_list_shows_changes_after_the_lag() {
    let cases = [
        LagCase {
            name: "before the first change is visible",
            read_at_ms: 1_499,
            listed: &[],
        },
        LagCase {
            name: "first instance",
            read_at_ms: 1_500,
            listed: &["i-1"],
        },
        LagCase {
            name: "second instance",
            read_at_ms: 1_600,
            listed: &["i-1", "i-2"],
        },
        LagCase {
            name: "before the removal is visible",
            read_at_ms: 2_499,
            listed: &["i-1", "i-2"],
        },
        LagCase {
            name: "removal",
            read_at_ms: 2_500,
            listed: &["i-2"],
        },
    ];
    let details = InstanceDetails {
        address: "127.0.0.1:9201".to_string(),
        failure_domain: "penang-a".to_string(),
        leaving: false,
    };
    let mut list = InstanceList::new(500);
    list.change(1_000, "i-1", Some(details.clone()));
    list.change(1_100, "i-2", Some(details));
    list.change(2_000, "i-1", None);
    for case in cases {
        let listed = list.read(case.read_at_ms);
        let names: Vec<&str> = listed.iter().map(|listing| listing.name.as_str()).collect();
        assert_eq!(names, case.listed, "{}", case.name);
    }
}

/// Guards against lost answers to writes other than those that a test selected by number and name prefix.
#[test]
fn lost_answers_are_limited_by_number_and_prefix() {
    let mut faults = PlatformFaults {
        lose_answers: 1,
        lose_answer_prefix: "config/".to_string(),
        ..PlatformFaults::default()
    };
    assert!(!faults.take_lost_answer("seats/a"));
    assert!(faults.take_lost_answer("config/manifest"));
    assert!(!faults.take_lost_answer("config/manifest"));
}
