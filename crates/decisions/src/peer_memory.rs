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

/// How long a peer that gave less than asked is left alone.
const BACKOFF: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy, Default)]
struct PeerNote {
    backoff_until: MonotonicTime,
    granted_at: MonotonicTime,
}

/// What one limit remembers of its peers.
#[derive(Debug, Default)]
pub(crate) struct PeerMemory {
    notes: BTreeMap<Incarnation, PeerNote>,
}

impl PeerMemory {
    /// Records that `peer` was asked; until it answers it counts as having nothing.
    pub(crate) fn asked(&mut self, peer: Incarnation, now: MonotonicTime) {
        self.notes.entry(peer).or_default().backoff_until = now + BACKOFF;
    }

    /// Records an answer of `peer`.
    pub(crate) fn answered(&mut self, peer: Incarnation, outcome: LendOutcome, now: MonotonicTime) {
        let note = self.notes.entry(peer).or_default();
        if outcome != LendOutcome::Nothing {
            note.granted_at = now;
        }
        if outcome == LendOutcome::Whole {
            note.backoff_until = now;
        }
    }

    /// Chooses the peers to ask now: those nearby if any, otherwise the others, and first those that
    /// last had something to lend.
    pub(crate) fn choose(&mut self, peers: &[LoanPeer], now: MonotonicTime) -> Vec<Incarnation> {
        self.notes
            .retain(|known, _| peers.iter().any(|peer| peer.incarnation == *known));
        let mut ready: Vec<&LoanPeer> = peers
            .iter()
            .filter(|peer| self.note(peer.incarnation).backoff_until <= now)
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
