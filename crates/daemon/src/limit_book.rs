//! The limits of the ledger by name, so that they outlive a generation of the configuration.

use std::collections::HashMap;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    LimitKey, LoanLedger, LoanPeer, RateAmount, RateLimitKey, SlotLimitKey, split_rate, split_slots,
};
use coltsfootkeel_model::{DomainKey, FleetConfig, SeatKey, ShiftCap};
use coltsfootkeel_protocol::LimitKind;

/// Milli-tokens in one token.
const MILLI: i64 = 1_000;

/// A rate cap of a shift allows a burst of this part of a second, because the destination may be cold.
const SHIFT_BURST_PARTS: u64 = 5;

/// The name of a limit as messages carry it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LimitName {
    /// What the limit is of.
    pub kind: LimitKind,
    /// The name of the account, upstream or shift.
    pub name: String,
}

impl LimitName {
    /// Makes a name.
    #[must_use]
    pub fn new(kind: LimitKind, name: &str) -> Self {
        Self {
            kind,
            name: name.to_string(),
        }
    }
}

/// The limits of the ledger by name.
#[derive(Debug, Default)]
pub struct LimitBook {
    keys: HashMap<LimitName, LimitKey>,
    names: HashMap<LimitKey, LimitName>,
}

impl LimitBook {
    /// Returns the key of a limit.
    #[must_use]
    pub fn key(&self, name: &LimitName) -> Option<LimitKey> {
        self.keys.get(name).copied()
    }

    /// Returns the name of a limit.
    #[must_use]
    pub fn name(&self, key: LimitKey) -> Option<&LimitName> {
        self.names.get(&key)
    }

    /// Iterates over all limits.
    pub fn iter(&self) -> impl Iterator<Item = (&LimitName, LimitKey)> {
        self.keys.iter().map(|(name, key)| (name, *key))
    }

    /// Returns the rate limit of this name, and makes it if it is new.
    pub fn rate(
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

    /// Returns the slot limit of this name, and makes it if it is new.
    pub fn slots(
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

    /// Sets the shares of `seat` for all limits of a configuration. Limits that are gone get none.
    pub fn set_shares(
        &mut self,
        config: &FleetConfig,
        seat: Option<SeatKey>,
        ledger: &mut LoanLedger,
        now: MonotonicTime,
    ) {
        self.clear_shares(ledger);
        for (_, account) in config.accounts.iter() {
            let total = RateAmount {
                rate: milli(account.rate_per_s),
                burst: milli(account.burst),
            };
            let name = LimitName::new(LimitKind::AccountRate, &account.name);
            self.set_rate(config, seat, name, total, ledger, now);
        }
        for (_, shift) in config.shifts.iter() {
            if let ShiftCap::Rate(rate_per_s) = shift.cap {
                let total = RateAmount {
                    rate: milli(rate_per_s),
                    burst: milli(rate_per_s.div_ceil(SHIFT_BURST_PARTS)),
                };
                let name = LimitName::new(LimitKind::ShiftRate, &shift.name);
                self.set_rate(config, seat, name, total, ledger, now);
            }
        }
        for (_, upstream) in config.upstreams.iter() {
            let name = LimitName::new(LimitKind::UpstreamSlots, &upstream.name);
            let holders = &config.domains[upstream.domain].seats;
            let shares = split_slots(upstream.slots, holders.len(), &upstream.name);
            let share = position_of(holders, seat).map_or(0, |position| shares[position]);
            let key = self.slots(name, ledger, now);
            ledger.set_slot_share(key, upstream.slots, share);
        }
    }

    /// Sets whom to ask for slots: the instances in the upstream's own failure domain hold them.
    pub fn set_slot_lenders(
        &self,
        config: &FleetConfig,
        ledger: &mut LoanLedger,
        peers_in: impl Fn(DomainKey) -> Vec<LoanPeer>,
    ) {
        for (_, upstream) in config.upstreams.iter() {
            let name = LimitName::new(LimitKind::UpstreamSlots, &upstream.name);
            if let Some(LimitKey::Slots(key)) = self.key(&name) {
                ledger.set_slot_lenders(key, peers_in(upstream.domain));
            }
        }
    }

    fn set_rate(
        &mut self,
        config: &FleetConfig,
        seat: Option<SeatKey>,
        name: LimitName,
        total: RateAmount,
        ledger: &mut LoanLedger,
        now: MonotonicTime,
    ) {
        let seats: Vec<SeatKey> = config.seats.keys().collect();
        let shares = split_rate(total, seats.len(), &name.name);
        let share =
            position_of(&seats, seat).map_or_else(RateAmount::default, |position| shares[position]);
        let key = self.rate(name, ledger, now);
        ledger.set_rate_share(key, total, share);
    }

    fn clear_shares(&self, ledger: &mut LoanLedger) {
        for (_, key) in self.iter() {
            match key {
                LimitKey::Rate(key) => {
                    ledger.set_rate_share(key, RateAmount::default(), RateAmount::default());
                }
                LimitKey::Slots(key) => ledger.set_slot_share(key, 0, 0),
            }
        }
    }

    fn insert(&mut self, name: LimitName, key: LimitKey) {
        self.keys.insert(name.clone(), key);
        self.names.insert(key, name);
    }
}

fn position_of(seats: &[SeatKey], seat: Option<SeatKey>) -> Option<usize> {
    seats.iter().position(|known| Some(*known) == seat)
}

fn milli(tokens: u64) -> i64 {
    i64::try_from(tokens)
        .unwrap_or(i64::MAX / MILLI)
        .saturating_mul(MILLI)
}
