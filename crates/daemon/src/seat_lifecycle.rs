//! The seat of this instance: claims one, keeps it confirmed and gives it up.

use std::collections::BTreeMap;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    ClaimStep, SeatCandidate, SeatClaim, SeatHolder, SeatRecordState, claim_order,
};
use coltsfootkeel_model::FleetConfig;
use coltsfootkeel_platform::StoredSeat;

/// A seat that this instance holds.
#[derive(Debug)]
pub struct HeldSeat {
    /// The name.
    pub name: String,
    /// What the platform holds.
    pub stored: StoredSeat,
    /// Whether the seat may be used.
    pub holder: SeatHolder,
    /// When the platform or the peers were last last_confirmation_request to confirm it.
    pub last_confirmation_request: Option<MonotonicTime>,
}

/// A seat that this instance tries to claim.
#[derive(Debug)]
pub struct PendingClaim {
    /// The name.
    pub name: String,
    /// What the platform held before.
    pub stored: StoredSeat,
    /// Whether the former holder released it when no request of its slots was running anywhere.
    pub is_settled: bool,
    /// How far the claim has come.
    pub claim: SeatClaim,
}

/// Where this instance stands.
#[derive(Debug)]
enum SeatPhase {
    /// It has no seat.
    NoSeat,
    /// It reads the seats of the configuration.
    Reading {
        expected: usize,
        read: BTreeMap<String, StoredSeat>,
    },
    /// It claims a seat.
    Claiming(Box<PendingClaim>),
    /// It holds a seat.
    Holding(Box<HeldSeat>),
}

/// Facts about this instance that decide which seat it claims.
#[derive(Debug, Clone, Copy)]
pub struct SeatClaimant<'a> {
    /// The name of the instance.
    pub instance: &'a str,
    /// The address peers use.
    pub peer_address: std::net::SocketAddr,
    /// Its failure domain.
    pub failure_domain: &'a str,
}

/// The seat of this instance, as the control thread knows it.
#[derive(Debug)]
pub struct SeatLifecycle {
    phase: SeatPhase,
}

