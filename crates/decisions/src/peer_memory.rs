//! Whom to ask for a loan.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::Incarnation;

/// An instance that may lend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanPeer {
    /// The running process.
    pub incarnation: Incarnation,
    /// Whether it is in the failure domain to ask first.
    pub is_near: bool,
}

/// The most peers asked at once for one limit, which bounds the messages in a large fleet.
const FANOUT: usize = 8;

/// How long a peer that gave less than asked is left alone at first.
const BACKOFF: Duration = Duration::from_millis(250);

/// The longest time a peer that had nothing several times in a row is left alone.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// How long a peer is left alone while requests are being refused. A share that was lent elsewhere
/// may come back at any moment.
const URGENT_BACKOFF: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, Default)]
struct PeerNote {
    backoff_until: MonotonicTime,
    asked_at: MonotonicTime,
    granted_at: MonotonicTime,
    /// Answers without a loan since the last loan.
    refusals: u32,
}

impl PeerNote {
    fn is_ready(&self, is_urgent: bool, now: MonotonicTime) -> bool {
        let is_rested = self.asked_at + URGENT_BACKOFF <= now;
        self.backoff_until <= now || (is_urgent && is_rested)
    }
}

/// What one limit remembers of its peers.
#[derive(Debug, Default)]
pub(crate) struct PeerMemory {
    notes: BTreeMap<Incarnation, PeerNote>,
}

impl PeerMemory {
    /// Records that `peer` was asked; until it answers it counts as having nothing.
    pub(crate) fn asked(&mut self, peer: Incarnation, now: MonotonicTime) {
        let note = self.notes.entry(peer).or_default();
        note.asked_at = now;
        note.backoff_until = now + BACKOFF;
    }

    /// Records an answer of `peer`.
    pub(crate) fn answered(&mut self, peer: Incarnation, outcome: LendOutcome, now: MonotonicTime) {
        let note = self.notes.entry(peer).or_default();
        if outcome == LendOutcome::Nothing {
            let wait = BACKOFF * 2_u32.saturating_pow(note.refusals.min(8));
            note.backoff_until = now + wait.min(LONGEST_BACKOFF);
            note.refusals += 1;
        } else {
            note.granted_at = now;
            note.refusals = 0;
        }
        if outcome == LendOutcome::Whole {
            note.backoff_until = now;
        }
    }

    /// Chooses the peers to ask now: those nearby if any, otherwise the others, and first those that
    /// last had something to lend.
    pub(crate) fn choose(
        &mut self,
        peers: &[LoanPeer],
        is_urgent: bool,
        now: MonotonicTime,
    ) -> Vec<Incarnation> {
        self.notes
            .retain(|known, _| peers.iter().any(|peer| peer.incarnation == *known));
        let mut ready: Vec<&LoanPeer> = peers
            .iter()
            .filter(|peer| self.note(peer.incarnation).is_ready(is_urgent, now))
            .collect();
        if ready.iter().any(|peer| peer.is_near) {
            ready.retain(|peer| peer.is_near);
        }
        ready.sort_by_key(|peer| std::cmp::Reverse(self.note(peer.incarnation).granted_at));
        ready.truncate(FANOUT);
        ready.iter().map(|peer| peer.incarnation).collect()
    }

    fn note(&self, peer: Incarnation) -> PeerNote {
        self.notes.get(&peer).copied().unwrap_or_default()
    }
}

/// How much of an ask a peer granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LendOutcome {
    Nothing,
    Part,
    Whole,
}
