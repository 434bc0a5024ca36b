//! The claim of a seat: decides when an instance without a seat may take one over.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::{SPEND_LEASE, with_drift_margin};
use crate::seat_holder::SEAT_LEASE;

/// Interval between probes of a holder that does not answer.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for a probe and its answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest interval between two steps of the claimant. After a longer one the claimant may have
/// missed answers, so the measurement of the holder's silence starts again.
const MAX_STEP_GAP: Duration = Duration::from_secs(1);

/// State of a seat according to its object on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatRecordState {
    /// The seat never had a holder.
    Unused,
    /// The last holder released the seat.
    Released,
    /// The seat has a holder, which may have stopped.
    Held,
}

/// A seat that may be claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeatCandidate<K> {
    /// Identifies the seat for the caller.
    pub seat: K,
    /// State of the seat according to the platform.
    pub state: SeatRecordState,
    /// Whether the seat belongs to the claimant's failure domain.
    pub is_own_domain: bool,
}

/// Returns the seats in the order in which an instance without a seat tries them: vacant seats
/// before held ones, and within each group those of its own failure domain first.
#[must_use]
pub fn claim_order<K: Copy>(candidates: &[SeatCandidate<K>]) -> Vec<K> {
    let mut ordered: Vec<&SeatCandidate<K>> = candidates.iter().collect();
    ordered.sort_by_key(|seat| (seat.state == SeatRecordState::Held, !seat.is_own_domain));
    ordered.iter().map(|candidate| candidate.seat).collect()
}

/// The next step of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// Nothing to do on this tick.
    Wait,
    /// Send a probe to the holder.
    Probe,
    /// Update the seat's object on the platform, on condition that its version is the one that was
    /// read before the silence began.
    Update,
    /// This instance holds the seat.
    Claimed {
        /// The time by which the former holder had certainly stopped; `None` if there was no former
        /// holder.
        idle_since: Option<MonotonicTime>,
        /// When the update was sent. [`SeatHolder`](crate::SeatHolder) measures gaps between ticks
        /// from this time, because another instance may have claimed the seat afterwards while the
        /// outcome of the update was unknown.
        sent: MonotonicTime,
    },
    /// The update failed: another instance claimed the seat first, or the holder is active again.
    Refused,
}

/// Outcome of the conditional update. If the response was lost, the daemon reads the object to
/// determine it.
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

/// State of an instance that tries to claim a seat.
///
/// A seat that is marked as held may be claimed after its holder was silent for the seat lease
/// while the holder's failure domain was reachable.
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
    /// `is_same_domain` states whether the holder runs in the claimant's failure domain. The holder
    /// may run in another failure domain than its seat belongs to. Only the holder's domain counts,
    /// because the claimant must distinguish a stopped holder from one that is cut off.
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

    /// Records that the holder is alive: an answer to a probe, any message from it, or a heartbeat
    /// of any instance that reports to hold the seat. The holder that the platform names may have
    /// stopped before its update took effect, while the former holder was confirmed by its peers.
    ///
    /// A probe sent by the holder counts too, so an instance that answers "not claimed" cannot
    /// claim the seat within the next lease.
    pub fn record_holder_message(&mut self, now: MonotonicTime) {
        self.silent_since = self.silent_since.max(now);
    }

    /// Records that an upstream of the holder's failure domain answered.
    pub fn record_domain_reached(&mut self, now: MonotonicTime) {
        self.domain_reached_at = Some(now);
    }

    /// Returns whether this instance has claimed the seat: the answer to a holder that checks its seat.
    /// An update with an unknown outcome counts as a claim, because it may take effect at any moment.
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
    /// While the outcome is unknown, the daemon does not call this; it reads the object instead.
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
        // Silence is no evidence while the failure domain is cut off. Its measurement starts again,
        // because at the end of the partition the first upstream may answer before the holder does.
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

    /// Returns the time by which the former holder had certainly stopped: it did not answer the
    /// next probe, and its request threads run for at most one [`SPEND_LEASE`] without the control
    /// thread.
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
