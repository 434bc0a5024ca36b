//! The lease of a seat. A seat is a named partition of all limits; at most one instance holds it at
//! a time and uses its shares. This module decides whether the holder may still use them.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::Incarnation;

/// How long a holder must be silent before another instance may claim its seat.
pub const SEAT_LEASE: Duration = Duration::from_secs(6);

/// After a longer gap between ticks, the seat must be confirmed before its shares are used again.
/// Half the lease leaves a margin for clock drift and for messages in transit.
const MAX_TICK_GAP: Duration = Duration::from_secs(3);

/// How long the holder waits for further instances after all known peers have answered: a heartbeat
/// interval and two one-way latencies between regions. An instance that started during the gap or
/// the partition sends its first heartbeat within this time and must answer too.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Whether the holder may use the shares of its seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// The holder may use the shares.
    Holding,
    /// The holder must not use the shares until the seat is confirmed.
    Unconfirmed,
    /// Another instance holds the seat, or this one has released it.
    Lost,
}

#[derive(Debug)]
struct Confirmation {
    round: u64,
    confirmed_by: BTreeSet<Incarnation>,
    /// Since when all known instances have answered.
    complete_since: Option<MonotonicTime>,
}

/// State of an instance that holds a seat, which is a lease on a partition of all limits.
#[derive(Debug)]
pub struct SeatHolder {
    ticked_at: MonotonicTime,
    /// The instances that must all answer a probe to confirm the seat without the platform.
    known: BTreeSet<Incarnation>,
    /// The number of the last confirmation that was started.
    round: u64,
    confirmation: Option<Confirmation>,
    is_lost: bool,
}

impl SeatHolder {
    /// Starts to hold a seat. `sent` is when the update of the seat's object was sent.
    #[must_use]
    pub fn new(sent: MonotonicTime) -> Self {
        Self {
            ticked_at: sent,
            known: BTreeSet::new(),
            round: 0,
            confirmation: None,
            is_lost: false,
        }
    }

    /// Requires a confirmation if the gap since the last tick was too long, and returns the state.
    /// The control thread calls this on each tick before the ledger's tick.
    pub fn tick(&mut self, now: MonotonicTime) -> HolderState {
        if now.since(self.ticked_at) > MAX_TICK_GAP {
            self.begin_confirmation();
        }
        self.ticked_at = now;
        self.confirm_by_peers(now);
        self.state()
    }

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> HolderState {
        match self.confirmation {
            _ if self.is_lost => HolderState::Lost,
            Some(_) => HolderState::Unconfirmed,
            None => HolderState::Holding,
        }
    }

    /// Returns the number of the pending confirmation, or `None` if none is needed. Probes and
    /// rewrites of the seat's object carry it, because an answer to one that was sent before the
    /// gap is no evidence.
    #[must_use]
    pub fn pending_round(&self) -> Option<u64> {
        self.confirmation.as_ref().map(|pending| pending.round)
    }

    /// Sets the instances that are or may be live. The daemon calls this after
    /// [`tick`](Self::tick).
    ///
    /// While a confirmation is pending, no instance is removed: one that stopped during the gap may
    /// have sent an update that takes effect later, so only the platform can confirm the seat
    /// without its answer.
    pub fn set_known_instances(&mut self, known: BTreeSet<Incarnation>) {
        if self.confirmation.is_some() {
            self.known.extend(known);
        } else {
            self.known = known;
        }
    }

    /// Handles the answer of a peer to a probe of `round`.
    ///
    /// A claim may still fail, so an answer that reports one suspends the holder, and only the
    /// platform decides whether the seat is lost.
    pub fn handle_answer(&mut self, peer: Incarnation, round: u64, is_claimed: bool) {
        if is_claimed && self.confirmation.is_none() {
            self.begin_confirmation();
        }
        let Some(pending) = &mut self.confirmation else {
            return;
        };
        if is_claimed {
            pending.confirmed_by.remove(&peer);
        } else if pending.round == round {
            pending.confirmed_by.insert(peer);
        }
    }

    /// Handles the outcome of a conditional rewrite of the seat's object that was sent for `round`.
    /// `is_own` states whether the object names this instance as the holder after the rewrite.
    ///
    /// Reading the object would not be enough: an update of a claimant may be in transit to the
    /// platform and take effect after the read. The rewrite changes the object's version, so such
    /// an update fails.
    pub fn handle_rewrite(&mut self, round: u64, is_own: bool) {
        if !is_own {
            self.is_lost = true;
        }
        if is_own && self.pending_round() == Some(round) {
            self.confirmation = None;
        }
    }

    /// Marks the seat as lost. Called before the release is sent to the platform.
    pub fn release(&mut self) {
        self.is_lost = true;
    }

    fn begin_confirmation(&mut self) {
        self.round += 1;
        self.confirmation = Some(Confirmation {
            round: self.round,
            confirmed_by: BTreeSet::new(),
            complete_since: None,
        });
    }

    fn confirm_by_peers(&mut self, now: MonotonicTime) {
        let Some(pending) = &mut self.confirmation else {
            return;
        };
        // Without any known peer there is no evidence, and only the platform can confirm the seat.
        let is_complete = !self.known.is_empty() && self.known.is_subset(&pending.confirmed_by);
        if !is_complete {
            pending.complete_since = None;
            return;
        }
        let complete_since = *pending.complete_since.get_or_insert(now);
        if now.since(complete_since) >= DISCOVERY_TIME {
            self.confirmation = None;
        }
    }
}
