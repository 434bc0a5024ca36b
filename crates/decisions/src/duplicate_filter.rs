//! Which asks of other instances were already handled.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::loan_terms::Incarnation;

/// How long a borrower that sends nothing is remembered. It is far longer than a message waits in a
/// connection.
const BORROWER_RETENTION: Duration = Duration::from_mins(1);

/// The highest number of an ask from each borrower's incarnation.
///
/// Numbers grow, so an ask with a lower one is a repetition or was overtaken; dropping an overtaken
/// ask costs only capacity.
#[derive(Debug, Default)]
pub(crate) struct DuplicateFilter {
    highest: BTreeMap<Incarnation, (u64, MonotonicTime)>,
}

impl DuplicateFilter {
    /// Records an ask and tells whether it is new.
    pub(crate) fn is_new(
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

    /// Forgets borrowers that were silent for long.
    pub(crate) fn advance(&mut self, now: MonotonicTime) {
        self.highest
            .retain(|_, (_, received_at)| now.since(*received_at) < BORROWER_RETENTION);
    }
}
