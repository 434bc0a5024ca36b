//! What an instance knows of one upstream: requests in flight, how it answers, and whether it is cold or avoided.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{DomainKey, RegionKey};

use crate::atomic_time::AtomicTime;
use crate::cache_estimator::RecentObjects;
use crate::hashing::stable_hash;

/// The failure level at which an upstream is avoided, in thousandths. Two failures in a row pass it, while one failure
/// in ten answers does not.
const AVOID_LEVEL: u32 = 400;
/// The highest failure level.
const FULL_LEVEL: u32 = 1_000;
/// How long an upstream is avoided at first; each further time lasts twice as long.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(800);
/// The most doublings of [`FIRST_AVOIDANCE`].
const MAX_DOUBLINGS: u32 = 3;
/// After this time without avoidance the doublings start anew.
const FORGET_AVOIDANCE: Duration = Duration::from_secs(10);
/// How long an upstream that refused a request counts as full.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// The slowness of an upstream that answers as expected, in hundredths.
const USUAL_SLOWNESS: u32 = 100;
/// The highest slowness, in hundredths.
const MAX_SLOWNESS: u32 = 2_000;
/// Without answers, the slowness falls back to the usual within this time, so that the upstream is tried again.
const FORGET_SLOWNESS: Duration = Duration::from_secs(4);

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Answered,
    /// It answered that it failed.
    Failed,
    /// It refused the request because it is full.
    Full,
    /// It broke the connection, or did not answer in time.
    Interrupted,
    /// It could not be connected.
    Unreachable,
}

/// The facts that do not change while an upstream runs.
#[derive(Debug)]
pub struct UpstreamInfo {
    /// Its id.
    pub id: String,
    /// Its failure domain.
    pub domain: DomainKey,
    /// The region of the failure domain.
    pub region: RegionKey,
    /// Requests it runs at once.
    pub slots: u32,
}

/// One upstream, shared by all threads.
#[derive(Debug)]
pub struct UpstreamState {
    /// The facts.
    pub info: UpstreamInfo,
    /// A hash of the id that all instances share.
    pub hash: u64,
    /// The objects that were used there.
    recent: ArcSwap<RecentObjects>,
    objects_in_use: AtomicUsize,
    /// When its coldness ends.
    pub cold_until: AtomicTime,
    /// The next turn of this instance at the upstream while it is cold.
    pub next_cold_send: AtomicTime,
    own_in_flight: AtomicU32,
    peer_in_flight: AtomicU32,
    failure_level: AtomicU32,
    avoided_times: AtomicU32,
    avoid_until: AtomicTime,
    full_until: AtomicTime,
    slowness: AtomicU32,
    slowness_at: AtomicTime,
    is_usable: AtomicBool,
    is_untried: AtomicBool,
    is_lost: AtomicBool,
    is_suspect: AtomicBool,
    is_other: AtomicBool,
    doubts_until: AtomicTime,
}

impl UpstreamState {
    /// Makes the state of an upstream that is cold until `cold_until`. One that `is_joining` others at work has to be tried.
    #[must_use]
    pub fn new(info: UpstreamInfo, cold_until: MonotonicTime, is_joining: bool) -> Self {
        let state = Self {
            hash: stable_hash(info.id.as_bytes()),
            info,
            recent: ArcSwap::default(),
            objects_in_use: AtomicUsize::new(0),
            cold_until: AtomicTime::default(),
            next_cold_send: AtomicTime::default(),
            own_in_flight: AtomicU32::new(0),
            peer_in_flight: AtomicU32::new(0),
            failure_level: AtomicU32::new(0),
            avoided_times: AtomicU32::new(0),
            avoid_until: AtomicTime::default(),
            full_until: AtomicTime::default(),
            slowness: AtomicU32::new(USUAL_SLOWNESS),
            slowness_at: AtomicTime::default(),
            is_usable: AtomicBool::new(true),
            is_untried: AtomicBool::new(is_joining),
            is_lost: AtomicBool::new(false),
            is_suspect: AtomicBool::new(false),
            is_other: AtomicBool::new(false),
            doubts_until: AtomicTime::default(),
        };
        state.cold_until.set(cold_until);
        state
    }

    /// Counts a request that is sent to the upstream.
    pub fn begin_request(&self) {
        self.is_untried.store(false, Ordering::Relaxed);
        self.own_in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request.
    pub fn end_request(&self) {
        self.own_in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the requests of this instance in flight.
    #[must_use]
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight.load(Ordering::Relaxed)
    }

    /// Returns the requests of all instances in flight, as far as the other instances reported them.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight() + self.peer_in_flight.load(Ordering::Relaxed)
    }

    /// Sets the requests of the other instances in flight.
    pub fn set_peer_in_flight(&self, count: u32) {
        self.peer_in_flight.store(count, Ordering::Relaxed);
        if count > 0 {
            self.is_untried.store(false, Ordering::Relaxed);
        }
    }

    /// Notes whether the upstream takes new work: it is listed, ready, and its failure domain is not emptied.
    pub fn set_usable(&self, is_usable: bool) {
        self.is_usable.store(is_usable, Ordering::Release);
    }

