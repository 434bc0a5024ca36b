//! Writes the affinity table to the store, and reads it at the start of the process.
//!
//! Instances have no disks, and after a restart of all of them no peer could send the table. Without it every object
//! would be sent to an upstream that is not warm for it, which takes several times as long.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{
    ObjectKind, StoreClient, StoreObject, decode_affinity_entries, decode_settled_era,
    encode_affinity_entries,
};
use coltsfootkeel_steering::{AffinityEntry, AffinityPartition};

use crate::control_event::ControlEvent;
use crate::entry_metrics::CounterName;
use crate::shared_state::SharedState;

/// The number of partitions of the table, each an object of the store with one writer, so that the objects stay small.
const PARTITION_COUNT: u64 = 4;
/// The average time between two writes of a partition. Changes since the last write are lost in a restart of all
/// instances.
const WRITE_PERIOD: Duration = Duration::from_secs(4);
/// The pause between two attempts to read the table.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The number of attempts to read the table. When all of them have failed, most objects have been placed again by
/// requests.
const MAX_READ_ATTEMPTS: u32 = 8;

/// What the store holds of a partition after a write of this instance.
#[derive(Debug, PartialEq)]
struct WrittenPartition {
    entries: Vec<AffinityEntry>,
    /// The era of the store before the write. In a later one, the write may be lost.
    era: u64,
    settled_era: Option<u64>,
}

/// Reads the table once, then writes the partitions that this instance owns until the process stops.
pub async fn persist_affinity(shared: Arc<SharedState>, client: Arc<StoreClient>) {
    read_entries(&shared, &client).await;
    let mut written: HashMap<u64, WrittenPartition> = HashMap::new();
    while !shared.is_stopping() {
        tokio::time::sleep(WRITE_PERIOD.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        for index in 0..PARTITION_COUNT {
            write_partition(&shared, &client, index, &mut written).await;
        }
    }
}

async fn read_entries(shared: &SharedState, client: &StoreClient) {
    for _ in 0..MAX_READ_ATTEMPTS {
        shared.metrics.count(CounterName::StoreCalls);
        match client.list(ObjectKind::WarmPlaces).await {
            Ok(list) => {
                let now = shared.clock.now();
                let era = list.position.era;
                let settled = |object: &StoreObject| decode_settled_era(&object.spec) == Some(era);
                if list.objects.iter().any(settled) {
                    shared.send_event(ControlEvent::EraSettled { era });
                }
                let entries: Vec<AffinityEntry> = list
                    .objects
                    .iter()
                    .flat_map(|object| decode_affinity_entries(&object.spec))
                    .collect();
                for entry in &entries {
                    shared
                        .affinity_table
                        .record(entry.object, entry.upstream, now);
                }
                log::info!(places = entries.len(); "warm: The affinity table was read.");
                return;
            }
            Err(error) => log::warn!("warm: The affinity table cannot be read: {error}."),
        }
        tokio::time::sleep(READ_RETRY_PAUSE).await;
    }
}

/// Writes a partition if this instance owns it, and it has changed since the last write or the store may have lost it.
async fn write_partition(
    shared: &SharedState,
    client: &StoreClient,
    index: u64,
    written: &mut HashMap<u64, WrittenPartition>,
) {
    let partition = AffinityPartition {
        index,
        count: PARTITION_COUNT,
    };
    if !partition.is_owned_by(shared.own_hash, &shared.fleet.load().hashes) {
        written.remove(&index);
        return;
    }
    let entries = shared
        .affinity_table
        .entries_in(partition, shared.clock.now());
    let era = shared.reader_role.era();
    let is_settled = era > 0 && !shared.freshness.is_unsettled();
    let partition = WrittenPartition {
        entries,
        era,
        settled_era: is_settled.then_some(era),
    };
    if partition.entries.is_empty() || written.get(&index) == Some(&partition) {
        return;
    }
    shared.metrics.count(CounterName::StoreCalls);
    let spec = encode_affinity_entries(&partition.entries, partition.settled_era);
    match client
        .put(ObjectKind::WarmPlaces, &index.to_string(), &spec)
        .await
    {
        Ok(()) => {
            written.insert(index, partition);
        }
        Err(error) => log::warn!("warm: Partition {index} cannot be written: {error}."),
    }
}
