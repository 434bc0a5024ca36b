//! State of one upstream as observed by this instance: requests in flight, failures, slowness, and whether it is in its
//! cold start or avoided.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::{DomainKey, RegionKey};

use crate::atomic_time::AtomicTime;
use crate::hashing::stable_hash;
use crate::limits::rate_limit::UpstreamLimit;
use crate::load::load_report::LoadReport;
use crate::load::load_view::LoadView;
use crate::load::reported_load::{ReportedLoad, TimedReport};
use crate::load::slowness_meter::SlownessMeter;
use crate::placement::cache_estimator::RecentObjects;

/// Failure level, in thousandths, from which an upstream is avoided. Two interrupted requests in a row reach it; one
/// failure in ten answers does not.
const AVOIDANCE_THRESHOLD_PERMILLE: u32 = 400;
/// Upper bound of the failure level, in thousandths.
const MAX_FAILURE_LEVEL_PERMILLE: u32 = 1_000;
/// Duration of the first avoidance. Each consecutive avoidance lasts twice as long as the one before.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(800);
/// Upper bound for doublings of [`INITIAL_AVOIDANCE`].
const MAX_AVOIDANCE_DOUBLINGS: u32 = 3;
/// Time without avoidance after which the next one lasts [`INITIAL_AVOIDANCE`] again.
const AVOIDANCE_RESET_AFTER: Duration = Duration::from_secs(10);
/// Time for which an upstream counts as full after it refused a request.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// Result of one attempt to send a request to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream returned a successful answer.
    Answered,
    /// The upstream returned an error.
    Failed,
    /// The upstream refused the request because all its slots are in use.
    Full,
    /// The connection broke, or the answer did not arrive in time.
    Interrupted,
    /// No connection could be established.
    Unreachable,
}

/// Properties that do not change while an upstream runs.
#[derive(Debug)]
pub struct UpstreamInfo {
    /// Id in the platform's list.
    pub id: String,
    /// Failure domain of the upstream.
    pub domain: DomainKey,
    /// Region of the failure domain.
    pub region: RegionKey,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
}

/// State of one upstream, shared by all threads.
#[derive(Debug)]
pub struct UpstreamState {
    /// Properties that do not change while the upstream runs.
    pub info: UpstreamInfo,
    /// Hash of the id, the same at all instances.
    pub hash: u64,
    /// Objects that requests of any instance used at the upstream within the retention time of the affinity table.
    recent_objects: ArcSwap<RecentObjects>,
    objects_in_use: AtomicUsize,
    /// End of the cold start; in the past if the upstream is no longer cold.
    pub cold_until: AtomicTime,
    /// Earliest time at which this instance may send the next request while the upstream is cold.
    pub next_cold_send: AtomicTime,
    /// The rate limit that the upstream states in its answers.
    pub rate_limit: UpstreamLimit,
    /// What the upstream states about its load.
    pub reported_load: ReportedLoad,
    own_in_flight: AtomicU32,
    peer_in_flight: AtomicU32,
    failure_level: AtomicU32,
    avoidance_doublings: AtomicU32,
    avoided_until: AtomicTime,
    full_until: AtomicTime,
    slowness: SlownessMeter,
    is_usable: AtomicBool,
    is_untried: AtomicBool,
    is_unreachable: AtomicBool,
    is_suspect: AtomicBool,
    is_address_reused: AtomicBool,
    connections_suspect_until: AtomicTime,
}

impl UpstreamState {
    /// Creates the state of an upstream that is cold until `cold_until`. `is_joining` marks an upstream that was added
    /// to a pool in use, so it counts as untried until an instance uses it.
    #[must_use]
    pub fn new(info: UpstreamInfo, cold_until: MonotonicTime, is_joining: bool) -> Self {
        let state = Self {
            hash: stable_hash(info.id.as_bytes()),
            info,
            recent_objects: ArcSwap::default(),
            objects_in_use: AtomicUsize::new(0),
            cold_until: AtomicTime::default(),
            next_cold_send: AtomicTime::default(),
            rate_limit: UpstreamLimit::default(),
            reported_load: ReportedLoad::default(),
            own_in_flight: AtomicU32::new(0),
            peer_in_flight: AtomicU32::new(0),
            failure_level: AtomicU32::new(0),
            avoidance_doublings: AtomicU32::new(0),
            avoided_until: AtomicTime::default(),
            full_until: AtomicTime::default(),
            slowness: SlownessMeter::default(),
            is_usable: AtomicBool::new(true),
            is_untried: AtomicBool::new(is_joining),
            is_unreachable: AtomicBool::new(false),
            is_suspect: AtomicBool::new(false),
            is_address_reused: AtomicBool::new(false),
            connections_suspect_until: AtomicTime::default(),
        };
        state.cold_until.set(cold_until);
        state
    }

