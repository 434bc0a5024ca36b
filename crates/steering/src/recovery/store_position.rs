//! The order of the store's answers, also across its returns from an older copy.
//!
//! Load pattern: the store is away for a moment and comes back from a copy that is some seconds old. Its revisions go back
//! and are given out again, so a revision alone does not tell which of two answers is newer. Each return begins a new era,
//! which the store states in every answer.

/// A state of the store. Every state of a later era is newer than every state of an earlier one. A store that states no
/// era is always in era 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// The number of returns of the store, as the store counts them.
    pub era: u64,
    /// The revision of the store, which increases with each change within an era.
    pub revision: u64,
}

impl StorePosition {
    /// Returns the position before all revisions of an era. What was read up to an earlier era is behind it.
    #[must_use]
    pub fn start_of(era: u64) -> Self {
        Self { era, revision: 0 }
    }

    /// Returns whether a list that was read at this position is complete in its era. The start of an era states only
    /// that the era is known.
    #[must_use]
    pub fn is_read(self) -> bool {
        self.revision > 0
    }
}

/// The changes of a list between two positions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionRange {
    /// The position after which the changes begin.
    pub since: StorePosition,
    /// The position up to which the changes are complete.
    pub until: StorePosition,
}

impl PositionRange {
    /// Returns whether a list that is applied up to `applied` is complete after these changes are applied to it, and
    /// newer than before.
    #[must_use]
    pub fn continues(self, applied: StorePosition) -> bool {
        applied.is_read()
            && self.since.era == applied.era
            && self.until.era == applied.era
            && self.since <= applied
            && self.until > applied
    }
}

/// Returns whether a complete list that was read at `listed` replaces one that is applied up to `applied`.
///
/// Within an era, a list that was requested before later changes were applied is outdated, and one that was requested
/// afterwards and is older comes from a store that was restored without stating an era. A list of an earlier era is
/// outdated in any case.
#[must_use]
pub fn replaces_list(
    listed: StorePosition,
    applied: StorePosition,
    is_requested_before_changes: bool,
) -> bool {
    let is_older = listed < applied;
    listed.era >= applied.era && !(is_older && is_requested_before_changes)
}
