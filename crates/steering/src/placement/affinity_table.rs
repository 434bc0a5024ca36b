//! Tracks which upstreams handled an object recently, within the last `AFFINITY_RETENTION`.
//!
//! Load pattern: demand exceeds what the upstreams can serve without affinity. An upstream that handled an object
//! recently needs far less time for it, so each object is sent to as few upstreams as its load needs. Instances report
//! to each other where they sent an object, so that all of them use the same upstreams.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use papaya::HashMap;

use crate::hashing::{combine_hashes, stable_hash};
use crate::placement::cache_estimator::RecentObjects;

/// Maximum number of upstreams tracked per object.
const UPSTREAMS_PER_OBJECT: usize = 8;
/// Time after which an unused entry is ignored and removed.
const AFFINITY_RETENTION: Duration = Duration::from_mins(1);

/// The upstreams that handled one object. The upper half of a word is the short hash of the upstream, the lower half
/// the time of use in milliseconds. A zero word is unused.
#[derive(Debug, Default)]
struct UpstreamSlots([AtomicU64; UPSTREAMS_PER_OBJECT]);

/// Snapshot of the upstreams that recently handled one object, for a single decision.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentUpstreams([u64; UPSTREAMS_PER_OBJECT]);

impl RecentUpstreams {
    /// Returns when the upstream with this hash last handled the object, or `None` if it has no recent entry. The time
    /// is in milliseconds since the start of the process, as in [`RecentObjects`](crate::RecentObjects).
    #[must_use]
    pub fn last_used_ms(&self, upstream: u64) -> Option<u32> {
        let upstream_hash = short_hash(upstream);
        let existing = self
            .0
            .iter()
            .find(|word| hash_of(**word) == upstream_hash)?;
        Some(time_ms_of(*existing))
    }
}

/// An object and an upstream that handled it recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AffinityEntry {
    /// Hash of the object.
    pub object: u64,
    /// Short hash of the upstream, see [`short_hash`].
    pub upstream: u32,
}

/// A partition of the table: the objects whose hash modulo `count` is `index`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AffinityPartition {
    /// Remainder of the hashes, less than `count`.
    pub index: u64,
    /// Number of partitions.
    pub count: u64,
}

impl AffinityPartition {
    /// Returns whether the instance `own` writes the partition. Rendezvous hashing selects one of the live `instances`.
    #[must_use]
    pub fn is_owned_by(&self, own: u64, instances: &[u64]) -> bool {
        let weight =
            |instance: u64| combine_hashes(stable_hash(&self.index.to_le_bytes()), instance);
        instances
            .iter()
            .all(|instance| *instance == own || weight(*instance) < weight(own))
    }
}

/// The upstreams that recently handled each object.
#[derive(Debug, Default)]
pub struct AffinityTable {
    objects: HashMap<u64, UpstreamSlots>,
}

impl AffinityTable {
    /// Records that the upstream with this short hash handles an object. A new upstream replaces the least recently
    /// used one if all slots are in use.
    pub fn record(&self, object: u64, upstream_hash: u32, now: MonotonicTime) {
        let objects = self.objects.pin();
        let slots = objects.get_or_insert_with(object, UpstreamSlots::default);
        let word = u64::from(upstream_hash) << 32 | u64::from(wrapping_ms(now));
        let existing = slots.0.iter().find(|slot| {
            let word = slot.load(Ordering::Relaxed);
            hash_of(word) == upstream_hash
        });
        let oldest = || {
            let age = |slot: &&AtomicU64| time_ms_of(slot.load(Ordering::Relaxed));
            slots.0.iter().min_by_key(age)
        };
        if let Some(slot) = existing.or_else(oldest) {
            slot.store(word, Ordering::Relaxed);
        }
    }

    /// Returns the upstreams that handled an object within the retention time before `now`.
    #[must_use]
    pub fn upstreams(&self, object: u64, now: MonotonicTime) -> RecentUpstreams {
        let objects = self.objects.pin();
        let mut found = RecentUpstreams::default();
        let Some(slots) = objects.get(&object) else {
            return found;
        };
        for (slot, target) in slots.0.iter().zip(&mut found.0) {
            let word = slot.load(Ordering::Relaxed);
            if is_recent(word, now) {
                *target = word;
            }
        }
        found
    }

    /// Returns the recently used objects of each upstream, by short hash.
    #[must_use]
    pub fn recent_objects(
        &self,
        now: MonotonicTime,
    ) -> std::collections::HashMap<u32, RecentObjects> {
        let mut times_by_upstream: std::collections::HashMap<u32, Vec<u32>> =
            std::collections::HashMap::new();
        for slots in self.objects.pin().values() {
            let words = slots.0.iter().map(|slot| slot.load(Ordering::Relaxed));
            for word in words.filter(|word| is_recent(*word, now)) {
                times_by_upstream
                    .entry(hash_of(word))
                    .or_default()
                    .push(time_ms_of(word));
            }
        }
        times_by_upstream
            .into_iter()
            .map(|(upstream, used_at)| (upstream, RecentObjects::new(used_at)))
            .collect()
    }

    /// Returns the recent entries of a partition in sorted order.
    #[must_use]
    pub fn entries_in(
        &self,
        partition: AffinityPartition,
        now: MonotonicTime,
    ) -> Vec<AffinityEntry> {
        let objects = self.objects.pin();
        let mut found = Vec::new();
        for (object, slots) in &objects {
            if object % partition.count != partition.index {
                continue;
            }
            let words = slots.0.iter().map(|slot| slot.load(Ordering::Relaxed));
            let recent = words.filter(|word| is_recent(*word, now));
            found.extend(recent.map(|word| AffinityEntry {
                object: *object,
                upstream: hash_of(word),
            }));
        }
        found.sort_unstable();
        found
    }

    /// Removes objects without a recent entry.
    pub fn expire(&self, now: MonotonicTime) {
        let is_retained = |slot: &AtomicU64| is_recent(slot.load(Ordering::Relaxed), now);
        self.objects
            .pin()
            .retain(|_, slots| slots.0.iter().any(is_retained));
    }
}

/// Returns the bits of an upstream's hash that are stored in the table and sent between instances. The result is never
/// zero, which marks an unused slot.
#[must_use]
pub fn short_hash(upstream: u64) -> u32 {
    hash_of(upstream).max(1)
}

fn hash_of(word: u64) -> u32 {
    low_half(word >> 32)
}

fn time_ms_of(word: u64) -> u32 {
    low_half(word)
}

fn low_half(word: u64) -> u32 {
    u32::try_from(word & u64::from(u32::MAX)).unwrap_or_default()
}

/// Returns the time in milliseconds since the start of the process. The value wraps after 49 days, which only makes
/// entries look expired.
pub(crate) fn wrapping_ms(now: MonotonicTime) -> u32 {
    low_half(now.as_nanos() / 1_000_000)
}

fn is_recent(word: u64, now: MonotonicTime) -> bool {
    let age = wrapping_ms(now).wrapping_sub(time_ms_of(word));
    word != 0 && u128::from(age) < AFFINITY_RETENTION.as_millis()
}
