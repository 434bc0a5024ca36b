//! How often the requests of each rank are served, so that urgent ranks go first without starving the others.
//!
//! Load pattern: one kind of requests at several times its usual rate. In strict order a rank behind it would not be
//! served at all until the load is over.

use std::sync::atomic::{AtomicU32, Ordering};

/// Number of ranks that are told apart; all less urgent ones count as the last.
const RANKS: usize = 8;
/// A rank that is served less often than this fraction of the frequency of all requests goes first. Callers are promised
/// a quarter; the rest covers what is decided at several instances.
const OWED_FRACTION: f64 = 0.35;
/// Requests of a rank below which its frequency says little.
const MIN_ARRIVALS: u32 = 4;

/// Recent arrivals and services by rank, shared by all threads.
#[derive(Debug, Default)]
pub struct RankShares {
    arrived: [AtomicU32; RANKS],
    served: [AtomicU32; RANKS],
}

fn index(rank: u32) -> usize {
    (rank as usize).min(RANKS - 1)
}

fn total(counts: &[AtomicU32; RANKS]) -> u32 {
    let counts = counts.iter().map(|count| count.load(Ordering::Relaxed));
    counts.fold(0, u32::saturating_add)
}

impl RankShares {
    /// Counts a request that arrived.
    pub fn count_arrival(&self, rank: u32) {
        self.arrived[index(rank)].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that got a slot.
    pub fn count_served(&self, rank: u32) {
        self.served[index(rank)].fetch_add(1, Ordering::Relaxed);
    }

    /// Halves all counts. Called once a second, it averages over about two seconds.
    pub fn decay(&self) {
        for count in self.arrived.iter().chain(&self.served) {
            count.fetch_sub(count.load(Ordering::Relaxed).div_ceil(2), Ordering::Relaxed);
        }
    }

    /// Returns the fraction of a rank's requests that is served; 1 if there are too few of them.
    #[must_use]
    pub fn frequency(&self, rank: u32) -> f64 {
        let arrived = self.arrived[index(rank)].load(Ordering::Relaxed);
        if arrived < MIN_ARRIVALS {
            return 1.0;
        }
        let served = self.served[index(rank)].load(Ordering::Relaxed);
        f64::from(served) / f64::from(arrived)
    }

    /// Returns whether a rank is served so rarely that its requests go before more urgent ones.
    #[must_use]
    pub fn is_owed(&self, rank: u32) -> bool {
        let arrived = f64::from(total(&self.arrived).max(1));
        let all = f64::from(total(&self.served)) / arrived;
        self.frequency(rank) < all * OWED_FRACTION
    }
}