impl SeatLifecycle {
    /// Makes the keeper of an instance without a seat.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: SeatPhase::NoSeat,
        }
    }

    /// Returns the seat held.
    #[must_use]
    pub fn held(&self) -> Option<&HeldSeat> {
        match &self.phase {
            SeatPhase::Holding(held) => Some(held),
            _ => None,
        }
    }

    /// Returns the seat held, to be changed.
    pub fn held_mut(&mut self) -> Option<&mut HeldSeat> {
        match &mut self.phase {
            SeatPhase::Holding(held) => Some(held),
            _ => None,
        }
    }

    /// Returns the seat being pending.
    #[must_use]
    pub fn pending_claim(&self) -> Option<&PendingClaim> {
        match &self.phase {
            SeatPhase::Claiming(pending) => Some(pending),
            _ => None,
        }
    }

    /// Returns the seat being pending, to be changed.
    pub fn pending_claim_mut(&mut self) -> Option<&mut PendingClaim> {
        match &mut self.phase {
            SeatPhase::Claiming(pending) => Some(pending),
            _ => None,
        }
    }

    /// Returns the seats to read now: all of them, if this instance has none and does not seek one yet.
    #[must_use]
    pub fn start_reading(&mut self, config: &FleetConfig) -> Vec<String> {
        if !matches!(self.phase, SeatPhase::NoSeat) {
            return Vec::new();
        }
        let names: Vec<String> = config
            .seats
            .iter()
            .map(|(_, seat)| seat.name.clone())
            .collect();
        self.phase = SeatPhase::Reading {
            expected: names.len(),
            read: BTreeMap::new(),
        };
        names
    }

    /// Takes in a seat that was read, and starts a claim when all have been read.
    ///
    /// `is_live` tells whether the holder with an incarnation was heard lately.
    pub fn handle_read(
        &mut self,
        name: String,
        stored: StoredSeat,
        config: &FleetConfig,
        claimant: SeatClaimant<'_>,
        is_live: impl Fn(u64) -> bool,
        now: MonotonicTime,
    ) {
        let SeatPhase::Reading { expected, read } = &mut self.phase else {
            return;
        };
        read.insert(name, stored);
        if read.len() < *expected {
            return;
        }
        let read = std::mem::take(read);
        self.phase = match choose_seat(&read, config, claimant, is_live) {
            Some(name) => {
                let stored = read[&name].clone();
                let state = record_state(&stored, claimant);
                let holder = stored.occupancy.holder.as_ref();
                let is_same =
                    holder.is_some_and(|holder| holder.failure_domain == claimant.failure_domain);
                SeatPhase::Claiming(Box::new(PendingClaim {
                    claim: SeatClaim::new(state, is_same, now),
                    is_settled: holder.is_none() && stored.occupancy.settled,
                    name,
                    stored,
                }))
            }
            None => SeatPhase::NoSeat,
        };
    }

    /// Starts anew after a read, a claim or a seat was lost.
    pub fn reset(&mut self) {
        self.phase = SeatPhase::NoSeat;
    }

    /// Records that a claim took effect for which the update was sent at `sent`.
    pub fn set_held(&mut self, name: String, stored: StoredSeat, sent: MonotonicTime) {
        self.phase = SeatPhase::Holding(Box::new(HeldSeat {
            holder: SeatHolder::new(sent),
            name,
            stored,
            last_confirmation_request: None,
        }));
    }

    /// Gives up the seat and returns it.
    pub fn release(&mut self) -> Option<HeldSeat> {
        match std::mem::replace(&mut self.phase, SeatPhase::NoSeat) {
            SeatPhase::Holding(mut held) => {
                held.holder.release();
                Some(*held)
            }
            _ => None,
        }
    }

    /// Returns the next step of a claim.
    pub fn claim_step(&mut self, now: MonotonicTime) -> Option<ClaimStep> {
        self.pending_claim_mut()
            .map(|pending| pending.claim.step(now))
    }

    /// Notes that an instance was heard which holds `seats` or has this incarnation.
    ///
    /// A claim of a seat whose holder lives would wait for ever, so another seat is sought, unless an update is on its
    /// way whose outcome decides.
    pub fn record_contact(&mut self, incarnation: u64, seats: &[String], now: MonotonicTime) {
        let Some(pending) = self.pending_claim_mut() else {
            return;
        };
        let holder = pending.stored.occupancy.holder.as_ref();
        let is_holder = holder.is_some_and(|holder| holder.incarnation == incarnation);
        if !is_holder && !seats.contains(&pending.name) {
            return;
        }
        pending.claim.record_holder_message(now);
        if !pending.claim.is_claiming() {
            self.reset();
        }
    }
}

/// A former start of this instance at the same address cannot live: its listeners would hold the ports.
fn record_state(stored: &StoredSeat, claimant: SeatClaimant<'_>) -> SeatRecordState {
    match &stored.occupancy.holder {
        None if stored.occupancy.epoch == 0 => SeatRecordState::Unused,
        None => SeatRecordState::Released,
        Some(holder)
            if holder.instance == claimant.instance
                && holder.peer_address == claimant.peer_address =>
        {
            SeatRecordState::Released
        }
        Some(_) => SeatRecordState::Held,
    }
}

fn choose_seat(
    read: &BTreeMap<String, StoredSeat>,
    config: &FleetConfig,
    claimant: SeatClaimant<'_>,
    is_live: impl Fn(u64) -> bool,
) -> Option<String> {
    let mut candidates = Vec::new();
    for (key, seat) in config.seats.iter() {
        let Some(stored) = read.get(&seat.name) else {
            continue;
        };
        let holder = stored.occupancy.holder.as_ref();
        if holder.is_some_and(|holder| is_live(holder.incarnation)) {
            continue;
        }
        candidates.push(SeatCandidate {
            seat: key,
            state: record_state(stored, claimant),
            is_own_domain: config.domains[seat.domain].name == claimant.failure_domain,
        });
    }
    let first = claim_order(&candidates).into_iter().next()?;
    Some(config.seats[first].name.clone())
}
