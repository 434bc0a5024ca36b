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
const MAX_REQUESTED_PEERS: usize = 8;

/// How long a peer that gave less than asked is left alone at first.
const BACKOFF: Duration = Duration::from_millis(250);

/// The longest time a peer that had nothing several times in a row is left alone.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How long a peer is left alone while requests are being refused. A share that was lent elsewhere
/// may come back at any moment.
const URGENT_BACKOFF: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, Default)]
struct LenderRecord {
    backoff_until: MonotonicTime,
    requested_at: MonotonicTime,
    granted_at: MonotonicTime,
    /// Answers without a loan since the last loan.
    refusals: u32,
}

impl LenderRecord {
    fn is_ready(&self, is_urgent: bool, now: MonotonicTime) -> bool {
        let is_urgent_backoff_over = self.requested_at + URGENT_BACKOFF <= now;
        self.backoff_until <= now || (is_urgent && is_urgent_backoff_over)
    }
}

/// What one limit remembers of its peers.
#[derive(Debug, Default)]
pub(crate) struct LenderHistory {
    records: BTreeMap<Incarnation, LenderRecord>,
}

impl LenderHistory {
    /// Records that `peer` was asked; until it answers it counts as having nothing.
    pub(crate) fn record_request(&mut self, peer: Incarnation, now: MonotonicTime) {
        let record = self.records.entry(peer).or_default();
        record.requested_at = now;
        record.backoff_until = now + BACKOFF;
    }

    /// Records an answer of `peer`.
    pub(crate) fn record_grant(
        &mut self,
        peer: Incarnation,
        outcome: LendOutcome,
        now: MonotonicTime,
    ) {
        let record = self.records.entry(peer).or_default();
        if outcome == LendOutcome::Nothing {
            let backoff = BACKOFF * 2_u32.saturating_pow(record.refusals.min(8));
            record.backoff_until = now + backoff.min(MAX_BACKOFF);
            record.refusals += 1;
        } else {
            record.granted_at = now;
            record.refusals = 0;
        }
        if outcome == LendOutcome::Whole {
            record.backoff_until = now;
        }
    }

    /// Chooses the peers to ask now: those nearby if any, otherwise the others, and first those that
    /// last had something to lend.
    pub(crate) fn choose_lenders(
        &mut self,
        peers: &[LoanPeer],
        is_urgent: bool,
        now: MonotonicTime,
    ) -> Vec<Incarnation> {
        self.records
            .retain(|known, _| peers.iter().any(|peer| peer.incarnation == *known));
        let mut ready: Vec<&LoanPeer> = peers
            .iter()
            .filter(|peer| self.record(peer.incarnation).is_ready(is_urgent, now))
            .collect();
        if ready.iter().any(|peer| peer.is_near) {
            ready.retain(|peer| peer.is_near);
        }
        ready.sort_by_key(|peer| std::cmp::Reverse(self.record(peer.incarnation).granted_at));
        ready.truncate(MAX_REQUESTED_PEERS);
        ready.iter().map(|peer| peer.incarnation).collect()
    }

    fn record(&self, peer: Incarnation) -> LenderRecord {
        self.records.get(&peer).copied().unwrap_or_default()
    }
}

/// How much of an ask a peer granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LendOutcome {
    Nothing,
    Part,
    Whole,
}
