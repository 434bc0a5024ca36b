//! Decides what the store's answers are worth after its return from an older copy.
//!
//! Load pattern: the store comes back some seconds old. What operators and upstreams wrote since is written again within
//! about two seconds, not at once, so the first answers of an era may lack a withdrawal, a departure or an evacuation that
//! every instance knows of.

use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;

use crate::recovery::store_position::StorePosition;

/// The time after the begin of an era in which operators and upstreams write again what was lost.
pub const ERA_SETTLING_PERIOD: Duration = Duration::from_millis(2_200);

/// What an observed era means for this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// The era was known before, or is an earlier one.
    None,
    /// It is the first era that this instance hears of.
    First,
    /// The store has returned from an older copy.
    Return,
}

/// The newest known era of the store. Times are on the clock that includes suspension.
#[derive(Debug, Default)]
pub struct EraProgress {
    era: Option<u64>,
    /// A time at which the era had begun.
    known_since: MonotonicTime,
    is_proven_settled: bool,
    /// The position of the first answer of the era that this instance received.
    first_answer: Option<StorePosition>,
}

impl EraProgress {
    /// Returns the newest known era; zero before the first one.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Records that the store was in `era` at least `age` before `now`.
    pub fn observe(&mut self, era: u64, age: Duration, now: MonotonicTime) -> EraChange {
        let since = now - age;
        let change = match self.era {
            Some(known) if known > era => return EraChange::None,
            Some(known) if known == era => {
                self.known_since = self.known_since.min(since);
                return EraChange::None;
            }
            Some(_) => EraChange::Return,
            None => EraChange::First,
        };
        *self = Self {
            era: Some(era),
            known_since: since,
            ..Self::default()
        };
        change
    }

    /// Records the position of an answer that this instance received itself.
    pub fn record_answer(&mut self, position: StorePosition) {
        if Some(position.era) == self.era {
            self.first_answer.get_or_insert(position);
        }
    }

    /// Records that an instance has seen the store in `era` when everything was written again.
    pub fn prove_settled(&mut self, era: u64) {
        self.is_proven_settled |= self.era == Some(era);
    }

    /// Returns the time since which everything is written again; it may be in the future. The store is settled at all
    /// times while it states no era.
    #[must_use]
    pub fn settled_since(&self) -> MonotonicTime {
        if self.era() == 0 || self.is_proven_settled {
            MonotonicTime::default()
        } else {
            self.known_since + ERA_SETTLING_PERIOD
        }
    }

    /// Returns whether everything that was lost is written again.
    #[must_use]
    pub fn is_settled(&self, now: MonotonicTime) -> bool {
        self.settled_since() <= now
    }

    /// Returns the time since the begin of the era became known.
    #[must_use]
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.known_since)
    }

    /// Returns whether an object of this position was written after the first answer of the era, so that it is not from
    /// the copy.
    #[must_use]
    pub fn is_written_again(&self, object: StorePosition) -> bool {
        self.first_answer.is_some_and(|first| object > first)
    }
}

/// The configuration as the store last returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredPlan {
    /// The position of the object's last change.
    pub position: StorePosition,
    /// The version of the configuration; zero if the store has none.
    pub version: u64,
    /// A time at which the store held it, on the clock that includes suspension.
    pub as_of: MonotonicTime,
}

/// The versions of the plan that are known apart from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownPlans {
    /// The version of the active plan; zero without one.
    pub active: u64,
    /// The newest version that any instance has had in force.
    pub newest: u64,
    /// Whether withdrawn keys must stop working in time also while the store has lost the withdrawal.
    pub is_revocation_strict: bool,
}

impl StoredPlan {
    /// Returns whether the answer confirms that the active plan was the latest one at [`as_of`](Self::as_of).
    ///
    /// A store that has returned may lack a version that the fleet has, and also one that it accepted just before and that
    /// nobody received. With a strict bound on withdrawals, only a configuration that was written in the present era, or
    /// is there when the era has settled, shows that none is missing. Without it, the newest known plan stays confirmed.
    #[must_use]
    pub fn confirms(&self, known: KnownPlans, progress: &EraProgress) -> bool {
        let era = progress.era();
        if era == 0 {
            return true;
        }
        if self.position.era != era {
            return false;
        }
        let is_complete = self.version >= known.newest;
        if !known.is_revocation_strict {
            return is_complete || known.active >= known.newest;
        }
        let is_written_again = progress.is_written_again(self.position);
        is_complete && (is_written_again || progress.is_settled(self.as_of))
    }
}

/// How an upstream orders its own reports, independent of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportOrder {
    /// The start of the upstream in milliseconds of Unix time, if it states one.
    pub started_ms: Option<u64>,
    /// The number of the report since that start, if the upstream states one.
    pub sequence: Option<u64>,
}

impl ReportOrder {
    /// Returns whether this report was written before `other`. Reports of different starts without times, and reports
    /// without numbers, have no order.
    #[must_use]
    pub fn is_before(self, other: Self) -> bool {
        match (self.started_ms, other.started_ms) {
            (Some(own), Some(other)) if own != other => return own < other,
            (None, Some(_)) | (Some(_), None) => return false,
            _ => {}
        }
        matches!((self.sequence, other.sequence), (Some(own), Some(other)) if own < other)
    }
}

/// A report of an upstream as read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedReport {
    /// The era in which it was read.
    pub era: u64,
    /// Its place among the upstream's reports.
    pub order: ReportOrder,
}

impl PlacedReport {
    /// Returns whether this report is from the copy, and does not follow `known`, which was read in an earlier era. Within
    /// an era the store itself orders the reports.
    #[must_use]
    pub fn is_outdated_by(self, known: Self) -> bool {
        let is_same = self.order == known.order && self.order.sequence.is_some();
        self.era > known.era && (is_same || self.order.is_before(known.order))
    }
}
