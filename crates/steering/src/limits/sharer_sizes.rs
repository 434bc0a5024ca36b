//! The parts of limits that instances of different sizes get.
//!
//! Load pattern: look-ups bring a large instance eight times the requests of a small one. With even parts, the large
//! one runs out of retries while those of the small ones are unused.

use std::collections::HashMap;

/// Relative size of an instance whose capacity is not known.
const UNKNOWN_SIZE: f64 = 1.0;

/// The sizes of the instances that share limits, by the hashes of their names. Empty if they are about equal.
#[derive(Debug, Clone, Default)]
pub struct SharerSizes {
    sizes: HashMap<u64, f64>,
    mean: f64,
}

impl SharerSizes {
    /// Creates the sizes of the `sharers`, given the known sizes relative to their mean.
    #[must_use]
    pub fn new(sharers: &[u64], known: &HashMap<u64, f64>) -> Self {
        let size = |hash: &u64| (*hash, known.get(hash).copied().unwrap_or(UNKNOWN_SIZE));
        let sizes: HashMap<u64, f64> = sharers.iter().map(size).collect();
        #[expect(clippy::cast_precision_loss)]
        let mean = sizes.values().sum::<f64>() / sizes.len().max(1) as f64;
        Self { sizes, mean }
    }

    /// Returns the size of an instance relative to the mean of the sharers.
    #[must_use]
    pub fn relative_size(&self, instance: u64) -> f64 {
        self.sizes
            .get(&instance)
            .map_or(UNKNOWN_SIZE, |size| size / self.mean)
    }
}
