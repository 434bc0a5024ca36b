//! Selection of the instances from which a loan is requested.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::Incarnation;

/// An instance that may grant loans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoanPeer {
    /// The process to which requests are sent.
    pub incarnation: Incarnation,
    /// Whether the instance runs in the failure domain whose lenders are preferred.
    pub is_near: bool,
}

/// The maximum number of peers from which a loan of one limit is requested at once, which bounds
/// the messages in a large fleet.
const MAX_REQUESTED_PEERS: usize = 8;

/// Backoff after a request to a peer, unless the peer grants all of it. It doubles with each
/// successive empty grant.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff of a peer after several successive empty grants.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Backoff of a peer while requests are being refused. It is short because a share that the peer
/// had lent to another instance may be returned at any time.
const URGENT_BACKOFF: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, Default)]
struct LenderRecord {
    backoff_until: MonotonicTime,
    requested_at: MonotonicTime,
    granted_at: MonotonicTime,
    /// The number of empty grants since the last loan.
    refusals: u32,
}

impl LenderRecord {
    fn is_ready(&self, is_urgent: bool, now: MonotonicTime) -> bool {
        let has_urgent_backoff_passed = self.requested_at + URGENT_BACKOFF <= now;
        self.backoff_until <= now || (is_urgent && has_urgent_backoff_passed)
    }
}

/// The results of earlier requests for one limit, by peer.
#[derive(Debug, Default)]
pub(crate) struct LenderHistory {
    records: BTreeMap<Incarnation, LenderRecord>,
}

impl LenderHistory {
    /// Records that a request was sent to `peer`. Until its grant arrives, the peer counts as
    /// having nothing to lend.
    pub(crate) fn record_request(&mut self, peer: Incarnation, now: MonotonicTime) {
        let record = self.records.entry(peer).or_default();
        record.requested_at = now;
        record.backoff_until = now + INITIAL_BACKOFF;
    }

    /// Records how much of a request `peer` granted, and sets its backoff.
    pub(crate) fn record_grant(
        &mut self,
        peer: Incarnation,
        outcome: LendOutcome,
        now: MonotonicTime,
    ) {
        let record = self.records.entry(peer).or_default();
        if outcome == LendOutcome::Nothing {
            let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(record.refusals.min(8));
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

    /// Returns the peers to send requests to now: only preferred ones if any of them is out of
    /// backoff, and first those that granted a loan most recently.
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

/// How much of a request a peer granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LendOutcome {
    Nothing,
    Part,
    Whole,
}
