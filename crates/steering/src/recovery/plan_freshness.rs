//! Decides whether requests with an access key may be served. An instance that cannot receive the withdrawal of a key
//! must refuse them.
//!
//! A confirmation is a time at which the active plan was the latest one in the store. It comes from this instance's own
//! watch or from another instance with the same plan. While no member reaches the store, it accepts no withdrawal
//! either, but one that it accepted just before may be known to nobody. The settings decide whether such an outage also
//! counts as a confirmation.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::atomic_time::AtomicTime;

/// Longest time for which a stalled watch may return no changes although there are some. After it, the store discards
/// the watch history, and the objects are listed again.
const MAX_WATCH_DELAY: Duration = Duration::from_secs(1);
/// Longest time between two confirmations by a watch that returns no changes, with the way to the store and back. Such a
/// plan is not outdated, however short the bound for changes is: a change would end the watch.
const CONFIRMATION_PERIOD: Duration = Duration::from_millis(2_600);
/// Time after the last evidence of an outage of the store for which the outage is assumed to last.
const OUTAGE_END_DELAY: Duration = Duration::from_millis(2_600);
/// The age of a plan that was never confirmed and comes from a store that may lack a newer one.
const UNCONFIRMED_AGE: Duration = Duration::from_hours(24);
/// Network delay between caller, instance and store, including delays on a busy processor.
const NETWORK_DELAY_ALLOWANCE: Duration = Duration::from_millis(500);

/// Time of the latest confirmation of the active plan, and the newest version that this instance has heard of.
#[derive(Debug, Default)]
pub struct PlanFreshness {
    confirmed_at: AtomicTime,
    newest_version: AtomicU64,
    outage_at: AtomicTime,
    is_unsettled: AtomicBool,
    /// Whether the store was unsettled before the first confirmation.
    needs_confirmation: AtomicBool,
}

impl PlanFreshness {
    /// Records that the active plan was the latest one in the store at `time`. A time before the latest confirmation is
    /// ignored.
    pub fn confirm(&self, time: MonotonicTime) {
        self.confirmed_at.advance(time);
    }

    /// Records that no instance reached the store at `time`. What it accepted just before may be unknown to all
    /// instances.
    pub fn record_outage(&self, time: MonotonicTime) {
        self.outage_at.advance(time);
    }

    /// Returns whether the store is down for all instances.
    #[must_use]
    pub fn is_outage(&self, now: MonotonicTime) -> bool {
        let outage_at = self.outage_at.get();
        outage_at != MonotonicTime::default() && now.since(outage_at) < OUTAGE_END_DELAY
    }

    /// Records whether the store has returned from an older copy and may still lack a plan that it had accepted.
    pub fn set_unsettled(&self, is_unsettled: bool) {
        if is_unsettled {
            self.needs_confirmation.store(true, Ordering::Relaxed);
        }
        self.is_unsettled.store(is_unsettled, Ordering::Relaxed);
    }

    /// Returns whether the store may lack a plan that it had accepted. No instance has a more recent confirmation then.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        self.is_unsettled.load(Ordering::Relaxed)
    }

    /// Records that a plan of this version is in force here or at another instance.
    pub fn record_version(&self, version: u64) {
        self.newest_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the newest recorded version; zero before the first one.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        self.newest_version.load(Ordering::Relaxed)
    }

    /// Returns the time since the latest confirmation. Before the first one it is the time since the start of the process,
    /// or a day if the plan comes from a store that may lack a newer one.
    #[must_use]
    pub fn age(&self, now: MonotonicTime) -> Duration {
        let confirmed_at = self.confirmed_at.get();
        let is_unconfirmed = confirmed_at == MonotonicTime::default();
        if is_unconfirmed && self.needs_confirmation.load(Ordering::Relaxed) {
            UNCONFIRMED_AGE
        } else {
            now.since(confirmed_at)
        }
    }

    /// Returns whether requests with an access key may be served. `withdrawal_bound` is the time within which a
    /// withdrawn key must stop working.
    #[must_use]
    pub fn allows_keys(&self, now: MonotonicTime, withdrawal_bound: Duration) -> bool {
        self.age(now) + MAX_WATCH_DELAY + NETWORK_DELAY_ALLOWANCE < withdrawal_bound
    }

    /// Returns whether the store may hold a newer plan than the active one: another instance has a newer version, the store
    /// is down for all or has returned from an older copy, or the active plan was not confirmed within `change_bound`, the time within which a change must be
    /// in force. A route or an access key that the active plan lacks may then exist.
    #[must_use]
    pub fn may_be_outdated(
        &self,
        active_version: u64,
        now: MonotonicTime,
        change_bound: Duration,
    ) -> bool {
        self.newest_version() > active_version
            || self.is_outage(now)
            || self.is_unsettled()
            || self.age(now) > change_bound.max(CONFIRMATION_PERIOD)
    }
}
