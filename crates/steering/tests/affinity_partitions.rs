//! The parts of the table of warm places that instances write for one another.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{AffinityEntry, AffinityPartition, AffinityTable, stable_hash};

struct PartCase {
    name: &'static str,
    instances: u64,
    parts: u64,
}

/// Guards against objects that no instance writes, and parts that several write over one another.
#[test]
fn every_object_lies_in_one_part_and_every_part_has_one_writer() {
    let cases = [
        PartCase {
            name: "a single instance",
            instances: 1,
            parts: 4,
        },
        PartCase {
            name: "seven instances",
            instances: 7,
            parts: 4,
        },
        PartCase {
            name: "fewer instances than parts",
            instances: 2,
            parts: 16,
        },
    ];
    let now = MonotonicTime::from_millis(1_000);
    let table = AffinityTable::default();
    let mut noted: Vec<AffinityEntry> = (0..500_u32)
        .map(|object| AffinityEntry {
            object: stable_hash(&object.to_le_bytes()),
            upstream: 1 + object % 7,
        })
        .collect();
    for place in &noted {
        table.record(place.object, place.upstream, now);
    }
    noted.sort_unstable();
    for case in cases {
        let instances: Vec<u64> = (0..case.instances)
            .map(|index| stable_hash(&index.to_le_bytes()))
            .collect();
        let parts = (0..case.parts).map(|index| AffinityPartition {
            index,
            count: case.parts,
        });
        let mut found = Vec::new();
        for part in parts {
            found.extend(table.entries_in(part, now));
            let owners = instances
                .iter()
                .filter(|own| part.is_owned_by(**own, &instances));
            assert_eq!(owners.count(), 1, "{}: part {}", case.name, part.index);
        }
        found.sort_unstable();
        assert_eq!(found, noted, "{}", case.name);
    }
}
