//! The shares of limits that this instance's seat has, and their transitions when the list of seats changes.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    LoanLedger, OldShareUse, RateAmount, RateLimitKey, ShareTransition, SlotLimitKey,
};
use coltsfootkeel_model::FleetConfig;

/// The total of a rate limit and the share of one seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateShare {
    /// The total of the limit, which the seats share.
    pub total: RateAmount,
    /// The share of this instance's seat; zero without a seat.
    pub share: RateAmount,
}

/// The slots of an upstream and the share of one seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotShare {
    /// The number of slots of the upstream.
    pub total: u32,
    /// The number of slots of this instance's seat; zero without a seat.
    pub share: u32,
}

/// A seat and its failure domain, by name, because keys are valid for one configuration generation only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeatLocation {
    /// The name of the seat.
    pub seat: String,
    /// The name of the failure domain of the seat.
    pub failure_domain: String,
}

/// Returns the seats of a configuration with their failure domains.
#[must_use]
pub fn seat_locations(config: &FleetConfig) -> Vec<SeatLocation> {
    let seats = config.seats.iter();
    seats
        .map(|(_, seat)| SeatLocation {
            seat: seat.name.clone(),
            failure_domain: config.domains[seat.domain].name.clone(),
        })
        .collect()
}

/// The shares of one seat in all limits of one configuration generation.
#[derive(Debug, Clone, Default)]
pub struct SeatShares {
    /// The shares of rate limits.
    pub rates: HashMap<RateLimitKey, RateShare>,
    /// The shares of slot limits.
    pub slots: HashMap<SlotLimitKey, SlotShare>,
}

/// Whether a change of shares is delayed until the other seats have changed theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareChange {
    /// The change applies immediately. Either the list of seats is the same, so that the shares of all seats rise or
    /// fall together, or this instance has claimed or lost its seat. A claimed seat stays unused for the grace period
    /// of the ledger.
    Immediate,
    /// The list of seats changed, so some shares rise while others fall. A share that rises must wait until the others
    /// have fallen.
    SeatListChanged,
}

/// A transition of a share and the total that it belongs to.
#[derive(Debug)]
struct PendingShare<T, S> {
    total: T,
    transition: ShareTransition<S>,
}

/// The shares of the configuration in force, and those whose transition has not ended.
#[derive(Debug, Default)]
pub struct ShareTable {
    current: SeatShares,
    pending_rates: HashMap<RateLimitKey, PendingShare<RateAmount, RateAmount>>,
    pending_slots: HashMap<SlotLimitKey, PendingShare<u32, u32>>,
}

impl ShareTable {
    /// Sets the shares of a new configuration or seat. Limits that are not in `shares` get a total and a share of zero.
    pub fn set(
        &mut self,
        shares: SeatShares,
        change: ShareChange,
        longest_deadline: Duration,
        ledger: &mut LoanLedger,
    ) {
        self.clear_removed_limits(&shares, ledger);
        for (key, new) in &shares.rates {
            let old = self
                .current
                .rates
                .get(key)
                .map_or_else(RateAmount::default, |old| old.share);
            self.pending_rates.remove(key);
            if change == ShareChange::SeatListChanged && old != new.share {
                let transition = ShareTransition::of_rate(old, new.share);
                let total = new.total;
                self.pending_rates
                    .insert(*key, PendingShare { total, transition });
                ledger.set_rate_share(*key, total, old.at_most(new.share));
            } else {
                ledger.set_rate_share(*key, new.total, new.share);
            }
        }
        for (key, new) in &shares.slots {
            let old = self.current.slots.get(key).map_or(0, |old| old.share);
            self.pending_slots.remove(key);
            if change == ShareChange::SeatListChanged && old != new.share {
                let transition = ShareTransition::of_slots(old, new.share, longest_deadline);
                let total = new.total;
                self.pending_slots
                    .insert(*key, PendingShare { total, transition });
                ledger.set_slot_share(*key, total, old.min(new.share));
            } else {
                ledger.set_slot_share(*key, new.total, new.share);
            }
        }
        self.current = shares;
    }

    /// Returns whether the transition of a share has not ended.
    #[must_use]
    pub fn has_pending_shares(&self) -> bool {
        !self.pending_rates.is_empty() || !self.pending_slots.is_empty()
    }

    /// Advances all transitions by `share_use`, the use of old shares at the other seats. Called once a second while
    /// there are transitions.
    pub fn advance(&mut self, share_use: OldShareUse, ledger: &mut LoanLedger, now: MonotonicTime) {
        self.pending_rates.retain(|key, pending| {
            pending.transition.observe(share_use, now);
            ledger.set_rate_share(*key, pending.total, pending.transition.share(now));
            !pending.transition.is_done(now)
        });
        self.pending_slots.retain(|key, pending| {
            pending.transition.observe(share_use, now);
            ledger.set_slot_share(*key, pending.total, pending.transition.share(now));
            !pending.transition.is_done(now)
        });
    }

    fn clear_removed_limits(&mut self, shares: &SeatShares, ledger: &mut LoanLedger) {
        for key in self
            .current
            .rates
            .keys()
            .filter(|key| !shares.rates.contains_key(key))
        {
            ledger.set_rate_share(*key, RateAmount::default(), RateAmount::default());
            self.pending_rates.remove(key);
        }
        for key in self
            .current
            .slots
            .keys()
            .filter(|key| !shares.slots.contains_key(key))
        {
            ledger.set_slot_share(*key, 0, 0);
            self.pending_slots.remove(key);
        }
    }
}
