//! Remembers which upstreams handled an object lately.
//!
//! Load pattern: demand beyond what upstreams serve without affinity. An upstream that handled an object lately needs
//! far less time for it, so each object is kept to as few upstreams as carry its load. Instances tell one another
//! where they sent an object, so that all of them use the same places.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use papaya::HashMap;

use crate::cache_estimator::RecentObjects;
use crate::hashing::{combine_hashes, stable_hash};

/// Places that are remembered of one object.
const PLACES: usize = 8;
/// An object that was not used for longer is taken as forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// The upstreams that handled one object: the upper half of a word is the upstream's hash, the lower half the time in
/// milliseconds.
#[derive(Debug, Default)]
struct ObjectPlaces([AtomicU64; PLACES]);

/// Copies of the places of one object, for one decision.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentUpstreams([u64; PLACES]);

impl RecentUpstreams {
    /// Returns when an upstream handled the object, in milliseconds as [`RecentObjects`](crate::RecentObjects) has them, if it
    /// did lately.
    #[must_use]
    pub fn last_used_ms(&self, upstream: u64) -> Option<u32> {
        let short = short_hash(upstream);
        let held = self.0.iter().find(|word| hash_of(**word) == short)?;
        Some(time_of(*held))
    }
}

/// An object and an upstream that handled it lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AffinityEntry {
    /// The hash of the object.
    pub object: u64,
    /// The short hash of the upstream.
    pub upstream: u32,
}

/// A part of the table: the objects whose hash leaves this remainder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AffinityPartition {
    /// The remainder.
    pub index: u64,
    /// The number of parts.
    pub count: u64,
}

impl AffinityPartition {
    /// Tells whether the instance `own` writes the part for all live `instances`, by rendezvous hashing.
    #[must_use]
    pub fn is_owned_by(&self, own: u64, instances: &[u64]) -> bool {
        let weight =
            |instance: u64| combine_hashes(stable_hash(&self.index.to_le_bytes()), instance);
        instances
            .iter()
            .all(|instance| *instance == own || weight(*instance) < weight(own))
    }
}

/// Where objects were handled.
#[derive(Debug, Default)]
pub struct AffinityTable {
    objects: HashMap<u64, ObjectPlaces>,
}

impl AffinityTable {
    /// Notes that the upstream with this short hash handles an object.
    pub fn record(&self, object: u64, short: u32, now: MonotonicTime) {
        let objects = self.objects.pin();
        let places = objects.get_or_insert_with(object, ObjectPlaces::default);
        let word = u64::from(short) << 32 | u64::from(short_time(now));
        let held = places.0.iter().find(|place| {
            let known = place.load(Ordering::Relaxed);
            hash_of(known) == short
        });
        let oldest = || {
            let age = |place: &&AtomicU64| time_of(place.load(Ordering::Relaxed));
            places.0.iter().min_by_key(age)
        };
        if let Some(place) = held.or_else(oldest) {
            place.store(word, Ordering::Relaxed);
        }
    }

    /// Returns where an object was handled lately.
    #[must_use]
    pub fn upstreams(&self, object: u64, now: MonotonicTime) -> RecentUpstreams {
        let objects = self.objects.pin();
        let mut found = RecentUpstreams::default();
        let Some(places) = objects.get(&object) else {
            return found;
        };
        for (place, slot) in places.0.iter().zip(&mut found.0) {
            let word = place.load(Ordering::Relaxed);
            if is_recent(word, now) {
                *slot = word;
            }
        }
        found
    }

    /// Returns the objects of each upstream, by its short hash.
    #[must_use]
    pub fn recent_objects(
        &self,
        now: MonotonicTime,
    ) -> std::collections::HashMap<u32, RecentObjects> {
        let mut used: std::collections::HashMap<u32, Vec<u32>> = std::collections::HashMap::new();
        for places in self.objects.pin().values() {
            let words = places.0.iter().map(|place| place.load(Ordering::Relaxed));
            for word in words.filter(|word| is_recent(*word, now)) {
                used.entry(hash_of(word)).or_default().push(time_of(word));
            }
        }
        used.into_iter()
            .map(|(upstream, used_at)| (upstream, RecentObjects::new(used_at)))
            .collect()
    }

    /// Returns the places of a part of the table, in order.
    #[must_use]
    pub fn entries_in(&self, part: AffinityPartition, now: MonotonicTime) -> Vec<AffinityEntry> {
        let objects = self.objects.pin();
        let mut found = Vec::new();
        for (object, places) in &objects {
            if object % part.count != part.index {
                continue;
            }
            let words = places.0.iter().map(|place| place.load(Ordering::Relaxed));
            let recent = words.filter(|word| is_recent(*word, now));
            found.extend(recent.map(|word| AffinityEntry {
                object: *object,
                upstream: hash_of(word),
            }));
        }
        found.sort_unstable();
        found
    }

    /// Drops objects that were not used lately.
    pub fn expire(&self, now: MonotonicTime) {
        let is_used = |place: &AtomicU64| is_recent(place.load(Ordering::Relaxed), now);
        self.objects
            .pin()
            .retain(|_, places| places.0.iter().any(is_used));
    }
}

/// Returns the part of an upstream's hash that the table and the messages between instances carry. Never zero, which
/// stands for no upstream.
#[must_use]
pub fn short_hash(upstream: u64) -> u32 {
    hash_of(upstream).max(1)
}

fn hash_of(word: u64) -> u32 {
    low_half(word >> 32)
}

fn time_of(word: u64) -> u32 {
    low_half(word)
}

fn low_half(word: u64) -> u32 {
    u32::try_from(word & u64::from(u32::MAX)).unwrap_or_default()
}

/// Milliseconds since the start of the process; they wrap after 49 days, which only makes objects look forgotten.
pub(crate) fn short_time(now: MonotonicTime) -> u32 {
    low_half(now.as_nanos() / 1_000_000)
}

fn is_recent(word: u64, now: MonotonicTime) -> bool {
    let age = short_time(now).wrapping_sub(time_of(word));
    word != 0 && u128::from(age) < FORGET_AFTER.as_millis()
}
