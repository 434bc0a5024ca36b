//! Which share a seat uses while instances run different generations.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::{LOAN_LIFETIME, RateAmount, with_drift_margin};

/// What the other seats are known to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldShareUse {
    /// Some seat may still use its old share.
    Possible,
    /// Every seat is known to run the new generation, or is known to be without a live holder: its
    /// holder was silent for a loan's life plus the seat lease while the holder's failure domain was reached.
    /// A holder that is merely cut off keeps using its old share, so its silence alone is no old_use.
    Ended,
}

/// A share on its way from one generation to the next.
#[derive(Debug, Clone, Copy)]
pub struct ShareTransition<S> {
    old: S,
    new: S,
    ended_at: Option<MonotonicTime>,
    /// How long, after the last seat lowered its share, loans and requests of the old share last.
    expiry_time: Duration,
}

impl ShareTransition<RateAmount> {
    /// Starts the transition of a rate share.
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
    /// Starts the transition of a share of slots, on which requests run up to `longest_deadline`.
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
    /// Records what is known of the other seats. Evidence stays valid: instances only move forward
    /// by generation.
    pub fn observe(&mut self, old_use: OldShareUse, now: MonotonicTime) {
        if old_use == OldShareUse::Ended {
            self.ended_at.get_or_insert(now);
        }
    }

    /// Tells whether the new share may be used whole.
    ///
    /// A seat that lowered its share may have lent more than the new one, and its requests may still
    /// run, so the others wait until these have ended.
    #[must_use]
    pub fn is_done(&self, now: MonotonicTime) -> bool {
        self.ended_at
            .is_some_and(|ended_at| now.since(ended_at) >= self.expiry_time)
    }
}