    /// Counts a request that is sent to the upstream.
    pub fn begin_request(&self) {
        self.is_untried.store(false, Ordering::Relaxed);
        self.own_in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request that [`begin_request`](Self::begin_request) counted.
    pub fn end_request(&self) {
        self.own_in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of requests in flight from this instance.
    #[must_use]
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in flight from all instances, based on the latest reports of the others.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight() + self.peer_in_flight.load(Ordering::Relaxed)
    }

    /// Records a load report of the upstream that was received at `stated_at`. `answered` is the number of requests that
    /// this instance still counts as in flight and the upstream does not.
    pub fn record_load(&self, report: LoadReport, stated_at: MonotonicTime, answered: u32) {
        self.reported_load.record(TimedReport {
            report,
            stated_at,
            own_in_flight: self.own_in_flight().saturating_sub(answered),
            peer_in_flight: self.peer_in_flight.load(Ordering::Relaxed),
        });
    }

    /// Returns the load from requests in flight and answers alone.
    #[must_use]
    pub fn observed_load(&self, now: MonotonicTime) -> LoadView {
        LoadView {
            in_flight: self.in_flight(),
            slowness: self.slowness(now),
            cost_factor: 1.0,
        }
    }

    /// Returns the load from the newest report, also if reports are distrusted; `None` without a valid report.
    #[must_use]
    pub fn stated_load(&self, now: MonotonicTime) -> Option<LoadView> {
        let own = self.own_in_flight();
        let peers = self.peer_in_flight.load(Ordering::Relaxed);
        Some(LoadView {
            in_flight: self.reported_load.in_flight(own, peers, now)?,
            slowness: self.slowness(now),
            cost_factor: self.reported_load.cost_factor(now),
        })
    }

    /// Returns the load from a valid report, or from own observation if there is none or reports are distrusted.
    #[must_use]
    pub fn load(&self, now: MonotonicTime) -> LoadView {
        let stated = if self.reported_load.is_distrusted() {
            None
        } else {
            self.stated_load(now)
        };
        stated.unwrap_or_else(|| self.observed_load(now))
    }

    /// Sets the number of requests in flight from the other instances.
    pub fn set_peer_in_flight(&self, count: u32) {
        self.peer_in_flight.store(count, Ordering::Relaxed);
        if count > 0 {
            self.is_untried.store(false, Ordering::Relaxed);
        }
    }

    /// Sets whether the upstream accepts new work: it is listed and ready, and its failure domain is not being
    /// evacuated.
    pub fn set_usable(&self, is_usable: bool) {
        self.is_usable.store(is_usable, Ordering::Release);
    }

    /// Returns whether the upstream accepts new work. The flag is shared, so a change also applies immediately to a
    /// queued or retried request whose list of upstreams is older.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.is_usable.load(Ordering::Acquire)
    }

    /// Returns whether the upstream can run requests without a limit on their rate: it accepts new work, is reachable and
    /// no longer in its cold start.
    #[must_use]
    pub fn can_run(&self, now: MonotonicTime) -> bool {
        self.is_usable()
            && !self.is_address_reused()
            && !self.is_unreachable()
            && !self.is_in_cold_start(now)
    }

    /// Returns whether the upstream joined a pool in use and no request to it was sent here or reported by another
    /// instance. In a pool whose objects are all warm elsewhere, such an upstream receives one request for this reason,
    /// so that its response times are known when it is needed.
    #[must_use]
    pub fn is_untried(&self) -> bool {
        self.is_untried.load(Ordering::Relaxed)
    }

    /// Replaces the objects that were recently used at the upstream, and counts those in use at `now`.
    pub fn set_recent_objects(&self, recent_objects: RecentObjects, now: MonotonicTime) {
        let in_use = recent_objects.in_use(now);
        self.objects_in_use.store(in_use, Ordering::Relaxed);
        self.recent_objects.store(Arc::new(recent_objects));
    }

    /// Returns how many objects were used at the upstream after `used_at_ms`, a time from
    /// [`RecentUpstreams::last_used_ms`](crate::RecentUpstreams::last_used_ms).
    #[must_use]
    pub fn count_used_since(&self, used_at_ms: u32) -> usize {
        self.recent_objects.load().count_used_since(used_at_ms)
    }

    /// Returns how many objects were in use at the upstream when [`set_recent_objects`](Self::set_recent_objects) was
    /// last called.
    #[must_use]
    pub fn objects_in_use(&self) -> usize {
        self.objects_in_use.load(Ordering::Relaxed)
    }

    /// Updates failure level and flags with the outcome of an attempt, and avoids the upstream if the level is too
    /// high.
    pub fn record(&self, outcome: AttemptOutcome, now: MonotonicTime) {
        let level = self.failure_level.load(Ordering::Relaxed);
        let next = match outcome {
            AttemptOutcome::Answered => level - level / 5,
            AttemptOutcome::Failed | AttemptOutcome::Full => {
                level + (MAX_FAILURE_LEVEL_PERMILLE - level) / 5
            }
            AttemptOutcome::Interrupted => level + (MAX_FAILURE_LEVEL_PERMILLE - level) / 4,
            AttemptOutcome::Unreachable => level + (MAX_FAILURE_LEVEL_PERMILLE - level) / 2,
        };
        self.failure_level.store(next, Ordering::Relaxed);
        match outcome {
            AttemptOutcome::Answered => {
                self.is_unreachable.store(false, Ordering::Relaxed);
                self.is_suspect.store(false, Ordering::Relaxed);
            }
            AttemptOutcome::Interrupted => self.is_suspect.store(true, Ordering::Relaxed),
            // A refusal with free slots is a failure of the upstream, not a sign of load.
            AttemptOutcome::Full if self.in_flight() >= self.info.slots => {
                self.full_until.advance(now + FULL_BACKOFF);
            }
            AttemptOutcome::Unreachable => self.is_unreachable.store(true, Ordering::Relaxed),
            AttemptOutcome::Full | AttemptOutcome::Failed => {}
        }
        if next >= AVOIDANCE_THRESHOLD_PERMILLE {
            self.avoid(now);
        }
    }

