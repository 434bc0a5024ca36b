//! How many objects an upstream remembers, learned from its answers, and which ones it still does.
//!
//! Load pattern: the upstreams of a region remember fewer objects than its callers ask for. An upstream forgets the object
//! that was used least recently, so a place is warm only while few enough other objects were used there since. Objects beyond
//! that are better placed where nothing is forgotten for them.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::affinity_table::short_time;

/// Objects used since that are counted together.
const GROUP_OBJECTS: usize = 4;
const GROUPS: usize = 32;
/// Every upstream is taken to remember so many objects.
const LEAST_KEPT: usize = 8;
/// What a slow answer says for an object being forgotten: the logarithm of its likelihood against one in twenty answers that
/// are slow for another reason.
const MISS_EVIDENCE: f64 = 3.0;
/// What a fast answer says against it. Less than one in forty answers is fast although the object is new.
const HIT_EVIDENCE: f64 = 3.8;
/// Five slow answers more than chance explains.
const LEAST_EVIDENCE: f64 = 15.0;
/// Beyond so many answers the old ones fade.
const REMEMBERED_ANSWERS: u32 = 400;
/// An object that was not used for longer takes no room that another one could not have.
const IN_USE: Duration = Duration::from_secs(8);

/// The objects that were used at one upstream.
#[derive(Debug, Default)]
pub struct RecentObjects {
    /// When each was used last, in milliseconds, the latest first.
    used_at: Vec<u32>,
}

impl RecentObjects {
    /// Takes the times of all objects of an upstream.
    #[must_use]
    pub fn new(mut used_at: Vec<u32>) -> Self {
        used_at.sort_unstable_by(|first, second| second.cmp(first));
        Self { used_at }
    }

    /// Returns how many objects were used after an object that was used at `used_at`.
    #[must_use]
    pub fn count_used_since(&self, used_at: u32) -> usize {
        self.used_at.partition_point(|other| *other > used_at)
    }

    /// Returns how many objects are in use.
    #[must_use]
    pub fn in_use(&self, now: MonotonicTime) -> usize {
        let since = MonotonicTime::default() + now.since(MonotonicTime::default() + IN_USE);
        self.count_used_since(short_time(since))
    }
}

/// The number of objects that each upstream of a pool remembers.
#[derive(Debug)]
pub struct CacheEstimator {
    /// Answers by the number of objects used since, in groups.
    groups: [AnswerGroup; GROUPS],
    kept: AtomicUsize,
}

#[derive(Debug, Default)]
struct AnswerGroup {
    hits: AtomicU32,
    misses: AtomicU32,
}

impl Default for CacheEstimator {
    fn default() -> Self {
        Self {
            groups: std::array::from_fn(|_| AnswerGroup::default()),
            kept: AtomicUsize::new(usize::MAX),
        }
    }
}

impl CacheEstimator {
    /// Learns whether an upstream remembered an object after `used_since` others.
    pub fn record(&self, used_since: usize, is_hit: bool) {
        if let Some(group) = self.groups.get(used_since / GROUP_OBJECTS) {
            let count = if is_hit { &group.hits } else { &group.misses };
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns how many objects an upstream remembers, as far as answers have told.
    #[must_use]
    pub fn estimated_capacity(&self) -> usize {
        self.kept.load(Ordering::Relaxed)
    }

    /// Decides from the answers so far how many objects are remembered: the number for which those beyond it speak most. One
    /// thread does it now and then.
    pub fn update(&self) {
        let mut answers = 0;
        let mut evidence = 0.0;
        let mut best = (LEAST_EVIDENCE, usize::MAX);
        let first = LEAST_KEPT / GROUP_OBJECTS;
        for (index, group) in self.groups.iter().enumerate().skip(first).rev() {
            let hits = group.hits.load(Ordering::Relaxed);
            let misses = group.misses.load(Ordering::Relaxed);
            answers += hits + misses;
            evidence += f64::from(misses) * MISS_EVIDENCE - f64::from(hits) * HIT_EVIDENCE;
            if evidence > best.0 {
                best = (evidence, index * GROUP_OBJECTS);
            }
        }
        self.kept.store(best.1, Ordering::Relaxed);
        if answers > REMEMBERED_ANSWERS {
            for group in &self.groups {
                for count in [&group.hits, &group.misses] {
                    // An answer that is counted at the same time may be lost.
                    count.store(count.load(Ordering::Relaxed) / 2, Ordering::Relaxed);
                }
            }
        }
    }
}
