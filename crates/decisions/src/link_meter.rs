//! Bandwidth limits of the links between regions, enforced on this instance's share of each link.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::{MonotonicTime, RateBucket};
use coltsfootkeel_model::{ArenaKey, FleetConfig, RegionKey};

/// One token is one KiB, so that a milli-token is about one byte.
const BYTES_PER_TOKEN: u64 = 1_024;
const MILLI_PER_TOKEN: u64 = 1_000;
const BITS_PER_MEGABIT: u64 = 1_000_000;
const BITS_PER_BYTE: u64 = 8;

/// Burst of a link's bucket. It covers the ticks that a busy control thread may miss; a larger
/// burst would overload the link.
const LINK_BURST: Duration = Duration::from_millis(100);

/// Token buckets for each ordered pair of regions: a link has its capacity in each direction.
#[derive(Debug)]
pub struct LinkMeter {
    region_count: usize,
    /// The bucket from one region to another, at the index `from` × `region_count` + `to`.
    buckets: Vec<Arc<RateBucket>>,
}

impl LinkMeter {
    /// Returns whether the links have capacity for a new request from `home` to `other` and for
    /// its response.
    ///
    /// Always true within one region, which has no link to overload.
    #[must_use]
    pub fn may_cross(&self, home: RegionKey, other: RegionKey) -> bool {
        home == other || (self.has_capacity(home, other) && self.has_capacity(other, home))
    }

    /// Charges bytes that were sent from one region to another.
    pub fn charge(&self, from: RegionKey, to: RegionKey, bytes: u64) {
        if from == to {
            return;
        }
        if let Some(bucket) = self.bucket(from, to) {
            bucket.charge(milli_tokens(bytes));
        }
    }

    /// Returns the level of the bucket for one direction in milli-KiB; it is negative while the
    /// link is in debt.
    #[must_use]
    pub fn level(&self, from: RegionKey, to: RegionKey) -> i64 {
        self.bucket(from, to).map_or(0, RateBucket::level)
    }

    fn has_capacity(&self, from: RegionKey, to: RegionKey) -> bool {
        self.bucket(from, to)
            .is_some_and(|bucket| bucket.level() >= 0 && bucket.capacity() > 0)
    }

    fn bucket(&self, from: RegionKey, to: RegionKey) -> Option<&RateBucket> {
        let index = from.index() * self.region_count + to.index();
        self.buckets.get(index).map(AsRef::as_ref)
    }
}

fn milli_tokens(bytes: u64) -> i64 {
    let milli = (bytes.saturating_mul(MILLI_PER_TOKEN)).div_ceil(BYTES_PER_TOKEN);
    i64::try_from(milli).unwrap_or(i64::MAX / 4)
}

/// Link buckets by region names, with their refill rates. Owned by the control thread.
#[derive(Debug, Default)]
pub struct LinkRegistry {
    links: HashMap<(String, String), LinkShare>,
    refilled_at: MonotonicTime,
}

#[derive(Debug)]
struct LinkShare {
    bucket: Arc<RateBucket>,
    milli_per_s: u64,
}

impl LinkRegistry {
    /// Creates a registry without links.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a configuration and returns the meter for its snapshot.
    ///
    /// The capacity of a link is divided among the seats of its two regions, because both ends send
    /// over it. `home` is the region of this instance and `held_seats` the number of seats it
    /// holds.
    pub fn apply(
        &mut self,
        config: &FleetConfig,
        home: RegionKey,
        held_seats: usize,
        now: MonotonicTime,
    ) -> LinkMeter {
        self.refill(now);
        let mut previous = std::mem::take(&mut self.links);
        let region_count = config.regions.len();
        let mut buckets = Vec::with_capacity(region_count * region_count);
        for (from, from_record) in config.regions.iter() {
            for (to, to_record) in config.regions.iter() {
                let name = (from_record.name.clone(), to_record.name.clone());
                let bucket = previous
                    .remove(&name)
                    .map_or_else(Arc::default, |share| share.bucket);
                let is_used = from != to && (from == home || to == home);
                let milli_per_s = if is_used {
                    share_milli_per_s(config, from, to, held_seats)
                } else {
                    0
                };
                bucket.set_capacity(milli_tokens_in(milli_per_s, LINK_BURST));
                buckets.push(Arc::clone(&bucket));
                let share = LinkShare {
                    bucket,
                    milli_per_s,
                };
                self.links.insert(name, share);
            }
        }
        LinkMeter {
            region_count,
            buckets,
        }
    }

    /// Refills the buckets for the time since the last call. Must be called on each tick.
    pub fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = now;
        for share in self.links.values() {
            share
                .bucket
                .refill(milli_tokens_in(share.milli_per_s, elapsed));
        }
    }
}

fn share_milli_per_s(
    config: &FleetConfig,
    from: RegionKey,
    to: RegionKey,
    held_seats: usize,
) -> u64 {
    let seats_in = |region: RegionKey| {
        config
            .seats
            .iter()
            .filter(|(_, seat)| config.domains[seat.domain].region == region)
            .count()
    };
    let seat_count = (seats_in(from) + seats_in(to)).max(1) as u64;
    let bits = config.links.between(from, to).capacity_mbit_per_s * BITS_PER_MEGABIT;
    let milli = bits / BITS_PER_BYTE * MILLI_PER_TOKEN / BYTES_PER_TOKEN;
    milli * (held_seats as u64).min(seat_count) / seat_count
}

fn milli_tokens_in(milli_per_s: u64, time: Duration) -> i64 {
    let amount = u128::from(milli_per_s) * time.as_nanos() / 1_000_000_000;
    i64::try_from(amount).unwrap_or(i64::MAX / 4)
}
