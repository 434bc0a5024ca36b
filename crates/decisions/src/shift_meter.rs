//! Enforcement of the caps of shifts: decides whether a request of a route moves to another region.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use coltsfootkeel_counters::{MonotonicTime, RateBucket, TimeLease};
use coltsfootkeel_model::{
    Arena, ArenaKey, FleetConfig, GenerationNumber, RegionKey, RouteKey, ShiftCap, ShiftKey,
    ShiftRecord, ShiftState,
};

const MILLI_TOKENS_PER_REQUEST: i64 = 1_000;
const PERCENT: u64 = 100;

/// Counts the requests of one shift since its cap came into force.
#[derive(Debug)]
pub struct ShiftMeter {
    seen: AtomicU64,
    moved: AtomicU64,
    cap: MeterCap,
}

#[derive(Debug)]
enum MeterCap {
    Share(u64),
    Rate(Arc<RateBucket>),
}

impl ShiftMeter {
    /// Creates a meter that moves at most `percent` of the requests it counts.
    #[must_use]
    pub fn with_share(percent: u32) -> Self {
        Self::new(MeterCap::Share(u64::from(percent)))
    }

    /// Creates a meter that takes a token for each request it moves. Tokens left from an earlier
    /// cap are removed.
    #[must_use]
    pub fn with_rate(bucket: Arc<RateBucket>) -> Self {
        bucket.take_up_to(i64::MAX);
        Self::new(MeterCap::Rate(bucket))
    }

    fn new(cap: MeterCap) -> Self {
        Self {
            seen: AtomicU64::new(0),
            moved: AtomicU64::new(0),
            cap,
        }
    }

    /// Counts one request and returns whether it moves.
    ///
    /// The request is counted as seen before the cap is read, and `seen` only grows, so the count
    /// of moved requests never exceeds the share of those seen, even under concurrent calls.
    pub fn try_move(&self, lease: &TimeLease, now: MonotonicTime) -> bool {
        self.seen.fetch_add(1, Ordering::AcqRel);
        match &self.cap {
            MeterCap::Share(percent) => self.try_count_moved(*percent),
            MeterCap::Rate(bucket) => {
                let moves = lease.is_valid(now) && bucket.try_take(MILLI_TOKENS_PER_REQUEST);
                if moves {
                    self.moved.fetch_add(1, Ordering::AcqRel);
                }
                moves
            }
        }
    }

    /// Subtracts a request that was counted as moved but could not be moved.
    ///
    /// The token of a rate cap is not returned: the bucket may have been refilled since, and one
    /// more token would allow more than the burst.
    pub fn cancel_move(&self) {
        self.moved.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of requests counted, whether moved or not.
    #[must_use]
    pub fn seen(&self) -> u64 {
        self.seen.load(Ordering::Acquire)
    }

    /// Returns the number of requests moved.
    #[must_use]
    pub fn moved(&self) -> u64 {
        self.moved.load(Ordering::Acquire)
    }

    fn has_bucket(&self, bucket: Option<&Arc<RateBucket>>) -> bool {
        match (&self.cap, bucket) {
            (MeterCap::Rate(own), Some(other)) => Arc::ptr_eq(own, other),
            (MeterCap::Share(_), None) => true,
            _ => false,
        }
    }

    fn try_count_moved(&self, percent: u64) -> bool {
        self.moved
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |moved| {
                let allowed = u128::from(self.seen()) * u128::from(percent);
                let wanted = (u128::from(moved) + 1) * u128::from(PERCENT);
                (wanted <= allowed).then_some(moved + 1)
            })
            .is_ok()
    }
}

/// The decision to move a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShiftMove {
    /// The shift that moves the request.
    pub shift: ShiftKey,
    /// The region that the request moves to.
    pub to: RegionKey,
}

/// The active shifts of all routes, for request threads.
#[derive(Debug)]
pub struct ShiftTable {
    routes: Vec<Vec<ActiveShift>>,
    meters: Arena<ShiftKey, Arc<ShiftMeter>>,
}

#[derive(Debug, Clone, Copy)]
struct ActiveShift {
    key: ShiftKey,
    from: RegionKey,
    to: RegionKey,
}