    /// Avoids the upstream for `INITIAL_AVOIDANCE`, or for twice as long as the last time if the last avoidance ended
    /// less than `AVOIDANCE_RESET_AFTER` ago, up to `MAX_AVOIDANCE_DOUBLINGS` doublings. Has no effect while the
    /// upstream is avoided.
    pub fn avoid(&self, now: MonotonicTime) {
        let until = self.avoided_until.get();
        if until > now {
            return;
        }
        let is_repeated =
            until > MonotonicTime::default() && now.since(until) < AVOIDANCE_RESET_AFTER;
        let doublings = if is_repeated {
            self.avoidance_doublings.load(Ordering::Relaxed) + 1
        } else {
            0
        };
        self.avoidance_doublings.store(doublings, Ordering::Relaxed);
        self.avoided_until
            .set(now + INITIAL_AVOIDANCE * (1 << doublings.min(MAX_AVOIDANCE_DOUBLINGS)));
        // A single failure after the avoidance ends must trigger the next one.
        self.failure_level
            .store(AVOIDANCE_THRESHOLD_PERMILLE / 2, Ordering::Relaxed);
    }

    /// Returns whether the upstream should be skipped while other upstreams can run the request.
    #[must_use]
    pub fn is_avoided(&self, now: MonotonicTime) -> bool {
        self.avoided_until.get() > now
    }

    /// Returns the time for which the upstream still counts as full; zero if it refused no request because it was full
    /// within the last `FULL_BACKOFF`.
    #[must_use]
    pub fn full_for(&self, now: MonotonicTime) -> Duration {
        self.full_until.get().since(now)
    }

    /// Returns whether the last attempt or health check failed to reach the upstream, so that a health check must
    /// succeed first.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable.load(Ordering::Relaxed)
    }

    /// Returns whether the upstream needs a health check: it is unreachable, or the last request to it was interrupted.
    #[must_use]
    pub fn needs_health_check(&self) -> bool {
        self.is_unreachable() || self.is_suspect.load(Ordering::Relaxed)
    }

    /// Records a successful health check, which also reports when the cold start ends.
    pub fn mark_reachable(&self, cold_until: MonotonicTime) {
        self.cold_until.set(cold_until);
        self.is_unreachable.store(false, Ordering::Relaxed);
        self.is_suspect.store(false, Ordering::Relaxed);
    }

    /// Records that a health check could not reach the upstream.
    pub fn mark_unreachable(&self) {
        self.is_unreachable.store(true, Ordering::Relaxed);
    }

    /// Records that a different upstream answers at the address.
    pub fn mark_address_reused(&self) {
        self.is_address_reused.store(true, Ordering::Relaxed);
    }

    /// Returns whether a different upstream answers at the address.
    #[must_use]
    pub fn is_address_reused(&self) -> bool {
        self.is_address_reused.load(Ordering::Relaxed)
    }

    /// Marks the idle connections as suspect until the given time, because the upstream sent bytes that belong to no
    /// request or closes idle connections early.
    pub fn suspect_connections(&self, until: MonotonicTime) {
        self.connections_suspect_until.advance(until);
    }

    /// Returns whether the idle connections are marked as suspect at `now`.
    #[must_use]
    pub fn has_suspect_connections(&self, now: MonotonicTime) -> bool {
        self.connections_suspect_until.get() > now
    }

    /// Returns the number of requests that the upstream runs concurrently if each occupies a slot for `slot_time`: its
    /// slots, or as many as its rate limit keeps busy.
    #[must_use]
    pub fn effective_slots(&self, slot_time: Duration, now: MonotonicTime) -> f64 {
        let slots = f64::from(self.info.slots);
        match self.rate_limit.limit(now) {
            Some(limit) => slots.min(limit.per_second() * slot_time.as_secs_f64()),
            None => slots,
        }
    }

    /// Updates the slowness with the ratio of the measured to the expected response time.
    pub fn record_latency(&self, elapsed: Duration, expected: Duration, now: MonotonicTime) {
        self.slowness.record(elapsed, expected, now);
    }

    /// Returns the factor by which responses take longer than usual; at least 1.
    #[must_use]
    pub fn slowness(&self, now: MonotonicTime) -> f64 {
        self.slowness.factor(now)
    }

    /// Returns whether the upstream is still in its cold start.
    #[must_use]
    pub fn is_in_cold_start(&self, now: MonotonicTime) -> bool {
        self.cold_until.get() > now
    }
}
