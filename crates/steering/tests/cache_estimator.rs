//! What upstreams remember of objects.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{CacheEstimator, RecentObjects};

struct MemoryCase {
    name: &'static str,
    /// What an upstream remembers in fact.
    remembers: usize,
    /// The most objects that are used between two requests for one.
    most_used: usize,
    /// The part of answers that are slow for another reason.
    slow_part: f64,
    /// What may be learned.
    kept: std::ops::RangeInclusive<usize>,
}

/// Guards against objects that are sent to upstreams which forgot them, and against a pool that takes itself for crowded because
/// some answers are slow.
#[test]
fn the_number_of_remembered_objects_is_learned_from_answers() {
    let cases = [
        MemoryCase {
            name: "fewer than are used",
            remembers: 15,
            most_used: 30,
            slow_part: 0.03,
            kept: 12..=20,
        },
        MemoryCase {
            name: "more than are used",
            remembers: 54,
            most_used: 25,
            slow_part: 0.05,
            kept: usize::MAX..=usize::MAX,
        },
        MemoryCase {
            name: "more than are used, and upstreams are slow",
            remembers: 54,
            most_used: 25,
            slow_part: 0.3,
            kept: usize::MAX..=usize::MAX,
        },
        MemoryCase {
            name: "many, and far more are used",
            remembers: 46,
            most_used: 90,
            slow_part: 0.03,
            kept: 40..=52,
        },
    ];
    for case in cases {
        let memory = CacheEstimator::default();
        let mut draw = fastrand::Rng::with_seed(3);
        for answer in 0..600 {
            let used_since = draw.usize(..case.most_used);
            let is_hit = used_since < case.remembers && draw.f64() >= case.slow_part;
            memory.record(used_since, is_hit);
            if answer % 10 == 0 {
                memory.update();
            }
        }
        let kept = memory.estimated_capacity();
        assert!(case.kept.contains(&kept), "{}: {kept}", case.name);
    }
}

/// Guards against an object that is taken for remembered although enough others were used since, and against old objects that
/// keep new ones out.
#[test]
fn objects_are_counted_by_their_last_use() {
    let objects = RecentObjects::new(vec![1_000, 5_000, 3_000, 20_000]);
    assert_eq!(objects.count_used_since(20_000), 0);
    assert_eq!(objects.count_used_since(5_000), 1);
    assert_eq!(objects.count_used_since(1_000), 3);
    assert_eq!(objects.in_use(MonotonicTime::from_millis(21_000)), 1);
    assert_eq!(objects.in_use(MonotonicTime::from_millis(9_000)), 3);
}
