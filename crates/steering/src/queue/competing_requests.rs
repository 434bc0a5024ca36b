//! Which waiting requests compete for the same upstreams.
//!
//! Load pattern: the requests for an object that is warm at few upstreams wait, while those for others have room. How
//! long a request waits follows from the waiting requests that could take its place, here and at the other instances.

use std::collections::BTreeMap;

/// Largest number of upstreams that a set lists; the affinity table keeps as many for an object.
const MAX_LISTED: usize = 8;

/// The upstreams of a pool that suit a request: a few listed ones or all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamSet {
    /// Short hashes of the listed upstreams, see [`short_hash`](crate::short_hash); zero where none is listed.
    listed: [u32; MAX_LISTED],
    /// Number of upstreams in the set.
    count: u32,
}

impl UpstreamSet {
    /// Returns the set of all `count` upstreams of a pool.
    #[must_use]
    pub fn all(count: u32) -> Self {
        Self {
            listed: [0; MAX_LISTED],
            count: count.max(1),
        }
    }

    /// Returns the set of the upstreams with these short hashes, the first eight of them.
    #[must_use]
    pub fn listed(hashes: impl IntoIterator<Item = u32>) -> Self {
        let mut set = Self {
            listed: [0; MAX_LISTED],
            count: 0,
        };
        for (slot, hash) in set.listed.iter_mut().zip(hashes) {
            *slot = hash;
            set.count += 1;
        }
        set
    }

    /// Returns the short hashes of the listed upstreams, none for the set of all.
    pub fn hashes(&self) -> impl Iterator<Item = u32> + '_ {
        self.listed.iter().copied().filter(|hash| *hash != 0)
    }

    fn is_all(&self) -> bool {
        self.listed[0] == 0 && self.count > 0
    }

    /// Returns whether an upstream is in the set.
    #[must_use]
    pub fn contains(&self, hash: u32) -> bool {
        self.is_all() || self.listed.contains(&hash)
    }

    /// Returns the part of the requests that suit the upstreams in `other` which are expected to take one in this set.
    #[must_use]
    pub fn overlap(&self, other: &Self) -> f64 {
        if self.is_all() {
            return 1.0;
        }
        let common = if other.is_all() {
            self.count
        } else {
            let common = self.hashes().filter(|hash| other.contains(*hash));
            u32::try_from(common.count()).unwrap_or(u32::MAX)
        };
        (f64::from(common) / f64::from(other.count.max(1))).min(1.0)
    }
}

/// Requests that wait for the upstreams of a pool, at this instance or at the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CompetingRequests {
    /// All of them.
    pub waiting: f64,
    /// Those that wait for listed upstreams, by the short hash of the upstream. A request that suits several counts at
    /// each with its part.
    pub by_upstream: BTreeMap<u32, f64>,
}

impl CompetingRequests {
    /// Adds a request that suits the upstreams in `set`.
    pub fn add(&mut self, set: &UpstreamSet) {
        self.waiting += 1.0;
        for hash in set.hashes() {
            *self.by_upstream.entry(hash).or_default() += 1.0 / f64::from(set.count);
        }
    }

    /// Returns how many of them are expected to take an upstream in `set`. `upstreams` is the number of upstreams of the
    /// pool.
    #[must_use]
    pub fn count(&self, set: &UpstreamSet, upstreams: u32) -> f64 {
        if set.is_all() {
            return self.waiting;
        }
        let listed: f64 = self.by_upstream.values().sum();
        let unlisted = (self.waiting - listed).max(0.0);
        let at = set.hashes().filter_map(|hash| self.by_upstream.get(&hash));
        let part = f64::from(set.count) / f64::from(upstreams.max(1));
        at.sum::<f64>() + unlisted * part.min(1.0)
    }

    /// Returns the upstreams for which most requests wait, `most` at the most, and how many each.
    #[must_use]
    pub fn heaviest(&self, most: usize) -> Vec<(u32, f64)> {
        let by_upstream = self.by_upstream.iter();
        let mut heaviest: Vec<(u32, f64)> =
            by_upstream.map(|(hash, count)| (*hash, *count)).collect();
        heaviest.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        heaviest.truncate(most);
        heaviest
    }
}

/// Returns how many requests of all instances have their turn before one with `own_ahead` of them before it here. `own`
/// and `others` are the waiting requests that compete with it; each instance gets its part of the turns.
#[must_use]
pub fn ahead_of_all(own_ahead: f64, own: f64, others: f64) -> f64 {
    (own_ahead + 1.0) * (own + others + 1.0) / (own + 1.0) - 1.0
}
