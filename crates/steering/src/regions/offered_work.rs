//! Counts the work that callers offer to a pool, on the path of each request.
//!
//! Load pattern: a full region refuses a part of its requests. What it sends then says nothing about what its callers ask
//! for, so work is counted before an upstream is selected.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::regions::topology::RegionSet;

/// Maximum number of sets of regions that are counted separately. Work of further ones counts as allowed everywhere.
const MAX_CLASSES: usize = 16;

/// The work that may run in the same regions.
#[derive(Debug, Clone)]
struct OfferedClass {
    regions: RegionSet,
    busy_us: Arc<AtomicU64>,
}

/// The work offered since the start of the process that may run in the same regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferedTotal {
    /// Regions in which the work may run.
    pub regions: RegionSet,
    /// Time for which the work occupies a slot.
    pub busy: Duration,
}

/// The work that callers have offered to a pool at this instance, by the regions where it may run.
#[derive(Debug, Default)]
pub struct OfferedWork {
    classes: ArcSwap<Vec<OfferedClass>>,
}

impl OfferedWork {
    /// Counts a request that may run in `regions` and occupies a slot for `slot_time`.
    pub fn count(&self, regions: RegionSet, slot_time: Duration) {
        let busy_us = u64::try_from(slot_time.as_micros()).unwrap_or(u64::MAX);
        if !self.add(regions, busy_us) {
            self.classes.rcu(|classes| with_class(classes, regions));
            // The set has a class now, unless there are too many of them.
            let _ = self.add(regions, busy_us) || self.add(RegionSet::ANY, busy_us);
        }
    }

    /// Returns the totals of all sets of regions.
    #[must_use]
    pub fn totals(&self) -> Vec<OfferedTotal> {
        let classes = self.classes.load();
        let total = |class: &OfferedClass| OfferedTotal {
            regions: class.regions,
            busy: Duration::from_micros(class.busy_us.load(Ordering::Relaxed)),
        };
        classes.iter().map(total).collect()
    }

    fn add(&self, regions: RegionSet, busy_us: u64) -> bool {
        let classes = self.classes.load();
        let found = classes.iter().find(|class| class.regions == regions);
        if let Some(class) = found {
            class.busy_us.fetch_add(busy_us, Ordering::Relaxed);
        }
        found.is_some()
    }
}

/// Returns the classes with one for `regions`, or with one for all regions if there are too many.
fn with_class(classes: &[OfferedClass], regions: RegionSet) -> Vec<OfferedClass> {
    let added = if classes.len() + 1 < MAX_CLASSES {
        regions
    } else {
        RegionSet::ANY
    };
    let mut classes = classes.to_vec();
    if !classes.iter().any(|class| class.regions == added) {
        classes.push(OfferedClass {
            regions: added,
            busy_us: Arc::default(),
        });
    }
    classes
}
