//! Writes the affinity table and the requests that crash upstreams to the store, and reads them at the start of the
//! process.
//!
//! Instances have no disks, and after a restart of all of them no peer could send the table. Without it every object
//! would be sent to an upstream that is not warm for it, which takes several times as long.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{
    AffinityRecord, ObjectKind, StoreClient, decode_affinity_record, encode_affinity_record,
};
use coltsfootkeel_steering::AffinityPartition;

use crate::control_event::ControlEvent;
use crate::entry_metrics::CounterName;
use crate::shared_state::SharedState;

/// The number of partitions of the table, each an object of the store with one writer, so that the objects stay small.
const PARTITION_COUNT: u64 = 4;
/// The partition that also keeps the refused requests.
const REFUSED_PARTITION: u64 = 0;
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
    record: AffinityRecord,
    /// The era of the store before the write. In a later one, the write may be lost.
    era: u64,
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
                let objects = list.objects.iter();
                let records: Vec<AffinityRecord> = objects
                    .map(|object| decode_affinity_record(&object.spec))
                    .collect();
                if records.iter().any(|record| record.settled_era == Some(era)) {
                    shared.send_event(ControlEvent::EraSettled { era });
                }
                let mut places = 0;
                let mut requests = Vec::new();
                for record in records {
                    places += record.entries.len();
                    for entry in record.entries {
                        shared
                            .affinity_table
                            .record(entry.object, entry.upstream, now);
                    }
                    requests.extend(record.refused);
                }
                log::info!(places, refused = requests.len(); "warm: The affinity table was read.");
                shared.send_event(ControlEvent::RefusedRead { requests });
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
    let now = shared.clock.now();
    let entries = shared.affinity_table.entries_in(partition, now);
    let refused = if index == REFUSED_PARTITION {
        shared.crash_table.load().stored_requests(now)
    } else {
        Vec::new()
    };
    let era = shared.reader_role.era();
    let is_settled = era > 0 && !shared.freshness.is_unsettled();
    let partition = WrittenPartition {
        record: AffinityRecord {
            entries,
            settled_era: is_settled.then_some(era),
            refused,
        },
        era,
    };
    let record = &partition.record;
    let is_empty = record.entries.is_empty() && record.refused.is_empty();
    let last_written = written.get(&index);
    if last_written == Some(&partition) || (is_empty && last_written.is_none()) {
        return;
    }
    shared.metrics.count(CounterName::StoreCalls);
    let spec = encode_affinity_record(&partition.record);
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
