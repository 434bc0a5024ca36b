//! Evidence that no instance of the fleet reaches the store.
//!
//! Load pattern: the store is down for all instances, for longer than a plan may stay unconfirmed. It accepts no change
//! then, so the plan is still the newest one, and requests with access keys are served. An instance that only lost its own
//! way to the store must not take that for an outage, so the evidence covers every instance of every failure domain. Each
//! domain gathers its own, and the domains exchange the result with its age.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_model::DomainKey;

/// Longest age of the evidence of a domain. It leaves enough of the time for which a plan may stay unconfirmed to carry the
/// evidence on.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(2);

/// The fewest instances whose failed calls show an outage. The calls of one instance also fail if only its own way to
/// the store is lost.
const MIN_WITNESSES: usize = 2;

/// For each failure domain, the latest time at which none of its instances had reached the store for a while.
#[derive(Debug, Default)]
pub struct OutageEvidence {
    disconnected_at: HashMap<DomainKey, MonotonicTime>,
}

impl OutageEvidence {
    /// Records that no instance of the domain reached the store at `time`. An earlier time than the recorded one is ignored.
    pub fn record(&mut self, domain: DomainKey, time: MonotonicTime) {
        let recorded = self.disconnected_at.entry(domain).or_insert(time);
        *recorded = (*recorded).max(time);
    }

    /// Returns the recorded times that are recent enough to be passed on.
    pub fn recent(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (DomainKey, MonotonicTime)> + '_ {
        let times = self.disconnected_at.iter();
        times
            .map(|(domain, time)| (*domain, *time))
            .filter(move |(_, time)| now.since(*time) < MAX_EVIDENCE_AGE)
    }

    /// Returns a time at which none of the registered instances reached the store, or `None` if that is not known.
    /// `domains` holds the failure domain of each of them.
    #[must_use]
    pub fn outage_time(
        &self,
        domains: impl Iterator<Item = DomainKey>,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let mut earliest = now;
        let mut witnesses = 0;
        for domain in domains {
            earliest = earliest.min(*self.disconnected_at.get(&domain)?);
            witnesses += 1;
        }
        let is_proven = witnesses >= MIN_WITNESSES && now.since(earliest) < MAX_EVIDENCE_AGE;
        is_proven.then_some(earliest)
    }
}
