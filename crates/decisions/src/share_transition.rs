//! The share that a seat uses while instances run different configuration generations.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::{LOAN_LIFETIME, RateAmount, with_drift_margin};

/// Whether another seat may still use its share of the former generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldShareUse {
    /// Some seat may still use its old share.
    Possible,
    /// Every seat is known to run the new generation, or to have no live holder: its holder was
    /// silent for the lifetime of a loan plus the seat lease while the holder's failure domain was
    /// reachable. A holder that is merely cut off keeps using its old share, so its silence alone
    /// is no evidence.
    Ended,
}

/// Changes a share from one generation to the next without exceeding the limit in between: until
/// all other seats have stopped using their old shares, the smaller of both shares applies.
#[derive(Debug, Clone, Copy)]
pub struct ShareTransition<S> {
    old: S,
    new: S,
    ended_at: Option<MonotonicTime>,
    /// How long loans and requests of the old share may last after the last seat has lowered its
    /// share.
    expiry_time: Duration,
}

impl ShareTransition<RateAmount> {
    /// Starts the transition of a share of a rate limit.
    #[must_use]
    pub fn of_rate(old: RateAmount, new: RateAmount) -> Self {
        Self {
            old,
            new,
            ended_at: None,
            expiry_time: with_drift_margin(LOAN_LIFETIME),
        }
    }

    /// Returns the share to use at `now`.
    #[must_use]
    pub fn share(&self, now: MonotonicTime) -> RateAmount {
        if self.is_done(now) {
            self.new
        } else {
            self.old.at_most(self.new)
        }
    }
}

impl ShareTransition<u32> {
    /// Starts the transition of a share of slots, on which requests run for up to
    /// `longest_deadline`.
    #[must_use]
    pub fn of_slots(old: u32, new: u32, longest_deadline: Duration) -> Self {
        Self {
            old,
            new,
            ended_at: None,
            expiry_time: with_drift_margin(LOAN_LIFETIME + longest_deadline),
        }
    }

    /// Returns the share to use at `now`.
    #[must_use]
    pub fn share(&self, now: MonotonicTime) -> u32 {
        if self.is_done(now) {
            self.new
        } else {
            self.old.min(self.new)
        }
    }
}

impl<S> ShareTransition<S> {
    /// Records whether the other seats may still use their old shares. A use that has ended never
    /// becomes possible again, because instances never return to an earlier generation.
    pub fn observe(&mut self, old_use: OldShareUse, now: MonotonicTime) {
        if old_use == OldShareUse::Ended {
            self.ended_at.get_or_insert(now);
        }
    }

    /// Returns whether the complete new share may be used.
    ///
    /// A seat that lowered its share may have lent more than its new share, and its requests may
    /// still run, so the others wait until these have ended.
    #[must_use]
    pub fn is_done(&self, now: MonotonicTime) -> bool {
        self.ended_at
            .is_some_and(|ended_at| now.since(ended_at) >= self.expiry_time)
    }
}
