//! Which instances watch the lists of the store.

use coltsfootkeel_steering::{is_store_reader, stable_hash};

struct ReaderCase {
    name: &'static str,
    instances: u32,
    /// The instances that reach the store, by index.
    reaching: fn(u32) -> bool,
    /// The instances that an instance hears.
    hears: fn(u32, u32) -> bool,
    least: usize,
    most: usize,
}

/// Guards against lists that nobody watches when instances fail or are cut off, and against calls that grow with the fleet.
#[test]
fn a_few_instances_watch_and_others_step_in() {
    let cases = [
        ReaderCase {
            name: "a fleet of 36",
            instances: 36,
            reaching: |_| true,
            hears: |_, _| true,
            least: 4,
            most: 4,
        },
        ReaderCase {
            name: "a single instance",
            instances: 1,
            reaching: |_| true,
            hears: |_, _| true,
            least: 1,
            most: 1,
        },
        ReaderCase {
            name: "one that hears nobody watches beside the others",
            instances: 12,
            reaching: |_| true,
            hears: |own, other| own != 0 && other != 0,
            least: 5,
            most: 5,
        },
        ReaderCase {
            name: "two halves that are cut from one another",
            instances: 20,
            reaching: |_| true,
            hears: |own, other| own / 10 == other / 10,
            least: 8,
            most: 8,
        },
    ];
    for case in cases {
        let hash = |index: u32| stable_hash(&index.to_le_bytes());
        let reads = |own: &u32| {
            let others = (0..case.instances)
                .filter(|other| (case.hears)(*own, *other) && (case.reaching)(*other));
            is_store_reader(hash(*own), others.map(hash))
        };
        let readers = (0..case.instances).filter(reads).count();
        assert!(
            (case.least..=case.most).contains(&readers),
            "{}: {readers}",
            case.name
        );
    }
}

/// Guards against lists that are watched only by instances that the store turns away.
#[test]
fn instances_that_the_store_turns_away_are_replaced() {
    let hashes: Vec<u64> = (0..12_u32)
        .map(|index| stable_hash(&index.to_le_bytes()))
        .collect();
    let reads = |own: &&u64| is_store_reader(**own, hashes.iter().copied());
    let refused: Vec<u64> = hashes.iter().filter(reads).copied().collect();
    let reaching = || {
        hashes
            .iter()
            .filter(|hash| !refused.contains(hash))
            .copied()
    };
    let replacing = reaching().filter(|own| is_store_reader(*own, reaching()));
    assert_eq!(replacing.count(), refused.len());
}
