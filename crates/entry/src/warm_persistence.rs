//! Persists in the store which upstreams are warm for which objects, and reads that at the start of the process.
//!
//! Instances have no disks, and after a restart of all of them no peer could send the table. Without it every object
//! would be sent to an upstream that is not warm for it, which takes several times as long.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_adapter::{
    ObjectKind, StoreClient, decode_affinity_entries, encode_affinity_entries,
};
use coltsfootkeel_steering::{AffinityEntry, AffinityPartition};

use crate::entry_metrics::CounterName;
use crate::shared_state::SharedState;

/// The number of parts of the table, each an object of the store with one writer, so that the objects stay small.
const PART_COUNT: u64 = 4;
/// The average time between two writes of a part. Changes since the last write are learned again after a restart of all
/// instances.
const WRITE_PERIOD: Duration = Duration::from_secs(4);
/// The pause between two attempts to read the table.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The number of attempts to read the table. After that time most objects have been sent to an upstream anyway.
const MAX_READ_ATTEMPTS: u32 = 8;

/// Reads the table once, then writes the parts that this instance owns until the process stops.
pub async fn persist_warm_places(shared: Arc<SharedState>, client: Arc<StoreClient>) {
    read_places(&shared, &client).await;
    let mut written: HashMap<u64, Vec<AffinityEntry>> = HashMap::new();
    while !shared.is_leaving() {
        tokio::time::sleep(WRITE_PERIOD.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        for index in 0..PART_COUNT {
            write_part(&shared, &client, index, &mut written).await;
        }
    }
}

async fn read_places(shared: &SharedState, client: &StoreClient) {
    for _ in 0..MAX_READ_ATTEMPTS {
        shared.metrics.count(CounterName::StoreCalls);
        match client.list(ObjectKind::WarmPlaces).await {
            Ok(list) => {
                let now = shared.clock.now();
                let places: Vec<AffinityEntry> = list
                    .objects
                    .iter()
                    .flat_map(|object| decode_affinity_entries(&object.spec))
                    .collect();
                for place in &places {
                    shared.warm_table.record(place.object, place.upstream, now);
                }
                log::info!(places = places.len(); "warm: Read where objects were handled.");
                return;
            }
            Err(error) => log::warn!("warm: The places of objects cannot be read: {error}."),
        }
        tokio::time::sleep(READ_RETRY_PAUSE).await;
    }
}

/// Writes a part if this instance owns it and it has changed since the last write.
async fn write_part(
    shared: &SharedState,
    client: &StoreClient,
    index: u64,
    written: &mut HashMap<u64, Vec<AffinityEntry>>,
) {
    let part = AffinityPartition {
        index,
        count: PART_COUNT,
    };
    if !part.is_owned_by(shared.own_hash, &shared.fleet.load().hashes) {
        written.remove(&index);
        return;
    }
    let places = shared.warm_table.entries_in(part, shared.clock.now());
    if places.is_empty() || written.get(&index) == Some(&places) {
        return;
    }
    shared.metrics.count(CounterName::StoreCalls);
    let spec = encode_affinity_entries(&places);
    match client
        .put(ObjectKind::WarmPlaces, &index.to_string(), &spec)
        .await
    {
        Ok(()) => {
            written.insert(index, places);
        }
        Err(error) => log::warn!("warm: Part {index} cannot be written: {error}."),
    }
}