    /// Tells whether the upstream takes new work. A request that waits or is sent again sees a change at once, although it
    /// holds the list of its arrival.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.is_usable.load(Ordering::Acquire)
    }

    /// Tells whether the upstream has joined others at work and no instance is known to have used it. In a pool whose
    /// objects are all warm elsewhere it gets its first request for that reason, so that its times are known when it is
    /// needed.
    #[must_use]
    pub fn is_untried(&self) -> bool {
        self.is_untried.load(Ordering::Relaxed)
    }

    /// Sets the objects that were used there.
    pub fn set_recent_objects(&self, recent: RecentObjects, now: MonotonicTime) {
        let in_use = recent.in_use(now);
        self.objects_in_use.store(in_use, Ordering::Relaxed);
        self.recent.store(Arc::new(recent));
    }

    /// Returns how many objects were used there after one that was used at `used_at`.
    #[must_use]
    pub fn count_used_since(&self, used_at: u32) -> usize {
        self.recent.load().count_used_since(used_at)
    }

    /// Returns how many objects are in use there.
    #[must_use]
    pub fn objects_in_use(&self) -> usize {
        self.objects_in_use.load(Ordering::Relaxed)
    }

    /// Records how an attempt ended.
    pub fn record(&self, outcome: AttemptOutcome, now: MonotonicTime) {
        let level = self.failure_level.load(Ordering::Relaxed);
        let next = match outcome {
            AttemptOutcome::Answered => level - level / 5,
            AttemptOutcome::Failed | AttemptOutcome::Full => level + (FULL_LEVEL - level) / 5,
            AttemptOutcome::Interrupted => level + (FULL_LEVEL - level) / 4,
            AttemptOutcome::Unreachable => level + (FULL_LEVEL - level) / 2,
        };
        self.failure_level.store(next, Ordering::Relaxed);
        match outcome {
            AttemptOutcome::Answered => {
                self.is_lost.store(false, Ordering::Relaxed);
                self.is_suspect.store(false, Ordering::Relaxed);
            }
            AttemptOutcome::Interrupted => self.is_suspect.store(true, Ordering::Relaxed),
            // One that refuses while it has free slots is at fault, not full.
            AttemptOutcome::Full if self.in_flight() >= self.info.slots => {
                self.full_until.advance(now + FULL_PAUSE);
            }
            AttemptOutcome::Unreachable => self.is_lost.store(true, Ordering::Relaxed),
            AttemptOutcome::Full | AttemptOutcome::Failed => {}
        }
        if next >= AVOID_LEVEL {
            self.avoid(now);
        }
    }

    /// Avoids the upstream for a while, longer each time.
    pub fn avoid(&self, now: MonotonicTime) {
        let until = self.avoid_until.get();
        if until > now {
            return;
        }
        let is_again = until > MonotonicTime::default() && now.since(until) < FORGET_AVOIDANCE;
        let times = if is_again {
            self.avoided_times.load(Ordering::Relaxed) + 1
        } else {
            0
        };
        self.avoided_times.store(times, Ordering::Relaxed);
        self.avoid_until
            .set(now + FIRST_AVOIDANCE * (1 << times.min(MAX_DOUBLINGS)));
        // One more failure after the pause avoids it again.
        self.failure_level.store(AVOID_LEVEL / 2, Ordering::Relaxed);
    }

    /// Tells whether the upstream is better left out while others can serve.
    #[must_use]
    pub fn is_avoided(&self, now: MonotonicTime) -> bool {
        self.avoid_until.get() > now
    }

    /// Tells whether the upstream refused a request a moment ago because it was full.
    #[must_use]
    pub fn is_full(&self, now: MonotonicTime) -> bool {
        self.full_until.get() > now
    }

    /// Tells whether the last attempt found the upstream gone, so that a health check must find it first.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// Tells whether a health check should look for the upstream.
    #[must_use]
    pub fn needs_health_check(&self) -> bool {
        self.is_unreachable() || self.is_suspect.load(Ordering::Relaxed)
    }

    /// Notes that a health check found the upstream.
    pub fn mark_reachable(&self, cold_until: MonotonicTime) {
        self.cold_until.set(cold_until);
        self.is_lost.store(false, Ordering::Relaxed);
        self.is_suspect.store(false, Ordering::Relaxed);
    }

    /// Notes that a health check did not find the upstream.
    pub fn mark_unreachable(&self) {
        self.is_lost.store(true, Ordering::Relaxed);
    }

    /// Notes that another upstream answers at the address.
    pub fn mark_address_reused(&self) {
        self.is_other.store(true, Ordering::Relaxed);
    }

    /// Tells whether another upstream answers at the address.
    #[must_use]
    pub fn is_address_reused(&self) -> bool {
        self.is_other.load(Ordering::Relaxed)
    }

    /// Notes that the upstream sent bytes that belong to no request, or closes kept connections early.
    pub fn suspect_connections(&self, until: MonotonicTime) {
        self.doubts_until.advance(until);
    }

    /// Tells whether kept connections are in doubt.
    #[must_use]
    pub fn has_suspect_connections(&self, now: MonotonicTime) -> bool {
        self.doubts_until.get() > now
    }

    /// Learns from the time an answer took and the time that was expected.
    pub fn record_latency(&self, took: Duration, expected: Duration, now: MonotonicTime) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let seen =
            ((ratio * f64::from(USUAL_SLOWNESS)) as u32).clamp(USUAL_SLOWNESS / 2, MAX_SLOWNESS);
        let known = self.slowness.load(Ordering::Relaxed);
        self.slowness
            .store((known * 3 + seen) / 4, Ordering::Relaxed);
        self.slowness_at.set(now);
    }

    /// Returns how many times longer than usual the upstream takes, one or more.
    #[must_use]
    pub fn slowness(&self, now: MonotonicTime) -> f64 {
        let excess = self
            .slowness
            .load(Ordering::Relaxed)
            .saturating_sub(USUAL_SLOWNESS);
        let age = now.since(self.slowness_at.get()).as_secs_f64();
        let kept = (1.0 - age / FORGET_SLOWNESS.as_secs_f64()).max(0.0);
        1.0 + f64::from(excess) / f64::from(USUAL_SLOWNESS) * kept
    }

    /// Tells whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        self.cold_until.get() > now
    }
}
