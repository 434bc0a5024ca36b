//! Whether an instance may claim a seat.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::{SPEND_LEASE, with_drift_margin};
use crate::seat_holder::SEAT_LEASE;

/// The time between two probes of a holder that does not answer.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a probe and its answer may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest gap between two observations of the claimant itself. After a longer one the claimant
/// may have missed answers, so the silence counts from anew.
const MAX_STEP_GAP: Duration = Duration::from_secs(1);

/// What a claimant knows of a seat from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatRecordState {
    /// Nobody has ever held it.
    Unused,
    /// Its last holder released it.
    Released,
    /// It has a holder, alive or not.
    Held,
}

/// A seat that could be claimed, for the order of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeatCandidate<K> {
    /// The seat.
    pub seat: K,
    /// What the platform says.
    pub state: SeatRecordState,
    /// Whether it is of the claimant's own failure domain.
    pub is_own_domain: bool,
}

/// Returns the seats in the order in which a daemon without a seat tries them: empty ones before
/// held ones, and within each those of its own failure domain first.
#[must_use]
pub fn claim_order<K: Copy>(offers: &[SeatCandidate<K>]) -> Vec<K> {
    let mut ordered: Vec<&SeatCandidate<K>> = offers.iter().collect();
    ordered.sort_by_key(|offer| (offer.state == SeatRecordState::Held, !offer.is_own_domain));
    ordered.iter().map(|offer| offer.seat).collect()
}

/// The next step of a claimant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// Nothing to do yet.
    Wait,
    /// Probe the holder.
    Probe,
    /// Update the seat's object, conditional on the version that was read before the silence began.
    Update,
    /// The seat is taken by this instance.
    Claimed {
        /// When the former holder had certainly stopped; nothing if there was none.
        idle_since: Option<MonotonicTime>,
        /// When the update was sent. The seat's holder counts gaps from then on, because others may
        /// have claimed the seat from this instance while it did not know the outcome.
        sent: MonotonicTime,
    },
    /// The update failed: another instance was first, or the holder is back.
    Refused,
}

/// The outcome of the conditional update, read back if the response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update took effect.
    Done,
    /// The update did not and will not take effect.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimPhase {
    Observing,
    Updating,
    Claimed,
    Refused,
}

/// The claimant's side of a seat.
#[derive(Debug)]
pub struct SeatClaim {
    state: SeatRecordState,
    is_same_domain: bool,
    phase: ClaimPhase,
    started: MonotonicTime,
    silent_since: MonotonicTime,
    stepped_at: MonotonicTime,
    probed_at: Option<MonotonicTime>,
    domain_reached_at: Option<MonotonicTime>,
    idle_since: Option<MonotonicTime>,
    sent: MonotonicTime,
}

impl SeatClaim {
    /// Starts to observe a seat whose object was read before `now`.
    ///
    /// `is_same_domain` tells whether the holder runs in the claimant's failure domain. The holder
    /// may run in another domain than the seat is of, and only the holder's counts: the claimant must
    /// be able to tell a dead holder from one that is cut off.
    #[must_use]
    pub fn new(state: SeatRecordState, is_same_domain: bool, now: MonotonicTime) -> Self {
        Self {
            state,
            is_same_domain,
            phase: ClaimPhase::Observing,
            started: now,
            silent_since: now,
            stepped_at: now,
            probed_at: None,
            domain_reached_at: None,
            idle_since: None,
            sent: now,
        }
    }

    /// Records that the holder was heard: an answer to a probe, any message from it, or a heartbeat of
    /// any instance that reports to hold the seat. The holder that the platform names may have died
    /// before its update took effect, while the former holder was confirmed by its peers.
    ///
    /// A question of the holder counts, so an instance that answers "not claimed" cannot claim
    /// within the next lease.
    pub fn record_holder_message(&mut self, now: MonotonicTime) {
        self.silent_since = self.silent_since.max(now);
    }

    /// Records that an upstream of the holder's failure domain answered.
    pub fn record_domain_reached(&mut self, now: MonotonicTime) {
        self.domain_reached_at = Some(now);
    }

    /// Tells what to answer a holder that asks whether its seat was claimed. An update whose outcome
    /// is open counts, because it may take effect at any moment.
    #[must_use]
    pub fn is_claiming(&self) -> bool {
        matches!(self.phase, ClaimPhase::Updating | ClaimPhase::Claimed)
    }

    /// Returns the next step. The control thread calls this on each tick, after it has handled the
    /// messages that arrived.
    pub fn step(&mut self, now: MonotonicTime) -> ClaimStep {
        if now.since(self.stepped_at) > MAX_STEP_GAP {
            self.record_holder_message(now);
        }
        self.stepped_at = now;
        match self.phase {
            ClaimPhase::Observing => self.observe(now),
            ClaimPhase::Updating => ClaimStep::Wait,
            ClaimPhase::Claimed => ClaimStep::Claimed {
                idle_since: self.idle_since,
                sent: self.sent,
            },
            ClaimPhase::Refused => ClaimStep::Refused,
        }
    }

    /// Handles the outcome of the update.
    ///
    /// The daemon doesn't report one while it is unknown; it reads the object back.
    pub fn handle_outcome(&mut self, outcome: UpdateOutcome) {
        if self.phase == ClaimPhase::Updating {
            self.phase = match outcome {
                UpdateOutcome::Done => ClaimPhase::Claimed,
                UpdateOutcome::Lost => ClaimPhase::Refused,
            };
        }
    }

    fn observe(&mut self, now: MonotonicTime) -> ClaimStep {
        if self.state != SeatRecordState::Held {
            return self.update(now);
        }
        // Silence proves nothing while the failure domain is cut off. It counts from anew, because a
        // cut that ends lets the first upstream answer before the holder does.
        if !self.reaches_domain(now) {
            self.silent_since = now;
        }
        if now.since(self.silent_since) >= with_drift_margin(SEAT_LEASE) {
            return self.update(now);
        }
        let is_due = |probed_at| now.since(probed_at) >= PROBE_INTERVAL;
        if self.probed_at.is_none_or(is_due) {
            self.probed_at = Some(now);
            return ClaimStep::Probe;
        }
        ClaimStep::Wait
    }

    fn update(&mut self, now: MonotonicTime) -> ClaimStep {
        self.phase = ClaimPhase::Updating;
        self.idle_since = self.stop_time();
        self.sent = now;
        ClaimStep::Update
    }

    /// Returns when the former holder had certainly stopped: a probe later it was not there, and
    /// request threads spend for one spend lease without the control thread.
    fn stop_time(&self) -> Option<MonotonicTime> {
        match self.state {
            SeatRecordState::Unused => None,
            SeatRecordState::Released => Some(self.started),
            SeatRecordState::Held => {
                Some(self.silent_since + PROBE_INTERVAL + PROBE_TIMEOUT + SPEND_LEASE)
            }
        }
    }

    fn reaches_domain(&self, now: MonotonicTime) -> bool {
        let is_recent = |reached_at| now.since(reached_at) < MAX_STEP_GAP;
        self.is_same_domain || self.domain_reached_at.is_some_and(is_recent)
    }
}
