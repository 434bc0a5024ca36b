//! The limits of the ledger by name, so that they are retained across configuration generations.

use std::collections::HashMap;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    LimitKey, LoanLedger, LoanPeer, RateAmount, RateLimitKey, SlotLimitKey, split_rate, split_slots,
};
use coltsfootkeel_model::{DomainKey, FleetConfig, SeatKey, ShiftCap};
use coltsfootkeel_protocol::LimitKind;

use crate::share_table::{RateShare, SeatShares, SlotShare};

/// Thousandths in one token, the unit of rates and bursts.
const MILLI_PER_TOKEN: i64 = 1_000;

/// The burst of a shift with a rate cap is its rate divided by this number, which is 200 ms of the rate. The burst is
/// small because the upstreams at the destination may not be warmed up.
const SHIFT_BURST_DIVISOR: u64 = 5;

/// Identifies a limit in messages between instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LimitName {
    /// The kind of object that the limit applies to.
    pub kind: LimitKind,
    /// The name of the client account, upstream or shift.
    pub name: String,
}

impl LimitName {
    /// Creates the name of a limit.
    #[must_use]
    pub fn new(kind: LimitKind, name: &str) -> Self {
        Self {
            kind,
            name: name.to_string(),
        }
    }
}

/// Maps the names of limits to their keys in the ledger and back.
#[derive(Debug, Default)]
pub struct LimitRegistry {
    keys: HashMap<LimitName, LimitKey>,
    names: HashMap<LimitKey, LimitName>,
}

impl LimitRegistry {
    /// Returns the key of the limit with this name, or `None` if there is none.
    #[must_use]
    pub fn key(&self, name: &LimitName) -> Option<LimitKey> {
        self.keys.get(name).copied()
    }

    /// Returns the name of the limit with this key, or `None` if the limit is not in the registry.
    #[must_use]
    pub fn name(&self, key: LimitKey) -> Option<&LimitName> {
        self.names.get(&key)
    }

    /// Returns the key of the rate limit with this name, and adds the limit to the ledger if it is new.
    pub fn rate_limit(
        &mut self,
        name: LimitName,
        ledger: &mut LoanLedger,
        now: MonotonicTime,
    ) -> RateLimitKey {
        if let Some(LimitKey::Rate(key)) = self.keys.get(&name) {
            return *key;
        }
        let key = ledger.add_rate_limit(now);
        self.insert(name, LimitKey::Rate(key));
        key
    }

    /// Returns the key of the slot limit with this name, and adds the limit to the ledger if it is new.
    pub fn slot_limit(
        &mut self,
        name: LimitName,
        ledger: &mut LoanLedger,
        now: MonotonicTime,
    ) -> SlotLimitKey {
        if let Some(LimitKey::Slots(key)) = self.keys.get(&name) {
            return *key;
        }
        let key = ledger.add_slot_limit(now);
        self.insert(name, LimitKey::Slots(key));
        key
    }

    /// Returns the shares of `seat` in all limits of a configuration, and adds new limits to the ledger. All shares are
    /// zero if `seat` is `None`. The share of the slots of an upstream is also zero if the seat is in another failure
    /// domain.
    pub fn seat_shares(
        &mut self,
        config: &FleetConfig,
        seat: Option<SeatKey>,
        ledger: &mut LoanLedger,
        now: MonotonicTime,
    ) -> SeatShares {
        let mut shares = SeatShares::default();
        let seats: Vec<SeatKey> = config.seats.keys().collect();
        for (name, total) in rate_totals(config) {
            let split = split_rate(total, seats.len(), &name.name);
            let share = position_of(&seats, seat)
                .map_or_else(RateAmount::default, |position| split[position]);
            let key = self.rate_limit(name, ledger, now);
            shares.rates.insert(key, RateShare { total, share });
        }
        for (_, upstream) in config.upstreams.iter() {
            let name = LimitName::new(LimitKind::UpstreamSlots, &upstream.name);
            let holders = &config.domains[upstream.domain].seats;
            let split = split_slots(upstream.slots, holders.len(), &upstream.name);
            let share = position_of(holders, seat).map_or(0, |position| split[position]);
            let key = self.slot_limit(name, ledger, now);
            let total = upstream.slots;
            shares.slots.insert(key, SlotShare { total, share });
        }
        shares
    }

    /// Sets the lenders of each slot limit to `lenders_in` the upstream's failure domain, whose seats share the slots.
    pub fn set_slot_lenders(
        &self,
        config: &FleetConfig,
        ledger: &mut LoanLedger,
        lenders_in: impl Fn(DomainKey) -> Vec<LoanPeer>,
    ) {
        for (_, upstream) in config.upstreams.iter() {
            let name = LimitName::new(LimitKind::UpstreamSlots, &upstream.name);
            if let Some(LimitKey::Slots(key)) = self.key(&name) {
                ledger.set_slot_lenders(key, lenders_in(upstream.domain));
            }
        }
    }

    fn insert(&mut self, name: LimitName, key: LimitKey) {
        self.keys.insert(name.clone(), key);
        self.names.insert(key, name);
    }
}

/// Returns the names and totals of all rate limits of a configuration.
fn rate_totals(config: &FleetConfig) -> Vec<(LimitName, RateAmount)> {
    let mut totals = Vec::new();
    for (_, account) in config.accounts.iter() {
        let total = RateAmount {
            rate: milli_tokens(account.rate_per_s),
            burst: milli_tokens(account.burst),
        };
        totals.push((LimitName::new(LimitKind::AccountRate, &account.name), total));
    }
    for (_, shift) in config.shifts.iter() {
        if let ShiftCap::Rate(rate_per_s) = shift.cap {
            let total = RateAmount {
                rate: milli_tokens(rate_per_s),
                burst: milli_tokens(rate_per_s.div_ceil(SHIFT_BURST_DIVISOR)),
            };
            totals.push((LimitName::new(LimitKind::ShiftRate, &shift.name), total));
        }
    }
    totals
}

fn position_of(seats: &[SeatKey], seat: Option<SeatKey>) -> Option<usize> {
    seats.iter().position(|candidate| Some(*candidate) == seat)
}

fn milli_tokens(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX / MILLI_PER_TOKEN)
        .saturating_mul(MILLI_PER_TOKEN)
}
