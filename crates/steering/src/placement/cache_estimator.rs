//! Estimates from response times how many objects the upstreams of a pool keep in their caches.
//!
//! Load pattern: callers in a region request more objects than its upstreams can cache. Upstreams evict the least
//! recently used object, so an upstream stays warm for an object only while few other objects are used there. The
//! remaining objects are better placed at upstreams where they evict nothing.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::placement::affinity_table::wrapping_ms;

/// Number of adjacent reuse distances that share a bucket. The reuse distance of an object is the number of other
/// objects that were used at the upstream since its last use.
const OBJECTS_PER_BUCKET: usize = 4;
const BUCKET_COUNT: usize = 32;
/// Smallest estimated capacity of an upstream, in objects.
const MIN_CAPACITY: usize = 8;
/// Evidence of a slow answer for an eviction: the logarithm of its likelihood ratio. One in twenty answers is slow for
/// another reason.
const MISS_LOG_LIKELIHOOD: f64 = 3.0;
/// Evidence of a fast answer against an eviction. Less than one in forty answers is fast although the object was
/// evicted.
const HIT_LOG_LIKELIHOOD: f64 = 3.8;
/// Evidence needed for an estimate: five slow answers more than expected by chance.
const MIN_EVIDENCE: f64 = 15.0;
/// Number of counted answers above which all counts are halved, so that old answers lose weight.
const MAX_COUNTED_ANSWERS: u32 = 400;
/// Time after which an unused object no longer counts as in use: its space is available to other objects.
const IN_USE_WINDOW: Duration = Duration::from_secs(8);

/// The recently used objects of one upstream.
#[derive(Debug, Default)]
pub struct RecentObjects {
    /// Time of the last use of each object in milliseconds since the start of the process, latest first.
    used_at_ms: Vec<u32>,
}

impl RecentObjects {
    /// Creates the list from the times of last use, in milliseconds since the start of the process and in any order.
    #[must_use]
    pub fn new(mut used_at_ms: Vec<u32>) -> Self {
        used_at_ms.sort_unstable_by(|first, second| second.cmp(first));
        Self { used_at_ms }
    }

    /// Returns how many objects were used later than `used_at_ms`.
    #[must_use]
    pub fn count_used_since(&self, used_at_ms: u32) -> usize {
        self.used_at_ms.partition_point(|other| *other > used_at_ms)
    }

    /// Returns how many objects were used within the last `IN_USE_WINDOW`.
    #[must_use]
    pub fn in_use(&self, now: MonotonicTime) -> usize {
        let window_start =
            MonotonicTime::default() + now.since(MonotonicTime::default() + IN_USE_WINDOW);
        self.count_used_since(wrapping_ms(window_start))
    }
}

/// Estimate of the number of objects that each upstream of a pool keeps in its cache.
#[derive(Debug)]
pub struct CacheEstimator {
    /// Answers by reuse distance, [`OBJECTS_PER_BUCKET`] distances in each bucket.
    buckets: [AnswerBucket; BUCKET_COUNT],
    capacity: AtomicUsize,
}

#[derive(Debug, Default)]
struct AnswerBucket {
    hits: AtomicU32,
    misses: AtomicU32,
}

impl Default for CacheEstimator {
    fn default() -> Self {
        Self {
            buckets: std::array::from_fn(|_| AnswerBucket::default()),
            capacity: AtomicUsize::new(usize::MAX),
        }
    }
}

impl CacheEstimator {
    /// Records whether an upstream still had an object in its cache after `reuse_distance` other objects were used
    /// there.
    pub fn record(&self, reuse_distance: usize, is_hit: bool) {
        if let Some(bucket) = self.buckets.get(reuse_distance / OBJECTS_PER_BUCKET) {
            let count = if is_hit { &bucket.hits } else { &bucket.misses };
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the estimated number of cached objects, or `usize::MAX` while the answers show no limit.
    #[must_use]
    pub fn estimated_capacity(&self) -> usize {
        self.capacity.load(Ordering::Relaxed)
    }

    /// Updates the estimate: the capacity for which the answers with at least this reuse distance are the strongest
    /// evidence of eviction. Called periodically by a single thread.
    pub fn update(&self) {
        let mut answers = 0;
        let mut evidence = 0.0;
        let mut best = (MIN_EVIDENCE, usize::MAX);
        let first = MIN_CAPACITY / OBJECTS_PER_BUCKET;
        for (index, bucket) in self.buckets.iter().enumerate().skip(first).rev() {
            let hits = bucket.hits.load(Ordering::Relaxed);
            let misses = bucket.misses.load(Ordering::Relaxed);
            answers += hits + misses;
            evidence +=
                f64::from(misses) * MISS_LOG_LIKELIHOOD - f64::from(hits) * HIT_LOG_LIKELIHOOD;
            if evidence > best.0 {
                best = (evidence, index * OBJECTS_PER_BUCKET);
            }
        }
        self.capacity.store(best.1, Ordering::Relaxed);
        if answers > MAX_COUNTED_ANSWERS {
            for bucket in &self.buckets {
                for count in [&bucket.hits, &bucket.misses] {
                    // An answer that is counted concurrently may be lost.
                    count.store(count.load(Ordering::Relaxed) / 2, Ordering::Relaxed);
                }
            }
        }
    }
}
