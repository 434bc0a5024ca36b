//! Partitions of the affinity table, each of which is written to the store by one instance.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{AffinityEntry, AffinityPartition, AffinityTable, stable_hash};

struct PartitionCase {
    name: &'static str,
    instances: u64,
    partitions: u64,
}

/// Guards against objects that no instance writes, and against partitions that several instances overwrite.
#[test]
fn every_object_is_in_one_partition_with_one_writer() {
    let cases = [
        PartitionCase {
            name: "a single instance",
            instances: 1,
            partitions: 4,
        },
        PartitionCase {
            name: "seven instances",
            instances: 7,
            partitions: 4,
        },
        PartitionCase {
            name: "fewer instances than partitions",
            instances: 2,
            partitions: 16,
        },
    ];
    let now = MonotonicTime::from_millis(1_000);
    let table = AffinityTable::default();
    let mut recorded: Vec<AffinityEntry> = (0..500_u32)
        .map(|object| AffinityEntry {
            object: stable_hash(&object.to_le_bytes()),
            upstream: 1 + object % 7,
        })
        .collect();
    for entry in &recorded {
        table.record(entry.object, entry.upstream, now);
    }
    recorded.sort_unstable();
    for case in cases {
        let instances: Vec<u64> = (0..case.instances)
            .map(|index| stable_hash(&index.to_le_bytes()))
            .collect();
        let partitions = (0..case.partitions).map(|index| AffinityPartition {
            index,
            count: case.partitions,
        });
        let mut found = Vec::new();
        for partition in partitions {
            found.extend(table.entries_in(partition, now));
            let owners = instances
                .iter()
                .filter(|own| partition.is_owned_by(**own, &instances));
            assert_eq!(
                owners.count(),
                1,
                "{}: partition {}",
                case.name,
                partition.index
            );
        }
        found.sort_unstable();
        assert_eq!(found, recorded, "{}", case.name);
    }
}
