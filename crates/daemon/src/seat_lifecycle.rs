//! State machine for the seat of this instance: reading the seats, claiming one, holding it and releasing it.

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
    /// The name of the seat.
    pub name: String,
    /// The state of the seat on the platform after this instance's last update.
    pub stored: StoredSeat,
    /// Decides whether the shares of the seat may be used.
    pub holder: SeatHolder,
    /// When a confirmation was last requested from the platform and the peers; `None` if none was.
    pub last_confirmation_request: Option<MonotonicTime>,
}

/// A seat that this instance tries to claim.
#[derive(Debug)]
pub struct PendingClaim {
    /// The name of the seat.
    pub name: String,
    /// The state of the seat on the platform: as it was read, or after the update of the claim.
    pub stored: StoredSeat,
    /// Whether the former holder released the seat when no request was running on its slots at any instance.
    pub is_settled: bool,
    /// The progress of the claim.
    pub claim: SeatClaim,
}

#[derive(Debug)]
enum SeatPhase {
    NoSeat,
    /// The seats of the configuration are being read. `expected` is their number, and `stored_seats` holds those that
    /// have been read, by name.
    Reading {
        expected: usize,
        stored_seats: BTreeMap<String, StoredSeat>,
    },
    Claiming(Box<PendingClaim>),
    Holding(Box<HeldSeat>),
}

/// The properties of this instance that determine which seat it claims.
#[derive(Debug, Clone, Copy)]
pub struct SeatClaimant<'a> {
    /// The name of the instance.
    pub instance: &'a str,
    /// The address on which the instance accepts peers.
    pub peer_address: std::net::SocketAddr,
    /// The name of the failure domain of the instance.
    pub failure_domain: &'a str,
}

/// The phase of this instance, from no seat to a held one, with the seat that it claims or holds.
#[derive(Debug)]
pub struct SeatLifecycle {
    phase: SeatPhase,
}

impl SeatLifecycle {
    /// Creates the state of an instance without a seat.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: SeatPhase::NoSeat,
        }
    }

    /// Returns the held seat, or `None` if none is held.
    #[must_use]
    pub fn held(&self) -> Option<&HeldSeat> {
        match &self.phase {
            SeatPhase::Holding(held) => Some(held),
            _ => None,
        }
    }

    /// Returns the held seat for changes, or `None` if none is held.
    pub fn held_mut(&mut self) -> Option<&mut HeldSeat> {
        match &mut self.phase {
            SeatPhase::Holding(held) => Some(held),
            _ => None,
        }
    }

    /// Returns the claim in progress, or `None` if there is none.
    #[must_use]
    pub fn pending_claim(&self) -> Option<&PendingClaim> {
        match &self.phase {
            SeatPhase::Claiming(pending) => Some(pending),
            _ => None,
        }
    }

    /// Returns the claim in progress for changes, or `None` if there is none.
    pub fn pending_claim_mut(&mut self) -> Option<&mut PendingClaim> {
        match &mut self.phase {
            SeatPhase::Claiming(pending) => Some(pending),
            _ => None,
        }
    }

    /// Starts to read the seats if this instance has none and is not reading or claiming already. Returns the names of
    /// the seats to read; none if there is nothing to do.
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
            stored_seats: BTreeMap::new(),
        };
        names
    }

    /// Records a seat that was read, and starts a claim once all seats have been read.
    ///
    /// `is_live` returns whether heartbeats arrive from the instance with an incarnation; a seat with such a holder is
    /// not claimed.
    pub fn handle_read(
        &mut self,
        name: String,
        stored: StoredSeat,
        config: &FleetConfig,
        claimant: SeatClaimant<'_>,
        is_live: impl Fn(u64) -> bool,
        now: MonotonicTime,
    ) {
        let SeatPhase::Reading {
            expected,
            stored_seats,
        } = &mut self.phase
        else {
            return;
        };
        stored_seats.insert(name, stored);
        if stored_seats.len() < *expected {
            return;
        }
        let stored_seats = std::mem::take(stored_seats);
        self.phase = match choose_seat(&stored_seats, config, claimant, is_live) {
            Some(name) => {
                let stored = stored_seats[&name].clone();
                let state = record_state(&stored, claimant);
                let holder = stored.occupancy.holder.as_ref();
                let is_same_domain =
                    holder.is_some_and(|holder| holder.failure_domain == claimant.failure_domain);
                SeatPhase::Claiming(Box::new(PendingClaim {
                    claim: SeatClaim::new(state, is_same_domain, now),
                    is_settled: holder.is_none() && stored.occupancy.settled,
                    name,
                    stored,
                }))
            }
            None => SeatPhase::NoSeat,
        };
    }

    /// Returns to the state without a seat, after a read or a claim has failed or the seat was lost.
    pub fn reset(&mut self) {
        self.phase = SeatPhase::NoSeat;
    }

    /// Records that this instance holds a seat after a claim whose update was sent at `sent`.
    pub fn set_held(&mut self, name: String, stored: StoredSeat, sent: MonotonicTime) {
        self.phase = SeatPhase::Holding(Box::new(HeldSeat {
            holder: SeatHolder::new(sent),
            name,
            stored,
            last_confirmation_request: None,
        }));
    }

    /// Changes to the state without a seat. Returns the seat that was held, marked as released, or `None` if none was.
    pub fn release(&mut self) -> Option<HeldSeat> {
        match std::mem::replace(&mut self.phase, SeatPhase::NoSeat) {
            SeatPhase::Holding(mut held) => {
                held.holder.release();
                Some(*held)
            }
            _ => None,
        }
    }

    /// Returns the next step of the claim in progress, or `None` if there is none.
    pub fn claim_step(&mut self, now: MonotonicTime) -> Option<ClaimStep> {
        self.pending_claim_mut()
            .map(|pending| pending.claim.step(now))
    }

    /// Records a message from the instance with this incarnation, which holds `seats`.
    ///
    /// A claim of a seat whose holder is live would never succeed, so it is dropped and the search for a seat starts
    /// again. Once the update has been sent, its outcome decides instead.
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

/// Returns the state of a seat for this claimant. A seat held by an earlier incarnation of this instance at the same
/// address counts as released: that process has stopped, or its listeners would occupy the ports.
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

/// Returns the name of the first seat to claim, or `None` if every seat has a live holder.
fn choose_seat(
    stored_seats: &BTreeMap<String, StoredSeat>,
    config: &FleetConfig,
    claimant: SeatClaimant<'_>,
    is_live: impl Fn(u64) -> bool,
) -> Option<String> {
    let mut candidates = Vec::new();
    for (key, seat) in config.seats.iter() {
        let Some(stored) = stored_seats.get(&seat.name) else {
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