impl ShiftTable {
    /// Returns the move of a request of `route` that entered in region `home`, or `None` if it
    /// stays.
    ///
    /// Only the first active shift of the route out of `home` is considered. Must be called once
    /// per request, because each call counts a request as seen.
    #[must_use]
    pub fn decide(
        &self,
        route: RouteKey,
        home: RegionKey,
        lease: &TimeLease,
        now: MonotonicTime,
    ) -> Option<ShiftMove> {
        let shifts = self.routes.get(route.index())?;
        let shift = shifts.iter().find(|shift| shift.from == home)?;
        let moves = self.meters[shift.key].try_move(lease, now);
        moves.then_some(ShiftMove {
            shift: shift.key,
            to: shift.to,
        })
    }

    /// Cancels a move whose destination had no free slot. The request stays in its home region.
    pub fn cancel_move(&self, shift_move: ShiftMove) {
        self.meters[shift_move.shift].cancel_move();
    }

    /// Returns the meter of a shift, for reports.
    #[must_use]
    pub fn meter(&self, shift: ShiftKey) -> Option<&ShiftMeter> {
        self.meters.get(shift).map(AsRef::as_ref)
    }
}

/// Shift meters by name, retained across configuration generations. Owned by the control thread.
#[derive(Debug, Default)]
pub struct ShiftRegistry {
    generation: GenerationNumber,
    meters: HashMap<String, RegisteredMeter>,
}

#[derive(Debug)]
struct RegisteredMeter {
    terms: ShiftTerms,
    meter: Arc<ShiftMeter>,
}

/// The properties of a shift that must be unchanged for its meter to keep its counts.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ShiftTerms {
    route: String,
    from: String,
    to: String,
    cap: ShiftCap,
    state: ShiftState,
}

impl ShiftRegistry {
    /// Creates a registry without shifts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a configuration and returns the table for its snapshot.
    ///
    /// A meter is kept only if its shift is unchanged and no generation was skipped: a skipped
    /// generation may have changed the cap and the next one restored it, which restarts the count.
    /// `bucket_of` returns the bucket of a shift with a rate cap.
    pub fn apply(
        &mut self,
        config: &FleetConfig,
        generation: GenerationNumber,
        mut bucket_of: impl FnMut(ShiftKey) -> Arc<RateBucket>,
    ) -> ShiftTable {
        let mut previous = std::mem::take(&mut self.meters);
        if generation != self.generation.next() && generation != self.generation {
            previous.clear();
        }
        self.generation = generation;
        let mut meters = Arena::new();
        for (key, shift) in config.shifts.iter() {
            let terms = shift_terms(config, shift);
            let bucket = match shift.cap {
                ShiftCap::Share(_) => None,
                ShiftCap::Rate(_) => Some(bucket_of(key)),
            };
            let kept = previous
                .remove(&shift.name)
                .filter(|kept| kept.terms == terms && kept.meter.has_bucket(bucket.as_ref()));
            let kept = kept.unwrap_or_else(|| RegisteredMeter {
                meter: Arc::new(new_meter(shift.cap, bucket)),
                terms,
            });
            meters.push(Arc::clone(&kept.meter));
            self.meters.insert(shift.name.clone(), kept);
        }
        ShiftTable {
            routes: active_shifts(config),
            meters,
        }
    }
}

fn new_meter(cap: ShiftCap, bucket: Option<Arc<RateBucket>>) -> ShiftMeter {
    match cap {
        ShiftCap::Share(percent) => ShiftMeter::with_share(percent),
        ShiftCap::Rate(_) => ShiftMeter::with_rate(bucket.unwrap_or_default()),
    }
}

fn shift_terms(config: &FleetConfig, shift: &ShiftRecord) -> ShiftTerms {
    ShiftTerms {
        route: config.routes[shift.route].name.clone(),
        from: config.regions[shift.from].name.clone(),
        to: config.regions[shift.to].name.clone(),
        cap: shift.cap,
        state: shift.state,
    }
}

fn active_shifts(config: &FleetConfig) -> Vec<Vec<ActiveShift>> {
    let of_route = |shifts: &[ShiftKey]| {
        shifts
            .iter()
            .map(|key| (*key, &config.shifts[*key]))
            .filter(|(_, shift)| shift.state == ShiftState::Active)
            .map(|(key, shift)| ActiveShift {
                key,
                from: shift.from,
                to: shift.to,
            })
            .collect()
    };
    config
        .routes
        .iter()
        .map(|(_, route)| of_route(&route.shifts))
        .collect()
}
