//! Estimates of the number of objects that upstreams keep in their caches.

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::{CacheEstimator, RecentObjects};

struct EstimateCase {
    name: &'static str,
    /// Actual number of objects that an upstream caches.
    capacity: usize,
    /// Upper bound for the objects used between two requests for the same object.
    max_reuse_distance: usize,
    /// Fraction of answers that are slow for another reason.
    slow_fraction: f64,
    /// Accepted estimates.
    estimated: std::ops::RangeInclusive<usize>,
}

/// Guards against requests that are sent to upstreams which have evicted their objects, and against caches that are
/// considered full because some answers are slow.
#[test]
fn cache_capacity_is_estimated_from_answers() {
    let cases = [
        EstimateCase {
            name: "a cache smaller than the working set",
            capacity: 15,
            max_reuse_distance: 30,
            slow_fraction: 0.03,
            estimated: 12..=20,
        },
        EstimateCase {
            name: "a cache larger than the working set",
            capacity: 54,
            max_reuse_distance: 25,
            slow_fraction: 0.05,
            estimated: usize::MAX..=usize::MAX,
        },
        EstimateCase {
            name: "a cache larger than the working set, and slow upstreams",
            capacity: 54,
            max_reuse_distance: 25,
            slow_fraction: 0.3,
            estimated: usize::MAX..=usize::MAX,
        },
        EstimateCase {
            name: "a large cache and a far larger working set",
            capacity: 46,
            max_reuse_distance: 90,
            slow_fraction: 0.03,
            estimated: 40..=52,
        },
    ];
    for case in cases {
        let estimator = CacheEstimator::default();
        let mut rng = fastrand::Rng::with_seed(3);
        for answer in 0..600 {
            let reuse_distance = rng.usize(..case.max_reuse_distance);
            let is_hit = reuse_distance < case.capacity && rng.f64() >= case.slow_fraction;
            estimator.record(reuse_distance, is_hit);
            if answer % 10 == 0 {
                estimator.update();
            }
        }
        let estimated = estimator.estimated_capacity();
        assert!(
            case.estimated.contains(&estimated),
            "{}: {estimated}",
            case.name
        );
    }
}

/// Guards against an object that counts as cached although enough others were used since, and against unused objects
/// that prevent the placement of new ones.
#[test]
fn objects_are_counted_by_their_last_use() {
    let objects = RecentObjects::new(vec![1_000, 5_000, 3_000, 20_000]);
    assert_eq!(objects.count_used_since(20_000), 0);
    assert_eq!(objects.count_used_since(5_000), 1);
    assert_eq!(objects.count_used_since(1_000), 3);
    assert_eq!(objects.in_use(MonotonicTime::from_millis(21_000)), 1);
    assert_eq!(objects.in_use(MonotonicTime::from_millis(9_000)), 3);
}
