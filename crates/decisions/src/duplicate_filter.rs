//! Detection of loan requests that were already handled.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::Incarnation;

/// How long the record of a borrower without new requests is retained. It is much longer than a
/// message can be delayed in a connection.
const BORROWER_RETENTION: Duration = Duration::from_mins(1);

/// The highest request number received from each borrower's process.
///
/// Numbers grow, so a request with a lower number is a duplicate or arrived out of order. Dropping
/// one that arrived out of order costs only capacity.
#[derive(Debug, Default)]
pub(crate) struct DuplicateFilter {
    highest: BTreeMap<Incarnation, (u64, MonotonicTime)>,
}

impl DuplicateFilter {
    /// Records a request and returns whether it is new.
    pub(crate) fn record_if_new(
        &mut self,
        borrower: Incarnation,
        request_id: u64,
        now: MonotonicTime,
    ) -> bool {
        let entry = self.highest.entry(borrower).or_insert((0, now));
        let is_new = request_id > entry.0;
        if is_new {
            *entry = (request_id, now);
        }
        is_new
    }

    /// Removes borrowers without a recent request.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        self.highest
            .retain(|_, (_, received_at)| now.since(*received_at) < BORROWER_RETENTION);
    }
}
