//! Selection of the instances that watch the lists in the store.

use std::time::Duration;

use coltsfootkeel_steering::{ReaderCandidate, reader_rank, spread_wait, stable_hash};

fn candidate(instance: u64) -> ReaderCandidate {
    ReaderCandidate {
        instance,
        is_reading: false,
    }
}

struct ReaderCase {
    name: &'static str,
    instances: u32,
    /// Returns whether the instance with this index reaches the store.
    reaches_store: fn(u32) -> bool,
    /// Returns whether the first instance receives the heartbeats of the second.
    receives_from: fn(u32, u32) -> bool,
    min_readers: usize,
    max_readers: usize,
}

/// Guards against lists that no instance watches after failures or a network partition, and against store calls that
/// grow with the fleet.
#[test]
fn a_few_instances_watch_also_when_partitioned() {
    let cases = [
        ReaderCase {
            name: "a fleet of 36",
            instances: 36,
            reaches_store: |_| true,
            receives_from: |_, _| true,
            min_readers: 4,
            max_readers: 4,
        },
        ReaderCase {
            name: "a single instance",
            instances: 1,
            reaches_store: |_| true,
            receives_from: |_, _| true,
            min_readers: 1,
            max_readers: 1,
        },
        ReaderCase {
            name: "an instance partitioned from all others also watches",
            instances: 12,
            reaches_store: |_| true,
            receives_from: |own, other| own != 0 && other != 0,
            min_readers: 5,
            max_readers: 5,
        },
        ReaderCase {
            name: "two halves partitioned from each other",
            instances: 20,
            reaches_store: |_| true,
            receives_from: |own, other| own / 10 == other / 10,
            min_readers: 8,
            max_readers: 8,
        },
    ];
    for case in cases {
        let hash = |index: u32| stable_hash(&index.to_le_bytes());
        let reads = |own: &u32| {
            let others = (0..case.instances)
                .filter(|other| (case.receives_from)(*own, *other) && (case.reaches_store)(*other));
            reader_rank(hash(*own), others.map(hash).map(candidate), 0).is_some()
        };
        let readers = (0..case.instances).filter(reads).count();
        assert!(
            (case.min_readers..=case.max_readers).contains(&readers),
            "{}: {readers}",
            case.name
        );
    }
}

/// Guards against lists that are watched only by instances whose requests the store refuses.
#[test]
fn readers_refused_by_the_store_are_replaced() {
    let hashes: Vec<u64> = (0..12_u32)
        .map(|index| stable_hash(&index.to_le_bytes()))
        .collect();
    let reads = |own: &&u64| reader_rank(**own, hashes.iter().copied().map(candidate), 0).is_some();
    let refused: Vec<u64> = hashes.iter().filter(reads).copied().collect();
    let remaining = || {
        hashes
            .iter()
            .filter(|hash| !refused.contains(hash))
            .copied()
    };
    let replacing =
        remaining().filter(|own| reader_rank(*own, remaining().map(candidate), 0).is_some());
    assert_eq!(replacing.count(), refused.len());
}

/// Guards against an outage of the store that the instances of a large fleet find out one by one, while those that have
/// not called the store yet cannot tell it from a failure of the few readers.
#[test]
fn an_outage_reaches_all_instances_within_a_few_rounds() {
    struct OutageCase {
        instances: u64,
        max_rounds: u32,
    }
    let cases = [
        OutageCase {
            instances: 7,
            max_rounds: 2,
        },
        OutageCase {
            instances: 36,
            max_rounds: 3,
        },
        OutageCase {
            instances: 118,
            max_rounds: 4,
        },
        OutageCase {
            instances: 547,
            max_rounds: 5,
        },
    ];
    for case in cases {
        let mut working: Vec<u64> = (0..case.instances)
            .map(|index| stable_hash(&index.to_le_bytes()))
            .collect();
        let mut failing = 0;
        for _ in 0..case.max_rounds {
            let others = working.clone();
            working.retain(|own| {
                reader_rank(*own, others.iter().copied().map(candidate), failing).is_none()
            });
            failing += others.len() - working.len();
        }
        assert!(working.is_empty(), "{}: {}", case.instances, working.len());
    }
}

/// Guards against an outage for some instances that makes all others call the store.
#[test]
fn readers_that_get_answers_end_the_growth() {
    let hashes: Vec<u64> = (0..118_u32)
        .map(|index| stable_hash(&index.to_le_bytes()))
        .collect();
    let failing = 20;
    let working = &hashes[failing..];
    let readers = |is_reading: &dyn Fn(u64) -> bool| -> Vec<u64> {
        let candidates = || {
            working.iter().map(|instance| ReaderCandidate {
                instance: *instance,
                is_reading: is_reading(*instance),
            })
        };
        let is_reader = |own: &&u64| reader_rank(**own, candidates(), failing).is_some();
        working.iter().filter(is_reader).copied().collect()
    };
    let first = readers(&|_| false);
    assert!(first.len() > 4);
    assert_eq!(readers(&|instance| first.contains(&instance)).len(), 4);
}

/// Guards against readers that confirm the plan at the same time, so that an outage finds it a full watch old.
#[test]
fn readers_end_their_watches_one_after_the_other() {
    let hashes: Vec<u64> = (0..36_u32)
        .map(|index| stable_hash(&index.to_le_bytes()))
        .collect();
    let rank = |own: &u64| reader_rank(*own, hashes.iter().copied().map(candidate), 0);
    let mut ranks: Vec<usize> = hashes.iter().filter_map(rank).collect();
    ranks.sort_unstable();
    let wait = Duration::from_millis(1_200);
    let ends: Vec<u128> = ranks
        .iter()
        .map(|rank| spread_wait(*rank, wait).as_millis())
        .collect();
    assert_eq!(ends, [300, 600, 900, 1_200]);
    assert_eq!(spread_wait(5, wait), Duration::from_millis(600));
}
